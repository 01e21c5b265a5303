"""The public client and its answers."""

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
from .policy.deadline import DurationEstimate
from .policy.picker import Endpoint, Picker
from .policy.refusal import Pauses
from .policy.retry import RetryBudget, RetryRules
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
    parse_endpoint,
    rest_of,
    text_of,
)


@dataclass(frozen=True, slots=True)
class Whole:
    """A complete answer: its events in order and unchanged, and how it was obtained.

    `attempts` and `retries` are how many there were, `router` is the address of the router that answered, and
    `first_event_s` is the time from the call to the first event, in seconds.
    """

    events: list[bytes]
    attempts: int
    retries: int
    router: str
    first_event_s: float

    @property
    def text(self) -> str:
        """The text of the answer, read from the events of the platform's HTTP stream."""
        return "".join(map(text_of, self.events))


class Answer:
    """An answer in progress, iterated for its events, each complete and unchanged, as they arrive.

    Iteration raises Broken if the answer is cut off, and ClientClosed if the client is closed. `resumed` is
    true if the rest of a broken answer was requested; `first_event_s` is the time from the call to the first
    event, in seconds.
    """

    def __init__(self, client: Client, call: Call, request: Request, resume: bool) -> None:
        self._client, self._call, self._request, self._resume = client, call, request, resume
        self._started_at = anyio.current_time()
        self._first_event: bytes | None = None
        self._received: list[bytes] = []
        self._is_complete = False
        self._ended_at: float | None = None
        self._scope: anyio.CancelScope | None = None
        self._waiting_since = self._delivered_at = self._started_at
        self.resumed = False
        self.first_event_s = 0.0

    @property
    def attempts(self) -> int:
        """The number of attempts so far."""
        return self._call.attempts

    @property
    def retries(self) -> int:
        """The number of retries so far; resends and the request for the rest don't count."""
        return self._call.retries

    @property
    def router(self) -> str:
        """The address of the router that got the last attempt."""
        return self._call.router

    @property
    def whole(self) -> bool:
        """Whether the answer ended as it should and all its events have been returned."""
        return self._is_complete

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
                self._first_event = await self._call.begin(self._request.body)
            finally:
                self._client._scopes.discard(scope)
        self._client._raise_if_closed(scope)
        self.first_event_s = anyio.current_time() - self._started_at
        self._client._stats.record(self._client._stats.first_event_us, self.first_event_s)
        if self._first_event is None:
            self._finish()

    async def next_event(self) -> bytes | None:
        """Return the next event, or None at the end of a complete answer; raises as iteration does."""
        if self._first_event is not None:
            event, self._first_event = self._first_event, None
            return self._deliver(event)
        if self._is_complete:
            return None
        if self._call.exchange is None:
            raise self._broken_error("the answer was closed, since its block has ended")
        if (ready := self._call.exchange.buffered_event()) is not None:
            return self._deliver(ready)
        with anyio.CancelScope() as scope:
            self._client._scopes.add(scope)
            try:
                return await self._read_event()
            finally:
                self._client._scopes.discard(scope)
        self._client._raise_if_closed(scope)
        raise AssertionError("unreachable")

    async def _read_event(self) -> bytes | None:
        exchange = self._call.exchange
        assert exchange is not None
        now = anyio.current_time()
        # The time in which the caller uses an event is not the router's.
        waited_s = 0.0 if exchange.last_was_progress else self._delivered_at - self._waiting_since
        self._waiting_since = now - waited_s
        try:
            with anyio.move_on_after(max(self._client.settings.silence_s - waited_s, 0.0)) as silence:
                event = await exchange.next_event()
            if silence.cancelled_caught:
                self._client._count_silent_router(self._call)
                raise ConnectionLost(f"no event was received for {self._client.settings.silence_s:g} s")
        except ConnectionLost as lost:
            self._call.release()  # the first attempt is closed before the rest is asked for
            event = await self._resume_answer(lost)
        if event is None:
            self._finish()
            return None
        return self._deliver(event)

    async def _resume_answer(self, lost: ConnectionLost) -> bytes | None:
        """Ask once for the rest of the answer, and return its first event; raise Broken if that fails."""
        call = self._call
        if not self._resume or self.resumed or not call.deadline.can_send_at(anyio.current_time()):
            raise self._broken_error(lost.cause)
        self.resumed = True
        make = self._request.rest or rest_of
        resumed_call = Call(call.shared, self._request, call.deadline)
        resumed_call.attempts, resumed_call.retries = call.attempts, call.shared.retry_rules.max_retries
        retries_before = call.retries
        self._call = resumed_call
        try:
            return await resumed_call.begin(make(self._request.body, list(self._received)), resumed=True)
        except ClientError as error:
            raise self._broken_error(f"{lost.cause}; asking for the rest failed: {error.cause}") from error
        finally:
            resumed_call.retries = retries_before

    def _deliver(self, event: bytes) -> bytes:
        self._received.append(event)
        self._delivered_at = anyio.current_time()
        return event

    def _finish(self) -> None:
        self._is_complete = True
        self._ended_at = anyio.current_time()
        self._call.release()

    def _broken_error(self, cause: str) -> Broken:
        call = self._call
        return Broken(
            cause,
            list(self._received),
            attempts=call.attempts,
            retries=call.retries,
            router=call.router,
        )


