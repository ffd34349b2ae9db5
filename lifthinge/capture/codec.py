"""Events, orders and the whole decision state as plain values, and back: explicit, versioned, without pickle.

Backends, slices and proxies become numbers, named once by a definition; what else there may be is listed in
`lifthinge.outer_names`, with its fields in their order. A type that is not listed there is an error when it is met,
not when it is needed.

>>> from lifthinge.interface import Backend, Slice, SetEntry
>>> one = ValueCodec(); line = SetEntry(Slice(3), Backend("s-a", "s-a"), 0.5)
>>> plain = one.encode(line); plain
['o', 'SetLine', ['s', 0], ['b', 0], 0.5]
>>> [(tag, number, key) for tag, number, key, _ in one.take_definitions()]
[('s', 0, 3), ('b', 0, 's-a')]
>>> other = ValueCodec(); other.define('s', 0, 3, []); other.define('b', 0, 's-a', [])
>>> again = other.decode(plain); (again.slice.number, again.backend.backend_id, again.weight), other.encode(again) == plain
((3, 's-a', 0.5), True)
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

FORMAT_VERSION = 2  # of the plain values; another form is not read
NUMBERED_TYPES: dict[
    str, tuple[type, str, tuple[str, ...]]
] = {  # tag: kind, what it is known by, what the adapter sets
    "b": (Backend, "backend_id", ("name", "is_withdrawn")),
    "s": (Slice, "number", ()),
    "p": (Proxy, "number", ("zone", "size", "is_bound")),
}
# Attributes of a `Policy` that are not written: `event_handlers` is made anew, and `settings` stands
# in the keyframe beside the state.
UNRECORDED_ATTRIBUTES = ("event_handlers", "settings")
_BARE = frozenset((type(None), bool, int, float, str, bytes))
_OBJECTS = frozenset((Backend, Slice, Proxy))


def _reader(names: tuple[str, ...]) -> Callable[[Any], tuple]:
    """Reads all fields of a value at once."""
    if len(names) > 1:
        return attrgetter(*names)
    return (lambda value: (getattr(value, names[0]),)) if names else (lambda value: ())


_READ = {kind.type: (name, _reader(tuple(kind.fields.values()))) for name, kind in KINDS.items()}
_READ_HOLDER = {kind: (name, _reader(names)) for name, (kind, names) in HOLDERS.items()}


class CaptureFormatError(Exception):
    """Plain values that no value of this form has."""


class ValueCodec:
    """Knows the objects of one capture by their numbers."""

    def __init__(self) -> None:
        self._numbers: dict[Any, list] = {}  # tag and number
        self._objects: dict[tuple[str, int], Any] = {}
        self._fresh: list[Any] = []
        self._counts = dict.fromkeys(NUMBERED_TYPES, 0)

    # To plain values.

    def encode(self, value: Any) -> Any:
        kind = type(value)
        if kind in _BARE:
            return value
        fast = _READ.get(
            kind
        )  # nearly all that passes is an event of a few bare fields and one object
        if fast is not None:
            name, read = fast
            return [
                "o",
                name,
                *[
                    one
                    if type(one) in _BARE
                    else self._numbers.get(one) or self.encode(one)
                    if type(one) in _OBJECTS
                    else self.encode(one)
                    for one in read(value)
                ],
            ]
        if kind in _OBJECTS:
            return self._number(value)
        if kind in (list, tuple, deque):
            return [{list: "l", tuple: "t", deque: "q"}[kind], *map(self.encode, value)]
        if kind is dict:
            return ["d", *(self.encode(one) for pair in value.items() for one in pair)]
        if isinstance(value, Enum):
            return ["e", outer_name(kind), value.value]
        if kind is Random:
            version, state, gauss = value.getstate()
            return ["r", version, list(state), gauss]
        if kind in _READ_HOLDER:
            name, read = _READ_HOLDER[kind]
            return ["h", name, *map(self.encode, read(value))]
        raise TypeError(f"{kind.__name__} has no plain form")

    def _number(self, one: Any) -> list:
        if one not in self._numbers:
            tag = {Backend: "b", Slice: "s", Proxy: "p"}[type(one)]
            self._keep(one, tag, self._counts[tag])
            self._fresh.append(one)
        return self._numbers[one]

    def _keep(self, one: Any, tag: str, number: int) -> None:
        self._numbers[one] = [tag, number]
        self._objects[tag, number] = one
        self._counts[tag] = max(self._counts[tag], number + 1)

    def take_definitions(self) -> Iterator[tuple[str, int, Any, list]]:
        """What was numbered since the last call: tag, number, what it is known by, and what the adapter has set."""
        fresh, self._fresh = self._fresh, []
        for one in fresh:
            tag, number = self._numbers[one]
            _, key, given = NUMBERED_TYPES[tag]
            yield tag, number, getattr(one, key), [getattr(one, name) for name in given]

    def all_definitions(self) -> list[list]:
        """All that has a number, as a keyframe defines it: what the adapter has set is in its state."""
        return [
            [tag, number, getattr(one, NUMBERED_TYPES[tag][1]), []]
            for one, (tag, number) in self._numbers.items()
        ]

    # And back.

    def define(self, tag: str, number: int, key: Any, given: list) -> None:
        kind, _, names = NUMBERED_TYPES[tag]
        one = kind(key, str(key)) if kind is Backend else kind(key)
        for name, value in zip(names, given):
            setattr(one, name, value)
        self._keep(one, tag, number)

    def decode(self, plain: Any) -> Any:
        if not isinstance(plain, list):
            return plain
        tag, *rest = plain
        if tag in NUMBERED_TYPES:
            found = self._objects.get((tag, rest[0]))
            if found is None:
                raise CaptureFormatError(f"{tag}{rest[0]} is not defined")
            return found
        if tag in ("l", "t", "q"):
            return {"l": list, "t": tuple, "q": deque}[tag](map(self.decode, rest))
        if tag == "d":
            values = list(map(self.decode, rest))
            return dict(zip(values[::2], values[1::2]))
        if tag == "e":
            return ENUMS[rest[0]](rest[1])
        if tag == "r":
            dice = Random()
            dice.setstate((rest[0], tuple(rest[1]), rest[2]))
            return dice
        if tag == "o" and rest[0] in KINDS:
            return KINDS[rest[0]].type(*map(self.decode, rest[1:]))
        if tag == "h" and rest[0] in HOLDERS:
            kind, names = HOLDERS[rest[0]]
            return self._filled(kind, names, rest[1:])
        raise CaptureFormatError(f"no kind {rest[0] if rest else tag!r}")

    def _filled(self, kind: type, names: tuple[str, ...], values: list) -> Any:
        one = kind.__new__(kind)
        for name, value in zip(names, values, strict=True):
            setattr(one, name, self.decode(value))
        return one

    # The whole decision state.

    def export_state(self, policy: Policy) -> list:
        """All that an instance will ever decide by: what it keeps itself, and what it keeps on the objects it knows."""
        unnamed = vars(policy).keys() - set(STATE.values()) - set(UNRECORDED_ATTRIBUTES)
        if unnamed:
            raise TypeError(f"decision state without an outer name: {', '.join(sorted(unnamed))}")
        own = {name: self.encode(getattr(policy, attribute)) for name, attribute in STATE.items()}
        kept, done = [], 0
        while done < len(self._numbers):  # objects name further objects
            for one in list(self._numbers)[done:]:
                names = [field.name for field in fields(one)]
                kept.append(
                    [*self._number(one), *(self.encode(getattr(one, name)) for name in names)]
                )
                done += 1
        return [FORMAT_VERSION, own, kept]

    def restore_policy(
        self, terms: interface.SiteSettings, state: list, kind: type = Policy
    ) -> Any:
        """An instance that decides alike ever after; the objects must have been defined.

        Another text's (`kind`) takes over what both keep, and begins with the rest as at a start.
        """
        form, own, kept = state
        if form != FORMAT_VERSION:
            raise CaptureFormatError(f"a keyframe of form {form}, not {FORMAT_VERSION}")
        policy = kind(terms, 0)
        for tag, number, *values in kept:
            one = self._objects[tag, number]
            for field, value in zip(fields(one), values, strict=True):
                setattr(one, field.name, self.decode(value))
        known = {name for name, attribute in STATE.items() if attribute in vars(policy)}
        if kind is Policy and known != set(own):
            raise CaptureFormatError(
                f"a keyframe of another text: {', '.join(sorted(known ^ set(own)))}"
            )
        for name, value in own.items():
            if name in known:
                setattr(policy, STATE[name], self.decode(value))
        return policy
