"""Stories of the platform's front: clients, engines and discovery over loopback sockets."""

from __future__ import annotations

import gc
import socket
import time
import tracemalloc
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing
from peers import EVENTS, FIELDS, SETTINGS, Call, Discovery, Engine, among, serve_until, story
from test_bad_days import raw

from sorreldock.interface import Status
from sorreldock.program.phases import Phase
from sorreldock.protocol import front as limits
from sorreldock.protocol import server_client
from sorreldock.protocol.http import client as http_client
from sorreldock.protocol.http import freshness
from sorreldock.routing.subchannel import Attempt, Subchannel
from sorreldock.transport.connection import Connection
from sorreldock.transport.pool import Pool

ONE = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: alt-text\r\n"
    b"X-Customer: acme\r\nX-Expires-In: 2000m\r\nContent-Length: 2\r\n\r\n{}"
)


async def refuse(call: Call) -> None:
    await call.answer(503, x_never_ran="1", endpoint_load_metrics="TEXT eps=0.0, queue=9")


async def fail(call: Call) -> None:
    await call.answer(500)


async def hang(call: Call) -> None:
    await call.left()


async def begin_and_reset(call: Call) -> None:
    await call.start(EVENTS[0])


@story
async def test_an_answer_passes_on_unchanged_and_the_request_too() -> None:
    engine = Engine()
    async with among(engine) as router:
        got = await router.post(b'{"model":"chat"}')
    assert (got.status, got.body, got.whole) == (200, b"".join(EVENTS), True)
    [call] = engine.calls
    assert (call.head.method, call.head.target, call.body) == (
        b"POST",
        b"/v1/chat/completions?x=1",
        b'{"model":"chat"}',
    )
    assert call.headers["x-trace-id"] == FIELDS["x_trace_id"]
    assert 1e6 < int(call.headers["x-expires-in"].removesuffix("u")) < 2e6


@story
async def test_fields_that_the_router_does_not_know_pass_on_and_those_of_one_connection_do_not() -> None:
    engine = Engine()
    async with among(engine) as router:
        wire = await router.connect()
        await wire.stream.send_all(
            raw(
                b"Idempotency-Key: k1",
                b"X-Note: a",
                b"X-Note: b",
                b"Connection: keep-alive, X-Hop",
                b"X-Hop: 1",
                b"TE: trailers",
            )
        )
        assert (await wire.next()).status_code == 200
    [call] = engine.calls
    names = [name for name, _ in call.head.headers]
    assert call.headers["idempotency-key"] == "k1"
    assert [value for name, value in call.head.headers if name == b"x-note"] == [b"a", b"b"]
    assert not {b"x-hop", b"te", b"connection", b"x-qos"} & set(names)
    assert names.count(b"host") == names.count(b"content-length") == names.count(b"x-trace-id") == 1


@story
async def test_events_pass_on_as_they_come() -> None:
    more = trio.Event()

    async def slowly(call: Call) -> None:
        await call.start(EVENTS[0])
        await more.wait()
        await call.more(EVENTS[1])
        await call.end()

    async with among(Engine(slowly)) as router:
        wire = await router.start_post()
        assert (await wire.next()).status_code == 200
        assert (await wire.next()).data == EVENTS[0]
        more.set()
        assert (await wire.next()).data == EVENTS[1]


@pytest.mark.parametrize("script, never_ran", [(refuse, True), (fail, False), (begin_and_reset, False)])
@story
async def test_an_attempt_that_ends_badly(script: object, never_ran: bool) -> None:
    first, second = Engine(), Engine()
    first.scripts, second.scripts = [script], [script]  # type: ignore[list-item]
    async with among(first, second) as router:
        got = await router.post()
    if script is begin_and_reset:  # it belongs to the client: nothing more goes out, and no last chunk
        assert (got.status, got.body, got.whole) == (200, EVENTS[0], False)
        assert len(first.calls) + len(second.calls) == 1
    else:
        assert got.status == 503 and len(first.calls) == len(second.calls) == 1
        assert max(first.most_out, second.most_out) == 1


