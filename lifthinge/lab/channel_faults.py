"""Faults of a simulated channel to the proxies: a slower pace, and confirmations that are lost.

Times are floats in milliseconds.
"""

from dataclasses import dataclass

INFINITY = float("inf")


@dataclass(frozen=True)
class PaceChange:
    """From when on a channel runs at which fraction of its stated pace; 0: it stands still."""

    from_ms: float
    fraction: float


@dataclass(frozen=True)
class ChannelFaults:
    """What is wrong with a channel; the defaults are a sound one.

    >>> faults = ChannelFaults(pace_changes=(PaceChange(1000.0, 0.5), PaceChange(3000.0, 0.0),
    ...     PaceChange(4000.0, 1.0)))
    >>> [faults.usual_pace_ms(at_ms) for at_ms in (500.0, 2000.0, 3500.0, 4500.0)]
    [500.0, 1500.0, 2000.0, 2500.0]
    >>> faults.end_ms(500.0, 1000.0), faults.end_ms(2500.0, 500.0)
    (2000.0, 4250.0)
    """

    pace_changes: tuple[PaceChange, ...] = ()  # in the order of their times
    # Fraction of the proxies whose confirmations never arrive, and the spans in which none does.
    unconfirmed_fraction: float = 0.0
    lost_spans_ms: tuple[tuple[float, float], ...] = ()
    confirmation_delay_ms: float = 0.0

    def _segments(self) -> list[tuple[float, float, float]]:
        """Return begin, end and fraction of each span of an even pace."""
        changes = [PaceChange(0.0, 1.0), *self.pace_changes, PaceChange(INFINITY, 1.0)]
        return [
            (change.from_ms, following.from_ms, change.fraction)
            for change, following in zip(changes, changes[1:], strict=False)
        ]

    def usual_pace_ms(self, at_ms: float) -> float:
        """Return in what time a sound channel sends what this one has sent until then."""
        return sum(
            (min(at_ms, end_ms) - begin_ms) * fraction
            for begin_ms, end_ms, fraction in self._segments()
            if begin_ms < at_ms
        )

    def end_ms(self, begin_ms: float, usual_ms: float) -> float:
        """Return when it has sent what takes a sound channel so long, from a time on."""
        for _, segment_end_ms, fraction in self._segments():
            if segment_end_ms <= begin_ms:
                continue
            possible_ms = (segment_end_ms - begin_ms) * fraction if fraction else 0.0
            if possible_ms >= usual_ms:
                return begin_ms + usual_ms / fraction if fraction else begin_ms
            usual_ms -= possible_ms
            begin_ms = segment_end_ms
        return INFINITY

    def loses_confirmation(self, proxy_number: int, proxy_count: int, at_ms: float) -> bool:
        """Return whether the confirmation that a proxy sends now never arrives."""
        return proxy_number < self.unconfirmed_fraction * proxy_count or any(
            begin_ms <= at_ms < end_ms for begin_ms, end_ms in self.lost_spans_ms
        )
