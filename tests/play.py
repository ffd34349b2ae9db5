"""Plays a scenario: a text of canned events and of what must be seen after them.

A line holds statements, parted by `;`: a word and its arguments. `#` starts a comment. Names of backends are
single words, slices and proxies are numbers, times are milliseconds.

    terms KEY=VALUE ..      the site's terms, before anything else
    at T                    play on until T: timers, standing reports and confirmations come as they fall due
    list a ready|draining|gone [zone=Z] [size=S] [started=T]     news of one backend, or a,b
    fleet a b c             ready backends, in zones 0, 1, 2, 0 and so on
    missed                  the list could not be had
    join N .. / leave N     proxies come, one goes
    given S a:W b:W / taken S
    heard a TOTAL ABORTED TOOK / heat S N [PERIODS]      a standing report, each period or so many; 0 ends it
    once a TOTAL ABORTED TOOK                            one report beside them
    confirm yes|no          whether seals are confirmed (after 100 ms)
    channel free|held|unknown       what is heard of it from now on; unknown: the last call's fate
    kill                    the instance dies; the next one knows nothing
    clear                   forget what was ordered so far, for `said`, `sent` and `asked`

and, as assertions: `owner S a`, `part S a P` (of a slice's
RPCs, were it let in), `bare S`, `out a`, `in a`, `level S METHOD PART`, `said WORDS`,
`unsaid WORDS`, `sent N` (orders of lines, levels and withdrawals), `sent some`, `queued N` (lines that
wait, at most), `followed N`, `bound N`, `repeated N` (calls), `forgot a`. In all scenarios a slice keeps
an open line while one is ready.
"""
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
from dataclasses import fields, replace
from enum import Enum
from random import Random
from types import SimpleNamespace
from typing import Callable, Iterable, Optional

from lifthinge import interface
from lifthinge.choice import Choice
from lifthinge.interface import (
    Backend, BindProxy, ChannelState, ClearTable, FleetNews, FollowList, Forget, Form, Leased, Listing,
    Method, Phase, Proxy, ProxyJoined, ProxyLeft, RepeatCall, Retry, Say, Seal, SealConfirmed, SetLevel,
    SetLine, ShutOut, SiteTerms, Slice, SliceHeat, StoredLine, TimerDue, TriesReport, Wake)
from lifthinge.memory.books import Books
from lifthinge.memory.counters import Counters, Notices
from lifthinge.memory.deadlines import Deadlines
from lifthinge.memory.slots import Slots
from lifthinge.service.controller import Controller
from lifthinge.service.environment import Place
from lifthinge.terms import read_map, read_terms

TERMS = SiteTerms(
    methods=(Method(1500.0, 5000.0, 1.0), Method(800.0, 2000.0, 3.0)),
    sliced=True, one_owner=False, news_on_request=False, sizes_told=True, levels="ratio", report_every=1000.0,
    channel_rate=5.0, head_lines=10.0, pending_max=7500.0, pushes_allowed=0, update_window=10000.0,
    warm_up=16000.0)


