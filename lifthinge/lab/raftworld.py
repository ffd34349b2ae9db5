"""A cluster under a virtual clock, with a network and disks that fail, and checks after every step.

The five properties are those of the paper's figure 3; besides: what a client was told stays true, reads are current,
a proposal sent again gets the answer that it got, rosters change by one, and no front end goes back.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from lifthinge.agreed.commands import (
    Accepted,
    Answer,
    InvalidProposal,
    OpenSession,
    Propose,
    SessionOpened,
    encode,
)
from lifthinge.agreed.state import DocumentStateMachine, Fence
from lifthinge.lab.faults import FAULTS
from lifthinge.raft.messages import (
    AppendEntries,
    Configuration,
    Entry,
    EntryKind,
    Member,
    Message,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    decode_configuration,
)
from lifthinge.raft.node import Raft, RaftOptions, Refusal, Role, Write
from lifthinge.raft.stored_state import StoredState

NAMES = "abcdefg"
PACE = RaftOptions(
    election_timeout_ms=100.0,
    heartbeat_interval_ms=20.0,
    max_append_bytes=200,
    max_chunk_bytes=64,
    max_pending_entries=64,
)
UNDER_WAY_MOST = 400  # messages; beyond, the oldest are lost
KEPT_ENTRIES = 4  # behind a snapshot here, so that members need snapshots


class Violation(AssertionError):
    """A promise is broken."""


@dataclass
class Host:
    """One member: what survives (`image`) and what does not."""

    name: str
    image: StoredState
    raft: Raft | None = None
    state: DocumentStateMachine = field(default_factory=DocumentStateMachine)
    unsynced: list[Write] = field(default_factory=list)
    reads: dict[object, int] = field(default_factory=dict)  # answered, waiting to be applied: index
    led: tuple[int, list] | None = None


@dataclass
class Request:
    """A client's proposal, as it was first sent and as it was answered."""

    session: int
    number: int
    command: Propose
    answer: Answer | None = None


