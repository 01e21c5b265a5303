"""A crowd at the door: who makes room, as a decision and over loopback."""

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
    """A client connection as the queue sees it."""

    stage: Stage
    since: float


CANDIDATES = st.lists(st.builds(Candidate, st.sampled_from(Stage), st.floats(0.0, 10.0)), max_size=30)


@given(CANDIDATES, st.integers(1, 8))
def test_no_taken_request_goes_and_the_first_to_go_has_used_up_most(
    candidates: list[Candidate], most: int
) -> None:
    now = 10.0
    going = select_evictions(candidates, now, most)
    others = [
        g for g in candidates if g.stage is not Stage.TAKEN and now - g.since >= admission.MIN_STAGE_AGE_S
    ]
    assert len(going) <= most and bool(going) == bool(others)
    assert all(g in others for g in going)
    parts = [timeout_fraction(g, now) for g in going]
    assert parts == sorted(parts, reverse=True) and all(part >= 1.0 for part in parts[1:])
    if going:
        assert parts[0] == max(timeout_fraction(g, now) for g in others)


@given(CANDIDATES, st.integers(1, 8), st.data())
def test_the_queue_tells_the_same_as_a_look_at_all(
    candidates: list[Candidate], most: int, data: st.DataObject
) -> None:
    queue: EvictionQueue[Candidate] = EvictionQueue()
    here = list(dict.fromkeys(sorted(candidates, key=lambda candidate: candidate.since)))
    for candidate in here:
        queue.add(candidate)
    for candidate in data.draw(st.lists(st.sampled_from(here), unique=True)) if here else []:
        queue.remove(candidate)
        here.remove(candidate)
    told = [timeout_fraction(candidate, 10.0) for candidate in queue.select_evictions(10.0, most)]
    assert told == [timeout_fraction(candidate, 10.0) for candidate in select_evictions(here, 10.0, most)]


def test_who_goes_before_whom() -> None:
    now = 100.0
    slow, silent = Candidate(Stage.PARTIAL, now - 1.0), Candidate(Stage.SILENT, now - 0.4)
    idle = Candidate(Stage.IDLE, now - 1)
    stopped, fresh, taken = (
        Candidate(Stage.PARTIAL, now - 3),
        Candidate(Stage.SILENT, now),
        Candidate(Stage.TAKEN, now - 9),
    )
    candidates = [taken, fresh, slow, silent, idle, stopped]
    assert timeout_fraction(slow, now) < timeout_fraction(
        Candidate(Stage.IDLE, now - 0.1), now
    )  # nothing is lost with the idle one
    assert (
        timeout_fraction(Candidate(Stage.PARTIAL, now - STAGE_TIMEOUT_S[Stage.PARTIAL] + 0.01), now)
        < 1.0
        < timeout_fraction(stopped, now)
    )
    order = []
    while gone := select_evictions(candidates, now, 1):
        order += gone
        candidates.remove(gone[0])
    assert order == [stopped, silent, idle, slow]


async def half_sent(router: Router, part: bytes) -> HttpConnection:
    wire = await router.connect()
    await wire.stream.send_all(part)
    return wire


@trio_test
async def test_half_sent_and_idle_connections_make_room_and_taken_requests_never() -> None:
    finish, engine = trio.Event(), ScriptedServer()
    async with running_router(engine) as router:
        budget = router.program.budget
        taken = await start_streaming(router, engine, finish)
        budget.max_used[Use.CLIENT] = 12
        crowd_of = [await half_sent(router, raw()[: 20 + k]) for k in range(9)]
        idle = await router.connect()
        await idle.stream.send_all(raw())
        while b"0\r\n\r\n" not in await idle.stream.receive_some(4096):
            pass
        writer = await half_sent(router, raw()[:50])  # honest: it goes on, slowly
        while budget.used[Use.CLIENT] < 12:
            await trio.sleep(0.005)
        engine.script, newcomers = stream_until(finish), []
        for number in range(9):  # each on a connection of its own, with a stream that goes on
            newcomers.append(await router.start_post(x_trace_id=f"new-{number}"))
            assert (await newcomers[-1].next()).status_code == 200
            await writer.stream.send_all(raw()[50 + number : 51 + number])
        closed = 0  # without a word, long before the head's time is over
        for wire in crowd_of:
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


@trio_test
async def test_a_request_that_stopped_half_way_lets_go_of_its_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    async with running_router(ScriptedServer()) as router:
        payloads = router.program.payloads
        payloads.max_used = 100_000
        head = raw().replace(b"content-length: 2", b"content-length: 60000").partition(b"\r\n\r\n")[0]
        stopped = await half_sent(router, head + b"\r\n\r\n" + b"x" * 59_000)
        while payloads.used < 59_000:
            await trio.sleep(0.005)
        await trio.sleep(2 * admission.MIN_STAGE_AGE_S)  # a part of the patience that it may use up
        large = await router.post(b"y" * 70_000, x_trace_id="large")
        assert large.whole and payloads.used <= 100_000
        assert await stopped.stream.receive_some(1) == b""
        fresh = await half_sent(router, head.replace(b"t1", b"t2") + b"\r\n\r\n" + b"x" * 59_000)
        await fresh.stream.send_all(b"x" * 1000)  # with room again, it is served
        assert (await read_answer(fresh)).whole
