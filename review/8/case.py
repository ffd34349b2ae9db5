"""Slices of a controller that died are given to another, while a backend is slow.

The decisions run by the deploy file's `sim`; this plays the simulator's side of the wire page, with
a clock that goes as the real one.
"""

import json
import struct
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin2.cluster import (
    NOT_RUN,
    ROOT,
    RULE_BROKEN,
    RULE_HELD,
    Record,
    is_trouble,
)
from standin2.platform import small_settings

SERVERS, SLICES, PROXIES = 12, 48, 6
BATCH_S = 0.02
SLOW, SLOW_FROM_S, SLOW_FACTOR = 1, 6.0, 5.0  # the pages have 3.4 to 9.9 times for 10 to 32 s
GIVE_FROM_S, END_S = 10.0, 16.0
ANSWER_S = 0.3  # of a proxy to a seal
# Events: code and layout behind it; actions: code, layout, and the counted part that ends it.
HELLO, DEFINE_LIST, DIRECTORY, TIMER, JOINED = 10, 150, 20, 30, 70
CONFIRMED, DIGEST, SLICE_LOAD, LEASED, LEDGER_LINE = 90, 100, 120, 130, 140
SET_TIMER, SEAL, FAULT, PRINT = 10, 130, 50, 40
ACTIONS = {
    10: ("IdQ", ""),
    20: ("I6s", ""),
    30: ("II", "H"),
    40: ("I", "H"),
    50: ("I", "H"),
    60: ("IB", ""),
    70: ("I", ""),
    80: ("IH6sf", ""),
    90: ("IH", ""),
    100: ("I6sB", ""),
    110: ("IHHH", ""),
    120: ("IHHfB", ""),
    130: ("IIB", ""),
}


def event(code: int, layout: str, *fields: object) -> bytes:
    """Return an event's record."""
    return bytes((code,)) + struct.pack("<" + layout, *fields)


def backend(index: int) -> bytes:
    """Return a backend's address and port."""
    return bytes((127, 0, 1, index)) + struct.pack("<H", 3000)


def read_actions(body: bytes) -> list[tuple[int, tuple]]:
    """Return the code and the fields of each action of a reply."""
    (count,) = struct.unpack_from("<I", body)
    position, actions = 4, []
    for _ in range(count):
        code = body[position]
        layout, counted = ACTIONS[code]
        fields = struct.unpack_from("<" + layout, body, position + 1)
        position += 1 + struct.calcsize("<" + layout)
        if counted:
            (length,) = struct.unpack_from("<" + counted, body, position)
            position += struct.calcsize("<" + counted)
            fields += (body[position : position + length].decode(),)
            position += length
        actions.append((code, fields))
    return actions


