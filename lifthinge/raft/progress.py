"""A leader's view of another member's log, with flow control of what may be sent to it.

Appends are pipelined as in Ongaro's dissertation, 10.2.1, within the limits of `MAX_INFLIGHT_*`.

>>> progress = Progress(next_index=5, now=0.0)
>>> progress.mode.name, progress.can_send(1.0, 100.0)
('PROBE', True)
>>> progress.record_sent(5, 40, 1.0)
>>> progress.can_send(50.0, 100.0), progress.can_send(101.0, 100.0)
(False, True)
>>> progress.record_match(5, 4, 60.0)
>>> progress.mode.name, progress.next_index, progress.can_send(61.0, 100.0)
('STREAM', 6, True)
>>> for last_index in range(6, 6 + MAX_INFLIGHT_APPENDS):
...     progress.record_sent(last_index, 10, 61.0)
>>> progress.next_index, progress.can_send(62.0, 100.0)
(70, False)
>>> progress.record_match(30, 30, 63.0); progress.can_send(63.0, 100.0), progress.match_index
(True, 30)
>>> progress.record_rejection(20, 12, 64.0), progress.record_rejection(69, 12, 64.0)
(False, True)
>>> progress.next_index, progress.mode.name
(31, 'PROBE')
"""

from collections import deque
from enum import Enum, auto

MAX_INFLIGHT_APPENDS = 64  # unanswered appends to one member
MAX_INFLIGHT_BYTES = 4 << 20  # of their entries


class ReplicationMode(Enum):
    """How a leader replicates its log to one member."""

    PROBE = auto()  # the point up to which the logs match is unknown: one append at a time
    STREAM = auto()  # appends are sent without waiting for replies
    SNAPSHOT = auto()  # the entries it lacks are compacted: snapshot chunks, one at a time


class Progress:
    """The replication state of one member; limits bound what a silent member costs the leader."""

    __slots__ = (
        "mode",
        "next_index",
        "match_index",
        "heard_at",
        "heartbeat_round",
        "inflight",
        "inflight_bytes",
        "sent_at",
        "snapshot_offset",
        "snapshot_digest",
        "catch_up_target_index",
        "catch_up_began_at",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.mode = ReplicationMode.PROBE
        self.next_index = next_index  # index of the next entry to send (figure 2)
        self.match_index = 0  # last index known to be durable there and to match (figure 2)
        self.heard_at = now  # time (ms) of the latest reply
        self.heartbeat_round = 0  # latest heartbeat round that the member answered
        self.inflight: deque[tuple[int, int]] = deque()  # unanswered appends: last index, bytes
        self.inflight_bytes = 0
        self.sent_at = float("-inf")  # time of the latest append or chunk; -inf if none is awaited
        self.snapshot_offset = 0  # bytes of the snapshot that the member has received
        self.snapshot_digest = b""  # of the snapshot being sent
        # The present catch-up round of a learner (4.2.1): its last index, and when it began.
        self.catch_up_target_index = 0
        self.catch_up_began_at = now

    def can_send(self, now: float, retry_after_ms: float) -> bool:
        """Whether another append may be sent.

        An unanswered probe or chunk is repeated after `retry_after_ms`.
        """
        if self.mode is ReplicationMode.STREAM:
            return (
                len(self.inflight) < MAX_INFLIGHT_APPENDS
                and self.inflight_bytes < MAX_INFLIGHT_BYTES
            )
        return now - self.sent_at >= retry_after_ms

    def record_sent(self, last_index: int, size_bytes: int, now: float) -> None:
        """Record that entries up to `last_index`, or a snapshot chunk, were sent."""
        self.sent_at = now
        if self.mode is ReplicationMode.STREAM:
            self.next_index = last_index + 1
            self.inflight.append((last_index, size_bytes))
            self.inflight_bytes += size_bytes

    def record_match(self, received_index: int, match_index: int, now: float) -> None:
        """Record that the logs match up to `received_index`, durably up to `match_index`."""
        self.heard_at = now
        if (
            self.mode is ReplicationMode.PROBE
            or self.mode is ReplicationMode.SNAPSHOT
            and match_index >= self.next_index - 1
        ):
            self._set_mode(ReplicationMode.STREAM)
            self.next_index = received_index + 1
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.inflight and self.inflight[0][0] <= received_index:
            self.inflight_bytes -= self.inflight.popleft()[1]

    def record_rejection(self, prev_log_index: int, next_index_hint: int, now: float) -> bool:
        """Go back after the member rejected an append that follows `prev_log_index`.

        Return False if the rejection is outdated.
        """
        self.heard_at = now
        if prev_log_index <= self.match_index or self.mode is ReplicationMode.SNAPSHOT:
            return False
        if self.mode is ReplicationMode.PROBE and prev_log_index != self.next_index - 1:
            return False  # reply to an earlier probe
        self._set_mode(ReplicationMode.PROBE)
        self.next_index = max(self.match_index + 1, min(next_index_hint, prev_log_index))
        return True

    def start_snapshot(self, index: int, digest: bytes) -> None:
        """Send the snapshot at `index` from its beginning, unless it is being sent already."""
        if self.mode is not ReplicationMode.SNAPSHOT or self.snapshot_digest != digest:
            self._set_mode(ReplicationMode.SNAPSHOT)
            self.next_index = index + 1
            self.snapshot_offset = 0
            self.snapshot_digest = digest

    def assume_lost(self) -> None:
        """Treat unanswered messages as lost and go on after the last entry known to match."""
        if self.mode is ReplicationMode.STREAM:
            self._set_mode(ReplicationMode.PROBE)
            self.next_index = self.match_index + 1
        self.sent_at = float("-inf")

    def _set_mode(self, mode: ReplicationMode) -> None:
        """Change the mode and forget the unanswered messages."""
        self.mode = mode
        self.inflight_bytes = 0
        self.sent_at = float("-inf")
        self.inflight.clear()
