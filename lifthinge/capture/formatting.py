"""Events and orders in words: kind, then its fields, objects by what they are known by.

>>> from lifthinge.interface import Backend, FleetNewsKind, FleetNews, Listing, Phase, SetEntry, Slice
>>> format_value(SetEntry(Slice(3), Backend("s-a", "s-a"), 0.50004))
'SetLine slice=3 backend=s-a weight=0.5'
>>> format_value(FleetNews(FleetNewsKind.DELTA, [Listing(Backend("s-a", "s-a"), 1, 0, Phase.READY, 0.0, 1.0)]))
'FleetNews form=delta listings=[Listing backend=s-a zone=1 cell=0 phase=ready started=0 size=1]'
"""

from enum import Enum
from typing import Any

from lifthinge.interface import Backend, Proxy, Slice
from lifthinge.outer_names import KINDS, outer_name

_TYPES = frozenset(kind.type for kind in KINDS.values())


def format_value(one: Any) -> str:
    """One value, on one line."""
    if isinstance(one, Backend):
        return one.name
    if isinstance(one, (Slice, Proxy)):
        return str(one.number)
    if isinstance(one, Enum):
        return str(one.value)
    if isinstance(one, float):
        return f"{one:.4g}" if abs(one) < 1e6 else f"{one:.1f}"
    if isinstance(one, (list, tuple)):
        return "[" + ", ".join(map(format_value, one)) + "]"
    if isinstance(one, dict):
        return (
            "{"
            + ", ".join(f"{format_value(key)}: {format_value(value)}" for key, value in one.items())
            + "}"
        )
    if type(one) in _TYPES:
        name = outer_name(type(one))
        return " ".join(
            [
                name,
                *(
                    f"{field}={format_value(getattr(one, attribute))}"
                    for field, attribute in KINDS[name].fields.items()
                ),
            ]
        )
    return str(one)
