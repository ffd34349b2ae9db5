"""The Raft state machine of one member, without I/O: a driver owns the disk, network and clock.

The driver passes in received messages (`step`), the time (`tick`, no later than `next_tick_at`)
and client requests (`propose`, `read`, `change_membership`, `transfer_leadership`). It then takes
the resulting work (`take_output`): messages to send now, writes to make durable in order, and
entries to apply. It reports durable writes by `record_durable`; messages that depend on a write
are held back until then. Nothing here reads a clock, a file or the network. Times are float
milliseconds.

The protocol follows Ongaro and Ousterhout (2014), figure 2, with these extensions of Ongaro's
dissertation (2014): PreVote (9.6), a leader that steps down without a quorum (6.2), leadership
transfer (3.10), ReadIndex (6.4) and single-server membership changes (4.1). The methods
`_can_commit`, `_is_log_up_to_date`, `_first_conflict`, `_change_blocked`, `_save_vote` and
`_is_round_confirmed` each hold one rule that safety depends on.

>>> from random import Random
>>> saved = PersistentState(configuration=Configuration((Member("a", "127.0.0.1:1"),)))
>>> alone = Raft("a", Random(7), 0.0, saved)
>>> alone.tick(alone.next_tick_at); out = alone.take_output()
>>> out.writes[-1].term, out.writes[-1].voted_for, alone.role.name
(1, 'a', 'CANDIDATE')
>>> alone.record_durable(out.writes[-1].number); alone.role.name, alone.propose(b"x", 500.0)
('LEADER', 2)
>>> out = alone.take_output(); [one.index for one in out.writes[-1].entries], out.to_apply
([1, 2], [])
>>> alone.record_durable(out.writes[-1].number); [one.data for one in alone.take_output().to_apply]
[b'', b'x']
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random

from blake3 import blake3

from lifthinge.raft.log import ENTRY_OVERHEAD_BYTES, UNLIMITED_BYTES, Log
from lifthinge.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Configuration,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    Member,
    Message,
    ReadIndex,
    ReadIndexReply,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
    encode,
)
from lifthinge.raft.progress import Progress, ReplicationMode

NEVER = float("inf")  # as a time in ms
# Fraction of the election timeout after which unanswered messages count as lost.
LOSS_TIMEOUT_FRACTION = 0.5
# Entries before the snapshot are retained, so that a slightly lagging follower needs no snapshot.
MAX_RETAINED_ENTRIES = 5_000
MAX_RETAINED_BYTES = 4 << 20
MAX_SNAPSHOT_BYTES = 64 << 20  # a follower ignores a larger snapshot


class Role(Enum):
    """The state of a server (figure 2), with the pre-vote phase before a candidacy (9.6)."""

    FOLLOWER = auto()
    PRE_CANDIDATE = auto()
    CANDIDATE = auto()
    LEADER = auto()


class RefusalReason(Enum):
    """The reason why a request was refused; clients see the values."""

    NOT_LEADER = "not_leader"
    BUSY = "busy"  # a limit on pending work is reached
    TOO_LARGE = "too_large"  # the entry exceeds `max_entry_bytes`
    NOT_READY = "not_ready"  # the leader has not yet committed an entry of its term
    CHANGING = "changing"  # a membership change or leadership transfer is in progress
    UNKNOWN_MEMBER = "unknown_member"  # no such member to remove, or no such voter to transfer to
    KNOWN_MEMBER = "known_member"  # the member to add is already one
    LAST_VOTER = "last_voter"  # its removal would leave no voter


@dataclass(frozen=True, slots=True)
class Refusal:
    """The immediate refusal of a request, with the leader if it is known."""

    why: RefusalReason
    leader: str | None = None


@dataclass(frozen=True)
class RaftOptions:
    """The timing (ms) and the limits of the protocol."""

    # The minimum; each timeout is drawn at random between this and twice this.
    election_timeout_ms: float = 1_000.0
    heartbeat_interval_ms: float = 100.0  # between the heartbeat rounds of a leader
    max_append_bytes: int = 256 << 10  # entries in one AppendEntries
    max_chunk_bytes: int = 256 << 10  # snapshot data in one InstallSnapshot
    max_pending_entries: int = 4_096  # proposed but not committed
    max_pending_bytes: int = 8 << 20  # of the entries proposed but not committed
    max_entry_bytes: int = 1 << 20  # data of one proposed entry
    max_pending_reads: int = 4_096  # reads waiting for a heartbeat round or the leader's answer


@dataclass(frozen=True)
class PersistentState:
    """The state that a member recovers from its disk at startup.

    `configuration` is the initial one, in force if there is no snapshot; it is given to the first
    members of a new cluster.
    """

    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    configuration: Configuration = Configuration()


@dataclass(slots=True)
class Write:
    """One change of the persistent state, to be made durable after all earlier writes.

    It applies in this order: term and vote, truncation, the entries that the snapshot covers,
    snapshot, the other entries.
    """

    number: int
    term: int
    voted_for: str | None
    has_vote: bool = False  # whether the term or the vote changed
    snapshot: Snapshot | None = None
    truncate_from: int | None = None  # first index of the stored entries to delete
    entries: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class Output:
    """The work that the protocol hands to its driver."""

    messages: list[tuple[str, Message]] = field(default_factory=list)  # receiver, message
    writes: list[Write] = field(default_factory=list)
    to_apply: list[Entry | Snapshot] = field(default_factory=list)
    # Token of a read, and the index that must be applied before it is served; -1 if it failed.
    read_results: list[tuple[object, int]] = field(default_factory=list)


@dataclass(slots=True)
class _PendingRead:
    """A read that waits until a heartbeat round confirms the leader (6.4).

    `index` is the index that must be applied before the read is served.
    """

    token: object
    index: int
    heartbeat_round: int


def snapshot_digest(data: bytes) -> bytes:
    """Return the 16-byte digest that identifies the data of a snapshot."""
    return blake3(data).digest(length=16)


class Raft:
    """The protocol state of one member, started at the time `now` (ms) from its `saved` state.

    `rng` draws election timeouts and the numbers of forwarded reads.
    """

    def __init__(
        self,
        name: str,
        rng: Random,
        now: float,
        saved: PersistentState,
        options: RaftOptions = RaftOptions(),
    ) -> None:
        self.name = name
        self.rng = rng
        self.options = options
        self.now = now
        self.term = saved.term
        self.voted_for = saved.voted_for
        initial_snapshot = (
            saved.snapshot if saved.snapshot.index else Snapshot(0, 0, saved.configuration)
        )
        self.log = Log(initial_snapshot, saved.entries)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.leader_heard_at = float("-inf")  # time of the last message from the leader
        self.commit_index = self.log.snapshot.index
        self.last_applied = self.commit_index  # committed entries go to the driver at once
        self.durable_index = self.log.last_index
        self.durable_term = saved.term
        # Last index up to which the log matches the current leader's, durable or not.
        self.leader_match_index = 0
        self.election_due_at = now + self._random_election_timeout()
        self.votes: dict[str, bool] = {}  # replies to this candidate, by voter
        self.progress: dict[str, Progress] = {}  # of the other members, while this one leads
        self.heartbeat_round = 0  # number of the latest round begun
        self.next_heartbeat_at = NEVER
        self.term_start_index = 0  # index of the leader's first entry of its term
        self.pending_entries = 0  # proposed but not committed
        self.pending_bytes = 0  # of the pending entries
        self.pending_reads: deque[_PendingRead] = deque()
        self.is_heartbeat_wanted = False  # whether reads wait for a round that has not begun
        # Tokens of the reads forwarded to the leader, by the number sent there.
        self.forwarded_reads: dict[int, object] = {}
        self.transfer: tuple[str, float] | None = None  # target of a transfer and its deadline
        # First chunk of the snapshot being received, and the data received so far.
        self.partial_snapshot: tuple[InstallSnapshot, bytearray] | None = None
        self.elections = 0  # elections begun, pre-votes not counted
        self.stepped_down = 0  # times that leadership was given up
        self._output = Output()
        self._current_write: Write | None = None  # collects changes until they are handed out
        self._last_write_number = 0
        self._durable_write_number = 0
        # Writes not yet durable: number, last log index then, term of that entry, current term.
        self._writes_in_flight: deque[tuple[int, int, int, int]] = deque()
        # Messages to send once a write is durable: number of the write, receiver, message.
        self._held_messages: deque[tuple[int, str, Message]] = deque()
        if initial_snapshot.index:
            self._output.to_apply.append(initial_snapshot)

    # Interface for the driver.

    @property
    def next_tick_at(self) -> float:
        """The time (ms) by which `tick` must be called."""
        if self.role is Role.LEADER:
            return self.next_heartbeat_at
        return self.election_due_at if self._may_campaign() else NEVER

    def tick(self, now: float) -> None:
        """Advance the clock to `now` (ms): send heartbeats, or campaign on an election timeout."""
        self.now = max(self.now, now)
        if self.role is Role.LEADER:
            self._check_quorum()
            if self.role is Role.LEADER and self.now >= self.next_heartbeat_at:
                self._begin_heartbeat_round()
        elif self.now >= self.election_due_at and self._may_campaign():
            self._campaign(is_pre_vote=True)

    def step(self, sender: str, message: Message, now: float) -> None:
        """Process a message received from another member at `now` (ms)."""
        self.now = max(self.now, now)
        message_type = type(message)
        if message_type is RequestVote:
            self._handle_request_vote(sender, message)
            return
        # A granted pre-vote bears the term of the coming campaign, which has not begun (9.6).
        if message.term > self.term and not (
            message_type is RequestVoteReply and message.is_pre_vote and message.granted
        ):
            self._become_follower(message.term, None)
        {
            RequestVoteReply: self._handle_request_vote_reply,
            AppendEntries: self._handle_append_entries,
            AppendEntriesReply: self._handle_append_entries_reply,
            InstallSnapshot: self._handle_install_snapshot,
            InstallSnapshotReply: self._handle_install_snapshot_reply,
            TimeoutNow: self._handle_timeout_now,
            ReadIndex: self._handle_read_index,
            ReadIndexReply: self._handle_read_index_reply,
        }[message_type](sender, message)

    def propose(self, data: bytes, now: float) -> int | Refusal:
        """Append a command to the leader's log and return its index, or a refusal.

        The command succeeded only once an entry of that index and of the present term is applied.
        """
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return Refusal(RefusalReason.NOT_LEADER, self.leader)
        if self.transfer:
            return Refusal(RefusalReason.CHANGING, self.name)
        if len(data) > self.options.max_entry_bytes:
            return Refusal(RefusalReason.TOO_LARGE, self.name)
        if (
            self.pending_entries >= self.options.max_pending_entries
            or self.pending_bytes >= self.options.max_pending_bytes
        ):
            return Refusal(RefusalReason.BUSY, self.name)
        return self._append_new_entry(EntryKind.COMMAND, data)

    def read(self, token: object, now: float) -> Refusal | None:
        """Request a linearizable read (6.4).

        `Output.read_results` will hold the index that must be applied before the read is served.
        """
        self.now = max(self.now, now)
        if len(self.pending_reads) + len(self.forwarded_reads) >= self.options.max_pending_reads:
            return Refusal(RefusalReason.BUSY, self.leader)
        if self.role is Role.LEADER:
            # Entries committed by former leaders all lie before the first entry of this term.
            self.pending_reads.append(
                _PendingRead(
                    token, max(self.commit_index, self.term_start_index), self.heartbeat_round + 1
                )
            )
            self.is_heartbeat_wanted = True
            return None
        if self.leader is None:
            return Refusal(RefusalReason.NOT_LEADER)
        number = self.rng.getrandbits(48)
        self.forwarded_reads[number] = token
        self._send(self.leader, ReadIndex(self.term, number))
        return None

    def change_membership(self, name: str, address: str | None, now: float) -> int | Refusal:
        """Add a member at `address`, or remove it if that is None; return the entry's index.

        A new member is a learner until it has caught up; the leader then makes it a voter.
        """
        self.now = max(self.now, now)
        refusal, configuration = self._change_blocked(), self.log.configuration
        if refusal:
            return refusal
        existing_member = configuration.get(name)
        if address is None and existing_member is None:
            return Refusal(RefusalReason.UNKNOWN_MEMBER, self.name)
        if address is not None and existing_member is not None:
            return Refusal(RefusalReason.KNOWN_MEMBER, self.name)
        if address is None and configuration.voters == (name,):
            return Refusal(RefusalReason.LAST_VOTER, self.name)
        new_configuration = (
            configuration.without_member(name)
            if address is None
            else configuration.with_member(Member(name, address, votes=False))
        )
        return self._append_new_entry(EntryKind.CONFIGURATION, encode(new_configuration))

    def transfer_leadership(self, target: str, now: float) -> Refusal | None:
        """Transfer leadership to another voter once its log is complete (3.10).

        Proposals are refused meanwhile, for at most one election timeout.
        """
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return Refusal(RefusalReason.NOT_LEADER, self.leader)
        if self.transfer:
            return Refusal(RefusalReason.CHANGING, self.name)
        if target not in self.log.configuration.voters or target == self.name:
            return Refusal(RefusalReason.UNKNOWN_MEMBER, self.name)
        self.transfer = target, self.now + self.options.election_timeout_ms
        self._continue_transfer()
        return None

    def compact(self, index: int, data: bytes) -> Snapshot | None:
        """Replace the log up to `index` by a snapshot with `data`, the state after it (5.1).

        Return the snapshot, or None if `index` is not applied yet or in a snapshot already.
        """
        if not self.log.snapshot.index < index <= self.last_applied:
            return None
        snapshot = Snapshot(
            index,
            self.log.term_at(index),
            self.log.configuration_at(index),
            data,
            snapshot_digest(data),
        )
        self.log.compact(snapshot, MAX_RETAINED_ENTRIES, MAX_RETAINED_BYTES)
        self._open_write().snapshot = snapshot
        return snapshot

    def cancel_read(self, token: object) -> None:
        """Forget a read whose client no longer waits."""
        self.forwarded_reads = {
            number: pending_token
            for number, pending_token in self.forwarded_reads.items()
            if pending_token != token
        }
        self.pending_reads = deque(read for read in self.pending_reads if read.token != token)

    @property
    def is_sending_snapshot(self) -> bool:
        """Whether a snapshot is being sent to a responsive member.

        A new snapshot would have to be sent from its first chunk again.
        """
        return any(
            progress.mode is ReplicationMode.SNAPSHOT
            and self.now - progress.heard_at < self.options.election_timeout_ms
            for progress in self.progress.values()
        )

    def has_recent_quorum(self, now: float, within_ms: float) -> bool:
        """Whether a quorum was in contact within the last `within_ms` ms.

        A leader judges by its followers' replies; a follower by messages from its leader.
        """
        if self.role is Role.LEADER:
            return self.log.configuration.has_quorum(self._members_heard_since(now - within_ms))
        return self.leader is not None and now - self.leader_heard_at <= within_ms

    def take_output(self) -> Output:
        """Return the pending work and start a new, empty output.

        A leader first sends the followers the entries that they lack.
        """
        if self.role is Role.LEADER:
            if self.is_heartbeat_wanted:
                self._begin_heartbeat_round()
            for name in self.progress:
                self._replicate(name)
        if self._current_write is not None:
            write, self._current_write = self._current_write, None
            self._output.writes.append(write)
            # A write without entries adds nothing to what is durable beyond the snapshot.
            last_entry = write.entries[-1] if write.entries else None
            index, term = (
                (last_entry.index, last_entry.term)
                if last_entry
                else (self.log.snapshot.index, self.log.snapshot.term)
            )
            self._writes_in_flight.append((write.number, index, term, write.term))
        output, self._output = self._output, Output()
        return output

    def record_durable(self, number: int) -> None:
        """Record that all writes up to `number` are durable; release the messages held for them."""
        while self._writes_in_flight and self._writes_in_flight[0][0] <= number:
            _, index, term, self.durable_term = self._writes_in_flight.popleft()
            # An entry that was replaced meanwhile does not count.
            if term == self.log.term_at(index) is not None:
                self.durable_index = max(self.durable_index, index)
        self._durable_write_number = max(self._durable_write_number, number)
        while self._held_messages and self._held_messages[0][0] <= number:
            _, receiver, message = self._held_messages.popleft()
            # Drop messages of past terms; a granted pre-vote bears the term it was asked for.
            if message.term == self.term or type(message) is RequestVoteReply:
                self._output.messages.append((receiver, message))
        if (
            self.role is Role.CANDIDATE
            and self.durable_term == self.term
            and self.voted_for == self.name
        ):
            self._count_vote(self.name, True, is_pre_vote=False)
        elif self.role is Role.LEADER:
            self._advance_commit_index()
        elif self.leader and self.leader_match_index and self.durable_term == self.term:
            # Report the durable entries unasked; the round 0 confirms no heartbeat round.
            self._send(
                self.leader,
                AppendEntriesReply(
                    self.term,
                    0,
                    True,
                    min(self.leader_match_index, self.durable_index),
                    self.leader_match_index,
                ),
            )

    # Rules that safety depends on.

    def _can_commit(self, index: int) -> bool:
        """Whether replicas may be counted: only for entries of the current term.

        See the paper, 5.4.2 and figure 8; dissertation 3.6.2.
        """
        return self.log.term_at(index) == self.term

    def _is_log_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Whether a candidate's log is at least as up to date as this one.

        See the paper, 5.4.1; dissertation 3.6.1.
        """
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def _first_conflict(self, entries: tuple[Entry, ...]) -> int:
        """Return the position of the first entry that the log lacks or holds with another term.

        Only from there on is the log truncated: a delayed AppendEntries may end before entries that
        the log holds already (paper, 5.3; dissertation 3.5). Without a conflict, return the length.
        """
        return next(
            (
                position
                for position, entry in enumerate(entries)
                if self.log.term_at(entry.index) != entry.term
            ),
            len(entries),
        )

    def _change_blocked(self) -> Refusal | None:
        """Return why no membership change may begin, or None if one may.

        Servers change one at a time, and only once the leader has committed an entry of its own
        term (dissertation 4.1, and its erratum of 2015).
        """
        if self.role is not Role.LEADER:
            return Refusal(RefusalReason.NOT_LEADER, self.leader)
        if self.commit_index < self.term_start_index:
            return Refusal(RefusalReason.NOT_READY, self.name)
        if self.log.configuration_index > self.commit_index or self.transfer:
            return Refusal(RefusalReason.CHANGING, self.name)
        return None

    def _save_vote(self) -> None:
        """Queue the term and vote to become durable before any message reveals them.

        See figure 2: persistent state is updated on stable storage before responding to RPCs.
        """
        self._open_write().has_vote = True

    def _is_round_confirmed(self, heartbeat_round: int) -> bool:
        """Whether a quorum has answered this round or a later one.

        If so, no other leader was elected before the round began (6.4).
        """
        names = {
            name
            for name, progress in self.progress.items()
            if progress.heartbeat_round >= heartbeat_round
        }
        return self.log.configuration.has_quorum(names | {self.name})

    # Elections.

    def _random_election_timeout(self) -> float:
        """Return a timeout (ms) of one to two times the minimum, so that few elections split."""
        return self.options.election_timeout_ms * (1 + self.rng.random())

    def _may_campaign(self) -> bool:
        """Whether this member may campaign.

        A voter whose removal is not committed yet may (4.2.2): if only it held the entry that
        removes it, no other voter could win an election.
        """
        # While a change is not committed, the configuration before it counts, too.
        configurations = (
            self.log.configurations
            if self.log.configuration_index > self.commit_index
            else self.log.configurations[-1:]
        )
        return any(self.name in configuration.voters for _, configuration in configurations[-2:])

    def _become_follower(self, term: int, leader: str | None) -> None:
        """Become a follower in `term`, which may be a new one, of `leader` if that is known."""
        if self.role is Role.LEADER:
            self.stepped_down += 1
            self._fail_pending_reads()
            self.progress = {}
            self.transfer = None
            self.next_heartbeat_at = NEVER
        if term > self.term:
            self.term = term
            self.voted_for = None
            self.leader_match_index = 0
            self._save_vote()
        if leader != self.leader or term > self.term:
            self._fail_forwarded_reads()
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = {}
        self.election_due_at = self.now + self._random_election_timeout()

    def _campaign(self, is_pre_vote: bool, is_leadership_transfer: bool = False) -> None:
        """Request votes from all voters.

        A pre-vote leaves the term unchanged, so a member that cannot win disrupts no leader (9.6).
        """
        self._fail_forwarded_reads()
        self.leader = None
        self.votes = {}
        self.role = Role.PRE_CANDIDATE if is_pre_vote else Role.CANDIDATE
        self.election_due_at = self.now + self._random_election_timeout()
        if not is_pre_vote:
            self.elections += 1
            self.term += 1
            self.voted_for = self.name
            self.leader_match_index = 0
            self._save_vote()
        request = RequestVote(
            self.term + is_pre_vote,
            self.log.last_index,
            self.log.last_term,
            is_pre_vote,
            is_leadership_transfer,
        )
        for name in self.log.configuration.voters:
            if name != self.name:
                self._send(name, request)
        if is_pre_vote:
            # A real vote for itself counts only once it is durable, see `record_durable`.
            self._count_vote(self.name, True, is_pre_vote=True)

    def _handle_request_vote(self, sender: str, request: RequestVote) -> None:
        """Grant or refuse a vote or a pre-vote."""
        has_live_leader = (
            self.role is Role.LEADER
            or self.leader is not None
            and self.now - self.leader_heard_at < self.options.election_timeout_ms
        )
        # A member in contact with a leader grants no votes against it (dissertation 4.2.3).
        if has_live_leader and not request.is_leadership_transfer:
            if request.is_pre_vote or request.term <= self.term:
                self._send(sender, RequestVoteReply(self.term, request.is_pre_vote, False))
            return
        if request.term > self.term and not request.is_pre_vote:
            self._become_follower(request.term, None)
        is_vote_free = request.is_pre_vote or self.voted_for in (None, sender)
        granted = (
            request.term >= self.term + request.is_pre_vote
            and is_vote_free
            and self._is_log_up_to_date(request.last_term, request.last_index)
        )
        if granted and not request.is_pre_vote:
            if self.voted_for is None:
                self.voted_for = sender
                self._save_vote()
            self.election_due_at = self.now + self._random_election_timeout()
        self._send(
            sender,
            RequestVoteReply(request.term if granted else self.term, request.is_pre_vote, granted),
        )

    def _handle_request_vote_reply(self, sender: str, reply: RequestVoteReply) -> None:
        """Count a vote if it belongs to the present campaign."""
        is_campaigning = self.role is (Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE)
        if is_campaigning and (not reply.granted or reply.term == self.term + reply.is_pre_vote):
            self._count_vote(sender, reply.granted, reply.is_pre_vote)

    def _count_vote(self, name: str, granted: bool, is_pre_vote: bool) -> None:
        """Record a vote; a quorum of grants or of refusals ends the campaign."""
        self.votes[name] = granted
        configuration = self.log.configuration
        if configuration.has_quorum(
            {voter for voter, is_granted in self.votes.items() if is_granted}
        ):
            self._campaign(is_pre_vote=False) if is_pre_vote else self._become_leader()
        elif configuration.has_quorum(
            {voter for voter, is_granted in self.votes.items() if not is_granted}
        ):
            self._become_follower(self.term, None)

    def _become_leader(self) -> None:
        """Become the leader and append a no-op entry of the new term (6.4)."""
        self.role = Role.LEADER
        self.leader = self.name
        self.votes = {}
        self.progress = {
            member.name: Progress(self.log.last_index + 1, self.now)
            for member in self.log.configuration.members
            if member.name != self.name
        }
        self.pending_entries = self.log.last_index - self.commit_index
        self.pending_bytes = self.log.bytes_from(self.commit_index + 1)
        self.term_start_index = self._append_new_entry(EntryKind.NO_OP, b"")
        self._begin_heartbeat_round()

    def _handle_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        """Campaign at once, without a pre-vote, as the leader wishes (3.10)."""
        if message.term == self.term and self.role is Role.FOLLOWER and self._may_campaign():
            self._campaign(is_pre_vote=False, is_leadership_transfer=True)

    def _members_heard_since(self, since_ms: float) -> set[str]:
        """Return the names of this member and of those that replied at `since_ms` or later."""
        return {
            name for name, progress in self.progress.items() if progress.heard_at >= since_ms
        } | {self.name}

    def _check_quorum(self) -> None:
        """Step down if no quorum has replied for an election timeout (6.2); expire a transfer."""
        if not self.log.configuration.has_quorum(
            self._members_heard_since(self.now - self.options.election_timeout_ms)
        ):
            self._become_follower(self.term, None)
        elif self.transfer and self.now >= self.transfer[1]:
            self.transfer = None

    # Replication by the leader.

    def _append_new_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry of the current term to the leader's log and return its index.

        A configuration is in force at once: replication to a new member begins.
        """
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._store_entries([entry])
        self.pending_entries += 1
        self.pending_bytes += len(data) + ENTRY_OVERHEAD_BYTES
        if kind is EntryKind.CONFIGURATION:
            for member in self.log.configuration.members:
                if member.name != self.name and member.name not in self.progress:
                    self.progress[member.name] = Progress(entry.index, self.now)
        return entry.index

    def _begin_heartbeat_round(self) -> None:
        """Begin a numbered round of AppendEntries to all members.

        A reply with the number of the round confirms contact after the round began.
        """
        self.heartbeat_round += 1
        self.next_heartbeat_at = self.now + self.options.heartbeat_interval_ms
        self.is_heartbeat_wanted = False
        for name, progress in self.progress.items():
            if (
                self.now - progress.heard_at
                > self.options.election_timeout_ms * LOSS_TIMEOUT_FRACTION
            ):
                progress.assume_lost()
            if not self._replicate(name):
                self._send_append_entries(name, progress, [])
        self._answer_confirmed_reads()

    def _replicate(self, name: str) -> bool:
        """Send a member the entries or the snapshot chunk that it lacks, as its limits allow.

        A member that has been silent gets only heartbeats. Return whether anything was sent.
        """
        progress = self.progress[name]
        has_sent = False
        if self.now - progress.heard_at > self.options.election_timeout_ms * LOSS_TIMEOUT_FRACTION:
            return False
        while progress.can_send(
            self.now,
            max(
                self.options.heartbeat_interval_ms,
                self.options.election_timeout_ms * LOSS_TIMEOUT_FRACTION,
            ),
        ):
            if progress.next_index <= self.log.base[0]:
                self._send_snapshot_chunk(name, progress)
                return True
            # A stream without new entries sends nothing; a probe goes out even if it is empty.
            if (
                progress.mode is ReplicationMode.SNAPSHOT
                or progress.next_index > self.log.last_index
                and progress.mode is ReplicationMode.STREAM
            ):
                if progress.mode is ReplicationMode.SNAPSHOT:
                    self._send_snapshot_chunk(name, progress)
                    has_sent = True
                break
            entries = self.log.entries_between(
                progress.next_index, self.log.last_index, self.options.max_append_bytes
            )
            self._send_append_entries(name, progress, entries)
            progress.record_sent(
                entries[-1].index if entries else progress.next_index - 1,
                sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in entries),
                self.now,
            )
            has_sent = True
        return has_sent

    def _send_append_entries(self, name: str, progress: Progress, entries: list[Entry]) -> None:
        """Send AppendEntries with these entries, or a heartbeat if there are none."""
        prev_log_index = max(progress.next_index - 1, self.log.base[0])
        self._output.messages.append(
            (
                name,
                AppendEntries(
                    self.term,
                    prev_log_index,
                    self.log.term_at(prev_log_index),
                    tuple(entries),
                    self.commit_index,
                    self.heartbeat_round,
                ),
            )
        )

    def _send_snapshot_chunk(self, name: str, progress: Progress) -> None:
        """Send the next chunk of the snapshot, from the beginning if the snapshot is new."""
        snapshot = self.log.snapshot
        progress.start_snapshot(snapshot.index, snapshot.digest)
        data = snapshot.data[
            progress.snapshot_offset : progress.snapshot_offset + self.options.max_chunk_bytes
        ]
        progress.record_sent(0, len(data), self.now)
        self._output.messages.append(
            (
                name,
                InstallSnapshot(
                    self.term,
                    self.heartbeat_round,
                    snapshot.index,
                    snapshot.term,
                    snapshot.configuration,
                    snapshot.digest,
                    len(snapshot.data),
                    progress.snapshot_offset,
                    data,
                ),
            )
        )

    def _handle_append_entries_reply(self, sender: str, reply: AppendEntriesReply) -> None:
        """Advance a follower's progress, or go back to where the logs may match (3.5)."""
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None or reply.term != self.term:
            return
        progress.heard_at = self.now
        progress.heartbeat_round = max(progress.heartbeat_round, reply.heartbeat_round)
        if reply.success:
            progress.record_match(
                min(reply.received_index, self.log.last_index),
                min(reply.match_index, self.log.last_index),
                self.now,
            )
            self._promote_if_caught_up(sender, progress)
            self._advance_commit_index()
            self._continue_transfer()
        else:
            last_index_of_conflict_term = (
                self.log.last_index_of_term(reply.conflict_term) if reply.conflict_term else None
            )
            progress.record_rejection(
                reply.prev_log_index,
                (last_index_of_conflict_term or reply.conflict_index - 1) + 1,
                self.now,
            )
        self._answer_confirmed_reads()

    def _handle_install_snapshot_reply(self, sender: str, reply: InstallSnapshotReply) -> None:
        """Record how much of the snapshot a follower holds."""
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None or reply.term != self.term:
            return
        progress.heard_at = self.now
        progress.heartbeat_round = max(progress.heartbeat_round, reply.heartbeat_round)
        if reply.done:
            progress.record_match(reply.index, reply.index, self.now)
            self._advance_commit_index()
        elif progress.mode is ReplicationMode.SNAPSHOT and reply.digest == progress.snapshot_digest:
            progress.snapshot_offset = min(reply.offset, len(self.log.snapshot.data))
            progress.sent_at = float("-inf")
        self._answer_confirmed_reads()

    def _advance_commit_index(self) -> None:
        """Commit the entries that are durable on a majority of the voters.

        The leader counts itself only for its own durable entries (10.2.1).
        """
        voters = self.log.configuration.voters
        if not voters:
            return
        match_indexes = sorted(
            (
                self.durable_index if name == self.name else self.progress[name].match_index
                for name in voters
            ),
            reverse=True,
        )
        quorum_index = match_indexes[len(voters) // 2]
        if quorum_index > self.commit_index and self._can_commit(quorum_index):
            self._commit_up_to(quorum_index)
            if self.commit_index >= self.log.configuration_index:
                self._finish_configuration_change()

    def _finish_configuration_change(self) -> None:
        """Act on a committed configuration: drop removed members, or step down if removed (4.2.2).

        Removed members are first sent the commit index once more, so that they learn of it.
        """
        removed_names = [name for name in self.progress if not self.log.configuration.get(name)]
        if removed_names or not self._may_campaign():
            for name in self.progress:
                self._send_append_entries(name, self.progress[name], [])
        for name in removed_names:
            del self.progress[name]
        if not self._may_campaign():
            self._become_follower(self.term, None)

    def _promote_if_caught_up(self, name: str, progress: Progress) -> None:
        """Make a learner a voter once it has caught up (4.2.1).

        It has caught up if it received the entries of one round within an election timeout; a round
        is what the log held when the round began. A slower round is followed by another.
        """
        member = self.log.configuration.get(name)
        if member is None or member.votes or progress.match_index < progress.catch_up_target_index:
            return
        if (
            progress.catch_up_target_index
            and self.now - progress.catch_up_began_at <= self.options.election_timeout_ms
            and not self._change_blocked()
        ):
            self._append_new_entry(
                EntryKind.CONFIGURATION,
                encode(self.log.configuration.with_member(Member(name, member.address))),
            )
        progress.catch_up_target_index = max(self.log.last_index, 1)
        progress.catch_up_began_at = self.now

    def _continue_transfer(self) -> None:
        """Tell the target of a transfer to campaign once it holds the whole log (3.10)."""
        if self.transfer and self.progress[self.transfer[0]].match_index == self.log.last_index:
            self._send(self.transfer[0], TimeoutNow(self.term))

    # Reads.

    def _answer_confirmed_reads(self) -> None:
        """Answer the reads whose heartbeat round a quorum has confirmed."""
        while (
            self.pending_reads
            and self.pending_reads[0].heartbeat_round <= self.heartbeat_round
            and self._is_round_confirmed(self.pending_reads[0].heartbeat_round)
        ):
            read = self.pending_reads.popleft()
            self._answer_read(read.token, read.index)

    def _answer_read(self, token: object, index: int) -> None:
        """Return a read index to the driver, or to the member that forwarded the read."""
        if type(token) is _RemoteRead:
            self._send(token.name, ReadIndexReply(self.term, token.number, index))
        else:
            self._output.read_results.append((token, index))

    def _fail_pending_reads(self) -> None:
        """Fail all reads that wait for a heartbeat round."""
        reads, self.pending_reads = self.pending_reads, deque()
        self.is_heartbeat_wanted = False
        for read in reads:
            self._answer_read(read.token, -1)

    def _fail_forwarded_reads(self) -> None:
        """Fail all reads that were forwarded to the former leader."""
        tokens, self.forwarded_reads = self.forwarded_reads, {}
        self._output.read_results += [(token, -1) for token in tokens.values()]

    def _handle_read_index(self, sender: str, request: ReadIndex) -> None:
        """Begin a read that a follower forwarded (6.4), or refuse it with index -1."""
        if self.role is not Role.LEADER or isinstance(
            self.read(_RemoteRead(sender, request.token), self.now), Refusal
        ):
            self._send(sender, ReadIndexReply(self.term, request.token, -1))

    def _handle_read_index_reply(self, sender: str, reply: ReadIndexReply) -> None:
        """Pass the leader's read index on to the driver."""
        if reply.token in self.forwarded_reads:
            self._output.read_results.append((self.forwarded_reads.pop(reply.token), reply.index))

    # Replication by a follower.

    def _record_leader_contact(self, sender: str) -> None:
        """Follow `sender` and restart the election timeout."""
        assert self.role is not Role.LEADER, f"term {self.term} has two leaders"
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(self.term, sender)
        self.leader_heard_at = self.now
        self.election_due_at = self.now + self._random_election_timeout()

    def _handle_append_entries(self, sender: str, request: AppendEntries) -> None:
        """Append the leader's entries if the logs match before them (figure 2).

        A rejection names the conflicting term and its first index, so that the leader can skip the
        whole term (3.5).
        """
        if request.term < self.term:
            self._send(
                sender,
                AppendEntriesReply(
                    self.term, request.heartbeat_round, False, prev_log_index=request.prev_log_index
                ),
            )
            return
        self._record_leader_contact(sender)
        prev_log_index = request.prev_log_index
        prev_log_term = request.prev_log_term
        entries = request.entries
        base_index = self.log.base[0]
        if prev_log_index < base_index:
            # Compacted entries are committed, so they match the leader's.
            entries = entries[base_index - prev_log_index :]
            prev_log_index = base_index
            prev_log_term = self.log.base[1]
        local_term = self.log.term_at(prev_log_index)
        if local_term != prev_log_term:
            conflict_index = (
                self.log.last_index + 1
                if local_term is None
                else self.log.first_index_of_term(prev_log_index)
            )
            self._send(
                sender,
                AppendEntriesReply(
                    self.term,
                    request.heartbeat_round,
                    False,
                    prev_log_index=request.prev_log_index,
                    conflict_index=conflict_index,
                    conflict_term=local_term or 0,
                ),
            )
            return
        new_entries = entries[self._first_conflict(entries) :]
        if new_entries and new_entries[0].index <= self.log.last_index:
            assert new_entries[0].index > self.commit_index, "a committed entry would be truncated"
            self._truncate_log(new_entries[0].index)
        if new_entries:
            self._store_entries(list(new_entries))
        self.leader_match_index = max(self.leader_match_index, prev_log_index + len(entries))
        self._commit_up_to(min(request.commit_index, self.leader_match_index))
        self._send(
            sender,
            AppendEntriesReply(
                self.term,
                request.heartbeat_round,
                True,
                min(self.leader_match_index, self.durable_index),
                self.leader_match_index,
            ),
        )

    def _handle_install_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        """Collect the chunks of a snapshot and install it once complete and undamaged (5.3).

        Entries after the snapshot are retained if the log holds its last entry.
        """
        if request.term < self.term:
            self._send(
                sender,
                InstallSnapshotReply(
                    self.term, request.heartbeat_round, request.index, request.digest, 0
                ),
            )
            return
        self._record_leader_contact(sender)
        if request.index <= self.commit_index:
            # The log already holds all that the snapshot covers.
            self.partial_snapshot = None
            self._send_once_durable(
                sender,
                InstallSnapshotReply(
                    self.term, request.heartbeat_round, request.index, request.digest, 0, done=True
                ),
            )
            return
        if (
            self.partial_snapshot is None
            or self.partial_snapshot[0].digest != request.digest
            or self.partial_snapshot[0].index != request.index
        ):
            if request.size > MAX_SNAPSHOT_BYTES:
                return
            self.partial_snapshot = request, bytearray()
        data = self.partial_snapshot[1]
        if request.offset == len(data):
            data += request.data
        if len(data) < request.size:
            self._send(
                sender,
                InstallSnapshotReply(
                    self.term, request.heartbeat_round, request.index, request.digest, len(data)
                ),
            )
            return
        self.partial_snapshot = None
        if len(data) != request.size or snapshot_digest(bytes(data)) != request.digest:
            self._send(
                sender,
                InstallSnapshotReply(
                    self.term, request.heartbeat_round, request.index, request.digest, 0
                ),
            )
            return
        snapshot = Snapshot(
            request.index, request.last_term, request.configuration, bytes(data), request.digest
        )
        is_suffix_retained = self.log.term_at(snapshot.index) == snapshot.term
        if self._current_write is not None and self._current_write.entries:
            # Entries appended before the snapshot must be written before it.
            self._close_write()
        self.log.compact(snapshot)
        if not is_suffix_retained:
            self._mark_not_durable(snapshot.index + 1)
        self.commit_index = snapshot.index
        self.last_applied = snapshot.index
        self.leader_match_index = snapshot.index
        write = self._open_write()
        write.snapshot = snapshot
        write.truncate_from = None if is_suffix_retained else snapshot.index + 1
        self._output.to_apply.append(snapshot)
        self._send_once_durable(
            sender,
            InstallSnapshotReply(
                self.term,
                request.heartbeat_round,
                request.index,
                request.digest,
                request.size,
                done=True,
            ),
        )

    # Durable writes, commits and messages.

    def _open_write(self) -> Write:
        """Return the write that collects changes until `take_output`, and begin one if needed."""
        if self._current_write is None:
            self._last_write_number += 1
            self._current_write = Write(self._last_write_number, self.term, self.voted_for)
        self._current_write.term = self.term
        self._current_write.voted_for = self.voted_for
        return self._current_write

    def _close_write(self) -> None:
        """Hand out the current write, which must hold entries; later changes go into another."""
        write, self._current_write = self._current_write, None
        self._output.writes.append(write)
        last_entry = write.entries[-1]
        self._writes_in_flight.append((write.number, last_entry.index, last_entry.term, write.term))

    def _store_entries(self, entries: list[Entry]) -> None:
        """Append entries to the log and to the current write."""
        self.log.append(entries)
        self._open_write().entries += entries

    def _truncate_log(self, first_index: int) -> None:
        """Delete the entries from `first_index` on, which conflict with the leader's log."""
        self.log.truncate(first_index)
        self.leader_match_index = min(self.leader_match_index, first_index - 1)
        self._mark_not_durable(first_index)
        write = self._open_write()
        remaining = [entry for entry in write.entries if entry.index < first_index]
        if len(remaining) == len(write.entries) or not remaining:
            write.truncate_from = (
                first_index
                if write.truncate_from is None
                else min(write.truncate_from, first_index)
            )
        write.entries = remaining

    def _mark_not_durable(self, first_index: int) -> None:
        """Count the entries from `first_index` on as not durable.

        Even an equal entry appended again counts only once its own write is durable, as the
        truncation of the stored entry is in flight, too.
        """
        self.durable_index = min(self.durable_index, first_index - 1)
        preceding_term = self.log.term_at(first_index - 1)
        self._writes_in_flight = deque(
            (number, index, term, current_term)
            if index < first_index
            else (number, first_index - 1, preceding_term, current_term)
            for number, index, term, current_term in self._writes_in_flight
        )

    def _commit_up_to(self, index: int) -> None:
        """Advance the commit index to `index` and hand the newly committed entries out."""
        if index <= self.commit_index:
            return
        committed_entries = self.log.entries_between(self.commit_index + 1, index, UNLIMITED_BYTES)
        if self.role is Role.LEADER:
            self.pending_entries -= len(committed_entries)
            self.pending_bytes -= sum(
                len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in committed_entries
            )
        self.commit_index = index
        self.last_applied = index
        self._output.to_apply += committed_entries

    def _send(self, receiver: str, message: Message) -> None:
        """Send a message as soon as the term in it is durable; a granted vote after the vote."""
        if self.durable_term == self.term and not (
            type(message) is RequestVoteReply and message.granted and not message.is_pre_vote
        ):
            self._output.messages.append((receiver, message))
        else:
            self._send_once_durable(receiver, message)

    def _send_once_durable(self, receiver: str, message: Message) -> None:
        """Send a message once all writes begun so far are durable."""
        if self._last_write_number > self._durable_write_number:
            self._held_messages.append((self._last_write_number, receiver, message))
        else:
            self._output.messages.append((receiver, message))


@dataclass(frozen=True, slots=True)
class _RemoteRead:
    """The token of a read that another member has forwarded to this leader."""

    name: str
    number: int
