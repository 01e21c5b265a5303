"""Servers that read or write slowly: what still arrives is not cut off, and answers stay in time."""

from __future__ import annotations

import socket

import pytest
import trio
from grpc_peers import BOTH_PROTOCOLS, DualProtocolServer, Stream, frame_message, grpc_client, stream_response
from grpc_peers import request as grpc_request
from peers import EVENTS, Peer, ReceivedRequest, ScriptedServer, running_router, trio_test
from test_bad_days import raw

from sorreldock.protocol import server_client

PIECES, INTERVAL_S = 8, 0.1
SLOW_EVENT = b'data: {"text":"' + b"x" * 400 + b'"}\n\n'


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time limits, so that a slow event takes nearly as long as one may."""
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 1.0)


async def send_in_pieces(received: ReceivedRequest, event: bytes, pieces: int = PIECES) -> None:
    size = -(-len(event) // PIECES)
    for start in range(0, pieces * size, size):
        await received.send_events(event[start : start + size])
        await trio.sleep(INTERVAL_S)


@pytest.mark.parametrize("begun", [False, True])
@trio_test
async def test_an_event_that_its_server_still_writes_is_not_cut_off(begun: bool) -> None:
    async def write_slowly(received: ReceivedRequest) -> None:
        await received.start(*EVENTS[: int(begun)])
        await send_in_pieces(received, SLOW_EVENT)
        await received.send_events(EVENTS[-1])
        await received.end()

    async with running_router(ScriptedServer(write_slowly)) as router:
        answer = await router.post()
    assert answer.whole and answer.body == b"".join(EVENTS[: int(begun)]) + SLOW_EVENT + EVENTS[-1]


@trio_test
async def test_a_server_that_stops_within_an_event_is_given_up_after_one_window() -> None:
    async def stop_within_event(received: ReceivedRequest) -> None:
        await received.start(EVENTS[0])
        await send_in_pieces(received, SLOW_EVENT, pieces=PIECES // 2)
        await received.wait_closed()

    async with running_router(ScriptedServer(stop_within_event)) as router:
        began_at = trio.current_time()
        answer = await router.post()
        took_s = trio.current_time() - began_at
    assert (answer.body, answer.whole) == (EVENTS[0], False) and 0.6 < took_s < 2.0


@trio_test
async def test_an_event_that_never_ends_is_given_up() -> None:
    async def trickle(received: ReceivedRequest) -> None:
        await received.start(EVENTS[0])
        for _ in range(100):
            await received.send_events(b"data: x")
            await trio.sleep(INTERVAL_S)

    async with running_router(ScriptedServer(trickle)) as router:
        began_at = trio.current_time()
        answer = await router.post()
        took_s = trio.current_time() - began_at
    assert (answer.body, answer.whole) == (EVENTS[0], False) and took_s < 2.0


@trio_test
async def test_a_grpc_message_that_its_server_still_writes_is_not_cut_off() -> None:
    message = stream_response(1)
    data = frame_message(message + b"")

    async def write_slowly(stream: Stream) -> None:
        await stream.start()
        await stream.send(message)
        for byte in data:
            stream.endpoint.h2.send_data(stream.number, bytes([byte]))
            await stream.endpoint.flush()
            await trio.sleep(INTERVAL_S / 2)
        await stream.finish(0)

    server = DualProtocolServer(write_slowly)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        assert await client.call("ModelStreamInfer", grpc_request()) == (0, [message, message])


class SlowReader(Peer):
    """A server that reads nothing before `reads` is set, then all that it gets."""

    def __init__(self) -> None:
        super().__init__()
        self.reads, self.ended = trio.Event(), trio.Event()
        self.received = b""

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await self.reads.wait()
        try:
            while data := await stream.receive_some(65536):
                self.received += bytes(data)
        except trio.BrokenResourceError:
            pass
        self.ended.set()


BODY = b"x" * 250_000


@trio_test
async def test_a_request_given_up_while_its_server_reads_slowly_never_reaches_it_whole() -> None:
    server = SlowReader()
    async with running_router(server) as router:
        began_at = trio.current_time()
        answer = await router.post(BODY, x_expires_in="600m")
        took_s = trio.current_time() - began_at
        assert answer.status in (502, 503, 504) and took_s < 0.6 + 0.5
        server.reads.set()
        await server.ended.wait()
    assert 0 < len(server.received) < len(BODY)


@trio_test
async def test_a_request_whose_client_leaves_while_its_server_reads_slowly_never_reaches_it_whole() -> None:
    server = SlowReader()
    async with running_router(server) as router:
        wire = await router.connect()
        await wire.stream.send_all(raw(x_expires_in=b"4000m", body=BODY))
        await trio.sleep(0.3)
        await wire.stream.aclose()
        await trio.sleep(0.2)
        server.reads.set()
        await server.ended.wait()
    assert len(server.received) < len(BODY)
