"""Reads the platform's settings, decoded from JSON.

`SiteSettings` are for the decision module; a `SiteLayout` is for the adapter, which checks and
translates messages with it. The settings' times are in seconds, those of both results in ms.
"""

from dataclasses import dataclass
from typing import Any

from lifthinge.interface import Method, SiteSettings

MS_PER_S = 1000.0
# Reported mean latency over the longest deadline; more than 1 because reports are a little noisy.
MAX_REPORTED_MEAN_RATIO = 2.0
# Report intervals that one report may cover, as reports wait while others are let in.
MAX_REPORT_SPAN_INTERVALS = 100
# RPCs that one stream of a connection serves within the shortest soft deadline: each RPC takes at
# least a tenth of it.
MAX_RPCS_PER_STREAM = 10
# Connections of the largest backend over those of the smallest.
MAX_BACKEND_SIZE_RATIO = 2
INFINITY = float("inf")


class SettingsError(Exception):
    """The settings lack a key, or a value has the wrong type; the message says which."""


@dataclass(frozen=True)
class SiteLayout:
    """The names and sizes of a site, and the bounds that a plausible report keeps to.

    Reports beyond a bound are refused. Zones, methods and load fields are numbered in their order.
    """

    zones: tuple[str, ...]
    methods: tuple[str, ...]
    load_fields: tuple[str, ...]
    slice_count: int
    proxy_count: int
    max_mean_latency_ms: float  # largest plausible mean latency of a report
    max_report_span_ms: float  # longest time that a report may cover
    max_attempts_per_ms: float  # largest plausible rate of attempts in a report
    controller_number: int  # of this controller among those of its tier
    sends_probes: bool  # whether this controller may probe backends
    has_peers: bool  # whether this controller may send messages to others
    news_on_request: bool  # whether the fleet list comes only after an order asked for it


def read_settings(conf: Any) -> SiteSettings:
    """Return the settings of the decision module; raise SettingsError if they are not usable.

    >>> read_settings({})
    Traceback (most recent call last):
        ...
    lifthinge.settings.SettingsError: settings lack the key 'Specifics'
    >>> try:
    ...     read_settings(None)
    ... except SettingsError as error:
    ...     print(error)
    settings have a value of the wrong kind: 'NoneType' object is not subscriptable
    """
    return _read(_settings, conf)


def read_layout(conf: Any) -> SiteLayout:
    """Return the layout of the site; raise SettingsError if the settings are not usable."""
    return _read(_layout, conf)


def _read(read: Any, conf: Any) -> Any:
    """Return `read(conf)`; raise SettingsError for any error of a lookup or conversion."""
    try:
        return read(conf)
    except KeyError as error:
        raise SettingsError(f"settings lack the key {error}") from None
    except (TypeError, AttributeError, IndexError, ValueError, OverflowError) as error:
        raise SettingsError(f"settings have a value of the wrong kind: {error}") from None


def _settings(conf: dict[str, Any]) -> SiteSettings:
    specifics, rules = conf["Specifics"], conf["Rules"]
    return SiteSettings(
        methods=tuple(
            Method(service["Target"] * MS_PER_S, service["Deadline"] * MS_PER_S, service["Worth"])
            for service in conf["Services"]
        ),
        sliced=specifics["Ranges"] > 0,
        has_single_owner=bool(specifics.get("OneOwner", False)),
        news_on_request=conf["MembershipMode"] == "ask",
        uses_listed_sizes=conf["Weights"] != "silent",
        admission_mode=specifics["Admit"],
        report_interval_ms=specifics["ReportEvery"] * MS_PER_S,
        channel_entries_per_ms=specifics["ChannelRate"] / MS_PER_S,
        message_overhead_entries=specifics["FixedCost"],
        max_pending_entries=specifics["PendingMax"],
        max_pushes_per_window=specifics["PushesAllowed"],
        push_window_ms=specifics["UpdateWindow"] * MS_PER_S,
        warm_up_ms=rules["WarmUp"] * MS_PER_S,
        max_transit_ms=specifics["TransitMax"] * MS_PER_S,
        proxy_count=max(int(specifics["DataPlaneSize"]), 1),
        write_methods=_write_methods(conf),
        max_write_ms=specifics.get("InFlightMax", 0.0) * MS_PER_S,
        write_lease_ms=specifics.get("Tenure", 0.0) * MS_PER_S,
        drain_grace_ms=rules.get("StopSendingWithin", INFINITY) * MS_PER_S,
        max_bare_ms=specifics.get("Blackhole", INFINITY) * MS_PER_S,
    )


def _write_methods(conf: dict[str, Any]) -> tuple[int, ...]:
    """Return the numbers of the methods that write; all of them where the settings don't say.

    >>> _write_methods({"Specifics": {"WriteClasses": [False, True]}, "Services": [{}, {}]})
    (1,)
    >>> _write_methods({"Specifics": {}, "Services": [{}, {}]})
    (0, 1)
    """
    methods = range(len(conf["Services"]))
    writes = conf["Specifics"].get("WriteClasses", [True] * len(methods))
    return tuple(method for method in methods if writes[method])


def _layout(conf: dict[str, Any]) -> SiteLayout:
    """Read the layout, and derive the bounds of plausible reports from the settings.

    - Mean latency, in ms: no attempt outlives the longest deadline.
    - Span, in ms: a report waits while others are let in, at most 100 report intervals.
    - Attempts per ms: a backend holds at most as many RPCs at a time as its connections have
      streams, each for at least a tenth of the shortest soft deadline. Without `ConnsLeast` there
      is no bound.
    """
    specifics, services = conf["Specifics"], conf["Services"]
    streams_per_connection = max(conf["Limits"].get("Multiplex", 1), 1)
    max_rpcs_at_once = (
        specifics.get("ConnsLeast", float("inf")) * MAX_BACKEND_SIZE_RATIO * streams_per_connection
    )
    return SiteLayout(
        zones=tuple(conf["Zones"]),
        methods=tuple(service["Name"] for service in conf["Services"]),
        load_fields=tuple(conf.get("Report", {}).get("Fields", ())),
        slice_count=int(specifics["Ranges"]),
        proxy_count=int(specifics["DataPlaneSize"]),
        max_mean_latency_ms=max(service["Deadline"] for service in services)
        * MS_PER_S
        * MAX_REPORTED_MEAN_RATIO,
        max_report_span_ms=specifics["ReportEvery"] * MS_PER_S * MAX_REPORT_SPAN_INTERVALS,
        max_attempts_per_ms=max_rpcs_at_once
        * MAX_RPCS_PER_STREAM
        / (min(service["Target"] for service in services) * MS_PER_S),
        controller_number=int(conf["SlotNo"]),
        sends_probes=bool(conf["Limits"].get("Probes", False)),
        has_peers=bool(conf["Limits"].get("MayTell", False)),
        news_on_request=conf["MembershipMode"] == "ask",
    )
