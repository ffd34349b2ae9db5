"""Start and stop of a member of the cluster."""

import asyncio
import logging
import os
import signal
from pathlib import Path
from random import SystemRandom

from lifthinge.cluster.disk import FolderIdentity, open_disk
from lifthinge.cluster.keys import KeyFile, KeyFileProblem, Keys, read_keys
from lifthinge.cluster.member import MemberServer, MemberSettings
from lifthinge.operators import MemberPart, split_address
from lifthinge.raft.messages import Configuration, Member
from lifthinge.raft.node import RaftOptions
from lifthinge.service import logs
from lifthinge.service.run import EXIT_STARTUP_ERROR, collect_counters, make_runtime
from lifthinge.store.files import Files
from lifthinge.store.store import StoreProblem

log = logging.getLogger(__name__)
FAILED = 1
SOCKETS = 8_192


class MemberStartupError(Exception):
    """The member can't start; the text names key or file."""


def _key_files(part: MemberPart, path: str) -> dict[str, KeyFile]:
    files = {}
    for role, name in (("member", "key_file"), ("client", "client_key_file")):
        keys = read_keys(getattr(part, name))
        if isinstance(keys, KeyFileProblem):
            raise MemberStartupError(f"{path}: member.{name}: {keys.path}: {keys.why}")
        files[role] = KeyFile(getattr(part, name), keys)
    return files


def _open(part: MemberPart, path: str, kind: type[Files]):
    try:
        disk = open_disk(kind(Path(part.folder)))
    except OSError as error:
        raise MemberStartupError(
            f"{path}: member.folder: {part.folder}: {error.strerror or error}"
        ) from None
    if isinstance(disk, StoreProblem):
        raise MemberStartupError(f"{path}: member.folder: {part.folder}/{disk}")
    if disk.identity is None:
        if disk.stored_state.term or disk.stored_state.entries:
            raise MemberStartupError(
                f"{path}: member.folder: {part.folder}: does not say whose it is"
            )
        first = Configuration(
            tuple(Member(name, address) for name, address in sorted(part.start_with.items()))
        )
        disk.initialize(FolderIdentity(part.cluster, part.name, first))
    elif (disk.identity.cluster, disk.identity.member) != (part.cluster, part.name):
        raise MemberStartupError(
            f"{path}: member.folder: {part.folder}: belongs to {disk.identity.member} of"
            f" {disk.identity.cluster}"
        )
    return disk


async def serve(part: MemberPart, path: str, kind: type[Files]) -> int:
    """Serves until SIGTERM, or until the disk fails."""
    loop, over, failed = asyncio.get_running_loop(), asyncio.Event(), []
    files = _key_files(part, path)
    runtime = make_runtime(SystemRandom().getrandbits(64), SOCKETS)

    def keys(role: str) -> Keys:
        found = files[role].now()
        if files[role].problem:
            runtime.rate_limited_log.warning(
                "keys_unusable", path=files[role].path, why=files[role].problem.why
            )
        return found

    def fatal(why: str) -> None:
        failed.append(why)
        over.set()

    disk = _open(part, path, kind)
    seat = MemberSettings(
        part.cluster,
        part.name,
        split_address(part.listen),
        RaftOptions(election_timeout_ms=part.election_ms, heartbeat_interval_ms=part.beat_ms),
        keys,
        part.snapshot_entries,
    )
    member = MemberServer(seat, runtime, disk, fatal)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, over.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # keys are read again by themselves
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", collect_counters(runtime)))
    try:
        await member.start()
    except OSError as error:
        await member.stop()
        raise MemberStartupError(
            f"{path}: member.listen: {part.listen}: {error.strerror or error}"
        ) from None
    log.info(
        "member_started",
        {
            "member": part.name,
            "cluster": part.cluster,
            "listen": "%s:%d" % member.bound_address,
            "term": member.raft.term,
            "last": member.raft.log.last_index,
            "pid": os.getpid(),
        },
    )
    await over.wait()
    await member.stop()
    log.info("stopped", collect_counters(runtime))
    return FAILED if failed else 0


def main(part: MemberPart, path: str, kind: type[Files] = Files, form: str = "key-value") -> int:
    logs.configure(form)
    try:
        return asyncio.run(serve(part, path, kind))
    except MemberStartupError as error:
        log.error("bad_start", {"why": str(error)})
        return EXIT_STARTUP_ERROR
