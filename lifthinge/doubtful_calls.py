"""Failed calls of which it is not known yet whether they ran, and when they are taken not to have.

Until then their entries count as waiting in the channel. All times are in milliseconds.

>>> channel = Channel()
>>> channel.record_sent(7, 20.0, ["p"], 0.0)
>>> calls = DoubtfulCalls()
>>> calls.add(7, pushed_at_ms=0.0, is_broken_off=False, now_ms=200.0)
>>> calls.take_ended(channel, ["p"], 1000.0, 300.0)
[]
>>> [call.seal for call in calls.take_ended(channel, ["p"], 1450.0, 300.0)]
[7]
"""

from collections.abc import Collection
from dataclasses import dataclass

from lifthinge.channel import Channel
from lifthinge.interface import Proxy

# A call that nobody has confirmed in this time has not run. With the time until an answer is
# overdue it is under the 1.5 s for which the time limits of the rules wait for a silent relay.
MAX_DOUBT_MS = 1_250.0
# The same where messages before it still lack confirmations.
MAX_BLOCKED_DOUBT_MS = 2_000.0
# Multiple of a message's longest transit until the first answers come: there and back.
ANSWER_TRANSIT_MULTIPLE = 2.0


@dataclass(slots=True)
class DoubtfulCall:
    """A failed call that may have run or not."""

    seal: int
    pushed_at_ms: float  # as the channel has it
    is_broken_off: bool  # the relay is there, so that confirmations would be received
    failed_at_ms: float
    blocked_at_ms: float  # when messages before it last lacked confirmations


class DoubtfulCalls:
    """Doubtful calls by their seals. The order of the slots is part of the capture format."""

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        self._calls: dict[int, DoubtfulCall] = {}

    def add(self, seal: int, pushed_at_ms: float, is_broken_off: bool, now_ms: float) -> None:
        """Add a call that has failed, unless it is known."""
        if seal not in self._calls:
            self._calls[seal] = DoubtfulCall(seal, pushed_at_ms, is_broken_off, now_ms, now_ms)

    def is_empty(self) -> bool:
        """Return whether the fate of all calls is known."""
        return not self._calls

    def discard(self, seal: int) -> None:
        """Drop the call of a seal: it ran, or it is sent again."""
        self._calls.pop(seal, None)

    def take_ended(
        self, channel: Channel, proxies: Collection[Proxy], now_ms: float, max_transit_ms: float
    ) -> list[DoubtfulCall]:
        """Return and drop the calls that are taken not to have run.

        `proxies` have joined. Once these have confirmed all messages before a call, the answers to
        it would come in the time of a message there and back; where the call broke off, nothing
        else hides them.
        """
        ended = []
        for seal, call in self._calls.items():
            if channel.missing_confirmations_before(seal, proxies, self._calls):
                call.blocked_at_ms = now_ms
            is_overdue = (
                now_ms - max(call.failed_at_ms, call.blocked_at_ms)
                > ANSWER_TRANSIT_MULTIPLE * max_transit_ms
            )
            age_ms = now_ms - call.failed_at_ms
            if age_ms >= MAX_BLOCKED_DOUBT_MS or (
                is_overdue and (call.is_broken_off or age_ms >= MAX_DOUBT_MS)
            ):
                ended.append(call)
        for call in ended:
            del self._calls[call.seal]
        return ended
