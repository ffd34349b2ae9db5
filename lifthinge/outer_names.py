"""The names under which types, fields and decision attributes leave the process.

Captures, replays, counters and scenarios use these outer names. They stay as they are when a Python
name changes: only the class or the attribute beside an outer name follows a rename, written as
`OUTER=ATTRIBUTE` where the two differ. The order of fields and of state attributes is part of the
capture format.

>>> outer_name(interface.TimerDue), KINDS["TimerDue"].fields
('TimerDue', {'handle': 'handle'})
>>> outer_name(dict)
Traceback (most recent call last):
    ...
TypeError: dict has no outer name
"""

from dataclasses import fields
from enum import Enum
from typing import NamedTuple

from lifthinge import interface
from lifthinge.channel import Channel, ChannelMessage
from lifthinge.channel_condition import ChannelCondition
from lifthinge.delivery_evidence import DeliveryEvidence, WatchedWithdrawal
from lifthinge.doubtful_calls import DoubtfulCall, DoubtfulCalls
from lifthinge.histogram import Histogram
from lifthinge.order_timing import OrderClass, OrderTiming, OrderWait
from lifthinge.sliding_minimum import SlidingWindowMinimum
from lifthinge.unsettled_orders import UnsettledOrders
from lifthinge.write_holds import WriteHold


class Kind(NamedTuple):
    """A dataclass that leaves the process, and its attributes by outer field name, in order."""

    type: type
    fields: dict[str, str]


def _pairs(text: str) -> dict[str, str]:
    """Read `OUTER` and `OUTER=ATTRIBUTE`, separated by spaces, as a dictionary of attributes.

    >>> _pairs("zone took=latency_ms")
    {'zone': 'zone', 'took': 'latency_ms'}
    """
    split = [word.partition("=") for word in text.split()]
    return {outer: attribute or outer for outer, _, attribute in split}


def _kind(kind: type, text: str) -> Kind:
    """Return the entry of a dataclass.

    Raise TypeError unless the text names exactly the fields of the dataclass, in their order.
    """
    attributes = _pairs(text)
    if list(attributes.values()) != [field.name for field in fields(kind)]:
        raise TypeError(f"the outer names of {kind.__name__} do not match its fields")
    return Kind(kind, attributes)


