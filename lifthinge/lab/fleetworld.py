"""Controllers' decisions against a simulated fleet: channels, proxies, load and cold backends.

Everything runs under a virtual clock and from one seed. RPCs are a flow: each joined proxy sends its
rate, spread over the slices by their heat and over a table's active entries by weight. What a
backend can't bear it pushes back, and the proxy tries another entry of the table once. A backend
that starts is cold: its capacity rises evenly over the warm-up. Times are floats in milliseconds,
rates are RPCs per ms, channel sizes are table entries.

Rules 1 (a table without an active entry), 3 (RPCs to departing backends), 4 (overload of a cold
backend) and 5 (entries that wait in a channel) are checked all the time, with the limits of
`FleetOptions`. What breaks one is kept in `FleetWorld.violations`.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from lifthinge.interface import (
    AttemptReport,
    Backend,
    ClearTable,
    DecisionFault,
    Event,
    FleetNews,
    FleetNewsKind,
    Listing,
    LogDecision,
    Method,
    Order,
    Phase,
    Proxy,
    ProxyJoined,
    ProxyLeft,
    Seal,
    SealConfirmed,
    SetEntry,
    SetTimer,
    SetWithdrawn,
    SiteSettings,
    Slice,
    SliceHeatReport,
    SliceLeaseChanged,
    StoredEntry,
    TimerDue,
)
from lifthinge.lab.channel_faults import ChannelFaults
from lifthinge.policy import Policy

TICK_MS = 100.0
# Events that fall due within this time reach a controller in one batch.
BATCH_MS = 25.0
MIN_TRANSIT_MS = 50.0
MAX_TRANSIT_MS = 200.0
# Time until a proxy that has joined, or whose slice was granted anew, has read the store.
STORE_READ_MS = 200.0
# Sockets add this to the limits of rules 1, 3 and 4.
LIMIT_SLACK_MS = 300.0
# Mean latency of an idle backend.
IDLE_LATENCY_MS = 120.0
# Latency stops to rise at this multiple of the idle one.
MAX_LATENCY_FACTOR = 12.0
ZONES = 3


class Rule(Enum):
    """The rules that a world checks."""

    LOST = 1
    DRAIN = 3
    FAILBACK = 4
    QUEUE = 5


@dataclass(frozen=True)
class Violation:
    """One breach of a rule."""

    rule: Rule
    at_ms: float
    subject: str


@dataclass(frozen=True)
class FleetOptions:
    """Sizes and paces of a world. The defaults are those of the wire page's example."""

    backends: int = 30
    slices: int = 64
    proxies: int = 200
    controllers: int = 1
    entries_per_s: float = 6_400.0  # of each controller's channel
    queue_s: float = 1.5  # what may wait in a channel, at its usual pace
    overhead_entries: float = 16.0
    report_interval_ms: float = 500.0
    warm_up_ms: float = 16_000.0
    cold_fraction: float = 0.16  # of its capacity, right after a start
    utilization: float = 0.4  # of the whole fleet when nothing is wrong
    grace_ms: float = 1_500.0  # rule 3
    blackhole_ms: float = 2_300.0  # rule 1
    fall_multiple: float = 3.0  # rule 4
    fall_ms: float = 2_000.0  # rule 4
    rpcs_per_s: float = 2.0  # of each proxy
    faults: ChannelFaults = field(default_factory=ChannelFaults)  # of each controller's channel

    def site_settings(self) -> SiteSettings:
        """Return the settings as the decisions are told them."""
        return SiteSettings(
            methods=(Method(1500.0, 5000.0, 1.0), Method(800.0, 2000.0, 3.0)),
            sliced=True,
            has_single_owner=False,
            news_on_request=False,
            uses_listed_sizes=True,
            admission_mode="ratio",
            report_interval_ms=self.report_interval_ms,
            channel_entries_per_ms=self.entries_per_s / 1000,
            message_overhead_entries=self.overhead_entries,
            max_pending_entries=self.queue_s * self.entries_per_s,
            max_pushes_per_window=0,
            push_window_ms=10_000.0,
            warm_up_ms=self.warm_up_ms,
            max_transit_ms=312.5,
            proxy_count=self.proxies,
            write_methods=(1,),
            max_write_ms=2_020.0,
            write_lease_ms=800.0,
            drain_grace_ms=self.grace_ms,
            max_bare_ms=self.blackhole_ms,
        )


