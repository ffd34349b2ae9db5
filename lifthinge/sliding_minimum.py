"""The lowest of the values that came within a span of time."""

from collections import deque


class SlidingWindowMinimum:
    """Keeps what may yet be the lowest, oldest first.

    >>> low = SlidingWindowMinimum()
    >>> low.add(0.0, 5.0); low.add(1.0, 9.0); low.value()
    5.0
    >>> low.forget(0.5); low.value()
    9.0
    """

    __slots__ = ("kept",)

    def __init__(self) -> None:
        self.kept: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> None:
        """Takes in a value."""
        while self.kept and self.kept[-1][1] >= value:
            self.kept.pop()
        self.kept.append((now, value))

    def forget(self, before: float) -> None:
        """Drops what came before a time."""
        while self.kept and self.kept[0][0] < before:
            self.kept.popleft()

    def value(self) -> float:
        """The lowest; only after one was added and not forgotten."""
        return self.kept[0][1]

    def clear(self) -> None:
        """Forgets everything."""
        self.kept.clear()
