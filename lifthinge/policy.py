"""Decisions of the controller: which backend serves which slice, and what the proxies are told.

An adapter makes one `Policy(settings, seed)` for each instance and calls `decide(now_ms, events)`
once for each batch that holds an event for it. The returned orders take effect in their order. The
types of the events and orders are in `lifthinge/interface.py`; the reasons behind the design are in
`docs/design.md`. Nothing here reads a clock, a file or the network.

A table entry is *active* while its backend is not withdrawn. A *push* is one message of orders to
the proxies; it costs its entries and a fixed overhead, which is counted in entries, too.
"""

from collections.abc import Callable, Iterable
from random import Random
from statistics import median
from typing import Any

from lifthinge.channel import Channel
from lifthinge.channel_budget import URGENT_RESERVE_FRACTION, ChannelBudget
from lifthinge.channel_condition import (
    MIN_UNCONFIRMED_PACE_FRACTION,
    ChannelCondition,
    describe_change,
    describe_slowdown,
    is_slow,
)
from lifthinge.decision_faults import event_part, report_fault
from lifthinge.decision_log import (
    HoldChange,
    describe_hold,
    describe_lateness,
    describe_names,
    describe_shortage,
)
from lifthinge.delivery_evidence import DeliveryEvidence
from lifthinge.doubtful_calls import ANSWER_TRANSIT_MULTIPLE, DoubtfulCalls
from lifthinge.exposure import (
    FAILED_OUTCOME,
    blocking_slices,
    desired_heat,
    exceeds_desired_share,
    expected_heat,
)
from lifthinge.interface import (
    AttemptReport,
    Backend,
    BindProxy,
    ChannelState,
    ClearTable,
    DropCall,
    Event,
    FleetNews,
    FleetNewsKind,
    FollowFleetList,
    ForgetBackend,
    LogDecision,
    OperatorOverrides,
    Order,
    Phase,
    Proxy,
    ProxyJoined,
    ProxyLeft,
    RepeatCall,
    RetryMode,
    Seal,
    SealConfirmed,
    SetAdmissionLevel,
    SetEntry,
    SetTimer,
    SetWithdrawn,
    SiteSettings,
    Slice,
    SliceHeatReport,
    SliceLeaseChanged,
    StoredEntry,
    WithdrawalState,
)
from lifthinge.older_lists import MAX_LIST_LAG_MS
from lifthinge.order_timing import ChannelView, OrderClass, OrderTiming, must_wait
from lifthinge.table_shares import (
    SHARE_TOLERANCE_FRACTION,
    active_shares,
    has_no_active_entry,
    share_if_active,
)
from lifthinge.unsettled_orders import UnsettledOrders
from lifthinge.write_holds import MAX_SEAL, WriteHold

# Placement mechanism, as the design page specifies it

# A backend is a violator while its latency ratio exceeds this multiple of the median ratio.
VIOLATOR_MEDIAN_MULTIPLE = 1.5
# Slices move away from a backend after this number of violating reports in a row.
MIN_VIOLATOR_REPORTS = 3
# The lowest latency of a backend is taken over this window.
LOWEST_LATENCY_WINDOW_MS = 60_000.0
ROUND_INTERVAL_MS = 1_000.0
# The move budget of a round. The design page starts with 2.
MOVE_BUDGET_PER_ROUND = 4
# Fraction of the usable backends that may be filled in a round, if that is more than the budget.
FILL_BUDGET_FRACTION = 0.3
# A slice that was moved stays where it is for this time.
MOVE_BLOCK_MS = 30_000.0
# Cool-off of the placement loop after moves that made the worst violator worse.
COOL_OFF_MS = 3_000.0
# A push waits this long for the confirmations of the one before, unless enough have come.
MAX_CONFIRMATION_WAIT_MS = 2_000.0
# Fraction of the proxies that may be unconfirmed when the next push goes out without that wait.
MAX_UNCONFIRMED_FRACTION = 0.5

# Warm-up and probation

# Pairs of the elapsed fraction of the warm-up and the share of a warm backend's heat from there on.
WARM_UP_STEPS = (
    (0.0, 0.25),
    (0.2, 0.4),
    (0.4, 0.6),
    (0.6, 0.8),
    (1.0, 1.0),
)
# Fraction of a warm backend's heat that a backend on probation gets.
PROBATION_FRACTION = 0.05
# Probation ends after this number of recent successful attempts.
MIN_PROBATION_OK_ATTEMPTS = 2.0
# Fraction of the warm-up in which a readmitted backend warms up.
READMISSION_WARM_UP_FRACTION = 0.3
# Fraction of the mean heat that fits on a backend in warm-up, before any RPC is seen to succeed.
UNOBSERVED_HEAT_FRACTION = 0.5
# In the first step of its warm-up a backend is withdrawn if tables expose it to more than this
# multiple of the step. A backend falls over no sooner than at about this multiple of what it bears.
MAX_COLD_EXPOSURE_MULTIPLE = 3.0
# A backend that is readmitted takes back the slices whose tables give it more than this share.
DOMINANT_SHARE_FRACTION = 0.5

# Tables

# A standby entry has this fraction of the owner's weight, or less.
STANDBY_WEIGHT_FRACTION = 0.001
# A table whose main weight would exceed this is written anew.
MAX_WEIGHT = 1e8
# Factor on the heat of a backend that the table of a displaced slice already holds. Such a backend
# is preferred because choosing it costs no table entry.
PRESENT_ENTRY_HEAT_FACTOR = 0.7

# Ejection of failing backends

# A quick backend fails if at least this fraction of its attempts is aborted.
MIN_FAILING_FRACTION = 0.3
# A quick backend fails only at this multiple of the median fraction of aborted attempts, too.
FAILING_MEDIAN_MULTIPLE = 3.0
# A slow or silent backend fails only if at least this fraction of its attempts is aborted.
MIN_SLOW_FAILING_FRACTION = 0.95
# A backend up to this latency ratio is quick, which means that it is not crowded.
MAX_QUICK_LATENCY_RATIO = 2.5
# Number of recent attempts from which on a backend is judged by its failures. No report is limited
# to less.
MIN_JUDGED_ATTEMPTS = 4.0
# A backend with this fraction of aborted attempts is a suspect.
MIN_SUSPECT_FRACTION = 0.1
# If more than this fraction of the ready backends is ejected or suspect, the trouble is broad, and
# no single backend is ejected.
MAX_SUSPECT_BACKENDS_FRACTION = 0.2
# Duration of a backend's first ejection. It doubles at each of the next two ejections.
FIRST_EJECTION_MS = 8_000.0
# A backend hangs if it should have got this number of RPCs, and none has succeeded for the longest
# soft deadline (for the longest deadline if it is crowded) and for two mean report spans.
MIN_HANG_RPCS = 8.0
# The bin of `Backend.outcomes` that counts successful attempts is addressed by this value.
OK_OUTCOME = 0.0

# Choice of the slices that move

# A started backend is filled while it has less than this fraction of its part of the mean heat.
MAX_FILL_TARGET_HEAT_FRACTION = 0.7
# Started backends are filled from those above this multiple of their part of the mean heat.
MIN_FILL_SOURCE_HEAT_MULTIPLE = 1.5
# Slices with less than this fraction of a violator's heat stay on it.
MIN_MOVED_HEAT_FRACTION = 0.05
# A moved slice counts with this multiple of its heat at the target, where its keys are cold.
COLD_KEYS_HEAT_MULTIPLE = 2.0

# Heat of a slice while no slice has been reported on, in RPCs per ms.
UNKNOWN_SLICE_HEAT = 1e-3

# Evaluation of reports. Several times are multiples of the mean report span, which is the mean time
# that a report covers.

# After this number of mean report spans without a report, nothing is known of its subject.
SILENCE_REPORT_SPANS = 3.0
# Moves older than this number of mean report spans show in the reports.
SETTLING_REPORT_SPANS = 3.0
# Part of one report interval in the moving mean of the report spans.
REPORT_SPAN_SMOOTHING_FRACTION = 0.25
# A report of more than this multiple of the usual attempts or heat is an outlier and is limited.
OUTLIER_MULTIPLE = 2.0
# Part of one report in the moving mean of the attempts per report.
REPORT_SIZE_SMOOTHING_FRACTION = 0.1

# Channel to the proxies

# Fraction of `MAX_CONFIRMATION_WAIT_MS` for which joins are gathered, before the proxies that
# joined late are told of the withdrawals that they missed.
JOIN_GATHERING_FRACTION = 0.25
# After this multiple of the longest time without a confirmation a channel that asks again takes the
# room of bare tables, which nothing else would give back to them.
LONG_SILENCE_GAPS = 2.0
# The channel may send this many times slower than its settings say. Older entries have left it.
MAX_CHANNEL_SLOWDOWN_FACTOR = 6.0

# Hand-over between single owners

# Messages of a hand-over: writes are refused, the table is cleared, the new owner is named.
HAND_OVER_MESSAGES = 3
# A call without an answer has failed within this time, and its orders are given anew.
FAILED_CALL_MS = 250.0

# Admission. Stress is the mean latency as a fraction of the shortest soft deadline.

# Number of steps of an admission level. Each change of a level costs an entry for each slice.
ADMISSION_LEVEL_STEPS = 4
# This level admits all RPCs, whether the site's levels are fractions or rates.
ADMIT_ALL_LEVEL = 1e9
# Above this stress a zone admits less.
HIGH_STRESS_FRACTION = 0.6
# Below this stress a zone admits more.
LOW_STRESS_FRACTION = 0.45
# To admit less, a zone multiplies its admitted fraction by the fraction of attempts that succeed,
# limited to the range from this bound to the next constant.
MIN_ADMISSION_CUT_FACTOR = 0.7
MAX_ADMISSION_CUT_FACTOR = 0.8
# To admit more, a zone adds this to its admitted fraction.
ADMISSION_RISE_FRACTION = 0.1
# A zone waits this number of mean report spans after a change until it admits more.
ADMISSION_RISE_REPORT_SPANS = 2.0
# A zone never admits a smaller fraction.
MIN_ADMISSION_FRACTION = 0.45

# A time that never comes, or a number without a limit.
INFINITY = float("inf")


