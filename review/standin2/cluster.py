"""Members of the cluster as processes, the command line, and forwarders in front of the members.

A forwarder passes bytes on. A case may hold what a client sends, or cut the members' links: what is
cut stays open and silent, as the protocol page says of a machine that is cut off.
"""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIFTHINGE = ROOT / ".venv/bin/lifthinge"
LENGTH_BYTES = 4  # before each frame of the members' protocol, big-endian
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2  # exit status of a case


class CaseNotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, *words: object) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(word) for word in words)
        print(line, file=self.file, flush=True)


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Forwarder:
    """Passes bytes between those who dial it and one target; each connection is a `Way`."""

    def __init__(self, target: Callable[[], tuple[str, int]]) -> None:
        self.target = target
        self.ways: list[Way] = []
        # Called with each whole frame of the dialling side before it is passed on.
        self.on_frame: Callable[[Way, bytes], Awaitable[None]] | None = None
        self.refuses = False  # whether whoever dials is reset
        # Whether a dialler, known by its first frame, is cut off at present.
        self.is_cut: Callable[[Way], bool] = lambda way: False
        self.server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []

    async def open(self, out_of_reach: bool = False) -> str:
        """Listen, and return the address; out of reach, connections to it never come up."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0 if out_of_reach else 100)
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()[:2]
        if out_of_reach:
            # A full queue: the system answers no further connection.
            self._fillers = [socket.socket() for _ in range(3)]
            for filler in self._fillers:
                filler.setblocking(False)
                filler.connect_ex((host, port))
        else:
            await self.come_up()
        return f"{host}:{port}"

    async def come_up(self) -> None:
        """Take connections from now on."""
        for filler in self._fillers:
            filler.close()
        self._listener.listen(100)
        self.server = await asyncio.start_server(self._serve, sock=self._listener)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        way = Way(self, writer)
        self.ways.append(way)
        try:
            await way.run(reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            way.end()
            self.ways.remove(way)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        elif self._listener is not None:
            for one in [*self._fillers, self._listener]:
                one.close()
        for way in list(self.ways):
            way.end()


class Way:
    """One forwarded connection."""

    def __init__(self, forwarder: Forwarder, near: asyncio.StreamWriter) -> None:
        self.forwarder = forwarder
        self.near = near
        self.far: asyncio.StreamWriter | None = None
        self.hello = b""  # the first frame of the dialling side
        self.frames = 0  # whole frames of the dialling side so far

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Pass both directions on until one side ends."""
        self.hello = await self._read_frame(reader)
        await self._wait_while_cut()
        far_reader, self.far = await asyncio.open_connection(*self.forwarder.target())
        back = asyncio.ensure_future(self._pass_back(far_reader))
        try:
            frame = self.hello
            while True:
                self.frames += 1
                if self.forwarder.on_frame is not None:
                    await self.forwarder.on_frame(self, frame)
                await self._wait_while_cut()
                self.far.write(frame)
                await self.far.drain()
                frame = await self._read_frame(reader)
        finally:
            back.cancel()

    async def _read_frame(self, reader: asyncio.StreamReader) -> bytes:
        head = await reader.readexactly(LENGTH_BYTES)
        return head + await reader.readexactly(int.from_bytes(head, "big"))

    async def _pass_back(self, reader: asyncio.StreamReader) -> None:
        while data := await reader.read(1 << 16):
            await self._wait_while_cut()
            self.near.write(data)
            await self.near.drain()
        self.end()

    async def _wait_while_cut(self) -> None:
        while self.forwarder.is_cut(self):
            await asyncio.sleep(0.01)

    def end(self) -> None:
        """Reset both sides."""
        for writer in (self.near, self.far):
            if writer is not None:
                writer.transport.abort()


