"""Settings of an emulated fleet, read from a TOML file (`deploy/lab/*.toml`)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]


S = TypeVar("S", bound=msgspec.Struct)


class LabError(ValueError):
    """A file or a command of the lab is invalid; the message is one line."""


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One kind of engine; times are in seconds, lengths in tokens, speeds are those of a warm engine."""

    kind: Name = "gpu"
    count: Count = 1
    zone: str = ""  # empty: the zones in turn
    batch: Count = 64  # maximum number of running requests
    queue: Annotated[int, msgspec.Meta(ge=0)] = 64  # maximum number of waiting requests; more are rejected
    memory_tokens: Count = 200_000  # for running requests and cached prefixes together
    step_s: Positive = 0.012  # time to generate one token for each running request
    crowd: NotNegative = 0.5  # share by which a full batch lengthens a step
    prompt_tokens_per_s: Positive = 20_000.0
    chunk_tokens: Count = 4096  # of prompts read within one step
    # Share of the warm speed right after the start.
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.12
    warm_up_s: NotNegative = 0.0  # time from the start to full speed; 0: the engine starts warm
    fall_multiple: Positive = 2.5  # a cold engine falls over if offered more than this multiple of its speed
    fall_window_s: Positive = 3.0  # time over which the offered work is measured
    slow: Positive = 1.0  # factor by which the engine is slower than the other settings specify
    fail_share: Share = 0.0  # share of the requests that are answered with an error at once
    drop_cancelled: bool = True  # drop a waiting request when its client has disconnected
    report_every_s: NotNegative = 0.2  # maximum age of a load report
    connections: Count = 512
    tokens_per_event: Count = 4
    output_tokens: Count = 60  # of an answer, unless the request asks for fewer


class ClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A request class of a fleet."""

    name: Name
    aim_s: Positive
    deadline_s: Positive
    worth: NotNegative = 1.0
    effect: Literal["safe", "unsafe"] = "safe"  # whether engines may run a request more than once


class TenantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tenant of a fleet."""

    name: Name
    share: Share
    quota_rps: Positive = 1000.0


class DiscoverySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The discovery service of a fleet."""

    late_s: NotNegative = 0.0  # delay until a change becomes visible
    keep_alive_s: Positive = 2.0  # time between empty lines on a watch without changes


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of the routers in front of the fleet."""

    max_attempts: Count = 6
    max_retry_after_s: NotNegative = 2.0
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=256)] = 1024


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The settings of a fleet: the whole content of its TOML file."""

    name: Name
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]
    engines: Annotated[list[EngineSettings], msgspec.Meta(min_length=1)]
    classes: Annotated[list[ClassSettings], msgspec.Meta(min_length=1)]
    model: Name = "desc"
    tenants: list[TenantSettings] = []
    discovery: DiscoverySettings = DiscoverySettings()
    routers: RouterSettings = RouterSettings()

    def __post_init__(self) -> None:
        for engine in self.engines:
            if engine.zone and engine.zone not in self.zones:
                raise ValueError(f"engines: zone {engine.zone} is not among the zones")
        for what, names in (
            ("zones", self.zones),
            ("classes", [c.name for c in self.classes]),
            ("tenants", [t.name for t in self.tenants]),
        ):
            if len(set(names)) != len(names):
                raise ValueError(f"{what}: duplicate name")


def load(path: Path) -> FleetSettings:
    """Read and check a fleet's file; raise LabError with the fault and its place."""
    return load_as(path, FleetSettings)


def load_as(path: Path, kind: type[S]) -> S:
    """Read and check a TOML file as a struct of this type; raise LabError as `load` does."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise LabError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise LabError(f"{path}: {' '.join(str(error).split())}") from None


def router_settings(fleet: FleetSettings, index: int, count: int, zone: str) -> dict[str, Any]:
    """Return the settings in the platform's format for one router of this fleet."""
    engine = fleet.engines[0]
    limits = fleet.routers
    return {
        "areas": list(fleet.zones),
        "zone": zone,
        "me": index,
        "balancers": count,
        "discovery": "ask",
        "tick_s": 0.002,
        "categories": [
            {
                "name": c.name,
                "aim_s": c.aim_s,
                "deadline_s": c.deadline_s,
                "points": c.worth,
                "effect": c.effect,
                "stream": True,
            }
            for c in fleet.classes
        ],
        "policy_limits": {
            "max_attempts": limits.max_attempts,
            "cancel": True,
            "probes": False,
            "retry_after": limits.max_retry_after_s > 0,
            "max_retry_after_s": limits.max_retry_after_s,
            "connect_timeout_s": 0.5,
            "conn_idle_s": 60.0,
        },
        "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
        "tenants": [{"name": t.name, "quota_rps": t.quota_rps, "share": t.share} for t in fleet.tenants],
        "contract": {
            "drain_grace_s": 0.25,
            "cold_from": engine.cold_share,
            "ramp_time_s": engine.warm_up_s,
            "fall_multiple": engine.fall_multiple,
            "overload_for_s": engine.fall_window_s,
            "must_ask_in_s": 6.0,
        },
    }
