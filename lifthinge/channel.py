"""Flow control of the channel to the proxies: which messages are unconfirmed, and their size.

A message is a batch of orders that goes to every joined proxy and ends with a seal, a number that
each proxy confirms once it has applied the batch. Messages leave the channel one after another. Its
size is counted in table entries. All times are in milliseconds.

What waits is bounded from above by several sources: confirmations, reports that show which messages
the proxies have received, and, while confirmations are known to be lost, a pace.

>>> channel = Channel()
>>> channel.record_sent(1, 10.0, ["p", "q"], 0.0)
>>> channel.record_confirmation(1, "p", 100.0, 0.0)
>>> channel.record_confirmation(65_000, "q", 100.0, 0.0)  # no such seal: ignored
>>> channel.waiting_entries(), channel.unconfirmed_receivers()
(10.0, 1)
>>> channel.record_sent(1, 10.0, ["q"], 5.0)
>>> channel.waiting_entries()
20.0
>>> channel.drop_message(1, pushed_at_ms=5.0)
>>> channel.waiting_entries(), len(channel.push_times_ms)
(0, 1)
>>> channel.record_sent(1, 10.0, ["q"], 6.0)
>>> channel.waiting_entries(), len(channel.push_times_ms)
(10.0, 2)
>>> channel.drop_before(8.0, 8.0, held_until_ms=9.0)
>>> channel.waiting_entries(), len(channel.push_times_ms)
(10.0, 1)
>>> channel.record_confirmation(1, "q", 100.0, 0.0)
>>> channel.waiting_entries(), channel.unconfirmed_receivers()
(0.0, 0)
"""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from dataclasses import dataclass
from itertools import islice

INFINITY = float("inf")


@dataclass(slots=True)
class ChannelMessage:
    """A message, as far as its receivers have not confirmed it.

    The order of the slots is part of the capture format.
    """

    seal: int
    entries: float  # that may wait for each unconfirmed receiver
    unconfirmed: dict[Hashable, None]  # receivers; a dictionary keeps their order
    sent_at_ms: float
    total_entries: float  # of all its receivers when it was sent
    lost_receivers: int = 0  # unconfirmed ones that have left, which confirm nothing any more

    def waiting_entries(self) -> float:
        """Return the entries that may wait, summed over the receivers."""
        return self.entries * len(self.unconfirmed)

    def awaited_entries_each(self) -> float:
        """Return what may wait for each receiver by the confirmations that are still to come."""
        awaited_count = len(self.unconfirmed) - self.lost_receivers
        return self.entries * self.entries * awaited_count / max(self.total_entries, 1e-9)

    def is_mostly_received(self) -> bool:
        """Return whether at least half of it has left the channel."""
        return self.waiting_entries() <= self.total_entries / 2

    def waiting_entries_each(self) -> float:
        """Return the same on the mean of the receivers to which it was sent."""
        return self.entries * self.waiting_entries() / max(self.total_entries, 1e-9)