@dataclass(eq=False)
class SimulatedBackend:
    """A backend's process, and what it was sent."""

    name: str
    zone: int
    capacity: float  # when warm
    phase: Phase = Phase.READY
    is_alive: bool = True
    is_hanging: bool = False  # it takes RPCs and does not answer, so that no attempt is reported
    started_at_ms: float | None = None  # None: long ago
    listed_start_ms: float = 0.0  # as the list tells it
    departing_since_ms: float | None = None  # when the controllers were told
    ready_since_ms: float = 0.0
    refused_fraction: float = 0.0
    load: float = 0.0
    # Time, RPCs sent and RPCs that could be served in the window of rule 4.
    recent: deque[tuple[float, float, float]] = field(default_factory=deque)

    def present_capacity(self, now_ms: float, options: FleetOptions) -> float:
        """Return what it can serve now."""
        if not self.is_alive:
            return 0.0
        if self.started_at_ms is None:
            return self.capacity
        elapsed = min((now_ms - self.started_at_ms) / options.warm_up_ms, 1.0)
        return self.capacity * (options.cold_fraction + (1 - options.cold_fraction) * elapsed)


@dataclass(eq=False)
class SimulatedProxy:
    """A proxy's stream to one controller, and how far it has applied that one's messages."""

    number: int
    is_joined: bool = False
    joined_at_ms: float = 0.0
    version: int = 0  # of the tables that it holds
    missed: frozenset[str] = frozenset()  # withdrawn backends of which it was not told
    stream: int = 0  # changes when it joins anew
    bare_since_ms: dict[int, float] = field(default_factory=dict)


@dataclass
class TableVersion:
    """The tables and withdrawals after one message."""

    tables: dict[int, dict[str, float]]
    withdrawn: frozenset[str]
    bare: frozenset[int]
    told: frozenset[str]  # backends of which the message says that they are withdrawn


