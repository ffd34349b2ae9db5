"""File operations of the store.

Only this code touches the store's folder, so that tests can inject faults.

The bytes of a file are durable after `sync`, its name after `sync_folder`.
"""

import fcntl
import os
from pathlib import Path


class Files:
    """A folder of files; failed operations raise `OSError`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock_descriptor = -1

    def lock(self) -> bool:
        """Create the folder if needed and lock it; return False if another process holds it."""
        self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._lock_descriptor = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.unlock()
            return False
        return True

    def unlock(self) -> None:
        """Release the folder's lock, if it is held."""
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def names(self) -> list[str]:
        """Return the sorted names in the folder; an absent folder has none."""
        return sorted(path.name for path in self.folder.iterdir()) if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self.folder / name).read_bytes()

    def open(self, name: str) -> int:
        """Open a file for appending, creating it if needed, and return its descriptor."""
        return os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, file: int, data: bytes) -> None:
        """Append all of the data, also where the system takes it in parts."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(file, remaining) :]

    def sync(self, file: int) -> None:
        """Make the bytes of an open file durable."""
        os.fdatasync(file)

    def close(self, file: int) -> None:
        """Close a descriptor that `open` returned."""
        os.close(file)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes and make that durable."""
        os.truncate(self.folder / name, size)
        file = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file; an absent one is no error."""
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Make all names created, changed or removed in the folder durable."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
