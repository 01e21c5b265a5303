"""Limits on when and on which connection an attempt may be written to a server."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any

import pytest
import trio
from peers import EVENTS, SETTINGS, ReceivedRequest, ScriptedServer, answer_in_full, running_router, trio_test

from sorreldock.interface import Status
from sorreldock.program import serve as program_serve
from sorreldock.protocol.http.client import HttpServerClient
from sorreldock.routing.permissions import SCHEDULING_DELAY_S, time_to_finish_writing
from sorreldock.routing.subchannel import Attempt
from sorreldock.transport.budget import DescriptorBudget
from sorreldock.transport.connection import Connection
from sorreldock.transport.ledger import Account, MemoryLedger


@trio_test
async def test_a_late_duplicate_answer_is_not_taken_for_the_next_answer() -> None:
    """A faulty server repeats its answer after the connection has become idle."""
    send_duplicate, server = trio.Event(), ScriptedServer()

    async def answer_twice(request: ReceivedRequest) -> None:
        await answer_in_full(request)
        await send_duplicate.wait()
        await request.wire.stream.send_all(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\ndata: stolen..\n\n\r\n0\r\n\r\n"
        )

    server.scripts.append(answer_twice)
    async with running_router(server) as router:
        assert (await router.post(x_trace_id="t0")).whole
        # The first connection has not been idle long enough to be used again.
        answer = await router.post(x_trace_id="t1")
        assert answer.body == b"".join(EVENTS) and server.connections == 2
        send_duplicate.set()
        for n in range(2, 6):
            assert (await router.post(x_trace_id=f"t{n}")).body == b"".join(EVENTS)


def test_writing_stops_within_the_drain_grace_of_the_settings() -> None:
    for grace_s in (0.1, 0.25, 5.0):  # even if the process is delayed after reading its clock
        assert time_to_finish_writing(grace_s) + SCHEDULING_DELAY_S <= max(
            min(grace_s, 0.25), SCHEDULING_DELAY_S
        )
    assert time_to_finish_writing(0.25) == time_to_finish_writing(5.0) == pytest.approx(0.08)


@trio_test
async def test_an_attempt_is_not_written_after_its_latest_write_time() -> None:
    subchannel: Any = SimpleNamespace(ready=True)
    now = trio.current_time()
    for send_by, allowed in ((now - 0.001, False), (now + 60.0, True)):
        attempt = Attempt(None, 0, subchannel, 1.0, print, lambda rpc: True, send_by)  # type: ignore[arg-type]
        assert attempt.may_send() is allowed


@trio_test
async def test_a_keyed_request_is_not_repeated_after_its_deduplication_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The repeat is decided within the window, but connecting takes until after its end."""
    window_s = 0.3
    categories = [{**c, "effect": "keyed", "window_s": window_s} for c in SETTINGS["categories"]]
    dialled_at: list[float] = []
    make_dialler = program_serve.dialler

    def slow_dialler(system: Any) -> Any:
        dial = make_dialler(system)

        async def slow(address: str, timeout_s: float, on_close: Any) -> Connection:
            connection: Connection = await dial(address, timeout_s, on_close)
            if address != discovery_address:
                dialled_at.append(trio.current_time())
                if len(dialled_at) == 2:  # for the second attempt: connected only after the window
                    await trio.sleep_until(dialled_at[0] + 2 * window_s)
            return connection

        return slow

    monkeypatch.setattr(program_serve, "dialler", slow_dialler)

    async def fail(request: ReceivedRequest) -> None:
        await request.answer(500)

    first, second = ScriptedServer(fail), ScriptedServer(fail)
    discovery_address = ""
    async with running_router(first, second, categories=categories) as router:
        discovery_address = router.program.config.discovery
        dialled_at.clear()
        answer = await router.post()
    assert answer.status in (502, 503, 504) and len(dialled_at) == 2
    assert len(first.received_requests) + len(second.received_requests) == 1


@trio_test
async def test_a_refused_connection_is_reported_as_no_listener() -> None:
    events = MemoryLedger(1 << 20)[Account.EVENTS]
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"  # bound, but not listening
        closed = HttpServerClient(address, DescriptorBudget(364), 1.0, 60.0, "/alive", events)
        assert (await closed.probe()).status is Status.NO_LISTENER
        attempt: Any = SimpleNamespace()
        assert (await closed.run_attempt(attempt, attempt)).status is Status.NO_LISTENER
    nowhere = HttpServerClient("not-an-address", DescriptorBudget(364), 1.0, 60.0, "/alive", events)
    assert (await nowhere.probe()).status is Status.CONNECT_FAILED
