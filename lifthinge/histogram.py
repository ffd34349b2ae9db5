"""Histogram with a few coarse bins and exponential decay."""

from bisect import bisect_right


class Histogram:
    """Counts by bin; `halve` lets old values fade.

    The edges ascend; a value equal to an edge belongs to the bin that starts there.

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
        """Halve all counts, so that later values weigh twice as much as those so far."""
        self.bins = [count / 2 for count in self.bins]

    def clear(self) -> None:
        """Set all counts to 0."""
        self.bins = [0.0] * len(self.bins)

    def total(self) -> float:
        """Return the sum of the counts."""
        return sum(self.bins)

    def share_from(self, edge: float) -> float:
        """Return the share of the counts in bins from `edge` upwards; 0 if there are no counts."""
        total = self.total()
        return sum(self.bins[bisect_right(self.edges, edge) :]) / total if total else 0.0
