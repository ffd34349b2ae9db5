"""Other names for backends, the same all through a capture, so that it can be handed on; its replay still agrees.

What decisions say in words (`LogDecision`) holds names and is no part of a turn's digest; notes between controllers are bytes
that nobody can look into, so they are emptied only where none is decided on (none is today).

>>> names = BackendPseudonyms()
>>> names.pseudonym("s-5be2a07c"), names.pseudonym("s-1"), names.pseudonym("s-5be2a07c")
('backend-0', 'backend-1', 'backend-0')
>>> anonymise_records([["t", 1.0, [["b", 0, "s-5be2a07c", ["s-5be2a07c", False]]], [], [], b""]], names)
[['t', 1.0, [['b', 0, 'backend-0', ['backend-0', False]]], [], [], b'']]
"""

from dataclasses import fields
from typing import Any

from lifthinge.interface import Backend

_EP, _NAME = (
    2 + [one.name for one in fields(Backend)].index(name) for name in ("backend_id", "name")
)  # after tag, number


class BackendPseudonyms:
    """One name for each that is met."""

    def __init__(self) -> None:
        self._by_name: dict[Any, str] = {}

    def pseudonym(self, name: Any) -> str:
        return self._by_name.setdefault(name, f"backend-{len(self._by_name)}")


def _definition(one: list, names: BackendPseudonyms) -> list:
    tag, number, key, given = one
    if tag != "b":
        return one
    return [
        tag,
        number,
        names.pseudonym(key),
        [names.pseudonym(given[0]), *given[1:]] if given else given,
    ]


def _kept(one: list, names: BackendPseudonyms) -> list:
    if one[0] != "b":
        return one
    return [
        names.pseudonym(value) if place in (_EP, _NAME) else value
        for place, value in enumerate(one)
    ]


def anonymise_records(records: list[list], names: BackendPseudonyms) -> list[list]:
    """The same records with other names."""
    found = []
    for record in records:
        if record[0] == "k":
            _, terms, definitions, (form, own, kept) = record
            found.append(
                [
                    "k",
                    terms,
                    [_definition(one, names) for one in definitions],
                    [form, own, [_kept(one, names) for one in kept]],
                ]
            )
        elif record[0] == "t":
            _, now, definitions, *rest = record
            found.append(["t", now, [_definition(one, names) for one in definitions], *rest])
        else:
            found.append(record)
    return found
