"""HTTP/1.1 client: one call at a time on a connection that is reused while it is fresh."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.runtime import PendingRequest, Runtime
from lifthinge.wire.connection import Connection, connect
from lifthinge.wire.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResponseParser

# Idle time after which a connection is not reused, since peers close idle connections at some time.
MAX_IDLE_MS = 2_000.0


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes


CallResult = Response | Failure


def build_get(path: str) -> Callable[[tuple[str, int]], bytes]:
    """Return a function that encodes a GET request for a host and port.

    >>> build_get("/health")(("10.0.0.1", 80))
    b'GET /health HTTP/1.1\\r\\nHost: 10.0.0.1:80\\r\\n\\r\\n'
    """
    return lambda address: f"GET {path} HTTP/1.1\r\nHost: {_host(address)}\r\n\r\n".encode()


def build_post(path: str, body: bytes) -> Callable[[tuple[str, int]], bytes]:
    """Return a function that encodes a POST request with a JSON body for a host and port."""
    return lambda address: (
        (
            f"POST {path} HTTP/1.1\r\nHost: {_host(address)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        + body
    )


def _host(address: tuple[str, int]) -> str:
    """Return the Host header's value for a host and port."""
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"


class HttpConnection(Connection):
    """A connection for HTTP requests, one at a time.

    `kind` is the prefix of its counters and the kind in its log lines.
    """

    def __init__(self, runtime: Runtime, kind: str) -> None:
        super().__init__(runtime, MAX_BODY_BYTES + MAX_HEAD_BYTES)
        self.kind = kind
        self.parser = ResponseParser(self.buffer)
        self._request_handle: int | None = None
        self.last_used_at_ms = runtime.now

    def send_request(self, data: bytes, timeout_ms: float) -> "asyncio.Future[CallResult]":
        """Send an encoded request; return a future of its response or failure.

        The future gets no exception. A request without a response fails after `timeout_ms`.
        """
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        deadline = self.runtime.deadlines.schedule(timeout_ms, lambda: self.fail(FailureCause.LATE))
        self._request_handle = self.runtime.requests.add(
            PendingRequest(self.runtime.now, future, deadline)
        )
        self.runtime.counters.add(f"{self.kind}.asked")
        self.runtime.counters.record_max("requests.most", len(self.runtime.requests))
        self.parser = ResponseParser(self.buffer)
        if self._request_handle is None:
            deadline.cancel()
            future.set_result(Failure(SendProgress.NOT_SENT, FailureCause.NO_CAPACITY))
        elif self.is_closed:
            self._settle(Failure(SendProgress.NOT_SENT, FailureCause.BROKEN))
        else:
            self.write(data)
        return future

    def fail(self, cause: FailureCause, detail: str = "") -> None:
        """Fail the request and abort the connection.

        On an open connection, a late response would be taken for that of the next request.
        """
        progress = (
            SendProgress.ANSWERED
            if cause is FailureCause.INVALID_RESPONSE
            else self.send_progress()
        )
        self.abort()
        self._settle(Failure(progress, cause, detail))

    def send_progress(self) -> SendProgress:
        """Return how much of the request is known to have been sent."""
        return SendProgress.PARTLY_SENT if self.has_unsent_data else SendProgress.FULLY_SENT

    def on_data(self) -> None:
        """Parse the response; an invalid one, or bytes without a request, end the connection."""
        if self._request_handle is None:
            self.runtime.rate_limited_log.warning("unasked_bytes", kind=self.kind)
            self.abort()
            return
        error = self.parser.advance()
        if error:
            self.fail(FailureCause.INVALID_RESPONSE, error)
        elif self.parser.is_done:
            self.complete()

    def on_eof(self) -> None:
        """Complete a response that ends with the connection; fail one that was cut off."""
        if self._request_handle is None:
            return
        error = self.parser.on_eof()
        if not error:
            self.complete()
        elif self.parser.status:
            self.fail(FailureCause.INVALID_RESPONSE, error)
        else:
            self.fail(FailureCause.BROKEN, error)

    def on_closed(self) -> None:
        """Fail the request if it is not answered yet."""
        self.fail(FailureCause.BROKEN)

    def complete(self) -> None:
        """Finish the request with the parsed response."""
        response = Response(self.parser.status, self.parser.take_body())
        if not self.parser.keep_alive:
            self.abort()
        self._settle(response)

    def _settle(self, result: CallResult) -> None:
        """Set the request's result and update the counters; do nothing without a request."""
        request = (
            None
            if self._request_handle is None
            else self.runtime.requests.release(self._request_handle)
        )
        self._request_handle = None
        self.last_used_at_ms = self.runtime.now
        if request is None:
            return
        request.deadline.cancel()
        if isinstance(result, Failure):
            self.runtime.counters.add(
                f"{self.kind}.failed.{result.progress.value}.{result.cause.value}"
            )
        else:
            self.runtime.counters.add(f"{self.kind}.answered.{result.status}")
            self.runtime.counters.record_max(
                f"{self.kind}.longest_ms", round(self.last_used_at_ms - request.sent_at, 1)
            )
        if not request.future.done():
            request.future.set_result(result)


class HttpClient:
    """Makes one call at a time to `address`, which may be changed at any time."""

    def __init__(self, runtime: Runtime, kind: str, address: tuple[str, int]) -> None:
        self.runtime = runtime
        self.kind = kind
        self.address = address
        self._connection: HttpConnection | None = None
        self._connected_address = address  # address that the connection was opened to

    async def call(
        self, build_request: Callable[[tuple[str, int]], bytes], timeout_ms: float
    ) -> CallResult:
        """Send the request that `build_request` encodes for the address; return its result.

        If no connection to a changed address is to be had, an open one to the former address is
        used. A response that takes longer than `timeout_ms` is a failure.
        """
        connection = self._connection
        address = self.address
        if connection is not None and (
            connection.is_closed or self.runtime.now - connection.last_used_at_ms > MAX_IDLE_MS
        ):
            connection = None
            self.close()
        if connection is None or self._connected_address != address:
            result = await connect(
                self.runtime, lambda: HttpConnection(self.runtime, self.kind), address
            )
            if not isinstance(result, Failure):
                self.close()
                connection = result
                self._connection = result
                self._connected_address = address
            elif connection is None or connection.is_closed:
                self.runtime.counters.add(
                    f"{self.kind}.failed.{result.progress.value}.{result.cause.value}"
                )
                return result
        try:
            return await connection.send_request(build_request(self._connected_address), timeout_ms)
        except asyncio.CancelledError:
            # The response, if it still comes, must not be taken for that of the next request.
            self.close()
            raise

    def close(self) -> None:
        """Abort the connection, if there is one."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