class Simulator:
    """Sends batches to the adapter and carries out what timers and seals ask for."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", "exec .venv/bin/python -m lifthinge.wirehost"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        record("started sim, pid", self.process.pid)
        self.due: list[tuple[float, bytes]] = []  # events that are to come
        self.faults: list[str] = []

    def batch(self, now: float, records: list[bytes]) -> None:
        """Send a batch and read its reply; an empty one if nothing happens."""
        body = struct.pack("<d", now) + b"".join(records)
        self.process.stdin.write(struct.pack("<I", len(body) + 4) + body)
        self.process.stdin.flush()
        (length,) = struct.unpack("<I", self.process.stdout.read(4))
        for code, fields in read_actions(self.process.stdout.read(length - 4)):
            if code == SET_TIMER:
                self.due.append((now + fields[1], event(TIMER, "IQ", 0, fields[2])))
            elif code == SEAL:
                self.due += [
                    (now + ANSWER_S, event(CONFIRMED, "IHId", 0, proxy, fields[1], ANSWER_S))
                    for proxy in range(PROXIES)
                ]
            elif code in (FAULT, PRINT):
                self.record("Fault:" if code == FAULT else "Print:", fields[1])
                if code == FAULT:
                    self.faults.append(fields[1])

    def take_due(self, now: float) -> list[bytes]:
        """Return the events that have come due."""
        due = [one for one in self.due if one[0] <= now]
        self.due = [one for one in self.due if one[0] > now]
        return [record for _, record in sorted(due)]

    def end(self) -> None:
        """End the adapter."""
        self.process.stdin.close()
        for line in self.process.stderr.read().decode().splitlines()[-12:]:
            self.record("    |", line)
        self.process.kill()
        self.process.wait()


def give(slices: range) -> list[bytes]:
    """Return the events that give slices, each with its line as the store holds it."""
    events = []
    for slice_ in slices:
        events.append(event(LEASED, "IHB", 0, slice_, 1))
        events.append(event(LEDGER_LINE, "IH6sf", 0, slice_, backend(slice_ % SERVERS), 1.0))
    return events


def reports(held: range, slow: bool) -> list[bytes]:
    """Return the sums of half a second: ten tries at each backend, a few RPCs for each slice."""
    events = []
    for index in range(SERVERS):
        mean_s = 0.12 * (SLOW_FACTOR if slow and index == SLOW else 1.0)
        events.append(event(DIGEST, "IB6sIIddB", 0, 0, backend(index), 10, 0, mean_s, 0.5, 0))
    for slice_ in held:
        events.append(event(SLICE_LOAD, "IIHHId", 0, 3, slice_, 0, 0, 0.5))
        events.append(event(SLICE_LOAD, "IIHHId", 0, 2, slice_, 1, 0, 0.5))
    return events


def play(record: Record, trouble: bool) -> str:
    """Return how the rule was broken; empty if it held."""
    settings = json.dumps(small_settings(2, 0, SLICES, PROXIES)).encode()
    rows = b"".join(
        struct.pack("<H6sBHBdf", 0, backend(index), index % 3, index // 4, 1, 0.0, 1.0)
        for index in range(SERVERS)
    )
    simulator = Simulator(record)
    half = range(SLICES // 2)
    held, given_at = half, 0.0
    try:
        began = time.monotonic()
        opening = [
            event(HELLO, f"IQI{len(settings)}s", 0, 7, len(settings), settings),
            event(DEFINE_LIST, f"BI{len(rows)}s", 0, SERVERS, rows),
            event(DIRECTORY, "IBIB", 0, 3, 1, 0),
            *(event(JOINED, "IHBfB", 0, proxy, 1, 20.0, proxy % 3) for proxy in range(PROXIES)),
            *give(half),
        ]
        simulator.batch(0.0, opening)
        next_report = 0.5
        # The page says nothing of a module's own rhythm. This one looks at its reports each half
        # second and at the placement each second; the slices are given when only the latter is due.
        next_look, next_round = 0.5, 1.0
        now = 0.0
        while now < END_S and not simulator.faults:
            time.sleep(BATCH_S)
            now = time.monotonic() - began
            events = simulator.take_due(now)
            if now >= next_report:
                next_report += 0.5
                events += reports(held, trouble and now > SLOW_FROM_S)
            is_only_round_due = next_round <= now < next_look
            if now >= GIVE_FROM_S and not given_at and is_only_round_due:
                given_at = now
                held = range(SLICES)
                record(f"{now:.3f} s: the other controller has died; its slices are given")
                events += give(range(SLICES // 2, SLICES))
            simulator.batch(now, events)
            if events:
                next_look = now + 0.5 if now >= next_look else next_look
                next_round = now + 1.0 if now >= next_round else next_round
        if not given_at:
            record("NOT RUN: no batch fitted")
            sys.exit(NOT_RUN)
        return f"the adapter sent Fault: {simulator.faults[0]}" if simulator.faults else ""
    finally:
        simulator.end()


def main() -> int:
    """Play the case; return the exit status of its script."""
    record = Record(Path(__file__).parent)
    trouble = is_trouble()
    record("trouble" if trouble else "without trouble")
    breach = play(record, trouble)
    record(f"RULE BROKEN: {breach}" if breach else "RULE HELD")
    print(f"rule broken: {breach}" if breach else "rule held")
    return RULE_BROKEN if breach else RULE_HELD


if __name__ == "__main__":
    sys.exit(main())
