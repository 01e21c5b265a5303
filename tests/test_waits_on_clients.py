"""Waits on clients, on virtual time: the slowest sound client is served, the fastest unsound one ended."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress

import pytest
import trio
from test_waits_on_servers import (
    DONE,
    EVENT,
    FIRST,
    FRAMED,
    begun,
    big_event,
    big_message,
    ended,
    grpc_sound,
    in_pieces,
    sound_answer,
)
from virtual_peers import (
    GRPC_PORT,
    PEER_ERRORS,
    Answer,
    Step,
    VirtualRouter,
    chunk,
    grpc_fields,
    http_request,
    infer_request,
    play,
    read_grpc,
    read_http,
)

from sorreldock.kserve.framing import PREFIX, frame
from sorreldock.lab.simulation.frames import FrameWriter, encode_frame
from sorreldock.lab.simulation.network import VirtualSocket
from sorreldock.lab.simulation.readers import DATA, HEADERS, PREFACE, RST_STREAM, FrameReader
from sorreldock.transport.turns import Turns

BAD_CLIENT_S = 3.0  # LATER, "Bad clients": an error or a close since connecting
WRITTEN_WITHIN_S = 2.0  # DAYS, "Size": some requests are written in 2 s
LARGE_BODY = b"{" + b" " * 250_000 + b"}"

HEAD, _, BODY = http_request(b"{" + b" " * 98 + b"}").partition(b"\r\n\r\n")
HEAD += b"\r\n\r\n"


async def write(sock: VirtualSocket, steps: Iterable[Step]) -> None:
    with suppress(*PEER_ERRORS):
        for step in steps:
            await trio.sleep(step.after_s)
            if sock.closed or (sock.inbox is not None and (sock.inbox.got_fin or sock.inbox.got_reset)):
                return
            await sock.send_all(step.data)


def sending(steps: Callable[[], Iterable[Step]], port: int) -> Callable[[VirtualRouter], object]:
    async def scene(router: VirtualRouter) -> tuple[Answer, float]:
        connected_at = trio.current_time()
        sock = await router.connect(port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write, sock, steps())
            answer = await (read_grpc if port == GRPC_PORT else read_http)(sock)
            nursery.cancel_scope.cancel()
        return answer, answer.ended_at - connected_at

    return scene


def endless(first: bytes, then: bytes, every_s: float) -> Callable[[], Iterable[Step]]:
    def steps() -> Iterable[Step]:
        yield Step(first)
        while True:
            yield Step(then, every_s)

    return steps


PAUSE_S = 0.95 * WRITTEN_WITHIN_S
SOUND: dict[str, Callable[[], Iterable[Step]]] = {
    "evenly": lambda: in_pieces(HEAD + BODY, 20, WRITTEN_WITHIN_S / 20),
    "pause within the head": lambda: [Step(HEAD[:40]), Step(HEAD[40:] + BODY, PAUSE_S)],
    "pause before the body": lambda: [Step(HEAD), Step(BODY, PAUSE_S)],
    "pause within the body": lambda: [Step(HEAD + BODY[:50]), Step(BODY[50:], PAUSE_S)],
    "two pauses": lambda: [Step(HEAD[:40]), Step(HEAD[40:], PAUSE_S / 2), Step(BODY, PAUSE_S / 2)],
    "large body on a slow link": lambda: in_pieces(http_request(LARGE_BODY), 140, 0.05),
}


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_slow_client_is_served(name: str) -> None:
    answer, _ = play(sending(SOUND[name], 80), [sound_answer])  # type: ignore[arg-type]
    assert (answer.body, answer.is_whole) == (EVENT + DONE, True), answer


STOP = Step(b"", 100.0)


@pytest.mark.parametrize("port", [80, GRPC_PORT])
def test_a_request_is_not_ended_for_the_time_in_which_the_router_does_not_read(
    port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def wait_long(turns: Turns, share: object, cost: float = 1.0) -> None:
        await trio.sleep(0.8)

    monkeypatch.setattr(Turns, "wait", wait_long)

    def steps() -> Iterable[Step]:
        if port == 80:
            yield Step(http_request(LARGE_BODY, timeout_s=60.0))
        else:
            writer = FrameWriter()
            head = writer.preface(client=True) + writer.headers(1, grpc_fields(60.0))
            yield Step(head + writer.data(1, frame(infer_request(LARGE_BODY[:60_000])), ends=True))

    answer, _ = play(sending(steps, port), [sound_answer], [grpc_sound(FIRST)])  # type: ignore[arg-type]
    assert answer.body == (EVENT + DONE if port == 80 else FRAMED), answer


UNSOUND: dict[str, Callable[[], Iterable[Step]]] = {
    "silence": endless(b"", b"", 100.0),
    "head without end": endless(HEAD[:-2], b"x", 0.2),
    "head without end in lines": endless(HEAD[:-2], b"x: y\r\n", 0.2),
    "head that stops": endless(HEAD[:40], b"", 100.0),
    "body that stops": endless(HEAD + BODY[:50], b"", 100.0),
    "body that stops after a second": lambda: [Step(HEAD), Step(BODY[:50], 1.0), Step(b"", 100.0)],
    "body that stops late": lambda: [Step(HEAD), Step(BODY[:50], 1.9), Step(b"", 100.0)],
    "large body that stops late": lambda: [*in_pieces(http_request(LARGE_BODY)[:80_000], 20, 0.1), STOP],
    "body trickled": endless(http_request(LARGE_BODY)[:400], b" ", 0.4),
    "body trickled near the limit": endless(http_request(LARGE_BODY)[:400], b" ", 1.9),
    "small body trickled": endless(HEAD, b" ", 0.4),
    "chunked body trickled": endless(
        HEAD.replace(b"content-length: 100", b"transfer-encoding: chunked") + b"20000\r\n", b" ", 0.4
    ),
}


@pytest.mark.parametrize("name", UNSOUND)
def test_an_unsound_slow_client_is_ended_within_the_time_for_bad_clients(name: str) -> None:
    answer, took_s = play(sending(UNSOUND[name], 80), [sound_answer])  # type: ignore[arg-type]
    assert took_s < BAD_CLIENT_S and answer.status in ("", "400", "408", "431"), (answer.status, took_s)


# gRPC.


def grpc_steps(*parts: Step, method: str = "ModelStreamInfer") -> Callable[[], Iterable[Step]]:
    """Return the steps of a call whose message comes in parts, the last with the end of the stream."""

    def steps() -> Iterable[Step]:
        writer = FrameWriter()
        yield Step(writer.preface(client=True) + writer.headers(1, grpc_fields(10.0, method)))
        for number, part in enumerate(parts, 1):
            yield Step(writer.data(1, part.data, ends=number == len(parts)), part.after_s)

    return steps


MESSAGE = frame(infer_request())
GRPC_SOUND = {
    "evenly": grpc_steps(*in_pieces(MESSAGE, 10, WRITTEN_WITHIN_S / 10)),
    "pause before the message": grpc_steps(Step(MESSAGE, PAUSE_S)),
    "pause within the message": grpc_steps(Step(MESSAGE[:9]), Step(MESSAGE[9:], PAUSE_S)),
    "large message on a slow link": grpc_steps(*in_pieces(frame(infer_request(LARGE_BODY)), 140, 0.05)),
}


@pytest.mark.parametrize("name", GRPC_SOUND)
def test_a_sound_slow_grpc_client_is_served(name: str) -> None:
    answer, _ = play(sending(GRPC_SOUND[name], GRPC_PORT), grpc_scripts=[grpc_sound(FIRST)])  # type: ignore[arg-type]
    assert (answer.body, answer.status) == (FRAMED, "0"), answer


def grpc_endless(
    method: str, first: bytes, then: bytes, every_s: float, headers_only: bool = False
) -> Callable[[], Iterable[Step]]:
    def steps() -> Iterable[Step]:
        writer = FrameWriter()
        yield Step(writer.preface(client=True) + writer.headers(1, grpc_fields(method=method)))
        if not headers_only:
            yield Step(writer.data(1, first))
        while True:
            yield Step(writer.data(1, then), every_s)

    return steps


STATED = PREFIX.pack(0, 200_000)
GRPC_UNSOUND: dict[str, Callable[[], Iterable[Step]]] = {
    "silence": endless(b"", b"", 100.0),
    "preface that stops": endless(FrameWriter().preface(client=True)[:12], b"", 100.0),
    "preface trickled": endless(b"PRI * HTTP/2.0\r\n", b"", 100.0),
    "header block without end": endless(
        FrameWriter().preface(client=True) + encode_frame(HEADERS, 0, 1, b"\x83"), b"", 100.0
    ),
    "frame without end": endless(
        FrameWriter().preface(client=True) + b"\0\x20\0\x01\x04\0\0\0\x01", b"\x83", 0.4
    ),
    "unary message trickled": grpc_endless("ModelInfer", STATED, b"x", 0.4),
    "message trickled": grpc_endless("ModelStreamInfer", STATED, b"x", 0.4),
    "message trickled near the limit": grpc_endless("ModelStreamInfer", STATED, b"x", 1.9),
    "message that stops": grpc_endless("ModelStreamInfer", STATED + b"x", b"", 100.0),
    "prefix trickled": grpc_endless("ModelStreamInfer", b"\0", b"\0", 1.9),
    "empty frames within a message": grpc_endless("ModelStreamInfer", STATED, b"", 0.4),
    "unary call without a message": grpc_endless("ModelInfer", b"", b"", 0.4),
    "prefix of 3 GB": grpc_endless("ModelStreamInfer", PREFIX.pack(0, 3_000_000_000), b"x", 0.4),
}


@pytest.mark.parametrize("name", GRPC_UNSOUND)
def test_an_unsound_slow_grpc_client_is_ended_within_the_time_for_bad_clients(name: str) -> None:
    answer, took_s = play(sending(GRPC_UNSOUND[name], GRPC_PORT))  # type: ignore[arg-type]
    assert took_s < BAD_CLIENT_S and answer.status != "0", (answer.status, took_s)


# Reading of answers.

READ_S = 40.0


def long_answer() -> Iterable[Step]:
    yield begun()
    yield Step(chunk(big_event(200_000)), 0.0, 1)
    yield ended()


async def read_slowly(router: VirtualRouter, every_s: float, size: int) -> bytes:
    sock = await router.connect()
    await sock.send_all(http_request())
    data = b""
    with suppress(*PEER_ERRORS):
        while part := await sock.recv(size):
            data += part
            if data.endswith(b"0\r\n\r\n"):
                break
            await trio.sleep(every_s)
    return data


def test_a_client_that_reads_slowly_gets_its_whole_answer() -> None:
    async def scene(router: VirtualRouter) -> bytes:
        return await read_slowly(router, READ_S / 40, 200_000 // 40)

    assert play(scene, [long_answer]).endswith(b"0\r\n\r\n")


def test_a_grpc_client_that_reads_slowly_gets_its_whole_answer() -> None:
    message = big_message(200_000)

    async def scene(router: VirtualRouter) -> int:
        sock, writer, reader = await router.connect(GRPC_PORT), FrameWriter(), FrameReader(preface=False)
        preface = FrameWriter.preface(writer, client=True)[: len(PREFACE) + 9 + 6]  # without a larger window
        preface = preface[:-4] + (65535).to_bytes(4, "big")
        await sock.send_all(
            preface + writer.headers(1, grpc_fields()) + writer.data(1, frame(infer_request()), ends=True)
        )
        size = 0
        with suppress(*PEER_ERRORS):
            while data := await sock.recv(200_000 // 40):
                for item in reader.feed(data):
                    size += len(item.data()) if item.kind == DATA else 0
                    await sock.send_all(writer.acknowledge(item))
                    if item.ends or item.kind == RST_STREAM:
                        return size
                await trio.sleep(READ_S / 40)
        return size

    script = grpc_sound((message, 1, 0.05))
    assert play(scene, grpc_scripts=[script]) == len(message)


def test_a_client_that_reads_nothing_keeps_no_server_busy() -> None:
    async def scene(router: VirtualRouter) -> float:
        sock = await router.connect()
        await sock.send_all(http_request())
        while not router.server.closed_at:
            await trio.sleep(0.1)
            if trio.current_time() > 2 * READ_S:
                break
        return trio.current_time()

    def endless_answer() -> Iterable[Step]:
        yield begun()
        while True:
            yield Step(chunk(EVENT * 50), 0.01, 1)

    assert play(scene, [endless_answer]) < 20.0
