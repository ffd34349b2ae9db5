"""Restarts on channels that are slower than stated for a while, under a virtual clock; by hand: python -m tests.soak_scarce_channel 60.

The slowdowns are those of the site page: 2 to 8 times, for 5 to 30 s. Sizes are drawn so that what a group needs in one message
(its withdrawals, an entry for each of its tables, and its return) leaves the slow channel before the next group drains.
"""

import sys
from random import Random

from lifthinge.lab.fleetworld import FleetOptions
from tests import check_fleet
from tests.check_fleet import Play
from tests.check_scarce_channel import _hang_two, _rejoin_and_hang, _rejoin_by_turns, _slow
from tests.soak_fleet import check_seeds, main

CHECKED_SEEDS = range(1, 5)  # in the test run
OVERHEAD_ENTRIES = 17.0
QUEUE_S = 1.5


def draw(seed: int) -> Play:
    """Draw a rolling restart and its channel."""
    random = Random(seed)
    backends = random.choice([20, 30, 40])
    group_size = random.randint(1, 3)
    slices = backends * random.choice([2, 3])
    factor = random.uniform(2.0, 8.0)
    proxies = random.choice([40, 61, 75, 100, 150])
    every_ms = random.uniform(2_500.0, 6_000.0)
    group_entries = OVERHEAD_ENTRIES + group_size * (2 + slices / backends)
    needed_pace = group_entries / (every_ms / 1_000.0) * factor
    pace = max(needed_pace * random.uniform(1.0, 2.0), 32.0)  # entries per s for each proxy
    begin_ms = random.uniform(7_000.0, 20_000.0)
    faults = _slow(factor, begin_ms, begin_ms + random.uniform(5_000.0, 30_000.0))
    return Play(
        options=FleetOptions(
            backends=backends,
            slices=slices,
            proxies=proxies,
            entries_per_s=pace * proxies,
            queue_s=QUEUE_S,
            utilization=random.uniform(0.3, 0.6),
            faults=faults,
        ),
        groups=min(8, backends // group_size - 2),
        group_size=group_size,
        every_ms=every_ms,
        trouble=random.choice(
            [
                None,
                _hang_two,
                _rejoin_by_turns,
                _rejoin_and_hang,
                check_fleet._rejoin,
                check_fleet._restart_controller,
            ]
        ),
    )


def play_seed(seed: int) -> str:
    """Play a seed; return what is wrong, or nothing."""
    problem = check_fleet._run(draw(seed), seed)
    return f"{problem} [{draw(seed)}]" if problem else ""


# Slow channels, sizes and disruptions that no check names.
def check_soak() -> None:
    check_seeds(play_seed, CHECKED_SEEDS)


if __name__ == "__main__":
    sys.exit(main(play_seed, int(sys.argv[1])))
