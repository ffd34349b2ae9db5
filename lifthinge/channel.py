"""Flow control of the channel to the proxies: which messages are unconfirmed, and their size.

A message is a batch of orders that goes to every joined proxy and ends with a seal, a number that
each proxy confirms once it has applied the batch. Its size is counted in table entries. All times
are in milliseconds.

>>> channel = Channel()
>>> channel.record_sent(1, 10.0, ["p", "q"], 0.0)
>>> channel.record_confirmation(1, "p")
>>> channel.record_confirmation(65_000, "q")  # no such seal: ignored
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
>>> channel.record_confirmation(1, "q")
>>> channel.waiting_entries(), channel.unconfirmed_receivers()
(0.0, 0)
"""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from itertools import islice


class Channel:
    """Messages that may still wait in the channel, oldest first, and the times of recent pushes.

    A message that every receiver has confirmed is dropped, unless it is the latest.
    The order of the slots is part of the capture format.
    """

    __slots__ = ("unconfirmed_messages", "push_times_ms", "last_push_ms")

    def __init__(self) -> None:
        # Seal, entries per receiver, receivers that have not confirmed (a dictionary keeps their
        # order), time sent in ms.
        self.unconfirmed_messages: deque[tuple[int, float, dict[Hashable, None], float]] = deque()
        self.push_times_ms: deque[float] = deque()  # pushes within the push window
        self.last_push_ms = float("-inf")

    def record_sent(
        self, seal: int, entries: float, receivers: Iterable[Hashable], now_ms: float
    ) -> None:
        """Record a message that carries this many entries to each receiver."""
        self.unconfirmed_messages.append((seal, entries, dict.fromkeys(receivers), now_ms))
        self.push_times_ms.append(now_ms)
        self.last_push_ms = now_ms

    def record_confirmation(self, seal: int, receiver: Hashable) -> None:
        """Record that a receiver has confirmed a seal, and with it all earlier messages.

        Messages leave the channel one after another, so nothing of the earlier ones waits any more,
        even for receivers that have left and will not confirm. A seal that no recorded message
        carries is ignored.

        >>> channel = Channel()
        >>> channel.record_sent(1, 10.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "r", 1.0)
        >>> channel.waiting_entries()
        25.0
        >>> channel.record_confirmation(2, "r")
        >>> channel.waiting_entries()
        0.0
        """
        last_confirmed = max(
            (
                index
                for index, message in enumerate(self.unconfirmed_messages)
                if message[0] == seal
            ),
            default=-1,
        )
        for _, _, unconfirmed, _ in islice(self.unconfirmed_messages, last_confirmed + 1):
            unconfirmed.pop(receiver, None)
        for index in range(last_confirmed):
            message_seal, _, unconfirmed, sent_at_ms = self.unconfirmed_messages[index]
            self.unconfirmed_messages[index] = (message_seal, 0.0, unconfirmed, sent_at_ms)
        while len(self.unconfirmed_messages) > 1 and not self.unconfirmed_messages[0][2]:
            self.unconfirmed_messages.popleft()

    def missing_confirmations_before(
        self, seal: int, receivers: Collection[Hashable], ignored_seals: Collection[int]
    ) -> int:
        """Return how many confirmations of some receivers are missing before a seal's message.

        Messages of ignored seals do not count. Return 0 if the seal is unknown.

        >>> channel = Channel()
        >>> channel.record_sent(1, 5.0, "pq", 0.0)
        >>> channel.record_sent(2, 5.0, "pqr", 0.0)
        >>> channel.record_confirmation(1, "p")
        >>> [channel.missing_confirmations_before(seal, "pqr", ()) for seal in (1, 2, 3)]
        [0, 1, 0]
        >>> [channel.missing_confirmations_before(2, *args) for args in (("p", ()), ("pq", (1,)))]
        [0, 0]
        """
        index = next(
            (
                index
                for index, message in enumerate(self.unconfirmed_messages)
                if message[0] == seal
            ),
            0,
        )
        return sum(
            receiver in receivers
            for message_seal, _, unconfirmed, _ in islice(self.unconfirmed_messages, index)
            if message_seal not in ignored_seals
            for receiver in unconfirmed
        )

    def drop_message(self, seal: int, pushed_at_ms: float) -> None:
        """Drop the message of a seal, and its push: its call has not run.

        The message may be gone already, where receivers have confirmed a later one.
        """
        if pushed_at_ms in self.push_times_ms:
            self.push_times_ms.remove(pushed_at_ms)
        self.unconfirmed_messages = deque(
            message for message in self.unconfirmed_messages if message[0] != seal
        )

    def drop_before(
        self, sent_before_ms: float, pushed_before_ms: float, held_until_ms: float = 0.0
    ) -> None:
        """Drop messages sent before a time, confirmed or not, and pushes up to a time.

        If `held_until_ms` is not 0, the latest message had not left the controller by then, and
        counts as sent and pushed at that time.
        """
        if held_until_ms and self.unconfirmed_messages and self.push_times_ms:
            self.unconfirmed_messages[-1] = (*self.unconfirmed_messages[-1][:3], held_until_ms)
            self.push_times_ms[-1] = self.last_push_ms = held_until_ms
        while self.unconfirmed_messages and self.unconfirmed_messages[0][3] < sent_before_ms:
            self.unconfirmed_messages.popleft()
        while self.push_times_ms and self.push_times_ms[0] <= pushed_before_ms:
            self.push_times_ms.popleft()

    def waiting_entries(self) -> float:
        """Return the entries that may still wait in the channel, summed over the receivers."""
        return sum(
            entries * len(unconfirmed) for _, entries, unconfirmed, _ in self.unconfirmed_messages
        )

    def unconfirmed_receivers(self) -> int:
        """Return how many receivers have not confirmed the latest message."""
        return len(self.unconfirmed_messages[-1][2]) if self.unconfirmed_messages else 0
