"""The budget of descriptors: the sockets of clients and subchannels."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import trio


class Use(Enum):
    """What a descriptor is used for: a client connection or a connection to a server."""

    CLIENT = "client"
    SERVER = "engine"


class DescriptorBudget:
    """Counts the sockets in use and keeps them below the descriptor limit.

    Beyond the limit `accept` and `connect` would fail, and the platform may count the program as crashed.
    """

    RESERVED = 64  # for interpreter, log, listeners, discovery and trio; at most a sixth of a small limit
    # The part of the clients' descriptors that is kept for reading and refusing requests. Without it further
    # connections would wait in the kernel's backlog, with requests that their clients consider sent.
    REFUSAL_DIVISOR = 8
    MIN_FOR_REFUSALS = 4

    def __init__(self, limit: int) -> None:
        self._extra_reserved = 0
        self._portion: int | None = None
        self.resize(limit)
        self.used = {Use.CLIENT: 0, Use.SERVER: 0}
        self.eviction_callbacks: dict[Use, list[Callable[[], bool]]] = {Use.CLIENT: [], Use.SERVER: []}
        self.evictable_counts: list[Callable[[], int]] = []  # of client connections, by front
        self._waiting = trio.lowlevel.ParkingLot()

    def reserve(self, count: int) -> None:
        """Exclude descriptors from the budget for a part of the program that doesn't acquire its own here."""
        self._extra_reserved = count
        self.resize(self.limit)

    def resize(self, limit: int) -> None:
        """Set the descriptor limit; sockets in use beyond a smaller limit stay open until released."""
        self.limit = limit
        usable = self.usable_in_total(0)
        if self._portion is not None:
            usable = min(usable, self._portion)
        self.max_used = {Use.CLIENT: usable // 2, Use.SERVER: usable - usable // 2}
        self.max_answering = self.max_used[Use.CLIENT] - self._kept_for_refusals()

    def _kept_for_refusals(self) -> int:
        clients = self.max_used[Use.CLIENT]
        return min(max(clients // self.REFUSAL_DIVISOR, self.MIN_FOR_REFUSALS), clients // 2)

    @property
    def can_hold_answer(self) -> bool:
        """Whether the clients' connections that can't be evicted leave enough descriptors for refusals."""
        evictable = sum(count() for count in self.evictable_counts)
        return self.used[Use.CLIENT] - evictable <= self.max_answering

    def usable_in_total(self, other_processes: int) -> int:
        """Return the sockets usable by this and the other processes together; each has the same reserve."""
        reserved = min(self.RESERVED, self.limit // 6) + self._extra_reserved
        return self.limit - (1 + other_processes) * reserved

    def set_portion(self, portion: int | None, leaving: bool = False) -> None:
        """Limit this process to a portion while a peer process uses the rest; None lifts the limit.

        A leaving process accepts no more clients; the rest of its portion is for attempts of those it has.
        """
        if leaving and portion is not None:
            clients = self.used[Use.CLIENT]
            self.max_used = {Use.CLIENT: clients, Use.SERVER: max(portion - clients, 0)}
            self.max_answering = clients
        elif portion != self._portion:
            self._portion = portion
            self.resize(self.limit)

    def close_excess_idle(self) -> None:
        """Close idle connections beyond a reduced portion, to free descriptors for the peer process."""
        for use, eviction_callbacks in self.eviction_callbacks.items():
            while self.used[use] > self.max_used[use] and any(evict() for evict in eviction_callbacks):
                pass

    def count_inherited(self, use: Use) -> None:
        """Count a socket received from another process, which no longer counts it."""
        self.used[use] += 1

    def acquire(self, use: Use) -> bool:
        """Acquire a descriptor, if need be by closing an idle connection; return False if none is free."""
        if self.used[use] >= self.max_used[use] and not self._evict(use):
            return False
        self.used[use] += 1
        return True

    def _evict(self, use: Use) -> bool:
        """Close one idle connection.

        The callbacks take turns, so that the first of a thousand servers doesn't lose all of its connections.
        """
        eviction_callbacks = self.eviction_callbacks[use]
        for index, evict in enumerate(eviction_callbacks):
            if evict():
                eviction_callbacks.append(eviction_callbacks.pop(index))
                return True
        return False

    def release(self, use: Use) -> None:
        self.used[use] -= 1
        self._waiting.unpark_all()

    async def wait_released(self, timeout_s: float) -> None:
        """Wait until a descriptor has been released, or for `timeout_s`."""
        with trio.move_on_after(timeout_s):
            await self._waiting.park()
