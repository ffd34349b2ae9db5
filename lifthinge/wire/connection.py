"""Base of all connections: one receive buffer, a slot in the runtime's table, caught exceptions."""

import asyncio
import logging
from collections.abc import Callable
from typing import TypeVar

from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.runtime import Runtime
from lifthinge.wire.buffer import Buffer

log = logging.getLogger(__name__)
CONNECT_TIMEOUT_MS = 400.0
MAX_UNREAD_BYTES = 128 << 10  # written and not yet taken by the kernel, as the peer does not read


class Connection(asyncio.BufferedProtocol):
    """A stream connection; subclasses override `on_data`, `on_eof` and `on_closed`.

    An exception in one of these is logged and aborts the connection. The receive buffer starts at
    `initial_buffer_bytes` and grows to `max_buffer_bytes`; a buffer that stays full aborts the
    connection.
    """

    kind = "connection"
    max_unread_bytes = MAX_UNREAD_BYTES

    def __init__(
        self, runtime: Runtime, max_buffer_bytes: int, initial_buffer_bytes: int = 4096
    ) -> None:
        self.runtime = runtime
        self.buffer = Buffer(max_buffer_bytes, initial_buffer_bytes)
        self.transport: asyncio.Transport | None = None
        self.handle: int | None = None  # in the runtime's table of connections
        self.has_unsent_data = False  # whether written bytes have not been taken by the kernel
        self.is_closed = False
        self.last_received_at = runtime.now

    def on_data(self) -> None:
        """Handle the data in the buffer."""
        raise NotImplementedError

    def on_eof(self) -> None:
        """Handle the end of the peer's data."""

    def on_closed(self) -> None:
        """Handle the loss of the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; abort it if the runtime's table is full."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.handle = self.runtime.connections.add(self)
        self.runtime.counters.add(f"{self.kind}.opened")
        self.runtime.counters.record_max("connections.most", len(self.runtime.connections))
        if self.handle is None:
            self.runtime.rate_limited_log.warning("connections_full", kind=self.kind)
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the buffer, for the event loop to receive into."""
        return self.buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes; abort if they leave the buffer full."""
        self.buffer.commit_write(nbytes)
        self.last_received_at = self.runtime.now
        self._call_or_abort(self.on_data)
        if self.buffer.is_full and not self.is_closed:
            self.runtime.rate_limited_log.warning("buffer_full", kind=self.kind)
            self.abort()

    def eof_received(self) -> bool:
        """Handle the end of the peer's data; the transport is then closed."""
        self._call_or_abort(self.on_eof)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Free the connection's slot and call `on_closed`."""
        self.is_closed = True
        if self.handle is not None:
            self.runtime.connections.release(self.handle)
        self._call_or_abort(self.on_closed)

    def pause_writing(self) -> None:
        """Note that written bytes wait to be sent."""
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        """Note that all written bytes have been sent."""
        self.has_unsent_data = False

    def write(self, data: bytes) -> None:
        """Send bytes, or mark them unsent if the connection is closing.

        Abort the connection if the peer has left too many bytes unread.
        """
        if self.is_closed or self.transport is None or self.transport.is_closing():
            self.has_unsent_data = True
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.max_unread_bytes:
            self.runtime.rate_limited_log.warning("peer_reads_nothing", kind=self.kind)
            self.abort()

    def abort(self) -> None:
        """Close the connection at once, without sending buffered data; `on_closed` follows."""
        if self.transport is not None and not self.is_closed:
            self.is_closed = True
            self.transport.abort()

    def _call_or_abort(self, callback: Callable[[], None]) -> None:
        """Call a handler; log an exception of it and abort the connection."""
        try:
            callback()
        except Exception as error:
            self.runtime.counters.add("connection_failed")
            log.error("connection_failed", {"kind": self.kind, "error": repr(error)}, exc_info=True)
            self.abort()


ConnectionT = TypeVar("ConnectionT", bound=Connection)


async def connect(
    runtime: Runtime, make_connection: Callable[[], ConnectionT], address: tuple[str, int]
) -> ConnectionT | Failure:
    """Open a connection made by `make_connection` to a host and port; return it or the failure."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(loop.create_connection(make_connection, *address))
    deadline = runtime.deadlines.schedule(CONNECT_TIMEOUT_MS, task.cancel)
    try:
        _, connection = await task
    except asyncio.CancelledError:
        # A pending deadline shows that this call itself was cancelled.
        if deadline.is_pending:
            task.cancel()
            raise
        return Failure(SendProgress.NOT_SENT, FailureCause.UNREACHABLE, "no connection in time")
    except ConnectionRefusedError:
        return Failure(SendProgress.NOT_SENT, FailureCause.REFUSED)
    except OSError as error:
        return Failure(SendProgress.NOT_SENT, FailureCause.UNREACHABLE, type(error).__name__)
    finally:
        deadline.cancel()
    if connection.is_closed:
        return Failure(SendProgress.NOT_SENT, FailureCause.NO_CAPACITY)
    return connection
