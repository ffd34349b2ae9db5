"""What all connections have in common: one buffer, a slot in the table, and an end to every exception."""

import asyncio
import logging
from collections.abc import Callable
from typing import TypeVar

from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.runtime import Runtime
from lifthinge.wire.buffer import Buffer

log = logging.getLogger(__name__)
CONNECT_WAIT = 400.0  # ms until a connection must be up
UNREAD_MOST = 128 << 10  # bytes that a peer may leave unread


class Connection(asyncio.BufferedProtocol):
    """Subclasses say what is done with what has come, at the peer's end, and when all is lost."""

    kind = "connection"
    max_unread_bytes = UNREAD_MOST

    def __init__(self, runtime: Runtime, limit: int, first: int = 4096) -> None:
        self.runtime, self.buffer = runtime, Buffer(limit, first)
        self.transport: asyncio.Transport | None = None
        self.handle: int | None = None
        self.has_unsent_data = False  # bytes of ours have not left
        self.is_closed = False
        self.last_received_at = runtime.now

    def on_data(self) -> None:
        raise NotImplementedError

    def on_eof(self) -> None:
        """The peer sends no more."""

    def on_closed(self) -> None:
        """The connection is no more."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.handle = self.runtime.connections.add(self)
        self.runtime.counters.add(f"{self.kind}.opened")
        self.runtime.counters.record_max("connections.most", len(self.runtime.connections))
        if self.handle is None:
            self.runtime.rate_limited_log.warning("connections_full", kind=self.kind)
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit_write(nbytes)
        self.last_received_at = self.runtime.now
        self._guard(self.on_data)
        if self.buffer.is_full and not self.is_closed:
            self.runtime.rate_limited_log.warning("buffer_full", kind=self.kind)
            self.abort()

    def eof_received(self) -> bool:
        self._guard(self.on_eof)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        if self.handle is not None:
            self.runtime.connections.release(self.handle)
        self._guard(self.on_closed)

    def pause_writing(self) -> None:
        self.has_unsent_data = True

    def resume_writing(self) -> None:
        self.has_unsent_data = False

    def write(self, data: bytes) -> None:
        if self.is_closed or self.transport is None or self.transport.is_closing():
            self.has_unsent_data = True
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.max_unread_bytes:
            self.runtime.rate_limited_log.warning("peer_reads_nothing", kind=self.kind)
            self.abort()

    def abort(self) -> None:
        """Ends the connection; `gone` follows."""
        if self.transport is not None and not self.is_closed:
            self.is_closed = True
            self.transport.abort()

    def _guard(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:  # whatever it is, it ends here, and the connection with it
            self.runtime.counters.add("connection_failed")
            log.error("connection_failed", {"kind": self.kind, "error": repr(error)}, exc_info=True)
            self.abort()


C = TypeVar("C", bound=Connection)


async def connect(runtime: Runtime, make: Callable[[], C], where: tuple[str, int]) -> C | Failure:
    """A connection that is up, or why there is none."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(loop.create_connection(make, *where))
    deadline = runtime.deadlines.schedule(CONNECT_WAIT, task.cancel)
    try:
        _, connection = await task
    except asyncio.CancelledError:
        if deadline.is_pending:  # it was not the deadline: this call itself is called off
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
