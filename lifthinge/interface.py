"""Types of the decision module's interface: its events, its orders and the settings of its site.

An adapter makes one `lifthinge.policy.Policy` for each instance, passes it the events of a batch
with the batch's time, and carries out the orders that it returns, in their order. Times are floats
in milliseconds. Backends, slices and proxies are objects that the adapter makes once for each
instance; the decisions compare them by identity and attach no meaning to their ids.

A table is a dictionary from backend to weight; a table entry is one backend with its weight. The
names under which these types and fields leave the process are in `lifthinge.outer_names`.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any

from lifthinge.histogram import Histogram
from lifthinge.sliding_minimum import SlidingWindowMinimum


class Phase(Enum):
    """Life-cycle phase of a backend's process, as discovery reports it."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class FleetNewsKind(Enum):
    """What a `FleetNews` event holds."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the whole list
    CACHED = "cached"  # the whole list as last stored
    MISSED = "missed"  # no list: it could not be fetched


class ProbeOutcome(Enum):
    """The result of a probe."""

    OK = "ok"
    ABORTED = "aborted"  # answered with an error
    PUSHED_BACK = "pushed_back"
    LATE = "late"  # no answer in time
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


class RetryMode(IntEnum):
    """Further attempts that a proxy makes at other entries of a table."""

    NEVER = 0
    NEVER_RAN = 1
    ONCE = 2
    TWICE = 3


@dataclass(frozen=True)
class Method:
    """The deadlines and the criticality of one method's RPCs."""

    soft_deadline_ms: float
    deadline_ms: float
    criticality: float


@dataclass(frozen=True)
class SiteSettings:
    """Settings of a site; they do not change while an instance runs."""

    methods: tuple[Method, ...]
    sliced: bool  # whether RPCs are routed by slices of a key space, or by one table
    has_single_owner: bool  # whether only its owner serves a slice: no standby, no moves
    news_on_request: bool  # whether the fleet list comes only after an order asked for it
    uses_listed_sizes: bool  # False: every backend has size 1
    admission_mode: str  # "ratio", "rps" or "silent"
    report_interval_ms: float
    channel_entries_per_ms: float  # table entries that the channel sends per ms
    message_overhead_entries: float  # fixed cost of a message, in table entries
    max_pending_entries: float  # table entries that may wait in the channel
    max_pushes_per_window: int  # 0: no limit
    push_window_ms: float  # sliding window in which the pushes are counted
    warm_up_ms: float  # how long a started backend takes until it bears its full share
    # The longest time of a message from the channel to a proxy, until it is in force there.
    max_transit_ms: float = 2_000.0
    proxy_count: int = 1  # proxies of the site; where it is sliced, each joins every instance
    write_methods: tuple[int, ...] = ()  # numbers of the methods that write
    max_write_ms: float = 0.0  # from when a write comes to its proxy until no backend has it
    # How long a proxy goes on sending writes by its table after it has left, where a slice has a
    # single owner.
    write_lease_ms: float = 0.0
    # Within this time proxies have to stop sending to a backend that drains or is gone.
    drain_grace_ms: float = float("inf")
    # How long a table of a joined proxy may lack an active entry.
    max_bare_ms: float = float("inf")


@dataclass(eq=False, slots=True)
class Backend:
    """A backend as listed, and the state that the decisions keep of it."""

    backend_id: Any
    name: str
    zone: int = 0
    phase: Phase = Phase.GONE  # the listed phase, or draining if operators took it out of service
    listed_phase: Phase = Phase.GONE  # as discovery reports it
    listed_size: float = 1.0
    started_at_ms: float = 0.0
    size: float = 1.0  # the listed size times the operators' share for its zone
    # Present state: withdrawn from the joined proxies.
    is_withdrawn: bool = False
    # Working memory of the decisions.
    latency_minimum: SlidingWindowMinimum = field(default_factory=SlidingWindowMinimum)
    latency_ratio: float | None = None  # mean latency over the lowest latency; None if unknown
    last_ok_at_ms: float | None = None  # when a report last held a successful attempt
    consecutive_violations: int = 0  # reports in a row above the violator mark
    # Sums over the current report interval.
    ok_attempts: float = 0.0
    aborted_attempts: float = 0.0
    expected_rpcs: float = 0.0  # RPCs that the tables should have sent to it
    ok_latency_sum_ms: float = 0.0
    lowest_latency_ms: float = 1.0  # of the last minute
    mean_latency_ms: float = 0.0  # of recent successful attempts
    # Successful attempts and the sum of their latencies in ms; halved at each report that has any.
    decayed_ok_totals: tuple[float, float] = (0.0, 0.0)
    # Outcomes of recent attempts: 0 for success, 1 for failure.
    outcomes: Histogram = field(default_factory=lambda: Histogram((0.5,)))
    ejected_until_ms: float = 0.0
    ejection_count: int = 0
    smoothed_latency_ms: float = 0.0  # exponential mean of `mean_latency_ms`
    is_on_probation: bool = False  # was ejected, and has not answered well since
    rpcs_since_ok: float = 0.0  # expected RPCs since an attempt last succeeded
    unanswered_since_ms: float = 0.0  # when the first of these were expected
    ramp_start_ms: float | None = None  # start of its warm-up; None: it was never seen to start
    ramp_duration_ms: float = 1.0
    cold_until_ms: float = 0.0  # end of the warm-up after its last start that was seen
    heat: float = 0.0  # RPCs per ms by the present tables
    owned_heat: float = 0.0  # RPCs per ms of the slices that it owns, wherever they are served
    standby_heat: float = 0.0  # RPCs per ms of the slices for which it stands by


