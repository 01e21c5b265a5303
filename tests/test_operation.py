"""Tests of the operators' console, and of the drain and the resumption that it starts."""

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


async def open_call(router: Router, data: bytes = b"") -> trio.SocketStream:
    host, port = router.program.addresses["console"].rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(data)
    return stream


async def read_all(stream: trio.SocketStream) -> str:
    received = b""
    while more := await stream.receive_some(4096):
        received += more
    return received.decode()


async def send_command(router: Router, command: str) -> str:
    return await read_all(await open_call(router, f"{command}\n".encode()))


@trio_test
async def test_a_drained_router_serves_late_requests_closes_connections_and_resumes() -> None:
    finish, server = trio.Event(), ScriptedServer()
    async with running_router(server, console="127.0.0.1:0") as router:
        assert await send_command(router, "ready") == "ok serving\n" == await send_command(router, "resume")
        assert (await router.send_request("GET", "/up")).status == 200
        idle = await router.connect()
        streaming = await start_streaming(router, server, finish)
        assert [await send_command(router, command) for command in ("drain", "ready", "drain")] == [
            "ok draining\n",
            "fail drained\n",
            "ok draining\n",
        ]
        assert (await router.send_request("GET", "/up")).status == 503
        # A request within the front's lag is served, and its answer announces the close of the connection.
        second_idle = await router.connect()
        late = await router.post(x_trace_id="late")
        assert (late.status, late.headers["connection"], late.whole) == (200, "close", True)
        assert await idle.stream.receive_some(1) == b"" == await second_idle.stream.receive_some(1)
        later = await router.post(x_trace_id="later")
        assert (later.status, later.headers["connection"], later.whole) == (200, "close", True)
        finish.set()  # requests from before the drain are answered in full
        body = b""
        while hasattr(event := await streaming.next(), "data"):
            body += event.data
        assert body == b"".join(EVENTS) and type(event).__name__ == "EndOfMessage"
        assert await streaming.stream.receive_some(1) == b""
        assert await send_command(router, "resume") == "ok serving\n"
        assert (await router.send_request("GET", "/up")).status == 200
        wire = await router.connect()
        for name in ("one", "two"):  # connections are kept alive again
            head = request("POST", "/v1/chat/completions", b"", {**FIELDS, "x_trace_id": name})
            await wire.send(head, h11.EndOfMessage())
            assert (await read_answer(wire)).whole
            wire.parser.start_next_cycle()


@trio_test
async def test_resume_within_the_lag_closes_nothing_and_sigterm_ends_a_drained_router() -> None:
    async with running_router(ScriptedServer(), console="127.0.0.1:0") as router:
        program = router.program
        await send_command(router, "drain")
        assert await send_command(router, "resume") == "ok serving\n"
        assert not any(front.closing.has_begun for front in program.fronts.values())  # type: ignore[attr-defined]
        await send_command(router, "drain")
        program.linger_s = 0.2
        program.lifecycle.stop_requested.set()
        while program.lifecycle.phase is not Phase.LINGERING:
            await trio.sleep(0.002)
        for command in ("ready", "drain", "resume"):
            assert await send_command(router, command) == "fail stopping\n"
        assert (await router.send_request("GET", "/up")).status == 503


@trio_test
async def test_each_call_is_answered_even_with_many_silent_callers(monkeypatch: pytest.MonkeyPatch) -> None:
    async with running_router(ScriptedServer(), console="127.0.0.1:0") as router:
        for data in (b"drain now\n", b"\xff\n", b"\n"):
            unknown = "fail unknown call; there are ready, drain, resume\n"
            assert await read_all(await open_call(router, data)) == unknown
        assert await read_all(await open_call(router, b"ready\r\n")) == "ok serving\n"
        assert await read_all(await open_call(router, b"x" * 5000)) == "fail a line longer than 64 bytes\n"
        silent_callers = [await open_call(router, b"rea") for _ in range(3 * console.MAX_CALLERS)]
        assert await send_command(router, "ready") == "ok serving\n"
        assert await read_all(silent_callers[0]) == "fail too many callers\n"
        await silent_callers[-1].send_all(b"dy\n")  # the newest caller is still within its timeout
        assert await read_all(silent_callers[-1]) == "ok serving\n"
        for stream in silent_callers:
            await stream.aclose()
        monkeypatch.setattr(console, "LINE_TIMEOUT_S", 0.05)
        slow_caller = await open_call(router, b"rea")
        assert await read_all(slow_caller) == "fail no whole line within 0.05 s\n"
        unfinished_caller = await open_call(router, b"ready")
        await unfinished_caller.send_eof()
        assert await read_all(unfinished_caller) == "fail a line without an end\n"


@trio_test
async def test_many_clients_cannot_lock_operators_out() -> None:
    async with running_router(ScriptedServer(), console="127.0.0.1:0", sockets=100) as router:
        budget: Any = router.program.budget
        crowd = [await router.connect() for _ in range(2 * sum(budget.max_used.values()))]
        assert sum(budget.max_used.values()) + console.DESCRIPTORS <= 100 - 100 // 6
        assert await send_command(router, "ready") == "ok serving\n"
        for wire in crowd:
            await wire.stream.aclose()
