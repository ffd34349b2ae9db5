"""All deadlines in one ordered structure, with one timer for the first of them.

>>> from types import SimpleNamespace
>>> clock, fired, timers = SimpleNamespace(now=0.0), [], []
>>> table = DeadlineTable(lambda: clock.now, lambda delay, run: timers.append(delay) or SimpleNamespace(
...     cancel=lambda: None))
>>> late, soon = table.schedule(50.0, lambda: fired.append("late")), table.schedule(20.0, lambda: fired.append("soon"))
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
    """One deadline: set, then either run or cancelled."""

    __slots__ = ("due_at_ms", "order", "action", "table")

    def __init__(
        self, due_at_ms: float, order: int, action: Callable[[], Any], table: "DeadlineTable"
    ) -> None:
        self.due_at_ms, self.order, self.table = due_at_ms, order, table
        self.action: Callable[[], Any] | None = action

    @property
    def is_pending(self) -> bool:
        return self.action is not None

    def cancel(self) -> None:
        if self.action is not None:
            self.action = None
            self.table.cancelled()

    def __lt__(self, other: "Deadline") -> bool:
        return (self.due_at_ms, self.order) < (other.due_at_ms, other.order)


class DeadlineTable:
    """`now` gives milliseconds; `schedule(delay, run)` arms the one timer and gives what cancels it."""

    def __init__(
        self, now: Callable[[], float], start_timer: Callable[[float, Callable[[], None]], Any]
    ) -> None:
        self.now, self._start_timer = now, start_timer
        self._heap: list[Deadline] = []
        self._dead = self._count = 0
        self._timer: Any = None
        self._armed_for = float("inf")
        self.max_lateness_ms = 0.0  # the longest that any was run after its time

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def schedule(self, delay: float, action: Callable[[], Any]) -> Deadline:
        self._count += 1
        deadline = Deadline(self.now() + max(delay, 0.0), self._count, action, self)
        heapq.heappush(self._heap, deadline)
        self._arm()
        return deadline

    def cancelled(self) -> None:
        """Takes the cancelled out once they are the greater part."""
        self._dead += 1
        if self._dead * 2 > len(self._heap):
            self._heap = [one for one in self._heap if one.is_pending]
            heapq.heapify(self._heap)
            self._dead = 0

    def run_due(self) -> None:
        """Runs what is due; an action that fails takes nothing else with it."""
        self._armed_for, now = float("inf"), self.now()
        while self._heap and self._heap[0].due_at_ms <= now:
            deadline = heapq.heappop(self._heap)
            self.max_lateness_ms = max(
                self.max_lateness_ms, now - deadline.due_at_ms if deadline.is_pending else 0.0
            )
            action, deadline.action = deadline.action, None
            if action is None:
                self._dead -= 1
                continue
            try:
                action()
            except Exception as error:
                log.error("deadline_failed", {"error": repr(error)}, exc_info=True)
        self._arm()

    def _arm(self) -> None:
        if self._heap and self._heap[0].due_at_ms < self._armed_for:
            if self._timer is not None:
                self._timer.cancel()
            self._armed_for = self._heap[0].due_at_ms
            self._timer = self._start_timer(max(self._armed_for - self.now(), 0.0), self.run_due)
