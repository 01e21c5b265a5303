"""Tests of the client library: a request whose connection ended is sent again only if it is proven unread."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
import trio
from client_peers import OK, REQUEST, Host, Stub, answers, hosted, on_both_backends
from grpc_peers import DualProtocolServer, answer_in_full
from grpc_peers import Stream as GrpcStream

from sorreldock.client import Client, ClientSettings, Failed
from sorreldock.client.sockets import Socket, dial

RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, for 0 s
NO_RETRIES = ClientSettings(max_retries=0)
SAFE_WITHOUT_RETRIES = ClientSettings(max_retries=0, safe_classes=["alt-text"])
SAFE = ClientSettings(safe_classes=["alt-text"])
FIN_TIMEOUT_MS = 5000


class Crossing:
    """Lets a router's close cross the next request: it is sent before the client has read the close.

    `dial` is the client's function for new connections. The router's script waits for `close`.
    """

    def __init__(self) -> None:
        self.is_armed = False
        self.close = trio.Event()

    async def dial(self, address: str, silence_s: float) -> Socket:
        return CrossedSocket(self, (await dial(address, silence_s))._sock)


class CrossedSocket(Socket):
    """A socket whose next write, once its crossing is armed, follows the peer's close.

    The wait runs no other task of the client, so that none of them reads the close before the write.
    """

    def __init__(self, crossing: Crossing, sock: socket.socket) -> None:
        super().__init__(sock)
        self._crossing = crossing

    async def send(self, data: bytes) -> None:
        if self._crossing.is_armed:
            self._crossing.is_armed = False
            Host.token.run_sync_soon(self._crossing.close.set)
            poll = select.poll()
            poll.register(self._sock, select.POLLRDHUP)
            assert poll.poll(FIN_TIMEOUT_MS)
        await super().send(data)


def close_with_reset(stream: Any) -> None:
    """Let the close of this accepted connection reset it."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@asynccontextmanager
async def opened(server: DualProtocolServer) -> AsyncIterator[DualProtocolServer]:
    """Open the server while the context lasts."""
    async with server.open():
        yield server


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
        close_with_reset(stream)

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
        close_with_reset(stream)

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
    crossing = Crossing()

    async def closes_after_answer(stub: Stub, stream: Any) -> None:
        await stub.request(stream)
        await stream.send_all(OK)
        await crossing.close.wait()

    with hosted(Stub(closes_after_answer, answers(OK)).running()) as stub:
        async with Client([stub.address], NO_RETRIES, dial=crossing.dial) as client:
            await client.ask(REQUEST, 9.0)
            crossing.is_armed = True
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


# Guards against unsafe gRPC requests that run twice because a question to a closed socket counted as a proof.
@pytest.mark.parametrize("has_reset", [False, True])
@on_both_backends
async def test_an_unsafe_grpc_request_that_was_read_is_not_resent_when_its_router_dies(
    has_reset: bool,
) -> None:
    async def dies(stream: GrpcStream) -> None:
        connection = stream.endpoint.stream.stream  # type: ignore[attr-defined]
        if has_reset:
            close_with_reset(connection)
        await connection.aclose()

    server = DualProtocolServer()
    server.grpc_scripts = [answer_in_full, dies]
    with hosted(opened(server)) as router:
        async with Client([router.address], NO_RETRIES, protocol="kserve") as client:
            await client.ask(REQUEST, 9.0)
            with pytest.raises(Failed) as failed:
                await client.ask(REQUEST, 9.0)
            assert (failed.value.may_have_run, failed.value.attempts) == (True, 1)
            assert len(server.grpc_streams) == 2


# Guards against a connection's unread bytes that counted for all its requests, those included that were read.
@on_both_backends
async def test_of_two_grpc_requests_only_the_one_that_a_close_crossed_is_resent() -> None:
    crossing = Crossing()
    read = threading.Event()

    async def closes(stream: GrpcStream) -> None:
        read.set()
        await crossing.close.wait()
        await stream.endpoint.stream.stream.aclose()  # type: ignore[attr-defined]

    server = DualProtocolServer()
    server.grpc_scripts = [answer_in_full, closes]
    outcomes: dict[str, tuple[object, ...]] = {}
    with hosted(opened(server)) as router:
        async with Client([router.address], NO_RETRIES, protocol="kserve", dial=crossing.dial) as client:

            async def ask(name: str) -> None:
                try:
                    whole = await client.ask(REQUEST, 9.0)
                    outcomes[name] = (whole.attempts, whole.retries)
                except Failed as failed:
                    outcomes[name] = (failed.attempts, failed.may_have_run)

            await ask("warm-up")
            async with anyio.create_task_group() as group:
                group.start_soon(ask, "read")
                while not read.is_set():
                    await anyio.sleep(0.01)
                crossing.is_armed = True
                group.start_soon(ask, "crossed")
    assert outcomes == {"warm-up": (1, 0), "read": (1, True), "crossed": (2, 0)}
    assert len(server.grpc_streams) == 3
