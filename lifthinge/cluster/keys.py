"""Keys that authenticate members and clients.

A key file holds one or two keys; the first signs, both are accepted. To change a key without
interruption, add the new one second everywhere, then move it first everywhere, then remove the old
one. The file is read again whenever it has changed. A file that other users can read is refused.

>>> import os, tempfile
>>> folder = tempfile.mkdtemp(); path = os.path.join(folder, "keys")
>>> with open(path, "w", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
...     _ = file.write("# since May\\nnew " + "ab" * 32 + "\\nold " + "cd" * 32 + "\\n")
>>> keys = read_keys(path); keys.signing, sorted(keys.by_id)
('new', ['new', 'old'])
>>> watched = KeyFile(path, keys)
>>> with open(path, "w") as file: _ = file.write("next " + "ef" * 32 + "\\n")
>>> watched.now().signing                              # read again, as it has changed
'next'
>>> os.chmod(path, 0o644); watched.now().signing, watched.problem.why  # the last keys stay
('next', 'others can read it: chmod 600')
>>> os.chmod(path, 0o644); read_keys(path).why.endswith("chmod 600")
True
>>> os.chmod(path, 0o600); _ = open(path, "a").write("x 12\\n"); read_keys(path).why
'line 2: a key is 64 hexadecimal digits'
"""

import os
import stat
from dataclasses import dataclass

KEY_BYTES = 32
MAX_KEYS = 2  # the current one, and the previous or next one while it is changed
MAX_FILE_BYTES = 4096  # the rest of a longer file is ignored


@dataclass(frozen=True, slots=True)
class KeyFileProblem:
    """Why a key file can't be used."""

    path: str
    why: str


@dataclass(frozen=True)
class Keys:
    """The keys of one role by name; `signing` is the name of the one that signs."""

    signing: str
    by_id: dict[str, bytes]


def read_keys(path: str) -> Keys | KeyFileProblem:
    """Read a key file: lines of a name and 64 hexadecimal digits; # starts a comment."""
    try:
        with open(path, encoding="ascii") as file:
            status = os.fstat(file.fileno())
            if status.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
                return KeyFileProblem(path, "others can read it: chmod 600")
            lines = file.read(MAX_FILE_BYTES).splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return KeyFileProblem(path, getattr(error, "strerror", None) or "not ASCII text")
    by_id: dict[str, bytes] = {}
    for number, line in enumerate(lines, 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            key_id, key = words[0], bytes.fromhex(words[1])
        except (IndexError, ValueError):
            return KeyFileProblem(path, f"line {number}: not a name and a key")
        if len(key) != KEY_BYTES or len(words) != 2:
            return KeyFileProblem(
                path, f"line {number}: a key is {2 * KEY_BYTES} hexadecimal digits"
            )
        if key_id in by_id or len(by_id) == MAX_KEYS:
            return KeyFileProblem(
                path, f"line {number}: more than {MAX_KEYS} keys, or one name twice"
            )
        by_id[key_id] = key
    if not by_id:
        return KeyFileProblem(path, "contains no key")
    return Keys(next(iter(by_id)), by_id)


class KeyFile:
    """A key file that is read again when it has changed.

    If it has become unusable, the last keys stay in force and `problem` says why.
    """

    def __init__(self, path: str, keys: Keys) -> None:
        self.path = path
        self.keys = keys
        self.problem: KeyFileProblem | None = None
        self._last_stamp = self._file_stamp()

    def _file_stamp(self) -> tuple[int, int, int] | None:
        """Return time of change, size and mode of the file; None if it cannot be examined."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_mode

    def now(self) -> Keys:
        """Return the current keys; read the file first if it has changed."""
        stamp = self._file_stamp()
        if stamp != self._last_stamp:
            self._last_stamp = stamp
            result = read_keys(self.path)
            self.problem = result if isinstance(result, KeyFileProblem) else None
            self.keys = self.keys if self.problem else result
        return self.keys
