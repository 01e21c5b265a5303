"""A plan of faults that overlap in time, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """A kind of fault; the value is printed in the plan of a run."""

    SERVERS_FAIL = "servers_fail"  # the servers answer a share of the requests with a fault
    SERVERS_DRAIN = "servers_drain"  # some servers are withdrawn and then removed from the list
    DISCOVERY_DOWN = "discovery_down"
    LIST_CHANGES = "list_changes"  # many small changes of the server list in a row
    RESTART = "restart"  # SIGTERM, SIGKILL at the earliest time allowed, then a new process
    KILL = "kill"  # SIGKILL, then a new process
    RELOAD = "reload"  # SIGHUP, some in quick succession
    SIGNALS = "signals"  # SIGTERM several times, with SIGHUP between, then SIGKILL and a new process
    CROWD = "crowd"  # hostile clients in large numbers, only in runs with a crowd
    SUSPEND = "hold_up"  # SIGSTOP, and SIGCONT shortly after


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its start and duration in seconds, and the seed from which its targets are drawn.

    The names of the fields are keys of the printed plan.
    """

    at: float
    lasts: float
    kind: FaultKind
    seed: int


def draw_plan(
    seed: int,
    span_s: float,
    faults_per_s: float,
    has_crowd: bool = False,
    chosen: Collection[FaultKind] = (),
) -> list[PlannedFault]:
    """Draw a plan with a mean rate of `faults_per_s`; the faults may overlap in time.

    They are of the `chosen` kinds; without those, of all, a crowd only with `has_crowd`.
    """
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if has_crowd or kind is not FaultKind.CROWD]
    kinds = [kind for kind in FaultKind if kind in chosen] or kinds
    plan: list[PlannedFault] = []
    at = 1.0
    while (at := at + rng.expovariate(faults_per_s)) < span_s - 1.0:
        kind = rng.choice(kinds)
        plan.append(PlannedFault(at, rng.uniform(0.5, 4.0), kind, rng.getrandbits(32)))
    return plan
