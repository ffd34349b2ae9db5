"""Sends orders to the relay: one call at a time, in order, until each order's fate is known.

A call that was not sent in full, or was throttled, is sent again. A call that was sent in full and
not answered has run as a whole or not at all: it is sent again once the decisions allow the repeat,
unless a proxy confirms the call's seal, which shows that it ran. The decisions may drop either call
and give its orders anew.
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

MAX_CALL_BODY_BYTES = 60_000  # of one call, unless a single order is longer
ANSWER_TIMEOUT_MS = 200.0  # an answer comes within 50 ms or never
THROTTLE_DELAY_MS = 50.0  # before a throttled call is sent again
MIN_RETRY_DELAY_MS = 50.0  # from the second failure in a row on; drawn at random up to the maximum
MAX_RETRY_DELAY_MS = 250.0
MAX_CONSECUTIVE_ERRORS = 5  # error answers in a row after which a call is given up


class RelayClient:
    """Sends the pending orders to the relay and settles them by its answers.

    `on_state_changed` is called when all submitted orders are settled, or when the fate of a call
    becomes unknown. `on_order_refused` takes an order that the relay can't use,
    `on_call_abandoned` the orders of a whole call that is given up.
    """

    def __init__(
        self,
        runtime: Runtime,
        translator: MessageTranslator,
        pending_orders: PendingOrders,
        address: tuple[str, int],
        on_state_changed: Callable[[], None],
        on_order_refused: Callable[[Order], None],
        on_call_abandoned: Callable[[list[Order]], None],
    ) -> None:
        self.runtime = runtime
        self.translator = translator
        self.pending_orders = pending_orders
        self.on_state_changed = on_state_changed
        self.on_order_refused = on_order_refused
        self.on_call_abandoned = on_call_abandoned
        # Seal of the call whose fate is unknown, until the fate is known or it may be repeated;
        # 0: there is none.
        self.unknown_seal = 0
        # Whether that call's connection broke; else its answer was late, an error or unreadable.
        self.is_broken_off = False
        # Seal of a call that has not run, while it waits to be sent again; 0: there is none.
        self.unsent_seal = 0
        self._client = HttpClient(runtime, "relay_call", address)
        self._orders_submitted = asyncio.Event()
        self._unknown_call_resolved = asyncio.Event()
        self._consecutive_failures = 0  # calls in a row that were not answered or were errors
        self._consecutive_errors = 0  # error answers in a row

    def submit(self, orders: Iterable[Order]) -> None:
        """Add orders to the pending ones and wake the sender."""
        self.pending_orders.add(
            [
                (
                    order,
                    json.dumps(self.translator.encode_order(order), separators=(",", ":")).encode(),
                )
                for order in orders
            ]
        )
        self._orders_submitted.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Set host and port for the next call.

        A call under way ends at the former address, or its fate becomes unknown.
        """
        self._client.address = address

    def allow_repeat(self, seal: int) -> None:
        """Let the call of unknown fate with this seal be sent again."""
        if self.unknown_seal == seal:
            self.runtime.counters.add("relay_call.repeated")
            self.runtime.rate_limited_log.warning("relay_call_repeated", seal=seal)
            self._resolve_unknown_call()

    def drop_call(self, seal: int) -> None:
        """Drop the call with this seal, which is of unknown fate or waits to be sent again."""
        if seal not in (self.unknown_seal, self.unsent_seal):
            return
        self.runtime.counters.add("relay_call.dropped")
        self.runtime.rate_limited_log.warning(
            "relay_call_dropped", seal=seal, has_run="unknown" if self.unknown_seal else "no"
        )
        self.pending_orders.drop_call(seal)
        self.unsent_seal = 0
        self._resolve_unknown_call()

    def on_seal_confirmed(self, seal: int) -> None:
        """Settle the call of unknown fate if a proxy confirmed its seal: it has run."""
        self.pending_orders.settle_dropped_call(seal)
        if self.unknown_seal == seal:
            self.runtime.counters.add("relay_call.shown_to_have_run")
            self.pending_orders.settle(self._next_call())
            self._consecutive_failures = 0
            self._consecutive_errors = 0
            self._resolve_unknown_call()

    async def run(self) -> None:
        """Send submitted orders, call after call, until cancelled."""
        while True:
            await self._orders_submitted.wait()
            while call := self._next_call():
                body = b'{"%s":[%s]}' % (
                    protocol.ORDERS.encode(),
                    b",".join(pending.body for pending in call),
                )
                result = await self._client.call(
                    build_post(protocol.TRANSACTION_PATH, body), ANSWER_TIMEOUT_MS
                )
                await self._handle_result(call, result)
            self._orders_submitted.clear()
            self.on_state_changed()

    def close(self) -> None:
        """Close the connection to the relay."""
        self._client.close()

    def _next_call(self) -> list[PendingOrder]:
        """Return the first pending orders that fit into one call body; empty if none is pending."""
        return self.pending_orders.next_batch(MAX_CALL_BODY_BYTES - len(protocol.ORDERS) - 8)

    async def _handle_result(self, call: list[PendingOrder], result: CallResult) -> None:
        """Handle the result of a call; return when the next call may be sent.

        The relay answers with the number of orders that it accepted: it stops at the first order
        that it can't use, which is settled as refused.
        """
        if isinstance(result, Failure):
            self.runtime.rate_limited_log.warning(
                "relay_call_failed",
                reach=result.progress.value,
                cause=result.cause.value,
                detail=result.detail,
            )
            await self._handle_failed_call(result.may_have_run, result.cause is FailureCause.BROKEN)
            return
        answer = decode_object(result.body)
        accepted = answer.get(protocol.ACCEPTED) if isinstance(answer, dict) else None
        if result.status == 200 and type(accepted) is int and 0 <= accepted <= len(call):
            self._consecutive_failures = 0
            self._consecutive_errors = 0
            self.runtime.counters.add("orders_accepted", accepted)
            self.pending_orders.settle(call[: accepted + 1])
            if accepted < len(call):
                self.runtime.rate_limited_log.warning(
                    "order_refused", order=call[accepted].body.decode()
                )
                self.on_order_refused(call[accepted].order)
        elif isinstance(answer, dict) and answer.get(protocol.ERROR) == protocol.THROTTLED:
            await self._offer_unsent_call(THROTTLE_DELAY_MS)
        else:
            await self._handle_error_answer(call, result, answer)

    async def _handle_error_answer(
        self, call: list[PendingOrder], result: Response, answer: object
    ) -> None:
        """Handle an error answer other than throttling, or an answer that can't be read.

        A call that the relay calls invalid, or that drew too many errors, is given up. Otherwise
        it is unknown whether the call ran.
        """
        self._consecutive_errors += 1
        self.runtime.rate_limited_log.warning(
            "relay_call_error", status=result.status, body=result.body[:200].decode("latin-1")
        )
        is_invalid = isinstance(answer, dict) and answer.get(protocol.ERROR) == protocol.INVALID
        if is_invalid or self._consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            self.runtime.rate_limited_log.warning("relay_call_given_up", orders=len(call))
            self.pending_orders.settle(call)
            self._consecutive_errors = 0
            self.on_call_abandoned([pending.order for pending in call])
        else:
            await self._handle_failed_call(True)

    async def _handle_failed_call(self, may_have_run: bool, is_broken_off: bool = False) -> None:
        """Wait until the next call may be sent.

        A call that may have run and holds a seal waits for `allow_repeat`, `drop_call` or
        `on_seal_confirmed`. Every failure in a row but the first is followed by a random delay.
        """
        self._consecutive_failures += 1
        delay_ms = 0.0
        if self._consecutive_failures > 1:
            delay_ms = MIN_RETRY_DELAY_MS + self.runtime.rng.random() * (
                MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS
            )
        if not may_have_run:
            await self._offer_unsent_call(delay_ms)
            return
        retry_at_ms = self.runtime.now + delay_ms
        if seal := self.pending_orders.next_seal():
            self.unknown_seal = seal
            self.is_broken_off = is_broken_off
            self._unknown_call_resolved.clear()
            self.on_state_changed()
            await self._unknown_call_resolved.wait()
        if self.runtime.now < retry_at_ms:
            await self.runtime.pause(retry_at_ms - self.runtime.now)

    async def _offer_unsent_call(self, delay_ms: float) -> None:
        """Wait until a call that has not run may be sent again; the decisions may drop it."""
        self.unsent_seal = self.pending_orders.next_seal() or 0
        self.on_state_changed()
        await asyncio.sleep(0)  # the turn that was just asked for comes first
        if delay_ms:
            await self.runtime.pause(delay_ms)
        self.unsent_seal = 0

    def _resolve_unknown_call(self) -> None:
        """Note that no call's fate is unknown, and let `run` go on."""
        self.unknown_seal = 0
        self._unknown_call_resolved.set()
