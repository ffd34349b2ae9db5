"""The controller: collects events, has them decided on once each loop turn, carries out orders."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import replace
from typing import Any, Protocol

from lifthinge.decision_faults import report_fault
from lifthinge.interface import (
    ChannelState,
    DecisionFault,
    DropCall,
    Event,
    FetchFleetList,
    FleetNews,
    FleetNewsKind,
    FollowFleetList,
    ForgetBackend,
    Listing,
    LogDecision,
    Order,
    Phase,
    Probe,
    ProxyJoined,
    ProxyLeft,
    RepeatCall,
    SealConfirmed,
    SendToPeers,
    SetEntry,
    SetTimer,
    SetWithdrawn,
    SliceLeaseChanged,
    StoredEntry,
    TimerDue,
    WithdrawalState,
)
from lifthinge.memory.pending_orders import PendingOrders
from lifthinge.memory.registry import Registry
from lifthinge.memory.runtime import Runtime
from lifthinge.outer_names import outer_name
from lifthinge.service.config import ControllerConfig, StartupError, fields_needing_restart
from lifthinge.service.fleet_monitor import FleetMonitor
from lifthinge.wire.discovery import DiscoveryClient
from lifthinge.wire.inbound import InboundServer
from lifthinge.wire.peers import PeerTransport
from lifthinge.wire.probes import Prober
from lifthinge.wire.relay_client import RelayClient
from lifthinge.wire.relay_watch import RelayWatch
from lifthinge.wire.translator import MessageTranslator

log = logging.getLogger(__name__)
TASK_RESTART_DELAY_MS = 250.0  # until a background task that failed is started again
DECISION_RETRY_DELAY_MS = 50.0  # after a part of a decision raised
# After the start; then the controller decides by the fleet list in its configuration.
MAX_DISCOVERY_WAIT_MS = 1_000.0
MAX_INBOUND_FRACTION_OF_SOCKETS = 0.5  # of the configured sockets
# Inbound connections for each MB of configured memory; one that has not joined takes about 10 KiB.
MAX_INBOUND_PER_MB = 4


def _max_inbound_connections(config: ControllerConfig) -> int:
    """Return the limit of inbound connections: by configured sockets and by configured memory."""
    return int(
        min(config.sockets * MAX_INBOUND_FRACTION_OF_SOCKETS, config.memory_mb * MAX_INBOUND_PER_MB)
    )


class DecisionModule(Protocol):
    """The decision module: `lifthinge.policy.Policy`, or a capture in front of it."""

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """Return the orders that follow from events; `now` is in ms of Unix time."""
        ...


class AgreedSource(Protocol):
    """The source of the document that operators agreed on.

    It is `lifthinge.service.agreed_source.AgreedDocumentSource`.
    """

    def current_event(self) -> Event:
        """Return what the document says now."""
        ...

    def close(self) -> None:
        """Stop following the document."""
        ...


class Controller:
    """Owns the connections and tasks of one controller; the settings say which of them it has.

    Clients and servers publish events. All events of a loop turn are passed to the decision module
    together. Orders for the relay are submitted to it, the others are carried out at once.
    """

    def __init__(self, config: ControllerConfig, runtime: Runtime, policy: DecisionModule) -> None:
        self.config = config
        self.runtime = runtime
        self.policy = policy
        self.registry = Registry()
        self.pending_orders = PendingOrders()
        self.translator = MessageTranslator(config.site, self.registry)
        self.inbound_server = InboundServer(
            runtime,
            self.translator,
            _max_inbound_connections(config),
            lambda: self.is_ready,
            self.publish,
        )
        self.relay = RelayClient(
            runtime,
            self.translator,
            self.pending_orders,
            config.relay,
            lambda: self.publish([]),
            self._on_order_refused,
            self._on_call_abandoned,
        )
        self.relay_watch = RelayWatch(
            runtime,
            self.translator,
            self.registry,
            self.pending_orders,
            config.relay,
            self._on_relay_events,
        )
        self.discovery = DiscoveryClient(
            runtime, self.translator, self.registry, config.discovery, self._on_fleet_news
        )
        self.agreed_source: AgreedSource | None = None
        self.fleet_monitor = FleetMonitor(runtime, self.registry)
        self.prober = Prober(
            runtime, self.translator, self.registry, lambda result: self.publish([result])
        )
        self.peers = PeerTransport(
            runtime,
            list(config.peers),
            config.peers_all,
            config.site.controller_number,
            lambda message: self.publish([message]),
        )
        # Whether the last decision succeeded, and the initial state and a fleet list are known.
        self.is_ready = False
        self._is_discovery_overdue = False  # whether MAX_DISCOVERY_WAIT_MS have passed
        self._is_turn_scheduled = False
        self._events: list[Event] = []
        self._is_retry_scheduled = False  # whether it is decided again soon, after a failure
        # Events of the last decision, if it failed as a whole.
        self._deferred_events: list[Event] = []
        self._tasks: dict[asyncio.Task, str] = {}  # task -> its name
        # Order type -> what carries it out, for all orders but those to the relay.
        self._order_handlers: dict[type, Callable[[Any], None]] = {
            SetTimer: lambda order: self.runtime.deadlines.schedule(
                order.delay_ms, lambda: self.publish([TimerDue(order.handle)])
            ),
            Probe: lambda order: self.prober.probe(order.backend),
            SendToPeers: lambda order: self.peers.send(order.peer, order.content),
            RepeatCall: lambda order: self.relay.allow_repeat(order.seal),
            DropCall: lambda order: self.relay.drop_call(order.seal),
            LogDecision: self._log_decision,
            DecisionFault: self._on_decision_fault,
            FollowFleetList: lambda order: self._set_list_watch(order.enabled),
            ForgetBackend: lambda order: self.registry.forget(order.backend),
            FetchFleetList: lambda order: self._start_task("fetch", self.discovery.fetch_list),
        }

    async def start(self) -> None:
        """Load the configured fleet list, open the sockets and start the background tasks.

        Raises StartupError if an address can't be bound.
        """
        problem = self.discovery.load_known_list(self.config.known)
        if problem:
            self.runtime.rate_limited_log.warning("known_unusable", why=problem.why)
        await self._bind("ROUTER_LISTEN", self.inbound_server.open(self.config.listen))
        if self.config.peer_listen:
            await self._bind("peer_listen", self.peers.open(self.config.peer_listen))
        self.fleet_monitor.start()
        self._start_task("relay", self.relay.run)
        self._start_task("news", self.relay_watch.run)
        if not self.config.site.news_on_request:
            self._set_list_watch(True)
        if self.agreed_source is not None:
            self._start_task("agreed", self.agreed_source.follower.run)
        self.runtime.deadlines.schedule(MAX_DISCOVERY_WAIT_MS, self._on_discovery_overdue)

    def set_agreed_source(self, agreed_source: "AgreedSource") -> None:
        """Follow an agreed document, too; to be called before the start."""
        self.agreed_source = agreed_source

    def _on_fleet_news(self, news: FleetNews) -> None:
        """Publish fleet news, and the agreed document after it.

        The news may bring backends that the document names.
        """
        self.publish(
            [news] if self.agreed_source is None else [news, self.agreed_source.current_event()]
        )

    def reload(self, new_config: ControllerConfig) -> None:
        """Continue with a new configuration.

        A server whose address changed is contacted at the new one before the connection to the old
        one is closed.
        """
        old_config = self.config
        self.config = replace(old_config, discovery=new_config.discovery, relay=new_config.relay)
        if new_config.relay != old_config.relay:
            self.relay.change_address(new_config.relay)
            self.relay_watch.change_address(new_config.relay)
        if new_config.discovery != old_config.discovery:
            self.discovery.change_address(new_config.discovery)
            if "follow" in self._tasks.values():
                self._start_task("follow", self.discovery.watch_list, keep_former=True)
        self.runtime.counters.add("reloads")
        discovery_host, discovery_port = new_config.discovery
        relay_host, relay_port = new_config.relay
        log.info(
            "reloaded",
            {
                "discovery": f"{discovery_host}:{discovery_port}",
                "relay": f"{relay_host}:{relay_port}",
                "moved": (new_config.relay != old_config.relay)
                + (new_config.discovery != old_config.discovery),
                "needs_restart": ",".join(fields_needing_restart(old_config, new_config))
                or "nothing",
            },
        )

    @staticmethod
    async def _bind(key: str, opening: Awaitable[None]) -> None:
        """Open a socket; raise StartupError that names the key if its address can't be bound."""
        try:
            await opening
        except OSError as error:
            raise StartupError(key, error.strerror or str(error)) from None

    def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        self.fleet_monitor.stop()
        self.inbound_server.close()
        for task in self._tasks:
            task.cancel()
        self.relay.close()
        self.relay_watch.close()
        self.discovery.close()
        self.prober.close()
        self.peers.close()
        if self.agreed_source is not None:
            self.agreed_source.close()

    def publish(self, events: list[Event]) -> None:
        """Queue events; all that are queued in one loop turn are decided on together."""
        self._events += events
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _on_relay_events(self, events: list[Event]) -> None:
        """Record events from the relay in the registry, drop orders made void, and publish them."""
        for event in events:
            if isinstance(event, ProxyJoined):
                self.registry.joined_proxies[event.proxy] = event.first_time
                event.proxy.is_bound = False
            elif isinstance(event, ProxyLeft):
                self.registry.joined_proxies.pop(event.proxy, None)
            elif isinstance(event, SliceLeaseChanged):
                self.pending_orders.discard_slice(event.slice)
                self.registry.leased_slices.pop(event.slice, None)
                if event.is_granted:
                    self.registry.leased_slices[event.slice] = None
            elif isinstance(event, SealConfirmed):
                self.relay.on_seal_confirmed(event.seal)
        self.publish(events)

    def _on_call_abandoned(self, orders: list[Order]) -> None:
        """Correct the decisions' state after a whole call of orders was given up.

        A new subscription reports the tables again; withdrawals are as they were before the orders.
        """
        self.relay_watch.resubscribe()
        self.publish(
            [
                WithdrawalState(order.backend, not order.is_withdrawn)
                for order in orders
                if isinstance(order, SetWithdrawn)
            ]
        )

    def _on_order_refused(self, order: Order) -> None:
        """Correct the decisions' state after the relay refused an order.

        It refuses an order for a backend that it does not know. The backend is reported as gone,
        and the slice as granted with the rest of its table.
        """
        if isinstance(order, SetEntry) and order.slice in self.registry.leased_slices:
            gone_listing = Listing(
                order.backend, order.backend.zone, 0, Phase.GONE, 0.0, order.backend.size
            )
            self.registry.listings.pop(order.backend, None)
            entries = [
                StoredEntry(order.slice, backend, weight)
                for backend, weight in order.slice.table.items()
                if backend is not order.backend
            ]
            self.publish(
                [
                    FleetNews(FleetNewsKind.DELTA, [gone_listing]),
                    SliceLeaseChanged(order.slice, True),
                    *entries,
                ]
            )

    def _log_decision(self, order: LogDecision) -> None:
        """Log the explanation of a decision, and count it by its first word, which is its kind."""
        log.info("decided", {"what": order.text})
        kind = order.text.partition(" ")[0].rstrip(":")
        self.runtime.counters.add(f"decided.{kind}")

    def _on_decision_fault(self, fault: DecisionFault) -> None:
        """Log what raised, and have it decided again soon.

        Until a decision succeeds heartbeats are left unanswered, which shows those who send them
        that this controller is not well.
        """
        log.error(
            "decision_failed", {"part": fault.part, "error": fault.error, "trace": fault.trace}
        )
        self.runtime.counters.add("decision_failed")
        self.is_ready = False
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self.runtime.deadlines.schedule(DECISION_RETRY_DELAY_MS, self._decide_again)

    def _decide_again(self) -> None:
        """Have it decided again after a part of a decision raised."""
        self._is_retry_scheduled = False
        self.publish([])

    def _defer(self, events: list[Event]) -> None:
        """Keep the events of a decision that failed as a whole for the next one.

        Those that were in an earlier one, too, are dropped.
        """
        if self._deferred_events:
            kinds = Counter(outer_name(type(event)) for event in self._deferred_events)
            log.error("events_dropped", dict(kinds))
            self.runtime.counters.add("events_dropped", len(self._deferred_events))
        self._deferred_events = events

    def _run_turn(self) -> None:
        """Have queued events decided on, carry out the orders, and check whether it is ready."""
        events = self._events
        self._events = []
        self._is_turn_scheduled = False
        began_at_ms = self.runtime.now
        channel_state = ChannelState(
            not self.pending_orders,
            self.relay.unknown_seal,
            self.relay.is_broken_off,
            self.relay.unsent_seal,
        )
        try:
            orders = self.policy.decide(
                began_at_ms, [channel_state, *self._deferred_events, *events]
            )
        except Exception as error:
            self._on_decision_fault(report_fault("turn", error))
            self._defer(events)
            return
        self._deferred_events = []
        self.runtime.counters.add("decisions")
        self.runtime.counters.record_max(
            "decision.longest_ms", round(self.runtime.now - began_at_ms, 1)
        )
        # A call is dropped before its orders are submitted anew.
        for order in orders:
            if not self.translator.is_relay_order(order):
                self._order_handlers[type(order)](order)
        relay_orders = [order for order in orders if self.translator.is_relay_order(order)]
        if relay_orders:
            for order in relay_orders:
                self.runtime.counters.add(f"orders.{outer_name(type(order))}")
            self.relay.submit(relay_orders)
        has_fleet_list = (
            self.discovery.has_answered
            or self._is_discovery_overdue
            or self.config.site.news_on_request
        )
        has_failed = any(isinstance(order, DecisionFault) for order in orders)
        is_informed = self.relay_watch.has_initial_state and has_fleet_list
        if not self.is_ready and is_informed and not has_failed:
            self.is_ready = True
            log.info(
                "ready",
                {
                    "backends": len(self.registry.listings),
                    "proxies": len(self.registry.joined_proxies),
                    "slices": len(self.registry.leased_slices),
                },
            )
            self.inbound_server.answer_heartbeats()

    def _on_discovery_overdue(self) -> None:
        """Stop waiting for discovery, and check whether the controller is ready."""
        self._is_discovery_overdue = True
        self.publish([])

    def _set_list_watch(self, enabled: bool) -> None:
        """Start or stop the watch of the fleet list."""
        if enabled:
            self._start_task("follow", self.discovery.watch_list)
        else:
            self._cancel_tasks("follow")

    def _cancel_tasks(self, name: str) -> None:
        """Cancel all tasks of a name."""
        for task in [task for task, task_name in self._tasks.items() if task_name == name]:
            task.cancel()

    def _start_task(
        self,
        name: str,
        coroutine_function: Callable[[], Coroutine[Any, Any, None]],
        keep_former: bool = False,
    ) -> None:
        """Start a background task that is restarted after an exception.

        Former tasks of the same name are cancelled, unless they are to be kept.
        """
        if not keep_former:
            self._cancel_tasks(name)
        task = asyncio.get_running_loop().create_task(
            self._run_with_restarts(name, coroutine_function)
        )
        self._tasks[task] = name
        task.add_done_callback(self._tasks.pop)

    async def _run_with_restarts(
        self, name: str, coroutine_function: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task until it returns; log an exception, and start the task again after a pause."""
        while True:
            try:
                return await coroutine_function()
            except Exception as error:
                log.error("work_failed", {"work": name, "error": repr(error)}, exc_info=True)
                self.runtime.counters.add("work_failed")
            await self.runtime.pause(TASK_RESTART_DELAY_MS)
