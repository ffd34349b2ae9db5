"""What recording costs, and how fast a replay is: one scripted load, on and off in turn, in one process."""

import gc
import json
import statistics
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from lifthinge.capture.capture import CapturingPolicy
from lifthinge.capture.codec import ValueCodec
from lifthinge.capture.segments import SegmentWriter, list_segments, read_segment
from lifthinge.capture.turns import Replay
from lifthinge.interface import (
    AttemptReport,
    Backend,
    DecisionFault,
    Event,
    FleetNews,
    FleetNewsKind,
    Listing,
    Method,
    Phase,
    Proxy,
    ProxyJoined,
    Seal,
    SealConfirmed,
    SiteSettings,
    Slice,
    SliceHeatReport,
    SliceLeaseChanged,
    StoredEntry,
)
from lifthinge.memory.counters import Counters
from lifthinge.outer_names import KINDS, outer_name
from lifthinge.policy import Policy

EVERY = 500.0  # ms between turns with reports
TERMS = SiteSettings(
    methods=(Method(1500.0, 5000.0, 1.0), Method(800.0, 2000.0, 3.0)),
    sliced=True,
    has_single_owner=False,
    news_on_request=False,
    uses_listed_sizes=True,
    admission_mode="ratio",
    report_interval_ms=EVERY,
    channel_entries_per_ms=50.0,
    message_overhead_entries=10.0,
    max_pending_entries=75_000.0,
    max_pushes_per_window=0,
    push_window_ms=10_000.0,
    warm_up_ms=16_000.0,
)


class Load:
    """So many backends, four slices each; some reports each turn, a backend that is slow now and then."""

    def __init__(self, backends: int, proxies: int, seed: int) -> None:
        self.dice = Random(seed)
        self.backends = [
            Backend(f"s-{number:08x}", f"s-{number:08x}") for number in range(backends)
        ]
        self.slices = [Slice(number) for number in range(4 * backends)]
        self.proxies = [Proxy(number, number % 3, 1.0) for number in range(proxies)]

    def start(self) -> list[Event]:
        listings = [
            Listing(one, place % 3, 0, Phase.READY, 0.0, 1.0)
            for place, one in enumerate(self.backends)
        ]
        events: list[Event] = [FleetNews(FleetNewsKind.FULL, listings)]
        events += [ProxyJoined(one, True) for one in self.proxies]
        for place, one in enumerate(self.slices):
            events += [
                SliceLeaseChanged(one, True),
                StoredEntry(one, self.backends[place % len(self.backends)], 1.0),
            ]
        return events

    def turn(self, orders: list) -> list[Event]:
        dice, events = self.dice, []
        seals = [order.number for order in orders if isinstance(order, Seal)]
        events += [SealConfirmed(one, seal, 100.0) for seal in seals for one in self.proxies]
        for one in self.backends:
            for zone in range(2):
                slow = 8.0 if one is self.backends[int(dice.random() * 3)] else 1.0
                events.append(
                    AttemptReport(
                        zone,
                        one,
                        dice.randrange(1, 20),
                        0,
                        100.0 * slow * (0.7 + dice.random()),
                        EVERY,
                        (dice.random(), 20.0 * dice.random()),
                    )
                )
        events += [
            SliceHeatReport(one, dice.randrange(2), dice.randrange(30), 0, EVERY)
            for one in dice.sample(self.slices, len(self.slices) // 2)
        ]
        return events


def _play(backends: int, proxies: int, turns: int, folder: Path | None) -> dict[str, Any]:
    """One day of so many turns; `folder` has it captured."""
    load, policy, counters = Load(backends, proxies, 5), Policy(TERMS, 5), Counters()
    decider = (
        policy
        if folder is None
        else CapturingPolicy(policy, SegmentWriter(folder, {"life": 1}, 1 << 34, 4 << 20), counters)
    )
    waits, told, now, events = [], 0, 0.0, load.start()
    gc.collect()
    cpu = 0.0
    for _ in range(turns):
        now += EVERY
        told += len(events)
        began, used = time.perf_counter(), time.process_time()
        orders = decider.decide(now, events)
        if any(isinstance(order, DecisionFault) for order in orders):
            raise RuntimeError("a part of the decision raised")
        waits.append((time.perf_counter() - began) * 1000.0)
        cpu += time.process_time() - used
        events = load.turn(orders)
    if folder is not None:
        used = time.process_time()
        decider.close()
        cpu += time.process_time() - used
    waits.sort()
    return {
        "cpu_s": cpu,
        "p50_ms": statistics.median(waits),
        "p99_ms": waits[int(len(waits) * 0.99)],
        "events": told,
        "left_out": counters.get("capture.left_out"),
        "day_s": now / 1000.0,
    }


def plain_json(records: list[list]) -> int:
    """Bytes of the same events as plain JSON, with ids written out."""
    coder, size = ValueCodec(), 0
    for record in records:
        if record[0] == "k":
            for one in record[2]:
                if ("b", one[1]) not in coder._objects:
                    coder.define(*one)
        elif record[0] == "t":
            for one in record[2]:
                coder.define(*one)
            for told in record[4]:
                event = coder.decode(told)
                size += len(
                    json.dumps(
                        {
                            "event": outer_name(type(event)),
                            "at": record[1],
                            **{
                                name: getattr(value, "backend_id", getattr(value, "number", None))
                                if isinstance(
                                    value := getattr(event, attribute), (Backend, Slice, Proxy)
                                )
                                else str(value)
                                for name, attribute in KINDS[outer_name(type(event))].fields.items()
                            },
                        }
                    )
                )
    return size


def measure(sizes: tuple[int, ...], turns: int, rounds: int = 3) -> dict[str, Any]:
    """Figures by number of backends; ratios are medians of rounds, on and off in turn."""
    result = {}
    for backends in sizes:
        on, off = [], []
        with tempfile.TemporaryDirectory() as name:
            for number in range(rounds):
                off.append(_play(backends, min(5 * backends, 150), turns, None))
                on.append(_play(backends, min(5 * backends, 150), turns, Path(name) / str(number)))
            folder = Path(name) / "0"
            size = sum(one.path.stat().st_size for one in list_segments(folder))
            records = [
                record for one in list_segments(folder) for record in read_segment(one.path)[1]
            ]
            began, replay = time.perf_counter(), Replay()
            parted = replay.run(records)
            took = time.perf_counter() - began
            keyframes = [
                len(msgspec.msgpack.encode(record)) for record in records if record[0] == "k"
            ]
        result[f"backends_{backends}"] = {
            "cpu_more": round(
                statistics.median(a["cpu_s"] / b["cpu_s"] for a, b in zip(on, off)) - 1, 3
            ),
            "turn_p50_ms": [
                round(statistics.median(one["p50_ms"] for one in part), 2) for part in (off, on)
            ],
            "turn_p99_ms": [
                round(statistics.median(one["p99_ms"] for one in part), 2) for part in (off, on)
            ],
            "events": on[0]["events"],
            "left_out": on[0]["left_out"],
            "bytes_an_event": round(size / on[0]["events"], 1),
            "part_of_json": round(size / plain_json(records), 3),
            "keyframe_bytes": round(statistics.mean(keyframes)),
            "replayed_alike": parted is None,
            "turns": replay.turn_count,
            "times_real": round(on[0]["day_s"] / took, 1),
        }
    return result
