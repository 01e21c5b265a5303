"""Configuration: what the platform tells a router, and what an operator's file adds."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..interface import ListKind, Settings, SettingsError
from ..protocol.http.discovery import ListError, decode_result
from ..routing.types import ResolverResult
from ..transport.connection import split_address
from ..wire import decode_settings
from .syslog import SEVERITIES

PROTOCOLS = ("http", "kserve")


class ConfigError(ValueError):
    """The configuration can't be used; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class Kserve:
    """The [kserve] table of an operator's file."""

    listen: str
    models: tuple[str, ...]
    default_class: str
    default_tenant: str
    keepalive_s: float


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator's file. Without one the program is the platform's router and nothing else."""

    http: bool = True
    kserve: Kserve | None = None
    server_protocols: tuple[str, ...] = ("http",)
    collector: str = ""
    min_severity: str = "info"


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of a router."""

    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    settings: Settings
    known: ResolverResult
    operator: Operator = field(default_factory=Operator)
    memory_mb: int = 192
    discovery_in_file: str = ""
    console: str = ""  # where operators call; empty: nowhere
    folder: str = ""  # $TMPDIR, which both processes of an upgrade share
    inherited_fd: int | None = None  # the clients' listening socket, where the platform holds it

    def renewed(self, new: Config) -> Config:
        """What a running program takes over from a file read anew. The environment holds what it held at the
        start, so a discovery that the file has changed since counts for more than RELAY_DISCOVERY.
        """
        moved = new.discovery_in_file and new.discovery_in_file != self.discovery_in_file
        return replace(
            self,
            discovery=new.discovery_in_file if moved else self.discovery,
            discovery_in_file=new.discovery_in_file,
            sockets=new.sockets,
            memory_mb=new.memory_mb,
        )

    def fixed(self, new: Config) -> list[str]:
        """What differs in the new file and is taken over at the next start alone."""
        return [
            name
            for name in ("name", "listen", "settings", "operator", "console")
            if getattr(self, name) != getattr(new, name)
        ]


