"""Replacement of backend names, consistently throughout a capture, so that it can be handed on.

The replay of the result still agrees. `LogDecision` texts contain names, but are not part of a
turn's digest. Messages between controllers are opaque bytes that can't be searched for names, and
are copied unchanged. Emptying them keeps the replay's agreement only where no decision depends on
them; none does today.

>>> pseudonyms = BackendPseudonyms()
>>> [pseudonyms.pseudonym(name) for name in ("s-5be2a07c", "s-1", "s-5be2a07c")]
['backend-0', 'backend-1', 'backend-0']
>>> turn = ["t", 1.0, [["b", 0, "s-5be2a07c", ["s-5be2a07c", False]]], [], [], b""]
>>> anonymise_records([turn], pseudonyms)
[['t', 1.0, [['b', 0, 'backend-0', ['backend-0', False]]], [], [], b'']]
"""

from dataclasses import fields
from typing import Any

from lifthinge.interface import Backend

# Places in a backend's state in a keyframe, where tag and number precede the fields.
_BACKEND_FIELDS = [field.name for field in fields(Backend)]
_ID_INDEX = 2 + _BACKEND_FIELDS.index("backend_id")
_NAME_INDEX = 2 + _BACKEND_FIELDS.index("name")


class BackendPseudonyms:
    """Assigns a pseudonym to each backend name or id, the same each time."""

    def __init__(self) -> None:
        self._by_name: dict[Any, str] = {}

    def pseudonym(self, name: Any) -> str:
        """Return the pseudonym of a name, a new one if the name is new."""
        return self._by_name.setdefault(name, f"backend-{len(self._by_name)}")


def _anonymise_definition(definition: list, pseudonyms: BackendPseudonyms) -> list:
    """Replace a backend's id, and its name where the definition has the adapter's values."""
    tag, number, key, adapter_values = definition
    if tag != "b":
        return definition
    return [
        tag,
        number,
        pseudonyms.pseudonym(key),
        [pseudonyms.pseudonym(adapter_values[0]), *adapter_values[1:]]
        if adapter_values
        else adapter_values,
    ]


def _anonymise_object(values: list, pseudonyms: BackendPseudonyms) -> list:
    """Replace id and name in a backend's state; other objects have neither."""
    if values[0] != "b":
        return values
    return [
        pseudonyms.pseudonym(value) if index in (_ID_INDEX, _NAME_INDEX) else value
        for index, value in enumerate(values)
    ]


def anonymise_records(records: list[list], pseudonyms: BackendPseudonyms) -> list[list]:
    """Return the same records with pseudonyms in place of all backend ids and names."""
    anonymised = []
    for record in records:
        if record[0] == "k":
            _, settings, definitions, (version, attributes, objects) = record
            anonymised.append(
                [
                    "k",
                    settings,
                    [_anonymise_definition(definition, pseudonyms) for definition in definitions],
                    [
                        version,
                        attributes,
                        [_anonymise_object(values, pseudonyms) for values in objects],
                    ],
                ]
            )
        elif record[0] == "t":
            _, now, definitions, *other_parts = record
            anonymised.append(
                [
                    "t",
                    now,
                    [_anonymise_definition(definition, pseudonyms) for definition in definitions],
                    *other_parts,
                ]
            )
        else:
            anonymised.append(record)
    return anonymised
