"""What a leader knows of another member's log, and how much it may send it now.

>>> one = Progress(next_index=5, now=0.0)
>>> one.mode.name, one.can_send(1.0, 100.0)
('PROBE', True)
>>> one.record_sent(5, 40, 1.0); one.can_send(50.0, 100.0), one.can_send(101.0, 100.0)
(False, True)
>>> one.record_match(5, 4, 60.0); one.mode.name, one.next_index, one.can_send(61.0, 100.0)
('STREAM', 6, True)
>>> for last in range(6, 6 + MAX_INFLIGHT_APPENDS):
...     one.record_sent(last, 10, 61.0)
>>> one.next_index, one.can_send(62.0, 100.0)
(70, False)
>>> one.record_match(30, 30, 63.0); one.can_send(63.0, 100.0), one.match_index
(True, 30)
>>> one.record_rejection(20, 12, 64.0), one.record_rejection(69, 12, 64.0), one.next_index, one.mode.name
(False, True, 31, 'PROBE')
"""

from collections import deque
from enum import Enum, auto

MAX_INFLIGHT_APPENDS, MAX_INFLIGHT_BYTES = (
    64,
    4 << 20,
)  # appends under way to one member, and their bytes


class ReplicationMode(Enum):
    PROBE = auto()  # where the logs part is not known: one append at a time
    STREAM = auto()  # appends follow one another without waiting
    SNAPSHOT = auto()  # what it lacks is compacted away: chunks, one at a time


class Progress:
    """One member, as its leader sees it; a silent one costs no more than its bounds."""

    __slots__ = (
        "mode",
        "next_index",
        "match_index",
        "heard_at",
        "heartbeat_round",
        "inflight",
        "bytes",
        "sent_at",
        "offset",
        "digest",
        "round_end",
        "round_at",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.mode, self.next_index, self.match_index = ReplicationMode.PROBE, next_index, 0
        self.heard_at = now
        self.heartbeat_round = 0  # the latest round that it has answered
        self.inflight: deque[tuple[int, int]] = deque()  # last index, bytes
        self.bytes = 0
        self.sent_at = float("-inf")  # when a probe or chunk that is unanswered went out
        self.offset, self.digest = 0, b""  # of the snapshot under way
        self.round_end, self.round_at = 0, now  # of a learner's catching up: to where, since when

    def can_send(self, now: float, patience: float) -> bool:
        """Whether another append may go out; an unanswered probe is repeated after `patience` ms."""
        if self.mode is ReplicationMode.STREAM:
            return len(self.inflight) < MAX_INFLIGHT_APPENDS and self.bytes < MAX_INFLIGHT_BYTES
        return now - self.sent_at >= patience

    def record_sent(self, last: int, size: int, now: float) -> None:
        """Entries up to `last` went out."""
        self.sent_at = now
        if self.mode is ReplicationMode.STREAM:
            self.next_index = last + 1
            self.inflight.append((last, size))
            self.bytes += size

    def record_match(self, held: int, match: int, now: float) -> None:
        """It holds what we hold up to `held`, and for good up to `match`."""
        self.heard_at = now
        if (
            self.mode is ReplicationMode.PROBE
            or self.mode is ReplicationMode.SNAPSHOT
            and match >= self.next_index - 1
        ):
            self._turn(ReplicationMode.STREAM)
            self.next_index = held + 1
        self.match_index = max(self.match_index, match)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.inflight and self.inflight[0][0] <= held:
            self.bytes -= self.inflight.popleft()[1]

    def record_rejection(self, prev: int, hint: int, now: float) -> bool:
        """Its log lacks what ours has at `prev`; False if that was answered long ago."""
        self.heard_at = now
        if prev <= self.match_index or self.mode is ReplicationMode.SNAPSHOT:
            return False
        if self.mode is ReplicationMode.PROBE and prev != self.next_index - 1:
            return False  # of an earlier probe
        self._turn(ReplicationMode.PROBE)
        self.next_index = max(self.match_index + 1, min(hint, prev))
        return True

    def start_snapshot(self, index: int, digest: bytes) -> None:
        """What it lacks is in the snapshot alone."""
        if self.mode is not ReplicationMode.SNAPSHOT or self.digest != digest:
            self._turn(ReplicationMode.SNAPSHOT)
            self.next_index, self.offset, self.digest = index + 1, 0, digest

    def assume_lost(self) -> None:
        """What is under way may be lost: goes on from what is surely held."""
        if self.mode is ReplicationMode.STREAM:
            self._turn(ReplicationMode.PROBE)
            self.next_index = self.match_index + 1
        self.sent_at = float("-inf")

    def _turn(self, mode: ReplicationMode) -> None:
        self.mode, self.bytes, self.sent_at = mode, 0, float("-inf")
        self.inflight.clear()
