"""The door: ids, names and units of the sockets to the decisions' types, and back."""

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

COUNT_MOST = float(
    1 << 32
)  # a version, or a number of the relay's: told by who does not spoil them
NUMBER_MOST = 1e15
SEAL_MOST = 65_535
WEIGHT_LEAST = 0.0005  # the most that a weight told as 0 can be
_REQUIRED = object()


class _Unfit(Exception):
    """A field can't be used; told to the caller as a value."""


def parse_address(text: Any) -> tuple[str, int]:
    """An address in figures, as nothing here looks names up.

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
        raise ValueError(f"bad port in {text!r}")
    return host, int(port)


class Fields:
    """Checked reading of one message's fields; those not asked for are ignored."""

    def __init__(self, message: Any) -> None:
        if not isinstance(message, dict):
            raise _Unfit("not an object")
        self._message = message

    def number(self, name: str, default: Any = _REQUIRED, most: float = COUNT_MOST) -> float:
        found = self._message.get(name)
        if found is None and default is not _REQUIRED:
            return default
        if found is None or isinstance(found, bool) or not isinstance(found, (int, float)):
            raise _Unfit(f"{name} is no number" if name in self._message else f"{name} is missing")
        if not 0 <= found <= most:  # nor is what is not a number, or not finite
            raise _Unfit(f"{name} is out of range")
        return float(found)

    def whole(self, name: str, most: float = COUNT_MOST) -> int:
        found = self.number(name, most=most)
        if found != int(found):
            raise _Unfit(f"{name} is not whole")
        return int(found)

    def flag(self, name: str) -> bool:
        found = self._message.get(name)
        if not isinstance(found, bool) and found not in (0, 1):
            raise _Unfit(
                f"{name} is no truth value" if name in self._message else f"{name} is missing"
            )
        return bool(found)

    def text(self, name: str) -> str:
        found = self._message.get(name)
        if not isinstance(found, str) or not found:
            raise _Unfit(f"{name} is no text" if name in self._message else f"{name} is missing")
        return found

    def place(self, name: str, known: tuple[str, ...]) -> int:
        """A name's place among those known."""
        found = self.text(name)
        if found not in known:
            raise _Unfit(f"{name} is not known")
        return known.index(found)

    def load(self, wanted: tuple[str, ...]) -> tuple[float, ...]:
        """Values by name; a report that lacks one counts as absent."""
        found = self._message.get(protocol.LOAD)
        return read_load(found, wanted) if isinstance(found, dict) else ()


def read_load(found: dict[str, Any], wanted: tuple[str, ...]) -> tuple[float, ...]:
    """
    >>> read_load({"qps": 4, "util": 0.5, "mem": 1}, ("utilization", "throughput")), read_load({}, ("util",))
    ((0.5, 4.0), ())
    """
    values = [found.get(protocol.LOAD_FIELD_NAMES.get(name, name)) for name in wanted]
    fit = all(type(value) in (int, float) and abs(value) < NUMBER_MOST for value in values)
    return tuple(float(value) for value in values) if fit else ()


