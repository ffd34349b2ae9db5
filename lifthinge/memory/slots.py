"""A bounded pool of numbered slots with generations, for open connections and pending requests.

>>> slots = SlotPool(2)
>>> first, second = slots.add("a"), slots.add("b")
>>> slots.add("c") is None, len(slots), slots.get(first)
(True, 2, 'a')
>>> slots.release(first), slots.get(first), slots.release(first)
('a', None, None)
>>> third = slots.add("c")
>>> third & 0xFFFF == first & 0xFFFF, third == first
(True, False)
>>> slots.get(first), slots.get(third), slots.get(second)
(None, 'c', 'b')
"""

from typing import Generic, TypeVar

T = TypeVar("T")
_SLOT_BITS = 16  # low bits of a handle that hold the slot; the generation is above them


class SlotPool(Generic[T]):
    """Holds at most `limit` items.

    A handle belongs to one item for ever: a reused slot has a new generation, so a handle of its
    former item finds nothing.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free_slots: list[int] = []

    def add(self, item: T) -> int | None:
        """Store an item and return its handle; None if all slots are taken."""
        if self._free_slots:
            slot = self._free_slots.pop()
        elif len(self._items) < self.limit:
            slot = len(self._items)
            self._items.append(None)
            self._generations.append(0)
        else:
            return None
        self._items[slot] = item
        return self._generations[slot] << _SLOT_BITS | slot

    def get(self, handle: int) -> T | None:
        """Return the item of a handle; None if it was released."""
        slot = handle & (1 << _SLOT_BITS) - 1
        is_current = slot < len(self._items) and self._generations[slot] == handle >> _SLOT_BITS
        return self._items[slot] if is_current else None

    def release(self, handle: int) -> T | None:
        """Free the item's slot and return the item; None if it was released before."""
        item = self.get(handle)
        if item is not None:
            slot = handle & (1 << _SLOT_BITS) - 1
            self._items[slot] = None
            self._generations[slot] += 1
            self._free_slots.append(slot)
        return item

    def __len__(self) -> int:
        return len(self._items) - len(self._free_slots)
