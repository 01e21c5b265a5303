"""The platform's front: client connections over HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import trio

from ...routing.types import Log, RPCDispatcher
from ...transport.close_watch import CloseWatch
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits
from ..front import Front, Resources
from .closing import Closing
from .connection import ClientConnection

NO_MEMORY_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
)


class HttpFront(Front[ClientConnection]):
    """The front for HTTP/1.1."""

    connection_bytes = 16 * 1024

    def __init__(
        self,
        core: RPCDispatcher,
        is_ready: Callable[[], bool],
        resources: Resources,
        log: Log,
    ) -> None:
        super().__init__(core, is_ready, resources, log)
        self.closing = Closing()
        self._close_watch = CloseWatch()

    def create_client(self, connection: Connection) -> ClientConnection:
        return ClientConnection(self, connection, self.closing, self._close_watch)

    async def refuse_connection(self, connection: Connection) -> None:
        with suppress(ConnectionLost), trio.move_on_after(limits.REFUSAL_TIMEOUT_S):
            await connection.send(NO_MEMORY_ANSWER)
            await connection.lingering_close(limits.REFUSAL_TIMEOUT_S, limits.LINGERING_CLOSE_QUIET_S)

    async def announce_close(self) -> None:
        self.closing.announce()

    async def drain(self) -> None:
        """Close connections between requests, now and from now on."""
        self.closing.begin(trio.current_time())
        for client in self.clients:
            client.close_if_idle()

    def resume(self) -> None:
        self.closing.cancel()
