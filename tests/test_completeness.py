"""Answers that end early in every way: none may reach a client as a complete one."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h2.errors
import pytest
import trio
from client_peers import REQUEST, Stub, beside_host, hosted
from grpc_peers import BOTH_PROTOCOLS, DualProtocolServer, Stream, grpc_client, stream_response
from grpc_peers import request as grpc_request
from peers import EVENTS, ReceivedRequest, ScriptedServer, answer_in_full, running_router, trio_test
from test_bad_days import all_of, raw

from sorreldock.client import Broken, ClientSettings, blocking
from sorreldock.completeness import contains_end_event

FIRST = EVENTS[0]
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
Script = Callable[[ReceivedRequest], Awaitable[None]]
GrpcScript = Callable[[Stream], Awaitable[None]]


def send_and_close(data: bytes) -> Script:
    async def script(received: ReceivedRequest) -> None:
        await received.wire.stream.send_all(data)
        await received.wire.stream.aclose()

    return script


EARLY_ENDS = {
    "last chunk": HEAD + b"transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(FIRST), FIRST),
    "length reached": HEAD + b"content-length: %d\r\n\r\n%b" % (len(FIRST), FIRST),
    "connection closed": HEAD + b"connection: close\r\n\r\n" + FIRST,
    "within an event": HEAD + b"connection: close\r\n\r\n" + FIRST + EVENTS[1][:-5],
    "end within content": HEAD + b"connection: close\r\n\r\n" + FIRST + b'data: {"c":"data: [DONE]"}\n\n',
}


@pytest.mark.parametrize("end", EARLY_ENDS)
@trio_test
async def test_a_begun_answer_without_its_last_event_is_broken_off(end: str) -> None:
    async with running_router(ScriptedServer(send_and_close(EARLY_ENDS[end]))) as router:
        answer = await router.post()
    assert answer.status == 200 and FIRST in answer.body and not answer.whole


@pytest.mark.parametrize(
    "framing", [b"content-length: 0\r\n\r\n", b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"]
)
@trio_test
async def test_an_answer_without_events_is_a_failed_attempt(framing: bytes) -> None:
    server = ScriptedServer()
    server.scripts = [send_and_close(HEAD + framing)]
    async with running_router(server, ScriptedServer()) as router:
        answers = [await router.post(x_trace_id=f"t{number}", x_object=f"s{number}") for number in range(4)]
    assert all(answer.whole and answer.body == b"".join(EVENTS) for answer in answers)
    assert not server.scripts


@trio_test
async def test_an_answer_in_http_1_0_that_breaks_ends_with_a_reset() -> None:
    request = raw(x_trace_id=b"old").replace(b"HTTP/1.1", b"HTTP/1.0")
    server = ScriptedServer(answer_in_full)
    async with running_router(server) as router:
        host, port = router.address.rsplit(":", 1)
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(request)
            assert (await all_of(stream)).endswith(EVENTS[-1])
        server.script = send_and_close(EARLY_ENDS["last chunk"])
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(request)
            with pytest.raises(trio.BrokenResourceError):
                await all_of(stream)


async def status_in_headers(stream: Stream) -> None:
    fields = [(":status", "200"), ("content-type", "application/grpc"), ("grpc-status", "0")]
    stream.endpoint.h2.send_headers(stream.number, fields)
    await stream.send(stream_response(1), end_stream=True)


async def no_message(stream: Stream) -> None:
    await stream.start()
    await stream.finish(0)


async def trailers_only(stream: Stream) -> None:
    await stream.finish(0)


async def no_trailers(stream: Stream) -> None:
    await stream.start()
    await stream.send(stream_response(1), end_stream=True)


async def http_error(stream: Stream) -> None:
    stream.endpoint.h2.send_headers(
        stream.number, [(":status", "502"), ("grpc-status", "0")], end_stream=True
    )
    await stream.endpoint.flush()


async def partial_message(stream: Stream) -> None:
    await stream.start()
    await stream.send(stream_response(1))
    stream.endpoint.h2.send_data(stream.number, b"\0\0\0\0\x09half")
    await stream.finish(0)


async def two_messages(stream: Stream) -> None:
    await stream.start()
    await stream.send(stream_response(1), stream_response(2))
    await stream.finish(0)


async def reset_with_no_error(stream: Stream) -> None:
    await stream.start()
    await stream.send(stream_response(1))
    stream.endpoint.h2.reset_stream(stream.number, h2.errors.ErrorCodes.NO_ERROR)
    await stream.endpoint.flush()


UNARY_ENDS = [
    status_in_headers,
    no_message,
    trailers_only,
    no_trailers,
    http_error,
    partial_message,
    two_messages,
    reset_with_no_error,
]
STREAM_ENDS = [status_in_headers, no_trailers, http_error, partial_message, reset_with_no_error]


@pytest.mark.parametrize(
    ("method", "end"),
    [("ModelInfer", end) for end in UNARY_ENDS] + [("ModelStreamInfer", end) for end in STREAM_ENDS],
)
@trio_test
async def test_a_grpc_answer_that_is_not_complete_does_not_end_with_status_ok(
    method: str, end: GrpcScript
) -> None:
    server = DualProtocolServer(end)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        assert (await client.call(method, grpc_request()))[0] not in (-1, 0)


@pytest.mark.parametrize("end", EARLY_ENDS)
@beside_host
def test_the_client_library_takes_no_answer_for_complete_without_its_last_event(end: str) -> None:
    async def answer_and_close(stub: Stub, stream: trio.SocketStream) -> None:
        await stub.request(stream)
        await stream.send_all(EARLY_ENDS[end])

    with (
        hosted(Stub(answer_and_close).running()) as stub,
        blocking.Client([stub.address], ClientSettings(max_retries=0)) as client,
        pytest.raises(Broken) as raised,
    ):
        client.ask(REQUEST, 2.0)
    assert raised.value.received


def test_the_last_event_is_a_field_of_its_own() -> None:
    for events in (b"data: [DONE]\n\n", b"data:[DONE]\r\n\r\n", b": x\n\ndata:  [DONE] \n\n: y\n\n"):
        assert contains_end_event(events)
    for events in (b"", b": data: [DONE]\n\n", b'data: "[DONE]"\n\n', b"datax: [DONE]\n\n"):
        assert not contains_end_event(events)
