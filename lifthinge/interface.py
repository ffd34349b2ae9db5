"""Types at the door of the decision module: what it is told, what it may order, and its site's terms.

An adapter makes one `lifthinge.policy.Policy` for each instance, hands it the events of a batch with
the batch's time, and carries out the orders that come back, in their order. Times are float
milliseconds. Backends, slices and proxies are objects that the adapter makes once for each instance;
their ids mean nothing to the decisions.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, Union

from lifthinge.histogram import Histogram
from lifthinge.sliding_minimum import SlidingWindowMinimum


class Phase(Enum):
    """What discovery says of a backend's process."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class FleetNewsKind(Enum):
    """What a piece of fleet news holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    MISSED = "missed"


class ProbeOutcome(Enum):
    """What a probe found."""

    OK = "ok"
    ABORTED = "aborted"  # answered with an error
    PUSHED_BACK = "pushed_back"
    LATE = "late"  # no answer in time
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


class RetryMode(IntEnum):
    """Further tries that a proxy makes at other lines of a table."""

    NEVER = 0
    NEVER_RAN = 1
    ONCE = 2
    TWICE = 3


@dataclass(frozen=True)
class Method:
    """What one method's RPCs are worth, and until when."""

    soft_deadline_ms: float
    deadline_ms: float
    criticality: float


@dataclass(frozen=True)
class SiteSettings:
    """What a site fixes for the day."""

    methods: tuple[Method, ...]
    sliced: bool
    has_single_owner: bool
    news_on_request: bool
    uses_listed_sizes: bool
    admission_mode: str  # "ratio", "rps" or "silent"
    report_interval_ms: float
    channel_entries_per_ms: float  # lines a millisecond
    message_overhead_entries: float
    max_pending_entries: float
    max_pushes_per_window: int
    push_window_ms: float
    warm_up_ms: float
    max_transit_ms: float = (
        2_000.0  # the longest way of a message from the channel to a proxy, and into force
    )
    proxy_count: int = 1  # of the site; where it is sliced, each joins every instance


@dataclass(eq=False, slots=True)
class Backend:
    """A backend as listed, and the working memory that the decisions keep of it."""

    backend_id: Any
    name: str
    zone: int = 0
    phase: Phase = Phase.GONE
    listed_phase: Phase = (
        Phase.GONE
    )  # as discovery says; `phase` is draining if it is out by hand, too
    listed_size: float = 1.0
    started_at_ms: float = 0.0
    size: float = 1.0
    # working memory
    is_withdrawn: bool = False  # present state: withdrawn from the joined proxies
    latency_minimum: SlidingWindowMinimum = field(default_factory=SlidingWindowMinimum)
    latency_ratio: float | None = None
    last_ok_at_ms: float | None = None
    consecutive_violations: int = 0
    ok_attempts: float = 0.0
    aborted_attempts: float = 0.0
    expected_rpcs: float = 0.0
    ok_latency_sum_ms: float = 0.0
    lowest_latency_ms: float = 1.0  # the lowest latency of the last minute
    mean_latency_ms: float = 0.0  # mean latency of the tries of late
    decayed_ok_totals: tuple[float, float] = (
        0.0,
        0.0,
    )  # those that went well, and the sum of their latencies, halved
    outcomes: Histogram = field(
        default_factory=lambda: Histogram((0.5,))
    )  # 0 went well, 1 went wrong
    ejected_until_ms: float = 0.0
    ejection_count: int = 0
    smoothed_latency_ms: float = 0.0  # mean latency of late, smoothed
    is_on_probation: bool = False  # was shut, and has not answered well since
    rpcs_since_ok: float = 0.0  # asked since a try last went well
    ramp_start_ms: float | None = None
    ramp_duration_ms: float = 1.0
    heat: float = 0.0
    owned_heat: float = 0.0  # of the slices that it owns, wherever they are served
    standby_heat: float = 0.0


@dataclass(eq=False, slots=True)
class Slice:
    """A slice of the key space (or, where there are none, a table), and its working memory."""

    number: int
    is_leased: bool = False
    table: dict = field(default_factory=dict)  # present state: backend -> weight
    owner: Backend | None = None
    desired_shares: dict = field(default_factory=dict)  # backend -> part of the slice's RPCs
    pending_orders: list = field(
        default_factory=list
    )  # lines that bring the present state to the wanted one
    shifts_rpcs: bool = False  # whether those shift RPCs, or only stand by
    move_blocked_until_ms: float = 0.0
    rpcs_shifted_at_ms: float | None = None
    heat: float | None = None  # RPCs a millisecond
    method_rates: dict = field(
        default_factory=dict
    )  # method -> RPCs a millisecond, and when last heard
    admitted_rpcs: float = 0.0
    admission_levels: tuple = (
        1.0,
        1.0,
    )  # present state: let in of the least criticality, and of others


