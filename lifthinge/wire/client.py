"""Calls over HTTP/1.1: one at a time on a connection that is kept while it is fresh."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Union

from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.runtime import PendingRequest, Runtime
from lifthinge.wire.connection import Connection, connect
from lifthinge.wire.http import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResponseParser

FRESH = 2_000.0  # ms that a kept connection may have stood idle: peers close them sooner or later


class Response(NamedTuple):
    status: int
    body: bytes


CallResult = Union[Response, Failure]


def build_get(path: str) -> Callable[[tuple[str, int]], bytes]:
    """
    >>> build_get("/health")(("10.0.0.1", 80))
    b'GET /health HTTP/1.1\\r\\nHost: 10.0.0.1:80\\r\\n\\r\\n'
    """
    return lambda where: f"GET {path} HTTP/1.1\r\nHost: {_host(where)}\r\n\r\n".encode()


def build_post(path: str, body: bytes) -> Callable[[tuple[str, int]], bytes]:
    return lambda where: (
        (
            f"POST {path} HTTP/1.1\r\nHost: {_host(where)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        + body
    )


def _host(where: tuple[str, int]) -> str:
    return f"[{where[0]}]:{where[1]}" if ":" in where[0] else f"{where[0]}:{where[1]}"


class HttpConnection(Connection):
    """Carries one request at a time."""

    def __init__(self, runtime: Runtime, kind: str) -> None:
        super().__init__(runtime, MAX_BODY_BYTES + MAX_HEAD_BYTES)
        self.kind = kind
        self.parser = ResponseParser(self.buffer)
        self._request: int | None = None
        self.used_at = runtime.now

    def send_request(self, data: bytes, wait: float) -> "asyncio.Future[CallResult]":
        """Sends a request; the future brings its answer or how it failed, and never an exception."""
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        deadline = self.runtime.deadlines.schedule(wait, lambda: self.fail(FailureCause.LATE))
        self._request = self.runtime.requests.add(
            PendingRequest(self.runtime.now, future, deadline)
        )
        self.runtime.counters.add(f"{self.kind}.asked")
        self.runtime.counters.record_max("requests.most", len(self.runtime.requests))
        self.parser = ResponseParser(self.buffer)
        if self._request is None:
            deadline.cancel()
            future.set_result(Failure(SendProgress.NOT_SENT, FailureCause.NO_CAPACITY))
        elif self.is_closed:
            self._settle(Failure(SendProgress.NOT_SENT, FailureCause.BROKEN))
        else:
            self.write(data)
        return future

    def fail(self, cause: FailureCause, detail: str = "") -> None:
        """Ends the request, and the connection with it: a late answer must not pass for another's."""
        reach = (
            SendProgress.ANSWERED
            if cause is FailureCause.INVALID_RESPONSE
            else self.send_progress()
        )
        self.abort()
        self._settle(Failure(reach, cause, detail))

    def send_progress(self) -> SendProgress:
        """How far the request is known to have gone out."""
        return SendProgress.PARTLY_SENT if self.has_unsent_data else SendProgress.FULLY_SENT

    def on_data(self) -> None:
        if self._request is None:
            self.runtime.rate_limited_log.warning("unasked_bytes", kind=self.kind)
            self.abort()
            return
        trouble = self.parser.advance()
        if trouble:
            self.fail(FailureCause.INVALID_RESPONSE, trouble)
        elif self.parser.is_done:
            self.complete()

    def on_eof(self) -> None:
        if self._request is None:
            return
        trouble = self.parser.on_eof()
        if not trouble:
            self.complete()
        elif self.parser.status:
            self.fail(FailureCause.INVALID_RESPONSE, trouble)
        else:
            self.fail(FailureCause.BROKEN, trouble)

    def on_closed(self) -> None:
        self.fail(FailureCause.BROKEN)

    def complete(self) -> None:
        answer = Response(self.parser.status, self.parser.take_body())
        if not self.parser.keep_alive:
            self.abort()
        self._settle(answer)

    def _settle(self, result: CallResult) -> None:
        request = None if self._request is None else self.runtime.requests.release(self._request)
        self._request, self.used_at = None, self.runtime.now
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
                f"{self.kind}.longest_ms", round(self.used_at - request.sent_at, 1)
            )
        if not request.future.done():
            request.future.set_result(result)


class HttpClient:
    """Calls to one address, one at a time; `where` may change between them, or while one is under way."""

    def __init__(self, runtime: Runtime, kind: str, where: tuple[str, int]) -> None:
        self.runtime, self.kind, self.address = runtime, kind, where
        self._connection: HttpConnection | None = None
        self._kept_where = where

    async def call(self, request: Callable[[tuple[str, int]], bytes], wait: float) -> CallResult:
        """Asks what `request` makes for the address: that of now, or the former one while only that is up."""
        kept, where = self._connection, self.address
        if kept is not None and (kept.is_closed or self.runtime.now - kept.used_at > FRESH):
            kept = None
            self.close()
        if kept is None or self._kept_where != where:
            found = await connect(
                self.runtime, lambda: HttpConnection(self.runtime, self.kind), where
            )
            if not isinstance(found, Failure):
                self.close()
                kept = self._connection = found
                self._kept_where = where
            elif kept is None or kept.is_closed:
                self.runtime.counters.add(
                    f"{self.kind}.failed.{found.progress.value}.{found.cause.value}"
                )
                return found
        try:
            return await kept.send_request(request(self._kept_where), wait)
        except asyncio.CancelledError:  # called off: the answer, if it comes, is nobody's
            self.close()
            raise

    def close(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