class Channel:
    """Messages that may still wait in the channel, oldest first, and the times of recent pushes.

    A message that every receiver has confirmed is dropped, unless it is the latest.
    The order of the slots is part of the capture format.
    """

    __slots__ = (
        "messages",
        "push_times_ms",
        "last_push_ms",
        "last_confirmation_ms",
        "unanswered_since_ms",
        "loses_confirmations",
        "lateness_ms",
        "proven_entries_per_ms",
        "sent_entries",
        "left_at_push",
        "last_progress_ms",
        "measured_pace",
        "pace_samples",
    )

    def __init__(self) -> None:
        self.messages: deque[ChannelMessage] = deque()
        self.push_times_ms: deque[float] = deque()  # pushes within the push window
        self.last_push_ms = float("-inf")
        self.last_confirmation_ms = float("-inf")
        self.unanswered_since_ms = float("-inf")  # first push since the last confirmation
        # Whether messages are received, as reports show, and not confirmed.
        self.loses_confirmations = False
        # How long the last confirmation was on its way, after the message had been applied.
        self.lateness_ms = 0.0
        # The pace that the confirmations of a message have proven; 0: none yet.
        self.proven_entries_per_ms = 0.0
        # Entries of all messages so far for each receiver, and how many of them had left by the
        # last push.
        self.sent_entries = 0.0
        self.left_at_push = 0.0
        # When a confirmation last told something new.
        self.last_progress_ms = float("-inf")
        # The pace of late, in entries per ms for each receiver; infinite: too quick to be measured.
        self.measured_pace = INFINITY
        # Times, and what had left by then, at the confirmations of the last transit.
        self.pace_samples: deque[tuple[float, float]] = deque()

    def record_sent(
        self, seal: int, entries: float, receivers: Iterable[Hashable], now_ms: float
    ) -> None:
        """Record a message that carries this many entries to each receiver."""
        unconfirmed = dict.fromkeys(receivers)
        self.left_at_push = self.left_entries()
        self.messages.append(
            ChannelMessage(seal, entries, unconfirmed, now_ms, entries * len(unconfirmed))
        )
        self.sent_entries += entries * bool(unconfirmed)
        self.push_times_ms.append(now_ms)
        self.last_push_ms = now_ms
        if self.unanswered_since_ms <= self.last_confirmation_ms:
            self.unanswered_since_ms = now_ms

    def record_confirmation(
        self, seal: int, receiver: Hashable, now_ms: float, elapsed_ms: float
    ) -> None:
        """Record that a receiver has confirmed a seal, and with it all earlier messages.

        It had applied the message `elapsed_ms` after it was sent.

        Messages leave the channel one after another, so nothing of the earlier ones waits any more,
        even for receivers that have left and will not confirm. A seal that no recorded message
        carries is ignored.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "r", 1.0)
        >>> channel.waiting_entries()
        25.0
        >>> channel.record_confirmation(2, "r", 2.0, 0.0)
        >>> channel.waiting_entries()
        0.0
        """
        index = self._last_index(seal)
        if index is None:
            return
        self.last_confirmation_ms = now_ms
        self.loses_confirmations = False
        if receiver in self.messages[index].unconfirmed:
            self.last_progress_ms = now_ms
        for message in islice(self.messages, index + 1):
            message.unconfirmed.pop(receiver, None)
            message.lost_receivers = min(message.lost_receivers, len(message.unconfirmed))
        self._record_timing(self.messages[index], now_ms, elapsed_ms)
        self._record_left_before(index)

    def _record_timing(self, message: ChannelMessage, now_ms: float, elapsed_ms: float) -> None:
        """Record how late a confirmation came, and the pace that it proves.

        The message had left for all who have confirmed it by the time that the last one tells. Few
        of them prove little, as transit is most of that time.
        """
        self.lateness_ms = max(now_ms - message.sent_at_ms - elapsed_ms, 0.0)
        confirmed_entries = message.total_entries - message.entries * len(message.unconfirmed)
        if elapsed_ms > 0 and confirmed_entries >= message.total_entries / 2:
            self.proven_entries_per_ms = confirmed_entries / elapsed_ms

    def record_receiver_left(self, receiver: Hashable) -> None:
        """Record that a receiver has left: what waits for it stays, but it confirms nothing.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_receiver_left("p")
        >>> channel.waiting_entries(), channel.awaited_entries()
        (20.0, 5.0)
        """
        for message in self.messages:
            message.lost_receivers += receiver in message.unconfirmed

    def record_in_force(self, seal: int) -> None:
        """Record that all receivers have applied a message, as reports show, and earlier ones.

        If most have not confirmed it, nor anybody since it was sent, confirmations are lost.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "pq", 1.0)
        >>> channel.record_in_force(1)
        >>> channel.waiting_entries(), channel.loses_confirmations
        (10.0, True)
        """
        index = self._last_index(seal)
        if index is None:
            return
        message = self.messages[index]
        unconfirmed_entries = message.entries * len(message.unconfirmed)
        if (
            unconfirmed_entries > message.total_entries / 2
            and self.last_confirmation_ms < message.sent_at_ms
        ):
            self.loses_confirmations = True
        receivers = list(message.unconfirmed)
        for earlier in islice(self.messages, index + 1):
            for receiver in receivers:
                earlier.unconfirmed.pop(receiver, None)
        self._record_left_before(index)

    def record_begun(self, seal: int) -> None:
        """Record that some receiver has applied a message: all before it have left the channel.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "pq", 1.0)
        >>> channel.record_begun(2)
        >>> channel.waiting_entries()
        10.0
        """
        index = self._last_index(seal)
        if index is not None:
            self._record_left_before(index)

    def is_under_way(self, seal: int) -> bool:
        """Return whether most receivers of a message have yet to confirm it.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pqr", 0.0)
        >>> channel.record_confirmation(1, "p", 1.0, 0.0)
        >>> channel.is_under_way(1), channel.is_under_way(2)
        (True, False)
        >>> channel.record_confirmation(1, "q", 1.0, 0.0)
        >>> channel.is_under_way(1)
        False
        """
        index = self._last_index(seal)
        return index is not None and not self.messages[index].is_mostly_received()

    def _last_index(self, seal: int) -> int | None:
        """Return the index of the latest message of a seal, or None."""
        indices = [i for i, message in enumerate(self.messages) if message.seal == seal]
        return indices[-1] if indices else None

    def _record_left_before(self, index: int) -> None:
        """Record that the messages before an index have left; drop those confirmed by all.

        Their unconfirmed receivers stay known: the fate of failed calls is judged by them.
        """
        for message in islice(self.messages, index):
            message.entries = 0.0
        while len(self.messages) > 1 and not self.messages[0].unconfirmed:
            self.messages.popleft()

    def missing_confirmations_before(
        self, seal: int, receivers: Collection[Hashable], ignored_seals: Collection[int]
    ) -> int:
        """Return how many confirmations of some receivers are missing before a seal's message.

        Messages of ignored seals do not count. Return 0 if the seal is unknown.

        >>> channel = Channel()
        >>> channel.record_sent(1, 5.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "pqr", 0.0)
        >>> channel.record_confirmation(1, "p", 1.0, 0.0)
        >>> [channel.missing_confirmations_before(seal, "pqr", ()) for seal in (1, 2, 3)]
        [0, 1, 0]
        >>> [channel.missing_confirmations_before(2, *args) for args in (("p", ()), ("pq", (1,)))]
        [0, 0]
        """
        index = next((i for i, message in enumerate(self.messages) if message.seal == seal), 0)
        return sum(
            receiver in receivers
            for message in islice(self.messages, index)
            if message.seal not in ignored_seals
            for receiver in message.unconfirmed
        )

    def drop_message(self, seal: int, pushed_at_ms: float) -> None:
        """Drop the message of a seal, and its push: its call has not run.

        The message may be gone already, where receivers have confirmed a later one.
        """
        if pushed_at_ms in self.push_times_ms:
            self.push_times_ms.remove(pushed_at_ms)
        self.sent_entries -= sum(
            message.waiting_entries_each() for message in self.messages if message.seal == seal
        )
        self.messages = deque(message for message in self.messages if message.seal != seal)

    def drop_before(
        self, sent_before_ms: float, pushed_before_ms: float, held_until_ms: float = 0.0
    ) -> None:
        """Drop messages sent before a time, confirmed or not, and pushes up to a time.

        If `held_until_ms` is not 0, the latest message had not left the controller by then, and
        counts as sent and pushed at that time.
        """
        if held_until_ms and self.messages and self.push_times_ms:
            if self.unanswered_since_ms == self.messages[-1].sent_at_ms:
                self.unanswered_since_ms = held_until_ms
            self.messages[-1].sent_at_ms = held_until_ms
            self.push_times_ms[-1] = self.last_push_ms = held_until_ms
        while self.messages and self.messages[0].sent_at_ms < sent_before_ms:
            self.messages.popleft()
        while self.push_times_ms and self.push_times_ms[0] <= pushed_before_ms:
            self.push_times_ms.popleft()

    def waiting_entries(self) -> float:
        """Return the entries that may still wait in the channel, summed over the receivers."""
        return sum(message.waiting_entries() for message in self.messages)

    def awaited_entries(self) -> float:
        """Return how many entries for each receiver may wait that will be confirmed once left."""
        return sum(message.awaited_entries_each() for message in self.messages)

    def left_entries(self) -> float:
        """Return how many entries for each receiver are known to have left so far.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "pqrs", 0.0)
        >>> channel.record_confirmation(1, "p", 1.0, 0.0)
        >>> channel.left_entries()
        5.0
        >>> channel.record_confirmation(2, "q", 2.0, 0.0)
        >>> channel.left_entries()
        11.25
        """
        return self.sent_entries - sum(message.waiting_entries_each() for message in self.messages)

    def measure_pace(self, max_transit_ms: float) -> None:
        """Measure the pace by what has left since the last push; a confirmation has come.

        The first confirmations follow a push by a transit, and tell of the pace only later. Most
        of a message that leaves sooner does so too quickly to be measured.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pqr", 0.0)
        >>> channel.record_confirmation(1, "p", 700.0, 0.0)
        >>> channel.measure_pace(200.0)
        >>> round(channel.measured_pace * 1000, 2)
        6.67
        >>> channel.record_sent(2, 10.0, "pqr", 1000.0)
        >>> channel.record_confirmation(2, "p", 1200.0, 0.0)
        >>> channel.measure_pace(200.0)
        >>> round(channel.measured_pace * 1000, 2)
        6.67
        >>> channel.record_confirmation(2, "q", 1210.0, 0.0)
        >>> channel.measure_pace(200.0)
        >>> channel.measured_pace
        inf
        """
        now_ms, left_entries = self.last_confirmation_ms, self.left_entries()
        span_ms = now_ms - self.last_push_ms - max_transit_ms
        recent_pace = self._sample_pace(now_ms, left_entries, max_transit_ms)
        if span_ms >= max_transit_ms:
            self.measured_pace = max((left_entries - self.left_at_push) / span_ms, recent_pace)
        elif self.messages and self.messages[-1].is_mostly_received():
            self.measured_pace = INFINITY

    def _sample_pace(self, now_ms: float, left_entries: float, window_ms: float) -> float:
        """Record what has left by now; return the pace over the last window, or 0 if unknown."""
        samples = self.pace_samples
        if not samples or samples[-1][0] < now_ms:
            samples.append((now_ms, left_entries))
        while len(samples) > 1 and samples[1][0] <= now_ms - window_ms:
            samples.popleft()
        first_ms, first_left = samples[0]
        if now_ms - first_ms < window_ms:
            return 0.0
        return (left_entries - first_left) / (now_ms - first_ms)

    def waiting_entries_at_pace(self, now_ms: float, min_entries_per_ms: float) -> float:
        """Return the same for a channel that sends at this pace at least.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "pq", 4.0)
        >>> [channel.waiting_entries_at_pace(now_ms, 2.0) for now_ms in (4.0, 8.0, 12.0, 20.0)]
        [22.0, 14.0, 6.0, 0.0]
        """
        waiting = left_at_ms = 0.0
        for message in self.messages:
            begin_ms = max(left_at_ms, message.sent_at_ms)
            left_at_ms = begin_ms + message.total_entries / min_entries_per_ms
            waiting += min(
                message.entries * len(message.unconfirmed),
                max(left_at_ms - now_ms, 0.0) * min_entries_per_ms,
            )
        return waiting

    def late_pace(self, now_ms: float, max_gap_ms: float) -> float:
        """Return the pace that confirmations prove which come late, in entries per ms, or 0.

        They come late if they are on their way for longer than `max_gap_ms`. If none has come for
        longer than that and their lateness together, they prove nothing any more.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_confirmation(1, "p", 2_100.0, 100.0)
        >>> channel.record_confirmation(1, "q", 2_100.0, 100.0)
        >>> [channel.late_pace(now_ms, 700.0) for now_ms in (2_200.0, 5_000.0)]
        [0.2, 0.0]
        >>> channel.late_pace(2_200.0, 3_000.0)
        0.0
        """
        is_late = self.lateness_ms > max_gap_ms
        is_current = self.unanswered_ms(now_ms) <= self.lateness_ms + max_gap_ms
        return self.proven_entries_per_ms if is_late and is_current else 0.0

    def last_message_entries(self) -> float:
        """Return the size of the last message for each receiver, as far as it may wait; or 0."""
        return self.messages[-1].entries if self.messages else 0.0

    def unconfirmed_receivers(self) -> int:
        """Return how many receivers have not confirmed the latest message."""
        return len(self.messages[-1].unconfirmed) if self.messages else 0

    def overdue_ms(self, now_ms: float) -> float:
        """Return for how long neither a message was sent nor one confirmed.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 10.0, "pq", 100.0)
        >>> channel.record_confirmation(1, "p", 300.0, 0.0)
        >>> channel.overdue_ms(400.0)
        100.0
        """
        return now_ms - max(self.last_confirmation_ms, self.last_push_ms)

    def standstill_ms(self, now_ms: float) -> float:
        """Return for how long neither a message was sent nor one confirmed by a further receiver.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_confirmation(1, "p", 100.0, 0.0)
        >>> channel.record_confirmation(1, "p", 300.0, 0.0)  # once more
        >>> channel.standstill_ms(400.0), channel.overdue_ms(400.0)
        (300.0, 100.0)
        """
        return now_ms - max(self.last_progress_ms, self.last_push_ms)

    def unanswered_ms(self, now_ms: float) -> float:
        """Return for how long no receiver has confirmed a message, although some were sent.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_confirmation(1, "p", 300.0, 0.0)
        >>> channel.record_sent(2, 10.0, "pq", 1000.0)
        >>> channel.record_sent(3, 10.0, "pq", 1500.0)
        >>> channel.unanswered_ms(1600.0)
        600.0
        """
        return now_ms - max(self.last_confirmation_ms, self.unanswered_since_ms)
