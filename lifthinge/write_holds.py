"""Hand-over of slices that one backend alone serves: their writes wait for the former owner's.

What keeps the writes of two owners apart must outlast a restart of the controller, which voids its
levels and withdrawals. So the store names a new owner only when the former one surely has no write
left, and its table is empty before that: a hand-over that a restart interrupts begins anew.

First the level of the slice's writes is set to 0 (not where the site's levels have no effect). Then
the table is cleared, when the former owner is withdrawn, or once its writes are over. The new owner
is named once every joined proxy has confirmed that, and the writes are over that the former owner
was sent until all had confirmed the first step.

All times are in milliseconds.

>>> from lifthinge.interface import Proxy
>>> p, q = Proxy(1), Proxy(2)
>>> hold = WriteHold()
>>> hold.stop_writes(7, [p, q], last_write_ms=0.0)
>>> hold.record_confirmation(6, p, 10.0); hold.record_confirmation(8, p, 100.0)
>>> hold.are_writes_over(9000.0, max_write_ms=2000.0)
False
>>> hold.record_left(q, last_write_ms=1000.0)
>>> hold.are_writes_over(2900.0, 2000.0), hold.are_writes_over(3000.0, 2000.0)
(False, True)

The next step has to be confirmed, too, but brings no new writes:

>>> hold.await_confirmations(9, [p])
>>> hold.record_confirmation(9, p, 2600.0)
>>> hold.are_writes_over(3000.0, 2000.0), list(hold.unconfirmed)
(True, [])
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lifthinge.interface import Backend, Proxy

# Seal numbers start over at 1 after this one.
MAX_SEAL = 65_000


@dataclass(slots=True)
class WriteHold:
    """A slice whose writes are kept back, and the proxies that may still write to its former owner.

    The order of the slots is part of the capture format.
    """

    seal: int = 0  # of the last message with orders for the slice; 0 until one was sent
    # Proxies that lack a confirmation of that message; used as an ordered set.
    unconfirmed: dict[Proxy, None] = field(default_factory=dict)
    stop_seal: int = 0  # of the message that ends the writes: the first, or its repetition
    # Proxies that may still write to the former owner; used as an ordered set.
    writers: dict[Proxy, None] = field(default_factory=dict)
    # When a proxy may last have sent a write to the former owner.
    last_write_ms: float = float("-inf")
    started_at_ms: float = 0.0
    former_owner: Backend | None = None  # None: the table was empty
    is_due: bool = True  # whether the orders of its first step are still to be given
    is_ended: bool = False  # whether this decision names the new owner

    def stop_writes(self, seal: int, proxies: Iterable[Proxy], last_write_ms: float) -> None:
        """Wait for a message that ends the writes of all joined proxies.

        `last_write_ms` is when a proxy that has not joined may last send a write.
        """
        self.await_confirmations(seal, proxies)
        self.stop_seal = seal
        self.writers = dict(self.unconfirmed)
        self.last_write_ms = max(self.last_write_ms, last_write_ms)

    def await_confirmations(self, seal: int, proxies: Iterable[Proxy]) -> None:
        """Wait for a message that all joined proxies have to confirm."""
        self.seal = seal
        self.unconfirmed = dict.fromkeys(proxies)

    def record_confirmation(self, seal: int, proxy: Proxy, now_ms: float) -> None:
        """Record that a proxy has confirmed the message of the hold, or a later one."""
        is_earlier = (seal - self.seal) % MAX_SEAL >= MAX_SEAL // 2
        if not self.seal or is_earlier:
            return
        self.unconfirmed.pop(proxy, None)
        self._end_writes(proxy, now_ms)

    def record_joined(self, proxy: Proxy) -> None:
        """Record that a proxy has joined that may have read the table of before the message."""
        self.unconfirmed[proxy] = None
        if self.seal == self.stop_seal:
            self.writers[proxy] = None

    def record_left(self, proxy: Proxy, last_write_ms: float) -> None:
        """Record that a proxy has left, and until when it may write by its last table."""
        self.unconfirmed.pop(proxy, None)
        self._end_writes(proxy, last_write_ms)

    def _end_writes(self, proxy: Proxy, last_write_ms: float) -> None:
        """Record when a proxy may last have sent a write to the former owner."""
        if proxy in self.writers:
            del self.writers[proxy]
            self.last_write_ms = max(self.last_write_ms, last_write_ms)

    def are_writes_over(self, now_ms: float, max_write_ms: float) -> bool:
        """Return whether no write is left at the former owner; one takes `max_write_ms` at most."""
        return self.seal > 0 and not self.writers and now_ms >= self.last_write_ms + max_write_ms
