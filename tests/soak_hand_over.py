"""A soak of hand-overs between single owners: drawn sizes and paces, departures and disturbances, under a virtual clock.

`python -m tests.soak_hand_over N` plays the seeds 1 to N and tells which break a rule.
"""

import sys
from random import Random

from lifthinge.interface import Phase
from lifthinge.lab.ownerworld import CallFate, OwnerOptions, OwnerWorld

SEEDS = 40  # of a test run
LENGTH_MS, SETTLE_MS = 20_000.0, 12_000.0


def _options(dice: Random) -> OwnerOptions:
    proxies, slices = dice.choice((2, 4, 7)), dice.choice((3, 6))
    is_silent = dice.random() < 0.25
    return OwnerOptions(
        admission_mode="silent" if is_silent else "ratio",
        # Where levels have no effect a restart takes longer than rule 1 allows.
        max_bare_ms=float("inf") if is_silent else 2_300.0,
        backends=dice.choice((5, 8)),
        slices=slices,
        proxies=proxies,
        entries_per_ms=dice.choice((6.4, 3.2, 1.6)),
        max_write_ms=dice.choice((900.0, 2_020.0, 4_000.0)),
        write_lease_ms=dice.choice((200.0, 800.0, 2_500.0)),
        grace_ms=dice.choice((1_500.0, 2_100.0, 4_000.0)),
        informed_after_ms=dice.choice((0.0, 200.0, 900.0)),
        voids_at_once=dice.random() < 0.5,
    )


def _disturb(world: OwnerWorld, dice: Random) -> None:
    """Plan one disturbance at a drawn time."""
    at_ms = dice.uniform(1_000.0, LENGTH_MS)
    number = dice.randrange(len(world.proxies))
    old_list = dict(world.phases) if dice.random() < 0.3 else None
    down_ms = dice.choice((100.0, 900.0, 3_000.0))

    def restart() -> None:
        world.kill()
        life = world.life
        world.schedule(world.now_ms + down_ms, lambda: world.life == life and world.start(old_list))
        world.schedule(world.now_ms + down_ms + 300.0, lambda: world.tell_list(world.phases))

    def rejoin() -> None:
        if world.proxies[number].is_joined:
            world.leave(number)
            world.schedule(world.now_ms + down_ms, lambda: world.join(number))

    def lose_call() -> None:
        world.next_call = dice.choice((CallFate.LOST, CallFate.ANSWER_LOST))

    def regrant() -> None:
        if world.policy is not None:
            world.regrant()

    world.schedule(at_ms, dice.choice((restart, restart, rejoin, lose_call, lose_call, regrant)))


def _depart(world: OwnerWorld, dice: Random) -> None:
    """Plan the departures of backends, and their return; two of them always stay."""
    leaving = [*world.phases][2:]
    at_ms = dice.uniform(1_500.0, 4_000.0)
    while at_ms < LENGTH_MS:
        names = dice.sample(leaving, dice.randint(1, min(2, len(leaving))))
        if dice.random() < 0.4:
            names.append("s-0")
        phase, away_ms = dice.choice((Phase.DRAINING, Phase.GONE)), dice.uniform(500.0, 6_000.0)
        world.schedule(at_ms, lambda names=names, phase=phase: world.set_phase(names, phase))
        world.schedule(at_ms + away_ms, lambda names=names: world.set_phase(names, Phase.READY))
        at_ms += dice.uniform(1_500.0, 7_000.0)


def play(seed: int) -> OwnerWorld:
    """Play one seed."""
    dice = Random(seed)
    world = OwnerWorld(_options(dice), seed)
    _depart(world, dice)
    for _ in range(dice.randint(0, 5)):
        _disturb(world, dice)
    world.run(LENGTH_MS + SETTLE_MS)
    return world


def _breach(world: OwnerWorld) -> str:
    if world.breaches:
        return f"{len(world.breaches)}, first {world.breaches[0]}"
    if None in world.store.values():
        return f"slices without an owner at the end: {world.store}"
    return ""


# Hand-overs of drawn sizes, disturbed by restarts, takeovers, rejoining proxies, lost calls and slices given back.
def check_soak() -> None:
    for seed in range(1, SEEDS + 1):
        breach = _breach(play(seed))
        assert not breach, f"seed {seed}: {breach}"


if __name__ == "__main__":
    total = int(sys.argv[1])
    breaches = {seed: breach for seed in range(1, total + 1) if (breach := _breach(play(seed)))}
    for seed, breach in breaches.items():
        print(f"seed {seed}: {breach}")
    print(f"{total - len(breaches)} of {total} seeds hold")
