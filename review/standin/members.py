"""Members of a cluster on loopback: the project's own processes, as docs/members.md starts them."""

import asyncio
import json
import os
import secrets
import signal
from pathlib import Path

from standin.world import ROOT, Record, free_address

LIFTHINGE = str(ROOT / ".venv/bin/lifthinge")


class Members:
    """Three members, their files in a temporary folder, and the command line."""

    def __init__(
        self, record: Record, folder: Path, names: str = "abc", election_ms: int = 1000
    ) -> None:
        self.record = record
        self.folder = folder
        self.names = names
        self.election_ms = election_ms
        self.addresses = {name: free_address() for name in names}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        os.umask(0o077)
        for role in ("members", "clients"):
            (folder / f"{role}.key").write_text(f"k1 {secrets.token_hex(32)}\n")
        for name in names:
            self.write_file(name, names)

    def write_file(self, name: str, start_with: str) -> Path:
        """Write the operators' file of a member."""
        members = "\n".join(f'    {n} = "{self.addresses[n]}"' for n in self.names)
        first = "\n".join(f'    {n} = "{self.addresses[n]}"' for n in start_with)
        path = self.folder / f"{name}.hcl"
        path.write_text(
            f"""member {{
  cluster = "depots"
  name = "{name}"
  listen = "{self.addresses[name]}"
  folder = "{self.folder}/{name}"
  key_file = "{self.folder}/members.key"
  client_key_file = "{self.folder}/clients.key"
  election_ms = {self.election_ms}
  beat_ms = 100
  start_with = {{
{first}
  }}
}}
agreed {{
  cluster = "depots"
  key_file = "{self.folder}/clients.key"
  members = {{
{members}
  }}
}}
"""
        )
        return path

    @property
    def file(self) -> str:
        """The operators' file that the command line and controllers use."""
        return str(self.folder / f"{self.names[0]}.hcl")

    async def start(self, name: str) -> None:
        """Start a member."""
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                LIFTHINGE, "member", "run", str(self.folder / f"{name}.hcl"), stderr=log, cwd=ROOT
            )
        self.record(f"member {name}: started, process {self.processes[name].pid}")

    async def start_all(self) -> str:
        """Start all members; return the name of the one that leads."""
        for name in self.names:
            await self.start(name)
        for _ in range(40):
            await asyncio.sleep(0.5)
            report = await self.status()
            if report.get("leader") and all(m["state_ok"] for m in report["members"]):
                self.record(f"members: {report['leader']} leads, all are ready")
                return report["leader"]
        raise RuntimeError("no member leads")

    async def status(self) -> dict:
        """Return what `members list` says; empty if nobody answers."""
        code, out, _ = await self.command("members", "list", "--json", quiet=True)
        if code:
            return {}
        report = json.loads(out)
        for one in report["members"]:
            one["state_ok"] = bool(one["ready"] and one["in_touch"])
        return report

    async def command(self, *words: str, quiet: bool = False) -> tuple[int, str, str]:
        """Run a command of the command line; return its exit code and what it said."""
        process = await asyncio.create_subprocess_exec(
            LIFTHINGE,
            *words,
            "--operator",
            self.file,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        out, err = await process.communicate()
        answer = process.returncode, out.decode().strip(), err.decode().strip()
        if not quiet:
            self.record(f"lifthinge {' '.join(words)}: {answer}".replace(str(self.folder), "F"))
        return answer

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a member."""
        self.processes[name].send_signal(number)
        self.record(f"member {name}: {number.name}")

    async def kill(self, name: str) -> None:
        """Kill a member outright."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def end(self) -> None:
        """End all members."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
