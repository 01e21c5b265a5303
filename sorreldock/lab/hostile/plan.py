"""The pictures of the experiment and their parameters; without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

RPC_CLASS = "alt-text"
UNSAFE_CLASS = "store"
TENANT = "acme"
MODEL = "desc"
DEADLINE_S = 10.0


class Picture(Enum):
    """What the hostile clients do."""

    CALM = "calm"  # there are none
    TRICKLE = "trickle"  # write large bodies slowly, to their end
    STOP = "stop"  # stop in the middle of a large body and stay
    MANY_FIELDS = "many-fields"  # send heads of very many short fields, then half of a body
    SLOW_READERS = "slow-readers"  # read long answers of small events slowly
    LARGE_EVENTS = "large-events"  # read answers of large events slowly
    FLOOD = "flood"  # one connection each sends small requests at full speed
    UNSOUND_FLOOD = "unsound-flood"  # the same with requests that are invalid
    NEW_NAMES = "new-names"  # the same with ever new sessions and prefixes, and long time limits
    LEAVERS = "leavers"  # send many requests ahead and close at once


class Protocol(Enum):
    """The protocol of the hostile and the honest clients."""

    HTTP = "http"
    GRPC = "grpc"


@dataclass(frozen=True, slots=True)
class Plan:
    """One run; times are in seconds."""

    picture: Picture
    protocol: Protocol = Protocol.HTTP
    clients: int = 100
    memory_mb: int = 96
    sockets: int = 1024
    span_s: float = 10.0  # of the hostile clients' activity
    rest_s: float = 2.0  # of honest traffic alone before and after it
    honest_per_s: float = 10.0
    honest_timeout_s: float = 3.0
    servers: int = 6
    seed: int = 1

    @property
    def total_s(self) -> float:
        """The duration of the honest traffic."""
        return self.span_s + 2 * self.rest_s


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """How the servers answer a request whose prompt names a size."""

    first_event_s: float = 0.05
    events: int = 4
    event_bytes: int = 200
    event_interval_s: float = 0.02


def server_plan(picture: Picture) -> ServerPlan:
    """Return how the servers answer the hostile clients of a picture."""
    match picture:
        case Picture.SLOW_READERS:
            return ServerPlan(events=2400, event_bytes=1000, event_interval_s=0.0)
        case Picture.LARGE_EVENTS:
            return ServerPlan(events=24, event_bytes=100_000, event_interval_s=0.0)
        case Picture.FLOOD | Picture.UNSOUND_FLOOD | Picture.NEW_NAMES:
            return ServerPlan(first_event_s=0.0, events=1, event_interval_s=0.0)
        case _:
            return ServerPlan()


def router_settings(limits: dict[str, Any] | None = None) -> dict[str, Any]:
    """Return the settings of the router, in the platform's format."""
    rpc_class = {"aim_s": 1.0, "deadline_s": DEADLINE_S, "stream": True, "points": 1.0, "late_share": 0.5}
    return {
        "areas": ["north"],
        "zone": "north",
        "me": 0,
        "balancers": 1,
        "discovery": "ask",
        "tick_s": 0.002,
        "categories": [
            {**rpc_class, "name": RPC_CLASS, "effect": "safe"},
            {**rpc_class, "name": UNSAFE_CLASS, "effect": "unsafe"},
        ],
        "policy_limits": {
            "max_attempts": 6,
            "cancel": True,
            "probes": False,
            "retry_after": True,
            "max_retry_after_s": 2.0,
            "connect_timeout_s": 0.3,
            "conn_idle_s": 60.0,
            **(limits or {}),
        },
        "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
        "tenants": [{"name": TENANT, "quota_rps": 1000.0, "share": 1.0}],
        "contract": {
            "drain_grace_s": 0.25,
            "cold_from": 0.12,
            "ramp_time_s": 5.0,
            "fall_multiple": 2.5,
            "overload_for_s": 3.0,
            "must_ask_in_s": 10.0,
        },
    }
