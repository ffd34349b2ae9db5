"""Fleets that change faster than a small channel carries orders, under a virtual clock.

Each check plays `lifthinge.lab.fleetworld` from fixed seeds and holds it to rules 1, 3, 4 and 5, and to a
channel that brings backends back about as fast as they leave.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from lifthinge.lab.fleetworld import FleetOptions, FleetWorld

START_MS = 7_000.0
SETTLE_MS = 15_000.0
SEEDS = (3, 4)
WORKERS = 4
HOUR_MS = 3_600_000.0


@dataclass(frozen=True)
class Play:
    """A rolling restart, and what else happens in it."""

    options: FleetOptions = field(default_factory=FleetOptions)
    groups: int = 9
    group_size: int = 3
    every_ms: float = 3_350.0
    drain_ms: float = 6_600.0
    down_ms: float = 1_400.0
    clock_error_ms: float = 0.0
    trouble: Callable[[FleetWorld], float] | None = None  # plans it; returns when it is over


def _names(group_size: int, groups: int) -> list[list[str]]:
    return [
        [f"s-{group_size * group + member}" for member in range(group_size)]
        for group in range(groups)
    ]


def _run(play: Play, seed: int) -> str:
    """Play it; return what is wrong, or nothing."""
    world = FleetWorld(play.options, seed)
    end_ms = world.rolling_restart(
        _names(play.group_size, play.groups),
        START_MS,
        play.every_ms,
        play.drain_ms,
        play.down_ms,
        play.clock_error_ms,
    )
    if play.trouble is not None:
        end_ms = max(end_ms, play.trouble(world))
    world.run(end_ms + SETTLE_MS)
    problems = []
    if world.violations:
        first = world.violations[0]
        problems.append(
            f"{len(world.violations)} breaches, the first of rule {first.rule.value} at"
            f" {first.at_ms / 1000:.1f} s: {first.subject}"
        )
    left = world.ready_and_withdrawn()
    if len(left) > play.group_size:
        problems.append(f"{len(left)} ready backends are still withdrawn")
    return f"seed {seed}: {', '.join(problems)}" if problems else ""


def _check(*plays: Play) -> None:
    """Play each from all seeds."""
    runs = [(play, seed) for play in plays for seed in SEEDS]
    with ProcessPoolExecutor(WORKERS) as pool:
        problems = [
            f"play {number // len(SEEDS)}, {problem}"
            for number, problem in enumerate(pool.map(_run, *zip(*runs, strict=True)))
            if problem
        ]
    assert not problems, "; ".join(problems)


# Restarted backends stayed withdrawn, and the few that were left in use ran tables bare as each one drained (issue 39).
def check_rolling_restart_leaves_no_table_bare() -> None:
    _check(Play(), Play(options=FleetOptions(slices=128, controllers=2)), Play(groups=10))


# The same with more at once, in quicker turns, and with more slices, proxies or backends for the channel.
def check_rolling_restart_of_other_sizes_and_paces() -> None:
    _check(
        Play(group_size=5, groups=6, every_ms=5_000.0),
        Play(every_ms=2_000.0),
        Play(options=FleetOptions(slices=128)),
        Play(options=FleetOptions(proxies=250)),
        Play(options=FleetOptions(proxies=100)),
        Play(options=FleetOptions(backends=12), group_size=2, groups=5),
        Play(options=FleetOptions(backends=60, slices=128), groups=18, every_ms=2_000.0),
        Play(options=FleetOptions(warm_up_ms=40_000.0)),
    )


# Backends in warm-up that come back early are pushed over (rule 4), or withdrawn again and again.
def check_rolling_restart_under_load() -> None:
    _check(
        Play(options=FleetOptions(utilization=0.6)),
        Play(options=FleetOptions(utilization=0.7)),
        Play(options=FleetOptions(utilization=0.6, slices=128, controllers=2)),
    )


# Backends that die, and start again before or after the list has told it.
def check_crashes_in_turn() -> None:
    _check(
        Play(drain_ms=0.0, down_ms=3_000.0),
        Play(drain_ms=0.0, down_ms=200.0),
        Play(drain_ms=0.0, down_ms=200.0, options=FleetOptions(utilization=0.7)),
    )


def _lose_zone(world: FleetWorld) -> float:
    names = [name for name, backend in world.backends.items() if backend.zone == 1]
    world.schedule(20_000.0, lambda: world.crash(names))
    world.schedule(21_500.0, lambda: world.stop(names))
    world.schedule(26_000.0, lambda: world.restart(names))
    return 26_000.0


# A zone that is lost and returns cold, alone and in the middle of a rolling restart.
def check_zone_that_returns() -> None:
    _check(Play(groups=1, trouble=_lose_zone), Play(trouble=_lose_zone))


def _rejoin(world: FleetWorld) -> float:
    controller = world.controllers[0]

    def leave() -> None:
        for proxy in controller.proxies:
            controller.leave(proxy.number)
        world.join_all(controller, 1_000.0)

    world.schedule(20_000.0, leave)
    return 21_000.0


def _restart_controller(world: FleetWorld) -> float:
    controller = world.controllers[0]

    def start() -> None:
        controller.start()
        world.join_all(controller, 1_000.0)

    world.schedule(22_000.0, controller.kill)
    world.schedule(24_000.0, start)
    return 25_000.0


def _take_over(world: FleetWorld) -> float:
    former, successor = world.controllers
    world.schedule(22_000.0, former.kill)
    world.schedule(25_000.0, lambda: successor.grant(sorted(former.revoke())))
    return 25_000.0


# The news breaks off and all proxies join anew, the controller restarts, or another takes its slices over, in the middle.
def check_rolling_restart_with_joins_and_takeover() -> None:
    _check(
        Play(trouble=_rejoin),
        Play(trouble=_restart_controller),
        Play(options=FleetOptions(controllers=2), trouble=_take_over),
    )


# A stepped wall clock puts the start of a backend into the future, so it never warmed up, or long ago, so it counted as warm.
def check_rolling_restart_with_a_stepped_clock() -> None:
    _check(
        Play(clock_error_ms=HOUR_MS),
        Play(clock_error_ms=HOUR_MS, groups=10),
        Play(clock_error_ms=-HOUR_MS),
        Play(clock_error_ms=-HOUR_MS, options=FleetOptions(utilization=0.7)),
    )


CHECKS = {name[6:]: check for name, check in globals().items() if name.startswith("check_")}
