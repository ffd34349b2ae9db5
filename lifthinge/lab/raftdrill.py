"""The drill of the cluster: real processes on loopback, failures of many kinds, and what its clients were promised.

Every member is a process of its own behind a `Way` that can be cut. Proposers, readers and front ends go on all the
time; a failure comes every second or so. At the end all is mended, and what was seen is checked: nothing that was
acknowledged is lost, all members hold one history, no two front ends obeyed different documents of one place, no
front end went back, and what clients saw is linearisable.
"""

import asyncio
import logging
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from lifthinge.agreed.commands import Accepted, VersionConflict
from lifthinge.agreed.state import Fence
from lifthinge.cluster import client_messages
from lifthinge.cluster.client import ClusterClient, MemberConnection, connect_member
from lifthinge.cluster.keys import KeyFile, read_keys
from lifthinge.lab.cuts import Way
from lifthinge.lab.linear import Seen, misorder
from lifthinge.service.run import make_runtime

ELECTION, BEAT = 300.0, 50.0
PROPOSERS, READERS, FRONT_ENDS = 4, 2, 3
EVERY = 0.5, 1.5  # s between failures
WATCH = 0.02  # s between looks at who leads
SETTLE = 25.0  # s at the end for all to hold the same
START_WAIT = 15.0
SNAPSHOT_ENTRIES = 500  # few, so that members need snapshots
NAMES = "abcdefghi"


