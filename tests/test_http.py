"""Tests of the platform's HTTP protocol with clients, servers and discovery over loopback sockets."""

from __future__ import annotations

import gc
import socket
import time
import tracemalloc
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import h11
import pytest
import trio
import trio.testing
from peers import (
    EVENTS,
    FIELDS,
    SETTINGS,
    Discovery,
    ReceivedRequest,
    ScriptedServer,
    answer_in_full,
    running_router,
    stream_until,
    trio_test,
)
from test_bad_days import all_of, raw
from test_operation import send_command

from sorreldock.interface import Status
from sorreldock.program.phases import Phase
from sorreldock.protocol import front as limits
from sorreldock.protocol import server_client
from sorreldock.protocol.http import client as http_client
from sorreldock.protocol.http import closing, freshness
from sorreldock.routing.subchannel import Attempt, Subchannel
from sorreldock.transport.connection import Connection, NoListener
from sorreldock.transport.pool import ConnectionPool

ONE = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: alt-text\r\n"
    b"X-Customer: acme\r\nX-Expires-In: 2000m\r\nContent-Length: 2\r\n\r\n{}"
)


async def refuse(request: ReceivedRequest) -> None:
    await request.answer(503, x_never_ran="1", endpoint_load_metrics="TEXT eps=0.0, queue=9")


async def fail(request: ReceivedRequest) -> None:
    await request.answer(500)


async def hang(request: ReceivedRequest) -> None:
    await request.wait_closed()


async def begin_and_reset(request: ReceivedRequest) -> None:
    await request.start(EVENTS[0])


@trio_test
async def test_requests_and_answers_are_forwarded_unchanged() -> None:
    server = ScriptedServer()
    async with running_router(server) as router:
        answer = await router.post(b'{"model":"chat"}')
    assert (answer.status, answer.body, answer.whole) == (200, b"".join(EVENTS), True)
    [request] = server.received_requests
    assert (request.head.method, request.head.target, request.body) == (
        b"POST",
        b"/v1/chat/completions?x=1",
        b'{"model":"chat"}',
    )
    assert request.headers["x-trace-id"] == FIELDS["x_trace_id"]
    assert 1e6 < int(request.headers["x-expires-in"].removesuffix("u")) < 2e6


@trio_test
async def test_unknown_fields_are_forwarded_but_hop_by_hop_fields_are_not() -> None:
    server = ScriptedServer()
    async with running_router(server) as router:
        connection = await router.connect()
        await connection.stream.send_all(
            raw(
                b"Idempotency-Key: k1",
                b"X-Note: a",
                b"X-Note: b",
                b"Connection: keep-alive, X-Hop",
                b"X-Hop: 1",
                b"TE: trailers",
            )
        )
        assert (await connection.next()).status_code == 200
    [request] = server.received_requests
    names = [name for name, _ in request.head.headers]
    assert request.headers["idempotency-key"] == "k1"
    assert [value for name, value in request.head.headers if name == b"x-note"] == [b"a", b"b"]
    assert not {b"x-hop", b"te", b"connection", b"x-qos"} & set(names)
    assert names.count(b"host") == names.count(b"content-length") == names.count(b"x-trace-id") == 1


@trio_test
async def test_events_are_forwarded_as_they_arrive() -> None:
    more = trio.Event()

    async def slowly(request: ReceivedRequest) -> None:
        await request.start(EVENTS[0])
        await more.wait()
        await request.send_events(EVENTS[1])
        await request.end()

    async with running_router(ScriptedServer(slowly)) as router:
        connection = await router.start_post()
        assert (await connection.next()).status_code == 200
        assert (await connection.next()).data == EVENTS[0]
        more.set()
        assert (await connection.next()).data == EVENTS[1]


@pytest.mark.parametrize("script, never_ran", [(refuse, True), (fail, False), (begin_and_reset, False)])
@trio_test
async def test_a_failed_attempt_is_retried_only_before_its_first_event(
    script: object, never_ran: bool
) -> None:
    first, second = ScriptedServer(), ScriptedServer()
    first.scripts, second.scripts = [script], [script]  # type: ignore[list-item]
    async with running_router(first, second) as router:
        answer = await router.post()
    if script is begin_and_reset:  # the answer has begun: no further attempt, and no last chunk
        assert (answer.status, answer.body, answer.whole) == (200, EVENTS[0], False)
        assert len(first.received_requests) + len(second.received_requests) == 1
    else:
        assert answer.status == 503 and len(first.received_requests) == len(second.received_requests) == 1
        assert max(first.max_open_requests, second.max_open_requests) == 1