@dataclass(eq=False, slots=True)
class Slice:
    """A slice of the key space, or the one table of an unsliced site, and the state kept of it."""

    number: int
    is_leased: bool = False  # whether it is in this instance's charge
    table: dict[Backend, float] = field(default_factory=dict)  # present state: backend -> weight
    owner: Backend | None = None
    # Backend -> share of the slice's RPCs.
    desired_shares: dict[Backend, float] = field(default_factory=dict)
    # Orders that bring the present state to the desired one.
    pending_orders: list["SetEntry | ClearTable | SetAdmissionLevel"] = field(default_factory=list)
    shifts_rpcs: bool = False  # whether the pending orders shift RPCs, or only standby entries
    move_blocked_until_ms: float = 0.0
    rpcs_shifted_at_ms: float | None = None  # when its RPCs were last shifted
    shift_seal: int = 0  # of the message that did so
    heat: float = 0.0  # RPCs per ms; estimated from other slices until it is reported
    # Method -> RPCs per ms, and when they were last reported.
    method_rates: dict[int, tuple[float, float]] = field(default_factory=dict)
    admitted_rpcs: float = 0.0  # RPCs admitted in the current report interval
    # Present state: the fraction admitted of the least critical methods, and of the others.
    admission_levels: tuple[float, float] = (1.0, 1.0)


@dataclass(eq=False, slots=True)
class Proxy:
    """A proxy with a stream to this instance."""

    number: int
    zone: int = 0
    size: float = 0.0
    is_bound: bool = False  # whether it uses every table of an unsliced site


# Events


@dataclass(slots=True)
class Listing:
    """One entry of the fleet list."""

    backend: Backend
    zone: int
    cell: int
    phase: Phase
    started_at_ms: float
    size: float


@dataclass(slots=True)
class FleetNews:
    """The fleet list, or changed entries of it."""

    kind: FleetNewsKind
    listings: list[Listing]


@dataclass(slots=True)
class TimerDue:
    """A timer set by `SetTimer` has expired."""

    handle: int


@dataclass(slots=True)
class ProbeResult:
    """A probe of a backend has ended."""

    backend: Backend
    outcome: ProbeOutcome
    latency_ms: float
    load: tuple[float, ...]  # the backend's load fields, in the settings' order


@dataclass(slots=True)
class PeerMessage:
    """Another controller has sent a message."""

    peer: int
    content: bytes


@dataclass(slots=True)
class ProxyJoined:
    """A proxy has joined."""

    proxy: Proxy
    first_time: bool


@dataclass(slots=True)
class ProxyLeft:
    """A proxy has left."""

    proxy: Proxy


@dataclass(slots=True)
class AttemptReport:
    """Attempts at one backend from one zone, summed over a span of time."""

    zone: int
    backend: Backend
    attempts: int
    aborted_attempts: int
    mean_latency_ms: float  # of the attempts that were not aborted
    span_ms: float
    load: tuple[float, ...]  # the backend's load fields, in the settings' order


@dataclass(slots=True)
class ProxyLoadReport:
    """RPCs of one method at one proxy, summed over a span of time."""

    proxy: Proxy
    method: int
    rpcs: int
    unanswered_rpcs: int
    span_ms: float


@dataclass(slots=True)
class SliceHeatReport:
    """RPCs of one method for one slice, summed over a span of time."""

    slice: Slice
    method: int
    rpcs: int
    unanswered_rpcs: int
    span_ms: float


@dataclass(slots=True)
class SliceLeaseChanged:
    """A slice was granted to this instance, or taken from it."""

    slice: Slice
    is_granted: bool


