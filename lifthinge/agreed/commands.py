"""What is proposed to the members, and what becomes of it: MessagePack by msgspec."""

from typing import Union

import msgspec


class OpenSession(msgspec.Struct, array_like=True, frozen=True, tag="OpenSession"):
    """A client begins; its number is the index of this entry."""

    nonce: bytes


class Propose(msgspec.Struct, array_like=True, frozen=True, tag="Propose"):
    """A document in place of version `on`; sent again under the same number it takes effect once."""

    session: int
    number: int
    base_version: int
    proposed_at_ms: float  # ms of Unix time, as the proposer has it
    author: str
    body: bytes  # of the document, packed


class SessionOpened(msgspec.Struct, array_like=True, frozen=True, tag="Opened"):
    session: int


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="Accepted"):
    """The document stands as this version; `term` and `index` order it among all that ever stood."""

    version: int
    term: int
    index: int


class VersionConflict(msgspec.Struct, array_like=True, frozen=True, tag="Outdated"):
    """The change was made on another version than the one that stands: compare and set failed."""

    version: int


class InvalidProposal(msgspec.Struct, array_like=True, frozen=True, tag="Unusable"):
    """The session is unknown or long past this number, or the document can't be used; nothing took effect."""

    why: str


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One version of the document, and the digest of all versions up to it."""

    version: int
    term: int
    index: int
    proposed_at_ms: float
    author: str
    body: bytes
    digest: bytes


Command = Union[OpenSession, Propose]
Answer = Union[SessionOpened, Accepted, VersionConflict, InvalidProposal]


class SessionState(msgspec.Struct, array_like=True):
    """A client's last proposal, its answer, and the entry that last used the session."""

    number: int
    answer: Answer | None
    last_used_index: int


class SnapshotContent(msgspec.Struct, array_like=True):
    """All of the agreed state, as a snapshot holds it."""

    format_version: int
    index: int
    term: int
    versions: list[Version]
    sessions: dict[int, SessionState]


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_state_decoder = msgspec.msgpack.Decoder(SnapshotContent)


def encode(one: object) -> bytes:
    return _encoder.encode(one)


def decode_command(data: bytes) -> Command:
    return _command_decoder.decode(data)


def decode_snapshot(data: bytes) -> SnapshotContent:
    return _state_decoder.decode(data)
