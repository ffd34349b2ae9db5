"""Orders to the relay whose outcome is not known yet, in the order in which they were given.

>>> from lifthinge.interface import Backend, Seal, SetEntry, SetWithdrawn, Slice
>>> slice_, backend = Slice(4), Backend("a", "a")
>>> pending_orders = PendingOrders()
>>> pending_orders.add([
...     (SetEntry(slice_, backend, 1.0), b"12345"),
...     (SetWithdrawn(backend, True), b"123"),
...     (Seal(7), b"12"),
... ])
>>> [order.body for order in pending_orders.next_batch(9)]
[b'12345', b'123']
>>> [order.body for order in pending_orders.next_batch(99)]
[b'12345', b'123', b'12']
>>> pending_orders.next_seal()
7
>>> batch = pending_orders.next_batch(99)
>>> pending_orders.has_orders_since(slice_, 0)
True
>>> pending_orders.discard_slice(slice_)
>>> pending_orders.settle(batch[:2])
>>> [order.body for order in pending_orders.next_batch(99)], len(pending_orders)
([b'12'], 1)
>>> pending_orders.has_orders_since(slice_, 0)
True
>>> pending_orders.has_orders_since(slice_, pending_orders.settled_count)
False

A call that is dropped may have run: its slices count as having orders until later orders for them
are settled, or the call turns out to have run.

>>> pending_orders.add([(SetEntry(slice_, backend, 2.0), b"12"), (Seal(8), b"12")])
>>> pending_orders.drop_call(8)
>>> len(pending_orders), pending_orders.has_orders_since(slice_, pending_orders.settled_count)
(0, True)
>>> pending_orders.settle_dropped_call(8)
>>> pending_orders.has_orders_since(slice_, pending_orders.settled_count)
False
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lifthinge.interface import ClearTable, Order, Seal, SetEntry, Slice


@dataclass(eq=False, slots=True)
class PendingOrder:
    """An order and its encoding."""

    order: Order
    body: bytes  # JSON, as sent to the relay


class PendingOrders:
    """A queue of orders.

    The controller adds to it only while it is empty, so it never holds the orders of more than one
    decision.
    """

    def __init__(self) -> None:
        self._pending: list[PendingOrder] = []
        self.settled_count = 0  # orders ever settled
        # Slice -> the settled count just after its last order was settled.
        self._last_settled: dict[Slice, int] = {}
        # Slice -> seal of the dropped call that had the last order for it.
        self._dropped_seals: dict[Slice, int] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, orders: Iterable[tuple[Order, bytes]]) -> None:
        """Append orders with their encodings."""
        self._pending += [PendingOrder(order, body) for order, body in orders]

    def next_batch(self, budget_bytes: int) -> list[PendingOrder]:
        """Return the first orders whose bodies, joined by commas, fit the budget; at least one."""
        batch: list[PendingOrder] = []
        for pending in self._pending:
            budget_bytes -= len(pending.body) + 1  # the last order has no comma: hence -1 below
            if batch and budget_bytes < -1:
                break
            batch.append(pending)
        return batch

    def settle(self, batch: list[PendingOrder]) -> None:
        """Remove orders whose outcome is known, and count them."""
        settled = set(batch)
        self._pending = [pending for pending in self._pending if pending not in settled]
        for pending in batch:
            self.settled_count += 1
            if isinstance(pending.order, (SetEntry, ClearTable)):
                self._last_settled[pending.order.slice] = self.settled_count
                self._dropped_seals.pop(pending.order.slice, None)

    def drop_call(self, seal: int) -> None:
        """Remove the orders of the call with this seal, and any before it."""
        seals = [getattr(pending.order, "number", 0) for pending in self._pending]
        if seal not in seals:
            return
        dropped = self._pending[: seals.index(seal) + 1]
        self.settle(dropped)
        for pending in dropped:
            if isinstance(pending.order, (SetEntry, ClearTable)):
                self._dropped_seals[pending.order.slice] = seal

    def settle_dropped_call(self, seal: int) -> None:
        """Note that the dropped call with this seal has run."""
        self._dropped_seals = {
            slice_: other for slice_, other in self._dropped_seals.items() if other != seal
        }

    def discard_slice(self, slice_: Slice) -> None:
        """Remove the orders for a slice that was taken away or granted again: they are void."""
        self._dropped_seals.pop(slice_, None)
        self._pending = [
            pending
            for pending in self._pending
            if getattr(pending.order, "slice", None) is not slice_
        ]

    def next_seal(self) -> int | None:
        """Return the number of the first pending seal; None if there is none."""
        return next(
            (pending.order.number for pending in self._pending if isinstance(pending.order, Seal)),
            None,
        )

    def has_orders_since(self, slice_: Slice, settled_count: int) -> bool:
        """Return whether a slice has pending orders, or had one settled after the given count.

        An order of a dropped call counts as pending.
        """
        return (
            self._last_settled.get(slice_, 0) > settled_count
            or slice_ in self._dropped_seals
            or any(getattr(pending.order, "slice", None) is slice_ for pending in self._pending)
        )
