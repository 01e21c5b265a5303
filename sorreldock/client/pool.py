"""The client's pool of connections to routers: reuse, dialling, and checks of idle connections."""

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

SWEEP_INTERVAL_S = 0.1  # between checks of the connections
IDLE_FACTOR = {"http": 1.0, "kserve": 8.0}  # the routers keep idle connections for 5 s, gRPC's for 60 s


class Pool:
    """The owner of all connections of a client.

    `group` is the client's task group, in which gRPC connections read and write.
    """

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
        self._change = anyio.Event()

    # Reuse.

    def _is_usable(self, connection: Connection) -> bool:
        return connection.free_slots > 0 and (
            self.protocol == "kserve" or not connection.socket.is_readable()
        )

    def take_available(self, address: str) -> Connection | None:
        """Return a connection with a free slot, or None if one has to be dialled.

        Those opened last come first, so that the others become idle and close. An unused HTTP connection
        with something to read has ended or has received unexpected data, and is closed.
        """
        for connection in reversed(self.connections.get(address, [])):
            if connection.free_slots <= 0:
                continue
            if self._is_usable(connection):
                return connection
            self._handle_loss(connection, idle=True)
            return self.take_available(address)
        return None

    def has_free_slot(self, address: str) -> bool:
        """Return whether a connection to this router can take another call."""
        return any(connection.free_slots > 0 for connection in self.connections.get(address, ()))

    def has_live_connection(self, address: str) -> bool:
        """Return whether a connection to this router is open that the router has not announced to end."""
        return any(not connection.closing for connection in self.connections.get(address, ()))

    def is_full(self, address: str) -> bool:
        """Return whether this router has `max_connections`, with dials in progress."""
        count = len(self.connections.get(address, ())) + self.dialling.get(address, 0)
        return count >= self.settings.max_connections

    async def wait_for_change(self, until: float) -> None:
        """Wait until a connection opens, closes or gets a free slot, at most until this moment."""
        event = self._change
        with anyio.move_on_after(max(until - anyio.current_time(), 0.0)):
            await event.wait()

    def notify_change(self) -> None:
        """Wake the calls that wait for a change of the connections."""
        self._change.set()
        self._change = anyio.Event()

    # Dialling.

    async def dial(self, router: Router) -> Connection:
        """Return a new connection to this router.

        Raises DialFailed if none came up, after the picker and the reconnection gate have recorded that.
        """
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
        """Run a gRPC connection to its end."""
        await connection.run()
        if not connection.socket.closed and not connection.closing:
            self._handle_loss(connection, idle=not connection.is_busy)
        else:
            self.close_connection(connection)

    def _record_delay(self, delay: float | None) -> None:
        if delay is not None:
            self.stats.record(self.stats.reconnect_delay_us, delay)

    # Loss.

    def _handle_closing(self, connection: Connection) -> None:
        """Record that a router announced to end this connection."""
        now = anyio.current_time()
        router = self.picker.routers.get(connection.router)
        if router is None:  # the router has left the list, and this client ends the connection itself
            return
        self.picker.record_stopping(router, now)
        self.stats.connections_lost += 1
        self.observe("lost", connection.router, now)
        self._record_delay(
            self.reconnect_gate.connection_lost(now, self._rng.random(), idle=not connection.is_busy)
        )
        self.notify_change()

    def _handle_loss(self, connection: Connection, idle: bool) -> None:
        """Close and record a connection that the router ended unannounced."""
        self.close_connection(connection)
        now = anyio.current_time()
        self.stats.connections_lost += 1
        self.observe("lost", connection.router, now)
        self._record_delay(self.reconnect_gate.connection_lost(now, self._rng.random(), idle=idle))

    def kept_connection_lost(self, connection: Connection) -> None:
        """Record the loss of a kept connection during a request, which may be that of many clients."""
        self._handle_loss(connection, idle=False)

    def all_dials_failed(self) -> None:
        """Start a backoff, as after a loss, when a request could connect to no router at all."""
        self._record_delay(
            self.reconnect_gate.connection_lost(anyio.current_time(), self._rng.random(), idle=False)
        )

    def close_connection(self, connection: Connection) -> None:
        """Close a connection and remove it from the pool."""
        connection.close()
        connections = self.connections.get(connection.router, [])
        if connection in connections:
            connections.remove(connection)
            self.stats.open_connections -= 1
            if not connections:
                del self.connections[connection.router]
        self.notify_change()

    def release(self, connection: Connection) -> None:
        """Take back a connection from an exchange that has ended."""
        if connection.closing and self.protocol == "http" and connection.router in self.picker.routers:
            self._handle_closing(connection)
        if connection.socket.closed or (connection.closing and not connection.is_busy):
            self.close_connection(connection)
        self.notify_change()

    def close(self) -> None:
        self.is_closed = True
        for connections in list(self.connections.values()):
            for connection in list(connections):
                self.close_connection(connection)
        self.notify_change()

    def close_after_fork(self) -> None:
        """Close a forked child's copies of the descriptors without writing to the connections."""
        self.is_closed = True
        for connections in self.connections.values():
            for connection in connections:
                connection.socket.close_after_fork()
        self.connections.clear()

    def remove_routers(self, addresses: list[str]) -> None:
        """Close the connections to routers that left the list, the busy ones after their calls."""
        for address in addresses:
            for connection in list(self.connections.get(address, ())):
                connection.closing = True
                if not connection.is_busy:
                    self.close_connection(connection)

    # Idle connections.

    async def maintain(self) -> None:
        """Check the connections and reopen lost idle ones, until cancelled."""
        while True:
            if not self.connections and not self.reconnect_gate.reopens_due:
                await self._change.wait()
                continue
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.check_connections(anyio.current_time())
            await self._reopen_one(anyio.current_time())

    def check_connections(self, now: float) -> None:
        """Close connections that were idle for too long, have ended, or whose peer doesn't answer a ping."""
        idle_s = self.settings.idle_s * IDLE_FACTOR[self.protocol]
        for connection in [
            connection for connections in self.connections.values() for connection in connections
        ]:
            if isinstance(connection, KserveConnection) and connection.is_busy:
                if not connection.ping_if_quiet(now, self.settings.ping_s):
                    connection.fail_connection("no answer to a ping")
                    router = self.picker.routers.get(connection.router)
                    if router is not None:
                        self.picker.record_failure(router, now)
            elif not connection.is_busy:
                if now - connection.idle_since >= idle_s:
                    self.close_connection(connection)
                elif not isinstance(connection, KserveConnection) and connection.socket.is_readable():
                    self._handle_loss(connection, idle=True)

    async def _reopen_one(self, now: float) -> None:
        """Open one lost idle connection again, if the client has no connection by then."""
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
