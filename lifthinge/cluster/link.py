"""A connection between members, or from a client: hellos, then sealed frames both ways."""

from collections.abc import Callable

from lifthinge.cluster.keys import Keys
from lifthinge.cluster.sealing import (
    FORM,
    FRAME_MOST,
    HEAD,
    HELLO_MOST,
    MAC,
    NONCE,
    Hello,
    Opener,
    Sealer,
    read_hello,
    sign,
    talk_of,
)
from lifthinge.memory.runtime import Runtime
from lifthinge.wire.connection import Connection

HELLO_WAIT = 1_000.0  # ms from connecting until both hellos have come
SILENT_MOST = 60_000.0  # ms without a byte from a member or client
OUTBOX_MOST = 16 << 20  # bytes that have not left; what comes beyond is not sent


class Link(Connection):
    """`opened` is called once the other side is known, `heard` with each body, `closed` at the end, once each."""

    kind = "link"
    max_unread_bytes = OUTBOX_MOST + FRAME_MOST

    def __init__(
        self,
        runtime: Runtime,
        keys: Callable[[str], Keys],
        cluster: str,
        name: str,
        role: str = "member",
        dials: str = "",
        expects: str = "",
    ) -> None:
        super().__init__(runtime, FRAME_MOST + HEAD)
        self.keys, self.cluster, self.name, self.role, self.dials = keys, cluster, name, role, dials
        self.expects = expects  # who must answer; empty: whoever holds the key
        self.hello: Hello | None = None  # ours
        self.other: Hello | None = None  # theirs
        self.opened: Callable[[Link], None] = lambda link: None
        self.heard: Callable[[Link, bytes], None] = lambda link, body: None
        self.closed: Callable[[Link], None] = lambda link: None
        self._sealer: Sealer | None = None
        self._opener: Opener | None = None
        self._deadline = None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._deadline = self.runtime.deadlines.set(HELLO_WAIT, self._late)
        if self.dials:
            self._say_hello(self.role, self.expects)

    def _late(self) -> None:
        if self._sealer is None:
            self.runtime.rate_limited_log.warning("link_no_hello", peer=self.dials or "inbound")
            self.abort()
        elif self.runtime.now - self.last_received_at > SILENT_MOST:
            self.runtime.rate_limited_log.warning("link_silent", peer=self.other.sender)
            self.abort()
        else:
            self._deadline = self.runtime.deadlines.set(SILENT_MOST / 2, self._late)

    def _say_hello(self, role: str, receiver: str) -> None:
        keys = self.keys(role)
        nonce = self.runtime.rng.randbytes(NONCE)
        self.hello = Hello(FORM, self.cluster, self.name, receiver, role, keys.signing, nonce)
        frame = sign(self.hello, keys.by_id[keys.signing])
        self.write(len(frame).to_bytes(HEAD, "big") + frame)

    def on_data(self) -> None:
        while not self.is_closed and len(self.buffer) >= HEAD:
            length = int.from_bytes(self.buffer.peek(0, HEAD), "big")
            if not MAC < length <= (FRAME_MOST if self._opener else HELLO_MOST):
                return self._refuse(f"a frame of {length} bytes")
            if len(self.buffer) < HEAD + length:
                return None
            self.buffer.take(HEAD)
            frame = self.buffer.take(length)
            if self._opener is None:
                self._meet(frame)
            else:
                body = self._opener.open(frame)
                if body is None:
                    return self._refuse("a frame that does not fit")
                self.heard(self, body)
        return None

    def _meet(self, frame: bytes) -> None:
        """The other side's hello: it must be of this cluster, meant for us, and of a role that its key is for."""
        role = self.role if self.dials else "member"
        found = read_hello(frame, self.keys(role).by_id)
        if not self.dials and isinstance(found, str):
            role = "client"
            found = read_hello(frame, self.keys(role).by_id)
        if isinstance(found, str):
            return self._refuse(found)
        if found.cluster != self.cluster:
            return self._refuse("another cluster")
        if (
            found.role != role
            or found.receiver not in (self.name, "")
            or self.expects not in (found.sender, "")
        ):
            return self._refuse("meant for another")
        self.other = found
        if not self.dials:
            self._say_hello(role, found.sender)
        first, second = (self.hello, found) if self.dials else (found, self.hello)
        talk, keys = talk_of(first, second), self.keys(role).by_id
        ours, theirs = (b"out", b"in") if self.dials else (b"in", b"out")
        if self.hello.key not in keys or found.key not in keys:
            return self._refuse("unknown key")
        self._sealer = Sealer(keys[self.hello.key], talk, ours)
        self._opener = Opener(keys[found.key], talk, theirs)
        self.opened(self)
        return None

    def _refuse(self, why: str) -> None:
        self.runtime.rate_limited_log.warning(
            "link_refused", why=why, peer=self.other.sender if self.other else "unknown"
        )
        self.abort()

    def say(self, body: bytes) -> bool:
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
        self.write(self._sealer.seal(body))
        return True

    def on_closed(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
        self.closed(self)
