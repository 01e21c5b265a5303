"""Settings, events and gateways for the tests of the decisions."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from sorreldock.interface import (
    Action,
    AttemptEnded,
    DedupScope,
    Effect,
    Guarantees,
    Limits,
    ListKind,
    Prices,
    ReplicaEntry,
    ReplicaList,
    ReplicaState,
    RequestArrived,
    RequestClass,
    Settings,
    StartAttempt,
    Status,
)
from sorreldock.rules import Gateway

SAFE = RequestClass("safe", aim_s=1.0, deadline_s=5.0, streamed=True, aim_s_per_1k_tokens=0.03)
UNSAFE = RequestClass("unsafe", aim_s=1.0, deadline_s=5.0, effect=Effect.UNSAFE)
KEYED = {
    scope: RequestClass(
        f"keyed-{scope.value}", 1.0, 5.0, effect=Effect.KEYED, dedup_scope=scope, dedup_window_s=2.0
    )
    for scope in DedupScope
}
GUARANTEES = Guarantees(
    drain_grace_s=1.0,
    cold_share=0.2,
    warm_up_s=20.0,
    overload_multiple=3.0,
    overload_window_s=2.0,
    answer_slack_s=0.02,
    list_max_age_s=10.0,
)
START = 1000.0


def settings(**changes: object) -> Settings:
    base = Settings(
        zone="a",
        zones=("a", "b"),
        gateway=0,
        gateways=4,
        classes=(SAFE, UNSAFE, *KEYED.values()),
        limits=Limits(max_attempts=3, cancel=True, parallel_attempts=True),
        prices=Prices(probe=0.002, cross_zone=0.05),
        guarantees=GUARANTEES,
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


def replica_entry(
    replica: int,
    zone: str = "a",
    cell: int = 0,
    started_at: float = 0.0,
    weight: float = 1.0,
    state: ReplicaState = ReplicaState.READY,
) -> ReplicaEntry:
    return ReplicaEntry(replica, zone, cell, weight, state, started_at)


def replica_list(*entries: ReplicaEntry, kind: ListKind = ListKind.CACHED) -> ReplicaList:
    return ReplicaList(kind, entries, 1)


def fleet(n: int = 4, zone: str = "a") -> list[ReplicaEntry]:
    return [replica_entry(i + 1, zone, cell=i // 2) for i in range(n)]


def make_gateway(entries: Iterable[ReplicaEntry] | None = None, seed: int = 1, **changes: object) -> Gateway:
    gateway = Gateway(settings(**changes), seed)
    gateway.handle(START, [replica_list(*(fleet() if entries is None else entries))])
    return gateway


def arrival(
    name: str,
    session: str = "",
    prefix: str = "",
    cls: RequestClass = SAFE,
    now: float = START,
    tenant: str = "",
) -> RequestArrived:
    return RequestArrived(
        name,
        cls.name,
        now + cls.deadline_s,
        session or name,
        prefix,
        tenant,
        prompt_tokens=1000,
        prefix_tokens=0,
    )


def started_attempts(actions: Iterable[Action]) -> list[StartAttempt]:
    return [a for a in actions if isinstance(a, StartAttempt)]


def chosen_replicas(
    gateway: Gateway, keys: Iterable[str], now: float = START, prefix: bool = False
) -> dict[str, int]:
    """Return the replica that each key maps to, found with one request each, one after the other."""
    chosen = {}
    for key in keys:
        request = arrival(f"q-{key}-{now}", session=key, prefix=key if prefix else "", now=now)
        for action in started_attempts(gateway.handle(now, [request])):
            chosen[key] = action.replica
            gateway.handle(
                now, [AttemptEnded(action.request, 0, action.replica, Status.CANCELLED, 0.0, True)]
            )
    return chosen
