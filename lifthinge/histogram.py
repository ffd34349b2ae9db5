"""A small histogram of a few coarse bins; its owner gives the edges."""

from bisect import bisect_right


class Histogram:
    """Counts by bin, halved when its owner says so.

    >>> outcomes = Histogram((0.5,))
    >>> outcomes.add(0.0, 6); outcomes.add(1.0, 2)
    >>> outcomes.total(), outcomes.share_from(0.5)
    (8.0, 0.25)
    >>> outcomes.halve(); outcomes.total()
    4.0
    """

    __slots__ = ("edges", "bins")

    def __init__(self, edges: tuple[float, ...]) -> None:
        self.edges = edges
        self.bins = [0.0] * (len(edges) + 1)

    def add(self, value: float, count: float = 1.0) -> None:
        """Count `value`, `count` times over."""
        self.bins[bisect_right(self.edges, value)] += count

    def halve(self) -> None:
        """Let the past count half."""
        self.bins = [count / 2 for count in self.bins]

    def clear(self) -> None:
        """Forget everything."""
        self.bins = [0.0] * len(self.bins)

    def total(self) -> float:
        """How much is counted."""
        return sum(self.bins)

    def share_from(self, edge: float) -> float:
        """Share of the count in bins that start at `edge` or above; 0 when nothing is counted."""
        total = self.total()
        return sum(self.bins[bisect_right(self.edges, edge) :]) / total if total else 0.0
