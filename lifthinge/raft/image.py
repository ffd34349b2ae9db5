"""What a member's disk holds, from the writes or the records that went there in their order.

>>> from lifthinge.raft.messages import Kind
>>> image = Image()
>>> image.take(Write(1, 2, "b", voting=True, entries=[Entry(1, 1, Kind.EMPTY), Entry(2, 1, Kind.COMMAND, b"x")]))
>>> image.take(Write(2, 3, None, voting=True, truncate_from=2, entries=[Entry(2, 3, Kind.EMPTY)]))
>>> saved = image.saved(); saved.term, saved.voted, [(one.index, one.term) for one in saved.entries]
(3, None, [(1, 1), (2, 3)])
>>> image.take(Write(3, 3, None, snapshot=Snapshot(1, 1))); [one.index for one in image.saved().entries]
[2]
>>> image.entry(Entry(2, 3, Kind.EMPTY)); image.entry(Entry(9, 3, Kind.EMPTY))
Traceback (most recent call last):
    ...
ValueError: entry 9 follows 2
"""

from lifthinge.raft.messages import Entry, Roster, Snapshot
from lifthinge.raft.node import Saved, Write


class Image:
    """Term, vote, snapshot and the entries after it; an order that makes no sense is a `ValueError`."""

    def __init__(self) -> None:
        self.term, self.voted = 0, None
        self.snapshot, self.entries = Snapshot(), []
        self.roster = Roster()  # of a new cluster

    def vote(self, term: int, voted: str | None) -> None:
        if term < self.term:
            raise ValueError(f"term {term} follows {self.term}")
        self.term, self.voted = term, voted

    def cut(self, first: int) -> None:
        """Entries from here on are void."""
        self.entries = [one for one in self.entries if one.index < first]

    def entry(self, entry: Entry) -> None:
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
            self.cut(entry.index)
        self.entries.append(entry)

    def begin_from(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.entries = [one for one in self.entries if one.index > snapshot.index]

    def take(self, write: Write) -> None:
        """One write of the protocol, in the order that it asks for."""
        if write.voting:
            self.vote(write.term, write.voted)
        if write.truncate_from is not None:
            self.cut(write.truncate_from)
        if write.snapshot is None:
            for one in write.entries:
                self.entry(one)
            return
        for one in write.entries:
            if one.index <= write.snapshot.index and self.follows(one.index):
                self.entry(one)
        self.begin_from(write.snapshot)
        for one in write.entries:
            self.entry(one)

    def follows(self, index: int) -> bool:
        """Whether an entry of this index could be held next, or is held."""
        last = self.entries[-1].index if self.entries else self.snapshot.index
        return index <= last + 1

    def saved(self) -> Saved:
        return Saved(self.term, self.voted, self.snapshot, tuple(self.entries), self.roster)
