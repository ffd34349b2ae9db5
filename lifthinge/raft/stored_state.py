"""What a member's disk holds, from the writes or the records that went there in their order.

>>> from lifthinge.raft.messages import EntryKind
>>> stored_state = StoredState()
>>> stored_state.apply_write(Write(1, 2, "b", has_vote=True, entries=[Entry(1, 1, EntryKind.NO_OP), Entry(2, 1, EntryKind.COMMAND, b"x")]))
>>> stored_state.apply_write(Write(2, 3, None, has_vote=True, truncate_from=2, entries=[Entry(2, 3, EntryKind.NO_OP)]))
>>> saved = stored_state.persistent_state(); saved.term, saved.voted_for, [(one.index, one.term) for one in saved.entries]
(3, None, [(1, 1), (2, 3)])
>>> stored_state.apply_write(Write(3, 3, None, snapshot=Snapshot(1, 1))); [one.index for one in stored_state.persistent_state().entries]
[2]
>>> stored_state.append(Entry(2, 3, EntryKind.NO_OP)); stored_state.append(Entry(9, 3, EntryKind.NO_OP))
Traceback (most recent call last):
    ...
ValueError: entry 9 follows 2
"""

from lifthinge.raft.messages import Configuration, Entry, Snapshot
from lifthinge.raft.node import PersistentState, Write


class StoredState:
    """Term, vote, snapshot and the entries after it; an order that makes no sense is a `ValueError`."""

    def __init__(self) -> None:
        self.term, self.voted_for = 0, None
        self.snapshot, self.entries = Snapshot(), []
        self.configuration = Configuration()  # of a new cluster

    def set_vote(self, term: int, voted: str | None) -> None:
        if term < self.term:
            raise ValueError(f"term {term} follows {self.term}")
        self.term, self.voted_for = term, voted

    def truncate(self, first: int) -> None:
        """Entries from here on are void."""
        self.entries = [one for one in self.entries if one.index < first]

    def append(self, entry: Entry) -> None:
        """One that is held already changes nothing: a snapshot's segment begins with those that it keeps."""
        last = self.entries[-1].index if self.entries else self.snapshot.index
        if entry.index <= self.snapshot.index:
            return
        if entry.index > last + 1:
            raise ValueError(f"entry {entry.index} follows {last}")
        if entry.index <= last:
            held = self.entries[entry.index - self.entries[0].index]
            if held.term == entry.term:
                return
            self.truncate(entry.index)
        self.entries.append(entry)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries = [one for one in self.entries if one.index > snapshot.index]

    def apply_write(self, write: Write) -> None:
        """One write of the protocol, in the order that it asks for."""
        if write.has_vote:
            self.set_vote(write.term, write.voted_for)
        if write.truncate_from is not None:
            self.truncate(write.truncate_from)
        if write.snapshot is None:
            for one in write.entries:
                self.append(one)
            return
        for one in write.entries:
            if one.index <= write.snapshot.index and self.follows(one.index):
                self.append(one)
        self.install_snapshot(write.snapshot)
        for one in write.entries:
            self.append(one)

    def follows(self, index: int) -> bool:
        """Whether an entry of this index could be held next, or is held."""
        last = self.entries[-1].index if self.entries else self.snapshot.index
        return index <= last + 1

    def persistent_state(self) -> PersistentState:
        return PersistentState(
            self.term, self.voted_for, self.snapshot, tuple(self.entries), self.configuration
        )
