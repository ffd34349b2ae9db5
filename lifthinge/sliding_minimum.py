"""Minimum of the values of a sliding time window."""

from collections import deque


class SlidingWindowMinimum:
    """A monotonic queue of the values that are, or may become, the minimum of the window.

    The caller moves the window with `drop_before`; times are in milliseconds and never decrease.

    >>> window = SlidingWindowMinimum()
    >>> window.add(0.0, 5.0); window.add(1.0, 9.0); window.minimum()
    5.0
    >>> window.drop_before(0.5); window.minimum()
    9.0
    """

    __slots__ = ("candidates",)

    def __init__(self) -> None:
        # Time and value, oldest first; the values increase strictly.
        self.candidates: deque[tuple[float, float]] = deque()

    def add(self, time_ms: float, value: float) -> None:
        """Add a value; earlier values that are not lower can no longer become the minimum."""
        while self.candidates and self.candidates[-1][1] >= value:
            self.candidates.pop()
        self.candidates.append((time_ms, value))

    def drop_before(self, time_ms: float) -> None:
        """Drop the values that were added before a time."""
        while self.candidates and self.candidates[0][0] < time_ms:
            self.candidates.popleft()

    def minimum(self) -> float:
        """Return the lowest value; raise IndexError if the window is empty."""
        return self.candidates[0][1]

    def clear(self) -> None:
        """Drop all values."""
        self.candidates.clear()
