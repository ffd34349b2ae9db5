"""The agreed state: what every member holds after the same entries, to the byte.

>>> state = DocumentStateMachine()
>>> state.apply(1, 1, encode(OpenSession(b"n")))
SessionOpened(session=1)
>>> body = msgspec.msgpack.encode({"zones": [{"name": "a", "share": 0.5}]})
>>> state.apply(2, 1, encode(Propose(1, 1, 0, 10.0, "op", body)))
Accepted(version=1, term=1, index=2)
>>> state.apply(3, 1, encode(Propose(1, 1, 0, 10.0, "op", body)))     # sent again: the same answer, no effect
Accepted(version=1, term=1, index=2)
>>> state.apply(4, 1, encode(Propose(1, 2, 0, 10.0, "op", body)))
VersionConflict(version=1)
>>> state.apply(5, 1, encode(Propose(9, 1, 1, 10.0, "op", body)))
InvalidProposal(why='unknown session')
>>> again = DocumentStateMachine(); again.restore(state.export()); again.export() == state.export(), again.version
(True, 1)
"""

import msgspec
from blake3 import blake3

from lifthinge.agreed.commands import (
    Accepted,
    Answer,
    InvalidProposal,
    OpenSession,
    Propose,
    SessionOpened,
    SessionState,
    SnapshotContent,
    Version,
    VersionConflict,
    decode_command,
    decode_snapshot,
    encode,
)

FORM = 1
SESSIONS_MOST = 4_096
HISTORY_MOST, HISTORY_BYTES = 1_000, 8 << 20  # versions kept; the digest goes back to the first
MAX_BODY_BYTES = 1 << 20


class DocumentStateMachine:
    """Applies entries in their order; nothing here depends on a clock, on chance or on the order of a set."""

    def __init__(self) -> None:
        self.index = self.term = 0
        self.versions: list[Version] = []
        self.sessions: dict[int, SessionState] = {}
        self._bytes = 0

    @property
    def latest(self) -> Version | None:
        return self.versions[-1] if self.versions else None

    @property
    def version(self) -> int:
        return self.versions[-1].version if self.versions else 0

    @property
    def digest(self) -> bytes:
        """Of the whole history, trimmed or not."""
        return self.versions[-1].digest if self.versions else b""

    def skip(self, index: int, term: int) -> None:
        """An entry that is not for this state."""
        self.index, self.term = index, term

    def apply(self, index: int, term: int, data: bytes) -> Answer:
        """Takes in one committed command."""
        assert index == self.index + 1, "an entry is missing or comes twice"
        self.index, self.term = index, term
        try:
            command = decode_command(data)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            return InvalidProposal(str(error))
        if type(command) is OpenSession:
            return self._open(index)
        session = self.sessions.get(command.session)
        if session is None:
            return InvalidProposal("unknown session")
        if command.number < session.number:
            return InvalidProposal("a later proposal of this session was answered")
        if command.number == session.number:
            return session.answer
        answer = self._propose(command)
        session.number, session.answer, session.last_used_index = command.number, answer, index
        return answer

    def _open(self, index: int) -> SessionOpened:
        if len(self.sessions) >= SESSIONS_MOST:  # the one unused for longest: alike at every member
            del self.sessions[
                min(
                    self.sessions,
                    key=lambda number: (self.sessions[number].last_used_index, number),
                )
            ]
        self.sessions[index] = SessionState(0, None, index)
        return SessionOpened(index)

    def _propose(self, command: Propose) -> Answer:
        if command.base_version != self.version:
            return VersionConflict(self.version)
        if len(command.body) > MAX_BODY_BYTES:
            return InvalidProposal("the document is too large")
        head = msgspec.msgpack.encode((self.version + 1, self.term, self.index, command.author))
        digest = blake3(self.digest + head + command.body).digest()
        new = Version(
            self.version + 1,
            self.term,
            self.index,
            command.proposed_at_ms,
            command.author,
            command.body,
            digest,
        )
        self._keep(new)
        return Accepted(new.version, new.term, new.index)

    def _keep(self, new: Version) -> None:
        self.versions.append(new)
        self._bytes += len(new.body)
        while (
            len(self.versions) > HISTORY_MOST
            or self._bytes > HISTORY_BYTES
            and len(self.versions) > 1
        ):
            self._bytes -= len(self.versions.pop(0).body)

    def export(self) -> bytes:
        """All of it, for a snapshot."""
        return encode(SnapshotContent(FORM, self.index, self.term, self.versions, self.sessions))

    def restore(self, data: bytes) -> None:
        """Takes all of it from a snapshot; `msgspec.ValidationError` if it is none of this form."""
        state = decode_snapshot(data)
        if state.format_version != FORM:
            raise msgspec.ValidationError(f"a snapshot of form {state.format_version}")
        self.index, self.term, self.versions, self.sessions = (
            state.index,
            state.term,
            state.versions,
            state.sessions,
        )
        self._bytes = sum(len(one.body) for one in self.versions)


class Fence:
    """What a front end obeys: configurations by (term, index), never an earlier one again.

    >>> fence = Fence(); fence.admit(2, 7), fence.admit(2, 7), fence.admit(1, 9), fence.admit(3, 8)
    (True, True, False, True)
    """

    def __init__(self) -> None:
        self.latest_admitted = (0, 0)

    def admit(self, term: int, index: int) -> bool:
        """Whether this configuration may be obeyed; it is then the one held."""
        if (term, index) < self.latest_admitted:
            return False
        self.latest_admitted = term, index
        return True
