"""What the store does to a folder: the one place that touches it, so that tests can make it fail.

A file's bytes are durable after `sync`, its name after `sync_folder`.
"""

import fcntl
import os
from pathlib import Path


class Files:
    """A folder of files; errors are those of the system (`OSError`)."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = -1

    def lock(self) -> bool:
        """Takes the folder for this process alone; False if another has it."""
        self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self._lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.unlock()
            return False
        return True

    def unlock(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(one.name for one in self.folder.iterdir()) if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def open(self, name: str) -> int:
        """A file to append to, made if it is not there."""
        return os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, file: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(file, view) :]

    def sync(self, file: int) -> None:
        os.fdatasync(file)

    def close(self, file: int) -> None:
        os.close(file)

    def truncate(self, name: str, size: int) -> None:
        os.truncate(self.folder / name, size)
        file = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
