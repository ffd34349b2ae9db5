"""One member's part in the protocol: it only steps; who drives it owns disk, network and clock.

A driver hands over what came (`step`), the time (`tick`, no later than `due`), what clients want (`propose`, `read`,
`change`, `transfer`), then takes what is to be done (`take_output`): messages to send now, writes to make durable in
their order, entries to apply. Once writes are durable it says so (`record_durable`); what must not be said before is held
back until then. Nothing here reads a clock, a file or the network. Times are float milliseconds.

The steps are those of Ongaro and Ousterhout (2014), figure 2, with pre-vote, check of quorum, leader transfer,
ReadIndex and one-server changes of Ongaro's dissertation (2014). The methods `_may_commit`, `_is_current`,
`_conflict`, `_change_blocked`, `_save_vote` and `_confirmed` each hold one rule on which safety rests.

>>> from random import Random
>>> alone = Raft("a", Random(7), 0.0, PersistentState(configuration=Configuration((Member("a", "127.0.0.1:1"),))))
>>> alone.tick(alone.next_tick_at); out = alone.take_output(); out.writes[-1].term, out.writes[-1].voted_for, alone.role.name
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

from lifthinge.raft.log import ENTRY_OVERHEAD_BYTES, Log
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

NEVER = float("inf")
RECHECK_PART = 0.5  # of the election time-out: when what is under way counts as lost
KEEP_ENTRIES, KEEP_BYTES = 5_000, 4 << 20  # before the snapshot, for who lags a little
SNAPSHOT_MOST = 64 << 20


class Role(Enum):
    FOLLOWER = auto()
    PRE_CANDIDATE = auto()
    CANDIDATE = auto()
    LEADER = auto()


class RefusalReason(Enum):
    """Why something was refused."""

    NOT_LEADER = "not_leader"
    BUSY = "busy"  # a bound is reached
    TOO_LARGE = "too_large"
    NOT_READY = "not_ready"  # nothing of this term is committed yet
    CHANGING = "changing"  # another change of members, or a transfer, is under way
    UNKNOWN_MEMBER = "unknown_member"
    KNOWN_MEMBER = "known_member"
    LAST_VOTER = "last_voter"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refused at once: why, and who leads as far as is known."""

    why: RefusalReason
    leader: str | None = None


@dataclass(frozen=True)
class RaftOptions:
    """The protocol's times (ms) and bounds."""

    election_timeout_ms: float = (
        1_000.0  # the shortest time without a leader; the longest is twice that
    )
    heartbeat_interval_ms: float = 100.0  # between a leader's rounds
    max_append_bytes: int = 256 << 10  # of one append
    max_chunk_bytes: int = 256 << 10  # of a snapshot
    max_pending_entries: int = 4_096  # proposed and not committed
    max_pending_bytes: int = 8 << 20
    max_entry_bytes: int = 1 << 20
    max_pending_reads: int = 4_096  # that wait for a round


@dataclass(frozen=True)
class PersistentState:
    """What a member finds on its disk at the start; a new cluster's first members begin with a roster."""

    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    configuration: Configuration = Configuration()


@dataclass(slots=True)
class Write:
    """To be made durable, after all that came before: term and vote, then snapshot, cut and entries."""

    number: int
    term: int
    voted_for: str | None
    has_vote: bool = False  # term or vote changed
    snapshot: Snapshot | None = None
    truncate_from: int | None = None  # entries from here on are void
    entries: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class Output:
    messages: list[tuple[str, Message]] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    to_apply: list[Entry | Snapshot] = field(default_factory=list)
    read_results: list[tuple[object, int]] = field(
        default_factory=list
    )  # token, index to be applied first; -1: no


@dataclass(slots=True)
class _Read:
    token: object
    index: int
    heartbeat_round: int


def snapshot_digest(data: bytes) -> bytes:
    """The digest by which a snapshot is told from others."""
    return blake3(data).digest(length=16)