@trio_test
async def test_an_rpc_that_the_decision_module_refuses_is_answered_at_once() -> None:
    async with running_router(ScriptedServer(refuse)) as router:
        began = trio.current_time()
        answer = await router.post(x_expires_in="4000m")
        assert answer.status == 503 and trio.current_time() - began < 1.0
        assert 0.0 < float(answer.headers["retry-after"]) <= 2.0


@trio_test
async def test_the_deadline_applies_until_the_first_event_only() -> None:
    async def late(request: ReceivedRequest) -> None:
        await request.start(EVENTS[0])
        await trio.sleep(0.3)  # longer than the deadline, which no longer applies
        await request.send_events(*EVENTS[1:])
        await request.end()

    async with running_router(ScriptedServer(late)) as router:
        assert (await router.post(x_expires_in="200m")).whole
    async with running_router(ScriptedServer(hang)) as router:
        began = trio.current_time()
        answer = await router.post(x_expires_in="300m")
        assert answer.status in (503, 504) and trio.current_time() - began < 0.3


@trio_test
async def test_a_disconnecting_client_cancels_its_attempt() -> None:
    left = trio.Event()

    async def until_left(request: ReceivedRequest) -> None:
        await request.start(EVENTS[0])
        await request.wait_closed()
        left.set()

    async with running_router(ScriptedServer(until_left)) as router:
        connection = await router.start_post()
        await connection.next()
        await connection.stream.aclose()
        await left.wait()


@trio_test
async def test_a_server_that_falls_silent_within_a_stream_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 0.1)

    async def silent(request: ReceivedRequest) -> None:
        await request.start(EVENTS[0])
        await request.wait_closed()

    async with running_router(ScriptedServer(silent)) as router:
        answer = await router.post()
    assert (answer.body, answer.whole) == (EVENTS[0], False)


# Guards against a stream cut off though its server, off the list or with its port closed, goes on in time.
@pytest.mark.parametrize("state", ["listed", "removed", "refusing"])
@trio_test
async def test_a_stream_that_pauses_is_not_cut_off_early_whatever_is_known_of_its_server(
    state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 1.0)

    async def pause(received: ReceivedRequest) -> None:
        await received.start(EVENTS[0])
        await trio.sleep(0.6)
        with suppress(trio.BrokenResourceError):
            await received.send_events(*EVENTS[1:])
            await received.end()

    server = ScriptedServer(pause)
    async with running_router(server) as router:
        wire = await router.start_post()
        assert (await wire.next()).status_code == 200
        [subchannel] = router.program.core.subchannels.values()
        client = subchannel.clients["http"]
        if state == "removed":
            subchannel.is_retired = True
        elif state == "refusing":
            monkeypatch.setattr(client._pool, "get", refuse_connection)  # type: ignore[attr-defined]
            assert (await client.probe()).status is Status.NO_LISTENER
        data = b""
        is_whole = True
        try:
            while not isinstance(event := await wire.next(), h11.EndOfMessage):
                data += event.data
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            is_whole = False
    assert is_whole and data == b"".join(EVENTS)


async def refuse_connection() -> None:
    raise NoListener("refused")


@trio_test
async def test_a_client_connection_is_kept_alive_between_requests() -> None:
    async with running_router(ScriptedServer()) as router:
        connection = await router.connect()
        for trace in (b"t1", b"t2", b"t3"):
            await connection.stream.send_all(ONE % trace)
            data = b""
            while not data.endswith(b"\r\n0\r\n\r\n"):
                more = await connection.stream.receive_some(4096)
                assert more
                data += more


@trio_test
async def test_connections_are_reused_but_not_near_the_servers_idle_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_client, "MIN_IDLE_S", 0.0)
    server = ScriptedServer()
    async with running_router(server) as router:
        for _ in range(3):
            await router.post()
        assert server.connections == 1
        monkeypatch.setattr(ConnectionPool, "MAX_IDLE_SHARE", 0.0)
    server = ScriptedServer()
    async with running_router(server) as router:
        await router.post()
        await router.post()
    assert server.connections == 2


