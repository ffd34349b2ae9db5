"""Server side of the controller's listen address: report collectors and heartbeat checks.

A connection is unregistered until it sends a collector hello, which names its zone. Before that it
may only ask for a heartbeat reply; reports are taken from registered collectors alone.
"""

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

MAX_UNREGISTERED_MESSAGE_BYTES = 4 << 10  # largest message of a peer that has not registered
MAX_COLLECTORS_PER_ZONE = 8  # beyond it, the collector that was silent longest is closed
# Time from connecting until a peer must have registered; received bytes do not extend it.
REGISTRATION_TIMEOUT_MS = 1_500.0
MAX_IDLE_MS = 60_000.0  # between two reads from a registered peer
CLOSE_TIMEOUT_MS = 300.0  # for sending what is still buffered when a connection is closed
SEND_BUFFER_BYTES = 32 << 10  # kernel send buffer: bounds the memory of a peer that does not read
MAX_ACCEPTS_PER_TURN = 32  # connections accepted in one turn of the event loop
MIN_TURNS_TO_FILL = 16  # loop turns needed at least to accept the maximum number of connections
ACCEPT_BACKLOG_CONNECTIONS = 1024  # connections that the kernel queues until they are accepted


class InboundState(Enum):
    """Stages of an inbound connection."""

    UNREGISTERED = 1  # no collector hello yet; it may send one, or ask for a heartbeat reply
    REGISTERED = 2  # a collector that has named its zone
    CLOSING = 3  # further messages are ignored


class InboundConnection(Connection):
    """A connection that a peer opened to the controller."""

    kind = "inbound"

    def __init__(self, inbound_server: "InboundServer") -> None:
        super().__init__(
            inbound_server.runtime,
            MAX_UNREGISTERED_MESSAGE_BYTES + 4,
            MAX_UNREGISTERED_MESSAGE_BYTES // 4,
        )
        self.inbound_server = inbound_server
        self.state = InboundState.UNREGISTERED
        self.zone = -1  # index of the collector's zone; -1 until it has registered
        self.owes_heartbeat_reply = False  # asked while the controller was not ready
        self._closes_after_reply = False  # registration timed out; kept open only for that reply
        self._deadline: Deadline | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the kernel's send buffer and start the registration timeout."""
        super().connection_made(transport)
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        if not self.is_closed:
            self._deadline = self.runtime.deadlines.schedule(
                REGISTRATION_TIMEOUT_MS, self._on_registration_timeout
            )
            self.inbound_server.add_connection(self)

    def on_data(self) -> None:
        """Handle every complete message in the buffer.

        An invalid message closes an unregistered connection; a framing error closes any.
        """
        while not self.is_closed and self.state is not InboundState.CLOSING:
            message = read_frame(self.buffer)
            if message is None:
                return
            if isinstance(message, FramingLost):
                self.runtime.rate_limited_log.warning("framing_lost", why=message.why)
                self.reject_and_close()
                return
            error = (
                message if isinstance(message, InvalidMessage) else self._handle_message(message)
            )
            if error:
                self.runtime.rate_limited_log.warning("bad_message", why=error.why)
                if self.state is InboundState.UNREGISTERED:
                    self.reject_and_close()

    def on_eof(self) -> None:
        """Log a frame that the peer left incomplete."""
        if len(self.buffer) and self.state is not InboundState.CLOSING:
            self.runtime.rate_limited_log.warning(
                "framing_lost", why="incomplete frame at the end of the stream"
            )

    def on_closed(self) -> None:
        """Cancel the deadline and remove the connection from the server."""
        if self._deadline:
            self._deadline.cancel()
        self.inbound_server.remove_connection(self)

    def answer_heartbeat(self) -> None:
        """Send a heartbeat reply; close the connection if it was kept only for that."""
        self.owes_heartbeat_reply = False
        self.runtime.counters.add("beats.answered")
        self.write(encode_frame({protocol.MESSAGE_TYPE: protocol.HEARTBEAT_REPLY}))
        if self._closes_after_reply:
            self._close_gracefully()

    def reject_and_close(self) -> None:
        """Close the connection; a peer that never registered gets a reject message first."""
        if self.state is InboundState.UNREGISTERED:
            self.runtime.counters.add("inbound.rejected")
            self.write(encode_frame({protocol.MESSAGE_TYPE: protocol.REJECT}))
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close once the buffered bytes are sent, or abort after CLOSE_TIMEOUT_MS."""
        self.state = InboundState.CLOSING
        if self._deadline:
            self._deadline.cancel()
        if not self.is_closed:
            self.transport.close()
            self._deadline = self.runtime.deadlines.schedule(CLOSE_TIMEOUT_MS, self.abort)

    def _handle_message(self, message: dict) -> InvalidMessage | None:
        """Handle one message; return the error if it can't be used."""
        message_type = message.get(protocol.MESSAGE_TYPE)
        if message_type == protocol.HEARTBEAT:
            self.runtime.counters.add("beats.asked")
            self.owes_heartbeat_reply = True
            if self.inbound_server.is_ready():
                self.answer_heartbeat()
            return None
        if message_type == protocol.COLLECTOR_HELLO:
            zone = self.inbound_server.translator.read_zone(message)
            if isinstance(zone, InvalidMessage):
                return zone
            self._register(zone)
            return None
        event = self.inbound_server.translator.read_report(message)
        if isinstance(event, InvalidMessage):
            return event
        if self.state is InboundState.UNREGISTERED:
            return InvalidMessage("report before the collector hello")
        self.runtime.counters.add(f"reports.{outer_name(type(event))}")
        self.inbound_server.publish([event])
        return None

    def _register(self, zone: int) -> None:
        """Make the connection a collector of a zone, with the full message size."""
        if self.state is InboundState.UNREGISTERED:
            self._deadline.cancel()
            self._deadline = self.runtime.deadlines.schedule(MAX_IDLE_MS, self._check_idle)
        self.state = InboundState.REGISTERED
        self.zone = zone
        self.buffer.max_bytes = MAX_FRAME_BYTES + 4
        self.inbound_server.register_collector(self)

    def _on_registration_timeout(self) -> None:
        """Close the connection, or keep it for a limited time if it awaits a heartbeat reply."""
        self.runtime.counters.add("inbound.not_joined")
        self._closes_after_reply = self.owes_heartbeat_reply
        if self._closes_after_reply:
            self._deadline = self.runtime.deadlines.schedule(MAX_IDLE_MS, self.abort)
        else:
            self._close_gracefully()

    def _check_idle(self) -> None:
        """Abort the connection if it has been idle for MAX_IDLE_MS, else check again later."""
        remaining_ms = self.last_received_at + MAX_IDLE_MS - self.runtime.now
        if remaining_ms > 0:
            self._deadline = self.runtime.deadlines.schedule(remaining_ms, self._check_idle)
        else:
            self.runtime.counters.add("inbound.silent")
            self.abort()