KINDS: dict[str, Kind] = {
    # Events
    "ByHand": _kind(
        interface.OperatorOverrides,
        "out=out_of_service shares=zone_shares criticality=method_criticality",
    ),
    "FleetNews": _kind(interface.FleetNews, "form=kind listings"),
    "TimerDue": _kind(interface.TimerDue, "handle"),
    "ProbeResult": _kind(interface.ProbeResult, "backend outcome took=latency_ms load"),
    "PeerNote": _kind(interface.PeerMessage, "peer content"),
    "ProxyJoined": _kind(interface.ProxyJoined, "proxy first_time"),
    "ProxyLeft": _kind(interface.ProxyLeft, "proxy"),
    "TriesReport": _kind(
        interface.AttemptReport,
        "zone backend total=attempts aborted=aborted_attempts took=mean_latency_ms span=span_ms"
        " load",
    ),
    "ProxyLoad": _kind(
        interface.ProxyLoadReport, "proxy method total=rpcs unanswered=unanswered_rpcs span=span_ms"
    ),
    "SliceHeat": _kind(
        interface.SliceHeatReport, "slice method total=rpcs unanswered=unanswered_rpcs span=span_ms"
    ),
    "Leased": _kind(interface.SliceLeaseChanged, "slice given=is_granted"),
    "StoredLine": _kind(interface.StoredEntry, "slice backend weight"),
    "SealConfirmed": _kind(interface.SealConfirmed, "proxy seal took=elapsed_ms"),
    "ChannelState": _kind(
        interface.ChannelState,
        "free=is_free unknown=unknown_seal broken=is_broken unsent=unsent_seal",
    ),
    "OutStands": _kind(interface.WithdrawalState, "backend out=is_withdrawn"),
    # Orders
    "SetLine": _kind(interface.SetEntry, "slice backend weight"),
    "ClearTable": _kind(interface.ClearTable, "slice"),
    "BindProxy": _kind(interface.BindProxy, "slice proxy"),
    "ShutOut": _kind(interface.SetWithdrawn, "backend out=is_withdrawn"),
    "SetLevel": _kind(interface.SetAdmissionLevel, "methods slice level retry"),
    "Seal": _kind(interface.Seal, "number everyone=all_proxies"),
    "Wake": _kind(interface.SetTimer, "delay=delay_ms handle"),
    "Probe": _kind(interface.Probe, "backend"),
    "TellPeers": _kind(interface.SendToPeers, "peer content"),
    "Say": _kind(interface.LogDecision, "text"),
    "Fault": _kind(interface.DecisionFault, "part error trace"),
    "FollowList": _kind(interface.FollowFleetList, "on=enabled"),
    "FetchList": _kind(interface.FetchFleetList, ""),
    "RepeatCall": _kind(interface.RepeatCall, "seal"),
    "DropCall": _kind(interface.DropCall, "seal"),
    "Forget": _kind(interface.ForgetBackend, "backend"),
    # Values within events and orders, and the settings
    "Listing": _kind(interface.Listing, "backend zone cell phase started=started_at_ms size"),
    "Method": _kind(
        interface.Method, "soft_deadline=soft_deadline_ms deadline=deadline_ms criticality"
    ),
    "SiteTerms": _kind(
        interface.SiteSettings,
        "methods sliced one_owner=has_single_owner news_on_request sizes_told=uses_listed_sizes"
        " levels=admission_mode report_every=report_interval_ms channel_rate=channel_entries_per_ms"
        " head_lines=message_overhead_entries pending_max=max_pending_entries"
        " pushes_allowed=max_pushes_per_window update_window=push_window_ms warm_up=warm_up_ms"
        " transit_max=max_transit_ms proxies=proxy_count writes=write_methods"
        " write_max=max_write_ms write_lease=write_lease_ms grace=drain_grace_ms"
        " bare_max=max_bare_ms",
    ),
}
ENUMS: dict[str, type[Enum]] = {
    "Phase": interface.Phase,
    "Form": interface.FleetNewsKind,
    "Outcome": interface.ProbeOutcome,
    "Retry": interface.RetryMode,
    "ChannelCondition": ChannelCondition,
    "OrderClass": OrderClass,
}
# Types whose slots are written as values in this order; they are restored without `__init__`.
HOLDERS: dict[str, tuple[type, tuple[str, ...]]] = {
    "Histogram": (Histogram, Histogram.__slots__),
    "Lowest": (SlidingWindowMinimum, SlidingWindowMinimum.__slots__),
    "Channel": (Channel, Channel.__slots__),
    "ChannelMessage": (ChannelMessage, ChannelMessage.__slots__),
    "DeliveryEvidence": (DeliveryEvidence, DeliveryEvidence.__slots__),
    "WatchedWithdrawal": (WatchedWithdrawal, WatchedWithdrawal.__slots__),
    "Unsettled": (UnsettledOrders, UnsettledOrders.__slots__),
    "DoubtfulCall": (DoubtfulCall, DoubtfulCall.__slots__),
    "DoubtfulCalls": (DoubtfulCalls, DoubtfulCalls.__slots__),
    "OrderTiming": (OrderTiming, OrderTiming.__slots__),
    "OrderWait": (OrderWait, OrderWait.__slots__),
    "WriteHold": (WriteHold, WriteHold.__slots__),
}
# The decision state in a keyframe: outer name to attribute, in the order in which they are written.
STATE: dict[str, str] = _pairs(
    "dice=random soft=shortest_soft_deadline_ms ranks=methods_by_criticality by_hand=out_of_service"
    " shares=zone_shares backends slices proxies dirty=needs_planning"
    " levels_due=admission_reset_due now=now_ms fold_at=next_evaluation_ms round_at=next_round_ms"
    " wake_at=next_wake_ms cool_until=cool_off_until_ms plan_worst=worst_violation"
    " follow_at=follow_list_at_ms untold=unannounced_withdrawals"
    " untold_at=announce_withdrawals_at_ms joined_at=last_join_ms"
    " horizon=mean_report_span_ms spans=report_span_sums usual=mean_report_attempts"
    " good=ok_fraction fair=warm_ok_rate_per_size stress=zone_stress let=zone_admission"
    " plan=running_moves seal=last_seal channel way=channel_state said=other_orders"
    " owed=pending_slices call=last_call_orders unsettled=unsettled_orders"
    " doubtful=doubtful_calls holds=write_holds left_at=last_proxy_left_ms"
    " granted_at=last_grant_ms list_at=last_list_at_ms condition=channel_condition"
    " evidence=delivery_evidence broad_at=broad_trouble_at_ms timing=order_timing"
    " raised=raised_events deferred=deferred_events"
)
_OUTER_NAMES: dict[type, str] = {
    **{kind.type: name for name, kind in KINDS.items()},
    **{kind: name for name, kind in ENUMS.items()},
    **{kind: name for name, (kind, _) in HOLDERS.items()},
}


def outer_name(kind: type) -> str:
    """Return the outer name of an event, an order, an enumeration or a holder.

    Raise TypeError if the type has none.
    """
    name = _OUTER_NAMES.get(kind)
    if name is None:
        raise TypeError(f"{kind.__name__} has no outer name")
    return name
