"""The books of a channel to many proxies: which seals are out, who has not confirmed, how many lines wait.

>>> books = Channel()
>>> books.record_sent(1, 10.0, ["p", "q"], 0.0)
>>> books.record_confirmation(1, "p"); books.record_confirmation(65_000, "q"); books.waiting_entries(), books.unconfirmed_receivers()
(10.0, 1)
>>> books.record_repeat(1, 5.0, unrun=False); books.waiting_entries(), books.entries_per_receiver(1)
(20.0, 10.0)
>>> books.record_repeat(1, 6.0, unrun=True); books.waiting_entries(), len(books.push_times_ms)
(10.0, 2)
>>> books.drop_before(8.0, 8.0, held=9.0); books.waiting_entries(), len(books.push_times_ms)
(10.0, 1)
>>> books.record_confirmation(1, "q"); books.waiting_entries(), books.unconfirmed_receivers()
(0.0, 0)
"""

from collections import deque
from collections.abc import Hashable, Iterable
from itertools import islice


class Channel:
    """Messages by seal, oldest first; one that all have confirmed is off the books."""

    __slots__ = ("unconfirmed_messages", "push_times_ms", "last_push_ms")

    def __init__(self) -> None:
        self.unconfirmed_messages: deque[tuple[int, float, dict[Hashable, None], float]] = deque()
        self.push_times_ms: deque[float] = deque()  # times of the pushes not yet forgotten
        self.last_push_ms = float("-inf")

    def record_sent(
        self, seal: int, lines: float, receivers: Iterable[Hashable], now: float
    ) -> None:
        """Books one message of so many lines to each receiver."""
        self.unconfirmed_messages.append((seal, lines, dict.fromkeys(receivers), now))
        self.push_times_ms.append(now)
        self.last_push_ms = now

    def record_confirmation(self, seal: int, receiver: Hashable) -> None:
        """One receiver has answered a seal, and so all before it; any other number means nothing."""
        upto = max(
            (place for place, one in enumerate(self.unconfirmed_messages) if one[0] == seal),
            default=-1,
        )
        for _, _, missing, _ in islice(self.unconfirmed_messages, upto + 1):
            missing.pop(receiver, None)
        while len(self.unconfirmed_messages) > 1 and not self.unconfirmed_messages[0][2]:
            self.unconfirmed_messages.popleft()

    def entries_per_receiver(self, seal: int) -> float:
        """Lines for each receiver of what went out under a seal."""
        return next(
            (lines for number, lines, _, _ in self.unconfirmed_messages if number == seal), 0.0
        )

    def missing_confirmations_before(self, seal: int) -> int:
        """How many confirmations are missing of what went out before a seal; none if that is not on the books.

        >>> books = Channel()
        >>> books.record_sent(1, 5.0, "pq", 0.0); books.record_sent(2, 5.0, "pqr", 0.0); books.record_confirmation(1, "p")
        >>> books.missing_confirmations_before(1), books.missing_confirmations_before(2), books.missing_confirmations_before(3)
        (0, 1, 0)
        """
        place = next(
            (place for place, one in enumerate(self.unconfirmed_messages) if one[0] == seal), 0
        )
        return sum(len(missing) for _, _, missing, _ in islice(self.unconfirmed_messages, place))

    def record_repeat(self, seal: int, now: float, unrun: bool) -> None:
        """Books what goes out again under a seal: once more, or in place of what did not run."""
        lines, missing = next(
            (one[1:3] for one in self.unconfirmed_messages if one[0] == seal), (0.0, {})
        )
        if unrun and self.push_times_ms:
            self.push_times_ms.pop()
            self.unconfirmed_messages = deque(
                one for one in self.unconfirmed_messages if one[0] != seal
            )
        self.record_sent(seal, lines, missing, now)

    def drop_before(self, sent_before: float, pushed_before: float, held: float = 0.0) -> None:
        """Takes off the books what is that old, confirmed or not; what is held until now is new."""
        if held and self.unconfirmed_messages and self.push_times_ms:
            self.unconfirmed_messages[-1] = (*self.unconfirmed_messages[-1][:3], held)
            self.push_times_ms[-1] = self.last_push_ms = held
        while self.unconfirmed_messages and self.unconfirmed_messages[0][3] < sent_before:
            self.unconfirmed_messages.popleft()
        while self.push_times_ms and self.push_times_ms[0] <= pushed_before:
            self.push_times_ms.popleft()

    def waiting_entries(self) -> float:
        """Lines that may still wait: all that no confirmation covers."""
        return sum(lines * len(missing) for _, lines, missing, _ in self.unconfirmed_messages)

    def unconfirmed_receivers(self) -> int:
        """How many receivers have not confirmed the last seal."""
        return len(self.unconfirmed_messages[-1][2]) if self.unconfirmed_messages else 0