class SimulatedController:
    """One instance of the decisions, its channel, its slices, and the proxies' streams to it."""

    def __init__(self, world: "FleetWorld", number: int) -> None:
        """Prepare the instance; it starts with `start`."""
        self.world = world
        self.number = number
        self.proxies = [SimulatedProxy(n) for n in range(world.options.proxies)]
        self.slices: set[int] = set()
        self.versions = [TableVersion({}, frozenset(), frozenset(), frozenset())]
        self.channel_free_at_ms = 0.0
        self.messages = 0
        self.entries = 0
        self.most_waiting_entries = 0.0
        self.decided: list[str] = []
        self.life = 0
        self.policy: Policy | None = None
        self.events: list[Event] = []

    def start(self) -> None:
        """Start a new process: it knows the list, and is told of the slices and proxies."""
        world = self.world
        self.life += 1
        self.policy = Policy(world.options.site_settings(), world.random.getrandbits(32))
        self.backends = {name: Backend(name, name) for name in world.backends}
        self.known_slices = {n: Slice(n) for n in range(world.options.slices)}
        self.known_proxies = [Proxy(n, n % ZONES, 1.0) for n in range(world.options.proxies)]
        version = self.versions[-1]
        self._append_version(version.tables, frozenset(), frozenset())
        for proxy in self.proxies:
            proxy.is_joined = False
            proxy.version = len(self.versions) - 1
            proxy.missed = frozenset()
            proxy.bare_since_ms = {}
        self.channel_free_at_ms = world.now_ms
        self.events = [FleetNews(FleetNewsKind.FULL, [self._listing(n) for n in self.backends])]
        self.grant(sorted(self.slices))

    def _listing(self, name: str) -> Listing:
        backend = self.world.backends[name]
        return Listing(
            self.backends[name], backend.zone, 0, backend.phase, backend.listed_start_ms, 1.0
        )

    def tell_list(self, names: Iterable[str]) -> None:
        """Tell the instance of changed entries of the list."""
        if self.policy is not None:
            self.events.append(FleetNews(FleetNewsKind.DELTA, [self._listing(n) for n in names]))

    def grant(self, slices: Iterable[int]) -> None:
        """Lease slices to this instance; the proxies hold the tables of the store."""
        for number in slices:
            self.slices.add(number)
            table = self.world.store[number]
            for version in self.versions:
                version.tables.setdefault(number, table)
            known = self.known_slices[number]
            self.events.append(SliceLeaseChanged(known, True))
            self.events += [
                StoredEntry(known, self.backends[name], weight) for name, weight in table.items()
            ]
        current = self.versions[-1]
        self._append_version(current.tables, current.withdrawn, frozenset())
        for proxy in self.proxies:
            proxy.version = len(self.versions) - 1 if proxy.is_joined else proxy.version

    def revoke(self) -> set[int]:
        """Take all slices from this instance, and return them."""
        slices, self.slices = self.slices, set()
        for number in slices:
            if self.policy is not None:
                self.events.append(SliceLeaseChanged(self.known_slices[number], False))
            for version in self.versions:
                version.tables.pop(number, None)
        self._append_version(self.versions[-1].tables, self.versions[-1].withdrawn, frozenset())
        for proxy in self.proxies:
            proxy.bare_since_ms = {}
        return slices

    def kill(self) -> None:
        """End the process: its queue and its withdrawals are lost."""
        self.policy = None
        self.life += 1
        self._append_version(self.versions[-1].tables, frozenset(), frozenset())
        for proxy in self.proxies:
            proxy.is_joined = False
            proxy.version = len(self.versions) - 1
            proxy.bare_since_ms = {}

    def join(self, number: int, is_fresh: bool = False) -> None:
        """Open a proxy's stream; a fresh one is a new process, which knows of no withdrawal."""
        proxy = self.proxies[number]
        proxy.is_joined = True
        proxy.joined_at_ms = self.world.now_ms
        proxy.stream += 1
        proxy.bare_since_ms = {}
        known = self.versions[proxy.version].withdrawn - proxy.missed
        proxy.missed = self.versions[-1].withdrawn - (frozenset() if is_fresh else known)
        proxy.version = len(self.versions) - 1
        if self.policy is not None:
            self.events.append(ProxyJoined(self.known_proxies[number], False))

    def leave(self, number: int) -> None:
        """Break a proxy's stream; what waits for it is lost."""
        proxy = self.proxies[number]
        if proxy.is_joined and self.policy is not None:
            proxy.is_joined = False
            proxy.bare_since_ms = {}
            self.events.append(ProxyLeft(self.known_proxies[number]))

    def decide(self) -> None:
        """Hand over the events of a batch and carry out the orders."""
        if self.policy is None or not self.events:
            return
        events, self.events = self.events, []
        orders = self.policy.decide(self.world.now_ms, events)
        for order in orders:
            if isinstance(order, SetTimer):
                self._call_later(order.delay_ms, TimerDue(order.handle))
            elif isinstance(order, LogDecision):
                self.decided.append(order.text)
            elif isinstance(order, DecisionFault):
                raise RuntimeError(order.trace)
        seals = [order.number for order in orders if isinstance(order, Seal)]
        if seals:
            self._send(orders, seals[0])

    def _call_later(self, delay_ms: float, event: Event) -> None:
        life = self.life

        def due() -> None:
            if self.life == life:
                self.events.append(event)

        self.world.schedule(self.world.now_ms + delay_ms, due)

    def _append_version(
        self,
        tables: dict[int, dict[str, float]],
        withdrawn: frozenset[str],
        told: frozenset[str],
    ) -> None:
        bare = frozenset(
            number for number in self.slices if all(name in withdrawn for name in tables[number])
        )
        self.versions.append(TableVersion(dict(tables), withdrawn, bare, told))

    def _send(self, orders: list[Order], seal: int) -> None:
        """Carry out a call: the store changes at once, the proxies get a message each in turn."""
        world = self.world
        tables = dict(self.versions[-1].tables)
        withdrawn = set(self.versions[-1].withdrawn)
        told: set[str] = set()
        entries = world.options.overhead_entries + 1
        for order in orders:
            if isinstance(order, SetWithdrawn):
                entries += 1
                if order.is_withdrawn:
                    told.add(order.backend.name)
                    withdrawn.add(order.backend.name)
                else:
                    withdrawn.discard(order.backend.name)
            elif isinstance(order, SetEntry):
                entries += 1
                table = dict(tables[order.slice.number])
                table.pop(order.backend.name, None)
                if order.weight > 0:
                    table[order.backend.name] = order.weight
                tables[order.slice.number] = world.store[order.slice.number] = table
            elif not isinstance(order, (LogDecision, SetTimer, ClearTable)):
                entries += not isinstance(order, Seal)
        self._append_version(tables, frozenset(withdrawn), frozenset(told))
        self.messages += 1
        self.entries += int(entries - world.options.overhead_entries - 1)
        version, pace = len(self.versions) - 1, world.options.entries_per_s / 1000
        faults = world.options.faults
        self.channel_free_at_ms = max(self.channel_free_at_ms, world.now_ms)
        for proxy in self.proxies:
            if proxy.is_joined:
                self.channel_free_at_ms = faults.end_ms(self.channel_free_at_ms, entries / pace)
                self._deliver_later(proxy, version, seal)
        waiting_entries = pace * (
            faults.usual_pace_ms(self.channel_free_at_ms) - faults.usual_pace_ms(world.now_ms)
        )
        self.most_waiting_entries = max(self.most_waiting_entries, waiting_entries)
        if waiting_entries > world.options.queue_s * world.options.entries_per_s:
            world.record(Rule.QUEUE, f"controller {self.number}: {waiting_entries:.0f} entries")

    def _deliver_later(self, proxy: SimulatedProxy, version: int, seal: int) -> None:
        world, stream, life = self.world, proxy.stream, self.life
        sent_at_ms = world.now_ms
        arrival_ms = self.channel_free_at_ms + world.random.uniform(MIN_TRANSIT_MS, MAX_TRANSIT_MS)

        def deliver() -> None:
            if proxy.stream != stream or not proxy.is_joined or self.life != life:
                return
            proxy.version = max(proxy.version, version)
            proxy.missed = (proxy.missed & self.versions[version].withdrawn) - self.versions[
                version
            ].told
            self._check_bare(proxy)
            faults = world.options.faults
            if faults.loses_confirmation(proxy.number, world.options.proxies, world.now_ms):
                return
            confirmation = SealConfirmed(
                self.known_proxies[proxy.number], seal, world.now_ms - sent_at_ms
            )
            delay_ms = faults.confirmation_delay_ms + world.random.uniform(10.0, 60.0)
            self._call_later(delay_ms, confirmation)

        world.schedule(arrival_ms, deliver)

    def check_bare_tables(self) -> None:
        """Check rule 1 at every joined proxy."""
        if self.policy is not None:
            for proxy in self.proxies:
                if proxy.is_joined and (proxy.bare_since_ms or self.versions[proxy.version].bare):
                    self._check_bare(proxy)

    def _check_bare(self, proxy: SimulatedProxy) -> None:
        world = self.world
        version = self.versions[proxy.version]
        bare = {
            number
            for number in version.bare
            if number in self.slices and proxy.missed.isdisjoint(version.tables[number])
        }
        if not world.has_warm_backend():
            bare = set()
        for number in [number for number in proxy.bare_since_ms if number not in bare]:
            del proxy.bare_since_ms[number]
        for number in bare:
            since_ms = proxy.bare_since_ms.setdefault(number, world.now_ms)
            if world.limit_span_ms(since_ms) > world.options.blackhole_ms + LIMIT_SLACK_MS:
                proxy.bare_since_ms[number] = float("inf")  # told once
                world.record(Rule.LOST, f"proxy {proxy.number}, slice {number}")

    def check_departing(self, departing: dict[str, float]) -> None:
        """Check rule 3 for backends that depart, and since when the controllers know."""
        if self.policy is None:
            return
        limit_ms = self.world.options.grace_ms + LIMIT_SLACK_MS
        active_names: dict[tuple[int, frozenset[str]], set[str]] = {}
        for proxy in self.proxies:
            if not proxy.is_joined:
                continue
            key = proxy.version, proxy.missed
            if key not in active_names:
                active_names[key] = set().union(*self._active_tables(*key).values())
            for name, since_ms in departing.items():
                late_ms = self.world.limit_span_ms(max(since_ms, proxy.joined_at_ms)) - limit_ms
                if late_ms > 0 and name in active_names[key]:
                    self.world.record(Rule.DRAIN, f"proxy {proxy.number} sends to {name}")

    def flows(self) -> list[tuple[int, dict[int, dict[str, float]]]]:
        """Return pairs: how many proxies, and their active entries by slice."""
        groups: dict[tuple[int, frozenset[str]], int] = {}
        for proxy in self.proxies:
            key = proxy.version, proxy.missed
            groups[key] = groups.get(key, 0) + 1
        return [
            (count, self._active_tables(version, missed))
            for (version, missed), count in groups.items()
        ]

    def _active_tables(
        self, version_number: int, missed: frozenset[str]
    ) -> dict[int, dict[str, float]]:
        version = self.versions[version_number]
        out = version.withdrawn - missed
        return {
            number: {name: w for name, w in version.tables[number].items() if name not in out}
            for number in self.slices
        }


