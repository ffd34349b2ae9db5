"""One owner for each slice: a drain hands its slices over while writes are still in hand."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin.world import Proxy, Record, World, main  # noqa: E402


class Writes:
    """Where the writes of each slice are; it notes writes in two hands and steps back."""

    def __init__(self, record: Record, world: World) -> None:
        self.record = record
        self.world = world
        # Slice -> server -> when its last write is done.
        self.in_hand: dict[int, dict[str, float]] = {}
        self.owners: dict[int, list[str]] = {}  # in the order of their first write
        self.two_hands: dict[int, int] = {}
        self.stepped_back: dict[int, int] = {}

    def sent(self, proxy: Proxy, number: int, server: str, now: float) -> None:
        """Note a write; the server has it in hand for its latency."""
        hands = self.in_hand.setdefault(number, {})
        owners = self.owners.setdefault(number, [])
        if server not in owners:
            owners.append(server)
        others = [name for name, done in hands.items() if name != server and done > now]
        if others:
            self.two_hands[number] = self.two_hands.get(number, 0) + 1
            if self.two_hands[number] == 1:
                self.record(
                    f"slice {number}: a write of proxy {proxy.number} comes to {server} while"
                    f" {others} has one in hand"
                )
        if server != owners[-1]:
            self.stepped_back[number] = self.stepped_back.get(number, 0) + 1
            if self.stepped_back[number] == 1:
                self.record(
                    f"slice {number}: a write of proxy {proxy.number} comes to {server} after"
                    f" {owners[-1]} has had one"
                )
        took_s = self.world.latency_ms[server] / 1000 * self.world.random.uniform(0.8, 1.2)
        hands[server] = max(hands.get(server, 0.0), now + took_s)


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return the breaches of the rule."""
    world = World(record, servers=6, slices=18, proxies=8, rate=30.0)
    world.settings["Specifics"]["OneOwner"] = True
    world.latency_ms = dict.fromkeys(world.latency_ms, 150.0)
    writes = Writes(record, world)
    world.on_write = writes.sent
    try:
        await world.begin()
        await asyncio.sleep(8)
        if trouble:
            for name in ("s-1", "s-2", "s-3"):
                world.discovery.change(world.servers[name], "draining")
                await asyncio.sleep(5)
        await asyncio.sleep(10)
        found = []
        if writes.two_hands:
            found.append(
                f"writes were with two backends at a time: {sum(writes.two_hands.values())} writes,"
                f" slices {sorted(writes.two_hands)}"
            )
        if writes.stepped_back:
            found.append(
                "writes came to a former owner after a later one had some:"
                f" {sum(writes.stepped_back.values())} writes, slices {sorted(writes.stepped_back)}"
            )
        return found
    finally:
        await world.end()


sys.exit(main(HERE, play))
