"""Authentication of frames by keyed BLAKE3.

A connection begins with a hello from each side. It is signed but not encrypted, and holds the
cluster, the sender, the receiver, the sender's role, the name of its key, and a nonce. From the key
and both hellos each direction derives a key of its own. Every later frame carries a MAC under that
key over its sequence number and its body. So a frame fails verification, and ends the connection,
if it is repeated, missing, out of order, from another connection, cluster or sender, or under an
unknown key.

>>> key = b"k" * 32
>>> signer, verifier = FrameSigner(key, b"talk", b"out"), FrameVerifier(key, b"talk", b"out")
>>> first, second = signer.sign_frame(b"a"), signer.sign_frame(b"b")
>>> [verifier.verify_frame(frame[4:]) for frame in (first, second, second)]
[b'a', b'b', None]
>>> other_direction = FrameVerifier(key, b"talk", b"in")
>>> other_direction.verify_frame(first[4:]) is None
True
>>> hello = Hello(1, "c", "a", "b", "member", "new", b"n" * 16)
>>> read_hello(sign_hello(hello, key), {"new": key}) == hello
True
>>> read_hello(sign_hello(hello, key), {"old": key})
'unknown key'
"""

import hmac

import msgspec
from blake3 import blake3

MAC_BYTES = 16
NONCE_BYTES = 16
LENGTH_BYTES = 4  # big-endian, before each frame; does not count itself
MAX_FRAME_BYTES = 4 << 20  # MAC and body
MAX_HELLO_BYTES = 1024  # MAC and hello; from a peer that is not authenticated yet
PROTOCOL_VERSION = 1


class Hello(msgspec.Struct, array_like=True, frozen=True):
    """The first message of each side of a connection.

    An empty receiver means whoever holds the key.
    """

    form: int  # the protocol version
    cluster: str
    sender: str
    receiver: str
    role: str  # "member" or "client"
    key: str  # the name of the signing key
    nonce: bytes


_hello_decoder = msgspec.msgpack.Decoder(Hello)


def _compute_mac(key: bytes, *parts: bytes) -> bytes:
    """Compute the MAC of the concatenated parts."""
    digest = blake3(key=key)
    for part in parts:
        digest.update(part)
    return digest.digest(length=MAC_BYTES)


def sign_hello(hello: Hello, key: bytes) -> bytes:
    """Encode and sign a hello; the length of the frame is not included."""
    body = msgspec.msgpack.encode(hello)
    return _compute_mac(key, b"hello", body) + body


def read_hello(frame: bytes, keys: dict[str, bytes]) -> Hello | str:
    """Decode a hello that is signed by one of these keys, or return why it is refused."""
    try:
        hello = _hello_decoder.decode(frame[MAC_BYTES:])
    except (msgspec.ValidationError, msgspec.DecodeError):
        return "no hello"
    key = keys.get(hello.key)
    if key is None:
        return "unknown key"
    if not hmac.compare_digest(frame[:MAC_BYTES], _compute_mac(key, b"hello", frame[MAC_BYTES:])):
        return "wrong signature"
    if hello.form != PROTOCOL_VERSION:
        return f"form {hello.form}"
    return hello if len(hello.nonce) == NONCE_BYTES else "no nonce"


def connection_id(dialer_hello: Hello, acceptor_hello: Hello) -> bytes:
    """Return the bytes that identify a connection: both hellos, the dialing side's first."""
    return msgspec.msgpack.encode((dialer_hello, acceptor_hello))


class FrameSigner:
    """The sending end of one direction.

    `connection` is the `connection_id`, `direction` is b"out" for frames of the dialing side and
    b"in" for those of the accepting side.
    """

    __slots__ = ("_keyed_hasher", "_frame_count")

    def __init__(self, key: bytes, connection: bytes, direction: bytes) -> None:
        self._keyed_hasher = blake3(key=blake3(connection + direction, key=key).digest())
        self._frame_count = 0

    def sign_frame(self, body: bytes) -> bytes:
        """Return a body as a whole frame: length, MAC, body."""
        mac = self._next_mac(body)
        return (MAC_BYTES + len(body)).to_bytes(LENGTH_BYTES, "big") + mac + body

    def _next_mac(self, body: bytes) -> bytes:
        """Compute the MAC of the next frame of this direction, and count the frame."""
        digest = self._keyed_hasher.copy()
        digest.update(self._frame_count.to_bytes(8, "big"))
        digest.update(body)
        self._frame_count += 1
        return digest.digest(length=MAC_BYTES)


class FrameVerifier(FrameSigner):
    """The receiving end of one direction."""

    def verify_frame(self, frame: bytes) -> bytes | None:
        """Return the body of a frame given without its length; None if it fails verification."""
        body = frame[MAC_BYTES:]
        return (
            body
            if len(frame) > MAC_BYTES
            and hmac.compare_digest(frame[:MAC_BYTES], self._next_mac(body))
            else None
        )
