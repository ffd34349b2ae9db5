"""Calls to the relay: one in order at a time, sent again until it is known what became of it."""
import asyncio
import json
import logging
from typing import Callable, Iterable, Optional

from lifthinge.interface import Order
from lifthinge.memory.attempts import Failure
from lifthinge.memory.books import Books
from lifthinge.memory.calls import Calls, Pending
from lifthinge.wire import names
from lifthinge.wire.client import Answer, Caller, Result, post
from lifthinge.wire.door import Door
from lifthinge.wire.frames import read_object

log = logging.getLogger(__name__)
CALL_MOST = 60_000      # bytes of orders in a call
ANSWER_WAIT = 300.0     # ms: an answer comes within 50 or never
THROTTLE_WAIT = 100.0
RETRY_LEAST, RETRY_MOST = 50.0, 250.0
TRIES_MOST = 5          # of a call that is answered with an error


class Relay:
    """`settled` is called once all orders given are settled; `repeated` when a call goes out a second time."""

    def __init__(self, books: Books, door: Door, calls: Calls, where: tuple[str, int],
                 settled: Callable[[], None], repeated: Callable[[int], None]) -> None:
        self.books, self.door, self.calls = books, door, calls
        self.settled, self.repeated = settled, repeated
        self._caller = Caller(books, "relay_call", where)
        self._given = asyncio.Event()
        self._errors = 0        # answers in a row that were errors

    def give(self, orders: Iterable[Order]) -> None:
        self.calls.add([(order, json.dumps(self.door.order(order), separators=(",", ":")).encode())
                        for order in orders])
        self._given.set()

    async def run(self) -> None:
        while True:
            await self._given.wait()
            failures = 0
            while call := self.calls.front(CALL_MOST - len(names.ORDERS) - 8):
                body = b'{"%s":[%s]}' % (names.ORDERS.encode(), b",".join(one.body for one in call))
                result = await self._caller.call(post(names.CALL_PATH, self._caller.where, body), ANSWER_WAIT)
                wait = self._settle(call, result)
                failures = failures + 1 if wait is not None else 0
                if wait and failures > 1:
                    await self.books.pause(wait)
            self._given.clear()
            self.settled()

    def close(self) -> None:
        self._caller.close()

    def _settle(self, call: list[Pending], result: Result) -> Optional[float]:
        """Takes in what became of a call; gives how long to wait where the call must be made again."""
        if isinstance(result, Failure):
            self.books.notices.note("relay_call_failed", reach=result.reach.value, cause=result.cause.value,
                                    detail=result.detail)
            return self._again(result.may_have_run)
        answer = read_object(result.body)
        accepted = answer.get(names.ACCEPTED) if isinstance(answer, dict) else None
        if result.status == 200 and type(accepted) is int and 0 <= accepted <= len(call):
            self._errors = 0
            self.calls.settle(call[:accepted])
            if accepted < len(call):
                self.books.notices.note("order_refused", order=call[accepted].body.decode())
                self.calls.settle([call[accepted]])
            self.books.counters.add("orders.accepted", accepted)
            return None
        return self._refused(call, result)

    def _refused(self, call: list[Pending], answer: Answer) -> Optional[float]:
        if names.THROTTLED.encode() in answer.body:
            self.books.counters.add("relay_call.throttled")
            return THROTTLE_WAIT
        self._errors += 1
        self.books.notices.note("relay_call_error", status=answer.status, body=answer.body[:200].decode("latin-1"))
        if self._errors < TRIES_MOST and names.INVALID.encode() not in answer.body:
            return self._again(True)
        self.books.notices.note("relay_call_dropped", orders=len(call))
        self.calls.settle(call)
        self._errors = 0
        return None

    def _again(self, may_have_run: bool) -> float:
        seal = self.calls.seal()
        if may_have_run and seal is not None:
            self.repeated(seal)
        return RETRY_LEAST + self.books.dice.random() * (RETRY_MOST - RETRY_LEAST)