@story
async def test_an_rpc_that_the_module_gives_up_is_answered_at_once() -> None:
    async with among(Engine(refuse)) as router:
        began = trio.current_time()
        got = await router.post(x_expires_in="4000m")
        assert got.status == 503 and trio.current_time() - began < 1.0
        assert 0.0 < float(got.headers["retry-after"]) <= 2.0


@story
async def test_the_deadline_runs_until_the_first_event_and_no_longer() -> None:
    async def late(call: Call) -> None:
        await call.start(EVENTS[0])
        await trio.sleep(0.3)  # longer than the deadline that no longer runs
        await call.more(*EVENTS[1:])
        await call.end()

    async with among(Engine(late)) as router:
        assert (await router.post(x_expires_in="200m")).whole
    async with among(Engine(hang)) as router:
        began = trio.current_time()
        got = await router.post(x_expires_in="300m")
        assert got.status in (503, 504) and trio.current_time() - began < 0.3


@story
async def test_a_client_that_leaves_gives_up_its_attempt() -> None:
    left = trio.Event()

    async def until_left(call: Call) -> None:
        await call.start(EVENTS[0])
        await call.left()
        left.set()

    async with among(Engine(until_left)) as router:
        wire = await router.start_post()
        await wire.next()
        await wire.stream.aclose()
        await left.wait()


@story
async def test_an_engine_gone_silent_within_a_stream_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 0.1)

    async def silent(call: Call) -> None:
        await call.start(EVENTS[0])
        await call.left()

    async with among(Engine(silent)) as router:
        got = await router.post()
    assert (got.body, got.whole) == (EVENTS[0], False)


@story
async def test_a_client_keeps_its_connection_from_one_request_to_the_next() -> None:
    async with among(Engine()) as router:
        wire = await router.connect()
        for trace in (b"t1", b"t2", b"t3"):
            await wire.stream.send_all(ONE % trace)
            data = b""
            while not data.endswith(b"\r\n0\r\n\r\n"):
                more = await wire.stream.receive_some(4096)
                assert more
                data += more


@story
async def test_connections_are_reused_but_not_near_the_engines_idle_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_client, "MIN_IDLE_S", 0.0)
    engine = Engine()
    async with among(engine) as router:
        for _ in range(3):
            await router.post()
        assert engine.connections == 1
        monkeypatch.setattr(Pool, "REUSED_BEFORE", 0.0)
    engine = Engine()
    async with among(engine) as router:
        await router.post()
        await router.post()
    assert engine.connections == 2


@story
async def test_nothing_new_goes_to_an_engine_that_drains() -> None:
    first, second = Engine(), Engine()
    discovery = Discovery(first, second)
    async with among(first, second, discovery=discovery) as router:
        await discovery.watching.wait()
        discovery.tell(e0="Terminating")
        while router.program.core.can_serve() and all(
            s.ready for s in router.program.core.subchannels.values()
        ):
            await trio.sleep(0.005)
        for _ in range(8):
            assert (await router.post(x_object=None)).whole
    assert (len(first.calls), len(second.calls)) == (0, 8)


@story
async def test_an_attempt_that_still_dials_is_not_sent_to_an_engine_that_drains() -> None:
    with socket.socket() as stuck, socket.socket() as first, socket.socket() as second:
        stuck.bind(("127.0.0.1", 0))
        stuck.listen(0)  # the backlog is full after the first: whoever comes later hangs in its dial
        for filler in (first, second):
            filler.setblocking(False)
            filler.connect_ex(stuck.getsockname())
        hung, good = Engine(), Engine()
        hung.address = f"127.0.0.1:{stuck.getsockname()[1]}"
        discovery = Discovery(hung)
        async with good.open(), among(discovery=discovery, limits={"connect_timeout_s": 60.0}) as router:
            await discovery.watching.wait()
            async with trio.open_nursery() as nursery:

                async def ask() -> None:
                    assert (await router.post(x_expires_in="60000m")).whole

                nursery.start_soon(ask)
                core = router.program.core
                while not any(entry.in_flight for entry in core.open_rpcs.values()):
                    await trio.sleep(0.005)
                discovery.engines = (hung, good)
                discovery.tell(e0="Terminating")
    assert len(good.calls) == 1