@trio_test
async def test_no_new_request_is_sent_to_a_draining_server() -> None:
    first, second = ScriptedServer(), ScriptedServer()
    discovery = Discovery(first, second)
    async with running_router(first, second, discovery=discovery) as router:
        await discovery.watching.wait()
        discovery.push_states(e0="Terminating")
        while router.program.core.can_serve() and all(
            s.ready for s in router.program.core.subchannels.values()
        ):
            await trio.sleep(0.005)
        for _ in range(8):
            assert (await router.post(x_object=None)).whole
    assert (len(first.received_requests), len(second.received_requests)) == (0, 8)


@trio_test
async def test_an_attempt_that_is_still_connecting_is_not_sent_to_a_draining_server() -> None:
    with socket.socket() as stuck, socket.socket() as first, socket.socket() as second:
        stuck.bind(("127.0.0.1", 0))
        stuck.listen(0)  # the backlog is full after the first connection: later ones hang while connecting
        for filler in (first, second):
            filler.setblocking(False)
            filler.connect_ex(stuck.getsockname())
        unreachable, good = ScriptedServer(), ScriptedServer()
        unreachable.address = f"127.0.0.1:{stuck.getsockname()[1]}"
        discovery = Discovery(unreachable)
        async with (
            good.open(),
            running_router(discovery=discovery, limits={"connect_timeout_s": 60.0}) as router,
        ):
            await discovery.watching.wait()
            async with trio.open_nursery() as nursery:

                async def send_request() -> None:
                    assert (await router.post(x_expires_in="60000m")).whole

                nursery.start_soon(send_request)
                core = router.program.core
                while not any(entry.in_flight for entry in core.open_rpcs.values()):
                    await trio.sleep(0.005)
                discovery.servers = (unreachable, good)
                discovery.push_states(e0="Terminating")
    assert len(good.received_requests) == 1


@trio_test
async def test_an_attempt_is_not_sent_after_its_client_disconnected_or_its_server_began_to_drain() -> None:
    subchannel = SimpleNamespace(ready=True)
    connected = [True]
    attempt = Attempt(None, 0, subchannel, 1.0, print, lambda rpc: connected[0])  # type: ignore[arg-type]
    assert attempt.may_send()
    connected[0] = False
    assert not attempt.may_send()
    connected[0], subchannel.ready = True, False
    assert not attempt.may_send()


@trio_test
async def test_an_answer_whose_first_event_arrives_with_the_deadline_is_not_started() -> None:
    """A busy process sees both in the same step; the expired deadline would cut off the answer."""
    results: list[Any] = []

    class LateClient:
        async def run_attempt(self, rpc: Any, progress: Any) -> Any:
            time.sleep(0.02)  # blocks the whole process
            await progress.forward_events(EVENTS[0])

    target: Any = SimpleNamespace(endpoint="")
    clients: Any = {"http": LateClient()}
    subchannel = Subchannel(1, target, lambda _: clients, "http", lambda *ended: results.append(ended), print)
    attempt = Attempt(SimpleNamespace(protocol="http"), 0, subchannel, 0.01, print, lambda _: True)  # type: ignore[arg-type]
    await subchannel._run_attempt(attempt)
    assert results[0][1].status is Status.TIMEOUT and not attempt.started


@trio_test
async def test_a_disconnect_behind_pipelined_requests_is_detected_and_stops_the_attempts() -> None:
    disconnected, received = trio.Event(), trio.Event()

    async def hold(request: ReceivedRequest) -> None:
        received.set()
        await request.wait_closed()
        disconnected.set()

    server = ScriptedServer(hold)
    async with running_router(server) as router:
        connection = await router.start_post()
        await received.wait()
        await connection.stream.send_all(raw(x_trace_id=b"ahead", body=b"x" * 60_000) * 3)
        await connection.stream.aclose()  # a close behind more bytes than a connection's buffer holds
        with trio.fail_after(1.0):
            await disconnected.wait()
    assert len(server.received_requests) == 1 and router.program.payloads.used == 0


