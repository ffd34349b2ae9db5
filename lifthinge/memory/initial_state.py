"""The state that a watch stream of the relay opens with, and its differences from the registry."""

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

# The relay reports weights to three decimal places: weights count as equal if they differ by at
# most this fraction of the stored weight plus this constant.
MAX_WEIGHT_DIFFERENCE_FRACTION = 1e-4
MAX_WEIGHT_DIFFERENCE = 0.001


class InitialState:
    """Joined proxies, leased slices and their tables, as a watch stream reports them first."""

    def __init__(self, pending_orders: PendingOrders) -> None:
        self._pending_orders = pending_orders
        # The reported tables may or may not contain the orders settled after this count.
        self._settled_count_at_start = pending_orders.settled_count
        self.joined_proxies: dict[Proxy, ProxyJoined] = {}
        self.tables: dict[Slice, dict[Backend, float]] = {}

    def apply(self, event: Event) -> None:
        """Add an event of the stream: reported state, or a change made while it is reported."""
        if isinstance(event, ProxyJoined):
            self.joined_proxies[event.proxy] = event
        elif isinstance(event, ProxyLeft):
            self.joined_proxies.pop(event.proxy, None)
        elif isinstance(event, SliceLeaseChanged):
            self.tables.pop(event.slice, None)
            if event.is_granted:
                self.tables[event.slice] = {}
        elif isinstance(event, StoredEntry):
            self.tables.setdefault(event.slice, {})[event.backend] = event.weight

    def differences_from(self, registry: Registry) -> list[Event]:
        """Return the events that bring the registry to this state.

        These are for proxies that left or joined, and for slices that were lost or granted. A
        slice whose table differs counts as granted again, unless orders for it are pending or were
        settled since the stream was opened: these may explain the difference.
        """
        events: list[Event] = [
            ProxyLeft(proxy)
            for proxy in registry.joined_proxies
            if proxy not in self.joined_proxies
        ]
        events += [
            event
            for proxy, event in self.joined_proxies.items()
            if proxy not in registry.joined_proxies
            or event.first_time
            and not registry.joined_proxies[proxy]
        ]
        events += [
            SliceLeaseChanged(slice_, False)
            for slice_ in registry.leased_slices
            if slice_ not in self.tables
        ]
        for slice_, table in self.tables.items():
            has_orders = self._pending_orders.has_orders_since(slice_, self._settled_count_at_start)
            if (
                slice_ not in registry.leased_slices
                or not has_orders
                and not _tables_match(slice_.table, table)
            ):
                events.append(SliceLeaseChanged(slice_, True))
                events += [
                    StoredEntry(slice_, backend, weight) for backend, weight in table.items()
                ]
        return events


def _tables_match(known: dict[Backend, float], stored: dict[Backend, float]) -> bool:
    """Return whether both tables have the same backends with equal weights."""
    return known.keys() == stored.keys() and all(
        abs(known[backend] - weight)
        <= MAX_WEIGHT_DIFFERENCE_FRACTION * weight + MAX_WEIGHT_DIFFERENCE
        for backend, weight in stored.items()
    )
