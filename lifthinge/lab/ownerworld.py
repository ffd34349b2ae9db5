"""Hand-over between single owners under a virtual clock: store, proxies, and controllers that die.

Proxies are taken at their worst: at every moment each may send a write wherever its table, levels
and withdrawals let it, and a backend has a write for as long as the site allows. So a breach shows
in each play in which it is possible, not only where a write happens to be under way.

Rules 1 (a table without an active entry), 2 (writes of a slice at two backends, or at a former owner)
and 3 (RPCs to departing backends) are checked. Times are floats in milliseconds.
"""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from lifthinge.interface import (
    Backend,
    ChannelState,
    ClearTable,
    DecisionFault,
    DropCall,
    Event,
    FleetNews,
    FleetNewsKind,
    Listing,
    LogDecision,
    Order,
    Phase,
    Proxy,
    ProxyJoined,
    ProxyLeft,
    RepeatCall,
    Seal,
    SealConfirmed,
    SetAdmissionLevel,
    SetEntry,
    SetTimer,
    SetWithdrawn,
    SiteSettings,
    Slice,
    SliceLeaseChanged,
    StoredEntry,
    TimerDue,
)
from lifthinge.lab.fleetworld import FleetOptions
from lifthinge.policy import Policy

TICK_MS = 20.0
# A call that brought no answer within this time has failed.
ANSWER_DEADLINE_MS = 200.0
WRITE, READ = 1, 0  # methods


class CallFate(Enum):
    """What becomes of a call to the relay."""

    ANSWERED = "answered"
    LOST = "lost"  # it was not carried out
    ANSWER_LOST = "answer lost"  # it was


@dataclass(frozen=True)
class OwnerOptions:
    """Sizes and paces of a world; the defaults are those of the wire page's example."""

    backends: int = 6
    slices: int = 4
    proxies: int = 4
    entries_per_ms: float = 6.4
    overhead_entries: float = 16.0
    transit_ms: tuple[float, float] = (50.0, 312.5)
    reading_ms: tuple[float, float] = (80.0, 500.0)  # of the store by a proxy
    max_write_ms: float = 2_020.0
    write_lease_ms: float = 800.0
    grace_ms: float = 2_100.0
    max_bare_ms: float = 2_300.0
    admission_mode: str = "ratio"
    # Until a controller that starts is told of slices and proxies.
    informed_after_ms: float = 200.0
    # Whether proxies drop levels and withdrawals when a slice is given, or when they have read it.
    voids_at_once: bool = False

    def site_settings(self) -> SiteSettings:
        """Return the settings as the decisions are told them."""
        usual = FleetOptions(
            proxies=self.proxies,
            entries_per_s=self.entries_per_ms * 1000,
            overhead_entries=self.overhead_entries,
            grace_ms=self.grace_ms,
            blackhole_ms=self.max_bare_ms,
        ).site_settings()
        return replace(
            usual,
            has_single_owner=True,
            admission_mode=self.admission_mode,
            max_transit_ms=self.transit_ms[1],
            max_write_ms=self.max_write_ms,
            write_lease_ms=self.write_lease_ms,
        )


@dataclass(frozen=True)
class OwnerEntry:
    """The entry of a table, and how often the store had named an owner of the slice by then."""

    name: str
    epoch: int


Tables = dict[int, OwnerEntry | None]


@dataclass(eq=False)
class OwnerProxy:
    """A proxy, and what it holds of the controller's orders."""

    number: int
    is_joined: bool = False
    joined_at_ms: float = 0.0
    stream: int = 0  # messages and readings of an earlier one are lost
    tables: Tables = field(default_factory=dict)
    levels: dict[tuple[int, int], float] = field(default_factory=dict)  # by slice and method
    withdrawn: set[str] = field(default_factory=set)
    # Since when it goes on without orders: its stream was lost, or the slices were given anew.
    stale_since_ms: float | None = None
    unconfirmed_seals: list[int] = field(default_factory=list)  # until it has read the store
    last_arrival_ms: float = 0.0  # of the messages that have been sent
    bare_since_ms: dict[int, float] = field(default_factory=dict)
    # Since when reads that are admitted find no entry.
    lost_since_ms: dict[int, float] = field(default_factory=dict)


