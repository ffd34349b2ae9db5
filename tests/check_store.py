"""The store under crashes: a folder in memory that loses what was not synced, cut and spoilt at every byte."""

import errno
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random

from lifthinge.lab.disks import hindered
from lifthinge.store.files import Files
from lifthinge.store.records import HEADER_BYTES
from lifthinge.store.store import Store, StoreProblem, inspect_folder


class Crash(Exception):
    """The machine is gone at this operation."""


@dataclass(eq=False)
class Inode:
    data: bytes = b""
    durable: int = 0


class MemoryFiles(Files):
    """A folder in memory: bytes last from `sync` on, names from `sync_folder` on; `left` operations, then a crash."""

    def __init__(self) -> None:
        self.names_now: dict[str, Inode] = {}
        self.names_durable: dict[str, Inode] = {}
        self.handles: dict[int, Inode] = {}
        self.left = 1 << 30
        self.steps: list[dict[str, Inode]] = []  # the names after each change since the last sync

    def _step(self) -> None:
        self.left -= 1
        if self.left < 0:
            raise Crash

    def lock(self) -> bool:
        return True

    def unlock(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.names_now)

    def read(self, name: str) -> bytes:
        return self.names_now[name].data

    def open(self, name: str) -> int:
        self._step()
        if name not in self.names_now:
            self.names_now[name] = Inode()
            self.steps.append(dict(self.names_now))
        handle = len(self.handles) + 1
        self.handles[handle] = self.names_now[name]
        return handle

    def write(self, file: int, data: bytes) -> None:
        half = len(data) // 2
        self.handles[file].data += data[:half]
        self._step()
        self.handles[file].data += data[half:]

    def sync(self, file: int) -> None:
        self._step()
        self.handles[file].durable = len(self.handles[file].data)

    def close(self, file: int) -> None:
        pass

    def truncate(self, name: str, size: int) -> None:
        self._step()
        inode = self.names_now[name]
        inode.data = inode.data[:size]
        inode.durable = size

    def rename(self, old: str, new: str) -> None:
        self._step()
        self.names_now[new] = self.names_now.pop(old)
        self.steps.append(dict(self.names_now))

    def remove(self, name: str) -> None:
        self._step()
        if self.names_now.pop(name, None):
            self.steps.append(dict(self.names_now))

    def sync_folder(self) -> None:
        self._step()
        self.names_durable, self.steps = dict(self.names_now), []

    def after_crash(self, dice: Random) -> "MemoryFiles":
        """What the next start may find."""
        found = MemoryFiles()
        names = dice.choice([self.names_durable, *self.steps])
        for name, inode in names.items():
            size = dice.randint(inode.durable, len(inode.data))
            found.names_now[name] = Inode(inode.data[:size], size)
        found.names_durable = dict(found.names_now)
        return found


def _write(files: MemoryFiles, acknowledged: list, told: list) -> None:
    """A life of a store: batches, and now and then a snapshot that keeps the last two records."""
    store = Store.open(files)
    assert isinstance(store, Store), store
    for number in range(12):
        record = 1 + number % 3, f"r{number}".encode() * (1 + number % 4)
        told.append(record)
        store.append(*record)
        if number % 2:
            store.sync()
            acknowledged[:] = told
        if number in (5, 9):
            store.save_snapshot(b"%d" % (len(told) - 2), told[-2:])
            acknowledged[:] = told


def _all(found, told: list) -> list:
    """Every record that a folder stands for; the snapshot here is how many it holds."""
    return told[: int(found.snapshot or b"0")] + found.records


def check_crash_at_every_operation() -> None:
    """Whatever operation is the last, and whatever was not synced is lost: a valid state, nothing acknowledged lost."""
    dice, ends = Random(5), 0
    for left in range(400):
        for _ in range(6):
            files, acknowledged, told = MemoryFiles(), [], []
            files.left = left
            try:
                _write(files, acknowledged, told)
                ends += 1
            except Crash:
                pass
            after = files.after_crash(dice)
            found = inspect_folder(after)
            assert not isinstance(found, StoreProblem), (left, found)
            held = _all(found, told)
            assert held == told[: len(held)] and len(held) >= len(acknowledged), (
                left,
                held,
                acknowledged,
            )
            store = Store.open(after)  # and it can go on from there
            store.append(7, b"on")
            store.sync()
            again = inspect_folder(after)
            assert _all(again, told) == [*held, (7, b"on")], left
    assert ends, "no life came to its end"


def _lived() -> tuple[MemoryFiles, list]:
    files, told = MemoryFiles(), []
    _write(files, [], told)
    return files, told


def check_cut_at_every_byte() -> None:
    """A log that ends anywhere is a log of before."""
    files, told = _lived()
    name = max(name for name in files.names() if name.startswith("log"))
    whole = files.read(name)
    counts = []
    for size in range(len(whole) + 1):
        files.names_now[name].data = whole[:size]
        found = inspect_folder(files)
        if (
            size < 32
        ):  # the head of a segment that a snapshot names was durable before the snapshot was
            assert isinstance(found, StoreProblem), size
            continue
        held = _all(found, told)
        assert held == told[: len(held)], size
        counts.append(len(held))
    assert counts == sorted(counts) and counts[-1] == len(told)


def check_spoilt_at_every_byte() -> None:
    """What was durable and is spoilt is refused by name and offset, unless nothing durable came after it."""
    files, told = _lived()
    refused = 0
    for name in files.names():
        whole = files.read(name)
        for at in range(len(whole)):
            spoilt = bytearray(whole)
            spoilt[at] ^= 0x40
            files.names_now[name].data = bytes(spoilt)
            found = inspect_folder(files)
            if isinstance(found, StoreProblem):
                assert found.file == name and found.offset <= at, (found, name, at)
                refused += 1
            else:
                held = _all(found, told)
                assert held == told[: len(held)], (name, at)
                last = max(name for name in files.names() if name.startswith("log"))
                assert name == last and at >= len(whole) - 2 * (HEADER_BYTES + 16), (name, at)
        files.names_now[name].data = whole
    assert refused > 100


def check_read_only() -> None:
    """A folder that can't be written is an error of the system, and is left as it is; it can still be read."""
    files, told = _lived()

    def refused(*_: object) -> int:
        raise OSError(errno.EROFS, "Read-only file system")

    files.open = files.truncate = refused
    before = {name: files.read(name) for name in files.names()}
    try:
        Store.open(files)
    except OSError as error:
        assert error.errno == errno.EROFS
    else:
        raise AssertionError("it was opened")
    assert {name: files.read(name) for name in files.names()} == before
    assert _all(inspect_folder(files), told) == told


def check_full() -> None:
    """A disk that is full fails the write and keeps what was durable."""
    folder = Path(tempfile.mkdtemp())
    store = Store.open(hindered(0.0, 300)(folder))
    kept = 0
    try:
        while True:
            store.append(1, b"x" * 20)
            store.sync()
            kept += 1
    except OSError as error:
        assert error.errno == errno.ENOSPC
    store.close()
    found = inspect_folder(Files(folder))
    assert not isinstance(found, StoreProblem) and len(found.records) == kept and found.torn_bytes
    store = Store.open(Files(folder))
    assert len(store.recovered_records) == kept
    store.close()
