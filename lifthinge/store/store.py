"""A durable log of records in segments, and the snapshot that precedes it.

All records appended before `sync` returned survive any crash. A snapshot is a file of its own:
written under a temporary name, synced, renamed, and the folder synced. It names the segment that
follows it, whose first records are those that the snapshot does not contain. Only then are the
segments that it replaces removed. Opening the store cuts off a torn tail; corruption before the
tail is refused and reported with file and offset. A store is used by one thread at a time and by
one process.

>>> import tempfile
>>> from pathlib import Path
>>> files = Files(Path(tempfile.mkdtemp()) / "s")
>>> store = Store.open(files)
>>> store.append(1, b"a"); store.append(2, b"b"); store.sync(); store.close()
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

# Another segment begins with the sync that finds the present one larger than this.
SEGMENT_ROLLOVER_BYTES = 32 << 20
# Appended records are written to the file once more bytes than this are buffered.
MAX_BUFFER_BYTES = 1 << 20
# Magic, format version, segment number, length of the previous segment in bytes, checksum.
_SEGMENT_HEADER = struct.Struct("<8sIQQI")
# Magic, format version, number of the segment that follows, data length in bytes, checksum.
_SNAPSHOT_HEADER = struct.Struct("<8sIQQI")
_SEGMENT_MAGIC = b"lifthlog"
_SNAPSHOT_MAGIC = b"lifthsnp"
_FORMAT_VERSION = 1
# Stands for the previous segment's length in the first segment, and in the first after a snapshot.
NO_PREVIOUS_LENGTH = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class StoreProblem:
    """Why a folder can't be used: lost data is reported, never replaced by a guess."""

    file: str
    # Bytes from the start of the file.
    offset: int
    why: str

    def __str__(self) -> str:
        return f"{self.file} at {self.offset}: {self.why}"


@dataclass(slots=True)
class StoreContents:
    """What a folder contains, read without changing it."""

    snapshot: bytes | None
    # Number of the first segment that is in use: the one after the snapshot.
    first_segment: int
    # Number of the last segment in use; less than `first_segment` if there is none.
    last_segment: int
    # Kind and data of each record after the snapshot.
    records: list[tuple[int, bytes]]
    # Offset in bytes at which the last segment's readable records end.
    end: int
    # Bytes of the last segment after `end`.
    torn_bytes: int
    # Names of the files that a crash left behind.
    stale_files: list[str]


def _file_name(kind: str, number: int) -> str:
    return f"{kind}-{number:08d}"


def _numbers(names: list[str], kind: str) -> list[int]:
    """Return the numbers of all files of a kind, `log` or `snapshot`, in the order of the names."""
    return [
        int(name[len(kind) + 1 :])
        for name in names
        if name.startswith(kind + "-") and name[len(kind) + 1 :].isdigit()
    ]


def _pack_header(
    layout: struct.Struct, magic: bytes, number: int, length: int, data: bytes = b""
) -> bytes:
    """Return the header of a segment or snapshot; its checksum also covers the data."""
    unchecked = layout.pack(magic, _FORMAT_VERSION, number, length, 0)
    checksum = crc32c.crc32c(data, crc32c.crc32c(unchecked))
    return layout.pack(magic, _FORMAT_VERSION, number, length, checksum)


def _read_snapshot(name: str, content: bytes, number: int) -> bytes | StoreProblem:
    """Return the data of a snapshot file that must be followed by the segment of that number."""
    if len(content) < _SNAPSHOT_HEADER.size:
        return StoreProblem(name, len(content), "a snapshot without its head")
    magic, version, next_segment, length, _ = _SNAPSHOT_HEADER.unpack_from(content)
    data = content[_SNAPSHOT_HEADER.size :]
    if magic != _SNAPSHOT_MAGIC or version != _FORMAT_VERSION:
        return StoreProblem(name, 0, "no snapshot of a format known here")
    if (
        next_segment != number
        or length != len(data)
        or content[: _SNAPSHOT_HEADER.size]
        != _pack_header(_SNAPSHOT_HEADER, _SNAPSHOT_MAGIC, next_segment, length, data)
    ):
        return StoreProblem(name, 0, "the checksum of the snapshot does not fit")
    return data


