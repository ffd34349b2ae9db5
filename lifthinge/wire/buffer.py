"""A connection's one buffer: grown as needed to a limit, compacted in place.

>>> buffer = Buffer(limit=16, first=4)
>>> def put(data):
...     view = buffer.writable_view()
...     view[:len(data)] = data
...     buffer.commit_write(len(data))
>>> put(b"abcd"); put(b"efgh"); bytes(buffer.take(3)), len(buffer), buffer.find(b"g")
(b'abc', 5, 3)
>>> put(b"ijkl"); buffer.remove(1, 2); bytes(buffer.peek(0, 7)), buffer.is_full
(b'dghijkl', False)
>>> put(b"123456789"); buffer.is_full, len(buffer)
(True, 16)
"""


class Buffer:
    """Bytes between `start` and `end` of one array are held."""

    __slots__ = ("limit", "_data", "_start", "_end")

    def __init__(self, limit: int, first: int = 4096) -> None:
        self.limit = limit
        self._data = bytearray(min(first, limit))
        self._start = self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    @property
    def is_full(self) -> bool:
        return len(self) >= self.limit

    def writable_view(self) -> memoryview:
        """Free space to write to; more is made if it has run out, up to the limit."""
        if self._start == self._end:
            self._start = self._end = 0
        if self._end > len(self._data) * 3 // 4:
            held = len(self)
            if held * 2 > len(self._data) and len(self._data) < self.limit:
                grown = bytearray(
                    min(len(self._data) * 2, self.limit)
                )  # a new one: views pin the old
                grown[:held] = self._data[self._start : self._end]
                self._data = grown
            else:
                self._data[:held] = self._data[self._start : self._end]
            self._start, self._end = 0, held
        return memoryview(self._data)[self._end :]

    def commit_write(self, count: int) -> None:
        self._end += count

    def find(self, what: bytes, start: int = 0) -> int:
        """Where it begins, counted from the first byte held; -1 if nowhere."""
        at = self._data.find(what, self._start + start, self._end)
        return at - self._start if at >= 0 else -1

    def peek(self, start: int, end: int) -> bytes:
        return bytes(self._data[self._start + start : min(self._start + end, self._end)])

    def take(self, count: int) -> bytes:
        taken = self.peek(0, count)
        self._start += len(taken)
        return taken

    def remove(self, at: int, count: int) -> None:
        """Takes out bytes in the middle; what follows moves down."""
        first, last = self._start + at, self._start + at + count
        self._data[first : first + self._end - last] = self._data[last : self._end]
        self._end -= count
