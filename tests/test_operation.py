"""Stories of the days in operation: calls from operators, clients sent away."""

from __future__ import annotations

from typing import Any

import h11
import pytest
import trio
from peers import (
    EVENTS,
    FIELDS,
    Router,
    ScriptedServer,
    read_answer,
    request,
    running_router,
    start_streaming,
    trio_test,
)

from sorreldock.program import console
from sorreldock.program.phases import Phase


async def caller(router: Router, sent: bytes = b"") -> trio.SocketStream:
    host, port = router.program.addresses["console"].rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(sent)
    return stream


async def heard(stream: trio.SocketStream) -> str:
    said = b""
    while more := await stream.receive_some(4096):
        said += more
    return said.decode()


async def call(router: Router, word: str) -> str:
    return await heard(await caller(router, f"{word}\n".encode()))


@trio_test
async def test_a_drained_router_answers_what_comes_empties_and_serves_again() -> None:
    finish, engine = trio.Event(), ScriptedServer()
    async with running_router(engine, console="127.0.0.1:0") as router:
        assert await call(router, "ready") == "ok serving\n" == await call(router, "resume")
        assert (await router.send_request("GET", "/up")).status == 200
        idle = await router.connect()
        taken = await start_streaming(router, engine, finish)
        assert [await call(router, word) for word in ("drain", "ready", "drain")] == [
            "ok draining\n",
            "fail drained\n",
            "ok draining\n",
        ]
        assert (await router.send_request("GET", "/up")).status == 503
        # A connection of before is in use within the front's lag, and is told that it ends.
        kept = await router.connect()
        late = await router.post(x_trace_id="late")
        assert (late.status, late.headers["connection"], late.whole) == (200, "close", True)
        assert await idle.stream.receive_some(1) == b"" == await kept.stream.receive_some(1)
        later = await router.post(x_trace_id="later")
        assert (later.status, later.headers["connection"], later.whole) == (200, "close", True)
        finish.set()  # what was taken before is answered whole
        body = b""
        while hasattr(event := await taken.next(), "data"):
            body += event.data
        assert body == b"".join(EVENTS) and type(event).__name__ == "EndOfMessage"
        assert await taken.stream.receive_some(1) == b""
        assert await call(router, "resume") == "ok serving\n"
        assert (await router.send_request("GET", "/up")).status == 200
        wire = await router.connect()
        for name in ("one", "two"):  # connections are kept again
            head = request("POST", "/v1/chat/completions", b"", {**FIELDS, "x_trace_id": name})
            await wire.send(head, h11.EndOfMessage())
            assert (await read_answer(wire)).whole
            wire.parser.start_next_cycle()


@trio_test
async def test_a_call_back_within_the_lag_closes_nothing_and_sigterm_ends_a_drained_router() -> None:
    async with running_router(ScriptedServer(), console="127.0.0.1:0") as router:
        program = router.program
        await call(router, "drain")
        assert await call(router, "resume") == "ok serving\n"
        assert not any(front.closing for front in program.fronts.values())  # type: ignore[attr-defined]
        await call(router, "drain")
        program.linger_s = 0.2
        program.lifecycle.stop_requested.set()
        while program.lifecycle.phase is not Phase.LINGERING:
            await trio.sleep(0.002)
        for word in ("ready", "drain", "resume"):
            assert await call(router, word) == "fail stopping\n"
        assert (await router.send_request("GET", "/up")).status == 503


@trio_test
async def test_each_call_gets_a_line_and_silent_ones_cost_none(monkeypatch: pytest.MonkeyPatch) -> None:
    async with running_router(ScriptedServer(), console="127.0.0.1:0") as router:
        for sent in (b"drain now\n", b"\xff\n", b"\n"):
            unknown = "fail unknown call; there are ready, drain, resume\n"
            assert await heard(await caller(router, sent)) == unknown
        assert await heard(await caller(router, b"ready\r\n")) == "ok serving\n"
        assert await heard(await caller(router, b"x" * 5000)) == "fail a line longer than 64 bytes\n"
        crowd = [await caller(router, b"rea") for _ in range(3 * console.MOST_CALLERS)]
        assert await call(router, "ready") == "ok serving\n"
        assert await heard(crowd[0]) == "fail too many callers\n"
        await crowd[-1].send_all(b"dy\n")  # the last to come still has its time
        assert await heard(crowd[-1]) == "ok serving\n"
        for stream in crowd:
            await stream.aclose()
        monkeypatch.setattr(console, "LINE_S", 0.05)
        slow = await caller(router, b"rea")
        assert await heard(slow) == "fail no whole line within 0.05 s\n"
        ended = await caller(router, b"ready")
        await ended.send_eof()
        assert await heard(ended) == "fail a line without an end\n"


@trio_test
async def test_a_crowd_of_clients_cannot_shut_the_operators_out() -> None:
    async with running_router(ScriptedServer(), console="127.0.0.1:0", sockets=100) as router:
        budget: Any = router.program.budget
        crowd = [await router.connect() for _ in range(2 * sum(budget.max_used.values()))]
        assert sum(budget.max_used.values()) + console.DESCRIPTORS <= 100 - 100 // 6
        assert await call(router, "ready") == "ok serving\n"
        for wire in crowd:
            await wire.stream.aclose()
