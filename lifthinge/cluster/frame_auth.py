"""Frames that are bound to cluster, sender, receiver, connection and a counter, by keyed BLAKE3.

A connection begins with a hello from each side, bare but signed: cluster, sender, receiver, what the sender is, the
name of its key, and a nonce. From key, names and nonces each direction gets a key of its own; every later frame bears
a MAC_BYTES under that key over its number and its bytes. So a frame that is doubled, left out, out of order, from another
connection, cluster or sender, or under a key no longer known, does not fit, and ends the connection.

>>> key = b"k" * 32
>>> us, them = FrameSigner(key, b"talk", b"out"), FrameVerifier(key, b"talk", b"out")
>>> one, two = us.sign_frame(b"a"), us.sign_frame(b"b")
>>> them.verify_frame(one[4:]), them.verify_frame(two[4:]), them.verify_frame(two[4:])
(b'a', b'b', None)
>>> FrameVerifier(key, b"talk", b"in").verify_frame(FrameSigner(key, b"talk", b"out").sign_frame(b"a")[4:]) is None
True
>>> hello = Hello(1, "c", "a", "b", "member", "new", b"n" * 16)
>>> read_hello(sign_hello(hello, key), {"new": key}), read_hello(sign_hello(hello, key), {"old": key})
(Hello(form=1, cluster='c', sender='a', receiver='b', role='member', key='new', nonce=b'nnnnnnnnnnnnnnnn'), 'unknown key')
"""

import hmac

import msgspec
from blake3 import blake3

MAC_BYTES, NONCE_BYTES, LENGTH_BYTES = 16, 16, 4
MAX_FRAME_BYTES = 4 << 20
MAX_HELLO_BYTES = 1024
PROTOCOL_VERSION = 1


class Hello(msgspec.Struct, array_like=True, frozen=True):
    form: int
    cluster: str
    sender: str
    receiver: str
    role: str  # "member" or "client"
    key: str
    nonce: bytes


_decoder = msgspec.msgpack.Decoder(Hello)


def _mac(key: bytes, *parts: bytes) -> bytes:
    digest = blake3(key=key)
    for part in parts:
        digest.update(part)
    return digest.digest(length=MAC_BYTES)


def sign_hello(hello: Hello, key: bytes) -> bytes:
    """A hello's frame, without its length."""
    body = msgspec.msgpack.encode(hello)
    return _mac(key, b"hello", body) + body


def read_hello(frame: bytes, keys: dict[str, bytes]) -> Hello | str:
    """A hello that is signed by one of these keys, or why it is none."""
    try:
        hello = _decoder.decode(frame[MAC_BYTES:])
    except (msgspec.ValidationError, msgspec.DecodeError):
        return "no hello"
    key = keys.get(hello.key)
    if key is None:
        return "unknown key"
    if not hmac.compare_digest(frame[:MAC_BYTES], _mac(key, b"hello", frame[MAC_BYTES:])):
        return "wrong signature"
    if hello.form != PROTOCOL_VERSION:
        return f"form {hello.form}"
    return hello if len(hello.nonce) == NONCE_BYTES else "no nonce"


def connection_id(ours: Hello, theirs: Hello) -> bytes:
    """What a connection is told apart by: both hellos, the dialling side's first."""
    return msgspec.msgpack.encode((ours, theirs))


class FrameSigner:
    """One direction's sending end."""

    __slots__ = ("_keyed", "_count")

    def __init__(self, key: bytes, talk: bytes, direction: bytes) -> None:
        self._keyed = blake3(key=blake3(talk + direction, key=key).digest())
        self._count = 0

    def sign_frame(self, body: bytes) -> bytes:
        """A whole frame."""
        mac = self._next(body)
        return (MAC_BYTES + len(body)).to_bytes(LENGTH_BYTES, "big") + mac + body

    def _next(self, body: bytes) -> bytes:
        digest = self._keyed.copy()
        digest.update(self._count.to_bytes(8, "big"))
        digest.update(body)
        self._count += 1
        return digest.digest(length=MAC_BYTES)


class FrameVerifier(FrameSigner):
    """One direction's receiving end."""

    def verify_frame(self, frame: bytes) -> bytes | None:
        """The body of a frame without its length; None if it does not fit here and now."""
        body = frame[MAC_BYTES:]
        return (
            body
            if len(frame) > MAC_BYTES and hmac.compare_digest(frame[:MAC_BYTES], self._next(body))
            else None
        )
