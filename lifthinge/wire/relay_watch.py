"""The relay's event stream, opened again whenever it breaks, falls silent or can't be read.

Each stream begins with the initial state: the proxies, slices and table entries as they are. It is
complete when the first heartbeat or seal confirmation arrives. A silent stream is kept until
another stream has delivered its initial state: it may only have been slow.
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

MAX_SILENCE_MS = 2_200.0  # without received bytes; the relay sends a heartbeat every second
ENTRIES_WAIT_MS = 30.0  # within which a granted slice's next table entry follows
MIN_RETRY_DELAY_MS = 50.0  # from the second quick failure on; drawn at random up to the maximum
MAX_RETRY_DELAY_MS = 250.0
NO_TIMEOUT_MS = float("inf")


class RelayWatchConnection(HttpConnection):
    """One stream of events; passes each line to `on_line`.

    `replacement_reason` is set to the failure because of which another stream is needed. The
    stream is still read until it is closed.
    """

    def __init__(
        self,
        runtime: Runtime,
        initial_state: InitialState,
        on_line: Callable[["RelayWatchConnection", bytes], None],
    ) -> None:
        super().__init__(runtime, "relay_news")
        self._on_line = on_line
        self._silence_deadline: Deadline | None = None
        # The initial state as far as it has been received; None once it was complete.
        self.initial_state: InitialState | None = initial_state
        self.replacement_reason: asyncio.Future[Failure] = (
            asyncio.get_running_loop().create_future()
        )

    def open(self, data: bytes) -> None:
        """Send the encoded request and start to wait for lines."""
        self._restart_silence_deadline()
        self.send_request(data, NO_TIMEOUT_MS).add_done_callback(
            lambda future: self.request_replacement(future.result())
        )

    def on_data(self) -> None:
        """Pass on the complete lines; fail the stream if the response ends or is not a 200."""
        self._restart_silence_deadline()
        error = self.parser.advance()
        if not error and self.parser.status == 200:
            while not self.is_closed and (line := self.parser.take_line()) is not None:
                self._on_line(self, line)
        if error or self.parser.is_done:
            self.fail(FailureCause.INVALID_RESPONSE, error or f"status {self.parser.status}")

    def on_closed(self) -> None:
        """Cancel the silence deadline and fail the request."""
        if self._silence_deadline:
            self._silence_deadline.cancel()
        super().on_closed()

    def _restart_silence_deadline(self) -> None:
        """Set the deadline by which further bytes must arrive."""
        if self._silence_deadline:
            self._silence_deadline.cancel()
        self._silence_deadline = self.runtime.deadlines.schedule(MAX_SILENCE_MS, self._on_silence)

    def _on_silence(self) -> None:
        """Ask for another stream; this one may only be slow."""
        self.request_replacement(Failure(self.send_progress(), FailureCause.LATE, "silent"))

    def request_replacement(self, result: CallResult) -> None:
        """Set the reason for which another stream is needed, unless there is one already.

        A result that is a complete response counts as a broken stream.
        """
        if not self.replacement_reason.done():
            ended = Failure(SendProgress.ANSWERED, FailureCause.BROKEN, "ended")
            self.replacement_reason.set_result(result if isinstance(result, Failure) else ended)


class RelayWatch:
    """Keeps a stream of the relay's events open; `publish` takes the events.

    A further stream delivers the initial state anew: of that, only differences from the registry
    are published.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        registry: Registry,
        pending_orders: PendingOrders,
        address: tuple[str, int],
        publish: Callable[[list[Event]], None],
    ) -> None:
        self.runtime = runtime
        self.translator = translator
        self.registry = registry
        self.pending_orders = pending_orders
        self.address = address
        self.publish = publish
        self.has_initial_state = False  # whether any stream has delivered its initial state
        # The stream that delivered its initial state last.
        self._live: RelayWatchConnection | None = None
        # The stream opened last, until another one is needed.
        self._latest: RelayWatchConnection | None = None
        # Slices just granted: the grant and the table entries received so far, not yet published.
        self._granted_slice_events: dict[object, list[Event]] = {}
        self._granted_slice_deadline: Deadline | None = None

    async def run(self) -> None:
        """Open one stream after another, until cancelled."""
        consecutive_failures = 0
        while True:
            started_at_ms = self.runtime.now
            failure = await self._run_stream()
            self.runtime.rate_limited_log.warning(
                "news_ended",
                reach=failure.progress.value,
                cause=failure.cause.value,
                detail=failure.detail,
            )
            failed_quickly = (
                self.runtime.now - started_at_ms < MAX_SILENCE_MS
                and failure.cause is not FailureCause.ADDRESS_CHANGED
            )
            consecutive_failures = consecutive_failures + 1 if failed_quickly else 0
            if consecutive_failures > 1:
                await self.runtime.pause(
                    MIN_RETRY_DELAY_MS
                    + self.runtime.rng.random() * (MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS)
                )

    def resubscribe(
        self,
        address: tuple[str, int] | None = None,
        cause: FailureCause = FailureCause.RESUBSCRIBED,
    ) -> None:
        """Open a new stream, at another address if one is given.

        The present stream is read until the new one has delivered its initial state.
        """
        self.address = address or self.address
        if self._latest:
            self._latest.request_replacement(Failure(SendProgress.ANSWERED, cause))

    def change_address(self, address: tuple[str, int]) -> None:
        """Open a new stream at another host and port."""
        self.resubscribe(address, FailureCause.ADDRESS_CHANGED)

    def close(self) -> None:
        """Abort the present stream."""
        if self._live:
            self._live.abort()

    async def _run_stream(self) -> Failure:
        """Open a stream; return the reason when another one is needed.

        The stream stays open if it is the one that delivered its initial state last.
        """
        address = self.address
        connection = await connect(
            self.runtime,
            lambda: RelayWatchConnection(
                self.runtime, InitialState(self.pending_orders), self._handle_line
            ),
            address,
        )
        if isinstance(connection, Failure):
            return connection
        self._latest = connection
        try:
            if address != self.address:
                return Failure(SendProgress.NOT_SENT, FailureCause.ADDRESS_CHANGED)
            connection.open(build_get(protocol.WATCH_PATH)(address))
            return await connection.replacement_reason
        finally:
            self._latest = None
            if connection is not self._live:
                connection.abort()

    def _handle_line(self, connection: RelayWatchConnection, line: bytes) -> None:
        """Handle one line of a stream: an event, or a heartbeat, which is an empty object."""
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
            self._finish_initial_state(connection)
        if isinstance(event, InvalidMessage):
            self.runtime.rate_limited_log.warning("bad_news", why=event.why)
        elif event is not None:
            self.runtime.counters.add(f"news.{outer_name(type(event))}")
            if connection.initial_state is not None:
                connection.initial_state.apply(event)
            else:
                self._handle_event(event)

    def _finish_initial_state(self, connection: RelayWatchConnection) -> None:
        """Publish how a stream's initial state differs; the stream replaces the one before."""
        self._publish_granted_slices()
        previous, self._live = self._live, connection
        if previous is not None and previous is not connection:
            previous.abort()
        differences = (
            connection.initial_state.differences_from(self.registry)
            if connection.initial_state
            else []
        )
        connection.initial_state = None
        self.runtime.counters.add("news.stands")
        self.runtime.counters.add("news.differences", len(differences))
        self.has_initial_state = True
        self.publish(differences)

    def _handle_event(self, event: Event) -> None:
        """Publish an event; hold a grant back until the slice's table entries have arrived.

        Published at once, the slice would be taken for one with an empty table.
        """
        if isinstance(event, SliceLeaseChanged) and event.is_granted:
            # No orders may be based on the slice's former entries in the meantime.
            if event.slice in self.registry.leased_slices:
                self.publish([SliceLeaseChanged(event.slice, False)])
            self._granted_slice_events[event.slice] = [event]
        elif isinstance(event, StoredEntry) and event.slice in self._granted_slice_events:
            self._granted_slice_events[event.slice].append(event)
        else:
            self._publish_granted_slices()
            self.publish([event])
            return
        if self._granted_slice_deadline:
            self._granted_slice_deadline.cancel()
        self._granted_slice_deadline = self.runtime.deadlines.schedule(
            ENTRIES_WAIT_MS, self._publish_granted_slices
        )

    def _publish_granted_slices(self) -> None:
        """Publish the grants held back, each with its table entries."""
        if self._granted_slice_deadline:
            self._granted_slice_deadline.cancel()
        granted_slice_events, self._granted_slice_events = self._granted_slice_events, {}
        if granted_slice_events:
            self.publish([event for events in granted_slice_events.values() for event in events])
