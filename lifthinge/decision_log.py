"""Texts that explain decisions on withdrawals, and what keeps backends and tables out of use."""

from collections.abc import Sequence
from enum import Enum

from lifthinge.channel_budget import ChannelBudget
from lifthinge.interface import Backend
from lifthinge.order_timing import MessageSlack

# A line names this many backends at most.
MAX_NAMES = 8


class HoldChange(Enum):
    """What a message does in a hand-over between single owners, in the order of its steps."""

    KEPT = "writes are refused, reads go on"
    CLEARED = "the table is cleared"
    ENDED = "the new owner is named"


def describe_hold(
    change: HoldChange, slices: Sequence[int], former: Backend | None, owner: Backend | None
) -> str:
    """Return the slices of a step of a hand-over, whose they were and who is to own them.

    >>> describe_hold(HoldChange.CLEARED, [4, 7], Backend("a", "s-a"), Backend("b", "s-b"))
    'hold of slices 4, 7 from s-a to s-b: the table is cleared'
    >>> describe_hold(HoldChange.ENDED, [4], None, Backend("b", "s-b"))
    'hold of slices 4 from nobody to s-b: the new owner is named'
    """
    numbers = describe_names([str(number) for number in slices])
    names = [backend.name if backend else "nobody" for backend in (former, owner)]
    return f"hold of slices {numbers} from {names[0]} to {names[1]}: {change.value}"


def describe_names(names: Sequence[str]) -> str:
    """Return names in a row, the last ones as a number if they are many.

    >>> describe_names(["a", "b"]), describe_names([str(n) for n in range(10)])
    ('a, b', '0, 1, 2, 3, 4, 5, 6, 7 and 2 more')
    """
    text = ", ".join(names[:MAX_NAMES])
    return f"{text} and {len(names) - MAX_NAMES} more" if len(names) > MAX_NAMES else text


def describe_shortage(
    withdrawn_names: Sequence[str], bare_count: int, pending_count: int, budget: ChannelBudget
) -> str:
    """Return what waits for room: ready backends that are withdrawn, bare tables, other orders.

    >>> budget = ChannelBudget(
    ...     capacity=48.0, overhead=17.0, batch_entries=23.0, waiting_entries=20.5,
    ...     has_pushes_left=True,
    ... )
    >>> describe_shortage(["a"], 2, 5, budget)
    'short: 1 ready withdrawn (a), 2 tables bare, 5 orders pending, 20.5 of 48.0 entries wait'
    """
    names = f" ({describe_names(withdrawn_names)})" if withdrawn_names else ""
    return (
        f"short: {len(withdrawn_names)} ready withdrawn{names}, {bare_count} tables bare,"
        f" {pending_count} orders pending, {budget.waiting_entries:.1f} of {budget.capacity:.1f}"
        " entries wait"
    )


def describe_lateness(slack: MessageSlack, slowdown: float) -> str:
    """Return which orders may come too late for their rule, and by how much; empty if none.

    `slowdown` is by how many times the channel is slower than stated.

    >>> from lifthinge.order_timing import OrderClass
    >>> slack = MessageSlack({OrderClass.BARE_TABLE: -12.0, OrderClass.WITHDRAWAL: 3.0}, 17.0)
    >>> describe_lateness(slack, 8.0)
    'late: bare_table by 12.0 entries; the channel is 8.0 times slower than stated'
    >>> describe_lateness(MessageSlack({OrderClass.WITHDRAWAL: 3.0}, 17.0), 8.0)
    ''
    """
    late = [
        f"{order_class.value} by {-entries:.1f} entries"
        for order_class, entries in slack.by_class.items()
        if entries < 0
    ]
    if not late:
        return ""
    return f"late: {', '.join(late)}; the channel is {slowdown:.1f} times slower than stated"
