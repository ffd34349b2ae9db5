"""The world by its ids: backends, slices and proxies, each one object for as long as anything names it.

>>> registry = Registry()
>>> one = registry.get_or_add_backend("s-a"); one.is_withdrawn = True; registry.forget(one); registry.backends
{}
>>> registry.get_or_add_backend("s-a") is one, registry.get_or_add_backend("s-a").is_withdrawn, registry.get_or_add_backend("s-b").is_withdrawn
(False, True, False)
>>> registry.listings[registry.get_or_add_backend("s-b")] = None; registry.forget(registry.get_or_add_backend("s-b")); list(registry.backends)
['s-a', 's-b']
"""

from dataclasses import dataclass, field

from lifthinge.interface import Backend, Listing, Proxy, Slice

BACKENDS_MOST = 8192  # known at a time; further ones are strangers
WITHDRAWN_MOST = (
    8192  # ids kept of those forgotten while withdrawn: they still are, should they come back
)


@dataclass(eq=False, slots=True)
class Registry:
    """What ids mean here, and what stands as last told to the decisions."""

    backends: dict[str, Backend] = field(default_factory=dict)
    addresses: dict[Backend, tuple[str, int]] = field(default_factory=dict)
    listings: dict[Backend, Listing] = field(default_factory=dict)  # not gone
    version: int = -1
    slices: dict[int, Slice] = field(default_factory=dict)
    leased_slices: dict[Slice, None] = field(default_factory=dict)  # in this controller's charge
    proxies: dict[int, Proxy] = field(default_factory=dict)
    joined_proxies: dict[Proxy, bool] = field(default_factory=dict)  # whether each came fresh
    withdrawn: dict[str, None] = field(default_factory=dict)  # ids forgotten, oldest first

    def get_or_add_backend(self, name: str) -> Backend | None:
        """The backend of this id; None if it is new and there is no room."""
        if name not in self.backends and len(self.backends) >= BACKENDS_MOST:
            return None
        if name not in self.backends:
            self.backends[name] = Backend(name, name, is_withdrawn=name in self.withdrawn)
            self.withdrawn.pop(name, None)
        return self.backends[name]

    def forget(self, backend: Backend) -> None:
        """Keeps nothing of a backend but that it is withdrawn, unless it has been listed meanwhile."""
        if backend in self.listings or self.backends.get(backend.backend_id) is not backend:
            return
        del self.backends[backend.backend_id]
        self.addresses.pop(backend, None)
        if backend.is_withdrawn:
            self.withdrawn[backend.backend_id] = None
        if len(self.withdrawn) > WITHDRAWN_MOST:
            del self.withdrawn[next(iter(self.withdrawn))]

    def get_or_add_slice(self, number: int) -> Slice:
        return self.slices.get(number) or self.slices.setdefault(number, Slice(number))

    def get_or_add_proxy(self, number: int) -> Proxy:
        return self.proxies.get(number) or self.proxies.setdefault(number, Proxy(number))
