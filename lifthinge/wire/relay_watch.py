"""News from the relay: a stream that is opened again whenever it breaks, falls silent or can't be read.

What stands comes first on each stream; the first sign of life, or an answer to a seal, is known to follow.
A stream that has fallen silent is kept until another has told what stands: it may only have been slow.
"""

import asyncio
from collections.abc import Callable

from lifthinge.interface import Event, SealConfirmed, SliceLeaseChanged, StoredEntry
from lifthinge.memory.attempts import Failure, FailureCause, SendProgress
from lifthinge.memory.deadlines import Deadline
from lifthinge.memory.initial_state import InitialState
from lifthinge.memory.pending_orders import PendingOrders
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime
from lifthinge.outer_names import outer_name
from lifthinge.wire import protocol
from lifthinge.wire.client import CallResult, HttpConnection, build_get
from lifthinge.wire.connection import connect
from lifthinge.wire.frames import InvalidMessage, decode_object
from lifthinge.wire.translator import MessageTranslator

SILENCE = 2_200.0  # ms without a line; a sign of life comes every second
LINES_FOLLOW = 30.0  # ms within which a slice's lines follow the word that it is given
RETRY_LEAST, RETRY_MOST = 50.0, 250.0
NEVER = float("inf")


class RelayWatchConnection(HttpConnection):
    """Hands on line by line for as long as they come; `trouble` says why another stream is needed."""

    def __init__(
        self,
        runtime: Runtime,
        initial_state: InitialState,
        line: Callable[["RelayWatchConnection", bytes], None],
    ) -> None:
        super().__init__(runtime, "relay_news")
        self._line = line
        self._silence: Deadline | None = None
        self.initial_state: InitialState | None = initial_state  # until what stands has been told
        self.trouble: asyncio.Future[Failure] = asyncio.get_running_loop().create_future()

    def open(self, data: bytes) -> None:
        self._listen()
        self.send_request(data, NEVER).add_done_callback(lambda over: self.report(over.result()))

    def on_data(self) -> None:
        self._listen()
        trouble = self.parser.advance()
        if not trouble and self.parser.status == 200:
            while not self.is_closed and (line := self.parser.take_line()) is not None:
                self._line(self, line)
        if trouble or self.parser.is_done:
            self.fail(FailureCause.INVALID_RESPONSE, trouble or f"status {self.parser.status}")

    def on_closed(self) -> None:
        if self._silence:
            self._silence.cancel()
        super().on_closed()

    def _listen(self) -> None:
        if self._silence:
            self._silence.cancel()
        self._silence = self.runtime.deadlines.schedule(SILENCE, self._silent)

    def _silent(self) -> None:
        self.report(Failure(self.send_progress(), FailureCause.LATE, "silent"))

    def report(self, result: CallResult) -> None:
        """Another stream is wanted; this one is heard on. One that ends as an answer does has broken off."""
        if not self.trouble.done():
            over = Failure(SendProgress.ANSWERED, FailureCause.BROKEN, "ended")
            self.trouble.set_result(result if isinstance(result, Failure) else over)


