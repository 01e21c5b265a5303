"""Scripted and real routers for tests of the client library.

They run in the trio loop of the main thread, while the client under test runs in another thread on any loop.
"""

from __future__ import annotations

import threading
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager, contextmanager
from functools import partial, wraps
from inspect import Parameter, Signature, signature
from typing import Any, TypeVar

import anyio
import pytest
import trio
from grpc_peers import BOTH_PROTOCOLS, DualProtocolServer
from peers import Peer, running_router

from sorreldock.client import Request

T = TypeVar("T")
REQUEST = Request(
    rpc_class="alt-text",
    tenant="acme",
    body=b'{"messages":[]}',
    session="s1",
    prefix="p1",
    prompt_tokens=900,
    prefix_tokens=600,
    max_output_tokens=80,
)
OK = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    b"9\r\ndata: 1\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
)
EVENTS = [b"data: 1\n\n", b"data: [DONE]\n\n"]


def refusal(advice: str = "", status: int = 503) -> bytes:
    """Return a response that refuses a request; `advice` is the value of its Retry-After."""
    extra = f"retry-after: {advice}\r\n" if advice else ""
    return f"HTTP/1.1 {status} No\r\n{extra}content-length: 0\r\n\r\n".encode()


class Host:
    """The trio loop of the main thread, where the router handles signals; tests run in another thread."""

    token: trio.lowlevel.TrioToken
    nursery: trio.Nursery


def beside_host(test: Callable[..., None]) -> Callable[..., None]:
    """Decorate a blocking test that uses `hosted`: run it in a thread beside the host's loop."""

    @wraps(test)
    def run(**fixtures: Any) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                Host.token, Host.nursery = trio.lowlevel.current_trio_token(), nursery
                await trio.to_thread.run_sync(partial(test, **fixtures))
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


@contextmanager
def hosted(context: AbstractAsyncContextManager[T]) -> Iterator[T]:
    """Enter this context in the host's loop, and leave it there at the end."""
    started, done = threading.Event(), threading.Event()
    stop = trio.Event()
    result: dict[str, Any] = {}

    async def run_context() -> None:
        try:
            async with context as value:
                result["value"] = value
                started.set()
                await stop.wait()
        except Exception as error:
            result["error"] = error
        finally:
            started.set()
            done.set()

    Host.token.run_sync_soon(Host.nursery.start_soon, run_context)
    assert started.wait(20)
    try:
        if "value" not in result:
            raise AssertionError(f"the peer did not start: {result.get('error')!r}")
        yield result["value"]
    finally:
        Host.token.run_sync_soon(stop.set)
        assert done.wait(20)
    if "error" in result:
        raise result["error"]


def router(server: DualProtocolServer, **options: Any) -> AbstractAsyncContextManager[Any]:
    """Return a context of the real router in front of this server, on both protocols."""
    return running_router(server, operator=BOTH_PROTOCOLS, **options)


class Stub(Peer):
    """A router that follows a script for each connection; the last script serves all further ones.

    `heads` and `times` hold the head and the arrival time of each request.
    """

    def __init__(self, *scripts: Callable[[Stub, Any], Awaitable[None]]) -> None:
        super().__init__()
        self.scripts = list(scripts)
        self.heads: list[bytes] = []
        self.times: list[float] = []
        self.max_open = self._open = 0

    async def serve_connection(self, stream: Any) -> None:
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        self._open += 1
        self.max_open = max(self.max_open, self._open)
        try:
            async with stream:
                await script(self, stream)
        finally:
            self._open -= 1

    async def request(self, stream: Any) -> bytes:
        """Read the next whole request and return its head; b"" when the client has closed the connection."""
        received = b""
        while b"\r\n\r\n" not in received:
            chunk = bytes(await stream.receive_some(65536))
            if not chunk:
                return b""
            received += chunk
        head, _, rest = received.partition(b"\r\n\r\n")
        length = next(int(h[15:]) for h in head.lower().split(b"\r\n") if h.startswith(b"content-length:"))
        while len(rest) < length:
            rest += bytes(await stream.receive_some(65536))
        self.heads.append(head)
        self.times.append(trio.current_time())
        return head

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Stub]:
        async with self.open():
            yield self


def answers(*replies: bytes) -> Callable[[Stub, Any], Awaitable[None]]:
    """Return a script that sends one reply per request; the last reply serves all further ones."""

    async def script(stub: Stub, stream: Any) -> None:
        remaining = list(replies)
        while await stub.request(stream):
            await stream.send_all(remaining.pop(0) if len(remaining) > 1 else remaining[0])

    return script


def header(head: bytes, name: str) -> str:
    for line in head.decode().split("\r\n"):
        if line.lower().startswith(name.lower() + ":"):
            return line.partition(":")[2].strip()
    return ""


def on_both_backends(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Decorate a test to run under asyncio and under trio, with a timeout of 20 s."""

    @pytest.mark.parametrize("backend", ["asyncio", "trio"])
    @wraps(test)
    def run(backend: str, **fixtures: Any) -> None:
        async def limited() -> None:
            with anyio.fail_after(20):
                await test(**fixtures)

        beside_host(lambda: anyio.run(limited, backend=backend))()

    test_parameters = list(signature(test).parameters.values())
    run.__signature__ = Signature([*test_parameters, Parameter("backend", Parameter.KEYWORD_ONLY)])  # type: ignore[attr-defined]
    return run