@dataclass(eq=False, slots=True)
class Proxy:
    """A proxy with a stream to this instance."""

    number: int
    zone: int = 0
    size: float = 0.0
    is_bound: bool = False


# Events


@dataclass(slots=True)
class Listing:
    """One entry of fleet news."""

    backend: Backend
    zone: int
    cell: int
    phase: Phase
    started_at_ms: float
    size: float


@dataclass(slots=True)
class FleetNews:
    kind: FleetNewsKind
    listings: list[Listing]


@dataclass(slots=True)
class TimerDue:
    handle: int


@dataclass(slots=True)
class ProbeResult:
    backend: Backend
    outcome: ProbeOutcome
    latency_ms: float
    load: tuple[float, ...]


@dataclass(slots=True)
class PeerMessage:
    peer: int
    content: bytes


@dataclass(slots=True)
class ProxyJoined:
    proxy: Proxy
    first_time: bool


@dataclass(slots=True)
class ProxyLeft:
    proxy: Proxy


@dataclass(slots=True)
class AttemptReport:
    zone: int
    backend: Backend
    attempts: int
    aborted_attempts: int
    mean_latency_ms: float
    span_ms: float
    load: tuple[float, ...]


@dataclass(slots=True)
class ProxyLoadReport:
    proxy: Proxy
    method: int
    rpcs: int
    unanswered_rpcs: int
    span_ms: float


@dataclass(slots=True)
class SliceHeatReport:
    slice: Slice
    method: int
    rpcs: int
    unanswered_rpcs: int
    span_ms: float


@dataclass(slots=True)
class SliceLeaseChanged:
    slice: Slice
    is_granted: bool


@dataclass(slots=True)
class StoredEntry:
    slice: Slice
    backend: Backend
    weight: float


@dataclass(slots=True)
class SealConfirmed:
    proxy: Proxy
    seal: int
    elapsed_ms: float


@dataclass(slots=True)
class ChannelState:
    """Whether the channel takes orders now; the seal of a call of which it is not known whether it ran."""

    is_free: bool
    unknown_seal: int = 0
    is_broken: bool = field(
        default=False, compare=False
    )  # it broke off: the relay is there, and answers would be heard

    @property
    def awaits_answer(self) -> bool:
        """Whether the last orders have yet to go out, or to be answered."""
        return not self.is_free and not self.unknown_seal


@dataclass(slots=True)
class WithdrawalState:
    """Whether a backend is withdrawn, other than was ordered: the call was given up."""

    backend: Backend
    is_withdrawn: bool


@dataclass(slots=True)
class OperatorOverrides:
    """What the operators agreed on, in place of what they had: it stands until the next such event.

    Who is out of service is as good as draining; a zone's backends are given that share of their usual work; a
    method is worth what is said here, else what the site's terms say.
    """

    out_of_service: list[Backend]
    zone_shares: dict[int, float]
    method_criticality: dict[int, float]


Event = Union[
    OperatorOverrides,
    FleetNews,
    TimerDue,
    ProbeResult,
    PeerMessage,
    ProxyJoined,
    ProxyLeft,
    AttemptReport,
    ProxyLoadReport,
    SliceHeatReport,
    SliceLeaseChanged,
    StoredEntry,
    SealConfirmed,
    ChannelState,
    WithdrawalState,
]


# Orders


@dataclass(frozen=True, slots=True)
class SetEntry:
    slice: Slice
    backend: Backend
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    slice: Slice


@dataclass(frozen=True, slots=True)
class BindProxy:
    slice: Slice
    proxy: Proxy


@dataclass(frozen=True, slots=True)
class SetWithdrawn:
    backend: Backend
    is_withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmissionLevel:
    methods: tuple[int, ...]
    slice: Slice | None  # None: every slice of the instance
    level: float
    retry: RetryMode


@dataclass(frozen=True, slots=True)
class Seal:
    number: int
    all_proxies: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    handle: int


@dataclass(frozen=True, slots=True)
class Probe:
    backend: Backend


@dataclass(frozen=True, slots=True)
class SendToPeers:
    peer: int | None  # None: all of them
    content: bytes


@dataclass(frozen=True, slots=True)
class LogDecision:
    text: str


@dataclass(frozen=True, slots=True)
class FollowFleetList:
    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchFleetList:
    pass


@dataclass(frozen=True, slots=True)
class RepeatCall:
    """The call of this seal may go out again: if it ran, its lines are in the channel twice."""

    seal: int


@dataclass(frozen=True, slots=True)
class ForgetBackend:
    """Nothing names this backend any more, and it is gone: the adapter need not keep it."""

    backend: Backend


Order = Union[
    SetEntry,
    ClearTable,
    BindProxy,
    SetWithdrawn,
    SetAdmissionLevel,
    Seal,
    SetTimer,
    Probe,
    SendToPeers,
    LogDecision,
    FollowFleetList,
    FetchFleetList,
    RepeatCall,
    ForgetBackend,
]
