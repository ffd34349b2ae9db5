"""A small platform on loopback: discovery, the relay with its store and proxies, and collectors.

It follows the kit's PROTOCOL.md and the wire page. Where these are silent it does what a sound
platform does: news in order, answers at once, no call carried out twice.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 1.5  # Rules.StopSendingWithin
BARE_S = 2.3  # Specifics.Blackhole
WARM_UP_S = 16.0
SOCKET_SLACK_S = 0.3  # PROTOCOL.md, "The rules on sockets"


def settings(slices: int, proxies: int, controllers: int = 1, **specifics: object) -> dict:
    """Return the settings object: the figures are those of the wire page's example."""
    return {
        "Balancers": controllers,
        "Blend": {"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.4},
        "Charges": {"Connection": 0.02, "CrossZone": 0.005, "Handshake": 0.02, "Probe": 0.02},
        "DomainType": "control",
        "Limits": {
            "CpuUsPerS": 600000,
            "DialTimeout": 0.25,
            "Keepalive": 15.0,
            "MayTell": False,
            "Multiplex": 32,
            "Probes": True,
        },
        "Locality": 0,
        "MembershipMode": "push",
        "Quantum": 0.002,
        "Report": {"Fields": ["utilization", "throughput"], "How": "piggyback"},
        "Rules": {
            "AskWithin": 10.0,
            "ColdFrom": 0.16,
            "FallMultiple": 3.0,
            "StopSendingWithin": GRACE_S,
            "TipAfter": 2.0,
            "WarmUp": WARM_UP_S,
        },
        "Services": [
            {
                "Deadline": 5.0,
                "Effect": "read_like",
                "Group": "all",
                "LateShare": 0.2,
                "Name": "route-lookup",
                "RepeatWindow": 5.0,
                "Target": 1.5,
                "Worth": 1.0,
            },
            {
                "Deadline": 2.0,
                "Effect": "idempotency_key",
                "Group": "cell",
                "LateShare": 0.2,
                "Name": "scan-record",
                "RepeatWindow": 1.2,
                "Target": 0.8,
                "Worth": 3.0,
            },
        ],
        "Shapes": ["small-fast", "wide-slow"],
        "SlotNo": 0,
        "Specifics": {
            "Admit": "ratio",
            "Blackhole": BARE_S,
            "ChannelRate": 6400.0,
            "ConnsLeast": 443.0,
            "CostPerLine": 0.02,
            "DataPlaneSize": proxies,
            "DefaultRetry": 0,
            "FirstWait": 0.8,
            "FixedCost": 16.0,
            "HomedByZone": False,
            "InFlightMax": 2.02,
            "IngestRate": 300.0,
            "OneOwner": False,
            "OutlierAfter": 0,
            "Park": 0.2,
            "PendingMax": 9600.0,
            "Pick": "lottery",
            "Propagation": 0.125,
            "PushesAllowed": 0,
            "Ranges": slices,
            "ReportEvery": 0.5,
            "ShiftFee": 0.005,
            "Standing": 6,
            "Tenure": 0.8,
            "TransitMax": 0.3125,
            "UpdateWindow": 10.0,
            "WarmKeys": True,
            "WriteClasses": [False, True],
            "ZoneBound": [False, False],
            **specifics,
        },
        "Weights": "nominal",
        "WorthBy": "request",
        "Zones": ["hal-a", "hal-b", "hal-c"],
    }


METHODS = ("route-lookup", "scan-record")
ZONES = ("hal-a", "hal-b", "hal-c")


def free_address() -> str:
    """Return a free address: a port that is free now, of a loopback host drawn at random."""
    host = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
    with socket.socket() as one:
        one.bind((host, 0))
        return f"{host}:{one.getsockname()[1]}"


class Record:
    """The record of a run: one line an event, with seconds from the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started


class Server:
    """A backend as the list has it, and what it was sent."""

    def __init__(self, name: str, zone: str, number: int) -> None:
        self.name = name
        self.zone = zone
        self.number = number
        self.state = "ready"
        self.started_ms = 0.0
        self.told_leaving: float | None = None  # when the controller was told
        self.alive = True

    def entry(self) -> dict:
        """Return its entry of the list."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{20000 + self.number}",
            "zone": self.zone,
            "kind": "small-fast",
            "cell": self.number % 3,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


def answer(status: int, body: bytes) -> bytes:
    """Return an HTTP answer."""
    return (
        f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_request(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the first line and the body of the next request."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"[Cc]ontent-[Ll]ength: (\d+)", head)
    body = await reader.readexactly(int(length[1])) if length else b""
    return head.split(b"\r\n")[0].decode(), body


class Discovery:
    """The list of backends and its agent on the controller's machine."""

    def __init__(self, record: Record, servers: dict[str, Server]) -> None:
        self.record = record
        self.servers = servers
        self.version = 40
        self.changes: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.listeners: list[asyncio.Server] = []

    async def open(self) -> str:
        """Open an agent; return its address."""
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.listeners.append(listener)
        host, port = listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def full(self) -> dict:
        """Return the whole list."""
        return {
            "version": self.version,
            "full": True,
            "servers": [s.entry() for s in self.servers.values() if s.state != "gone"],
        }

    def change(self, server: Server, state: str) -> None:
        """Change the list; watches that wait are told at once."""
        server.state = state
        self.version += 1
        self.changes.append((self.version, server.entry()))
        self.record(f"discovery: version {self.version}: {server.name} is {state}")
        self.changed.set()
        self.changed = asyncio.Event()

    def _note_told(self, entries: list[dict]) -> None:
        for entry in entries:
            server = self.servers[entry["id"]]
            if entry["state"] == "ready":
                server.told_leaving = None
            elif server.told_leaving is None:
                server.told_leaving = time.monotonic()
                self.record(f"discovery: told the controller that {server.name} leaves")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, _ = await read_request(reader)
                since = re.search(r"since=(\d+)", line)
                wait = re.search(r"timeout_ms=(\d+)", line)
                if since is None:
                    reply = self.full()
                else:
                    version = int(since[1])
                    end = time.monotonic() + int(wait[1]) / 1000
                    while self.version <= version and (left := end - time.monotonic()) > 0:
                        try:
                            await asyncio.wait_for(self.changed.wait(), left)
                        except TimeoutError:
                            break
                    entries = {e["id"]: e for v, e in self.changes if v > version}
                    reply = {
                        "version": self.version,
                        "full": False,
                        "servers": list(entries.values()),
                    }
                writer.write(answer(200, json.dumps(reply).encode()))
                await writer.drain()
                self._note_told(reply["servers"])
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


class Proxy:
    """A proxy: what it holds, and what it sends."""

    def __init__(self, number: int, zone: str, rate: float) -> None:
        self.number = number
        self.zone = zone
        self.rate = rate  # requests per s
        self.joined = False
        self.joined_at = 0.0
        self.fresh = True
        self.has_read = False
        self.tables: dict[int, dict[str, float]] = {}
        self.out: set[str] = set()
        self.levels: dict[tuple[object, str], float] = {}
        self.life = 0  # changes with each stream
        self.bare_since: dict[int, float] = {}

    def lines(self, slice_: int) -> dict[str, float]:
        """Return the lines of a slice that may be picked."""
        return {s: w for s, w in self.tables.get(slice_, {}).items() if s not in self.out}

    def level(self, slice_: int, method: str) -> float:
        """Return what is let in: where both levels are set the lower one wins (wire page)."""
        return min(self.levels.get((slice_, method), 1.0), self.levels.get(("*", method), 1.0), 1.0)


class World:
    """The relay with its store, the proxies, and the collectors; it checks rules 1 and 3."""

    def __init__(
        self,
        record: Record,
        servers: int,
        slices: int,
        proxies: int,
        rate: float,
        seed: int = 1,
    ) -> None:
        self.record = record
        self.random = random.Random(seed)
        self.servers = {
            f"s-{n}": Server(f"s-{n}", ZONES[n % len(ZONES)], n) for n in range(servers)
        }
        self.discovery = Discovery(record, self.servers)
        names = list(self.servers)
        self.store: dict[int, dict[str, float]] = {
            n: {names[n % len(names)]: 1.0} for n in range(slices)
        }
        self.charge: set[int] = set(self.store)
        # (slice or '*', method) -> the level in force
        self.levels: dict[tuple[object, str], float] = {}
        self.withdrawn: set[str] = set()  # as this controller ordered it
        self.proxies = [Proxy(n, ZONES[n % len(ZONES)], rate) for n in range(proxies)]
        self.settings = settings(slices, proxies)
        self.listener: asyncio.Server | None = None
        self.news: list[asyncio.StreamWriter] = []
        self.silent_news: set[asyncio.StreamWriter] = set()
        self.connections: list[asyncio.StreamWriter] = []
        self.is_cut = False  # whether the relay neither reads nor answers
        self.calls = 0
        self.on_call = None  # (orders) -> None | "break-before" | "break-after" | "silent" ...
        self.on_write = None  # (proxy, slice, server, time), for each write that is sent
        self.violations: list[str] = []
        self.sends: dict[tuple[int, str], int] = {}
        # (slice, method) -> RPCs that came, RPCs refused under a level
        self.let_in: dict[tuple[int, str], list[int]] = {}
        self.late_sends: dict[tuple[int, str], list[float]] = {}
        self.counts: dict[tuple[str, str], list[float]] = {}  # (zone, server): tries, failed, sum
        self.slice_counts: dict[tuple[int, int], int] = {}
        self.excuse_s = 0.0  # further time that the rules leave
        self.limits_from: float | None = None
        self.controller: asyncio.subprocess.Process | None = None
        self.log_lines: list[str] = []
        self.address = ""
        self.folder = tempfile.TemporaryDirectory()
        self.tasks: list[asyncio.Task] = []
        self.latency_ms = {name: 120.0 for name in names}
        self.failing: dict[str, float] = {}
        self.known: dict = {"version": 40, "full": True, "servers": []}
        self.collectors_on = True
        self.channel_free_at = 0.0
        self.most_waiting = 0.0  # lines in the channel
        self.checks_bare = True

    # The relay.

    async def open(self) -> None:
        """Open the relay and an agent of discovery."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()
        self.relay_address = f"{host}:{port}"
        self.discovery_address = await self.discovery.open()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        try:
            while True:
                line, body = await read_request(reader)
                while self.is_cut:
                    await asyncio.sleep(0.01)
                if line.startswith("GET /v3/kv/watch"):
                    await self._watch(reader, writer)
                    return
                await self._call(body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
        finally:
            if writer in self.connections:
                self.connections.remove(writer)

    def _line(self, kind: str, **fields: object) -> None:
        """Send a line of news on all streams that are not silent."""
        for writer in list(self.news):
            self._line_to(writer, {"type": kind, "object": fields})

    def _line_to(self, writer: asyncio.StreamWriter, message: dict) -> None:
        if writer in self.silent_news or self.is_cut or writer.transport.is_closing():
            return
        data = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record("relay: a news stream opens")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for proxy in self.proxies:
            if proxy.joined:
                self._line_to(writer, self._attach(proxy))
        for number in sorted(self.charge):
            self._line_to(writer, {"type": "owner", "object": {"slice": number, "on": True}})
            for server, weight in self.store[number].items():
                self._line_to(
                    writer,
                    {
                        "type": "entry",
                        "object": {"slice": number, "server": server, "weight": weight},
                    },
                )
        self.news.append(writer)
        closed = asyncio.ensure_future(reader.read(1))
        try:
            delay = 0.2
            while not closed.done():
                await asyncio.wait([closed], timeout=delay)
                self._line_to(writer, {})
                delay = 1.0
        finally:
            self.news.remove(writer)
            self.silent_news.discard(writer)
            closed.cancel()
            writer.close()
            self.record("relay: a news stream ends")

    @staticmethod
    def _attach(proxy: Proxy) -> dict:
        return {
            "type": "attach",
            "object": {
                "proxy": proxy.number,
                "zone": proxy.zone,
                "weight": proxy.rate,
                "fresh": proxy.fresh,
            },
        }

    async def _call(self, body: bytes, writer: asyncio.StreamWriter) -> None:
        orders = json.loads(body)["orders"]
        self.calls += 1
        fate = self.on_call(orders) if self.on_call else None
        self.record(f"relay: call {self.calls} ({fate or 'answered'}): {json.dumps(orders)}")
        if fate in ("break-before", "silent-before"):
            accepted = None
        else:
            accepted = self._carry_out(orders)
        if fate in ("break-before", "break-after"):
            reset(writer)
            raise ConnectionResetError
        if fate in ("silent-before", "silent-after"):
            await asyncio.sleep(3600)
        if fate == "spoilt":
            writer.write(answer(200, b'{"accepted":"'))
        else:
            writer.write(answer(200, json.dumps({"accepted": accepted}).encode()))
        await writer.drain()

    def _carry_out(self, orders: list[dict]) -> int:
        mark, to_all, changes, accepted = None, False, [], 0
        for order in orders:
            kind = order["do"]
            if kind in ("SET", "OUT", "IN") and order["server"] not in self.servers:
                self.record(f"relay: refused {order}")
                break
            if kind == "SYNC":
                mark, to_all = order["nonce_out"], bool(order.get("on"))
            elif kind in ("SET", "DEL"):
                number = order["group"]
                if number in self.charge:
                    table = self.store[number]
                    if kind == "DEL":
                        table.clear()
                    elif order["weight"] > 0:
                        if self.settings["Specifics"]["OneOwner"]:
                            table.clear()
                        table[order["server"]] = order["weight"]
                    else:
                        table.pop(order["server"], None)
                    changes.append(order)
            else:
                if kind == "LIMIT":
                    for method in order["routes"]:
                        self.levels[order["group"], method] = order["admit"]
                elif kind == "OUT":
                    self.withdrawn.add(order["server"])
                elif kind == "IN":
                    self.withdrawn.discard(order["server"])
                changes.append(order)
            accepted += 1
        if changes or to_all:
            self._send_messages(changes, mark)
        return accepted

    def _send_messages(self, changes: list[dict], mark: int | None) -> None:
        """Send a message to each joined proxy: one after another, at the channel's lines a second.

        A message counts its head, its lines and one for the mark.
        """
        specifics = self.settings["Specifics"]
        lines = specifics["FixedCost"] + len(changes) + (mark is not None)
        now = time.monotonic()
        for proxy in self.proxies:
            if proxy.joined:
                self.channel_free_at = (
                    max(self.channel_free_at, now) + lines / specifics["ChannelRate"]
                )
                delay = self.channel_free_at - now + self.random.uniform(0.05, 0.2)
                asyncio.get_running_loop().call_later(
                    delay, self._deliver, proxy, proxy.life, changes, mark, delay
                )
        waiting = (self.channel_free_at - now) * specifics["ChannelRate"]
        self.most_waiting = max(self.most_waiting, waiting)

    def _deliver(
        self, proxy: Proxy, life: int, changes: list[dict], mark: int | None, took: float
    ) -> None:
        if proxy.life != life or not proxy.joined:
            return
        for order in changes:
            kind = order["do"]
            if kind == "OUT":
                proxy.out.add(order["server"])
            elif kind == "IN":
                proxy.out.discard(order["server"])
            elif kind == "SET" and proxy.has_read:
                table = proxy.tables.setdefault(order["group"], {})
                if order["weight"] > 0:
                    if self.settings["Specifics"]["OneOwner"]:
                        table.clear()
                    table[order["server"]] = order["weight"]
                else:
                    table.pop(order["server"], None)
            elif kind == "DEL" and proxy.has_read:
                proxy.tables[order["group"]] = {}
            elif kind == "LIMIT":
                for method in order["routes"]:
                    proxy.levels[order["group"], method] = order["admit"]
        proxy.fresh = False
        if mark is not None:
            self._line("done", proxy=proxy.number, mark=mark, took_ms=round(took * 1000, 1))

    # Proxies.

    def join(self, proxy: Proxy) -> None:
        """Open a proxy's stream to the relay; the proxy reads the store a moment later."""
        proxy.joined = True
        proxy.joined_at = time.monotonic()
        proxy.life += 1
        proxy.bare_since = {}
        self.record(f"proxy {proxy.number}: joins, fresh {proxy.fresh}")
        self._line(**{"kind": "attach", **self._attach(proxy)["object"]})
        asyncio.get_running_loop().call_later(0.2, self._read_store, proxy, proxy.life)

    def leave(self, proxy: Proxy) -> None:
        """End a proxy's stream to the relay."""
        proxy.joined = False
        proxy.life += 1
        self.record(f"proxy {proxy.number}: leaves")
        self._line("detach", proxy=proxy.number)

    def restart(self, proxy: Proxy) -> None:
        """Let a new process join under the old number: it knows nothing."""
        proxy.tables, proxy.out, proxy.fresh, proxy.has_read = {}, set(), True, False
        self.join(proxy)

    def _read_store(self, proxy: Proxy, life: int) -> None:
        if proxy.life == life:
            proxy.tables = {n: dict(t) for n, t in self.store.items()}
            proxy.out = set(self.withdrawn)
            proxy.levels = dict(self.levels)
            proxy.has_read = True

    async def traffic(self) -> None:
        """Let the proxies send, each at its rate, to slices at random."""
        tick = 0.02
        numbers = sorted(self.store)
        rates = [proxy.rate for proxy in self.proxies]
        wanted = sum(rates) * tick
        while True:
            await asyncio.sleep(tick)
            now = time.monotonic()
            count = int(wanted) + (self.random.random() < wanted % 1)
            for proxy in self.random.choices(self.proxies, rates, k=count):
                if not proxy.has_read:
                    continue
                number = self.random.choice(numbers)
                method = int(self.random.random() < 0.5)
                self.slice_counts[number, method] = self.slice_counts.get((number, method), 0) + 1
                tally = self.let_in.setdefault((number, METHODS[method]), [0, 0])
                tally[0] += 1
                lines = proxy.lines(number)
                if self.random.random() >= proxy.level(number, METHODS[method]):
                    tally[1] += 1
                elif lines:
                    server = self.random.choices(list(lines), list(lines.values()))[0]
                    self._send(proxy, server, now)
                    if self.on_write and method == 1:
                        self.on_write(proxy, number, server, now)
            if self.checks_bare:
                for proxy in self.proxies:
                    self._check_bare(proxy, now)

    def _send(self, proxy: Proxy, name: str, now: float) -> None:
        server = self.servers[name]
        self.sends[proxy.number, name] = self.sends.get((proxy.number, name), 0) + 1
        tally = self.counts.setdefault((proxy.zone, name), [0, 0, 0.0])
        failed = not server.alive or self.random.random() < self.failing.get(name, 0.0)
        tally[0] += 1
        tally[1] += failed
        if not failed:
            tally[2] += self.latency_ms[name] * self.random.uniform(0.8, 1.2)
        if server.told_leaving is None or not proxy.joined or self.limits_from is None:
            return
        limit = (
            max(server.told_leaving, proxy.joined_at, self.limits_from)
            + GRACE_S
            + SOCKET_SLACK_S
            + self.excuse_s
        )
        if now > limit:
            late = self.late_sends.setdefault((proxy.number, name), [])
            late.append(now - limit)
            if len(late) == 1:
                self.violations.append(
                    f"rule 3: proxy {proxy.number} sends to {name}, {now - limit:.2f} s past"
                    " its limit"
                )
                self.record(f"check: {self.violations[-1]}")

    def _check_bare(self, proxy: Proxy, now: float) -> None:
        if not proxy.joined or self.limits_from is None or now < self.limits_from:
            proxy.bare_since.clear()
            return
        unix_ms = time.time() * 1000
        has_warm = any(
            s.state == "ready" and s.started_ms + WARM_UP_S * 1000 < unix_ms
            for s in self.servers.values()
        )
        for number in self.charge:
            if not has_warm or proxy.lines(number):
                proxy.bare_since.pop(number, None)
                continue
            since = proxy.bare_since.setdefault(number, now)
            limit = BARE_S + SOCKET_SLACK_S + self.excuse_s
            if 0 < now - since - limit < 0.05:
                text = f"rule 1: proxy {proxy.number} has no line for slice {number}"
                if not any(v.startswith(text) for v in self.violations):
                    self.violations.append(f"{text} for {now - since:.2f} s")
                    self.record(f"check: {self.violations[-1]}")

    async def collectors(self) -> None:
        """Pass on the sums of each half second, by a collector of each zone."""
        writers: dict[str, asyncio.StreamWriter] = {}
        host, port = self.address.split(":")
        while True:
            await asyncio.sleep(0.5)
            counts, self.counts = self.counts, {}
            slices, self.slice_counts = self.slice_counts, {}
            if not self.collectors_on:
                continue
            for zone in ZONES:
                try:
                    if zone not in writers or writers[zone].transport.is_closing():
                        _, writers[zone] = await asyncio.open_connection(host, int(port))
                        self._frame(writers[zone], {"t": "telemetry", "zone": zone})
                    for (report_zone, name), (tries, failed, total) in counts.items():
                        if report_zone != zone:
                            continue
                        message = {
                            "t": "upstream_stats",
                            "zone": zone,
                            "server": name,
                            "tries": tries,
                            "failed": failed,
                            "span_ms": 500.0,
                            "load": {"util": 0.4, "qps": tries * 2},
                        }
                        if tries > failed:
                            message["mean_ms"] = round(total / (tries - failed), 1)
                        self._frame(writers[zone], message)
                    if zone == ZONES[0]:
                        for (number, method), tries in slices.items():
                            if number in self.charge:
                                self._frame(
                                    writers[zone],
                                    {
                                        "t": "range_stats",
                                        "slice": number,
                                        "class": METHODS[method],
                                        "tries": tries,
                                        "failed": 0,
                                        "span_ms": 500.0,
                                    },
                                )
                except OSError:
                    writers.pop(zone, None)

    @staticmethod
    def _frame(writer: asyncio.StreamWriter, message: dict) -> None:
        if writer.transport.is_closing():
            return
        body = json.dumps(message).encode()
        writer.write(len(body).to_bytes(4, "big") + body)

    # The controller.

    def write_config(self) -> None:
        """Write the controller's configuration file."""
        config = {
            "name": "n0",
            "listen": self.address,
            "discovery": self.discovery_address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "distributor": {"address": self.relay_address},
            "known": self.known,
            "settings": self.settings,
        }
        path = Path(self.folder.name) / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        os.replace(path.with_suffix(".new"), path)

    async def start_controller(self, extra: str = "") -> None:
        """Start the deploy file's `run` as the platform does, and wait until it answers `hb`."""
        if not self.address:
            self.address = free_address()
        self.write_config()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.controller = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command + extra,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "TMPDIR": self.folder.name,
                "ROUTER_NAME": "n0",
                "ROUTER_LISTEN": self.address,
                "ROUTER_DISCOVERY": self.discovery_address,
                "ROUTER_CONFIG": f"{self.folder.name}/config.json",
            },
            stderr=asyncio.subprocess.PIPE,
        )
        self.record(f"controller: started, process {self.controller.pid}")
        self.tasks.append(asyncio.ensure_future(self._read_log(self.controller)))
        end = time.monotonic() + 20
        host, port = self.address.split(":")
        while True:
            if time.monotonic() > end or self.controller.returncode is not None:
                raise RuntimeError("the controller did not answer hb")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                self._frame(writer, {"t": "hb"})
                length = await asyncio.wait_for(reader.readexactly(4), 5)
                body = await reader.readexactly(int.from_bytes(length, "big"))
                writer.close()
                if json.loads(body)["t"] == "hb_ok":
                    break
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        self.limits_from = time.monotonic() + 1.0
        self.record("controller: answered hb")

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        while line := await process.stderr.readline():
            self.log_lines.append(line.decode().rstrip())
            self.record(f"log: {line.decode().rstrip()[:600]}")

    async def kill_controller(self) -> None:
        """Kill it outright; the queue and its withdrawals are lost, proxies leave."""
        self.record("controller: killed")
        self.controller.kill()
        await self.controller.wait()
        self.limits_from = None
        self.withdrawn.clear()
        for proxy in self.proxies:
            proxy.out.clear()

    def hang_up(self) -> None:
        """Send SIGHUP."""
        self.controller.send_signal(signal.SIGHUP)
        self.record("controller: sent SIGHUP")

    async def begin(self, extra: str = "", first_join_s: float = 0.3) -> None:
        """Open everything, start the controller, and let the proxies join and send.

        The proxies come within a second, from `first_join_s` after the answer to `hb` on.
        """
        await self.open()
        await self.start_controller(extra)
        self.tasks.append(asyncio.ensure_future(self.traffic()))
        self.tasks.append(asyncio.ensure_future(self.collectors()))
        await asyncio.sleep(first_join_s)
        for proxy in self.proxies:
            self.join(proxy)
            await asyncio.sleep(1.0 / len(self.proxies))

    async def end(self) -> None:
        """End all that was started."""
        if self.controller is not None and self.controller.returncode is None:
            self.controller.terminate()
            try:
                await asyncio.wait_for(self.controller.wait(), 3)
            except TimeoutError:
                self.controller.kill()
                await self.controller.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.folder.cleanup()


async def _play_until_signal(play) -> list[str] | None:
    """Play for 115 s at most; SIGTERM and SIGINT end the play, which ends what it started."""
    task = asyncio.ensure_future(asyncio.wait_for(play, 115))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def main(here: Path, play) -> int:
    """Run `play(record, trouble)`, which returns the rule's breaches, or None if it can't run.

    Return 3 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
    """
    record = Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    try:
        found = asyncio.run(_play_until_signal(play(record, trouble)))
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    if found is None:
        record("verdict: could not run")
        print("could not run")
        return 2
    for text in found:
        record(f"verdict: {text}")
        print(text)
    record("verdict: the rule was broken" if found else "verdict: the rule held")
    print("the rule was broken" if found else "the rule held")
    return 3 if found else 0
