"""Room of the channel to the proxies: how many table entries a decision may send, and for what.

All quantities are table entries for each receiver of a message. A message costs its entries and a
fixed overhead, which is counted in entries, too.

>>> budget = ChannelBudget(
...     capacity=64.0, overhead=17.0, batch_entries=20.0, waiting_entries=0.0, has_pushes_left=True
... )
>>> round(budget.usable_capacity, 1), round(budget.room, 1)
(40.6, 40.6)
>>> budget.urgent_reserve, budget.withdrawal_reserve, budget.batch_reserve
(20.3, 10.15, 3.0)
>>> round(budget.min_room(99, budget.withdrawal_reserve), 3), budget.min_room(2, 20.3)
(15.225, 2)
>>> round(budget.min_deferrable_room(99, 30.0), 2), budget.min_deferrable_room(99, 20.3)
(9.54, 17.0)
>>> long = ChannelBudget(400.0, 17.0, 25.0, 0.0, True, grace_entries=64.0, bare_entries=100.0)
>>> round(long.room - long.urgent_reserve, 1), round(long.room - long.withdrawal_reserve, 1)
(15.6, 54.8)
>>> silent = ChannelBudget(64.0, 17.0, 25.0, 0.0, has_pushes_left=True, is_silent=True)
>>> silent.urgent_reserve, silent.withdrawal_reserve, silent.batch_reserve
(25.0, 25.0, 25.0)
"""

from dataclasses import dataclass, field

from lifthinge.order_timing import MessageSlack, OrderClass

# Fraction of the channel's queue that is ever used.
USABLE_CHANNEL_FRACTION = 0.9
# Fraction of the queue that is kept free of orders that can wait.
URGENT_RESERVE_FRACTION = 0.5
# Fraction of the queue that is kept for withdrawals, and free of entries for tables that lack an
# active entry and for readmissions.
WITHDRAWAL_RESERVE_FRACTION = 0.25
# A small channel keeps at most this fraction of its usable queue free of entries that can wait.
MAX_URGENT_RESERVE_FRACTION = 0.75
# Orders that can wait are pushed from this fraction of the room that they can ever have. Smaller
# pushes would spend most of a small channel on their overhead.
MIN_DEFERRABLE_ROOM_FRACTION = 0.9
# Orders that can wait use at least this multiple of a message's overhead.
MIN_TIMELY_OVERHEADS = 2.5

INFINITY = float("inf")


@dataclass(slots=True)
class ChannelBudget:
    """The room that is left for the orders of one decision, and the reserves in it.

    A queue may hold more than the channel sends within the limits of the rules. Then withdrawals
    may use all of it, and other orders only what leaves it in time, so that no withdrawal waits
    behind them for too long.

    The urgent reserve has room for a further message that withdraws as many backends as may be
    suspect at once, `batch_entries` with its overhead. A small channel keeps back less.
    """

    capacity: float  # of the queue
    overhead: float  # of a message
    batch_entries: float
    waiting_entries: float  # in the queue
    has_pushes_left: bool  # whether the site allows another message now
    # Entries that the channel sends, at its stated pace, in the time within which a withdrawal has
    # to be in force, and in that for which a table may lack an active entry.
    grace_entries: float = INFINITY
    bare_entries: float = INFINITY
    # Whether confirmations are overdue: then all but withdrawals leave room for a batch of them.
    is_silent: bool = False
    # What waits beside `waiting_entries` if the channel stands still: orders that can wait leave
    # room for it, too.
    stalled_entries: float = 0.0
    slack: MessageSlack = field(default_factory=lambda: MessageSlack({}, 0.0))
    withdrawal_count: int = 0  # orders in the message that withdraw backends which depart
    usable_capacity: float = field(init=False)  # beside the overhead of a message
    room: float = field(init=False)
    urgent_reserve: float = field(init=False)  # kept free of orders that can wait
    withdrawal_reserve: float = field(init=False)  # kept free of all orders but withdrawals
    batch_reserve: float = field(init=False)  # the entries of a batch, without its overhead

    def __post_init__(self) -> None:
        self.usable_capacity = self._usable_part(self.capacity)
        self.room = (self.usable_capacity - self.waiting_entries) * self.has_pushes_left
        timely_capacity = self._timely_capacity(self.grace_entries)
        usable = self._usable_part(timely_capacity)
        untimely = self.usable_capacity - usable
        self.urgent_reserve = untimely + max(
            min(timely_capacity * URGENT_RESERVE_FRACTION, usable / 2),
            min(self.batch_entries, usable * MAX_URGENT_RESERVE_FRACTION),
        )
        self.batch_reserve = untimely + min(self.batch_entries - self.overhead, usable / 2)
        timely_capacity = self._timely_capacity(self.bare_entries)
        usable = self._usable_part(timely_capacity)
        self.withdrawal_reserve = (
            self.usable_capacity
            - usable
            + min(timely_capacity * WITHDRAWAL_RESERVE_FRACTION, usable / 4)
        )
        if self.is_silent:
            self.urgent_reserve = max(self.urgent_reserve, self.batch_entries)
            self.withdrawal_reserve = max(self.withdrawal_reserve, self.batch_entries)
            self.batch_reserve = max(self.batch_reserve, self.batch_entries)

        self.urgent_reserve += self.stalled_entries

    def is_pressing(self, order_class: OrderClass) -> bool:
        """Return whether orders may come too late if another message of a usual size goes first."""
        return self.slack.is_pressing(order_class, self.usable_capacity / 2)

    def room_beside(
        self, reserve: float, order_count: int, order_class: OrderClass | None = None
    ) -> float:
        """Return the room for orders of a class, beside a reserve and what withdrawals bear.

        The message holds `order_count` orders already.
        """
        other_count = order_count - self.withdrawal_count
        bearable = self.slack.room_beside_withdrawals(order_class) - other_count
        return min(self.room - reserve, bearable)

    def _usable_part(self, capacity: float) -> float:
        """Return what is used of a capacity, beside the overhead of a message."""
        return capacity * USABLE_CHANNEL_FRACTION - self.overhead

    def _timely_capacity(self, timely_entries: float) -> float:
        """Return the part of the queue that leaves in time for a rule's limit.

        A channel that is slower than that still gets messages that are worth their overhead.
        """
        return min(self.capacity, max(timely_entries, MIN_TIMELY_OVERHEADS * self.overhead))

    def min_room(self, entries: int, reserve: float) -> float:
        """Return the room beside a reserve from which on a push is worth its overhead."""
        return min(entries, self.overhead, (self.usable_capacity - reserve) / 2)

    def min_deferrable_room(self, entries: int, reserve: float) -> float:
        """Return the room beside a reserve from which on orders that can wait are pushed."""
        usable_room = (self.usable_capacity - reserve) * MIN_DEFERRABLE_ROOM_FRACTION
        return min(entries, self.overhead, usable_room)
