"""The platform's front: client connections over HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ...routing.types import Log, RPCDispatcher
from ...transport.budget import DescriptorBudget
from ...transport.close_watch import CloseWatch
from ...transport.connection import Connection
from ...transport.ledger import MemoryLedger
from ..front import Front
from .closing import Closing
from .connection import ClientConnection


class HttpFront(Front[ClientConnection]):
    """The front for HTTP/1.1."""

    def __init__(
        self,
        core: RPCDispatcher,
        is_ready: Callable[[], bool],
        budget: DescriptorBudget,
        ledger: MemoryLedger,
        log: Log,
    ) -> None:
        super().__init__(core, is_ready, budget, ledger, log)
        self.closing = Closing()
        self._close_watch = CloseWatch()

    def create_client(self, connection: Connection) -> ClientConnection:
        return ClientConnection(self, connection, self.closing, self._close_watch)

    async def announce_close(self) -> None:
        self.closing.announce()

    async def drain(self) -> None:
        """Close connections between requests, now and from now on."""
        self.closing.begin(trio.current_time())
        for client in self.clients:
            client.close_if_idle()

    def resume(self) -> None:
        self.closing.cancel()
