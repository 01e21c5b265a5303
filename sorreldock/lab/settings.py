"""An emulated fleet, as an operator's TOML describes it (`deploy/lab/*.toml`)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]


S = TypeVar("S", bound=msgspec.Struct)


class LabError(ValueError):
    """A file or a command of the lab can't be used; the message is one plain line."""


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One kind of engine. Times in seconds, lengths in tokens; speeds are those of a warm engine."""

    kind: Name = "gpu"
    count: Count = 1
    zone: str = ""  # "": dealt out over the zones in turn
    batch: Count = 64  # requests that run at once
    queue: Annotated[int, msgspec.Meta(ge=0)] = 64  # requests that wait; one more is turned away
    memory_tokens: Count = 200_000  # of what runs and what is kept, together
    step_s: Positive = 0.012  # one token for each running request
    crowd: NotNegative = 0.5  # a full batch makes a step longer by this share
    prompt_tokens_per_s: Positive = 20_000.0
    chunk_tokens: Count = 4096  # of prompts, read within one step
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.12  # of its speed, right after its start
    warm_up_s: NotNegative = 0.0  # until it has all of it; 0: it starts warm
    fall_multiple: Positive = 2.5  # offered more than this of its present speed ...
    fall_window_s: Positive = 3.0  # ... over this time, a cold engine falls over
    slow: Positive = 1.0  # times slower than it should be
    fail_share: Share = 0.0  # of the requests, answered with an error at once
    drop_cancelled: bool = True  # a waiting request whose client has gone is dropped
    report_every_s: NotNegative = 0.2  # a load report is as old as this at most
    connections: Count = 512
    tokens_per_event: Count = 4
    output_tokens: Count = 60  # of an answer whose request does not say


class ClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A request class of a fleet's TOML."""

    name: Name
    aim_s: Positive
    deadline_s: Positive
    worth: NotNegative = 1.0


class TenantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A tenant of a fleet's TOML."""

    name: Name
    share: Share
    quota_rps: Positive = 1000.0


class DiscoverySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The discovery of a fleet's TOML."""

    late_s: NotNegative = 0.0  # what changes is told so much later
    keep_alive_s: Positive = 2.0  # an empty line on a quiet watch


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the routers in front of the fleet are told."""

    max_attempts: Count = 6
    max_retry_after_s: NotNegative = 2.0
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 192
    sockets: Annotated[int, msgspec.Meta(ge=256)] = 1024


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A whole fleet's TOML."""

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
                raise ValueError(f"{what}: a name is given twice")


def load(path: Path) -> FleetSettings:
    """The checked settings; LabError says in a line what is wrong, and where."""
    return load_as(path, FleetSettings)


def load_as(path: Path, kind: type[S]) -> S:
    """A checked TOML file, as a struct of this kind; LabError as with `load`."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise LabError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise LabError(f"{path}: {' '.join(str(error).split())}") from None


def router_settings(fleet: FleetSettings, index: int, count: int, zone: str) -> dict[str, Any]:
    """The platform's settings object for one router of this fleet."""
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
            {"name": c.name, "aim_s": c.aim_s, "deadline_s": c.deadline_s, "points": c.worth, "stream": True}
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
