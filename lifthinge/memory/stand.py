"""What a new stream of news repeats: gathered, and told as the difference from what was told before."""

from lifthinge.interface import (
    Backend,
    Event,
    Proxy,
    ProxyJoined,
    ProxyLeft,
    Slice,
    SliceLeaseChanged,
    StoredEntry,
)
from lifthinge.memory.calls import Calls
from lifthinge.memory.world import World

WEIGHT_NEAR = 1e-4, 0.001  # of a weight, and beyond: weights are told to three places


class Stand:
    """Joined proxies, slices in charge, and their lines, as a stream opens with them."""

    def __init__(self, calls: Calls) -> None:
        self._calls, self._since = (
            calls,
            calls.settled,
        )  # orders settled since may show in it, or not
        self.joined: dict[Proxy, ProxyJoined] = {}
        self.lines: dict[Slice, dict[Backend, float]] = {}

    def take(self, event: Event) -> None:
        """Takes in what stands, and what changes while it is being told."""
        if isinstance(event, ProxyJoined):
            self.joined[event.proxy] = event
        elif isinstance(event, ProxyLeft):
            self.joined.pop(event.proxy, None)
        elif isinstance(event, SliceLeaseChanged):
            self.lines.pop(event.slice, None)
            if event.is_granted:
                self.lines[event.slice] = {}
        elif isinstance(event, StoredEntry):
            self.lines.setdefault(event.slice, {})[event.backend] = event.weight

    def difference(self, world: World) -> list[Event]:
        """What vanished, what is new, and tables that differ though no order has touched them meanwhile."""
        told: list[Event] = [ProxyLeft(proxy) for proxy in world.joined if proxy not in self.joined]
        told += [
            event
            for proxy, event in self.joined.items()
            if proxy not in world.joined or event.first_time and not world.joined[proxy]
        ]
        told += [SliceLeaseChanged(one, False) for one in world.held if one not in self.lines]
        for one, lines in self.lines.items():
            touched = self._calls.touched(one, self._since)
            if one not in world.held or not touched and not _same(one.table, lines):
                told.append(SliceLeaseChanged(one, True))
                told += [StoredEntry(one, backend, weight) for backend, weight in lines.items()]
        return told


def _same(held: dict[Backend, float], stored: dict[Backend, float]) -> bool:
    return held.keys() == stored.keys() and all(
        abs(held[b] - weight) <= WEIGHT_NEAR[0] * weight + WEIGHT_NEAR[1]
        for b, weight in stored.items()
    )
