"""Formatting of events and orders for people: the kind, then its fields.

Objects are written as what identifies them.

>>> from lifthinge.interface import Backend, FleetNews, FleetNewsKind, Listing, Phase
>>> from lifthinge.interface import SetEntry, Slice
>>> backend = Backend("s-a", "s-a")
>>> format_value(SetEntry(Slice(3), backend, 0.50004))
'SetLine slice=3 backend=s-a weight=0.5'
>>> listing = Listing(backend, 1, 0, Phase.READY, 0.0, 1.0)
>>> print(format_value(FleetNews(FleetNewsKind.DELTA, [listing])))
FleetNews form=delta listings=[Listing backend=s-a zone=1 cell=0 phase=ready started=0 size=1]
"""

from enum import Enum
from typing import Any

from lifthinge.interface import Backend, Proxy, Slice
from lifthinge.outer_names import KINDS, outer_name

_KIND_TYPES = frozenset(kind.type for kind in KINDS.values())


def format_value(value: Any) -> str:
    """Return a value as one line; floats have four digits, those from 1e6 on one decimal."""
    if isinstance(value, Backend):
        return value.name
    if isinstance(value, (Slice, Proxy)):
        return str(value.number)
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, float):
        return f"{value:.4g}" if abs(value) < 1e6 else f"{value:.1f}"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(map(format_value, value)) + "]"
    if isinstance(value, dict):
        return (
            "{"
            + ", ".join(f"{format_value(key)}: {format_value(item)}" for key, item in value.items())
            + "}"
        )
    if type(value) in _KIND_TYPES:
        name = outer_name(type(value))
        return " ".join(
            [
                name,
                *(
                    f"{field}={format_value(getattr(value, attribute))}"
                    for field, attribute in KINDS[name].fields.items()
                ),
            ]
        )
    return str(value)