@trio_test
async def test_pipelined_requests_are_answered_in_order_and_their_timeouts_run_while_they_wait() -> None:
    finish_first, server = trio.Event(), ScriptedServer()
    server.scripts.append(stream_until(finish_first))
    async with running_router(server) as router:
        connection = await router.connect()
        requests = [raw(x_trace_id=b"%d" % n, x_expires_in=b"900m", body=b"x" * 9000) for n in range(4)]
        await connection.stream.send_all(b"".join(requests))
        await trio.testing.wait_all_tasks_blocked(0.3)  # the other requests wait meanwhile
        finish_first.set()
        data = b""
        while data.count(b"\r\n0\r\n\r\n") < 4:
            data += await connection.stream.receive_some(65536)
    timeouts_s = [int(request.headers["x-expires-in"][:-1]) / 1e6 for request in server.received_requests]
    assert (
        timeouts_s[0] > 0.8
        and all(wait < 0.65 for wait in timeouts_s[1:])
        and router.program.payloads.used == 0
    )


@trio_test
async def test_a_stopping_router_answers_pipelined_requests() -> None:
    finish, server = trio.Event(), ScriptedServer()
    server.scripts.append(stream_until(finish))
    async with running_router(server) as router:
        connection = await router.connect()
        await connection.stream.send_all(raw(x_trace_id=b"taken"))
        data = await connection.stream.receive_some(65536)  # a head without `Connection: close`
        await connection.stream.send_all(raw(x_trace_id=b"ahead"))
        for front in router.program.fronts.values():
            await front.announce_close()
            await front.drain()
        finish.set()
        while more := await connection.stream.receive_some(65536):
            data += more
            if b"connection: close" in data and data.endswith(b"\r\n0\r\n\r\n"):
                with suppress(trio.BrokenResourceError):
                    # Sent while the router closes the connection.
                    await connection.stream.send_all(raw(x_trace_id=b"late"))
    assert data.count(b"\r\n0\r\n\r\n") == 2 and data.count(b"connection: close") == 1
    assert [request.headers["x-trace-id"] for request in server.received_requests] == ["taken", "ahead"]


# Guards against pipelined requests that got no answer, since the first answer announced the close.
@pytest.mark.parametrize("end", ["sigterm", "drain"])
@trio_test
async def test_all_requests_read_before_a_stop_are_answered_and_the_last_answer_announces_the_close(
    end: str,
) -> None:
    finish, server = trio.Event(), ScriptedServer()

    async def answer_after_stop(received: ReceivedRequest) -> None:
        await finish.wait()
        await answer_in_full(received)

    server.scripts.append(answer_after_stop)
    async with running_router(server, console="127.0.0.1:0") as router:
        connection = await router.connect()
        await connection.stream.send_all(b"".join(raw(x_trace_id=name) for name in (b"t0", b"t1", b"t2")))
        while not server.received_requests:
            await trio.sleep(0.005)
        if end == "sigterm":
            router.program.lifecycle.stop_requested.set()
        else:
            await send_command(router, "drain")
        while not all(front.closing.is_announced for front in router.program.fronts.values()):
            await trio.sleep(0.005)
        finish.set()
        received = await all_of(connection.stream)
    assert received.count(b"\r\n0\r\n\r\n") == 3 and received.count(b"connection: close") == 1
    assert b"connection: close" in received[received.rindex(b"HTTP/1.1 200") :]
    assert [request.headers["x-trace-id"] for request in server.received_requests] == ["t0", "t1", "t2"]


@trio_test
async def test_a_client_that_always_sends_ahead_does_not_keep_its_connection_after_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(closing, "LAST_ARRIVALS_S", 0.2)
    async with running_router(ScriptedServer()) as router:
        connection = await router.connect()
        await connection.stream.send_all(raw(x_trace_id=b"first") + raw(x_trace_id=b"second"))
        for front in router.program.fronts.values():
            await front.announce_close()
            await front.drain()
        data, answers = b"", 0
        with trio.fail_after(2.0):
            while more := await connection.stream.receive_some(65536):
                data += more
                while data.count(b"\r\n0\r\n\r\n") > answers:
                    answers += 1
                    with suppress(trio.BrokenResourceError):
                        await connection.stream.send_all(raw(x_trace_id=b"t%d" % answers))
    assert answers > 2 and data.count(b"connection: close") == 1


