"""Two drains that are told while the relay is silent for 2.5 s, at 150 proxies."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin.world import GRACE_S, SOCKET_SLACK_S, Record, World, main  # noqa: E402

BACKENDS, SLICES, PROXIES = 15, 75, 150
LINES_PER_S = 6400.0
SILENT_S = 2.5  # the relay answers no call meanwhile, and carries none out
SILENT_EXCUSE_S = 1.5  # PROTOCOL.md: for each call that falls silent


async def play(record: Record, trouble: bool) -> list[str] | None:
    """Play the case; return the breaches of the rule."""
    world = World(record, servers=BACKENDS, slices=SLICES, proxies=PROXIES, rate=2.0)
    world.settings["Specifics"]["ChannelRate"] = LINES_PER_S
    world.settings["Specifics"]["PendingMax"] = 1.5 * LINES_PER_S
    world.checks_bare = False
    silent_from: list[float] = []
    wanted = False

    def on_call(orders: list[dict]) -> str | None:
        if not wanted or silent_from and record.now > silent_from[0] + SILENT_S:
            return None
        silent_from.append(record.now)
        world.excuse_s += SILENT_EXCUSE_S
        return "silent-before"

    world.on_call = on_call
    try:
        await world.begin()
        await asyncio.sleep(25)
        first, second = world.servers["s-1"], world.servers["s-2"]
        wanted = trouble
        world.discovery.change(first, "draining")
        await asyncio.sleep(0.3)
        world.discovery.change(second, "draining")
        await asyncio.sleep(12)
        late = {
            name: [s for (_, n), found in world.late_sends.items() if n == name for s in found]
            for name in ("s-1", "s-2")
        }
        if trouble and not silent_from:
            return None
        record(f"relay: {len(silent_from)} calls were left unanswered")
        record(f"channel: at most {world.most_waiting:.0f} lines waited")
        limit = GRACE_S + SOCKET_SLACK_S + world.excuse_s
        return [
            f"{len(found)} RPCs went to {name} up to {max(found):.2f} s past the limit of"
            f" {limit:.1f} s after the drain was told"
            for name, found in late.items()
            if found
        ]
    finally:
        await world.end()


sys.exit(main(HERE, play))
