"""Rolling restarts while the channel sends several times slower than stated, under a virtual clock.

What has to be sent for a group of backends then takes about as long as until the next group drains. The limits of rules 1 and 3
are stretched alike (wire page, rule 5), so what a controller can keep depends on what it sends first, and how many messages it
needs. The slowdowns are those of the site page: up to eight times, for up to thirty seconds.
"""

from dataclasses import replace
from random import Random

from lifthinge.lab.channel_faults import ChannelFaults, PaceChange
from lifthinge.lab.fleetworld import FleetOptions, FleetWorld
from tests import check_fleet
from tests.check_fleet import START_MS, Play, _check

REJOIN_MS, REJOIN_FRACTION, REJOIN_GAP_MS = 2_000.0, 0.1, 300.0
HANG_MS = 6_000.0
TROUBLE_END_MS = 45_000.0


def _slow(factor: float, begin_ms: float = 9_000.0, end_ms: float = 34_000.0) -> ChannelFaults:
    """Return a channel that is so many times slower for a while."""
    return ChannelFaults((PaceChange(begin_ms, 1.0 / factor), PaceChange(end_ms, 1.0)))


def _fleet(proxies: int, faults: ChannelFaults, **others: float) -> FleetOptions:
    """Return the report's fleet, as one controller of it sees it, with other proxies and faults."""
    options = FleetOptions(proxies=proxies, slices=64, entries_per_s=8_166.7, faults=faults)
    return replace(options, **others)


def _rejoin_by_turns(world: FleetWorld) -> float:
    """Let a tenth of the proxies lose their streams and join again, every two seconds."""
    random = Random(len(world.backends))
    for controller in world.controllers:
        count = max(1, int(REJOIN_FRACTION * len(controller.proxies)))
        at_ms = START_MS + REJOIN_MS
        while at_ms < TROUBLE_END_MS:
            numbers = [proxy.number for proxy in random.sample(controller.proxies, count)]
            for number in numbers:
                world.schedule(at_ms, lambda c=controller, n=number: c.leave(n))
                world.schedule(at_ms + REJOIN_GAP_MS, lambda c=controller, n=number: c.join(n))
            at_ms += REJOIN_MS
    return TROUBLE_END_MS


def _hang_two(world: FleetWorld) -> float:
    """Let two backends that never restart take RPCs without an answer, 6 s on, 6 s off, by turns."""
    for index, name in enumerate(list(world.backends)[-2:]):
        at_ms, is_hanging = START_MS, index % 2 == 0
        while at_ms < TROUBLE_END_MS:
            world.schedule(at_ms, lambda n=name, on=is_hanging: world.hang([n], on))
            at_ms, is_hanging = at_ms + HANG_MS, not is_hanging
    return TROUBLE_END_MS


def _rejoin_and_hang(world: FleetWorld) -> float:
    return max(_rejoin_by_turns(world), _hang_two(world))


# Withdrawals and their repeats for proxies that had joined took all of a slow channel, so tables stayed bare (issue 48).
def check_slow_channel_with_joins() -> None:
    _check(
        Play(options=_fleet(75, _slow(8.0)), trouble=_rejoin_by_turns),
        Play(options=_fleet(75, _slow(8.0)), trouble=_rejoin_and_hang),
        Play(options=_fleet(75, _slow(5.0)), trouble=_rejoin_and_hang),
        Play(
            options=_fleet(75, _slow(8.0, 9_000.0, 39_000.0), slices=128, controllers=2),
            trouble=_rejoin_and_hang,
        ),
        Play(
            options=_fleet(75, _slow(8.0, 17_000.0, 44_000.0), slices=128, controllers=2),
            trouble=check_fleet._rejoin,
        ),
    )


# The same without joins: each group's withdrawal went out alone, so the channel carried little but overhead (issue 48).
def check_slow_channel_of_more_proxies() -> None:
    _check(
        Play(options=_fleet(150, _slow(8.0, 9_000.0, 39_000.0))),
        Play(options=_fleet(150, _slow(8.0, 9_000.0, 39_000.0)), trouble=_hang_two),
        Play(options=_fleet(150, _slow(4.0, 9_000.0, 39_000.0)), trouble=_hang_two),
        Play(options=_fleet(150, _slow(4.0, 9_000.0, 39_000.0)), trouble=_rejoin_by_turns),
        Play(options=_fleet(100, _slow(8.0, 9_000.0, 39_000.0)), trouble=_rejoin_by_turns),
        Play(options=FleetOptions(faults=_slow(3.0, 9_000.0, 39_000.0))),
    )


# The same decision after a restart of the controller and a takeover, and with other groups.
def check_slow_channel_after_a_start() -> None:
    slow = _slow(6.0, 9_000.0, 39_000.0)
    _check(
        Play(options=_fleet(75, slow), trouble=check_fleet._restart_controller),
        Play(options=_fleet(75, slow, slices=128, controllers=2), trouble=check_fleet._take_over),
        Play(options=_fleet(75, slow, backends=20, slices=40), group_size=2, groups=8),
        Play(options=_fleet(75, slow), group_size=1, groups=24, every_ms=1_200.0),
    )


# Joins went before what tables lacked on a channel of the stated pace, too, and took the room of withdrawals (issue 48).
def check_joins_on_a_small_channel() -> None:
    _check(
        Play(trouble=_rejoin_by_turns),
        Play(trouble=_rejoin_and_hang),
    )


# Sound backends were shut out as hanging while the table that sent them RPCs was still on its way (issue 48).
def check_nobody_hangs_before_the_tables_arrive() -> None:
    for seed in (4, 5):
        world = FleetWorld(FleetOptions(faults=_slow(3.0, 9_000.0, 39_000.0)), seed)
        end_ms = world.rolling_restart(check_fleet._names(3, 9), START_MS, 3_350.0)
        world.run(end_ms + check_fleet.SETTLE_MS)
        texts = [text for controller in world.controllers for text in controller.decided]
        hanging = [text for text in texts if text.startswith("shut out") and ": 0% of" in text]
        assert not hanging, f"seed {seed}: {len(hanging)}, the first: {hanging[0]}"


CHECKS = {
    name[6:]: check
    for name, check in globals().items()
    if name.startswith("check_") and callable(check)
}