class InboundServer:
    """Listens at the controller's address and bounds the connections that are open.

    When the maximum is reached, a new connection replaces the oldest unregistered one that awaits
    no heartbeat reply; else the one that was silent longest, a collector only if there are no
    others.

    `is_ready` says whether heartbeats may be answered; `publish` takes the events of reports.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        max_connections: int,
        is_ready: Callable[[], bool],
        publish: Callable[[list[Event]], None],
    ) -> None:
        self.runtime = runtime
        self.translator = translator
        self.max_connections = max_connections
        self.is_ready = is_ready
        self.publish = publish
        self._unregistered: dict[InboundConnection, None] = {}  # oldest first
        self._collectors: dict[InboundConnection, None] = {}
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Start to listen on an address, as host and port.

        A loop turn accepts only a few connections: those that they replace are then closed before
        the next turn accepts more.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, family=family, backlog=ACCEPT_BACKLOG_CONNECTIONS)
        listener.setblocking(False)
        accepts_per_turn = max(
            min(self.max_connections // MIN_TURNS_TO_FILL, MAX_ACCEPTS_PER_TURN), 1
        )
        self._server = await asyncio.get_running_loop().create_server(
            lambda: InboundConnection(self), sock=listener, backlog=accepts_per_turn
        )
        # asyncio uses `backlog` both for the accepts per turn and for the kernel's queue.
        listener.listen(ACCEPT_BACKLOG_CONNECTIONS)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the server listens on."""
        return self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server:
            self._server.close()
        for connection in [*self._unregistered, *self._collectors]:
            connection.abort()

    def add_connection(self, connection: InboundConnection) -> None:
        """Add a new connection; at the maximum, close another one for it."""
        if len(self._unregistered) + len(self._collectors) >= self.max_connections:
            oldest = next(
                (other for other in self._unregistered if not other.owes_heartbeat_reply), None
            ) or min(
                self._unregistered or self._collectors, key=lambda other: other.last_received_at
            )
            self.runtime.counters.add("inbound.crowded_out")
            self.remove_connection(oldest)
            oldest.reject_and_close()
        self._unregistered[connection] = None

    def remove_connection(self, connection: InboundConnection) -> None:
        """Forget a connection, which need not be known."""
        self._unregistered.pop(connection, None)
        self._collectors.pop(connection, None)

    def register_collector(self, connection: InboundConnection) -> None:
        """Count a connection among its zone's collectors; abort one if they are too many."""
        self.remove_connection(connection)
        self._collectors[connection] = None
        same_zone = [
            other
            for other in self._collectors
            if other.zone == connection.zone and not other.is_closed
        ]
        if len(same_zone) > MAX_COLLECTORS_PER_ZONE:
            self.runtime.counters.add("inbound.crowded_out")
            min(same_zone, key=lambda other: other.last_received_at).abort()

    def answer_heartbeats(self) -> None:
        """Answer the heartbeats that arrived before the controller was ready."""
        for connection in [*self._unregistered, *self._collectors]:
            if connection.owes_heartbeat_reply:
                connection.answer_heartbeat()
