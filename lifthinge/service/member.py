"""Start and stop of a cluster member's process."""

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
EXIT_MEMBER_FAILED = 1  # exit status
MAX_SOCKETS = 8_192  # limit from which those of connections and requests are derived


class MemberStartupError(Exception):
    """The member can't start; the text names the key or the file at fault."""


def _open_key_files(part: MemberPart, path: str) -> dict[str, KeyFile]:
    """Return the key files of members and of clients by role; `path` is the operators' file."""
    key_files = {}
    for role, key_setting in (("member", "key_file"), ("client", "client_key_file")):
        keys = read_keys(getattr(part, key_setting))
        if isinstance(keys, KeyFileProblem):
            raise MemberStartupError(f"{path}: member.{key_setting}: {keys.path}: {keys.why}")
        key_files[role] = KeyFile(getattr(part, key_setting), keys)
    return key_files


def _open_member_disk(part: MemberPart, path: str, files_class: type[Files]):
    """Open the member's folder, and initialise it if it is empty.

    Raises MemberStartupError if it can't be opened, is damaged, or belongs to another member.
    """
    try:
        disk = open_disk(files_class(Path(part.folder)))
    except OSError as error:
        raise MemberStartupError(
            f"{path}: member.folder: {part.folder}: {error.strerror or error}"
        ) from None
    if isinstance(disk, StoreProblem):
        raise MemberStartupError(f"{path}: member.folder: {part.folder}/{disk}")
    if disk.identity is None:
        if disk.stored_state.term or disk.stored_state.entries:
            raise MemberStartupError(
                f"{path}: member.folder: {part.folder}: holds Raft state, but no identity"
            )
        first_configuration = Configuration(
            tuple(Member(name, address) for name, address in sorted(part.start_with.items()))
        )
        disk.initialize(FolderIdentity(part.cluster, part.name, first_configuration))
    elif (disk.identity.cluster, disk.identity.member) != (part.cluster, part.name):
        raise MemberStartupError(
            f"{path}: member.folder: {part.folder}: belongs to member"
            f" {disk.identity.member} of cluster {disk.identity.cluster}"
        )
    return disk


async def serve(part: MemberPart, path: str, files_class: type[Files]) -> int:
    """Serve until SIGTERM or SIGINT, or until the disk or the protocol fails.

    `path` is the operators' file. Returns the exit status; raises MemberStartupError.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    failures = []
    key_files = _open_key_files(part, path)
    runtime = make_runtime(SystemRandom().getrandbits(64), MAX_SOCKETS)

    def get_keys(role: str) -> Keys:
        current_keys = key_files[role].now()
        if key_files[role].problem:
            runtime.rate_limited_log.warning(
                "keys_unusable", path=key_files[role].path, why=key_files[role].problem.why
            )
        return current_keys

    def on_fatal_error(why: str) -> None:
        failures.append(why)
        stopped.set()

    disk = _open_member_disk(part, path, files_class)
    settings = MemberSettings(
        part.cluster,
        part.name,
        split_address(part.listen),
        RaftOptions(election_timeout_ms=part.election_ms, heartbeat_interval_ms=part.beat_ms),
        get_keys,
        part.snapshot_entries,
    )
    member = MemberServer(settings, runtime, disk, on_fatal_error)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # changed key files are read without it
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("counters", collect_counters(runtime)))
    try:
        await member.start()
    except OSError as error:
        await member.stop()
        raise MemberStartupError(
            f"{path}: member.listen: {part.listen}: {error.strerror or error}"
        ) from None
    host, port = member.bound_address
    log.info(
        "member_started",
        {
            "member": part.name,
            "cluster": part.cluster,
            "listen": f"{host}:{port}",
            "term": member.raft.term,
            "last": member.raft.log.last_index,
            "pid": os.getpid(),
        },
    )
    await stopped.wait()
    await member.stop()
    log.info("stopped", collect_counters(runtime))
    return EXIT_MEMBER_FAILED if failures else 0


def main(
    part: MemberPart, path: str, files_class: type[Files] = Files, form: str = "key-value"
) -> int:
    """Run a cluster member; return the exit status. `form` is that of the log lines."""
    logs.configure(form)
    try:
        return asyncio.run(serve(part, path, files_class))
    except MemberStartupError as error:
        log.error("bad_start", {"why": str(error)})
        return EXIT_STARTUP_ERROR
