"""The books that all connections share: slots, deadlines, counters, and chance for transport waits."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

from lifthinge.memory.counters import Counters, RateLimitedLog
from lifthinge.memory.deadlines import Deadline, DeadlineTable
from lifthinge.memory.slots import SlotPool


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that waits for its answer, as its connection's owner sees it."""

    sent_at: float
    future: asyncio.Future
    deadline: Deadline


@dataclass(eq=False, slots=True)
class Runtime:
    deadlines: DeadlineTable
    counters: Counters
    rate_limited_log: RateLimitedLog
    connections: SlotPool[Any]
    requests: SlotPool[PendingRequest]
    rng: Random

    @property
    def now(self) -> float:
        return self.deadlines.now()

    async def pause(self, delay: float) -> None:
        """Waits on the one table of deadlines."""
        over = asyncio.Event()
        deadline = self.deadlines.schedule(delay, over.set)
        try:
            await over.wait()
        finally:
            deadline.cancel()
