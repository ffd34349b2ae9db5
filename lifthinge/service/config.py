"""A controller's configuration: environment variables and the JSON file that one of them names."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from lifthinge.interface import SiteSettings
from lifthinge.settings import SettingsError, SiteLayout, read_layout, read_settings
from lifthinge.wire.translator import parse_address

MIN_SOCKETS = 64
MIN_MEMORY_MB = 24
DEFAULT_MEMORY_MB = 192  # where the configuration does not set it
RELOADABLE_FIELDS = {"discovery", "relay"}  # taken from a new configuration without a restart
START_ONLY_FIELDS = {"known", "seed"}  # used at the start only, so a change needs no restart
Address = tuple[str, int]  # host and port


class StartupError(Exception):
    """The program can't start; `key` names the variable or the configuration key at fault."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"{key}: {why}")
        self.key = key
        self.why = why


@dataclass(frozen=True)
class ControllerConfig:
    """The addresses, limits and settings of a controller."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None  # an address that reaches all peers at once
    seed: int
    sockets: int  # the most that may be open
    memory_mb: float  # the most that may be used
    known: dict[str, Any]  # the fleet list as last held, maybe out of date
    terms: SiteSettings
    site: SiteLayout


def read_config(environment: Mapping[str, str], is_reload: bool = False) -> ControllerConfig:
    """Read the configuration from environment variables and the file that they name.

    At a start, ROUTER_DISCOVERY holds the address of discovery; at a reload, the file does, as the
    environment of a running process does not change. Raises StartupError if a value can't be used.

    >>> read_config({"ROUTER_NAME": "n3"})
    Traceback (most recent call last):
        ...
    lifthinge.service.config.StartupError: ROUTER_LISTEN: missing
    """
    for key in ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"):
        if not environment.get(key):
            raise StartupError(key, "missing")
    listen = _read_address("ROUTER_LISTEN", environment["ROUTER_LISTEN"])
    try:
        with open(environment["ROUTER_CONFIG"], encoding="utf-8") as file:
            conf = json.load(file)
    except OSError as error:
        raise StartupError("ROUTER_CONFIG", str(error.strerror)) from None
    except (ValueError, RecursionError) as error:
        raise StartupError("ROUTER_CONFIG", f"not JSON: {error}") from None
    if not isinstance(conf, dict):
        raise StartupError("ROUTER_CONFIG", "not an object")
    discovery = (
        _read_address("discovery", conf.get("discovery"))
        if is_reload
        else _read_address("ROUTER_DISCOVERY", environment["ROUTER_DISCOVERY"])
    )
    limits = _read_object(conf, "limits")
    try:
        terms = read_settings(conf.get("settings"))
        site = read_layout(conf.get("settings"))
    except SettingsError as error:
        raise StartupError("settings", str(error)) from None
    peers = conf.get("peers", []) if site.has_peers else []
    if not isinstance(peers, list):
        raise StartupError("peers", "not a list")
    return ControllerConfig(
        name=environment["ROUTER_NAME"],
        listen=listen,
        discovery=discovery,
        relay=_read_address(
            "distributor.address", _read_object(conf, "distributor").get("address")
        ),
        peer_listen=_read_address("peer_listen", conf.get("peer_listen"))
        if site.has_peers
        else None,
        peers=tuple(_read_address("peers", peer) for peer in peers),
        peers_all=_read_address("peers_all", conf["peers_all"])
        if site.has_peers and conf.get("peers_all")
        else None,
        seed=_read_seed(conf.get("seed")),
        sockets=_read_sockets(limits.get("sockets")),
        memory_mb=_read_memory_mb(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        known=_read_object(conf, "known"),
        terms=terms,
        site=site,
    )


def _read_object(conf: dict[str, Any], key: str) -> dict[str, Any]:
    """Return the object under a key of the file."""
    value = conf.get(key)
    if not isinstance(value, dict):
        raise StartupError(key, "not an object" if key in conf else "missing")
    return value


def _read_address(key: str, value: Any) -> Address:
    """Return the host and port of an address; `key` is named in an error."""
    if value is None:
        raise StartupError(key, "missing")
    try:
        return parse_address(value)
    except ValueError as error:
        raise StartupError(key, str(error)) from None


def _read_seed(value: Any) -> int:
    """Return the seed, which the file holds as hexadecimal text."""
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        raise StartupError(
            "seed", "not a hexadecimal number" if value is not None else "missing"
        ) from None


def _read_sockets(value: Any) -> int:
    """Return the limit of sockets."""
    if type(value) is not int or value < MIN_SOCKETS:
        raise StartupError("limits.sockets", f"not an integer of at least {MIN_SOCKETS}")
    return value


def _read_memory_mb(value: Any) -> float:
    """Return the limit of memory in MB."""
    if type(value) not in (int, float) or not MIN_MEMORY_MB <= value < float("inf"):
        raise StartupError("limits.memory_mb", f"not a finite number of at least {MIN_MEMORY_MB}")
    return float(value)


def fields_needing_restart(old_config: ControllerConfig, new_config: ControllerConfig) -> list[str]:
    """Return the names of changed fields that take effect only after a restart."""
    return [
        field.name
        for field in fields(ControllerConfig)
        if field.name not in RELOADABLE_FIELDS | START_ONLY_FIELDS
        and getattr(old_config, field.name) != getattr(new_config, field.name)
    ]
