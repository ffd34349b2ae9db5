"""Keys by which members know one another: a file with one or two of them, the first of which signs.

To change a key without a gap: put the new one second everywhere, then first everywhere, then take the old one out.
The file is read again whenever it has changed; one that others can read is refused.

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
>>> os.chmod(path, 0o644); watched.now().signing, watched.problem.why     # unusable: the last keys stay in force
('next', 'others can read it: chmod 600')
>>> os.chmod(path, 0o644); read_keys(path).why.endswith("chmod 600")
True
>>> os.chmod(path, 0o600); _ = open(path, "a").write("x 12\\n"); read_keys(path).why
'line 2: a key is 64 hexadecimal digits'
"""

import os
import stat
from dataclasses import dataclass

KEY_BYTES, KEYS_MOST, FILE_MOST = 32, 2, 4096


@dataclass(frozen=True, slots=True)
class KeyFileProblem:
    """Why a key file can't be used."""

    path: str
    why: str


@dataclass(frozen=True)
class Keys:
    signing: str
    by_id: dict[str, bytes]


def read_keys(path: str) -> Keys | KeyFileProblem:
    """The keys of a file: lines of a name and 64 hexadecimal digits."""
    try:
        with open(path, encoding="ascii") as file:
            mode = os.fstat(file.fileno())
            if mode.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
                return KeyFileProblem(path, "others can read it: chmod 600")
            lines = file.read(FILE_MOST).splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return KeyFileProblem(path, getattr(error, "strerror", None) or "no text")
    by_id: dict[str, bytes] = {}
    for number, line in enumerate(lines, 1):
        words = line.split("#")[0].split()
        if not words:
            continue
        try:
            name, key = words[0], bytes.fromhex(words[1])
        except (IndexError, ValueError):
            return KeyFileProblem(path, f"line {number}: not a name and a key")
        if len(key) != KEY_BYTES or len(words) != 2:
            return KeyFileProblem(
                path, f"line {number}: a key is {2 * KEY_BYTES} hexadecimal digits"
            )
        if name in by_id or len(by_id) == KEYS_MOST:
            return KeyFileProblem(
                path, f"line {number}: more than {KEYS_MOST} keys, or one name twice"
            )
        by_id[name] = key
    if not by_id:
        return KeyFileProblem(path, "no key in it")
    return Keys(next(iter(by_id)), by_id)


class KeyFile:
    """A key file, read again when it has changed; one that has become unusable leaves the last keys in force."""

    def __init__(self, path: str, keys: Keys) -> None:
        self.path, self.keys, self.problem = path, keys, None
        self._seen = self._stamp()

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_mode

    def now(self) -> Keys:
        stamp = self._stamp()
        if stamp != self._seen:
            self._seen = stamp
            found = read_keys(self.path)
            self.problem = found if isinstance(found, KeyFileProblem) else None
            self.keys = self.keys if self.problem else found
        return self.keys