class FleetWorld:
    """Backends, controllers and proxies under a virtual clock."""

    def __init__(self, options: FleetOptions, seed: int) -> None:
        """Start the controllers; the proxies join within the first second."""
        self.options = options
        self.random = Random(seed)
        self.now_ms = 0.0
        self.violations: list[Violation] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        total_rate = options.proxies * options.rpcs_per_s / 1000
        capacity = total_rate / options.backends / options.utilization
        self.backends = {
            f"s-{n}": SimulatedBackend(f"s-{n}", n % ZONES, capacity)
            for n in range(options.backends)
        }
        names = list(self.backends)
        self.store = {n: {names[n % len(names)]: 1.0} for n in range(options.slices)}
        weights = [self.random.uniform(0.5, 1.5) for _ in range(options.slices)]
        self.heat = [total_rate * weight / sum(weights) for weight in weights]
        self.attempts: dict[str, list[float]] = {}
        self.controllers = [SimulatedController(self, n) for n in range(options.controllers)]
        for number in range(options.slices):
            self.controllers[number % options.controllers].slices.add(number)
            self.controllers[number % options.controllers].versions[-1].tables[number] = self.store[
                number
            ]
        for controller in self.controllers:
            controller.start()
            self.join_all(controller, 1_000.0)
        self.schedule(TICK_MS, self._tick)
        self.schedule(options.report_interval_ms, self._report)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        heapq.heappush(self._queue, (at_ms, next(self._order), action))

    def limit_span_ms(self, since_ms: float) -> float:
        """Return the time since then, by which rules 1 and 3 judge: it goes at the channel's pace."""
        faults = self.options.faults
        return faults.usual_pace_ms(self.now_ms) - faults.usual_pace_ms(since_ms)

    def record(self, rule: Rule, subject: str) -> None:
        """Record a breach of a rule."""
        self.violations.append(Violation(rule, self.now_ms, subject))

    def run(self, until_ms: float) -> None:
        """Play on until a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            batch_end_ms = min(self._queue[0][0] + BATCH_MS, until_ms)
            while self._queue and self._queue[0][0] <= batch_end_ms:
                at_ms, _, action = heapq.heappop(self._queue)
                self.now_ms = max(self.now_ms, at_ms)
                action()
            for controller in self.controllers:
                controller.decide()
        self.now_ms = until_ms

    # What happens to the fleet

    def drain(self, names: Iterable[str]) -> None:
        """List backends as draining."""
        self._set_phase(list(names), Phase.DRAINING)

    def stop(self, names: Iterable[str]) -> None:
        """End backends' processes, and list them as gone."""
        names = list(names)
        self.crash(names)
        self._set_phase(names, Phase.GONE)

    def crash(self, names: Iterable[str]) -> None:
        """End backends' processes; the list does not tell yet."""
        for name in names:
            self.backends[name].is_alive = False

    def hang(self, names: Iterable[str], is_hanging: bool) -> None:
        """Let backends take RPCs without an answer, or answer again."""
        for name in names:
            self.backends[name].is_hanging = is_hanging

    def restart(self, names: Iterable[str], clock_error_ms: float = 0.0) -> None:
        """Start backends anew, cold; the list is wrong by this much about when."""
        names = list(names)
        for name in names:
            backend = self.backends[name]
            backend.is_alive = True
            backend.started_at_ms = self.now_ms
            backend.listed_start_ms = self.now_ms + clock_error_ms
            backend.ready_since_ms = self.now_ms
            backend.recent.clear()
        self._set_phase(names, Phase.READY)

    def _set_phase(self, names: list[str], phase: Phase) -> None:
        for name in names:
            backend = self.backends[name]
            backend.phase = phase
            if phase is Phase.READY:
                backend.departing_since_ms = None
            elif backend.departing_since_ms is None:
                backend.departing_since_ms = self.now_ms
        for controller in self.controllers:
            controller.tell_list(names)

    def join_all(self, controller: SimulatedController, within_ms: float) -> None:
        """Let all proxies join a controller, evenly spread over a time."""
        for proxy in controller.proxies:
            at_ms = self.now_ms + 300.0 + within_ms * proxy.number / len(controller.proxies)
            self.schedule(at_ms, lambda n=proxy.number: controller.join(n))

    def rolling_restart(
        self,
        groups: list[list[str]],
        start_ms: float,
        every_ms: float,
        drain_ms: float = 6_600.0,
        down_ms: float = 1_400.0,
        clock_error_ms: float = 0.0,
    ) -> float:
        """Plan a restart of groups of backends, one after another; return when the last is back."""
        for index, names in enumerate(groups):
            begin_ms = start_ms + every_ms * index
            if drain_ms:
                self.schedule(begin_ms, lambda names=names: self.drain(names))
            self.schedule(begin_ms + drain_ms, lambda names=names: self.stop(names))
            self.schedule(
                begin_ms + drain_ms + down_ms,
                lambda names=names: self.restart(names, clock_error_ms),
            )
        return start_ms + every_ms * (len(groups) - 1) + drain_ms + down_ms

    # What is seen of the fleet

    def has_warm_backend(self) -> bool:
        """Return whether a ready backend is warm."""
        return any(self._is_ready_and_warm(backend) for backend in self.backends.values())

    def _is_ready_and_warm(self, backend: SimulatedBackend) -> bool:
        return backend.phase is Phase.READY and (
            backend.started_at_ms is None
            or self.now_ms - backend.started_at_ms >= self.options.warm_up_ms
        )

    def ready_and_withdrawn(self) -> set[str]:
        """Return the ready backends that some controller has withdrawn."""
        return {
            name
            for name, backend in self.backends.items()
            if backend.phase is Phase.READY
            and any(name in controller.versions[-1].withdrawn for controller in self.controllers)
        }

    def breaches(self, rule: Rule) -> int:
        """Return how often a rule was broken."""
        return sum(violation.rule is rule for violation in self.violations)

    # The flow of RPCs

    def _tick(self) -> None:
        """Let RPCs flow for a tick, and check the rules."""
        first, second = self._sent_rates()
        for name, backend in self.backends.items():
            load = first.get(name, 0.0) + second.get(name, 0.0)
            capacity = backend.present_capacity(self.now_ms, self.options)
            backend.load = load
            backend.refused_fraction = max(0.0, 1.0 - capacity / load) if load else 0.0
            sums = self.attempts.setdefault(name, [0.0, 0.0, 0.0])
            utilization = min(load / capacity, 1.0) if capacity else 1.0
            latency_ms = IDLE_LATENCY_MS * min(
                1.0 / max(1.0 - utilization, 1e-9), MAX_LATENCY_FACTOR
            )
            sums[0] += load * TICK_MS
            sums[1] += load * TICK_MS * backend.refused_fraction
            sums[2] += load * TICK_MS * (1 - backend.refused_fraction) * latency_ms
            if backend.is_hanging:
                sums[:] = [0.0, 0.0, 0.0]
            self._check_backend(backend, load, capacity)
        departing = {
            name: backend.departing_since_ms
            for name, backend in self.backends.items()
            if backend.departing_since_ms is not None
        }
        for controller in self.controllers:
            controller.check_bare_tables()
            controller.check_departing(departing)
        self.schedule(self.now_ms + TICK_MS, self._tick)

    def _sent_rates(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return the rates of first attempts, and of those after one was pushed back, by backend."""
        first: dict[str, float] = {}
        second: dict[str, float] = {}
        for controller in self.controllers:
            for count, tables in controller.flows():
                for number, table in tables.items():
                    rate = self.heat[number] * count / self.options.proxies
                    self._add_rates(rate, table, first, second)
        return first, second

    def _add_rates(
        self,
        rate: float,
        table: dict[str, float],
        first: dict[str, float],
        second: dict[str, float],
    ) -> None:
        total = sum(table.values())
        for name, weight in table.items():
            sent = rate * weight / total
            first[name] = first.get(name, 0.0) + sent
            refused = sent * self.backends[name].refused_fraction
            if refused and len(table) > 1:
                for other, other_weight in table.items():
                    if other != name:
                        share = refused * other_weight / (total - weight)
                        second[other] = second.get(other, 0.0) + share

    def _check_backend(self, backend: SimulatedBackend, load: float, capacity: float) -> None:
        options = self.options
        if backend.started_at_ms is None or not backend.is_alive:
            return
        backend.recent.append((self.now_ms, load * TICK_MS, capacity * TICK_MS))
        while backend.recent[0][0] <= self.now_ms - options.fall_ms:
            backend.recent.popleft()
        if self.now_ms - backend.ready_since_ms < options.grace_ms + options.fall_ms:
            return
        if self.now_ms - backend.started_at_ms > options.warm_up_ms:
            return
        sent = sum(entry[1] for entry in backend.recent)
        if sent > options.fall_multiple * sum(entry[2] for entry in backend.recent):
            self.record(Rule.FAILBACK, backend.name)

    def _report(self) -> None:
        """Tell the controllers what the proxies met in the last interval."""
        span_ms = self.options.report_interval_ms
        sums, self.attempts = self.attempts, {}
        for controller in self.controllers:
            if controller.policy is None:
                continue
            for name, (attempts, refused, latency_sum_ms) in sums.items():
                share = len(controller.slices) / self.options.slices
                sent, aborted = self._round(attempts * share), self._round(refused * share)
                if sent:
                    mean_ms = latency_sum_ms / max(attempts - refused, 1e-9)
                    controller.events.append(
                        AttemptReport(
                            0, controller.backends[name], sent, min(aborted, sent), mean_ms,
                            span_ms, (),
                        )
                    )  # fmt: skip
            for number in sorted(controller.slices):
                for method in (0, 1):
                    controller.events.append(
                        SliceHeatReport(
                            controller.known_slices[number],
                            method,
                            self._round(self.heat[number] * span_ms / 2),
                            0,
                            span_ms,
                        )
                    )
        self.schedule(self.now_ms + span_ms, self._report)

    def _round(self, value: float) -> int:
        """Return a neighbouring whole number, with the value as its mean."""
        return int(value) + (self.random.random() < value % 1)
