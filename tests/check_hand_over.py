"""Hand-overs between single owners, disturbed at every moment of theirs, under a virtual clock."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from lifthinge.interface import Phase
from lifthinge.lab.ownerworld import CallFate, OwnerOptions, OwnerWorld

DRAIN_MS, DISTURBED_MS, STEP_MS, SETTLE_MS = 3_000.0, 4_500.0, 50.0, 9_000.0
LEAVING = ("s-0",)
INFINITY = float("inf")


@dataclass(frozen=True)
class Disturbance:
    """What happens at a moment of the hand-over, and in which world."""

    happen: Callable[[OwnerWorld], None]
    options: OwnerOptions = OwnerOptions()
    leaving: tuple[str, ...] = LEAVING
    phase: Phase = Phase.DRAINING


def _play(disturbance: Disturbance, after_ms: float) -> OwnerWorld:
    world = OwnerWorld(disturbance.options, seed=int(after_ms))
    world.schedule(DRAIN_MS, lambda: world.set_phase(disturbance.leaving, disturbance.phase))
    world.schedule(DRAIN_MS + after_ms, lambda: disturbance.happen(world))
    world.run(DRAIN_MS + after_ms + SETTLE_MS)
    return world


def _check(*disturbances: Disturbance) -> None:
    """Play each disturbance at every moment from the drain to the end of the hand-over."""
    for number, disturbance in enumerate(disturbances):
        after_ms = 0.0
        while after_ms < DISTURBED_MS:
            world = _play(disturbance, after_ms)
            where = f"play {number}, {after_ms:.0f} ms after the drain"
            assert not world.breaches, f"{where}: {len(world.breaches)}, {world.breaches[0]}"
            owners = {entry and entry.name for entry in world.store.values()}
            assert not owners & {None, *disturbance.leaving}, f"{where}: {owners}"
            assert all(level > 0 for level in world.store_levels.values()), f"{where}: held"
            after_ms += STEP_MS


def _restart(down_ms: float, old_list: bool = False) -> Callable[[OwnerWorld], None]:
    """A kill, and a start some time later, with the list of before the drain if that is said."""

    def happen(world: OwnerWorld) -> None:
        phases = dict.fromkeys(world.phases, Phase.READY) if old_list else None
        world.kill()
        world.schedule(world.now_ms + down_ms, lambda: world.start(phases))
        world.schedule(world.now_ms + down_ms + 400.0, lambda: world.tell_list(world.phases))

    return happen


def _two_kills(world: OwnerWorld) -> None:
    _restart(100.0)(world)
    world.schedule(world.now_ms + 900.0, lambda: _restart(100.0)(world))


def _lose_call(fate: CallFate) -> Callable[[OwnerWorld], None]:
    def happen(world: OwnerWorld) -> None:
        world.next_call = fate

    return happen


def _rejoin(world: OwnerWorld) -> None:
    world.leave(1)
    world.schedule(world.now_ms + 150.0, lambda: world.join(1))


def _owner_returns(world: OwnerWorld) -> None:
    world.set_phase(LEAVING, Phase.READY)
    world.schedule(world.now_ms + 700.0, lambda: world.set_phase(LEAVING, Phase.DRAINING))


def _new_owners_leave(world: OwnerWorld) -> None:
    for turn, name in enumerate(("s-2", "s-3", "s-4")):
        world.schedule(
            world.now_ms + 700.0 * turn, lambda name=name: world.set_phase([name], Phase.DRAINING)
        )


VOIDING = OwnerOptions(voids_at_once=True)
# Where levels have no effect the table is empty from the first message on: a restart takes longer than rule 1 allows.
SILENT = replace(VOIDING, admission_mode="silent", max_bare_ms=INFINITY)
SLOW = replace(VOIDING, entries_per_ms=0.5, slices=8)  # 0.2 to 0.3 s for a message to all


# A controller killed amid a hand-over: its levels were void, the store named the new owner, and the former one still had writes.
def check_restart_at_any_moment() -> None:
    _check(
        Disturbance(_restart(100.0)),
        Disturbance(_restart(100.0), VOIDING),
        Disturbance(_restart(1_500.0), VOIDING),
        Disturbance(_two_kills, VOIDING),
        Disturbance(_restart(300.0), SLOW, leaving=("s-0", "s-1")),
        Disturbance(_restart(300.0), VOIDING, phase=Phase.GONE),
        Disturbance(_restart(300.0), SILENT),
    )


# Another controller takes over with a list of before the drain: it can't know from the list that a hand-over ran.
def check_takeover_at_any_moment() -> None:
    _check(
        Disturbance(_restart(800.0, old_list=True), VOIDING),
        Disturbance(_restart(3_400.0, old_list=True), VOIDING),
        Disturbance(lambda world: world.regrant(), VOIDING),
    )


# What else comes amid a hand-over: proxies that rejoin, the former owner back under its id, new owners that leave in turn.
def check_changes_at_any_moment() -> None:
    _check(Disturbance(_rejoin), Disturbance(_owner_returns), Disturbance(_new_owners_leave))


# The call after a moment of the hand-over is not carried out, or its answer is lost: its orders come late, or twice.
def check_lost_call_at_any_moment() -> None:
    _check(Disturbance(_lose_call(CallFate.LOST)), Disturbance(_lose_call(CallFate.ANSWER_LOST)))


# The table of an undisturbed hand-over is without an entry for no longer than rule 1 allows, whatever the levels say.
def check_bare_for_no_longer_than_allowed() -> None:
    for seed in range(30):
        world = _play(Disturbance(lambda world: None), seed * STEP_MS)
        assert not world.breaches, f"seed {seed}: {world.breaches[0]}"
        assert world.longest_bare_ms <= world.options.max_bare_ms, f"{world.longest_bare_ms:.0f} ms"


CHECKS = {name[6:]: check for name, check in globals().items() if name.startswith("check_")}
