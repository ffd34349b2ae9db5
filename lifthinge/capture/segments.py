"""A capture as files: segments of compressed, checked blocks, the oldest of which goes first.

Each segment begins with a head and a keyframe, so that what is left of a capture replays whatever is gone. Blocks are
records of the store's kind (length, CRC-32C, kind, bytes): a segment that a crash cut off ends with its last whole one.

>>> import tempfile
>>> folder = Path(tempfile.mkdtemp())
>>> writer = SegmentWriter(folder, {"name": "n0"}, budget_bytes=1 << 20, rollover_bytes=60)
>>> _ = writer.write([["k", 1, [], [1, {}, []]], ["t", 1.0, [], [], [], b""]])
>>> _ = writer.write([["t", 2.0, [], [], [], b""], ["k", 1, [], [1, {}, []]], ["t", 3.0, [], [], [], b""]])
>>> writer.close(); [one.first_ms for one in list_segments(folder)], [[r[0] for r in read_segment(one.path)[1]] for one in list_segments(folder)]
([1.0, 3.0], [['k', 't', 't'], ['k', 't']])
>>> path = list_segments(folder)[1].path; _ = path.write_bytes(path.read_bytes()[:-1]); read_segment(path)[1]
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

FORMAT_VERSION = 1
HEADER_KIND, BLOCK_KIND = 1, 2
MAX_BLOCK_RECORDS = 256  # records in a block at most
MAX_BLOCK_BYTES = 64 << 20  # bytes of a block unpacked: no file makes a reader take more
COMPRESSION_LEVEL = 1  # of compression: what is recorded is alike all along


@dataclass(frozen=True, slots=True)
class UnreadableSegment:
    """Why a file can't be read as a segment."""

    path: str
    why: str


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment as found in a folder; times are those of its first and last turn."""

    path: Path
    first_ms: float
    last_ms: float
    turn_count: int
    header: dict[str, Any]


class SegmentWriter:
    """Writes records as they come; a keyframe begins another segment once the present one is large enough.

    Used by one thread. `budget` and `segment` are bytes.
    """

    def __init__(
        self, folder: Path, head: dict[str, Any], budget_bytes: int, rollover_bytes: int
    ) -> None:
        self.folder, self.header, self.budget_bytes, self.rollover_bytes = (
            folder,
            head,
            budget_bytes,
            rollover_bytes,
        )
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._number = max((int(one.name[4:]) for one in _paths(folder)), default=0)
        self._file, self._size = -1, 0

    @property
    def wants_keyframe(self) -> bool:
        return self._file < 0 or self._size > self.rollover_bytes

    def write(self, turns: list[list]) -> int:
        """Bytes that were written; errors of the system are raised."""
        before, part = self._size, []
        for record in turns:
            if record[0] == "k" and self.wants_keyframe:
                self._block(part)
                part = []
                self._begin()
                before = 0
            part.append(record)
            if len(part) >= MAX_BLOCK_RECORDS:
                self._block(part)
                part = []
        self._block(part)
        return self._size - before

    def _block(self, part: list[list]) -> None:
        if part and self._file >= 0:
            packed = records.pack(
                BLOCK_KIND, zlib.compress(msgspec.msgpack.encode(part), COMPRESSION_LEVEL), 0
            )
            os.write(self._file, packed)
            self._size += len(packed)

    def _begin(self) -> None:
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
        self._thin()

    def _thin(self) -> None:
        """The oldest go until the rest fits the budget; the one being written stays."""
        sizes = [(path, path.stat().st_size) for path in _paths(self.folder)]
        total = sum(size for _, size in sizes)
        for path, size in sizes[:-1]:
            if total <= self.budget_bytes:
                break
            path.unlink()
            total -= size

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _paths(folder: Path) -> list[Path]:
    return sorted(one for one in folder.glob("cap-*") if one.name[4:].isdigit())


def read_segment(path: Path) -> tuple[dict[str, Any], list[list]] | UnreadableSegment:
    """Head and records of a segment, as far as they are whole."""
    try:
        found = list(records.scan(path.read_bytes(), 0))
    except OSError as error:
        return UnreadableSegment(path.name, error.strerror or str(error))
    if not found or found[0].kind != HEADER_KIND:
        return UnreadableSegment(path.name, "no head of a capture")
    try:
        head = msgspec.msgpack.decode(found[0].data)
        if head.get("form") != FORMAT_VERSION:
            return UnreadableSegment(
                path.name, f"a capture of form {head.get('form')}, not {FORMAT_VERSION}"
            )
        turns = [record for one in found[1:] for record in _unpacked(one.data)]
    except (
        msgspec.DecodeError,
        msgspec.ValidationError,
        zlib.error,
        AttributeError,
        RecursionError,
    ) as error:
        return UnreadableSegment(path.name, str(error))
    return head, turns


def _unpacked(data: bytes) -> list[list]:
    """The records of a block, if it is of a sane size."""
    packed = zlib.decompressobj()
    plain = packed.decompress(data, MAX_BLOCK_BYTES)
    if packed.unconsumed_tail or not packed.eof:
        raise zlib.error("a block that is cut, or unpacks to too much")
    return msgspec.msgpack.decode(plain, type=list[list])


def list_segments(folder: Path) -> list[Segment | UnreadableSegment]:
    """What a folder holds, oldest first."""
    found: list[Segment | UnreadableSegment] = []
    for path in _paths(folder):
        read = read_segment(path)
        if isinstance(read, UnreadableSegment):
            found.append(read)
            continue
        head, turns = read
        times = [one[1] for one in turns if one[0] == "t"]
        found.append(
            Segment(path, min(times, default=0.0), max(times, default=0.0), len(times), head)
        )
    return found
