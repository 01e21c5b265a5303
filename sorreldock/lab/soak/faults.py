"""A plan of faults that overlap in time, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    """What goes wrong."""

    SERVERS_FAIL = "servers_fail"  # a share of the requests meets a fault at its server
    SERVERS_DRAIN = "servers_drain"  # some are told to end, and come back as new ones
    DISCOVERY_DOWN = "discovery_down"
    LIST_CHANGES = "list_changes"  # many small changes in a row
    RESTART = "restart"  # SIGTERM, SIGKILL as early as it may come, a new process
    KILL = "kill"  # SIGKILL, a new process
    RELOAD = "reload"  # SIGHUP, some in quick succession
    HOLD_UP = "hold_up"  # SIGSTOP for a moment


@dataclass(frozen=True, slots=True)
class Trouble:
    """One fault: when it begins and how long it lasts, in seconds; what it hits is drawn from `seed`."""

    at: float
    lasts: float
    kind: Kind
    seed: int


def draw_plan(seed: int, span_s: float, per_s: float) -> list[Trouble]:
    """Draw a plan with so many faults a second in the mean; they overlap as they come."""
    draw = random.Random(seed)
    plan: list[Trouble] = []
    at = 1.0
    while (at := at + draw.expovariate(per_s)) < span_s - 1.0:
        kind = draw.choice(list(Kind))
        plan.append(Trouble(at, draw.uniform(0.5, 4.0), kind, draw.getrandbits(32)))
    return plan
