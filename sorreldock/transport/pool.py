"""A subchannel's pool of connections that have a parser each and carry one call at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

from .budget import DescriptorBudget, Use
from .connection import Connection, Dial, LocalShortage, dial


class PooledConnection(Protocol):
    """A connection with its parser."""

    @property
    def connection(self) -> Connection: ...

    async def usable(self) -> bool:
        """Whether an idle one still carries a call."""

    def renew(self) -> bool:
        """Make ready for the next call, after one that went to its end; False if there can be none."""


L = TypeVar("L", bound=PooledConnection)


class ConnectionPool(Generic[L]):
    """The idle connections to one engine."""

    # An engine closes a connection that stood idle for `conn_idle_s`, and what is written to it from then on
    # ends in a reset. Guards against that race: nothing idle for more than this share of it is used again.
    MAX_IDLE_SHARE = 0.75

    def __init__(
        self,
        address: str,
        wrap: Callable[[Connection], L],
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
        self._min_idle_s = min_idle_s  # how long a connection stays unused after a call
        self._idle: list[tuple[float, L]] = []  # the last one put back is the first one taken
        budget.eviction_callbacks[Use.ENGINE].append(self.evict)

    async def get(self) -> L:
        """An idle line, else a new one; DialFailed when none comes up, LocalShortage if through us."""
        while (idle := self._take_rested()) is not None:
            since, line = idle
            if trio.current_time() - since < self._reusable_s and await line.usable():
                return line
            line.connection.close()
        if not self._budget.acquire(Use.ENGINE):
            raise LocalShortage("no descriptor to spare")
        on_close = lambda: self._budget.release(Use.ENGINE)  # noqa: E731
        return self._wrap(await self._dial(self.address, self._connect_timeout_s, on_close))

    def _take_rested(self) -> tuple[float, L] | None:
        """The idle line put back last among those that have rested."""
        rested_since = trio.current_time() - self._min_idle_s
        for place in range(len(self._idle) - 1, -1, -1):
            if self._idle[place][0] <= rested_since:
                return self._idle.pop(place)
        return None

    def release(self, line: L, whole: bool) -> None:
        """Keep the connection if its last exchange went to its end, else close it."""
        if whole and line.renew():
            line.connection.release_buffers()
            self._idle.append((trio.current_time(), line))
            if len(self._idle) > self._max_idle:
                self.evict()
        else:
            line.connection.close()

    def evict(self) -> bool:
        """Close the connection that has been idle longest, for somebody else's use."""
        if not self._idle:
            return False
        self._idle.pop(0)[1].connection.close()
        return True

    def trim(self) -> None:
        """Close what has been idle too long to be used again."""
        now = trio.current_time()
        while self._idle and now - self._idle[0][0] >= self._reusable_s:
            self.evict()

    def close_idle(self) -> None:
        while self.evict():
            pass

    def discard(self) -> None:
        """The subchannel is gone: close what is idle and leave the budget's list."""
        self.close_idle()
        if self.evict in self._budget.eviction_callbacks[Use.ENGINE]:
            self._budget.eviction_callbacks[Use.ENGINE].remove(self.evict)
