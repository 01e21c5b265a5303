"""The decision actor under load: other events do not wait for the decisions on new requests."""

from __future__ import annotations

import os
import time
from collections.abc import Sequence
from typing import Any

import pytest
import trio
import trio.testing
from peers import (
    Discovery,
    HttpConnection,
    ReceivedRequest,
    Router,
    ScriptedServer,
    running_router,
    trio_test,
)
from test_bad_days import raw

from sorreldock.interface import (
    AttemptEnded,
    ClientGone,
    Event,
    ListKind,
    ReplicaEntry,
    ReplicaList,
    RequestArrived,
    Status,
    TimerFired,
)
from sorreldock.routing import core as routing_core
from sorreldock.routing.mailbox import MAX_LIST_ENTRIES, DecisionMailbox
from sorreldock.routing.pace import MAX_WAIT_S, DecisionStats, waits_too_long
from sorreldock.routing.types import AttemptResult

DECISION_S = 0.02


def arrived(name: str) -> RequestArrived:
    return RequestArrived(name, "alt-text", 10.0, "", "", "", 0, 0, 0)


def slow_decisions(core: Any) -> list[Event]:
    """Make each decision on a new request take a while; return the list of events the module receives."""
    received: list[Event] = []
    handle = core._gateway.handle

    def slowly(now: float, events: Sequence[Event]) -> Any:
        received.extend(events)
        time.sleep(DECISION_S * sum(isinstance(event, RequestArrived) for event in events))
        return handle(now, events)

    core._gateway.handle = slowly
    return received


async def burst(router: Router, count: int, time_left: bytes) -> list[HttpConnection]:
    """Send `count` requests at once, so that all arrive before the first one is decided on."""
    connections = [await router.connect() for _ in range(count)]
    await trio.testing.wait_all_tasks_blocked(0.01)  # accepted
    for number, connection in enumerate(connections):
        data = raw(x_trace_id=b"t%d" % number, x_expires_in=time_left)
        assert os.write(connection.stream.socket.fileno(), data) == len(data)  # type: ignore[attr-defined]
    return connections


@trio_test
async def test_requests_that_wait_too_long_for_a_decision_are_refused_and_all_are_answered_in_time() -> None:
    server = ScriptedServer()
    durations_s: list[float] = []
    statuses: list[int] = []
    async with running_router(server) as router:
        received = slow_decisions(router.program.core)

        connections = await burst(router, 60, b"1000m")
        began = trio.current_time()

        async def read_answer(connection: Any) -> None:
            statuses.append((await connection.next()).status_code)
            durations_s.append(trio.current_time() - began)
            await connection.stream.aclose()

        async with trio.open_nursery() as nursery:
            for connection in connections:
                nursery.start_soon(read_answer, connection)
    assert len(durations_s) == 60 and set(statuses) == {200, 503}
    assert max(durations_s) < 1.0  # deciding on all of them would take 1.2 s
    assert statuses.count(503) == 60 - sum(isinstance(event, RequestArrived) for event in received)


@trio_test
async def test_drain_notices_and_disconnects_are_processed_between_slow_decisions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(routing_core, "waits_too_long", lambda waited_s, budget_s: False)
    first, second = ScriptedServer(), ScriptedServer()
    discovery = Discovery(first, second)
    async with running_router(first, second, discovery=discovery) as router:
        await discovery.watching.wait()
        core = router.program.core
        received = slow_decisions(core)
        connections = await burst(router, 30, b"5000m")
        while len(core.open_rpcs) < 30:
            await trio.sleep(0.001)
        discovery.push_states(e0="Terminating")
        last = core._mailbox._requests[-1].request
        await connections.pop(int(last[1:].partition(".")[0])).stream.aclose()
        for connection in connections:
            assert (await connection.next()).status_code == 200
            await connection.stream.aclose()
    requests = [n for n, event in enumerate(received) if isinstance(event, RequestArrived)]
    change = next(n for n, event in enumerate(received) if isinstance(event, ReplicaList))
    assert change < requests[-5]
    assert last not in {event.request for event in received if isinstance(event, RequestArrived)}


@trio_test
async def test_an_attempt_decided_in_the_same_batch_as_its_clients_disconnect_is_reported_as_ended() -> None:
    release = trio.Event()

    async def fail(request: ReceivedRequest) -> None:
        await release.wait()
        await request.answer(500)

    first, second = ScriptedServer(fail), ScriptedServer(fail)
    async with running_router(first, second) as router:
        core = router.program.core
        connection = await router.start_post()
        while not any(subchannel.in_flight for subchannel in core.subchannels.values()):
            await trio.sleep(0.001)
        [subchannel] = [s for s in core.subchannels.values() if s.in_flight]
        on_ended = subchannel._on_ended

        def end_and_disconnect(attempt: Any, result: AttemptResult, latency_s: float) -> None:
            on_ended(attempt, result, latency_s)
            core.client_gone(attempt.rpc)

        subchannel._on_ended = end_and_disconnect
        release.set()
        while core.open_rpcs:
            await trio.sleep(0.001)
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert core._gateway.all_zones.open_attempts == 0 and not core._gateway.requests
        await connection.stream.aclose()
    assert len(first.received_requests) + len(second.received_requests) == 1


def test_the_mailbox_delivers_requests_after_other_events_and_splits_long_lists() -> None:
    mailbox = DecisionMailbox()
    entries = tuple(ReplicaEntry(number, "a") for number in range(MAX_LIST_ENTRIES + 1))
    ended = AttemptEnded("r0", 0, 1, Status.OK, 0.1, True, 0, ())
    for event in (arrived("r1"), ended, ReplicaList(ListKind.FULL, entries, 3), ClientGone("r2")):
        mailbox.post(event)
    first = mailbox.take(16)
    assert first[0] is ended and isinstance(first[1], ReplicaList) and len(first) == 2
    assert (first[1].kind, len(first[1].entries)) == (ListKind.FULL, MAX_LIST_ENTRIES)
    [rest] = mailbox.take(16)
    assert isinstance(rest, ReplicaList) and (rest.kind, len(rest.entries)) == (ListKind.DELTA, 1)
    assert [type(event) for event in mailbox.take(16)] == [ClientGone]
    assert mailbox.take(16) == [arrived("r1")] and not mailbox.take(16)


def test_the_wait_for_a_decision_is_limited_to_a_share_of_the_time_budget() -> None:
    assert not waits_too_long(0.09, 0.5) and waits_too_long(0.11, 0.5)
    assert waits_too_long(MAX_WAIT_S + 0.01, 60.0)


def test_long_decisions_are_summed_up_once_a_second() -> None:
    stats = DecisionStats(0.0)
    stats.record_batch([TimerFired("late:r1:0")], 0.02)
    stats.record_batch([arrived("r1")], 0.001)
    assert stats.summary(0.5) is None
    summary = stats.summary(1.0)
    assert summary is not None and (summary["batches"], summary["long"]) == (2, 1)
    assert summary["longest_with"] == "TimerFired" and stats.summary(2.5) is None