class Raft:
    """One member."""

    def __init__(
        self,
        name: str,
        rng: Random,
        now: float,
        saved: PersistentState,
        options: RaftOptions = RaftOptions(),
    ) -> None:
        self.name, self.rng, self.options, self.now = name, rng, options, now
        self.term, self.voted_for = saved.term, saved.voted_for
        first = saved.snapshot if saved.snapshot.index else Snapshot(0, 0, saved.configuration)
        self.log = Log(first, saved.entries)
        self.role, self.leader = Role.FOLLOWER, None
        self.leader_at = float("-inf")  # when the leader was last heard
        self.commit_index = self.last_applied = self.log.snapshot.index
        self.durable_index, self.saved_term = self.log.last_index, saved.term
        self.claim = 0  # up to where the log is the leader's, durable or not
        self.election_due_at = now + self._patience()
        self.votes: dict[str, bool] = {}
        self.progress: dict[str, Progress] = {}
        self.heartbeat_round, self.next_heartbeat_at = 0, NEVER
        self.term_start = 0  # a leader's first entry
        self.pending = [0, 0]  # entries and bytes proposed and not committed
        self.reads: deque[_Read] = deque()
        self.is_heartbeat_wanted = False  # reads wait for a round that has not begun
        self.asked: dict[int, object] = {}  # reads that went to the leader, by number
        self.transfer: tuple[str, float] | None = None
        self.partial: tuple[InstallSnapshot, bytearray] | None = None
        self.elections = self.stepped_down = 0
        self._out, self._write = Output(), None
        self._number = self._durable = 0
        self._under_way: deque[tuple[int, int, int, int]] = (
            deque()
        )  # write, last index, its term, term
        self._held: deque[tuple[int, str, Message]] = deque()  # until this write is durable
        if first.index:
            self._out.to_apply.append(first)

    # What a driver does.

    @property
    def next_tick_at(self) -> float:
        """When `tick` is wanted at the latest."""
        if self.role is Role.LEADER:
            return self.next_heartbeat_at
        return self.election_due_at if self._votes() else NEVER

    def tick(self, now: float) -> None:
        """Time has passed."""
        self.now = max(self.now, now)
        if self.role is Role.LEADER:
            self._check_quorum()
            if self.role is Role.LEADER and self.now >= self.next_heartbeat_at:
                self._begin_beat()
        elif self.now >= self.election_due_at and self._votes():
            self._campaign(is_pre_vote=True)

    def step(self, sender: str, message: Message, now: float) -> None:
        """A message has come from another member."""
        self.now = max(self.now, now)
        kind = type(message)
        if kind is RequestVote:
            self._asked_for_vote(sender, message)
            return
        if message.term > self.term and not (
            kind is RequestVoteReply and message.is_pre_vote and message.granted
        ):
            self._follow(message.term, None)
        {
            RequestVoteReply: self._voted_for,
            AppendEntries: self._append,
            AppendEntriesReply: self._append_answered,
            InstallSnapshot: self._install,
            InstallSnapshotReply: self._chunk_answered,
            TimeoutNow: self._take_over,
            ReadIndex: self._read_asked,
            ReadIndexReply: self._read_answered,
        }[kind](sender, message)

    def propose(self, data: bytes, now: float) -> int | Refusal:
        """An entry for the state machine; its index, which counts only once it is applied in this term."""
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return Refusal(RefusalReason.NOT_LEADER, self.leader)
        if self.transfer:
            return Refusal(RefusalReason.CHANGING, self.name)
        if len(data) > self.options.max_entry_bytes:
            return Refusal(RefusalReason.TOO_LARGE, self.name)
        if (
            self.pending[0] >= self.options.max_pending_entries
            or self.pending[1] >= self.options.max_pending_bytes
        ):
            return Refusal(RefusalReason.BUSY, self.name)
        return self._add(EntryKind.COMMAND, data)

    def read(self, token: object, now: float) -> Refusal | None:
        """Asks up to where all must be applied so that what is read is true now; `Output.read_results` answers."""
        self.now = max(self.now, now)
        if len(self.reads) + len(self.asked) >= self.options.max_pending_reads:
            return Refusal(RefusalReason.BUSY, self.leader)
        if self.role is Role.LEADER:
            # Not before the own first entry: what former leaders committed lies below it.
            self.reads.append(
                _Read(token, max(self.commit_index, self.term_start), self.heartbeat_round + 1)
            )
            self.is_heartbeat_wanted = True
            return None
        if self.leader is None:
            return Refusal(RefusalReason.NOT_LEADER)
        number = self.rng.getrandbits(48)
        self.asked[number] = token
        self._send(self.leader, ReadIndex(self.term, number))
        return None

    def change_membership(self, name: str, address: str | None, now: float) -> int | Refusal:
        """Adds a member, as a learner that gets its vote by itself once it has caught up; None removes one."""
        self.now = max(self.now, now)
        blocked, configuration = self._change_blocked(), self.log.configuration
        if blocked:
            return blocked
        known = configuration.get(name)
        if address is None and known is None:
            return Refusal(RefusalReason.UNKNOWN_MEMBER, self.name)
        if address is not None and known is not None:
            return Refusal(RefusalReason.KNOWN_MEMBER, self.name)
        if address is None and configuration.voters == (name,):
            return Refusal(RefusalReason.LAST_VOTER, self.name)
        new = (
            configuration.without_member(name)
            if address is None
            else configuration.with_member(Member(name, address, votes=False))
        )
        return self._add(EntryKind.CONFIGURATION, encode(new))

    def transfer_leadership(self, target: str, now: float) -> Refusal | None:
        """Lets another voter lead once it holds all; nothing is proposed meanwhile, one election's time at most."""
        self.now = max(self.now, now)
        if self.role is not Role.LEADER:
            return Refusal(RefusalReason.NOT_LEADER, self.leader)
        if self.transfer:
            return Refusal(RefusalReason.CHANGING, self.name)
        if target not in self.log.configuration.voters or target == self.name:
            return Refusal(RefusalReason.UNKNOWN_MEMBER, self.name)
        self.transfer = target, self.now + self.options.election_timeout_ms
        self._press_transfer()
        return None

    def compact(self, index: int, data: bytes) -> Snapshot | None:
        """The state machine's state after the entry `index` stands for the log up to there."""
        if not self.log.snapshot.index < index <= self.last_applied:
            return None
        snapshot = Snapshot(
            index,
            self.log.term_at(index),
            self.log.configuration_at(index),
            data,
            snapshot_digest(data),
        )
        self.log.compact(snapshot, KEEP_ENTRIES, KEEP_BYTES)
        self._open_write().snapshot = snapshot
        return snapshot

    def cancel_read(self, token: object) -> None:
        """A read is no longer waited for."""
        self.asked = {number: one for number, one in self.asked.items() if one != token}
        self.reads = deque(read for read in self.reads if read.token != token)

    @property
    def is_sending_snapshot(self) -> bool:
        """Whether a snapshot is on its way to a member: another would make it begin anew."""
        return any(
            one.mode is ReplicationMode.SNAPSHOT
            and self.now - one.heard_at < self.options.election_timeout_ms
            for one in self.progress.values()
        )

    def has_recent_quorum(self, now: float, within: float) -> bool:
        """Whether a majority was heard of lately: as leader from its answers, else from the leader."""
        if self.role is Role.LEADER:
            return self.log.configuration.has_quorum(self._heard(now - within))
        return self.leader is not None and now - self.leader_at <= within

    def take_output(self) -> Output:
        """What is to be done now."""
        if self.role is Role.LEADER:
            if self.is_heartbeat_wanted:
                self._begin_beat()
            for name in self.progress:
                self._replicate(name)
        if self._write is not None:
            write, self._write = self._write, None
            self._out.writes.append(write)
            last = write.entries[-1] if write.entries else None
            index, term = (
                (last.index, last.term)
                if last
                else (self.log.snapshot.index, self.log.snapshot.term)
            )
            self._under_way.append((write.number, index, term, write.term))
        out, self._out = self._out, Output()
        return out

    def record_durable(self, number: int) -> None:
        """All writes up to this one will survive whatever comes."""
        while self._under_way and self._under_way[0][0] <= number:
            _, index, term, self.saved_term = self._under_way.popleft()
            if term == self.log.term_at(index) is not None:
                self.durable_index = max(self.durable_index, index)
        self._durable = max(self._durable, number)
        while self._held and self._held[0][0] <= number:
            _, to, message = self._held.popleft()
            if message.term == self.term or type(message) is RequestVoteReply:
                self._out.messages.append((to, message))
        if (
            self.role is Role.CANDIDATE
            and self.saved_term == self.term
            and self.voted_for == self.name
        ):
            self._count_vote(self.name, True, is_pre_vote=False)
        elif self.role is Role.LEADER:
            self._advance()
        elif self.leader and self.claim and self.saved_term == self.term:
            self._send(
                self.leader,
                AppendEntriesReply(
                    self.term, 0, True, min(self.claim, self.durable_index), self.claim
                ),
            )

    # Rules on which safety rests.

    def _can_commit(self, index: int) -> bool:
        """Only entries of the own term are committed by counting (5.4.2, figure 8)."""
        return self.log.term_at(index) == self.term

    def _is_log_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Whether another's log is at least as up to date as ours (5.4.1)."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def _first_conflict(self, entries: tuple[Entry, ...]) -> int:
        """How many of these we hold already: only what differs is cut, as a late append may be short (5.3)."""
        return next(
            (place for place, one in enumerate(entries) if self.log.term_at(one.index) != one.term),
            len(entries),
        )

    def _change_blocked(self) -> Refusal | None:
        """One server at a time, and not before an own entry is committed (dissertation 4.1; its 2015 erratum)."""
        if self.role is not Role.LEADER:
            return Refusal(RefusalReason.NOT_LEADER, self.leader)
        if self.commit_index < self.term_start:
            return Refusal(RefusalReason.NOT_READY, self.name)
        if self.log.configuration_index > self.commit_index or self.transfer:
            return Refusal(RefusalReason.CHANGING, self.name)
        return None

    def _save_vote(self) -> None:
        """Term and vote are durable before anyone hears of them (figure 2: updated on stable storage)."""
        self._open_write().has_vote = True

    def _is_round_confirmed(self, heartbeat_round: int) -> bool:
        """Whether a majority has answered this round or a later one: so nobody led in between (6.4)."""
        names = {
            name for name, one in self.progress.items() if one.heartbeat_round >= heartbeat_round
        }
        return self.log.configuration.has_quorum(names | {self.name})

    # Elections.

    def _patience(self) -> float:
        return self.options.election_timeout_ms * (1 + self.rng.random())

    def _votes(self) -> bool:
        """Whether it may campaign: who is to be removed still may, until that is committed (4.2.2).

        Else, if nobody but it holds the entry that removes it, nobody could ever lead.
        """
        configurations = (
            self.log.configurations
            if self.log.configuration_index > self.commit_index
            else self.log.configurations[-1:]
        )
        return any(self.name in configuration.voters for _, configuration in configurations[-2:])

    def _follow(self, term: int, leader: str | None) -> None:
        """Goes on as a follower, perhaps in a new term."""
        if self.role is Role.LEADER:
            self.stepped_down += 1
            self._drop_reads()
            self.progress, self.transfer, self.next_heartbeat_at = {}, None, NEVER
        if term > self.term:
            self.term, self.voted_for, self.claim = term, None, 0
            self._save_vote()
        if leader != self.leader or term > self.term:
            self._drop_asked()
        self.role, self.leader, self.votes = Role.FOLLOWER, leader, {}
        self.election_due_at = self.now + self._patience()

    def _campaign(self, is_pre_vote: bool, is_leadership_transfer: bool = False) -> None:
        """Asks for votes; a pre-vote changes nothing, so who can't win disturbs nobody."""
        self._drop_asked()
        self.leader, self.votes = None, {}
        self.role = Role.PRE_CANDIDATE if is_pre_vote else Role.CANDIDATE
        self.election_due_at = self.now + self._patience()
        if not is_pre_vote:
            self.elections += 1
            self.term, self.voted_for, self.claim = self.term + 1, self.name, 0
            self._save_vote()
        ask = RequestVote(
            self.term + is_pre_vote,
            self.log.last_index,
            self.log.last_term,
            is_pre_vote,
            is_leadership_transfer,
        )
        for name in self.log.configuration.voters:
            if name != self.name:
                self._send(name, ask)
        if is_pre_vote:
            self._count_vote(
                self.name, True, is_pre_vote=True
            )  # a real one counts once it is durable

    def _asked_for_vote(self, sender: str, ask: RequestVote) -> None:
        led = (
            self.role is Role.LEADER
            or self.leader is not None
            and self.now - self.leader_at < self.options.election_timeout_ms
        )
        if (
            led and not ask.is_leadership_transfer
        ):  # who hears a leader lets nobody disturb it (dissertation 4.2.3)
            if ask.is_pre_vote or ask.term <= self.term:
                self._send(sender, RequestVoteReply(self.term, ask.is_pre_vote, False))
            return
        if ask.term > self.term and not ask.is_pre_vote:
            self._follow(ask.term, None)
        free = ask.is_pre_vote or self.voted_for in (None, sender)
        granted = (
            ask.term >= self.term + ask.is_pre_vote
            and free
            and self._is_log_up_to_date(ask.last_term, ask.last_index)
        )
        if granted and not ask.is_pre_vote:
            if self.voted_for is None:
                self.voted_for = sender
                self._save_vote()
            self.election_due_at = self.now + self._patience()
        self._send(
            sender, RequestVoteReply(ask.term if granted else self.term, ask.is_pre_vote, granted)
        )

    def _voted_for(self, sender: str, vote: RequestVoteReply) -> None:
        asking = self.role is (Role.PRE_CANDIDATE if vote.is_pre_vote else Role.CANDIDATE)
        if asking and (not vote.granted or vote.term == self.term + vote.is_pre_vote):
            self._count_vote(sender, vote.granted, vote.is_pre_vote)

    def _count_vote(self, name: str, granted: bool, is_pre_vote: bool) -> None:
        self.votes[name] = granted
        configuration = self.log.configuration
        if configuration.has_quorum({one for one, yes in self.votes.items() if yes}):
            self._campaign(is_pre_vote=False) if is_pre_vote else self._lead()
        elif configuration.has_quorum({one for one, yes in self.votes.items() if not yes}):
            self._follow(self.term, None)

    def _lead(self) -> None:
        self.role, self.leader, self.votes = Role.LEADER, self.name, {}
        self.progress = {
            one.name: Progress(self.log.last_index + 1, self.now)
            for one in self.log.configuration.members
            if one.name != self.name
        }
        self.pending = [
            self.log.last_index - self.commit_index,
            self.log.bytes_from(self.commit_index + 1),
        ]
        self.term_start = self._add(EntryKind.NO_OP, b"")
        self._begin_beat()

    def _take_over(self, sender: str, message: TimeoutNow) -> None:
        if message.term == self.term and self.role is Role.FOLLOWER and self._votes():
            self._campaign(is_pre_vote=False, is_leadership_transfer=True)

    def _heard(self, since: float) -> set[str]:
        return {name for name, one in self.progress.items() if one.heard_at >= since} | {self.name}

    def _check_quorum(self) -> None:
        """A leader that has heard no majority for an election's time leads nobody: it says so by stepping down."""
        if not self.log.configuration.has_quorum(
            self._heard(self.now - self.options.election_timeout_ms)
        ):
            self._follow(self.term, None)
        elif self.transfer and self.now >= self.transfer[1]:
            self.transfer = None

    # Replication, as leader.

    def _add(self, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._store([entry])
        self.pending[0] += 1
        self.pending[1] += len(data) + ENTRY_OVERHEAD_BYTES
        if kind is EntryKind.CONFIGURATION:
            for one in self.log.configuration.members:
                if one.name != self.name and one.name not in self.progress:
                    self.progress[one.name] = Progress(entry.index, self.now)
        return entry.index

    def _begin_beat(self) -> None:
        """A round: who answers it has heard of us now."""
        self.heartbeat_round += 1
        self.next_heartbeat_at, self.is_heartbeat_wanted = (
            self.now + self.options.heartbeat_interval_ms,
            False,
        )
        for name, one in self.progress.items():
            if self.now - one.heard_at > self.options.election_timeout_ms * RECHECK_PART:
                one.assume_lost()
            if not self._replicate(name):
                self._say_append(name, one, [])
        self._press_reads()

    def _replicate(self, name: str) -> bool:
        """Sends what a member may be sent; whether anything went. Who is silent gets no more than beats."""
        one, went = self.progress[name], False
        if self.now - one.heard_at > self.options.election_timeout_ms * RECHECK_PART:
            return False
        while one.can_send(
            self.now,
            max(
                self.options.heartbeat_interval_ms, self.options.election_timeout_ms * RECHECK_PART
            ),
        ):
            if one.next_index <= self.log.base[0]:
                self._say_chunk(name, one)
                return True
            if (
                one.mode is ReplicationMode.SNAPSHOT
                or one.next_index > self.log.last_index
                and one.mode is ReplicationMode.STREAM
            ):
                if one.mode is ReplicationMode.SNAPSHOT:
                    self._say_chunk(name, one)
                    went = True
                break
            entries = self.log.entries_between(
                one.next_index, self.log.last_index, self.options.max_append_bytes
            )
            self._say_append(name, one, entries)
            one.record_sent(
                entries[-1].index if entries else one.next_index - 1,
                sum(len(entry.data) + ENTRY_OVERHEAD_BYTES for entry in entries),
                self.now,
            )
            went = True
        return went

    def _say_append(self, name: str, one: Progress, entries: list[Entry]) -> None:
        prev = max(one.next_index - 1, self.log.base[0])
        self._out.messages.append(
            (
                name,
                AppendEntries(
                    self.term,
                    prev,
                    self.log.term_at(prev),
                    tuple(entries),
                    self.commit_index,
                    self.heartbeat_round,
                ),
            )
        )

    def _say_chunk(self, name: str, one: Progress) -> None:
        snapshot = self.log.snapshot
        one.start_snapshot(snapshot.index, snapshot.digest)
        data = snapshot.data[one.offset : one.offset + self.options.max_chunk_bytes]
        one.record_sent(0, len(data), self.now)
        self._out.messages.append(
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
                    one.offset,
                    data,
                ),
            )
        )

    def _append_answered(self, sender: str, reply: AppendEntriesReply) -> None:
        one = self.progress.get(sender)
        if self.role is not Role.LEADER or one is None or reply.term != self.term:
            return
        one.heard_at, one.heartbeat_round = (
            self.now,
            max(one.heartbeat_round, reply.heartbeat_round),
        )
        if reply.success:
            one.record_match(
                min(reply.received_index, self.log.last_index),
                min(reply.match_index, self.log.last_index),
                self.now,
            )
            self._promote(sender, one)
            self._advance()
            self._press_transfer()
        else:
            hint = self.log.last_index_of_term(reply.conflict_term) if reply.conflict_term else None
            one.record_rejection(
                reply.prev_log_index, (hint or reply.conflict_index - 1) + 1, self.now
            )
        self._press_reads()

    def _chunk_answered(self, sender: str, reply: InstallSnapshotReply) -> None:
        one = self.progress.get(sender)
        if self.role is not Role.LEADER or one is None or reply.term != self.term:
            return
        one.heard_at, one.heartbeat_round = (
            self.now,
            max(one.heartbeat_round, reply.heartbeat_round),
        )
        if reply.done:
            one.record_match(reply.index, reply.index, self.now)
            self._advance()
        elif one.mode is ReplicationMode.SNAPSHOT and reply.digest == one.digest:
            one.offset, one.sent_at = min(reply.offset, len(self.log.snapshot.data)), float("-inf")
        self._press_reads()

    def _advance(self) -> None:
        """Commits what a majority holds for good."""
        voters = self.log.configuration.voters
        if not voters:
            return
        held = sorted(
            (
                self.durable_index if name == self.name else self.progress[name].match_index
                for name in voters
            ),
            reverse=True,
        )
        index = held[len(voters) // 2]
        if index > self.commit_index and self._can_commit(index):
            self._commit_to(index)
            if self.commit_index >= self.log.configuration_index:
                self._settle_roster()

    def _settle_roster(self) -> None:
        """A committed roster counts: who is no longer in it hears so once more, and is left alone."""
        gone = [name for name in self.progress if not self.log.configuration.get(name)]
        if gone or not self._votes():
            for name in self.progress:
                self._say_append(name, self.progress[name], [])
        for name in gone:
            del self.progress[name]
        if not self._votes():
            self._follow(self.term, None)

    def _promote(self, name: str, one: Progress) -> None:
        """A learner votes once it has caught up with a round's entries within an election's time (4.2.1)."""
        member = self.log.configuration.get(name)
        if member is None or member.votes or one.match_index < one.round_end:
            return
        if (
            one.round_end
            and self.now - one.round_at <= self.options.election_timeout_ms
            and not self._change_blocked()
        ):
            self._add(
                EntryKind.CONFIGURATION,
                encode(self.log.configuration.with_member(Member(name, member.address))),
            )
        one.round_end, one.round_at = max(self.log.last_index, 1), self.now

    def _press_transfer(self) -> None:
        if self.transfer and self.progress[self.transfer[0]].match_index == self.log.last_index:
            self._send(self.transfer[0], TimeoutNow(self.term))

    # Reads.

    def _press_reads(self) -> None:
        while (
            self.reads
            and self.reads[0].heartbeat_round <= self.heartbeat_round
            and self._is_round_confirmed(self.reads[0].heartbeat_round)
        ):
            read = self.reads.popleft()
            self._answer_read(read.token, read.index)

    def _answer_read(self, token: object, index: int) -> None:
        if type(token) is _Remote:
            self._send(token.name, ReadIndexReply(self.term, token.number, index))
        else:
            self._out.read_results.append((token, index))

    def _drop_reads(self) -> None:
        reads, self.reads, self.is_heartbeat_wanted = self.reads, deque(), False
        for read in reads:
            self._answer_read(read.token, -1)

    def _drop_asked(self) -> None:
        asked, self.asked = self.asked, {}
        self._out.read_results += [(token, -1) for token in asked.values()]

    def _read_asked(self, sender: str, ask: ReadIndex) -> None:
        if self.role is not Role.LEADER or isinstance(
            self.read(_Remote(sender, ask.token), self.now), Refusal
        ):
            self._send(sender, ReadIndexReply(self.term, ask.token, -1))

    def _read_answered(self, sender: str, reply: ReadIndexReply) -> None:
        if reply.token in self.asked:
            self._out.read_results.append((self.asked.pop(reply.token), reply.index))

    # Replication, as follower.

    def _hear_leader(self, sender: str) -> None:
        assert self.role is not Role.LEADER, "two lead in one term"
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(self.term, sender)
        self.leader_at = self.now
        self.election_due_at = self.now + self._patience()

    def _append(self, sender: str, said: AppendEntries) -> None:
        if said.term < self.term:
            self._send(
                sender,
                AppendEntriesReply(
                    self.term, said.heartbeat_round, False, prev_log_index=said.prev_log_index
                ),
            )
            return
        self._hear_leader(sender)
        prev, prev_log_term, entries = said.prev_log_index, said.prev_log_term, said.entries
        base = self.log.base[0]
        if prev < base:  # what is compacted away is committed, and so the same
            entries = entries[base - prev :]
            prev, prev_log_term = base, self.log.base[1]
        stands = self.log.term_at(prev)
        if stands != prev_log_term:
            first = (
                self.log.last_index + 1 if stands is None else self.log.first_index_of_term(prev)
            )
            self._send(
                sender,
                AppendEntriesReply(
                    self.term,
                    said.heartbeat_round,
                    False,
                    prev_log_index=said.prev_log_index,
                    conflict_index=first,
                    conflict_term=stands or 0,
                ),
            )
            return
        new = entries[self._first_conflict(entries) :]
        if new and new[0].index <= self.log.last_index:
            assert new[0].index > self.commit_index, "a committed entry would be cut"
            self._cut(new[0].index)
        if new:
            self._store(list(new))
        self.claim = max(self.claim, prev + len(entries))
        self._commit_to(min(said.commit_index, self.claim))
        self._send(
            sender,
            AppendEntriesReply(
                self.term,
                said.heartbeat_round,
                True,
                min(self.claim, self.durable_index),
                self.claim,
            ),
        )

    def _install(self, sender: str, said: InstallSnapshot) -> None:
        if said.term < self.term:
            self._send(
                sender,
                InstallSnapshotReply(self.term, said.heartbeat_round, said.index, said.digest, 0),
            )
            return
        self._hear_leader(sender)
        if said.index <= self.commit_index:  # an older one than what is known: nothing to fetch
            self.partial = None
            self._send_after(
                sender,
                InstallSnapshotReply(
                    self.term, said.heartbeat_round, said.index, said.digest, 0, done=True
                ),
            )
            return
        if (
            self.partial is None
            or self.partial[0].digest != said.digest
            or self.partial[0].index != said.index
        ):
            if said.size > SNAPSHOT_MOST:
                return
            self.partial = said, bytearray()
        data = self.partial[1]
        if said.offset == len(data):
            data += said.data
        if len(data) < said.size:
            self._send(
                sender,
                InstallSnapshotReply(
                    self.term, said.heartbeat_round, said.index, said.digest, len(data)
                ),
            )
            return
        self.partial = None
        if len(data) != said.size or snapshot_digest(bytes(data)) != said.digest:
            self._send(
                sender,
                InstallSnapshotReply(self.term, said.heartbeat_round, said.index, said.digest, 0),
            )
            return
        snapshot = Snapshot(
            said.index, said.last_term, said.configuration, bytes(data), said.digest
        )
        kept = self.log.term_at(snapshot.index) == snapshot.term
        if self._write is not None and self._write.entries:  # entries of before go before it
            self._flush_write()
        self.log.compact(snapshot)
        if not kept:
            self._void(snapshot.index + 1)
        self.commit_index = self.last_applied = self.claim = snapshot.index
        write = self._open_write()
        write.snapshot, write.truncate_from = snapshot, None if kept else snapshot.index + 1
        self._out.to_apply.append(snapshot)
        self._send_after(
            sender,
            InstallSnapshotReply(
                self.term, said.heartbeat_round, said.index, said.digest, said.size, done=True
            ),
        )

    # What is kept, said and applied.

    def _open_write(self) -> Write:
        """The write that gathers what is to be durable next."""
        if self._write is None:
            self._number += 1
            self._write = Write(self._number, self.term, self.voted_for)
        self._write.term, self._write.voted_for = self.term, self.voted_for
        return self._write

    def _flush_write(self) -> None:
        write, self._write = self._write, None
        self._out.writes.append(write)
        last = write.entries[-1]
        self._under_way.append((write.number, last.index, last.term, write.term))

    def _store(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._open_write().entries += entries

    def _cut(self, first: int) -> None:
        """What follows here differs from the leader's: it goes, from the disk as well."""
        self.log.truncate(first)
        self.claim = min(self.claim, first - 1)
        self._void(first)
        write = self._open_write()
        kept = [one for one in write.entries if one.index < first]
        if len(kept) == len(write.entries) or not kept:
            write.truncate_from = (
                first if write.truncate_from is None else min(write.truncate_from, first)
            )
        write.entries = kept

    def _void(self, first: int) -> None:
        """Entries from here on are no longer durable, even if they come back: their cut is under way, too."""
        self.durable_index = min(self.durable_index, first - 1)
        before = self.log.term_at(first - 1)
        self._under_way = deque(
            one if one[1] < first else (one[0], first - 1, before, one[3])
            for one in self._under_way
        )

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        done = self.log.entries_between(self.commit_index + 1, index, 1 << 62)
        if self.role is Role.LEADER:
            self.pending[0] -= len(done)
            self.pending[1] -= sum(len(one.data) + ENTRY_OVERHEAD_BYTES for one in done)
        self.commit_index = self.last_applied = index
        self._out.to_apply += done

    def _send(self, to: str, message: Message) -> None:
        """Says something, yet not before the term that it bears is durable."""
        if self.saved_term == self.term and not (
            type(message) is RequestVoteReply and message.granted and not message.is_pre_vote
        ):
            self._out.messages.append((to, message))
        else:
            self._send_after(to, message)

    def _send_after(self, to: str, message: Message) -> None:
        """Says something once all that is to be written now is durable."""
        if self._number > self._durable:
            self._held.append((self._number, to, message))
        else:
            self._out.messages.append((to, message))


@dataclass(frozen=True, slots=True)
class _Remote:
    """A read that another member asked for."""

    name: str
    number: int
