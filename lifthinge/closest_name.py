"""The nearest known name to one that is not known.

>>> closest_name("elction", ["election", "beat"]), closest_name("zzz", ["election"])
('election', None)
"""

from collections.abc import Iterable
from difflib import get_close_matches


def closest_name(name: str, known: Iterable[str]) -> str | None:
    return next(iter(get_close_matches(name, list(known), 1)), None)
