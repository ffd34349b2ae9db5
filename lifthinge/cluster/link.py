"""A connection between members, or from a client: hellos, then sealed frames both ways."""

from collections.abc import Callable

from lifthinge.cluster.frame_auth import (
    LENGTH_BYTES,
    MAC_BYTES,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
    FrameSigner,
    FrameVerifier,
    Hello,
    connection_id,
    read_hello,
    sign_hello,
)
from lifthinge.cluster.keys import Keys
from lifthinge.memory.runtime import Runtime
from lifthinge.wire.connection import Connection

HELLO_WAIT = 1_000.0  # ms from connecting until both hellos have come
SILENT_MOST = 60_000.0  # ms without a byte from a member or client
OUTBOX_MOST = 16 << 20  # bytes that have not left; what comes beyond is not sent


class Link(Connection):
    """`opened` is called once the other side is known, `heard` with each body, `closed` at the end, once each."""

    kind = "link"
    max_unread_bytes = OUTBOX_MOST + MAX_FRAME_BYTES

    def __init__(
        self,
        runtime: Runtime,
        keys: Callable[[str], Keys],
        cluster: str,
        name: str,
        role: str = "member",
        dialed_peer: str = "",
        expected_peer: str = "",
    ) -> None:
        super().__init__(runtime, MAX_FRAME_BYTES + LENGTH_BYTES)
        self.keys, self.cluster, self.name, self.role, self.dialed_peer = (
            keys,
            cluster,
            name,
            role,
            dialed_peer,
        )
        self.expected_peer = expected_peer  # who must answer; empty: whoever holds the key
        self.hello: Hello | None = None  # ours
        self.peer_hello: Hello | None = None  # theirs
        self.on_open: Callable[[Link], None] = lambda link: None
        self.on_message: Callable[[Link, bytes], None] = lambda link, body: None
        self.on_close: Callable[[Link], None] = lambda link: None
        self._sealer: FrameSigner | None = None
        self._opener: FrameVerifier | None = None
        self._deadline = None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._deadline = self.runtime.deadlines.schedule(HELLO_WAIT, self._late)
        if self.dialed_peer:
            self._say_hello(self.role, self.expected_peer)

    def _late(self) -> None:
        if self._sealer is None:
            self.runtime.rate_limited_log.warning(
                "link_no_hello", peer=self.dialed_peer or "inbound"
            )
            self.abort()
        elif self.runtime.now - self.last_received_at > SILENT_MOST:
            self.runtime.rate_limited_log.warning("link_silent", peer=self.peer_hello.sender)
            self.abort()
        else:
            self._deadline = self.runtime.deadlines.schedule(SILENT_MOST / 2, self._late)

    def _say_hello(self, role: str, receiver: str) -> None:
        keys = self.keys(role)
        nonce = self.runtime.rng.randbytes(NONCE_BYTES)
        self.hello = Hello(
            PROTOCOL_VERSION, self.cluster, self.name, receiver, role, keys.signing, nonce
        )
        frame = sign_hello(self.hello, keys.by_id[keys.signing])
        self.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)

    def on_data(self) -> None:
        while not self.is_closed and len(self.buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self.buffer.peek(0, LENGTH_BYTES), "big")
            if not MAC_BYTES < length <= (MAX_FRAME_BYTES if self._opener else MAX_HELLO_BYTES):
                return self._refuse(f"a frame of {length} bytes")
            if len(self.buffer) < LENGTH_BYTES + length:
                return None
            self.buffer.take(LENGTH_BYTES)
            frame = self.buffer.take(length)
            if self._opener is None:
                self._meet(frame)
            else:
                body = self._opener.verify_frame(frame)
                if body is None:
                    return self._refuse("a frame that does not fit")
                self.on_message(self, body)
        return None

    def _meet(self, frame: bytes) -> None:
        """The other side's hello: it must be of this cluster, meant for us, and of a role that its key is for."""
        role = self.role if self.dialed_peer else "member"
        found = read_hello(frame, self.keys(role).by_id)
        if not self.dialed_peer and isinstance(found, str):
            role = "client"
            found = read_hello(frame, self.keys(role).by_id)
        if isinstance(found, str):
            return self._refuse(found)
        if found.cluster != self.cluster:
            return self._refuse("another cluster")
        if (
            found.role != role
            or found.receiver not in (self.name, "")
            or self.expected_peer not in (found.sender, "")
        ):
            return self._refuse("meant for another")
        self.peer_hello = found
        if not self.dialed_peer:
            self._say_hello(role, found.sender)
        first, second = (self.hello, found) if self.dialed_peer else (found, self.hello)
        talk, keys = connection_id(first, second), self.keys(role).by_id
        ours, theirs = (b"out", b"in") if self.dialed_peer else (b"in", b"out")
        if self.hello.key not in keys or found.key not in keys:
            return self._refuse("unknown key")
        self._sealer = FrameSigner(keys[self.hello.key], talk, ours)
        self._opener = FrameVerifier(keys[found.key], talk, theirs)
        self.on_open(self)
        return None

    def _refuse(self, why: str) -> None:
        self.runtime.rate_limited_log.warning(
            "link_refused", why=why, peer=self.peer_hello.sender if self.peer_hello else "unknown"
        )
        self.abort()

    def send(self, body: bytes) -> bool:
        """Sends one body; False if it can't be sent now, which a sender must bear."""
        if (
            self._sealer is None
            or self.is_closed
            or self.transport is None
            or self.transport.is_closing()
        ):
            return False
        if self.transport.get_write_buffer_size() > OUTBOX_MOST:
            self.runtime.counters.add("link.outbox_full")
            return False
        self.write(self._sealer.sign_frame(body))
        return True

    def on_closed(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self.on_close(self)
