"""The client: one call, one deadline, one retry at most."""

from __future__ import annotations

import math
import os
import random
import secrets
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import TracebackType
from typing import Self

import anyio
import anyio.abc

from .call import Call, Shared, deadline_after
from .policy.deadline import Way
from .policy.picker import Endpoint, Picker
from .policy.refusal import Pauses
from .policy.retry import Budget, RetryRules
from .pool import Pool
from .sockets import ConnectionLost, Dial, dial
from .stats import Stats
from .types import (
    PROTOCOLS,
    Broken,
    ClientClosed,
    ClientError,
    ClientSettings,
    DeadlineExceeded,
    Refused,
    Request,
    endpoint,
    rest_of,
    text_of,
)


@dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer: its events in order, unchanged, and what it took."""

    events: list[bytes]
    attempts: int
    retries: int
    router: str
    first_event_s: float

    @property
    def text(self) -> str:
        """The text of the platform's events."""
        return "".join(map(text_of, self.events))


class Answer:
    """An answer that has begun. Iterate it for its events, each whole and unchanged, as they come; `Broken`
    ends one that was cut off. `attempts`, `retries`, `router` say what it took.
    """

    def __init__(self, client: Client, call: Call, request: Request, resume: bool) -> None:
        self._client, self._call, self._request, self._resume = client, call, request, resume
        self._started_at = anyio.current_time()
        self._first: bytes | None = None
        self._received: list[bytes] = []
        self._over = False
        self._ended_at: float | None = None
        self._scope: anyio.CancelScope | None = None
        self.resumed = False
        self.first_event_s = 0.0

    @property
    def attempts(self) -> int:
        return self._call.attempts

    @property
    def retries(self) -> int:
        return self._call.retries

    @property
    def router(self) -> str:
        return self._call.router

    @property
    def whole(self) -> bool:
        """Whether the last event has been handed over and the answer ended as it should."""
        return self._over

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        event = await self.next_event()
        if event is None:
            raise StopAsyncIteration
        return event

    async def _begin(self) -> None:
        with anyio.CancelScope() as scope:
            self._client._scopes.add(scope)
            try:
                self._first = await self._call.begin(self._request.body)
            finally:
                self._client._scopes.discard(scope)
        self._client._check_open(scope)
        self.first_event_s = anyio.current_time() - self._started_at
        self._client._stats.record(self._client._stats.first_event_us, self.first_event_s)
        if self._first is None:
            self._end()

    async def next_event(self) -> bytes | None:
        """The next event; None at the end of a whole answer."""
        if self._first is not None:
            event, self._first = self._first, None
            return self._take(event)
        if self._over:
            return None
        if self._call.exchange is None:
            raise self._broken("the answer was left")
        if (ready := self._call.exchange.ready()) is not None:
            return self._take(ready)
        with anyio.CancelScope() as scope:
            self._client._scopes.add(scope)
            try:
                return await self._next()
            finally:
                self._client._scopes.discard(scope)
        self._client._check_open(scope)
        raise AssertionError("unreachable")

    async def _next(self) -> bytes | None:
        exchange = self._call.exchange
        assert exchange is not None
        try:
            with anyio.move_on_after(self._client.settings.silence_s) as silence:
                event = await exchange.next()
            if silence.cancelled_caught:
                self._client._silent(self._call)
                raise ConnectionLost(f"nothing came for {self._client.settings.silence_s:g} s")
        except ConnectionLost as lost:
            self._call.let_go()  # the first is closed before anything asks for the rest
            event = await self._ask_for_rest(lost)
        if event is None:
            self._end()
            return None
        return self._take(event)

    async def _ask_for_rest(self, lost: ConnectionLost) -> bytes | None:
        call = self._call
        if not self._resume or self.resumed or not call.deadline.allows(anyio.current_time()):
            raise self._broken(lost.cause)
        self.resumed = True
        make = self._request.rest or rest_of
        again = Call(call.shared, self._request, call.deadline)
        again.attempts, again.retries = call.attempts, call.shared.rules.max_retries
        spent = call.retries
        self._call = again
        try:
            return await again.begin(make(self._request.body, list(self._received)), resumed=True)
        except ClientError as error:
            raise self._broken(f"{lost.cause}; the rest was not had: {error.cause}") from error
        finally:
            again.retries = spent

    def _take(self, event: bytes) -> bytes:
        self._received.append(event)
        return event

    def _end(self) -> None:
        self._over = True
        self._ended_at = anyio.current_time()
        self._call.let_go()

    def _broken(self, cause: str) -> Broken:
        call = self._call
        return Broken(
            cause,
            list(self._received),
            attempts=call.attempts,
            retries=call.retries,
            router=call.router,
        )


