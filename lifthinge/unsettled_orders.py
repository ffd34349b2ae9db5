"""Orders of failed calls, which may be in force or not until they are sent again.

A call that brought no answer has run as a whole or not at all. Its orders set state, so to send
them twice does no harm. They are unsettled until a later message sets the same table entry,
withdrawal or level, or a proxy confirms the seal of their call, which shows that it ran.

>>> from lifthinge.interface import Backend, SetEntry, SetWithdrawn, Slice
>>> slice_, a, b = Slice(4), Backend("a", "a"), Backend("b", "b")
>>> unsettled = UnsettledOrders()
>>> unsettled.add([SetEntry(slice_, a, 1.0), SetEntry(slice_, b, 0.1), SetWithdrawn(a, True)], 7)
>>> [backend.name for backend in unsettled.entries(slice_)], unsettled.has_withdrawal(a)
(['a', 'b'], True)
>>> unsettled.discard([SetEntry(slice_, a, 2.0)])
>>> [backend.name for backend in unsettled.entries(slice_)]
['b']
>>> unsettled.discard_call(7)
>>> list(unsettled.entries(slice_)), unsettled.has_withdrawal(a)
([], False)
"""

from collections.abc import Collection, Iterable
from typing import TypeVar

from lifthinge.interface import (
    Backend,
    ClearTable,
    Order,
    SetAdmissionLevel,
    SetEntry,
    SetWithdrawn,
    Slice,
)

_Subject = TypeVar("_Subject")


def _without_seal(seals: dict[_Subject, int], seal: int) -> dict[_Subject, int]:
    """Return what was set by calls with another seal."""
    return {subject: other for subject, other in seals.items() if other != seal}


class UnsettledOrders:
    """What failed calls have set: entries, cleared tables, withdrawals, levels; with their seals.

    Orders of other types are ignored. The order of the slots is part of the capture format.
    """

    __slots__ = ("_entries", "_withdrawals", "_levels", "_cleared")

    def __init__(self) -> None:
        self._entries: dict[Slice, dict[Backend, int]] = {}
        self._withdrawals: dict[Backend, int] = {}
        self._levels: dict[Slice, int] = {}
        self._cleared: dict[Slice, int] = {}

    def add(self, orders: Iterable[Order], seal: int) -> None:
        """Add the orders of the failed call with this seal."""
        for order in orders:
            if isinstance(order, SetEntry):
                self._entries.setdefault(order.slice, {})[order.backend] = seal
            elif isinstance(order, SetWithdrawn):
                self._withdrawals[order.backend] = seal
            elif isinstance(order, SetAdmissionLevel) and order.slice is not None:
                self._levels[order.slice] = seal
            elif isinstance(order, ClearTable):
                self._cleared[order.slice] = seal

    def add_levels(self, slice_: Slice) -> None:
        """Add the levels of a slice, which have to be set anew."""
        self._levels[slice_] = 0

    def discard(self, orders: Iterable[Order]) -> None:
        """Drop what these orders, which are being sent, set anew."""
        for order in orders:
            if isinstance(order, SetEntry):
                backends = self._entries.get(order.slice, {})
                backends.pop(order.backend, None)
                if not backends:
                    self._entries.pop(order.slice, None)
            elif isinstance(order, SetWithdrawn):
                self._withdrawals.pop(order.backend, None)
            elif isinstance(order, SetAdmissionLevel) and order.slice is not None:
                self._levels.pop(order.slice, None)
            elif isinstance(order, ClearTable):
                self._cleared.pop(order.slice, None)

    def discard_call(self, seal: int) -> None:
        """Drop what the call with this seal has set: it ran."""
        for slice_, backends in list(self._entries.items()):
            kept = {backend: other for backend, other in backends.items() if other != seal}
            if kept:
                self._entries[slice_] = kept
            else:
                del self._entries[slice_]
        self._withdrawals = _without_seal(self._withdrawals, seal)
        self._levels = _without_seal(self._levels, seal)
        self._cleared = _without_seal(self._cleared, seal)

    def discard_slice(self, slice_: Slice) -> None:
        """Drop all that is unsettled of a slice that was granted anew or taken away."""
        self._entries.pop(slice_, None)
        self._levels.pop(slice_, None)
        self._cleared.pop(slice_, None)

    def discard_entries(self, slice_: Slice) -> None:
        """Drop the entries of a slice, whose table is set or cleared as a whole."""
        self._entries.pop(slice_, None)
        self._cleared.pop(slice_, None)

    def discard_backend(self, backend: Backend) -> None:
        """Drop the withdrawal or readmission of a backend."""
        self._withdrawals.pop(backend, None)

    def entries(self, slice_: Slice) -> Collection[Backend]:
        """Return the backends whose entry in a slice's table is unsettled."""
        return self._entries.get(slice_, {}).keys()

    def has_levels(self, slice_: Slice) -> bool:
        """Return whether levels of a slice are unsettled."""
        return slice_ in self._levels

    def is_cleared(self, slice_: Slice) -> bool:
        """Return whether it is unsettled that the table of a slice was cleared."""
        return slice_ in self._cleared

    def has_orders_of(self, slice_: Slice) -> bool:
        """Return whether anything is unsettled of a slice."""
        return any(slice_ in subjects for subjects in (self._entries, self._levels, self._cleared))

    def has_withdrawal(self, backend: Backend) -> bool:
        """Return whether a withdrawal or readmission of a backend is unsettled."""
        return backend in self._withdrawals

    def is_empty(self) -> bool:
        """Return whether nothing is unsettled."""
        return not (self._entries or self._withdrawals or self._levels or self._cleared)
