"""What reports of attempts show of messages that no proxy has confirmed.

A withdrawal ends the attempts at its backends, a readmission begins them anew. So reports tell,
after a while, which messages the proxies have received, whatever becomes of the confirmations:

- A message is in force once no attempt at the backends that it withdrew is reported any more,
  although enough would have been expected, and reports of other backends go on.
- A message has begun to arrive once an attempt is reported at a backend that it readmitted, and
  that had got none for a while. All messages before it have left the channel.

Times are floats in milliseconds, attempts are those of one report interval.

>>> from lifthinge.interface import Backend
>>> a, b = Backend("a", "a"), Backend("b", "b")
>>> evidence = DeliveryEvidence()
>>> for number in range(20):
...     assert not evidence.record_interval({a: 6.0, b: 6.0}, 500.0 * number, 500.0)
>>> evidence.record_sent(7, [b], [], 10_000.0, 500.0)
>>> evidence.record_interval({a: 8.0, b: 4.0}, 10_500.0, 500.0)  # reported late, or not received
[]
>>> evidence.record_interval({}, 11_000.0, 500.0)  # no reports: no evidence
[]
>>> evidence.record_interval({a: 12.0}, 11_500.0, 500.0)
[]
>>> evidence.record_interval({a: 12.0}, 12_000.0, 500.0)
[Delivery(seal=7, is_complete=True)]
>>> evidence.record_sent(8, [], [b], 13_000.0, 500.0)
>>> evidence.record_interval({a: 9.0, b: 3.0}, 13_500.0, 500.0)
[Delivery(seal=8, is_complete=False)]

Attempts may end for another reason, which proves nothing:

>>> evidence.record_sent(9, [b], [], 14_000.0, 500.0)
>>> evidence.stop_watching()
>>> for number in range(20):
...     assert not evidence.record_interval({a: 12.0}, 14_500.0 + 500.0 * number, 500.0)
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from lifthinge.interface import Backend

# A message is in force once so many attempts were expected and none was reported, which comes about
# by chance once in 20,000 times.
MIN_MISSING_ATTEMPTS = 10.0
# Number of mean report spans without an attempt from which on a message may be in force. An attempt
# before it arrived may be reported as late.
MIN_SILENT_REPORT_SPANS = 2.0
# The same until a backend counts as one that gets no attempts.
MIN_UNUSED_REPORT_SPANS = 3.0
# Part of one report interval in the moving mean of a backend's attempts.
SMOOTHING_FRACTION = 0.25
# Messages that are watched at a time; the oldest are dropped first.
MAX_WATCHED_MESSAGES = 32


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message that proxies have received: all of them, or at least one."""

    seal: int
    is_complete: bool


@dataclass(slots=True)
class WatchedWithdrawal:
    """A message that withdrew backends. The order of the slots is part of the capture format."""

    seal: int
    usual_attempts: dict[Backend, float]  # of its backends, in a report interval
    last_attempt_at_ms: float  # when an attempt was last reported, or the message sent
    missing_attempts: float = 0.0  # expected since then


