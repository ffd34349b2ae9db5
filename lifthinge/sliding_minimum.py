"""The lowest of the values that came within a span of time."""

from collections import deque


class SlidingWindowMinimum:
    """Keeps what may yet be the lowest, oldest first.

    >>> low = SlidingWindowMinimum()
    >>> low.add(0.0, 5.0); low.add(1.0, 9.0); low.minimum()
    5.0
    >>> low.drop_before(0.5); low.minimum()
    9.0
    """

    __slots__ = ("candidates",)

    def __init__(self) -> None:
        self.candidates: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> None:
        """Takes in a value."""
        while self.candidates and self.candidates[-1][1] >= value:
            self.candidates.pop()
        self.candidates.append((now, value))

    def drop_before(self, before: float) -> None:
        """Drops what came before a time."""
        while self.candidates and self.candidates[0][0] < before:
            self.candidates.popleft()

    def minimum(self) -> float:
        """The lowest; only after one was added and not forgotten."""
        return self.candidates[0][1]

    def clear(self) -> None:
        """Forgets everything."""
        self.candidates.clear()
