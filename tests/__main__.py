"""Runs the doctests and plays every scenario; the last line counts both."""
import doctest
import importlib
import logging
import sys
from pathlib import Path

from tests.play import Network, Stage

MODULES = ("channel", "histogram", "lowest", "tables", "terms", "memory.attempts", "memory.calls",
           "memory.counters", "memory.deadlines", "memory.slots", "memory.world", "service.environment",
           "service.logs", "wire.buffer", "wire.client", "wire.door", "wire.frames", "wire.http",
           "wire.probes", "wirehost.codec", "wirehost.translate", "wirehost.__main__")
HERE = Path(__file__).parent
PLAYED = [(path, kind) for folder, kind in (("scenarios", Stage), ("network", Network))
          for path in sorted((HERE / folder).glob("*.txt"))]


def main() -> int:
    passed = failed = 0
    for name in MODULES:
        result = doctest.testmod(importlib.import_module("lifthinge." + name))
        failed += result.failed
        passed += result.attempted - result.failed
    logging.disable()   # what is logged of bad input is counted, too
    for path, kind in PLAYED:
        try:
            kind().run(path.read_text())
            passed += 1
        except Exception as error:  # any failure of a scenario is a failed test
            failed += 1
            print(f"{path.name}: {type(error).__name__}: {error}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
