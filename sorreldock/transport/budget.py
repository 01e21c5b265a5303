"""The descriptor budget: how many sockets clients and subchannels may hold together."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import trio


class Use(Enum):
    """Who holds a descriptor."""

    CLIENT = "client"
    ENGINE = "engine"


class DescriptorBudget:
    """Counts the sockets in use. Guards the descriptor limit: past it `accept` and `connect` would fail
    and the platform may count the program as crashed.
    """

    RESERVED = 64  # interpreter, log, listeners, discovery, trio's own; of a small limit a sixth

    def __init__(self, limit: int) -> None:
        self._extra_reserved = 0
        self._portion: int | None = None
        self.resize(limit)
        self.used = {Use.CLIENT: 0, Use.ENGINE: 0}
        self.eviction_callbacks: dict[Use, list[Callable[[], bool]]] = {Use.CLIENT: [], Use.ENGINE: []}
        self._waiting = trio.lowlevel.ParkingLot()

    def reserve(self, count: int) -> None:
        """For somebody who does not ask here, and has them whatever clients hold."""
        self._extra_reserved = count
        self.resize(self.limit)

    def resize(self, limit: int) -> None:
        """What is in use beyond a smaller limit stays so until it is given back."""
        self.limit = limit
        usable = self.usable_in_total(0)
        if self._portion is not None:
            usable = min(usable, self._portion)
        self.max_used = {Use.CLIENT: usable // 2, Use.ENGINE: usable - usable // 2}

    def usable_in_total(self, others: int) -> int:
        """What this process and so many others have for sockets in all; each has the same set aside."""
        kept = min(self.RESERVED, self.limit // 6) + self._extra_reserved
        return self.limit - (1 + others) * kept

    def set_portion(self, portion: int | None, leaving: bool = False) -> None:
        """Use no more than this, since another process of this router holds the rest; None: there is none.
        A process that leaves takes no more clients, and what is left is for the attempts of those it has.
        """
        if leaving and portion is not None:
            clients = self.used[Use.CLIENT]
            self.max_used = {Use.CLIENT: clients, Use.ENGINE: max(portion - clients, 0)}
        elif portion != self._portion:
            self._portion = portion
            self.resize(self.limit)

    def close_excess_idle(self) -> None:
        """Close what is idle beyond a smaller portion, for the other process."""
        for use, eviction_callbacks in self.eviction_callbacks.items():
            while self.used[use] > self.max_used[use] and any(evict() for evict in eviction_callbacks):
                pass

    def count_inherited(self, use: Use) -> None:
        """Count one that came open from another process, whose count it has left."""
        self.used[use] += 1

    def acquire(self, use: Use) -> bool:
        """Claim one; when all are in use, somebody's idle connection is closed for it if there is one."""
        if self.used[use] >= self.max_used[use] and not self._evict(use):
            return False
        self.used[use] += 1
        return True

    def _evict(self, use: Use) -> bool:
        """In turn, lest the first of a thousand engines loses every connection to the others."""
        eviction_callbacks = self.eviction_callbacks[use]
        for place, evict in enumerate(eviction_callbacks):
            if evict():
                eviction_callbacks.append(eviction_callbacks.pop(place))
                return True
        return False

    def release(self, use: Use) -> None:
        self.used[use] -= 1
        self._waiting.unpark_all()

    async def wait_released(self, within_s: float) -> None:
        """Wait until one has been given back."""
        with trio.move_on_after(within_s):
            await self._waiting.park()


class PayloadBudget:
    """Counts the bytes of requests held in memory. Guards the memory limit: past it a crowd of large requests
    is refused, not held.
    """

    def __init__(self, max_used: int) -> None:
        self.max_used = max_used
        self.used = 0

    def acquire(self, count: int) -> bool:
        if self.used + count > self.max_used:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        self.used -= count
