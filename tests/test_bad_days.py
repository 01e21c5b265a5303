"""Stories of bad clients and bad engines, on both fronts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
from grpc_peers import BOTH, SharedEngine, Stream, framed, grpc_client, piece
from grpc_peers import request as grpc_request
from peers import EVENTS, FIELDS, ReceivedRequest, ScriptedServer, request, running_router, trio_test
from test_parts import Recorder

from sorreldock.interface import AttemptEnded, Status
from sorreldock.kserve.framing import Code
from sorreldock.protocol import front as limits
from sorreldock.protocol import server_client
from sorreldock.protocol.http.client import EventSplitter
from sorreldock.transport import admission
from sorreldock.transport.budget import Use

HEAD = request("POST", "/v1/chat/completions", b"", FIELDS)
CHUNKED = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def raw(*extra: bytes, body: bytes = b"{}", length: bytes | None = None, **changes: bytes | None) -> bytes:
    """A request as it is on the wire, with fields that h11 would not write."""
    fields = {k.replace("_", "-").encode(): (v or "").encode() for k, v in FIELDS.items()}
    fields |= {k.replace("_", "-").encode(): v for k, v in changes.items()}  # type: ignore[misc]
    lines = [b"POST /v1/chat/completions HTTP/1.1", b"host: x"]
    lines += [k + b": " + v for k, v in fields.items() if v is not None]
    lines += [b"content-length: " + (length or str(len(body)).encode()), *extra]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def all_of(stream: Any) -> bytes:
    data = b""
    while more := await stream.receive_some(65536):
        data += more
    return data


HIDDEN = b"5\r\n{..}\n\r\n0\r\n\r\n" + raw(x_trace_id=b"hidden")


@pytest.mark.parametrize(
    "sent",
    [
        raw(b"transfer-encoding: chunked", body=HIDDEN),
        raw(b"transfer-encoding: chunked", body=HIDDEN, length=b"5"),
        raw(b"x-trace-id: another"),
        raw(b"x-qos: title-suggest"),
        raw(b"x-expires-in: 1m"),
        raw(length=b"-1"),
        raw(length=b"9" * 30),
        raw(length=b"2, 3"),
        raw(length=b"two"),
        raw(x_expires_in=b"99999999999m"),
        raw(x_expires_in=b"soon"),
        raw(x_qos=b"nothing", length=b"99"),  # heard at once, though the body is short
        raw(x_trace_id=None),
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
        b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 10_000,
    ],
)
@trio_test
async def test_what_can_be_read_in_two_ways_or_none_is_answered_and_nothing_passes_on(sent: bytes) -> None:
    engine = ScriptedServer()
    async with running_router(engine) as router:
        wire = await router.connect()
        await wire.stream.send_all(sent + raw(x_trace_id=b"behind"))
        began = trio.current_time()
        said = await all_of(wire.stream)
        assert said.startswith(b"HTTP/1.1 4") and said.count(b"HTTP/1.1") == 1
        assert trio.current_time() - began < 0.5
        assert b"connection: close" in said.lower() and not engine.received_requests
        await wire.stream.aclose()


@trio_test
async def test_an_error_is_read_though_megabytes_are_still_coming() -> None:
    async with running_router(ScriptedServer()) as router:
        for head in (raw(body=b"", length=b"8000000"), raw(b"transfer-encoding: chunked", body=b"")):
            wire = await router.connect()
            if b"chunked" in head:
                head = head.replace(b"content-length: 0\r\n", b"") + b"7a1200\r\n"
            await wire.stream.send_all(head + b"x" * 8_000_000)  # all, and only then a look
            assert b" 413 " in await all_of(wire.stream)
            await wire.stream.aclose()


@pytest.mark.parametrize(
    "begun", [b"", b"POST /v1/chat", raw(length=b"90"), raw(x_trace_id=None, length=b"90")]
)
@trio_test
async def test_a_client_that_stops_halfway_is_let_go(begun: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "HEAD_TIMEOUT_S", 0.1)
    monkeypatch.setattr(limits, "STALL_TIMEOUT_S", 0.1)
    async with running_router(ScriptedServer()) as router:
        wire = await router.connect()
        if begun:
            await wire.stream.send_all(begun)
        with trio.fail_after(2):
            said = await all_of(wire.stream)
        assert said.startswith(b"HTTP/1.1 40" if begun else b"")


@trio_test
async def test_a_body_on_a_slow_link_may_take_longer_than_a_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "STALL_TIMEOUT_S", 0.3)
    engine = ScriptedServer()
    async with running_router(engine) as router:
        wire = await router.connect()
        sent = raw(body=b"x" * 8)
        await wire.stream.send_all(sent[:-8])
        for at in range(8):
            await trio.sleep(0.06)
            await wire.stream.send_all(sent[at - 8 : at - 7 or None])
        assert (await wire.next()).status_code == 200 and engine.received_requests[0].body == b"x" * 8


@trio_test
async def test_the_id_of_an_open_request_is_refused_and_the_first_is_unharmed() -> None:
    go_on = trio.Event()

    async def slowly(call: ReceivedRequest) -> None:
        await call.start(EVENTS[0])
        await go_on.wait()
        await call.send_events(*EVENTS[1:])
        await call.end()

    engine = ScriptedServer(slowly)
    async with running_router(engine) as router:
        first = await router.start_post()
        await first.next()
        assert (await router.post()).status == 409
        go_on.set()
        assert [(await first.next()).data for _ in EVENTS] == EVENTS and len(engine.received_requests) == 1
        assert (await router.post()).whole  # a name is free again once its request is over


@trio_test
async def test_silent_clients_make_room_before_usual_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admission, "MIN_STAGE_AGE_S", 0.0)
    async with running_router(ScriptedServer()) as router:
        usual = await router.connect()
        await usual.stream.send_all(raw())
        while b"0\r\n\r\n" not in await usual.stream.receive_some(4096):
            pass
        router.program.budget.max_used[Use.CLIENT] = 8
        silent = [await router.connect() for _ in range(7)]
        while router.program.budget.used[Use.CLIENT] < 8:
            await trio.sleep(0.01)
        for _ in range(5):
            assert (await router.post()).whole
        await usual.stream.send_all(raw())  # older than all of them, and still there
        assert b"HTTP/1.1 200" in await usual.stream.receive_some(4096)
        for wire in silent:
            await wire.stream.aclose()


# Engines.


async def noise(call: ReceivedRequest) -> None:
    await call.wire.stream.send_all(b"\x07\xf1 noise\r\n" * 40)
    await call.wait_closed()


async def endless_head(call: ReceivedRequest) -> None:
    await call.wire.stream.send_all(CHUNKED[:-2] + b"x-more: ")
    await call.wait_closed()


async def endless_chunk(call: ReceivedRequest) -> None:
    await call.wire.stream.send_all(CHUNKED + b"B2D05E00\r\n")
    while True:
        await call.wire.stream.send_all(EVENTS[0] * 100)


async def noise_for_events(call: ReceivedRequest) -> None:
    await call.start(b"\xff\x00noise\n\n" + EVENTS[0])
    await call.wait_closed()


async def wrong_size(call: ReceivedRequest) -> None:
    await call.wire.stream.send_all(CHUNKED + b"5\r\n" + EVENTS[0] + b"\r\n")
    await call.wait_closed()


async def no_size(call: ReceivedRequest) -> None:
    await call.wire.stream.send_all(CHUNKED + b"zz\r\n" + EVENTS[0] + b"\r\n")
    await call.wait_closed()


SPOILT = [noise, endless_head, endless_chunk, noise_for_events, wrong_size, no_size]


@pytest.mark.parametrize("script", SPOILT)
@trio_test
async def test_an_answer_spoilt_before_its_first_event_is_a_failed_attempt(
    script: Callable[[ReceivedRequest], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_client, "FIRST_EVENT_TIMEOUT_S", 0.1)
    engines = [ScriptedServer(), ScriptedServer()]
    for engine in engines:
        engine.scripts = [script]
    async with running_router(*engines) as router:
        seen = Recorder(router.program.core._gateway)
        assert (await router.post()).status == 503  # both are spoilt: tried twice, and no more
        assert [e.status for e in seen.of(AttemptEnded)] == [Status.RESET] * 2
        assert [len(engine.received_requests) for engine in engines] == [1, 1]
        assert (await router.post()).whole


@pytest.mark.parametrize("script", [endless_chunk, wrong_size, no_size, noise_for_events])
@trio_test
async def test_a_stream_spoilt_later_ends_the_clients_connection_without_the_last_chunk(
    script: Callable[[ReceivedRequest], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 0.2)

    async def well_begun(call: ReceivedRequest) -> None:
        await call.start(EVENTS[0])
        real = call.wire.stream
        call.wire.stream = Behind(real)
        call.wire.send = Behind(real).send  # type: ignore[method-assign]
        await script(call)

    class Behind:
        """What a script writes after a head that has gone out already."""

        def __init__(self, stream: Any) -> None:
            self.stream, self.receive_some = stream, stream.receive_some

        async def send_all(self, data: bytes) -> None:
            await self.stream.send_all(data.removeprefix(CHUNKED))

        async def send(self, *events: Any) -> None:
            for event in events[1:]:
                await self.stream.send_all(b"%x\r\n%b\r\n" % (len(event.data), event.data))

    async with running_router(ScriptedServer(well_begun)) as router:
        got = await router.post()
    assert (got.status, got.body, got.whole) == (200, EVENTS[0], False)


@trio_test
async def test_what_comes_behind_or_before_an_answer_harms_nothing() -> None:
    async def more_than_asked(call: ReceivedRequest) -> None:
        body = b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in EVENTS) + b"0\r\n\r\n"
        informational = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * 3
        load = b"Endpoint-Load-Metrics: TEXT \xff\xfe=, queue=-4, errors_per_s=1e99\r\n\r\n"
        other = CHUNKED + b"b\r\ndata: not\n\n\r\n0\r\n\r\n"
        await call.wire.stream.send_all(informational + CHUNKED[:-2] + load + body + other)
        await call.wait_closed()

    engine = ScriptedServer(more_than_asked)
    async with running_router(engine) as router:
        for _ in range(3):
            got = await router.post()
            assert (got.body, got.whole) == (b"".join(EVENTS), True)
        assert engine.connections == 3


@trio_test
async def test_a_request_at_fault_is_told_so_and_its_engine_stays_in_use() -> None:
    async def bad_request(call: ReceivedRequest) -> None:
        await call.answer(400, b"no messages")

    engine = ScriptedServer()
    engine.scripts = [bad_request]
    async with running_router(engine, ScriptedServer()) as router:
        gateway = router.program.core._gateway
        statuses = [(await router.post(x_object=None, x_props=f"prefix=p{n}")).status for n in range(12)]
        assert sorted(statuses) == [200] * 11 + [400]
        assert all(replica.failure_count == 0 for replica in gateway.replicas.values())


def test_events_are_cut_where_they_end_and_are_never_changed() -> None:
    whole = b": hello\n\nevent: x\ndata: 1\n\ndata: 2\r\n\r\ndata: 3"
    for step in (1, 3, 7, 100):
        events, got = EventSplitter(), b""
        for at in range(0, len(whole), step):
            part = events.feed(whole[at : at + step])
            assert not part or part.endswith((b"\n\n", b"\r\n\r\n"))
            got += part
        assert got + events.remainder() == whole


# The same over gRPC.


@trio_test
async def test_a_grpc_client_that_stops_halfway_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "HEAD_TIMEOUT_S", 0.1)
    monkeypatch.setattr(limits, "STALL_TIMEOUT_S", 0.1)
    async with running_router(SharedEngine(), operator=BOTH) as router, grpc_client(router) as client:
        host, port = router.program.addresses["kserve"].rsplit(":", 1)
        silent = await trio.open_tcp_stream(host, int(port))
        await all_of(silent)  # our greeting, and the end
        for method in ("ModelInfer", "ModelStreamInfer"):
            stream = await client.start(method, end=False)
            client.end.h2.send_data(stream.number, framed(grpc_request())[:9])
            await client.end.flush()
            assert await stream.answer() == (Code.DEADLINE_EXCEEDED, [])


@trio_test
async def test_a_grpc_id_that_is_open_and_metadata_given_twice_are_errors() -> None:
    go_on = trio.Event()

    async def slowly(call: Stream) -> None:
        await call.start()
        await call.send(piece(1))
        await go_on.wait()
        await call.finish(0)

    engine = SharedEngine(slowly)
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        first = await client.start("ModelStreamInfer", grpc_request(), sorreldock_request_id="a")
        await first.messages(1)
        for fields, code in (
            ({"sorreldock_request_id": "a"}, Code.ALREADY_EXISTS),
            ({"Sorreldock_class": "title-suggest"}, Code.INVALID_ARGUMENT),  # beside the one in lower case
        ):
            async with grpc_client(router) as other:
                assert await other.call("ModelInfer", grpc_request(), **fields) == (code, [])
        second = await client.start("ModelStreamInfer", grpc_request())  # the standard's id may come twice
        await second.messages(1)
        go_on.set()
        assert await first.answer() == await second.answer() == (0, [piece(1)])
    assert len(engine.grpc_calls) == 2


@trio_test
async def test_a_grpc_message_that_never_ends_is_a_failed_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "FIRST_EVENT_TIMEOUT_S", 0.1)

    async def cut(call: Stream) -> None:
        await call.start()
        call.end.h2.send_data(call.number, framed(piece(1))[:-1])
        await call.end.flush()
        await call.until(lambda: call.end.closed)

    engines = [SharedEngine(), SharedEngine()]
    for engine in engines:
        engine.grpc_scripts = [cut]
    async with running_router(*engines, operator=BOTH) as router, grpc_client(router) as client:
        assert (await client.call("ModelInfer", grpc_request()))[0] == Code.UNAVAILABLE
        assert (await client.call("ModelInfer", grpc_request()))[0] == 0