class Stage:
    """One instance, the canned events still to come, and what its orders add up to."""

    def __init__(self) -> None:
        self.terms, self.now, self.choice = TERMS, 0.0, None
        self.names: dict = {}
        self.reports: dict = {}
        self.due: list = []
        self.confirming = True
        self.reborn()

    def reborn(self) -> None:
        self.choice, self.joined, self.tables, self.out, self.levels = None, {}, {}, set(), {}
        self.said, self.sent, self.followed, self.bound, self.waiting = [], 0, 0, set(), {}
        self.forgotten: set[Backend] = set()
        self.next_report, self.due = self.now + self.terms.report_every, []
        self.state, self.repeats, self.sealed = None, 0, 0

    def name(self, kind: type, name: str) -> object:
        key = kind, name
        if key not in self.names:
            self.names[key] = Backend(name, name) if kind is Backend else kind(int(name))
        return self.names[key]

    def tell(self, *events: object) -> None:
        """Hands over one batch and takes in its orders."""
        if self.choice is None:
            self.choice = Choice(self.terms, 7)
        lines, marks = 0, []
        for order in self.choice.decide(self.now, [self.state, *events] if self.state else events):
            lines += isinstance(order, (SetLine, ShutOut, SetLevel, ClearTable, Seal))
            self.take(order)
            marks += [order.number] if isinstance(order, Seal) else []
        for number in marks:
            self.sealed = number
            self.waiting[number] = (lines + self.terms.head_lines) * len(self.joined)
            if self.confirming:
                answers = [SealConfirmed(p, number, 100.0) for p in self.joined]
                self.due.append((self.now + 100.0, answers, number))
        ready = any(kind is Backend and one.phase is Phase.READY for (kind, _), one in self.names.items())
        for slice_, lines_ in self.tables.items() if ready else ():
            assert not lines_ or any(b not in self.out for b in lines_), f"slice {slice_.number} is left bare"

    def take(self, order: object) -> None:
        if isinstance(order, SetLine):
            self.names.setdefault((Slice, str(order.slice.number)), order.slice)
            table = self.tables.setdefault(order.slice, {})
            table[order.backend] = order.weight
            if not order.weight:
                del table[order.backend]
        elif isinstance(order, ShutOut):
            (self.out.add if order.out else self.out.discard)(order.backend)
        elif isinstance(order, SetLevel):
            assert order.retry <= Retry.NEVER_RAN, "an effect may come twice"
            for slice_ in [order.slice] if order.slice else self.tables:
                self.levels.update({(slice_, k): min(order.level, 1.0) for k in order.methods})
        elif isinstance(order, Wake):
            self.due.append((self.now + order.delay, [TimerDue(order.handle)], 0))
        elif isinstance(order, Say):
            self.said.append(order.text)
        elif isinstance(order, Forget):
            assert not any(order.backend in table for table in self.tables.values()), "a table names it"
            self.forgotten.add(order.backend)
        self.followed += isinstance(order, FollowList)
        self.repeats += isinstance(order, RepeatCall)
        self.bound |= {order.proxy} if isinstance(order, BindProxy) else set()
        self.sent += isinstance(order, (SetLine, ShutOut, SetLevel))

    def play_to(self, until: float) -> None:
        while True:
            at = min([entry[0] for entry in self.due] + [self.next_report])
            if at > until:
                break
            self.now = at
            if at == self.next_report:
                self.next_report += self.terms.report_every
                self.tell(*(make() for make in self.reports.values()))
                continue
            entry = min(self.due, key=lambda one: one[0])
            self.due.remove(entry)
            self.waiting.pop(entry[2], None)
            self.tell(*entry[1])
        self.now = until

    def run(self, text: str) -> None:
        for number, raw in enumerate(text.splitlines(), 1):
            for words in filter(None, map(str.split, raw.split("#")[0].split(";"))):
                try:
                    getattr(self, "do_" + words[0])(*words[1:])
                except AssertionError as error:
                    raise AssertionError(f"line {number} ({' '.join(words)}): {error}") from None

    def do_terms(self, *pairs: str) -> None:
        values = dict(pair.split("=") for pair in pairs)
        self.terms = replace(self.terms, **{
            key: value if key == "levels" else type(getattr(TERMS, key))(float(value))
            for key, value in values.items()})

    def do_at(self, until: str) -> None:
        self.play_to(float(until))

    def do_list(self, name: str, phase: str, *pairs: str) -> None:
        facts = dict(pair.split("=") for pair in pairs)
        self.tell(FleetNews(Form.DELTA, [Listing(
            self.name(Backend, one), int(facts.get("zone", 0)), 0, Phase(phase),
            float(facts.get("started", 0)), float(facts.get("size", 1))) for one in name.split(",")]))

    def do_missed(self) -> None:
        self.tell(FleetNews(Form.MISSED, []))

    def do_fleet(self, *names: str) -> None:
        for place, name in enumerate(names):
            self.do_list(name, "ready", f"zone={place % 3}")

    def do_join(self, *numbers: str) -> None:
        for number in numbers:
            proxy = self.name(Proxy, number)
            self.joined[proxy] = None
            self.tell(ProxyJoined(proxy, True))

    def do_leave(self, number: str) -> None:
        self.joined.pop(self.name(Proxy, number), None)
        self.tell(ProxyLeft(self.name(Proxy, number)))

    def do_given(self, number: str, *lines: str) -> None:
        slice_ = self.name(Slice, number)
        pairs = [(self.name(Backend, line.split(":")[0]), float(line.split(":")[1])) for line in lines]
        self.tables[slice_] = dict(pairs)
        self.levels = {key: level for key, level in self.levels.items() if key[0] is not slice_}
        self.tell(Leased(slice_, True), *(StoredLine(slice_, backend, weight) for backend, weight in pairs))

    def do_taken(self, number: str) -> None:
        self.tables.pop(self.name(Slice, number), None)
        self.tell(Leased(self.name(Slice, number), False))

    def do_heard(self, name: str, total: str, aborted: str, took: str) -> None:
        self.reports["heard", name] = lambda: TriesReport(
            0, self.name(Backend, name), int(total), int(aborted), float(took), self.terms.report_every, ())

    def do_once(self, name: str, total: str, aborted: str, took: str) -> None:
        self.tell(TriesReport(0, self.name(Backend, name), int(total), int(aborted), float(took),
                              self.terms.report_every, ()))

    def do_heat(self, number: str, total: str, periods: str = "1") -> None:
        span = self.terms.report_every * int(periods)
        self.reports["heat", number] = lambda: TimerDue(0) if self.now % span else SliceHeat(
            self.name(Slice, number), 0, int(total), 0, span)

    def do_confirm(self, word: str) -> None:
        self.confirming = word == "yes"

    def do_channel(self, state: str) -> None:
        self.state = ChannelState(state == "free", self.sealed if state == "unknown" else 0)
        self.tell()

    def do_repeated(self, count: str) -> None:
        assert self.repeats == int(count), f"it was {self.repeats} times"

    def do_kill(self) -> None:
        self.names = {key: value for key, value in self.names.items() if key[0] is not Backend}
        self.reborn()

    def do_clear(self) -> None:
        self.said, self.sent = [], 0

    def do_owner(self, number: str, name: str) -> None:
        lines = {b: w for b, w in self.tables[self.name(Slice, number)].items() if b not in self.out}
        found = max(lines, key=lines.get).name
        assert found == name, f"it is {found}"

    def do_part(self, number: str, name: str, part: str) -> None:
        table, backend = self.tables[self.name(Slice, number)], self.name(Backend, name)
        beside = sum(w for b, w in table.items() if b is not backend and b not in self.out)
        found = table.get(backend, 0.0) / ((table.get(backend, 0.0) + beside) or 1.0)
        assert abs(found - float(part)) < 0.01, f"it is {found}"

    def do_out(self, name: str) -> None:
        assert self.name(Backend, name) in self.out, "it is in"

    def do_forgot(self, name: str) -> None:
        assert self.name(Backend, name) in self.forgotten, "it is kept"
        assert self.name(Backend, name) not in self.choice.backends, "the decisions keep it"

    def do_in(self, name: str) -> None:
        assert self.name(Backend, name) not in self.out, "it is out"

    def do_level(self, number: str, method: str, part: str) -> None:
        key = self.name(Slice, number), int(method)
        found = self.levels.get(key)
        assert found is not None and abs(found - float(part)) < 1e-6, f"it is {found}"

    def do_said(self, *words: str) -> None:
        assert any(" ".join(words) in text for text in self.said), f"it said {self.said}"

    def do_unsaid(self, *words: str) -> None:
        assert not any(" ".join(words) in text for text in self.said), f"it said {self.said}"

    def do_sent(self, count: str) -> None:
        assert self.sent > 0 if count == "some" else self.sent == int(count), f"it sent {self.sent}"

    def do_queued(self, most: str) -> None:
        assert sum(self.waiting.values()) <= float(most), f"{sum(self.waiting.values())} lines wait"

    def do_followed(self, count: str) -> None:
        assert self.followed == int(count), f"it asked {self.followed} times"

    def do_bound(self, count: str) -> None:
        assert len(self.bound) == int(count), f"{len(self.bound)} are bound"


