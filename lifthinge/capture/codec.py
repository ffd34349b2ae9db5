"""Conversion of events, orders and the whole policy state to plain values and back.

The format is explicit, versioned and free of pickle. Backends, slices and proxies become numbers,
each introduced once by a definition. All other types are listed in `lifthinge.outer_names`, with
their fields in order. A type that is not listed there is an error when it is encoded, not only when
the capture is read.

>>> from lifthinge.interface import Backend, Slice, SetEntry
>>> codec = ValueCodec(); order = SetEntry(Slice(3), Backend("s-a", "s-a"), 0.5)
>>> plain = codec.encode(order); plain
['o', 'SetLine', ['s', 0], ['b', 0], 0.5]
>>> [(tag, number, key) for tag, number, key, _ in codec.take_definitions()]
[('s', 0, 3), ('b', 0, 's-a')]
>>> other = ValueCodec(); other.define('s', 0, 3, []); other.define('b', 0, 's-a', [])
>>> decoded = other.decode(plain); other.encode(decoded) == plain
True
>>> decoded.slice.number, decoded.backend.backend_id, decoded.weight
(3, 's-a', 0.5)
>>> other.decode(['o', 'Elsewhere'])
Traceback (most recent call last):
    ...
lifthinge.capture.codec.CaptureFormatError: no kind 'Elsewhere'
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import fields
from enum import Enum
from operator import attrgetter
from random import Random
from typing import Any

from lifthinge import interface
from lifthinge.interface import Backend, Proxy, Slice
from lifthinge.outer_names import ENUMS, HOLDERS, KINDS, STATE, outer_name
from lifthinge.policy import Policy

# Version of the plain values of a keyframe's state; no other version is read.
FORMAT_VERSION = 7
# By tag: the type, the attribute that identifies an object, the attributes that the adapter sets.
NUMBERED_TYPES: dict[str, tuple[type, str, tuple[str, ...]]] = {
    "b": (Backend, "backend_id", ("name", "is_withdrawn")),
    "s": (Slice, "number", ()),
    "p": (Proxy, "number", ("zone", "size", "is_bound")),
}
# Attributes of a `Policy` that are not written: `event_handlers` is made anew, and `settings` is in
# the keyframe beside the state.
UNRECORDED_ATTRIBUTES = ("event_handlers", "settings")
# Types whose values are written as they are.
_BARE_TYPES = frozenset((type(None), bool, int, float, str, bytes))
_OBJECT_TYPES = frozenset((Backend, Slice, Proxy))


def _field_reader(names: tuple[str, ...]) -> Callable[[Any], tuple]:
    """Return a function that reads the named attributes of an object at once."""
    if len(names) > 1:
        return attrgetter(*names)
    return (lambda value: (getattr(value, names[0]),)) if names else (lambda value: ())


_KIND_READERS = {
    kind.type: (name, _field_reader(tuple(kind.fields.values()))) for name, kind in KINDS.items()
}
_HOLDER_READERS = {kind: (name, _field_reader(names)) for name, (kind, names) in HOLDERS.items()}


class CaptureFormatError(Exception):
    """A record that is not valid in this format."""


class ValueCodec:
    """Encodes and decodes the values of one capture, numbering the objects in them."""

    def __init__(self) -> None:
        # Tag and number by object.
        self._numbers: dict[Any, list] = {}
        # Objects by tag and number.
        self._objects: dict[tuple[str, int], Any] = {}
        # Objects numbered by `encode` since the last call of `take_definitions`.
        self._undefined: list[Any] = []
        # The next free number by tag.
        self._next_numbers = dict.fromkeys(NUMBERED_TYPES, 0)

    # Encoding.

    def encode(self, value: Any) -> Any:
        """Return the plain form of a value; raise `TypeError` for a type that is not listed."""
        kind = type(value)
        if kind in _BARE_TYPES:
            return value
        # The fast path: nearly all values are events of a few bare fields and one object.
        entry = _KIND_READERS.get(kind)
        if entry is not None:
            name, read = entry
            return [
                "o",
                name,
                *[
                    item
                    if type(item) in _BARE_TYPES
                    else self._numbers.get(item) or self.encode(item)
                    if type(item) in _OBJECT_TYPES
                    else self.encode(item)
                    for item in read(value)
                ],
            ]
        if kind in _OBJECT_TYPES:
            return self._number(value)
        if kind in (list, tuple, deque):
            return [{list: "l", tuple: "t", deque: "q"}[kind], *map(self.encode, value)]
        if kind is dict:
            return ["d", *(self.encode(item) for pair in value.items() for item in pair)]
        if isinstance(value, Enum):
            return ["e", outer_name(kind), value.value]
        if kind is Random:
            version, state, gauss = value.getstate()
            return ["r", version, list(state), gauss]
        if kind in _HOLDER_READERS:
            name, read = _HOLDER_READERS[kind]
            return ["h", name, *map(self.encode, read(value))]
        raise TypeError(f"{kind.__name__} has no plain form")

    def _number(self, item: Any) -> list:
        """Return an object's tag and number, numbering it if it is new."""
        if item not in self._numbers:
            tag = {Backend: "b", Slice: "s", Proxy: "p"}[type(item)]
            self._register(item, tag, self._next_numbers[tag])
            self._undefined.append(item)
        return self._numbers[item]

    def _register(self, item: Any, tag: str, number: int) -> None:
        self._numbers[item] = [tag, number]
        self._objects[tag, number] = item
        self._next_numbers[tag] = max(self._next_numbers[tag], number + 1)

    def take_definitions(self) -> Iterator[tuple[str, int, Any, list]]:
        """Yield what was numbered since the last call: tag, number, key and adapter-set values."""
        undefined = self._undefined
        self._undefined = []
        for item in undefined:
            tag, number = self._numbers[item]
            _, key, adapter_attributes = NUMBERED_TYPES[tag]
            yield (
                tag,
                number,
                getattr(item, key),
                [getattr(item, name) for name in adapter_attributes],
            )

    def all_definitions(self) -> list[list]:
        """Return the definitions of all numbered objects, for a keyframe.

        They omit the values set by the adapter, which are in the keyframe's state.
        """
        return [
            [tag, number, getattr(item, NUMBERED_TYPES[tag][1]), []]
            for item, (tag, number) in self._numbers.items()
        ]

    # Decoding.

    def define(self, tag: str, number: int, key: Any, adapter_values: list) -> None:
        """Create and number an object, with as many of the adapter's values as are given."""
        kind, _, names = NUMBERED_TYPES[tag]
        item = kind(key, str(key)) if kind is Backend else kind(key)
        for name, value in zip(names, adapter_values, strict=False):
            setattr(item, name, value)
        self._register(item, tag, number)

    def decode(self, plain: Any) -> Any:
        """Return the value of its plain form; raise `CaptureFormatError` for an unknown kind.

        Other malformed input raises the errors of the operations that it fails.
        """
        if not isinstance(plain, list):
            return plain
        tag, *parts = plain
        if tag in NUMBERED_TYPES:
            item = self._objects.get((tag, parts[0]))
            if item is None:
                raise CaptureFormatError(f"{tag}{parts[0]} is not defined")
            return item
        if tag in ("l", "t", "q"):
            return {"l": list, "t": tuple, "q": deque}[tag](map(self.decode, parts))
        if tag == "d":
            values = list(map(self.decode, parts))
            return dict(zip(values[::2], values[1::2], strict=False))
        if tag == "e":
            return ENUMS[parts[0]](parts[1])
        if tag == "r":
            generator = Random()
            generator.setstate((parts[0], tuple(parts[1]), parts[2]))
            return generator
        if tag == "o" and parts[0] in KINDS:
            return KINDS[parts[0]].type(*map(self.decode, parts[1:]))
        if tag == "h" and parts[0] in HOLDERS:
            kind, names = HOLDERS[parts[0]]
            return self._decode_holder(kind, names, parts[1:])
        raise CaptureFormatError(f"no kind {parts[0] if parts else tag!r}")

    def _decode_holder(self, kind: type, names: tuple[str, ...], values: list) -> Any:
        """Create an object without calling its constructor and set its attributes."""
        holder = kind.__new__(kind)
        for name, value in zip(names, values, strict=True):
            setattr(holder, name, self.decode(value))
        return holder

    # The whole policy state.

    def export_state(self, policy: Policy) -> list:
        """Return everything that a policy's later decisions depend on.

        That is its own attributes, and the fields of all objects that it refers to. Raises
        `TypeError` for an attribute that `outer_names.STATE` does not list.
        """
        unnamed = vars(policy).keys() - set(STATE.values()) - set(UNRECORDED_ATTRIBUTES)
        if unnamed:
            raise TypeError(f"decision state without an outer name: {', '.join(sorted(unnamed))}")
        attributes = {
            name: self.encode(getattr(policy, attribute)) for name, attribute in STATE.items()
        }
        objects = []
        done = 0
        # Objects refer to further objects, which are numbered on the way.
        while done < len(self._numbers):
            for item in list(self._numbers)[done:]:
                names = [field.name for field in fields(item)]
                objects.append(
                    [*self._number(item), *(self.encode(getattr(item, name)) for name in names)]
                )
                done += 1
        return [FORMAT_VERSION, attributes, objects]

    def restore_policy(
        self, settings: interface.SiteSettings, state: list, kind: type = Policy
    ) -> Any:
        """Return a policy that decides from here on as the exported one did.

        The objects must have been defined. A policy class of another revision (`kind`) takes over
        the attributes that both have and keeps its initial values for the others.
        """
        version, attributes, objects = state
        if version != FORMAT_VERSION:
            raise CaptureFormatError(f"a keyframe of form {version}, not {FORMAT_VERSION}")
        policy = kind(settings, 0)
        for tag, number, *values in objects:
            item = self._objects[tag, number]
            for field, value in zip(fields(item), values, strict=True):
                setattr(item, field.name, self.decode(value))
        known = {name for name, attribute in STATE.items() if attribute in vars(policy)}
        if kind is Policy and known != set(attributes):
            raise CaptureFormatError(
                f"a keyframe of another text: {', '.join(sorted(known ^ set(attributes)))}"
            )
        for name, value in attributes.items():
            if name in known:
                setattr(policy, STATE[name], self.decode(value))
        return policy
