"""Fair turns of client connections at the event loop.

trio runs each ready task once a pass, so with some hundred busy connections a pass takes long, and a request
that needs forty of them is late. Connections therefore wait for a turn before each piece of work, and a pass
has few turns. They are granted by start-time fair queueing (Goyal, Vin and Cheng 1996): a connection that has
had few turns goes first.
"""

from __future__ import annotations

import heapq

import trio

TURNS_PER_PASS = 4


class Share:
    """What one connection has had of the turns."""

    __slots__ = ("finish",)

    def __init__(self) -> None:
        self.finish = 0.0  # the virtual time at which its last turn ends

    def charge(self, cost: float) -> None:
        """Count further work in the last turn, whose size was not known before."""
        self.finish += cost


class Turns:
    """The queue of the connections that wait for a turn."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, int, trio.Event]] = []
        self._left = TURNS_PER_PASS  # in this pass
        self._virtual_time = 0.0  # the start of the turn granted last
        self._queued = 0
        self._is_granting = False

    async def wait(self, share: Share, cost: float = 1.0) -> None:
        """Wait for a turn, which counts `cost`; return without a checkpoint if nobody else waits."""
        start = max(self._virtual_time, share.finish)
        share.finish = start + cost
        if not self._is_granting:
            self._is_granting = True
            trio.lowlevel.spawn_system_task(self._grant)
        if self._left and not self._waiting:
            self._left -= 1
            self._virtual_time = start
            return
        granted = trio.Event()
        self._queued += 1
        heapq.heappush(self._waiting, (start, self._queued, granted))
        await granted.wait()

    async def _grant(self) -> None:
        """Grant the turns of each pass until a pass has needed none."""
        while True:
            self._left = TURNS_PER_PASS
            while self._left and self._waiting:
                start, _, granted = heapq.heappop(self._waiting)
                if granted.statistics().tasks_waiting:  # else its task was cancelled
                    self._left -= 1
                    self._virtual_time = max(self._virtual_time, start)
                    granted.set()
            is_needed = self._left < TURNS_PER_PASS
            await trio.lowlevel.checkpoint()
            if not is_needed and not self._waiting and self._left == TURNS_PER_PASS:
                self._is_granting = False
                return
