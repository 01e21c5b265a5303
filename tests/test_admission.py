"""Evictions when there are more client connections than descriptors: the decision, and over loopback."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from peers import (
    EVENTS,
    HttpConnection,
    Router,
    ScriptedServer,
    read_answer,
    running_router,
    start_streaming,
    stream_until,
    trio_test,
)
from test_bad_days import raw

from sorreldock.protocol import partial_requests
from sorreldock.transport import admission
from sorreldock.transport.admission import (
    STAGE_TIMEOUT_S,
    EvictionQueue,
    Stage,
    select_evictions,
    timeout_fraction,
)
from sorreldock.transport.budget import Use


@dataclass(frozen=True)
class Candidate:
    """The properties of a client connection that the decision uses."""

    stage: Stage
    since: float


CANDIDATES = st.lists(st.builds(Candidate, st.sampled_from(Stage), st.floats(0.0, 10.0)), max_size=30)


@given(CANDIDATES, st.integers(1, 8))
def test_no_taken_request_is_evicted_and_the_first_eviction_ranks_highest(
    candidates: list[Candidate], max_count: int
) -> None:
    now = 10.0
    evicted = select_evictions(candidates, now, max_count)
    others = [
        g for g in candidates if g.stage is not Stage.ANSWERING and now - g.since >= admission.MIN_STAGE_AGE_S
    ]
    assert len(evicted) <= max_count and bool(evicted) == bool(others)
    assert all(g in others for g in evicted)
    fractions = [timeout_fraction(g, now) for g in evicted]
    assert fractions == sorted(fractions, reverse=True) and all(fraction >= 1.0 for fraction in fractions[1:])
    if evicted:
        assert fractions[0] == max(timeout_fraction(g, now) for g in others)


@given(CANDIDATES, st.integers(1, 8), st.data())
def test_the_queue_selects_the_same_as_ranking_all_connections(
    candidates: list[Candidate], max_count: int, data: st.DataObject
) -> None:
    queue: EvictionQueue[Candidate] = EvictionQueue()
    queued = list(dict.fromkeys(sorted(candidates, key=lambda candidate: candidate.since)))
    for candidate in queued:
        queue.add(candidate)
    for candidate in data.draw(st.lists(st.sampled_from(queued), unique=True)) if queued else []:
        queue.remove(candidate)
        queued.remove(candidate)
    selected = [timeout_fraction(candidate, 10.0) for candidate in queue.select_evictions(10.0, max_count)]
    assert selected == [
        timeout_fraction(candidate, 10.0) for candidate in select_evictions(queued, 10.0, max_count)
    ]


def test_the_order_of_evictions() -> None:
    now = 100.0
    slow, silent = Candidate(Stage.PARTIAL, now - 1.0), Candidate(Stage.SILENT, now - 0.4)
    idle = Candidate(Stage.IDLE, now - 1)
    stopped, fresh, taken = (
        Candidate(Stage.PARTIAL, now - 3),
        Candidate(Stage.SILENT, now),
        Candidate(Stage.ANSWERING, now - 9),
    )
    candidates = [taken, fresh, slow, silent, idle, stopped]
    # An idle connection ranks before a slow partial request, since closing it loses nothing.
    assert timeout_fraction(slow, now) < timeout_fraction(Candidate(Stage.IDLE, now - 0.1), now)
    assert (
        timeout_fraction(Candidate(Stage.PARTIAL, now - STAGE_TIMEOUT_S[Stage.PARTIAL] + 0.01), now)
        < 1.0
        < timeout_fraction(stopped, now)
    )
    order = []
    while evicted := select_evictions(candidates, now, 1):
        order += evicted
        candidates.remove(evicted[0])
    assert order == [stopped, silent, idle, slow]


async def send_partial_request(router: Router, part: bytes) -> HttpConnection:
    wire = await router.connect()
    await wire.stream.send_all(part)
    return wire


@trio_test
async def test_partial_and_idle_connections_are_evicted_and_taken_requests_never() -> None:
    finish, server = trio.Event(), ScriptedServer()
    async with running_router(server) as router:
        budget = router.program.budget
        taken = await start_streaming(router, server, finish)
        budget.max_used[Use.CLIENT] = 12
        partial_connections = [await send_partial_request(router, raw()[: 20 + k]) for k in range(9)]
        idle = await router.connect()
        await idle.stream.send_all(raw())
        while b"0\r\n\r\n" not in await idle.stream.receive_some(4096):
            pass
        writer = await send_partial_request(router, raw()[:50])  # a legitimate client that continues slowly
        while budget.used[Use.CLIENT] < 12:
            await trio.sleep(0.005)
        server.script, new_streams = stream_until(finish), []
        for number in range(9):  # each on its own connection, with an open stream
            new_streams.append(await router.start_post(x_trace_id=f"new-{number}"))
            assert (await new_streams[-1].next()).status_code == 200
            await writer.stream.send_all(raw()[50 + number : 51 + number])
        closed = 0  # without an answer, long before the time limit for a head
        for wire in partial_connections:
            with trio.move_on_after(0.1):
                try:
                    closed += await wire.stream.receive_some(99) == b""
                except trio.BrokenResourceError:
                    closed += 1
        assert closed >= 8
        await writer.stream.send_all(raw()[59:])
        finish.set()
        assert (await read_answer(writer)).whole
        while type(event := await taken.next()).__name__ != "EndOfMessage":
            assert event.data in EVENTS


@pytest.mark.parametrize("goes_on", [False, True])
@trio_test
async def test_a_slow_partial_request_is_refused_when_memory_is_short_and_a_regular_one_is_not(
    goes_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(partial_requests, "MIN_TIME_S", 30.0 if goes_on else 0.1)
    async with running_router(ScriptedServer()) as router:
        payloads = router.program.payloads
        payloads.max_used = 100_000
        head = raw().replace(b"content-length: 2", b"content-length: 60000").partition(b"\r\n\r\n")[0]
        first = await send_partial_request(router, head + b"\r\n\r\n" + b"x" * 59_000)
        while payloads.used < 59_000:
            await trio.sleep(0.005)
        await trio.sleep(0.15)  # long enough for a small limit
        large = await router.post(b"y" * 70_000, x_trace_id="large")
        assert (large.status, large.whole) == (503 if goes_on else 200, True) and payloads.used <= 100_000
        await first.stream.send_all(b"x" * 1000)
        answer = await read_answer(first)
        assert (answer.status, answer.whole) == (200 if goes_on else 503, True)
        fresh = await send_partial_request(router, head.replace(b"t1", b"t2") + b"\r\n\r\n" + b"x" * 59_000)
        await fresh.stream.send_all(b"x" * 1000)  # memory is available again, so it is served
        assert (await read_answer(fresh)).whole
        assert payloads.used == 0
