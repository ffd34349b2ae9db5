"""Settings JSON to what is read of it: the site's terms, and the names and ways of its surroundings."""

from dataclasses import dataclass
from typing import Any

from lifthinge.interface import Method, SiteSettings

MS_PER_S = 1000.0
MAX_MEAN_OVERSHOOT = 2.0  # times the true mean: reports are a little noisy
MAX_REPORT_PERIODS = 100  # report periods that one sum covers
MAX_RPCS_PER_SLOT = 10  # RPCs that one place at a backend serves within the shortest soft deadline
MAX_BACKEND_SIZE_RATIO = 2  # times the connections of the smallest backend


class SettingsError(Exception):
    """The settings can't be used; the text names the key."""


@dataclass(frozen=True)
class SiteLayout:
    """The names that a site uses, and what it has."""

    zones: tuple[str, ...]
    methods: tuple[str, ...]
    load_fields: tuple[str, ...]
    slice_count: int
    proxy_count: int
    max_mean_latency_ms: float  # ms that a report's tries may have taken on the mean
    max_report_span_ms: float  # ms that it may cover
    max_attempts_per_ms: float  # tries a millisecond that it may tell
    controller_number: int  # this controller's, among those of its tier
    sends_probes: bool
    has_peers: bool
    news_on_request: bool


def read_settings(conf: Any) -> SiteSettings:
    """The site's terms out of the settings.

    >>> read_settings({})
    Traceback (most recent call last):
        ...
    lifthinge.settings.SettingsError: settings lack the key 'Specifics'
    >>> read_settings(None)
    Traceback (most recent call last):
        ...
    lifthinge.settings.SettingsError: settings have a value of the wrong kind: 'NoneType' object is not subscriptable
    """
    return _checked(_settings, conf)


def read_layout(conf: Any) -> SiteLayout:
    """The names and ways of the site out of the settings."""
    return _checked(_layout, conf)


def _checked(read: Any, conf: Any) -> Any:
    try:
        return read(conf)
    except KeyError as error:
        raise SettingsError(f"settings lack the key {error}") from None
    except (TypeError, AttributeError, IndexError, ValueError, OverflowError) as error:
        raise SettingsError(f"settings have a value of the wrong kind: {error}") from None


def _settings(conf: dict[str, Any]) -> SiteSettings:
    special, rules = conf["Specifics"], conf["Rules"]
    return SiteSettings(
        methods=tuple(
            Method(one["Target"] * MS_PER_S, one["Deadline"] * MS_PER_S, one["Worth"])
            for one in conf["Services"]
        ),
        sliced=special["Ranges"] > 0,
        has_single_owner=bool(special.get("OneOwner", False)),
        news_on_request=conf["MembershipMode"] == "ask",
        uses_listed_sizes=conf["Weights"] != "silent",
        admission_mode=special["Admit"],
        report_interval_ms=special["ReportEvery"] * MS_PER_S,
        channel_entries_per_ms=special["ChannelRate"] / MS_PER_S,
        message_overhead_entries=special["FixedCost"],
        max_pending_entries=special["PendingMax"],
        max_pushes_per_window=special["PushesAllowed"],
        push_window_ms=special["UpdateWindow"] * MS_PER_S,
        warm_up_ms=rules["WarmUp"] * MS_PER_S,
        max_transit_ms=special["TransitMax"] * MS_PER_S,
        proxy_count=max(int(special["DataPlaneSize"]), 1),
    )


def _layout(conf: dict[str, Any]) -> SiteLayout:
    """A sane report stays within what the settings let happen.

    No try outlives the longest deadline; sums wait while others get in, a hundred periods at most; and one
    backend holds no more RPCs at a time than its connections bear, each for a tenth of an aim at least.
    """
    special, services = conf["Specifics"], conf["Services"]
    multiplex = max(conf["Limits"].get("Multiplex", 1), 1)
    at_once = special.get("ConnsLeast", float("inf")) * MAX_BACKEND_SIZE_RATIO * multiplex
    return SiteLayout(
        zones=tuple(conf["Zones"]),
        methods=tuple(one["Name"] for one in conf["Services"]),
        load_fields=tuple(conf.get("Report", {}).get("Fields", ())),
        slice_count=int(special["Ranges"]),
        proxy_count=int(special["DataPlaneSize"]),
        max_mean_latency_ms=max(one["Deadline"] for one in services)
        * MS_PER_S
        * MAX_MEAN_OVERSHOOT,
        max_report_span_ms=special["ReportEvery"] * MS_PER_S * MAX_REPORT_PERIODS,
        max_attempts_per_ms=at_once
        * MAX_RPCS_PER_SLOT
        / (min(one["Target"] for one in services) * MS_PER_S),
        controller_number=int(conf["SlotNo"]),
        sends_probes=bool(conf["Limits"].get("Probes", False)),
        has_peers=bool(conf["Limits"].get("MayTell", False)),
        news_on_request=conf["MembershipMode"] == "ask",
    )
