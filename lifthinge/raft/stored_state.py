"""The state on a member's disk, rebuilt by applying its writes or records in order.

>>> from lifthinge.raft.messages import EntryKind
>>> stored_state = StoredState()
>>> entries = [Entry(1, 1, EntryKind.NO_OP), Entry(2, 1, EntryKind.COMMAND, b"x")]
>>> stored_state.apply_write(Write(1, 2, "b", has_vote=True, entries=entries))
>>> entries = [Entry(2, 3, EntryKind.NO_OP)]
>>> stored_state.apply_write(Write(2, 3, None, has_vote=True, truncate_from=2, entries=entries))
>>> saved = stored_state.persistent_state()
>>> saved.term, saved.voted_for, [(entry.index, entry.term) for entry in saved.entries]
(3, None, [(1, 1), (2, 3)])
>>> stored_state.apply_write(Write(3, 3, None, snapshot=Snapshot(1, 1)))
>>> [entry.index for entry in stored_state.persistent_state().entries]
[2]
>>> stored_state.append(Entry(2, 3, EntryKind.NO_OP))
>>> stored_state.append(Entry(9, 3, EntryKind.NO_OP))
Traceback (most recent call last):
    ...
ValueError: entry 9 follows 2
"""

from lifthinge.raft.messages import Configuration, Entry, Snapshot
from lifthinge.raft.node import PersistentState, Write


class StoredState:
    """The stored term, vote, snapshot and entries after the snapshot.

    A decreasing term or a gap in the entries raises `ValueError`.
    """

    def __init__(self) -> None:
        self.term = 0
        self.voted_for: str | None = None
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.configuration = Configuration()  # the initial one, in force without a snapshot

    def set_vote(self, term: int, voted_for: str | None) -> None:
        """Store the current term and the vote in it."""
        if term < self.term:
            raise ValueError(f"term {term} follows {self.term}")
        self.term = term
        self.voted_for = voted_for

    def truncate(self, first_index: int) -> None:
        """Delete the entries from `first_index` on."""
        self.entries = [entry for entry in self.entries if entry.index < first_index]

    def append(self, entry: Entry) -> None:
        """Append an entry, replacing a conflicting one and all after it.

        An entry that is stored already changes nothing: the first segment after a snapshot begins
        with the entries that the snapshot retains.
        """
        last_index = self.entries[-1].index if self.entries else self.snapshot.index
        if entry.index <= self.snapshot.index:
            return
        if entry.index > last_index + 1:
            raise ValueError(f"entry {entry.index} follows {last_index}")
        if entry.index <= last_index:
            stored_entry = self.entries[entry.index - self.entries[0].index]
            if stored_entry.term == entry.term:
                return
            self.truncate(entry.index)
        self.entries.append(entry)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot and delete the entries that it covers."""
        self.snapshot = snapshot
        self.entries = [entry for entry in self.entries if entry.index > snapshot.index]

    def apply_write(self, write: Write) -> None:
        """Apply one write of the protocol, in the order that `Write` documents."""
        if write.has_vote:
            self.set_vote(write.term, write.voted_for)
        if write.truncate_from is not None:
            self.truncate(write.truncate_from)
        if write.snapshot is None:
            for entry in write.entries:
                self.append(entry)
            return
        # Entries that the snapshot covers can be stored only if they follow the stored ones.
        for entry in write.entries:
            if entry.index <= write.snapshot.index and self._is_contiguous(entry.index):
                self.append(entry)
        self.install_snapshot(write.snapshot)
        for entry in write.entries:
            self.append(entry)

    def _is_contiguous(self, index: int) -> bool:
        """Whether an entry at `index` is stored already or would be the next one."""
        last_index = self.entries[-1].index if self.entries else self.snapshot.index
        return index <= last_index + 1

    def persistent_state(self) -> PersistentState:
        """Return the stored state as a member needs it to start."""
        return PersistentState(
            self.term, self.voted_for, self.snapshot, tuple(self.entries), self.configuration
        )
