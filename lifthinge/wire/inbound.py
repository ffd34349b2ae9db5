"""The controller's address: collectors with their reports, whoever asks for a sign of life, and strangers."""

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

from lifthinge.interface import Event
from lifthinge.memory.deadlines import Deadline
from lifthinge.memory.runtime import Runtime
from lifthinge.outer_names import outer_name
from lifthinge.wire import protocol
from lifthinge.wire.connection import Connection
from lifthinge.wire.frames import (
    MAX_FRAME_BYTES,
    FramingLost,
    InvalidMessage,
    encode_frame,
    read_frame,
)
from lifthinge.wire.translator import MessageTranslator

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


class InboundConnection(Connection):
    """One connection that came in."""

    kind = "inbound"

    def __init__(self, inbound_server: "InboundServer") -> None:
        super().__init__(inbound_server.runtime, STRANGER_MOST + 4, STRANGER_MOST // 4)
        self.inbound_server = inbound_server
        self.state, self.zone = State.STRANGER, -1
        self.owes_beat = False
        self._overdue = False  # it stays only for the sign of life that is owed
        self._deadline: Deadline | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER
        )
        if not self.is_closed:
            self._deadline = self.runtime.deadlines.schedule(JOIN_WAIT, self._not_joined)
            self.inbound_server.came(self)

    def on_data(self) -> None:
        while not self.is_closed and self.state is not State.PARTED:
            message = read_frame(self.buffer)
            if message is None:
                return
            if isinstance(message, FramingLost):
                self.runtime.rate_limited_log.warning("framing_lost", why=message.why)
                self.part()
                return
            trouble = message if isinstance(message, InvalidMessage) else self._use(message)
            if trouble:
                self.runtime.rate_limited_log.warning("bad_message", why=trouble.why)
                if self.state is State.STRANGER:
                    self.part()

    def on_eof(self) -> None:
        if len(self.buffer) and self.state is not State.PARTED:
            self.runtime.rate_limited_log.warning("framing_lost", why="cut short")

    def on_closed(self) -> None:
        if self._deadline:
            self._deadline.cancel()
        self.inbound_server.left(self)

    def beat(self) -> None:
        self.owes_beat = False
        self.runtime.counters.add("beats.answered")
        self.write(encode_frame({protocol.MESSAGE_TYPE: protocol.HEARTBEAT_REPLY}))
        if self._overdue:
            self._close()

    def part(self) -> None:
        """Turns away whoever may not stay: with a word to one that never joined, and at once."""
        if self.state is State.STRANGER:
            self.runtime.counters.add("inbound.rejected")
            self.write(encode_frame({protocol.MESSAGE_TYPE: protocol.REJECT}))
        self._close()

    def _close(self) -> None:
        """Lets what was written leave, for so long."""
        self.state = State.PARTED
        if self._deadline:
            self._deadline.cancel()
        if not self.is_closed:
            self.transport.close()
            self._deadline = self.runtime.deadlines.schedule(PARTING, self.abort)

    def _use(self, message: dict) -> InvalidMessage | None:
        kind = message.get(protocol.MESSAGE_TYPE)
        if kind == protocol.HEARTBEAT:
            self.runtime.counters.add("beats.asked")
            self.owes_beat = True
            if self.inbound_server.is_ready():
                self.beat()
            return None
        if kind == protocol.COLLECTOR_HELLO:
            zone = self.inbound_server.translator.read_zone(message)
            if isinstance(zone, InvalidMessage):
                return zone
            self._join(zone)
            return None
        event = self.inbound_server.translator.read_report(message)
        if isinstance(event, InvalidMessage):
            return event
        if self.state is State.STRANGER:
            return InvalidMessage("a report before the zone")
        self.runtime.counters.add(f"reports.{outer_name(type(event))}")
        self.inbound_server.publish([event])
        return None

    def _join(self, zone: int) -> None:
        if self.state is State.STRANGER:
            self._deadline.cancel()
            self._deadline = self.runtime.deadlines.schedule(IDLE_MOST, self._idle)
        self.state, self.zone, self.buffer.limit = State.JOINED, zone, MAX_FRAME_BYTES + 4
        self.inbound_server.collects(self)

    def _not_joined(self) -> None:
        self.runtime.counters.add("inbound.not_joined")
        self._overdue = self.owes_beat
        if self._overdue:
            self._deadline = self.runtime.deadlines.schedule(IDLE_MOST, self.abort)
        else:
            self._close()

    def _idle(self) -> None:
        rest = self.last_received_at + IDLE_MOST - self.runtime.now
        if rest > 0:
            self._deadline = self.runtime.deadlines.schedule(rest, self._idle)
        else:
            self.runtime.counters.add("inbound.silent")
            self.abort()


class InboundServer:
    """Who has come in; the oldest that has not joined gives way to newcomers, collectors last of all."""

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        most: int,
        is_ready: Callable[[], bool],
        publish: Callable[[list[Event]], None],
    ) -> None:
        self.runtime, self.translator, self.max_connections, self.is_ready, self.publish = (
            runtime,
            translator,
            most,
            is_ready,
            publish,
        )
        self._strangers: dict[InboundConnection, None] = {}  # oldest first
        self._joined: dict[InboundConnection, None] = {}
        self._server: asyncio.Server | None = None

    async def open(self, where: tuple[str, int]) -> None:
        """Listens; a turn of the loop takes in few, so that those it lets go have left before the next."""
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        listener = socket.create_server(where, family=family, backlog=ACCEPT_QUEUE)
        listener.setblocking(False)
        at_once = max(min(self.max_connections // ACCEPTED_PART, ACCEPTED_MOST), 1)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: InboundConnection(self), sock=listener, backlog=at_once
        )
        listener.listen(ACCEPT_QUEUE)  # the loop has set the one figure for both

    @property
    def address(self) -> tuple[str, int]:
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self._server:
            self._server.close()
        for one in [*self._strangers, *self._joined]:
            one.abort()

    def came(self, one: InboundConnection) -> None:
        if len(self._strangers) + len(self._joined) >= self.max_connections:
            oldest = next((other for other in self._strangers if not other.owes_beat), None) or min(
                self._strangers or self._joined, key=lambda other: other.last_received_at
            )
            self.runtime.counters.add("inbound.crowded_out")
            self.left(oldest)
            oldest.part()
        self._strangers[one] = None

    def left(self, one: InboundConnection) -> None:
        self._strangers.pop(one, None)
        self._joined.pop(one, None)

    def collects(self, one: InboundConnection) -> None:
        self.left(one)
        self._joined[one] = None
        same = [other for other in self._joined if other.zone == one.zone and not other.is_closed]
        if len(same) > COLLECTORS_MOST:
            self.runtime.counters.add("inbound.crowded_out")
            min(same, key=lambda other: other.last_received_at).abort()

    def answer_heartbeats(self) -> None:
        """Answers those who asked before there was anything to answer."""
        for one in [*self._strangers, *self._joined]:
            if one.owes_beat:
                one.beat()
