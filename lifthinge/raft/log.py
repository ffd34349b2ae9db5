"""The log as a member holds it: a snapshot, and the entries after it.

>>> log = Log()
>>> log.append([Entry(1, 1, EntryKind.NO_OP), Entry(2, 1, EntryKind.COMMAND, b"a"), Entry(3, 2, EntryKind.NO_OP)])
>>> log.last_index, log.last_term, log.term_at(2), log.term_at(4), log.first_index_of_term(3)
(3, 2, 1, None, 3)
>>> log.last_index_of_term(1), [one.index for one in log.entries_between(2, 3, 1000)], log.bytes_from(2)
(2, [2, 3], 65)
>>> log.truncate(3); log.last_index
2
>>> log.compact(Snapshot(2, 1), keep=1); log.term_at(1), log.term_at(0), log.last_index, len(log.entries)
(1, None, 2, 1)
>>> log.compact(Snapshot(9, 4), keep=1); log.last_index, log.last_term, log.entries, log.base
(9, 4, [], (9, 4))
"""

from collections.abc import Iterable

from lifthinge.raft.messages import Configuration, Entry, EntryKind, Snapshot, decode_configuration

ENTRY_OVERHEAD_BYTES = 32  # bytes that an entry counts beside its data


class Log:
    """Entries are contiguous from `base` (an index and its term) on; terms never fall.

    The base lies at the snapshot's last entry or before it: who lags a little needs no snapshot.
    """

    def __init__(self, snapshot: Snapshot = Snapshot(), entries: Iterable[Entry] = ()) -> None:
        self.snapshot, self.base = snapshot, (snapshot.index, snapshot.term)
        self.entries: list[Entry] = []
        self.size_bytes = 0  # that the entries held count
        # Where the roster changed, oldest first: a cut takes the latest back.
        self.configurations: list[tuple[int, Configuration]] = [
            (snapshot.index, snapshot.configuration)
        ]
        self.append(entries)

    @property
    def last_index(self) -> int:
        return self.base[0] + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base[1]

    @property
    def configuration(self) -> Configuration:
        """The latest, committed or not."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        return self.configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Who the members were once this entry was applied."""
        return next(
            configuration for at, configuration in reversed(self.configurations) if at <= index
        )

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None if it is not held, neither itself nor as the base."""
        if index == self.base[0]:
            return self.base[1]
        place = index - self.base[0] - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    def first_index_of_term(self, index: int) -> int:
        """The first entry held of the term that this entry is of; found by halving, as terms never fall."""
        term, low, high = self.term_at(index), self.base[0], index
        while low < high:
            middle = (low + high) // 2
            if self.term_at(middle) == term:
                high = middle
            else:
                low = middle + 1
        return low

    def last_index_of_term(self, term: int) -> int | None:
        """The last entry held of this term, None if there is none."""
        low, high = self.base[0], self.last_index
        while low < high:
            middle = (low + high + 1) // 2
            if self.term_at(middle) <= term:
                low = middle
            else:
                high = middle - 1
        return low if self.term_at(low) == term else None

    def entries_between(self, first: int, last: int, most_bytes: int) -> list[Entry]:
        """Entries from `first` to `last` of so many bytes together at most, yet one at least."""
        start = first - self.base[0] - 1
        assert start >= 0, "compacted away"
        taken, size = [], 0
        for one in self.entries[start : last - self.base[0]]:
            size += len(one.data) + ENTRY_OVERHEAD_BYTES
            if taken and size > most_bytes:
                break
            taken.append(one)
        return taken

    def bytes_from(self, first: int) -> int:
        """How many bytes the entries from here on count."""
        return sum(
            len(one.data) + ENTRY_OVERHEAD_BYTES
            for one in self.entries[max(first - self.base[0] - 1, 0) :]
        )

    def append(self, entries: Iterable[Entry]) -> None:
        for one in entries:
            assert one.index == self.last_index + 1, "a gap in the log"
            self.entries.append(one)
            self.size_bytes += len(one.data) + ENTRY_OVERHEAD_BYTES
            self._note_roster(one)

    def truncate(self, first: int) -> None:
        """Takes out all entries from `first` on, and the rosters that they brought."""
        assert first > self.snapshot.index, "cuts into the snapshot"
        self.size_bytes -= self.bytes_from(first)
        del self.entries[first - self.base[0] - 1 :]
        while self.configurations[-1][0] >= first:
            self.configurations.pop()

    def compact(self, snapshot: Snapshot, keep: int = 0, keep_bytes: int = 1 << 62) -> None:
        """Lets a snapshot stand for all up to its last entry; `keep` entries before that, or less, stay at hand.

        What follows stays if it follows on: else the snapshot is of another history than ours.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            first = snapshot.index
            while first > max(snapshot.index - keep, self.base[0]) and keep_bytes >= 0:
                keep_bytes -= (
                    len(self.entries[first - self.base[0] - 1].data) + ENTRY_OVERHEAD_BYTES
                )
                first -= 1
            base = first, self.term_at(first)
            self.size_bytes = self.bytes_from(first + 1)
            del self.entries[: first - self.base[0]]
        else:
            base, self.entries, self.size_bytes = (snapshot.index, snapshot.term), [], 0
        self.snapshot, self.base = snapshot, base
        later = (
            [one for one in self.configurations if one[0] > snapshot.index] if self.entries else []
        )
        self.configurations = [(snapshot.index, snapshot.configuration), *later]

    def _note_roster(self, entry: Entry) -> None:
        if entry.kind is EntryKind.CONFIGURATION:
            self.configurations.append((entry.index, decode_configuration(entry.data)))
