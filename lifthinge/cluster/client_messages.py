"""Requests of clients to a member, and the replies.

They are MessagePack in authenticated frames. Each is sent as a pair with a number, which the client
chooses and the reply repeats. Tags and the order of the fields are the wire format.
"""

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
    """Opens a session, within which proposals are numbered.

    `nonce` is a random number of the client.
    """

    nonce: bytes


class GetVersion(msgspec.Struct, array_like=True, frozen=True, tag="Show"):
    """Asks for the latest agreed document, confirmed by a majority, or for an earlier `version`."""

    version: int | None = None


class ListVersions(msgspec.Struct, array_like=True, frozen=True, tag="History"):
    """Asks for the versions from `since` on, without bodies; the reply holds at most one page."""

    since: int = 0


class GetStatus(msgspec.Struct, array_like=True, frozen=True, tag="Status"):
    """Asks how the member sees the cluster; answered at any time, without a majority."""


class ChangeMembership(msgspec.Struct, array_like=True, frozen=True, tag="Change"):
    """Adds a member, or removes it if `address` is None."""

    name: str
    address: str | None = None


class TransferLeadership(msgspec.Struct, array_like=True, frozen=True, tag="HandOver"):
    """Asks the leader to transfer its leadership to the member `target`."""

    target: str


class Subscribe(msgspec.Struct, array_like=True, frozen=True, tag="Follow"):
    """Asks for the latest document and for each later one, as they are agreed.

    `held` is the term and log index of the document that the subscriber holds.
    """

    held: tuple[int, int] = (0, 0)


Request = (
    OpenSessionRequest
    | Propose
    | GetVersion
    | ListVersions
    | GetStatus
    | ChangeMembership
    | TransferLeadership
    | Subscribe
)


class Rejection(msgspec.Struct, array_like=True, frozen=True, tag="Sorry"):
    """A request was refused or got no result.

    `why` is the reason; `leader` and `address` name the leader, if known. With `may_have_run` the
    request was appended to the log and its outcome is unknown.
    """

    why: str
    leader: str = ""
    address: str = ""
    may_have_run: bool = False


class VersionReply(Version, array_like=True, frozen=True, tag="Shown"):
    """A version of the document; version 0 without a body if none was ever agreed."""


class VersionList(msgspec.Struct, array_like=True, frozen=True, tag="Versions"):
    """The reply to `ListVersions`: versions without bodies, oldest first."""

    versions: tuple[VersionReply, ...]


class Done(msgspec.Struct, array_like=True, frozen=True, tag="Done"):
    """A change of members or an entry without a result of its own took effect at log `index`."""

    index: int


class MemberStatus(msgspec.Struct, array_like=True, frozen=True):
    """A member as the reporting member sees it.

    `match` is the highest log index known to be replicated to it, `heard_ms` the milliseconds since
    it was last heard from; both are -1 unless the reporting member leads.
    """

    name: str
    address: str
    votes: bool
    match: int = -1
    heard_ms: float = -1.0


class StatusReport(msgspec.Struct, array_like=True, frozen=True, tag="Report"):
    """How a member sees itself and the cluster.

    `commit`, `last` and `snapshot` are log indexes; `digest` is that of the agreed state.
    """

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


Reply = (
    SessionOpened
    | Accepted
    | VersionConflict
    | InvalidProposal
    | Rejection
    | VersionReply
    | VersionList
    | Done
    | StatusReport
)

_request_decoder = msgspec.msgpack.Decoder(tuple[int, Request])
_reply_decoder = msgspec.msgpack.Decoder(tuple[int, Reply])
_encoder = msgspec.msgpack.Encoder()


def encode(number: int, message: Request | Reply) -> bytes:
    """Encode a request or a reply with the request's number."""
    return _encoder.encode((number, message))


def decode_request(body: bytes) -> tuple[int, Request]:
    """Decode untrusted bytes into a request's number and the request.

    Raises:
        msgspec.ValidationError, msgspec.DecodeError: the bytes are not a request.
    """
    return _request_decoder.decode(body)


def decode_reply(body: bytes) -> tuple[int, Reply]:
    """Decode the number of a request and the reply to it; raises as `decode_request` does."""
    return _reply_decoder.decode(body)


def version_reply(version: Version | None, include_body: bool = True) -> VersionReply:
    """Convert a version, or None for no document, into a reply.

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
        version.body if include_body else b"",
        version.digest,
    )