class MessageTranslator:
    """Knows the site's names and the world's ids."""

    def __init__(self, site: SiteLayout, registry: Registry) -> None:
        self.site, self.registry = site, registry
        self._reports: dict[str, Callable[[Fields], Event]] = {
            protocol.ATTEMPTS_REPORT: self._tries,
            protocol.SLICE_HEAT: self._heat,
            protocol.PROXY_LOAD: self._proxy_load,
        }
        self._news: dict[str, Callable[[Fields], Event]] = {
            protocol.PROXY_JOINED: self._joined,
            protocol.PROXY_LEFT: self._left,
            protocol.SEAL_CONFIRMED: self._confirmed,
            protocol.SLICE_LEASED: self._leased,
            protocol.TABLE_LINE: self._line,
        }
        self._orders: dict[type, Callable[[Any], dict[str, Any]]] = {
            SetEntry: lambda o: {
                protocol.ACTION: protocol.SET_WEIGHT,
                protocol.TABLE: o.slice.number,
                protocol.BACKEND: o.backend.backend_id,
                protocol.WEIGHT: o.weight,
            },
            ClearTable: lambda o: {
                protocol.ACTION: protocol.CLEAR_TABLE,
                protocol.TABLE: o.slice.number,
            },
            BindProxy: lambda o: {
                protocol.ACTION: protocol.BIND_PROXY,
                protocol.TABLE: o.slice.number,
                protocol.PROXY: o.proxy.number,
            },
            SetWithdrawn: lambda o: {
                protocol.ACTION: protocol.WITHDRAW if o.is_withdrawn else protocol.REINSTATE,
                protocol.BACKEND: o.backend.backend_id,
            },
            SetAdmissionLevel: self._level,
            Seal: lambda o: {
                protocol.ACTION: protocol.SEAL,
                protocol.SEAL_NUMBER: o.number,
                protocol.SEAL_EVERYONE: int(o.all_proxies),
            },
        }

    def read_zone(self, message: dict[str, Any]) -> int | InvalidMessage:
        return self._guard(lambda: Fields(message).place(protocol.ZONE, self.site.zones))

    def read_report(self, message: dict[str, Any]) -> Event | InvalidMessage:
        """What a collector passed on."""
        return self._read(self._reports, message.get(protocol.MESSAGE_TYPE), message)

    def read_relay_event(self, message: dict[str, Any], stands: bool) -> Event | InvalidMessage:
        """What the relay told; of what `stands`, a proxy may leave of which nothing was told before."""
        event = self._read(
            self._news, message.get(protocol.EVENT_TYPE), message.get(protocol.EVENT_FIELDS)
        )
        of_joined = isinstance(event, (ProxyLeft, SealConfirmed)) and not stands
        if of_joined and event.proxy not in self.registry.joined_proxies:
            return InvalidMessage("the proxy has not joined")
        return event

    def read_listing(self, entry: Any) -> Listing | InvalidMessage:
        """One entry of the list; its address is noted."""
        return self._guard(lambda: self._listing(Fields(entry)))

    def read_leaving(self, entry: Any) -> tuple[Backend, Phase] | InvalidMessage:
        """Of an entry that can't be used as a whole: the backend, if that is to go."""

        def read() -> tuple[Backend, Phase]:
            found, phase = (
                self._backend_of(Fields(entry), protocol.BACKEND_ID),
                protocol.PHASE_BY_STATE.get(Fields(entry).text(protocol.BACKEND_STATE)),
            )
            if phase not in (Phase.DRAINING, Phase.GONE):
                raise _Unfit("it does not leave")
            return found, phase

        return self._guard(read)

    def read_list_header(self, answer: dict[str, Any]) -> tuple[int, bool, list] | InvalidMessage:
        """The version of a list, whether it is whole, and its entries."""

        def read() -> tuple[int, bool, list]:
            entries = answer.get(protocol.BACKEND_LIST)
            if not isinstance(entries, list):
                raise _Unfit(f"{protocol.BACKEND_LIST} is no list")
            return (
                Fields(answer).whole(protocol.LIST_VERSION),
                Fields(answer).flag(protocol.IS_FULL_LIST),
                entries,
            )

        return self._guard(read)

    def encode_order(self, order: Any) -> dict[str, Any]:
        """What the relay is told to do."""
        return self._orders[type(order)](order)

    def is_relay_order(self, order: Any) -> bool:
        return type(order) in self._orders

    def _read(
        self, readers: dict[str, Callable[[Fields], Event]], kind: Any, fields: Any
    ) -> Event | InvalidMessage:
        reader = readers.get(kind) if isinstance(kind, str) else None
        return (
            self._guard(lambda: reader(Fields(fields)))
            if reader
            else InvalidMessage("unknown kind")
        )

    @staticmethod
    def _guard(read: Callable[[], Any]) -> Any:
        try:
            return read()
        except _Unfit as why:
            return InvalidMessage(str(why))

    def _backend(self, fields: Fields) -> Backend:
        return self._backend_of(fields, protocol.BACKEND)

    def _backend_of(self, fields: Fields, key: str) -> Backend:
        found = self.registry.backends.get(fields.text(key))
        if found is None:
            raise _Unfit("the backend is not known")
        return found

    def _slice(self, fields: Fields) -> Slice:
        return self.registry.get_or_add_slice(
            fields.whole(protocol.SLICE, self.site.slice_count - 1)
        )

    def _proxy(self, fields: Fields) -> Proxy:
        return self.registry.get_or_add_proxy(
            fields.whole(protocol.PROXY, self.site.proxy_count - 1)
        )

    def _tries(self, f: Fields) -> Event:
        total, failed, span = self._counts(f)
        took = f.number(
            protocol.MEAN_LATENCY_MS,
            _REQUIRED if total > failed else 0.0,
            self.site.max_mean_latency_ms,
        )
        return AttemptReport(
            f.place(protocol.ZONE, self.site.zones),
            self._backend(f),
            total,
            failed,
            took,
            span,
            f.load(self.site.load_fields),
        )

    def _counts(self, f: Fields) -> tuple[int, int, float]:
        """Tries, those that were aborted, and the span: each within what the settings let happen."""
        span = f.number(protocol.SPAN_MS, most=self.site.max_report_span_ms)
        total = f.whole(protocol.ATTEMPTS, max(span, 1.0) * self.site.max_attempts_per_ms)
        failed = f.whole(protocol.ABORTED_ATTEMPTS)
        if failed > total:
            raise _Unfit("more aborted than tried")
        return total, failed, span

    def _heat(self, f: Fields) -> Event:
        return SliceHeatReport(
            self._slice(f), f.place(protocol.METHOD, self.site.methods), *self._counts(f)
        )

    def _proxy_load(self, f: Fields) -> Event:
        proxy = self._proxy(f)
        if proxy not in self.registry.joined_proxies:
            raise _Unfit("the proxy has not joined")
        return ProxyLoadReport(proxy, f.place(protocol.METHOD, self.site.methods), *self._counts(f))

    def _joined(self, f: Fields) -> Event:
        number, zone = (
            f.whole(protocol.PROXY, self.site.proxy_count - 1),
            f.place(protocol.ZONE, self.site.zones),
        )
        size, fresh, proxy = (
            f.number(protocol.WEIGHT, 0.0),
            f.flag(protocol.IS_FRESH),
            self.registry.get_or_add_proxy(number),
        )
        proxy.size, proxy.zone = size, zone
        return ProxyJoined(proxy, fresh)

    def _left(self, f: Fields) -> Event:
        return ProxyLeft(self._proxy(f))

    def _confirmed(self, f: Fields) -> Event:
        seal = f.whole(protocol.CONFIRMED_SEAL, SEAL_MOST)
        return SealConfirmed(self._proxy(f), seal, f.number(protocol.SEAL_LATENCY_MS, 0.0))

    def _leased(self, f: Fields) -> Event:
        return SliceLeaseChanged(self._slice(f), f.flag(protocol.IS_LEASED))

    def _line(self, f: Fields) -> Event:
        backend = self.registry.get_or_add_backend(f.text(protocol.BACKEND))
        if backend is None:
            raise _Unfit("one backend too many")
        # The relay tells weights to three places: a line that stands has one, though it is told as 0.
        return StoredEntry(self._slice(f), backend, max(f.number(protocol.WEIGHT), WEIGHT_LEAST))

    def _listing(self, f: Fields) -> Listing:
        name, state = f.text(protocol.BACKEND_ID), f.text(protocol.BACKEND_STATE)
        if state not in protocol.PHASE_BY_STATE:
            raise _Unfit("the state is not known")
        phase, known = protocol.PHASE_BY_STATE[state], self.registry.backends.get(name)
        zone = f.place(protocol.ZONE, self.site.zones)
        started, size = (
            f.number(protocol.STARTED_MS, 0.0, NUMBER_MOST),
            f.number(protocol.WEIGHT, 1.0),
        )
        try:
            where = parse_address(f.text(protocol.BACKEND_ADDRESS))
        except ValueError:
            raise _Unfit("no address in figures") from None
        if phase is Phase.GONE:  # nothing is kept of one that was never known, or is forgotten
            backend = known or Backend(name, name)
        else:
            backend = self.registry.get_or_add_backend(name)
            if backend is None:
                raise _Unfit("one backend too many")
            self.registry.addresses[backend] = where
        return Listing(backend, zone, int(f.number(protocol.CELL, 0.0)), phase, started, size)

    def _level(self, order: SetAdmissionLevel) -> dict[str, Any]:
        methods = [self.site.methods[place] for place in order.methods]
        return {
            protocol.ACTION: protocol.SET_LEVEL,
            protocol.TABLE: protocol.ALL_TABLES if order.slice is None else order.slice.number,
            protocol.METHODS: methods,
            protocol.ADMITTED_LEVEL: order.level,
            protocol.RETRY_POLICY: int(order.retry),
        }
