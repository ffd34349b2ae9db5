"""Translates messages on the wire to the decision module's events, and its orders to messages.

Everything that arrives is checked here: what can't be used becomes an `InvalidMessage`.
"""

import ipaddress
from collections.abc import Callable
from typing import Any

from lifthinge.interface import (
    AttemptReport,
    Backend,
    BindProxy,
    ClearTable,
    Event,
    Listing,
    Phase,
    Proxy,
    ProxyJoined,
    ProxyLeft,
    ProxyLoadReport,
    Seal,
    SealConfirmed,
    SetAdmissionLevel,
    SetEntry,
    SetWithdrawn,
    Slice,
    SliceHeatReport,
    SliceLeaseChanged,
    StoredEntry,
)
from lifthinge.memory.registry import Registry
from lifthinge.settings import SiteLayout
from lifthinge.wire import protocol
from lifthinge.wire.frames import InvalidMessage

# Bound of versions, counts and weights that have none of their own; it is loose, as their senders
# (discovery and the relay) are trusted not to send absurd ones.
MAX_COUNT = float(1 << 32)
MAX_NUMBER = 1e15  # of load values, and of start times in ms
MAX_SEAL = 65_535  # largest seal number
MIN_WEIGHT = 0.0005  # largest weight that three decimal places show as 0
_REQUIRED = object()  # default of a field that must not be missing


class _InvalidFieldError(Exception):
    """A field can't be used; callers of the translator get an `InvalidMessage` instead."""


def parse_address(text: Any) -> tuple[str, int]:
    """Split a numeric address into host and port; names are not resolved.

    Raise ValueError if the host is no IP address or the port is not in 1 to 65535.

    >>> parse_address("10.1.0.18:3000"), parse_address("[::1]:80")
    (('10.1.0.18', 3000), ('::1', 80))
    >>> parse_address("localhost:80")
    Traceback (most recent call last):
        ...
    ValueError: 'localhost' does not appear to be an IPv4 or IPv6 address
    """
    host, _, port = str(text).rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"invalid port in {text!r}")
    return host, int(port)


class FieldReader:
    """Checked reading of one message's fields; other fields are ignored.

    All methods raise `_InvalidFieldError` if the field is missing or can't be used.
    """

    def __init__(self, message: Any) -> None:
        if not isinstance(message, dict):
            raise _InvalidFieldError("not an object")
        self._message = message

    def read_number(
        self, name: str, default: Any = _REQUIRED, max_value: float = MAX_COUNT
    ) -> float:
        """Return a finite number from 0 to `max_value`; for a missing field, the given default."""
        value = self._message.get(name)
        if value is None and default is not _REQUIRED:
            return default
        if value is None or isinstance(value, bool) or not isinstance(value, (int, float)):
            raise _InvalidFieldError(
                f"{name} is not a number" if name in self._message else f"{name} is missing"
            )
        if not 0 <= value <= max_value:  # also true of NaN and infinity
            raise _InvalidFieldError(f"{name} is out of range")
        return float(value)

    def read_integer(self, name: str, max_value: float = MAX_COUNT) -> int:
        """Return a whole number from 0 to `max_value`, which may be written as a float."""
        value = self.read_number(name, max_value=max_value)
        if value != int(value):
            raise _InvalidFieldError(f"{name} is not an integer")
        return int(value)

    def read_boolean(self, name: str) -> bool:
        """Return a boolean, which may be written as 0 or 1."""
        value = self._message.get(name)
        if not isinstance(value, bool) and value not in (0, 1):
            raise _InvalidFieldError(
                f"{name} is not a boolean" if name in self._message else f"{name} is missing"
            )
        return bool(value)

    def read_text(self, name: str) -> str:
        """Return a non-empty string."""
        value = self._message.get(name)
        if not isinstance(value, str) or not value:
            raise _InvalidFieldError(
                f"{name} is not a non-empty string"
                if name in self._message
                else f"{name} is missing"
            )
        return value

    def read_index(self, name: str, known_names: tuple[str, ...]) -> int:
        """Return the index of the field's text among the known names."""
        value = self.read_text(name)
        if value not in known_names:
            raise _InvalidFieldError(f"{name} is unknown")
        return known_names.index(value)

    def read_load(self, names: tuple[str, ...]) -> tuple[float, ...]:
        """Return the load values of these names; empty if there is no usable load."""
        load = self._message.get(protocol.LOAD)
        return read_load(load, names) if isinstance(load, dict) else ()


