"""Plays a scenario of members under a virtual clock; every promise is checked after each step (`lab/raftworld.py`).

    members N               that vote, named a, b, c …; they settle, and a client opens a session
    settle [N]              disks sync, messages arrive and time passes, so many rounds
    lead a                  time passes for a alone until it leads
    cut a b / way a b / isolate a / mend        both directions, from a to b alone, a from all; all is well
    slow a / sync a         a's disk syncs only when told
    crash a [KEPT] / start a                    loses what was not synced, but for so many writes
    propose a [N] / repeat a / read a / compact a / change a d / transfer a b
    forget a                messages under way to a are lost
    figure-8                the steps of the paper's figure
    clock MS                time passes for all, and no message arrives
    cut-short               messages of snapshots under way are lost

and, as assertions: `leads a`, `follows a`, `nobody` (leads a majority), `version a N`, `acknowledged N`,
`voters a b c`, `learner d`, `snapshots N` (taken in, at least), `reads N` (answered, at least),
`refused WHY` (of the last change). At the end all is mended, and all hold the same.
"""

from lifthinge.lab.raftworld import RaftWorld
from lifthinge.raft.messages import InstallSnapshot
from lifthinge.raft.node import Refusal, Role


class ClusterStage:
    """One scenario."""

    def __init__(self) -> None:
        self.world = RaftWorld(7)
        self.came: object = None

    def run(self, text: str) -> None:
        for line in text.splitlines():
            for statement in line.split("#")[0].split(";"):
                words = statement.split()
                if words:
                    try:
                        getattr(self, "do_" + words[0].replace("-", "_"))(*words[1:])
                    except AssertionError as error:
                        raise AssertionError(f"{' '.join(words)}: {error}") from None
        self.world.check_end()

    def raft(self, name: str):
        return self.world.hosts[name].raft

    def do_members(self, count: str) -> None:
        self.world = RaftWorld(7, int(count))
        self.world.settle(60)
        for name in self.world.hosts:
            self.world.open_session(name)
        self.world.settle(10)
        assert self.world.sessions

    def do_settle(self, rounds: str = "40") -> None:
        self.world.settle(int(rounds))

    def do_lead(self, name: str) -> None:
        world = self.world
        for _ in range(200):
            if self.raft(name).role is Role.LEADER:
                return
            if self.raft(name).next_tick_at <= world.now:
                self.raft(name).election_due_at = world.now
            world.now += 120.0
            for host in world.hosts.values():  # the others would wait a little longer
                if (
                    host.raft is not None
                    and host.name != name
                    and host.raft.role is not Role.LEADER
                ):
                    host.raft.election_due_at = max(host.raft.election_due_at, world.now + 50.0)
            for other in world.hosts:
                world.tick(other)
            for _ in range(6):
                for other in world.hosts:
                    if other not in world.slow:
                        world.sync(other)
                for _ in range(len(world.wire)):
                    world.deliver(0)
        raise AssertionError(f"{name} does not come to lead")

    def do_figure_8(self) -> None:
        self.world.figure_8()

    def do_cut(self, a: str, b: str) -> None:
        self.world.cuts |= {(a, b), (b, a)}

    def do_way(self, a: str, b: str) -> None:
        self.world.cuts.add((a, b))

    def do_isolate(self, name: str) -> None:
        self.world.isolate(name)

    def do_mend(self) -> None:
        self.world.cuts.clear()

    def do_slow(self, name: str) -> None:
        self.world.slow.add(name)

    def do_sync(self, name: str) -> None:
        self.world.slow.discard(name)
        self.world.sync(name)

    def do_crash(self, name: str, kept: str = "0") -> None:
        self.world.crash(name, int(kept))

    def do_start(self, name: str) -> None:
        self.world.start(name)

    def do_propose(self, name: str, count: str = "1") -> None:
        for _ in range(int(count)):
            self.world.propose(name)
            if int(count) > 1:
                self.world.settle(2)

    def do_repeat(self, name: str) -> None:
        self.world.repeat(name)

    def do_read(self, name: str) -> None:
        self.world.read(name)

    def do_compact(self, name: str) -> None:
        self.world.compact(name)

    def do_change(self, name: str, other: str) -> None:
        known = self.raft(name).log.configuration.get(other)
        self.came = self.raft(name)._change_blocked()
        self.world.change(name, other)
        assert known is not None or other in self.world.hosts

    def do_transfer(self, name: str, other: str) -> None:
        self.world.hand_over(name, other)

    def do_forget(self, name: str) -> None:
        self.world.wire = [one for one in self.world.wire if one[1] != name]

    def do_clock(self, by: str) -> None:
        for _ in range(int(float(by) / 5)):
            self.world.pass_time(5.0)

    def do_cut_short(self) -> None:
        self.world.wire = [
            one for one in self.world.wire if not isinstance(one[2], InstallSnapshot)
        ]

    def do_leads(self, name: str) -> None:
        assert self.raft(name).role is Role.LEADER, f"{name} is {self.raft(name).role.name}"

    def do_follows(self, name: str) -> None:
        assert self.raft(name).role is not Role.LEADER, f"{name} leads"

    def do_nobody(self) -> None:
        now = self.world.now
        assert not any(
            host.raft and host.raft.role is Role.LEADER and host.raft.has_recent_quorum(now, 100.0)
            for host in self.world.hosts.values()
        ), "somebody leads"

    def do_version(self, name: str, number: str) -> None:
        found = self.world.hosts[name].state.version
        assert found == int(number), f"{name} holds version {found}"

    def do_acknowledged(self, number: str) -> None:
        assert self.world.acknowledged == int(number), f"{self.world.acknowledged} acknowledged"

    def do_voters(self, *names: str) -> None:
        leader = next(
            host
            for host in self.world.hosts.values()
            if host.raft and host.raft.role is Role.LEADER
        )
        assert sorted(leader.raft.log.configuration.voters) == sorted(names), (
            leader.raft.log.configuration.voters
        )

    def do_learner(self, name: str) -> None:
        leader = next(
            host
            for host in self.world.hosts.values()
            if host.raft and host.raft.role is Role.LEADER
        )
        assert not leader.raft.log.configuration.get(name).votes, f"{name} votes"

    def do_snapshots(self, count: str) -> None:
        assert self.world.seen["snapshots"] >= int(count), self.world.seen

    def do_reads(self, count: str) -> None:
        assert self.world.seen["reads"] >= int(count), self.world.seen

    def do_refused(self, why: str) -> None:
        assert isinstance(self.came, Refusal) and self.came.why.value == why, self.came