class Client:
    """A client of one or more routers, for asyncio and trio alike.

    `routers`: `host:port` texts, or `Endpoint`s with a zone. `protocol`: "http" (the platform's) or "kserve".
    `timeout_s` of a call is one deadline, from the call to the first event: dialling, waiting and retries
    included; after that a silence of `settings.silence_s` ends the answer.
    """

    def __init__(
        self,
        routers: Iterable[str | Endpoint],
        settings: ClientSettings | None = None,
        protocol: str = "http",
        rng: random.Random | None = None,
        observe: Callable[[str, str, float], None] | None = None,
        dial: Dial = dial,
    ) -> None:
        """`rng` draws jitter and choices (seeded in tests). `observe` hears of connections: "opened",
        "lost" or "dial failed", the router, and the moment on the event loop's clock.
        """
        if protocol not in PROTOCOLS:
            raise ValueError(f"protocol is neither http nor kserve: {protocol!r}")
        self.settings = settings or ClientSettings()
        if protocol == "kserve" and self.settings.resume:
            raise ValueError("KServe v2 has no way to ask for the rest of an answer: resume needs http")
        self.protocol = protocol
        endpoints = [endpoint(r) for r in routers]
        if not endpoints:
            raise ValueError("no router is named")
        s = self.settings
        self._rng = rng or random.Random(secrets.randbits(64))
        name = s.name or secrets.token_hex(8)
        self._stats = Stats()
        picker = Picker(name, endpoints, s.pick, s.zone)
        self._shared = Shared(
            s,
            picker,
            Pool(s, protocol, picker, self._stats, self._rng, dial),
            Pauses(s.longest_pause_s),
            Budget(s.retry_share, s.retry_reserve, s.retry_burst),
            Way(longest_s=math.inf),
            RetryRules(s.max_retries, frozenset(s.safe_classes), s.retry_pause_s),
            self._stats,
            self._rng,
        )
        if observe is not None:
            self._shared.pool.observe = observe
        self._pid = os.getpid()
        self._scopes: set[anyio.CancelScope] = set()
        self._group: anyio.abc.TaskGroup | None = None
        self._closed = False

    async def __aenter__(self) -> Self:
        if self._group is not None or self._closed:
            raise ClientClosed("a client is entered once")
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._shared.pool.group = self._group
        self._group.start_soon(self._shared.pool.watch)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        if os.getpid() != self._pid:  # a forked child: the connections are the parent's
            self._closed = True
            self._shared.pool.close_after_fork()
            return None
        self.close()
        group, self._group = self._group, None
        if group is None:
            return None
        group.cancel_scope.cancel()
        if isinstance(error, Exception):  # the caller's, which must not come out wrapped in a group
            await group.__aexit__(None, None, None)
            return None
        return await group.__aexit__(kind, error, traceback)

    def close(self) -> None:
        """End all calls (`ClientClosed`) and connections. Leaving the `async with` does it, too."""
        self._closed = True
        for scope in list(self._scopes):
            scope.cancel()
        self._shared.pool.close()

    @asynccontextmanager
    async def stream(
        self, request: Request, timeout_s: float, *, resume: bool | None = None
    ) -> AsyncIterator[Answer]:
        """An answer whose first event has come. Leaving the block cancels what has not ended.

        Raises Refused, Failed, DeadlineExceeded before the block; in it, iterating raises Broken.
        """
        self._check()
        resume = self.settings.resume if resume is None else resume
        if resume and self.protocol != "http":
            raise ValueError("KServe v2 has no way to ask for the rest of an answer: resume needs http")
        call = Call(self._shared, request, deadline_after(timeout_s))
        stats = self._stats
        answer = Answer(self, call, request, resume)
        stats.requests += 1
        stats.open_calls += 1
        try:
            await answer._begin()
            yield answer
        except ClientError as error:
            self._count(error)
            raise
        finally:
            stats.open_calls -= 1
            answer._call.let_go()
            if answer.whole:
                stats.answered += 1
                assert answer._ended_at is not None
                stats.record(stats.answer_us, answer._ended_at - answer._started_at)

    async def ask(self, request: Request, timeout_s: float, *, resume: bool | None = None) -> Whole:
        """The whole answer; raises as `stream` and its iteration do."""
        async with self.stream(request, timeout_s, resume=resume) as answer:
            events = [event async for event in answer]
        return Whole(events, answer.attempts, answer.retries, answer.router, answer.first_event_s)

    def update_routers(self, routers: Iterable[str | Endpoint]) -> None:
        """Take a new list of routers: calls in hand go on; what is known of those that stay is kept."""
        endpoints = [endpoint(r) for r in routers]
        if not endpoints:
            raise ValueError("no router is named")
        left = self._shared.picker.update(endpoints)
        for address in left:
            self._shared.pauses.forget(address)
        self._shared.pool.left(left)
        self._shared.pool.notify()

    def stats(self) -> Stats:
        """The counters and histograms, live."""
        self._stats.retry_limit = self._shared.budget.limit
        return self._stats

    @property
    def routers(self) -> list[str]:
        """The addresses of this client's subset."""
        return list(self._shared.picker.routers)

    def _check(self) -> None:
        if os.getpid() != self._pid:
            raise ClientClosed(f"this client belongs to process {self._pid}: make one after the fork")
        if self._closed or self._group is None:
            raise ClientClosed("the client is closed" if self._closed else "the client is not entered")

    def _check_open(self, scope: anyio.CancelScope) -> None:
        if scope.cancelled_caught or self._closed:
            raise ClientClosed("the client was closed while the call was open", may_have_run=True)

    def _silent(self, call: Call) -> None:
        router = self._shared.picker.routers.get(call.router)
        if router is not None:
            self._shared.picker.failed(router, anyio.current_time())

    def _count(self, error: ClientError) -> None:
        stats = self._stats
        if isinstance(error, Refused):
            stats.refused += 1
        elif isinstance(error, DeadlineExceeded):
            stats.expired += 1
        elif isinstance(error, Broken):
            stats.broken += 1
        elif isinstance(error, ClientClosed):
            stats.cancelled += 1
        else:
            stats.failed += 1