@story
async def test_an_attempt_whose_dial_ends_after_the_drain_is_not_sent_either() -> None:
    subchannel = SimpleNamespace(ready=True)
    there = [True]
    attempt = Attempt(None, 0, subchannel, 1.0, print, lambda rpc: there[0])  # type: ignore[arg-type]
    assert attempt.may_send()
    there[0] = False  # its client has left
    assert not attempt.may_send()
    there[0], subchannel.ready = True, False
    assert not attempt.may_send()


@story
async def test_an_answer_that_begins_as_its_deadline_fires_is_not_begun() -> None:
    """A busy program reads both in the same pass: the stream would be cut off by the deadline it outlived."""
    got: list[Any] = []

    class Late:
        async def call(self, rpc: Any, progress: Any) -> Any:
            time.sleep(0.02)  # the program is busy; nothing else runs
            await progress.forward_event(EVENTS[0])

    target: Any = SimpleNamespace(endpoint="")
    clients: Any = {"http": Late()}
    subchannel = Subchannel(1, target, lambda _: clients, "http", lambda *told: got.append(told), print)
    attempt = Attempt(SimpleNamespace(protocol="http"), 0, subchannel, 0.01, print, lambda _: True)  # type: ignore[arg-type]
    await subchannel._run_attempt(attempt)
    assert got[0][1].status is Status.TIMEOUT and not attempt.started


@story
async def test_a_client_that_left_behind_all_that_it_sent_ahead_gets_no_further_attempt() -> None:
    held, taken = trio.Event(), trio.Event()

    async def hold(call: Call) -> None:
        taken.set()
        await call.left()
        held.set()

    engine = Engine(hold)
    async with among(engine) as router:
        wire = await router.start_post()
        await taken.wait()
        await wire.stream.send_all(raw(x_trace_id=b"ahead", body=b"x" * 60_000) * 3)
        await wire.stream.aclose()  # an end, behind more than a connection's ring holds
        with trio.fail_after(1.0):
            await held.wait()
    assert len(engine.calls) == 1 and router.program.payloads.used == 0


@story
async def test_commands_sent_at_once_are_answered_in_turn_and_their_clocks_run_meanwhile() -> None:
    first, engine = trio.Event(), Engine()
    engine.scripts.append(serve_until(first))
    async with among(engine) as router:
        wire = await router.connect()
        sent = [raw(x_trace_id=b"%d" % n, x_expires_in=b"900m", body=b"x" * 9000) for n in range(4)]
        await wire.stream.send_all(b"".join(sent))
        await trio.testing.wait_all_tasks_blocked(0.3)  # for so long the others wait for their turn
        first.set()
        said = b""
        while said.count(b"\r\n0\r\n\r\n") < 4:
            said += await wire.stream.receive_some(65536)
    told = [int(call.headers["x-expires-in"][:-1]) / 1e6 for call in engine.calls]
    assert told[0] > 0.8 and all(wait < 0.65 for wait in told[1:]) and router.program.payloads.used == 0


