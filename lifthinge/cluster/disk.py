"""A member's disk.

The writes of the Raft node become records of the store. Many writes share one sync, which runs on a
thread outside the event loop.

>>> import tempfile
>>> from pathlib import Path
>>> from lifthinge.raft.messages import Entry, EntryKind
>>> files = Files(Path(tempfile.mkdtemp()))
>>> disk = open_disk(files)
>>> entry = Entry(1, 3, EntryKind.COMMAND, b"x")
>>> disk.apply_writes([Write(1, 3, "b", has_vote=True, entries=[entry])]); disk.store.close()
>>> disk = open_disk(files); persistent = disk.stored_state.persistent_state()
>>> persistent.voted_for, persistent.entries
('b', (Entry(index=1, term=3, kind=<EntryKind.COMMAND: 1>, data=b'x'),))
>>> disk.apply_writes([Write(1, 3, "b", snapshot=Snapshot(1, 3, data=b"s"))]); disk.store.close()
>>> disk = open_disk(files); stored = disk.stored_state
>>> stored.snapshot.data, stored.entries, stored.term
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

# Kinds of records in the log file.
VOTE_RECORD = 1
TRUNCATE_RECORD = 2
ENTRY_RECORD = 3
IDENTITY_RECORD = 4


class _Vote(msgspec.Struct, array_like=True):
    """The content of a vote record."""

    term: int
    voted_for: str | None


class FolderIdentity(msgspec.Struct, array_like=True):
    """The cluster and member to which a folder belongs, and the initial configuration.

    It is written when the folder is created, so that the folder is never used by another member.
    """

    cluster: str
    member: str
    configuration: Configuration


_vote_decoder = msgspec.msgpack.Decoder(_Vote)
_entry_decoder = msgspec.msgpack.Decoder(Entry)
_snapshot_decoder = msgspec.msgpack.Decoder(tuple[FolderIdentity | None, Snapshot])
_identity_decoder = msgspec.msgpack.Decoder(FolderIdentity)
_encode = msgspec.msgpack.Encoder().encode


class Disk:
    """A member's store and its content in memory; used by one thread at a time."""

    def __init__(
        self, store: Store, stored_state: StoredState, identity: FolderIdentity | None
    ) -> None:
        self.store = store
        self.stored_state = stored_state
        self.identity = identity

    def initialize(self, identity: FolderIdentity) -> None:
        """Write the identity into a new folder."""
        self.identity = identity
        self.stored_state.configuration = identity.configuration
        self.store.append(IDENTITY_RECORD, _encode(identity))
        self.store.sync()

    def apply_writes(self, writes: Iterable[Write]) -> None:
        """Make writes durable, in order; after an `OSError` the disk must not be used any more."""
        needs_sync = False
        for write in writes:
            if write.snapshot is None:
                self._append_records(write)
            else:
                if write.has_vote or write.entries or write.truncate_from is not None:
                    # Records that the snapshot supersedes are written first, and dropped with it.
                    self._append_records(write)
                self.stored_state.apply_write(write)
                records = [
                    (
                        VOTE_RECORD,
                        _encode(_Vote(self.stored_state.term, self.stored_state.voted_for)),
                    )
                ]
                records += [(ENTRY_RECORD, _encode(entry)) for entry in self.stored_state.entries]
                self.store.save_snapshot(_encode((self.identity, write.snapshot)), records)
            needs_sync = needs_sync or write.snapshot is None
        if needs_sync:
            self.store.sync()

    def _append_records(self, write: Write) -> None:
        """Append the records of a write, without its entries if it has a snapshot; no sync."""
        if write.has_vote:
            self.store.append(VOTE_RECORD, _encode(_Vote(write.term, write.voted_for)))
        if write.truncate_from is not None:
            self.store.append(TRUNCATE_RECORD, _encode(write.truncate_from))
        if write.snapshot is not None:
            return
        for entry in write.entries:
            self.store.append(ENTRY_RECORD, _encode(entry))
        self.stored_state.apply_write(write)