# The controller on sockets.

SITE = {
    "Balancers": 2, "SlotNo": 0, "Zones": ["za", "zb"], "MembershipMode": "push", "Weights": "nominal",
    "Services": [{"Name": name, "Target": 0.8, "Deadline": 2.0, "Worth": 1.0} for name in ("look", "scan")],
    "Report": {"Fields": ["utilization", "throughput"]}, "Limits": {"Probes": True, "MayTell": True, "Multiplex": 32},
    "Rules": {"WarmUp": 16.0},
    "Specifics": {
        "Ranges": 8, "DataPlaneSize": 6, "Admit": "ratio", "ReportEvery": 0.5, "ChannelRate": 5000.0,
        "FixedCost": 16.0, "PendingMax": 7500.0, "PushesAllowed": 0, "UpdateWindow": 10.0, "ConnsLeast": 400.0}}
PATIENCE = 5.0      # real seconds until a scenario that waits for something has failed
PATHS = {"call": b"POST /v3/kv/txn ", "news": b"GET /v3/kv/watch ", "list": b"GET /v1/endpoints",
         "probe": b"GET /"}


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
        for one in rest + orders:       # the present state, as the decisions keep it
            if isinstance(one, Leased):
                one.slice.lines = {}
            elif isinstance(one, (StoredLine, SetLine)):
                one.slice.lines[one.backend] = one.weight
        return orders


