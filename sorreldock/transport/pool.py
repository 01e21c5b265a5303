"""The connection pool of a subchannel: each connection has a parser and carries one attempt at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

from .budget import DescriptorBudget, Use
from .connection import Connection, Dial, LocalShortage, dial

MAX_UNSENT_BYTES = 16 * 1024  # of a request in the kernel, so that writing follows what the server reads


class PooledConnection(Protocol):
    """A connection with its parser, as the pool uses it."""

    @property
    def connection(self) -> Connection: ...

    async def is_usable(self) -> bool:
        """Return whether an idle connection can carry another attempt."""

    def renew(self) -> bool:
        """Prepare for the next attempt after a complete one; return False if that isn't possible."""


PooledT = TypeVar("PooledT", bound=PooledConnection)


class ConnectionPool(Generic[PooledT]):
    """The idle connections to one server."""

    # A server closes a connection that was idle for `conn_idle_s`, and answers later writes with a reset. To
    # avoid that race, no connection is reused that was idle for more than this share of `conn_idle_s`.
    MAX_IDLE_SHARE = 0.75

    def __init__(
        self,
        address: str,
        wrap: Callable[[Connection], PooledT],
        budget: DescriptorBudget,
        connect_timeout_s: float,
        conn_idle_s: float,
        dial: Dial = dial,
        max_idle: int = 1 << 30,
        min_idle_s: float = 0.0,
    ) -> None:
        self.address = address
        self._wrap = wrap
        self._budget = budget
        self._dial = dial
        self._connect_timeout_s = connect_timeout_s
        self._reusable_s = conn_idle_s * self.MAX_IDLE_SHARE
        self._max_idle = max_idle
        self._min_idle_s = min_idle_s  # time after an attempt before a connection is reused
        self._idle: list[tuple[float, PooledT]] = []  # idle since, connection; used as a stack
        # The connections in use that lead to the present process at the address.
        self._in_use: set[PooledT] = set()
        self._process_changes = 0
        budget.eviction_callbacks[Use.SERVER].append(self.evict)

    async def get(self) -> PooledT:
        """Return an idle connection or open a new one.

        Raise LocalShortage if this machine lacks a resource for it, DialFailed if it fails otherwise.
        """
        while (idle := self._pop_idle()) is not None:
            since, pooled = idle
            if trio.current_time() - since < self._reusable_s and await pooled.is_usable():
                self._in_use.add(pooled)
                return pooled
            pooled.connection.close()
        while True:
            process_changes = self._process_changes
            pooled = await self._open()
            if process_changes == self._process_changes:
                self._in_use.add(pooled)
                return pooled
            pooled.connection.close()  # it may lead to the earlier process

    async def _open(self) -> PooledT:
        """Open a connection; raise LocalShortage or DialFailed."""
        if not self._budget.acquire(Use.SERVER):
            raise LocalShortage("no descriptor available")
        on_close = lambda: self._budget.release(Use.SERVER)  # noqa: E731
        connection = await self._dial(self.address, self._connect_timeout_s, on_close)
        connection.limit_unsent(MAX_UNSENT_BYTES)
        return self._wrap(connection)

    def _pop_idle(self) -> tuple[float, PooledT] | None:
        """Remove and return the connection released last among those idle for the minimum time."""
        latest_since = trio.current_time() - self._min_idle_s
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index][0] <= latest_since:
                return self._idle.pop(index)
        return None

    def release(self, pooled: PooledT, is_complete: bool) -> None:
        """Keep the connection for reuse if its last exchange is complete, else close it."""
        is_current = pooled in self._in_use
        self._in_use.discard(pooled)
        if is_complete and is_current and pooled.renew():
            pooled.connection.release_buffers()
            self._idle.append((trio.current_time(), pooled))
            if len(self._idle) > self._max_idle:
                self.evict()
        elif pooled.connection.unacknowledged_bytes():
            pooled.connection.abort()  # the rest of a request that was given up must not reach the server
        else:
            pooled.connection.close()

    def evict(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        if not self._idle:
            return False
        self._idle.pop(0)[1].connection.close()
        return True

    def trim(self) -> None:
        """Close connections that have been idle too long to be reused."""
        now = trio.current_time()
        while self._idle and now - self._idle[0][0] >= self._reusable_s:
            self.evict()

    def close_idle(self) -> None:
        while self.evict():
            pass

    def change_process(self) -> None:
        """Close the idle connections, and keep none of those in use for another process at the address."""
        self._process_changes += 1
        self._in_use.clear()
        self.close_idle()

    def discard(self) -> None:
        """Close idle connections and unregister from the budget, when the subchannel is removed."""
        self.close_idle()
        if self.evict in self._budget.eviction_callbacks[Use.SERVER]:
            self._budget.eviction_callbacks[Use.SERVER].remove(self.evict)
