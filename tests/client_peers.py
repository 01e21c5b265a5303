"""For tests of the client library: peers in a trio thread of their own, beside a client on any loop."""

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
from grpc_peers import BOTH, SharedEngine
from peers import Peer, running_router

from sorreldock.client import Request

T = TypeVar("T")
ASK = Request(
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
    b"9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n"
)
EVENTS = [b"data: 1\n\n", b"data: 2\n\n"]


def refusal(advice: str = "", status: int = 503) -> bytes:
    extra = f"retry-after: {advice}\r\n" if advice else ""
    return f"HTTP/1.1 {status} No\r\n{extra}content-length: 0\r\n\r\n".encode()


class Host:
    """The trio loop of the main thread, where the program's signals need it; tests run in another thread."""

    token: trio.lowlevel.TrioToken
    nursery: trio.Nursery


def beside_host(test: Callable[..., None]) -> Callable[..., None]:
    """A blocking test that may use `hosted`."""

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
def hosted(made: AbstractAsyncContextManager[T]) -> Iterator[T]:
    """Enter this in the host's loop, and leave it there at the end."""
    ready, done = threading.Event(), threading.Event()
    stop = trio.Event()
    box: dict[str, Any] = {}

    async def hold() -> None:
        try:
            async with made as value:
                box["value"] = value
                ready.set()
                await stop.wait()
        except Exception as error:
            box["error"] = error
        finally:
            ready.set()
            done.set()

    Host.token.run_sync_soon(Host.nursery.start_soon, hold)
    assert ready.wait(20)
    try:
        if "value" not in box:
            raise AssertionError(f"the peer did not start: {box.get('error')!r}")
        yield box["value"]
    finally:
        Host.token.run_sync_soon(stop.set)
        assert done.wait(20)
    if "error" in box:
        raise box["error"]


def router(engine: SharedEngine, **options: Any) -> AbstractAsyncContextManager[Any]:
    """The real program before this engine, on both protocols."""
    return running_router(engine, operator=BOTH, **options)


class Stub(Peer):
    """A router that follows a script for each connection; requests are read whole by `request`."""

    def __init__(self, *scripts: Callable[[Stub, Any], Awaitable[None]]) -> None:
        super().__init__()
        self.scripts = list(scripts)
        self.heads: list[bytes] = []
        self.times: list[float] = []
        self.most_open = self._open = 0

    async def attend(self, stream: Any) -> None:
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        try:
            async with stream:
                await script(self, stream)
        finally:
            self._open -= 1

    async def request(self, stream: Any) -> bytes:
        """The next whole request; b"" when the client has left."""
        data = b""
        while b"\r\n\r\n" not in data:
            more = bytes(await stream.receive_some(65536))
            if not more:
                return b""
            data += more
        head, _, rest = data.partition(b"\r\n\r\n")
        length = next(int(h[15:]) for h in head.lower().split(b"\r\n") if h.startswith(b"content-length:"))
        while len(rest) < length:
            rest += bytes(await stream.receive_some(65536))
        self.heads.append(head)
        self.times.append(trio.current_time())
        return head

    @asynccontextmanager
    async def on(self) -> AsyncIterator[Stub]:
        async with self.open():
            yield self


def answers(*replies: bytes) -> Callable[[Stub, Any], Awaitable[None]]:
    """One reply a request; the last one goes on for ever."""

    async def script(stub: Stub, stream: Any) -> None:
        left = list(replies)
        while await stub.request(stream):
            await stream.send_all(left.pop(0) if len(left) > 1 else left[0])

    return script


def field(head: bytes, name: str) -> str:
    for line in head.decode().split("\r\n"):
        if line.lower().startswith(name.lower() + ":"):
            return line.partition(":")[2].strip()
    return ""


def on_both(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """A test that runs under asyncio and under trio, and fails rather than hangs."""

    @pytest.mark.parametrize("backend", ["asyncio", "trio"])
    @wraps(test)
    def run(backend: str, **fixtures: Any) -> None:
        async def limited() -> None:
            with anyio.fail_after(20):
                await test(**fixtures)

        beside_host(lambda: anyio.run(limited, backend=backend))()

    own = list(signature(test).parameters.values())
    run.__signature__ = Signature([*own, Parameter("backend", Parameter.KEYWORD_ONLY)])  # type: ignore[attr-defined]
    return run