def told_text(event: object) -> str:
    """An event as words: its kind, then its fields with backends, slices and proxies by their ids."""
    if isinstance(event, FleetNews):
        return " ".join(["FleetNews", event.form.value] + [
            f"{one.backend.name}:{one.phase.value}:{one.zone}:{one.started:g}:{one.size:g}"
            for one in event.listings])
    values = [getattr(event, field.name) for field in fields(event)]
    return " ".join([type(event).__name__] + [
        one.name if isinstance(one, Backend) else str(one.number) if isinstance(one, (Slice, Proxy))
        else one.value if isinstance(one, Enum) else f"{one:g}" if isinstance(one, float)
        else ",".join(f"{part:g}" for part in one) or "-" if isinstance(one, tuple) else str(one)
        for one in values])


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
        self.where = self.server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                self.asked.append((head + await reader.readexactly(int(length[1]) if length else 0), writer))
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
        self.site, self.known = json.loads(json.dumps(SITE)), {"version": 0, "full": True, "servers": []}
        self.now, self.script = 1_000_000.0, Script()
        self.relay, self.discovery, self.backend = Peer(), Peer(), Peer()
        self.parties = {"call": self.relay, "news": self.relay, "list": self.discovery, "probe": self.backend}
        self.inbound: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.sockets: list[socket.socket] = []
        self.udp: list[socket.socket] = []
        self.controller: Optional[Controller] = None
        self.program: Optional[asyncio.subprocess.Process] = None
        self.address: tuple[str, int] = ("", 0)
        self.files: list[str] = []
        self.body = b""

    def run(self, text: str) -> None:
        asyncio.run(asyncio.wait_for(self._play(text), 10 * PATIENCE))

    async def _play(self, text: str) -> None:
        for peer in (self.relay, self.discovery, self.backend):
            await peer.open()
        deaf = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.sockets += [deaf, *(socket.socket() for _ in range(3))]    # the last fill its queue
        for one in self.sockets[1:]:
            one.setblocking(False)
            one.connect_ex(deaf.getsockname())
        try:
            for number, raw in enumerate(text.splitlines(), 1):
                text = raw.split("#")[0].replace("$backend", "%s:%d" % self.backend.where).replace(
                    "$deaf", "%s:%d" % deaf.getsockname()).replace("$listen", "%s:%d" % self.address)
                for words in (one.strip().split(" ") for one in text.split(" ; ") if one.strip()):
                    try:
                        await self._do(words[0], words[1:])
                    except Exception as error:
                        raise AssertionError(f"line {number} ({' '.join(words)}): {error!r}") from None
            if self.controller:
                self.controller.stop()
                await self._settle()
                left = len(self.controller.books.connections) + len(self.controller.books.requests)
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
        self.known["servers"] = [{"id": f"s-{number}", "addr": "%s:%d" % self.backend.where, "zone": "za",
                                  "state": "ready"} for number in range(int(count))]

    async def do_start(self, sockets: str = "64") -> None:
        for _ in range(3):
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            one.bind(("127.0.0.1", 0))
            one.setblocking(False)
            self.udp.append(one)
        own = self.udp[0].getsockname()
        self.udp.pop(0).close()
        counters = Counters()
        books = Books(Deadlines(lambda: self.now, lambda delay, run: SimpleNamespace(cancel=lambda: None)),
                      counters, Notices(logging.getLogger("tests"), counters, lambda: self.now),
                      Slots(int(sockets)), Slots(int(sockets)), Random(7))
        site = read_map(self.site)
        peer_listen, peers = (own, (own, self.udp[0].getsockname())) if site.peers else (None, ())
        place = Place("n0", ("127.0.0.1", 0), self.discovery.where, self.relay.where, peer_listen, peers,
                      None, 7, int(sockets), 192.0, self.known, read_terms(self.site), site)
        self.controller = Controller(place, books, self.script)
        await self.controller.start()
        self.address = self.controller.reception.where

    async def do_reload(self, *what: str) -> None:
        """The old addresses accept no new connection from now on."""
        for name, peer in (("relay", self.relay), ("discovery", self.discovery)):
            if name in what:
                peer.server.close()
                await peer.open()
            if name in what and "away" in what:
                peer.server.close()
        self.controller.reload(replace(self.controller.place, relay=self.relay.where,
                                       discovery=self.discovery.where))
        await self._settle()

    async def do_pass(self, span: str) -> None:
        end = self.now + float(span)
        while self.now < end:       # in steps, as waits follow one another
            await self._settle()
            self.now = min(self.now + 10.0, end)
            self.controller.books.deadlines.run()
        await self._settle()

    async def do_order(self, *words: str) -> None:
        world, orders = self.controller.world, []
        kinds = {"backend": world.backend, "slice": lambda n: world.slice(int(n)),
                 "proxy": lambda n: world.proxy(int(n))}
        for one in " ".join(words).split(", ") if words else ():
            name, *args = one.split()
            kind = getattr(interface, name)
            values = [kinds[f.name](arg) if f.name in kinds and arg != "all" else None if arg == "all"
                      else unescape([arg]) if f.name == "content" else arg if f.name == "text"
                      else Retry(int(arg)) if f.name == "retry" else tuple(json.loads(arg))
                      if f.name == "methods" else json.loads(arg) for f, arg in zip(fields(kind), args)]
            orders.append(kind(*values))
        self.script.due.append(orders)
        self.controller.tell([])

    async def do_shut_out(self, count: str, seal: str) -> None:
        orders = [f"ShutOut s-{number:03}{'x' * 195} true" for number in range(int(count))]
        await self.do_order(*", ".join([*orders, f"Seal {seal}"]).split(" "))

    async def do_probe_all(self) -> None:
        await self.do_order(*", ".join(f"Probe {name}" for name in self.controller.world.backends).split(" "))

    async def do_choke(self) -> None:
        """What is written to the relay's call from now on does not leave."""
        self.controller.relay._caller._kept.pause_writing()

    async def do_told(self, *words: str) -> None:
        wanted = " ".join(words)
        await self._until(lambda: wanted in self.script.told, lambda: f"it was told {self.script.told}")
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
            return self.controller.books.counters.get(name)
        await self._until(lambda: found() == float(count), lambda: f"it is {found()}")

    async def do_now_counted(self, name: str, count: str) -> None:
        await self._settle()
        found = self.controller.books.counters.get(name)
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
        self.environment = {"ROUTER_NAME": "n0", "ROUTER_LISTEN": "%s:%d" % self.address,
                            "ROUTER_CONFIG": file.name, "ROUTER_DISCOVERY": "%s:%d" % self.discovery.where}
        await self.do_configure(*pairs)
        self.program = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lifthinge", env=self.environment, stderr=asyncio.subprocess.PIPE)

    async def _end_program(self) -> None:
        if self.program and self.program.returncode is None:
            self.program.kill()
            await self.program.wait()

    async def do_configure(self, *pairs: str) -> None:
        """Writes its configuration; what is no pair is written as it stands."""
        conf = {"seed": "0f", "limits": {"sockets": 64}, "known": self.known, "settings": self.site,
                "distributor": {"address": "%s:%d" % self.relay.where}, "peers": [],
                "peer_listen": "%s:%d" % self.address, "discovery": "%s:%d" % self.discovery.where}
        for key, value in (pair.split("=", 1) for pair in pairs if "=" in pair):
            part, (*path, last) = self.environment if key.startswith("ROUTER") else conf, key.split(".")
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
        assert not words or rest.count("\n") == 1 and all(word in rest for word in words), f"it logged {rest}"

    async def do_signal(self, name: str) -> None:
        self.program.send_signal(getattr(signal, name))

    # Those that are called.

    async def peer_asked(self, party: str, name: str, *words: str) -> None:
        peer, path = self.parties[party], PATHS[party]

        def first() -> Optional[tuple]:
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
        await self.peer_raw(party, name, r"HTTP/1.1\x20200\x20OK\r\nTransfer-Encoding:\x20chunked\r\n\r\n")

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
        await self.parties[party].open(self.parties[party].where[1])

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
            assert not reader._buffer and not reader.at_eof() and not reader.exception(), "it heard something"

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
        found = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.udp[0], 512), PATIENCE)
        assert found == unescape(words), f"it is {found!r}"


def unescape(words: Iterable[str]) -> bytes:
    """Bytes out of text; `*N` after an escape-free word repeats it."""
    text = " ".join(words)
    if found := re.fullmatch(r"(.)\*(\d+)", text):
        text = found[1] * int(found[2])
    return text.encode().decode("unicode_escape").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
