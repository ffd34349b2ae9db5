"""PendingOrders to the relay: one in order at a time, until it is known what became of each.

What never went out wholly goes again. What went out wholly and brought no answer ran as ordered or not at
all: it goes again once the decisions say that the channel bears it, unless a proxy's answer to its seal shows
that it ran.
"""

import asyncio
import json
from collections.abc import Callable, Iterable

from lifthinge.interface import Order
from lifthinge.memory.attempts import Failure, FailureCause
from lifthinge.memory.pending_orders import PendingOrder, PendingOrders
from lifthinge.memory.runtime import Runtime
from lifthinge.wire import protocol
from lifthinge.wire.client import CallResult, HttpClient, Response, build_post
from lifthinge.wire.frames import decode_object
from lifthinge.wire.translator import MessageTranslator

CALL_MOST = 60_000  # bytes of orders in a call
ANSWER_WAIT = 200.0  # ms: an answer comes within 50 or never
THROTTLE_WAIT = 50.0
RETRY_LEAST, RETRY_MOST = 50.0, 250.0
ERRORS_MOST = 5  # answers in a row that are errors, before a call is given up


class RelayClient:
    """`changed` is called when all orders given are settled, or one call's fate becomes unknown.

    `refused` takes an order that the relay can't use, `given_up` those of a whole call.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        pending_orders: PendingOrders,
        where: tuple[str, int],
        on_state_changed: Callable[[], None],
        on_order_refused: Callable[[Order], None],
        on_call_abandoned: Callable[[list[Order]], None],
    ) -> None:
        self.runtime, self.translator, self.pending_orders = runtime, translator, pending_orders
        self.on_state_changed, self.on_order_refused, self.on_call_abandoned = (
            on_state_changed,
            on_order_refused,
            on_call_abandoned,
        )
        self.unknown_seal = 0  # the seal of a call whose fate is unknown, until it goes out again
        self.is_broken_off = (
            False  # whether it broke off; else the relay was silent or could not be read
        )
        self._client = HttpClient(runtime, "relay_call", where)
        self._given, self._known = asyncio.Event(), asyncio.Event()
        self._failures = self._errors = 0  # in a row

    def submit(self, orders: Iterable[Order]) -> None:
        self.pending_orders.add(
            [
                (
                    order,
                    json.dumps(self.translator.encode_order(order), separators=(",", ":")).encode(),
                )
                for order in orders
            ]
        )
        self._given.set()

    def change_address(self, where: tuple[str, int]) -> None:
        """The next call goes there; one under way ends where it began, or its fate is unknown."""
        self._client.address = where

    def allow_repeat(self, seal: int) -> None:
        """The call may go out again."""
        if self.unknown_seal == seal:
            self.runtime.counters.add("relay_call.repeated")
            self._end_doubt()

    def on_seal_confirmed(self, seal: int) -> None:
        """A proxy has answered a seal: if its call's fate was unknown, it ran."""
        if self.unknown_seal == seal:
            self.runtime.counters.add("relay_call.shown_to_have_run")
            self.pending_orders.settle(self._front())
            self._failures = self._errors = 0
            self._end_doubt()

    async def run(self) -> None:
        while True:
            await self._given.wait()
            while call := self._front():
                body = b'{"%s":[%s]}' % (
                    protocol.ORDERS.encode(),
                    b",".join(one.body for one in call),
                )
                result = await self._client.call(
                    build_post(protocol.TRANSACTION_PATH, body), ANSWER_WAIT
                )
                await self._settle(call, result)
            self._given.clear()
            self.on_state_changed()

    def close(self) -> None:
        self._client.close()

    def _front(self) -> list[PendingOrder]:
        return self.pending_orders.next_batch(CALL_MOST - len(protocol.ORDERS) - 8)

    async def _settle(self, call: list[PendingOrder], result: CallResult) -> None:
        """Takes in what became of a call; returns when the next may go out."""
        if isinstance(result, Failure):
            self.runtime.rate_limited_log.warning(
                "relay_call_failed",
                reach=result.progress.value,
                cause=result.cause.value,
                detail=result.detail,
            )
            await self._again(result.may_have_run, result.cause is FailureCause.BROKEN)
            return
        answer = decode_object(result.body)
        accepted = answer.get(protocol.ACCEPTED) if isinstance(answer, dict) else None
        if result.status == 200 and type(accepted) is int and 0 <= accepted <= len(call):
            self._failures = self._errors = 0
            self.runtime.counters.add("orders_accepted", accepted)
            self.pending_orders.settle(call[: accepted + 1])
            if accepted < len(call):
                self.runtime.rate_limited_log.warning(
                    "order_refused", order=call[accepted].body.decode()
                )
                self.on_order_refused(call[accepted].order)
        elif isinstance(answer, dict) and answer.get(protocol.ERROR) == protocol.THROTTLED:
            await self.runtime.pause(THROTTLE_WAIT)
        else:
            await self._take_error(call, result, answer)

    async def _take_error(self, call: list[PendingOrder], result: Response, answer: object) -> None:
        """An error that is no waiting, or what can't be read: then it is unknown whether the call ran."""
        self._errors += 1
        self.runtime.rate_limited_log.warning(
            "relay_call_error", status=result.status, body=result.body[:200].decode("latin-1")
        )
        invalid = isinstance(answer, dict) and answer.get(protocol.ERROR) == protocol.INVALID
        if invalid or self._errors >= ERRORS_MOST:
            self.runtime.rate_limited_log.warning("relay_call_given_up", orders=len(call))
            self.pending_orders.settle(call)
            self._errors = 0
            self.on_call_abandoned([one.order for one in call])
        else:
            await self._again(True)

    async def _again(self, may_have_run: bool, broken: bool = False) -> None:
        self._failures += 1
        if self._failures > 1:
            await self.runtime.pause(
                RETRY_LEAST + self.runtime.rng.random() * (RETRY_MOST - RETRY_LEAST)
            )
        if may_have_run and (seal := self.pending_orders.next_seal()):
            self.unknown_seal, self.is_broken_off = seal, broken
            self._known.clear()
            self.on_state_changed()
            await self._known.wait()

    def _end_doubt(self) -> None:
        self.unknown_seal = 0
        self._known.set()
