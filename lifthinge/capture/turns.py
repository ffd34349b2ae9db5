"""Turns of the decisions as records: what was told and when, and a digest of what was ordered; and the same played again.

A capture is a list of records, each a plain value:

    ["k", terms, definitions, state]                a keyframe: from here on a replay may begin
    ["t", now, definitions, given, events, digest]  one call of `decide`
    ["x", from, until, why]                         what was left out: a replay goes on at the next keyframe

`given` is what the adapter has set on proxies that joined. Times are milliseconds.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from blake3 import blake3

from lifthinge.capture.codec import CaptureFormatError, ValueCodec
from lifthinge.interface import Event, LogDecision, Order, ProxyJoined
from lifthinge.policy import Policy

_encode = msgspec.msgpack.Encoder().encode


def digest_of(coder: ValueCodec, orders: list[Order]) -> bytes:
    """What tells one list of orders from another; what is said beside them explains, and names names."""
    return blake3(
        _encode([coder.encode(order) for order in orders if type(order) is not LogDecision])
    ).digest(length=16)


class Recorder:
    """Stands before a `Policy` and puts on record what passes; `take` gives the records since the last call."""

    def __init__(self, policy: Policy) -> None:
        self.policy, self.codec = policy, ValueCodec()
        self._records: list[list] = []
        self.keyframe()

    def keyframe(self) -> None:
        """From here on a replay may begin, whatever becomes of what came before."""
        state = self.codec.export_state(self.policy)
        self._records.append(["k", self.codec.encode(self.policy.settings), self._all(), state])

    def _all(self) -> list:
        list(self.codec.take_definitions())
        return self.codec.all_definitions()

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        events = list(events)
        told = [self.codec.encode(event) for event in events]
        joined = [event.proxy for event in events if type(event) is ProxyJoined]
        given = [[*self.codec.encode(one), one.zone, one.size, one.is_bound] for one in joined]
        record = ["t", now, [list(one) for one in self.codec.take_definitions()], given, told]
        orders = self.policy.decide(now, events)
        record.append(digest_of(self.codec, orders))
        self._records.append(record)
        return orders

    def take_records(self) -> list[list]:
        records, self._records = self._records, []
        return records


@dataclass(frozen=True)
class ReplayMismatch:
    """The first turn at which a replay ordered otherwise."""

    record_index: int  # record
    now: float
    events: list[Event]
    orders: list[Order]  # of the replay


class Replay:
    """Plays records again; `turns` counts those that came out alike."""

    def __init__(self, kind: type = Policy) -> None:
        self.kind = kind  # another text of the decisions orders otherwise: nothing is compared then
        self.codec: ValueCodec | None = None
        self.policy: Policy | None = None
        self.events: list[Event] = []  # of the last turn, and what was ordered
        self.orders: list[Order] = []
        self.turn_count = self.skipped_turn_count = 0
        self.digest = blake3()  # of all orders: ten replays give one

    def run(self, records: Iterable[list]) -> ReplayMismatch | None:
        """None if all came out as recorded, else where it parted; `CaptureFormatError` if a record makes no sense."""
        for place, record in enumerate(records):
            kind = record[0] if record else None
            if kind == "k":
                if self.policy is None:
                    self._guard(place, lambda: self._begin(*record[1:]))
            elif kind == "x":
                self.policy = None
            elif kind != "t":
                raise CaptureFormatError(f"record {place} is of no kind known here")
            elif self.policy is None:
                self.skipped_turn_count += 1
            else:
                told = self._guard(place, lambda: self._told(*record[1:]))
                parted = self._replay_turn(place, *told)
                if parted:
                    return parted
        return None

    @staticmethod
    def _guard(place: int, read: Callable[[], Any]) -> Any:
        """What is read of a record that anyone may have written."""
        try:
            return read()
        except (
            KeyError,
            IndexError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as error:
            raise CaptureFormatError(f"record {place}: {type(error).__name__}: {error}") from None

    def _begin(self, terms: Any, definitions: list, state: list) -> None:
        self.codec = ValueCodec()
        for one in definitions:
            self.codec.define(*one)
        self.policy = self.codec.restore_policy(self.codec.decode(terms), state, self.kind)

    def _told(
        self, now: float, definitions: list, given: list, told: list, digest: bytes
    ) -> tuple[float, list[Event], bytes]:
        for one in definitions:
            self.codec.define(*one)
        for tag, number, zone, size, bound in given:
            proxy = self.codec.decode([tag, number])
            proxy.zone, proxy.size, proxy.is_bound = zone, size, bound
        return now + 0.0, [self.codec.decode(one) for one in told], digest

    def _replay_turn(
        self, place: int, now: float, events: list[Event], digest: bytes
    ) -> ReplayMismatch | None:
        orders = self.policy.decide(now, events)
        self.events, self.orders = events, orders
        found = digest_of(self.codec, orders)
        self.digest.update(found)
        if found != digest and self.kind is Policy:
            return ReplayMismatch(place, now, events, orders)
        self.turn_count += 1
        return None


def from_keyframes(records: list[list]) -> Iterator[list[list]]:
    """The records from each keyframe on: each must replay alike."""
    for place, record in enumerate(records):
        if record[0] == "k":
            yield records[place:]


__all__ = [
    "CaptureFormatError",
    "Recorder",
    "Replay",
    "ReplayMismatch",
    "digest_of",
    "from_keyframes",
]
