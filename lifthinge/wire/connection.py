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
    unread_most = UNREAD_MOST

    def __init__(self, runtime: Runtime, limit: int, first: int = 4096) -> None:
        self.runtime, self.buffer = runtime, Buffer(limit, first)
        self.transport: asyncio.Transport | None = None
        self.handle: int | None = None
        self.unsent = False  # bytes of ours have not left
        self.lost = False
        self.heard_at = runtime.now

    def received(self) -> None:
        raise NotImplementedError

    def ended(self) -> None:
        """The peer sends no more."""

    def gone(self) -> None:
        """The connection is no more."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.handle = self.runtime.connections.put(self)
        self.runtime.counters.add(f"{self.kind}.opened")
        self.runtime.counters.record_max("connections.most", len(self.runtime.connections))
        if self.handle is None:
            self.runtime.rate_limited_log.warning("connections_full", kind=self.kind)
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        self.heard_at = self.runtime.now
        self._guard(self.received)
        if self.buffer.full and not self.lost:
            self.runtime.rate_limited_log.warning("buffer_full", kind=self.kind)
            self.abort()

    def eof_received(self) -> bool:
        self._guard(self.ended)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        if self.handle is not None:
            self.runtime.connections.free(self.handle)
        self._guard(self.gone)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def write(self, data: bytes) -> None:
        if self.lost or self.transport is None or self.transport.is_closing():
            self.unsent = True
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.unread_most:
            self.runtime.rate_limited_log.warning("peer_reads_nothing", kind=self.kind)
            self.abort()

    def abort(self) -> None:
        """Ends the connection; `gone` follows."""
        if self.transport is not None and not self.lost:
            self.lost = True
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
    deadline = runtime.deadlines.set(CONNECT_WAIT, task.cancel)
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
    if connection.lost:
        return Failure(SendProgress.NOT_SENT, FailureCause.NO_CAPACITY)
    return connection
