"""A member's disk: the protocol's writes as records of the store, many to one sync, off the loop.

>>> import tempfile
>>> from pathlib import Path
>>> from lifthinge.raft.messages import Entry, EntryKind
>>> files = Files(Path(tempfile.mkdtemp()))
>>> disk = open_disk(files)
>>> disk.apply_writes([Write(1, 3, "b", has_vote=True, entries=[Entry(1, 3, EntryKind.COMMAND, b"x")])]); disk.store.close()
>>> disk = open_disk(files); disk.stored_state.persistent_state().voted_for, disk.stored_state.persistent_state().entries
('b', (Entry(index=1, term=3, kind=<EntryKind.COMMAND: 1>, data=b'x'),))
>>> disk.apply_writes([Write(1, 3, "b", snapshot=Snapshot(1, 3, data=b"s"))]); disk.store.close()
>>> disk = open_disk(files); disk.stored_state.snapshot.data, disk.stored_state.entries, disk.stored_state.term
(b's', [], 3)
>>> disk.store.close()
"""

import asyncio
from collections.abc import Callable, Iterable
from queue import SimpleQueue
from threading import Thread

import msgspec

from lifthinge.raft.messages import Configuration, Entry, Snapshot
from lifthinge.raft.node import Write
from lifthinge.raft.stored_state import StoredState
from lifthinge.store.files import Files
from lifthinge.store.store import Store, StoreProblem

VOTE, CUT, ENTRY, BEGIN = 1, 2, 3, 4  # kinds of records


class _Vote(msgspec.Struct, array_like=True):
    term: int
    voted_for: str | None


class FolderIdentity(msgspec.Struct, array_like=True):
    """What a folder is for, written when it is begun: it is never taken for another's."""

    cluster: str
    member: str
    configuration: Configuration


_vote, _entry = msgspec.msgpack.Decoder(_Vote), msgspec.msgpack.Decoder(Entry)
_snapshot, _cluster = (
    msgspec.msgpack.Decoder(tuple[FolderIdentity | None, Snapshot]),
    msgspec.msgpack.Decoder(FolderIdentity),
)
_encode = msgspec.msgpack.Encoder().encode


class Disk:
    """The store, and in memory what it holds; used by one thread at a time."""

    def __init__(
        self, store: Store, stored_state: StoredState, identity: FolderIdentity | None
    ) -> None:
        self.store, self.stored_state, self.identity = store, stored_state, identity

    def initialize(self, cluster: FolderIdentity) -> None:
        """A new folder learns whose it is."""
        self.identity, self.stored_state.configuration = cluster, cluster.configuration
        self.store.append(BEGIN, _encode(cluster))
        self.store.sync()

    def apply_writes(self, writes: Iterable[Write]) -> None:
        """Makes writes durable, in their order; an `OSError` leaves the disk unusable."""
        due = False
        for write in writes:
            if write.snapshot is None:
                self._append(write)
            else:
                if write.has_vote or write.entries or write.truncate_from is not None:
                    self._append(
                        write
                    )  # what the snapshot supersedes is told first, and dropped with it
                self.stored_state.apply_write(write)
                kept = [(VOTE, _encode(_Vote(self.stored_state.term, self.stored_state.voted_for)))]
                kept += [(ENTRY, _encode(one)) for one in self.stored_state.entries]
                self.store.save_snapshot(_encode((self.identity, write.snapshot)), kept)
            due = due or write.snapshot is None
        if due:
            self.store.sync()

    def _append(self, write: Write) -> None:
        if write.has_vote:
            self.store.append(VOTE, _encode(_Vote(write.term, write.voted_for)))
        if write.truncate_from is not None:
            self.store.append(CUT, _encode(write.truncate_from))
        if write.snapshot is not None:
            return
        for one in write.entries:
            self.store.append(ENTRY, _encode(one))
        self.stored_state.apply_write(write)


def open_disk(files: Files) -> Disk | StoreProblem:
    """A folder as the protocol needs it; damage is told, never mended by guessing."""
    store = Store.open(files)
    if isinstance(store, StoreProblem):
        return store
    read = rebuild_state(store.snapshot, store.recovered_records)
    store.recovered_records = []
    if isinstance(read, StoreProblem):
        store.close()
        return read
    return Disk(store, *read)


def rebuild_state(
    snapshot: bytes | None, records: Iterable[tuple[int, bytes]]
) -> tuple[StoredState, FolderIdentity | None] | StoreProblem:
    """What a snapshot and the records after it come to."""
    stored_state, cluster, place = StoredState(), None, 0
    try:
        if snapshot is not None:
            cluster, stored_state.snapshot = _snapshot.decode(snapshot)
        for place, (kind, data) in enumerate(records):
            if kind == VOTE:
                vote = _vote.decode(data)
                stored_state.set_vote(vote.term, vote.voted_for)
            elif kind == CUT:
                stored_state.truncate(msgspec.msgpack.decode(data, type=int))
            elif kind == ENTRY:
                stored_state.append(_entry.decode(data))
            elif kind == BEGIN:
                cluster = _cluster.decode(data)
            else:
                return StoreProblem("log", place, f"record {place} is of the unknown kind {kind}")
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        return StoreProblem("log", place, f"record {place}: {error}")
    if cluster is not None:
        stored_state.configuration = cluster.configuration
    return stored_state, cluster


class Committer:
    """Carries out writes on a thread of its own: what comes while a sync is under way goes with the next one."""

    def __init__(
        self, disk: Disk, done: Callable[[int], None], failed: Callable[[Exception], None]
    ) -> None:
        self.disk, self._done, self._failed = disk, done, failed
        self._waiting: list[Write] = []
        self._busy = self._closed = False
        self._due: SimpleQueue[list[Write] | None] = SimpleQueue()
        self._loop = asyncio.get_running_loop()
        self._thread = Thread(target=self._run, name="store", daemon=True)
        self._thread.start()
        self.batches = self.writes = 0

    def submit(self, writes: list[Write]) -> None:
        self._waiting += writes
        self._start()

    def _start(self) -> None:
        if self._busy or self._closed or not self._waiting:
            return
        batch, self._waiting, self._busy = self._waiting, [], True
        self.batches, self.writes = self.batches + 1, self.writes + len(batch)
        self._due.put(batch)

    def _run(self) -> None:
        """The thread: one batch after the other; the loop hears of each at once."""
        while (batch := self._due.get()) is not None:
            error = None
            try:
                self.disk.apply_writes(batch)
            except Exception as found:
                error = found
            try:
                self._loop.call_soon_threadsafe(self._ended, error, batch[-1].number)
            except RuntimeError:  # the loop is closed: nobody waits any more
                return

    def _ended(self, error: Exception | None, number: int) -> None:
        self._busy = False
        if self._closed:
            return
        if error is not None:
            self._closed = True
            self._failed(error)
            return
        self._done(number)
        self._start()

    def close(self) -> None:
        """Lets what is under way end, then gives the folder back."""
        self._closed = True
        self._due.put(None)
        self._thread.join()
        self.disk.store.close()
