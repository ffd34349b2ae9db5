"""The books of a channel to many proxies: which seals are out, who has not confirmed, how many lines wait.

>>> books = Channel()
>>> books.sent(1, 10.0, ["p", "q"], 0.0)
>>> books.confirmed(1, "p"); books.confirmed(65_000, "q"); books.waiting(), books.unconfirmed()
(10.0, 1)
>>> books.repeated(1, 5.0, unrun=False); books.waiting(), books.cost(1)
(20.0, 10.0)
>>> books.repeated(1, 6.0, unrun=True); books.waiting(), len(books.pushes)
(10.0, 2)
>>> books.forget(8.0, 8.0, held=9.0); books.waiting(), len(books.pushes)
(10.0, 1)
>>> books.confirmed(1, "q"); books.waiting(), books.unconfirmed()
(0.0, 0)
"""

from collections import deque
from collections.abc import Hashable, Iterable
from itertools import islice


class Channel:
    """Messages by seal, oldest first; one that all have confirmed is off the books."""

    __slots__ = ("flight", "pushes", "pushed_at")

    def __init__(self) -> None:
        self.flight: deque[tuple[int, float, dict[Hashable, None], float]] = deque()
        self.pushes: deque[float] = deque()  # times of the pushes not yet forgotten
        self.pushed_at = float("-inf")

    def sent(self, seal: int, lines: float, receivers: Iterable[Hashable], now: float) -> None:
        """Books one message of so many lines to each receiver."""
        self.flight.append((seal, lines, dict.fromkeys(receivers), now))
        self.pushes.append(now)
        self.pushed_at = now

    def confirmed(self, seal: int, receiver: Hashable) -> None:
        """One receiver has answered a seal, and so all before it; any other number means nothing."""
        upto = max((place for place, one in enumerate(self.flight) if one[0] == seal), default=-1)
        for _, _, missing, _ in islice(self.flight, upto + 1):
            missing.pop(receiver, None)
        while len(self.flight) > 1 and not self.flight[0][2]:
            self.flight.popleft()

    def cost(self, seal: int) -> float:
        """Lines for each receiver of what went out under a seal."""
        return next((lines for number, lines, _, _ in self.flight if number == seal), 0.0)

    def ahead(self, seal: int) -> int:
        """How many confirmations are missing of what went out before a seal; none if that is not on the books.

        >>> books = Channel()
        >>> books.sent(1, 5.0, "pq", 0.0); books.sent(2, 5.0, "pqr", 0.0); books.confirmed(1, "p")
        >>> books.ahead(1), books.ahead(2), books.ahead(3)
        (0, 1, 0)
        """
        place = next((place for place, one in enumerate(self.flight) if one[0] == seal), 0)
        return sum(len(missing) for _, _, missing, _ in islice(self.flight, place))

    def repeated(self, seal: int, now: float, unrun: bool) -> None:
        """Books what goes out again under a seal: once more, or in place of what did not run."""
        lines, missing = next((one[1:3] for one in self.flight if one[0] == seal), (0.0, {}))
        if unrun and self.pushes:
            self.pushes.pop()
            self.flight = deque(one for one in self.flight if one[0] != seal)
        self.sent(seal, lines, missing, now)

    def forget(self, sent_before: float, pushed_before: float, held: float = 0.0) -> None:
        """Takes off the books what is that old, confirmed or not; what is held until now is new."""
        if held and self.flight and self.pushes:
            self.flight[-1] = (*self.flight[-1][:3], held)
            self.pushes[-1] = self.pushed_at = held
        while self.flight and self.flight[0][3] < sent_before:
            self.flight.popleft()
        while self.pushes and self.pushes[0] <= pushed_before:
            self.pushes.popleft()

    def waiting(self) -> float:
        """Lines that may still wait: all that no confirmation covers."""
        return sum(lines * len(missing) for _, lines, missing, _ in self.flight)

    def unconfirmed(self) -> int:
        """How many receivers have not confirmed the last seal."""
        return len(self.flight[-1][2]) if self.flight else 0
