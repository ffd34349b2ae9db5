"""Hand-over of slices that one backend alone serves: their writes wait for the former owner's.

The message that names a new owner also sets the level of the slice's writes to 0; where the site's
levels have no effect, the table is cleared and the new owner named at the end. The hold ends once
every joined proxy has confirmed that message, and the writes that it had sent to the former owner
until then are surely done. All times are in milliseconds.

>>> from lifthinge.interface import Proxy
>>> p, q = Proxy(1), Proxy(2)
>>> hold = WriteHold()
>>> hold.restart(7, [p, q], last_write_ms=0.0)
>>> hold.record_confirmation(6, p, 10.0); hold.record_confirmation(8, p, 100.0)
>>> hold.is_over(9000.0, max_write_ms=2000.0)
False
>>> hold.record_left(q, last_write_ms=1000.0)
>>> hold.is_over(2900.0, 2000.0), hold.is_over(3000.0, 2000.0)
(False, True)
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lifthinge.interface import Proxy

# Seal numbers start over at 1 after this one.
MAX_SEAL = 65_000
# A hand-over is certainly over in this time after its cause, unless confirmations are missing.
MAX_HANDOVER_MS = 10_000.0


@dataclass(slots=True)
class WriteHold:
    """A slice whose writes are refused, and the proxies that may still write to its former owner.

    The order of the slots is part of the capture format.
    """

    seal: int = 0  # of the last message with orders for the slice; 0 until one was sent
    unconfirmed: dict[Proxy, None] = field(default_factory=dict)  # used as an ordered set
    # When a proxy may last have sent a write to the former owner.
    last_write_ms: float = float("-inf")

    def restart(self, seal: int, proxies: Iterable[Proxy], last_write_ms: float) -> None:
        """Begin again with a message that all joined proxies have to confirm."""
        self.seal = seal
        self.unconfirmed = dict.fromkeys(proxies)
        self.last_write_ms = max(self.last_write_ms, last_write_ms)

    def record_confirmation(self, seal: int, proxy: Proxy, now_ms: float) -> None:
        """Record that a proxy has confirmed the message of the hold, or a later one."""
        is_earlier = (seal - self.seal) % MAX_SEAL >= MAX_SEAL // 2
        if self.seal and not is_earlier and proxy in self.unconfirmed:
            del self.unconfirmed[proxy]
            self.last_write_ms = max(self.last_write_ms, now_ms)

    def record_joined(self, proxy: Proxy) -> None:
        """Record that a proxy has joined that may have read an earlier table."""
        self.unconfirmed[proxy] = None

    def record_left(self, proxy: Proxy, last_write_ms: float) -> None:
        """Record that a proxy has left, and until when it may write by its last table."""
        if proxy in self.unconfirmed:
            del self.unconfirmed[proxy]
            self.last_write_ms = max(self.last_write_ms, last_write_ms)

    def is_over(self, now_ms: float, max_write_ms: float) -> bool:
        """Return whether no write is left at the former owner; one takes `max_write_ms` at most."""
        return (
            self.seal > 0 and not self.unconfirmed and now_ms >= self.last_write_ms + max_write_ms
        )