# Guards against pipelined requests that got no answer, since one before them was refused with a close.
@trio_test
async def test_requests_behind_one_that_is_refused_with_a_close_are_answered() -> None:
    async with running_router(ScriptedServer()) as router:
        connection = await router.connect()
        router.program.fronts["http"].refuse_requests_from = 0.0  # as late after SIGTERM
        await connection.stream.send_all(raw(x_trace_id=b"t0") + raw(x_trace_id=b"t1"))
        received = await all_of(connection.stream)
    assert received.count(b"HTTP/1.1 503") == 2 and received.count(b"connection: close") == 1


@trio_test
async def test_a_close_by_the_peer_is_detected_without_waiting() -> None:
    router_end, peer_end = socket.socketpair()
    router_end.setblocking(False)
    connection = Connection(trio.socket.from_stdlib_socket(router_end), lambda: None)
    assert not connection.has_peer_closed()
    peer_end.send(b"ahead")
    assert not connection.has_peer_closed()
    peer_end.close()
    assert connection.has_peer_closed() and await connection.receive() == b"ahead"


@trio_test
async def test_large_requests_beyond_the_payload_budget_are_refused() -> None:
    async with running_router(ScriptedServer()) as router:
        router.program.payloads.max_used = 1000
        answer = await router.post(b"x" * 2000)
        assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        for _ in range(3):  # answered requests are no longer counted
            assert (await router.post(b"x" * 900)).whole
        assert router.program.payloads.used == 0


@trio_test
async def test_a_body_is_freed_once_its_answer_streams() -> None:
    finish, server = trio.Event(), ScriptedServer()
    server.script = stream_until(finish)
    body, count = b"x" * 250_000, 12
    async with running_router(server) as router:
        gc.collect()
        tracemalloc.start()
        try:
            connections = []
            for number in range(count):
                connection = await router.connect()
                await connection.stream.send_all(raw(x_trace_id=b"%d" % number, body=body))
                assert (await connection.next()).status_code == 200
                connections.append(connection)
            allocated = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
            finish.set()
        assert len(server.received_requests) == count and router.program.payloads.used == 0
        # The scripted server keeps each body once; a router that kept them would allocate as much again.
        assert allocated < 1.5 * count * len(body)
        for connection in connections:
            await connection.stream.aclose()


@trio_test
async def test_a_refused_or_stalled_watch_is_restarted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(freshness, "HEARTBEAT_TIMEOUT_S", 0.1)
    server = ScriptedServer()
    discovery = Discovery(server)
    discovery.watches_to_refuse = 1
    async with running_router(server, discovery=discovery):
        while discovery.watches < 3:  # the first is refused, the second stalls
            await trio.sleep(0.01)


@trio_test
async def test_a_malformed_list_ends_the_watch_but_not_the_program() -> None:
    server = ScriptedServer()
    discovery = Discovery(server)
    entry = b'{"rev":2,"targets":[{"uid":"x","endpoint":"127.0.0.1:1","az":"a","state":"Ready",%b}]}'
    discovery.malformed_lines = [
        b"[" * 100_000,
        b"\xff",
        entry % b'"capacity_hint":NaN',
        entry % b'"pod_group":1e999',
    ]
    async with running_router(
        server, discovery=discovery, contract={**SETTINGS["contract"], "must_ask_in_s": 0.2}
    ) as router:
        await discovery.watching.wait()
        assert discovery.watches == 5
        assert (await router.post()).whole


@trio_test
@pytest.mark.parametrize("how", ["ask", "push"])
async def test_an_indented_list_of_1024_servers_is_applied_completely_by_one_of_1024_routers(
    how: str,
) -> None:
    server = ScriptedServer()
    discovery = Discovery(server)
    discovery.indent = 4
    # The first is truncated, the second has a closing bracket too many.
    discovery.malformed_lines = [b'{"rev": 2,\n "targets": [{\n', b"{\n}]"]
    contract = {**SETTINGS["contract"], "must_ask_in_s": 0.2}
    if how == "push":
        del contract["must_ask_in_s"]
    async with running_router(
        server, discovery=discovery, lists=how, balancers=1024, me=1023, contract=contract
    ) as router:
        await discovery.watching.wait()
        assert discovery.watches == 3
        discovery.extra_addresses = [f"127.0.0.1:{1 + n}" for n in range(1023)]
        discovery.push_states(e7="Gone")
        while len(router.program.core.subchannels) < 1023:
            await trio.sleep(0.01)
        discovery.extra_addresses = []
        discovery.push_states()
        while len(router.program.core.subchannels) > 1:
            await trio.sleep(0.01)
        assert (await router.post()).whole


