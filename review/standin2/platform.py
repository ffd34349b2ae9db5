"""The platform as the pages have it: discovery, the relay with its store and channel, proxies.

One `Platform` serves one controller process. Proxies keep their streams to the relay, read the
store when they join or a slice is given, and obey tables, withdrawals and levels. Sending is left
to the cases; `Proxy.lines` tells where a proxy may send.
"""

import asyncio
import json
import os
import random
import secrets
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from standin2.cluster import ROOT, CaseNotRunError, Record, free_port

BEAT_S = 1.0  # between signs of life in the news
FIRST_BEAT_S = 0.2
SYNC_S = (0.08, 0.5)  # a proxy's reading of the store
MS = 1000.0
ALL_SLICES = -1  # stands for all slices in levels


def small_settings(
    controllers: int = 1, number: int = 0, slices: int = 24, proxies: int = 6
) -> dict:
    """Return settings of the form and the figures of the wire page's example."""
    return {
        "Balancers": controllers,
        "Blend": {"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.4},
        "DomainType": "control",
        "Limits": {
            "CpuUsPerS": 600000,
            "DialTimeout": 0.25,
            "Keepalive": 15.0,
            "MayTell": False,
            "Multiplex": 32,
            "Probes": False,
        },
        "Locality": 0,
        "MembershipMode": "push",
        "Quantum": 0.002,
        "Report": {"Fields": ["utilization", "throughput"], "How": "piggyback"},
        "Rules": {
            "AskWithin": 10.0,
            "ColdFrom": 0.16,
            "FallMultiple": 3.0,
            "StopSendingWithin": 2.1,
            "TipAfter": 2.0,
            "WarmUp": 16.0,
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
        "SlotNo": number,
        "Specifics": {
            "Admit": "ratio",
            "Blackhole": 2.3,
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
        },
        "Weights": "nominal",
        "WorthBy": "request",
        "Zones": ["hal-a", "hal-b", "hal-c"],
    }


@dataclass
class Proxy:
    """A proxy with what it holds of the controller's orders."""

    number: int
    zone: str
    joined: bool = False
    joined_at: float = 0.0
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    out: set[str] = field(default_factory=set)
    levels: dict[tuple[int, str], float] = field(default_factory=dict)
    stream: int = 0  # counts its streams; messages of an earlier one are lost
    # When it lost the controller, until it has read the store anew; None while it has one.
    lost_at: float | None = None

    def lines(self, slice_: int) -> dict[str, float]:
        """Return the lines of a slice that a request may go by."""
        table = self.tables.get(slice_, {})
        return {name: weight for name, weight in table.items() if name not in self.out}

    def level(self, slice_: int, method: str) -> float:
        """Return the level of a method in a slice: the lower of its own and that of all slices."""
        own = self.levels.get((slice_, method), 1.0)
        return min(own, self.levels.get((ALL_SLICES, method), 1.0))


class Platform:
    """Discovery, relay and proxies of one controller, and the controller's process."""

    def __init__(
        self, record: Record, name: str, settings: dict, slices: range | None = None, seed: int = 1
    ) -> None:
        self.record = record
        self.name = name
        self.settings = settings
        self.dice = random.Random(seed)
        specifics = settings["Specifics"]
        self.slices = slices if slices is not None else range(specifics["Ranges"])
        zones = settings["Zones"]
        self.proxies = [
            Proxy(number, zones[number % len(zones)])
            for number in range(specifics["DataPlaneSize"])
        ]
        # Id of a backend -> its entry in discovery's form.
        self.servers: dict[str, dict] = {}
        self.version = 1
        self.changes: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.store: dict[int, dict[str, float]] = {}
        self.store_levels: dict[tuple[int, str], float] = {}
        self.held: set[int] = set(self.slices)  # slices in this controller's charge
        self.withdrawn: set[str] = set()  # by the present controller
        self.news: list[asyncio.StreamWriter] = []
        self.relay_away = False  # out of reach for new connections, and silent
        self.is_grant_due = False  # whether the next controller is given all slices anew
        self.channel_free_at = 0.0
        self.calls = 0
        self.process: asyncio.subprocess.Process | None = None
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.listen = f"127.0.0.1:{free_port()}"
        self.tasks: list[asyncio.Task] = []
        self.servers_open: list[asyncio.Server] = []
        self.beats: asyncio.Task | None = None

    # Set up.

    def add_server(self, name: str, zone: str, state: str = "ready") -> None:
        """List a backend that started long ago."""
        port = 3000 + len(self.servers)
        self.servers[name] = {
            "id": name,
            "addr": f"127.0.0.1:{port}",
            "zone": zone,
            "kind": "small-fast",
            "cell": len(self.servers) // 4,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def open(self) -> None:
        """Open discovery and the relay, and give each slice its first line."""
        names = list(self.servers)
        for slice_ in self.slices:
            self.store[slice_] = {names[slice_ % len(names)]: 1.0}
        for serve in (self._serve_discovery, self._serve_relay):
            server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 21)
            self.servers_open.append(server)
        self.discovery, self.relay = (
            f"127.0.0.1:{one.sockets[0].getsockname()[1]}" for one in self.servers_open
        )
        self.tasks.append(asyncio.ensure_future(self._beat()))
        for proxy in self.proxies:
            await self.join(proxy)

    async def start_controller(self, operators: str = "") -> None:
        """Start the controller, by the deploy file's command or with an operators' file."""
        listing = {"version": self.version, "full": True, "servers": list(self.servers.values())}
        config = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": secrets.token_hex(8),  # new with each start
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "distributor": {"address": self.relay},
            "known": listing,
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        command = "exec .venv/bin/python -m lifthinge"
        if operators:
            command = f"exec .venv/bin/lifthinge run --operator {operators}"
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env={
                    **os.environ,
                    "ROUTER_NAME": self.name,
                    "ROUTER_LISTEN": self.listen,
                    "ROUTER_DISCOVERY": self.discovery,
                    "ROUTER_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record(self.name, "started, pid", self.process.pid)

    async def wait_until_ready(self, patience_s: float = 30.0) -> None:
        """Wait until the controller answers a sign of life."""
        host, port = self.listen.split(":")
        end = time.monotonic() + patience_s
        body = b'{"t":"hb"}'
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                writer.write(len(body).to_bytes(4, "big") + body)
                await asyncio.wait_for(reader.readexactly(4), 5.0)
                self.record(self.name, "ready")
                return
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
            finally:
                writer.close()
        raise CaseNotRunError(f"{self.name} was not ready in time")

    async def kill_controller(self, number: int = signal.SIGKILL) -> None:
        """Kill the controller: its withdrawals and what waits in its channel are lost."""
        self.record(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)
        await self.process.wait()
        self.news.clear()
        self.withdrawn.clear()
        self.is_grant_due = True
        for proxy in self.proxies:
            proxy.stream += 1
            proxy.lost_at = time.monotonic()

    async def end(self) -> None:
        """End the controller and all servers; record the controller's log."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for task in self.tasks:
            task.cancel()
        for server in self.servers_open:
            server.close()
        for writer in self.news:
            writer.transport.abort()
        log = self.folder / "log"
        if log.exists():
            self.record("log of", self.name)
            for line in log.read_text().splitlines()[-60:]:
                self.record("    |", line)
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    # Discovery.

    def change(self, name: str, **fields: object) -> None:
        """Change a backend's entry, as the agent tells it from now on."""
        self.version += 1
        entry = {**self.servers[name], **fields}
        if entry["state"] == "gone":
            del self.servers[name]
        else:
            self.servers[name] = entry
        self.changes.append((self.version, entry))
        self.record(self.name, "discovery tells", name, fields)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve_discovery(self, reader, writer) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = head.split(b" ")[1].decode().partition("?")[2]
                fields = dict(part.split("=") for part in query.split("&") if part)
                if "since" not in fields:
                    answer = {
                        "version": self.version,
                        "full": True,
                        "servers": list(self.servers.values()),
                    }
                else:
                    since = int(fields["since"])
                    if self.version <= since:
                        try:
                            wait_s = int(fields.get("timeout_ms", 0)) / MS
                            await asyncio.wait_for(self.changed.wait(), wait_s)
                        except TimeoutError:
                            pass
                    news = {entry["id"]: entry for at, entry in self.changes if at > since}
                    answer = {"version": self.version, "full": False, "servers": [*news.values()]}
                _respond(writer, answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # The relay.

    async def _serve_relay(self, reader, writer) -> None:
        if self.relay_away:
            writer.transport.abort()
            return
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET "):
                    await self._open_news(reader, writer)
                    return
                length = next(
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length:")
                )
                body = json.loads(await reader.readexactly(length))
                if self.relay_away:
                    writer.transport.abort()
                    return
                _respond(writer, {"accepted": self._carry_out(body["orders"])})
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _grant_anew(self) -> None:
        """Give a new controller its slices: levels are void, each proxy fetches from the store."""
        self.is_grant_due = False
        self.record(self.name, "slices are given to the new controller")
        self.store_levels.clear()
        for proxy in self.proxies:
            if proxy.joined:
                self.read_store(proxy, self.slices)

    async def _open_news(self, reader, writer) -> None:
        if self.is_grant_due:
            self._grant_anew()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for proxy in self.proxies:
            if proxy.joined:
                _tell(writer, "attach", self._attach_fields(proxy))
        for slice_ in sorted(self.held):
            _tell(writer, "owner", {"slice": slice_, "on": True})
            for server, weight in self.store[slice_].items():
                _tell(writer, "entry", {"slice": slice_, "server": server, "weight": weight})
        self.news.append(writer)
        await asyncio.sleep(FIRST_BEAT_S)
        _beat(writer)
        await reader.read(1)
        if writer in self.news:
            self.news.remove(writer)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for writer in self.news:
                if not self.relay_away:
                    _beat(writer)

    def tell(self, kind: str, fields: dict) -> None:
        """Tell news on all connections that have it."""
        for writer in self.news:
            if not self.relay_away:
                _tell(writer, kind, fields)

    def break_news(self) -> None:
        """Reset all connections that have the news."""
        news, self.news = self.news, []
        for writer in news:
            writer.transport.abort()

    @staticmethod
    def _attach_fields(proxy: Proxy) -> dict:
        return {"proxy": proxy.number, "zone": proxy.zone, "weight": 20.0, "fresh": False}

    async def join(self, proxy: Proxy) -> None:
        """Let a proxy open its stream; it reads the store, and gets the messages from now on."""
        proxy.joined, proxy.joined_at = True, time.monotonic()
        proxy.stream += 1
        proxy.out.clear()
        self.record(self.name, "proxy", proxy.number, "joins")
        self.tell("attach", self._attach_fields(proxy))
        self.read_store(proxy, self.slices)

    def leave(self, proxy: Proxy) -> None:
        """Let a proxy lose its stream; it goes on by what it holds."""
        proxy.joined = False
        proxy.stream += 1
        self.record(self.name, "proxy", proxy.number, "leaves")
        self.tell("detach", {"proxy": proxy.number})

    def read_store(self, proxy: Proxy, slices: range | set[int]) -> None:
        """Have a proxy read the store: it holds the tables as they are when the reading ends."""
        stream = proxy.stream

        def read() -> None:
            if proxy.stream == stream:
                if proxy.lost_at is not None:
                    proxy.lost_at = None
                    proxy.out = set(self.withdrawn)
                fresh = {*slices, ALL_SLICES}
                for slice_ in slices:
                    proxy.tables[slice_] = dict(self.store.get(slice_, {}))
                for key in [key for key in proxy.levels if key[0] in fresh]:
                    del proxy.levels[key]
                proxy.levels.update(
                    {key: one for key, one in self.store_levels.items() if key[0] in fresh}
                )

        asyncio.get_running_loop().call_later(self.dice.uniform(*SYNC_S), read)

    def _carry_out(self, orders: list[dict]) -> int:
        """Carry out a call: the store at once, the proxies by a message each."""
        self.calls += 1
        self.record(self.name, "call", self.calls, json.dumps(orders, separators=(",", ":")))
        accepted = []
        for order in orders:
            if not self._is_usable(order):
                break
            accepted.append(order)
            self._store(order)
        self._send(accepted)
        return len(accepted)

    def _is_usable(self, order: dict) -> bool:
        listed = {entry["id"] for _, entry in self.changes} | set(self.servers)
        return "server" not in order or order["server"] in listed

    def _store(self, order: dict) -> None:
        group = order.get("group", "*")
        if order["do"] == "SET" and group in self.held:
            table = {} if self.settings["Specifics"]["OneOwner"] else self.store[group]
            if order["weight"] > 0:
                self.store[group] = {**table, order["server"]: order["weight"]}
            else:
                self.store[group].pop(order["server"], None)
        elif order["do"] == "DEL" and group in self.held:
            self.store[group] = {}
        elif order["do"] == "OUT":
            self.withdrawn.add(order["server"])
        elif order["do"] == "IN":
            self.withdrawn.discard(order["server"])
        elif order["do"] == "LIMIT":
            _set_levels(self.store_levels, order, self.held, self._methods())

    def _methods(self) -> list[str]:
        return [service["Name"] for service in self.settings["Services"]]

    def _send(self, orders: list[dict]) -> None:
        specifics = self.settings["Specifics"]
        lines = len(orders) + specifics["FixedCost"]
        now = time.monotonic()
        joined = [proxy for proxy in self.proxies if proxy.joined]
        for proxy in joined:
            begin = max(self.channel_free_at, now)
            self.channel_free_at = begin + lines / specifics["ChannelRate"]
            transit = min(
                specifics["Propagation"] * self.dice.uniform(0.6, 1.6), specifics["TransitMax"]
            )
            delay = self.channel_free_at - now + transit
            asyncio.get_running_loop().call_later(
                delay, self._reach, proxy, proxy.stream, orders, now
            )

    def _reach(self, proxy: Proxy, stream: int, orders: list[dict], sent_at: float) -> None:
        if proxy.stream != stream or not proxy.joined:
            return
        for order in orders:
            group = order.get("group", "*")
            if order["do"] == "SET" and group in self.held:
                one_owner = self.settings["Specifics"]["OneOwner"]
                table = {} if one_owner else proxy.tables.setdefault(group, {})
                proxy.tables[group] = {**table, order["server"]: order["weight"]}
                if order["weight"] <= 0:
                    del proxy.tables[group][order["server"]]
            elif order["do"] == "DEL" and group in self.held:
                proxy.tables[group] = {}
            elif order["do"] == "OUT":
                proxy.out.add(order["server"])
            elif order["do"] == "IN":
                proxy.out.discard(order["server"])
            elif order["do"] == "LIMIT":
                _set_levels(proxy.levels, order, self.held, self._methods())
            elif order["do"] == "SYNC":
                took = (time.monotonic() - sent_at) * MS
                fields = {"proxy": proxy.number, "mark": order["nonce_out"], "took_ms": took}
                asyncio.get_running_loop().call_later(
                    self.settings["Specifics"]["Propagation"], self.tell, "done", fields
                )


def _set_levels(
    levels: dict[tuple[int, str], float], order: dict, held: set[int], methods: list[str]
) -> None:
    group = order.get("group", "*")
    routes = order.get("routes", "*")
    for slice_ in {ALL_SLICES} if group == "*" else {group} & held:
        for method in methods if routes == "*" else routes:
            levels[slice_, method] = order["admit"]


def _respond(writer: asyncio.StreamWriter, answer: dict) -> None:
    body = json.dumps(answer).encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


def _chunk(writer: asyncio.StreamWriter, line: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def _beat(writer: asyncio.StreamWriter) -> None:
    _chunk(writer, b"{}\n")


def _tell(writer: asyncio.StreamWriter, kind: str, fields: dict) -> None:
    _chunk(writer, json.dumps({"type": kind, "object": fields}).encode() + b"\n")
