"""The protocol under chance: Hypothesis steps, random walks, and the faults that the same checks must find."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lifthinge.lab.faults import FAULTS
from lifthinge.lab.raftworld import NAMES, RaftWorld, Violation

WHO = st.integers(0, 4)
WALKS, STEPS = 12, 600  # without a fault
FAULT_WALKS, FAULT_STEPS = 400, 900


class Cluster(RuleBasedStateMachine):
    """Steps that Hypothesis chooses, and cuts down to the few that matter once one breaks a promise."""

    @initialize(seed=st.integers(0, 1 << 16), size=st.sampled_from([3, 4, 5]))
    def begin(self, seed, size):
        self.world = RaftWorld(seed, size)
        self.world.settle(60)
        for name in self.world.hosts:
            self.world.open_session(name)
        self.world.settle(8)

    def name(self, who):
        return list(self.world.hosts)[who % len(self.world.hosts)]

    @rule(place=st.integers(0, 400), again=st.booleans())
    def deliver(self, place, again):
        self.world.deliver(place, again)

    @rule(rounds=st.integers(1, 12))
    def settle(self, rounds):
        self.world.settle(rounds)

    @rule(by=st.floats(1, 250))
    def pass_time(self, by):
        self.world.pass_time(by)

    @rule(who=WHO, kept=st.integers(0, 2))
    def crash(self, who, kept):
        self.world.crash(self.name(who), kept)

    @rule(who=WHO)
    def start(self, who):
        self.world.start(self.name(who))

    @rule(who=WHO)
    def sync(self, who):
        self.world.sync(self.name(who))

    @rule(
        who=WHO, what=st.sampled_from(["propose", "repeat", "read", "compact", "follow", "isolate"])
    )
    def act(self, who, what):
        getattr(self.world, what)(self.name(who))

    @rule(who=WHO, other=st.sampled_from(NAMES))
    def change(self, who, other):
        self.world.change(self.name(who), other)

    @rule(who=WHO, other=WHO)
    def transfer(self, who, other):
        self.world.hand_over(self.name(who), self.name(other))

    @rule(who=WHO, other=WHO)
    def cut(self, who, other):
        self.world.cuts.add((self.name(who), self.name(other)))

    @precondition(lambda self: self.world.cuts)
    @rule()
    def mend(self):
        self.world.cuts.clear()

    def teardown(self):
        if hasattr(self, "world"):
            self.world.check_end()


def check_steps() -> None:
    """No steps that Hypothesis finds break a promise."""
    run_state_machine_as_test(
        Cluster,
        settings=settings(
            max_examples=60,
            stateful_step_count=50,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def check_walks() -> None:
    """No random walk breaks a promise, and the walks come to everything that is to be tried."""
    seen: dict[str, int] = {}
    for number in range(WALKS):
        world = RaftWorld(1_000 + number, (3, 5)[number % 2])
        world.walk(STEPS)
        for name, count in world.seen.items():
            seen[name] = seen.get(name, 0) + count
    for name in ("acknowledged", "reads", "snapshots", "crashes"):
        assert seen.get(name, 0) > 10, seen


def _finds(fault: str):
    def check() -> None:
        for number in range(FAULT_WALKS):
            try:
                RaftWorld(7_000 + number, (3, 5)[number % 2], fault).walk(FAULT_STEPS)
            except (Violation, AssertionError):
                return
        raise AssertionError(f"the checks do not find {fault}")

    return check


CHECKS = {
    "steps": check_steps,
    "walks": check_walks,
    **{f"finds {fault}": _finds(fault) for fault in FAULTS},
}