def read_load(load: dict[str, Any], names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load values of these settings' names, in order; empty if one lacks or is unusable.

    >>> load = {"qps": 4, "util": 0.5, "mem": 1}
    >>> read_load(load, ("utilization", "throughput")), read_load({}, ("util",))
    ((0.5, 4.0), ())
    """
    values = [load.get(protocol.LOAD_FIELD_NAMES.get(name, name)) for name in names]
    are_valid = all(type(value) in (int, float) and abs(value) < MAX_NUMBER for value in values)
    return tuple(float(value) for value in values) if are_valid else ()


class MessageTranslator:
    """Translates by the site's names and the registry's objects, which it makes for new ids."""

    def __init__(self, site: SiteLayout, registry: Registry) -> None:
        self.site = site
        self.registry = registry
        self._report_readers: dict[str, Callable[[FieldReader], Event]] = {
            protocol.ATTEMPTS_REPORT: self._read_attempt_report,
            protocol.SLICE_HEAT: self._read_slice_heat_report,
            protocol.PROXY_LOAD: self._read_proxy_load_report,
        }
        self._relay_event_readers: dict[str, Callable[[FieldReader], Event]] = {
            protocol.PROXY_JOINED: self._read_proxy_joined,
            protocol.PROXY_LEFT: self._read_proxy_left,
            protocol.SEAL_CONFIRMED: self._read_seal_confirmed,
            protocol.SLICE_LEASED: self._read_slice_lease_changed,
            protocol.STORED_ENTRY: self._read_stored_entry,
        }
        self._order_encoders: dict[type, Callable[[Any], dict[str, Any]]] = {
            SetEntry: lambda order: {
                protocol.ACTION: protocol.SET_WEIGHT,
                protocol.TABLE: order.slice.number,
                protocol.BACKEND: order.backend.backend_id,
                protocol.WEIGHT: order.weight,
            },
            ClearTable: lambda order: {
                protocol.ACTION: protocol.CLEAR_TABLE,
                protocol.TABLE: order.slice.number,
            },
            BindProxy: lambda order: {
                protocol.ACTION: protocol.BIND_PROXY,
                protocol.TABLE: order.slice.number,
                protocol.PROXY: order.proxy.number,
            },
            SetWithdrawn: lambda order: {
                protocol.ACTION: protocol.WITHDRAW if order.is_withdrawn else protocol.REINSTATE,
                protocol.BACKEND: order.backend.backend_id,
            },
            SetAdmissionLevel: self._encode_admission_level,
            Seal: lambda order: {
                protocol.ACTION: protocol.SEAL,
                protocol.SEAL_NUMBER: order.number,
                protocol.SEAL_ALL_PROXIES: int(order.all_proxies),
            },
        }

    def read_zone(self, message: dict[str, Any]) -> int | InvalidMessage:
        """Return the index of the zone that a collector hello names."""
        return self._catch_invalid(
            lambda: FieldReader(message).read_index(protocol.ZONE, self.site.zones)
        )

    def read_report(self, message: dict[str, Any]) -> Event | InvalidMessage:
        """Return the event of a collector's report."""
        return self._read_event(self._report_readers, message.get(protocol.MESSAGE_TYPE), message)

    def read_relay_event(
        self, message: dict[str, Any], is_initial_state: bool
    ) -> Event | InvalidMessage:
        """Return the event of a message of the relay.

        Only while the initial state is received may a proxy leave, or confirm a seal, that has not
        joined by the registry.
        """
        event = self._read_event(
            self._relay_event_readers,
            message.get(protocol.EVENT_TYPE),
            message.get(protocol.EVENT_FIELDS),
        )
        requires_joined = isinstance(event, (ProxyLeft, SealConfirmed)) and not is_initial_state
        if requires_joined and event.proxy not in self.registry.joined_proxies:
            return InvalidMessage("the proxy has not joined")
        return event

    def read_listing(self, entry: Any) -> Listing | InvalidMessage:
        """Return the listing of an entry of the fleet list; note its address in the registry."""
        return self._catch_invalid(lambda: self._read_listing(FieldReader(entry)))

    def read_leaving(self, entry: Any) -> tuple[Backend, Phase] | InvalidMessage:
        """Return the known backend and the phase of an invalid entry, if it drains or is gone."""

        def read() -> tuple[Backend, Phase]:
            backend = self._find_backend(FieldReader(entry), protocol.BACKEND_ID)
            phase = protocol.PHASE_BY_STATE.get(
                FieldReader(entry).read_text(protocol.BACKEND_STATE)
            )
            if phase not in (Phase.DRAINING, Phase.GONE):
                raise _InvalidFieldError("the entry does not say that the backend leaves")
            return backend, phase

        return self._catch_invalid(read)

    def read_list_header(self, answer: dict[str, Any]) -> tuple[int, bool, list] | InvalidMessage:
        """Return the version of a list, whether it is the full list, and its entries."""

        def read() -> tuple[int, bool, list]:
            entries = answer.get(protocol.BACKEND_LIST)
            if not isinstance(entries, list):
                raise _InvalidFieldError(f"{protocol.BACKEND_LIST} is not a list")
            return (
                FieldReader(answer).read_integer(protocol.LIST_VERSION),
                FieldReader(answer).read_boolean(protocol.IS_FULL_LIST),
                entries,
            )

        return self._catch_invalid(read)

    def encode_order(self, order: Any) -> dict[str, Any]:
        """Return the relay's message for an order."""
        return self._order_encoders[type(order)](order)

    def is_relay_order(self, order: Any) -> bool:
        """Return whether the relay carries out orders of this type."""
        return type(order) in self._order_encoders

    def _read_event(
        self, readers: dict[str, Callable[[FieldReader], Event]], type_name: Any, fields: Any
    ) -> Event | InvalidMessage:
        """Read the fields of a message with the reader for its type."""
        reader = readers.get(type_name) if isinstance(type_name, str) else None
        return (
            self._catch_invalid(lambda: reader(FieldReader(fields)))
            if reader
            else InvalidMessage("unknown message type")
        )

    @staticmethod
    def _catch_invalid(read: Callable[[], Any]) -> Any:
        """Return what `read` returns, or the error about an invalid field."""
        try:
            return read()
        except _InvalidFieldError as error:
            return InvalidMessage(str(error))

    def _read_backend(self, fields: FieldReader) -> Backend:
        return self._find_backend(fields, protocol.BACKEND)

    def _find_backend(self, fields: FieldReader, key: str) -> Backend:
        """Return the known backend whose id the field holds."""
        backend = self.registry.backends.get(fields.read_text(key))
        if backend is None:
            raise _InvalidFieldError("the backend is unknown")
        return backend

    def _read_slice(self, fields: FieldReader) -> Slice:
        return self.registry.get_or_add_slice(
            fields.read_integer(protocol.SLICE, self.site.slice_count - 1)
        )

    def _read_proxy(self, fields: FieldReader) -> Proxy:
        return self.registry.get_or_add_proxy(
            fields.read_integer(protocol.PROXY, self.site.proxy_count - 1)
        )

    def _read_attempt_report(self, fields: FieldReader) -> Event:
        attempts, aborted_attempts, span_ms = self._read_counts(fields)
        mean_latency_ms = fields.read_number(
            protocol.MEAN_LATENCY_MS,
            _REQUIRED if attempts > aborted_attempts else 0.0,
            self.site.max_mean_latency_ms,
        )
        return AttemptReport(
            fields.read_index(protocol.ZONE, self.site.zones),
            self._read_backend(fields),
            attempts,
            aborted_attempts,
            mean_latency_ms,
            span_ms,
            fields.read_load(self.site.load_fields),
        )

    def _read_counts(self, fields: FieldReader) -> tuple[int, int, float]:
        """Return attempts (or RPCs), those aborted (or unanswered), and the span in ms.

        They are bounded by what the site's settings make possible.
        """
        span_ms = fields.read_number(protocol.SPAN_MS, max_value=self.site.max_report_span_ms)
        attempts = fields.read_integer(
            protocol.ATTEMPTS, max(span_ms, 1.0) * self.site.max_attempts_per_ms
        )
        aborted_attempts = fields.read_integer(protocol.ABORTED_ATTEMPTS)
        if aborted_attempts > attempts:
            raise _InvalidFieldError("more aborted attempts than attempts")
        return attempts, aborted_attempts, span_ms

    def _read_slice_heat_report(self, fields: FieldReader) -> Event:
        return SliceHeatReport(
            self._read_slice(fields),
            fields.read_index(protocol.METHOD, self.site.methods),
            *self._read_counts(fields),
        )

    def _read_proxy_load_report(self, fields: FieldReader) -> Event:
        proxy = self._read_proxy(fields)
        if proxy not in self.registry.joined_proxies:
            raise _InvalidFieldError("the proxy has not joined")
        return ProxyLoadReport(
            proxy, fields.read_index(protocol.METHOD, self.site.methods), *self._read_counts(fields)
        )

    def _read_proxy_joined(self, fields: FieldReader) -> Event:
        """Read an event about a joined proxy; note its size and zone in the registry."""
        number = fields.read_integer(protocol.PROXY, self.site.proxy_count - 1)
        zone = fields.read_index(protocol.ZONE, self.site.zones)
        size = fields.read_number(protocol.WEIGHT, 0.0)
        is_fresh = fields.read_boolean(protocol.IS_FRESH)
        proxy = self.registry.get_or_add_proxy(number)
        proxy.size = size
        proxy.zone = zone
        return ProxyJoined(proxy, is_fresh)

    def _read_proxy_left(self, fields: FieldReader) -> Event:
        return ProxyLeft(self._read_proxy(fields))

    def _read_seal_confirmed(self, fields: FieldReader) -> Event:
        seal = fields.read_integer(protocol.CONFIRMED_SEAL, MAX_SEAL)
        return SealConfirmed(
            self._read_proxy(fields), seal, fields.read_number(protocol.SEAL_LATENCY_MS, 0.0)
        )

    def _read_slice_lease_changed(self, fields: FieldReader) -> Event:
        return SliceLeaseChanged(self._read_slice(fields), fields.read_boolean(protocol.IS_LEASED))

    def _read_stored_entry(self, fields: FieldReader) -> Event:
        backend = self.registry.get_or_add_backend(fields.read_text(protocol.BACKEND))
        if backend is None:
            raise _InvalidFieldError("too many backends are known")
        # The relay rounds weights to three decimal places: an entry that exists is above 0.
        return StoredEntry(
            self._read_slice(fields), backend, max(fields.read_number(protocol.WEIGHT), MIN_WEIGHT)
        )

    def _read_listing(self, fields: FieldReader) -> Listing:
        backend_id = fields.read_text(protocol.BACKEND_ID)
        state = fields.read_text(protocol.BACKEND_STATE)
        if state not in protocol.PHASE_BY_STATE:
            raise _InvalidFieldError(f"{protocol.BACKEND_STATE} is unknown")
        phase = protocol.PHASE_BY_STATE[state]
        known = self.registry.backends.get(backend_id)
        zone = fields.read_index(protocol.ZONE, self.site.zones)
        started_at_ms = fields.read_number(protocol.STARTED_MS, 0.0, MAX_NUMBER)
        size = fields.read_number(protocol.WEIGHT, 1.0)
        try:
            address = parse_address(fields.read_text(protocol.BACKEND_ADDRESS))
        except ValueError:
            raise _InvalidFieldError(
                f"{protocol.BACKEND_ADDRESS} is not a numeric address"
            ) from None
        # A gone backend that is unknown or forgotten is not added to the registry.
        if phase is Phase.GONE:
            backend = known or Backend(backend_id, backend_id)
        else:
            backend = self.registry.get_or_add_backend(backend_id)
            if backend is None:
                raise _InvalidFieldError("too many backends are known")
            self.registry.addresses[backend] = address
        return Listing(
            backend, zone, int(fields.read_number(protocol.CELL, 0.0)), phase, started_at_ms, size
        )

    def _encode_admission_level(self, order: SetAdmissionLevel) -> dict[str, Any]:
        methods = [self.site.methods[method] for method in order.methods]
        return {
            protocol.ACTION: protocol.SET_LEVEL,
            protocol.TABLE: protocol.ALL_TABLES if order.slice is None else order.slice.number,
            protocol.METHODS: methods,
            protocol.ADMITTED_LEVEL: order.level,
            protocol.RETRY_POLICY: int(order.retry),
        }
