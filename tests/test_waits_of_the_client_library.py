"""Waits of the client library on a router, on virtual time: the same two sides as on a server."""

from __future__ import annotations

import pytest
import trio
from test_waits_on_servers import (
    CLIENT_WAITS_S,
    DEADLINE_S,
    DONE,
    EVENT,
    GRPC_SOUND,
    GRPC_SPOILT,
    SOUND,
    SPOILT,
    content,
)
from virtual_peers import Script, play_library

from sorreldock.client import Broken, Client, Request

REQUEST = Request("alt-text", b"{}", "acme", "s1")
AT_ONCE_S = 0.25
ENDS_AT_ONCE = ("3 GB", "8 GB", "above", "number", "base", "longer")


async def ask(client: Client) -> bytes:
    return b"".join((await client.ask(REQUEST, DEADLINE_S)).events)


async def read_broken(client: Client) -> float:
    """Return how long the answer goes on after its last event."""
    last_event_at = 0.0
    has_ended = False
    with pytest.raises(Broken):
        async with client.stream(REQUEST, DEADLINE_S) as answer:
            async for event in answer:
                if not has_ended and (event == EVENT or DONE in event or b"\0" in event):
                    last_event_at = trio.current_time()
                has_ended = has_ended or DONE in event
    return trio.current_time() - last_event_at


@pytest.mark.parametrize("script", SOUND, ids=lambda script: script.__name__)
def test_the_library_waits_for_a_sound_slow_answer(script: Script) -> None:
    assert play_library(ask, [script]) == content(script)


@pytest.mark.parametrize("name", SPOILT)
def test_the_library_does_not_leave_its_caller_waiting_on_a_spoilt_answer(name: str) -> None:
    limit_s = AT_ONCE_S if any(word in name for word in ENDS_AT_ONCE) else CLIENT_WAITS_S + 0.1
    waited_s = play_library(read_broken, [SPOILT[name]])
    assert waited_s < limit_s, waited_s


@pytest.mark.parametrize("name", GRPC_SOUND)
def test_the_library_waits_for_a_sound_slow_grpc_answer(name: str) -> None:
    script, expected = GRPC_SOUND[name]

    async def count(client: Client) -> int:
        return sum(len(event) + 5 for event in (await client.ask(REQUEST, DEADLINE_S)).events)

    assert play_library(count, grpc_scripts=[script]) == len(expected)


@pytest.mark.parametrize("name", GRPC_SPOILT)
def test_the_library_does_not_leave_its_caller_waiting_on_a_spoilt_grpc_answer(name: str) -> None:
    async def scene(client: Client) -> float:
        times = []
        with pytest.raises(Broken):
            async with client.stream(REQUEST, DEADLINE_S) as answer:
                async for _ in answer:
                    times.append(trio.current_time())
        assert len(times) == 2
        return trio.current_time() - times[-1]

    waited_s = play_library(scene, grpc_scripts=[GRPC_SPOILT[name]])
    assert waited_s < (AT_ONCE_S if "3 GB" in name else CLIENT_WAITS_S + 0.1), waited_s
