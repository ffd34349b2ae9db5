"""The nearest known name to one that is not known.

>>> nearest("elction", ["election", "beat"]), nearest("zzz", ["election"])
('election', None)
"""

from difflib import get_close_matches
from typing import Iterable, Optional


def nearest(name: str, known: Iterable[str]) -> Optional[str]:
    return next(iter(get_close_matches(name, list(known), 1)), None)
