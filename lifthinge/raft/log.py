"""The in-memory log of a member: a snapshot and the entries after it.

>>> log = Log()
>>> log.append([Entry(1, 1, EntryKind.NO_OP), Entry(2, 1, EntryKind.COMMAND, b"a")])
>>> log.append([Entry(3, 2, EntryKind.NO_OP)])
>>> log.last_index, log.last_term, log.term_at(2), log.term_at(4), log.first_index_of_term(3)
(3, 2, 1, None, 3)
>>> log.last_index_of_term(1), [entry.index for entry in log.entries_between(2, 3, 1000)]
(2, [2, 3])
>>> log.bytes_from(2)
65
>>> log.truncate(3); log.last_index
2
>>> log.compact(Snapshot(2, 1), max_retained_entries=1)
>>> log.term_at(1), log.term_at(0), log.last_index, len(log.entries)
(1, None, 2, 1)
>>> log.compact(Snapshot(9, 4), max_retained_entries=1)
>>> log.last_index, log.last_term, log.entries, log.base
(9, 4, [], (9, 4))
"""

from collections.abc import Iterable

from lifthinge.raft.messages import Configuration, Entry, EntryKind, Snapshot, decode_configuration

ENTRY_OVERHEAD_BYTES = 32  # counted for each entry in addition to its data
UNLIMITED_BYTES = 1 << 62
_EMPTY_SNAPSHOT = Snapshot()


class Log:
    """The log of one member.

    Entries follow `base` (the index and term of the entry before the first one held) without gaps,
    and their terms never decrease. The base is the snapshot's last entry or an earlier one, so that
    a slightly lagging follower needs no snapshot.
    """

    def __init__(self, snapshot: Snapshot = _EMPTY_SNAPSHOT, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.base = (snapshot.index, snapshot.term)
        self.entries: list[Entry] = []
        self.size_bytes = 0  # of all entries held, with their overhead
        # Configurations and the indexes of their entries, oldest first. The older ones are needed
        # because a truncation restores the configuration before it (4.1).
        self.configurations: list[tuple[int, Configuration]] = [
            (snapshot.index, snapshot.configuration)
        ]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the base if no entry is held."""
        return self.base[0] + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the base if no entry is held."""
        return self.entries[-1].term if self.entries else self.base[1]

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, which is in force, committed or not (4.1)."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the entry or snapshot that holds the latest configuration."""
        return self.configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration as of the entry at `index`."""
        return next(
            configuration
            for start_index, configuration in reversed(self.configurations)
            if start_index <= index
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is neither held nor the base."""
        if index == self.base[0]:
            return self.base[1]
        position = index - self.base[0] - 1
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index held, base included, of the term that the entry at `index` has.

        Binary search, since terms never decrease.
        """
        term = self.term_at(index)
        low_index = self.base[0]
        high_index = index
        while low_index < high_index:
            middle_index = (low_index + high_index) // 2
            if self.term_at(middle_index) == term:
                high_index = middle_index
            else:
                low_index = middle_index + 1
        return low_index

    def last_index_of_term(self, term: int) -> int | None:
        """Return the last index held, base included, of this term, or None if there is none."""
        low_index = self.base[0]
        high_index = self.last_index
        while low_index < high_index:
            middle_index = (low_index + high_index + 1) // 2
            if self.term_at(middle_index) <= term:
                low_index = middle_index
            else:
                high_index = middle_index - 1
        return low_index if self.term_at(low_index) == term else None

    def entries_between(self, first_index: int, last_index: int, max_bytes: int) -> list[Entry]:
        """Return the entries from `first_index` to `last_index`, as many as fit into `max_bytes`.

        The first entry is returned even if it is larger than that.
        """
        start_position = first_index - self.base[0] - 1
        assert start_position >= 0, f"entry {first_index} is compacted"
        selected = []
        size_bytes = 0
        for entry in self.entries[start_position : last_index - self.base[0]]:
            size_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if selected and size_bytes > max_bytes:
                break
            selected.append(entry)
        return selected

    def bytes_from(self, first_index: int) -> int:
        """Return the size in bytes of the entries from `first_index` on, with their overhead."""
        return sum(
            len(entry.data) + ENTRY_OVERHEAD_BYTES
            for entry in self.entries[max(first_index - self.base[0] - 1, 0) :]
        )

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries, of which the first must follow the last one held."""
        for entry in entries:
            assert entry.index == self.last_index + 1, (
                f"entry {entry.index} does not follow {self.last_index}"
            )
            self.entries.append(entry)
            self.size_bytes += len(entry.data) + ENTRY_OVERHEAD_BYTES
            self._record_configuration(entry)

    def truncate(self, first_index: int) -> None:
        """Delete the entries from `first_index` on, with the configurations in them."""
        assert first_index > self.snapshot.index, f"entry {first_index} is in the snapshot"
        self.size_bytes -= self.bytes_from(first_index)
        del self.entries[first_index - self.base[0] - 1 :]
        while self.configurations[-1][0] >= first_index:
            self.configurations.pop()

    def compact(
        self,
        snapshot: Snapshot,
        max_retained_entries: int = 0,
        max_retained_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        """Replace the entries up to the snapshot's last one by the snapshot.

        Up to `max_retained_entries` of them stay available, until their size exceeds
        `max_retained_bytes`. If the log does not hold the snapshot's last entry, the whole log is
        discarded, as it conflicts with the snapshot (5.3).
        """
        if self.term_at(snapshot.index) == snapshot.term:
            base_index = snapshot.index
            remaining_bytes = max_retained_bytes
            while (
                base_index > max(snapshot.index - max_retained_entries, self.base[0])
                and remaining_bytes >= 0
            ):
                remaining_bytes -= (
                    len(self.entries[base_index - self.base[0] - 1].data) + ENTRY_OVERHEAD_BYTES
                )
                base_index -= 1
            base = base_index, self.term_at(base_index)
            self.size_bytes = self.bytes_from(base_index + 1)
            del self.entries[: base_index - self.base[0]]
        else:
            base = (snapshot.index, snapshot.term)
            self.entries = []
            self.size_bytes = 0
        self.snapshot = snapshot
        self.base = base
        later_configurations = (
            [one for one in self.configurations if one[0] > snapshot.index] if self.entries else []
        )
        self.configurations = [(snapshot.index, snapshot.configuration), *later_configurations]

    def _record_configuration(self, entry: Entry) -> None:
        """Put a configuration entry in force."""
        if entry.kind is EntryKind.CONFIGURATION:
            self.configurations.append((entry.index, decode_configuration(entry.data)))
