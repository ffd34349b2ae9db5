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

    soft_deadline: float
    deadline: float
    criticality: float


@dataclass(frozen=True)
class SiteSettings:
    """What a site fixes for the day."""

    methods: tuple[Method, ...]
    sliced: bool
    one_owner: bool
    news_on_request: bool
    sizes_told: bool
    levels: str  # "ratio", "rps" or "silent"
    report_every: float
    channel_rate: float  # lines a millisecond
    head_lines: float
    pending_max: float
    pushes_allowed: int
    update_window: float
    warm_up: float
    transit_max: float = (
        2_000.0  # the longest way of a message from the channel to a proxy, and into force
    )
    proxies: int = 1  # of the site; where it is sliced, each joins every instance


@dataclass(eq=False, slots=True)
class Backend:
    """A backend as listed, and the working memory that the decisions keep of it."""

    ep: Any
    name: str
    zone: int = 0
    phase: Phase = Phase.GONE
    listed: Phase = Phase.GONE  # as discovery says; `phase` is draining if it is out by hand, too
    told_size: float = 1.0
    started: float = 0.0
    size: float = 1.0
    # working memory
    shut_out: bool = False  # present state: withdrawn from the joined proxies
    lows: SlidingWindowMinimum = field(default_factory=SlidingWindowMinimum)
    ratio: float | None = None
    heard_at: float | None = None
    strikes: int = 0
    ok: float = 0.0
    aborted: float = 0.0
    asked: float = 0.0
    took_sum: float = 0.0
    low: float = 1.0  # the lowest latency of the last minute
    took: float = 0.0  # mean latency of the tries of late
    late: tuple[float, float] = (
        0.0,
        0.0,
    )  # those that went well, and the sum of their latencies, halved
    outcomes: Histogram = field(
        default_factory=lambda: Histogram((0.5,))
    )  # 0 went well, 1 went wrong
    shut_until: float = 0.0
    trips: int = 0
    slow: float = 0.0  # mean latency of late, smoothed
    on_trial: bool = False  # was shut, and has not answered well since
    dry: float = 0.0  # asked since a try last went well
    eased_from: float | None = None
    ease_span: float = 1.0
    heat: float = 0.0
    home_heat: float = 0.0  # of the slices that it owns, wherever they are served
    spare_heat: float = 0.0


@dataclass(eq=False, slots=True)
class Slice:
    """A slice of the key space (or, where there are none, a table), and its working memory."""

    number: int
    held: bool = False
    lines: dict = field(default_factory=dict)  # present state: backend -> weight
    owner: Backend | None = None
    wanted: dict = field(default_factory=dict)  # backend -> part of the slice's RPCs
    owed: list = field(default_factory=list)  # lines that bring the present state to the wanted one
    shifts: bool = False  # whether those shift RPCs, or only stand by
    rests_until: float = 0.0
    moved_at: float | None = None
    heat: float | None = None  # RPCs a millisecond
    rates: dict = field(default_factory=dict)  # method -> RPCs a millisecond, and when last heard
    let_in: float = 0.0
    levels: tuple = (1.0, 1.0)  # present state: let in of the least criticality, and of others


@dataclass(eq=False, slots=True)
class Proxy:
    """A proxy with a stream to this instance."""

    number: int
    zone: int = 0
    size: float = 0.0
    bound: bool = False


# Events


@dataclass(slots=True)
class Listing:
    """One entry of fleet news."""

    backend: Backend
    zone: int
    cell: int
    phase: Phase
    started: float
    size: float


@dataclass(slots=True)
class FleetNews:
    form: FleetNewsKind
    listings: list[Listing]


@dataclass(slots=True)
class TimerDue:
    handle: int


@dataclass(slots=True)
class ProbeResult:
    backend: Backend
    outcome: ProbeOutcome
    took: float
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
    total: int
    aborted: int
    took: float
    span: float
    load: tuple[float, ...]


@dataclass(slots=True)
class ProxyLoadReport:
    proxy: Proxy
    method: int
    total: int
    unanswered: int
    span: float


@dataclass(slots=True)
class SliceHeatReport:
    slice: Slice
    method: int
    total: int
    unanswered: int
    span: float


@dataclass(slots=True)
class SliceLeaseChanged:
    slice: Slice
    given: bool


@dataclass(slots=True)
class StoredEntry:
    slice: Slice
    backend: Backend
    weight: float


@dataclass(slots=True)
class SealConfirmed:
    proxy: Proxy
    seal: int
    took: float


@dataclass(slots=True)
class ChannelState:
    """Whether the channel takes orders now; the seal of a call of which it is not known whether it ran."""

    free: bool
    unknown: int = 0
    broken: bool = field(
        default=False, compare=False
    )  # it broke off: the relay is there, and answers would be heard

    @property
    def held(self) -> bool:
        """Whether the last orders have yet to go out, or to be answered."""
        return not self.free and not self.unknown


@dataclass(slots=True)
class WithdrawalState:
    """Whether a backend is withdrawn, other than was ordered: the call was given up."""

    backend: Backend
    out: bool


@dataclass(slots=True)
class OperatorOverrides:
    """What the operators agreed on, in place of what they had: it stands until the next such event.

    Who is out of service is as good as draining; a zone's backends are given that share of their usual work; a
    method is worth what is said here, else what the site's terms say.
    """

    out: list[Backend]
    shares: dict[int, float]
    criticality: dict[int, float]


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
    out: bool


@dataclass(frozen=True, slots=True)
class SetAdmissionLevel:
    methods: tuple[int, ...]
    slice: Slice | None  # None: every slice of the instance
    level: float
    retry: RetryMode


@dataclass(frozen=True, slots=True)
class Seal:
    number: int
    everyone: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
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
    on: bool


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
