"""Numbered slots with generations: what is kept of connections and requests.

>>> slots = SlotPool(2)
>>> a, b = slots.add("a"), slots.add("b")
>>> slots.add("c") is None, len(slots), slots.get(a)
(True, 2, 'a')
>>> slots.release(a), slots.get(a), slots.release(a)
('a', None, None)
>>> c = slots.add("c")
>>> c & 0xFFFF == a & 0xFFFF, c == a, slots.get(a), slots.get(c), slots.get(b)
(True, False, None, 'c', 'b')
"""

from typing import Generic, TypeVar

T = TypeVar("T")
_BITS = 16


class SlotPool(Generic[T]):
    """At most `limit` items; a handle is of one item for good, though its slot is used again."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def add(self, item: T) -> int | None:
        """The handle of the item, or None if all slots are taken."""
        if self._free:
            slot = self._free.pop()
        elif len(self._items) < self.limit:
            slot = len(self._items)
            self._items.append(None)
            self._generations.append(0)
        else:
            return None
        self._items[slot] = item
        return self._generations[slot] << _BITS | slot

    def get(self, handle: int) -> T | None:
        slot = handle & (1 << _BITS) - 1
        fits = slot < len(self._items) and self._generations[slot] == handle >> _BITS
        return self._items[slot] if fits else None

    def release(self, handle: int) -> T | None:
        """Empties the slot, once; gives what it held."""
        item = self.get(handle)
        if item is not None:
            slot = handle & (1 << _BITS) - 1
            self._items[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return item

    def __len__(self) -> int:
        return len(self._items) - len(self._free)
