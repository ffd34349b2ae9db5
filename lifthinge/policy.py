"""The decisions of lifthinge: which backend serves which slice, and what the proxies are told of it.

How it is invoked: an adapter makes one `Policy(terms, seed)` for each instance and calls
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
        self.terms, self.dice, self.soft = (
            terms,
            Random(seed),
            min(m.soft_deadline for m in terms.methods),
        )
        self.ranks = self._rank({})
        self.by_hand, self.shares = (
            {},
            {},
        )  # backends out of service by hand; by zone, of usual work
        self.backends: dict[Backend, None] = {}  # every one ever listed or named by the store
        self.slices: dict[Slice, None] = {}  # in this instance's charge
        self.proxies: dict[Proxy, None] = {}  # joined
        self.notes = {  # what waits for a proxy that left counts until it is out for sure
            OperatorOverrides: self._note_by_hand,
            FleetNews: self._note_fleet,
            ProxyJoined: self._note_join,
            AttemptReport: self._note_tries,
            SliceHeatReport: self._note_heat,
            SliceLeaseChanged: self._note_lease,
            StoredEntry: self._note_line,
            WithdrawalState: self._note_out,
            ProxyLeft: lambda event: self.proxies.pop(event.proxy, None),
            ChannelState: lambda event: setattr(self, "way", event),
            SealConfirmed: lambda event: self.channel.confirmed(event.seal, event.proxy),
        }
        self.dirty = self.levels_due = True
        self.now = self.fold_at = self.round_at = self.wake_at = self.cool_until = (
            self.plan_worst
        ) = 0.0
        self.follow_at = 0.0 if terms.news_on_request else NEVER
        self.untold, self.untold_at = {}, 0.0  # withdrawals that late joiners missed; when to tell
        self.joined_at = 0.0  # when a proxy last joined
        self.clear_at = 0.0  # when a call of unknown fate last had others before it
        self.horizon = terms.report_every  # the mean span of a report of late, by its tries
        self.spans = 0.0, 0.0  # of this period's reports, times their tries; the tries
        self.usual = 0.0  # a report's tries
        self.good = 1.0  # part of all tries that goes well
        self.fair = 0.0  # RPCs that go well for each warm unit of size
        self.stress: dict[int, float] = {}  # zone: mean latency in shortest soft deadlines
        self.let: dict[int, tuple[float, float]] = {}  # zone: part that is let in, and since when
        self.plan: dict[Slice, Backend] = {}  # moves that still run: slice to former owner
        self.seal, self.channel, self.way = 0, Channel(), ChannelState(True)
        self.said, self.owed = [], []  # orders beside tables; tables to be written, by worth
        if not terms.sliced:
            self.slices[Slice(0, held=True)] = None

    def decide(self, now: float, events: Iterable[Event]) -> list[Order]:
        """What is ordered after one batch."""
        self.now, self.said = now, []
        for event in events:
            self.notes.get(type(event), lambda _: None)(event)
        if now >= self.fold_at:
            self.fold_at = now + self.terms.report_every
            self._fold()
        if now >= self.round_at:
            self.round_at = now + ROUND_EVERY
            self._round()
        return self._emit() + self.said

    # What is known.

    def _note_fleet(self, news: FleetNews) -> None:
        if news.form is FleetNewsKind.MISSED:
            self.follow_at = self.now + ROUND_EVERY * (1 + self.dice.random())
            return
        listed = {}
        for entry in news.listings:
            backend = entry.backend
            listed[backend] = self.backends.setdefault(backend)
            # A fresh start is a fresh backend, listed as gone in between or not: old tables may flood it.
            if entry.started > backend.started and entry.started + self.terms.warm_up > self.now:
                backend.eased_from, backend.ease_span = entry.started, self.terms.warm_up
                backend.shut_until, backend.on_trial = 0.0, False
                self._forget(backend)
            backend.zone, backend.listed, backend.started = entry.zone, entry.phase, entry.started
            backend.told_size = entry.size if self.terms.sizes_told and entry.size > 0 else 1.0
        for backend in (
            b for b in self.backends if news.form is not FleetNewsKind.DELTA and b not in listed
        ):
            backend.listed = Phase.GONE
        self._settle()

    def _rank(self, worth: dict[int, float]) -> list[tuple[int, ...]]:
        """Methods of the least criticality, and the others."""
        worths = [worth.get(k, m.criticality) for k, m in enumerate(self.terms.methods)]
        return [
            tuple(k for k, one in enumerate(worths) if (one > min(worths)) == high)
            for high in (False, True)
        ]

    def _note_by_hand(self, event: OperatorOverrides) -> None:
        self.by_hand, self.shares = dict.fromkeys(event.out), event.shares
        if (ranks := self._rank(event.criticality)) != self.ranks:
            self.ranks, self.levels_due = (
                ranks,
                True,
            )  # all are let in, then levels follow the new ranks
            for one in self.slices:
                one.levels = (1.0, 1.0)
        self._settle()

    def _settle(self) -> None:
        """Phases as listed, but who is out by hand is as good as draining, while a warm one is left.

        Against an agreed document that takes out too much: the list has them ready, rules 1 and 4 hold.
        """
        acts = any(
            b.listed is Phase.READY
            and b not in self.by_hand
            and self._share(b) >= 1
            and b.shut_until <= self.now
            for b in self.backends
        )
        for backend in self.backends:
            held = acts and backend in self.by_hand and backend.listed is Phase.READY
            backend.phase = Phase.DRAINING if held else backend.listed
            backend.size = backend.told_size * self.shares.get(backend.zone, 1.0)
        if self.by_hand and not acts:
            self.said.append(
                LogDecision("out of service by hand does not act: nobody warm would be left")
            )
        self.dirty = True

    def _forget(self, backend: Backend) -> None:
        backend.lows.clear()
        backend.outcomes.clear()
        backend.ratio, backend.strikes, backend.dry, backend.late = None, 0, 0.0, (0.0, 0.0)

    def _note_join(self, event: ProxyJoined) -> None:
        self.proxies[event.proxy], self.joined_at = None, self.now
        self._tell_again(b for b in self.backends if b.shut_out)

    def _tell_again(self, backends: Iterable[Backend]) -> None:
        """Some proxy may have missed that these are withdrawn."""
        self.untold_at = self.untold_at if self.untold else self.now + PUSH_AFTER * JOINS_GATHER
        self.untold.update(dict.fromkeys(backends))

    def _note_tries(self, report: AttemptReport) -> None:
        # No report counts for much more than the others do of late: many sane ones outweigh a wild one.
        backend, usual = report.backend, self.usual or report.total
        part = min(max(2 * WILD * usual, BAD_LEAST) / max(report.total, 1), 1.0)
        ok = part * max(report.total - report.aborted, 0)
        total = ok + min(part * report.aborted, max(WILD * usual, BAD_LEAST))
        self.usual = usual + (total - usual) * USUAL_NEW
        self.spans = self.spans[0] + report.span * total, self.spans[1] + total
        backend.ok, backend.aborted = backend.ok + ok, backend.aborted + total - ok
        backend.took_sum += ok * report.took

    def _note_heat(self, report: SliceHeatReport) -> None:
        one = report.slice
        one.let_in += report.total * one.levels[report.method in self.ranks[1]]
        most = max(sum(s.heat or 0.0 for s in self.slices), WILD * (one.heat or 0.0))  # of all
        rate = min(report.total / max(report.span, 1.0), most if one.rates else NEVER)
        one.rates[report.method] = (
            (one.rates.get(report.method, (rate, 0.0))[0] + rate) / 2,
            self.now,
        )

    def _note_lease(self, event: SliceLeaseChanged) -> None:
        one = event.slice
        self.plan.pop(one, None), self.slices.pop(one, None)
        one.held, one.lines, one.owner, one.wanted, one.heat = event.given, {}, None, {}, None
        one.owed, one.rates, one.levels = [], {}, (1.0, 1.0)
        if event.given:
            self.slices[one], self.levels_due = None, True
        self.dirty = True

    def _note_line(self, event: StoredEntry) -> None:
        one = event.slice
        if one.held and event.weight > 0:
            self.backends[event.backend], one.lines[event.backend] = None, event.weight
            if (
                event.backend.shut_out
            ):  # maybe while no table named it: who joined since was not told
                self._tell_again([event.backend])
            one.owner = max(one.lines, key=lambda b: (b.phase is Phase.READY, one.lines[b]))

    def _note_out(self, event: WithdrawalState) -> None:
        self.backends[event.backend], event.backend.shut_out, self.dirty = None, event.out, True

    # What it means.

    def _share(self, backend: Backend) -> float:
        """The part of a warm backend's work that this one may be given: rises in steps after a start."""
        if backend.eased_from is None:
            return 1.0
        if backend.on_trial:  # a trace, until it proves well: one that still hangs costs little
            return TRIAL
        passed = (self.now - backend.eased_from) / backend.ease_span
        return max(share for part, share in STEPS if part <= max(passed, 0.0))

    def _limit(self, backend: Backend) -> float:
        """The heat that a backend easing in may have: by what goes well at warm ones, not by what comes in.

        So no retry storm pushes it over; and it is this instance's part of a budget that all share unseen.
        """
        well = (1.0 - backend.outcomes.share_from(WRONG)) ** 2  # less where it pushes back
        return (
            well
            * self._share(backend)
            * backend.size
            * (self.fair or UNSEEN_PART * self._mean_heat())
        )

    def _part(self, backend: Backend) -> float:
        """The part of its own slices' RPCs that goes to their owner, in the same few steps.

        What the other lines push back comes to the owner as well, and may leave room for nothing.
        """
        if self._share(backend) >= 1 or backend.on_trial:
            return self._share(backend)
        part = min(self._limit(backend) / max(backend.home_heat, 1e-9), 1.0)
        part = 1 - (1 - part) / max(self.good, 1e-9)
        return max((step for _, step in STEPS if step <= part + NEAR), default=0.0)

    def _open(self, backend: Backend) -> bool:
        return backend.phase is Phase.READY and backend.shut_until <= self.now

    def _usable(self, backend: Backend) -> bool:
        return self._open(backend) and not backend.shut_out

    def _warm(self, backend: Backend) -> bool:
        return self._open(backend) and self._share(backend) >= 1

    def _fold(self) -> None:
        """Takes in a period's reports: heat of slices, ratios of backends, who is sick."""
        (span, tries), self.spans = self.spans, (0.0, 0.0)
        span = max(span / tries, self.terms.report_every) if tries else self.horizon
        self.horizon += (span - self.horizon) * HORIZON_NEW
        for one in self.slices:
            for method, (
                rate,
                at,
            ) in one.rates.items():  # silence means no RPC only where lines get in
                if self.now - at > UNHEARD_AFTER * self.horizon:
                    one.rates[method] = rate / 2, self.now - self.horizon
            one.heat = sum(rate for rate, _ in one.rates.values()) if one.rates else one.heat
            if one.moved_at is None or self.now - one.moved_at > SETTLED_AFTER * self.horizon:
                for backend, part in active_shares(one.lines).items():
                    backend.asked += one.let_in * part
            one.let_in = 0.0
        for backend in self.backends:
            self._measure(backend)
        if self.by_hand:
            self._settle()
        self._drop_gone()
        self._weigh()
        self._weigh_zones()
        self._judge_sick()
        self._judge_ratios()
        self.dirty = True

    def _drop_gone(self) -> None:
        """Forgets who is gone and named nowhere: each start may bring new ids, for good."""
        if gone := {b for b in self.backends if b.phase is Phase.GONE} - set(self.plan.values()):
            gone.difference_update(*([*s.lines, *s.wanted, s.owner] for s in self.slices))
            self.said += [ForgetBackend(b) for b in self.backends if b in gone and b.shut_out]
            self.backends = {b: None for b in self.backends if b not in gone or not b.shut_out}

    def _measure(self, backend: Backend) -> None:
        """A report's latency over the backend's own lowest of the last minute, and its outcomes."""
        backend.lows.forget(self.now - LOW_SPAN)
        if backend.ok:
            backend.late = backend.late[0] / 2 + backend.ok, backend.late[1] / 2 + backend.took_sum
            backend.took = backend.late[1] / backend.late[0]
            backend.lows.add(self.now, backend.took)
            backend.slow = (backend.slow + backend.took) / 2
            backend.low = max(backend.lows.value(), 1e-3)
            backend.ratio, backend.heard_at = backend.took / backend.low, self.now
        elif self.now - (backend.heard_at or 0.0) > UNHEARD_AFTER * self.horizon:
            backend.ratio = None
        backend.outcomes.add(WELL, backend.ok)
        backend.outcomes.add(WRONG, backend.aborted)
        if backend.on_trial and self._usable(backend) and backend.outcomes.bins[0] >= TRIAL_LEAST:
            backend.on_trial, backend.eased_from = False, self.now
        backend.dry = 0.0 if backend.ok else backend.dry + backend.asked

    def _crowded(self, backend: Backend) -> bool:
        return backend.took > STRESS_LOW * self.soft

    def _weigh_zones(self) -> None:
        """Sets what part each zone lets in, from the zone's own latencies: down at once, back in steps.

        Against the retry storms in which a crowded fleet stays crowded, whatever began them. It harms where
        RPCs are slow by nature: there the low criticality is pushed back for nothing.
        """
        warm = [b for b in self.backends if self._warm(b)]
        tries, bad = (
            sum(b.ok + b.aborted for b in self.backends),
            sum(b.aborted for b in self.backends),
        )
        self.good = (self.good + 1 - bad / max(tries, 1e-9)) / 2
        self.fair = (
            self.fair
            + sum(b.ok for b in warm)
            / self.terms.report_every
            / max(sum(b.size for b in warm), 1e-9)
        ) / 2
        for zone in dict.fromkeys(b.zone for b in self.backends if b.ok):
            here = [b for b in self.backends if b.zone == zone and b.ok]
            stress = sum(b.took_sum for b in here) / sum(b.ok for b in here) / self.soft
            stress = self.stress[zone] = (self.stress.get(zone, 0.0) + stress) / 2
            let, since = self.let.get(zone, (1.0, 0.0))
            well = sum(b.ok for b in here) / sum(b.ok + b.aborted for b in here)
            if stress > STRESS_HIGH:
                self.let[zone] = (
                    max(let * min(max(well, LET_CUT[0]), LET_CUT[1]), LET_LEAST),
                    self.now,
                )
            elif stress < STRESS_LOW and self.now - since > LET_EVERY * self.horizon:
                self.let[zone] = min(let + LET_STEP, 1.0), self.now

    def _judge_ratios(self) -> None:
        mark = VIOLATOR_MARK * self._median()
        for backend in self.backends:
            if backend.ok or backend.ratio is None:
                own = backend.took_sum / max(backend.ok, 1e-9) > mark * backend.low
                backend.strikes = backend.strikes + own if (backend.ratio or 0.0) > mark else 0
            backend.ok = backend.aborted = backend.asked = backend.took_sum = 0.0

    def _median(self) -> float:
        return median(
            [b.ratio for b in self.backends if b.ratio is not None and self._open(b)] or [1.0]
        )

    def _judge_sick(self) -> None:
        """Shuts out backends that fail far more than the fleet yet are quick, or where nothing ends well.

        It covers fast errors, crashes and cuts before the list tells, and hangs. A crowded one is moved from:
        shutting it would crowd the next. A broad trouble (squeezed connections, one method unanswered, a slow
        path, a bad view) hands no work to the rest, who could not do it. Harm: a fifth truly hung stay in.
        """
        opened = [b for b in self.backends if self._open(b)]
        judged = {
            b: b.outcomes.share_from(WRONG) for b in opened if b.outcomes.total() >= BAD_LEAST
        }
        mark = max(BAD_SHARE, BAD_OVER_MEDIAN * median(judged.values() or [0.0]))
        sick = [
            b
            for b in opened
            if not (self._crowded(b) or b.slow > STRESS_LOW * self.soft)
            and judged.get(b, 0.0) >= (mark if b.ok and b.ratio <= QUICK else ALL_BAD)
            or b.dry >= DRY_LEAST
            and self.now - (b.heard_at or 0.0)
            > max(
                2 * self.horizon,
                max(
                    m.deadline if self._crowded(b) else m.soft_deadline for m in self.terms.methods
                ),
            )
        ]
        ready = [b for b in self.backends if b.phase is Phase.READY]
        out = [b for b in ready if not self._open(b)]
        suspects = sum(b in sick or judged.get(b, 0.0) >= BROAD_SHARE for b in opened)
        if len(out) + suspects > max(BROAD_MOST * len(ready), 1):
            for backend in out:
                backend.shut_until = self.now
            return
        for backend in sick:
            self.said.append(
                LogDecision(
                    f"shut out {backend.name}: {judged.get(backend, 0):.0%} of its tries"
                    f" went wrong, {backend.dry:.0f} asked since one went well"
                )
            )
            backend.shut_until = self.now + SHUT_FIRST * 2 ** min(backend.trips, 2)
            backend.eased_from, backend.ease_span = (
                backend.shut_until,
                HEALED_PART * self.terms.warm_up,
            )
            backend.trips, backend.on_trial = backend.trips + 1, True
            self._forget(backend)

    # The mechanism.

    def _round(self) -> None:
        """One round of the placement loop: worst violator first, hottest slices first."""
        for backend in self.backends:
            backend.outcomes.halve()
        middle, used = self._median(), {}
        violators = sorted(
            (
                b
                for b in self.backends
                if self._open(b) and b.ratio is not None and b.strikes >= VIOLATOR_REPORTS
            ),
            key=lambda b: -b.ratio,
        )
        former, self.plan_worst = self.plan_worst, violators[0].ratio / middle if violators else 0.0
        if self.plan and self.plan_worst > former:
            self._cancel()
        if not self.terms.sliced or self.terms.one_owner:
            return
        budget = 0 if self.plan or self.now < self.cool_until else MOVE_BUDGET
        for violator in violators:
            for one in sorted(
                (
                    s
                    for s in self.slices
                    if s.owner is violator
                    and s.rests_until <= self.now
                    and s.heat >= WORTH_MOVING * violator.heat
                ),
                key=lambda s: -s.heat,
            ):
                target = self._target(one, violator, middle, used) if len(used) < budget else None
                if target:
                    used[target], self.plan[one] = None, one.owner
                    self._move(one, target)
        self._fill(used)

    def _fill(self, used: dict) -> None:
        """Gives backends that started while we watched, and stand empty, a slice each from the most crowded.

        The loop empties violators alone and ranks the unheard as average: an enlarged fleet would stay idle.
        It only relieves, so plans and cool-offs do not hold it. Harm: keys go cold for a needless return.
        """
        mean = self._mean_heat()
        budget = max(MOVE_BUDGET, FILL_BUDGET * sum(self._usable(b) for b in self.backends))
        for target in self.backends:
            if (
                budget < 1
                or target in used
                or target.eased_from is None
                or not self._usable(target)
                or target.home_heat > FILL_PART * mean * target.size * self._share(target)
            ):
                continue
            fits = [
                s
                for s in self.slices
                if s.rests_until <= self.now
                and s.owner
                and (s.owner.strikes or (s.owner.heat > FILL_FROM * mean * s.owner.size))
                and self._fits(s, s.owner, target)
            ]
            if fits:
                budget -= 1
                self._move(max(fits, key=lambda s: (s.owner.ratio or 0.0, s.heat)), target)

    def _fits(self, one: Slice, source: Backend, target: Backend) -> bool:
        """A slice's heat counts twice, as its keys are cold there: no move may make a new worst."""
        due = target.heat + COLD_KEYS * one.heat
        return due < source.heat * target.size / source.size and self._room(target, one)

    def _target(self, one: Slice, source: Backend, middle: float, used: dict) -> Backend | None:
        """The lowest-ratio server at or below the median that the slice fits on; unheard is average."""
        ratios = {
            b: middle if b.ratio is None else b.ratio for b in self.backends if self._usable(b)
        }
        fits = [
            b
            for b, ratio in ratios.items()
            if ratio <= middle
            and not b.strikes
            and b is not source
            and b not in used
            and self._fits(one, source, b)
        ]
        return min(fits, key=lambda b: (ratios[b], b.heat / b.size), default=None)

    def _move(self, one: Slice, target: Backend) -> None:
        source, rate = one.owner, one.heat * 1000
        self.said.append(
            LogDecision(
                f"move slice {one.number} of heat {rate:.1f}/s from {source.name}"
                f" ({source.ratio or 0:.1f}) to {target.name} ({target.ratio or 0:.1f})"
            )
        )
        source.heat, target.heat = source.heat - one.heat, target.heat + one.heat
        target.home_heat += one.heat
        one.owner, one.rests_until, self.dirty = target, self.now + REST, True

    def _cancel(self) -> None:
        """Drops the moves that have not been sent and lets the system cool off."""
        for one, former in self.plan.items():
            if one.owed and one.shifts and self._usable(former):
                one.owner, one.rests_until = former, 0.0
        self.plan.clear()
        self.cool_until, self.dirty = self.now + COOL_OFF, True

    # What is wanted.

    def _weigh(self) -> None:
        """Adds up the heat of each backend by the lines ordered; a slice not heard of counts as average.

        Else a controller just given slices would take them for cold, and put them on one backend.
        """
        known = [one.heat for one in self.slices if one.heat] or [1e-3]
        for backend in self.backends:
            backend.heat = backend.home_heat = backend.spare_heat = 0.0
        for one in self.slices:
            one.heat = sum(known) / len(known) if one.heat is None else one.heat
            if one.owner:
                one.owner.home_heat += one.heat
            for backend, part in active_shares(one.lines).items():
                backend.heat += one.heat * part

    def _room(self, backend: Backend, one: Slice) -> bool:
        """Whether a backend may take a slice: always, once it is warm."""
        return self._share(backend) >= 1 or backend.home_heat + one.heat <= self._limit(backend)

    def _mean_heat(self) -> float:
        opened = [b for b in self.backends if self._open(b)]
        return sum(b.heat for b in opened) / max(sum(b.size for b in opened), 1e-9)

    def _want(self) -> None:
        """Decides every held table anew: the owner, displaced ones placed again, and the spares."""
        self.dirty = False
        if not self.terms.sliced:
            for one in self.slices:
                one.wanted = {
                    b: b.size * self._share(b) for b in self.backends if self._open(b)
                } or one.lines
            return
        self._weigh()
        ready = [b for b in self.backends if b.phase is Phase.READY]
        usable = [b for b in ready if self._usable(b)] or ready
        if not ready:
            return
        for backend in usable:  # whoever runs is better than nobody
            backend.shut_until = min(backend.shut_until, self.now)
        for one in sorted(
            (s for s in self.slices if s.owner is None or s.owner.phase is not Phase.READY),
            key=lambda s: -s.heat,
        ):
            one.owner = owner = self._refuge(one, usable)
            owner.heat, owner.home_heat = owner.heat + one.heat, owner.home_heat + one.heat
        warm = [b for b in usable if self._share(b) >= 1]
        for one in self.slices:
            one.wanted = self._lines(one, warm)

    def _lines(self, one: Slice, warm: list[Backend]) -> dict[Backend, float]:
        """What part of a slice's RPCs goes where: to its owner what it may have, the rest to the spare."""
        spare = None if self.terms.one_owner else self._spare(one, warm)
        if spare is None:
            return {one.owner: 1.0}
        spare.spare_heat, part = spare.spare_heat + one.heat, self._part(one.owner)
        return {one.owner: part, spare: 1.0 - part} if part else {spare: 1.0}

    def _refuge(self, one: Slice, usable: list[Backend]) -> Backend:
        """Where a slice goes that lost its backend: the least crowded; cold ones only within their room."""
        roomy = [b for b in usable if self._room(b, one)]
        roomy = roomy or [b for b in usable if self._share(b) >= 1] or usable
        return min(
            [b for b in roomy if not b.strikes] or roomy,
            key=lambda b: (
                (b.heat + one.heat)
                / (b.size * self._share(b))
                * (SPARE_LIKED if b in one.lines else 1.0)
            ),
        )

    def _spare(self, one: Slice, warm: list[Backend]) -> Backend | None:
        """A standby line, for who loses the owner: one that the table has, else one in another zone."""
        had = [b for b in one.lines if b is not one.owner and self._warm(b) and not b.shut_out]
        if had:
            return max(had, key=lambda b: (not b.strikes, one.lines[b]))
        return min(
            (b for b in warm if b is not one.owner),
            default=None,
            key=lambda b: (
                b.zone == one.owner.zone,
                b.strikes > 0,
                (b.heat + b.spare_heat) / b.size,
            ),
        )

    def _owe(self, one: Slice) -> list[SetEntry]:
        """The fewest lines that bring a table to what is wanted, as each goes to every proxy.

        Others that are a trace beside the main one stay.
        """
        want, have = one.wanted, one.lines
        stale = (
            [] if self.terms.one_owner else [SetEntry(one, b, 0.0) for b in have if b not in want]
        )
        dead = [
            o
            for o in stale
            if o.backend.phase is not Phase.READY
            and share_if_active(have, o.backend) > NEAR
            or self._open(o.backend)
            and o.backend.shut_out
            and self._share(o.backend) < 1
        ]
        if not self.terms.sliced or self.terms.one_owner:
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

    def _list_owed(self) -> None:
        """Decides anew and lists what is owed: what shifts RPCs before standby lines, the hottest first."""
        self._want()
        for one in self.slices:
            one.owed = (self._owe(one) if one.wanted else []) + self._owe_levels(one)
            live = active_shares(one.lines)
            one.shifts = self._levels(one) != one.levels or any(
                abs(live.get(b, 0.0) - part) > NEAR for b, part in one.wanted.items()
            )
        self.owed = sorted(
            (one for one in self.slices if one.owed), key=lambda s: (not s.shifts, -(s.heat or 0.0))
        )

    def _may_push(self) -> bool:
        late, most = (
            self.now - self.channel.pushed_at >= PUSH_AFTER,
            self.terms.pushes_allowed or NEVER,
        )
        return (late or self.channel.unconfirmed() <= MOST * len(self.proxies)) and (
            len(self.channel.pushes) < (1.0 - KEPT_PART) * most
        )

    def _emit(self) -> list[Order]:
        """Orders the difference between wanted and present state, as the channel allows.

        Withdrawals and bare tables go at once, from a reserve; the rest waits for most confirmations.
        """
        if self.dirty:
            self._list_owed()
        self.channel.forget(
            self.now - SLOWEST * self.terms.pending_max / self.terms.channel_rate,
            self.now - self.terms.update_window,
            self.now * self.way.held,
        )
        # While proxies come in, more may join before the call is carried out, and get it, too.
        coming = self.terms.sliced and self.now - self.joined_at < PUSH_AFTER * JOINS_GATHER
        each = max(len(self.proxies), self.terms.proxies if coming else 1)
        head, orders = self.terms.head_lines + 1, []
        whole = self.terms.pending_max / each
        most = (
            whole * URGENT_PART - head
        )  # that is ever free; a small channel keeps back less of it
        room = most - self.channel.waiting() / each
        batch = head + BROAD_MOST * len(
            self.backends
        )  # for a further message that withdraws so many
        kept = max(min(whole * KEPT_PART, most / 2), min(batch, most * MOST_KEPT))
        spared = max(min(whole * SPARED_PART, most / 4), min(batch, most / 2))

        def worth(lines: int, back: float) -> float:  # the room at which a push is worth its head
            return min(lines, head, (most - back) / 2)

        room *= len(self.channel.pushes) < (self.terms.pushes_allowed or NEVER)
        # A call that broke off has not run if none confirmed it within a message's way of all before it.
        if self.channel.ahead(self.way.unknown):
            self.clear_at = self.now
        since = self.now - self.channel.pushed_at
        alone = min(since, self.now - self.clear_at)
        unrun = (
            since >= PUSH_AFTER or self.way.broken and alone > ANSWER_PART * self.terms.transit_max
        )
        if self.way.unknown and (unrun or room > self.channel.cost(self.way.unknown)):
            self.channel.repeated(self.way.unknown, self.now, unrun)
            self.said.append(RepeatCall(self.way.unknown))
        room *= self.way.free
        leaving = min(
            sum(b.phase is not Phase.READY and not b.shut_out for b in self.backends), most / 2
        )
        for (
            backend
        ) in self.backends:  # all who leave in one message: another would wait for its head, too
            if (
                not backend.shut_out
                and self._must_out(backend)
                and room
                > (
                    max(1, leaving - len(orders))
                    if backend.phase is not Phase.READY or self._open(backend)
                    else kept + 1
                )
            ):
                orders.append(SetWithdrawn(backend, True))
                backend.shut_out, self.dirty, room = True, True, room - 1
        # Who joined late has missed the withdrawals so far. They go together, as each push costs its head,
        # those first whom most RPCs would reach. A further message that withdraws a batch always has room.
        missed = [
            b for b in self.untold if b.shut_out and any(b in one.lines for one in self.slices)
        ]
        more = min(batch - head, most / 2)
        if self.now >= self.untold_at and room - more > worth(len(missed), more):
            missed.sort(
                key=lambda b: (
                    -max(share_if_active(one.lines, b) for one in self.slices if b in one.lines)
                )
            )
            told, self.untold = (
                missed[: int(room - more)],
                dict.fromkeys(missed[int(room - more) :]),
            )
            orders += [SetWithdrawn(b, True) for b in told]
            room, missed = room - len(told), missed[len(told) :]
        if self.dirty:
            self._list_owed()
        # Nobody is left without a line: not by a withdrawal now, nor by one before the slice was given.
        stripped = [one for one in self.owed if has_no_active_entry(one.lines)]
        if room - spared > worth(len(stripped), spared):  # their main lines only: the rest can wait
            for one in stripped:
                one.owed = sorted(one.owed, key=lambda order: -getattr(order, "weight", 0.0))[:1]
            room, self.dirty = self._pay(stripped, room - spared, orders) + spared, True
        # Pushes of a line or two, one after the other, would take the room that all of these wait for.
        if self._may_push() and not missed and not any(one.owed for one in stripped):
            room, back, kept = room - kept, kept, 0.0
            if (
                self.levels_due and room > 1
            ):  # only after a try that never ran: no effect comes twice
                self.levels_due, room = False, room - 1
                orders.append(
                    SetAdmissionLevel(
                        self.ranks[0] + self.ranks[1], None, LET_ALL, RetryMode.NEVER_RAN
                    )
                )
            if orders or room > worth(sum(len(one.owed) for one in self.owed), back):
                room = self._pay(self.owed, room, orders)
        for backend in self.backends:
            if (
                backend.shut_out
                and room > kept + 1
                and self._open(backend)
                and (
                    not self._over(backend)
                    or self._share(backend) >= 1
                    and any(
                        backend in one.lines and has_no_active_entry(one.lines)
                        for one in self.slices
                    )
                )
            ):
                backend.shut_out, self.dirty, room = False, True, room - 1
                self._forget(backend)
                for one in (s for s in self.slices if backend in s.lines):
                    one.moved_at = self.now
                orders.append(SetWithdrawn(backend, False))
        for proxy in self.proxies if self.way.free and not self.terms.sliced else ():
            orders += [
                BindProxy(one, proxy) for one in self.slices if one.lines and not proxy.bound
            ]
            proxy.bound = all(one.lines for one in self.slices)
        if orders:
            self.seal = self.seal % 65_000 + 1
            lines = len(orders) + head + (0 if self.terms.sliced else len(self.backends))
            self.channel.sent(self.seal, lines, self.proxies, self.now)
            orders.append(Seal(self.seal))
        # A plan has run once its tables were sent and most proxies confirmed them.
        if self.plan and not any(one.owed and one.shifts for one in self.plan) and self._may_push():
            self.plan.clear()
        if self.now >= self.follow_at:
            self.follow_at, orders = NEVER, [*orders, FollowFleetList(True)]
        if self.now >= self.wake_at:
            self.wake_at = self.now + (beat := min(self.terms.report_every, ROUND_EVERY) / 2)
            orders.append(SetTimer(beat, 0))
        return orders

    def _must_out(self, backend: Backend) -> bool:
        """Not open, or freshly started while tables still name it as if it were warm."""
        if backend.phase is not Phase.READY:
            return True
        if self._open(backend) and (self._share(backend) > STEPS[0][1] or not self._over(backend)):
            return False
        return all(
            any(not b.shut_out and b is not backend for b in one.wanted)
            for one in self.slices
            if backend in one.wanted
        )

    def _over(self, backend: Backend) -> bool:
        """Whether a table gives a backend more than is wanted; a trace brings the cold what others refuse."""
        return any(
            share_if_active(one.lines, backend) - NEAR
            > one.wanted.get(backend, 0.0) / (sum(one.wanted.values()) or 1.0)
            or self._share(backend) < 1
            and backend not in one.wanted
            for one in self.slices
            if backend in one.lines
        )

    def _pay(self, owed: list[Slice], room: float, orders: list[Order]) -> float:
        """Writes the lines that tables are owed, as far as there is room."""
        for one in owed:
            if not one.owed or room <= len(one.owed):
                continue
            room, orders[len(orders) :] = room - len(one.owed), one.owed
            one.moved_at = self.now if one.shifts else one.moved_at
            for order in one.owed:
                if type(order) is SetAdmissionLevel:
                    one.levels = self._levels(one)
                else:
                    one.lines = {
                        **({} if self.terms.one_owner else one.lines),
                        order.backend: order.weight,
                    }
            one.lines, one.owed = {b: w for b, w in one.lines.items() if w}, []
        self.owed = [one for one in self.owed if one.owed]
        return room

    def _levels(self, one: Slice) -> tuple[float, float]:
        """What is let in of the least criticality, which gives way first, and of the others.

        It follows its owner's zone; a slice whose own backend is calm lets all in.
        """
        if self.terms.levels != "ratio" or one.owner is None or not self._crowded(one.owner):
            return 1.0, 1.0
        low = len(self.ranks[0]) / len(self.terms.methods)
        cut = 1.0 - self.let.get(one.owner.zone, (1.0, 0.0))[0]
        levels = max(1.0 - cut / low, 0.0), 1.0 - max(cut - low, 0.0) / max(1.0 - low, 0.1)
        return tuple(round(level * LEVELS) / LEVELS for level in levels)

    def _owe_levels(self, one: Slice) -> list[SetAdmissionLevel]:
        return [
            SetAdmissionLevel(methods, one, part, RetryMode.NEVER_RAN)
            for methods, part, former in zip(self.ranks, self._levels(one), one.levels)
            if methods and part != former
        ]
