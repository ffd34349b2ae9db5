"""A heap of all deadlines of the process, with one timer for the earliest.

>>> from types import SimpleNamespace
>>> clock, fired, timers = SimpleNamespace(now=0.0), [], []
>>> def start_timer(delay_ms, run):
...     timers.append(delay_ms)
...     return SimpleNamespace(cancel=lambda: None)
>>> table = DeadlineTable(lambda: clock.now, start_timer)
>>> late = table.schedule(50.0, lambda: fired.append("late"))
>>> soon = table.schedule(20.0, lambda: fired.append("soon"))
>>> timers, len(table)
([50.0, 20.0], 2)
>>> clock.now = 30.0
>>> table.run_due(); fired, soon.is_pending, late.is_pending
(['soon'], False, True)
>>> late.cancel(); clock.now = 90.0; table.run_due(); fired, len(table)
(['soon'], 0)
"""

import heapq
import logging
from collections.abc import Callable
from typing import Any

log = logging.getLogger(__name__)


class Deadline:
    """A scheduled action; it is run once or cancelled.

    Deadlines of the same time run in the order in which they were scheduled.
    """

    __slots__ = ("due_at_ms", "sequence_number", "action", "table")

    def __init__(
        self,
        due_at_ms: float,
        sequence_number: int,
        action: Callable[[], Any],
        table: "DeadlineTable",
    ) -> None:
        self.due_at_ms = due_at_ms
        self.sequence_number = sequence_number
        self.table = table
        self.action: Callable[[], Any] | None = action  # None once run or cancelled

    @property
    def is_pending(self) -> bool:
        """Whether the action is neither run nor cancelled yet."""
        return self.action is not None

    def cancel(self) -> None:
        """Drop the action; no effect if it has run or was cancelled."""
        if self.action is not None:
            self.action = None
            self.table.on_cancelled()

    def __lt__(self, other: "Deadline") -> bool:
        return (self.due_at_ms, self.sequence_number) < (other.due_at_ms, other.sequence_number)


class DeadlineTable:
    """Runs actions when they are due.

    `now` returns the time in ms. `start_timer(delay_ms, run)` starts the one timer and returns an
    object whose `cancel()` stops it.
    """

    def __init__(
        self, now: Callable[[], float], start_timer: Callable[[float, Callable[[], None]], Any]
    ) -> None:
        self.now = now
        self._start_timer = start_timer
        self._heap: list[Deadline] = []
        self._cancelled_count = 0  # cancelled deadlines still in the heap
        self._scheduled_count = 0  # deadlines ever scheduled
        self._timer: Any = None
        self._timer_due_at_ms = float("inf")  # infinite: no timer is pending
        self.max_lateness_ms = 0.0  # the longest time by which an action was run late

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled_count

    def schedule(self, delay_ms: float, action: Callable[[], Any]) -> Deadline:
        """Run the action after the delay; one below 0 counts as 0."""
        self._scheduled_count += 1
        deadline = Deadline(self.now() + max(delay_ms, 0.0), self._scheduled_count, action, self)
        heapq.heappush(self._heap, deadline)
        self._arm()
        return deadline

    def on_cancelled(self) -> None:
        """Note that a deadline was cancelled; remove all such once they are most of the heap."""
        self._cancelled_count += 1
        if self._cancelled_count * 2 > len(self._heap):
            self._heap = [deadline for deadline in self._heap if deadline.is_pending]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    def run_due(self) -> None:
        """Run all due actions, then restart the timer.

        An exception in one action is logged, and the others still run.
        """
        self._timer_due_at_ms = float("inf")
        now = self.now()
        while self._heap and self._heap[0].due_at_ms <= now:
            deadline = heapq.heappop(self._heap)
            self.max_lateness_ms = max(
                self.max_lateness_ms, now - deadline.due_at_ms if deadline.is_pending else 0.0
            )
            action = deadline.action
            deadline.action = None
            if action is None:
                self._cancelled_count -= 1
                continue
            try:
                action()
            except Exception as error:
                log.error("deadline_failed", {"error": repr(error)}, exc_info=True)
        self._arm()

    def _arm(self) -> None:
        """Restart the timer if the earliest deadline is before the timer's time."""
        if self._heap and self._heap[0].due_at_ms < self._timer_due_at_ms:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due_at_ms = self._heap[0].due_at_ms
            self._timer = self._start_timer(
                max(self._timer_due_at_ms - self.now(), 0.0), self.run_due
            )
