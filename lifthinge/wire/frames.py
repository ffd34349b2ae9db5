"""Frames at the controller's address: four bytes of length, then one JSON object.

>>> from lifthinge.wire.buffer import Buffer
>>> def feed(data):
...     buffer = Buffer(MAX_FRAME_BYTES + 4)
...     buffer.writable_view()[:len(data)] = data
...     buffer.commit_write(len(data))
...     return read_frame(buffer)
>>> feed(encode_frame({"t": "hb"})), feed(encode_frame({"t": "hb"})[:-1]), feed(b"\\0\\0")
({'t': 'hb'}, None, None)
>>> all(feed(encode_frame({"t": "hb", "n": 1})[:cut]) is None for cut in range(len(encode_frame({"t": "hb", "n": 1}))))
True
>>> feed(b"\\0\\0\\0\\0"), feed(b"\\0\\x10\\0\\1"), feed(b"\\0\\0\\0\\2[]"), feed(b"\\0\\0\\0\\3{a}")
(FramingLost(why='length 0'), FramingLost(why='length 1048577'), InvalidMessage(why='not an object'), FramingLost(why='not JSON'))
"""

import json
from typing import Any, NamedTuple

from lifthinge.wire.buffer import Buffer

MAX_FRAME_BYTES = 1 << 20


class FramingLost(NamedTuple):
    """The framing is lost, or what it frames is no JSON: nothing more can be read."""

    why: str


class InvalidMessage(NamedTuple):
    """This message can't be used; the next one may."""

    why: str


NO_JSON = InvalidMessage("not JSON")


def encode_frame(message: dict[str, Any]) -> bytes:
    body = json.dumps(message, separators=(",", ":")).encode()
    return len(body).to_bytes(4, "big") + body


def decode_object(text: bytes) -> dict | InvalidMessage:
    """One JSON object out of untrusted bytes."""
    try:
        found = json.loads(text)
    except (ValueError, RecursionError):
        return NO_JSON
    return found if isinstance(found, dict) else InvalidMessage("not an object")


def read_frame(buffer: Buffer) -> dict | FramingLost | InvalidMessage | None:
    """The next message; None until it has come whole. One that the buffer will never hold is lost at once."""
    if len(buffer) < 4:
        return None
    length = int.from_bytes(buffer.peek(0, 4), "big")
    if not 0 < length <= buffer.limit - 4:
        return FramingLost(f"length {length}")
    if len(buffer) < 4 + length:
        return None
    buffer.take(4)
    found = decode_object(buffer.take(length))
    return FramingLost(found.why) if found == NO_JSON else found
