"""Storage of a capture as segment files; the oldest are removed first.

A segment consists of compressed, checksummed blocks. It begins with a header and a keyframe, so
that the segments that are left can be replayed whichever others are gone. Header and blocks are
stored as records of the store (length, CRC-32C, kind, data): a segment that a crash cut off ends
with its last complete block.

>>> import tempfile
>>> folder = Path(tempfile.mkdtemp())
>>> writer = SegmentWriter(folder, {"name": "n0"}, budget_bytes=1 << 20, rollover_bytes=60)
>>> keyframe = ["k", 1, [], [1, {}, []]]
>>> _ = writer.write([keyframe, ["t", 1.0, [], [], [], b""]])
>>> _ = writer.write([["t", 2.0, [], [], [], b""], keyframe, ["t", 3.0, [], [], [], b""]])
>>> writer.close(); [segment.first_ms for segment in list_segments(folder)]
[1.0, 3.0]
>>> [[record[0] for record in read_segment(segment.path)[1]] for segment in list_segments(folder)]
[['k', 't', 't'], ['k', 't']]
>>> path = list_segments(folder)[1].path; _ = path.write_bytes(path.read_bytes()[:-1])
>>> read_segment(path)[1]
[]
>>> _ = path.write_bytes(b"nothing"); read_segment(path)
UnreadableSegment(path='cap-00000002', why='no head of a capture')
"""

import os
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from lifthinge.store import records

# Version in a segment's header; no other version is read.
FORMAT_VERSION = 1
# Kinds of the store's records.
HEADER_KIND = 1
BLOCK_KIND = 2
MAX_BLOCK_RECORDS = 256
# Bytes of an uncompressed block: no file makes a reader allocate more.
MAX_BLOCK_BYTES = 64 << 20
# Level of zlib: the lowest suffices, as the records resemble each other.
COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class UnreadableSegment:
    """Why a file can't be read as a segment."""

    # Name of the file.
    path: str
    why: str


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment found in a folder; its times are those of its first and last turn."""

    path: Path
    first_ms: float
    last_ms: float
    turn_count: int
    header: dict[str, Any]


class SegmentWriter:
    """Writes records to segments and removes the oldest ones to keep to a byte budget.

    A keyframe begins another segment once the present one has more than `rollover_bytes`. A writer
    is used by one thread at a time.
    """

    def __init__(
        self, folder: Path, header: dict[str, Any], budget_bytes: int, rollover_bytes: int
    ) -> None:
        self.folder = folder
        self.header = header
        self.budget_bytes = budget_bytes
        self.rollover_bytes = rollover_bytes
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        # Number of the newest segment.
        self._number = max((int(path.name[4:]) for path in _segment_paths(folder)), default=0)
        # Descriptor of the segment that is written now; -1 if none is open.
        self._file = -1
        # Bytes written to it.
        self._size = 0

    @property
    def wants_keyframe(self) -> bool:
        """Whether the next keyframe begins another segment."""
        return self._file < 0 or self._size > self.rollover_bytes

    def write(self, capture_records: list[list]) -> int:
        """Write records in blocks; raise `OSError` if that fails.

        Returns the bytes written to the segment that is open at the end.
        """
        size_before = self._size
        block: list[list] = []
        for record in capture_records:
            if record[0] == "k" and self.wants_keyframe:
                self._write_block(block)
                block = []
                self._begin_segment()
                size_before = 0
            block.append(record)
            if len(block) >= MAX_BLOCK_RECORDS:
                self._write_block(block)
                block = []
        self._write_block(block)
        return self._size - size_before

    def _write_block(self, block: list[list]) -> None:
        """Write a block unless it is empty; drop it if no segment has been begun."""
        if block and self._file >= 0:
            packed = records.pack(
                BLOCK_KIND, zlib.compress(msgspec.msgpack.encode(block), COMPRESSION_LEVEL), 0
            )
            os.write(self._file, packed)
            self._size += len(packed)

    def _begin_segment(self) -> None:
        """Open the next segment, write its header and remove old segments beyond the budget."""
        self.close()
        self._number += 1
        self._file = os.open(
            self.folder / f"cap-{self._number:08d}", os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600
        )
        packed = records.pack(
            HEADER_KIND, msgspec.msgpack.encode({"form": FORMAT_VERSION, **self.header}), 0
        )
        os.write(self._file, packed)
        self._size = len(packed)
        self._remove_old_segments()

    def _remove_old_segments(self) -> None:
        """Remove the oldest segments until the others fit the budget; the newest stays."""
        sizes = [(path, path.stat().st_size) for path in _segment_paths(self.folder)]
        total = sum(size for _, size in sizes)
        for path, size in sizes[:-1]:
            if total <= self.budget_bytes:
                break
            path.unlink()
            total -= size

    def close(self) -> None:
        """Close the open segment, if there is one."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _segment_paths(folder: Path) -> list[Path]:
    """Return the paths of a folder's segments, oldest first."""
    return sorted(path for path in folder.glob("cap-*") if path.name[4:].isdigit())


def read_segment(path: Path) -> tuple[dict[str, Any], list[list]] | UnreadableSegment:
    """Return the header of a segment and the records of its complete blocks."""
    try:
        stored = list(records.scan(path.read_bytes(), 0))
    except OSError as error:
        return UnreadableSegment(path.name, error.strerror or str(error))
    if not stored or stored[0].kind != HEADER_KIND:
        return UnreadableSegment(path.name, "no head of a capture")
    try:
        header = msgspec.msgpack.decode(stored[0].data)
        if header.get("form") != FORMAT_VERSION:
            return UnreadableSegment(
                path.name, f"a capture of form {header.get('form')}, not {FORMAT_VERSION}"
            )
        capture_records = [record for block in stored[1:] for record in _unpack_block(block.data)]
    except (
        msgspec.DecodeError,
        msgspec.ValidationError,
        zlib.error,
        AttributeError,
        RecursionError,
    ) as error:
        return UnreadableSegment(path.name, str(error))
    return header, capture_records


def _unpack_block(data: bytes) -> list[list]:
    """Return the records of a compressed block.

    Raises `zlib.error` if the block is incomplete or exceeds `MAX_BLOCK_BYTES` uncompressed.
    """
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, MAX_BLOCK_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise zlib.error("a block that is cut, or unpacks to too much")
    return msgspec.msgpack.decode(plain, type=list[list])


def list_segments(folder: Path) -> list[Segment | UnreadableSegment]:
    """Return a folder's segments, oldest first; each is read whole."""
    listed: list[Segment | UnreadableSegment] = []
    for path in _segment_paths(folder):
        content = read_segment(path)
        if isinstance(content, UnreadableSegment):
            listed.append(content)
            continue
        header, capture_records = content
        times = [record[1] for record in capture_records if record[0] == "t"]
        listed.append(
            Segment(path, min(times, default=0.0), max(times, default=0.0), len(times), header)
        )
    return listed
