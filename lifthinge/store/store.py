"""A durable log of records in segments, and the snapshot before it.

What `sync` returned from is there after any crash. A snapshot is a file of its own: written under another name,
synced, renamed, and the folder synced; it names the segment that follows it, whose first records are those that the
snapshot does not hold. Only then is what it stands for removed. A torn tail is cut when the store is opened; damage
before it is refused, with file and offset. The store is used by one thread at a time and by one process.

>>> import tempfile
>>> from pathlib import Path
>>> files = Files(Path(tempfile.mkdtemp()) / "s")
>>> store = Store.open(files); store.append(1, b"a"); store.append(2, b"b"); store.sync(); store.close()
>>> store = Store.open(files); store.recovered_records, store.snapshot
([(1, b'a'), (2, b'b')], None)
>>> store.save_snapshot(b"both", [(2, b"b")]); store.append(2, b"c"); store.sync(); store.close()
>>> store = Store.open(files); store.snapshot, store.recovered_records
(b'both', [(2, b'b'), (2, b'c')])
>>> isinstance(Store.open(files), StoreProblem), files.names()
(True, ['lock', 'log-00000002', 'snapshot-00000002'])
>>> store.close()
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Union

import crc32c

from lifthinge.store import records
from lifthinge.store.files import Files
from lifthinge.store.records import CorruptRecord

SEGMENT_ROLLOVER_BYTES = 32 << 20  # bytes, then another segment begins
MAX_BUFFER_BYTES = 1 << 20  # bytes gathered before they are handed to the system
_SEGMENT = struct.Struct("<8sIQQI")  # magic, format, number, length of the one before, checksum
_SNAPSHOT = struct.Struct("<8sIQQI")  # magic, format, first segment after it, length, checksum
_MAGIC, _SNAPSHOT_MAGIC, _FORMAT = b"lifthlog", b"lifthsnp", 1
NO_PREVIOUS_LENGTH = (1 << 64) - 1  # the first segment after a snapshot names none before it


@dataclass(frozen=True, slots=True)
class StoreProblem:
    """Why a folder can't be used: nothing is made up in place of what is lost."""

    file: str
    offset: int
    why: str

    def __str__(self) -> str:
        return f"{self.file} at {self.offset}: {self.why}"


@dataclass(slots=True)
class StoreContents:
    """What a folder holds, read without changing it."""

    snapshot: bytes | None
    first_segment: int  # segment after the snapshot
    last_segment: int
    records: list[tuple[int, bytes]]
    end: int  # of the last segment's sound records
    torn_bytes: int  # bytes after that
    stale_files: list[str]  # files that a crash left behind


def _name(kind: str, number: int) -> str:
    return f"{kind}-{number:08d}"


def _numbers(names: list[str], kind: str) -> list[int]:
    return [
        int(name[len(kind) + 1 :])
        for name in names
        if name.startswith(kind + "-") and name[len(kind) + 1 :].isdigit()
    ]


def _head(form: struct.Struct, magic: bytes, first: int, second: int, data: bytes = b"") -> bytes:
    check = crc32c.crc32c(data, crc32c.crc32c(form.pack(magic, _FORMAT, first, second, 0)))
    return form.pack(magic, _FORMAT, first, second, check)


def _snapshot(name: str, view: bytes, number: int) -> bytes | StoreProblem:
    if len(view) < _SNAPSHOT.size:
        return StoreProblem(name, len(view), "a snapshot without its head")
    magic, form, first, length, _ = _SNAPSHOT.unpack_from(view)
    data = view[_SNAPSHOT.size :]
    if magic != _SNAPSHOT_MAGIC or form != _FORMAT:
        return StoreProblem(name, 0, "no snapshot of a format known here")
    if (
        first != number
        or length != len(data)
        or view[: _SNAPSHOT.size] != _head(_SNAPSHOT, _SNAPSHOT_MAGIC, first, length, data)
    ):
        return StoreProblem(name, 0, "the checksum of the snapshot does not fit")
    return data


def inspect_folder(files: Files) -> StoreContents | StoreProblem:
    """Reads a folder as it stands; changes nothing."""
    names = files.names()
    snapshots, segments = _numbers(names, "snapshot"), _numbers(names, "log")
    snapshot, first = None, min(segments, default=1)
    if snapshots:
        first = max(snapshots)
        snapshot = _snapshot(_name("snapshot", first), files.read(_name("snapshot", first)), first)
        if isinstance(snapshot, StoreProblem):
            return snapshot
    elif segments and first != 1:
        return StoreProblem(_name("log", first), 0, "the snapshot before this segment is missing")
    unnamed = (
        _name("log", first) + ".new"
    )  # complete before the snapshot got its name, its own name lost
    if snapshot is not None and first not in segments:
        if unnamed not in names:
            return StoreProblem(_name("log", first), 0, "the segment after the snapshot is missing")
        segments = [*segments, first]
    stale = [_name("snapshot", one) for one in snapshots if one < first]
    stale += [_name("log", one) for one in segments if one < first]
    stale += [
        one
        for one in names
        if one.endswith(".new") and (one != unnamed or first in _numbers(names, "log"))
    ]
    segments = sorted(one for one in segments if one >= first)
    found, end, torn, last = [], 0, 0, first - 1
    for place, number in enumerate(segments):
        name, final = _name("log", number), place == len(segments) - 1
        if number != last + 1:
            return StoreProblem(_name("log", last + 1), 0, "this segment is missing")
        view = files.read(name if name in names else unnamed)
        before = NO_PREVIOUS_LENGTH if number == first else end
        if (
            final
            and number != first
            and view[: _SEGMENT.size] == _head(_SEGMENT, _MAGIC, number, NO_PREVIOUS_LENGTH)
        ):
            stale.append(name)  # begun for a snapshot that never got its name
            break
        if view[: _SEGMENT.size] != _head(_SEGMENT, _MAGIC, number, before):
            if not final or len(view) > _SEGMENT.size or number == first and snapshot is not None:
                return StoreProblem(
                    name, 0, "the segment's head can't be read, or names another length before it"
                )
            stale.append(name)  # a crash while it was begun: nothing in it was ever durable
            break
        stop = records.find_end(view, _SEGMENT.size)
        if isinstance(stop, CorruptRecord):
            return StoreProblem(name, stop.at, "a record that was durable can't be read")
        if not final and stop != len(view):
            return StoreProblem(name, stop, "a record before the last segment can't be read")
        found += [(one.kind, one.data) for one in records.scan(view, _SEGMENT.size)]
        end, torn, last = stop, len(view) - stop, number
    return StoreContents(snapshot, first, last, found, end, torn, stale)


