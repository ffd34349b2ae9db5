"""A connection between members or from a client: hellos, then authenticated frames both ways."""

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

HELLO_TIMEOUT_MS = 1_000.0  # from connecting until both hellos have arrived
MAX_SILENCE_MS = 60_000.0  # without a byte from the peer
MAX_OUTBOX_BYTES = 16 << 20  # in the write buffer; further frames are not sent


class Link(Connection):
    """An authenticated connection to a member or from a client.

    `on_open` is called once when the peer is authenticated, `on_message` with the body of each
    frame, and `on_close` once at the end.
    """

    kind = "link"
    max_unread_bytes = MAX_OUTBOX_BYTES + MAX_FRAME_BYTES  # `send` adds one frame at most

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
        self.keys = keys  # returns the keys of a role
        self.cluster = cluster
        self.name = name  # of this side
        self.role = role  # of this side, if it dials
        self.dialed_peer = dialed_peer  # empty for an inbound connection
        self.expected_peer = expected_peer  # who must answer; if empty, whoever holds the key
        self.hello: Hello | None = None  # sent
        self.peer_hello: Hello | None = None  # received
        self.on_open: Callable[[Link], None] = lambda link: None
        self.on_message: Callable[[Link, bytes], None] = lambda link, body: None
        self.on_close: Callable[[Link], None] = lambda link: None
        self._signer: FrameSigner | None = None
        self._verifier: FrameVerifier | None = None
        self._liveness_timer = None

    def connection_made(self, transport) -> None:
        """Start the hello timeout; the dialing side sends its hello first."""
        super().connection_made(transport)
        self._liveness_timer = self.runtime.deadlines.schedule(
            HELLO_TIMEOUT_MS, self._check_liveness
        )
        if self.dialed_peer:
            self._send_hello(self.role, self.expected_peer)

    def _check_liveness(self) -> None:
        """Abort if the hellos are late or the peer has been silent for too long."""
        if self._signer is None:
            self.runtime.rate_limited_log.warning(
                "link_no_hello", peer=self.dialed_peer or "inbound"
            )
            self.abort()
        elif self.runtime.now - self.last_received_at > MAX_SILENCE_MS:
            self.runtime.rate_limited_log.warning("link_silent", peer=self.peer_hello.sender)
            self.abort()
        else:
            self._liveness_timer = self.runtime.deadlines.schedule(
                MAX_SILENCE_MS / 2, self._check_liveness
            )

    def _send_hello(self, role: str, receiver: str) -> None:
        """Send this side's hello, signed with the current key of the role."""
        keys = self.keys(role)
        nonce = self.runtime.rng.randbytes(NONCE_BYTES)
        self.hello = Hello(
            PROTOCOL_VERSION, self.cluster, self.name, receiver, role, keys.signing, nonce
        )
        frame = sign_hello(self.hello, keys.by_id[keys.signing])
        self.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)

    def on_data(self) -> None:
        """Process all complete frames received; refuse the peer at the first invalid one."""
        while not self.is_closed and len(self.buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self.buffer.peek(0, LENGTH_BYTES), "big")
            if not MAC_BYTES < length <= (MAX_FRAME_BYTES if self._verifier else MAX_HELLO_BYTES):
                return self._refuse(f"a frame of {length} bytes")
            if len(self.buffer) < LENGTH_BYTES + length:
                return None
            self.buffer.take(LENGTH_BYTES)
            frame = self.buffer.take(length)
            if self._verifier is None:
                self._accept_hello(frame)
            else:
                body = self._verifier.verify_frame(frame)
                if body is None:
                    return self._refuse("a frame that does not fit")
                self.on_message(self, body)
        return None

    def _accept_hello(self, frame: bytes) -> None:
        """Check the peer's hello and open the link.

        It must be from this cluster, meant for this member, and signed with a key of its role.
        """
        role = self.role if self.dialed_peer else "member"
        peer_hello = read_hello(frame, self.keys(role).by_id)
        if not self.dialed_peer and isinstance(peer_hello, str):
            role = "client"
            peer_hello = read_hello(frame, self.keys(role).by_id)
        if isinstance(peer_hello, str):
            return self._refuse(peer_hello)
        if peer_hello.cluster != self.cluster:
            return self._refuse("another cluster")
        if (
            peer_hello.role != role
            or peer_hello.receiver not in (self.name, "")
            or self.expected_peer not in (peer_hello.sender, "")
        ):
            return self._refuse("meant for another")
        self.peer_hello = peer_hello
        if not self.dialed_peer:
            self._send_hello(role, peer_hello.sender)
        first, second = (self.hello, peer_hello) if self.dialed_peer else (peer_hello, self.hello)
        connection = connection_id(first, second)
        keys = self.keys(role).by_id
        outbound_direction, inbound_direction = (
            (b"out", b"in") if self.dialed_peer else (b"in", b"out")
        )
        if self.hello.key not in keys or peer_hello.key not in keys:
            return self._refuse("unknown key")
        self._signer = FrameSigner(keys[self.hello.key], connection, outbound_direction)
        self._verifier = FrameVerifier(keys[peer_hello.key], connection, inbound_direction)
        self.on_open(self)
        return None

    def _refuse(self, reason: str) -> None:
        """Log why the peer is refused, and abort."""
        self.runtime.rate_limited_log.warning(
            "link_refused",
            why=reason,
            peer=self.peer_hello.sender if self.peer_hello else "unknown",
        )
        self.abort()

    def send(self, body: bytes) -> bool:
        """Send one body; return False if it cannot be sent now, a loss that callers must handle."""
        if (
            self._signer is None
            or self.is_closed
            or self.transport is None
            or self.transport.is_closing()
        ):
            return False
        if self.transport.get_write_buffer_size() > MAX_OUTBOX_BYTES:
            self.runtime.counters.add("link.outbox_full")
            return False
        self.write(self._signer.sign_frame(body))
        return True

    def on_closed(self) -> None:
        """Stop the timer and call `on_close`."""
        if self._liveness_timer is not None:
            self._liveness_timer.cancel()
        self.on_close(self)
