"""What the cluster costs: commits, waits, elections, catching up, beside the limits of the same machine in the same run."""

import asyncio
import os
import signal
import socket
import statistics
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from lifthinge.agreed.commands import Propose
from lifthinge.cluster import client_messages
from lifthinge.lab.raftdrill import ELECTION, START_WAIT, Drill

TICKS = os.sysconf("SC_CLK_TCK")
BODY = {"backends": [{"id": "s-1", "reason": "bench", "until": 0.0}]}


def bare_sync(folder: Path, size: int = 200, count: int = 300) -> list[float]:
    """Ms of an append and fdatasync, each."""
    file, waits = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600), []
    for _ in range(count):
        began = time.perf_counter()
        os.write(file, bytes(size))
        os.fdatasync(file)
        waits.append((time.perf_counter() - began) * 1000)
    os.close(file)
    return waits


def bare_echo(count: int = 2_000, size: int = 200) -> list[float]:
    """Ms of an echo over loopback, each, between two threads with plain sockets."""
    server = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        connection, _ = server.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            while data := connection.recv(4096):
                connection.sendall(data)

    threading.Thread(target=serve, daemon=True).start()
    waits = []
    with socket.create_connection(server.getsockname()) as client:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(count):
            began = time.perf_counter()
            client.sendall(bytes(size))
            left = size
            while left:
                left -= len(client.recv(left))
            waits.append((time.perf_counter() - began) * 1000)
    server.close()
    return waits


def _quantiles(waits: list[float]) -> dict[str, float]:
    waits = sorted(waits)
    return {
        "p50_ms": round(statistics.median(waits), 2),
        "p99_ms": round(waits[int(len(waits) * 0.99)], 2),
    }


def _use(pid: int) -> tuple[float, float]:
    """CPU seconds and resident MB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident = int(
        next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]
    )
    return (int(fields[11]) + int(fields[12])) / TICKS, resident / 1024


async def _begin(size: int, folder: Path, snapshot_entries: int = 20_000) -> Drill:
    drill = Drill(size, 0, 1, folder, True)
    drill.snapshot_entries = snapshot_entries
    drill.make_keys()
    for name in drill.names:
        await drill.place(name)
    # Without the forwarders between them: they would be measured, too.
    drill.outside = {name: "%s:%d" % drill.addresses[name] for name in drill.names}
    for name in drill.names:
        drill.write_file(name, drill.outside)
        drill.start(name)
    await drill._until_led(START_WAIT)
    return drill


def _end(drill: Drill) -> None:
    for name in list(drill.running):
        drill.kill(name)
    for way in drill.ways.values():
        way.close()


async def _load(
    drill: Drill, proposers: int, seconds: float, body: dict[str, Any] = BODY
) -> dict[str, float]:
    """Each proposer waits for its answer before it proposes again; what is answered went through the log."""
    waits: list[float] = []
    clients = [drill.client(f"p{number}") for number in range(proposers)]
    end = drill.runtime.now + seconds * 1000.0
    packed = msgspec.msgpack.encode(body)

    async def one(client) -> None:
        opened = await client.ask(client_messages.OpenSessionRequest(b"n"), end + 5_000.0)
        number = 0
        while drill.runtime.now < end:
            number += 1
            began = time.perf_counter()
            reply = await client.ask(
                Propose(
                    opened.session, number, number if proposers < 2 else 0, 0.0, "bench", packed
                ),
                end + 5_000.0,
            )
            assert reply is not None
            waits.append((time.perf_counter() - began) * 1000)

    began = time.perf_counter()
    await asyncio.gather(*(one(client) for client in clients))
    took = time.perf_counter() - began
    for client in clients:
        client.close()
    return {"commits_per_s": round(len(waits) / took), **_quantiles(waits)}


async def _kills(drill: Drill, count: int) -> dict[str, float]:
    """The time from a leader's death until another is known by a majority, so many times."""
    waits = []
    for _ in range(count):
        await drill._until_led(START_WAIT)
        leader, term = None, 0
        while leader is None:
            leads = [one for one in (await drill.reports()).values() if one.role == "leader"]
            leader, term = (leads[0].name, leads[0].term) if leads else (None, 0)
        began = time.perf_counter()
        drill.kill(leader)
        while not any(
            one.role == "leader" and one.term > term for one in (await drill.reports()).values()
        ):
            await asyncio.sleep(0.002)
        waits.append((time.perf_counter() - began) * 1000)
        drill.start(leader)
        while leader not in await drill.reports():
            await asyncio.sleep(0.02)
    return {"kills": count, **_quantiles(waits), "longest_election_ms": 2 * ELECTION}


async def _catch_up(drill: Drill, entries: int) -> dict[str, float]:
    """A member that was down while so many entries came."""
    leader = next(one.name for one in (await drill.reports()).values() if one.role == "leader")
    name = next(one for one in drill.names if one != leader)
    drill.kill(name)
    began = (await drill.reports())[leader].commit
    while (await drill.reports())[leader].commit < began + entries:
        await _load(drill, 64, 2.0)
    report = (await drill.reports())[leader]
    began, clock = report.commit, time.perf_counter()
    drill.start(name)
    while True:
        found = (await drill.reports()).get(name)
        if found is not None and found.ready and found.commit >= began:
            return {
                "entries": entries,
                "seconds": round(time.perf_counter() - clock, 2),
                "by_snapshot": report.snapshot,
                "commit": report.commit,
            }
        await asyncio.sleep(0.01)


async def measure(
    sizes: tuple[int, ...], proposers: tuple[int, ...], seconds: float, kills: int, entries: int
) -> dict[str, Any]:
    result: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as name:
        result["bare"] = {
            "sync": _quantiles(bare_sync(Path(name))),
            "echo": _quantiles(bare_echo()),
        }
    if entries:
        with tempfile.TemporaryDirectory() as name:
            drill = await _begin(3, Path(name), 10_000_000)
            try:
                result["catch_up_by_log"] = await _catch_up(drill, entries)
            finally:
                _end(drill)
    for size in sizes:
        with tempfile.TemporaryDirectory() as name:
            drill = await _begin(size, Path(name))
            try:
                before = {one: _use(process.pid)[0] for one, process in drill.running.items()}
                await asyncio.sleep(3.0)
                rest = [
                    (_use(process.pid)[0] - before[one]) / 3.0
                    for one, process in drill.running.items()
                ]
                found = {"cpu_at_rest": round(sum(rest), 3)}
                for count in proposers:
                    found[f"proposers_{count}"] = await _load(drill, count, seconds)
                if size == 3:
                    for body in (1 << 10, 1 << 14, 1 << 17, 900 << 10):
                        reasons = [
                            {"id": f"b{place}", "reason": "x" * 390, "until": 0.0}
                            for place in range(min(max(body // 400, 1), 2_300))
                        ]
                        found[f"body_{body}"] = await _load(
                            drill, 1, min(seconds, 2.0), {"backends": reasons}
                        )
                    if kills:
                        found["leaderless"] = await _kills(drill, kills)
                    if entries:
                        found["catch_up"] = await _catch_up(drill, entries)
                found["memory_mb"] = round(
                    max(_use(process.pid)[1] for process in drill.running.values()), 1
                )
                result[f"members_{size}"] = found
            finally:
                _end(drill)
    return result


def run(
    sizes: tuple[int, ...], proposers: tuple[int, ...], seconds: float, kills: int, entries: int
) -> dict[str, Any]:
    """All figures, as one object."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    return asyncio.run(measure(sizes, proposers, seconds, kills, entries))
