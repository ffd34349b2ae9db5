"""The controller's address: collectors with their reports, whoever asks for a sign of life, and strangers."""

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

from lifthinge.interface import Event
from lifthinge.memory.deadlines import Deadline
from lifthinge.memory.runtime import Runtime
from lifthinge.outer_names import outer_name
from lifthinge.wire import names
from lifthinge.wire.connection import Connection
from lifthinge.wire.door import Door
from lifthinge.wire.frames import FRAME_MOST, Lost, Skip, pack, read_frame

STRANGER_MOST = 4 << 10  # bytes of a message from one that has not joined
COLLECTORS_MOST = 8  # of one zone; the oldest gives way
JOIN_WAIT = 1_500.0  # ms from connecting, within which one must have joined; bytes don't extend it
IDLE_MOST = 60_000.0  # ms between the messages of one that joined
PARTING = 300.0  # ms that a last word may take to leave
SEND_BUFFER = 32 << 10  # bytes that the system holds for one that does not read
ACCEPTED_MOST, ACCEPTED_PART = (
    32,
    16,
)  # taken in a loop turn at most, and of the connections that may be in
ACCEPT_QUEUE = 1024  # that the system holds meanwhile


class State(Enum):
    STRANGER = 1  # has not joined; it may join, or ask for a sign of life
    JOINED = 2  # a collector that named its zone
    PARTED = 3  # nothing that it says is heard any more


class Reporter(Connection):
    """One connection that came in."""

    kind = "inbound"

    def __init__(self, reception: "Reception") -> None:
        super().__init__(reception.runtime, STRANGER_MOST + 4, STRANGER_MOST // 4)
        self.reception = reception
        self.state, self.zone = State.STRANGER, -1
        self.owes_beat = False
        self._overdue = False  # it stays only for the sign of life that is owed
        self._deadline: Deadline | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER
        )
        if not self.lost:
            self._deadline = self.runtime.deadlines.set(JOIN_WAIT, self._not_joined)
            self.reception.came(self)

    def received(self) -> None:
        while not self.lost and self.state is not State.PARTED:
            message = read_frame(self.buffer)
            if message is None:
                return
            if isinstance(message, Lost):
                self.runtime.rate_limited_log.warning("framing_lost", why=message.why)
                self.part()
                return
            trouble = message if isinstance(message, Skip) else self._use(message)
            if trouble:
                self.runtime.rate_limited_log.warning("bad_message", why=trouble.why)
                if self.state is State.STRANGER:
                    self.part()

    def ended(self) -> None:
        if len(self.buffer) and self.state is not State.PARTED:
            self.runtime.rate_limited_log.warning("framing_lost", why="cut short")

    def gone(self) -> None:
        if self._deadline:
            self._deadline.cancel()
        self.reception.left(self)

    def beat(self) -> None:
        self.owes_beat = False
        self.runtime.counters.add("beats.answered")
        self.write(pack({names.KIND: names.BEAT_ANSWER}))
        if self._overdue:
            self._close()

    def part(self) -> None:
        """Turns away whoever may not stay: with a word to one that never joined, and at once."""
        if self.state is State.STRANGER:
            self.runtime.counters.add("inbound.rejected")
            self.write(pack({names.KIND: names.REJECT}))
        self._close()

    def _close(self) -> None:
        """Lets what was written leave, for so long."""
        self.state = State.PARTED
        if self._deadline:
            self._deadline.cancel()
        if not self.lost:
            self.transport.close()
            self._deadline = self.runtime.deadlines.set(PARTING, self.abort)

    def _use(self, message: dict) -> Skip | None:
        kind = message.get(names.KIND)
        if kind == names.BEAT:
            self.runtime.counters.add("beats.asked")
            self.owes_beat = True
            if self.reception.ready():
                self.beat()
            return None
        if kind == names.COLLECTOR:
            zone = self.reception.door.zone(message)
            if isinstance(zone, Skip):
                return zone
            self._join(zone)
            return None
        event = self.reception.door.report(message)
        if isinstance(event, Skip):
            return event
        if self.state is State.STRANGER:
            return Skip("a report before the zone")
        self.runtime.counters.add(f"reports.{outer_name(type(event))}")
        self.reception.tell([event])
        return None

    def _join(self, zone: int) -> None:
        if self.state is State.STRANGER:
            self._deadline.cancel()
            self._deadline = self.runtime.deadlines.set(IDLE_MOST, self._idle)
        self.state, self.zone, self.buffer.limit = State.JOINED, zone, FRAME_MOST + 4
        self.reception.collects(self)

    def _not_joined(self) -> None:
        self.runtime.counters.add("inbound.not_joined")
        self._overdue = self.owes_beat
        if self._overdue:
            self._deadline = self.runtime.deadlines.set(IDLE_MOST, self.abort)
        else:
            self._close()

    def _idle(self) -> None:
        rest = self.heard_at + IDLE_MOST - self.runtime.now
        if rest > 0:
            self._deadline = self.runtime.deadlines.set(rest, self._idle)
        else:
            self.runtime.counters.add("inbound.silent")
            self.abort()


class Reception:
    """Who has come in; the oldest that has not joined gives way to newcomers, collectors last of all."""

    def __init__(
        self,
        runtime: Runtime,
        door: Door,
        most: int,
        ready: Callable[[], bool],
        tell: Callable[[list[Event]], None],
    ) -> None:
        self.runtime, self.door, self.most, self.ready, self.tell = runtime, door, most, ready, tell
        self._strangers: dict[Reporter, None] = {}  # oldest first
        self._joined: dict[Reporter, None] = {}
        self._server: asyncio.Server | None = None

    async def open(self, where: tuple[str, int]) -> None:
        """Listens; a turn of the loop takes in few, so that those it lets go have left before the next."""
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        listener = socket.create_server(where, family=family, backlog=ACCEPT_QUEUE)
        listener.setblocking(False)
        at_once = max(min(self.most // ACCEPTED_PART, ACCEPTED_MOST), 1)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Reporter(self), sock=listener, backlog=at_once
        )
        listener.listen(ACCEPT_QUEUE)  # the loop has set the one figure for both

    @property
    def where(self) -> tuple[str, int]:
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self._server:
            self._server.close()
        for one in [*self._strangers, *self._joined]:
            one.abort()

    def came(self, one: Reporter) -> None:
        if len(self._strangers) + len(self._joined) >= self.most:
            oldest = next((other for other in self._strangers if not other.owes_beat), None) or min(
                self._strangers or self._joined, key=lambda other: other.heard_at
            )
            self.runtime.counters.add("inbound.crowded_out")
            self.left(oldest)
            oldest.part()
        self._strangers[one] = None

    def left(self, one: Reporter) -> None:
        self._strangers.pop(one, None)
        self._joined.pop(one, None)

    def collects(self, one: Reporter) -> None:
        self.left(one)
        self._joined[one] = None
        same = [other for other in self._joined if other.zone == one.zone and not other.lost]
        if len(same) > COLLECTORS_MOST:
            self.runtime.counters.add("inbound.crowded_out")
            min(same, key=lambda other: other.heard_at).abort()

    def answer_beats(self) -> None:
        """Answers those who asked before there was anything to answer."""
        for one in [*self._strangers, *self._joined]:
            if one.owes_beat:
                one.beat()