def inspect_folder(files: Files) -> StoreContents | StoreProblem:
    """Read the folder as it is, changing nothing; `OSError` is raised if a file can't be read."""
    names = files.names()
    snapshots = _numbers(names, "snapshot")
    segments = _numbers(names, "log")
    snapshot = None
    first = min(segments, default=1)
    if snapshots:
        first = max(snapshots)
        snapshot_name = _file_name("snapshot", first)
        snapshot = _read_snapshot(snapshot_name, files.read(snapshot_name), first)
        if isinstance(snapshot, StoreProblem):
            return snapshot
    elif segments and first != 1:
        return StoreProblem(
            _file_name("log", first), 0, "the snapshot before this segment is missing"
        )
    # The segment after the snapshot is complete before the snapshot gets its final name, but the
    # crash may have lost the segment's own rename.
    temporary_name = _file_name("log", first) + ".new"
    if snapshot is not None and first not in segments:
        if temporary_name not in names:
            return StoreProblem(
                _file_name("log", first), 0, "the segment after the snapshot is missing"
            )
        segments = [*segments, first]
    stale = [_file_name("snapshot", number) for number in snapshots if number < first]
    stale += [_file_name("log", number) for number in segments if number < first]
    stale += [
        name
        for name in names
        if name.endswith(".new") and (name != temporary_name or first in _numbers(names, "log"))
    ]
    segments = sorted(number for number in segments if number >= first)
    found_records = []
    end = 0
    torn_bytes = 0
    last = first - 1
    for index, number in enumerate(segments):
        name = _file_name("log", number)
        is_final = index == len(segments) - 1
        if number != last + 1:
            return StoreProblem(_file_name("log", last + 1), 0, "this segment is missing")
        content = files.read(name if name in names else temporary_name)
        header = content[: _SEGMENT_HEADER.size]
        previous_length = NO_PREVIOUS_LENGTH if number == first else end
        if (
            is_final
            and number != first
            and header == _pack_header(_SEGMENT_HEADER, _SEGMENT_MAGIC, number, NO_PREVIOUS_LENGTH)
        ):
            # It was begun for a snapshot that never got its final name.
            stale.append(name)
            break
        if header != _pack_header(_SEGMENT_HEADER, _SEGMENT_MAGIC, number, previous_length):
            if (
                not is_final
                or len(content) > _SEGMENT_HEADER.size
                or (number == first and snapshot is not None)
            ):
                return StoreProblem(
                    name, 0, "the segment's head can't be read, or names another length before it"
                )
            # The crash came while the segment was begun: nothing in it was ever durable.
            stale.append(name)
            break
        segment_end = records.find_end(content, _SEGMENT_HEADER.size)
        if isinstance(segment_end, CorruptRecord):
            return StoreProblem(name, segment_end.offset, "a record that was durable can't be read")
        if not is_final and segment_end != len(content):
            return StoreProblem(name, segment_end, "a record before the last segment can't be read")
        found_records += [
            (record.kind, record.data) for record in records.scan(content, _SEGMENT_HEADER.size)
        ]
        end = segment_end
        torn_bytes = len(content) - segment_end
        last = number
    return StoreContents(snapshot, first, last, found_records, end, torn_bytes, stale)


