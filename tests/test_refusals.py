"""Tests of what a router does with requests while streams hold the descriptors that its clients may use."""

from __future__ import annotations

import errno
import os
import time
from typing import Any

import pytest
import trio
import trio.testing
from grpc_peers import BOTH_PROTOCOLS, DualProtocolServer, frame_message, grpc_client
from grpc_peers import Stream as GrpcStream
from grpc_peers import answer_in_full as answer_grpc_in_full
from grpc_peers import request as grpc_request
from peers import HttpConnection, Router, ScriptedServer, read_answer, running_router, stream_until, trio_test
from test_bad_days import raw

from sorreldock.kserve.framing import Code
from sorreldock.transport.budget import DescriptorBudget, Use
from sorreldock.transport.connection import Connection

SOCKETS = 100
REFUSAL_TIMEOUT_S = 0.5
CLOCK_SLACK_S = 0.02  # of the kernel's clock of arrivals
KERNEL_WAIT_S = 0.4  # that a request spends in the kernel's buffers


async def fill_with_streams(router: Router) -> list[HttpConnection]:
    """Open as many answers as the router holds; each has begun."""
    streams = []
    for number in range(router.program.budget.max_answering):
        streams.append(await router.start_post(x_trace_id=f"stream-{number}", x_expires_in="10000m"))
        assert (await streams[-1].next()).status_code == 200
    return streams