class OwnerWorld:
    """Store, proxies and one controller at a time."""

    def __init__(self, options: OwnerOptions, seed: int) -> None:
        """List all backends as ready, give each slice an owner, and start a controller."""
        self.options = options
        self.random = Random(seed)
        self.now_ms = 0.0
        self.breaches: list[str] = []
        self.decided: list[str] = []
        self.longest_bare_ms = 0.0  # of a table of a joined proxy, whatever its levels
        self.phases = {f"s-{n}": Phase.READY for n in range(options.backends)}
        # When the present controller was told that a backend departs.
        self.told_at_ms: dict[str, float] = {}
        self.given_at_ms = 0.0  # when it was last given slices
        names = list(self.phases)
        self.store: Tables = {n: OwnerEntry(names[n % 2], 0) for n in range(options.slices)}
        self.epochs = dict.fromkeys(self.store, 0)
        self.store_levels: dict[tuple[int, int], float] = {}
        self.withdrawn: set[str] = set()
        self.proxies = [OwnerProxy(n, tables=dict(self.store)) for n in range(options.proxies)]
        # Slice -> owner -> until when it may have a write.
        self.writes: dict[int, dict[str, float]] = {n: {} for n in self.store}
        self.latest_written: dict[int, OwnerEntry] = {}  # the latest owner that had a write
        self.policy: Policy | None = None
        self.life = 0
        self.channel_state = ChannelState(True)
        self.next_call = CallFate.ANSWERED
        self.lost_orders: list[Order] = []
        self.channel_free_at_ms = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.start()
        self.schedule(TICK_MS, self._tick)

    # The clock

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        heapq.heappush(self._queue, (at_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Play on until a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at_ms)
            action()
        self.now_ms = until_ms

    # What happens

    def start(self, listed_phases: dict[str, Phase] | None = None) -> None:
        """Start a controller and give it all slices; its list may be an older one."""
        self.life += 1
        self.policy = Policy(self.options.site_settings(), self.random.getrandbits(32))
        self.backends = {name: Backend(name, name) for name in self.phases}
        self.slices = {n: Slice(n) for n in self.store}
        self.known_proxies = [Proxy(n) for n in range(len(self.proxies))]
        self.withdrawn = set()
        self.store_levels = {}
        self.channel_free_at_ms = self.now_ms
        self.channel_state = ChannelState(True)
        phases = listed_phases or self.phases
        listings = [self._listing(name, phases[name]) for name in self.phases]
        for proxy in self.proxies:
            self._open_stream(proxy)
        self.told_at_ms = {}
        self._note_told(phases)
        self._decide([FleetNews(FleetNewsKind.FULL, listings)])
        self.schedule(self.now_ms + self.options.informed_after_ms, self._inform_later(self.life))

    def _inform_later(self, life: int) -> Callable[[], None]:
        """Return what tells a started controller of slices and proxies."""

        def inform() -> None:
            if self.life == life:
                joined = [p for p in self.proxies if p.is_joined]
                events = [ProxyJoined(self.known_proxies[p.number], False) for p in joined]
                self._decide([*events, *self._grant(self.store)])

        return inform

    def _note_told(self, phases: dict[str, Phase]) -> None:
        """Note what the controller is told of departing backends."""
        for name, phase in phases.items():
            if phase is Phase.READY:
                self.told_at_ms.pop(name, None)
            else:
                self.told_at_ms.setdefault(name, self.now_ms)

    def kill(self) -> None:
        """End the controller: its messages under way and its withdrawals are lost."""
        self.policy = None
        self.life += 1
        for proxy in self.proxies:
            self._close_stream(proxy)

    def regrant(self) -> None:
        """Take all slices from the controller, and give them to it again."""
        events: list[Event] = [SliceLeaseChanged(s, False) for s in self.slices.values()]
        self.store_levels = {}
        for proxy in self.proxies:
            self._read_store(proxy)
        self._decide([*events, *self._grant(self.store)])

    def leave(self, number: int) -> None:
        """Break a proxy's stream."""
        self._close_stream(self.proxies[number])
        self._decide([ProxyLeft(self.known_proxies[number])])

    def join(self, number: int) -> None:
        """Open a proxy's stream."""
        if self.policy is not None:
            self._open_stream(self.proxies[number])
            self._decide([ProxyJoined(self.known_proxies[number], False)])

    def set_phase(self, names: Iterable[str], phase: Phase) -> None:
        """Change the phase of backends, and tell the controller."""
        names = list(names)
        self.phases.update(dict.fromkeys(names, phase))
        self.tell_list(names)

    def tell_list(self, names: Iterable[str]) -> None:
        """Tell the controller of the present phases of backends."""
        if self.policy is None:
            return
        self._note_told({name: self.phases[name] for name in names})
        listings = [self._listing(name, self.phases[name]) for name in names]
        self._decide([FleetNews(FleetNewsKind.DELTA, listings)])

    def _listing(self, name: str, phase: Phase) -> Listing:
        return Listing(self.backends[name], 0, 0, phase, 0.0, 1.0)

    def _grant(self, numbers: Iterable[int]) -> list[Event]:
        events: list[Event] = []
        self.given_at_ms = self.now_ms
        for number in numbers:
            events.append(SliceLeaseChanged(self.slices[number], True))
            entry = self.store[number]
            if entry is not None:
                events.append(StoredEntry(self.slices[number], self.backends[entry.name], 1.0))
        return events

    # Proxies

    def _open_stream(self, proxy: OwnerProxy) -> None:
        proxy.is_joined = True
        proxy.joined_at_ms = self.now_ms
        proxy.stream += 1
        self._read_store(proxy)

    def _close_stream(self, proxy: OwnerProxy) -> None:
        proxy.is_joined = False
        proxy.stream += 1
        proxy.unconfirmed_seals = []
        proxy.bare_since_ms = {}
        proxy.lost_since_ms = {}
        if proxy.stale_since_ms is None:
            proxy.stale_since_ms = self.now_ms

    def _read_store(self, proxy: OwnerProxy) -> None:
        """Let a proxy read the store: it holds what stands there when the reading ends."""
        stream = proxy.stream
        proxy.stale_since_ms = self.now_ms if proxy.stale_since_ms is None else proxy.stale_since_ms
        if self.options.voids_at_once:
            proxy.levels, proxy.withdrawn = {}, set()

        def read() -> None:
            if proxy.stream != stream:
                return
            proxy.stale_since_ms = None
            proxy.tables = dict(self.store)
            proxy.levels = dict(self.store_levels)
            proxy.withdrawn = set(self.withdrawn)
            for seal in proxy.unconfirmed_seals:
                self._confirm(proxy, seal)
            proxy.unconfirmed_seals = []

        self.schedule(self.now_ms + self.random.uniform(*self.options.reading_ms), read)

    def _confirm(self, proxy: OwnerProxy, seal: int) -> None:
        stream, life = proxy.stream, self.life

        def arrive() -> None:
            if (proxy.stream, self.life) == (stream, life):
                self._decide([SealConfirmed(self.known_proxies[proxy.number], seal, 100.0)])

        self.schedule(self.now_ms + self.random.uniform(*self.options.transit_ms), arrive)

    # The controller

    def _decide(self, events: list[Event]) -> None:
        if self.policy is None:
            return
        orders = self.policy.decide(self.now_ms, [self.channel_state, *events])
        for order in orders:
            if isinstance(order, DecisionFault):
                raise RuntimeError(order.trace)
            if isinstance(order, (DropCall, RepeatCall)):
                self.channel_state = ChannelState(True)
            if isinstance(order, RepeatCall):
                self._carry_out(self.lost_orders)
            if isinstance(order, LogDecision):
                self.decided.append(f"{self.now_ms:.0f} {order.text}")
            elif isinstance(order, SetTimer):
                self._wake_later(order)
        if any(isinstance(order, Seal) for order in orders):
            self._call(orders)

    def _wake_later(self, order: SetTimer) -> None:
        life = self.life

        def due() -> None:
            if self.life == life:
                self._decide([TimerDue(order.handle)])

        self.schedule(self.now_ms + order.delay_ms, due)

    def _call(self, orders: list[Order]) -> None:
        """Send a call to the relay, which may not get it, or whose answer may be lost."""
        fate, self.next_call = self.next_call, CallFate.ANSWERED
        if fate is not CallFate.LOST:
            self._carry_out(orders)
        if fate is CallFate.ANSWERED:
            return
        self.lost_orders = orders
        self.channel_state = ChannelState(False)
        life = self.life
        seal = max(order.number for order in orders if isinstance(order, Seal))

        def fail() -> None:
            if self.life == life:
                self.channel_state = ChannelState(False, seal)
                self._decide([])

        self.schedule(self.now_ms + ANSWER_DEADLINE_MS, fail)

    def _carry_out(self, orders: list[Order]) -> None:
        """Carry out a call: the store changes at once, the proxies get a message each in turn."""
        for order in orders:
            if isinstance(order, SetEntry):
                self.epochs[order.slice.number] += 1
        epochs = dict(self.epochs)
        apply_orders(orders, epochs, self.store, self.store_levels, self.withdrawn)
        entries = len(orders) + self.options.overhead_entries
        self.channel_free_at_ms = max(self.channel_free_at_ms, self.now_ms)
        for proxy in self.proxies:
            if proxy.is_joined:
                self.channel_free_at_ms += entries / self.options.entries_per_ms
                self._deliver_later(proxy, orders, epochs)

    def _deliver_later(
        self, proxy: OwnerProxy, orders: list[Order], epochs: dict[int, int]
    ) -> None:
        stream = proxy.stream

        def deliver() -> None:
            if proxy.stream != stream:
                return
            apply_orders(orders, epochs, proxy.tables, proxy.levels, proxy.withdrawn)
            for order in orders:
                if isinstance(order, Seal) and proxy.stale_since_ms is not None:
                    proxy.unconfirmed_seals.append(order.number)
                elif isinstance(order, Seal):
                    self._confirm(proxy, order.number)

        transit_ms = self.random.uniform(*self.options.transit_ms)
        # Messages reach a proxy in their order.
        proxy.last_arrival_ms = max(proxy.last_arrival_ms, self.channel_free_at_ms + transit_ms)
        self.schedule(proxy.last_arrival_ms, deliver)

    # Checks

    def _tick(self) -> None:
        for proxy in self.proxies:
            for number, entry in proxy.tables.items():
                if entry is not None and entry.name not in proxy.withdrawn:
                    self._check_write(proxy, number, entry)
                    self._check_departing(proxy, number, entry.name)
                    proxy.bare_since_ms.pop(number, None)
                    proxy.lost_since_ms.pop(number, None)
                else:
                    self._check_bare(proxy, number)
        self.schedule(self.now_ms + TICK_MS, self._tick)

    def _admits(self, proxy: OwnerProxy, number: int, method: int) -> bool:
        acts = self.options.admission_mode != "silent"
        return not acts or proxy.levels.get((number, method), 1.0) > 0

    def _check_write(self, proxy: OwnerProxy, number: int, entry: OwnerEntry) -> None:
        """Check rule 2: let a write go wherever the proxy may send one."""
        options = self.options
        if not self._admits(proxy, number, WRITE):
            return
        stale_since_ms = proxy.stale_since_ms
        if stale_since_ms is not None and self.now_ms > stale_since_ms + options.write_lease_ms:
            return
        name, writes = entry.name, self.writes[number]
        for other, until_ms in writes.items():
            if other != name and until_ms > self.now_ms:
                left_ms = until_ms - self.now_ms
                self._record(f"2: slice {number} at {name} while {other} has one, {left_ms:.0f} ms")
        latest = self.latest_written.setdefault(number, entry)
        if entry.epoch < latest.epoch and name != latest.name:
            self._record(f"2: slice {number} at {name} after {latest.name}")
        elif entry.epoch > latest.epoch:
            self.latest_written[number] = entry
        writes[name] = self.now_ms + options.max_write_ms

    def _check_departing(self, proxy: OwnerProxy, number: int, name: str) -> None:
        """Check rule 3."""
        told_at_ms = self.told_at_ms.get(name)
        if not proxy.is_joined or told_at_ms is None or not self._admits(proxy, number, READ):
            return
        since_ms = max(told_at_ms, proxy.joined_at_ms, self.given_at_ms)
        if self.now_ms > since_ms + self.options.grace_ms:
            self._record(f"3: slice {number} at {name} by proxy {proxy.number}")

    def _check_bare(self, proxy: OwnerProxy, number: int) -> None:
        """Check rule 1; refusals under a level of 0 do not break it."""
        if not proxy.is_joined:
            return
        since_ms = proxy.bare_since_ms.setdefault(number, self.now_ms)
        self.longest_bare_ms = max(self.longest_bare_ms, self.now_ms - since_ms)
        if not self._admits(proxy, number, READ):
            proxy.lost_since_ms.pop(number, None)
            return
        lost_since_ms = proxy.lost_since_ms.setdefault(number, self.now_ms)
        if self.now_ms - lost_since_ms > self.options.max_bare_ms:
            self._record(f"1: slice {number} at proxy {proxy.number}")

    def _record(self, text: str) -> None:
        self.breaches.append(f"at {self.now_ms:.0f} ms rule {text}")


def apply_orders(
    orders: Iterable[Order],
    epochs: dict[int, int],
    tables: Tables,
    levels: dict[tuple[int, int], float],
    withdrawn: set[str],
) -> None:
    """Set tables with one entry each, levels and withdrawals as orders say."""
    for order in orders:
        if isinstance(order, SetEntry):
            number = order.slice.number
            tables[number] = OwnerEntry(order.backend.name, epochs[number])
        elif isinstance(order, ClearTable):
            tables[order.slice.number] = None
            for method in (READ, WRITE):
                levels.pop((order.slice.number, method), None)
        elif isinstance(order, SetWithdrawn):
            (withdrawn.add if order.is_withdrawn else withdrawn.discard)(order.backend.name)
        elif isinstance(order, SetAdmissionLevel) and order.slice is not None:
            for method in order.methods:
                levels[order.slice.number, method] = order.level