@trio_test
async def test_invalid_requests_are_answered_with_matching_statuses() -> None:
    async with running_router(ScriptedServer()) as router:
        assert (await router.send_request("GET", "/up")).status == 200
        for invalid in (
            {"x_trace_id": None},
            {"x_qos": "nothing"},
            {"x_customer": "nobody"},
            {"x_expires_in": "4s"},
            {"x_expires_in": "0m"},
            {"x_second_try": "2"},
            {"x_props": "prompt_len=many"},
        ):
            assert (await router.post(**invalid)).status == 400, invalid
        assert (await router.send_request("GET", "/nowhere")).status == 404
        rejected = await router.send_request("GET", "/v1/chat/completions")
        assert (rejected.status, rejected.headers["allow"]) == (405, "POST")
        assert (await router.post(b"x" * (256 * 1024 + 1))).status == 413
        assert (await router.post(b"x" * (256 * 1024))).status == 200
        connection = await router.connect()
        await connection.stream.send_all(b"GARBAGE\r\n\r\n")
        assert b" 400 " in await connection.stream.receive_some(100)


@trio_test
async def test_a_slow_head_or_an_unfinished_request_does_not_affect_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(limits, "HEAD_TIMEOUT_S", 0.05)
    async with running_router(ScriptedServer()) as router:
        connection = await router.connect()
        await connection.stream.send_all(b"POST /v1/chat")
        assert b" 408 " in await connection.stream.receive_some(100)
        connection = await router.connect()
        await connection.stream.send_all(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"
        )
        await connection.stream.aclose()
        assert (await router.post()).whole


@trio_test
async def test_a_slow_reader_slows_its_server_down_and_gets_the_whole_answer() -> None:
    sent = 0
    chunk = b"data: " + b"x" * 60000 + b"\n\n"

    async def flood(request: ReceivedRequest) -> None:
        nonlocal sent
        await request.start()
        for _ in range(400):
            await request.send_events(chunk)
            sent += 1
        await request.send_events(EVENTS[-1])
        await request.end()

    async with running_router(ScriptedServer(flood)) as router:
        connection = await router.start_post()
        await connection.next()
        await trio.testing.wait_all_tasks_blocked(0.1)  # until no more bytes are transferred
        assert 0 < sent < 400
        body = bytearray()
        while hasattr(event := await connection.next(), "data"):
            body += event.data
        assert body == chunk * 400 + EVENTS[-1]


@trio_test
async def test_sigterm_answers_all_accepted_requests_and_ends_the_program() -> None:
    finish = trio.Event()
    slowly = stream_until(finish)
    async with running_router(ScriptedServer(slowly)) as router:
        idle = await router.connect()
        connection = await router.start_post()
        await connection.next()
        program = router.program
        program.lifecycle.stop_requested.set()
        while program.lifecycle.phase is not Phase.LINGERING:
            await trio.sleep(0.005)
        # The router still accepts connections, but is not ready.
        assert (await router.send_request("GET", "/up")).status == 503
        late = await router.start_post(x_trace_id="late")
        while program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        assert await idle.stream.receive_some(1) == b""
        finish.set()
        for taken in (connection, late):
            body = b""
            while hasattr(event := await taken.next(), "data") or hasattr(event, "status_code"):
                body += getattr(event, "data", b"")
            assert type(event).__name__ == "EndOfMessage" and body == b"".join(EVENTS)


@trio_test
async def test_pipelined_requests_are_answered_in_order() -> None:
    server = ScriptedServer()
    async with running_router(server) as router:
        connection = await router.connect()
        await connection.stream.send_all(ONE % b"t1" + ONE % b"t2")
        data = b""
        while data.count(b"\r\n0\r\n\r\n") < 2:
            data += await connection.stream.receive_some(4096)
    assert [c.headers["x-trace-id"] for c in server.received_requests] == ["t1", "t2"]
