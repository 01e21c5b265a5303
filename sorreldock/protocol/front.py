"""What the fronts of all protocols have in common: their client connections."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

from ..routing.types import Log, Router
from ..transport.budget import Descriptors, Payloads, Use
from ..transport.connection import Connection


class Client(Protocol):
    """The actor of one client connection."""

    async def run(self) -> None: ...

    def close_if_idle(self) -> bool:
        """Close between requests; tells whether it was idle."""


C = TypeVar("C", bound=Client)


class Front(ABC, Generic[C]):
    def __init__(
        self,
        core: Router,
        is_ready: Callable[[], bool],
        budget: Descriptors,
        payloads: Payloads,
        log: Log,
    ) -> None:
        self.core = core
        self.is_ready = is_ready
        self.payloads = payloads
        self.clients: set[C] = set()
        self._log = log
        budget.evictors[Use.CLIENT].append(self.close_one_idle)

    @abstractmethod
    def attend(self, connection: Connection) -> C:
        """The actor for a new connection."""

    @abstractmethod
    async def linger(self) -> None:
        """Told to stop: take what still comes, and tell clients to go elsewhere."""

    @abstractmethod
    async def drain(self) -> None:
        """Take nothing new, and end what is idle."""

    async def handle(self, connection: Connection) -> None:
        client = self.attend(connection)
        self.clients.add(client)
        try:
            await client.run()
        except Exception as error:  # a peer's fault never ends the program
            self._log("err", "FRONT", "fault on a client connection", error=repr(error))
        finally:
            self.clients.discard(client)

    def close_one_idle(self) -> bool:
        """Ask one idle client connection to close. Its descriptor comes free a moment later, so: not yet."""
        any(client.close_if_idle() for client in self.clients)
        return False

    async def closed(self, within_s: float) -> None:
        """Wait until the last answer has been written."""
        with trio.move_on_after(within_s):
            while self.clients:
                await trio.sleep(0.01)
