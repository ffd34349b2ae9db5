"""What is known of the channel to the proxies from the confirmations, and when it changes.

>>> describe_change(ChannelCondition.SILENT, late_ms=1200.0, waiting=20.5, capacity=48.0)
'channel: no confirmation for 1.2 s, 20.5 of 48.0 entries may wait; keeps room for departures'
>>> describe_change(ChannelCondition.LOSES_CONFIRMATIONS, 2300.0, 20.5, 48.0)
'channel: orders are in force that nobody confirmed for 2.3 s; counts by half of the stated pace'
>>> describe_change(ChannelCondition.LATE, 2000.0, 20.5, 48.0)
'channel: confirmations come 2.0 s late, 20.5 of 48.0 entries may wait'
>>> describe_change(ChannelCondition.CONFIRMED, 0.0, 6.0, 48.0)
'channel: confirmed again, 6.0 of 48.0 entries may wait'
>>> describe_slowdown(7.84, 20.5, 48.0)
'channel: sends 7.8 times slower than stated, 20.5 of 48.0 entries may wait'
>>> is_slow(1.7, was_slow=False), is_slow(1.7, was_slow=True), is_slow(2.5, was_slow=False)
(False, True, True)
"""

from enum import Enum

# Fraction of the stated pace, or of a proven one, at which a channel whose confirmations are lost
# or late is taken to send at least.
MIN_UNCONFIRMED_PACE_FRACTION = 0.5
# A channel counts as slow from the first of these multiples of the stated time on, and no more
# below the second one.
SLOW_CHANNEL_FACTOR = 2.0
RECOVERED_CHANNEL_FACTOR = 1.5


class ChannelCondition(Enum):
    """Whether messages are confirmed; if not, whether reports show that they are received."""

    CONFIRMED = "confirmed"
    SILENT = "silent"
    LATE = "late"
    LOSES_CONFIRMATIONS = "loses_confirmations"
    SLOW = "slow"


def is_slow(slowdown: float, was_slow: bool) -> bool:
    """Return whether a channel that takes so many times the stated time counts as slow."""
    return slowdown >= (RECOVERED_CHANNEL_FACTOR if was_slow else SLOW_CHANNEL_FACTOR)


def describe_slowdown(slowdown: float, waiting: float, capacity: float) -> str:
    """Return a text about a channel that has become slow; sizes are entries for each receiver."""
    return (
        f"channel: sends {slowdown:.1f} times slower than stated,"
        f" {waiting:.1f} of {capacity:.1f} entries may wait"
    )


def describe_change(
    condition: ChannelCondition, late_ms: float, waiting: float, capacity: float
) -> str:
    """Return a text about a new condition; sizes are entries for each receiver.

    `late_ms` is the lateness of the last confirmation, or the time since then.
    """
    room = f"{waiting:.1f} of {capacity:.1f} entries may wait"
    if condition is ChannelCondition.CONFIRMED:
        return f"channel: confirmed again, {room}"
    late_s = late_ms / 1000
    if condition is ChannelCondition.LATE:
        return f"channel: confirmations come {late_s:.1f} s late, {room}"
    if condition is ChannelCondition.SILENT:
        return f"channel: no confirmation for {late_s:.1f} s, {room}; keeps room for departures"
    return (
        f"channel: orders are in force that nobody confirmed for {late_s:.1f} s;"
        " counts by half of the stated pace"
    )
