"""Frames of the simulator's wire: bytes to records and back, with the wire's own names.

>>> reply = pack_reply([pack_record("SetTimer", 3, 0.5, 77), pack_record("Print", 3, b"two servers known")])
>>> reply[:8].hex(), reply[8:29].hex(), reply[29:36].hex()
('3500000002000000', '0a03000000000000000000e03f4d00000000000000', '28030000001100')
>>> clock, records = read_batch(bytes.fromhex("508d976e12d32040 1e 03000000 4d00000000000000"))
>>> round(clock, 3), list(records)
(8.412, [('Timer', (3, 77))])
>>> list(read_batch(bytes.fromhex("508d976e12d32040 63"))[1])
Traceback (most recent call last):
    ...
lifthinge.wirehost.codec.BadFrame: unknown event code 99 at byte 8
>>> list(read_batch(bytes.fromhex("508d976e12d32040 1e 0300"))[1])
Traceback (most recent call last):
    ...
lifthinge.wirehost.codec.BadFrame: Timer at byte 8 is cut short
"""

import struct
from collections.abc import Iterator
from typing import BinaryIO


class BadFrame(Exception):
    """What came in is not of the wire."""


# Field codes: struct letters; then "S" for u32 n + bytes, "s" for u16 n + bytes, "L" for rows, "F" for u8 n +
EVENTS = {
    10: ("Hello", "IQS"),
    60: ("Kill", "I"),
    150: ("DefineList", "BL"),
    20: ("DirectoryUpdate", "IBIB"),
    30: ("Timer", "IQ"),
    40: ("Sampled", "IdB6sF"),
    50: ("Memo", "IIs"),
    70: ("Joined", "IHBfB"),
    80: ("Disconnected", "IH"),
    90: ("Confirmed", "IHId"),
    100: ("Digest", "IB6sIIddF"),
    110: ("Ingress", "IHIHId"),
    120: ("SliceLoad", "IIHHId"),
    130: ("Leased", "IHB"),
    140: ("LedgerLine", "IH6sf"),
}
ACTIONS = {
    "SetTimer": (10, "IdQ"),
    "HealthCheck": (20, "I6s"),
    "Post": (30, "IIs"),
    "Print": (40, "Is"),
    "Fault": (50, "Is"),
    "Track": (60, "IB"),
    "Pull": (70, "I"),
    "Assign": (80, "IH6sf"),
    "Empty": (90, "IH"),
    "Withdraw": (100, "I6sB"),
    "HandTable": (110, "IHHH"),
    "Allow": (120, "IHHfB"),
    "Seal": (130, "IIB"),
}
ROW = struct.Struct("<H6sBHBdf")


def _split(layout: str) -> tuple[struct.Struct, str]:
    """The fixed leading part of a record as a struct, and the code of the counted part that ends it."""
    tail = layout[-1] if layout[-1] in "SLF" or (layout[-1] == "s" and layout[-2:] != "6s") else ""
    return struct.Struct("<" + (layout[:-1] if tail else layout)), tail


_READERS = {code: (name, *_split(layout)) for code, (name, layout) in EVENTS.items()}
_WRITERS = {name: (code, *_split(layout)) for name, (code, layout) in ACTIONS.items()}
_COUNTS = {code: struct.Struct(width) for code, width in zip("SsLF", ("<I", "<H", "<I", "<B"))}
_UNITS = {"S": 1, "s": 1, "L": ROW.size, "F": 4}


def read_frame(source: BinaryIO) -> bytes | None:
    """The content of the next frame, after its length; None at the end of input."""
    head = source.read(4)
    if not head:
        return None
    length = int.from_bytes(head, "little")
    if len(head) < 4 or length < 12:
        raise BadFrame(f"frame header is cut short or states {length} bytes")
    body = source.read(length - 4)
    if len(body) < length - 4:
        raise BadFrame(f"frame of {length} bytes is cut short after {len(body) + 4}")
    return body


def read_batch(body: bytes) -> tuple[float, Iterator[tuple[str, tuple]]]:
    """The clock of a batch, in seconds, and its records in order."""
    return struct.unpack_from("<d", body)[0], _records(body, 8)


def _records(body: bytes, at: int) -> Iterator[tuple[str, tuple]]:
    end = len(body)
    while at < end:
        start = at
        if body[at] not in _READERS:
            raise BadFrame(f"unknown event code {body[at]} at byte {at}")
        name, fixed, tail = _READERS[body[at]]
        at += 1
        try:
            fields = fixed.unpack_from(body, at)
            at += fixed.size
            if tail:
                (count,) = _COUNTS[tail].unpack_from(body, at)
                at += _COUNTS[tail].size
        except struct.error:
            raise BadFrame(f"{name} at byte {start} is cut short") from None
        if tail:
            size = count * _UNITS[tail]
            if at + size > end:
                raise BadFrame(
                    f"{name} at byte {start} counts {count} entries, past the frame's end"
                )
            fields += (_content(tail, body[at : at + size], count),)
            at += size
        yield name, fields


def _content(tail: str, raw: bytes, count: int) -> object:
    if tail == "L":
        return list(ROW.iter_unpack(raw))
    return struct.unpack(f"<{count}f", raw) if tail == "F" else raw


def pack_record(name: str, *fields: object) -> bytes:
    """One action as bytes."""
    code, fixed, tail = _WRITERS[name]
    if not tail:
        return bytes((code,)) + fixed.pack(*fields)
    content = fields[-1]
    return bytes((code,)) + fixed.pack(*fields[:-1]) + _COUNTS[tail].pack(len(content)) + content


def pack_reply(records: list[bytes]) -> bytes:
    """A reply frame of the records given."""
    body = b"".join(records)
    return struct.pack("<II", len(body) + 8, len(records)) + body