class Store:
    """An open folder; `snapshot` and `recovered_records` are what it contained when opened."""

    def __init__(self, files: Files, contents: StoreContents) -> None:
        self.files = files
        self.snapshot = contents.snapshot
        self.recovered_records = contents.records
        # Number of the segment that is written now.
        self._number = contents.last_segment
        # Bytes written to that segment, and how many of them are durable.
        self._end = contents.end
        self._durable_offset = contents.end
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        # Descriptor of that segment; -1 if none is open.
        self._file = (
            files.open(_file_name("log", contents.last_segment))
            if contents.last_segment >= contents.first_segment
            else -1
        )
        self.sync_count = 0

    @classmethod
    def open(cls, files: Files) -> Union["Store", StoreProblem]:
        """Lock a folder, cut off a torn tail and remove the files that a crash left behind.

        Returns the problem if the folder is in use or corrupt; raises `OSError`.
        """
        if not files.lock():
            return StoreProblem("lock", 0, "another process uses this folder")
        contents = inspect_folder(files)
        if isinstance(contents, StoreProblem):
            files.unlock()
            return contents
        for name in contents.stale_files:
            files.remove(name)
        if (
            contents.last_segment >= contents.first_segment
            and _file_name("log", contents.first_segment) not in files.names()
        ):
            files.rename(
                _file_name("log", contents.first_segment) + ".new",
                _file_name("log", contents.first_segment),
            )
        if contents.torn_bytes:
            files.truncate(_file_name("log", contents.last_segment), contents.end)
        store = cls(files, contents)
        if store._file < 0:
            store._begin_segment(1, NO_PREVIOUS_LENGTH)
        files.sync_folder()
        return store

    @property
    def size(self) -> int:
        """Size in bytes of the segment that is written now, with what is buffered."""
        return self._end + self._buffered_bytes

    def append(self, kind: int, data: bytes) -> None:
        """Add a record; it is durable after `sync`."""
        packed = records.pack(kind, data, self._durable_offset)
        self._buffer.append(packed)
        self._buffered_bytes += len(packed)
        if self._buffered_bytes > MAX_BUFFER_BYTES:
            self._flush()

    def sync(self) -> None:
        """Make all records durable; after an `OSError` the store is unusable."""
        self._flush()
        self.files.sync(self._file)
        self.sync_count += 1
        self._durable_offset = self._end
        if self._end > SEGMENT_ROLLOVER_BYTES:
            self.files.close(self._file)
            self._begin_segment(self._number + 1, self._end)

    def save_snapshot(self, data: bytes, retained: Iterable[tuple[int, bytes]]) -> None:
        """Replace all records so far by a snapshot and the retained records (kind and data).

        Everything is durable on return; after an `OSError` the store is unusable.
        """
        self._flush()
        self.files.sync(self._file)
        self.files.close(self._file)
        self._file = -1
        number = self._number + 1
        previous_number = self._number
        self._begin_segment(number, NO_PREVIOUS_LENGTH, temporary=True)
        for kind, record_data in retained:
            self.append(kind, record_data)
        self._flush()
        self.files.sync(self._file)
        self._durable_offset = self._end
        name = _file_name("snapshot", number)
        file = self.files.open(name + ".new")
        try:
            self.files.write(
                file,
                _pack_header(_SNAPSHOT_HEADER, _SNAPSHOT_MAGIC, number, len(data), data) + data,
            )
            self.files.sync(file)
        finally:
            self.files.close(file)
        # The segment gets its final name first: until the snapshot has its own, opening the store
        # ignores both as unfinished.
        self.files.rename(_file_name("log", number) + ".new", _file_name("log", number))
        self.files.rename(name + ".new", name)
        self.files.sync_folder()
        for kind in ("log", "snapshot"):
            for old_number in _numbers(self.files.names(), kind):
                if old_number <= previous_number:
                    self.files.remove(_file_name(kind, old_number))

    def close(self) -> None:
        """Close the segment and unlock the folder; records that were not synced may be lost."""
        if self._file >= 0:
            self.files.close(self._file)
            self._file = -1
        self.files.unlock()

    def _begin_segment(self, number: int, previous_length: int, temporary: bool = False) -> None:
        """Create a segment and write its header; it is durable on return unless temporary."""
        name = _file_name("log", number) + (".new" if temporary else "")
        self._file = self.files.open(name)
        self.files.write(
            self._file,
            _pack_header(_SEGMENT_HEADER, _SEGMENT_MAGIC, number, previous_length),
        )
        self._number = number
        self._end = _SEGMENT_HEADER.size
        self._durable_offset = 0
        if not temporary:
            self.files.sync(self._file)
            self.files.sync_folder()

    def _flush(self) -> None:
        """Write the buffered records to the segment, without a sync."""
        data = b"".join(self._buffer)
        self._buffer = []
        self._buffered_bytes = 0
        if data:
            self.files.write(self._file, data)
            self._end += len(data)
