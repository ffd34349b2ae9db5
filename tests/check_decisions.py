"""The decisions under events in any order, at any phase of their own rhythm, and with parts that raise."""

import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterable
from copy import deepcopy
from dataclasses import replace
from itertools import product
from pathlib import Path

from lifthinge.interface import (
    AttemptReport,
    Backend,
    Event,
    FleetNews,
    FleetNewsKind,
    Listing,
    LogDecision,
    Order,
    Phase,
    Proxy,
    ProxyJoined,
    SetWithdrawn,
    Slice,
    SliceHeatReport,
    SliceLeaseChanged,
    StoredEntry,
)
from lifthinge.policy import Policy
from tests.play.stage import TERMS, Stage

ROOT = Path(__file__).parent.parent
BACKENDS, SLICES, PROXIES = 12, 48, 6
# No interval is a multiple of a turn's, so that evaluations and rounds fall into different turns.
TURN_MS, REPORT_MS = 35.0, 500.0
SLOW_FROM_MS, GIVEN_FROM_MS, GIVEN_UNTIL_MS = 2_000.0, 3_500.0, 7_500.0


class Fleet:
    """One instance with half of the slices, and backends of which the first becomes slow."""

    def __init__(self) -> None:
        self.policy = Policy(replace(TERMS, report_interval_ms=REPORT_MS), 7)
        self.next_report_ms = REPORT_MS
        self.backends = [Backend(f"s-{n}", f"s-{n}") for n in range(BACKENDS)]
        self.slices = [Slice(n) for n in range(SLICES)]
        self.held = SLICES // 2
        listings = [
            Listing(b, n % 3, 0, Phase.READY, 0.0, 1.0) for n, b in enumerate(self.backends)
        ]
        self.policy.decide(
            0.0,
            [
                FleetNews(FleetNewsKind.FULL, listings),
                *(ProxyJoined(Proxy(n), True) for n in range(PROXIES)),
                *self.grant(range(self.held)),
            ],
        )

    def grant(self, numbers: Iterable[int], owner: str = "") -> list[Event]:
        """Events that give slices, each with its entry: of one owner, or by turns."""
        return [
            event
            for n in numbers
            for event in (
                SliceLeaseChanged(self.slices[n], True),
                StoredEntry(self.slices[n], self._owner(n, owner), 1.0),
            )
        ]

    def _owner(self, number: int, name: str) -> Backend:
        """The backend of a name; without one, the first has more slices than the others."""
        number = 0 if number % 3 == 0 else number % BACKENDS
        return next(
            b for n, b in enumerate(self.backends) if (b.name == name if name else n == number)
        )

    def orders_when_given(
        self, now_ms: float, numbers: Iterable[int], owner: str = ""
    ) -> list[Order]:
        """What a copy of this fleet orders when it is given slices now."""
        copied = deepcopy(self)
        return copied.policy.decide(now_ms, copied.grant(numbers, owner))

    def is_round_alone(self, now_ms: float) -> bool:
        """Whether a placement round falls due now, and no evaluation."""
        return self.policy.next_round_ms <= now_ms < self.policy.next_evaluation_ms

    def reports(self, now_ms: float) -> list[Event]:
        """What is reported of the last interval, if it is over."""
        if now_ms < self.next_report_ms:
            return []
        self.next_report_ms += REPORT_MS
        slow_ms = 600.0 if now_ms > SLOW_FROM_MS else 120.0
        return [
            *(
                AttemptReport(0, b, 10, 0, 120.0 if n else slow_ms, REPORT_MS, ())
                for n, b in enumerate(self.backends)
            ),
            *(
                SliceHeatReport(s, n, 3, 0, REPORT_MS)
                for s in self.slices[: self.held]
                for n in (0, 1)
            ),
        ]


# Slices of a backend over the mark, given when a placement round falls due and no evaluation: their heat was not known yet, and
# the round raised. Such a round went by the sums of before, too, and moved slices to who had just been given many.
def check_slices_given_at_any_phase() -> None:
    fleet, now_ms, rounds_alone, moves_alone = Fleet(), 0.0, 0, 0
    rest = range(SLICES // 2, SLICES)
    while now_ms < GIVEN_UNTIL_MS:
        now_ms += TURN_MS
        if now_ms > GIVEN_FROM_MS:
            rounds_alone += fleet.is_round_alone(now_ms)
            fleet.orders_when_given(now_ms, rest)
            for target in _move_targets(fleet.orders_when_given(now_ms, ())):
                moves_alone += fleet.is_round_alone(now_ms)
                targets = _move_targets(fleet.orders_when_given(now_ms, rest, owner=target))
                assert target not in targets, f"at {now_ms} to {target}, which has the other half"
        fleet.policy.decide(now_ms, fleet.reports(now_ms))
    assert rounds_alone >= 2 and moves_alone, "no round fell due alone"


def _move_targets(orders: list[Order]) -> list[str]:
    """The backends to which a turn moves slices, by what it logs."""
    texts = [order.text.split() for order in orders if isinstance(order, LogDecision)]
    return [words[words.index("to") + 1] for words in texts if words[0] == "move"]


# Events that raise each time held up the others, and all orders: they are repeated once, and the rest goes on.
def check_events_that_always_raise() -> None:
    fleet, now_ms, withdrawn = Fleet(), 0.0, []

    def fail(_: Event) -> None:
        raise ArithmeticError("each time")

    fleet.policy.event_handlers[AttemptReport] = fail
    drain = FleetNews(
        FleetNewsKind.DELTA, [Listing(fleet.backends[1], 1, 0, Phase.DRAINING, 0.0, 1.0)]
    )
    while now_ms < GIVEN_UNTIL_MS:
        now_ms += TURN_MS
        is_drained = now_ms <= SLOW_FROM_MS < now_ms + TURN_MS
        fleet.next_report_ms = now_ms  # reports come in each turn
        events = [*fleet.reports(now_ms), *([drain] if is_drained else [])]
        orders = fleet.policy.decide(now_ms, events)
        withdrawn += [now_ms for order in orders if isinstance(order, SetWithdrawn)]
        assert (
            len(fleet.policy.deferred_events + fleet.policy.raised_events) <= BACKENDS + SLICES + 1
        )
    assert withdrawn and withdrawn[0] <= SLOW_FROM_MS + 2 * TURN_MS, withdrawn


# A value that may be absent was taken for a number: the type checker finds each such line of the decision modules.
def check_types() -> None:
    modules = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    with tempfile.TemporaryDirectory() as cache:
        command = [sys.executable, "-m", "mypy", "--strict", "--cache-dir", cache, *modules]
        checked = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=300)
    assert checked.returncode == 0, checked.stdout + checked.stderr


