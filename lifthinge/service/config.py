"""What the environment and the configuration tell a controller of where it stands."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from lifthinge.interface import SiteSettings
from lifthinge.settings import SettingsError, SiteLayout, read_layout, read_settings
from lifthinge.wire.translator import parse_address

SOCKETS_LEAST, MEMORY_LEAST = 64, 24
MEMORY_USUAL = 192  # MB, where the configuration says nothing
FOLLOWED = {"discovery", "relay"}  # what a new configuration may move
OF_A_START = {"known", "seed"}  # what means nothing to a program that runs
Address = tuple[str, int]


class StartupError(Exception):
    """The program can't start; `key` names what is at fault."""

    def __init__(self, key: str, why: str) -> None:
        super().__init__(f"{key}: {why}")
        self.key, self.why = key, why


@dataclass(frozen=True)
class ControllerConfig:
    """Where this controller stands, and among whom."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    seed: int
    sockets: int
    memory_mb: float
    known: dict[str, Any]
    terms: SiteSettings
    site: SiteLayout


def read_config(environment: Mapping[str, str], anew: bool = False) -> ControllerConfig:
    """What the program starts with; read anew, the configuration names discovery, too.

    >>> read_config({"ROUTER_NAME": "n3"})
    Traceback (most recent call last):
        ...
    lifthinge.service.config.StartupError: ROUTER_LISTEN: missing
    """
    for key in ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"):
        if not environment.get(key):
            raise StartupError(key, "missing")
    listen = _address("ROUTER_LISTEN", environment["ROUTER_LISTEN"])
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
        _address("discovery", conf.get("discovery"))
        if anew
        else _address("ROUTER_DISCOVERY", environment["ROUTER_DISCOVERY"])
    )
    limits = _part(conf, "limits")
    try:
        terms, site = read_settings(conf.get("settings")), read_layout(conf.get("settings"))
    except SettingsError as error:
        raise StartupError("settings", str(error)) from None
    peers = conf.get("peers", []) if site.has_peers else []
    if not isinstance(peers, list):
        raise StartupError("peers", "not a list")
    return ControllerConfig(
        name=environment["ROUTER_NAME"],
        listen=listen,
        discovery=discovery,
        relay=_address("distributor.address", _part(conf, "distributor").get("address")),
        peer_listen=_address("peer_listen", conf.get("peer_listen")) if site.has_peers else None,
        peers=tuple(_address("peers", one) for one in peers),
        peers_all=_address("peers_all", conf["peers_all"])
        if site.has_peers and conf.get("peers_all")
        else None,
        seed=_seed(conf.get("seed")),
        sockets=_sockets(limits.get("sockets")),
        memory_mb=_memory(limits.get("memory_mb", MEMORY_USUAL)),
        known=_part(conf, "known"),
        terms=terms,
        site=site,
    )


def _part(conf: dict[str, Any], key: str) -> dict[str, Any]:
    found = conf.get(key)
    if not isinstance(found, dict):
        raise StartupError(key, "not an object" if key in conf else "missing")
    return found


def _address(key: str, text: Any) -> Address:
    if text is None:
        raise StartupError(key, "missing")
    try:
        return parse_address(text)
    except ValueError as error:
        raise StartupError(key, str(error)) from None


def _seed(text: Any) -> int:
    try:
        return int(text, 16)
    except (TypeError, ValueError):
        raise StartupError(
            "seed", "not a hexadecimal number" if text is not None else "missing"
        ) from None


def _sockets(count: Any) -> int:
    if type(count) is not int or count < SOCKETS_LEAST:
        raise StartupError("limits.sockets", f"not a number of at least {SOCKETS_LEAST}")
    return count


def _memory(megabytes: Any) -> float:
    if type(megabytes) not in (int, float) or not MEMORY_LEAST <= megabytes < float("inf"):
        raise StartupError("limits.memory_mb", f"not a number of at least {MEMORY_LEAST}")
    return float(megabytes)


def fields_needing_restart(former: ControllerConfig, new: ControllerConfig) -> list[str]:
    """What a new configuration says otherwise that only a start takes up."""
    return [
        one.name
        for one in fields(ControllerConfig)
        if one.name not in FOLLOWED | OF_A_START
        and getattr(former, one.name) != getattr(new, one.name)
    ]
