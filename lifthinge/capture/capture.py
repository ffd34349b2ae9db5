"""Capturing of the policy's turns while the program runs, without delaying a turn."""

import logging
from collections import deque
from collections.abc import Iterable
from pathlib import Path
from queue import SimpleQueue
from threading import Thread
from typing import Any

from lifthinge.capture.segments import SegmentWriter
from lifthinge.capture.turns import Recorder
from lifthinge.interface import Event, Order
from lifthinge.memory.counters import Counters
from lifthinge.policy import Policy

log = logging.getLogger(__name__)
# Records not yet written to disk; turns beyond are left out of the capture, which marks the gap.
MAX_WAITING_RECORDS = 2_000


class CapturingPolicy:
    """Stands in for a `Policy` and has a thread of its own write the turns to segments.

    Turns that come faster than they can be written are left out, and the gap is marked.
    """

    def __init__(self, policy: Policy, writer: SegmentWriter, counters: Counters) -> None:
        self.recorder = Recorder(policy)
        self.writer = writer
        self.counters = counters
        # Records to write, a list for each turn; None ends the thread.
        self._queue: SimpleQueue[list[list] | None] = SimpleQueue()
        # Records given to the thread, less those taken from `_written_counts`.
        self._waiting = 0
        # Numbers of records that the thread has written and `decide` has not yet subtracted.
        self._written_counts: deque[int] = deque()
        # Time in ms of the first turn of the present gap; None if there is no gap.
        self._gap_start: float | None = None
        # Why the thread gave up writing; empty while it works.
        self.failure = ""
        self._thread = Thread(target=self._run, name="capture", daemon=True)
        self._thread.start()

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Call the policy's `decide` at a time in ms and queue the turn for writing."""
        if self.failure:
            return self.recorder.policy.decide(now, events)
        while self._written_counts:
            self._waiting -= self._written_counts.popleft()
        if self._waiting >= MAX_WAITING_RECORDS:
            self._gap_start = now if self._gap_start is None else self._gap_start
            self.counters.add("capture.left_out")
            return self.recorder.policy.decide(now, events)
        records: list[list] = []
        if self._gap_start is not None:
            records.append(["x", self._gap_start, now, "the disk was too slow"])
            self._gap_start = None
            self.recorder.keyframe()
        elif self.writer.wants_keyframe:
            self.recorder.keyframe()
        orders = self.recorder.decide(now, events)
        records += self.recorder.take_records()
        self._waiting += len(records)
        self._queue.put(records)
        self.counters.add("capture.turns")
        return orders

    def _run(self) -> None:
        """Write queued records until `close`, or until the disk fails; the body of the thread."""
        while (records := self._queue.get()) is not None:
            try:
                self.writer.write(records)
            except OSError as error:
                self.failure = error.strerror or str(error)
                log.error("capture_failed", {"why": self.failure})
                return
            self._written_counts.append(len(records))

    def close(self) -> None:
        """Write the queued records, for 5 seconds at most, and close the segment."""
        self._queue.put(None)
        self._thread.join(5.0)
        self.writer.close()


def open_capture(
    policy: Policy,
    folder: str,
    budget_mb: float,
    segment_mb: float,
    head: dict[str, Any],
    counters: Counters,
) -> CapturingPolicy:
    """Return a policy that is captured in a folder; raise `OSError` if that can't be created.

    Sizes are MiB: of all segments, and of one before the next begins. `head` becomes part of the
    header of each segment.
    """
    writer = SegmentWriter(
        Path(folder), head, int(budget_mb * (1 << 20)), int(segment_mb * (1 << 20))
    )
    return CapturingPolicy(policy, writer, counters)
