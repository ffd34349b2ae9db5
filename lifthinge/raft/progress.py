"""What a leader knows of another member's log, and how much it may send it now.

>>> one = Progress(next=5, now=0.0)
>>> one.mode.name, one.may_send(1.0, 100.0)
('PROBE', True)
>>> one.sent(5, 40, 1.0); one.may_send(50.0, 100.0), one.may_send(101.0, 100.0)
(False, True)
>>> one.matched(5, 4, 60.0); one.mode.name, one.next, one.may_send(61.0, 100.0)
('STREAM', 6, True)
>>> for last in range(6, 6 + INFLIGHT_MOST):
...     one.sent(last, 10, 61.0)
>>> one.next, one.may_send(62.0, 100.0)
(70, False)
>>> one.matched(30, 30, 63.0); one.may_send(63.0, 100.0), one.match
(True, 30)
>>> one.refused(20, 12, 64.0), one.refused(69, 12, 64.0), one.next, one.mode.name
(False, True, 31, 'PROBE')
"""

from collections import deque
from enum import Enum, auto

INFLIGHT_MOST, INFLIGHT_BYTES = 64, 4 << 20  # appends under way to one member, and their bytes


class Mode(Enum):
    PROBE = auto()  # where the logs part is not known: one append at a time
    STREAM = auto()  # appends follow one another without waiting
    SNAPSHOT = auto()  # what it lacks is compacted away: chunks, one at a time


class Progress:
    """One member, as its leader sees it; a silent one costs no more than its bounds."""

    __slots__ = (
        "mode",
        "next",
        "match",
        "heard_at",
        "beat",
        "inflight",
        "bytes",
        "sent_at",
        "offset",
        "mark",
        "round_end",
        "round_at",
    )

    def __init__(self, next: int, now: float) -> None:
        self.mode, self.next, self.match = Mode.PROBE, next, 0
        self.heard_at = now
        self.beat = 0  # the latest round that it has answered
        self.inflight: deque[tuple[int, int]] = deque()  # last index, bytes
        self.bytes = 0
        self.sent_at = float("-inf")  # when a probe or chunk that is unanswered went out
        self.offset, self.mark = 0, b""  # of the snapshot under way
        self.round_end, self.round_at = 0, now  # of a learner's catching up: to where, since when

    def may_send(self, now: float, patience: float) -> bool:
        """Whether another append may go out; an unanswered probe is repeated after `patience` ms."""
        if self.mode is Mode.STREAM:
            return len(self.inflight) < INFLIGHT_MOST and self.bytes < INFLIGHT_BYTES
        return now - self.sent_at >= patience

    def sent(self, last: int, size: int, now: float) -> None:
        """Entries up to `last` went out."""
        self.sent_at = now
        if self.mode is Mode.STREAM:
            self.next = last + 1
            self.inflight.append((last, size))
            self.bytes += size

    def matched(self, held: int, match: int, now: float) -> None:
        """It holds what we hold up to `held`, and for good up to `match`."""
        self.heard_at = now
        if self.mode is Mode.PROBE or self.mode is Mode.SNAPSHOT and match >= self.next - 1:
            self._turn(Mode.STREAM)
            self.next = held + 1
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        while self.inflight and self.inflight[0][0] <= held:
            self.bytes -= self.inflight.popleft()[1]

    def refused(self, prev: int, hint: int, now: float) -> bool:
        """Its log lacks what ours has at `prev`; False if that was answered long ago."""
        self.heard_at = now
        if prev <= self.match or self.mode is Mode.SNAPSHOT:
            return False
        if self.mode is Mode.PROBE and prev != self.next - 1:
            return False  # of an earlier probe
        self._turn(Mode.PROBE)
        self.next = max(self.match + 1, min(hint, prev))
        return True

    def start_snapshot(self, index: int, mark: bytes) -> None:
        """What it lacks is in the snapshot alone."""
        if self.mode is not Mode.SNAPSHOT or self.mark != mark:
            self._turn(Mode.SNAPSHOT)
            self.next, self.offset, self.mark = index + 1, 0, mark

    def lost(self) -> None:
        """What is under way may be lost: goes on from what is surely held."""
        if self.mode is Mode.STREAM:
            self._turn(Mode.PROBE)
            self.next = self.match + 1
        self.sent_at = float("-inf")

    def _turn(self, mode: Mode) -> None:
        self.mode, self.bytes, self.sent_at = mode, 0, float("-inf")
        self.inflight.clear()
