"""Tests of the client library: a request whose connection ended is sent again only if it is proven unread."""

from __future__ import annotations

import select
import socket
from typing import Any

import pytest
import trio
from client_peers import OK, REQUEST, Stub, answers, hosted, on_both_backends

from sorreldock.client import Client, ClientSettings, Failed
from sorreldock.client.sockets import Socket, dial

RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, for 0 s
NO_RETRIES = ClientSettings(max_retries=0)
SAFE_WITHOUT_RETRIES = ClientSettings(max_retries=0, safe_classes=["alt-text"])
SAFE = ClientSettings(safe_classes=["alt-text"])
FIN_TIMEOUT_MS = 5000


class CrossedSocket(Socket):
    """A socket whose second write waits, without running any other task, until the peer has closed.

    So the peer's close crosses the second request: it is sent before the client has read the close.
    """

    writes = 0

    async def send(self, data: bytes) -> None:
        self.writes += 1
        if self.writes == 2:
            self.wait_for_fin()
        await super().send(data)

    def wait_for_fin(self) -> None:
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)
        assert poll.poll(FIN_TIMEOUT_MS)

    def is_readable(self) -> bool:
        return False


async def dial_crossed(address: str, silence_s: float) -> Socket:
    """Dial a connection whose second request is crossed by the peer's close."""
    return CrossedSocket((await dial(address, silence_s))._sock)


def counters(client: Client, *names: str) -> tuple[int, ...]:
    return tuple(client.stats().counters()[name] for name in names)


# Guards against an unsafe request that runs twice because a killed router's reset counted as "not read".
@pytest.mark.parametrize("is_kept", [True, False])
@on_both_backends
async def test_an_unsafe_request_is_not_resent_after_a_reset(is_kept: bool) -> None:
    async def reads_and_resets(stub: Stub, stream: Any) -> None:
        if is_kept:
            await stub.request(stream)
            await stream.send_all(OK)
        await stub.request(stream)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    with hosted(Stub(reads_and_resets, answers(OK)).running()) as stub:
        async with Client([stub.address], NO_RETRIES) as client:
            if is_kept:
                await client.ask(REQUEST, 9.0)
            with pytest.raises(Failed, match="reset") as failed:
                await client.ask(REQUEST, 9.0)
            assert (failed.value.may_have_run, failed.value.attempts) == (True, 1)
            assert len(stub.heads) == (2 if is_kept else 1)
            assert counters(client, "resends", "retries") == (0, 0)


# A reset tells nothing about what the router has read, so an unread request is not resent after one either.
@on_both_backends
async def test_a_request_that_was_reset_unread_is_repeated_only_as_a_retry_of_a_safe_class() -> None:
    async def resets_unread(stub: Stub, stream: Any) -> None:
        await stub.request(stream)
        await stream.send_all(OK)
        await trio.lowlevel.wait_readable(stream.socket)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    for settings, attempts in ((NO_RETRIES, 1), (SAFE_WITHOUT_RETRIES, 1), (SAFE, 2)):
        with hosted(Stub(resets_unread, answers(OK)).running()) as stub:
            async with Client([stub.address], settings) as client:
                await client.ask(REQUEST, 9.0)
                if attempts == 1:
                    with pytest.raises(Failed) as failed:
                        await client.ask(REQUEST, 9.0)
                    assert (failed.value.may_have_run, failed.value.attempts) == (True, 1)
                else:
                    whole = await client.ask(REQUEST, 9.0)
                    assert (whole.attempts, whole.retries) == (2, 1)
                assert counters(client, "resends", "retries") == (0, attempts - 1)


@on_both_backends
async def test_a_request_on_a_kept_connection_that_a_close_crossed_is_resent_once() -> None:
    async def closes_after_answer(stub: Stub, stream: Any) -> None:
        await stub.request(stream)
        await stream.send_all(OK)

    with hosted(Stub(closes_after_answer, answers(OK)).running()) as stub:
        async with Client([stub.address], NO_RETRIES, dial=dial_crossed) as client:
            await client.ask(REQUEST, 9.0)
            whole = await client.ask(REQUEST, 9.0)
            assert (whole.attempts, whole.retries) == (2, 0)
            assert counters(client, "resends", "retries", "connections_lost") == (1, 0, 1)
            assert len(stub.heads) == 2


@on_both_backends
async def test_a_request_that_was_read_before_a_clean_close_is_not_resent() -> None:
    async def closes_read(stub: Stub, stream: Any) -> None:
        await stub.request(stream)
        await stream.send_all(OK)
        await stub.request(stream)

    with hosted(Stub(closes_read, answers(OK)).running()) as stub:
        async with Client([stub.address], NO_RETRIES) as client:
            await client.ask(REQUEST, 9.0)
            with pytest.raises(Failed) as failed:
                await client.ask(REQUEST, 9.0)
            assert failed.value.may_have_run and len(stub.heads) == 2