class Cluster:
    """Members as processes in a temporary folder; `through` puts a forwarder before each."""

    def __init__(self, record: Record, names: tuple[str, ...], through: bool = False) -> None:
        self.record = record
        self.names = names
        self.through = through
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.others: list[asyncio.subprocess.Process] = []
        self.ports: dict[str, int] = {}
        self.ways: dict[str, Forwarder] = {}  # between the members

    async def begin(self) -> None:
        """Write the keys and files, start all members, and wait until each serves."""
        for kind in ("members", "clients"):
            path = self.folder / f"{kind}.key"
            path.touch(mode=0o600)
            path.write_text(f"k1 {secrets.token_hex(32)}\n")
        addresses = {}
        for name in self.names:
            self.ports[name] = free_port()
            addresses[name] = f"127.0.0.1:{self.ports[name]}"
            if self.through:
                self.ways[name] = Forwarder(lambda name=name: ("127.0.0.1", self.ports[name]))
                addresses[name] = await self.ways[name].open()
        start_with = "".join(f'    {name} = "{where}"\n' for name, where in addresses.items())
        for name in self.names:
            (self.folder / f"{name}.hcl").write_text(
                "member {\n"
                '  cluster = "depots"\n'
                f'  name = "{name}"\n'
                f'  listen = "127.0.0.1:{self.ports[name]}"\n'
                f'  folder = "{self.folder / name}"\n'
                f'  key_file = "{self.folder}/members.key"\n'
                f'  client_key_file = "{self.folder}/clients.key"\n'
                f"  start_with = {{\n{start_with}  }}\n"
                "}\n"
            )
        self.write_client_file("client", {n: f"127.0.0.1:{self.ports[n]}" for n in self.names})
        for name in self.names:
            await self.start_member(name)
        await self.wait_until_ok()

    def write_client_file(self, name: str, members: dict[str, str]) -> str:
        """Write an operators' file with the members as a client reaches them; return its path."""
        lines = "".join(f'    {member} = "{where}"\n' for member, where in members.items())
        path = self.folder / f"{name}.hcl"
        path.write_text(
            'agreed {\n  cluster = "depots"\n'
            f'  key_file = "{self.folder}/clients.key"\n'
            f"  members = {{\n{lines}  }}\n}}\n"
        )
        return str(path)

    async def start_member(self, name: str) -> None:
        """Start a member by the command of the members' page."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                str(LIFTHINGE),
                "member",
                "run",
                str(self.folder / f"{name}.hcl"),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.record("started member", name, "pid", self.processes[name].pid)

    async def kill_member(self, name: str) -> None:
        """Kill a member outright."""
        self.record("SIGKILL to member", name)
        self.processes[name].send_signal(signal.SIGKILL)
        await self.processes[name].wait()

    async def command(self, *words: str) -> tuple[int, str, str]:
        """Run a command line; return its exit status and what it wrote."""
        process = await asyncio.create_subprocess_exec(
            str(LIFTHINGE),
            *words,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.others.append(process)
        out, errors = (text.decode() for text in await process.communicate())
        self.record("ran lifthinge", *words, "-> exit", process.returncode)
        for line in (out + errors).splitlines():
            self.record("    |", line)
        return process.returncode, out, errors

    async def members(self) -> dict:
        """Return what `lifthinge members list` tells; empty if nobody answers."""
        status, out, _ = await self.command(
            "members", "list", "--json", "--operator", str(self.folder / "client.hcl")
        )
        return json.loads(out) if status == 0 else {}

    async def wait_until_ok(self, patience_s: float = 30.0) -> str:
        """Wait until one member leads and all are ready and in touch; return the leader."""
        end = time.monotonic() + patience_s
        while time.monotonic() < end:
            state = await self.members()
            rows = state.get("members", [])
            if (
                len(rows) == len(self.names)
                and all(row["ready"] and row["in_touch"] for row in rows)
                and sum(row["role"] == "leader" for row in rows) == 1
            ):
                return next(row["name"] for row in rows if row["role"] == "leader")
            await asyncio.sleep(0.2)
        raise CaseNotRunError("the members were not all ready in time")

    def write_document(self, name: str, *backends: str) -> str:
        """Write a document that takes these backends out of service; return its path."""
        path = self.folder / name
        path.write_text("".join(f'backend "{one}" {{ reason = "disk" }}\n' for one in backends))
        return str(path)

    async def end(self) -> None:
        """Kill all processes that were started, close the forwarders, remove the folder."""
        for process in [*self.processes.values(), *self.others]:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for way in self.ways.values():
            way.close()
        for name in self.names:
            log = self.folder / f"{name}.log"
            if log.exists():
                self.record("log of", name)
                for line in log.read_text().splitlines():
                    self.record("    |", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def is_trouble() -> bool:
    """Return whether the disruption is wanted: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record, bool], Awaitable[str]]) -> int:
    """Play a case; return the exit status that its script has.

    `play` takes the record and whether there is trouble. It returns how the rule was broken, or an
    empty text if it held.
    """
    record = Record(folder)
    trouble = is_trouble()
    record("trouble" if trouble else "without trouble")

    async def run() -> str:
        # A script that is ended still ends what it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(record, trouble), 110)

    try:
        breach = asyncio.run(run())
    except (CaseNotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record("NOT RUN:", repr(error))
        print(f"could not run: {error!r}")
        return NOT_RUN
    record(f"RULE BROKEN: {breach}" if breach else "RULE HELD")
    print(f"rule broken: {breach}" if breach else "rule held")
    return RULE_BROKEN if breach else RULE_HELD