def open_disk(files: Files) -> Disk | StoreProblem:
    """Open a folder and rebuild its state; damage is reported, never repaired by guessing."""
    store = Store.open(files)
    if isinstance(store, StoreProblem):
        return store
    rebuilt = rebuild_state(store.snapshot, store.recovered_records)
    store.recovered_records = []
    if isinstance(rebuilt, StoreProblem):
        store.close()
        return rebuilt
    return Disk(store, *rebuilt)


def rebuild_state(
    snapshot: bytes | None, records: Iterable[tuple[int, bytes]]
) -> tuple[StoredState, FolderIdentity | None] | StoreProblem:
    """Rebuild the stored state and the identity from a snapshot and the records after it."""
    stored_state, identity, position = StoredState(), None, 0
    try:
        if snapshot is not None:
            identity, stored_state.snapshot = _snapshot_decoder.decode(snapshot)
        for position, (kind, data) in enumerate(records):
            if kind == VOTE_RECORD:
                vote = _vote_decoder.decode(data)
                stored_state.set_vote(vote.term, vote.voted_for)
            elif kind == TRUNCATE_RECORD:
                stored_state.truncate(msgspec.msgpack.decode(data, type=int))
            elif kind == ENTRY_RECORD:
                stored_state.append(_entry_decoder.decode(data))
            elif kind == IDENTITY_RECORD:
                identity = _identity_decoder.decode(data)
            else:
                return StoreProblem(
                    "log", position, f"record {position} is of the unknown kind {kind}"
                )
    except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
        return StoreProblem("log", position, f"record {position}: {error}")
    if identity is not None:
        stored_state.configuration = identity.configuration
    return stored_state, identity


class Committer:
    """Make writes durable on a thread of its own; writes submitted during a sync share the next.

    On the event loop, `on_durable` is called with the number of the last write of each batch, and
    `on_error` once if a batch fails; nothing is written after that.
    """

    def __init__(
        self, disk: Disk, on_durable: Callable[[int], None], on_error: Callable[[Exception], None]
    ) -> None:
        self.disk = disk
        self._on_durable = on_durable
        self._on_error = on_error
        self._waiting_writes: list[Write] = []
        self._is_writing = False
        self._is_closed = False
        self._batches: SimpleQueue[list[Write] | None] = SimpleQueue()
        self._loop = asyncio.get_running_loop()
        self._thread = Thread(target=self._write_batches, name="store", daemon=True)
        self._thread.start()
        self.batches = 0  # started so far
        self.writes = 0  # in these batches

    def submit(self, writes: list[Write]) -> None:
        """Make these writes durable, after those submitted before."""
        self._waiting_writes += writes
        self._start_batch()

    def _start_batch(self) -> None:
        """Pass all waiting writes to the thread, unless it is still writing."""
        if self._is_writing or self._is_closed or not self._waiting_writes:
            return
        batch, self._waiting_writes = self._waiting_writes, []
        self._is_writing = True
        self.batches += 1
        self.writes += len(batch)
        self._batches.put(batch)

    def _write_batches(self) -> None:
        """Write batch after batch, on the thread, and report each to the event loop."""
        while (batch := self._batches.get()) is not None:
            error = None
            try:
                self.disk.apply_writes(batch)
            except Exception as exception:
                error = exception
            try:
                self._loop.call_soon_threadsafe(self._on_batch_end, error, batch[-1].number)
            except RuntimeError:  # the event loop is closed: nothing waits for the result
                return

    def _on_batch_end(self, error: Exception | None, number: int) -> None:
        """Report a batch, on the event loop, and start the next one."""
        self._is_writing = False
        if self._is_closed:
            return
        if error is not None:
            self._is_closed = True
            self._on_error(error)
            return
        self._on_durable(number)
        self._start_batch()

    def close(self) -> None:
        """Wait for the batch being written, then close the store; blocks."""
        self._is_closed = True
        self._batches.put(None)
        self._thread.join()
        self.disk.store.close()
