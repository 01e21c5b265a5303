"""Known mistakes, put in from outside the router: the oracles must find each of them."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import trio

from ...interface import ReplicaState, Status
from ...program import serve
from ...protocol import server_client
from ...protocol.front import Front
from ...protocol.http.front import ClientConnection
from ...protocol.server_client import PooledServerClient
from ...routing import core as core_module
from ...routing.core import Core
from ...routing.subchannel import Subchannel
from ...routing.types import Outcome
from ...rules import Gateway
from ...transport.budget import PayloadBudget
from ...transport.pool import ConnectionPool
from .explore import ScenarioResult, explore_scenario
from .scenario import draw

Patch = tuple[Any, str, Any]


@dataclass(frozen=True, slots=True)
class Mutant:
    """A known mistake, and the rule that it breaks."""

    text: str
    rule: str  # that it breaks
    patches: Callable[[], list[Patch]]


def _second_attempt() -> list[Patch]:
    start = Core._start

    def both(self: Core, request: str, replica: int, timeout_s: float) -> None:
        start(self, request, replica, timeout_s)
        entry = self.open_rpcs.get(request)
        others = [n for n, s in self.subchannels.items() if s.ready and n != replica]
        if entry is not None and entry.in_flight == 1 and len(entry.attempts) == 1 and others:
            entry.in_flight = 0
            start(self, request, others[0], timeout_s)
            entry.in_flight += 1

    return [(Core, "_start", both)]


def _pool_resends() -> list[Patch]:
    call = PooledServerClient.call

    async def again(self: Any, rpc: Any, progress: Any) -> Any:
        report = await call(self, rpc, progress)
        if report.status is Status.RESET and not progress.started and rpc.payload is not None:
            return await call(self, rpc, progress)
        return report

    return [(PooledServerClient, "call", again)]


def _sends_after_drain() -> list[Patch]:
    apply_resolver_result = Core.apply_resolver_result

    def ready(self: Core, result: Any) -> None:
        targets = [
            t if t.state is ReplicaState.GONE else replace(t, state=ReplicaState.READY)
            for t in result.targets
        ]
        apply_resolver_result(self, replace(result, targets=tuple(targets)))

    return [(Core, "apply_resolver_result", ready)]


def _cold_overrun() -> list[Patch]:
    choose_replica = Gateway.choose_replica

    def coldest(self: Gateway, request: Any) -> Any:
        cold = [
            r
            for r in self.all_zones
            if self.capacity_share(r) < 1.0 and r not in [a.replica for a in request.attempts]
        ]
        return min(cold, key=self.capacity_share) if cold else choose_replica(self, request)

    return [(Gateway, "choose_replica", coldest)]


def _lost_final() -> list[Patch]:
    finish = Core._finish

    def loses(self: Core, entry: Any, final: Any) -> None:
        if final.outcome is Outcome.REFUSED:
            entry.answered = True
        else:
            finish(self, entry, final)

    return [(Core, "_finish", loses)]


def _reordered() -> list[Patch]:
    event = ClientConnection.send_event
    held: dict[Any, bytes] = {}

    async def swaps(self: ClientConnection, data: bytes) -> None:
        if self.head_sent and self not in held and b"[DONE]" not in data:
            held[self] = data
            return
        await event(self, data + held.pop(self, b""))

    return [(ClientConnection, "send_event", swaps)]


def _dropped() -> list[Patch]:
    event = ClientConnection.send_event

    async def drops(self: ClientConnection, data: bytes) -> None:
        if b'"w2 "' not in data:
            await event(self, data)

    return [(ClientConnection, "send_event", drops)]


def _held() -> list[Patch]:
    event = ClientConnection.send_event

    async def later(self: ClientConnection, data: bytes) -> None:
        await trio.sleep(0.06)
        await event(self, data)

    return [(ClientConnection, "send_event", later)]


def _descriptor_leak() -> list[Patch]:
    release = ConnectionPool.release

    def leaks(self: Any, line: Any, whole: bool) -> None:
        if not whole:
            line.connection._on_close = lambda: None
        release(self, line, whole)

    return [(ConnectionPool, "release", leaks)]


def _ends_whole() -> list[Patch]:
    conclude = ClientConnection.conclude

    async def whole(self: ClientConnection) -> None:
        if self.final is not None and self.final.outcome is Outcome.BROKEN:
            self.final = replace(self.final, outcome=Outcome.SERVED)
        await conclude(self)

    return [(ClientConnection, "conclude", whole)]


def _names_leak() -> list[Patch]:
    forget = Core._remove_if_complete

    def keeps(self: Core, entry: Any) -> None:
        names = set(self._names)
        forget(self, entry)
        self._names |= names

    return [(Core, "_remove_if_complete", keeps)]


def _forgotten_end() -> list[Patch]:
    return [(Core, "_report_unsent_attempt", lambda self, request, replica: None)]


def _cut_at_stop() -> list[Patch]:
    async def at_once(self: Any, within_s: float) -> None:
        await trio.lowlevel.checkpoint()

    return [(serve, "DRAIN_S", 0.0), (Front, "wait_closed", at_once)]


MUTANTS: dict[str, Mutant] = {
    "second-attempt": Mutant("a second attempt at once, beside the first", "overlap", _second_attempt),
    "pool-resends": Mutant("the transport sends a request again after a reset", "resent", _pool_resends),
    "sends-after-drain": Mutant(
        "notices that an engine will end are not heeded", "drain", _sends_after_drain
    ),
    "late-answer": Mutant(
        "the deadline's answer comes 60 ms after it", "in-time", lambda: [(core_module, "MARGIN_S", -0.06)]
    ),
    "cold-overrun": Mutant("the coldest engine gets all requests", "cold", _cold_overrun),
    "lost-final": Mutant("a refusal never reaches the client", "final", _lost_final),
    "reordered": Mutant("two events change places", "unchanged", _reordered),
    "dropped": Mutant("an event is left out", "unchanged", _dropped),
    "held": Mutant("events wait 60 ms", "at-once", _held),
    "ends-whole": Mutant("a broken stream ends as if it were whole", "unchanged", _ends_whole),
    "descriptor-leak": Mutant("a descriptor is lost with each reset", "leak", _descriptor_leak),
    "payload-leak": Mutant(
        "payloads are not given back",
        "leak",
        lambda: [(PayloadBudget, "release", lambda self, count: None)],
    ),
    "names-leak": Mutant("names of ended RPCs are kept", "leak", _names_leak),
    "forgotten-end": Mutant("the module does not hear of an attempt not made", "leak", _forgotten_end),
    "no-silence-timer": Mutant(
        "the timer for engines that go silent never fires",
        "rest",
        lambda: [(server_client, "EVENT_GAP_TIMEOUT_S", 1e9), (server_client, "FIRST_EVENT_TIMEOUT_S", 1e9)],
    ),
    "keeps-idle": Mutant(
        "idle connections outlive the program's end",
        "leak",
        lambda: [(Subchannel, "run", Subchannel._process_orders)],
    ),
    "no-linger": Mutant("newcomers after SIGTERM are not taken", "final", lambda: [(serve, "LINGER_S", 0.0)]),
    "cut-at-stop": Mutant("a stopping router cuts what still streams", "whole", _cut_at_stop),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """The router with this mistake in it; with no name, as it is."""
    if not name:
        yield
        return
    patches = MUTANTS[name].patches()
    were = [(place, attribute, getattr(place, attribute)) for place, attribute, _ in patches]
    for place, attribute, made in patches:
        setattr(place, attribute, made)
    try:
        yield
    finally:
        for place, attribute, was in were:
            setattr(place, attribute, was)


@dataclass(frozen=True, slots=True)
class Finding:
    """After how many seeds a mutant was found."""

    mutant: str
    seeds: int | None  # played until the first violation; None: not found
    seed: int | None
    rule: str
    text: str


def find(name: str, seeds: range) -> Finding:
    """Play these seeds against a mutant, until the rule that it breaks is seen broken."""
    with mutated(name):
        for count, seed in enumerate(seeds, 1):
            explored: ScenarioResult = explore_scenario(draw(seed))
            for violation in explored.violations:
                if violation["rule"] == MUTANTS[name].rule:
                    return Finding(name, count, seed, violation["rule"], violation["text"])
    return Finding(name, None, None, "", "")


def find_all(names: Sequence[str], seeds: range, jobs: int) -> list[Finding]:
    """Each in a process of its own, `jobs` at once."""
    if jobs == 1 or len(names) == 1:
        return [find(name, seeds) for name in names]
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(find, names, [seeds] * len(names)))
