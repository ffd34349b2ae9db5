"""What clients ask a member, and what they are answered: MessagePack in sealed frames, numbered by the asker."""

from typing import Union

import msgspec

from lifthinge.agreed.commands import (
    Accepted,
    InvalidProposal,
    Propose,
    SessionOpened,
    Version,
    VersionConflict,
)


class OpenSessionRequest(msgspec.Struct, array_like=True, frozen=True, tag="Begin"):
    """Opens a session, within which proposals are numbered."""

    nonce: bytes


class GetVersion(msgspec.Struct, array_like=True, frozen=True, tag="Show"):
    """The document that stands now, agreed by a majority; `version` asks for one of before."""

    version: int | None = None


class ListVersions(msgspec.Struct, array_like=True, frozen=True, tag="History"):
    """Versions from `since` on, without their bodies; as many as fit."""

    since: int = 0


class GetStatus(msgspec.Struct, array_like=True, frozen=True, tag="Status"):
    """How the member sees the cluster; answered at any time."""


class ChangeMembership(msgspec.Struct, array_like=True, frozen=True, tag="Change"):
    """Adds a member, or removes it where no address is given."""

    name: str
    address: str | None = None


class TransferLeadership(msgspec.Struct, array_like=True, frozen=True, tag="HandOver"):
    target: str


class Subscribe(msgspec.Struct, array_like=True, frozen=True, tag="Follow"):
    """A front end: the document that stands, then each that follows. `held`: term and index that it obeys."""

    held: tuple[int, int] = (0, 0)


Request = Union[
    OpenSessionRequest,
    Propose,
    GetVersion,
    ListVersions,
    GetStatus,
    ChangeMembership,
    TransferLeadership,
    Subscribe,
]


class Rejection(msgspec.Struct, array_like=True, frozen=True, tag="Sorry"):
    """Refused, at once: why, and who leads. `may_have_run`: it went to the log, and what became of it is unknown."""

    why: str
    leader: str = ""
    address: str = ""
    may_have_run: bool = False


class VersionReply(Version, array_like=True, frozen=True, tag="Shown"):
    """A version as it is told; version 0 with no body where none was ever agreed."""


class VersionList(msgspec.Struct, array_like=True, frozen=True, tag="Versions"):
    versions: tuple[VersionReply, ...]


class Done(msgspec.Struct, array_like=True, frozen=True, tag="Done"):
    """A change of members stands."""

    index: int


class MemberStatus(msgspec.Struct, array_like=True, frozen=True):
    """A member as the one asked sees it; `match` and `heard_ms` only where that one leads."""

    name: str
    address: str
    votes: bool
    match: int = -1
    heard_ms: float = -1.0


class StatusReport(msgspec.Struct, array_like=True, frozen=True, tag="Report"):
    """How a member sees the cluster."""

    name: str
    role: str
    term: int
    leader: str
    commit: int
    last: int
    snapshot: int
    version: int
    digest: bytes
    ready: bool
    in_touch: bool
    members: tuple[MemberStatus, ...]
    counters: dict[str, float]


Reply = Union[
    SessionOpened,
    Accepted,
    VersionConflict,
    InvalidProposal,
    Rejection,
    VersionReply,
    VersionList,
    Done,
    StatusReport,
]

_asks, _replies = (
    msgspec.msgpack.Decoder(tuple[int, Request]),
    msgspec.msgpack.Decoder(tuple[int, Reply]),
)
_encoder = msgspec.msgpack.Encoder()


def encode(number: int, one: Request | Reply) -> bytes:
    return _encoder.encode((number, one))


def decode_request(body: bytes) -> tuple[int, Request]:
    """An ask out of untrusted bytes; `msgspec.ValidationError` or `DecodeError` if it is none."""
    return _asks.decode(body)


def decode_reply(body: bytes) -> tuple[int, Reply]:
    return _replies.decode(body)


def version_reply(version: Version | None, body: bool = True) -> VersionReply:
    """A version as it is told.

    >>> version_reply(None).version
    0
    """
    if version is None:
        return VersionReply(0, 0, 0, 0.0, "", b"", b"")
    return VersionReply(
        version.version,
        version.term,
        version.index,
        version.proposed_at_ms,
        version.author,
        version.body if body else b"",
        version.digest,
    )
