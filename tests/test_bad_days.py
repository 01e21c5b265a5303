"""Malformed, incomplete and stalled input from clients and servers, on both fronts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
from grpc_peers import BOTH_PROTOCOLS, DualProtocolServer, Stream, frame_message, grpc_client, stream_response
from grpc_peers import request as grpc_request
from peers import EVENTS, FIELDS, ReceivedRequest, ScriptedServer, request, running_router, trio_test
from test_parts import EventRecorder

from sorreldock.interface import AttemptEnded, Status
from sorreldock.kserve.framing import Code
from sorreldock.protocol import front as limits
from sorreldock.protocol import request_pace, server_client
from sorreldock.protocol.http.event_stream import EventSplitter
from sorreldock.transport import admission
from sorreldock.transport.budget import Use

HEAD = request("POST", "/v1/chat/completions", b"", FIELDS)
CHUNKED = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def raw(*extra: bytes, body: bytes = b"{}", length: bytes | None = None, **changes: bytes | None) -> bytes:
    """Return the bytes of a request, with header fields that h11 would not write."""
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
        raw(x_qos=b"nothing", length=b"99"),  # answered at once, although the body is incomplete
        raw(x_trace_id=None),
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
        b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 10_000,
    ],
)
@trio_test
async def test_ambiguous_and_malformed_requests_get_an_error_and_are_not_forwarded(sent: bytes) -> None:
    server = ScriptedServer()
    async with running_router(server) as router:
        wire = await router.connect()
        await wire.stream.send_all(sent + raw(x_trace_id=b"behind"))
        started_at = trio.current_time()
        received = await all_of(wire.stream)
        assert received.startswith(b"HTTP/1.1 4") and received.count(b"HTTP/1.1") == 1
        assert trio.current_time() - started_at < 0.5
        assert b"connection: close" in received.lower() and not server.received_requests
        await wire.stream.aclose()


@trio_test
async def test_a_client_can_read_an_error_while_it_still_sends_megabytes() -> None:
    async with running_router(ScriptedServer()) as router:
        for head in (raw(body=b"", length=b"8000000"), raw(b"transfer-encoding: chunked", body=b"")):
            wire = await router.connect()
            if b"chunked" in head:
                head = head.replace(b"content-length: 0\r\n", b"") + b"7a1200\r\n"
            await wire.stream.send_all(head + b"x" * 8_000_000)  # all of it before reading the answer
            assert b" 413 " in await all_of(wire.stream)
            await wire.stream.aclose()


@pytest.mark.parametrize(
    "partial_request", [b"", b"POST /v1/chat", raw(length=b"90"), raw(x_trace_id=None, length=b"90")]
)
@trio_test
async def test_a_connection_with_an_incomplete_request_is_closed(
    partial_request: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(limits, "HEAD_TIMEOUT_S", 0.1)
    monkeypatch.setattr(request_pace, "STALL_TIMEOUT_S", 0.1)
    async with running_router(ScriptedServer()) as router:
        wire = await router.connect()
        if partial_request:
            await wire.stream.send_all(partial_request)
        with trio.fail_after(2):
            received = await all_of(wire.stream)
        assert received.startswith(b"HTTP/1.1 40" if partial_request else b"")


@trio_test
async def test_a_body_on_a_slow_link_may_take_longer_than_a_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_pace, "STALL_TIMEOUT_S", 0.3)
    server = ScriptedServer()
    async with running_router(server) as router:
        wire = await router.connect()
        sent = raw(body=b"x" * 8)
        await wire.stream.send_all(sent[:-8])
        for at in range(8):
            await trio.sleep(0.06)
            await wire.stream.send_all(sent[at - 8 : at - 7 or None])
        assert (await wire.next()).status_code == 200 and server.received_requests[0].body == b"x" * 8


@trio_test
async def test_a_repeated_id_of_an_open_request_is_refused_and_the_first_request_continues() -> None:
    resume = trio.Event()

    async def answer_slowly(received: ReceivedRequest) -> None:
        await received.start(EVENTS[0])
        await resume.wait()
        await received.send_events(*EVENTS[1:])
        await received.end()

    server = ScriptedServer(answer_slowly)
    async with running_router(server) as router:
        first = await router.start_post()
        await first.next()
        assert (await router.post()).status == 409
        resume.set()
        assert [(await first.next()).data for _ in EVENTS] == EVENTS and len(server.received_requests) == 1
        assert (await router.post()).whole  # the id can be reused once its request has ended


@trio_test
async def test_silent_connections_are_evicted_before_used_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admission, "MIN_STAGE_AGE_S", 0.0)
    async with running_router(ScriptedServer()) as router:
        used = await router.connect()
        await used.stream.send_all(raw())
        while b"0\r\n\r\n" not in await used.stream.receive_some(4096):
            pass
        router.program.budget.max_used[Use.CLIENT] = 8
        silent = [await router.connect() for _ in range(7)]
        while router.program.budget.used[Use.CLIENT] < 8:
            await trio.sleep(0.01)
        for _ in range(5):
            assert (await router.post()).whole
        await used.stream.send_all(raw())  # older than all silent ones, and still open
        assert b"HTTP/1.1 200" in await used.stream.receive_some(4096)
        for wire in silent:
            await wire.stream.aclose()


# Malformed answers of servers.


async def send_noise(received: ReceivedRequest) -> None:
    await received.wire.stream.send_all(b"\x07\xf1 noise\r\n" * 40)
    await received.wait_closed()


async def send_endless_head(received: ReceivedRequest) -> None:
    await received.wire.stream.send_all(CHUNKED[:-2] + b"x-more: ")
    await received.wait_closed()


async def send_endless_chunk(received: ReceivedRequest) -> None:
    await received.wire.stream.send_all(CHUNKED + b"B2D05E00\r\n")
    while True:
        await received.wire.stream.send_all(EVENTS[0] * 100)


async def send_noise_as_events(received: ReceivedRequest) -> None:
    await received.start(b"\xff\x00noise\n\n" + EVENTS[0])
    await received.wait_closed()


async def send_wrong_chunk_size(received: ReceivedRequest) -> None:
    await received.wire.stream.send_all(CHUNKED + b"5\r\n" + EVENTS[0] + b"\r\n")
    await received.wait_closed()


async def send_malformed_chunk_size(received: ReceivedRequest) -> None:
    await received.wire.stream.send_all(CHUNKED + b"zz\r\n" + EVENTS[0] + b"\r\n")
    await received.wait_closed()


MALFORMED_ANSWERS = [
    send_noise,
    send_endless_head,
    send_endless_chunk,
    send_noise_as_events,
    send_wrong_chunk_size,
    send_malformed_chunk_size,
]


@pytest.mark.parametrize("script", MALFORMED_ANSWERS)
@trio_test
async def test_an_answer_malformed_before_its_first_event_is_a_failed_attempt(
    script: Callable[[ReceivedRequest], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_client, "OPENING_TIME_SHARE", 0.05)
    servers = [ScriptedServer(), ScriptedServer()]
    for server in servers:
        server.scripts = [script]
    async with running_router(*servers) as router:
        recorder = EventRecorder(router.program.core._gateway)
        assert (await router.post()).status == 503  # both answers are malformed: two attempts, no more
        assert [e.status for e in recorder.events_of(AttemptEnded)] == [Status.RESET] * 2
        assert [len(server.received_requests) for server in servers] == [1, 1]
        assert (await router.post()).whole


@pytest.mark.parametrize(
    "script", [send_endless_chunk, send_wrong_chunk_size, send_malformed_chunk_size, send_noise_as_events]
)
@trio_test
async def test_a_stream_malformed_later_closes_the_clients_connection_without_the_last_chunk(
    script: Callable[[ReceivedRequest], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 0.2)

    async def malformed_after_first_event(received: ReceivedRequest) -> None:
        await received.start(EVENTS[0])
        real = received.wire.stream
        received.wire.stream = StreamAfterHead(real)
        received.wire.send = StreamAfterHead(real).send  # type: ignore[method-assign]
        await script(received)

    class StreamAfterHead:
        """A stream that omits the head, which has been sent already."""

        def __init__(self, stream: Any) -> None:
            self.stream, self.receive_some = stream, stream.receive_some

        async def send_all(self, data: bytes) -> None:
            await self.stream.send_all(data.removeprefix(CHUNKED))

        async def send(self, *events: Any) -> None:
            for event in events[1:]:
                await self.stream.send_all(b"%x\r\n%b\r\n" % (len(event.data), event.data))

    async with running_router(ScriptedServer(malformed_after_first_event)) as router:
        got = await router.post()
    assert (got.status, got.body, got.whole) == (200, EVENTS[0], False)


@trio_test
async def test_unexpected_bytes_before_or_after_an_answer_are_ignored() -> None:
    async def answer_with_extra_bytes(received: ReceivedRequest) -> None:
        body = b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in EVENTS) + b"0\r\n\r\n"
        informational = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * 3
        load = b"Endpoint-Load-Metrics: TEXT \xff\xfe=, queue=-4, errors_per_s=1e99\r\n\r\n"
        other = CHUNKED + b"b\r\ndata: not\n\n\r\n0\r\n\r\n"
        await received.wire.stream.send_all(informational + CHUNKED[:-2] + load + body + other)
        await received.wait_closed()

    server = ScriptedServer(answer_with_extra_bytes)
    async with running_router(server) as router:
        for _ in range(3):
            got = await router.post()
            assert (got.body, got.whole) == (b"".join(EVENTS), True)
        assert server.connections == 3


@trio_test
async def test_the_status_of_an_invalid_request_is_forwarded_and_its_server_stays_in_use() -> None:
    async def bad_request(received: ReceivedRequest) -> None:
        await received.answer(400, b"no messages")

    server = ScriptedServer()
    server.scripts = [bad_request]
    async with running_router(server, ScriptedServer()) as router:
        gateway = router.program.core._gateway
        statuses = [(await router.post(x_object=None, x_props=f"prefix=p{n}")).status for n in range(12)]
        assert sorted(statuses) == [200] * 11 + [400]
        assert all(replica.failure_count == 0 for replica in gateway.replicas.values())


def test_events_are_split_at_their_ends_and_never_changed() -> None:
    whole = b": hello\n\nevent: x\ndata: 1\n\ndata: 2\r\n\r\ndata: 3\n\ndata: [DONE]"
    for step in (1, 3, 7, 100):
        events, got = EventSplitter(), b""
        for at in range(0, len(whole), step):
            part = events.feed(whole[at : at + step])
            assert not part or part.endswith((b"\n\n", b"\r\n\r\n"))
            got += part
        assert got + events.remainder() == whole


# The same cases over gRPC.


@trio_test
async def test_an_incomplete_grpc_request_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(limits, "HEAD_TIMEOUT_S", 0.1)
    monkeypatch.setattr(request_pace, "STALL_TIMEOUT_S", 0.1)
    async with (
        running_router(DualProtocolServer(), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router) as client,
    ):
        host, port = router.program.addresses["kserve"].rsplit(":", 1)
        silent = await trio.open_tcp_stream(host, int(port))
        await all_of(silent)  # the router's SETTINGS, then the end of the stream
        for method in ("ModelInfer", "ModelStreamInfer"):
            stream = await client.start(method, end_stream=False)
            client.endpoint.h2.send_data(stream.number, frame_message(grpc_request())[:9])
            await client.endpoint.flush()
            assert await stream.answer() == (Code.DEADLINE_EXCEEDED, [])


@trio_test
async def test_a_repeated_grpc_id_of_an_open_request_and_repeated_metadata_are_errors() -> None:
    resume = trio.Event()

    async def answer_slowly(stream: Stream) -> None:
        await stream.start()
        await stream.send(stream_response(1))
        await resume.wait()
        await stream.finish(0)

    server = DualProtocolServer(answer_slowly)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        first = await client.start("ModelStreamInfer", grpc_request(), sorreldock_request_id="a")
        await first.messages(1)
        for fields, code in (
            ({"sorreldock_request_id": "a"}, Code.ALREADY_EXISTS),
            ({"Sorreldock_class": "title-suggest"}, Code.INVALID_ARGUMENT),  # repeated in another case
        ):
            async with grpc_client(router) as other:
                assert await other.call("ModelInfer", grpc_request(), **fields) == (code, [])
        second = await client.start("ModelStreamInfer", grpc_request())  # a message's id may be repeated
        await second.messages(1)
        resume.set()
        assert await first.answer() == await second.answer() == (0, [stream_response(1)])
    assert len(server.grpc_streams) == 2


@trio_test
async def test_an_incomplete_grpc_message_is_a_failed_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "OPENING_TIME_SHARE", 0.05)

    async def send_incomplete_message(stream: Stream) -> None:
        await stream.start()
        stream.endpoint.h2.send_data(stream.number, frame_message(stream_response(1))[:-1])
        await stream.endpoint.flush()
        await stream.wait_until(lambda: stream.endpoint.closed)

    servers = [DualProtocolServer(), DualProtocolServer()]
    for server in servers:
        server.grpc_scripts = [send_incomplete_message]
    async with running_router(*servers, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        assert (await client.call("ModelInfer", grpc_request()))[0] == Code.UNAVAILABLE
        assert (await client.call("ModelInfer", grpc_request()))[0] == 0
