"""Plays a scenario: a text of canned events and of what must be seen after them.

A line holds statements, parted by `;`: a word and its arguments. `#` starts a comment. Names of backends are
single words, slices and proxies are numbers, times are milliseconds.

    terms KEY=VALUE ..      the site's terms, before anything else
    at T                    play on until T: timers, standing reports and confirmations come as they fall due
    list a ready|draining|gone [zone=Z] [size=S] [started=T]     news of one backend, or a,b
    fleet a b c             ready backends, in zones 0, 1, 2, 0 and so on
    hand a,b|- [zone:SHARE ..] [method=WORTH ..]    what the operators agreed on
    missed                  the list could not be had
    join N .. / leave N     proxies come, one goes
    late N ..               proxies join while the last call is on its way: they get it, too
    given S a:W b:W / taken S
    heard a TOTAL ABORTED TOOK / heat S N [PERIODS]      a standing report, each period or so many; 0 ends it
    once a TOTAL ABORTED TOOK                            one report beside them
    confirm yes|no|paced    whether seals are confirmed (after 100 ms), or as the channel gets round to each proxy
    mute N / unmute N       proxy N confirms nothing meanwhile
    channel free|held|unknown|broken|unsent    what is heard of it from now on; unknown: the last call's fate; broken: it broke
                            off; unsent: it has not run, and is sent again. The relay answers again once the decisions have
                            had a call repeated or dropped it
    lost                    the last call has not run: its lines wait nowhere, and what it set does not stand
    undone a                the call that withdrew it was given up
    kill                    the instance dies; the next one knows nothing
    clear                   forget what was ordered so far, for `said`, `sent` and `asked`

and, as assertions: `owner S a`, `part S a P` (of a slice's
RPCs, were it let in), `bare S` (its table is empty), `out a`, `in a`, `level S METHOD PART`, `said WORDS`,
`unsaid WORDS`, `sent N` (orders of lines, levels and withdrawals), `sent some`, `queued N` (lines that
wait, at most), `followed N`, `bound N`, `repeated N` and `dropped N` (calls), `asked` (all proxies to confirm), `forgot a`, `untold P N` (backends out
of whose withdrawal proxy P was never told, though a table names them). In all scenarios a slice keeps an open line while one is ready;
after a lost call it has one again within the time that rule 1 leaves.
"""

from dataclasses import replace

from lifthinge.interface import (
    AttemptReport,
    Backend,
    BindProxy,
    ChannelState,
    ClearTable,
    DecisionFault,
    DropCall,
    FleetNews,
    FleetNewsKind,
    FollowFleetList,
    ForgetBackend,
    Listing,
    LogDecision,
    Method,
    OperatorOverrides,
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
    TimerDue,
    WithdrawalState,
)
from lifthinge.outer_names import KINDS
from lifthinge.policy import Policy

TERMS = SiteSettings(
    methods=(Method(1500.0, 5000.0, 1.0), Method(800.0, 2000.0, 3.0)),
    sliced=True,
    has_single_owner=False,
    news_on_request=False,
    uses_listed_sizes=True,
    admission_mode="ratio",
    report_interval_ms=1000.0,
    channel_entries_per_ms=5.0,
    message_overhead_entries=10.0,
    max_pending_entries=7500.0,
    max_pushes_per_window=0,
    push_window_ms=10000.0,
    warm_up_ms=16000.0,
    write_methods=(1,),
    max_write_ms=2000.0,
    write_lease_ms=800.0,
)

BLACKHOLE = 2300.0  # ms that a slice may be bare, after a call was lost


