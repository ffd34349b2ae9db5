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
from lifthinge.memory.pending_orders import PendingOrders
from lifthinge.memory.registry import Registry

WEIGHT_NEAR = 1e-4, 0.001  # of a weight, and beyond: weights are told to three places


class InitialState:
    """Joined proxies, slices in charge, and their lines, as a stream opens with them."""

    def __init__(self, pending_orders: PendingOrders) -> None:
        self._pending_orders, self._since = (
            pending_orders,
            pending_orders.settled_count,
        )  # orders settled since may show in it, or not
        self.joined_proxies: dict[Proxy, ProxyJoined] = {}
        self.lines: dict[Slice, dict[Backend, float]] = {}

    def apply(self, event: Event) -> None:
        """Takes in what stands, and what changes while it is being told."""
        if isinstance(event, ProxyJoined):
            self.joined_proxies[event.proxy] = event
        elif isinstance(event, ProxyLeft):
            self.joined_proxies.pop(event.proxy, None)
        elif isinstance(event, SliceLeaseChanged):
            self.lines.pop(event.slice, None)
            if event.is_granted:
                self.lines[event.slice] = {}
        elif isinstance(event, StoredEntry):
            self.lines.setdefault(event.slice, {})[event.backend] = event.weight

    def differences_from(self, registry: Registry) -> list[Event]:
        """What vanished, what is new, and tables that differ though no order has touched them meanwhile."""
        told: list[Event] = [
            ProxyLeft(proxy)
            for proxy in registry.joined_proxies
            if proxy not in self.joined_proxies
        ]
        told += [
            event
            for proxy, event in self.joined_proxies.items()
            if proxy not in registry.joined_proxies
            or event.first_time
            and not registry.joined_proxies[proxy]
        ]
        told += [
            SliceLeaseChanged(one, False) for one in registry.leased_slices if one not in self.lines
        ]
        for one, lines in self.lines.items():
            touched = self._pending_orders.has_orders_since(one, self._since)
            if one not in registry.leased_slices or not touched and not _same(one.table, lines):
                told.append(SliceLeaseChanged(one, True))
                told += [StoredEntry(one, backend, weight) for backend, weight in lines.items()]
        return told


def _same(held: dict[Backend, float], stored: dict[Backend, float]) -> bool:
    return held.keys() == stored.keys() and all(
        abs(held[b] - weight) <= WEIGHT_NEAR[0] * weight + WEIGHT_NEAR[1]
        for b, weight in stored.items()
    )
