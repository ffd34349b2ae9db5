"""Runs the doctests, the checks, and plays every scenario; the last line counts all of them.

A check that KNOWN-RED.txt names in a line `test: NAME` is run and printed, but its failure does not count. If it
passes, that is printed, too: its entry is to go.
"""

import doctest
import importlib
import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path

from tests import (
    check_capture,
    check_channel_faults,
    check_decisions,
    check_event_orders,
    check_fleet,
    check_hand_over,
    check_members,
    check_processes,
    check_raft,
    check_scarce_channel,
    check_store,
    soak_channel,
    soak_fleet,
    soak_hand_over,
    soak_scarce_channel,
)
from tests.play.cluster import ClusterStage
from tests.play.network import Network
from tests.play.stage import Stage

MODULES = (
    "agreed.document",
    "agreed.state",
    "capture.anonymise",
    "capture.codec",
    "capture.segments",
    "capture.formatting",
    "channel",
    "channel_budget",
    "channel_condition",
    "decision_faults",
    "decision_log",
    "delivery_evidence",
    "doubtful_calls",
    "exposure",
    "cluster.disk",
    "cluster.keys",
    "cluster.frame_auth",
    "cluster.client_messages",
    "histogram",
    "lab.channel_faults",
    "lab.linear",
    "sliding_minimum",
    "memory.attempts",
    "memory.pending_orders",
    "memory.counters",
    "memory.deadlines",
    "memory.slots",
    "memory.registry",
    "closest_name",
    "older_lists",
    "order_timing",
    "operators",
    "policy",
    "outer_names",
    "raft.stored_state",
    "raft.log",
    "raft.messages",
    "raft.node",
    "raft.progress",
    "service.config",
    "service.logs",
    "store.records",
    "store.store",
    "table_shares",
    "unsettled_orders",
    "write_holds",
    "settings",
    "wire.buffer",
    "wire.client",
    "wire.translator",
    "wire.frames",
    "wire.http",
    "wire.probes",
    "wirehost.codec",
    "wirehost.translate",
    "wirehost.__main__",
)
HERE = Path(__file__).parent
PLAYED = [
    (path, kind)
    for folder, kind in (("scenarios", Stage), ("network", Network), ("cluster", ClusterStage))
    for path in sorted((HERE / folder).glob("*.txt"))
]
CHECKS: dict[str, Callable[[], None]] = {
    **{
        f"store {name[6:]}": check
        for name, check in vars(check_store).items()
        if name.startswith("check_")
    },
    **{f"capture {name}": check for name, check in check_capture.CHECKS.items()},
    **{f"raft {name}": check for name, check in check_raft.CHECKS.items()},
    **{f"fleet {name}": check for name, check in check_fleet.CHECKS.items()},
    **{f"fleet {name}": check for name, check in check_channel_faults.CHECKS.items()},
    **{f"fleet {name}": check for name, check in check_scarce_channel.CHECKS.items()},
    **{f"decisions {name}": check for name, check in check_decisions.CHECKS.items()},
    **{f"decisions {name}": check for name, check in check_event_orders.CHECKS.items()},
    **{f"hand-over {name}": check for name, check in check_hand_over.CHECKS.items()},
    "hand-over soak": soak_hand_over.check_soak,
    "fleet soak": soak_fleet.check_soak,
    "fleet channel_soak": soak_channel.check_soak,
    "fleet scarce_channel_soak": soak_scarce_channel.check_soak,
    **{f"processes {name}": check for name, check in check_processes.CHECKS.items()},
    **{f"members {name}": check for name, check in check_members.CHECKS.items()},
}
KNOWN_RED = HERE.parent / "KNOWN-RED.txt"
SLOW = 5.0  # s, then a test is named


def tried(name: str, test: Callable[[], None]) -> bool:
    """Whether a test passes; any failure of it is told in one line."""
    began = time.monotonic()
    try:
        test()
    except Exception as error:
        print(f"{name}: {type(error).__name__}: {error}", flush=True)
        return False
    if time.monotonic() - began > SLOW:
        print(f"{name}: {time.monotonic() - began:.0f} s", flush=True)
    return True


def known_red() -> set[str]:
    """Names of the checks that are known to fail, from the lines `test: NAME` of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.partition("test:")[2].strip() for line in lines if line.strip().startswith("test:")
    }


def main(only: str) -> int:
    passed = failed = 0
    for name in MODULES:
        if only in name:
            result = doctest.testmod(importlib.import_module("lifthinge." + name))
            failed += result.failed
            passed += result.attempted - result.failed
    logging.disable()  # what is logged of bad input is counted, too
    tests = [
        (path.name, lambda path=path, kind=kind: kind().run(path.read_text()))
        for path, kind in PLAYED
    ]
    red = known_red()
    for name, test in [*tests, *CHECKS.items()]:
        if only in name:
            good = tried(name, test)
            if name in red:
                print(f"known red: {name}: {'passes now' if good else 'fails'}", flush=True)
                continue
            passed, failed = passed + good, failed + (not good)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else ""))
