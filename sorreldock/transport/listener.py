"""A listening socket that gives each connection a task of its own."""

from __future__ import annotations

import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from .budget import DescriptorBudget, Use
from .connection import Connection, split_address
from .failures import is_resource_shortage, retry_transient
from .system import MACHINE, System

ACCEPT_PAUSE_S = 0.01  # after a failed accept: the system may be short of descriptors or memory
BIND_S = 5.0  # for the system to have what a listening socket takes
ADOPT_TRIES = 3
BACKLOG_S = 1.0  # to take what the kernel has accepted, when the listener closes


class Listener:
    """Accepts connections within the descriptor budget."""

    def __init__(
        self, address: str, budget: DescriptorBudget, system: System = MACHINE, inherited: int | None = None
    ) -> None:
        host, port = split_address(address)
        self._family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._inherited = inherited is not None
        self._sock: Any = None if inherited is None else system.inherited(inherited)  # from `bind` on
        self._listens = False
        self._system = system
        self._wait_readable = system.wait_readable
        self._budget = budget
        self._where = (host, port)
        self._scope = trio.CancelScope()
        self.ended = trio.Event()  # nothing more comes from it

    async def bind(self) -> str:
        """Take the address, and tell it with the port that the system chose for port 0.

        Nobody can connect before `listen`: a connection that the kernel accepts counts as taken, however long
        the program is still busy with its start.
        """
        if self._inherited:  # it listens already, and for another process too
            return self._name()
        shortages: list[OSError] = []

        def is_transient(error: OSError) -> bool:
            shortages.append(error)
            return is_resource_shortage(error)

        with trio.move_on_after(BIND_S) as scope:
            self._sock = await retry_transient(self._bound, is_transient)
        if scope.cancelled_caught:
            raise shortages[-1]
        return self._name()

    async def listen(self) -> None:
        """Let clients connect; of no effect on a socket that listens already."""
        if not self._inherited and not self._listens:
            await retry_transient(self._listen, is_resource_shortage)
            self._listens = True

    async def _listen(self) -> None:
        self._sock.listen(self._budget.limit)  # all that may come at once; the system bounds it

    async def _bound(self) -> Any:
        sock = self._system.socket(self._family)
        try:
            # A router starts again on its address while connections of the killed one linger.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await sock.bind(self._where)
        except BaseException:
            sock.close()
            raise
        return sock

    def _name(self) -> str:
        name = self._sock.getsockname()
        return f"[{name[0]}]:{name[1]}" if ":" in name[0] else f"{name[0]}:{name[1]}"

    async def serve(self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]) -> None:
        """Accept until `close`; the connections outlive it in `nursery`."""
        try:
            with self._sock:
                with self._scope:
                    await self.listen()
                    while True:
                        await self._wait_readable(self._sock)  # nobody makes room for nobody
                        await self._accept_next(nursery, handle)
                if self._scope.cancelled_caught and not self._inherited:
                    with trio.CancelScope(shield=True, deadline=trio.current_time() + BACKLOG_S):
                        await self._accept_backlog(nursery, handle)
        finally:
            self.ended.set()

    async def _accept_next(
        self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]
    ) -> None:
        """Accept one connection once there is a descriptor for it; pauses behind a failure."""
        # Guards the descriptor limit: with all in use, newcomers wait in the kernel's backlog.
        while not self._budget.acquire(Use.CLIENT):
            await self._budget.wait_released(0.05)
        if not await self._accept(nursery, handle):
            await trio.sleep(ACCEPT_PAUSE_S)

    async def _accept_backlog(
        self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]
    ) -> None:
        """Take the connections that the kernel has already accepted.

        Closing the socket would reset them, with requests that their clients take for delivered. A failed
        accept or a want of descriptors may pass while this waits.
        """
        while self._sock.is_readable():
            await self._accept_next(nursery, handle)

    async def _accept(self, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]) -> bool:
        """Accept one connection, on a descriptor that the budget has given; tells whether one came."""
        try:
            sock, _ = await self._sock.accept()
        except OSError:  # the newcomer has gone again, or this machine is short of something
            self._budget.release(Use.CLIENT)
            return False
        except trio.Cancelled:
            self._budget.release(Use.CLIENT)
            raise
        connection = Connection(sock, lambda: self._budget.release(Use.CLIENT), self._wait_readable)
        nursery.start_soon(self._attend, handle, connection)
        return True

    def adopt(
        self, descriptor: int, nursery: trio.Nursery, handle: Callable[[Connection], Awaitable[None]]
    ) -> None:
        """Serve a connection that another process has accepted, and the budget counts already."""

        def release() -> None:
            self._budget.release(Use.CLIENT)

        try:
            sock = self._inherited_socket(descriptor)
        except OSError:  # its client hears of it, and can come again
            os.close(descriptor)
            release()
            return
        connection = Connection(sock, release, self._wait_readable)
        nursery.start_soon(self._attend, handle, connection)

    def _inherited_socket(self, descriptor: int) -> Any:
        """Return the socket of a descriptor; a look at it may fail for a moment."""
        for _ in range(ADOPT_TRIES - 1):
            try:
                return self._system.inherited(descriptor)
            except OSError as error:
                if not is_resource_shortage(error):
                    raise
        return self._system.inherited(descriptor)

    async def _attend(self, handle: Callable[[Connection], Awaitable[None]], connection: Connection) -> None:
        try:
            await handle(connection)
        finally:
            connection.close()

    def close(self) -> None:
        self._scope.cancel()