# Guards against requests that are never answered since streams hold all descriptors: they waited unaccepted.
@trio_test
async def test_requests_beyond_the_streams_that_fit_are_refused_at_once() -> None:
    finish = trio.Event()
    async with running_router(ScriptedServer(stream_until(finish)), sockets=SOCKETS) as router:
        streams = await fill_with_streams(router)

        async def ask(number: int) -> None:
            answer = await router.post(x_trace_id=f"further-{number}")
            assert (answer.status, answer.whole) == (503, True)
            assert answer.headers["connection"] == "close" and "retry-after" in answer.headers

        with trio.fail_after(REFUSAL_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for number in range(3 * DescriptorBudget.MIN_FOR_REFUSALS):
                    nursery.start_soon(ask, number)
        finish.set()
        for stream in streams:
            while type(await stream.next()).__name__ != "EndOfMessage":
                pass
        assert (await router.post(x_trace_id="after")).status == 200


@trio_test
async def test_a_grpc_request_beyond_the_streams_that_fit_is_refused_at_once() -> None:
    finish = trio.Event()
    server = DualProtocolServer()
    server.script = stream_until(finish)
    async with running_router(server, operator=BOTH_PROTOCOLS, sockets=SOCKETS) as router:
        streams = await fill_with_streams(router)
        async with grpc_client(router) as client:
            with trio.fail_after(REFUSAL_TIMEOUT_S):
                status, _ = await client.call("ModelStreamInfer", grpc_request())
        assert status == Code.UNAVAILABLE
        finish.set()
        for stream in streams:
            while type(await stream.next()).__name__ != "EndOfMessage":
                pass


# Guards against RPCs of few gRPC connections that outnumber the descriptors for attempts, and wait for one.
@trio_test
async def test_grpc_requests_beyond_the_attempts_that_fit_are_refused_at_once() -> None:
    finish = trio.Event()

    async def answer_late(stream: GrpcStream) -> None:
        await finish.wait()
        await answer_grpc_in_full(stream)

    async with running_router(
        DualProtocolServer(answer_late), operator=BOTH_PROTOCOLS, sockets=SOCKETS
    ) as router:
        attempts = router.program.budget.max_used[Use.SERVER]
        async with grpc_client(router) as client:
            held = [
                await client.start("ModelInfer", grpc_request(name=f"held-{n}"), grpc_timeout="10S")
                for n in range(attempts)
            ]
            with trio.fail_after(REFUSAL_TIMEOUT_S):
                status, _ = await client.call("ModelInfer", grpc_request(name="further"))
            assert status == Code.UNAVAILABLE
            finish.set()
            assert [(await stream.answer())[0] for stream in held] == [Code.OK] * attempts


def test_a_part_of_the_clients_descriptors_is_kept_for_refusals() -> None:
    budget = DescriptorBudget(1024)
    assert (budget.max_used[Use.CLIENT], budget.max_answering) == (480, 420)
    budget.set_portion(16)  # beside a predecessor that holds the rest
    assert (budget.max_used[Use.CLIENT], budget.max_answering) == (8, 4)
    budget.used[Use.CLIENT] = 6
    assert not budget.can_hold_answer
    budget.evictable_counts.append(lambda: 2)
    assert budget.can_hold_answer
    budget.set_portion(20, leaving=True)  # it accepts no more clients, and serves those it has
    assert budget.max_answering == budget.max_used[Use.CLIENT] == 6


async def send_and_hold_up(stream: trio.SocketStream, data: bytes) -> None:
    """Send data that waits in the kernel, while no task of this thread and so of the program runs."""
    await trio.testing.wait_all_tasks_blocked()
    os.write(stream.socket.fileno(), data)
    time.sleep(KERNEL_WAIT_S)


# Guards against a time limit that starts only when a request is read, so that servers run it for nobody.
@trio_test
async def test_the_time_that_a_request_waits_in_the_kernel_counts() -> None:
    server = ScriptedServer()
    async with running_router(server) as router:
        wire = await router.connect()
        await send_and_hold_up(wire.stream, raw(x_expires_in=b"2000m"))
        assert (await read_answer(wire)).status == 200
    told_s = int(server.received_requests[0].headers["x-expires-in"][:-1]) / 1e6
    assert 1.0 < told_s <= 2.0 - KERNEL_WAIT_S + CLOCK_SLACK_S


@trio_test
async def test_the_time_that_a_request_waits_counts_though_a_query_of_its_socket_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failed = False

    def fail_first_query_of_age(sock: Any, *words: Any) -> Any:
        nonlocal failed
        failed = words[-1] > 1 and not failed
        if failed:
            raise OSError(errno.ENOBUFS, "no buffer space")
        return getsockopt(sock, *words)

    server = ScriptedServer()
    async with running_router(server) as router:
        wire = await router.connect()
        getsockopt = type(wire.stream.socket).getsockopt
        monkeypatch.setattr(type(wire.stream.socket), "getsockopt", fail_first_query_of_age)
        await send_and_hold_up(wire.stream, raw(x_expires_in=b"2000m"))
        assert (await read_answer(wire)).status == 200
    told_s = int(server.received_requests[0].headers["x-expires-in"][:-1]) / 1e6
    assert 1.0 < told_s <= 2.0 - KERNEL_WAIT_S + CLOCK_SLACK_S


@trio_test
async def test_the_time_that_a_grpc_request_waits_in_the_kernel_counts() -> None:
    server = DualProtocolServer()
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        assert (await client.call("ServerReady", b""))[0] == Code.OK
        call = client.create("ModelInfer", grpc_timeout="2S")
        client.endpoint.h2.send_data(call.number, frame_message(grpc_request()), end_stream=True)
        await send_and_hold_up(client.endpoint.stream, client.endpoint.h2.data_to_send())
        assert (await call.answer())[0] == Code.OK
    told = server.grpc_streams[0].headers["grpc-timeout"]
    told_s = int(told[:-1]) / {"m": 1e3, "u": 1e6}[told[-1]]
    assert 1.0 < told_s <= 2.0 - KERNEL_WAIT_S + CLOCK_SLACK_S


@trio_test
async def test_the_age_of_the_last_bytes_is_that_of_their_arrival_in_the_kernel() -> None:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = listeners[0].socket.getsockname()[:2]
    async with listeners[0] as listener, await trio.open_tcp_stream(*address) as client:
        await client.send_all(b"request")
        await trio.sleep(0.2)  # in the backlog
        accepted = await listener.accept()
        connection = Connection(accepted.socket, lambda: None)
        assert 0.15 < connection.last_arrival_age_s() < 1.0
        await client.send_all(b" and more")
        assert connection.last_arrival_age_s() < 0.15
        connection.close()
        assert connection.last_arrival_age_s() == 0.0
