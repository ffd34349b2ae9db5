"""The controller: gathers the events of a loop turn, lets the module decide once, hands the orders on."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import replace
from typing import Any, Protocol

from lifthinge.interface import (
    ChannelState,
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
from lifthinge.wire.discovery import DiscoveryClient
from lifthinge.wire.inbound import InboundServer
from lifthinge.wire.peers import PeerTransport
from lifthinge.wire.probes import Prober
from lifthinge.wire.relay_client import RelayClient
from lifthinge.wire.relay_watch import RelayWatch
from lifthinge.wire.translator import MessageTranslator

log = logging.getLogger(__name__)
WORK_REST = 250.0  # ms until a line of work that failed goes on
DISCOVERY_WAIT = 1_000.0  # ms after the start, until the list last held must do
INBOUND_PART = 0.5  # of the stated sockets
INBOUND_PER_MB = 4  # of the stated memory: a stranger takes some 10 KiB


def _inbound(config: ControllerConfig) -> int:
    """How many connections may have come in: bounded by the stated sockets, and by the memory."""
    return int(min(config.sockets * INBOUND_PART, config.memory_mb * INBOUND_PER_MB))


class DecisionModule(Protocol):
    """What decides: `lifthinge.policy.Policy`."""

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]: ...


class AgreedSource(Protocol):
    """Where the agreed document comes from: `lifthinge.service.agreed_source.AgreedDocumentSource`."""

    def current_event(self) -> Event: ...

    def close(self) -> None: ...


class Controller:
    """Owns everything that belongs to one controller; settings say what of it exists."""

    def __init__(self, config: ControllerConfig, runtime: Runtime, policy: DecisionModule) -> None:
        self.config, self.runtime, self.policy, self.registry, self.pending_orders = (
            config,
            runtime,
            policy,
            Registry(),
            PendingOrders(),
        )
        self.translator = MessageTranslator(config.site, self.registry)
        self.inbound_server = InboundServer(
            runtime, self.translator, _inbound(config), lambda: self.is_ready, self.publish
        )
        self.relay = RelayClient(
            runtime,
            self.translator,
            self.pending_orders,
            config.relay,
            lambda: self.publish([]),
            self._refused,
            self._given_up,
        )
        self.relay_watch = RelayWatch(
            runtime,
            self.translator,
            self.registry,
            self.pending_orders,
            config.relay,
            self._tell_news,
        )
        self.discovery = DiscoveryClient(
            runtime, self.translator, self.registry, config.discovery, self._tell_list
        )
        self.agreed_source: AgreedSource | None = None
        self.prober = Prober(
            runtime, self.translator, self.registry, lambda found: self.publish([found])
        )
        self.peers = PeerTransport(
            runtime,
            list(config.peers),
            config.peers_all,
            config.site.controller_number,
            lambda note: self.publish([note]),
        )
        self.is_ready = False  # it can decide, and knows what stands
        self._late = False  # discovery need not be waited for any longer
        self._turn_due = False
        self._events: list[Event] = []
        self._tasks: dict[asyncio.Task, str] = {}
        self._carry: dict[type, Callable[[Any], None]] = {
            SetTimer: lambda o: self.runtime.deadlines.schedule(
                o.delay_ms, lambda: self.publish([TimerDue(o.handle)])
            ),
            Probe: lambda o: self.prober.probe(o.backend),
            SendToPeers: lambda o: self.peers.send(o.peer, o.content),
            RepeatCall: lambda o: self.relay.allow_repeat(o.seal),
            LogDecision: lambda o: log.info("decided", {"what": o.text}),
            FollowFleetList: lambda o: self._follow(o.enabled),
            ForgetBackend: lambda o: self.registry.forget(o.backend),
            FetchFleetList: lambda o: self._run("fetch", self.discovery.fetch_list),
        }

    async def start(self) -> None:
        found = self.discovery.load_known_list(self.config.known)
        if found:
            self.runtime.rate_limited_log.warning("known_unusable", why=found.why)
        await self._bind("ROUTER_LISTEN", self.inbound_server.open(self.config.listen))
        if self.config.peer_listen:
            await self._bind("peer_listen", self.peers.open(self.config.peer_listen))
        self._run("relay", self.relay.run)
        self._run("news", self.relay_watch.run)
        if not self.config.site.news_on_request:
            self._follow(True)
        if self.agreed_source is not None:
            self._run("agreed", self.agreed_source.follower.run)
        self.runtime.deadlines.schedule(DISCOVERY_WAIT, self._wait_no_more)

    def set_agreed_source(self, agreed: "AgreedSource") -> None:
        """From the start on, an agreed document is followed, too."""
        self.agreed_source = agreed

    def _tell_list(self, news: FleetNews) -> None:
        """A list may bring backends that the agreed document names."""
        self.publish(
            [news] if self.agreed_source is None else [news, self.agreed_source.current_event()]
        )

    def reload(self, new: ControllerConfig) -> None:
        """Goes on by a new configuration: what has moved is met at its new address before the old is left."""
        former, self.config = (
            self.config,
            replace(self.config, discovery=new.discovery, relay=new.relay),
        )
        if new.relay != former.relay:
            self.relay.change_address(new.relay)
            self.relay_watch.change_address(new.relay)
        if new.discovery != former.discovery:
            self.discovery.change_address(new.discovery)
            if "follow" in self._tasks.values():
                self._run("follow", self.discovery.watch_list, beside=True)
        self.runtime.counters.add("reloads")
        log.info(
            "reloaded",
            {
                "discovery": "%s:%d" % new.discovery,
                "relay": "%s:%d" % new.relay,
                "moved": (new.relay != former.relay) + (new.discovery != former.discovery),
                "needs_restart": ",".join(fields_needing_restart(former, new)) or "nothing",
            },
        )

    @staticmethod
    async def _bind(key: str, opened: Awaitable[None]) -> None:
        try:
            await opened
        except OSError as error:
            raise StartupError(key, error.strerror or str(error)) from None

    def stop(self) -> None:
        """Takes nothing more, and ends every connection."""
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
        """Takes in events; they are decided on together once this loop turn is over."""
        self._events += events
        if not self._turn_due:
            self._turn_due = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _tell_news(self, events: list[Event]) -> None:
        """Notes what stands now, and drops the orders that died with a slice."""
        for event in events:
            if isinstance(event, ProxyJoined):
                self.registry.joined_proxies[event.proxy], event.proxy.is_bound = (
                    event.first_time,
                    False,
                )
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

    def _given_up(self, orders: list[Order]) -> None:
        """A whole call was given up: tables are told anew, withdrawals stand as they did before."""
        self.relay_watch.resubscribe()
        self.publish(
            [
                WithdrawalState(one.backend, not one.is_withdrawn)
                for one in orders
                if isinstance(one, SetWithdrawn)
            ]
        )

    def _refused(self, order: Order) -> None:
        """The relay could not use an order, as it knows no such backend: the decisions hear what stands instead."""
        if isinstance(order, SetEntry) and order.slice in self.registry.leased_slices:
            gone = Listing(
                order.backend, order.backend.zone, 0, Phase.GONE, 0.0, order.backend.size
            )
            self.registry.listings.pop(order.backend, None)
            lines = [
                StoredEntry(order.slice, backend, weight)
                for backend, weight in order.slice.table.items()
                if backend is not order.backend
            ]
            self.publish(
                [
                    FleetNews(FleetNewsKind.DELTA, [gone]),
                    SliceLeaseChanged(order.slice, True),
                    *lines,
                ]
            )

    def _turn(self) -> None:
        events, self._events, self._turn_due = self._events, [], False
        began, way = (
            self.runtime.now,
            ChannelState(
                not self.pending_orders, self.relay.unknown_seal, self.relay.is_broken_off
            ),
        )
        try:
            orders = self.policy.decide(began, [way, *events])
        except (
            Exception
        ) as error:  # what is decided next may be better; who asks hears that it is not well
            log.error("decision_failed", {"error": repr(error)}, exc_info=True)
            self.runtime.counters.add("decision_failed")
            self.is_ready = False
            self.runtime.deadlines.schedule(
                self.config.terms.report_interval_ms, lambda: self.publish([])
            )
            return
        self.runtime.counters.add("decisions")
        self.runtime.counters.record_max("decision.longest_ms", round(self.runtime.now - began, 1))
        given = [order for order in orders if self.translator.is_relay_order(order)]
        if given:
            for order in given:
                self.runtime.counters.add(f"orders.{outer_name(type(order))}")
            self.relay.submit(given)
        for order in orders:
            if not self.translator.is_relay_order(order):
                self._carry[type(order)](order)
        listed = self.discovery.has_answered or self._late or self.config.site.news_on_request
        if not self.is_ready and self.relay_watch.has_initial_state and listed:
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

    def _wait_no_more(self) -> None:
        self._late = True
        self.publish([])

    def _follow(self, on: bool) -> None:
        if on:
            self._run("follow", self.discovery.watch_list)
        else:
            self._end("follow")

    def _end(self, name: str) -> None:
        for task in [task for task, other in self._tasks.items() if other == name]:
            task.cancel()

    def _run(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]], beside: bool = False
    ) -> None:
        """Runs one line of work; another under the same name gives way to it, if they don't go on beside."""
        if not beside:
            self._end(name)
        task = asyncio.get_running_loop().create_task(self._guard(name, work))
        self._tasks[task] = name
        task.add_done_callback(self._tasks.pop)

    async def _guard(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """No fault ends a line of work for good."""
        while True:
            try:
                return await work()
            except Exception as error:
                log.error("work_failed", {"work": name, "error": repr(error)}, exc_info=True)
                self.runtime.counters.add("work_failed")
            await self.runtime.pause(WORK_REST)
