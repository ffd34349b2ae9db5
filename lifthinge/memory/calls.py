"""Orders that are not yet known to be carried out, in the order given.

>>> from lifthinge.interface import Backend, Seal, SetEntry, SetWithdrawn, Slice
>>> one, a = Slice(4), Backend("a", "a")
>>> calls = Calls()
>>> calls.add([(SetEntry(one, a, 1.0), b"12345"), (SetWithdrawn(a, True), b"123"), (Seal(7), b"12")])
>>> [p.body for p in calls.front(9)], [p.body for p in calls.front(99)], calls.seal()
([b'12345', b'123'], [b'12345', b'123', b'12'], 7)
>>> call = calls.front(99)
>>> calls.touched(one, 0)
True
>>> calls.slice_gone(one); calls.settle(call[:2]); [p.body for p in calls.front(99)], len(calls)
([b'12'], 1)
>>> calls.touched(one, 0), calls.touched(one, calls.settled)
(True, False)
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lifthinge.interface import ClearTable, Order, Seal, SetEntry, Slice


@dataclass(eq=False, slots=True)
class Pending:
    order: Order
    body: bytes


class Calls:
    """The controller adds to it only while it is empty, so it holds one decision's orders at most."""

    def __init__(self) -> None:
        self._waiting: list[Pending] = []
        self.settled = 0  # orders, ever
        self._settled_at: dict[Slice, int] = {}  # which of them was a slice's last

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, orders: Iterable[tuple[Order, bytes]]) -> None:
        self._waiting += [Pending(order, body) for order, body in orders]

    def front(self, most: int) -> list[Pending]:
        """The first orders, of so many bytes with the commas between them; one at least."""
        call: list[Pending] = []
        for one in self._waiting:
            most -= len(one.body) + 1
            if call and most < -1:
                break
            call.append(one)
        return call

    def settle(self, done: list[Pending]) -> None:
        settled = set(done)
        self._waiting = [one for one in self._waiting if one not in settled]
        for one in done:
            self.settled += 1
            if isinstance(one.order, (SetEntry, ClearTable)):
                self._settled_at[one.order.slice] = self.settled

    def slice_gone(self, gone: Slice) -> None:
        """What was ordered for a slice that has been taken away, or given anew, dies with it."""
        self._waiting = [
            one for one in self._waiting if getattr(one.order, "slice", None) is not gone
        ]

    def seal(self) -> int | None:
        return next(
            (one.order.number for one in self._waiting if isinstance(one.order, Seal)), None
        )

    def touched(self, one: Slice, since: int) -> bool:
        """Whether a slice has orders under way, or had some settled after so many."""
        return self._settled_at.get(one, 0) > since or any(
            getattr(waiting.order, "slice", None) is one for waiting in self._waiting
        )