class Stage:
    """One instance, the canned events still to come, and what its orders add up to."""

    def __init__(self) -> None:
        self.terms, self.now, self.policy = TERMS, 0.0, None
        self.names: dict = {}
        self.reports: dict = {}
        self.due: list = []
        self.confirming = "yes"
        self.reborn()

    def reborn(self) -> None:
        self.policy, self.joined, self.tables, self.out, self.levels = None, {}, {}, set(), {}
        self.said, self.sent, self.followed, self.bound, self.waiting = [], 0, 0, set(), {}
        self.forgotten: set[Backend] = set()
        self.next_report, self.due = self.now + self.terms.report_interval_ms, []
        self.state, self.repeats, self.drops, self.sealed = None, 0, 0, 0
        self.free_at, self.last, self.asked = self.now, 0.0, False
        self.muted: set[Proxy] = set()
        self.before: dict = {}  # what stood before the last call
        self.call: list = []  # its orders
        self.is_lossy = False  # whether a call was lost
        self.faults: list[DecisionFault] = []
        self.may_raise = False  # whether parts of a decision may raise
        self.bare_since: dict[Slice, float] = {}
        self.told: dict[Proxy, set[Backend]] = {}  # withdrawn backends, as far as a proxy was told

    def name(self, kind: type, name: str) -> object:
        key = kind, name
        if key not in self.names:
            self.names[key] = Backend(name, name) if kind is Backend else kind(int(name))
        return self.names[key]

    def tell(self, *events: object) -> None:
        """Hands over one batch and takes in its orders."""
        if self.policy is None:
            self.policy = Policy(self.terms, 7)
        lines, marks = 0, []
        orders = self.policy.decide(self.now, [self.state, *events] if self.state else events)
        self.faults += [order for order in orders if isinstance(order, DecisionFault)]
        assert self.may_raise or not self.faults, self.faults[0].trace
        if any(isinstance(order, Seal) for order in orders):
            self.before = {
                "tables": {slice_: dict(table) for slice_, table in self.tables.items()},
                "levels": dict(self.levels),
                "out": set(self.out),
                "told": {proxy: set(told) for proxy, told in self.told.items()},
                "bound": set(self.bound),
            }
            self.call = orders
        for order in orders:
            lines += isinstance(
                order, (SetEntry, SetWithdrawn, SetAdmissionLevel, ClearTable, Seal)
            )
            self.take(order)
            marks += [order.number] if isinstance(order, Seal) else []
        for number in marks:
            self.sealed = number
            self.last = lines + self.terms.message_overhead_entries
            self.run_call()
        ready = any(
            kind is Backend and one.phase is Phase.READY for (kind, _), one in self.names.items()
        )
        for slice_, lines_ in self.tables.items() if ready else ():
            if not lines_ or any(b not in self.out for b in lines_):
                self.bare_since.pop(slice_, None)
                continue
            bare_ms = self.now - self.bare_since.setdefault(slice_, self.now)
            assert self.is_lossy and bare_ms <= BLACKHOLE, f"slice {slice_.number} is left bare"

    def run_call(self) -> None:
        """The relay carries out the last call: its lines wait for all who have joined."""
        number = self.sealed
        self.waiting[number] = self.waiting.get(number, 0.0) + self.last * len(self.joined)
        if self.confirming == "paced":  # one proxy's message after the other
            self.free_at = max(self.free_at, self.now)
            for place, proxy in enumerate(self.joined, 1):
                self.free_at += self.last / self.terms.channel_entries_per_ms
                answers = [SealConfirmed(proxy, number, 100.0)] if proxy not in self.muted else []
                self.due.append(
                    (self.free_at + 100.0, answers, number if place == len(self.joined) else 0)
                )
        elif self.confirming == "yes":
            answers = [SealConfirmed(p, number, 100.0) for p in self.joined if p not in self.muted]
            self.due.append((self.now + 100.0, answers, number))

    def take(self, order: object) -> None:
        self.apply(order)
        if isinstance(order, SetTimer):
            self.due.append((self.now + order.delay_ms, [TimerDue(order.handle)], 0))
        elif isinstance(order, LogDecision):
            self.said.append(order.text)
        elif isinstance(order, ForgetBackend):
            assert not any(order.backend in table for table in self.tables.values()), (
                "a table names it"
            )
            self.forgotten.add(order.backend)
        self.followed += isinstance(order, FollowFleetList)
        self.asked |= isinstance(order, Seal) and order.all_proxies
        self.repeats += isinstance(order, RepeatCall)
        self.drops += isinstance(order, DropCall)
        if isinstance(order, RepeatCall):
            for repeated in self.call:
                self.apply(repeated)
            self.run_call()
        if isinstance(order, (RepeatCall, DropCall)):
            self.state = ChannelState(True)
        self.sent += isinstance(order, (SetEntry, SetWithdrawn, SetAdmissionLevel))

    def apply(self, order: object) -> None:
        """What an order sets at the relay and the proxies."""
        if isinstance(order, SetEntry):
            self.names.setdefault((Slice, str(order.slice.number)), order.slice)
            table = self.tables.setdefault(order.slice, {})
            if self.terms.has_single_owner and order.weight:
                table.clear()
            table[order.backend] = order.weight
            if not order.weight:
                table.pop(order.backend)
        elif isinstance(order, ClearTable):
            self.tables[order.slice] = {}
            self.levels = {
                key: one for key, one in self.levels.items() if key[0] is not order.slice
            }
        elif isinstance(order, SetWithdrawn):
            for backends in (self.out, *self.told.values()):
                (backends.add if order.is_withdrawn else backends.discard)(order.backend)
        elif isinstance(order, SetAdmissionLevel):
            assert order.retry <= RetryMode.NEVER_RAN, "an effect may come twice"
            for slice_ in [order.slice] if order.slice else self.tables:
                self.levels.update({(slice_, k): min(order.level, 1.0) for k in order.methods})
        elif isinstance(order, BindProxy):
            self.bound = self.bound | {order.proxy}

    def play_to(self, until: float) -> None:
        while True:
            at = min([entry[0] for entry in self.due] + [self.next_report])
            if at > until:
                break
            self.now = at
            if at == self.next_report:
                self.next_report += self.terms.report_interval_ms
                self.tell(*(make() for make in self.reports.values()))
                continue
            entry = min(self.due, key=lambda one: one[0])
            self.due.remove(entry)
            self.waiting.pop(entry[2], None)
            self.tell(*entry[1])
        self.now = until

    def run(self, text: str) -> None:
        for number, raw in enumerate(text.splitlines(), 1):
            for words in filter(None, map(str.split, raw.split("#")[0].split(";"))):
                try:
                    getattr(self, "do_" + words[0])(*words[1:])
                except AssertionError as error:
                    raise AssertionError(f"line {number} ({' '.join(words)}): {error}") from None

    def do_terms(self, *pairs: str) -> None:
        values = dict(pair.split("=") for pair in pairs)
        attributes = KINDS["SiteTerms"].fields
        self.terms = replace(
            self.terms,
            **{
                attributes[key]: value
                if key == "levels"
                else type(getattr(TERMS, attributes[key]))(float(value))
                for key, value in values.items()
            },
        )

    def do_at(self, until: str) -> None:
        self.play_to(float(until))

    def do_list(self, name: str, phase: str, *pairs: str) -> None:
        facts = dict(pair.split("=") for pair in pairs)
        self.tell(
            FleetNews(
                FleetNewsKind.DELTA,
                [
                    Listing(
                        self.name(Backend, one),
                        int(facts.get("zone", 0)),
                        0,
                        Phase(phase),
                        float(facts.get("started", 0)),
                        float(facts.get("size", 1)),
                    )
                    for one in name.split(",")
                ],
            )
        )

    def do_hand(self, out: str, *parts: str) -> None:
        shares = dict(part.split(":") for part in parts if ":" in part)
        worth = dict(part.split("=") for part in parts if "=" in part)
        self.tell(
            OperatorOverrides(
                [self.name(Backend, one) for one in out.split(",") if one != "-"],
                {int(zone): float(share) for zone, share in shares.items()},
                {int(method): float(one) for method, one in worth.items()},
            )
        )

    def do_missed(self) -> None:
        self.tell(FleetNews(FleetNewsKind.MISSED, []))

    def do_fleet(self, *names: str) -> None:
        for place, name in enumerate(names):
            self.do_list(name, "ready", f"zone={place % 3}")

    def do_join(self, *numbers: str) -> None:
        for number in numbers:
            proxy = self.name(Proxy, number)
            self.joined[proxy], self.told[proxy] = None, set()
            self.tell(ProxyJoined(proxy, True))

    def do_late(self, *numbers: str) -> None:
        self.waiting[self.sealed] += self.last * len(numbers)
        self.do_join(*numbers)

    def do_leave(self, number: str) -> None:
        self.joined.pop(self.name(Proxy, number), None)
        self.told.pop(self.name(Proxy, number), None)
        self.tell(ProxyLeft(self.name(Proxy, number)))

    def do_given(self, number: str, *lines: str) -> None:
        slice_ = self.name(Slice, number)
        pairs = [
            (self.name(Backend, line.split(":")[0]), float(line.split(":")[1])) for line in lines
        ]
        self.tables[slice_] = dict(pairs)
        self.levels = {key: level for key, level in self.levels.items() if key[0] is not slice_}
        self.tell(
            SliceLeaseChanged(slice_, True),
            *(StoredEntry(slice_, backend, weight) for backend, weight in pairs),
        )

    def do_taken(self, number: str) -> None:
        self.tables.pop(self.name(Slice, number), None)
        self.tell(SliceLeaseChanged(self.name(Slice, number), False))

    def do_heard(self, name: str, total: str, aborted: str, took: str) -> None:
        self.reports["heard", name] = lambda: AttemptReport(
            0,
            self.name(Backend, name),
            int(total),
            int(aborted),
            float(took),
            self.terms.report_interval_ms,
            (),
        )

    def do_once(self, name: str, total: str, aborted: str, took: str) -> None:
        self.tell(
            AttemptReport(
                0,
                self.name(Backend, name),
                int(total),
                int(aborted),
                float(took),
                self.terms.report_interval_ms,
                (),
            )
        )

    def do_heat(self, number: str, total: str, periods: str = "1") -> None:
        span = self.terms.report_interval_ms * int(periods)
        self.reports["heat", number] = lambda: (
            TimerDue(0)
            if self.now % span
            else SliceHeatReport(self.name(Slice, number), 0, int(total), 0, span)
        )

    def do_confirm(self, word: str) -> None:
        self.confirming = word

    def do_undone(self, name: str) -> None:
        backend = self.name(Backend, name)
        for backends in (self.out, *self.told.values()):
            backends.discard(backend)
        self.tell(WithdrawalState(backend, False))

    def do_channel(self, state: str) -> None:
        self.state = ChannelState(
            state == "free",
            self.sealed if state in ("unknown", "broken") else 0,
            state == "broken",
            self.sealed if state == "unsent" else 0,
        )
        self.tell()

    def do_mute(self, number: str) -> None:
        self.muted.add(self.name(Proxy, number))

    def do_unmute(self, number: str) -> None:
        self.muted.discard(self.name(Proxy, number))

    def do_asked(self) -> None:
        assert self.asked, "the proxies were not asked"

    def do_lost(self) -> None:
        self.waiting.pop(self.sealed, None)
        vars(self).update(self.before)
        self.is_lossy = True
        self.due = [
            (at, [e for e in events if getattr(e, "seal", 0) != self.sealed], number)
            for at, events, number in self.due
        ]

    def do_dropped(self, count: str) -> None:
        assert self.drops == int(count), f"it was {self.drops} times"

    def do_repeated(self, count: str) -> None:
        assert self.repeats == int(count), f"it was {self.repeats} times"

    def do_kill(self) -> None:
        self.names = {key: value for key, value in self.names.items() if key[0] is not Backend}
        self.reborn()

    def do_clear(self) -> None:
        self.said, self.sent, self.asked = [], 0, False

    def do_owner(self, number: str, name: str) -> None:
        lines = {
            b: w for b, w in self.tables[self.name(Slice, number)].items() if b not in self.out
        }
        found = max(lines, key=lines.get).name
        assert found == name, f"it is {found}"

    def do_bare(self, number: str) -> None:
        table = self.tables[self.name(Slice, number)]
        assert not table, f"it has {[backend.name for backend in table]}"

    def do_part(self, number: str, name: str, part: str) -> None:
        table, backend = self.tables[self.name(Slice, number)], self.name(Backend, name)
        beside = sum(w for b, w in table.items() if b is not backend and b not in self.out)
        found = table.get(backend, 0.0) / ((table.get(backend, 0.0) + beside) or 1.0)
        assert abs(found - float(part)) < 0.01, f"it is {found}"

    def do_out(self, name: str) -> None:
        assert self.name(Backend, name) in self.out, "it is in"

    def do_untold(self, number: str, count: str) -> None:
        named = {backend for table in self.tables.values() for backend in table}
        found = (self.out & named) - self.told[self.name(Proxy, number)]
        assert len(found) == int(count), f"it was not told of {sorted(b.name for b in found)}"

    def do_forgot(self, name: str) -> None:
        assert self.name(Backend, name) in self.forgotten, "it is kept"
        assert self.name(Backend, name) not in self.policy.backends, "the decisions keep it"

    def do_in(self, name: str) -> None:
        assert self.name(Backend, name) not in self.out, "it is out"

    def do_level(self, number: str, method: str, part: str) -> None:
        key = self.name(Slice, number), int(method)
        found = self.levels.get(key)
        assert found is not None and abs(found - float(part)) < 1e-6, f"it is {found}"

    def do_said(self, *words: str) -> None:
        assert any(" ".join(words) in text for text in self.said), f"it said {self.said}"

    def do_unsaid(self, *words: str) -> None:
        assert not any(" ".join(words) in text for text in self.said), f"it said {self.said}"

    def do_sent(self, count: str) -> None:
        assert self.sent > 0 if count == "some" else self.sent == int(count), f"it sent {self.sent}"

    def do_queued(self, most: str) -> None:
        assert sum(self.waiting.values()) <= float(most), f"{sum(self.waiting.values())} lines wait"

    def do_followed(self, count: str) -> None:
        assert self.followed == int(count), f"it asked {self.followed} times"

    def do_bound(self, count: str) -> None:
        assert len(self.bound) == int(count), f"{len(self.bound)} are bound"
