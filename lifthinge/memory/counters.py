"""Counters of what is taken in, sent and answered, and log lines limited in rate.

>>> counters = Counters()
>>> counters.add("report.tries"); counters.add("report.tries", 2); counters.record_max("calls.open", 4)
>>> counters.record_max("calls.open", 3)
>>> counters.as_dict()
{'calls.open': 4, 'report.tries': 3}
"""

import logging
from collections.abc import Callable
from typing import Any


class Counters:
    """Sums, and highest values, by name; names come from the code alone, never from a peer."""

    def __init__(self) -> None:
        self._values: dict[str, float] = {}

    def add(self, name: str, by: int = 1) -> None:
        self._values[name] = self._values.get(name, 0) + by

    def record_max(self, name: str, value: float) -> None:
        """Keeps the highest value seen."""
        if value > self._values.get(name, 0):
            self._values[name] = value

    def get(self, name: str) -> float:
        return self._values.get(name, 0)

    def as_dict(self) -> dict[str, float]:
        return dict(sorted(self._values.items()))


class RateLimitedLog:
    """Counts each kind of trouble, and logs it once a second at most, with how many it stands for.

    >>> now, counters = [0.0], Counters()
    >>> class Lines(list):
    ...     warning = lambda self, event, fields: self.append((event, fields))
    >>> rate_limited_log = RateLimitedLog(Lines(), counters, lambda: now[0])
    >>> rate_limited_log.warning("bad_message", why="a"); rate_limited_log.warning("bad_message", why="b")
    >>> now[0] = 1500.0; rate_limited_log.warning("bad_message", why="c")
    >>> rate_limited_log.log, counters.as_dict()
    ([('bad_message', {'why': 'a'}), ('bad_message', {'why': 'c', 'more': 1})], {'bad_message': 3})
    """

    EVERY = 1000.0

    def __init__(self, log: logging.Logger, counters: Counters, now: Callable[[], float]) -> None:
        self.log, self.counters, self.now = log, counters, now
        self._last: dict[
            str, tuple[float, int]
        ] = {}  # event: when logged, and how many kept back since

    def warning(self, event: str, **fields: Any) -> None:
        self.counters.add(event)
        at, kept_back = self._last.get(event, (float("-inf"), 0))
        if self.now() - at < self.EVERY:
            self._last[event] = at, kept_back + 1
            return
        self._last[event] = self.now(), 0
        self.log.warning(event, {**fields, "more": kept_back} if kept_back else fields)
