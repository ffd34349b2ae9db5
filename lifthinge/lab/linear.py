"""Whether what clients saw could have come from one document that changes one version at a time.

Every operation has the time it was asked, the time it was answered (infinity if it never was), and the version it
brought about or saw. Versions are told apart by their numbers, so that a history is linearisable exactly if no
operation that ended before another began comes after it by version; writes of one version come before its reads.

>>> write, read = lambda a, b, v: Seen(a, b, v, True), lambda a, b, v: Seen(a, b, v, False)
>>> misorder([write(0, 9, 1), read(2, 3, 0), read(4, 5, 1), read(10, 11, 1), write(12, 14, 2)]) is None
True
>>> misorder([write(0, 1, 1), read(2, 3, 0)])       # a stale read
(Seen(asked=0, answered=1, version=1, wrote=True), Seen(asked=2, answered=3, version=0, wrote=False))
>>> misorder([read(0, 1, 1), write(2, 3, 1)])       # seen before it was asked for
(Seen(asked=0, answered=1, version=1, wrote=False), Seen(asked=2, answered=3, version=1, wrote=True))
>>> misorder([write(0, 5, 1), write(1, 6, 1)]) is None      # one version for two
False
"""

from collections.abc import Iterable
from typing import NamedTuple


class Seen(NamedTuple):
    asked: float
    answered: float
    version: int
    wrote: bool


def misorder(history: Iterable[Seen]) -> tuple[Seen, Seen] | None:
    """Two operations that no order of all agrees with; None if there is one that does."""
    by_ask = sorted(history)
    writes: dict[int, Seen] = {}
    for one in by_ask:
        if one.wrote and writes.setdefault(one.version, one) is not one:
            return writes[one.version], one
    ended = sorted(
        (one for one in by_ask if one.answered != float("inf")), key=lambda one: one.answered
    )
    place, latest = 0, None
    for one in by_ask:
        while place < len(ended) and ended[place].answered < one.asked:
            done, place = ended[place], place + 1
            if latest is None or (done.version, not done.wrote) > (
                latest.version,
                not latest.wrote,
            ):
                latest = done
        if latest is not None and (latest.version, not latest.wrote) > (one.version, not one.wrote):
            return latest, one
        if latest is not None and one.wrote and latest.version == one.version and latest is not one:
            return latest, one
    return None