class DeliveryEvidence:
    """Usual attempts of the backends in use, and the messages that changed which ones are.

    The order of the slots is part of the capture format.
    """

    __slots__ = ("_usual_attempts", "_last_attempt_at_ms", "_withdrawals", "_readmissions")

    def __init__(self) -> None:
        self._usual_attempts: dict[Backend, float] = {}
        self._last_attempt_at_ms: dict[Backend, float] = {}
        self._withdrawals: list[WatchedWithdrawal] = []
        # Backend -> seal of the message that readmitted it.
        self._readmissions: dict[Backend, int] = {}

    def record_sent(
        self,
        seal: int,
        withdrawn: Collection[Backend],
        readmitted: Collection[Backend],
        now_ms: float,
        mean_report_span_ms: float,
    ) -> None:
        """Watch what becomes of a message that withdraws and readmits backends."""
        for backend in readmitted:
            self._stop_watching(backend)
            last_attempt_at_ms = self._last_attempt_at_ms.get(backend, 0.0)
            if now_ms - last_attempt_at_ms >= MIN_UNUSED_REPORT_SPANS * mean_report_span_ms:
                self._readmissions[backend] = seal
        usual_attempts = {}
        for backend in withdrawn:
            self._readmissions.pop(backend, None)
            if backend in self._usual_attempts:
                usual_attempts[backend] = self._usual_attempts.pop(backend)
        if usual_attempts:
            self._withdrawals.append(WatchedWithdrawal(seal, usual_attempts, now_ms))
            del self._withdrawals[:-MAX_WATCHED_MESSAGES]

    def record_interval(
        self, attempts: Mapping[Backend, float], now_ms: float, mean_report_span_ms: float
    ) -> list[Delivery]:
        """Take in the attempts of a report interval; return the messages that were received.

        Backends without attempts may be left out of `attempts`.
        """
        reported = {backend: count for backend, count in attempts.items() if count}
        self._last_attempt_at_ms.update(dict.fromkeys(reported, now_ms))
        begun = dict.fromkeys(
            self._readmissions.pop(backend) for backend in reported if backend in self._readmissions
        )
        min_silent_ms = MIN_SILENT_REPORT_SPANS * mean_report_span_ms
        reported_fraction = self._reported_fraction(reported)
        for withdrawal in self._withdrawals:
            _count_missing(withdrawal, reported, reported_fraction, now_ms)
        in_force = [
            withdrawal.seal
            for withdrawal in self._withdrawals
            if withdrawal.missing_attempts >= MIN_MISSING_ATTEMPTS
            and now_ms - withdrawal.last_attempt_at_ms >= min_silent_ms
        ]
        self._update_usual_attempts(reported)
        self._withdrawals = [w for w in self._withdrawals if w.seal not in in_force]
        return [
            *(Delivery(seal, is_complete=False) for seal in begun),
            *(Delivery(seal, is_complete=True) for seal in in_force),
        ]

    def stop_watching(self) -> None:
        """Expect nothing more of any message: attempts change for another reason."""
        self._withdrawals.clear()
        self._readmissions.clear()

    def forget(self, backend: Backend) -> None:
        """Drop what is known of a backend that is gone for good."""
        self._stop_watching(backend)
        self._usual_attempts.pop(backend, None)
        self._last_attempt_at_ms.pop(backend, None)
        self._readmissions.pop(backend, None)

    def _stop_watching(self, backend: Backend) -> None:
        """Expect nothing more of the withdrawal of a backend."""
        for withdrawal in self._withdrawals:
            withdrawal.usual_attempts.pop(backend, None)
        self._withdrawals = [w for w in self._withdrawals if w.usual_attempts]

    def _withdrawn(self) -> set[Backend]:
        """Return the backends of watched withdrawals."""
        return {backend for w in self._withdrawals for backend in w.usual_attempts}

    def _reported_fraction(self, reported: Mapping[Backend, float]) -> float:
        """Return which part of the usual attempts at backends in use an interval has brought."""
        withdrawn = self._withdrawn()
        count = sum(count for backend, count in reported.items() if backend not in withdrawn)
        return min(count / max(sum(self._usual_attempts.values()), 1.0), 1.0)

    def _update_usual_attempts(self, reported: Mapping[Backend, float]) -> None:
        """Take the attempts of an interval into the moving means."""
        withdrawn = self._withdrawn()
        in_use = [backend for backend in reported if backend not in withdrawn]
        for backend in dict.fromkeys([*self._usual_attempts, *in_use]):
            usual = self._usual_attempts.get(backend, 0.0)
            change = reported.get(backend, 0.0) - usual
            self._usual_attempts[backend] = usual + change * SMOOTHING_FRACTION


def _count_missing(
    withdrawal: WatchedWithdrawal,
    reported: Mapping[Backend, float],
    reported_fraction: float,
    now_ms: float,
) -> None:
    """Add the attempts that an interval lacks; start over if it has any."""
    if any(backend in reported for backend in withdrawal.usual_attempts):
        withdrawal.missing_attempts = 0.0
        withdrawal.last_attempt_at_ms = now_ms
        return
    usual_total = sum(withdrawal.usual_attempts.values())
    withdrawal.missing_attempts += reported_fraction * usual_total
