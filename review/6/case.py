"""A controller is killed right after it handed slices over: which backends then have their writes.

The site has single owners (`OneOwner`). A rolling deploy drains three of eighteen backends at a
time; in each round the controller is killed once all proxies hold its orders, and starts again.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin2.cluster import Record, run_case
from standin2.platform import Platform, small_settings

SERVERS, SLICES, PROXIES = 18, 72, 6
ROUNDS, AT_A_TIME, ROUND_S = 5, 3, 7.5
KILL_AFTER_S, START_AFTER_S, GONE_AFTER_S = 0.4, 0.1, 5.0
WRITES_PER_S = 110.0  # 230 RPCs a second, 48% of them writes
WRITE_S = (0.2, 1.8)  # how long a backend has a write; at most 2.0 s (deadline) are allowed
TENURE_S = 0.8
METHOD = "scan-record"


class Writes:
    """Sends writes by the proxies' tables, and notes which backends have them."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self.platform = platform
        self.record = record
        self.dice = random.Random(7)
        # Slice -> backend and end of each write that a backend has.
        self.in_hand: dict[int, list[tuple[str, float]]] = {}
        self.owners: dict[int, list[str]] = {}  # in their order
        self.breaches: list[str] = []
        self.sent = self.refused = 0

    async def run(self) -> None:
        """Send until cancelled."""
        began, due = time.monotonic(), 0
        while True:
            await asyncio.sleep(0.004)
            now = time.monotonic()
            while due < (now - began) * WRITES_PER_S:
                due += 1
                self._write(now)

    def _write(self, now: float) -> None:
        proxy = self.dice.choice(self.platform.proxies)
        slice_ = self.dice.randrange(SLICES)
        lines = proxy.lines(slice_)
        has_lost = proxy.lost_at is not None and now > proxy.lost_at + TENURE_S
        if not lines or has_lost or self.dice.random() >= proxy.level(slice_, METHOD):
            self.refused += 1
            return
        backend = self.dice.choices([*lines], [*lines.values()])[0]
        self.sent += 1
        hands = [one for one in self.in_hand.get(slice_, []) if one[1] > now]
        owners = self.owners.setdefault(slice_, [])
        others = sorted({other for other, _ in hands if other != backend})
        if others:
            left = max(end for other, end in hands if other != backend) - now
            self._breach(
                f"a write of slice {slice_} goes to {backend} by proxy {proxy.number} while"
                f" {others[0]} has one for {left:.2f} s more"
            )
        if backend in owners[:-1]:
            self._breach(f"a write of slice {slice_} goes to {backend} after {owners[-1]}")
        if backend not in owners:
            owners.append(backend)
        self.in_hand[slice_] = [*hands, (backend, now + self.dice.uniform(*WRITE_S))]

    def _breach(self, text: str) -> None:
        self.record("BREACH:", text)
        self.breaches.append(text)


async def play(record: Record, trouble: bool) -> str:
    """Return how the rule was broken; empty if it held."""
    settings = small_settings(slices=SLICES, proxies=PROXIES)
    settings["Specifics"]["OneOwner"] = True
    platform = Platform(record, "n0", settings)
    zones = settings["Zones"]
    for index in range(SERVERS):
        platform.add_server(f"s-{index}", zones[index % len(zones)])
    writes = Writes(platform, record)
    try:
        await platform.open()
        await platform.start_controller()
        await platform.wait_until_ready()
        platform.tasks.append(asyncio.ensure_future(writes.run()))
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            began = time.monotonic()
            leaving = [f"s-{number * AT_A_TIME + one}" for one in range(AT_A_TIME)]
            for name in leaving:
                platform.change(name, state="draining")
            await asyncio.sleep(KILL_AFTER_S)
            if trouble:
                await platform.kill_controller()
                await asyncio.sleep(START_AFTER_S)
                await platform.start_controller()
                await platform.wait_until_ready()
            await asyncio.sleep(max(began + GONE_AFTER_S - time.monotonic(), 0.0))
            for name in leaving:
                entry = platform.servers[name]
                platform.change(name, state="gone")
                successor = f"{name}-next"
                platform.servers[successor] = {**entry, "id": successor, "state": "ready"}
                started_ms = int(time.time() * 1000)
                platform.change(successor, state="ready", started_ms=started_ms)
            await asyncio.sleep(max(began + ROUND_S - time.monotonic(), 0.0))
        record("writes sent", writes.sent, "refused", writes.refused)
        if writes.breaches:
            return f"{len(writes.breaches)} times, first: {writes.breaches[0]}"
        return ""
    finally:
        await platform.end()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
