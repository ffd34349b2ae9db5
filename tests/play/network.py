"""Plays a scenario of the controller on loopback: scripted peers, and a clock moved by hand."""

import asyncio
import json
import logging
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import fields, replace
from enum import Enum
from random import Random
from types import SimpleNamespace

from lifthinge.interface import (
    Backend,
    ChannelState,
    FleetNews,
    Proxy,
    RetryMode,
    SetEntry,
    Slice,
    SliceLeaseChanged,
    StoredEntry,
)
from lifthinge.memory.counters import Counters, RateLimitedLog
from lifthinge.memory.deadlines import DeadlineTable
from lifthinge.memory.runtime import Runtime
from lifthinge.memory.slots import SlotPool
from lifthinge.outer_names import KINDS, outer_name
from lifthinge.service.config import ControllerConfig
from lifthinge.service.controller import Controller
from lifthinge.settings import read_layout, read_settings

SITE = {
    "Balancers": 2,
    "SlotNo": 0,
    "Zones": ["za", "zb"],
    "MembershipMode": "push",
    "Weights": "nominal",
    "Services": [
        {"Name": name, "Target": 0.8, "Deadline": 2.0, "Worth": 1.0} for name in ("look", "scan")
    ],
    "Report": {"Fields": ["utilization", "throughput"]},
    "Limits": {"Probes": True, "MayTell": True, "Multiplex": 32},
    "Rules": {"WarmUp": 16.0},
    "Specifics": {
        "Ranges": 8,
        "DataPlaneSize": 6,
        "Admit": "ratio",
        "ReportEvery": 0.5,
        "ChannelRate": 5000.0,
        "FixedCost": 16.0,
        "PendingMax": 7500.0,
        "PushesAllowed": 0,
        "UpdateWindow": 10.0,
        "ConnsLeast": 400.0,
        "TransitMax": 0.3,
    },
}
PATIENCE = 5.0  # real seconds until a scenario that waits for something has failed
PATHS = {
    "call": b"POST /v3/kv/txn ",
    "news": b"GET /v3/kv/watch ",
    "list": b"GET /v1/endpoints",
    "probe": b"GET /",
}


