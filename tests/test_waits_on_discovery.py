"""Waits on discovery and on probes, on virtual time: what is sound is used, what is not ends in time."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from functools import partial

import pytest
import trio
from test_waits_on_servers import ANSWER_HEAD, HEAD, OK, chunk, in_pieces, sound_answer
from virtual_peers import (
    WATCH_HEAD,
    GrpcScript,
    Listing,
    Script,
    Step,
    VirtualRouter,
    heartbeats,
    play,
    target,
)

from sorreldock.interface import Status
from sorreldock.kserve import kserve_pb2 as pb
from sorreldock.kserve.framing import frame
from sorreldock.lab.simulation.frames import FrameWriter

TOLD_WITHIN_S = 6.0  # PROTOCOL, "Figures": since discovery had the change
HEARTBEAT_S = 2.0  # PROTOCOL, "Discovery": an empty line as long as nothing changes
CALL_DROPPED_AFTER_S = 2.0  # the site file's time-out of a call
LINE = json.dumps(
    {"rev": 2, "all": True, "targets": [target("e0", "Terminating"), target("e1", host="127.0.2.2")]}
).encode()
LIST = LINE + b"\n"


def is_told(router: VirtualRouter) -> bool:
    """Return whether the router knows that the first server drains."""
    return any(not s.ready for s in router.program.core.subchannels.values())


async def watch_for_a_while(router: VirtualRouter) -> float:
    """Return when the router was told."""
    while not is_told(router) and trio.current_time() < 3 * TOLD_WITHIN_S:
        await trio.sleep(0.01)
    told_at = trio.current_time()
    await trio.sleep(2 * TOLD_WITHIN_S)
    return told_at


SOUND: dict[str, Callable[[], Iterable[Step]]] = {
    "at once": lambda: [Step(WATCH_HEAD + chunk(LIST))],
    "slow answer": lambda: [Step(WATCH_HEAD + chunk(LIST), 0.95 * CALL_DROPPED_AFTER_S)],
    "slow head": lambda: [*in_pieces(WATCH_HEAD, 10, 0.19), Step(chunk(LIST))],
    "list in pieces": lambda: [Step(WATCH_HEAD), *in_pieces(chunk(LIST), 20, 0.95 * HEARTBEAT_S / 20)],
    "pause within the list": lambda: [
        Step(WATCH_HEAD + chunk(LIST)[:50]),
        Step(chunk(LIST)[50:], 0.95 * HEARTBEAT_S),
    ],
    "one list in many chunks": lambda: [Step(WATCH_HEAD), *(Step(chunk(bytes([b])), 0.005) for b in LIST)],
    "heartbeats before the list": lambda: [
        Step(WATCH_HEAD + chunk(b"\n")),
        Step(chunk(b"\n"), HEARTBEAT_S),
        Step(chunk(LIST), HEARTBEAT_S),
    ],
    "interim answers": lambda: (
        [Step(b"HTTP/1.1 102 Processing\r\n\r\n", 0.5)] * 3 + [Step(WATCH_HEAD + chunk(LIST))]
    ),
    "list in a chunk that never ends": lambda: [Step(WATCH_HEAD + b"%x\r\n" % (10 * len(LIST)) + LIST)],
}


@pytest.mark.parametrize("name", SOUND)
def test_a_sound_slow_watch_is_followed_and_kept(name: str) -> None:
    def steps(number: int) -> Iterable[Step]:
        yield from SOUND[name]()
        if "never ends" in name:
            while True:
                yield Step(b"\n", HEARTBEAT_S)
        yield from heartbeats()

    listing = Listing(steps)
    told_at = play(watch_for_a_while, [sound_answer], listing=listing)
    assert told_at < TOLD_WITHIN_S and len(listing.opened_at) == 1


def repeating(first: bytes, then: bytes, every_s: float = 0.4, after_s: float = 0.0) -> Iterable[Step]:
    yield Step(first, after_s)
    while True:
        yield Step(then, every_s)


UNSOUND: dict[str, Callable[[], Iterable[Step]]] = {
    "silence": lambda: repeating(b"", b"", 100.0),
    "head without end": lambda: repeating(WATCH_HEAD[:-2], b"x"),
    "head without end in lines": lambda: repeating(WATCH_HEAD[:-2], b"x: y\r\n"),
    "head alone": lambda: repeating(WATCH_HEAD, b"", 100.0),
    "late head alone": lambda: repeating(WATCH_HEAD, b"", 100.0, after_s=0.95 * CALL_DROPPED_AFTER_S),
    "interim answers for ever": lambda: repeating(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "size line without end": lambda: repeating(WATCH_HEAD + b"0", b"0"),
    "list without end": lambda: repeating(WATCH_HEAD + chunk(LIST[:-20]), chunk(b" ")),
    "list without end fast": lambda: repeating(WATCH_HEAD, chunk(b" " * 4096), 0.01),
    "indented list without end": lambda: repeating(WATCH_HEAD + chunk(b"{\n"), chunk(b' "a":\n')),
    "bytes of a chunk of 3 GB": lambda: repeating(WATCH_HEAD + b"B2D05E00\r\n", b"{"),
    "noise": lambda: repeating(WATCH_HEAD + chunk(b"noise\n"), b"", 100.0),
    "empty objects": lambda: repeating(WATCH_HEAD, chunk(b"{}\n")),
    "silence after heartbeats": lambda: [Step(WATCH_HEAD + chunk(b"\n")), Step(b"", 100.0)],
    "length of 3 GB": lambda: repeating(b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n", b"{"),
}


@pytest.mark.parametrize("name", UNSOUND)
def test_an_unsound_watch_does_not_hold_back_news(name: str) -> None:
    def steps(number: int) -> Iterable[Step]:
        if number == 0:
            yield from UNSOUND[name]()
        yield Step(WATCH_HEAD + chunk(LIST))
        yield from heartbeats()

    listing = Listing(steps)
    told_at = play(watch_for_a_while, [sound_answer], listing=listing)
    assert told_at < TOLD_WITHIN_S and len(listing.opened_at) == 2


# Probes.

PROBE_S = 0.25  # the site file's time-out of a probe
REPORT = b"Endpoint-Load-Metrics: TEXT eps=0, queue=3\r\n"


def probe_answer(after_s: float) -> Script:
    def script() -> Iterable[Step]:
        yield Step(b"HTTP/1.1 200 OK\r\n" + REPORT, after_s)
        yield Step(b"content-length: 2\r\n\r\nok", 0.02)

    return script


async def probe(router: VirtualRouter, protocol: str = "http") -> tuple[Status, float]:
    subchannel = next(iter(router.program.core.subchannels.values()))
    began_at = trio.current_time()
    result = await subchannel.clients[protocol].probe()
    return result.status, trio.current_time() - began_at


def test_a_sound_slow_probe_is_used() -> None:
    assert play(probe, [probe_answer(0.9 * PROBE_S - 0.02)])[0] is Status.OK


@pytest.mark.parametrize("first", [b"", b"HTTP/1.1 200", HEAD + b"1", b"HTTP/1.1 103 X\r\n\r\n"])
def test_an_unsound_probe_ends_in_time(first: bytes) -> None:
    status, took_s = play(probe, [lambda: repeating(first, first if b"103" in first else b"0", 0.04)])
    assert status in (Status.TIMEOUT, Status.RESET) and took_s < PROBE_S + 0.01


def grpc_probe_answer(first_after_s: float, is_whole: bool) -> GrpcScript:
    def script(writer: FrameWriter, stream: int) -> Iterable[Step]:
        message = frame(pb.ServerReadyResponse(ready=True).SerializeToString())
        yield Step(writer.headers(stream, ANSWER_HEAD) + writer.data(stream, message[:3]), first_after_s)
        while not is_whole:
            yield Step(writer.data(stream, b""), 0.04)
        yield Step(writer.data(stream, message[3:]) + writer.headers(stream, OK, ends=True), 0.02)

    return script


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_grpc_probe_is_used_if_it_is_whole_in_time_and_ends_in_time_otherwise(is_whole: bool) -> None:
    script = grpc_probe_answer(0.9 * PROBE_S - 0.02, is_whole)
    status, took_s = play(partial(probe, protocol="kserve"), grpc_scripts=[script])
    assert status is (Status.OK if is_whole else Status.TIMEOUT) and took_s < PROBE_S + 0.01
