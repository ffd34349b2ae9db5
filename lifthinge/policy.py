"""The decisions of lifthinge: which backend serves which slice, and what the proxies are told of it.

How it is invoked: an adapter makes one `Policy(settings, seed)` for each instance and calls
`decide(now, events)` once for each batch that holds an event for it; the orders that come back take
effect in their order. The types at this door are in `lifthinge/interface.py`; why things are as they
are is in `docs/design.md`. Nothing here reads a clock, a file or the network.
"""

from collections.abc import Iterable
from random import Random
from statistics import median

from lifthinge.channel import Channel
from lifthinge.interface import (
    AttemptReport,
    Backend,
    BindProxy,
    ChannelState,
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
from lifthinge.table_shares import active_shares, has_no_active_entry, share_if_active

# The mechanism, as the design page settles it.
VIOLATOR_MARK, VIOLATOR_REPORTS = 1.5, 3  # times the median ratio, for so many reports in a row
LOW_SPAN, ROUND_EVERY = 60_000.0, 1_000.0  # a backend's own lowest latency is of this long; rounds
MOVE_BUDGET = 4  # moves a round; the page starts with 2
FILL_BUDGET = 0.3  # of the backends that may be filled a round, if that is more
REST, COOL_OFF = 30_000.0, 3_000.0  # of a moved slice; of the loop, after a plan that made it worse
PUSH_AFTER, MOST = 2_000.0, 0.5  # without most confirmations; the share of the proxies that is most

# What the design leaves open.
STEPS = (
    (0.0, 0.25),
    (0.2, 0.4),
    (0.4, 0.6),
    (0.6, 0.8),
    (1.0, 1.0),
)  # part of warm-up: share of heat
TRIAL, TRIAL_LEAST = (
    0.05,
    2.0,
)  # the part of one that was shut, until so many tries of late went well
NEAR = 0.02  # of a step is as good as the step
SPARE_WEIGHT = 0.001  # of the owner's: a standby line's, or less
WEIGHT_MOST = 1e8  # over it a table is written anew
SPARE_LIKED = 0.7  # a displaced slice takes its spare for so much less crowded: that costs no line
BAD_SHARE, BAD_OVER_MEDIAN = (
    0.3,
    3.0,
)  # of tries gone wrong, and times the median share: a backend is sick
ALL_BAD = 0.95  # a slow or silent backend is sick if so many go wrong
QUICK = 2.5  # ratio up to which a backend is not crowded
BAD_LEAST = 4.0  # tries, before they are judged
BROAD_SHARE, BROAD_MOST = (
    0.1,
    0.2,
)  # so much goes wrong at so much of the fleet: nobody is singled out
SHUT_FIRST = 8_000.0  # a sick backend's first time out; doubles
FILL_PART, FILL_FROM = (
    0.7,
    1.5,
)  # of its part of the mean heat: under it a new one is filled, from over it
WORTH_MOVING, COLD_KEYS = (
    0.05,
    2.0,
)  # of a violator's heat: cooler slices stay; times a moved one's heat
UNSEEN_PART = (
    0.5  # of the mean heat: room on a backend easing in, before any RPC is seen to go well
)
UNHEARD_AFTER, SETTLED_AFTER = 3.0, 3.0  # horizons of the reports: older moves show in them
HORIZON_NEW = 0.25  # a period's part in the horizon
URGENT_PART = 0.9  # of the channel's queue is in use; of it are kept back
KEPT_PART, SPARED_PART, MOST_KEPT = 0.5, 0.25, 0.75  # from what can wait; from bare tables
ANSWER_PART = 2.0  # of a message's longest way: there and back, until the first answers
JOINS_GATHER = 0.25  # of the push timer: before late joiners are told what they missed
LEVELS, LET_ALL = 4, 1e9  # steps, each costs a line a slice; a level, be it a fraction or a rate
STRESS_HIGH, STRESS_LOW = (
    0.6,
    0.45,
)  # mean latency in shortest soft deadlines: less let in, more let in
LET_CUT = 0.7, 0.8  # less is let in: times the part that goes well, within these
LET_STEP, LET_EVERY, LET_LEAST = 0.1, 2.0, 0.45  # back by so much in so many horizons; never less
SLOWEST = 6.0  # the channel may send so many times slower; older lines are out for sure
NEVER, WILD, USUAL_NEW = (
    float("inf"),
    2.0,
    0.1,
)  # times what is usual is wild; a report's part in that
WELL, WRONG = 0.0, 1.0  # outcomes of a try
DRY_LEAST = 8.0  # RPCs asked with none going well for the longest soft deadline: it hangs
HEALED_PART = 0.3  # of the warm-up: a backend back from being shut eases in this fast


class Policy:
    """One instance's decisions."""

    def __init__(self, terms: SiteSettings, seed: int) -> None:
        self.settings, self.random, self.shortest_soft_deadline_ms = (
            terms,
            Random(seed),
            min(m.soft_deadline_ms for m in terms.methods),
        )
        self.methods_by_criticality = self._group_by_criticality({})
        self.out_of_service, self.zone_shares = (
            {},
            {},
        )  # backends out of service by hand; by zone, of usual work
        self.backends: dict[Backend, None] = {}  # every one ever listed or named by the store
        self.slices: dict[Slice, None] = {}  # in this instance's charge
        self.proxies: dict[Proxy, None] = {}  # joined
        self.event_handlers = {  # what waits for a proxy that left counts until it is out for sure
            OperatorOverrides: self._on_operator_overrides,
            FleetNews: self._on_fleet_news,
            ProxyJoined: self._on_proxy_joined,
            AttemptReport: self._on_attempt_report,
            SliceHeatReport: self._on_slice_heat,
            SliceLeaseChanged: self._on_lease_changed,
            StoredEntry: self._on_stored_entry,
            WithdrawalState: self._on_withdrawal_state,
            ProxyLeft: lambda event: self.proxies.pop(event.proxy, None),
            ChannelState: lambda event: setattr(self, "channel_state", event),
            SealConfirmed: lambda event: self.channel.record_confirmation(event.seal, event.proxy),
        }
        self.needs_planning = self.admission_reset_due = True
        self.now_ms = self.next_evaluation_ms = self.next_round_ms = self.next_wake_ms = (
            self.cool_off_until_ms
        ) = self.worst_violation = 0.0
        self.follow_list_at_ms = 0.0 if terms.news_on_request else NEVER
        self.unannounced_withdrawals, self.announce_withdrawals_at_ms = (
            {},
            0.0,
        )  # withdrawals that late joiners missed; when to tell
        self.last_join_ms = 0.0  # when a proxy last joined
        self.unknown_call_blocked_ms = 0.0  # when a call of unknown fate last had others before it
        self.mean_report_span_ms = (
            terms.report_interval_ms
        )  # the mean span of a report of late, by its tries
        self.report_span_sums = 0.0, 0.0  # of this period's reports, times their tries; the tries
        self.mean_report_attempts = 0.0  # a report's tries
        self.ok_fraction = 1.0  # part of all tries that goes well
        self.warm_ok_rate_per_size = 0.0  # RPCs that go well for each warm unit of size
        self.zone_stress: dict[int, float] = {}  # zone: mean latency in shortest soft deadlines
        self.zone_admission: dict[
            int, tuple[float, float]
        ] = {}  # zone: part that is let in, and since when
        self.running_moves: dict[Slice, Backend] = {}  # moves that still run: slice to former owner
        self.last_seal, self.channel, self.channel_state = 0, Channel(), ChannelState(True)
        self.other_orders, self.pending_slices = (
            [],
            [],
        )  # orders beside tables; tables to be written, by worth
        if not terms.sliced:
            self.slices[Slice(0, is_leased=True)] = None

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """What is ordered after one batch."""
        self.now_ms, self.other_orders = now, []
        for event in events:
            self.event_handlers.get(type(event), lambda _: None)(event)
        if now >= self.next_evaluation_ms:
            self.next_evaluation_ms = now + self.settings.report_interval_ms
            self._evaluate_reports()
        if now >= self.next_round_ms:
            self.next_round_ms = now + ROUND_EVERY
            self._run_round()
        return self._emit_orders() + self.other_orders

    # What is known.

    def _on_fleet_news(self, news: FleetNews) -> None:
        if news.kind is FleetNewsKind.MISSED:
            self.follow_list_at_ms = self.now_ms + ROUND_EVERY * (1 + self.random.random())
            return
        listed = {}
        for entry in news.listings:
            backend = entry.backend
            listed[backend] = self.backends.setdefault(backend)
            # A fresh start is a fresh backend, listed as gone in between or not: old tables may flood it.
            if (
                entry.started_at_ms > backend.started_at_ms
                and entry.started_at_ms + self.settings.warm_up_ms > self.now_ms
            ):
                backend.ramp_start_ms, backend.ramp_duration_ms = (
                    entry.started_at_ms,
                    self.settings.warm_up_ms,
                )
                backend.ejected_until_ms, backend.is_on_probation = 0.0, False
                self._clear_statistics(backend)
            backend.zone, backend.listed_phase, backend.started_at_ms = (
                entry.zone,
                entry.phase,
                entry.started_at_ms,
            )
            backend.listed_size = (
                entry.size if self.settings.uses_listed_sizes and entry.size > 0 else 1.0
            )
        for backend in (
            b for b in self.backends if news.kind is not FleetNewsKind.DELTA and b not in listed
        ):
            backend.listed_phase = Phase.GONE
        self._update_phases()

    def _group_by_criticality(self, worth: dict[int, float]) -> list[tuple[int, ...]]:
        """Methods of the least criticality, and the others."""
        worths = [worth.get(k, m.criticality) for k, m in enumerate(self.settings.methods)]
        return [
            tuple(k for k, one in enumerate(worths) if (one > min(worths)) == high)
            for high in (False, True)
        ]

    def _on_operator_overrides(self, event: OperatorOverrides) -> None:
        self.out_of_service, self.zone_shares = (
            dict.fromkeys(event.out_of_service),
            event.zone_shares,
        )
        if (
            ranks := self._group_by_criticality(event.method_criticality)
        ) != self.methods_by_criticality:
            self.methods_by_criticality, self.admission_reset_due = (
                ranks,
                True,
            )  # all are let in, then levels follow the new ranks
            for one in self.slices:
                one.admission_levels = (1.0, 1.0)
        self._update_phases()

    def _update_phases(self) -> None:
        """Phases as listed, but who is out by hand is as good as draining, while a warm one is left.

        Against an agreed document that takes out too much: the list has them ready, rules 1 and 4 hold.
        """
        acts = any(
            b.listed_phase is Phase.READY
            and b not in self.out_of_service
            and self._warm_up_share(b) >= 1
            and b.ejected_until_ms <= self.now_ms
            for b in self.backends
        )
        for backend in self.backends:
            held = acts and backend in self.out_of_service and backend.listed_phase is Phase.READY
            backend.phase = Phase.DRAINING if held else backend.listed_phase
            backend.size = backend.listed_size * self.zone_shares.get(backend.zone, 1.0)
        if self.out_of_service and not acts:
            self.other_orders.append(
                LogDecision("out of service by hand does not act: nobody warm would be left")
            )
        self.needs_planning = True

    def _clear_statistics(self, backend: Backend) -> None:
        backend.latency_minimum.clear()
        backend.outcomes.clear()
        (
            backend.latency_ratio,
            backend.consecutive_violations,
            backend.rpcs_since_ok,
            backend.decayed_ok_totals,
        ) = None, 0, 0.0, (0.0, 0.0)

    def _on_proxy_joined(self, event: ProxyJoined) -> None:
        self.proxies[event.proxy], self.last_join_ms = None, self.now_ms
        self._schedule_announcement(b for b in self.backends if b.is_withdrawn)

    def _schedule_announcement(self, backends: Iterable[Backend]) -> None:
        """Some proxy may have missed that these are withdrawn."""
        self.announce_withdrawals_at_ms = (
            self.announce_withdrawals_at_ms
            if self.unannounced_withdrawals
            else self.now_ms + PUSH_AFTER * JOINS_GATHER
        )
        self.unannounced_withdrawals.update(dict.fromkeys(backends))

    def _on_attempt_report(self, report: AttemptReport) -> None:
        # No report counts for much more than the others do of late: many sane ones outweigh a wild one.
        backend, usual = report.backend, self.mean_report_attempts or report.attempts
        part = min(max(2 * WILD * usual, BAD_LEAST) / max(report.attempts, 1), 1.0)
        ok = part * max(report.attempts - report.aborted_attempts, 0)
        total = ok + min(part * report.aborted_attempts, max(WILD * usual, BAD_LEAST))
        self.mean_report_attempts = usual + (total - usual) * USUAL_NEW
        self.report_span_sums = (
            self.report_span_sums[0] + report.span_ms * total,
            self.report_span_sums[1] + total,
        )
        backend.ok_attempts, backend.aborted_attempts = (
            backend.ok_attempts + ok,
            backend.aborted_attempts + total - ok,
        )
        backend.ok_latency_sum_ms += ok * report.mean_latency_ms

    def _on_slice_heat(self, report: SliceHeatReport) -> None:
        one = report.slice
        one.admitted_rpcs += (
            report.rpcs * one.admission_levels[report.method in self.methods_by_criticality[1]]
        )
        most = max(sum(s.heat or 0.0 for s in self.slices), WILD * (one.heat or 0.0))  # of all
        rate = min(report.rpcs / max(report.span_ms, 1.0), most if one.method_rates else NEVER)
        one.method_rates[report.method] = (
            (one.method_rates.get(report.method, (rate, 0.0))[0] + rate) / 2,
            self.now_ms,
        )

    def _on_lease_changed(self, event: SliceLeaseChanged) -> None:
        one = event.slice
        self.running_moves.pop(one, None), self.slices.pop(one, None)
        one.is_leased, one.table, one.owner, one.desired_shares, one.heat = (
            event.is_granted,
            {},
            None,
            {},
            None,
        )
        one.pending_orders, one.method_rates, one.admission_levels = [], {}, (1.0, 1.0)
        if event.is_granted:
            self.slices[one], self.admission_reset_due = None, True
        self.needs_planning = True

    def _on_stored_entry(self, event: StoredEntry) -> None:
        one = event.slice
        if one.is_leased and event.weight > 0:
            self.backends[event.backend], one.table[event.backend] = None, event.weight
            if (
                event.backend.is_withdrawn
            ):  # maybe while no table named it: who joined since was not told
                self._schedule_announcement([event.backend])
            one.owner = max(one.table, key=lambda b: (b.phase is Phase.READY, one.table[b]))

    def _on_withdrawal_state(self, event: WithdrawalState) -> None:
        self.backends[event.backend], event.backend.is_withdrawn, self.needs_planning = (
            None,
            event.is_withdrawn,
            True,
        )

    # What it means.

    def _warm_up_share(self, backend: Backend) -> float:
        """The part of a warm backend's work that this one may be given: rises in steps after a start."""
        if backend.ramp_start_ms is None:
            return 1.0
        if (
            backend.is_on_probation
        ):  # a trace, until it proves well: one that still hangs costs little
            return TRIAL
        passed = (self.now_ms - backend.ramp_start_ms) / backend.ramp_duration_ms
        return max(share for part, share in STEPS if part <= max(passed, 0.0))

    def _heat_limit(self, backend: Backend) -> float:
        """The heat that a backend easing in may have: by what goes well at warm ones, not by what comes in.

        So no retry storm pushes it over; and it is this instance's part of a budget that all share unseen.
        """
        well = (1.0 - backend.outcomes.share_from(WRONG)) ** 2  # less where it pushes back
        return (
            well
            * self._warm_up_share(backend)
            * backend.size
            * (self.warm_ok_rate_per_size or UNSEEN_PART * self._mean_heat())
        )

    def _owner_share(self, backend: Backend) -> float:
        """The part of its own slices' RPCs that goes to their owner, in the same few steps.

        What the other lines push back comes to the owner as well, and may leave room for nothing.
        """
        if self._warm_up_share(backend) >= 1 or backend.is_on_probation:
            return self._warm_up_share(backend)
        part = min(self._heat_limit(backend) / max(backend.owned_heat, 1e-9), 1.0)
        part = 1 - (1 - part) / max(self.ok_fraction, 1e-9)
        return max((step for _, step in STEPS if step <= part + NEAR), default=0.0)

    def _is_open(self, backend: Backend) -> bool:
        return backend.phase is Phase.READY and backend.ejected_until_ms <= self.now_ms

    def _is_usable(self, backend: Backend) -> bool:
        return self._is_open(backend) and not backend.is_withdrawn

    def _is_warm(self, backend: Backend) -> bool:
        return self._is_open(backend) and self._warm_up_share(backend) >= 1

    def _evaluate_reports(self) -> None:
        """Takes in a period's reports: heat of slices, ratios of backends, who is sick."""
        (span, tries), self.report_span_sums = self.report_span_sums, (0.0, 0.0)
        span = (
            max(span / tries, self.settings.report_interval_ms)
            if tries
            else self.mean_report_span_ms
        )
        self.mean_report_span_ms += (span - self.mean_report_span_ms) * HORIZON_NEW
        for one in self.slices:
            for method, (
                rate,
                at,
            ) in one.method_rates.items():  # silence means no RPC only where lines get in
                if self.now_ms - at > UNHEARD_AFTER * self.mean_report_span_ms:
                    one.method_rates[method] = rate / 2, self.now_ms - self.mean_report_span_ms
            one.heat = (
                sum(rate for rate, _ in one.method_rates.values()) if one.method_rates else one.heat
            )
            if (
                one.rpcs_shifted_at_ms is None
                or self.now_ms - one.rpcs_shifted_at_ms > SETTLED_AFTER * self.mean_report_span_ms
            ):
                for backend, part in active_shares(one.table).items():
                    backend.expected_rpcs += one.admitted_rpcs * part
            one.admitted_rpcs = 0.0
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

    def _drop_gone_backends(self) -> None:
        """Forgets who is gone and named nowhere: each start may bring new ids, for good."""
        if gone := {b for b in self.backends if b.phase is Phase.GONE} - set(
            self.running_moves.values()
        ):
            gone.difference_update(*([*s.table, *s.desired_shares, s.owner] for s in self.slices))
            self.other_orders += [
                ForgetBackend(b) for b in self.backends if b in gone and b.is_withdrawn
            ]
            self.backends = {b: None for b in self.backends if b not in gone or not b.is_withdrawn}

    def _update_latency(self, backend: Backend) -> None:
        """A report's latency over the backend's own lowest of the last minute, and its outcomes."""
        backend.latency_minimum.drop_before(self.now_ms - LOW_SPAN)
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
            backend.lowest_latency_ms = max(backend.latency_minimum.minimum(), 1e-3)
            backend.latency_ratio, backend.last_ok_at_ms = (
                backend.mean_latency_ms / backend.lowest_latency_ms,
                self.now_ms,
            )
        elif (
            self.now_ms - (backend.last_ok_at_ms or 0.0) > UNHEARD_AFTER * self.mean_report_span_ms
        ):
            backend.latency_ratio = None
        backend.outcomes.add(WELL, backend.ok_attempts)
        backend.outcomes.add(WRONG, backend.aborted_attempts)
        if (
            backend.is_on_probation
            and self._is_usable(backend)
            and backend.outcomes.bins[0] >= TRIAL_LEAST
        ):
            backend.is_on_probation, backend.ramp_start_ms = False, self.now_ms
        backend.rpcs_since_ok = (
            0.0 if backend.ok_attempts else backend.rpcs_since_ok + backend.expected_rpcs
        )

    def _is_crowded(self, backend: Backend) -> bool:
        return backend.mean_latency_ms > STRESS_LOW * self.shortest_soft_deadline_ms

    def _update_zone_admission(self) -> None:
        """Sets what part each zone lets in, from the zone's own latencies: down at once, back in steps.

        Against the retry storms in which a crowded fleet stays crowded, whatever began them. It harms where
        RPCs are slow by nature: there the low criticality is pushed back for nothing.
        """
        warm = [b for b in self.backends if self._is_warm(b)]
        tries, bad = (
            sum(b.ok_attempts + b.aborted_attempts for b in self.backends),
            sum(b.aborted_attempts for b in self.backends),
        )
        self.ok_fraction = (self.ok_fraction + 1 - bad / max(tries, 1e-9)) / 2
        self.warm_ok_rate_per_size = (
            self.warm_ok_rate_per_size
            + sum(b.ok_attempts for b in warm)
            / self.settings.report_interval_ms
            / max(sum(b.size for b in warm), 1e-9)
        ) / 2
        for zone in dict.fromkeys(b.zone for b in self.backends if b.ok_attempts):
            here = [b for b in self.backends if b.zone == zone and b.ok_attempts]
            stress = (
                sum(b.ok_latency_sum_ms for b in here)
                / sum(b.ok_attempts for b in here)
                / self.shortest_soft_deadline_ms
            )
            stress = self.zone_stress[zone] = (self.zone_stress.get(zone, 0.0) + stress) / 2
            let, since = self.zone_admission.get(zone, (1.0, 0.0))
            well = sum(b.ok_attempts for b in here) / sum(
                b.ok_attempts + b.aborted_attempts for b in here
            )
            if stress > STRESS_HIGH:
                self.zone_admission[zone] = (
                    max(let * min(max(well, LET_CUT[0]), LET_CUT[1]), LET_LEAST),
                    self.now_ms,
                )
            elif stress < STRESS_LOW and self.now_ms - since > LET_EVERY * self.mean_report_span_ms:
                self.zone_admission[zone] = min(let + LET_STEP, 1.0), self.now_ms

    def _count_violations(self) -> None:
        mark = VIOLATOR_MARK * self._median_latency_ratio()
        for backend in self.backends:
            if backend.ok_attempts or backend.latency_ratio is None:
                own = (
                    backend.ok_latency_sum_ms / max(backend.ok_attempts, 1e-9)
                    > mark * backend.lowest_latency_ms
                )
                backend.consecutive_violations = (
                    backend.consecutive_violations + own
                    if (backend.latency_ratio or 0.0) > mark
                    else 0
                )
            backend.ok_attempts = backend.aborted_attempts = backend.expected_rpcs = (
                backend.ok_latency_sum_ms
            ) = 0.0

    def _median_latency_ratio(self) -> float:
        return median(
            [
                b.latency_ratio
                for b in self.backends
                if b.latency_ratio is not None and self._is_open(b)
            ]
            or [1.0]
        )

    def _eject_failing_backends(self) -> None:
        """Shuts out backends that fail far more than the fleet yet are quick, or where nothing ends well.

        It covers fast errors, crashes and cuts before the list tells, and hangs. A crowded one is moved from:
        shutting it would crowd the next. A broad trouble (squeezed connections, one method unanswered, a slow
        path, a bad view) hands no work to the rest, who could not do it. Harm: a fifth truly hung stay in.
        """
        opened = [b for b in self.backends if self._is_open(b)]
        judged = {
            b: b.outcomes.share_from(WRONG) for b in opened if b.outcomes.total() >= BAD_LEAST
        }
        mark = max(BAD_SHARE, BAD_OVER_MEDIAN * median(judged.values() or [0.0]))
        sick = [
            b
            for b in opened
            if not (
                self._is_crowded(b)
                or b.smoothed_latency_ms > STRESS_LOW * self.shortest_soft_deadline_ms
            )
            and judged.get(b, 0.0)
            >= (mark if b.ok_attempts and b.latency_ratio <= QUICK else ALL_BAD)
            or b.rpcs_since_ok >= DRY_LEAST
            and self.now_ms - (b.last_ok_at_ms or 0.0)
            > max(
                2 * self.mean_report_span_ms,
                max(
                    m.deadline_ms if self._is_crowded(b) else m.soft_deadline_ms
                    for m in self.settings.methods
                ),
            )
        ]
        ready = [b for b in self.backends if b.phase is Phase.READY]
        out = [b for b in ready if not self._is_open(b)]
        suspects = sum(b in sick or judged.get(b, 0.0) >= BROAD_SHARE for b in opened)
        if len(out) + suspects > max(BROAD_MOST * len(ready), 1):
            for backend in out:
                backend.ejected_until_ms = self.now_ms
            return
        for backend in sick:
            self.other_orders.append(
                LogDecision(
                    f"shut out {backend.name}: {judged.get(backend, 0):.0%} of its tries"
                    f" went wrong, {backend.rpcs_since_ok:.0f} asked since one went well"
                )
            )
            backend.ejected_until_ms = self.now_ms + SHUT_FIRST * 2 ** min(
                backend.ejection_count, 2
            )
            backend.ramp_start_ms, backend.ramp_duration_ms = (
                backend.ejected_until_ms,
                HEALED_PART * self.settings.warm_up_ms,
            )
            backend.ejection_count, backend.is_on_probation = backend.ejection_count + 1, True
            self._clear_statistics(backend)

    # The mechanism.

    def _run_round(self) -> None:
        """One round of the placement loop: worst violator first, hottest slices first."""
        for backend in self.backends:
            backend.outcomes.halve()
        middle, used = self._median_latency_ratio(), {}
        violators = sorted(
            (
                b
                for b in self.backends
                if self._is_open(b)
                and b.latency_ratio is not None
                and b.consecutive_violations >= VIOLATOR_REPORTS
            ),
            key=lambda b: -b.latency_ratio,
        )
        former, self.worst_violation = (
            self.worst_violation,
            violators[0].latency_ratio / middle if violators else 0.0,
        )
        if self.running_moves and self.worst_violation > former:
            self._cancel_moves()
        if not self.settings.sliced or self.settings.has_single_owner:
            return
        budget = 0 if self.running_moves or self.now_ms < self.cool_off_until_ms else MOVE_BUDGET
        for violator in violators:
            for one in sorted(
                (
                    s
                    for s in self.slices
                    if s.owner is violator
                    and s.move_blocked_until_ms <= self.now_ms
                    and s.heat >= WORTH_MOVING * violator.heat
                ),
                key=lambda s: -s.heat,
            ):
                target = (
                    self._choose_target(one, violator, middle, used) if len(used) < budget else None
                )
                if target:
                    used[target], self.running_moves[one] = None, one.owner
                    self._move_slice(one, target)
        self._fill_started_backends(used)

    def _fill_started_backends(self, used: dict) -> None:
        """Gives backends that started while we watched, and stand empty, a slice each from the most crowded.

        The loop empties violators alone and ranks the unheard as average: an enlarged fleet would stay idle.
        It only relieves, so plans and cool-offs do not hold it. Harm: keys go cold for a needless return.
        """
        mean = self._mean_heat()
        budget = max(MOVE_BUDGET, FILL_BUDGET * sum(self._is_usable(b) for b in self.backends))
        for target in self.backends:
            if (
                budget < 1
                or target in used
                or target.ramp_start_ms is None
                or not self._is_usable(target)
                or target.owned_heat > FILL_PART * mean * target.size * self._warm_up_share(target)
            ):
                continue
            fits = [
                s
                for s in self.slices
                if s.move_blocked_until_ms <= self.now_ms
                and s.owner
                and (
                    s.owner.consecutive_violations
                    or (s.owner.heat > FILL_FROM * mean * s.owner.size)
                )
                and self._fits_on(s, s.owner, target)
            ]
            if fits:
                budget -= 1
                self._move_slice(
                    max(fits, key=lambda s: (s.owner.latency_ratio or 0.0, s.heat)), target
                )

    def _fits_on(self, one: Slice, source: Backend, target: Backend) -> bool:
        """A slice's heat counts twice, as its keys are cold there: no move may make a new worst."""
        due = target.heat + COLD_KEYS * one.heat
        return due < source.heat * target.size / source.size and self._has_room(target, one)

    def _choose_target(
        self, one: Slice, source: Backend, middle: float, used: dict
    ) -> Backend | None:
        """The lowest-ratio server at or below the median that the slice fits on; unheard is average."""
        ratios = {
            b: middle if b.latency_ratio is None else b.latency_ratio
            for b in self.backends
            if self._is_usable(b)
        }
        fits = [
            b
            for b, ratio in ratios.items()
            if ratio <= middle
            and not b.consecutive_violations
            and b is not source
            and b not in used
            and self._fits_on(one, source, b)
        ]
        return min(fits, key=lambda b: (ratios[b], b.heat / b.size), default=None)

    def _move_slice(self, one: Slice, target: Backend) -> None:
        source, rate = one.owner, one.heat * 1000
        self.other_orders.append(
            LogDecision(
                f"move slice {one.number} of heat {rate:.1f}/s from {source.name}"
                f" ({source.latency_ratio or 0:.1f}) to {target.name} ({target.latency_ratio or 0:.1f})"
            )
        )
        source.heat, target.heat = source.heat - one.heat, target.heat + one.heat
        target.owned_heat += one.heat
        one.owner, one.move_blocked_until_ms, self.needs_planning = target, self.now_ms + REST, True

    def _cancel_moves(self) -> None:
        """Drops the moves that have not been sent and lets the system cool off."""
        for one, former in self.running_moves.items():
            if one.pending_orders and one.shifts_rpcs and self._is_usable(former):
                one.owner, one.move_blocked_until_ms = former, 0.0
        self.running_moves.clear()
        self.cool_off_until_ms, self.needs_planning = self.now_ms + COOL_OFF, True

    # What is wanted.

    def _update_heat(self) -> None:
        """Adds up the heat of each backend by the lines ordered; a slice not heard of counts as average.

        Else a controller just given slices would take them for cold, and put them on one backend.
        """
        known = [one.heat for one in self.slices if one.heat] or [1e-3]
        for backend in self.backends:
            backend.heat = backend.owned_heat = backend.standby_heat = 0.0
        for one in self.slices:
            one.heat = sum(known) / len(known) if one.heat is None else one.heat
            if one.owner:
                one.owner.owned_heat += one.heat
            for backend, part in active_shares(one.table).items():
                backend.heat += one.heat * part

    def _has_room(self, backend: Backend, one: Slice) -> bool:
        """Whether a backend may take a slice: always, once it is warm."""
        return self._warm_up_share(
            backend
        ) >= 1 or backend.owned_heat + one.heat <= self._heat_limit(backend)

    def _mean_heat(self) -> float:
        opened = [b for b in self.backends if self._is_open(b)]
        return sum(b.heat for b in opened) / max(sum(b.size for b in opened), 1e-9)

    def _plan_tables(self) -> None:
        """Decides every held table anew: the owner, displaced ones placed again, and the spares."""
        self.needs_planning = False
        if not self.settings.sliced:
            for one in self.slices:
                one.desired_shares = {
                    b: b.size * self._warm_up_share(b) for b in self.backends if self._is_open(b)
                } or one.table
            return
        self._update_heat()
        ready = [b for b in self.backends if b.phase is Phase.READY]
        usable = [b for b in ready if self._is_usable(b)] or ready
        if not ready:
            return
        for backend in usable:  # whoever runs is better than nobody
            backend.ejected_until_ms = min(backend.ejected_until_ms, self.now_ms)
        for one in sorted(
            (s for s in self.slices if s.owner is None or s.owner.phase is not Phase.READY),
            key=lambda s: -s.heat,
        ):
            one.owner = owner = self._choose_new_owner(one, usable)
            owner.heat, owner.owned_heat = owner.heat + one.heat, owner.owned_heat + one.heat
        warm = [b for b in usable if self._warm_up_share(b) >= 1]
        for one in self.slices:
            one.desired_shares = self._desired_shares(one, warm)

    def _desired_shares(self, one: Slice, warm: list[Backend]) -> dict[Backend, float]:
        """What part of a slice's RPCs goes where: to its owner what it may have, the rest to the spare."""
        spare = None if self.settings.has_single_owner else self._choose_standby(one, warm)
        if spare is None:
            return {one.owner: 1.0}
        spare.standby_heat, part = spare.standby_heat + one.heat, self._owner_share(one.owner)
        return {one.owner: part, spare: 1.0 - part} if part else {spare: 1.0}

    def _choose_new_owner(self, one: Slice, usable: list[Backend]) -> Backend:
        """Where a slice goes that lost its backend: the least crowded; cold ones only within their room."""
        roomy = [b for b in usable if self._has_room(b, one)]
        roomy = roomy or [b for b in usable if self._warm_up_share(b) >= 1] or usable
        return min(
            [b for b in roomy if not b.consecutive_violations] or roomy,
            key=lambda b: (
                (b.heat + one.heat)
                / (b.size * self._warm_up_share(b))
                * (SPARE_LIKED if b in one.table else 1.0)
            ),
        )

    def _choose_standby(self, one: Slice, warm: list[Backend]) -> Backend | None:
        """A standby line, for who loses the owner: one that the table has, else one in another zone."""
        had = [
            b for b in one.table if b is not one.owner and self._is_warm(b) and not b.is_withdrawn
        ]
        if had:
            return max(had, key=lambda b: (not b.consecutive_violations, one.table[b]))
        return min(
            (b for b in warm if b is not one.owner),
            default=None,
            key=lambda b: (
                b.zone == one.owner.zone,
                b.consecutive_violations > 0,
                (b.heat + b.standby_heat) / b.size,
            ),
        )

    def _pending_entries(self, one: Slice) -> list[SetEntry]:
        """The fewest lines that bring a table to what is wanted, as each goes to every proxy.

        Others that are a trace beside the main one stay.
        """
        want, have = one.desired_shares, one.table
        stale = (
            []
            if self.settings.has_single_owner
            else [SetEntry(one, b, 0.0) for b in have if b not in want]
        )
        dead = [
            o
            for o in stale
            if o.backend.phase is not Phase.READY
            and share_if_active(have, o.backend) > NEAR
            or self._is_open(o.backend)
            and o.backend.is_withdrawn
            and self._warm_up_share(o.backend) < 1
        ]
        if not self.settings.sliced or self.settings.has_single_owner:
            return [SetEntry(one, b, w) for b, w in want.items() if have.get(b) != w] + stale
        main = max(want, key=want.get)
        top = have.get(main, 0.0)
        other = max((have[o.backend] for o in stale if o.backend.phase is Phase.READY), default=0.0)
        if top * SPARE_WEIGHT < other / 2 or not top:
            top = max(have.values()) / SPARE_WEIGHT if have else 1.0
        if top > WEIGHT_MOST:
            return [
                SetEntry(one, b, max(w / want[main], SPARE_WEIGHT)) for b, w in want.items()
            ] + stale
        owed = []
        for backend, part in want.items():
            weight, present = max(part / want[main], SPARE_WEIGHT), have.get(backend, 0.0) / top
            if not present or abs(present - weight) > NEAR * (weight > SPARE_WEIGHT) + SPARE_WEIGHT:
                owed.append(SetEntry(one, backend, weight * top))
        return (
            owed
            + dead
            + [o for o in stale if owed and o.backend.phase is Phase.GONE and o not in dead]
        )

    # From wanted to present.

    def _update_pending_orders(self) -> None:
        """Decides anew and lists what is owed: what shifts RPCs before standby lines, the hottest first."""
        self._plan_tables()
        for one in self.slices:
            one.pending_orders = (
                self._pending_entries(one) if one.desired_shares else []
            ) + self._pending_levels(one)
            live = active_shares(one.table)
            one.shifts_rpcs = self._admission_levels(one) != one.admission_levels or any(
                abs(live.get(b, 0.0) - part) > NEAR for b, part in one.desired_shares.items()
            )
        self.pending_slices = sorted(
            (one for one in self.slices if one.pending_orders),
            key=lambda s: (not s.shifts_rpcs, -(s.heat or 0.0)),
        )

    def _may_push(self) -> bool:
        late, most = (
            self.now_ms - self.channel.last_push_ms >= PUSH_AFTER,
            self.settings.max_pushes_per_window or NEVER,
        )
        return (late or self.channel.unconfirmed_receivers() <= MOST * len(self.proxies)) and (
            len(self.channel.push_times_ms) < (1.0 - KEPT_PART) * most
        )

    def _emit_orders(self) -> list[Order]:
        """Orders the difference between wanted and present state, as the channel allows.

        Withdrawals and bare tables go at once, from a reserve; the rest waits for most confirmations.
        """
        if self.needs_planning:
            self._update_pending_orders()
        self.channel.drop_before(
            self.now_ms
            - SLOWEST * self.settings.max_pending_entries / self.settings.channel_entries_per_ms,
            self.now_ms - self.settings.push_window_ms,
            self.now_ms * self.channel_state.awaits_answer,
        )
        # While proxies come in, more may join before the call is carried out, and get it, too.
        coming = (
            self.settings.sliced and self.now_ms - self.last_join_ms < PUSH_AFTER * JOINS_GATHER
        )
        each = max(len(self.proxies), self.settings.proxy_count if coming else 1)
        head, orders = self.settings.message_overhead_entries + 1, []
        whole = self.settings.max_pending_entries / each
        most = (
            whole * URGENT_PART - head
        )  # that is ever free; a small channel keeps back less of it
        room = most - self.channel.waiting_entries() / each
        batch = head + BROAD_MOST * len(
            self.backends
        )  # for a further message that withdraws so many
        kept = max(min(whole * KEPT_PART, most / 2), min(batch, most * MOST_KEPT))
        spared = max(min(whole * SPARED_PART, most / 4), min(batch, most / 2))

        def worth(lines: int, back: float) -> float:  # the room at which a push is worth its head
            return min(lines, head, (most - back) / 2)

        room *= len(self.channel.push_times_ms) < (self.settings.max_pushes_per_window or NEVER)
        # A call that broke off has not run if none confirmed it within a message's way of all before it.
        if self.channel.missing_confirmations_before(self.channel_state.unknown_seal):
            self.unknown_call_blocked_ms = self.now_ms
        since = self.now_ms - self.channel.last_push_ms
        alone = min(since, self.now_ms - self.unknown_call_blocked_ms)
        unrun = (
            since >= PUSH_AFTER
            or self.channel_state.is_broken
            and alone > ANSWER_PART * self.settings.max_transit_ms
        )
        if self.channel_state.unknown_seal and (
            unrun or room > self.channel.entries_per_receiver(self.channel_state.unknown_seal)
        ):
            self.channel.record_repeat(self.channel_state.unknown_seal, self.now_ms, unrun)
            self.other_orders.append(RepeatCall(self.channel_state.unknown_seal))
        room *= self.channel_state.is_free
        leaving = min(
            sum(b.phase is not Phase.READY and not b.is_withdrawn for b in self.backends), most / 2
        )
        for (
            backend
        ) in self.backends:  # all who leave in one message: another would wait for its head, too
            if (
                not backend.is_withdrawn
                and self._must_withdraw(backend)
                and room
                > (
                    max(1, leaving - len(orders))
                    if backend.phase is not Phase.READY or self._is_open(backend)
                    else kept + 1
                )
            ):
                orders.append(SetWithdrawn(backend, True))
                backend.is_withdrawn, self.needs_planning, room = True, True, room - 1
        # Who joined late has missed the withdrawals so far. They go together, as each push costs its head,
        # those first whom most RPCs would reach. A further message that withdraws a batch always has room.
        missed = [
            b
            for b in self.unannounced_withdrawals
            if b.is_withdrawn and any(b in one.table for one in self.slices)
        ]
        more = min(batch - head, most / 2)
        if self.now_ms >= self.announce_withdrawals_at_ms and room - more > worth(
            len(missed), more
        ):
            missed.sort(
                key=lambda b: (
                    -max(share_if_active(one.table, b) for one in self.slices if b in one.table)
                )
            )
            told, self.unannounced_withdrawals = (
                missed[: int(room - more)],
                dict.fromkeys(missed[int(room - more) :]),
            )
            orders += [SetWithdrawn(b, True) for b in told]
            room, missed = room - len(told), missed[len(told) :]
        if self.needs_planning:
            self._update_pending_orders()
        # Nobody is left without a line: not by a withdrawal now, nor by one before the slice was given.
        stripped = [one for one in self.pending_slices if has_no_active_entry(one.table)]
        if room - spared > worth(len(stripped), spared):  # their main lines only: the rest can wait
            for one in stripped:
                one.pending_orders = sorted(
                    one.pending_orders, key=lambda order: -getattr(order, "weight", 0.0)
                )[:1]
            room, self.needs_planning = (
                self._send_pending(stripped, room - spared, orders) + spared,
                True,
            )
        # Pushes of a line or two, one after the other, would take the room that all of these wait for.
        if self._may_push() and not missed and not any(one.pending_orders for one in stripped):
            room, back, kept = room - kept, kept, 0.0
            if (
                self.admission_reset_due and room > 1
            ):  # only after a try that never ran: no effect comes twice
                self.admission_reset_due, room = False, room - 1
                orders.append(
                    SetAdmissionLevel(
                        self.methods_by_criticality[0] + self.methods_by_criticality[1],
                        None,
                        LET_ALL,
                        RetryMode.NEVER_RAN,
                    )
                )
            if orders or room > worth(
                sum(len(one.pending_orders) for one in self.pending_slices), back
            ):
                room = self._send_pending(self.pending_slices, room, orders)
        for backend in self.backends:
            if (
                backend.is_withdrawn
                and room > kept + 1
                and self._is_open(backend)
                and (
                    not self._exceeds_desired(backend)
                    or self._warm_up_share(backend) >= 1
                    and any(
                        backend in one.table and has_no_active_entry(one.table)
                        for one in self.slices
                    )
                )
            ):
                backend.is_withdrawn, self.needs_planning, room = False, True, room - 1
                self._clear_statistics(backend)
                for one in (s for s in self.slices if backend in s.table):
                    one.rpcs_shifted_at_ms = self.now_ms
                orders.append(SetWithdrawn(backend, False))
        for proxy in (
            self.proxies if self.channel_state.is_free and not self.settings.sliced else ()
        ):
            orders += [
                BindProxy(one, proxy) for one in self.slices if one.table and not proxy.is_bound
            ]
            proxy.is_bound = all(one.table for one in self.slices)
        if orders:
            self.last_seal = self.last_seal % 65_000 + 1
            lines = len(orders) + head + (0 if self.settings.sliced else len(self.backends))
            self.channel.record_sent(self.last_seal, lines, self.proxies, self.now_ms)
            orders.append(Seal(self.last_seal))
        # A plan has run once its tables were sent and most proxies confirmed them.
        if (
            self.running_moves
            and not any(one.pending_orders and one.shifts_rpcs for one in self.running_moves)
            and self._may_push()
        ):
            self.running_moves.clear()
        if self.now_ms >= self.follow_list_at_ms:
            self.follow_list_at_ms, orders = NEVER, [*orders, FollowFleetList(True)]
        if self.now_ms >= self.next_wake_ms:
            self.next_wake_ms = self.now_ms + (
                beat := min(self.settings.report_interval_ms, ROUND_EVERY) / 2
            )
            orders.append(SetTimer(beat, 0))
        return orders

    def _must_withdraw(self, backend: Backend) -> bool:
        """Not open, or freshly started while tables still name it as if it were warm."""
        if backend.phase is not Phase.READY:
            return True
        if self._is_open(backend) and (
            self._warm_up_share(backend) > STEPS[0][1] or not self._exceeds_desired(backend)
        ):
            return False
        return all(
            any(not b.is_withdrawn and b is not backend for b in one.desired_shares)
            for one in self.slices
            if backend in one.desired_shares
        )

    def _exceeds_desired(self, backend: Backend) -> bool:
        """Whether a table gives a backend more than is wanted; a trace brings the cold what others refuse."""
        return any(
            share_if_active(one.table, backend) - NEAR
            > one.desired_shares.get(backend, 0.0) / (sum(one.desired_shares.values()) or 1.0)
            or self._warm_up_share(backend) < 1
            and backend not in one.desired_shares
            for one in self.slices
            if backend in one.table
        )

    def _send_pending(self, owed: list[Slice], room: float, orders: list[Order]) -> float:
        """Writes the lines that tables are owed, as far as there is room."""
        for one in owed:
            if not one.pending_orders or room <= len(one.pending_orders):
                continue
            room, orders[len(orders) :] = room - len(one.pending_orders), one.pending_orders
            one.rpcs_shifted_at_ms = self.now_ms if one.shifts_rpcs else one.rpcs_shifted_at_ms
            for order in one.pending_orders:
                if type(order) is SetAdmissionLevel:
                    one.admission_levels = self._admission_levels(one)
                else:
                    one.table = {
                        **({} if self.settings.has_single_owner else one.table),
                        order.backend: order.weight,
                    }
            one.table, one.pending_orders = {b: w for b, w in one.table.items() if w}, []
        self.pending_slices = [one for one in self.pending_slices if one.pending_orders]
        return room

    def _admission_levels(self, one: Slice) -> tuple[float, float]:
        """What is let in of the least criticality, which gives way first, and of the others.

        It follows its owner's zone; a slice whose own backend is calm lets all in.
        """
        if (
            self.settings.admission_mode != "ratio"
            or one.owner is None
            or not self._is_crowded(one.owner)
        ):
            return 1.0, 1.0
        low = len(self.methods_by_criticality[0]) / len(self.settings.methods)
        cut = 1.0 - self.zone_admission.get(one.owner.zone, (1.0, 0.0))[0]
        levels = max(1.0 - cut / low, 0.0), 1.0 - max(cut - low, 0.0) / max(1.0 - low, 0.1)
        return tuple(round(level * LEVELS) / LEVELS for level in levels)

    def _pending_levels(self, one: Slice) -> list[SetAdmissionLevel]:
        return [
            SetAdmissionLevel(methods, one, part, RetryMode.NEVER_RAN)
            for methods, part, former in zip(
                self.methods_by_criticality, self._admission_levels(one), one.admission_levels
            )
            if methods and part != former
        ]
