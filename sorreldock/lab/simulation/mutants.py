"""Mutants: known faults patched into the router, each of which the invariant checks have to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import trio

from ...interface import ReplicaState, Status
from ...program import serve
from ...protocol import server_client
from ...protocol.front import Front
from ...protocol.http.connection import ClientConnection
from ...protocol.server_client import PooledServerClient
from ...routing import core as core_module
from ...routing.core import Core
from ...routing.subchannel import Subchannel
from ...routing.types import Outcome
from ...rules import Gateway
from ...transport.ledger import AccountBudget
from ...transport.pool import ConnectionPool

Patch = tuple[Any, str, Any]


@dataclass(frozen=True, slots=True)
class Mutant:
    """A known fault, and the rule that it breaks."""

    text: str
    rule: str  # the broken rule
    patches: Callable[[], list[Patch]]


def _second_attempt() -> list[Patch]:
    start = Core._start

    def start_twice(self: Core, request: str, replica: int, timeout_s: float) -> None:
        start(self, request, replica, timeout_s)
        rpc = self.open_rpcs.get(request)
        others = [
            other for other, subchannel in self.subchannels.items() if subchannel.ready and other != replica
        ]
        if rpc is not None and rpc.in_flight == 1 and len(rpc.attempts) == 1 and others:
            rpc.in_flight = 0
            start(self, request, others[0], timeout_s)
            rpc.in_flight += 1

    return [(Core, "_start", start_twice)]


def _pool_resends() -> list[Patch]:
    call = PooledServerClient.run_attempt

    async def call_again(self: Any, rpc: Any, progress: Any) -> Any:
        report = await call(self, rpc, progress)
        if report.status is Status.RESET and not progress.started and rpc.payload is not None:
            return await call(self, rpc, progress)
        return report

    return [(PooledServerClient, "run_attempt", call_again)]


def _sends_after_drain() -> list[Patch]:
    apply_resolver_result = Core.apply_resolver_result

    def keep_ready(self: Core, result: Any) -> None:
        targets = [
            target if target.state is ReplicaState.GONE else replace(target, state=ReplicaState.READY)
            for target in result.targets
        ]
        apply_resolver_result(self, replace(result, targets=tuple(targets)))

    return [(Core, "apply_resolver_result", keep_ready)]


def _cold_overrun() -> list[Patch]:
    choose_replica = Gateway.choose_replica

    def choose_coldest(self: Gateway, request: Any) -> Any:
        cold_replicas = [
            replica
            for replica in self.all_zones
            if self.capacity_share(replica) < 1.0
            and replica not in [attempt.replica for attempt in request.attempts]
        ]
        return min(cold_replicas, key=self.capacity_share) if cold_replicas else choose_replica(self, request)

    return [(Gateway, "choose_replica", choose_coldest)]


def _lost_final() -> list[Patch]:
    finish = Core._finish

    def lose_refusals(self: Core, rpc: Any, final: Any) -> None:
        if final.outcome is Outcome.REFUSED:
            rpc.answered = True
        else:
            finish(self, rpc, final)

    return [(Core, "_finish", lose_refusals)]


def _reordered() -> list[Patch]:
    send_events = ClientConnection.send_events
    delayed_events: dict[Any, bytes] = {}

    async def swap_events(self: ClientConnection, *events: bytes) -> None:
        data = b"".join(events)
        if self.head_sent and self not in delayed_events and b"[DONE]" not in data:
            delayed_events[self] = data
            return
        await send_events(self, data + delayed_events.pop(self, b""))

    return [(ClientConnection, "send_events", swap_events)]


def _dropped() -> list[Patch]:
    send_events = ClientConnection.send_events

    async def drop_event(self: ClientConnection, *events: bytes) -> None:
        await send_events(self, *(data for data in events if b'"w2 "' not in data))

    return [(ClientConnection, "send_events", drop_event)]


def _held() -> list[Patch]:
    send_events = ClientConnection.send_events

    async def delay_event(self: ClientConnection, *events: bytes) -> None:
        await trio.sleep(0.06)
        await send_events(self, *events)

    return [(ClientConnection, "send_events", delay_event)]


def _descriptor_leak() -> list[Patch]:
    release = ConnectionPool.release

    def release_without_descriptor(self: Any, pooled: Any, is_complete: bool) -> None:
        if not is_complete:
            pooled.connection._on_close = lambda: None
        release(self, pooled, is_complete)

    return [(ConnectionPool, "release", release_without_descriptor)]


def _ends_whole() -> list[Patch]:
    conclude = ClientConnection.write_final_answer

    async def conclude_as_served(self: ClientConnection) -> None:
        if self.final is not None and self.final.outcome is Outcome.BROKEN:
            self.final = replace(self.final, outcome=Outcome.SERVED)
        await conclude(self)

    return [(ClientConnection, "write_final_answer", conclude_as_served)]


def _names_leak() -> list[Patch]:
    remove_if_complete = Core._remove_if_complete

    def keep_names(self: Core, rpc: Any) -> None:
        names = set(self._names)
        remove_if_complete(self, rpc)
        self._names |= names

    return [(Core, "_remove_if_complete", keep_names)]


def _forgotten_end() -> list[Patch]:
    return [(Core, "_report_unsent_attempt", lambda self, request, replica: None)]


def _cut_at_stop() -> list[Patch]:
    async def return_at_once(self: Any, within_s: float) -> None:
        await trio.lowlevel.checkpoint()

    return [(serve, "DRAIN_S", 0.0), (Front, "wait_closed", return_at_once)]


MUTANTS: dict[str, Mutant] = {
    "second-attempt": Mutant("a second attempt is started beside the first", "overlap", _second_attempt),
    "pool-resends": Mutant("the transport sends a request again after a reset", "resent", _pool_resends),
    "sends-after-drain": Mutant(
        "announcements that a server will end are ignored", "drain", _sends_after_drain
    ),
    "late-answer": Mutant(
        "the answer at the deadline is sent 60 ms after it",
        "in-time",
        lambda: [(core_module, "MARGIN_S", -0.06)],
    ),
    "cold-overrun": Mutant("the server with the least capacity gets all requests", "cold", _cold_overrun),
    "lost-final": Mutant("refusals are not sent to the client", "final", _lost_final),
    "reordered": Mutant("two events are swapped", "unchanged", _reordered),
    "dropped": Mutant("an event is not forwarded", "unchanged", _dropped),
    "held": Mutant("events are delayed by 60 ms", "at-once", _held),
    "ends-whole": Mutant("a broken stream ends like a complete one", "unchanged", _ends_whole),
    "descriptor-leak": Mutant("a descriptor leaks with each reset", "leak", _descriptor_leak),
    "payload-leak": Mutant(
        "memory of payloads is not released",
        "leak",
        lambda: [(AccountBudget, "release", lambda self, count: None)],
    ),
    "names-leak": Mutant("names of completed RPCs are kept", "leak", _names_leak),
    "forgotten-end": Mutant(
        "the decision module gets no report of an unsent attempt", "leak", _forgotten_end
    ),
    "no-silence-timer": Mutant(
        "the timer for silent servers never fires",
        "rest",
        lambda: [(server_client, "EVENT_GAP_TIMEOUT_S", 1e9), (server_client, "OPENING_TIME_SHARE", 1e9)],
    ),
    "keeps-idle": Mutant(
        "idle connections are not closed at the program's end",
        "leak",
        lambda: [(Subchannel, "run", Subchannel._process_orders)],
    ),
    "no-linger": Mutant(
        "new connections after SIGTERM are not accepted", "final", lambda: [(serve, "LINGER_S", 0.0)]
    ),
    "cut-at-stop": Mutant("a stopping router aborts open streams", "whole", _cut_at_stop),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Apply a mutant to the router within the context; an empty name changes nothing."""
    if not name:
        yield
        return
    patches = MUTANTS[name].patches()
    originals = [(owner, attribute, getattr(owner, attribute)) for owner, attribute, _ in patches]
    for owner, attribute, replacement in patches:
        setattr(owner, attribute, replacement)
    try:
        yield
    finally:
        for owner, attribute, original in originals:
            setattr(owner, attribute, original)