class RaftWorld:
    """`size` members that vote; chance comes from the seed, what happens from the caller or from `walk`."""

    def __init__(self, seed: int, size: int = 3, fault: str = "", learners: int = 0) -> None:
        kind = FAULTS.get(fault)
        self.raft_kind = kind if kind and issubclass(kind, Raft) else Raft
        self.state_kind = (
            kind if kind and issubclass(kind, DocumentStateMachine) else DocumentStateMachine
        )
        self.dice, self.now = Random(seed), 0.0
        roster = Configuration(tuple(Member(name, name) for name in NAMES[:size]))
        self.hosts: dict[str, Host] = {}
        self.wire: list[tuple[str, str, Message]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}  # by term
        self.entries: dict[tuple[int, int], tuple] = {}  # (index, term): term before, kind, data
        self.committed: dict[
            int, tuple[Entry, int]
        ] = {}  # index: entry, term in which it was seen committed
        self.answers: dict[tuple[int, int], Answer] = {}
        self.requests: list[Request] = []
        self.sessions: list[int] = []
        self.acknowledged = 0  # highest version that any client was told of
        self.read_from: dict[object, int] = {}  # read: acknowledged when it began
        self.fence = (kind if kind and issubclass(kind, Fence) else Fence)()
        self.obeyed = (0, 0)
        self.slow: set[str] = set()  # whose disk does not sync by itself
        self.asleep: set[str] = set()  # stopped: nothing happens there, and what comes waits
        self.seen: Counter = Counter()
        self.number = 0
        for name in NAMES[:size]:
            self._place(name, roster)

    def _place(self, name: str, roster: Configuration) -> None:
        image = StoredState()
        image.configuration = roster
        self.hosts[name] = Host(name, image)
        self.start(name)

    # What may happen.

    def start(self, name: str) -> None:
        host = self.hosts[name]
        if host.raft is None:
            host.raft = self.raft_kind(
                name,
                Random(self.dice.getrandbits(32)),
                self.now,
                host.image.persistent_state(),
                PACE,
            )
            host.state, host.reads, host.led = self.state_kind(), {}, None
            self.seen["starts"] += 1
            self._take(host)

    def crash(self, name: str, kept: int = 0) -> None:
        """Loses what was not synced, but for the first `kept` writes."""
        host = self.hosts[name]
        if host.raft is not None:
            for write in host.unsynced[:kept]:
                host.image.apply_write(write)
            host.raft, host.unsynced, host.reads = None, [], {}
            self.seen["crashes"] += 1

    def sync(self, name: str) -> None:
        host = self.hosts[name]
        if host.raft is not None and host.unsynced and name not in self.asleep:
            for write in host.unsynced:
                host.image.apply_write(write)
            number, host.unsynced = host.unsynced[-1].number, []
            host.raft.record_durable(number)
            self._take(host)

    def tick(self, name: str) -> None:
        host = self.hosts[name]
        if host.raft is not None and host.raft.next_tick_at <= self.now and name not in self.asleep:
            host.raft.tick(self.now)
            self._take(host)

    def pass_time(self, by: float) -> None:
        self.now += by
        for name in list(self.hosts):
            self.tick(name)

    def deliver(self, place: int, again: bool = False) -> None:
        """One message under way arrives, out of turn and perhaps once more later."""
        if not self.wire:
            return
        place %= len(self.wire)
        sender, to, message = self.wire[place] if again else self.wire.pop(place)
        host = self.hosts.get(to)
        if to in self.asleep:
            if not again:
                self.wire.append((sender, to, message))
            return
        if host is not None and host.raft is not None and (sender, to) not in self.cuts:
            host.raft.step(sender, message, self.now)
            self._take(host)

    def lose(self, place: int) -> None:
        if self.wire:
            self.wire.pop(place % len(self.wire))

    def settle(self, steps: int = 40) -> None:
        """All goes its way for a while: disks sync and messages arrive in their order."""
        for _ in range(steps):
            for name in list(self.hosts):
                if name not in self.slow:
                    self.sync(name)
            for _ in range(len(self.wire)):
                self.deliver(0)
            self.pass_time(5.0)

    def open_session(self, name: str) -> None:
        host = self.hosts[name]
        if host.raft is not None:
            host.raft.propose(encode(OpenSession(self.dice.randbytes(4))), self.now)
            self._take(host)

    def propose(self, name: str) -> None:
        """A client proposes on the version that this member shows it."""
        host = self.hosts[name]
        if host.raft is None or not self.sessions:
            return
        self.number += 1
        command = Propose(
            self.dice.choice(self.sessions[-3:]),
            self.number,
            host.state.version,
            self.now,
            f"op-{self.number}",
            msgspec.msgpack.encode({"n": self.number}),
        )
        request = Request(command.session, command.number, command)
        if not isinstance(host.raft.propose(encode(command), self.now), Refusal):
            self.requests.append(request)
        self._take(host)

    def repeat(self, name: str) -> None:
        """A client that heard no answer, or lost it, sends its latest proposal again, elsewhere."""
        host = self.hosts[name]
        if host.raft is not None and self.requests:
            host.raft.propose(
                encode(self.requests[-1 - self.dice.randrange(min(len(self.requests), 2))].command),
                self.now,
            )
            self._take(host)

    def read(self, name: str) -> None:
        host = self.hosts[name]
        if host.raft is not None:
            self.number += 1
            token = f"read-{self.number}"
            self.read_from[token] = self.acknowledged
            host.raft.read(token, self.now)
            self._take(host)

    def change(self, name: str, other: str) -> None:
        """Adds or removes a member, whichever it is not; a new one begins with an empty disk."""
        host = self.hosts[name]
        if host.raft is None:
            return
        known = host.raft.log.configuration.get(other)
        if not known and other not in self.hosts:
            self._place(other, Configuration())
        if not known or len(host.raft.log.configuration.voters) > 1:
            host.raft.change_membership(other, None if known else other, self.now)
        self._take(host)

    def hand_over(self, name: str, other: str) -> None:
        host = self.hosts[name]
        if host.raft is not None:
            host.raft.transfer_leadership(other, self.now)
            self._take(host)

    def compact(self, name: str) -> None:
        host = self.hosts[name]
        if host.raft is not None and host.state.index:
            host.raft.compact(host.state.index, host.state.export())
            host.raft.log.compact(host.raft.log.snapshot, KEPT_ENTRIES)
            self._take(host)

    def follow(self, name: str) -> None:
        """The front end hears a member's configuration, which may be an old one."""
        host = self.hosts[name]
        latest = host.state.latest
        if host.raft is not None and latest and self.fence.admit(latest.term, latest.index):
            if (latest.term, latest.index) < self.obeyed:
                raise Violation(
                    f"a front end went back from {self.obeyed} to {latest.term, latest.index}"
                )
            self.obeyed = latest.term, latest.index

    def sleep(self, name: str) -> None:
        self.asleep.add(name)

    def wake(self, name: str) -> None:
        """It goes on as if no time had passed; a client is there first."""
        if name in self.asleep:
            self.asleep.discard(name)
            self.read(name)

    def nap(self) -> None:
        """Who leads is stopped while the others go on without it, then wakes and thinks it leads."""
        for name in [
            one.name for one in self.hosts.values() if one.raft and one.raft.role is Role.LEADER
        ]:
            self.sleep(name)
            self.settle(70)
            for other in self.hosts:
                self.propose(other)
            self.settle(6)
            self.wake(name)

    def figure_8(self) -> None:
        """The paper's figure: an old term's entries come to a majority, their leader dies, another overwrites them."""
        names = list(self.hosts)
        if len(names) < 5:
            return
        self.dice.shuffle(names)
        first, second, third, fourth, fifth = names[:5]
        for name in self.hosts:
            self.start(name)
            self._die(name)
        self.asleep.clear(), self.cuts.clear(), self.slow.clear()
        if not self._come_to_lead(first, {second, third}):
            return
        for _ in range(4):
            self.propose(first)
        self._pass({first, second}, 12)
        self._die(first)
        if not self._come_to_lead(fifth, {third, fourth}):
            return
        self.propose(fifth)
        self._die(fifth)
        if not self._come_to_lead(first, {second, third}):
            return
        term = self.hosts[first].raft.term
        for _ in range(12):  # nothing of the new term gets through, but beats do
            self.wire = [
                one
                for one in self.wire
                if not (
                    isinstance(one[2], AppendEntries)
                    and any(entry.term == term for entry in one[2].entries)
                )
            ]
            self._pass({first, second, third}, 1)
            self.pass_time(6.0)
        self._die(first)
        if self._come_to_lead(fifth, {third, fourth}):
            self._pass(set(self.hosts), 12)

    def _come_to_lead(self, name: str, near: set[str]) -> bool:
        """Time passes until it campaigns, and only these hear of it."""
        for _ in range(3):  # others' terms may be ahead: it learns of them by asking
            self.wire = []
            self.now += 2 * PACE.election_timeout_ms + 1
            for host in self.hosts.values():
                if host.raft.role is not Role.LEADER:
                    host.raft.election_due_at = self.now + (
                        0 if host.name == name else 3 * PACE.election_timeout_ms
                    )
            self.tick(name)
            self._pass({name} | near, 8, (RequestVote, RequestVoteReply))
            if self.hosts[name].raft.role is Role.LEADER:
                return True
        return False

    def _die(self, name: str) -> None:
        """Killed once all is written, and back at once."""
        self.sync(name)
        self.crash(name)
        self.start(name)

    def _pass(self, near: set[str], rounds: int, kinds: tuple[type, ...] = (object,)) -> None:
        """Disks sync, and messages of these kinds arrive among these members; the others wait."""
        for _ in range(rounds):
            for name in near:
                self.sync(name)
            due, self.wire = self.wire, []
            for one in due:
                if one[0] in near and one[1] in near and isinstance(one[2], kinds):
                    self.wire.insert(0, one)
                    self.deliver(0)
                else:
                    self.wire.append(one)

    # What is seen, and must hold.

    def _take(self, host: Host) -> None:
        out = host.raft.take_output()
        for to, message in out.messages:
            self.wire.append((host.name, to, message))
        del self.wire[: max(len(self.wire) - UNDER_WAY_MOST, 0)]
        host.unsynced += out.writes
        for one in out.to_apply:
            self._applied(host, one)
        for token, index in out.read_results:
            if index >= 0:
                host.reads[token] = index
            else:
                self.read_from.pop(token, None)
        for token, index in list(host.reads.items()):
            if host.state.index >= index:
                del host.reads[token]
                before = self.read_from.pop(token, None)
                self.seen["reads"] += 1
                if before is not None and host.state.version < before:
                    raise Violation(
                        f"a read found version {host.state.version} after {before} was acknowledged"
                    )
        self.check(host)

    def _applied(self, host: Host, one) -> None:
        if isinstance(one, Snapshot):
            host.state.restore(one.data) if one.data else host.state.skip(one.index, one.term)
            self.seen["snapshots"] += 1
            return
        known, term = self.committed.setdefault(one.index, (one, host.raft.term))
        if known != one:
            raise Violation(f"entry {one.index} was applied in two forms")
        if one.kind is not EntryKind.COMMAND:
            host.state.skip(one.index, one.term)
            return
        answer = host.state.apply(one.index, one.term, one.data)
        if isinstance(answer, SessionOpened):
            if answer.session not in self.sessions:
                self.sessions.append(answer.session)
            return
        command = msgspec.msgpack.decode(one.data, type=Propose)
        key = command.session, command.number
        former = self.answers.setdefault(key, answer)
        later = isinstance(answer, InvalidProposal) and answer.why.startswith("a later")
        if former != answer and not later:
            raise Violation(f"proposal {key} was answered {former}, then {answer}")
        if host.raft.role is Role.LEADER and isinstance(answer, Accepted):
            self.acknowledged = max(self.acknowledged, answer.version)
            self.seen["acknowledged"] += 1

    def check(self, host: Host) -> None:
        """The five properties, as far as this member's last step may have touched them."""
        raft, log = host.raft, host.raft.log
        if raft.role is Role.LEADER:
            if self.leaders.setdefault(raft.term, host.name) != host.name:
                raise Violation(f"term {raft.term} has two leaders")
            former = host.led
            if former and former[0] == raft.term:
                now = {one.index: one for one in log.entries}
                if any(
                    now.get(one.index, one) != one or one.index > log.last_index
                    for one in former[1]
                ):
                    raise Violation("a leader changed its log")
            host.led = raft.term, list(log.entries)
            for index, (entry, term) in self.committed.items():
                if term < raft.term and index > log.base[0] and log.term_at(index) != entry.term:
                    raise Violation(f"the leader of term {raft.term} lacks entry {index}")
            late = [
                one
                for one in log.entries
                if one.kind is EntryKind.CONFIGURATION
                and one.index > raft.commit_index
                and one.term == raft.term
            ]
            if len(late) > 1:
                raise Violation("two changes of members at once")
        before = log.base[1]
        roster = None
        for one in log.entries:
            known = self.entries.setdefault((one.index, one.term), (before, one.kind, one.data))
            if known != (before, one.kind, one.data):
                raise Violation(
                    f"entry {one.index} of term {one.term} differs, or what precedes it"
                )
            if one.kind is EntryKind.CONFIGURATION:
                new = set(decode_configuration(one.data).voters)
                if roster is not None and len(new ^ roster) > 1:
                    raise Violation("a roster changed by more than one")
                roster = new
            before = one.term
        if raft.commit_index > log.last_index:
            raise Violation("more is committed than is held")

    def check_end(self) -> None:
        """All is mended; once it has settled, every member holds the same, and nothing acknowledged is lost."""
        self.cuts.clear()
        self.slow.clear()
        self.asleep.clear()
        for name in list(self.hosts):
            self.start(name)
        self.settle(300)
        leader = max(
            (host for host in self.hosts.values() if host.raft.role is Role.LEADER),
            key=lambda host: host.raft.term,
            default=None,
        )
        if leader is None:
            raise Violation("nobody leads although all is well")
        for name in leader.raft.log.configuration.voters:
            host = self.hosts[name]
            if host.state.export() != leader.state.export():
                raise Violation(f"{name} holds another history than {leader.name}")
        if leader.state.version < self.acknowledged:
            raise Violation("an acknowledged version is lost")

    # Chance.

    def walk(self, steps: int) -> None:
        """So many random steps, most of them the common course, then the end's checks."""
        dice = self.dice
        acts = [
            (30, lambda n: self.deliver(dice.randrange(1 << 16))),
            (6, lambda n: self.pass_time(dice.uniform(1, 15))),
            (10, self.sync),
            (3, lambda n: self.lose(dice.randrange(1 << 16))),
            (3, lambda n: self.deliver(dice.randrange(1 << 16), again=True)),
            (5, self.propose),
            (2, self.repeat),
            (2, self.read),
            (2, self.follow),
            (1, self.open_session),
            (1, lambda n: self.settle(dice.randint(1, 8))),
            (0.7, lambda n: self.crash(n, dice.randrange(3))),
            (3, self.start),
            (0.5, self.compact),
            (0.5, lambda n: self.hand_over(n, dice.choice(list(self.hosts)))),
            (0.5, lambda n: self.change(n, dice.choice(NAMES))),
            (0.8, lambda n: self.cuts.add((n, dice.choice(list(self.hosts))))),
            (0.3, lambda n: self.isolate(n)),
            (0.6, lambda n: self.cuts.clear()),
            (0.4, self.sleep),
            (1, self.wake),
            (0.1, lambda n: self.nap()),
            (0.1, lambda n: self.figure_8()),
        ]
        weights = [weight for weight, _ in acts]
        self.settle(60)
        for _ in range(3):
            for name in self.hosts:
                self.open_session(name)
        self.settle(10)
        for act in dice.choices([act for _, act in acts], weights, k=steps):
            act(dice.choice(list(self.hosts)))
        self.check_end()

    def isolate(self, name: str) -> None:
        for other in self.hosts:
            self.cuts |= {(name, other), (other, name)}
