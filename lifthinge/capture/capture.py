"""Captures what passes the decisions while the program runs; it never holds a turn up."""

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
MAX_WAITING_RECORDS = 2_000  # records not yet written; what comes beyond is left out, with a mark


class CapturingPolicy:
    """Takes the place of a `Policy` before the controller; what it can't write in time is left out and marked."""

    def __init__(self, policy: Policy, writer: SegmentWriter, counters: Counters) -> None:
        self.recorder, self.writer, self.counters = Recorder(policy), writer, counters
        self._queue: SimpleQueue[list[list] | None] = SimpleQueue()
        self._waiting = 0  # records given to the thread, less those that it has written
        self._written_counts: deque[int] = deque()
        self._left_out: float | None = None  # since when
        self.failure = ""
        self._thread = Thread(target=self._run, name="capture", daemon=True)
        self._thread.start()

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Decides, and puts it on record."""
        if self.failure:
            return self.recorder.policy.decide(now, events)
        while self._written_counts:
            self._waiting -= self._written_counts.popleft()
        if self._waiting >= MAX_WAITING_RECORDS:
            self._left_out = now if self._left_out is None else self._left_out
            self.counters.add("capture.left_out")
            return self.recorder.policy.decide(now, events)
        records: list[list] = []
        if self._left_out is not None:
            records.append(["x", self._left_out, now, "the disk was too slow"])
            self._left_out = None
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
        while (records := self._queue.get()) is not None:
            try:
                self.writer.write(records)
            except OSError as error:
                self.failure = error.strerror or str(error)
                log.error("capture_failed", {"why": self.failure})
                return
            self._written_counts.append(len(records))

    def close(self) -> None:
        """Writes what waits."""
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
    writer = SegmentWriter(
        Path(folder), head, int(budget_mb * (1 << 20)), int(segment_mb * (1 << 20))
    )
    return CapturingPolicy(policy, writer, counters)
