"""The client's lines to its routers: taking, dialling, watching those at rest."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import anyio.abc

from .http import HttpLine
from .kserve import KserveLine
from .policy.picker import Picker, Router
from .policy.reconnect import Reconnect
from .sockets import Dial, DialFailed, dial
from .stats import Stats
from .types import ClientSettings
from .wire import Line

SWEEP_S = 0.1  # how often lines at rest are looked at
IDLE_FACTOR = {"http": 1.0, "kserve": 8.0}  # the routers keep idle connections for 5 s, gRPC's for 60 s


class Pool:
    """Owns every line. `group` is the client's task group, in which a gRPC line reads and writes."""

    def __init__(
        self,
        settings: ClientSettings,
        protocol: str,
        picker: Picker,
        stats: Stats,
        rng: random.Random,
        dial: Dial = dial,
    ) -> None:
        self.settings, self.protocol, self.picker, self.stats = settings, protocol, picker, stats
        self._rng, self._dial = rng, dial
        self.reconnect = Reconnect(settings.reconnect)
        self.lines: dict[str, list[Line]] = {}
        self.dialling: dict[str, int] = {}
        self.group: anyio.abc.TaskGroup | None = None
        self.closed = False
        self.observe: Callable[[str, str, float], None] = lambda what, router, at: None
        self._changed = anyio.Event()

    # Taking.

    def _usable(self, line: Line) -> bool:
        return line.room > 0 and (self.protocol == "kserve" or not line.socket.is_readable())

    def take(self, address: str) -> Line | None:
        """A line with room, the one used last first, so that others grow idle and close; None: dial."""
        for line in reversed(self.lines.get(address, [])):
            if line.room <= 0:
                continue
            if self._usable(line):
                return line
            self._lost(line, idle=True)
            return self.take(address)
        return None

    def has_room(self, address: str) -> bool:
        return any(line.room > 0 for line in self.lines.get(address, ()))

    def alive(self, address: str) -> bool:
        """Whether a line to this router is open that the router has not said it will end."""
        return any(not line.going for line in self.lines.get(address, ()))

    def full(self, address: str) -> bool:
        count = len(self.lines.get(address, ())) + self.dialling.get(address, 0)
        return count >= self.settings.max_connections

    async def changed(self, until: float) -> None:
        """Wait until a line has come, gone or got room, or until this moment."""
        event = self._changed
        with anyio.move_on_after(max(until - anyio.current_time(), 0.0)):
            await event.wait()

    def notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    # Dialling.

    async def dial(self, router: Router) -> Line:
        """A new line. DialFailed when none came up; the picker and the gate have heard of it then."""
        address, settings = router.address, self.settings
        self.dialling[address] = self.dialling.get(address, 0) + 1
        since = anyio.current_time()
        try:
            with anyio.move_on_after(settings.dial_timeout_s) as scope:
                socket = await self._dial(address, settings.silence_s)
            if scope.cancelled_caught:
                raise DialFailed(f"no connection within {settings.dial_timeout_s:g} s")
        except DialFailed:
            now = anyio.current_time()
            self.stats.dials_failed += 1
            self.observe("dial failed", address, now)
            self.picker.failed(router, now)
            self._drew(self.reconnect.failed(now, self._rng.random()))
            raise
        finally:
            self.dialling[address] -= 1
            if not self.dialling[address]:
                del self.dialling[address]
            self.notify()
        now = anyio.current_time()
        if self.closed or self.group is None:
            socket.close()
            raise DialFailed("the client is closed")
        router.way.learn(now - since)
        self.reconnect.opened(now)
        self.stats.connections_opened += 1
        self.observe("opened", address, now)
        line: Line
        if self.protocol == "kserve":
            line = kserve = KserveLine(address, socket, now, settings.largest_event)
            kserve.on_going = lambda: self._said_going(kserve)
            self.group.start_soon(self._run, kserve)
        else:
            line = HttpLine(address, socket, now, settings.largest_event)
        self.lines.setdefault(address, []).append(line)
        self.stats.open_connections += 1
        return line

    async def _run(self, line: KserveLine) -> None:
        await line.run()
        if not line.socket.closed and not line.going:
            self._lost(line, idle=not line.busy)
        else:
            self.drop(line)

    def _drew(self, delay: float | None) -> None:
        if delay is not None:
            self.stats.record(self.stats.reconnect_delay_us, delay)

    # Losing.

    def _said_going(self, line: Line) -> None:
        now = anyio.current_time()
        router = self.picker.routers.get(line.router)
        if router is None:  # it has left the list: its end is our own doing
            return
        self.picker.going(router, now)
        self.stats.connections_lost += 1
        self.observe("lost", line.router, now)
        self._drew(self.reconnect.lost(now, self._rng.random(), idle=not line.busy))
        self.notify()

    def _lost(self, line: Line, idle: bool) -> None:
        self.drop(line)
        now = anyio.current_time()
        self.stats.connections_lost += 1
        self.observe("lost", line.router, now)
        self._drew(self.reconnect.lost(now, self._rng.random(), idle=idle))

    def lost_kept(self, line: Line) -> None:
        """A kept line ended under a request: so may others' have."""
        self._lost(line, idle=False)

    def tried_all(self) -> None:
        """A request in hand has met no router at all: the next dial waits for a turn, as after a loss."""
        self._drew(self.reconnect.lost(anyio.current_time(), self._rng.random(), idle=False))

    def drop(self, line: Line) -> None:
        line.close()
        lines = self.lines.get(line.router, [])
        if line in lines:
            lines.remove(line)
            self.stats.open_connections -= 1
            if not lines:
                del self.lines[line.router]
        self.notify()

    def released(self, line: Line) -> None:
        """An exchange has let go of it."""
        if line.going and self.protocol == "http" and line.router in self.picker.routers:
            self._said_going(line)
        if line.socket.closed or (line.going and not line.busy):
            self.drop(line)
        self.notify()

    def close(self) -> None:
        self.closed = True
        for lines in list(self.lines.values()):
            for line in list(lines):
                self.drop(line)
        self.notify()

    def close_after_fork(self) -> None:
        """In a forked child: let this process's copies of the descriptors go, and say nothing on them."""
        self.closed = True
        for lines in self.lines.values():
            for line in lines:
                line.socket.close_after_fork()
        self.lines.clear()

    def left(self, addresses: list[str]) -> None:
        """Routers that are on the list no more: what is at rest closes, what is busy ends its calls."""
        for address in addresses:
            for line in list(self.lines.get(address, ())):
                line.going = True
                if not line.busy:
                    self.drop(line)

    # At rest.

    async def watch(self) -> None:
        while True:
            if not self.lines and not self.reconnect.owed:
                await self._changed.wait()
                continue
            await anyio.sleep(SWEEP_S)
            self.sweep(anyio.current_time())
            await self._reopen_one(anyio.current_time())

    def sweep(self, now: float) -> None:
        """Close what has rested long enough, and find out what has ended or fallen silent."""
        idle_s = self.settings.idle_s * IDLE_FACTOR[self.protocol]
        for line in [line for lines in self.lines.values() for line in lines]:
            if isinstance(line, KserveLine) and line.busy:
                if not line.ping_if_quiet(now, self.settings.ping_s):
                    line.fail("no answer to a ping")
                    router = self.picker.routers.get(line.router)
                    if router is not None:
                        self.picker.failed(router, now)
            elif not line.busy:
                if now - line.at_rest_since >= idle_s:
                    self.drop(line)
                elif not isinstance(line, KserveLine) and line.socket.is_readable():
                    self._lost(line, idle=True)

    async def _reopen_one(self, now: float) -> None:
        """An idle connection that was lost comes back late and alone, if its place is still empty."""
        if self.lines:
            self.reconnect.owed = 0
            return
        if self.dialling or not self.reconnect.may_reopen(now):
            return
        router = self.picker.pick(
            now, (self._rng.random(), self._rng.random()), lambda r: False, lambda r: False
        )
        if router is None:
            return
        self._drew(self.reconnect.reopened(now, self._rng.random()))
        try:
            line = await self.dial(router)
        except DialFailed:
            return
        line.at_rest_since = anyio.current_time()
