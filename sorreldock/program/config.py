"""Configuration of a router: the platform's JSON file and environment, and the operator's TOML file."""

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
    """The configuration can't be used; the message is one line for the operator."""


@dataclass(frozen=True, slots=True)
class Kserve:
    """The [kserve] table of the operator's file."""

    listen: str
    models: tuple[str, ...]
    default_class: str
    default_tenant: str
    keepalive_s: float


@dataclass(frozen=True, slots=True)
class Operator:
    """The settings of the operator's file; the defaults hold where there is no file."""

    http: bool = True
    kserve: Kserve | None = None
    server_protocols: tuple[str, ...] = ("http",)
    collector: str = ""
    min_severity: str = "info"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a router."""

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
    console: str = ""  # address of the operators' console; empty: no console
    folder: str = ""  # $TMPDIR, which both processes of a takeover use
    inherited_fd: int | None = None  # listening socket for clients, if the platform opens it

    def with_reloaded(self, new: Config) -> Config:
        """Return this configuration with those values of the reloaded one that can change while serving.

        The environment is still that of the start, so a discovery address that has changed in the file since
        then takes precedence over RELAY_DISCOVERY.
        """
        discovery_changed = new.discovery_in_file and new.discovery_in_file != self.discovery_in_file
        return replace(
            self,
            discovery=new.discovery_in_file if discovery_changed else self.discovery,
            discovery_in_file=new.discovery_in_file,
            sockets=new.sockets,
            memory_mb=new.memory_mb,
        )

    def differences_for_next_start(self, new: Config) -> list[str]:
        """Return the names of the settings that differ in `new` and take effect at the next start only."""
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
        raise ConfigError(f"{key} is missing or not a string")
    return value


def _text_list(raw: dict[str, Any], key: str, default: tuple[str, ...]) -> tuple[str, ...]:
    value = raw.get(key, list(default))
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"{key} is not a list of strings")
    return tuple(value)


def _address(text: str, key: str) -> str:
    try:
        split_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None
    return text


def _check_keys(raw: dict[str, Any], known: tuple[str, ...], where: str) -> None:
    for key in raw:
        if key not in known:
            raise ConfigError(f"{where} has the unknown key {key}")


def _kserve(kserve: dict[str, Any], settings: Settings) -> Kserve:
    """Parse and check the [kserve] table."""
    keepalive = kserve.get("keepalive_s", 30.0)
    if isinstance(keepalive, bool) or not isinstance(keepalive, int | float) or keepalive <= 0:
        raise ConfigError("[kserve] keepalive_s is not a positive number")
    front = Kserve(
        listen=_address(_text(kserve, "listen"), "[kserve] listen"),
        models=_text_list(kserve, "models", ()),
        default_class=_text(kserve, "class", ""),
        default_tenant=_text(kserve, "tenant", ""),
        keepalive_s=float(keepalive),
    )
    if not front.models:
        raise ConfigError("[kserve] models is missing or empty")
    if front.default_class and front.default_class not in {c.name for c in settings.classes}:
        raise ConfigError(f"[kserve] class is not among the settings' classes: {front.default_class}")
    return front


def _collector(address: str) -> str:
    """Check the address of the log's collector: empty for none, else a loopback address."""
    if not address:
        return ""
    import ipaddress  # imported here, since a start without an operator's file doesn't need it

    host = split_address(_address(address, "[syslog] collector"))[0]
    try:
        loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        raise ConfigError(f"[syslog] collector is not a loopback address: {address}")
    return address


def operator_from(raw: dict[str, Any], settings: Settings) -> Operator:
    """Parse and check the tables of the operator's file."""
    _check_keys(raw, ("http", "kserve", "engines", "syslog"), "the operator's file")
    http = _table(raw.get("http", {}), "[http]")
    kserve = _table(raw.get("kserve", {}), "[kserve]")
    engines = _table(raw.get("engines", {}), "[engines]")
    syslog = _table(raw.get("syslog", {}), "[syslog]")
    _check_keys(http, ("enabled",), "[http]")
    _check_keys(kserve, ("enabled", "listen", "models", "class", "tenant", "keepalive_s"), "[kserve]")
    _check_keys(engines, ("protocols",), "[engines]")
    _check_keys(syslog, ("collector", "severity"), "[syslog]")
    for where, table in (("http", http), ("kserve", kserve)):
        if not isinstance(table.get("enabled", True), bool):
            raise ConfigError(f"[{where}] enabled is not a boolean")
    protocols = _text_list(engines, "protocols", ("http",))
    for protocol in protocols:
        if protocol not in PROTOCOLS:
            raise ConfigError(f"[engines] protocols has the unknown value {protocol}")
    front = _kserve(kserve, settings) if kserve and kserve.get("enabled", True) else None
    collector = _collector(_text(syslog, "collector", ""))
    severity = _text(syslog, "severity", "info")
    if severity not in SEVERITIES:
        raise ConfigError(f"[syslog] severity has the unknown value {severity}")
    operator = Operator(bool(http.get("enabled", True)), front, protocols, collector, severity)
    # A front whose protocol no server supports would refuse every RPC, so it is an error at the start.
    for protocol, enabled in (("http", operator.http), ("kserve", front is not None)):
        if enabled and protocol not in protocols:
            raise ConfigError(
                f"the front {protocol} is enabled, but [engines] protocols does not name {protocol}"
            )
    if not operator.http and front is None:
        raise ConfigError("no front is enabled")
    return operator


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def load(environment: Mapping[str, str] = os.environ, operator_file: Path | None = None) -> Config:
    """Load the configuration from the environment, the platform's file and the operator's file.

    Raises ConfigError.
    """
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

    def limit(name: str, default: int, minimum: int) -> int:
        value = limits.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
            raise ConfigError(f"{where}: limits.{name} is not an integer of at least {minimum}: {value!r}")
        return value

    operator = Operator()
    if operator_file is not None:
        import tomllib  # imported here, since a start without an operator's file doesn't need it

        try:
            operator = operator_from(tomllib.loads(_read(operator_file).decode()), settings)
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            raise ConfigError(f"{operator_file} is not TOML: {error}") from None
    texts = {
        key: environment.get(f"RELAY_{key.upper()}") or raw.get(key)
        for key in ("name", "listen", "discovery")
    }
    console = environment.get("RELAY_CONSOLE") or raw.get("console") or ""
    inherited = environment.get("RELAY_INHERITED_FD", "")
    if inherited and not (inherited.isascii() and inherited.isdigit() and len(inherited) < 7):
        raise ConfigError(f"RELAY_INHERITED_FD is not a descriptor's number: {inherited!r}")
    return Config(
        name=_text(texts, "name"),
        listen=_address(_text(texts, "listen"), "listen"),
        discovery=_address(_text(texts, "discovery"), "discovery"),
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
