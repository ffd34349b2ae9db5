"""Frames at the controller's listen address: a big-endian length of four bytes, a JSON object.

>>> from lifthinge.wire.buffer import Buffer
>>> def feed(data):
...     buffer = Buffer(MAX_FRAME_BYTES + 4)
...     buffer.writable_view()[:len(data)] = data
...     buffer.commit_write(len(data))
...     return read_frame(buffer)
>>> feed(encode_frame({"t": "hb"})), feed(encode_frame({"t": "hb"})[:-1]), feed(b"\\0\\0")
({'t': 'hb'}, None, None)
>>> frame = encode_frame({"t": "hb", "n": 1})
>>> all(feed(frame[:cut]) is None for cut in range(len(frame)))
True
>>> feed(b"\\0\\0\\0\\0"), feed(b"\\0\\x10\\0\\1")
(FramingLost(why='length 0'), FramingLost(why='length 1048577'))
>>> feed(b"\\0\\0\\0\\2[]"), feed(b"\\0\\0\\0\\3{a}")
(InvalidMessage(why='not an object'), FramingLost(why='not JSON'))
"""

import json
from typing import Any, NamedTuple

from lifthinge.wire.buffer import Buffer

MAX_FRAME_BYTES = 1 << 20  # of a frame's JSON text, without the length


class FramingLost(NamedTuple):
    """The framing is lost, or a frame is not JSON: nothing more can be read."""

    why: str


class InvalidMessage(NamedTuple):
    """One message can't be used; those after it can be read."""

    why: str


NOT_JSON = InvalidMessage("not JSON")


def encode_frame(message: dict[str, Any]) -> bytes:
    """Return the frame of a message."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return len(body).to_bytes(4, "big") + body


def decode_object(text: bytes) -> dict | InvalidMessage:
    """Return the JSON object that untrusted bytes hold, or the error."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return NOT_JSON
    return value if isinstance(value, dict) else InvalidMessage("not an object")


def read_frame(buffer: Buffer) -> dict | FramingLost | InvalidMessage | None:
    """Take the next message out of the buffer; return None until it is complete.

    A frame that is too long for the buffer is an error at once.
    """
    if len(buffer) < 4:
        return None
    length = int.from_bytes(buffer.peek(0, 4), "big")
    if not 0 < length <= buffer.max_bytes - 4:
        return FramingLost(f"length {length}")
    if len(buffer) < 4 + length:
        return None
    buffer.take(4)
    message = decode_object(buffer.take(length))
    return FramingLost(message.why) if message == NOT_JSON else message
