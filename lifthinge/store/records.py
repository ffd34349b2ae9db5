"""Records as they lie in a segment, and where a damaged one differs from a torn tail.

A record is a head (length, CRC-32C, kind, and up to where the segment was durable when the record was written) and
its bytes. The last tells apart what the disk owes us: a record that can't be read may be a torn tail only if no
readable record after it was written once that place was durable.

>>> one, two = pack(3, b"abc", 0), pack(1, b"", len(pack(3, b"abc", 0)))
>>> list(scan(one + two, 0)) == [Record(0, 3, b"abc", 0), Record(len(one), 1, b"", len(one))]
True
>>> torn = one + two[:-1]; [record.kind for record in scan(torn, 0)], find_end(torn, 0)
([3], 20)
>>> spoilt = bytearray(one + two); spoilt[18] ^= 1
>>> find_end(spoilt, 0)
CorruptRecord(at=0)
>>> find_end(bytearray(one) + bytes(40), 0)       # zeros of a tail that never came
20
"""

import struct
from collections.abc import Iterator
from typing import NamedTuple

import crc32c

_HEAD = struct.Struct("<IIBQ")  # length, checksum, kind, durable up to
HEADER_BYTES = _HEAD.size
MAX_RECORD_BYTES = 80 << 20


class Record(NamedTuple):
    at: int
    kind: int
    data: bytes
    durable: int


class CorruptRecord(NamedTuple):
    """A record that can't be read although it was durable once."""

    at: int


def pack(kind: int, data: bytes, durable: int) -> bytes:
    """A record's bytes."""
    head = _HEAD.pack(len(data), 0, kind, durable)
    return _HEAD.pack(len(data), crc32c.crc32c(data, crc32c.crc32c(head)), kind, durable) + data


def read(view: bytes, at: int) -> Record | None:
    """The record that begins here, None if it is not whole and sound."""
    if at + HEADER_BYTES > len(view):
        return None
    length, check, kind, durable = _HEAD.unpack_from(view, at)
    if length > MAX_RECORD_BYTES or at + HEADER_BYTES + length > len(view) or durable > at:
        return None
    data = bytes(view[at + HEADER_BYTES : at + HEADER_BYTES + length])
    if crc32c.crc32c(data, crc32c.crc32c(_HEAD.pack(length, 0, kind, durable))) != check:
        return None
    return Record(at, kind, data, durable)


def scan(view: bytes, start: int) -> Iterator[Record]:
    """Records from here on, up to the first that can't be read."""
    record = read(view, start)
    while record is not None:
        yield record
        record = read(view, record.at + HEADER_BYTES + len(record.data))


def find_end(view: bytes, start: int) -> int | CorruptRecord:
    """Where the sound records end: the tail after that is torn, or else what lies there is spoilt."""
    end = start
    for record in scan(view, start):
        end = record.at + HEADER_BYTES + len(record.data)
    if end + HEADER_BYTES <= len(
        view
    ):  # most often the bytes are spoilt and the length is not: look there first
        after = read(view, end + HEADER_BYTES + _HEAD.unpack_from(view, end)[0])
        if after is not None and after.durable > end:
            return CorruptRecord(end)
    for at in range(end + 1, len(view) - HEADER_BYTES + 1):
        durable = _HEAD.unpack_from(view, at)[3]
        if end < durable <= at:
            record = read(view, at)
            if record is not None and record.durable > end:
                return CorruptRecord(end)
    return end
