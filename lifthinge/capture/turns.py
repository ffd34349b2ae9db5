"""Recording of a policy's turns, one call of `decide` each, and their replay.

A record has the time, the events and a digest of the orders. A replay decides on the recorded
events again and compares the digests.

A capture is a list of records, each a plain value:

    ["k", settings, definitions, state]
        a keyframe: a replay may begin here
    ["t", now, definitions, proxy_values, events, digest]
        one call of `decide`
    ["x", from, until, why]
        a gap: what was left out; a replay goes on at the next keyframe

`proxy_values` is what the adapter has set on proxies that joined. Times are milliseconds.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from blake3 import blake3

from lifthinge.capture.codec import CaptureFormatError, ValueCodec
from lifthinge.interface import DecisionFault, Event, LogDecision, Order, ProxyJoined
from lifthinge.policy import Policy

# Orders that explain others.
EXPLANATIONS = (LogDecision, DecisionFault)
_encode = msgspec.msgpack.Encoder().encode


def digest_of(codec: ValueCodec, orders: list[Order]) -> bytes:
    """Return the digest of a list of orders, 16 bytes.

    `LogDecision` and `DecisionFault` are left out: they explain the other orders, and their texts
    contain backend names and places in the code.
    """
    return blake3(
        _encode([codec.encode(order) for order in orders if type(order) not in EXPLANATIONS])
    ).digest(length=16)


class Recorder:
    """Wraps a `Policy` and records its turns, beginning with a keyframe."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.codec = ValueCodec()
        self._records: list[list] = []
        self.keyframe()

    def keyframe(self) -> None:
        """Record a keyframe: a replay may begin here without the records before."""
        state = self.codec.export_state(self.policy)
        self._records.append(
            ["k", self.codec.encode(self.policy.settings), self._keyframe_definitions(), state]
        )

    def _keyframe_definitions(self) -> list:
        """Return the definitions of all objects, so that later turns need not define them."""
        list(self.codec.take_definitions())
        return self.codec.all_definitions()

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Call the policy's `decide` at a time in ms, record the turn and return the orders."""
        events = list(events)
        encoded_events = [self.codec.encode(event) for event in events]
        joined = [event.proxy for event in events if type(event) is ProxyJoined]
        proxy_values = [
            [*self.codec.encode(proxy), proxy.zone, proxy.size, proxy.is_bound] for proxy in joined
        ]
        definitions = [list(definition) for definition in self.codec.take_definitions()]
        record = ["t", now, definitions, proxy_values, encoded_events]
        orders = self.policy.decide(now, events)
        record.append(digest_of(self.codec, orders))
        self._records.append(record)
        return orders

    def take_records(self) -> list[list]:
        """Return the records since the last call."""
        records = self._records
        self._records = []
        return records


@dataclass(frozen=True)
class ReplayMismatch:
    """The first turn at which a replay's orders differ from the recorded ones."""

    record_index: int
    # Time of the turn in ms.
    now: float
    events: list[Event]
    # The orders of the replay; the record has only the digest of its own.
    orders: list[Order]


class Replay:
    """Decides on recorded events again; `turn_count` counts the turns whose orders agreed."""

    def __init__(self, kind: type = Policy) -> None:
        # A policy class other than `Policy` may order otherwise: its digests are not compared.
        self.kind = kind
        self.codec: ValueCodec | None = None
        self.policy: Policy | None = None
        # Events and orders of the last turn.
        self.events: list[Event] = []
        self.orders: list[Order] = []
        self.turn_count = 0
        self.skipped_turn_count = 0
        # Digest of all orders: repeated replays of a capture must give the same.
        self.digest = blake3()

    def run(self, records: Iterable[list]) -> ReplayMismatch | None:
        """Replay records and return the first mismatch, or None if all orders agreed.

        Turns before the first keyframe, or between a gap and the next one, are skipped. Raises
        `CaptureFormatError` for an invalid record.
        """
        for index, record in enumerate(records):
            kind = record[0] if record else None
            if kind == "k":
                if self.policy is None:
                    # The lambdas are called at once, while `record` is this iteration's.
                    self._guard(index, lambda: self._restore(*record[1:]))  # noqa: B023
            elif kind == "x":
                self.policy = None
            elif kind != "t":
                raise CaptureFormatError(f"record {index} is of no kind known here")
            elif self.policy is None:
                self.skipped_turn_count += 1
            else:
                # The lambda is called at once here, too.
                turn = self._guard(index, lambda: self._decode_turn(*record[1:]))  # noqa: B023
                mismatch = self._replay_turn(index, *turn)
                if mismatch:
                    return mismatch
        return None

    @staticmethod
    def _guard(index: int, read: Callable[[], Any]) -> Any:
        """Call a function that reads an untrusted record; turn its errors into one kind."""
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
            raise CaptureFormatError(f"record {index}: {type(error).__name__}: {error}") from None

    def _restore(self, settings: Any, definitions: list, state: list) -> None:
        """Begin at a keyframe with a new codec and the policy of its state."""
        self.codec = ValueCodec()
        for definition in definitions:
            self.codec.define(*definition)
        self.policy = self.codec.restore_policy(self.codec.decode(settings), state, self.kind)

    def _decode_turn(
        self,
        now: float,
        definitions: list,
        proxy_values: list,
        encoded_events: list,
        digest: bytes,
    ) -> tuple[float, list[Event], bytes]:
        """Return time in ms, events and digest of a turn, and set what the adapter had set."""
        for definition in definitions:
            self.codec.define(*definition)
        for tag, number, zone, size, is_bound in proxy_values:
            proxy = self.codec.decode([tag, number])
            proxy.zone = zone
            proxy.size = size
            proxy.is_bound = is_bound
        # The addition makes a time that is no number a TypeError here, where it is caught.
        return now + 0.0, [self.codec.decode(event) for event in encoded_events], digest

    def _replay_turn(
        self, index: int, now: float, events: list[Event], digest: bytes
    ) -> ReplayMismatch | None:
        """Decide on a turn's events and compare the orders with the recorded digest."""
        orders = self.policy.decide(now, events)
        self.events = events
        self.orders = orders
        replayed_digest = digest_of(self.codec, orders)
        self.digest.update(replayed_digest)
        if replayed_digest != digest and self.kind is Policy:
            return ReplayMismatch(index, now, events, orders)
        self.turn_count += 1
        return None


def from_keyframes(records: list[list]) -> Iterator[list[list]]:
    """Yield the records from each keyframe on: each list must replay alike."""
    for index, record in enumerate(records):
        if record[0] == "k":
            yield records[index:]


__all__ = [
    "CaptureFormatError",
    "Recorder",
    "Replay",
    "ReplayMismatch",
    "digest_of",
    "from_keyframes",
]