# Texts of `tests.play.stage`: what leads up to a change of the fleet; the change; what becomes of its call, if one was made;
# and what follows until all has settled.
RAISING_PLAYS = (
    ("fleet a b c d; join 1 2 3; given 1 a:1 b:0.001; given 2 b:1 a:0.001; given 3 c:1; heat 1 90; heat 2 50;"
     "heard a 40 0 100; heard b 40 0 100; heard c 40 0 100; heard d 40 0 100",
     "list a draining", "", "join 4; at 13500; list a gone; leave 2; at 18000"),
    ("terms one_owner=1; fleet a b c d; join 1 2 3; given 1 a:1; given 2 b:1; given 3 c:1",
     "list a draining", "", "join 4; at 13500; list a gone; at 18000"),
    ("fleet a b c d; join 1 2 3; given 1 a:1 b:0.001; given 2 b:1 a:0.001; given 3 c:1",
     "list a draining", "channel held; lost; at 12200; channel unknown", "at 13500; list b draining; at 18000"),
)  # fmt: skip
DISTURBED_CALLS = (1, 3)


class RaisedOnce:
    """Makes one method of an instance raise in one of its calls: before it runs, or after."""

    def __init__(self, policy: Policy, name: str, call: int, is_after: bool) -> None:
        self.method, self.calls_left, self.is_after = getattr(policy, name), call, is_after
        setattr(policy, name, self)

    def __call__(self, *arguments: object) -> object:
        self.calls_left -= 1
        if self.calls_left == 0 and not self.is_after:
            raise ArithmeticError("before")
        result = self.method(*arguments)
        if self.calls_left == 0:
            raise ArithmeticError("after")
        return result


def _play_raising(play: tuple[str, str, str, str], name: str, call: int, is_after: bool) -> Stage:
    """Play a text with one call of a method that raises, from the change of the fleet on."""
    before, change, loss, after = play
    stage = Stage()
    stage.may_raise = stage.is_lossy = True
    stage.run(f"{before}; at 12000")
    former_seal = stage.sealed
    RaisedOnce(stage.policy, name, call, is_after)
    stage.run(change)
    if stage.sealed != former_seal:
        stage.run(loss)
    stage.run(after)
    return stage


def _check_nothing_lost(stage: Stage) -> None:
    """What the decisions take for present is present, and nobody is sent to who left."""
    believed = {b for b in stage.policy.backends if b.is_withdrawn}
    assert stage.out - stage.forgotten == believed, "withdrawals"
    assert stage.name(Backend, "a") in stage.out, "a withdrawal was lost"
    for slice_ in stage.policy.slices:
        assert slice_.table == stage.tables[slice_], f"table of slice {slice_.number}"
        assert any(b not in stage.out for b in slice_.table), f"slice {slice_.number} is bare"
        assert stage.levels.get((slice_, 1), 1.0) > 0, f"writes of slice {slice_.number} are held"
    assert not stage.policy.deferred_events + stage.policy.raised_events, "events wait"


# A part of a decision raised: the events after it, and the orders of its turn, never came to the proxies.
def check_part_that_raises_loses_nothing() -> None:
    raised = 0
    names = [name for name, one in vars(Policy).items() if callable(one) and name[:2] != "__"]
    for play in RAISING_PLAYS:
        for name in names:
            if name in ("decide", "_run_part", "_take_in", "_handle", "_withhold", "_give_anew"):
                continue
            for call, is_after in product(DISTURBED_CALLS, (False, True)):
                stage = _play_raising(play, name, call, is_after)
                raised += len(stage.faults)
                if not stage.faults:
                    break
                try:
                    _check_nothing_lost(stage)
                except AssertionError as error:
                    when = "after" if is_after else "before"
                    raise AssertionError(
                        f"{name}, call {call}, {when}, {play[1]}: {error}"
                    ) from None
    assert raised > 100, raised


CHECKS: dict[str, Callable[[], None]] = {
    name[6:]: check for name, check in globals().items() if name.startswith("check_")
}
