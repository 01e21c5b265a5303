"""The same client for plain scripts: no event loop of the caller's, any number of threads."""

from __future__ import annotations

import os
import threading
from collections.abc import Iterable, Iterator
from concurrent.futures import Future
from contextlib import AbstractContextManager, contextmanager
from types import TracebackType
from typing import Self

import anyio
from anyio.from_thread import BlockingPortal

from . import client as asynchronous
from .policy.picker import Endpoint
from .stats import Stats
from .types import ClientClosed, ClientSettings, Request


class Answer:
    """An answer that has begun; iterate it for its events. As `sorreldock.client.Answer`, but blocking."""

    def __init__(self, portal: BlockingPortal, answer: asynchronous.Answer) -> None:
        self._portal, self._answer = portal, answer

    attempts = property(lambda self: self._answer.attempts)
    retries = property(lambda self: self._answer.retries)
    router = property(lambda self: self._answer.router)
    resumed = property(lambda self: self._answer.resumed)
    first_event_s = property(lambda self: self._answer.first_event_s)

    def __iter__(self) -> Iterator[bytes]:
        while (event := self._portal.call(self._answer.next_event)) is not None:
            yield event


class Client:
    """`sorreldock.client.Client` with blocking calls; its event loop runs in a thread of its own."""

    def __init__(
        self,
        routers: Iterable[str | Endpoint],
        settings: ClientSettings | None = None,
        protocol: str = "http",
        backend: str = "asyncio",
    ) -> None:
        self._client = asynchronous.Client(routers, settings, protocol)
        self._backend = backend
        self._portal: BlockingPortal | None = None
        self._thread: threading.Thread | None = None
        self._entered: AbstractContextManager[object] | None = None
        self._pid = os.getpid()

    def __enter__(self) -> Self:
        # Not start_blocking_portal: it is a generator, which a forked child would run to its end when it
        # is collected there, and wait for a thread that the child does not have.
        started: Future[BlockingPortal] = Future()

        async def serve() -> None:
            async with BlockingPortal() as portal:
                started.set_result(portal)
                await portal.sleep_until_stopped()

        def run() -> None:
            try:
                anyio.run(serve, backend=self._backend)
            except BaseException as error:
                if not started.done():
                    started.set_exception(error)
                    return
                raise

        self._thread = threading.Thread(target=run, name="sorreldock-client", daemon=True)
        self._thread.start()
        self._portal = started.result()
        self._entered = self._portal.wrap_async_context_manager(self._client)
        self._entered.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End all calls, in other threads too, and the loop. In a forked child it only lets go."""
        if os.getpid() != self._pid:
            self._client._shared.pool.close_after_fork()
            self._portal = None
            return
        if self._portal is not None and self._entered is not None and self._thread is not None:
            portal, self._portal = self._portal, None
            portal.call(self._client.close)
            self._entered.__exit__(None, None, None)
            portal.call(portal.stop)
            self._thread.join()

    def _open(self) -> BlockingPortal:
        if os.getpid() != self._pid:
            raise ClientClosed(f"this client belongs to process {self._pid}: make one after the fork")
        if self._portal is None:
            raise ClientClosed("the client is not open")
        return self._portal

    @contextmanager
    def stream(self, request: Request, timeout_s: float, *, resume: bool | None = None) -> Iterator[Answer]:
        portal = self._open()
        made = self._client.stream(request, timeout_s, resume=resume)
        with portal.wrap_async_context_manager(made) as answer:
            yield Answer(portal, answer)

    def ask(self, request: Request, timeout_s: float, *, resume: bool | None = None) -> asynchronous.Whole:
        async def ask() -> asynchronous.Whole:
            return await self._client.ask(request, timeout_s, resume=resume)

        return self._open().call(ask)

    def update_routers(self, routers: Iterable[str | Endpoint]) -> None:
        self._open().call(self._client.update_routers, list(routers))

    def stats(self) -> Stats:
        return self._client.stats()
