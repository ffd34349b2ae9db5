"""What clients ask a member, and what they are answered: MessagePack in sealed frames, numbered by the asker."""

from typing import Union

import msgspec

from lifthinge.agreed.commands import Accepted, Opened, Outdated, Propose, Unusable, Version


class Begin(msgspec.Struct, array_like=True, frozen=True, tag="Begin"):
    """Opens a session, within which proposals are numbered."""

    nonce: bytes


class Show(msgspec.Struct, array_like=True, frozen=True, tag="Show"):
    """The document that stands now, agreed by a majority; `version` asks for one of before."""

    version: int | None = None


class History(msgspec.Struct, array_like=True, frozen=True, tag="History"):
    """Versions from `since` on, without their bodies; as many as fit."""

    since: int = 0


class Status(msgspec.Struct, array_like=True, frozen=True, tag="Status"):
    """How the member sees the cluster; answered at any time."""


class Change(msgspec.Struct, array_like=True, frozen=True, tag="Change"):
    """Adds a member, or removes it where no address is given."""

    name: str
    address: str | None = None


class HandOver(msgspec.Struct, array_like=True, frozen=True, tag="HandOver"):
    target: str


class Follow(msgspec.Struct, array_like=True, frozen=True, tag="Follow"):
    """A front end: the document that stands, then each that follows. `held`: term and index that it obeys."""

    held: tuple[int, int] = (0, 0)


Ask = Union[Begin, Propose, Show, History, Status, Change, HandOver, Follow]


class Sorry(msgspec.Struct, array_like=True, frozen=True, tag="Sorry"):
    """Refused, at once: why, and who leads. `may_have_run`: it went to the log, and what became of it is unknown."""

    why: str
    leader: str = ""
    address: str = ""
    may_have_run: bool = False


class Shown(Version, array_like=True, frozen=True, tag="Shown"):
    """A version as it is told; version 0 with no body where none was ever agreed."""


class Versions(msgspec.Struct, array_like=True, frozen=True, tag="Versions"):
    versions: tuple[Shown, ...]


class Done(msgspec.Struct, array_like=True, frozen=True, tag="Done"):
    """A change of members stands."""

    index: int


class MemberView(msgspec.Struct, array_like=True, frozen=True):
    """A member as the one asked sees it; `match` and `heard_ms` only where that one leads."""

    name: str
    address: str
    votes: bool
    match: int = -1
    heard_ms: float = -1.0


class Report(msgspec.Struct, array_like=True, frozen=True, tag="Report"):
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
    members: tuple[MemberView, ...]
    counters: dict[str, float]


Reply = Union[Opened, Accepted, Outdated, Unusable, Sorry, Shown, Versions, Done, Report]

_asks, _replies = (
    msgspec.msgpack.Decoder(tuple[int, Ask]),
    msgspec.msgpack.Decoder(tuple[int, Reply]),
)
_encoder = msgspec.msgpack.Encoder()


def pack(number: int, one: Ask | Reply) -> bytes:
    return _encoder.encode((number, one))


def read_ask(body: bytes) -> tuple[int, Ask]:
    """An ask out of untrusted bytes; `msgspec.ValidationError` or `DecodeError` if it is none."""
    return _asks.decode(body)


def read_reply(body: bytes) -> tuple[int, Reply]:
    return _replies.decode(body)


def shown(version: Version | None, body: bool = True) -> Shown:
    """A version as it is told.

    >>> shown(None).version
    0
    """
    if version is None:
        return Shown(0, 0, 0, 0.0, "", b"", b"")
    return Shown(
        version.version,
        version.term,
        version.index,
        version.at,
        version.author,
        version.body if body else b"",
        version.digest,
    )
