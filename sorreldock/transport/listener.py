"""A listening socket that starts a task for each connection."""

from __future__ import annotations

import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from .budget import DescriptorBudget, Use
from .connection import Connection, split_address
from .failures import is_resource_shortage, retry_transient
from .system import REAL_SYSTEM, System

ACCEPT_PAUSE_S = 0.01  # after a failed accept: the system may be short of descriptors or memory
BIND_TIMEOUT_S = 5.0  # for the system to provide the resources of a listening socket
MAX_ADOPT_ATTEMPTS = 3
BACKLOG_TIMEOUT_S = 1.0  # to accept the connections of the kernel's backlog when the listener closes


class Listener:
    """Accepts connections within the descriptor budget."""

    def __init__(
        self,
        address: str,
        budget: DescriptorBudget,
        system: System = REAL_SYSTEM,
        inherited: int | None = None,
        shares_port: bool = False,
    ) -> None:
        """`shares_port`: another process of this router may listen on the same port during a takeover."""
        host, port = split_address(address)
        self._family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._inherited = inherited is not None
        self._shares_port = shares_port
        self._sock: Any = None if inherited is None else system.inherited(inherited)  # set by `bind`
        self._is_listening = False
        self._system = system
        self._wait_readable = system.wait_readable
        self._budget = budget
        self._host_and_port = (host, port)
        self._scope = trio.CancelScope()
        self.ended = trio.Event()  # set once no more connections are accepted

    async def bind(self) -> str:
        """Bind the address and return it, with the port that the system chose for port 0.

        Clients can't connect before `listen`: a connection that the kernel has completed counts as accepted,
        however long the program still takes to start.
        """
        if self._inherited:  # it listens already, also for another process
            return self._bound_address()
        shortages: list[OSError] = []

        def is_shortage(error: OSError) -> bool:
            shortages.append(error)
            return is_resource_shortage(error)

        with trio.move_on_after(BIND_TIMEOUT_S) as scope:
            self._sock = await retry_transient(self._create_bound_socket, is_shortage)
        if scope.cancelled_caught:
            raise shortages[-1]
        return self._bound_address()

    async def listen(self) -> None:
        """Start listening, so that clients can connect; no effect on a socket that listens already."""
        if not self._inherited and not self._is_listening:
            await retry_transient(self._listen, is_resource_shortage)
            self._is_listening = True

    async def _listen(self) -> None:
        self._sock.listen(self._budget.limit)  # as many as the router can hold; the system may allow fewer

    async def _create_bound_socket(self) -> Any:
        sock = self._system.socket(self._family)
        try:
            # A restarted router binds its address while the kernel still has connections of the killed one.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if self._shares_port:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            await sock.bind(self._host_and_port)
        except BaseException:
            sock.close()
            raise
        return sock

    def _bound_address(self) -> str:
        name = self._sock.getsockname()
        return f"[{name[0]}]:{name[1]}" if ":" in name[0] else f"{name[0]}:{name[1]}"

    async def serve(self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]) -> None:
        """Accept connections until `close`; their tasks run on in `nursery`."""
        try:
            with self._sock:
                with self._scope:
                    await self.listen()
                    while True:
                        await self._wait_readable(self._sock)  # evict no connection before a new one arrives
                        await self._accept_next(nursery, handle)
                if self._scope.cancelled_caught and not self._inherited:
                    with trio.CancelScope(shield=True, deadline=trio.current_time() + BACKLOG_TIMEOUT_S):
                        await self._accept_backlog(nursery, handle)
        finally:
            self.ended.set()

    async def _accept_next(
        self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]
    ) -> None:
        """Accept one connection once a descriptor is available; pause after a failure."""
        # With all descriptors in use, new connections wait in the kernel's backlog.
        while not self._budget.acquire(Use.CLIENT):
            await self._budget.wait_released(0.05)
        if not await self._accept(nursery, handle):
            await trio.sleep(ACCEPT_PAUSE_S)

    async def _accept_backlog(
        self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]
    ) -> None:
        """Accept the connections that are already in the kernel's backlog.

        Closing the socket would reset them, with requests that their clients consider sent. A failed accept
        or a shortage of descriptors may end while this waits.
        """
        while self._sock.is_readable():
            await self._accept_next(nursery, handle)

    async def _accept(self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]) -> bool:
        """Accept one connection, for which a descriptor was acquired; return whether it succeeded."""
        try:
            sock, _ = await self._sock.accept()
        except OSError:  # the client has closed already, or this machine is short of a resource
            self._budget.release(Use.CLIENT)
            return False
        except trio.Cancelled:
            self._budget.release(Use.CLIENT)
            raise
        connection = Connection(sock, lambda: self._budget.release(Use.CLIENT), self._wait_readable)
        nursery.start_soon(self._handle_and_close, handle, connection)
        return True

    def adopt(
        self, descriptor: int, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]
    ) -> None:
        """Serve a connection that another process has accepted and that the budget counts already."""

        def release() -> None:
            self._budget.release(Use.CLIENT)

        try:
            sock = self._inherited_socket(descriptor)
        except OSError:  # the client's connection is closed and it can reconnect
            os.close(descriptor)
            release()
            return
        connection = Connection(sock, release, self._wait_readable)
        nursery.start_soon(self._handle_and_close, handle, connection)

    def _inherited_socket(self, descriptor: int) -> Any:
        """Return the socket of a descriptor; retry a query that fails for lack of a resource."""
        for _ in range(MAX_ADOPT_ATTEMPTS - 1):
            try:
                return self._system.inherited(descriptor)
            except OSError as error:
                if not is_resource_shortage(error):
                    raise
        return self._system.inherited(descriptor)

    async def _handle_and_close(
        self, handle: Callable[[Connection], Awaitable[None]], connection: Connection
    ) -> None:
        try:
            await handle(connection)
        finally:
            connection.close()

    def close(self) -> None:
        self._scope.cancel()
