"""The first tables of a day go unanswered, and are sent again once the proxies have come."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin.world import GRACE_S, SOCKET_SLACK_S, Record, World, main  # noqa: E402

BACKENDS, SLICES, PROXIES = 15, 75, 150
LINES_PER_S = 6400.0
FIRST_JOIN_S = 0.1  # "clients arrive once every controller is ready" (DEPLOY.md)
DRAIN_AFTER_S = 1.5  # after the last proxy has come


async def play(record: Record, trouble: bool) -> list[str] | None:
    """Play the case; return the breaches of the rule."""
    world = World(record, servers=BACKENDS, slices=SLICES, proxies=PROXIES, rate=2.0)
    world.settings["Specifics"]["ChannelRate"] = LINES_PER_S
    world.settings["Specifics"]["PendingMax"] = 1.5 * LINES_PER_S
    world.checks_bare = False
    unanswered: list[float] = []

    def on_call(orders: list[dict]) -> str | None:
        if not trouble or unanswered or not any(order["do"] == "SET" for order in orders):
            return None
        unanswered.append(record.now)
        return "silent-before"

    world.on_call = on_call
    try:
        await world.begin(first_join_s=FIRST_JOIN_S)
        await asyncio.sleep(DRAIN_AFTER_S)
        leaving = world.servers["s-1"]
        world.discovery.change(leaving, "draining")
        await asyncio.sleep(12)
        if trouble and not unanswered:
            return None
        most = world.settings["Specifics"]["PendingMax"]
        record(f"channel: at most {world.most_waiting:.0f} lines waited, {most:.0f} may")
        late = [s for found in world.late_sends.values() for s in found]
        found = []
        if late:
            # Limits wait for 1.5 s when a call falls silent; that is over when the drain is told.
            limit = GRACE_S + SOCKET_SLACK_S
            found.append(
                f"{len(late)} RPCs went to {leaving.name} up to {max(late):.2f} s past the limit"
                f" of {limit:.1f} s after the drain was told"
            )
        if world.most_waiting > most:
            found.append(f"{world.most_waiting:.0f} lines waited in the channel, {most:.0f} may")
        return found
    finally:
        await world.end()


sys.exit(main(HERE, play))
