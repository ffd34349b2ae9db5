"""Frames that are bound to cluster, sender, receiver, connection and a counter, by keyed BLAKE3.

A connection begins with a hello from each side, bare but signed: cluster, sender, receiver, what the sender is, the
name of its key, and a nonce. From key, names and nonces each direction gets a key of its own; every later frame bears
a MAC under that key over its number and its bytes. So a frame that is doubled, left out, out of order, from another
connection, cluster or sender, or under a key no longer known, does not fit, and ends the connection.

>>> key = b"k" * 32
>>> us, them = Sealer(key, b"talk", b"out"), Opener(key, b"talk", b"out")
>>> one, two = us.seal(b"a"), us.seal(b"b")
>>> them.open(one[4:]), them.open(two[4:]), them.open(two[4:])
(b'a', b'b', None)
>>> Opener(key, b"talk", b"in").open(Sealer(key, b"talk", b"out").seal(b"a")[4:]) is None
True
>>> hello = Hello(1, "c", "a", "b", "member", "new", b"n" * 16)
>>> read_hello(sign(hello, key), {"new": key}), read_hello(sign(hello, key), {"old": key})
(Hello(form=1, cluster='c', sender='a', receiver='b', role='member', key='new', nonce=b'nnnnnnnnnnnnnnnn'), 'unknown key')
"""

import hmac

import msgspec
from blake3 import blake3

MAC, NONCE, HEAD = 16, 16, 4
FRAME_MOST = 4 << 20
HELLO_MOST = 1024
FORM = 1


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
    return digest.digest(length=MAC)


def sign(hello: Hello, key: bytes) -> bytes:
    """A hello's frame, without its length."""
    body = msgspec.msgpack.encode(hello)
    return _mac(key, b"hello", body) + body


def read_hello(frame: bytes, keys: dict[str, bytes]) -> Hello | str:
    """A hello that is signed by one of these keys, or why it is none."""
    try:
        hello = _decoder.decode(frame[MAC:])
    except (msgspec.ValidationError, msgspec.DecodeError):
        return "no hello"
    key = keys.get(hello.key)
    if key is None:
        return "unknown key"
    if not hmac.compare_digest(frame[:MAC], _mac(key, b"hello", frame[MAC:])):
        return "wrong signature"
    if hello.form != FORM:
        return f"form {hello.form}"
    return hello if len(hello.nonce) == NONCE else "no nonce"


def talk_of(ours: Hello, theirs: Hello) -> bytes:
    """What a connection is told apart by: both hellos, the dialling side's first."""
    return msgspec.msgpack.encode((ours, theirs))


class Sealer:
    """One direction's sending end."""

    __slots__ = ("_keyed", "_count")

    def __init__(self, key: bytes, talk: bytes, direction: bytes) -> None:
        self._keyed = blake3(key=blake3(talk + direction, key=key).digest())
        self._count = 0

    def seal(self, body: bytes) -> bytes:
        """A whole frame."""
        mac = self._next(body)
        return (MAC + len(body)).to_bytes(HEAD, "big") + mac + body

    def _next(self, body: bytes) -> bytes:
        digest = self._keyed.copy()
        digest.update(self._count.to_bytes(8, "big"))
        digest.update(body)
        self._count += 1
        return digest.digest(length=MAC)


class Opener(Sealer):
    """One direction's receiving end."""

    def open(self, frame: bytes) -> bytes | None:
        """The body of a frame without its length; None if it does not fit here and now."""
        body = frame[MAC:]
        return (
            body
            if len(frame) > MAC and hmac.compare_digest(frame[:MAC], self._next(body))
            else None
        )
