"""Encoding of log records, and the distinction between a torn tail and a corrupt record.

A record is a header (data length, CRC-32C, kind, durable offset) and its data. The durable offset
is how many bytes of the segment were durable when the record was written. An unreadable record can
be a torn tail, which a crash leaves, only if no readable record after it has a durable offset
beyond its start: otherwise the disk lost data that it had already made durable.

>>> first, second = pack(3, b"abc", 0), pack(1, b"", len(pack(3, b"abc", 0)))
>>> records = [Record(0, 3, b"abc", 0), Record(len(first), 1, b"", len(first))]
>>> list(scan(first + second, 0)) == records
True
>>> torn = first + second[:-1]; [record.kind for record in scan(torn, 0)], find_end(torn, 0)
([3], 20)
>>> corrupt = bytearray(first + second); corrupt[18] ^= 1
>>> find_end(corrupt, 0)
CorruptRecord(offset=0)
>>> find_end(bytearray(first) + bytes(40), 0)  # A tail of zeros: its data never arrived.
20
"""

import struct
from collections.abc import Iterator
from typing import NamedTuple

import crc32c

# Data length in bytes, checksum, kind, durable offset.
_HEADER = struct.Struct("<IIBQ")
HEADER_BYTES = _HEADER.size
# A longer data length is read as corrupt.
MAX_RECORD_BYTES = 80 << 20


class Record(NamedTuple):
    """A readable record; offsets are bytes from the start of its segment."""

    offset: int
    kind: int
    data: bytes
    # The segment was durable up to here when the record was written.
    durable_offset: int


class CorruptRecord(NamedTuple):
    """The offset of a record that can't be read although it had been durable."""

    offset: int


def pack(kind: int, data: bytes, durable_offset: int) -> bytes:
    """Return a record's bytes.

    The checksum covers the data and the header, in which the checksum is 0 meanwhile.
    """
    header = _HEADER.pack(len(data), 0, kind, durable_offset)
    checksum = crc32c.crc32c(data, crc32c.crc32c(header))
    return _HEADER.pack(len(data), checksum, kind, durable_offset) + data


def read(segment: bytes, offset: int) -> Record | None:
    """Return the record that begins at an offset, or None if it is incomplete or invalid."""
    if offset + HEADER_BYTES > len(segment):
        return None
    length, checksum, kind, durable_offset = _HEADER.unpack_from(segment, offset)
    if (
        length > MAX_RECORD_BYTES
        or offset + HEADER_BYTES + length > len(segment)
        or durable_offset > offset
    ):
        return None
    data = bytes(segment[offset + HEADER_BYTES : offset + HEADER_BYTES + length])
    header = _HEADER.pack(length, 0, kind, durable_offset)
    if crc32c.crc32c(data, crc32c.crc32c(header)) != checksum:
        return None
    return Record(offset, kind, data, durable_offset)


def scan(segment: bytes, start: int) -> Iterator[Record]:
    """Yield the records from an offset on, up to the first that can't be read."""
    record = read(segment, start)
    while record is not None:
        yield record
        record = read(segment, record.offset + HEADER_BYTES + len(record.data))


def find_end(segment: bytes, start: int) -> int | CorruptRecord:
    """Return the offset at which the readable records end.

    What follows that offset is a torn tail. If the record there had been durable, return a
    `CorruptRecord` instead.
    """
    end = start
    for record in scan(segment, start):
        end = record.offset + HEADER_BYTES + len(record.data)
    # Usually the data is corrupt and the length is not: try the record that the length leads to
    # before searching byte by byte.
    if end + HEADER_BYTES <= len(segment):
        following = read(segment, end + HEADER_BYTES + _HEADER.unpack_from(segment, end)[0])
        if following is not None and following.durable_offset > end:
            return CorruptRecord(end)
    for offset in range(end + 1, len(segment) - HEADER_BYTES + 1):
        durable_offset = _HEADER.unpack_from(segment, offset)[3]
        if end < durable_offset <= offset:
            record = read(segment, offset)
            if record is not None and record.durable_offset > end:
                return CorruptRecord(end)
    return end
