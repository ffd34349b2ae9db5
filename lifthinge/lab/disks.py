"""Disks that are slow, or full, for drills."""

import errno
import time

from lifthinge.store.files import Files


def hindered(delay_ms: float, most: int) -> type[Files]:
    """A kind of folder whose syncs take longer, and which is full after so many bytes (0: never)."""

    class Hindered(Files):
        taken = 0

        def write(self, file: int, data: bytes) -> None:
            self.taken += len(data)
            if most and self.taken > most:
                super().write(file, data[: len(data) // 2])
                raise OSError(errno.ENOSPC, "No space left on device")
            super().write(file, data)

        def sync(self, file: int) -> None:
            time.sleep(delay_ms / 1000.0)
            super().sync(file)

    return Hindered