@story
async def test_what_was_sent_ahead_is_answered_by_a_router_that_was_told_to_stop() -> None:
    finish, engine = trio.Event(), Engine()
    engine.scripts.append(serve_until(finish))
    async with among(engine) as router:
        wire = await router.connect()
        await wire.stream.send_all(raw(x_trace_id=b"taken"))
        said = await wire.stream.receive_some(65536)  # its head says nothing of an end
        await wire.stream.send_all(raw(x_trace_id=b"ahead"))
        for front in router.program.fronts.values():
            await front.linger()
            await front.drain()
        finish.set()
        while more := await wire.stream.receive_some(65536):
            said += more
            if said.endswith(b"\r\n0\r\n\r\n"):
                with suppress(trio.BrokenResourceError):
                    await wire.stream.send_all(raw(x_trace_id=b"late"))  # crosses the end
    assert said.count(b"\r\n0\r\n\r\n") == 2 and said.count(b"connection: close") == 1
    assert [call.headers["x-trace-id"] for call in engine.calls] == ["taken", "ahead"]


@story
async def test_an_end_is_seen_without_waiting() -> None:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    connection = Connection(trio.socket.from_stdlib_socket(ours), lambda: None)
    assert not connection.ended()
    theirs.send(b"ahead")
    assert not connection.ended()
    theirs.close()
    assert connection.ended() and await connection.receive() == b"ahead"


@story
async def test_a_crowd_of_large_requests_is_refused_and_not_held() -> None:
    async with among(Engine()) as router:
        router.program.payloads.most = 1000
        got = await router.post(b"x" * 2000)
        assert (got.status, got.headers["retry-after"]) == (503, "1")
        for _ in range(3):  # and what was served is no longer counted
            assert (await router.post(b"x" * 900)).whole
        assert router.program.payloads.used == 0


@story
async def test_a_body_is_let_go_once_its_answer_streams() -> None:
    finish, engine = trio.Event(), Engine()
    engine.script = serve_until(finish)
    body, count = b"x" * 250_000, 12
    async with among(engine) as router:
        gc.collect()
        tracemalloc.start()
        try:
            wires = []
            for number in range(count):
                wire = await router.connect()
                await wire.stream.send_all(raw(x_trace_id=b"%d" % number, body=body))
                assert (await wire.next()).status_code == 200
                wires.append(wire)
            held = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
            finish.set()
        assert len(engine.calls) == count and router.program.payloads.used == 0
        # The scripted engine keeps each body once; a router that kept them would hold as much again.
        assert held < 1.5 * count * len(body)
        for wire in wires:
            await wire.stream.aclose()


@story
async def test_a_watch_that_is_refused_ends_or_stalls_is_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(freshness, "HEARTBEAT_TIMEOUT_S", 0.1)
    engine = Engine()
    discovery = Discovery(engine)
    discovery.refuse = 1
    async with among(engine, discovery=discovery):
        while discovery.watches < 3:  # the first is refused, the second stalls
            await trio.sleep(0.01)


@story
async def test_a_list_of_nonsense_ends_the_watch_and_not_the_program() -> None:
    engine = Engine()
    discovery = Discovery(engine)
    entry = b'{"rev":2,"targets":[{"uid":"x","endpoint":"127.0.0.1:1","az":"a","state":"Ready",%b}]}'
    discovery.nonsense = [
        b"[" * 100_000,
        b"\xff",
        entry % b'"capacity_hint":NaN',
        entry % b'"pod_group":1e999',
    ]
    async with among(
        engine, discovery=discovery, contract={**SETTINGS["contract"], "must_ask_in_s": 0.2}
    ) as router:
        await discovery.watching.wait()
        assert discovery.watches == 5
        assert (await router.post()).whole


@story
@pytest.mark.parametrize("how", ["ask", "push"])
async def test_an_indented_list_of_1024_engines_is_taken_over_whole_by_one_of_1024_routers(how: str) -> None:
    engine = Engine()
    discovery = Discovery(engine)
    discovery.indent = 4
    discovery.nonsense = [b'{"rev": 2,\n "targets": [{\n', b"{\n}]"]  # cut off; closed twice
    contract = {**SETTINGS["contract"], "must_ask_in_s": 0.2}
    if how == "push":
        del contract["must_ask_in_s"]
    async with among(
        engine, discovery=discovery, lists=how, balancers=1024, me=1023, contract=contract
    ) as router:
        await discovery.watching.wait()
        assert discovery.watches == 3
        discovery.others = [f"127.0.0.1:{1 + n}" for n in range(1023)]
        discovery.tell(e7="Gone")
        while len(router.program.core.subchannels) < 1023:
            await trio.sleep(0.01)
        discovery.others = []
        discovery.tell()
        while len(router.program.core.subchannels) > 1:
            await trio.sleep(0.01)
        assert (await router.post()).whole


