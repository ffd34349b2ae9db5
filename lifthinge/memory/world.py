"""The world by its ids: backends, slices and proxies, each one object for good."""
from dataclasses import dataclass, field
from typing import Optional

from lifthinge.interface import Backend, Listing, Proxy, Slice

BACKENDS_MOST = 8192    # ever known; further ones are strangers


@dataclass(eq=False, slots=True)
class World:
    """What ids mean here, and what stands as last told to the decisions."""
    backends: dict[str, Backend] = field(default_factory=dict)
    addresses: dict[Backend, tuple[str, int]] = field(default_factory=dict)
    listed: dict[Backend, Listing] = field(default_factory=dict)   # not gone
    version: int = -1
    slices: dict[int, Slice] = field(default_factory=dict)
    held: dict[Slice, None] = field(default_factory=dict)          # in this controller's charge
    proxies: dict[int, Proxy] = field(default_factory=dict)
    joined: dict[Proxy, bool] = field(default_factory=dict)        # whether each came fresh

    def backend(self, name: str) -> Optional[Backend]:
        """The backend of this id; None if it is new and there is no room."""
        if name not in self.backends and len(self.backends) >= BACKENDS_MOST:
            return None
        return self.backends.get(name) or self.backends.setdefault(name, Backend(name, name))

    def slice(self, number: int) -> Slice:
        return self.slices.get(number) or self.slices.setdefault(number, Slice(number))

    def proxy(self, number: int) -> Proxy:
        return self.proxies.get(number) or self.proxies.setdefault(number, Proxy(number))