class Script:
    """Stands in for the decisions: notes what it is told, and orders what the scenario says."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.way = ChannelState(True)
        self.due: list[list] = []
        self.fails = False

    def decide(self, now: float, events: Iterable) -> list:
        self.way, *rest = events
        self.told += [told_text(event) for event in rest]
        if self.fails:
            raise RuntimeError("as the scenario says")
        orders = self.due.pop(0) if self.due else []
        for one in rest + orders:  # the present state, as the decisions keep it
            if isinstance(one, SliceLeaseChanged):
                one.slice.table = {}
            elif isinstance(one, (StoredEntry, SetEntry)):
                one.slice.table[one.backend] = one.weight
        return orders


def told_text(event: object) -> str:
    """An event as words: its kind, then its fields with backends, slices and proxies by their ids."""
    if isinstance(event, FleetNews):
        return " ".join(
            ["FleetNews", event.kind.value]
            + [
                f"{one.backend.name}:{one.phase.value}:{one.zone}:{one.started_at_ms:g}:{one.size:g}"
                for one in event.listings
            ]
        )
    values = [getattr(event, field.name) for field in fields(event)]
    return " ".join(
        [outer_name(type(event))]
        + [
            one.name
            if isinstance(one, Backend)
            else str(one.number)
            if isinstance(one, (Slice, Proxy))
            else one.value
            if isinstance(one, Enum)
            else f"{one:g}"
            if isinstance(one, float)
            else ",".join(f"{part:g}" for part in one) or "-"
            if isinstance(one, tuple)
            else str(one)
            for one in values
        ]
    )


class Peer:
    """One scripted party that is called: the relay, discovery, or a backend."""

    def __init__(self) -> None:
        self.server: asyncio.Server
        self.asked: list[tuple[bytes, asyncio.StreamWriter]] = []
        self.current: dict[str, asyncio.StreamWriter] = {}
        self.over: list[asyncio.StreamWriter] = []
        self.opened = 0

    async def open(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                self.asked.append(
                    (head + await reader.readexactly(int(length[1]) if length else 0), writer)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            self.over.append(writer)


class Network:
    """Plays a network scenario: a controller on loopback, scripted peers, and a clock moved by hand.

    A line holds statements, parted by ` ; `.

        settings KEY=JSON ..    changes the site
        known JSON              the list last held; `fleet N`: so many backends, all at one address
        start                   a controller, with a script in place of the decisions
        order KIND ARGS, ..     what is decided next; `shut_out N SEAL`: that so many are out; `probe_all`
        choke                   nothing more leaves on the call's connection
        told WORDS / untold     waits for an event; says that none is left
        way free|taken|SEAL     what the decisions hear of the channel
        pass MS                 moves the clock
        reload [relay] [discovery] [away]   a new configuration, which names new addresses; away: out of reach
        counted NAME N          waits for a counter; `now_counted` doesn't
        program KEY=VALUE ..    the whole program; it has `configure KEY=VALUE ..` (its file, anew),
                                `signal NAME`, `logs WORDS`, `exits CODE WORDS`
        note N TEXT / noted TEXT / stray TEXT       datagrams from, to and beside peers

    Those called are `call`, `news`, `list` and `probe` (`call.1` is a connection remembered apart), each with

        asked WORDS             waits for a request with these in it; `comes WORDS`: while the clock moves
        unasked                 there is none; `takes WORDS`: accepts calls until one has these;
                                `lacks WORDS`: the last one had not
        says STATUS JSON / opens / line JSON / raw TEXT     an answer, a stream, a chunk of it, escaped bytes
        breaks / closes / stops / restarts / ended          a reset, an end; listening, ends or begins; left

    and a connection that comes in is `in NAME` with `opens [N]`, `says JSON`, `bytewise JSON`, `raw TEXT`,
    `floods N JSON` (without reading), `hears JSON`, `silent`, `closes`, `ended` and `rejected`.
    """

    def __init__(self) -> None:
        self.site, self.known = (
            json.loads(json.dumps(SITE)),
            {"version": 0, "full": True, "servers": []},
        )
        self.now, self.script = 1_000_000.0, Script()
        self.relay, self.discovery, self.backend = Peer(), Peer(), Peer()
        self.parties = {
            "call": self.relay,
            "news": self.relay,
            "list": self.discovery,
            "probe": self.backend,
        }
        self.inbound: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.sockets: list[socket.socket] = []
        self.udp: list[socket.socket] = []
        self.controller: Controller | None = None
        self.program: asyncio.subprocess.Process | None = None
        self.address: tuple[str, int] = ("", 0)
        self.files: list[str] = []
        self.body = b""

    def run(self, text: str) -> None:
        asyncio.run(asyncio.wait_for(self._play(text), 10 * PATIENCE))

    async def _play(self, text: str) -> None:
        for peer in (self.relay, self.discovery, self.backend):
            await peer.open()
        deaf = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sockets += [deaf, *(socket.socket() for _ in range(3))]  # the last fill its queue
        for one in self.sockets[1:]:
            one.setblocking(False)
            one.connect_ex(deaf.getsockname())
        try:
            for number, raw in enumerate(text.splitlines(), 1):
                text = (
                    raw.split("#")[0]
                    .replace("$backend", "%s:%d" % self.backend.address)
                    .replace("$deaf", "%s:%d" % deaf.getsockname())
                    .replace("$listen", "%s:%d" % self.address)
                )
                for words in (one.strip().split(" ") for one in text.split(" ; ") if one.strip()):
                    try:
                        await self._do(words[0], words[1:])
                    except Exception as error:
                        raise AssertionError(
                            f"line {number} ({' '.join(words)}): {error!r}"
                        ) from None
            if self.controller:
                self.controller.stop()
                await self._settle()
                left = len(self.controller.runtime.connections) + len(
                    self.controller.runtime.requests
                )
                assert not left, f"{left} connections and requests are left"
        finally:
            for one in self.sockets + self.udp:
                one.close()
            for name in self.files:
                os.unlink(name)
            await self._end_program()

    async def _do(self, word: str, rest: list[str]) -> None:
        party, _, suffix = word.partition(".")
        if party in self.parties:
            await getattr(self, "peer_" + rest[0])(party, word, *rest[1:])
        elif word == "in":
            await getattr(self, "in_" + rest[1])(rest[0], *rest[2:])
        else:
            await getattr(self, "do_" + word)(*rest)

    async def _settle(self) -> None:
        """Lets everybody on this loop go on until nothing is left to do at once."""
        for _ in range(30):
            await asyncio.sleep(0)

    async def _until(self, found: Callable[[], object], what: Callable[[], str]) -> None:
        end = time.monotonic() + PATIENCE
        while not found():
            assert time.monotonic() < end, what()
            await asyncio.sleep(0)

    # The controller, its decisions and its clock.

    async def do_settings(self, *pairs: str) -> None:
        for key, value in (pair.split("=") for pair in pairs):
            *path, last = key.split(".")
            part = self.site
            for name in path:
                part = part[name]
            part[last] = json.loads(value)

    async def do_known(self, text: str) -> None:
        self.known = json.loads(text)

    async def do_fleet(self, count: str) -> None:
        self.known["servers"] = [
            {
                "id": f"s-{number}",
                "addr": "%s:%d" % self.backend.address,
                "zone": "za",
                "state": "ready",
            }
            for number in range(int(count))
        ]

    async def do_start(self, sockets: str = "64") -> None:
        for _ in range(3):
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            one.bind(("127.0.0.1", 0))
            one.setblocking(False)
            self.udp.append(one)
        own = self.udp[0].getsockname()
        self.udp.pop(0).close()
        counters = Counters()
        runtime = Runtime(
            DeadlineTable(
                lambda: self.now, lambda delay, run: SimpleNamespace(cancel=lambda: None)
            ),
            counters,
            RateLimitedLog(logging.getLogger("tests"), counters, lambda: self.now),
            SlotPool(int(sockets)),
            SlotPool(int(sockets)),
            Random(7),
        )
        site = read_layout(self.site)
        peer_listen, peers = (
            (own, (own, self.udp[0].getsockname())) if site.has_peers else (None, ())
        )
        config = ControllerConfig(
            "n0",
            ("127.0.0.1", 0),
            self.discovery.address,
            self.relay.address,
            peer_listen,
            peers,
            None,
            7,
            int(sockets),
            192.0,
            self.known,
            read_settings(self.site),
            site,
        )
        self.controller = Controller(config, runtime, self.script)
        await self.controller.start()
        self.address = self.controller.inbound_server.address

    async def do_reload(self, *what: str) -> None:
        """The old addresses accept no new connection from now on."""
        for name, peer in (("relay", self.relay), ("discovery", self.discovery)):
            if name in what:
                peer.server.close()
                await peer.open()
            if name in what and "away" in what:
                peer.server.close()
        self.controller.reload(
            replace(
                self.controller.config, relay=self.relay.address, discovery=self.discovery.address
            )
        )
        await self._settle()

    async def do_pass(self, span: str) -> None:
        end = self.now + float(span)
        while self.now < end:  # in steps, as waits follow one another
            await self._settle()
            self.now = min(self.now + 10.0, end)
            self.controller.runtime.deadlines.run_due()
        await self._settle()

    async def do_order(self, *words: str) -> None:
        registry, orders = self.controller.registry, []
        kinds = {
            "backend": registry.get_or_add_backend,
            "slice": lambda n: registry.get_or_add_slice(int(n)),
            "proxy": lambda n: registry.get_or_add_proxy(int(n)),
        }
        for one in " ".join(words).split(", ") if words else ():
            name, *args = one.split()
            kind, attributes = KINDS[name]
            values = [
                kinds[field](arg)
                if field in kinds and arg != "all"
                else None
                if arg == "all"
                else unescape([arg])
                if field == "content"
                else arg
                if field == "text"
                else RetryMode(int(arg))
                if field == "retry"
                else tuple(json.loads(arg))
                if field == "methods"
                else json.loads(arg)
                for field, arg in zip(attributes, args)
            ]
            orders.append(kind(*values))
        self.script.due.append(orders)
        self.controller.publish([])

    async def do_shut_out(self, count: str, seal: str) -> None:
        orders = [f"ShutOut s-{number:03}{'x' * 195} true" for number in range(int(count))]
        await self.do_order(*", ".join([*orders, f"Seal {seal}"]).split(" "))

    async def do_probe_all(self) -> None:
        await self.do_order(
            *", ".join(f"Probe {name}" for name in self.controller.registry.backends).split(" ")
        )

    async def do_choke(self) -> None:
        """What is written to the relay's call from now on does not leave."""
        self.controller.relay._client._connection.pause_writing()

    async def do_told(self, *words: str) -> None:
        wanted = " ".join(words)
        await self._until(
            lambda: wanted in self.script.told, lambda: f"it was told {self.script.told}"
        )
        self.script.told.remove(wanted)

    async def do_untold(self) -> None:
        await self._settle()
        assert not self.script.told, f"it was told {self.script.told}"

    async def do_way(self, state: str) -> None:
        wanted = ChannelState(state == "free", 0 if state in ("free", "taken") else int(state))
        await self._until(lambda: self.script.way == wanted, lambda: f"it is {self.script.way}")

    async def do_decisions(self, word: str) -> None:
        self.script.fails = word == "fail"

    async def do_counted(self, name: str, count: str) -> None:
        def found() -> float:
            return self.controller.runtime.counters.get(name)

        await self._until(lambda: found() == float(count), lambda: f"it is {found()}")

    async def do_now_counted(self, name: str, count: str) -> None:
        await self._settle()
        found = self.controller.runtime.counters.get(name)
        assert found == float(count), f"it is {found}"

    # The program as a whole, in a process of its own and in real time.

    async def do_program(self, *pairs: str) -> None:
        """Starts it, in place of one before; `ROUTER_X=TEXT` or `key.key=JSON` changes what it is told."""
        await self._end_program()
        with socket.socket() as one:
            one.bind(("127.0.0.1", 0))
            self.address = one.getsockname()
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            self.files.append(file.name)
        self.environment = {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": "%s:%d" % self.address,
            "ROUTER_CONFIG": file.name,
            "ROUTER_DISCOVERY": "%s:%d" % self.discovery.address,
        }
        await self.do_configure(*pairs)
        self.program = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lifthinge", env=self.environment, stderr=asyncio.subprocess.PIPE
        )

    async def _end_program(self) -> None:
        if self.program and self.program.returncode is None:
            self.program.kill()
            await self.program.wait()

    async def do_configure(self, *pairs: str) -> None:
        """Writes its configuration; what is no pair is written as it stands."""
        conf = {
            "seed": "0f",
            "limits": {"sockets": 64},
            "known": self.known,
            "settings": self.site,
            "distributor": {"address": "%s:%d" % self.relay.address},
            "peers": [],
            "peer_listen": "%s:%d" % self.address,
            "discovery": "%s:%d" % self.discovery.address,
        }
        for key, value in (pair.split("=", 1) for pair in pairs if "=" in pair):
            part, (*path, last) = (
                self.environment if key.startswith("ROUTER") else conf,
                key.split("."),
            )
            for name in path:
                part = part[name]
            part[last] = value if part is self.environment else json.loads(value) if value else None
            if not value:
                del part[last]
        with open(self.files[-1], "w") as file:
            file.write(pairs[0] if pairs and "=" not in pairs[0] else json.dumps(conf))

    async def do_logs(self, *words: str) -> None:
        """Waits for a log line that has these words."""
        while line := (await asyncio.wait_for(self.program.stderr.readline(), PATIENCE)).decode():
            if all(word in line for word in words):
                return
        raise AssertionError("it logged nothing such")

    async def do_exits(self, code: str, *words: str) -> None:
        """Waits for its end; with words, for one log line that has them, and no other."""
        rest = (await asyncio.wait_for(self.program.stderr.read(), PATIENCE)).decode()
        found = await self.program.wait()
        assert found == int(code), f"it ended with {found}: {rest}"
        assert not words or rest.count("\n") == 1 and all(word in rest for word in words), (
            f"it logged {rest}"
        )

    async def do_signal(self, name: str) -> None:
        self.program.send_signal(getattr(signal, name))

    # Those that are called.

    async def peer_asked(self, party: str, name: str, *words: str) -> None:
        peer, path = self.parties[party], PATHS[party]

        def first() -> tuple | None:
            return next((one for one in peer.asked if one[0].startswith(path)), None)

        await self._until(first, lambda: "nothing was asked")
        found = first()
        peer.asked.remove(found)
        peer.current[name] = found[1]
        self.body = found[0].partition(b"\r\n\r\n")[2]
        for word in words:
            assert word.encode() in found[0], f"it asked {found[0]}"

    async def peer_comes(self, party: str, name: str, *words: str) -> None:
        for _ in range(100):
            await self._settle()
            if any(one[0].startswith(PATHS[party]) for one in self.parties[party].asked):
                break
            await self.do_pass("10")
        await self.peer_asked(party, name, *words)

    async def peer_unasked(self, party: str, name: str) -> None:
        await self._settle()
        left = [one[0] for one in self.parties[party].asked if one[0].startswith(PATHS[party])]
        assert not left, f"it asked {left}"

    async def peer_says(self, party: str, name: str, status: str, *words: str) -> None:
        body = " ".join(words).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.parties[party].current[name].write(head.encode() + body)
        await self._settle()

    async def peer_takes(self, party: str, name: str, *words: str) -> None:
        """Takes all orders, call by call, until one call has these words."""
        while True:
            await self.peer_asked(party, name)
            body = json.loads(self.body)
            await self.peer_says(party, name, "200", '{"accepted":%d}' % len(body["orders"]))
            if all(word.encode() in self.body for word in words):
                return

    async def peer_lacks(self, party: str, name: str, *words: str) -> None:
        assert not any(word.encode() in self.body for word in words), f"it asked {self.body!r}"

    async def peer_raw(self, party: str, name: str, *words: str) -> None:
        self.parties[party].current[name].write(unescape(words))
        await self._settle()

    async def peer_opens(self, party: str, name: str) -> None:
        await self.peer_raw(
            party, name, r"HTTP/1.1\x20200\x20OK\r\nTransfer-Encoding:\x20chunked\r\n\r\n"
        )

    async def peer_line(self, party: str, name: str, *words: str) -> None:
        line = " ".join(words).encode() + b"\n"
        self.parties[party].current[name].write(b"%x\r\n%s\r\n" % (len(line), line))
        await self._settle()

    async def peer_breaks(self, party: str, name: str) -> None:
        reset(self.parties[party].current[name])
        await self._settle()

    async def peer_closes(self, party: str, name: str) -> None:
        self.parties[party].current[name].close()
        await self._settle()

    async def peer_stops(self, party: str, name: str) -> None:
        self.parties[party].server.close()

    async def peer_restarts(self, party: str, name: str) -> None:
        await self.parties[party].open(self.parties[party].address[1])

    async def peer_ended(self, party: str, name: str) -> None:
        peer = self.parties[party]
        await self._until(lambda: peer.current[name] in peer.over, lambda: "it is up")

    async def peer_opened(self, party: str, name: str, count: str) -> None:
        await self._settle()
        assert self.parties[party].opened == int(count), f"it was {self.parties[party].opened}"

    # Those that come in.

    async def in_opens(self, name: str, count: str = "1") -> None:
        for _ in range(int(count)):
            pair = await asyncio.open_connection(*self.address)
            self.inbound.setdefault(name, []).append(pair)
            await self._settle()

    async def in_says(self, name: str, *words: str) -> None:
        body = " ".join(words).encode()
        await self._send(name, len(body).to_bytes(4, "big") + body)

    async def in_floods(self, name: str, count: str, *words: str) -> None:
        """Says it so often, and reads nothing."""
        body = " ".join(words).encode()
        for _, writer in self.inbound[name]:
            writer.transport.pause_reading()
            writer.write((len(body).to_bytes(4, "big") + body) * int(count))
        await self._settle()

    async def in_raw(self, name: str, *words: str) -> None:
        await self._send(name, unescape(words))

    async def in_bytewise(self, name: str, *words: str) -> None:
        body = " ".join(words).encode()
        for byte in len(body).to_bytes(4, "big") + body:
            await self._send(name, bytes((byte,)))

    async def _send(self, name: str, data: bytes) -> None:
        for _, writer in self.inbound[name]:
            writer.write(data)
        await self._settle()

    async def in_hears(self, name: str, *words: str) -> None:
        for reader, _ in self.inbound[name]:
            length = await asyncio.wait_for(reader.readexactly(4), PATIENCE)
            found = json.loads(await reader.readexactly(int.from_bytes(length, "big")))
            assert found == json.loads(" ".join(words)), f"it heard {found}"

    async def in_silent(self, name: str) -> None:
        await self._settle()
        for reader, _ in self.inbound[name]:
            assert not reader._buffer and not reader.at_eof() and not reader.exception(), (
                "it heard something"
            )

    async def in_closes(self, name: str) -> None:
        for _, writer in self.inbound[name]:
            writer.close()
        await self._settle()

    async def in_ended(self, name: str) -> None:
        for reader, _ in self.inbound[name]:
            try:
                assert await asyncio.wait_for(reader.read(1), PATIENCE) == b"", "it heard something"
            except ConnectionError:
                pass

    async def in_rejected(self, name: str) -> None:
        await self.in_hears(name, '{"t":"reject"}')
        await self.in_ended(name)

    # Datagrams.

    async def do_note(self, number: str, *words: str) -> None:
        self.udp[int(number) - 1].sendto(unescape(words), self.controller.peers.peers[0])

    async def do_stray(self, *words: str) -> None:
        self.udp[1].sendto(unescape(words), self.controller.peers.peers[0])

    async def do_noted(self, *words: str) -> None:
        found = await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(self.udp[0], 512), PATIENCE
        )
        assert found == unescape(words), f"it is {found!r}"


def unescape(words: Iterable[str]) -> bytes:
    """Bytes out of text; `*N` after an escape-free word repeats it."""
    text = " ".join(words)
    if found := re.fullmatch(r"(.)\*(\d+)", text):
        text = found[1] * int(found[2])
    return text.encode().decode("unicode_escape").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()
