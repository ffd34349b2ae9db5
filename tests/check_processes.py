"""The controller as a process on loopback, against the platform that `review/standin` plays."""

import asyncio
import copy
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standin.world import Discovery, Record, Server, World
from tests.play.slow_channel import SlowChannelWorld

BACKENDS, GROUP_SIZE, GROUPS = 30, 3, 9
START_S, EVERY_S, DRAIN_S, DOWN_S, SETTLE_S = 7.0, 3.35, 6.6, 1.4, 15.0
MOVED_AT_S, BEHIND_S = 9.2, 4.0  # after START_S; the third group drains at 6.7 s
MAX_LEFT = GROUP_SIZE  # ready backends that are still withdrawn at the end


async def _restart(world: World, group: int) -> None:
    """Drain a group of backends, end them, and start them anew."""
    await asyncio.sleep(START_S + EVERY_S * group)
    members = list(world.servers.values())[GROUP_SIZE * group :][:GROUP_SIZE]
    for server in members:
        world.discovery.change(server, "draining")
    await asyncio.sleep(DRAIN_S)
    for server in members:
        server.alive = False
        world.discovery.change(server, "gone")
    await asyncio.sleep(DOWN_S)
    for server in members:
        server.alive = True
        server.started_ms = time.time() * 1000
        world.discovery.change(server, "ready")


async def _let_latency_follow_load(world: World) -> None:
    """Let a backend's latency rise with what it is sent."""
    mean_tries = len(world.proxies) * 2.0 * 0.5 / BACKENDS
    while True:
        await asyncio.sleep(0.5)
        for name in world.servers:
            tries = sum(tally[0] for (_, server), tally in world.counts.items() if server == name)
            world.latency_ms[name] = 120 * (1 + tries / mean_tries / 3)


def _small_world(record: Record) -> World:
    """Return the platform of issue 39, whose queue holds two messages or three."""
    return World(record, servers=BACKENDS, slices=64, proxies=200, rate=2.0)


def _unconfirmed_world(record: Record) -> World:
    """Return a platform of the size of issue 44, where nothing is ever confirmed."""
    world = World(record, servers=BACKENDS, slices=128, proxies=61, rate=2.0)
    world.settings["Specifics"].update(ChannelRate=6592.0, PendingMax=9888.0)
    plain_line = world._line

    def line(kind: str, **fields: object) -> None:
        if kind != "done":
            plain_line(kind, **fields)

    world._line = line
    return world


def _slow_world(record: Record) -> World:
    """Return a platform of the size of issue 48, whose channel is 8 times slower for 25 s."""
    return SlowChannelWorld(record, 75, 8_166.7, factor=8.0, begin_s=9.0, end_s=34.0)


def _slow_world_of_more_proxies(record: Record) -> World:
    """Return the same with twice the proxies, for 30 s."""
    return SlowChannelWorld(record, 150, 8_166.7, factor=8.0, begin_s=9.0, end_s=39.0)


class _AgentBehind(Discovery):
    """An agent of discovery that knows the list of some time ago, until it catches up."""

    def __init__(self, source: Discovery) -> None:
        super().__init__(source.record, copy.deepcopy(source.servers))
        self.version, self.changes = source.version, list(source.changes)

    def catch_up(self, source: Discovery) -> None:
        """Know all that the source knows, from now on."""
        self.servers, self.changes = source.servers, source.changes
        plain_change = source.change

        def change(server: Server, state: str) -> None:
            plain_change(server, state)
            self._wake(source.version)

        source.change = change
        self._wake(source.version)

    def _wake(self, version: int) -> None:
        self.version = version
        self.changed.set()
        self.changed = asyncio.Event()


async def _move_discovery(world: World) -> None:
    """Move discovery, right after drains were told, to an agent that does not know of them for 4 s."""
    await asyncio.sleep(START_S + MOVED_AT_S - BEHIND_S)
    agent = _AgentBehind(world.discovery)
    await asyncio.sleep(BEHIND_S)
    world.discovery_address = await agent.open()
    world.write_config()
    world.hang_up()
    await asyncio.sleep(4.0)
    agent.catch_up(world.discovery)


async def _rejoin_by_turns(world: World) -> None:
    """Let a tenth of the proxies lose their streams and join again, every two seconds, for 35 s."""
    dice = random.Random(3)
    await asyncio.sleep(START_S)
    for _ in range(15):
        await asyncio.sleep(2.0)
        joined = [proxy for proxy in world.proxies if proxy.joined]
        some = dice.sample(joined, len(world.proxies) // 10)
        for proxy in some:
            world.leave(proxy)
        await asyncio.sleep(0.3)
        for proxy in some:
            world.join(proxy)


async def _nothing(world: World) -> None:
    """No further trouble."""


async def _play_rolling_restart(
    world: World, trouble: Callable[[World], Awaitable[None]]
) -> tuple[list[str], int]:
    """Restart the fleet in groups; return the breaches, and how many ready backends are withdrawn at the end."""
    try:
        world.tasks.append(asyncio.ensure_future(_let_latency_follow_load(world)))
        await world.begin()
        restarts = [_restart(world, group) for group in range(GROUPS)]
        await asyncio.gather(trouble(world), *restarts)
        await asyncio.sleep(SETTLE_S)
        ready = [name for name, server in world.servers.items() if server.state == "ready"]
        breaches = world.violations
        if isinstance(world, SlowChannelWorld):
            breaches = breaches + world.queue_breach()
        return breaches, sum(name in world.withdrawn for name in ready)
    finally:
        await world.end()


def _check_rolling_restart(
    make_world: Callable[[Record], World],
    trouble: Callable[[World], Awaitable[None]] = _nothing,
) -> None:
    with tempfile.TemporaryDirectory() as folder:
        record = Record(Path(folder) / "record.txt")
        violations, left = asyncio.run(_play_rolling_restart(make_world(record), trouble))
        record.file.close()
    assert not violations, f"{len(violations)} breaches, the first: {violations[0]}"
    assert left <= MAX_LEFT, f"{left} ready backends are still withdrawn"


# Restarted backends stayed withdrawn, and the few that were left in use ran tables bare as each one drained (issue 39).
def check_rolling_restart_of_processes() -> None:
    _check_rolling_restart(_small_world)


# Nothing was sent while confirmations did not arrive, although all was delivered (issue 44).
def check_unconfirmed_restart_of_processes() -> None:
    _check_rolling_restart(_unconfirmed_world)


# After SIGHUP an older list took back drains that had been told, and their backends were let in again (issue 44).
def check_moved_discovery_of_processes() -> None:
    _check_rolling_restart(_small_world, _move_discovery)


# Withdrawals and their repeats for proxies that had joined took all of a slow channel, so tables stayed bare (issue 48).
def check_slow_channel_with_joins_of_processes() -> None:
    _check_rolling_restart(_slow_world, _rejoin_by_turns)


# The same without joins: each group's withdrawal went out alone, so the channel carried little but overhead (issue 48).
def check_slow_channel_of_more_proxies_of_processes() -> None:
    _check_rolling_restart(_slow_world_of_more_proxies)


CHECKS = {name[6:]: check for name, check in globals().items() if name.startswith("check_")}