class RelayWatch:
    """`tell` takes the events that are news."""

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        registry: Registry,
        pending_orders: PendingOrders,
        where: tuple[str, int],
        publish: Callable[[list[Event]], None],
    ) -> None:
        self.runtime, self.translator, self.registry, self.pending_orders, self.address = (
            runtime,
            translator,
            registry,
            pending_orders,
            where,
        )
        self.publish = publish
        self.has_initial_state = False  # ever heard what stands
        self._live: RelayWatchConnection | None = None  # the one that is listened to
        self._latest: RelayWatchConnection | None = None  # the last one opened, until it gives way
        self._given: dict[object, list[Event]] = {}  # slices just given, with their lines so far
        self._given_over: Deadline | None = None

    async def run(self) -> None:
        failures = 0
        while True:
            opened = self.runtime.now
            failure = await self._once()
            self.runtime.rate_limited_log.warning(
                "news_ended",
                reach=failure.progress.value,
                cause=failure.cause.value,
                detail=failure.detail,
            )
            quick = (
                self.runtime.now - opened < SILENCE
                and failure.cause is not FailureCause.ADDRESS_CHANGED
            )
            failures = failures + 1 if quick else 0
            if failures > 1:
                await self.runtime.pause(
                    RETRY_LEAST + self.runtime.rng.random() * (RETRY_MOST - RETRY_LEAST)
                )

    def resubscribe(
        self, where: tuple[str, int] | None = None, why: FailureCause = FailureCause.RESUBSCRIBED
    ) -> None:
        """Has what stands told again, maybe elsewhere; the stream so far is heard until that is done."""
        self.address = where or self.address
        if self._latest:
            self._latest.report(Failure(SendProgress.ANSWERED, why))

    def change_address(self, where: tuple[str, int]) -> None:
        self.resubscribe(where, FailureCause.ADDRESS_CHANGED)

    def close(self) -> None:
        if self._live:
            self._live.abort()

    async def _once(self) -> Failure:
        where = self.address
        connection = await connect(
            self.runtime,
            lambda: RelayWatchConnection(
                self.runtime, InitialState(self.pending_orders), self._take
            ),
            where,
        )
        if isinstance(connection, Failure):
            return connection
        self._latest = connection
        try:
            if where != self.address:
                return Failure(SendProgress.NOT_SENT, FailureCause.ADDRESS_CHANGED)
            connection.open(build_get(protocol.WATCH_PATH)(where))
            return await connection.trouble
        finally:
            self._latest = None
            if connection is not self._live:
                connection.abort()

    def _take(self, connection: RelayWatchConnection, line: bytes) -> None:
        message = decode_object(line)
        event = (
            None
            if message == {}
            else (
                message
                if isinstance(message, InvalidMessage)
                else self.translator.read_relay_event(message, connection.initial_state is not None)
            )
        )
        if connection.initial_state is not None and (
            event is None or isinstance(event, SealConfirmed)
        ):
            self._end_stand(connection)
        if isinstance(event, InvalidMessage):
            self.runtime.rate_limited_log.warning("bad_news", why=event.why)
        elif event is not None:
            self.runtime.counters.add(f"news.{outer_name(type(event))}")
            if connection.initial_state is not None:
                connection.initial_state.apply(event)
            else:
                self._pass(event)

    def _end_stand(self, connection: RelayWatchConnection) -> None:
        """This stream takes the place of the one before."""
        self._tell_given()
        former, self._live = self._live, connection
        if former is not None and former is not connection:
            former.abort()
        told = (
            connection.initial_state.differences_from(self.registry)
            if connection.initial_state
            else []
        )
        connection.initial_state = None
        self.runtime.counters.add("news.stands")
        self.runtime.counters.add("news.differences", len(told))
        self.has_initial_state = True
        self.publish(told)

    def _pass(self, event: Event) -> None:
        """Hands an event on; a slice just given waits for its lines, or it would pass for a bare one."""
        if isinstance(event, SliceLeaseChanged) and event.is_granted:
            if (
                event.slice in self.registry.leased_slices
            ):  # nothing may be ordered for it on its old lines meanwhile
                self.publish([SliceLeaseChanged(event.slice, False)])
            self._given[event.slice] = [event]
        elif isinstance(event, StoredEntry) and event.slice in self._given:
            self._given[event.slice].append(event)
        else:
            self._tell_given()
            self.publish([event])
            return
        if self._given_over:
            self._given_over.cancel()
        self._given_over = self.runtime.deadlines.schedule(LINES_FOLLOW, self._tell_given)

    def _tell_given(self) -> None:
        if self._given_over:
            self._given_over.cancel()
        given, self._given = self._given, {}
        if given:
            self.publish([event for events in given.values() for event in events])
