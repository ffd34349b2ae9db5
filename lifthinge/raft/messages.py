"""The Raft messages between members of a cluster, and the records that members store.

Names follow Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
Ongaro's dissertation (2014): PreVote in 9.6, TimeoutNow in 3.10, ReadIndex in 6.4. Every message
bears its sender's term; only a PreVote bears the term in which its sender would campaign.

>>> entries = (Entry(8, 3, EntryKind.COMMAND, b"x"),)
>>> request = AppendEntries(
...     term=3,
...     prev_log_index=7,
...     prev_log_term=2,
...     entries=entries,
...     commit_index=6,
...     heartbeat_round=4,
... )
>>> decode(encode(request)) == request
True
>>> members = Member("a", "127.0.0.1:1"), Member("b", "127.0.0.1:2", votes=False)
>>> decode(encode(Configuration(members)))
Traceback (most recent call last):
    ...
msgspec.ValidationError: Invalid value 'Roster' - at `$[0]`
"""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """The kind of a log entry, which tells how its data is read."""

    NO_OP = 0  # no data; the first entry of each leader's term
    COMMAND = 1  # a command for the state machine
    CONFIGURATION = 2  # an encoded `Configuration`, in force from this entry on


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A member of the cluster and the address at which other members reach it.

    A member that does not vote is a learner (4.2.1).
    """

    name: str
    address: str
    votes: bool = True


class Configuration(msgspec.Struct, array_like=True, frozen=True, tag="Roster"):
    """The members of the cluster.

    A member uses the latest configuration in its log, committed or not (4.1).
    """

    members: tuple[Member, ...] = ()

    def get(self, name: str) -> Member | None:
        """Return the member of this name, or None if there is none."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def voters(self) -> tuple[str, ...]:
        """The names of the members that vote."""
        return tuple(member.name for member in self.members if member.votes)

    def has_quorum(self, names: set[str]) -> bool:
        """Whether `names` include a majority of the voters; never if there are no voters.

        >>> learner = Member("d", "", votes=False)
        >>> three = Configuration((Member("a", ""), Member("b", ""), Member("c", ""), learner))
        >>> three.has_quorum({"a", "d"}), three.has_quorum({"a", "c"})
        (False, True)
        >>> Configuration().has_quorum({"a"})
        False
        """
        voters = self.voters
        return bool(voters) and sum(name in names for name in voters) * 2 > len(voters)

    def with_member(self, new_member: Member) -> "Configuration":
        """Return a copy in which `new_member` is added, or replaces the member of its name.

        >>> Configuration().with_member(Member("a", "", False)).with_member(Member("a", "")).voters
        ('a',)
        """
        return Configuration(
            (*(member for member in self.members if member.name != new_member.name), new_member)
        )

    def without_member(self, name: str) -> "Configuration":
        """Return a copy without the member of this name."""
        return Configuration(tuple(member for member in self.members if member.name != name))


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine's state and the configuration after the entry at `index` (5.1).

    `digest`, of the data, tells two snapshots of one index apart.
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    data: bytes = b""
    digest: bytes = b""


# Messages between members.


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag="RequestVote"):
    """A request for a vote, or for a pre-vote, which only asks whether a vote would be granted.

    `is_leadership_transfer`: the leader itself wants this election (3.10), so the receiver does not
    refuse because it hears from a leader (4.2.3).
    """

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class RequestVoteReply(msgspec.Struct, array_like=True, frozen=True, tag="Vote"):
    """The reply to RequestVote.

    A granted pre-vote bears the term it was asked for; any other reply bears the sender's term.
    """

    term: int
    is_pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag="AppendEntries"):
    """Entries to append, or a heartbeat if there are none.

    `heartbeat_round` numbers the leader's heartbeat rounds; replies repeat it, so that the leader
    can confirm its leadership for ReadIndex (6.4).
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...] = ()
    commit_index: int = 0
    heartbeat_round: int = 0


class AppendEntriesReply(msgspec.Struct, array_like=True, frozen=True, tag="AppendReply"):
    """The reply to AppendEntries.

    On success, the logs match up to `received_index`, durably up to `match_index`. On failure,
    `conflict_term` is the term of the receiver's entry at the rejected `prev_log_index` and
    `conflict_index` its first index of that term; if it has no entry there, the term is 0 and the
    index is the one after its last entry (3.5). A request of an outdated term gets 0 for both.
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
    """A chunk of a snapshot of `size` bytes, from the byte `offset` on (5.3)."""

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
    """The reply to InstallSnapshot: the byte offset at which the next chunk shall begin.

    `done`: no more chunks are needed, as the receiver holds everything up to `index`.
    """

    term: int
    heartbeat_round: int
    index: int
    digest: bytes
    offset: int
    done: bool = False


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag="TimeoutNow"):
    """A leader's order to the target of a leadership transfer to campaign at once (3.10)."""

    term: int


class ReadIndex(msgspec.Struct, array_like=True, frozen=True, tag="ReadIndex"):
    """A follower's request for the index that it must have applied to serve a read (6.4)."""

    term: int
    token: int


class ReadIndexReply(msgspec.Struct, array_like=True, frozen=True, tag="ReadReply"):
    """The reply to ReadIndex.

    `index` is -1 if the receiver of the request does not lead, stopped leading, or is at its limit
    of pending reads.
    """

    term: int
    token: int
    index: int


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
    | ReadIndex
    | ReadIndexReply
)

_decoder = msgspec.msgpack.Decoder(Message)
_configuration_decoder = msgspec.msgpack.Decoder(Configuration)
_encoder = msgspec.msgpack.Encoder()


def encode(message: object) -> bytes:
    """Encode a message or a stored record as MessagePack."""
    return _encoder.encode(message)


def decode(body: bytes) -> Message:
    """Decode one message from untrusted bytes.

    Raise `msgspec.DecodeError`, or its subclass `ValidationError`, if they hold no message.
    """
    return _decoder.decode(body)


def decode_configuration(data: bytes) -> Configuration:
    """Decode the data of a configuration entry."""
    return _configuration_decoder.decode(data)
