"""What members of a cluster say to one another, and what they keep: the names are the paper's.

Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's dissertation
(2014): PreVote in 9.6, TimeoutNow in 3.10, ReadIndex in 6.4. Every message bears its sender's term, except that
a PreVote bears the term that its sender would campaign in.

>>> said = AppendEntries(term=3, prev_log_index=7, prev_log_term=2, entries=(Entry(8, 3, EntryKind.COMMAND, b"x"),), commit_index=6, heartbeat_round=4)
>>> decode(encode(said)) == said
True
>>> decode(encode(Configuration((Member("a", "127.0.0.1:1"), Member("b", "127.0.0.1:2", votes=False)))))
Traceback (most recent call last):
    ...
msgspec.ValidationError: Invalid value 'Roster' - at `$[0]`
"""

from enum import IntEnum
from typing import Union

import msgspec


class EntryKind(IntEnum):
    """What an entry holds."""

    NO_OP = 0  # a leader's first of its term
    COMMAND = 1  # for the state machine
    CONFIGURATION = 2  # the members from here on


class Entry(msgspec.Struct, array_like=True, frozen=True):
    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A member, where it is reached by the others, and whether it votes; one that does not is a learner."""

    name: str
    address: str
    votes: bool = True


class Configuration(msgspec.Struct, array_like=True, frozen=True, tag="Roster"):
    """Who the members are; in force from the moment its entry is in the log, committed or not."""

    members: tuple[Member, ...] = ()

    def get(self, name: str) -> Member | None:
        return next((one for one in self.members if one.name == name), None)

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(one.name for one in self.members if one.votes)

    def has_quorum(self, names: set[str]) -> bool:
        """Whether these include a majority of those who vote.

        >>> three = Configuration((Member("a", ""), Member("b", ""), Member("c", ""), Member("d", "", votes=False)))
        >>> three.has_quorum({"a", "d"}), three.has_quorum({"a", "c"}), Configuration().has_quorum({"a"})
        (False, True, False)
        """
        voters = self.voters
        return bool(voters) and sum(name in names for name in voters) * 2 > len(voters)

    def with_member(self, new: Member) -> "Configuration":
        """This roster with one member new or changed.

        >>> Configuration().with_member(Member("a", "", False)).with_member(Member("a", "")).voters
        ('a',)
        """
        return Configuration((*(one for one in self.members if one.name != new.name), new))

    def without_member(self, name: str) -> "Configuration":
        return Configuration(tuple(one for one in self.members if one.name != name))


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state after the entry `index`; `mark` (a digest of the data) tells two snapshots apart."""

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    data: bytes = b""
    digest: bytes = b""


# Between members


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag="RequestVote"):
    """`pre`: would you vote for me; `forced`: the leader itself wants this election (leader transfer)."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class RequestVoteReply(msgspec.Struct, array_like=True, frozen=True, tag="Vote"):
    """A granted pre-vote bears the term it was asked for; any other answer the sender's own."""

    term: int
    is_pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag="AppendEntries"):
    """`beat` numbers the leader's rounds, for ReadIndex and its check of quorum."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...] = ()
    commit_index: int = 0
    heartbeat_round: int = 0


class AppendEntriesReply(msgspec.Struct, array_like=True, frozen=True, tag="AppendReply"):
    """If ok, up to where the logs agree: for good (`match`), and yet to be written (`held`).

    Else, for the refused `prev_index`, the term that stands there and its first index.
    """

    term: int
    heartbeat_round: int
    success: bool
    match_index: int = 0
    received_index: int = 0
    prev_log_index: int = 0
    conflict_index: int = 0
    conflict_term: int = 0


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag="InstallSnapshot"):
    """One chunk of a snapshot of `size` bytes, from `offset`."""

    term: int
    heartbeat_round: int
    index: int
    last_term: int
    configuration: Configuration
    digest: bytes
    size: int
    offset: int
    data: bytes


class InstallSnapshotReply(msgspec.Struct, array_like=True, frozen=True, tag="SnapshotReply"):
    """From where the next chunk is wanted; `done`: nothing more is, all up to `index` is held."""

    term: int
    heartbeat_round: int
    index: int
    digest: bytes
    offset: int
    done: bool = False


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag="TimeoutNow"):
    """The receiver has all entries and shall campaign at once."""

    term: int


class ReadIndex(msgspec.Struct, array_like=True, frozen=True, tag="ReadIndex"):
    """A member asks the leader up to where it must have applied, to serve what is true now."""

    term: int
    token: int


class ReadIndexReply(msgspec.Struct, array_like=True, frozen=True, tag="ReadReply"):
    """`index` is -1 where the one asked does not lead, or can't take more reads."""

    term: int
    token: int
    index: int


Message = Union[
    RequestVote,
    RequestVoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TimeoutNow,
    ReadIndex,
    ReadIndexReply,
]

_decoder = msgspec.msgpack.Decoder(Message)
_roster_decoder = msgspec.msgpack.Decoder(Configuration)
_encoder = msgspec.msgpack.Encoder()


def encode(message: object) -> bytes:
    return _encoder.encode(message)


def decode(body: bytes) -> Message:
    """One message out of untrusted bytes; `msgspec.ValidationError` or `DecodeError` if it is none."""
    return _decoder.decode(body)


def decode_configuration(data: bytes) -> Configuration:
    return _roster_decoder.decode(data)