def _table(raw: Any, where: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise ConfigError(f"{where} is not a table")
    return raw


def _text(raw: dict[str, Any], key: str, default: str | None = None) -> str:
    value = raw.get(key, default)
    if not isinstance(value, str) or (not value and default is None):
        raise ConfigError(f"{key} is missing or not a text")
    return value


def _words(raw: dict[str, Any], key: str, default: tuple[str, ...]) -> tuple[str, ...]:
    value = raw.get(key, list(default))
    if not isinstance(value, list) or not all(isinstance(word, str) for word in value):
        raise ConfigError(f"{key} is not a list of texts")
    return tuple(value)


def _address(text: str, key: str) -> str:
    try:
        split_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
    return text


def _no_others(raw: dict[str, Any], known: tuple[str, ...], where: str) -> None:
    for key in raw:
        if key not in known:
            raise ConfigError(f"{where} has the unknown key {key}")


def _kserve_front(kserve: dict[str, Any], settings: Settings) -> Kserve:
    """The front of the [kserve] table."""
    keepalive = kserve.get("keepalive_s", 30.0)
    if isinstance(keepalive, bool) or not isinstance(keepalive, int | float) or keepalive <= 0:
        raise ConfigError("[kserve] keepalive_s is not a positive number")
    front = Kserve(
        listen=_address(_text(kserve, "listen"), "[kserve] listen"),
        models=_words(kserve, "models", ()),
        default_class=_text(kserve, "class", ""),
        default_tenant=_text(kserve, "tenant", ""),
        keepalive_s=float(keepalive),
    )
    if not front.models:
        raise ConfigError("[kserve] models names no model")
    if front.default_class and front.default_class not in {c.name for c in settings.classes}:
        raise ConfigError(f"[kserve] class names no class of the settings: {front.default_class}")
    return front


def _collector(address: str) -> str:
    """The log's collector, empty for none; only a loopback address may be one."""
    if not address:
        return ""
    import ipaddress  # the platform's start has no use for it

    host = split_address(_address(address, "[syslog] collector"))[0]
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        raise ConfigError(f"[syslog] collector is not a loopback address: {address}")
    return address


def operator_from(raw: dict[str, Any], settings: Settings) -> Operator:
    _no_others(raw, ("http", "kserve", "engines", "syslog"), "the operator's file")
    http = _table(raw.get("http", {}), "[http]")
    kserve = _table(raw.get("kserve", {}), "[kserve]")
    engines = _table(raw.get("engines", {}), "[engines]")
    syslog = _table(raw.get("syslog", {}), "[syslog]")
    _no_others(http, ("enabled",), "[http]")
    _no_others(kserve, ("enabled", "listen", "models", "class", "tenant", "keepalive_s"), "[kserve]")
    _no_others(engines, ("protocols",), "[engines]")
    _no_others(syslog, ("collector", "severity"), "[syslog]")
    for where, table in (("http", http), ("kserve", kserve)):
        if not isinstance(table.get("enabled", True), bool):
            raise ConfigError(f"[{where}] enabled is neither true nor false")
    protocols = _words(engines, "protocols", ("http",))
    for protocol in protocols:
        if protocol not in PROTOCOLS:
            raise ConfigError(f"[engines] protocols has the unknown value {protocol}")
    front = _kserve_front(kserve, settings) if kserve and kserve.get("enabled", True) else None
    collector = _collector(_text(syslog, "collector", ""))
    severity = _text(syslog, "severity", "info")
    if severity not in SEVERITIES:
        raise ConfigError(f"[syslog] severity has the unknown value {severity}")
    operator = Operator(bool(http.get("enabled", True)), front, protocols, collector, severity)
    # A front whose RPCs no engine can serve would refuse every one of them: better to hear it at the start.
    for protocol, on in (("http", operator.http), ("kserve", front is not None)):
        if on and protocol not in protocols:
            raise ConfigError(f"the front {protocol} is on, but [engines] protocols does not name {protocol}")
    if not operator.http and front is None:
        raise ConfigError("no front is on")
    return operator


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def load(environment: Mapping[str, str] = os.environ, operator_file: Path | None = None) -> Config:
    """The whole configuration; ConfigError says in a line what is wrong with it."""
    where = environment.get("RELAY_CONFIG", "")
    if not where:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw = _table(json.loads(_read(Path(where))), where)
    except ValueError as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"{where} is not JSON: {error}") from None
    try:
        settings = decode_settings(raw.get("settings"))
        known = decode_result(raw.get("known", {"targets": []}), ListKind.CACHED)
    except (SettingsError, ListError) as error:
        raise ConfigError(f"{where}: {error}") from None
    seed = raw.get("seed", "0")
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"{where}: seed is not a hexadecimal number: {seed!r}") from None
    limits = _table(raw.get("limits", {}), f"{where}: limits")

    def limit(name: str, default: int, least: int) -> int:
        value = limits.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int) or value < least:
            raise ConfigError(f"{where}: limits.{name} is not a number of at least {least}: {value!r}")
        return value

    operator = Operator()
    if operator_file is not None:
        import tomllib  # as above

        try:
            operator = operator_from(tomllib.loads(_read(operator_file).decode()), settings)
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise ConfigError(f"{operator_file} is not TOML: {error}") from None
    told = {
        key: environment.get(f"RELAY_{key.upper()}") or raw.get(key)
        for key in ("name", "listen", "discovery")
    }
    console = environment.get("RELAY_CONSOLE") or raw.get("console") or ""
    inherited = environment.get("RELAY_INHERITED_FD", "")
    if inherited and not (inherited.isascii() and inherited.isdigit() and len(inherited) < 7):
        raise ConfigError(f"RELAY_INHERITED_FD is not the number of a descriptor: {inherited!r}")
    return Config(
        name=_text(told, "name"),
        listen=_address(_text(told, "listen"), "listen"),
        discovery=_address(_text(told, "discovery"), "discovery"),
        seed=seed,
        sockets=limit("sockets", 1024, 100),
        memory_mb=limit("memory_mb", 192, 16),
        settings=settings,
        known=known,
        operator=operator,
        discovery_in_file=_address(raw["discovery"], "discovery")
        if isinstance(raw.get("discovery"), str)
        else "",
        console=_address(_text({"console": console}, "console"), "console") if console else "",
        folder=environment.get("TMPDIR", ""),
        inherited_fd=int(inherited) if inherited else None,
    )
