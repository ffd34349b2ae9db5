"""When orders that a rule bounds have to go out, and when they had better wait for the channel.

Messages leave the channel one after another. While others wait there, an order arrives no sooner
for being sent at once; held back until the channel is nearly empty it shares the overhead of one
message with all that comes up meanwhile. So orders wait for a busy channel as long as their limits
leave slack.

Limits are counted in *channel entries*: what a channel sends in the limit at its stated pace. They
are stretched alike where it is slower, so this holds at any pace. All quantities are table entries
for each receiver, times are in milliseconds.

>>> from dataclasses import replace
>>> view = ChannelView(
...     now_ms=0.0, waiting_entries=44.0, awaited_entries=40.0, left_entries=100.0,
...     stated_pace=0.1, pace=0.02,
...     overhead=17.0, max_transit_ms=200.0, quiet_ms=0.0, is_heard=True,
... )
>>> must_wait(view), must_wait(replace(view, is_heard=False))
(True, False)
>>> later = replace(
...     view, now_ms=2_000.0, waiting_entries=8.0, awaited_entries=4.0, left_entries=136.0
... )
>>> must_wait(later)  # the channel is nearly empty
False

What has left since an order came up tells how much of its limit is over:

>>> timing = OrderTiming()
>>> timing.update(OrderClass.WITHDRAWAL, 3, limit_entries=160.0, view=view)
>>> timing.elapsed_entries(OrderClass.WITHDRAWAL, later)
40.0
>>> slack = timing.measure_slack(later)
>>> slack.by_class[OrderClass.WITHDRAWAL], slack.room_beside_withdrawals()
(72.0, 72.0)
>>> slack.is_pressing(OrderClass.WITHDRAWAL, 60.0), slack.is_pressing(OrderClass.WITHDRAWAL, 80.0)
(False, True)

Orders that are more urgent than withdrawals go with these in any case:

>>> timing.update(OrderClass.BARE_TABLE, 9, limit_entries=90.0, view=view)
>>> timing.measure_slack(later).room_beside_withdrawals(OrderClass.BARE_TABLE)
inf
"""

from dataclasses import dataclass
from enum import Enum

INFINITY = float("inf")


class OrderClass(Enum):
    """Orders whose delay a rule bounds."""

    WITHDRAWAL = "withdrawal"  # of a backend that departs
    MISSED_WITHDRAWAL = "missed_withdrawal"  # for proxies that joined late
    BARE_TABLE = "bare_table"  # an active entry for a table without one
    READMISSION = "readmission"  # no rule bounds it, but it ends the lack of entries


@dataclass(frozen=True, slots=True)
class ChannelView:
    """What is known of the channel at a decision."""

    now_ms: float
    waiting_entries: float  # at most
    awaited_entries: float  # part of them that will be confirmed once they have left
    left_entries: float  # that have left the channel since its start
    stated_pace: float  # entries per ms
    pace: float  # entries per ms, at most, by the last confirmations
    overhead: float  # of a message
    max_transit_ms: float
    quiet_ms: float  # since the last push, or a confirmation that told something new
    is_heard: bool  # whether confirmations arrive one soon after the other

    @property
    def slowdown(self) -> float:
        """Return by how many times the channel is slower than stated."""
        return self.stated_pace / max(self.pace, 1e-9)

    @property
    def round_trip_entries(self) -> float:
        """Return what leaves the channel until it is known that something has left."""
        return self.pace * self.max_transit_ms


@dataclass(slots=True)
class OrderWait:
    """Orders of one class that wait. The order of the slots is part of the capture format."""

    since_ms: float
    left_entries: float  # that had left the channel by then
    count: int
    limit_entries: float


class OrderTiming:
    """The orders that wait, by class. The order of the slots is part of the capture format."""

    __slots__ = ("_waits",)

    def __init__(self) -> None:
        self._waits: dict[OrderClass, OrderWait] = {}

    def update(
        self, order_class: OrderClass, count: int, limit_entries: float, view: ChannelView
    ) -> None:
        """Record how many orders of a class wait now; those that came last count as the first."""
        if not count:
            self._waits.pop(order_class, None)
            return
        wait = self._waits.setdefault(
            order_class, OrderWait(view.now_ms, view.left_entries, count, limit_entries)
        )
        wait.count = count

    def elapsed_entries(self, order_class: OrderClass, view: ChannelView) -> float:
        """Return how much of its limit the oldest order of a class may have waited; 0 if none."""
        wait = self._waits.get(order_class)
        if wait is None:
            return 0.0
        left_entries = view.left_entries - wait.left_entries
        # What the channel may have sent since it was last heard.
        unheard_entries = view.round_trip_entries + view.quiet_ms * view.stated_pace
        elapsed_at_stated_pace = (view.now_ms - wait.since_ms) * view.stated_pace
        return min(elapsed_at_stated_pace, left_entries + unheard_entries)

    def measure_slack(self, view: ChannelView) -> "MessageSlack":
        """Return the slack of each class that waits, if its orders go into the next message."""
        return MessageSlack(
            {order_class: self._slack_entries(order_class, view) for order_class in self._waits},
            view.overhead,
        )

    def _slack_entries(self, order_class: OrderClass, view: ChannelView) -> float:
        wait = self._waits[order_class]
        return (
            wait.limit_entries
            - self.elapsed_entries(order_class, view)
            - view.waiting_entries
            - view.overhead
            - wait.count
            - view.stated_pace * view.max_transit_ms
        )


@dataclass(frozen=True, slots=True)
class MessageSlack:
    """How many entries may go before the orders of each class, so that they are not late.

    A class whose orders may come too late has a negative slack.
    """

    by_class: dict[OrderClass, float]
    overhead: float  # of a message

    def is_pressing(self, order_class: OrderClass, message_entries: float) -> bool:
        """Return whether orders may come too late if another message goes first."""
        return self.by_class.get(order_class, INFINITY) < message_entries

    def room_beside_withdrawals(self, order_class: OrderClass | None = None) -> float:
        """Return how many entries may go in one message with withdrawals without delaying them.

        Orders of a class with less slack go whatever becomes of these. Withdrawals that are late by
        more than the overhead of a message gain little from going without orders that are urgent,
        too. Orders without a class can wait.
        """
        slack = self.by_class.get(OrderClass.WITHDRAWAL, INFINITY)
        if order_class is not None and (
            slack < -self.overhead or self.by_class.get(order_class, INFINITY) < slack
        ):
            return INFINITY
        return max(slack, 0.0)


def must_wait(view: ChannelView) -> bool:
    """Return whether all orders had better wait for what is under way.

    What is sent while less than this waits arrives as soon as it can.
    """
    return view.is_heard and view.awaited_entries > view.round_trip_entries
