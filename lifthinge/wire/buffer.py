"""Receive buffer of a connection: grows as needed up to a maximum, and is compacted in place.

>>> buffer = Buffer(max_bytes=16, initial_bytes=4)
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
    """Holds the bytes from `_start` to `_end` of one array.

    The array starts with `initial_bytes` and grows to `max_bytes`, which may be raised later.
    """

    __slots__ = ("max_bytes", "_data", "_start", "_end")

    def __init__(self, max_bytes: int, initial_bytes: int = 4096) -> None:
        self.max_bytes = max_bytes
        self._data = bytearray(min(initial_bytes, max_bytes))
        self._start = 0
        self._end = 0

    def __len__(self) -> int:
        return self._end - self._start

    @property
    def is_full(self) -> bool:
        """Whether the buffer holds as many bytes as it may."""
        return len(self) >= self.max_bytes

    def writable_view(self) -> memoryview:
        """Return the free space at the end of the array, to be written to.

        If less than a quarter of the array is left there, the held bytes are moved to its front,
        or to an array of twice the size if they fill more than half of it.
        """
        if self._start == self._end:
            self._start = 0
            self._end = 0
        if self._end > len(self._data) * 3 // 4:
            held_bytes = len(self)
            if held_bytes * 2 > len(self._data) and len(self._data) < self.max_bytes:
                # A bytearray can't be resized while a memoryview of it exists: make a new one.
                grown = bytearray(min(len(self._data) * 2, self.max_bytes))
                grown[:held_bytes] = self._data[self._start : self._end]
                self._data = grown
            else:
                self._data[:held_bytes] = self._data[self._start : self._end]
            self._start = 0
            self._end = held_bytes
        return memoryview(self._data)[self._end :]

    def commit_write(self, count: int) -> None:
        """Count `count` bytes written to the writable view as held."""
        self._end += count

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Return where the pattern begins, or -1; positions count from the first held byte."""
        found_at = self._data.find(pattern, self._start + start, self._end)
        return found_at - self._start if found_at >= 0 else -1

    def peek(self, start: int, end: int) -> bytes:
        """Return a copy of the held bytes from `start` to `end`, as far as there are any."""
        return bytes(self._data[self._start + start : min(self._start + end, self._end)])

    def take(self, count: int) -> bytes:
        """Remove and return the first `count` bytes, or fewer if fewer are held."""
        taken = self.peek(0, count)
        self._start += len(taken)
        return taken

    def remove(self, start: int, count: int) -> None:
        """Delete `count` bytes that begin at `start`; the bytes behind them move down."""
        remove_from = self._start + start
        remove_to = self._start + start + count
        self._data[remove_from : remove_from + self._end - remove_to] = self._data[
            remove_to : self._end
        ]
        self._end -= count