@story
async def test_what_is_wrong_with_a_request_is_said() -> None:
    async with among(Engine()) as router:
        assert (await router.ask("GET", "/up")).status == 200
        for bad in (
            {"x_trace_id": None},
            {"x_qos": "nothing"},
            {"x_customer": "nobody"},
            {"x_expires_in": "4s"},
            {"x_expires_in": "0m"},
            {"x_second_try": "2"},
            {"x_props": "prompt_len=many"},
        ):
            assert (await router.post(**bad)).status == 400, bad
        assert (await router.ask("GET", "/nowhere")).status == 404
        wrong = await router.ask("GET", "/v1/chat/completions")
        assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
        assert (await router.post(b"x" * (256 * 1024 + 1))).status == 413
        assert (await router.post(b"x" * (256 * 1024))).status == 200
        wire = await router.connect()
        await wire.stream.send_all(b"GARBAGE\r\n\r\n")
        assert b" 400 " in await wire.stream.receive_some(100)


@story
async def test_a_slow_head_and_a_vanished_sender_hurt_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "HEAD_TIMEOUT_S", 0.05)
    async with among(Engine()) as router:
        wire = await router.connect()
        await wire.stream.send_all(b"POST /v1/chat")
        assert b" 408 " in await wire.stream.receive_some(100)
        wire = await router.connect()
        await wire.stream.send_all(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab"
        )
        await wire.stream.aclose()
        assert (await router.post()).whole


@story
async def test_a_slow_reader_slows_its_engine_and_loses_nothing() -> None:
    sent = 0
    chunk = b"data: " + b"x" * 60000 + b"\n\n"

    async def flood(call: Call) -> None:
        nonlocal sent
        await call.start()
        for _ in range(400):
            await call.more(chunk)
            sent += 1
        await call.end()

    async with among(Engine(flood)) as router:
        wire = await router.start_post()
        await wire.next()
        await trio.testing.wait_all_tasks_blocked(0.1)  # until nothing moves any more
        assert 0 < sent < 400
        got = bytearray()
        while hasattr(event := await wire.next(), "data"):
            got += event.data
        assert got == chunk * 400


@story
async def test_sigterm_answers_all_that_was_taken_and_ends() -> None:
    finish = trio.Event()
    slowly = serve_until(finish)
    async with among(Engine(slowly)) as router:
        idle = await router.connect()
        wire = await router.start_post()
        await wire.next()
        program = router.program
        program.lifecycle.stop_asked.set()
        while program.lifecycle.phase is not Phase.LINGERING:
            await trio.sleep(0.005)
        assert (await router.ask("GET", "/up")).status == 503  # still accepting, but no longer for work
        late = await router.start_post(x_trace_id="late")
        while program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        assert await idle.stream.receive_some(1) == b""
        finish.set()
        for taken in (wire, late):
            body = b""
            while hasattr(event := await taken.next(), "data") or hasattr(event, "status_code"):
                body += getattr(event, "data", b"")
            assert type(event).__name__ == "EndOfMessage" and body == b"".join(EVENTS)


@story
async def test_pipelined_requests_get_their_answers_in_order() -> None:
    engine = Engine()
    async with among(engine) as router:
        wire = await router.connect()
        await wire.stream.send_all(ONE % b"t1" + ONE % b"t2")
        data = b""
        while data.count(b"\r\n0\r\n\r\n") < 2:
            data += await wire.stream.receive_some(4096)
    assert [c.headers["x-trace-id"] for c in engine.calls] == ["t1", "t2"]
