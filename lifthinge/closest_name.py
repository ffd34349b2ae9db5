"""Suggestions for mistyped names.

>>> closest_name("elction", ["election", "beat"]), closest_name("zzz", ["election"])
('election', None)
"""

from collections.abc import Iterable
from difflib import get_close_matches


def closest_name(name: str, known_names: Iterable[str]) -> str | None:
    """Return the known name that is most similar to a name, or None if none is similar."""
    return next(iter(get_close_matches(name, list(known_names), 1)), None)