class Policy:
    """The decisions of one instance, and the state that they rest on.

    `settings` are the site's. `seed` starts the random generator that spreads requests for the
    fleet list in time. Events change the state in `decide`, which returns the resulting orders.
    """

    def __init__(self, settings: SiteSettings, seed: int) -> None:
        """Start without backends, slices and proxies; an unsliced site has one slice at once."""
        self.settings = settings
        self.random = Random(seed)
        self.shortest_soft_deadline_ms = min(m.soft_deadline_ms for m in settings.methods)
        # Method numbers: those of the least criticality, and all others.
        self.methods_by_criticality = self._group_by_criticality({})
        # Backends that operators have taken out of service, in a dictionary used as ordered set.
        self.out_of_service: dict[Backend, None] = {}
        # Zone -> share of its usual work, as operators have set it.
        self.zone_shares: dict[int, float] = {}
        # Every backend that was ever listed or named by the store. This and the next two are
        # dictionaries used as ordered sets.
        self.backends: dict[Backend, None] = {}
        # Slices leased to this instance.
        self.slices: dict[Slice, None] = {}
        # Joined proxies. The entries that wait for a proxy that has left count until they have
        # certainly left the channel.
        self.proxies: dict[Proxy, None] = {}
        self.event_handlers: dict[type, Callable[[Any], None]] = {
            OperatorOverrides: self._on_operator_overrides,
            FleetNews: self._on_fleet_news,
            ProxyJoined: self._on_proxy_joined,
            AttemptReport: self._on_attempt_report,
            SliceHeatReport: self._on_slice_heat,
            SliceLeaseChanged: self._on_lease_changed,
            StoredEntry: self._on_stored_entry,
            WithdrawalState: self._on_withdrawal_state,
            ProxyLeft: self._on_proxy_left,
            ChannelState: self._on_channel_state,
            SealConfirmed: self._on_seal_confirmed,
        }
        # Whether the state has changed since the desired tables were last computed.
        self.needs_planning = True
        # Whether all methods are to be admitted fully, before levels are set anew.
        self.admission_reset_due = True
        self.now_ms = 0.0
        self.next_evaluation_ms = 0.0
        self.next_round_ms = 0.0
        self.next_wake_ms = 0.0
        self.cool_off_until_ms = 0.0
        # The worst violator's latency ratio over the median ratio in the last round.
        self.worst_violation = 0.0
        self.follow_list_at_ms = 0.0 if settings.news_on_request else INFINITY
        # When the list was last heard from discovery.
        self.last_list_at_ms = -INFINITY
        # Withdrawn backends of which proxies that joined late may not know: an ordered set.
        self.unannounced_withdrawals: dict[Backend, None] = {}
        self.announce_withdrawals_at_ms = 0.0
        self.last_join_ms = 0.0
        # Moving mean of the time that a report covers, weighted by attempts.
        self.mean_report_span_ms = settings.report_interval_ms
        # Sums over the reports of this interval: span in ms times attempts, and attempts.
        self.report_span_sums = 0.0, 0.0
        # Moving mean of the attempts per report.
        self.mean_report_attempts = 0.0
        # Moving mean of the fraction of all attempts that succeed.
        self.ok_fraction = 1.0
        # Successful attempts per ms for each unit of size of the warm backends.
        self.warm_ok_rate_per_size = 0.0
        # Zone -> mean latency as a fraction of the shortest soft deadline.
        self.zone_stress: dict[int, float] = {}
        # Zone -> fraction admitted, and the time in ms of its last change.
        self.zone_admission: dict[int, tuple[float, float]] = {}
        # Slice -> former owner, for the moves that are not completed.
        self.running_moves: dict[Slice, Backend] = {}
        self.last_seal = 0
        self.channel = Channel()
        self.channel_condition = ChannelCondition.CONFIRMED
        self.delivery_evidence = DeliveryEvidence()
        self.order_timing = OrderTiming()
        self.channel_state = ChannelState(True)
        # Orders of the last call, without its seal.
        self.last_call_orders: list[Order] = []
        self.unsettled_orders = UnsettledOrders()
        self.doubtful_calls = DoubtfulCalls()
        # Slices that one backend alone serves, while their writes are refused.
        self.write_holds: dict[Slice, WriteHold] = {}
        self.last_proxy_left_ms = -INFINITY
        # When so many backends last failed that none was ejected.
        self.broad_trouble_at_ms = -INFINITY
        # When a slice was last granted.
        self.last_grant_ms = -INFINITY
        # Orders of this batch besides those of `_emit_orders`.
        self.other_orders: list[Order] = []
        # Slices with pending orders, the most important first.
        self.pending_slices: list[Slice] = []
        # Events that raised when they were taken in, and those behind them that wait.
        self.raised_events: list[Event] = []
        self.deferred_events: list[Event] = []
        if not settings.sliced:
            self.slices[Slice(0, is_leased=True)] = None

    def decide(self, now_ms: float, events: Iterable[Event]) -> list[Order]:
        """Take in the events of one batch and return the orders that follow, in their order."""
        self.now_ms = now_ms
        self.other_orders = []
        if not self._take_in(events):
            return self.other_orders
        if now_ms >= self.next_evaluation_ms:
            self.next_evaluation_ms = now_ms + self.settings.report_interval_ms
            self._run_part("evaluation", self._evaluate_reports)
        if now_ms >= self.next_round_ms:
            self.next_round_ms = now_ms + ROUND_INTERVAL_MS
            self._run_part("round", self._run_round)
        former_seal = self.last_seal
        orders: list[Order] = []
        if not self._run_part("orders", lambda: self._emit_orders(orders)):
            self._withhold(orders, former_seal)
            orders = self._due_requests()
        return orders + self.other_orders

    # Parts that raise

    def _run_part(self, part: str, run: Callable[[], None]) -> bool:
        """Run a part of a decision; report its exception, and return whether there was none.

        What it was to change may have been changed in part, so the tables are planned anew.
        """
        try:
            run()
        except Exception as error:
            self.other_orders.append(report_fault(part, error))
            self.needs_planning = True
            return False
        return True

    def _take_in(self, events: Iterable[Event]) -> bool:
        """Take in the events left by the last decision and those of a batch, in their order.

        At the first one that raises, it and all after it are left for the next decision, as they
        may rest on it. There, those that raise for the first time are left alone, so that it can
        be decided at last, and those that raise again are dropped. Return whether to decide now.
        """
        repeated, pending = self.raised_events, [*self.deferred_events, *events]
        self.raised_events, self.deferred_events = [], []
        for event in repeated:
            if not self._handle(event):
                text = f"dropped {type(event).__name__}: it could not be taken in twice"
                self.other_orders.append(LogDecision(text))
        for index, event in enumerate(pending):
            if self._handle(event):
                continue
            self.raised_events.append(event)
            if not repeated:
                self.deferred_events = pending[index + 1 :]
                return False
        return True

    def _handle(self, event: Event) -> bool:
        """Take in one event; return whether it did not raise."""
        handler = self.event_handlers.get(type(event), lambda _: None)
        return self._run_part(event_part(event), lambda: handler(event))

    def _withhold(self, orders: list[Order], former_seal: int) -> None:
        """Have orders given anew that this decision can't give, as if their call had failed."""
        if self.last_seal != former_seal:
            self.channel.drop_message(self.last_seal, self.now_ms)
        self._give_anew(orders, 0)

    # Event handlers

    def _on_fleet_news(self, news: FleetNews) -> None:
        """Take over the fleet list, or ask again after a random delay if it could not be fetched.

        A whole list also tells which backends are gone: those that it lacks.
        """
        if news.kind is FleetNewsKind.MISSED:
            self.follow_list_at_ms = self.now_ms + ROUND_INTERVAL_MS * (1 + self.random.random())
            return
        listed: set[Backend] = set()
        for entry in news.listings:
            backend = entry.backend
            listed.add(backend)
            self.backends[backend] = None
            if entry.phase is not Phase.GONE:
                self._note_start(backend, entry.started_at_ms)
            backend.zone = entry.zone
            backend.listed_phase = entry.phase
            backend.listed_size = (
                entry.size if self.settings.uses_listed_sizes and entry.size > 0 else 1.0
            )
        for backend in (
            known_backend
            for known_backend in self.backends
            if news.kind is not FleetNewsKind.DELTA and known_backend not in listed
        ):
            backend.listed_phase = Phase.GONE
        if news.kind is not FleetNewsKind.CACHED:
            self.last_list_at_ms = self.now_ms
        self._update_phases()

    def _note_start(self, backend: Backend, listed_start_ms: float) -> None:
        """Take over when a backend started, by the list; let it warm up if that is not long ago.

        A restarted backend is treated as a new one, whether or not it was listed as gone in
        between: tables from before the restart may overload it. A start that the list would have
        told before, or that is to come, was stamped by a clock that has been stepped since, or had
        been before: it counts as a start right now.
        """
        if listed_start_ms == backend.started_at_ms:
            return
        backend.started_at_ms = listed_start_ms
        earliest_ms = self.last_list_at_ms - MAX_LIST_LAG_MS
        is_plausible = earliest_ms <= listed_start_ms <= self.now_ms
        start_ms = listed_start_ms if is_plausible else self.now_ms
        if not listed_start_ms or start_ms + self.settings.warm_up_ms <= self.now_ms:
            return
        backend.ramp_start_ms = start_ms
        backend.ramp_duration_ms = self.settings.warm_up_ms
        backend.cold_until_ms = start_ms + self.settings.warm_up_ms
        backend.ejected_until_ms = 0.0
        backend.is_on_probation = False
        self._clear_statistics(backend)

    def _group_by_criticality(
        self, criticality_by_method: dict[int, float]
    ) -> list[tuple[int, ...]]:
        """Return the numbers of the methods of the least criticality, and those of the others.

        `criticality_by_method` overrides the criticality of the site's settings.
        """
        criticalities = [
            criticality_by_method.get(method, method_settings.criticality)
            for method, method_settings in enumerate(self.settings.methods)
        ]
        return [
            tuple(
                method
                for method, criticality in enumerate(criticalities)
                if (criticality > min(criticalities)) == is_higher
            )
            for is_higher in (False, True)
        ]

    def _on_operator_overrides(self, event: OperatorOverrides) -> None:
        """Take over what the operators have agreed on, in place of their previous overrides.

        If the methods are grouped in another way, first all methods are admitted fully; then the
        levels follow the new groups.
        """
        self.out_of_service = dict.fromkeys(event.out_of_service)
        self.zone_shares = event.zone_shares
        grouped_methods = self._group_by_criticality(event.method_criticality)
        if grouped_methods != self.methods_by_criticality:
            self.methods_by_criticality = grouped_methods
            self.admission_reset_due = True
            for slice_ in self.slices:
                if slice_ not in self.write_holds:
                    slice_.admission_levels = (1.0, 1.0)
        self._update_phases()

    def _update_phases(self) -> None:
        """Set the phase and the size of each backend from the list and the operators' overrides.

        A ready backend that is out of service counts as draining, as long as another warm one is
        left. An agreed document that takes out too many is not followed: the list has these
        backends ready, and rules 1 and 4 hold.
        """
        overrides_apply = any(
            candidate.listed_phase is Phase.READY
            and candidate not in self.out_of_service
            and self._warm_up_share(candidate) >= 1
            and candidate.ejected_until_ms <= self.now_ms
            for candidate in self.backends
        )
        for backend in self.backends:
            is_overridden = (
                overrides_apply
                and backend in self.out_of_service
                and backend.listed_phase is Phase.READY
            )
            backend.phase = Phase.DRAINING if is_overridden else backend.listed_phase
            backend.size = backend.listed_size * self.zone_shares.get(backend.zone, 1.0)
        if self.out_of_service and not overrides_apply:
            self.other_orders.append(
                LogDecision("out of service by hand does not act: nobody warm would be left")
            )
        self.needs_planning = True

    def _clear_statistics(self, backend: Backend) -> None:
        """Forget the latencies and outcomes of a restarted, ejected or readmitted backend."""
        backend.latency_minimum.clear()
        backend.outcomes.clear()
        backend.latency_ratio = None
        backend.consecutive_violations = 0
        backend.rpcs_since_ok = 0.0
        backend.decayed_ok_totals = (0.0, 0.0)

    def _on_proxy_joined(self, event: ProxyJoined) -> None:
        """Add a proxy, which does not know of the present withdrawals."""
        self.proxies[event.proxy] = None
        self.last_join_ms = self.now_ms
        if not self.channel_state.is_free:
            # It reads the store, where the call that is under way may not be carried out yet.
            for hold in self.write_holds.values():
                if hold.seal == self.last_seal:
                    hold.record_joined(event.proxy)
        self._schedule_announcement(b for b in self.backends if b.is_withdrawn)

    def _on_proxy_left(self, event: ProxyLeft) -> None:
        """Remove a proxy, which may go on by its last tables for a while."""
        self.proxies.pop(event.proxy, None)
        self.channel.record_receiver_left(event.proxy)
        self.last_proxy_left_ms = self.now_ms
        for hold in self.write_holds.values():
            hold.record_left(event.proxy, self._last_write_ms())

    def _on_channel_state(self, event: ChannelState) -> None:
        """Take over whether the channel takes orders now."""
        self.channel_state = event

    def _schedule_announcement(self, backends: Iterable[Backend]) -> None:
        """Plan to repeat the withdrawals of backends, which some proxy may have missed."""
        self.announce_withdrawals_at_ms = (
            self.announce_withdrawals_at_ms
            if self.unannounced_withdrawals
            else self.now_ms + MAX_CONFIRMATION_WAIT_MS * JOIN_GATHERING_FRACTION
        )
        self.unannounced_withdrawals.update(dict.fromkeys(backends))

    def _on_attempt_report(self, report: AttemptReport) -> None:
        """Add the attempts of a report to the sums of its backend for this report interval.

        No report counts for much more than recent ones do on the mean, so that many plausible
        reports outweigh an implausible one.
        """
        backend = report.backend
        mean_attempts = self.mean_report_attempts or report.attempts
        counted_fraction = min(
            max(2 * OUTLIER_MULTIPLE * mean_attempts, MIN_JUDGED_ATTEMPTS)
            / max(report.attempts, 1),
            1.0,
        )
        ok_attempts = counted_fraction * max(report.attempts - report.aborted_attempts, 0)
        counted_attempts = ok_attempts + min(
            counted_fraction * report.aborted_attempts,
            max(OUTLIER_MULTIPLE * mean_attempts, MIN_JUDGED_ATTEMPTS),
        )
        self.mean_report_attempts = (
            mean_attempts + (counted_attempts - mean_attempts) * REPORT_SIZE_SMOOTHING_FRACTION
        )
        self.report_span_sums = (
            self.report_span_sums[0] + report.span_ms * counted_attempts,
            self.report_span_sums[1] + counted_attempts,
        )
        backend.ok_attempts += ok_attempts
        backend.aborted_attempts = backend.aborted_attempts + counted_attempts - ok_attempts
        backend.ok_latency_sum_ms += ok_attempts * report.mean_latency_ms

    def _on_slice_heat(self, report: SliceHeatReport) -> None:
        """Take in the RPCs of one method for one slice.

        The reported rate is limited to the heat of all slices, or to a multiple of this slice's
        heat, if that is more. The first rate of a slice is not limited.
        """
        slice_ = report.slice
        if slice_ not in self.write_holds:
            level = slice_.admission_levels[report.method in self.methods_by_criticality[1]]
            slice_.admitted_rpcs += report.rpcs * level
        total_heat = sum(s.heat for s in self.slices)
        max_rate = max(total_heat, OUTLIER_MULTIPLE * slice_.heat)
        rate = min(
            report.rpcs / max(report.span_ms, 1.0), max_rate if slice_.method_rates else INFINITY
        )
        slice_.method_rates[report.method] = (
            (slice_.method_rates.get(report.method, (rate, 0.0))[0] + rate) / 2,
            self.now_ms,
        )

    def _on_lease_changed(self, event: SliceLeaseChanged) -> None:
        """Add a granted slice, or drop one that was taken away; its state starts empty."""
        slice_ = event.slice
        # Reports are of the leased slices alone.
        self.delivery_evidence.stop_watching()
        self.running_moves.pop(slice_, None)
        self.slices.pop(slice_, None)
        slice_.is_leased = event.is_granted
        slice_.table = {}
        slice_.owner = None
        slice_.desired_shares = {}
        slice_.pending_orders = []
        slice_.method_rates = {}
        slice_.heat = self._estimated_slice_heat()
        slice_.admission_levels = (1.0, 1.0)
        self.unsettled_orders.discard_slice(slice_)
        self.last_call_orders = [
            order for order in self.last_call_orders if _slice_of(order) is not slice_
        ]
        if self.write_holds.pop(slice_, None):
            change = "given anew" if event.is_granted else "taken away"
            text = f"hold of slice {slice_.number} ended: it was {change}"
            self.other_orders.append(LogDecision(text))
        if event.is_granted:
            self.slices[slice_] = None
            self.admission_reset_due = True
            self.last_grant_ms = self.now_ms
        self.needs_planning = True

    def _on_stored_entry(self, event: StoredEntry) -> None:
        """Take over a stored table entry; the heaviest entry, ready ones first, is the owner's."""
        slice_ = event.slice
        if slice_.is_leased and event.weight > 0:
            self.backends[event.backend] = None
            slice_.table[event.backend] = event.weight
            # The backend may have been withdrawn while no table named it. Proxies that have joined
            # since were not told.
            if event.backend.is_withdrawn:
                self._schedule_announcement([event.backend])
            slice_.owner = max(
                slice_.table, key=lambda b: (b.phase is Phase.READY, slice_.table[b])
            )

    def _on_withdrawal_state(self, event: WithdrawalState) -> None:
        """Take over whether a backend is withdrawn, contrary to what was ordered."""
        self.backends[event.backend] = None
        event.backend.is_withdrawn = event.is_withdrawn
        self.unsettled_orders.discard_backend(event.backend)
        self.needs_planning = True

    def _on_seal_confirmed(self, event: SealConfirmed) -> None:
        """Record a proxy's confirmation; it shows that the call of the seal ran."""
        self.channel.record_confirmation(event.seal, event.proxy, self.now_ms, event.elapsed_ms)
        self.channel.measure_pace(self.settings.max_transit_ms)
        self.doubtful_calls.discard(event.seal)
        if not self.unsettled_orders.is_empty():
            self.unsettled_orders.discard_call(event.seal)
        for slice_, hold in self.write_holds.items():
            if not self.unsettled_orders.has_orders_of(slice_):
                hold.record_confirmation(event.seal, event.proxy, self.now_ms)

    # Evaluation of the state

    def _warm_up_share(self, backend: Backend) -> float:
        """Return the share of a warm backend's work that a backend may get; 1 if it is warm.

        The share rises in steps after a start. A backend on probation gets a very small one until
        attempts succeed, so that one that still hangs costs little.
        """
        if backend.ramp_start_ms is None:
            return 1.0
        if backend.is_on_probation:
            return PROBATION_FRACTION
        elapsed_fraction = (self.now_ms - backend.ramp_start_ms) / backend.ramp_duration_ms
        return max(
            share for step_start, share in WARM_UP_STEPS if step_start <= max(elapsed_fraction, 0.0)
        )

    def _heat_limit(self, backend: Backend) -> float:
        """Return the heat, in RPCs per ms, that a backend in warm-up may have.

        The limit follows the rate of successful attempts at warm backends, not that of incoming
        RPCs, so that a retry storm does not overload the backend. It is this instance's part of a
        budget that all instances share without seeing each other's use of it.
        """
        # The limit is lower where the backend pushes back.
        ok_factor = (1.0 - backend.outcomes.share_from(FAILED_OUTCOME)) ** 2
        return ok_factor * self._step_heat(backend)

    def _step_heat(self, backend: Backend) -> float:
        """Return the heat, in RPCs per ms, of a backend's present step of the warm-up."""
        return (
            self._warm_up_share(backend)
            * backend.size
            * (self.warm_ok_rate_per_size or UNOBSERVED_HEAT_FRACTION * self._mean_heat())
        )

    def _owner_share(self, backend: Backend) -> float:
        """Return the share of its own slices' RPCs that a backend gets, in the warm-up's steps.

        RPCs that the other entries push back come to the owner as well; they may leave no room for
        a share, which is 0 then.
        """
        if self._warm_up_share(backend) >= 1 or backend.is_on_probation:
            return self._warm_up_share(backend)
        share = min(self._heat_limit(backend) / max(backend.owned_heat, 1e-9), 1.0)
        share = 1 - (1 - share) / max(self.ok_fraction, 1e-9)
        return max(
            (step for _, step in WARM_UP_STEPS if step <= share + SHARE_TOLERANCE_FRACTION),
            default=0.0,
        )

    def _is_open(self, backend: Backend) -> bool:
        """Return whether a backend is ready and not ejected."""
        return backend.phase is Phase.READY and backend.ejected_until_ms <= self.now_ms

    def _is_usable(self, backend: Backend) -> bool:
        """Return whether a backend is open and not withdrawn from the proxies."""
        return self._is_open(backend) and not backend.is_withdrawn

    def _is_warm(self, backend: Backend) -> bool:
        """Return whether a backend is open and its warm-up is over."""
        return self._is_open(backend) and self._warm_up_share(backend) >= 1

    def _evaluate_reports(self) -> None:
        """Evaluate the reports of one interval.

        They give the heat of the slices, the latency ratios, the admission of each zone, the
        failing backends and the violators.
        """
        weighted_span_sum_ms, attempts = self.report_span_sums
        self.report_span_sums = (0.0, 0.0)
        interval_span_ms = (
            max(weighted_span_sum_ms / attempts, self.settings.report_interval_ms)
            if attempts
            else self.mean_report_span_ms
        )
        self.mean_report_span_ms += (
            interval_span_ms - self.mean_report_span_ms
        ) * REPORT_SPAN_SMOOTHING_FRACTION
        for slice_ in self.slices:
            # A rate that is no longer reported is halved instead of dropped: silence means that
            # there are no RPCs only where entries reach the proxies.
            for method, (rate, reported_at_ms) in slice_.method_rates.items():
                if self.now_ms - reported_at_ms > SILENCE_REPORT_SPANS * self.mean_report_span_ms:
                    slice_.method_rates[method] = (
                        rate / 2,
                        self.now_ms - self.mean_report_span_ms,
                    )
            if slice_.method_rates:
                slice_.heat = sum(rate for rate, _ in slice_.method_rates.values())
            if self._is_shift_under_way(slice_):
                slice_.rpcs_shifted_at_ms = self.now_ms
            # RPCs are expected by the table only if it has been in force for a while.
            if (
                slice_.rpcs_shifted_at_ms is None
                or self.now_ms - slice_.rpcs_shifted_at_ms
                > SETTLING_REPORT_SPANS * self.mean_report_span_ms
            ):
                for backend, share in active_shares(slice_.table).items():
                    backend.expected_rpcs += slice_.admitted_rpcs * share
            slice_.admitted_rpcs = 0.0
        self._record_deliveries()
        for backend in self.backends:
            self._update_latency(backend)
        if self.out_of_service:
            self._update_phases()
        self._drop_gone_backends()
        self._update_heat()
        self._update_zone_admission()
        self._eject_failing_backends()
        self._count_violations()
        self.needs_planning = True

    def _is_shift_under_way(self, slice_: Slice) -> bool:
        """Return whether most proxies have yet to get the message that last shifted RPCs.

        Where no confirmation comes it counts as received.
        """
        is_silent = self.channel.overdue_ms(self.now_ms) > self._longest_confirmation_gap_ms()
        return not is_silent and self.channel.is_under_way(slice_.shift_seal)

    def _record_deliveries(self) -> None:
        """Take over which messages the proxies have received, as the reports of attempts show."""
        attempts = {
            backend: backend.ok_attempts + backend.aborted_attempts for backend in self.backends
        }
        for delivery in self.delivery_evidence.record_interval(
            attempts, self.now_ms, self.mean_report_span_ms
        ):
            if delivery.is_complete:
                self.channel.record_in_force(delivery.seal)
            else:
                self.channel.record_begun(delivery.seal)

    def _drop_gone_backends(self) -> None:
        """Forget withdrawn backends that are gone and that no table, owner or move names.

        Without this the state would grow for good, as each start may bring new ids. Nothing is
        forgotten while a call may fail or has failed: its withdrawals may have to be given anew.
        """
        if not self.channel_state.is_free or not self.unsettled_orders.is_empty():
            return
        gone = {b for b in self.backends if b.phase is Phase.GONE} - set(
            self.running_moves.values()
        )
        if gone:
            gone.difference_update(*([*s.table, *s.desired_shares, s.owner] for s in self.slices))
            self.other_orders += [
                ForgetBackend(b) for b in self.backends if b in gone and b.is_withdrawn
            ]
            for backend in gone:
                self.delivery_evidence.forget(backend)
            self.backends = {b: None for b in self.backends if b not in gone or not b.is_withdrawn}

    def _update_latency(self, backend: Backend) -> None:
        """Update the latency ratio and the outcomes of a backend from the sums of an interval.

        The latency ratio is the recent mean latency over the backend's own lowest of the last
        minute. It is unknown after a while without successful attempts.
        """
        backend.latency_minimum.drop_before(self.now_ms - LOWEST_LATENCY_WINDOW_MS)
        if backend.ok_attempts:
            backend.decayed_ok_totals = (
                backend.decayed_ok_totals[0] / 2 + backend.ok_attempts,
                backend.decayed_ok_totals[1] / 2 + backend.ok_latency_sum_ms,
            )
            backend.mean_latency_ms = backend.decayed_ok_totals[1] / backend.decayed_ok_totals[0]
            backend.latency_minimum.add(self.now_ms, backend.mean_latency_ms)
            backend.smoothed_latency_ms = (
                backend.smoothed_latency_ms + backend.mean_latency_ms
            ) / 2
            # The lowest latency is a divisor.
            backend.lowest_latency_ms = max(backend.latency_minimum.minimum(), 1e-3)
            backend.latency_ratio = backend.mean_latency_ms / backend.lowest_latency_ms
            backend.last_ok_at_ms = self.now_ms
        elif (
            self.now_ms - (backend.last_ok_at_ms or 0.0)
            > SILENCE_REPORT_SPANS * self.mean_report_span_ms
        ):
            backend.latency_ratio = None
        backend.outcomes.add(OK_OUTCOME, backend.ok_attempts)
        backend.outcomes.add(FAILED_OUTCOME, backend.aborted_attempts)
        # Probation ends here, and the warm-up starts.
        if (
            backend.is_on_probation
            and self._is_usable(backend)
            and backend.outcomes.bins[0] >= MIN_PROBATION_OK_ATTEMPTS
        ):
            backend.is_on_probation = False
            backend.ramp_start_ms = self.now_ms
        if backend.ok_attempts:
            backend.rpcs_since_ok = 0.0
        else:
            backend.rpcs_since_ok += backend.expected_rpcs
        # Traces of weight bring a fraction of an RPC now and then.
        if backend.rpcs_since_ok < 1:
            backend.unanswered_since_ms = self.now_ms

    def _is_crowded(self, backend: Backend) -> bool:
        """Return whether a backend's mean latency is above the low stress mark."""
        return backend.mean_latency_ms > LOW_STRESS_FRACTION * self.shortest_soft_deadline_ms

    def _is_quick(self, backend: Backend) -> bool:
        """Return whether a backend's latency is known to be near its lowest."""
        return (
            backend.latency_ratio is not None and backend.latency_ratio <= MAX_QUICK_LATENCY_RATIO
        )

    def _update_zone_admission(self) -> None:
        """Set the fraction that each zone admits, from its latencies: down at once, up in steps.

        This ends retry storms, in which a crowded fleet stays crowded whatever started them. It is
        harmful where RPCs are slow by nature: methods of low criticality are pushed back in vain.
        """
        warm_backends = [b for b in self.backends if self._is_warm(b)]
        attempts = sum(b.ok_attempts + b.aborted_attempts for b in self.backends)
        aborted_attempts = sum(b.aborted_attempts for b in self.backends)
        self.ok_fraction = (self.ok_fraction + 1 - aborted_attempts / max(attempts, 1e-9)) / 2
        self.warm_ok_rate_per_size = (
            self.warm_ok_rate_per_size
            + sum(b.ok_attempts for b in warm_backends)
            / self.settings.report_interval_ms
            / max(sum(b.size for b in warm_backends), 1e-9)
        ) / 2
        for zone in dict.fromkeys(b.zone for b in self.backends if b.ok_attempts):
            zone_backends = [b for b in self.backends if b.zone == zone and b.ok_attempts]
            interval_stress = (
                sum(b.ok_latency_sum_ms for b in zone_backends)
                / sum(b.ok_attempts for b in zone_backends)
                / self.shortest_soft_deadline_ms
            )
            stress = (self.zone_stress.get(zone, 0.0) + interval_stress) / 2
            self.zone_stress[zone] = stress
            admitted_fraction, changed_at_ms = self.zone_admission.get(zone, (1.0, 0.0))
            zone_ok_fraction = sum(b.ok_attempts for b in zone_backends) / sum(
                b.ok_attempts + b.aborted_attempts for b in zone_backends
            )
            if stress > HIGH_STRESS_FRACTION:
                cut_factor = min(
                    max(zone_ok_fraction, MIN_ADMISSION_CUT_FACTOR), MAX_ADMISSION_CUT_FACTOR
                )
                self.zone_admission[zone] = (
                    max(admitted_fraction * cut_factor, MIN_ADMISSION_FRACTION),
                    self.now_ms,
                )
            elif (
                stress < LOW_STRESS_FRACTION
                and self.now_ms - changed_at_ms
                > ADMISSION_RISE_REPORT_SPANS * self.mean_report_span_ms
            ):
                self.zone_admission[zone] = (
                    min(admitted_fraction + ADMISSION_RISE_FRACTION, 1.0),
                    self.now_ms,
                )

    def _count_violations(self) -> None:
        """Count for each backend the reports in a row above the violator mark; clear the sums.

        A report counts only if this interval's own mean latency is above the mark, too.
        """
        violator_ratio = VIOLATOR_MEDIAN_MULTIPLE * self._median_latency_ratio()
        for backend in self.backends:
            if backend.ok_attempts or backend.latency_ratio is None:
                exceeds_in_interval = (
                    backend.ok_latency_sum_ms / max(backend.ok_attempts, 1e-9)
                    > violator_ratio * backend.lowest_latency_ms
                )
                backend.consecutive_violations = (
                    backend.consecutive_violations + exceeds_in_interval
                    if (backend.latency_ratio or 0.0) > violator_ratio
                    else 0
                )
            backend.ok_attempts = 0.0
            backend.aborted_attempts = 0.0
            backend.expected_rpcs = 0.0
            backend.ok_latency_sum_ms = 0.0

    def _median_latency_ratio(self) -> float:
        """Return the median of the known latency ratios of open backends; 1 if there is none."""
        return median(
            [
                b.latency_ratio
                for b in self.backends
                if b.latency_ratio is not None and self._is_open(b)
            ]
            or [1.0]
        )

    def _eject_failing_backends(self) -> None:
        """Eject backends that fail far more than the fleet although they are quick, or that hang.

        This covers fast errors, crashes and disconnections before the list tells of them, and
        hangs. A crowded backend is not ejected, since that would crowd the next one; its slices
        are moved away. In a broad trouble (exhausted connections, one method without answers, a
        slow path, a wrong view of the fleet) nothing is ejected, since the other backends could not
        do the work. The harm: where a fifth of the fleet truly hangs, it stays in use.
        """
        open_backends = [candidate for candidate in self.backends if self._is_open(candidate)]
        failure_fractions = {
            candidate: candidate.outcomes.share_from(FAILED_OUTCOME)
            for candidate in open_backends
            if candidate.outcomes.total() >= MIN_JUDGED_ATTEMPTS
        }
        failing_fraction = max(
            MIN_FAILING_FRACTION,
            FAILING_MEDIAN_MULTIPLE * median(failure_fractions.values() or [0.0]),
        )
        failing_backends = [
            candidate
            for candidate in open_backends
            # The backend fails without being crowded, ...
            if (
                not (
                    self._is_crowded(candidate)
                    or candidate.smoothed_latency_ms
                    > LOW_STRESS_FRACTION * self.shortest_soft_deadline_ms
                )
                and failure_fractions.get(candidate, 0.0)
                >= (
                    failing_fraction
                    if candidate.ok_attempts and self._is_quick(candidate)
                    else MIN_SLOW_FAILING_FRACTION
                )
            )
            # ... or it hangs.
            or (
                candidate.rpcs_since_ok >= MIN_HANG_RPCS
                and self.now_ms - candidate.unanswered_since_ms
                > max(
                    2 * self.mean_report_span_ms,
                    max(
                        method.deadline_ms
                        if self._is_crowded(candidate)
                        else method.soft_deadline_ms
                        for method in self.settings.methods
                    ),
                )
            )
        ]
        ready_backends = [
            candidate for candidate in self.backends if candidate.phase is Phase.READY
        ]
        ejected_backends = [
            candidate for candidate in ready_backends if not self._is_open(candidate)
        ]
        suspect_count = sum(
            candidate in failing_backends
            or failure_fractions.get(candidate, 0.0) >= MIN_SUSPECT_FRACTION
            for candidate in open_backends
        )
        if len(ejected_backends) + suspect_count > max(
            MAX_SUSPECT_BACKENDS_FRACTION * len(ready_backends), 1
        ):
            # The trouble is broad: ejected backends return, and no other is ejected.
            self.broad_trouble_at_ms = self.now_ms
            for backend in ejected_backends:
                backend.ejected_until_ms = self.now_ms
            return
        # Those that returned are not judged before reports show how they do.
        settling_ms = SETTLING_REPORT_SPANS * self.mean_report_span_ms
        if self.now_ms - self.broad_trouble_at_ms < settling_ms:
            return
        for backend in failing_backends:
            self.other_orders.append(
                LogDecision(
                    f"shut out {backend.name}: {failure_fractions.get(backend, 0):.0%} of its tries"
                    f" went wrong, {backend.rpcs_since_ok:.0f} asked since one went well"
                )
            )
            backend.ejected_until_ms = self.now_ms + FIRST_EJECTION_MS * 2 ** min(
                backend.ejection_count, 2
            )
            backend.ramp_start_ms = backend.ejected_until_ms
            backend.ramp_duration_ms = READMISSION_WARM_UP_FRACTION * self.settings.warm_up_ms
            backend.ejection_count += 1
            backend.is_on_probation = True
            self._clear_statistics(backend)

    # Placement mechanism

    def _run_round(self) -> None:
        """Run one round of the placement loop: worst violator first, its hottest slices first.

        No slice moves while earlier moves run or the loop cools off. If the worst violator has
        become worse while moves run, those not sent yet are cancelled.
        """
        self._log_channel_condition()
        self._log_shortage()
        self._log_lateness()
        for backend in self.backends:
            backend.outcomes.halve()
        # Events of this batch may have changed slices and tables since the last evaluation.
        if self.needs_planning:
            self._update_heat()
        median_ratio = self._median_latency_ratio()
        # An ordered set: each backend takes at most one slice in a round.
        used_targets: dict[Backend, None] = {}
        violators = self._list_violators()
        previous_worst = self.worst_violation
        self.worst_violation = violators[0][0] / median_ratio if violators else 0.0
        if self.running_moves and self.worst_violation > previous_worst:
            self._cancel_moves()
        if not self.settings.sliced or self.settings.has_single_owner:
            return
        is_paused = self.running_moves or self.now_ms < self.cool_off_until_ms
        budget = 0 if is_paused else MOVE_BUDGET_PER_ROUND
        for _, violator in violators:
            for slice_ in self._movable_slices(violator):
                if len(used_targets) >= budget:
                    break
                target = self._choose_target(slice_, violator, median_ratio, used_targets)
                if target:
                    used_targets[target] = None
                    self.running_moves[slice_] = violator
                    self._move_slice(slice_, violator, target)
        self._fill_started_backends(used_targets)

    def _list_violators(self) -> list[tuple[float, Backend]]:
        """Return the violators with their latency ratios, the worst first."""
        violators = [
            (candidate.latency_ratio, candidate)
            for candidate in self.backends
            if self._is_open(candidate)
            and candidate.latency_ratio is not None
            and candidate.consecutive_violations >= MIN_VIOLATOR_REPORTS
        ]
        return sorted(violators, key=lambda violator: -violator[0])

    def _movable_slices(self, violator: Backend) -> list[Slice]:
        """Return the slices that may move away from a violator, the hottest first."""
        slices = [
            slice_
            for slice_ in self.slices
            if slice_.owner is violator
            and slice_.move_blocked_until_ms <= self.now_ms
            and slice_.heat >= MIN_MOVED_HEAT_FRACTION * violator.heat
        ]
        return sorted(slices, key=lambda slice_: -slice_.heat)

    def _log_channel_condition(self) -> None:
        """Log whether messages are confirmed, if that has changed."""
        unanswered_ms = self.channel.unanswered_ms(self.now_ms)
        budget = self._measure_budget()
        slowdown = self._view_channel(budget).slowdown
        if self.channel.loses_confirmations:
            condition = ChannelCondition.LOSES_CONFIRMATIONS
        elif self._certain_pace():
            condition = ChannelCondition.LATE
        elif self._is_confirmation_overdue(unanswered_ms):
            condition = ChannelCondition.SILENT
        elif is_slow(slowdown, self.channel_condition is ChannelCondition.SLOW):
            condition = ChannelCondition.SLOW
        else:
            condition = ChannelCondition.CONFIRMED
        if condition is self.channel_condition:
            return
        self.channel_condition = condition
        late_ms = self.channel.lateness_ms if condition is ChannelCondition.LATE else unanswered_ms
        text = (
            describe_slowdown(slowdown, budget.waiting_entries, budget.capacity)
            if condition is ChannelCondition.SLOW
            else describe_change(condition, late_ms, budget.waiting_entries, budget.capacity)
        )
        self.other_orders.append(LogDecision(text))

    def _log_shortage(self) -> None:
        """Log what waits for room of the channel, if backends or tables are out of use for it."""
        withdrawn = [b.name for b in self.backends if b.is_withdrawn and self._is_open(b)]
        bare_count = sum(
            bool(slice_.table) and has_no_active_entry(slice_.table) for slice_ in self.slices
        )
        if withdrawn or bare_count:
            pending_count = sum(len(slice_.pending_orders) for slice_ in self.pending_slices)
            text = describe_shortage(withdrawn, bare_count, pending_count, self._measure_budget())
            self.other_orders.append(LogDecision(text))

    def _log_lateness(self) -> None:
        """Log which orders may come too late for the limits of their rules."""
        view = self._view_channel(self._measure_budget())
        text = describe_lateness(self.order_timing.measure_slack(view), view.slowdown)
        if text:
            self.other_orders.append(LogDecision(text))

    def _fill_started_backends(self, used_targets: dict[Backend, None]) -> None:
        """Move a slice from the most crowded backend to each nearly empty backend seen to start.

        The placement loop relieves violators only, and takes a backend without reports for an
        average one, so an enlarged fleet would stay idle. Filling only relieves backends, so
        running moves and cool-offs do not hold it up. The harm: if the move turns out needless,
        the slice's keys have gone cold for nothing.
        """
        mean_heat = self._mean_heat()
        budget = max(
            MOVE_BUDGET_PER_ROUND,
            FILL_BUDGET_FRACTION * sum(self._is_usable(b) for b in self.backends),
        )
        for target in self.backends:
            if (
                budget < 1
                or target in used_targets
                or target.ramp_start_ms is None
                or not self._is_usable(target)
                or target.owned_heat
                > MAX_FILL_TARGET_HEAT_FRACTION
                * mean_heat
                * target.size
                * self._warm_up_share(target)
            ):
                continue
            candidates = [
                (candidate.owner, candidate)
                for candidate in self.slices
                if candidate.move_blocked_until_ms <= self.now_ms
                and candidate.owner
                and (
                    candidate.owner.consecutive_violations
                    or (
                        candidate.owner.heat
                        > MIN_FILL_SOURCE_HEAT_MULTIPLE * mean_heat * candidate.owner.size
                    )
                )
                and self._fits_on(candidate, candidate.owner, target)
            ]
            if candidates:
                budget -= 1
                source, slice_ = max(
                    candidates, key=lambda pair: (pair[0].latency_ratio or 0.0, pair[1].heat)
                )
                self._move_slice(slice_, source, target)

    def _fits_on(self, slice_: Slice, source: Backend, target: Backend) -> bool:
        """Return whether a slice may move: the target must stay cooler than the source is now.

        No move may make a new worst backend. The slice's heat counts twice at the target, as its
        keys are cold there.
        """
        expected_heat = target.heat + COLD_KEYS_HEAT_MULTIPLE * slice_.heat
        return expected_heat < source.heat * target.size / source.size and self._has_room(
            target, slice_
        )

    def _choose_target(
        self,
        slice_: Slice,
        source: Backend,
        median_ratio: float,
        used_targets: dict[Backend, None],
    ) -> Backend | None:
        """Return the backend of the lowest latency ratio that a slice may move to, or None.

        Its ratio must be at or below the median; a backend without reports counts as median.
        """
        ratios = {
            candidate: median_ratio if candidate.latency_ratio is None else candidate.latency_ratio
            for candidate in self.backends
            if self._is_usable(candidate)
        }
        candidates = [
            candidate
            for candidate, ratio in ratios.items()
            if ratio <= median_ratio
            and not candidate.consecutive_violations
            and candidate is not source
            and candidate not in used_targets
            and self._fits_on(slice_, source, candidate)
        ]
        return min(
            candidates,
            key=lambda candidate: (ratios[candidate], candidate.heat / candidate.size),
            default=None,
        )

    def _move_slice(self, slice_: Slice, source: Backend, target: Backend) -> None:
        """Make a backend the owner of a slice and log the move; the tables follow."""
        rpcs_per_s = slice_.heat * 1000
        self.other_orders.append(
            LogDecision(
                f"move slice {slice_.number} of heat {rpcs_per_s:.1f}/s from {source.name}"
                f" ({source.latency_ratio or 0:.1f}) to {target.name}"
                f" ({target.latency_ratio or 0:.1f})"
            )
        )
        source.heat -= slice_.heat
        target.heat += slice_.heat
        target.owned_heat += slice_.heat
        slice_.owner = target
        slice_.move_blocked_until_ms = self.now_ms + MOVE_BLOCK_MS
        self.needs_planning = True

    def _cancel_moves(self) -> None:
        """Cancel the moves that have not been sent, and start a cool-off."""
        for slice_, former_owner in self.running_moves.items():
            if slice_.pending_orders and slice_.shifts_rpcs and self._is_usable(former_owner):
                slice_.owner = former_owner
                slice_.move_blocked_until_ms = 0.0
        self.running_moves.clear()
        self.cool_off_until_ms = self.now_ms + COOL_OFF_MS
        self.needs_planning = True

    # Desired state

    def _estimated_slice_heat(self) -> float:
        """Return the heat of a slice without reports, in RPCs per ms: that of an average one.

        Otherwise a controller that was just granted slices would take them for cold, and give them
        all to one backend.
        """
        known_heats = [s.heat for s in self.slices if s.method_rates and s.heat]
        return sum(known_heats) / len(known_heats) if known_heats else UNKNOWN_SLICE_HEAT

    def _update_heat(self) -> None:
        """Add up the heat of each backend by the present tables, in RPCs per ms."""
        for backend in self.backends:
            backend.heat = 0.0
            backend.owned_heat = 0.0
            backend.standby_heat = 0.0
        for slice_ in self.slices:
            if slice_.owner:
                slice_.owner.owned_heat += slice_.heat
            for backend, share in active_shares(slice_.table).items():
                backend.heat += slice_.heat * share

    def _has_room(self, backend: Backend, slice_: Slice) -> bool:
        """Return whether a backend may take a slice; a warm one always may."""
        return self._warm_up_share(
            backend
        ) >= 1 or backend.owned_heat + slice_.heat <= self._heat_limit(backend)

    def _mean_heat(self) -> float:
        """Return the mean heat of the open backends for each unit of size, in RPCs per ms."""
        open_backends = [b for b in self.backends if self._is_open(b)]
        return sum(b.heat for b in open_backends) / max(sum(b.size for b in open_backends), 1e-9)

    def _plan_tables(self) -> None:
        """Decide the desired shares of every leased slice.

        Slices without a ready owner get a new one, the hottest first. An unsliced site's table
        holds all open backends by size.
        """
        self.needs_planning = False
        if not self.settings.sliced:
            for slice_ in self.slices:
                slice_.desired_shares = {
                    b: b.size * self._warm_up_share(b) for b in self.backends if self._is_open(b)
                } or slice_.table
            return
        self._update_heat()
        ready_backends = [b for b in self.backends if b.phase is Phase.READY]
        usable_backends = [b for b in ready_backends if self._is_usable(b)] or ready_backends
        if not ready_backends:
            return
        # If no ready backend is usable, ejected ones are used: they are better than none.
        for backend in usable_backends:
            backend.ejected_until_ms = min(backend.ejected_until_ms, self.now_ms)
        self._restore_owners()
        for slice_ in sorted(
            (s for s in self.slices if s.owner is None or s.owner.phase is not Phase.READY),
            key=lambda s: -s.heat,
        ):
            owner = self._choose_new_owner(slice_, usable_backends)
            slice_.owner = owner
            owner.heat += slice_.heat
            owner.owned_heat += slice_.heat
        warm_backends = [b for b in usable_backends if self._warm_up_share(b) >= 1]
        for slice_ in self.slices:
            if slice_.owner is not None:
                slice_.desired_shares = self._desired_shares(slice_, slice_.owner, warm_backends)

    def _restore_owners(self) -> None:
        """Give held slices back to former owners that are ready again and still in the tables.

        One that has started anew is cold, and would be pushed over.
        """
        for slice_ in list(self.write_holds):
            for backend in slice_.table:
                is_back = self._is_warm(backend) and not backend.is_withdrawn
                if is_back and slice_.owner is not backend:
                    slice_.owner = backend
                    self._release_writes(slice_)

    def _desired_shares(
        self, slice_: Slice, owner: Backend, warm_backends: list[Backend]
    ) -> dict[Backend, float]:
        """Return the share of a slice's RPCs by backend: what the owner may get, and the rest.

        The rest goes to the standby.
        """
        standby = (
            None
            if self.settings.has_single_owner
            else self._choose_standby(slice_, owner, warm_backends)
        )
        if standby is None:
            return {owner: 1.0}
        standby.standby_heat += slice_.heat
        owner_share = self._owner_share(owner)
        if not owner_share:
            return {standby: 1.0}
        return {owner: owner_share, standby: 1.0 - owner_share}

    def _choose_new_owner(self, slice_: Slice, usable_backends: list[Backend]) -> Backend:
        """Return the least crowded backend for a slice that has lost its owner.

        A backend in warm-up is chosen only within its heat limit, unless there is no other.
        """
        candidates = [b for b in usable_backends if self._has_room(b, slice_)]
        candidates = (
            candidates
            or [b for b in usable_backends if self._warm_up_share(b) >= 1]
            or usable_backends
        )
        return min(
            [b for b in candidates if not b.consecutive_violations] or candidates,
            key=lambda b: (
                (b.heat + slice_.heat)
                / (b.size * self._warm_up_share(b))
                * (PRESENT_ENTRY_HEAT_FACTOR if b in slice_.table else 1.0)
            ),
        )

    def _choose_standby(
        self, slice_: Slice, owner: Backend, warm_backends: list[Backend]
    ) -> Backend | None:
        """Return a warm backend that serves a slice's RPCs if the owner is lost, or None.

        One that the table already holds comes first, else the least crowded, best in another zone.
        """
        present_standbys = [
            b for b in slice_.table if b is not owner and self._is_warm(b) and not b.is_withdrawn
        ]
        if present_standbys:
            return max(
                present_standbys, key=lambda b: (not b.consecutive_violations, slice_.table[b])
            )
        return min(
            (b for b in warm_backends if b is not owner),
            default=None,
            key=lambda b: (
                b.zone == owner.zone,
                b.consecutive_violations > 0,
                (b.heat + b.standby_heat) / b.size,
            ),
        )

    def _pending_entries(self, slice_: Slice) -> list[SetEntry]:
        """Return the fewest entries that bring a table to the desired shares.

        Each entry goes to every proxy, so stale entries whose weight is a trace beside the main
        one's stay. Weights are relative: the main entry keeps its present weight where it can, and
        the others are set in proportion to it.
        """
        desired = slice_.desired_shares
        table = slice_.table
        stale_entries = (
            []
            if self.settings.has_single_owner
            else [SetEntry(slice_, b, 0.0) for b in table if b not in desired]
        )
        # Backends that are not ready but still have a share. Where tables are not judged by heat,
        # readmissible ones in warm-up, too, which would get this share when they are readmitted.
        urgent_removals = [
            entry
            for entry in stale_entries
            if (
                entry.backend.phase is not Phase.READY
                and share_if_active(table, entry.backend) > SHARE_TOLERANCE_FRACTION
            )
            or (
                not self._judges_by_heat()
                and self._is_open(entry.backend)
                and entry.backend.is_withdrawn
                and self._warm_up_share(entry.backend) < 1
            )
        ]
        if not self.settings.sliced or self.settings.has_single_owner:
            changed_entries = [
                SetEntry(slice_, b, share) for b, share in desired.items() if table.get(b) != share
            ]
            return changed_entries + stale_entries
        main_backend = max(desired, key=desired.__getitem__)
        main_weight = table.get(main_backend, 0.0)
        max_stale_weight = max(
            (table[entry.backend] for entry in stale_entries if entry.backend.phase is Phase.READY),
            default=0.0,
        )
        # The main weight rises if a stale entry would be more than a trace beside it.
        if main_weight * STANDBY_WEIGHT_FRACTION < max_stale_weight / 2 or not main_weight:
            main_weight = max(table.values()) / STANDBY_WEIGHT_FRACTION if table else 1.0
        if main_weight > MAX_WEIGHT:
            new_entries = [
                SetEntry(slice_, b, max(share / desired[main_backend], STANDBY_WEIGHT_FRACTION))
                for b, share in desired.items()
            ]
            return new_entries + stale_entries
        due_entries = []
        for backend, share in desired.items():
            # Both weights are fractions of the main weight.
            weight = max(share / desired[main_backend], STANDBY_WEIGHT_FRACTION)
            present_weight = table.get(backend, 0.0) / main_weight
            if (
                not present_weight
                or abs(present_weight - weight)
                > SHARE_TOLERANCE_FRACTION * (weight > STANDBY_WEIGHT_FRACTION)
                + STANDBY_WEIGHT_FRACTION
            ):
                due_entries.append(SetEntry(slice_, backend, weight * main_weight))
        # Entries of gone backends are removed when the table is written anyway.
        return (
            due_entries
            + urgent_removals
            + [
                entry
                for entry in stale_entries
                if due_entries
                and entry.backend.phase is Phase.GONE
                and entry not in urgent_removals
            ]
        )

    # From the present to the desired state

    def _update_pending_orders(self) -> None:
        """Plan the tables anew, and list the slices with pending orders by importance.

        Orders that shift RPCs come before those of standby entries, and hot slices before cold.
        """
        self._plan_tables()
        for slice_ in self.slices:
            pending_entries = self._pending_entries(slice_) if slice_.desired_shares else []
            if self._changes_owner(slice_, pending_entries):
                self._hold_writes(slice_)
            if not self._is_table_held(slice_):
                pending_entries += self._unsettled_entries(slice_, pending_entries)
            else:
                pending_entries = []
            slice_.pending_orders = [
                *self._pending_hold(slice_),
                *pending_entries,
                *self._pending_levels(slice_),
            ]
            present_shares = active_shares(slice_.table)
            slice_.shifts_rpcs = (
                bool(self.unsettled_orders.entries(slice_))
                or slice_ in self.write_holds
                or self._admission_levels(slice_) != slice_.admission_levels
                or any(
                    abs(present_shares.get(b, 0.0) - share) > SHARE_TOLERANCE_FRACTION
                    for b, share in slice_.desired_shares.items()
                )
            )
        self.pending_slices = sorted(
            (slice_ for slice_ in self.slices if slice_.pending_orders),
            key=lambda s: (not s.shifts_rpcs, -s.heat),
        )

    def _unsettled_entries(self, slice_: Slice, entries: list[SetEntry]) -> list[SetEntry]:
        """Return the entries of a table that failed calls have set, and that are not being set."""
        being_set = {entry.backend for entry in entries}
        return [
            SetEntry(slice_, backend, slice_.table.get(backend, 0.0))
            for backend in self.unsettled_orders.entries(slice_)
            if backend not in being_set
            # A single owner's entry replaces the former one.
            and not (self.settings.has_single_owner and entries)
        ]

    # Hand-over between single owners

    def _changes_owner(self, slice_: Slice, entries: list[SetEntry]) -> bool:
        """Return whether entries hand a slice from one single owner to another.

        An empty table may be one that another instance has cleared in a hand-over.
        """
        return self.settings.has_single_owner and any(
            entry.backend not in slice_.table for entry in entries
        )

    def _levels_act(self) -> bool:
        """Return whether the site's levels have an effect."""
        return self.settings.admission_mode != "silent"

    def _hold_writes(self, slice_: Slice) -> None:
        """Keep the writes of a slice from all backends until the former owner's are surely done."""
        if self.settings.has_single_owner and self.settings.write_methods:
            hold = self.write_holds.get(slice_)
            if hold is None or hold.is_ended:
                former_owner = next(iter(slice_.table), None)
                self.write_holds[slice_] = WriteHold(
                    started_at_ms=self.now_ms, former_owner=former_owner
                )

    def _release_writes(self, slice_: Slice) -> None:
        """End the hold of a slice whose former owner is ready again and keeps it."""
        del self.write_holds[slice_]
        self.unsettled_orders.add_levels(slice_)
        text = f"hold of slice {slice_.number} ended: its owner is ready again"
        self.other_orders.append(LogDecision(text))

    def _last_write_ms(self) -> float:
        """Return when a proxy that has not joined may last have sent a write by its tables."""
        return max(self.last_proxy_left_ms, self.last_grant_ms) + self.settings.write_lease_ms

    def _end_holds(self) -> None:
        """Have the new owners named where holds are over, and tables cleared where writes are."""
        for slice_ in self.write_holds:
            if self._are_writes_over(self.write_holds[slice_]):
                self.needs_planning = True

    def _pending_hold(self, slice_: Slice) -> list[ClearTable | SetAdmissionLevel]:
        """Return the orders that keep writes from a slice, if they are due.

        First its writes are refused by their level, so that reads go on at the former owner until
        that has to be withdrawn. Then the table is cleared, so that whoever reads the store after a
        restart, which voids levels, finds nobody to send a write to.
        """
        hold = self.write_holds.get(slice_)
        if hold is None or not self._is_table_held(slice_):
            return []
        unsettled = self.unsettled_orders
        is_sent = not (hold.is_due or unsettled.has_levels(slice_) or unsettled.is_cleared(slice_))
        methods = tuple(range(len(self.settings.methods)))
        is_kept = self._may_keep_owner(hold) and not has_no_active_entry(slice_.table)
        if is_kept and not self._are_writes_over(hold):
            methods = self.settings.write_methods
            level = SetAdmissionLevel(methods, slice_, 0.0, RetryMode.NEVER_RAN)
            return [] if is_sent else [level]
        if is_sent and not slice_.table:
            return []
        # Clearing a table clears its levels, too.
        levels = (
            [SetAdmissionLevel(methods, slice_, 0.0, RetryMode.NEVER_RAN)]
            if self._levels_act()
            else []
        )
        return [ClearTable(slice_), *levels]

    def _are_writes_over(self, hold: WriteHold) -> bool:
        """Return whether no write is left at the former owner of a held slice."""
        return hold.are_writes_over(self.now_ms, self.settings.max_write_ms)

    def _is_table_held(self, slice_: Slice) -> bool:
        """Return whether no new owner may be named in the table of a slice yet.

        All proxies must have confirmed that the table is empty, and the writes that they had sent
        to the former owner must be over.
        """
        hold = self.write_holds.get(slice_)
        if hold is None or hold.is_ended:
            return False
        return bool(slice_.table or hold.unconfirmed) or not self._are_writes_over(hold)

    def _may_keep_owner(self, hold: WriteHold) -> bool:
        """Return whether reads may go on at the former owner while its writes are refused.

        That takes one message more than to clear the table at once.
        """
        pushes_left = (self.settings.max_pushes_per_window or INFINITY) - len(
            self.channel.push_times_ms
        )
        return self._levels_act() and (hold.seal > 0 or pushes_left >= HAND_OVER_MESSAGES)

    def _is_withdrawal_deferred(self, backend: Backend) -> bool:
        """Return whether a departing owner stays in use while writes of its slices are refused.

        Reads go on there until the writes are over, or as long as the limit for withdrawals allows.
        """
        holds = [hold for slice_, hold in self.write_holds.items() if backend in slice_.table]
        if not holds or not self.unsettled_orders.is_empty():
            return False
        if not all(map(self._may_keep_owner, holds)):
            return False
        began_at_ms = min(hold.started_at_ms for hold in holds)
        return self.now_ms < began_at_ms + self._max_withdrawal_wait_ms() and not all(
            map(self._are_writes_over, holds)
        )

    def _max_withdrawal_wait_ms(self) -> float:
        """Return how long a withdrawal may wait and still be in force in time.

        What is to be left are the time until the next decision, that of a call that brings no
        answer, that of a message that clears all tables, on a channel as slow as may be, and its
        way.
        """
        entries = self._message_overhead() + len(self.backends) + 2 * len(self.slices)
        copies_ms = entries * self._receiver_count() / self.settings.channel_entries_per_ms
        return (
            self.settings.drain_grace_ms
            - self._timer_delay_ms()
            - FAILED_CALL_MS
            - MAX_CHANNEL_SLOWDOWN_FACTOR * copies_ms
            - self.settings.max_transit_ms
        )

    def _restart_holds(self, orders: list[Order], seal: int) -> None:
        """Note the message that the proxies have to confirm, for the holds of slices in it."""
        last_write_ms = max(self.now_ms, self._last_write_ms())
        unsettled = self.unsettled_orders
        named = {order.slice: order.backend for order in orders if isinstance(order, SetEntry)}
        changes: dict[tuple[HoldChange, Backend | None, Backend | None], list[int]] = {}
        for slice_ in dict.fromkeys(map(_slice_of, orders)):
            hold = self.write_holds.get(slice_) if slice_ else None
            if slice_ is None or hold is None:
                continue
            if slice_ in named:
                del self.write_holds[slice_]
                change = HoldChange.ENDED
            else:
                change = HoldChange.KEPT if slice_.table else HoldChange.CLEARED
                if not hold.seal or not self._levels_act() or unsettled.has_levels(slice_):
                    hold.stop_writes(seal, self.proxies, last_write_ms)
                else:
                    hold.await_confirmations(seal, self.proxies)
            key = change, hold.former_owner, slice_.owner
            changes.setdefault(key, []).append(slice_.number)
        for (change, former_owner, owner), numbers in changes.items():
            text = describe_hold(change, numbers, former_owner, owner)
            self.other_orders.append(LogDecision(text))

    def _is_hold_unconfirmed(self) -> bool:
        """Return whether a hold lacks confirmations for so long that they are asked for again."""
        return (
            self.channel_state.is_free
            and self.now_ms - self.channel.last_push_ms >= MAX_CONFIRMATION_WAIT_MS
            and any(hold.seal and hold.unconfirmed for hold in self.write_holds.values())
        )

    def _log_unconfirmed_holds(self) -> None:
        """Log which proxies lack, if holds wait for them."""
        proxies = {p: None for hold in self.write_holds.values() for p in hold.unconfirmed}
        if proxies:
            names = describe_names([str(proxy.number) for proxy in proxies])
            text = f"hold waits: {len(self.write_holds)} slices, for proxies {names}"
            self.other_orders.append(LogDecision(text))

    def _must_ask_again(self, budget: ChannelBudget) -> bool:
        """Return whether a message that only asks for confirmations is due.

        Holds wait for confirmations themselves. Else it is sent where a silent channel leaves no
        room for orders: as far as bare tables might use the channel, and after a long silence as
        long as a batch of withdrawals fits beside it.
        """
        if budget.room > 0 and self._is_hold_unconfirmed():
            return True
        if not (
            budget.is_silent
            and self.channel_state.is_free
            and self.pending_slices
            and self._may_push()
        ):
            return False
        # What is left of the room of `budget` is beside its reserves.
        present_budget = self._measure_budget()
        silence_ms = self.channel.overdue_ms(self.now_ms)
        if silence_ms > LONG_SILENCE_GAPS * self._longest_confirmation_gap_ms():
            return present_budget.room > present_budget.batch_entries
        return present_budget.room > present_budget.withdrawal_reserve

    def _is_bare(self, slice_: Slice) -> bool:
        """Return whether a slice's table has no active entry that is surely in force.

        One whose writes are to be refused, and are not yet, is as urgent, and counts as such.
        The entry of a backend that just started counts only if it is desired: others may have left
        it all RPCs of the slice.
        """
        if self._is_hold_due(slice_):
            return True
        unsettled = self.unsettled_orders.entries(slice_)
        return all(
            b.is_withdrawn
            or b in unsettled
            or (
                self._judges_by_heat()
                and self._warm_up_share(b) <= WARM_UP_STEPS[0][1]
                and b not in slice_.desired_shares
            )
            for b in slice_.table
        )

    def _is_hold_due(self, slice_: Slice) -> bool:
        """Return whether a slice's writes are to be held, and no message has said so yet."""
        hold = self.write_holds.get(slice_)
        return hold is not None and hold.is_due

    def _may_push(self) -> bool:
        """Return whether orders that can wait may go out now.

        Enough proxies must have confirmed the last push, or the wait for them be over, and part of
        the pushes that the site allows in a window must be left.
        """
        has_waited = self.now_ms - self.channel.last_push_ms >= MAX_CONFIRMATION_WAIT_MS
        max_pushes = self.settings.max_pushes_per_window or INFINITY
        return (
            has_waited
            or self.channel.unconfirmed_receivers() <= MAX_UNCONFIRMED_FRACTION * len(self.proxies)
        ) and (len(self.channel.push_times_ms) < (1.0 - URGENT_RESERVE_FRACTION) * max_pushes)

    def _emit_orders(self, orders: list[Order]) -> None:
        """Append the orders that bring the present state to the desired one, within the channel.

        Withdrawals, and tables without an active entry, are sent at once and may use a reserve of
        the channel. All other orders wait until enough proxies have confirmed the push before, or
        the wait for them is over. Readmissions go before the rest of them, since each backend in
        use that is missing makes more tables bare when the next one leaves.
        """
        self._end_holds()
        if self.needs_planning:
            self._update_pending_orders()
        self._drop_old_messages()
        self._recover_failed_call()
        budget = self._measure_budget()
        if self._must_wait(budget):
            self._complete_moves()
            orders += self._due_requests()
            return
        budget.room *= self.channel_state.is_free
        self._add_withdrawals(orders, budget)
        budget.withdrawal_count = len(orders)
        is_message_due = (
            bool(orders)
            or any(map(self._is_bare, self.pending_slices))
            or any(b.is_withdrawn and self._is_open(b) for b in self.backends)
        )
        if budget.is_pressing(OrderClass.MISSED_WITHDRAWAL) and (
            is_message_due or self._has_gathered_joins(budget)
        ):
            self._add_missed_withdrawals(orders, budget, is_message_due)
        if not budget.is_pressing(OrderClass.BARE_TABLE):
            self._add_readmissions(orders, budget)
        is_missing_tables = self._add_bare_tables(orders, budget)
        self._add_readmissions(orders, budget)
        if orders or self._has_gathered_joins(budget):
            self._add_missed_withdrawals(orders, budget, bool(orders))
        is_missing_withdrawals = bool(self._missed_withdrawals())
        # Other orders wait while urgent ones are left: pushes of an entry or two, one after the
        # other, would take the room that all of those wait for.
        if self._may_push() and not is_missing_withdrawals and not is_missing_tables:
            self._add_deferrable_orders(orders, budget)
        self._log_readmissions(orders)
        self._add_bindings(orders)
        must_ask_again = not orders and self._must_ask_again(budget)
        if must_ask_again:
            self._log_unconfirmed_holds()
        if orders or must_ask_again:
            orders.append(self._seal_message(orders))
        self._complete_moves()
        orders += self._due_requests()

    def _must_wait(self, budget: ChannelBudget) -> bool:
        """Return whether all orders wait for the messages under way; note since when they do."""
        view = self._view_channel(budget)
        grace_entries, bare_entries = budget.grace_entries, budget.bare_entries
        timing = self.order_timing
        timing.update(OrderClass.WITHDRAWAL, self._leaving_count(), grace_entries, view)
        missed_count = len(self._missed_withdrawals())
        timing.update(OrderClass.MISSED_WITHDRAWAL, missed_count, grace_entries, view)
        bare_count = sum(self._is_bare(slice_) for slice_ in self.pending_slices)
        timing.update(OrderClass.BARE_TABLE, bare_count, bare_entries, view)
        budget.slack = timing.measure_slack(view)
        is_bound = self.settings.sliced or all(proxy.is_bound for proxy in self.proxies)
        return is_bound and must_wait(view)

    def _view_channel(self, budget: ChannelBudget) -> ChannelView:
        """Return what is known of the channel now."""
        stated_pace = self.settings.channel_entries_per_ms / self._receiver_count()
        quiet_ms = self.channel.standstill_ms(self.now_ms)
        return ChannelView(
            now_ms=self.now_ms,
            waiting_entries=budget.waiting_entries,
            awaited_entries=self.channel.awaited_entries(),
            left_entries=self.channel.left_entries(),
            stated_pace=stated_pace,
            pace=min(self.channel.measured_pace, stated_pace),
            overhead=budget.overhead,
            max_transit_ms=self.settings.max_transit_ms,
            quiet_ms=quiet_ms,
            is_heard=not self._certain_pace()
            and quiet_ms <= self._usual_confirmation_gap_ms()
            and self.unsettled_orders.is_empty()
            and self.doubtful_calls.is_empty(),
        )

    def _leaving_count(self) -> int:
        """Return how many backends that depart are still to be withdrawn."""
        return sum(
            backend.phase is not Phase.READY
            and (not backend.is_withdrawn or self.unsettled_orders.has_withdrawal(backend))
            and not self._is_withdrawal_deferred(backend)
            for backend in self.backends
        )

    def _missed_withdrawals(self) -> list[Backend]:
        """Return the withdrawn backends of which proxies that joined late may not know."""
        return [
            backend
            for backend in self.unannounced_withdrawals
            if backend.is_withdrawn and any(backend in slice_.table for slice_ in self.slices)
        ]

    def _log_readmissions(self, orders: list[Order]) -> None:
        """Log which backends are readmitted."""
        names = [
            order.backend.name
            for order in orders
            if isinstance(order, SetWithdrawn) and not order.is_withdrawn
        ]
        if names:
            self.other_orders.append(LogDecision(f"readmit {describe_names(names)}"))

    def _drop_old_messages(self) -> None:
        """Forget messages that must have left the channel, and pushes outside the window.

        While the answer to the last call is awaited, its message counts as sent now.
        """
        oldest_waiting_ms = (
            self.now_ms
            - MAX_CHANNEL_SLOWDOWN_FACTOR
            * self.settings.max_pending_entries
            / self.settings.channel_entries_per_ms
        )
        self.channel.drop_before(
            oldest_waiting_ms,
            self.now_ms - self.settings.push_window_ms,
            self.now_ms * self.channel_state.awaits_answer,
        )

    def _receiver_count(self) -> int:
        """Return how many proxies a message may reach, which is at least one.

        While proxies join, more may join before the call is carried out; they get its orders, too.
        """
        expects_joins = (
            self.settings.sliced
            and self.now_ms - self.last_join_ms < MAX_CONFIRMATION_WAIT_MS * JOIN_GATHERING_FRACTION
        )
        return max(len(self.proxies), self.settings.proxy_count if expects_joins else 1)

    def _measure_budget(self) -> ChannelBudget:
        """Return the room of the channel for the orders of this decision."""
        receiver_count = self._receiver_count()
        overhead = self._message_overhead()
        entries_per_ms = self.settings.channel_entries_per_ms / receiver_count
        certain_pace = self._certain_pace()
        unconfirmed_entries = waiting_entries = self.channel.waiting_entries()
        if certain_pace:
            waiting_entries = self.channel.waiting_entries_at_pace(self.now_ms, certain_pace)
        # Where reports show that orders arrive the channel does not stand still.
        stalled_entries = (
            0.0 if self.channel.loses_confirmations else unconfirmed_entries - waiting_entries
        )
        is_overdue = self._is_confirmation_overdue(self.channel.overdue_ms(self.now_ms))
        return ChannelBudget(
            capacity=self.settings.max_pending_entries / receiver_count,
            overhead=overhead,
            batch_entries=overhead + MAX_SUSPECT_BACKENDS_FRACTION * len(self.backends),
            waiting_entries=waiting_entries / receiver_count,
            has_pushes_left=len(self.channel.push_times_ms)
            < (self.settings.max_pushes_per_window or INFINITY),
            grace_entries=self.settings.drain_grace_ms * entries_per_ms,
            bare_entries=self.settings.max_bare_ms * entries_per_ms,
            is_silent=is_overdue and not certain_pace,
            stalled_entries=stalled_entries / receiver_count,
        )

    def _certain_pace(self) -> float:
        """Return the pace that is taken for certain where confirmations are lost or late, or 0.

        It is a part of the stated pace, or of the one that late confirmations prove.
        """
        pace = stated_pace = self.settings.channel_entries_per_ms
        if not self.channel.loses_confirmations:
            pace = self.channel.late_pace(self.now_ms, self._longest_confirmation_gap_ms())
        return MIN_UNCONFIRMED_PACE_FRACTION * min(pace, stated_pace)

    def _longest_confirmation_gap_ms(self) -> float:
        """Return the longest time without a confirmation, if none is lost or late.

        Messages leave one after another, so a channel that is as slow as can be brings
        confirmations late, but one soon after the other.
        """
        copy_ms = self._message_overhead() / self.settings.channel_entries_per_ms
        return (
            ANSWER_TRANSIT_MULTIPLE * self.settings.max_transit_ms
            + MAX_CHANNEL_SLOWDOWN_FACTOR * copy_ms
        )

    def _usual_confirmation_gap_ms(self) -> float:
        """Return the longest time between two confirmations while a message leaves the channel."""
        copy_ms = self.channel.last_message_entries() / self.settings.channel_entries_per_ms
        usual_ms = self.settings.max_transit_ms + MAX_CHANNEL_SLOWDOWN_FACTOR * copy_ms
        return min(usual_ms, self._longest_confirmation_gap_ms())

    def _is_confirmation_overdue(self, elapsed_ms: float) -> bool:
        """Return whether most proxies lack a confirmation, and none came for too long."""
        return (
            elapsed_ms > self._longest_confirmation_gap_ms()
            and self.channel.unconfirmed_receivers() > MAX_UNCONFIRMED_FRACTION * len(self.proxies)
        )

    def _recover_failed_call(self) -> None:
        """Have a failed call sent again as it is, or drop it and give its orders anew.

        It is sent again if it fits the queue of the proxies that have joined by now, beside its
        first copy if that may wait there, and if nothing urgent is left to order, which would wait
        behind it.
        """
        state = self.channel_state
        seal = state.unknown_seal or state.unsent_seal
        if state.unknown_seal:
            self.doubtful_calls.add(seal, self.channel.last_push_ms, state.is_broken, self.now_ms)
        self._end_doubts()
        if not seal:
            return
        if state.unsent_seal:
            self.channel.drop_message(seal, self.channel.last_push_ms)
        entries = self._message_entries(self.last_call_orders)
        budget = self._measure_budget()
        usable_room = budget.room + (budget.overhead if state.unsent_seal else 0.0)
        if usable_room < entries or self._has_urgent_orders():
            self._take_over_call(seal)
            return
        self.channel.record_sent(seal, entries, self.proxies, self.now_ms)
        if state.unknown_seal:
            self.doubtful_calls.discard(seal)
            self.other_orders.append(RepeatCall(seal))

    def _end_doubts(self) -> None:
        """Drop the messages of failed calls that have not run; they wait in no queue."""
        for call in self.doubtful_calls.take_ended(
            self.channel, self.proxies, self.now_ms, self.settings.max_transit_ms
        ):
            self.channel.drop_message(call.seal, call.pushed_at_ms)

    def _has_urgent_orders(self) -> bool:
        """Return whether a withdrawal that may use the reserve is due, or a table is bare."""
        return any(
            not backend.is_withdrawn
            and (backend.phase is not Phase.READY or self._is_open(backend))
            and self._must_withdraw(backend)
            for backend in self.backends
        ) or any(
            has_no_active_entry(slice_.table) or self._is_hold_due(slice_)
            for slice_ in self.pending_slices
        )

    def _take_over_call(self, seal: int) -> None:
        """Drop a failed call: its orders are unsettled, and are given again as there is room."""
        self.other_orders.append(DropCall(seal))
        self.channel_state = ChannelState(True)
        self._give_anew(self.last_call_orders, seal)

    def _give_anew(self, orders: list[Order], seal: int) -> None:
        """Have orders given again as there is room; those of the call with this seal, if not 0."""
        self.unsettled_orders.add(orders, seal)
        for order in orders:
            if isinstance(order, BindProxy):
                order.proxy.is_bound = False
            elif isinstance(order, SetAdmissionLevel) and order.slice is None:
                self.admission_reset_due = True
        self.last_call_orders = []
        self.needs_planning = True

    def _add_withdrawals(self, orders: list[Order], budget: ChannelBudget) -> None:
        """Withdraw the backends that have to be; repeat withdrawals and readmissions that failed.

        All backends that leave go in one message, since a second one would have to wait for room
        for its overhead as well. Ejected backends may not use the reserve.
        """
        leaving_count = min(self._leaving_count(), budget.usable_capacity / 2)
        withdrawn: list[str] = []
        # Those that leave go first: they may leave all RPCs of a table to one that just started.
        for backend in sorted(self.backends, key=lambda backend: backend.phase is Phase.READY):
            must_withdraw = not backend.is_withdrawn and self._must_withdraw(backend)
            if not must_withdraw and not self.unsettled_orders.has_withdrawal(backend):
                continue
            required_room = (
                max(1, leaving_count - len(orders))
                if backend.phase is not Phase.READY or self._is_open(backend)
                else budget.urgent_reserve + 1
            )
            if budget.room > required_room:
                if must_withdraw:
                    self._note_shift(backend)
                    withdrawn.append(f"{backend.name} ({self._withdrawal_reason(backend)})")
                    backend.is_withdrawn = True
                orders.append(SetWithdrawn(backend, backend.is_withdrawn))
                self.needs_planning = True
                budget.room -= 1
        if withdrawn:
            self.other_orders.append(LogDecision(f"withdraw {describe_names(withdrawn)}"))

    def _note_shift(self, backend: Backend) -> None:
        """Note that this decision shifts the RPCs of all tables that name a backend."""
        for slice_ in self.slices:
            if backend in slice_.table:
                slice_.rpcs_shifted_at_ms = self.now_ms

    def _withdrawal_reason(self, backend: Backend) -> str:
        """Return why a backend is withdrawn, in one or two words."""
        if backend.listed_phase is not backend.phase:
            return "out of service by hand"
        if backend.phase is not Phase.READY:
            return str(backend.phase.value)
        return "just started" if self._is_open(backend) else "ejected"

    def _add_missed_withdrawals(
        self, orders: list[Order], budget: ChannelBudget, is_message_due: bool
    ) -> None:
        """Repeat withdrawals for proxies that joined late, together, beside a reserve.

        Those that most RPCs would reach go first. If no message is due anyway, they have to be
        worth its overhead.
        """
        missed_withdrawals = self._missed_withdrawals()
        room = budget.room_beside(budget.batch_reserve, len(orders), OrderClass.MISSED_WITHDRAWAL)
        min_room = budget.min_room(len(missed_withdrawals), budget.batch_reserve)
        if not is_message_due and room <= min_room:
            return
        # To readmit a backend costs no more than to repeat that it is withdrawn.
        readmissible = [b for b in missed_withdrawals if self._may_readmit(b)]
        room_before = room
        room = self._readmit(readmissible, room, orders)
        budget.room -= room_before - room
        missed_withdrawals = [
            b for b in missed_withdrawals if b.is_withdrawn and SetWithdrawn(b, True) not in orders
        ]
        missed_withdrawals.sort(
            key=lambda b: (
                -max(
                    share_if_active(slice_.table, b) for slice_ in self.slices if b in slice_.table
                )
            )
        )
        announced = missed_withdrawals[: max(int(room), 0)]
        self.unannounced_withdrawals = dict.fromkeys(missed_withdrawals[len(announced) :])
        orders += [SetWithdrawn(b, True) for b in announced]
        budget.room -= len(announced)

    def _has_gathered_joins(self, budget: ChannelBudget) -> bool:
        """Return whether joins have been gathered for long enough, as quick as the channel is."""
        view = self._view_channel(budget)
        gathering_ms = MAX_CONFIRMATION_WAIT_MS * JOIN_GATHERING_FRACTION
        slowdown = min(view.slowdown, MAX_CHANNEL_SLOWDOWN_FACTOR)
        return self.now_ms >= self.announce_withdrawals_at_ms + gathering_ms * (slowdown - 1)

    def _add_bare_tables(self, orders: list[Order], budget: ChannelBudget) -> bool:
        """Fill tables without an active entry; return whether orders for some of them are left.

        They are bare by a withdrawal now or by one before the slice was granted. Backends whose
        readmission ends this go first. Of the others only the main entry is sent; the rest can
        wait. Where a slice has a single owner, it has one entry, which goes with the order that
        holds its writes.
        """
        if self.needs_planning:
            self._update_pending_orders()
        bare_slices = [slice_ for slice_ in self.pending_slices if self._is_bare(slice_)]
        reserve = 0.0 if budget.is_pressing(OrderClass.BARE_TABLE) else budget.withdrawal_reserve
        room = budget.room_beside(reserve, len(orders), OrderClass.BARE_TABLE)
        if orders or room > budget.min_room(len(bare_slices), reserve):
            if not self.settings.has_single_owner:
                room_before = room
                room = self._readmit(self._bare_table_remedies(bare_slices), room, orders)
                budget.room -= room_before - room
                if self.needs_planning:
                    self._update_pending_orders()
                bare_slices = [slice_ for slice_ in self.pending_slices if self._is_bare(slice_)]
                for slice_ in bare_slices:
                    slice_.pending_orders = sorted(slice_.pending_orders, key=_main_entry_first)[:1]
            budget.room -= room - self._send_pending(bare_slices, room, orders)
            self.needs_planning = True
        return any(slice_.pending_orders for slice_ in bare_slices)

    def _bare_table_remedies(self, bare_slices: list[Slice]) -> list[Backend]:
        """Return the backends whose readmission gives a bare table an active entry."""
        return [
            backend
            for backend in self.backends
            if backend.is_withdrawn
            and any(
                backend in slice_.table and has_no_active_entry(slice_.table)
                for slice_ in bare_slices
            )
        ]

    def _add_deferrable_orders(self, orders: list[Order], budget: ChannelBudget) -> None:
        """Add the tables and levels that can wait, beside the reserve for urgent orders."""
        reserve = budget.urgent_reserve
        budget.room -= reserve
        budget.urgent_reserve = 0.0
        # Only attempts that never ran are retried, so that no RPC takes effect twice.
        if self.admission_reset_due and budget.room > 1:
            self.admission_reset_due = False
            budget.room -= 1
            orders.append(
                SetAdmissionLevel(
                    self.methods_by_criticality[0] + self.methods_by_criticality[1],
                    None,
                    ADMIT_ALL_LEVEL,
                    RetryMode.NEVER_RAN,
                )
            )
        if self.needs_planning:
            self._update_pending_orders()
        pending_count = sum(len(slice_.pending_orders) for slice_ in self.pending_slices)
        if orders or budget.room > budget.min_deferrable_room(pending_count, reserve):
            room = budget.room_beside(0.0, len(orders))
            budget.room -= room - self._send_pending(self.pending_slices, room, orders)

    def _add_readmissions(self, orders: list[Order], budget: ChannelBudget) -> None:
        """Readmit backends, and remove the entries that keep them out, beside a reserve.

        Those with the fewest such entries come first, so that few entries bring a backend back.
        """
        reserve = budget.withdrawal_reserve
        is_push_due = self._may_push() or budget.room > budget.urgent_reserve + 1
        if budget.room <= reserve + 1 or not (orders or is_push_due):
            return
        blocking = {
            backend: self._blocking_slices(backend)
            for backend in self.backends
            if backend.is_withdrawn and self._is_open(backend)
        }
        entry_count = len(blocking) + sum(map(len, blocking.values()))
        is_worth_push = budget.room - reserve > budget.min_room(entry_count, reserve)
        if not blocking or not (orders or is_worth_push):
            return
        if self.needs_planning:
            self._update_pending_orders()
        for backend in sorted(blocking, key=lambda backend: len(blocking[backend])):
            room = room_before = budget.room_beside(reserve, len(orders), OrderClass.READMISSION)
            if self._judges_by_heat():
                room = self._clear_entries(backend, room, orders)
            room = self._readmit([backend], room, orders)
            budget.room -= room_before - room

    def _clear_entries(self, backend: Backend, room: float, orders: list[Order]) -> float:
        """Set the tables that keep a backend withdrawn, and return the room that is left.

        An undesired entry is removed alone: what else the table lacks can wait.
        """
        slices = self._blocking_slices(backend)
        for slice_ in slices:
            if backend in slice_.desired_shares or has_no_active_entry(slice_.table):
                continue
            slice_.pending_orders = [SetEntry(slice_, backend, 0.0)]
            self.needs_planning = True
        return self._send_pending(slices, room, orders)

    def _readmit(self, backends: list[Backend], room: float, orders: list[Order]) -> float:
        """Readmit those backends that may be, and return the room that is left.

        A backend that this decision withdraws stays so. One that a table still names as its main
        entry takes the slice back, as that costs no entry.
        """
        for backend in backends:
            if room <= 1 or SetWithdrawn(backend, True) in orders or not self._may_readmit(backend):
                continue
            backend.is_withdrawn = False
            self.needs_planning = True
            room -= 1
            self._clear_statistics(backend)
            self._note_shift(backend)
            for slice_ in (s for s in self.slices if backend in s.table):
                if (
                    self._judges_by_heat()
                    and share_if_active(slice_.table, backend) > DOMINANT_SHARE_FRACTION
                ):
                    slice_.owner = backend
                    self.running_moves.pop(slice_, None)
            orders.append(SetWithdrawn(backend, False))
        return room

    def _may_readmit(self, backend: Backend) -> bool:
        """Return whether an open backend may be readmitted.

        It may once tables expose it to no more than it should get. Where it would end the lack of
        an active entry it may, too, if it is warm, if it bears that for a moment, or if no backend
        is left in use.
        """
        if not self._is_open(backend):
            return False
        if not self._exceeds_desired(backend):
            return True
        if not any(
            backend in slice_.table and has_no_active_entry(slice_.table) for slice_ in self.slices
        ):
            return False
        return (
            self._warm_up_share(backend) >= 1
            or not self._is_overexposed(backend)
            or not any(self._is_usable(other) for other in self.backends)
        )

    def _add_bindings(self, orders: list[Order]) -> None:
        """Bind the proxies of an unsliced site to its tables."""
        if self.settings.sliced or not self.channel_state.is_free:
            return
        for proxy in self.proxies:
            if not proxy.is_bound:
                orders += [BindProxy(slice_, proxy) for slice_ in self.slices if slice_.table]
            proxy.is_bound = all(slice_.table for slice_ in self.slices)

    def _message_overhead(self) -> float:
        """Return the fixed cost of a message, its seal included."""
        return self.settings.message_overhead_entries + 1

    def _message_entries(self, orders: list[Order]) -> float:
        """Return how many entries a message of these orders costs for each receiver."""
        binding_entries = 0 if self.settings.sliced else len(self.backends)
        return len(orders) + self._message_overhead() + binding_entries

    def _seal_message(self, orders: list[Order]) -> Seal:
        """Record the message of these orders in the channel, and return its seal."""
        self.last_seal = self.last_seal % MAX_SEAL + 1
        entries = self._message_entries(orders)
        self.channel.record_sent(self.last_seal, entries, self.proxies, self.now_ms)
        self._restart_holds(orders, self.last_seal)
        self.unsettled_orders.discard(orders)
        self.last_call_orders = list(orders)
        self._watch_delivery(orders)
        for slice_ in self.slices:
            if slice_.rpcs_shifted_at_ms == self.now_ms:
                slice_.shift_seal = self.last_seal
        return Seal(self.last_seal, all_proxies=not orders)

    def _watch_delivery(self, orders: list[Order]) -> None:
        """Watch by the reports what becomes of the last message, if it changes who is in use."""
        changes = [order for order in orders if isinstance(order, SetWithdrawn)]
        self.delivery_evidence.record_sent(
            self.last_seal,
            [change.backend for change in changes if change.is_withdrawn],
            [change.backend for change in changes if not change.is_withdrawn],
            self.now_ms,
            self.mean_report_span_ms,
        )

    def _complete_moves(self) -> None:
        """End the moves once their tables were sent and most proxies confirmed them."""
        if (
            self.running_moves
            and not any(
                slice_.pending_orders and slice_.shifts_rpcs for slice_ in self.running_moves
            )
            and self._may_push()
        ):
            self.running_moves.clear()

    def _due_requests(self) -> list[Order]:
        """Return the orders to follow the fleet list, and for the next timer, that are due."""
        requests: list[Order] = []
        if self.now_ms >= self.follow_list_at_ms:
            self.follow_list_at_ms = INFINITY
            requests.append(FollowFleetList(True))
        wake_ms = min(self.now_ms + self._timer_delay_ms(), self._next_hold_end_ms())
        if self.now_ms >= self.next_wake_ms or wake_ms < self.next_wake_ms:
            self.next_wake_ms = wake_ms
            requests.append(SetTimer(wake_ms - self.now_ms, 0))
        return requests

    def _next_hold_end_ms(self) -> float:
        """Return when the writes that a hold waits for are next over."""
        ends_ms = [
            hold.last_write_ms + self.settings.max_write_ms
            for hold in self.write_holds.values()
            if hold.seal and not hold.writers
        ]
        return min((end_ms for end_ms in ends_ms if end_ms > self.now_ms), default=INFINITY)

    def _timer_delay_ms(self) -> float:
        """Return the longest time between two decisions."""
        return min(self.settings.report_interval_ms, ROUND_INTERVAL_MS) / 2

    def _must_withdraw(self, backend: Backend) -> bool:
        """Return whether a backend is to be withdrawn from the proxies.

        This holds for one that is not ready, that is ejected, or that was just started while
        tables still give it the share of a warm one. One that is back from an ejection and did not
        start meanwhile is not cold: it stays. A ready backend stays if a slice that it shall serve
        has no other desired backend in use.
        """
        if backend.phase is not Phase.READY:
            return not self._is_withdrawal_deferred(backend)
        if self._is_open(backend) and (
            self.now_ms >= backend.cold_until_ms
            or self._warm_up_share(backend) > WARM_UP_STEPS[0][1]
            or not self._is_overexposed(backend)
        ):
            return False
        return all(
            any(not b.is_withdrawn and b is not backend for b in slice_.desired_shares)
            for slice_ in self.slices
            if backend in slice_.desired_shares
        )

    def _judges_by_heat(self) -> bool:
        """Return whether backends are withdrawn and readmitted by the heat that tables bring them.

        Without slices there are no reports of heat, and a single owner has the whole slice.
        """
        return self.settings.sliced and not self.settings.has_single_owner

    def _exceeds_desired(self, backend: Backend) -> bool:
        """Return whether tables give, or would give, a backend more than it should get."""
        return bool(self._blocking_slices(backend))

    def _blocking_slices(self, backend: Backend) -> list[Slice]:
        """Return the slices that would give a backend more than it should get.

        Where tables are judged by heat these are the hottest, up to those with which it has no more
        than its step of the warm-up, or than is desired.
        """
        if self._judges_by_heat():
            allowed_heat = max(self._heat_limit(backend), desired_heat(self.slices, backend))
            return blocking_slices(
                self.slices, backend, allowed_heat * (1 + SHARE_TOLERANCE_FRACTION)
            )
        return [slice_ for slice_ in self.slices if self._exceeds_desired_share(slice_, backend)]

    def _exceeds_desired_share(self, slice_: Slice, backend: Backend) -> bool:
        """Return whether a table gives, or would give, a backend more than its desired share.

        For a backend in warm-up any undesired entry is too much, however small its weight: it
        brings the RPCs that other backends refuse.
        """
        if backend not in slice_.table:
            return False
        return exceeds_desired_share(slice_, backend) or (
            self._warm_up_share(backend) < 1 and backend not in slice_.desired_shares
        )

    def _is_overexposed(self, backend: Backend) -> bool:
        """Return whether tables bring a backend so much that it would fall over while it is cold.

        What it pushes back itself does not count here: to withdraw it for that leaves its RPCs to
        the others, which push back as well.
        """
        if not self._judges_by_heat():
            return self._exceeds_desired(backend)
        allowed_heat = max(self._step_heat(backend), desired_heat(self.slices, backend))
        exposure = sum(expected_heat(slice_, backend) for slice_ in self.slices)
        return exposure > MAX_COLD_EXPOSURE_MULTIPLE * allowed_heat

    def _send_pending(self, slices: list[Slice], room: float, orders: list[Order]) -> float:
        """Append the pending orders of slices to `orders`, and return the room that is left.

        The orders of a slice are sent all or not at all; `room` is in table entries. The present
        state of the slices changes with them.
        """
        for slice_ in slices:
            if not slice_.pending_orders or room <= len(slice_.pending_orders):
                continue
            room -= len(slice_.pending_orders)
            orders[len(orders) :] = slice_.pending_orders
            slice_.rpcs_shifted_at_ms = (
                self.now_ms if slice_.shifts_rpcs else slice_.rpcs_shifted_at_ms
            )
            if slice_ in self.write_holds:
                self.write_holds[slice_].is_due = False
            for order in slice_.pending_orders:
                if isinstance(order, SetAdmissionLevel):
                    is_closed = slice_ in self.write_holds and not slice_.table
                    slice_.admission_levels = (
                        (0.0, 0.0) if is_closed else self._admission_levels(slice_)
                    )
                elif isinstance(order, ClearTable):
                    slice_.table = {}
                    if slice_ in self.write_holds:
                        self.write_holds[slice_].unconfirmed = dict(self.proxies)
                else:
                    slice_.table = {
                        **({} if self.settings.has_single_owner else slice_.table),
                        order.backend: order.weight,
                    }
                    if slice_ in self.write_holds:
                        self.write_holds[slice_].is_ended = True
            if self.settings.has_single_owner:
                self.unsettled_orders.discard_entries(slice_)
            slice_.table = {b: weight for b, weight in slice_.table.items() if weight}
            slice_.pending_orders = []
        self.pending_slices = [slice_ for slice_ in self.pending_slices if slice_.pending_orders]
        return room

    def _admission_levels(self, slice_: Slice) -> tuple[float, float]:
        """Return the fractions to admit of the least critical methods and of the others.

        The least critical methods are reduced first. The levels follow the zone of the slice's
        owner. A slice whose owner is not crowded admits everything.
        """
        if (
            self.settings.admission_mode != "ratio"
            or slice_.owner is None
            or not self._is_crowded(slice_.owner)
        ):
            return 1.0, 1.0
        low_fraction = len(self.methods_by_criticality[0]) / len(self.settings.methods)
        cut_fraction = 1.0 - self.zone_admission.get(slice_.owner.zone, (1.0, 0.0))[0]
        # The last divisor stays above 0 where all methods are of the least criticality.
        low_level = max(1.0 - cut_fraction / low_fraction, 0.0)
        high_level = 1.0 - max(cut_fraction - low_fraction, 0.0) / max(1.0 - low_fraction, 0.1)
        return (
            round(low_level * ADMISSION_LEVEL_STEPS) / ADMISSION_LEVEL_STEPS,
            round(high_level * ADMISSION_LEVEL_STEPS) / ADMISSION_LEVEL_STEPS,
        )

    def _pending_levels(self, slice_: Slice) -> list[SetAdmissionLevel]:
        """Return the orders that bring a slice's admission levels to the desired ones.

        There are none while its writes are held.
        """
        if self._is_table_held(slice_):
            return []
        orders = []
        for methods, level, present_level in zip(
            self.methods_by_criticality,
            self._admission_levels(slice_),
            slice_.admission_levels,
            strict=False,
        ):
            if methods and (level != present_level or self.unsettled_orders.has_levels(slice_)):
                level = level if self.settings.admission_mode == "ratio" else ADMIT_ALL_LEVEL
                orders.append(SetAdmissionLevel(methods, slice_, level, RetryMode.NEVER_RAN))
        return orders


def _slice_of(order: Order) -> Slice | None:
    """Return the slice of which an order sets an entry, the table or a level, if it is of one."""
    return order.slice if isinstance(order, (SetEntry, ClearTable, SetAdmissionLevel)) else None


def _main_entry_first(order: Order) -> tuple[bool, float]:
    """Return a sort key of a table's orders: its heaviest active entry comes first.

    >>> slice_, a, b = Slice(1), Backend("a", "a", is_withdrawn=True), Backend("b", "b")
    >>> entries = [SetEntry(slice_, a, 1000.0), SetEntry(slice_, b, 1.0), SetEntry(slice_, b, 2.0)]
    >>> [(entry.backend.name, entry.weight) for entry in sorted(entries, key=_main_entry_first)]
    [('b', 2.0), ('b', 1.0), ('a', 1000.0)]
    """
    is_active = isinstance(order, SetEntry) and not order.backend.is_withdrawn
    return (not is_active, -order.weight if isinstance(order, SetEntry) else 0.0)
