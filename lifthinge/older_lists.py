"""What to believe of a fleet list that is older than the one held.

Such a list comes from an agent that is behind, or from one that has begun to count its versions
anew; its version tells neither. But no agent is behind by more than a known lag. So what was told
longer ago is known to every agent, and a difference is news. What was told within the lag stands,
unless the older list shows that it knows more: a later start, or, for the same start, a later phase
of the life of the backend. All times are in milliseconds.

>>> from lifthinge.interface import Backend
>>> a = Backend("a", "a")
>>> def listing(phase, started_at_ms):
...     return Listing(a, 0, 0, phase, started_at_ms, 1.0)
>>> recent = RecentListings()
>>> recent.record([listing(Phase.DRAINING, 50.0)], now_ms=10_000.0)
>>> [recent.contradicts(listing(Phase.READY, start), 11_000.0) for start in (50.0, 90.0)]
[True, False]
>>> recent.contradicts(listing(Phase.GONE, 50.0), 11_000.0)
False
>>> recent.contradicts(listing(Phase.READY, 50.0), 10_000.0 + MAX_LIST_LAG_MS)
False
>>> recent.record([listing(Phase.READY, 90.0)], now_ms=12_000.0)
>>> recent.contradicts(listing(Phase.DRAINING, 50.0), 13_000.0)
True
>>> recent.contradicts_absence(a, 13_000.0), recent.contradicts_absence(a, 19_000.0)
(True, False)
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lifthinge.interface import Backend, Listing, Phase

# What discovery has to tell reaches every agent within this time.
MAX_LIST_LAG_MS = 6_000.0
# The phases in the order in which one life of a backend runs through them.
PHASE_ORDER = {Phase.READY: 0, Phase.DRAINING: 1, Phase.GONE: 2}


@dataclass(frozen=True, slots=True)
class RecentListing:
    """What was last told of a backend, and when."""

    phase: Phase
    started_at_ms: float
    told_at_ms: float


class RecentListings:
    """The listings that were told within the longest lag of an agent."""

    def __init__(self) -> None:
        self._by_backend: dict[Backend, RecentListing] = {}

    def record(self, listings: Iterable[Listing], now_ms: float) -> None:
        """Record changed listings, and drop what was told longer ago than the lag."""
        for backend in [b for b in self._by_backend if self._find(b, now_ms) is None]:
            del self._by_backend[backend]
        for listing in listings:
            self._by_backend[listing.backend] = RecentListing(
                listing.phase, listing.started_at_ms, now_ms
            )

    def contradicts(self, listing: Listing, now_ms: float) -> bool:
        """Return whether an entry of an older list is older than what was told of its backend."""
        recent = self._find(listing.backend, now_ms)
        if recent is None or listing.started_at_ms > recent.started_at_ms:
            return False
        if listing.started_at_ms < recent.started_at_ms:
            return True
        return PHASE_ORDER[listing.phase] < PHASE_ORDER[recent.phase]

    def contradicts_absence(self, backend: Backend, now_ms: float) -> bool:
        """Return whether a full older list lacks a backend only because it was not ready yet."""
        recent = self._find(backend, now_ms)
        return recent is not None and recent.phase is Phase.READY

    def _find(self, backend: Backend, now_ms: float) -> RecentListing | None:
        """Return what was told of a backend within the lag, or None."""
        recent = self._by_backend.get(backend)
        is_recent = recent is not None and now_ms - recent.told_at_ms < MAX_LIST_LAG_MS
        return recent if is_recent else None
