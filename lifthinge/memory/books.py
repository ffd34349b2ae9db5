"""The books that all connections share: slots, deadlines, counters, and chance for transport waits."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

from lifthinge.memory.counters import Counters, Notices
from lifthinge.memory.deadlines import Deadline, Deadlines
from lifthinge.memory.slots import Slots


@dataclass(eq=False, slots=True)
class Request:
    """A request that waits for its answer, as its connection's owner sees it."""

    asked_at: float
    future: asyncio.Future
    deadline: Deadline


@dataclass(eq=False, slots=True)
class Books:
    deadlines: Deadlines
    counters: Counters
    notices: Notices
    connections: Slots[Any]
    requests: Slots[Request]
    dice: Random

    @property
    def now(self) -> float:
        return self.deadlines.now()

    async def pause(self, delay: float) -> None:
        """Waits on the one table of deadlines."""
        over = asyncio.Event()
        deadline = self.deadlines.set(delay, over.set)
        try:
            await over.wait()
        finally:
            deadline.cancel()
