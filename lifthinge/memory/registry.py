"""Known backends, slices and proxies by id: each id stands for the same object while it is kept.

>>> registry = Registry()
>>> backend = registry.get_or_add_backend("s-a")
>>> backend.is_withdrawn = True
>>> registry.forget(backend); registry.backends
{}
>>> registry.get_or_add_backend("s-a") is backend
False
>>> registry.get_or_add_backend("s-a").is_withdrawn
True
>>> registry.get_or_add_backend("s-b").is_withdrawn
False
>>> registry.listings[registry.get_or_add_backend("s-b")] = None
>>> registry.forget(registry.get_or_add_backend("s-b")); list(registry.backends)
['s-a', 's-b']
"""

from dataclasses import dataclass, field

from lifthinge.interface import Backend, Listing, Proxy, Slice

MAX_BACKENDS = 8192  # known at a time; further ids are not accepted
# Ids kept of backends that were forgotten while withdrawn: they are still withdrawn if they return.
MAX_WITHDRAWN_IDS = 8192


@dataclass(eq=False, slots=True)
class Registry:
    """The objects behind ids, and the state last reported to the decisions."""

    backends: dict[str, Backend] = field(default_factory=dict)
    addresses: dict[Backend, tuple[str, int]] = field(default_factory=dict)
    listings: dict[Backend, Listing] = field(default_factory=dict)  # without backends that are gone
    version: int = -1  # of the fleet list; -1: none was received
    slices: dict[int, Slice] = field(default_factory=dict)
    leased_slices: dict[Slice, None] = field(default_factory=dict)  # used as a set
    proxies: dict[int, Proxy] = field(default_factory=dict)
    joined_proxies: dict[Proxy, bool] = field(default_factory=dict)  # whether for the first time
    withdrawn: dict[str, None] = field(default_factory=dict)  # used as a set; oldest first

    def get_or_add_backend(self, backend_id: str) -> Backend | None:
        """Return the backend of this id, made if it is new; None if there are too many."""
        if backend_id not in self.backends and len(self.backends) >= MAX_BACKENDS:
            return None
        if backend_id not in self.backends:
            self.backends[backend_id] = Backend(
                backend_id, backend_id, is_withdrawn=backend_id in self.withdrawn
            )
            self.withdrawn.pop(backend_id, None)
        return self.backends[backend_id]

    def forget(self, backend: Backend) -> None:
        """Drop a backend unless it is listed again; remember the id if it is withdrawn."""
        if backend in self.listings or self.backends.get(backend.backend_id) is not backend:
            return
        del self.backends[backend.backend_id]
        self.addresses.pop(backend, None)
        if backend.is_withdrawn:
            self.withdrawn[backend.backend_id] = None
        if len(self.withdrawn) > MAX_WITHDRAWN_IDS:
            del self.withdrawn[next(iter(self.withdrawn))]

    def get_or_add_slice(self, number: int) -> Slice:
        """Return the slice of this number, made if it is new."""
        return self.slices.get(number) or self.slices.setdefault(number, Slice(number))

    def get_or_add_proxy(self, number: int) -> Proxy:
        """Return the proxy of this number, made if it is new."""
        return self.proxies.get(number) or self.proxies.setdefault(number, Proxy(number))
