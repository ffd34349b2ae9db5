"""What all connections of a process share: slots, deadlines, counters and a random generator."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

from lifthinge.memory.counters import Counters, RateLimitedLog
from lifthinge.memory.deadlines import Deadline, DeadlineTable
from lifthinge.memory.slots import SlotPool


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that waits for its answer."""

    sent_at: float  # ms of Unix time
    future: asyncio.Future  # receives the answer, or the failure as a value
    deadline: Deadline


@dataclass(eq=False, slots=True)
class Runtime:
    """The shared state of a process's connections; slots limit their number."""

    deadlines: DeadlineTable
    counters: Counters
    rate_limited_log: RateLimitedLog
    connections: SlotPool[Any]
    requests: SlotPool[PendingRequest]
    rng: Random  # for transport and cluster; the decisions have their own

    @property
    def now(self) -> float:
        """The time in ms, by the clock of the deadlines."""
        return self.deadlines.now()

    async def pause(self, delay_ms: float) -> None:
        """Sleep by the table of deadlines, whose clock tests can replace."""
        expired = asyncio.Event()
        deadline = self.deadlines.schedule(delay_ms, expired.set)
        try:
            await expired.wait()
        finally:
            deadline.cancel()