def _free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class Drill:
    """One run; all that happens comes from the seed, but for the machine's own timing."""

    def __init__(self, size: int, seconds: float, seed: int, folder: Path, quiet: bool) -> None:
        self.dice, self.seconds, self.folder, self.quiet = Random(seed), seconds, folder, quiet
        self.runtime = make_runtime(seed, 4_096)
        self.cuts: set[tuple[str, str]] = set()
        self.names = list(NAMES[:size])
        self.ways: dict[str, Way] = {}
        self.addresses: dict[str, tuple[str, int]] = {}  # of the members themselves, for clients
        self.outside: dict[str, str] = {}  # as the members reach one another
        self.running: dict[str, subprocess.Popen] = {}
        self.stopped: set[str] = set()
        self.history: list[Seen] = []
        self.acknowledged: dict[int, bytes] = {}
        self.obeyed: dict[tuple[int, int], set[bytes]] = {}
        self.went_back = self.kills = self.cut_count = self.stops = self.changes = self.disks = (
            self.transfers
        ) = 0
        self.unknown = self.reads = self.follows = 0
        self.leaderless: list[float] = []
        self.over = False
        self.snapshot_entries = SNAPSHOT_ENTRIES

    def say(self, *words: Any) -> None:
        if not self.quiet:
            print(f"{self.runtime.now % 1e7 / 1000:10.2f}", *words, file=sys.stderr, flush=True)

    # Members.

    def make_keys(self) -> None:
        """A key for the members and one for clients, as for any cluster."""
        for name in ("members.key", "clients.key"):
            path = self.folder / name
            path.touch(mode=0o600)
            path.write_text(f"k1 {self.dice.randbytes(32).hex()}\n")
        path = str(self.folder / "clients.key")
        self.watched: dict[str, MemberConnection] = {}
        self.watch_keys = KeyFile(path, read_keys(path))

    async def place(self, name: str) -> None:
        port = _free_port()
        self.addresses[name] = "127.0.0.1", port
        self.ways[name] = Way(name, self.addresses[name], self.cuts)
        self.outside[name] = "%s:%d" % await self.ways[name].open()
        (self.folder / name).mkdir(exist_ok=True)

    def write_file(self, name: str, first: dict[str, str]) -> None:
        members = "\n".join(f'    {one} = "{address}"' for one, address in first.items())
        (self.folder / f"{name}.hcl").write_text(f"""member {{
  cluster         = "drill"
  name            = "{name}"
  listen          = "127.0.0.1:{self.addresses[name][1]}"
  folder          = "{self.folder / name}"
  key_file        = "{self.folder / "members.key"}"
  client_key_file = "{self.folder / "clients.key"}"
  election_ms     = {ELECTION}
  beat_ms         = {BEAT}
  snapshot_entries = {self.snapshot_entries}
  start_with = {{
{members}
  }}
}}
""")

    def start(self, name: str, *options: str) -> None:
        log = open(self.folder / f"{name}.log", "a")
        self.running[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "lifthinge",
                "member",
                "run",
                str(self.folder / f"{name}.hcl"),
                *options,
            ],
            stderr=log,
            stdout=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def kill(self, name: str, how: int = signal.SIGKILL) -> None:
        process = self.running.pop(name, None)
        if process is not None:
            if name in self.stopped:
                process.send_signal(signal.SIGCONT)
                self.stopped.discard(name)
            process.send_signal(how)
            process.wait(20)

    def client(self, name: str) -> ClusterClient:
        return ClusterClient(self.runtime, self.addresses, "drill", name, self.watch_keys)

    async def reports(self, wait: float = 300.0) -> dict[str, client_messages.StatusReport]:
        async def one(name: str) -> client_messages.StatusReport | None:
            link = self.watched.get(name)
            if link is None or link.link.is_closed:
                link = await connect_member(
                    self.runtime, self.addresses[name], "drill", "watch", self.watch_keys
                )
                if link is None:
                    return None
                self.watched[name] = link
            return await link.ask(client_messages.GetStatus(), wait)

        names = [name for name in self.names if name in self.running and name not in self.stopped]
        found = await asyncio.gather(*(one(name) for name in names))
        return {name: report for name, report in zip(names, found) if report is not None}

    # Who goes on all the time.

    async def proposer(self, number: int) -> None:
        client, on, count = self.client(f"p{number}"), 0, 0
        dice = Random(self.dice.getrandbits(32))
        while not self.over:
            count += 1
            mark = f"{number}-{count}"
            document = {
                "backends": [{"id": f"s-{dice.randrange(20)}", "reason": mark, "until": 0.0}]
            }
            asked = self.runtime.now
            reply = await client.propose(document, on, mark, time.time() * 1000.0, asked + 15_000.0)
            answered = self.runtime.now
            if isinstance(reply, Accepted):
                on = reply.version
                self.history.append(Seen(asked, answered, reply.version, True))
                self.acknowledged[reply.version] = mark.encode()
            elif isinstance(reply, VersionConflict):
                on = reply.version
                self.history.append(Seen(asked, answered, reply.version, False))
            else:
                self.unknown += 1
                client.session = 0  # its fate is unknown: a new number would pass it by
                shown = await client.ask(client_messages.GetVersion(), self.runtime.now + 5_000.0)
                on = shown.version if isinstance(shown, client_messages.VersionReply) else on
            await self.runtime.pause(dice.uniform(0, 30))
        client.close()

    async def reader(self, number: int) -> None:
        client = self.client(f"r{number}")
        while not self.over:
            asked = self.runtime.now
            reply = await client.ask(client_messages.GetVersion(), asked + 5_000.0)
            if isinstance(reply, client_messages.VersionReply):
                self.reads += 1
                self.history.append(Seen(asked, self.runtime.now, reply.version, False))
            if self.dice.random() < 0.2:
                client.close()  # goes to another next
            await self.runtime.pause(self.dice.uniform(0, 40))
        client.close()

    async def front_end(self, number: int) -> None:
        """Obeys what it is told, from whichever member takes it on; the fence keeps it from going back."""
        fence, at = Fence(), (0, 0)
        while not self.over:
            name = self.dice.choice(self.names)
            link = await connect_member(
                self.runtime, self.addresses[name], "drill", f"f{number}", self.watch_keys
            )
            if link is None:
                await self.runtime.pause(100.0)
                continue
            link.pushed_replies = asyncio.Queue(1_000)
            reply = await link.ask(client_messages.Subscribe(fence.latest_admitted), 1_000.0)
            until = self.runtime.now + self.dice.uniform(500, 3_000)
            while isinstance(reply, client_messages.VersionReply) and not self.over:
                if reply.version and fence.admit(reply.term, reply.index):
                    self.follows += 1
                    self.went_back += (reply.term, reply.index) < at
                    at = reply.term, reply.index
                    self.obeyed.setdefault((reply.version, reply.index), set()).add(reply.digest)
                if self.runtime.now > until:
                    break
                try:
                    reply = await asyncio.wait_for(link.pushed_replies.get(), 0.5)
                except TimeoutError:
                    pass
            link.close()
            await self.runtime.pause(50.0)

    async def watch(self) -> None:
        """How long nobody leads a majority, as seen by asking all."""
        lost_at: float | None = None
        while not self.over:
            reports = await self.reports()
            leads = [one for one in reports.values() if one.role == "leader" and one.in_touch]
            if leads and lost_at is not None:
                self.leaderless.append(self.runtime.now - lost_at)
                lost_at = None
            elif not leads and lost_at is None:
                lost_at = self.runtime.now
            await asyncio.sleep(WATCH)

    # Failures.

    async def trouble(self) -> None:
        acts = [
            (4, self.act_kill),
            (3, self.act_kill_leader),
            (3, self.act_stop),
            (2, self.act_stop_leader),
            (3, self.act_cut),
            (3, self.act_isolate_leader),
            (2, self.act_one_way),
            (2, self.act_slow),
            (1, self.act_full),
            (2, self.act_change),
            (2, self.act_transfer),
        ]
        end = self.runtime.now + self.seconds * 1000.0
        while self.runtime.now < end:
            act = self.dice.choices([act for _, act in acts], [weight for weight, _ in acts])[0]
            await act()
            await self.runtime.pause(1000.0 * self.dice.uniform(*EVERY))
            if self.dice.random() < 0.6:
                await self.mend()

    async def mend(self) -> None:
        """All cuts go, who was stopped wakes, who is down starts."""
        self.cuts.clear()
        for way in self.ways.values():
            way.changed()
        for name in list(self.stopped):
            self.running[name].send_signal(signal.SIGCONT)
            self.stopped.discard(name)
        for name in self.names:
            if name not in self.running or self.running[name].poll() is not None:
                self.running.pop(name, None)
                self.start(name)

    def _well(self) -> list[str]:
        return [
            name
            for name in self.names
            if name in self.running
            and name not in self.stopped
            and self.running[name].poll() is None
        ]

    async def _leader(self) -> str | None:
        reports = await self.reports()
        found = [one for one in reports.values() if one.role == "leader"]
        return max(found, key=lambda one: one.term).name if found else None

    async def _kill(self, name: str | None) -> None:
        if name in self._well():
            self.say("kill", name)
            self.kills += 1
            self.kill(name)

    async def act_kill(self) -> None:
        await self._kill(self.dice.choice(self._well() or [""]))

    async def act_kill_leader(self) -> None:
        await self._kill(await self._leader())

    async def _stop(self, name: str | None) -> None:
        if name in self._well():
            self.say("stop", name)
            self.stops += 1
            self.stopped.add(name)
            self.running[name].send_signal(signal.SIGSTOP)

    async def act_stop(self) -> None:
        await self._stop(self.dice.choice(self._well() or [""]))

    async def act_stop_leader(self) -> None:
        await self._stop(await self._leader())

    def _cut(self, pairs: set[tuple[str, str]]) -> None:
        self.say("cut", " ".join(sorted("".join(pair) for pair in pairs)))
        self.cut_count += 1
        self.cuts |= pairs

    async def act_cut(self) -> None:
        side = set(self.dice.sample(self.names, self.dice.randint(1, max(len(self.names) // 2, 1))))
        self._cut(
            {pair for a in side for b in self.names if b not in side for pair in ((a, b), (b, a))}
        )

    async def act_isolate_leader(self) -> None:
        name = await self._leader()
        if name:
            self._cut(
                {
                    pair
                    for other in self.names
                    if other != name
                    for pair in ((name, other), (other, name))
                }
            )

    async def act_one_way(self) -> None:
        name = self.dice.choice(self.names)
        out = self.dice.random() < 0.5
        self._cut(
            {(name, other) if out else (other, name) for other in self.names if other != name}
        )

    async def act_slow(self) -> None:
        name = self.dice.choice(self._well() or [""])
        if name:
            self.say("slow disk", name)
            self.disks += 1
            self.kill(name, signal.SIGTERM)
            self.start(name, "--disk-delay", "40")

    async def act_full(self) -> None:
        name = self.dice.choice(self._well() or [""])
        if name:
            self.say("full disk", name)
            self.disks += 1
            self.kill(name)
            self.start(name, "--disk-most", "20000")

    async def act_change(self) -> None:
        """Removes a member, or brings one back under a new name with an empty folder."""
        client = self.client("change")
        if len(self.names) > 3 and self.dice.random() < 0.5:
            name = self.dice.choice(self.names)
            reply = await client.ask(
                client_messages.ChangeMembership(name), self.runtime.now + 3_000.0
            )
            if isinstance(reply, client_messages.Done):
                self.say("removed", name)
                self.changes += 1
                self.names.remove(name)
                self.kill(name, signal.SIGTERM)
                self.addresses.pop(name)
        elif len(self.names) < 7:
            name = f"{self.dice.choice(NAMES)}{self.changes}x{self.kills}"
            await self.place(name)
            self.write_file(name, {})
            self.start(name)
            self.names.append(name)
            reply = await client.ask(
                client_messages.ChangeMembership(name, self.outside[name]),
                self.runtime.now + 3_000.0,
            )
            if isinstance(reply, client_messages.Done):
                self.say("added", name)
                self.changes += 1
            elif not (isinstance(reply, client_messages.Rejection) and not reply.may_have_run):
                self.say("perhaps added", name)
            else:
                self.names.remove(name)
                self.kill(name)
                self.addresses.pop(name)
        client.close()

    async def act_transfer(self) -> None:
        client = self.client("transfer")
        self.transfers += isinstance(
            await client.ask(
                client_messages.TransferLeadership(self.dice.choice(self.names)),
                self.runtime.now + 1_000.0,
            ),
            client_messages.Done,
        )
        client.close()

    # The run, and what came of it.

    async def play(self) -> dict[str, Any]:
        self.make_keys()
        for name in self.names:
            await self.place(name)
        first = dict(self.outside)
        for name in self.names:
            self.write_file(name, first)
            self.start(name)
        try:
            await self._until_led(START_WAIT)
            tasks = [asyncio.create_task(self.proposer(k)) for k in range(PROPOSERS)]
            tasks += [asyncio.create_task(self.reader(k)) for k in range(READERS)]
            tasks += [asyncio.create_task(self.front_end(k)) for k in range(FRONT_ENDS)]
            tasks.append(asyncio.create_task(self.watch()))
            await self.trouble()
            await self.mend()
            await self._until_led(SETTLE)
            await asyncio.sleep(1.0)
            self.over = True
            await asyncio.gather(*tasks)
            return await self.judge()
        finally:
            for name in list(self.running):
                self.kill(name)
            for way in self.ways.values():
                way.close()

    async def _until_led(self, wait: float) -> None:
        end = self.runtime.now + wait * 1000.0
        while self.runtime.now < end:
            if any(
                one.role == "leader" and one.in_touch for one in (await self.reports()).values()
            ):
                return
            await asyncio.sleep(WATCH)

    async def judge(self) -> dict[str, Any]:
        """What was promised, held against what the members hold."""
        end, digests, commits = self.runtime.now + SETTLE * 1000.0, set(), set()
        reports: dict[str, client_messages.StatusReport] = {}
        while self.runtime.now < end:
            reports = await self.reports(1_000.0)
            members = {
                one.name
                for report in reports.values()
                if report.role == "leader"
                for one in report.members
            }
            digests = {report.digest for name, report in reports.items() if name in members}
            commits = {report.commit for name, report in reports.items() if name in members}
            if members and members <= set(reports) and len(digests) == len(commits) == 1:
                break
            await asyncio.sleep(0.2)
        history = await self._history()
        lost = [
            version
            for version, mark in self.acknowledged.items()
            if version in history
            and history[version].author.encode() != mark
            or version > max(history, default=0)
        ]
        by_place = {(one.version, one.index): one.digest for one in history.values()}
        two = [
            place
            for place, seen in self.obeyed.items()
            if len(seen) > 1 or place in by_place and by_place[place] not in seen
        ]
        parted = misorder(self.history)
        waits = sorted(self.leaderless)
        result = {
            "acknowledged": len(self.acknowledged),
            "acknowledged_lost": len(lost),
            "histories_identical": len(digests) == 1
            and len(commits) == 1
            and bool(members)
            and members <= set(reports),
            "two_obeyed": len(two) + self.went_back,
            "linearisable": parted is None,
            "kills": self.kills,
            "cuts": self.cut_count,
            "stops": self.stops,
            "changes": self.changes,
            "disks": self.disks,
            "transfers": self.transfers,
            "reads": self.reads,
            "follows": self.follows,
            "unknown": self.unknown,
            "leaderless": len(waits),
            "members": len(self.names),
            "leaderless_ms_p50": round(statistics.median(waits), 1) if waits else 0.0,
            "leaderless_ms_p99": round(waits[min(int(len(waits) * 0.99), len(waits) - 1)], 1)
            if waits
            else 0.0,
        }
        result["ok"] = (
            not lost
            and result["histories_identical"]
            and not result["two_obeyed"]
            and parted is None
            and bool(self.acknowledged)
        )
        if parted:
            result["parted"] = [str(one) for one in parted]
        if not result["histories_identical"]:
            result["seen"] = {
                name: [
                    one.commit,
                    one.version,
                    one.digest.hex()[:8],
                    one.role,
                    one.leader,
                    sorted(m.name for m in one.members),
                ]
                for name, one in reports.items()
            }
        return result

    async def _history(self) -> dict[int, client_messages.VersionReply]:
        """All versions kept, from who leads; sessions of before are gone by, as the folder keeps the latest."""
        client, found, since = self.client("judge"), {}, 0
        while True:
            reply = await client.ask(
                client_messages.ListVersions(since), self.runtime.now + 10_000.0
            )
            if not isinstance(reply, client_messages.VersionList) or not reply.versions:
                client.close()
                return found
            found.update({one.version: one for one in reply.versions})
            since = reply.versions[-1].version + 1


def run(size: int, seconds: float, seed: int, keep: str = "", quiet: bool = True) -> dict[str, Any]:
    """Plays one drill; its result, `ok` if every promise was kept."""

    async def play(folder: Path) -> dict[str, Any]:
        return await Drill(size, seconds, seed, folder, quiet).play()

    logging.getLogger("lifthinge").addHandler(logging.NullHandler())  # cut links are not news here
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(Path(keep)))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Path(folder)))