@dataclass(slots=True)
class StoredEntry:
    """A table entry of a granted slice, as stored."""

    slice: Slice
    backend: Backend
    weight: float


@dataclass(slots=True)
class SealConfirmed:
    """A proxy has confirmed a seal, and with it all orders before it."""

    proxy: Proxy
    seal: int
    elapsed_ms: float


@dataclass(slots=True)
class ChannelState:
    """Whether the channel takes orders now, and whether the fate of the last call is known."""

    is_free: bool
    unknown_seal: int = 0  # seal of a call that may have run or not; 0: there is none
    # Whether that call broke off: the relay is there, and answers would be received.
    is_broken: bool = field(default=False, compare=False)
    # Seal of a call that has not run and will be sent again, unless it is dropped; 0: none.
    unsent_seal: int = field(default=0, compare=False)

    @property
    def awaits_answer(self) -> bool:
        """Whether the last orders are still to be sent, or to be answered."""
        return not self.is_free and not self.unknown_seal


@dataclass(slots=True)
class WithdrawalState:
    """Whether a backend is withdrawn, contrary to what was ordered: the call was given up."""

    backend: Backend
    is_withdrawn: bool


@dataclass(slots=True)
class OperatorOverrides:
    """What the operators have agreed on; it replaces the previous event of this type.

    A backend out of service is treated as draining. The backends of a zone get the given share of
    their usual work. A method has the criticality given here, else that of the site's settings.
    """

    out_of_service: list[Backend]
    zone_shares: dict[int, float]
    method_criticality: dict[int, float]


Event = (
    OperatorOverrides
    | FleetNews
    | TimerDue
    | ProbeResult
    | PeerMessage
    | ProxyJoined
    | ProxyLeft
    | AttemptReport
    | ProxyLoadReport
    | SliceHeatReport
    | SliceLeaseChanged
    | StoredEntry
    | SealConfirmed
    | ChannelState
    | WithdrawalState
)


# Orders


@dataclass(frozen=True, slots=True)
class SetEntry:
    """Set a table entry; weight 0 removes it."""

    slice: Slice
    backend: Backend
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Remove all entries of a table."""

    slice: Slice


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Make a proxy use a table."""

    slice: Slice
    proxy: Proxy


@dataclass(frozen=True, slots=True)
class SetWithdrawn:
    """Withdraw a backend from all joined proxies, or readmit it."""

    backend: Backend
    is_withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmissionLevel:
    """Set how many RPCs of these methods are admitted, and how they are retried."""

    methods: tuple[int, ...]
    slice: Slice | None  # None: every slice of the instance
    level: float  # a fraction or a rate, by the settings' admission mode
    retry: RetryMode


@dataclass(frozen=True, slots=True)
class Seal:
    """Ask the proxies to confirm all orders before this one."""

    number: int
    all_proxies: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerDue` event after a delay."""

    delay_ms: float
    handle: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a backend."""

    backend: Backend


@dataclass(frozen=True, slots=True)
class SendToPeers:
    """Send a message to one other controller, or to all."""

    peer: int | None  # None: all of them
    content: bytes


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a text that explains a decision."""

    text: str


@dataclass(frozen=True, slots=True)
class DecisionFault:
    """Report that a part of this decision raised an exception.

    No event and no order is lost: what the part was about is done in a later decision, which an
    adapter asks for soon.
    """

    part: str
    error: str  # type and message of the exception, and the place that raised it
    trace: str


@dataclass(frozen=True, slots=True)
class FollowFleetList:
    """Start or stop following the fleet list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchFleetList:
    """Fetch the fleet list once."""

    pass


@dataclass(frozen=True, slots=True)
class RepeatCall:
    """Allow the call of this seal to be sent again.

    If the call had run, its entries are in the channel twice.
    """

    seal: int


@dataclass(frozen=True, slots=True)
class DropCall:
    """Drop the call of this seal: it must not be sent again.

    It has not run, or its fate is unknown. Its orders are given anew, in this decision or later.
    """

    seal: int


@dataclass(frozen=True, slots=True)
class ForgetBackend:
    """Tell the adapter that it need not keep a backend: it is gone and nothing names it."""

    backend: Backend


Order = (
    SetEntry
    | ClearTable
    | BindProxy
    | SetWithdrawn
    | SetAdmissionLevel
    | Seal
    | SetTimer
    | Probe
    | SendToPeers
    | LogDecision
    | DecisionFault
    | FollowFleetList
    | FetchFleetList
    | RepeatCall
    | DropCall
    | ForgetBackend
)
