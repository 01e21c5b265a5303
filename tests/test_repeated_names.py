"""Requests whose name comes again: what a server may have run and must not run twice is not sent again."""

from __future__ import annotations

import pytest
import trio
from grpc_peers import BOTH_PROTOCOLS, DualProtocolServer, Stream, grpc_client
from grpc_peers import request as grpc_request
from peers import SETTINGS, ReceivedRequest, ScriptedServer, running_router, trio_test

from sorreldock.kserve.framing import Code
from sorreldock.routing.run_history import KEPT_S, MAX_NAMES, RunHistory, name_key


def classes(effect: str) -> list[dict[str, object]]:
    return [{**entry, "effect": effect, "window_s": 1.0} for entry in SETTINGS["categories"]]


@pytest.mark.parametrize(("effect", "runs"), [("unsafe", 1), ("keyed", 1), ("safe", 2)])
@trio_test
async def test_a_name_that_comes_again_after_its_client_left_runs_twice_only_if_that_is_safe(
    effect: str, runs: int
) -> None:
    left = trio.Event()

    async def wait_for_close(received: ReceivedRequest) -> None:
        await received.wait_closed()
        left.set()

    server = ScriptedServer()
    server.scripts = [wait_for_close]
    async with running_router(server, categories=classes(effect)) as router:
        wire = await router.start_post(x_trace_id="again")
        while not server.received_requests:
            await trio.sleep(0.005)
        await wire.stream.aclose()
        await left.wait()
        await trio.sleep(0.05)
        assert (await router.post(x_trace_id="again")).status == (409 if runs == 1 else 200)
        assert (await router.post(x_trace_id="another")).whole
    assert [r.headers["x-trace-id"] for r in server.received_requests] == ["again"] * runs + ["another"]


@trio_test
async def test_a_grpc_request_id_that_comes_again_after_its_client_left_does_not_run_twice() -> None:
    left = trio.Event()

    async def wait_for_reset(stream: Stream) -> None:
        await stream.wait_until(lambda: False)
        left.set()

    server = DualProtocolServer()
    server.grpc_scripts = [wait_for_reset]
    async with running_router(server, operator=BOTH_PROTOCOLS, categories=classes("unsafe")) as router:
        fields = {"sorreldock_request_id": "again"}
        async with grpc_client(router) as client:
            await client.start("ModelInfer", grpc_request(), **fields)
            while not server.grpc_streams:
                await trio.sleep(0.005)
        await left.wait()
        async with grpc_client(router) as client:
            assert (await client.call("ModelInfer", grpc_request(), **fields))[0] == Code.ALREADY_EXISTS
            assert (await client.call("ModelInfer", grpc_request()))[0] == Code.OK
    assert len(server.grpc_streams) == 2


@trio_test
async def test_the_name_of_a_request_that_provably_never_ran_may_come_again() -> None:
    async def reject(received: ReceivedRequest) -> None:
        await received.answer(503, x_never_ran="1")

    server = ScriptedServer(reject)
    async with running_router(server, categories=classes("unsafe")) as router:
        assert (await router.post(x_trace_id="again")).status == 503
        server.script = ScriptedServer().script
        assert (await router.post(x_trace_id="again")).whole
        assert (await router.post(x_trace_id="again")).status == 409


def test_the_history_is_bounded_under_ever_new_names_and_forgets_the_oldest_first() -> None:
    history = RunHistory()
    for number in range(3 * MAX_NAMES):
        history.add(name_key("http", f"t{number}"), 1.0)
    assert len(history) == MAX_NAMES and history.keys()[0] == name_key("http", f"t{2 * MAX_NAMES}")
    last = name_key("http", f"t{3 * MAX_NAMES - 1}")
    assert history.contains(last, KEPT_S) and not history.contains(last, KEPT_S + 2.0)
    history.add(7, KEPT_S + 2.0)
    assert history.keys() == [7]
    history.discard(7)
    assert not history.contains(7, KEPT_S + 2.0) and name_key("http", "t") != name_key("kserve", "t")
