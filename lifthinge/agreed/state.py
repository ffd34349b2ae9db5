"""The replicated state machine: equal to the byte at all members after the same log entries.

>>> state = DocumentStateMachine()
>>> state.apply(1, 1, encode(OpenSession(b"n")))
SessionOpened(session=1)
>>> body = msgspec.msgpack.encode({"zones": [{"name": "a", "share": 0.5}]})
>>> state.apply(2, 1, encode(Propose(1, 1, 0, 10.0, "op", body)))
Accepted(version=1, term=1, index=2)
>>> state.apply(3, 1, encode(Propose(1, 1, 0, 10.0, "op", body)))  # sent again: no effect
Accepted(version=1, term=1, index=2)
>>> state.apply(4, 1, encode(Propose(1, 2, 0, 10.0, "op", body)))
VersionConflict(version=1)
>>> state.apply(5, 1, encode(Propose(9, 1, 1, 10.0, "op", body)))
InvalidProposal(why='unknown session')
>>> restored = DocumentStateMachine()
>>> restored.restore(state.export())
>>> restored.export() == state.export(), restored.version
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

SNAPSHOT_FORMAT_VERSION = 1
MAX_SESSIONS = 4_096
# Limits of the versions that are kept; their digest covers dropped versions, too.
MAX_HISTORY_VERSIONS = 1_000
MAX_HISTORY_BYTES = 8 << 20  # of the bodies; the latest version is kept even if it is larger
MAX_BODY_BYTES = 1 << 20  # of one document in MessagePack


class DocumentStateMachine:
    """Applies log entries in their order.

    The state must not depend on a clock, on random numbers or on the order of a set, as it has to
    be equal at all members. `index` and `term` are those of the last entry.
    """

    def __init__(self) -> None:
        self.index = 0
        self.term = 0
        self.versions: list[Version] = []
        self.sessions: dict[int, SessionState] = {}
        self._history_bytes = 0  # of the bodies of `versions`

    @property
    def latest(self) -> Version | None:
        """The current version; None if no document was accepted yet."""
        return self.versions[-1] if self.versions else None

    @property
    def version(self) -> int:
        """The number of the current version; 0 if no document was accepted yet."""
        return self.versions[-1].version if self.versions else 0

    @property
    def digest(self) -> bytes:
        """The digest of all versions since the first, also of those that are no longer kept."""
        return self.versions[-1].digest if self.versions else b""

    def skip(self, index: int, term: int) -> None:
        """Record that the log has an entry that does not change this state."""
        self.index, self.term = index, term

    def apply(self, index: int, term: int, data: bytes) -> Answer:
        """Apply a committed command and return its answer."""
        assert index == self.index + 1, "an entry is missing or comes twice"
        self.index, self.term = index, term
        try:
            command = decode_command(data)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            return InvalidProposal(str(error))
        if type(command) is OpenSession:
            return self._open_session(index)
        session = self.sessions.get(command.session)
        if session is None:
            return InvalidProposal("unknown session")
        if command.number < session.number:
            return InvalidProposal("a later proposal of this session was answered")
        if command.number == session.number:
            return session.answer
        answer = self._apply_proposal(command)
        session.number, session.answer, session.last_used_index = command.number, answer, index
        return answer

    def _open_session(self, index: int) -> SessionOpened:
        if len(self.sessions) >= MAX_SESSIONS:
            # Drop the least recently used; by entry index, so that all members drop the same one.
            del self.sessions[
                min(
                    self.sessions,
                    key=lambda session: (self.sessions[session].last_used_index, session),
                )
            ]
        self.sessions[index] = SessionState(0, None, index)
        return SessionOpened(index)

    def _apply_proposal(self, command: Propose) -> Answer:
        if command.base_version != self.version:
            return VersionConflict(self.version)
        if len(command.body) > MAX_BODY_BYTES:
            return InvalidProposal("the document is too large")
        header = msgspec.msgpack.encode((self.version + 1, self.term, self.index, command.author))
        digest = blake3(self.digest + header + command.body).digest()
        version = Version(
            self.version + 1,
            self.term,
            self.index,
            command.proposed_at_ms,
            command.author,
            command.body,
            digest,
        )
        self._append_version(version)
        return Accepted(version.version, version.term, version.index)

    def _append_version(self, version: Version) -> None:
        self.versions.append(version)
        self._history_bytes += len(version.body)
        while (
            len(self.versions) > MAX_HISTORY_VERSIONS
            or self._history_bytes > MAX_HISTORY_BYTES
            and len(self.versions) > 1
        ):
            self._history_bytes -= len(self.versions.pop(0).body)

    def export(self) -> bytes:
        """Return the whole state as the data of a snapshot."""
        return encode(
            SnapshotContent(
                SNAPSHOT_FORMAT_VERSION, self.index, self.term, self.versions, self.sessions
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raise msgspec.DecodeError or msgspec.ValidationError if it is not a snapshot of this format.
        """
        state = decode_snapshot(data)
        if state.format_version != SNAPSHOT_FORMAT_VERSION:
            raise msgspec.ValidationError(
                f"snapshot format {state.format_version}, expected {SNAPSHOT_FORMAT_VERSION}"
            )
        self.index = state.index
        self.term = state.term
        self.versions = state.versions
        self.sessions = state.sessions
        self._history_bytes = sum(len(version.body) for version in self.versions)


class Fence:
    """Keeps a front end from going back to an earlier configuration, as ordered by (term, index).

    >>> fence = Fence()
    >>> fence.admit(2, 7), fence.admit(2, 7), fence.admit(1, 9), fence.admit(3, 8)
    (True, True, False, True)
    """

    def __init__(self) -> None:
        self.latest_admitted = (0, 0)  # term and index

    def admit(self, term: int, index: int) -> bool:
        """Return whether a configuration may be used; if so, earlier ones may not from now on."""
        if (term, index) < self.latest_admitted:
            return False
        self.latest_admitted = term, index
        return True