class Client:
    """A client of one or more routers, for asyncio and trio alike, entered with `async with`.

    `routers` are `host:port` strings, or `Endpoint`s with a zone; `protocol` is "http" (the platform's) or
    "kserve". Invalid ones raise ValueError. The `timeout_s` of a call is one deadline in seconds for the
    first event, with dialling, waiting and retries included. After the first event the answer is broken
    when no event arrives for `settings.silence_s`.
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
        """Create a client, which opens no connection before its first call.

        `rng` draws jitter and choices (seeded in tests). `observe` is called with "opened", "lost" or "dial
        failed", the router's address, and the moment on the event loop's clock in seconds. `dial` opens
        connections (replaced in simulations).
        """
        if protocol not in PROTOCOLS:
            raise ValueError(f"protocol is neither http nor kserve: {protocol!r}")
        self.settings = settings or ClientSettings()
        if protocol == "kserve" and self.settings.resume:
            raise ValueError("resume needs the http protocol: KServe v2 can't ask for the rest of an answer")
        self.protocol = protocol
        endpoints = [parse_endpoint(r) for r in routers]
        if not endpoints:
            raise ValueError("the list of routers is empty")
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
            RetryBudget(s.retry_share, s.retry_reserve, s.retry_burst),
            DurationEstimate(max_s=math.inf),
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
            raise ClientClosed("a client can be entered only once")
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._shared.pool.group = self._group
        self._group.start_soon(self._shared.pool.maintain)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        if os.getpid() != self._pid:  # in a forked child: the connections belong to the parent
            self._closed = True
            self._shared.pool.close_after_fork()
            return None
        self.close()
        group, self._group = self._group, None
        if group is None:
            return None
        group.cancel_scope.cancel()
        if isinstance(error, Exception):  # the caller's, which must not be wrapped in an exception group
            await group.__aexit__(None, None, None)
            return None
        return await group.__aexit__(kind, error, traceback)

    def close(self) -> None:
        """End all calls (with `ClientClosed`) and connections, as leaving the `async with` does."""
        self._closed = True
        for scope in list(self._scopes):
            scope.cancel()
        self._shared.pool.close()

    @asynccontextmanager
    async def stream(
        self, request: Request, timeout_s: float, *, resume: bool | None = None
    ) -> AsyncIterator[Answer]:
        """Send a request and provide its answer from the first event on.

        Leaving the block cancels what is left of the answer. `resume` overrides `settings.resume`.

        Raises Refused, Failed, DeadlineExceeded, or Broken for an answer that was cut off before its first
        event; ClientClosed if the client is not open; ValueError for an invalid `timeout_s` or for `resume`
        over KServe. In the block, iterating the answer raises Broken or ClientClosed.
        """
        self._check_usable()
        resume = self.settings.resume if resume is None else resume
        if resume and self.protocol != "http":
            raise ValueError("resume needs the http protocol: KServe v2 can't ask for the rest of an answer")
        call = Call(self._shared, request, deadline_after(timeout_s))
        stats = self._stats
        answer = Answer(self, call, request, resume)
        stats.requests += 1
        stats.open_calls += 1
        try:
            await answer._begin()
            yield answer
        except ClientError as error:
            self._count_error(error)
            raise
        finally:
            stats.open_calls -= 1
            answer._call.release()
            if answer.whole:
                stats.answered += 1
                assert answer._ended_at is not None
                stats.record(stats.answer_us, answer._ended_at - answer._started_at)

    async def ask(self, request: Request, timeout_s: float, *, resume: bool | None = None) -> Whole:
        """Send a request and return the complete answer; raises as `stream` and iterating its answer do."""
        async with self.stream(request, timeout_s, resume=resume) as answer:
            events = [event async for event in answer]
        return Whole(events, answer.attempts, answer.retries, answer.router, answer.first_event_s)

    def update_routers(self, routers: Iterable[str | Endpoint]) -> None:
        """Replace the list of routers; calls in progress continue.

        What the client has learned about routers that stay is kept. Raises ValueError for an empty list or a
        malformed address.
        """
        endpoints = [parse_endpoint(r) for r in routers]
        if not endpoints:
            raise ValueError("the list of routers is empty")
        removed = self._shared.picker.update(endpoints)
        for address in removed:
            self._shared.pauses.forget(address)
        self._shared.pool.remove_routers(removed)
        self._shared.pool.notify_change()

    def stats(self) -> Stats:
        """Return the counters and histograms, which the client keeps updating."""
        self._stats.retry_limit = self._shared.budget.limit
        return self._stats

    @property
    def routers(self) -> list[str]:
        """The addresses of this client's subset."""
        return list(self._shared.picker.routers)

    def _check_usable(self) -> None:
        if os.getpid() != self._pid:
            raise ClientClosed(f"the client belongs to process {self._pid}; create one after the fork")
        if self._closed or self._group is None:
            raise ClientClosed("the client is closed" if self._closed else "the client has not been entered")

    def _raise_if_closed(self, scope: anyio.CancelScope) -> None:
        if scope.cancelled_caught or self._closed:
            raise ClientClosed("the client was closed during the call", may_have_run=True)

    def _count_silent_router(self, call: Call) -> None:
        """Record a failure of the router that stopped sending within an answer."""
        router = self._shared.picker.routers.get(call.router)
        if router is not None:
            self._shared.picker.record_failure(router, anyio.current_time())

    def _count_error(self, error: ClientError) -> None:
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
