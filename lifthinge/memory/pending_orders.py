"""Orders that are not yet known to be carried out, in the order given.

>>> from lifthinge.interface import Backend, Seal, SetEntry, SetWithdrawn, Slice
>>> one, a = Slice(4), Backend("a", "a")
>>> pending_orders = PendingOrders()
>>> pending_orders.add([(SetEntry(one, a, 1.0), b"12345"), (SetWithdrawn(a, True), b"123"), (Seal(7), b"12")])
>>> [p.body for p in pending_orders.next_batch(9)], [p.body for p in pending_orders.next_batch(99)], pending_orders.next_seal()
([b'12345', b'123'], [b'12345', b'123', b'12'], 7)
>>> call = pending_orders.next_batch(99)
>>> pending_orders.has_orders_since(one, 0)
True
>>> pending_orders.discard_slice(one); pending_orders.settle(call[:2]); [p.body for p in pending_orders.next_batch(99)], len(pending_orders)
([b'12'], 1)
>>> pending_orders.has_orders_since(one, 0), pending_orders.has_orders_since(one, pending_orders.settled_count)
(True, False)
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lifthinge.interface import ClearTable, Order, Seal, SetEntry, Slice


@dataclass(eq=False, slots=True)
class PendingOrder:
    order: Order
    body: bytes


class PendingOrders:
    """The controller adds to it only while it is empty, so it holds one decision's orders at most."""

    def __init__(self) -> None:
        self._waiting: list[PendingOrder] = []
        self.settled_count = 0  # orders, ever
        self._settled_at: dict[Slice, int] = {}  # which of them was a slice's last

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, orders: Iterable[tuple[Order, bytes]]) -> None:
        self._waiting += [PendingOrder(order, body) for order, body in orders]

    def next_batch(self, most: int) -> list[PendingOrder]:
        """The first orders, of so many bytes with the commas between them; one at least."""
        call: list[PendingOrder] = []
        for one in self._waiting:
            most -= len(one.body) + 1
            if call and most < -1:
                break
            call.append(one)
        return call

    def settle(self, done: list[PendingOrder]) -> None:
        settled = set(done)
        self._waiting = [one for one in self._waiting if one not in settled]
        for one in done:
            self.settled_count += 1
            if isinstance(one.order, (SetEntry, ClearTable)):
                self._settled_at[one.order.slice] = self.settled_count

    def discard_slice(self, gone: Slice) -> None:
        """What was ordered for a slice that has been taken away, or given anew, dies with it."""
        self._waiting = [
            one for one in self._waiting if getattr(one.order, "slice", None) is not gone
        ]

    def next_seal(self) -> int | None:
        return next(
            (one.order.number for one in self._waiting if isinstance(one.order, Seal)), None
        )

    def has_orders_since(self, one: Slice, since: int) -> bool:
        """Whether a slice has orders under way, or had some settled after so many."""
        return self._settled_at.get(one, 0) > since or any(
            getattr(waiting.order, "slice", None) is one for waiting in self._waiting
        )
