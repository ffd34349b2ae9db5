"""Commands of the replicated log, their answers and the snapshot, in MessagePack.

Structs are encoded as arrays: the order of the fields is part of the format, their names are not.
"""

import msgspec


class OpenSession(msgspec.Struct, array_like=True, frozen=True, tag="OpenSession"):
    """Open a session of a client; its number is the index of this entry."""

    nonce: bytes


class Propose(msgspec.Struct, array_like=True, frozen=True, tag="Propose"):
    """Replace the document of version `base_version`.

    A proposal that is sent again under the same number takes effect once.
    """

    session: int
    number: int  # of the proposal within its session, ascending
    base_version: int
    proposed_at_ms: float  # Unix time by the clock of the proposer
    author: str
    body: bytes  # the document in MessagePack


class SessionOpened(msgspec.Struct, array_like=True, frozen=True, tag="Opened"):
    """The session is open under this number."""

    session: int


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="Accepted"):
    """The document is now this version; `term` and `index` order it among all versions."""

    version: int
    term: int
    index: int


class VersionConflict(msgspec.Struct, array_like=True, frozen=True, tag="Outdated"):
    """Compare-and-set failed: the current version is this one, not the proposal's base version."""

    version: int


class InvalidProposal(msgspec.Struct, array_like=True, frozen=True, tag="Unusable"):
    """The proposal had no effect: unknown session, number below the last one, or a bad document.

    Answers are kept in snapshots, which must be equal at all members; so their texts do not change.
    """

    why: str


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One version of the document, with a digest of all versions up to it."""

    version: int
    term: int
    index: int
    proposed_at_ms: float  # Unix time by the clock of the proposer
    author: str
    body: bytes  # the document in MessagePack
    digest: bytes


Command = OpenSession | Propose
Answer = SessionOpened | Accepted | VersionConflict | InvalidProposal


class SessionState(msgspec.Struct, array_like=True):
    """The last proposal of a session, so that one that is sent again gets the same answer."""

    number: int  # of the last proposal; 0: none so far
    answer: Answer | None  # to the last proposal
    last_used_index: int  # index of the entry that last used the session


class SnapshotContent(msgspec.Struct, array_like=True):
    """The content of a snapshot: the whole state after the entry of `index` and `term`."""

    format_version: int
    index: int
    term: int
    versions: list[Version]
    sessions: dict[int, SessionState]


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_snapshot_decoder = msgspec.msgpack.Decoder(SnapshotContent)


def encode(message: object) -> bytes:
    """Encode a command or the content of a snapshot."""
    return _encoder.encode(message)


def decode_command(data: bytes) -> Command:
    """Decode a command; raise msgspec.DecodeError or msgspec.ValidationError if it is none."""
    return _command_decoder.decode(data)


def decode_snapshot(data: bytes) -> SnapshotContent:
    """Decode a snapshot; raise msgspec.DecodeError or msgspec.ValidationError if it is none."""
    return _snapshot_decoder.decode(data)
