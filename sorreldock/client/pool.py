"""The client's lines to its routers: taking, dialling, watching those at rest."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import anyio.abc

from .http import HttpConnection
from .kserve import KserveConnection
from .policy.picker import Picker, Router
from .policy.reconnect import ReconnectGate
from .sockets import Dial, DialFailed, dial
from .stats import Stats
from .types import ClientSettings
from .wire import Connection

SWEEP_INTERVAL_S = 0.1  # how often lines at rest are looked at
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
        self.reconnect_gate = ReconnectGate(settings.reconnect)
        self.connections: dict[str, list[Connection]] = {}
        self.dialling: dict[str, int] = {}
        self.group: anyio.abc.TaskGroup | None = None
        self.is_closed = False
        self.observe: Callable[[str, str, float], None] = lambda what, router, at: None
        self._changed = anyio.Event()

    # Taking.

    def _usable(self, connection: Connection) -> bool:
        return connection.free_slots > 0 and (
            self.protocol == "kserve" or not connection.socket.is_readable()
        )

    def take_idle(self, address: str) -> Connection | None:
        """A line with room, the one used last first, so that others grow idle and close; None: dial."""
        for connection in reversed(self.connections.get(address, [])):
            if connection.free_slots <= 0:
                continue
            if self._usable(connection):
                return connection
            self._handle_loss(connection, idle=True)
            return self.take_idle(address)
        return None

    def has_free_slot(self, address: str) -> bool:
        return any(connection.free_slots > 0 for connection in self.connections.get(address, ()))

    def has_live_connection(self, address: str) -> bool:
        """Whether a line to this router is open that the router has not said it will end."""
        return any(not connection.closing for connection in self.connections.get(address, ()))

    def is_full(self, address: str) -> bool:
        count = len(self.connections.get(address, ())) + self.dialling.get(address, 0)
        return count >= self.settings.max_connections

    async def wait_for_change(self, until: float) -> None:
        """Wait until a line has come, gone or got room, or until this moment."""
        event = self._changed
        with anyio.move_on_after(max(until - anyio.current_time(), 0.0)):
            await event.wait()

    def notify_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    # Dialling.

    async def dial(self, router: Router) -> Connection:
        """A new line. DialFailed when none came up; the picker and the gate have heard of it then."""
        address, settings = router.address, self.settings
        self.dialling[address] = self.dialling.get(address, 0) + 1
        started_at = anyio.current_time()
        try:
            with anyio.move_on_after(settings.dial_timeout_s) as scope:
                socket = await self._dial(address, settings.silence_s)
            if scope.cancelled_caught:
                raise DialFailed(f"no connection within {settings.dial_timeout_s:g} s")
        except DialFailed:
            now = anyio.current_time()
            self.stats.dials_failed += 1
            self.observe("dial failed", address, now)
            self.picker.record_failure(router, now)
            self._record_delay(self.reconnect_gate.dial_failed(now, self._rng.random()))
            raise
        finally:
            self.dialling[address] -= 1
            if not self.dialling[address]:
                del self.dialling[address]
            self.notify_change()
        now = anyio.current_time()
        if self.is_closed or self.group is None:
            socket.close()
            raise DialFailed("the client is closed")
        router.round_trip.add_sample(now - started_at)
        self.reconnect_gate.dial_succeeded(now)
        self.stats.connections_opened += 1
        self.observe("opened", address, now)
        connection: Connection
        if self.protocol == "kserve":
            connection = kserve = KserveConnection(address, socket, now, settings.largest_event)
            kserve.on_closing = lambda: self._handle_closing(kserve)
            self.group.start_soon(self._run, kserve)
        else:
            connection = HttpConnection(address, socket, now, settings.largest_event)
        self.connections.setdefault(address, []).append(connection)
        self.stats.open_connections += 1
        return connection

    async def _run(self, connection: KserveConnection) -> None:
        await connection.run()
        if not connection.socket.closed and not connection.closing:
            self._handle_loss(connection, idle=not connection.busy)
        else:
            self.drop(connection)

    def _record_delay(self, delay: float | None) -> None:
        if delay is not None:
            self.stats.record(self.stats.reconnect_delay_us, delay)

    # Losing.

    def _handle_closing(self, connection: Connection) -> None:
        now = anyio.current_time()
        router = self.picker.routers.get(connection.router)
        if router is None:  # it has left the list: its end is our own doing
            return
        self.picker.record_stopping(router, now)
        self.stats.connections_lost += 1
        self.observe("lost", connection.router, now)
        self._record_delay(
            self.reconnect_gate.connection_lost(now, self._rng.random(), idle=not connection.busy)
        )
        self.notify_change()

    def _handle_loss(self, connection: Connection, idle: bool) -> None:
        self.drop(connection)
        now = anyio.current_time()
        self.stats.connections_lost += 1
        self.observe("lost", connection.router, now)
        self._record_delay(self.reconnect_gate.connection_lost(now, self._rng.random(), idle=idle))

    def kept_connection_lost(self, connection: Connection) -> None:
        """A kept line ended under a request: so may others' have."""
        self._handle_loss(connection, idle=False)

    def all_dials_failed(self) -> None:
        """A request in hand has met no router at all: the next dial waits for a turn, as after a loss."""
        self._record_delay(
            self.reconnect_gate.connection_lost(anyio.current_time(), self._rng.random(), idle=False)
        )

    def drop(self, connection: Connection) -> None:
        connection.close()
        connections = self.connections.get(connection.router, [])
        if connection in connections:
            connections.remove(connection)
            self.stats.open_connections -= 1
            if not connections:
                del self.connections[connection.router]
        self.notify_change()

    def release(self, connection: Connection) -> None:
        """An exchange has let go of it."""
        if connection.closing and self.protocol == "http" and connection.router in self.picker.routers:
            self._handle_closing(connection)
        if connection.socket.closed or (connection.closing and not connection.busy):
            self.drop(connection)
        self.notify_change()

    def close(self) -> None:
        self.is_closed = True
        for connections in list(self.connections.values()):
            for connection in list(connections):
                self.drop(connection)
        self.notify_change()

    def close_after_fork(self) -> None:
        """In a forked child: let this process's copies of the descriptors go, and say nothing on them."""
        self.is_closed = True
        for connections in self.connections.values():
            for connection in connections:
                connection.socket.close_after_fork()
        self.connections.clear()

    def remove_routers(self, addresses: list[str]) -> None:
        """Routers that are on the list no more: what is at rest closes, what is busy ends its calls."""
        for address in addresses:
            for connection in list(self.connections.get(address, ())):
                connection.closing = True
                if not connection.busy:
                    self.drop(connection)

    # At rest.

    async def maintain(self) -> None:
        while True:
            if not self.connections and not self.reconnect_gate.reopens_due:
                await self._changed.wait()
                continue
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.sweep(anyio.current_time())
            await self._reopen_one(anyio.current_time())

    def sweep(self, now: float) -> None:
        """Close what has rested long enough, and find out what has ended or fallen silent."""
        idle_s = self.settings.idle_s * IDLE_FACTOR[self.protocol]
        for connection in [
            connection for connections in self.connections.values() for connection in connections
        ]:
            if isinstance(connection, KserveConnection) and connection.busy:
                if not connection.ping_if_quiet(now, self.settings.ping_s):
                    connection.fail_connection("no answer to a ping")
                    router = self.picker.routers.get(connection.router)
                    if router is not None:
                        self.picker.record_failure(router, now)
            elif not connection.busy:
                if now - connection.idle_since >= idle_s:
                    self.drop(connection)
                elif not isinstance(connection, KserveConnection) and connection.socket.is_readable():
                    self._handle_loss(connection, idle=True)

    async def _reopen_one(self, now: float) -> None:
        """An idle connection that was lost comes back late and alone, if its place is still empty."""
        if self.connections:
            self.reconnect_gate.reopens_due = 0
            return
        if self.dialling or not self.reconnect_gate.may_reopen(now):
            return
        router = self.picker.pick(
            now, (self._rng.random(), self._rng.random()), lambda r: False, lambda r: False
        )
        if router is None:
            return
        self._record_delay(self.reconnect_gate.reopen_started(now, self._rng.random()))
        try:
            connection = await self.dial(router)
        except DialFailed:
            return
        connection.idle_since = anyio.current_time()
