"""Named counters, and a log with a rate limit for each event.

>>> counters = Counters()
>>> counters.add("report.tries")
>>> counters.add("report.tries", 2)
>>> counters.record_max("calls.open", 4)
>>> counters.record_max("calls.open", 3)
>>> counters.as_dict()
{'calls.open': 4, 'report.tries': 3}
"""

import logging
from collections.abc import Callable
from typing import Any


class Counters:
    """Sums and maxima by name.

    Names come from the code alone, never from a peer, so their number is bounded.
    """

    def __init__(self) -> None:
        self._values: dict[str, float] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a sum."""
        self._values[name] = self._values.get(name, 0) + amount

    def record_max(self, name: str, value: float) -> None:
        """Raise a maximum to the value if it is higher."""
        if value > self._values.get(name, 0):
            self._values[name] = value

    def get(self, name: str) -> float:
        """Return a sum or maximum; 0 if nothing was counted under the name."""
        return self._values.get(name, 0)

    def as_dict(self) -> dict[str, float]:
        """Return all values, ordered by name."""
        return dict(sorted(self._values.items()))


class RateLimitedLog:
    """Counts every warning, and logs each event once a second at most.

    The field `more` of a line is the number of warnings of its event suppressed before it. `now`
    returns the time in ms.

    >>> now, counters = [0.0], Counters()
    >>> class Lines(list):
    ...     warning = lambda self, event, fields: self.append((event, fields))
    >>> rate_limited_log = RateLimitedLog(Lines(), counters, lambda: now[0])
    >>> rate_limited_log.warning("bad_message", why="a")
    >>> rate_limited_log.warning("bad_message", why="b")
    >>> now[0] = 1500.0
    >>> rate_limited_log.warning("bad_message", why="c")
    >>> rate_limited_log.log, counters.as_dict()
    ([('bad_message', {'why': 'a'}), ('bad_message', {'why': 'c', 'more': 1})], {'bad_message': 3})
    """

    INTERVAL_MS = 1000.0  # between two lines of the same event

    def __init__(self, log: logging.Logger, counters: Counters, now: Callable[[], float]) -> None:
        self.log = log
        self.counters = counters
        self.now = now
        # Event -> time of its last line in ms, and number of warnings suppressed since.
        self._last_logged: dict[str, tuple[float, int]] = {}

    def warning(self, event: str, **fields: Any) -> None:
        """Count the event, and log it with its fields unless its last line is too recent."""
        self.counters.add(event)
        logged_at_ms, suppressed_count = self._last_logged.get(event, (float("-inf"), 0))
        if self.now() - logged_at_ms < self.INTERVAL_MS:
            self._last_logged[event] = logged_at_ms, suppressed_count + 1
            return
        self._last_logged[event] = self.now(), 0
        self.log.warning(
            event, {**fields, "more": suppressed_count} if suppressed_count else fields
        )