class Store:
    """An open folder; `found` and `snapshot` are what it held."""

    def __init__(self, files: Files, state: StoreContents) -> None:
        self.files, self.snapshot, self.recovered_records = files, state.snapshot, state.records
        self._number, self._end, self._durable = state.last_segment, state.end, state.end
        self._buffer: list[bytes] = []
        self._gathered = 0
        self._file = (
            files.open(_name("log", state.last_segment))
            if state.last_segment >= state.first_segment
            else -1
        )
        self.sync_count = 0

    @classmethod
    def open(cls, files: Files) -> Union["Store", StoreProblem]:
        """Takes a folder, cuts a torn tail, and clears away what a crash left; errors of the system are raised."""
        if not files.lock():
            return StoreProblem("lock", 0, "another process uses this folder")
        state = inspect_folder(files)
        if isinstance(state, StoreProblem):
            files.unlock()
            return state
        for name in state.stale_files:
            files.remove(name)
        if (
            state.last_segment >= state.first_segment
            and _name("log", state.first_segment) not in files.names()
        ):
            files.rename(
                _name("log", state.first_segment) + ".new", _name("log", state.first_segment)
            )
        if state.torn_bytes:
            files.truncate(_name("log", state.last_segment), state.end)
        store = cls(files, state)
        if store._file < 0:
            store._begin(1, NO_PREVIOUS_LENGTH)
        files.sync_folder()
        return store

    @property
    def size(self) -> int:
        """Bytes of the segment that is written now."""
        return self._end + self._gathered

    def append(self, kind: int, data: bytes) -> None:
        """Adds a record; it is durable after `sync`."""
        packed = records.pack(kind, data, self._durable)
        self._buffer.append(packed)
        self._gathered += len(packed)
        if self._gathered > MAX_BUFFER_BYTES:
            self._flush()

    def sync(self) -> None:
        """Makes all records durable; an error of the system leaves the store unusable."""
        self._flush()
        self.files.sync(self._file)
        self.sync_count += 1
        self._durable = self._end
        if self._end > SEGMENT_ROLLOVER_BYTES:
            self.files.close(self._file)
            self._begin(self._number + 1, self._end)

    def save_snapshot(self, data: bytes, kept: Iterable[tuple[int, bytes]]) -> None:
        """Lets a snapshot stand for all records so far, but for those `kept`; durable when it returns."""
        self._flush()
        self.files.sync(self._file)
        self.files.close(self._file)
        self._file = -1
        number, former = self._number + 1, self._number
        self._begin(number, NO_PREVIOUS_LENGTH, temporary=True)
        for kind, one in kept:
            self.append(kind, one)
        self._flush()
        self.files.sync(self._file)
        self._durable = self._end
        name = _name("snapshot", number)
        file = self.files.open(name + ".new")
        try:
            self.files.write(
                file, _head(_SNAPSHOT, _SNAPSHOT_MAGIC, number, len(data), data) + data
            )
            self.files.sync(file)
        finally:
            self.files.close(file)
        # The segment gets its name first: until the snapshot has its own, both are left out as unfinished.
        self.files.rename(_name("log", number) + ".new", _name("log", number))
        self.files.rename(name + ".new", name)
        self.files.sync_folder()
        for kind in ("log", "snapshot"):
            for one in _numbers(self.files.names(), kind):
                if one <= former:
                    self.files.remove(_name(kind, one))

    def close(self) -> None:
        if self._file >= 0:
            self.files.close(self._file)
            self._file = -1
        self.files.unlock()

    def _begin(self, number: int, before: int, temporary: bool = False) -> None:
        name = _name("log", number) + (".new" if temporary else "")
        self._file = self.files.open(name)
        self.files.write(self._file, _head(_SEGMENT, _MAGIC, number, before))
        self._number, self._end, self._durable = number, _SEGMENT.size, 0
        if not temporary:
            self.files.sync(self._file)
            self.files.sync_folder()

    def _flush(self) -> None:
        data, self._buffer, self._gathered = b"".join(self._buffer), [], 0
        if data:
            self.files.write(self._file, data)
            self._end += len(data)
