"""What the fronts of all protocols have in common: their client connections."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import trio

from ..routing.types import Log, RPCDispatcher
from ..transport.admission import EvictionQueue, Stage, select_evictions
from ..transport.budget import DescriptorBudget, PayloadBudget, Use
from ..transport.connection import Connection

MAX_BODY_BYTES = 256 * 1024  # of a request, or of a message
# What a client may take. A request that is cut short is told by the silence after it: a slow link delivers
# late but goes on delivering, so a body that still comes has long.
HEAD_TIMEOUT_S = (
    2.5  # from a connection's start, or from a later request's first byte, to the end of its head
)
STALL_TIMEOUT_S = 2.0  # without a byte, within a request
BODY_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 15.0  # a client that takes nothing for so long has gone
HANG_UP_TIMEOUT_S = 5.0  # to read on after an error: 60 MB that were under way arrive in it
HANG_UP_QUIET_S = 1.0  # of nothing, and nothing more will come
DRAINING_FIRST_BYTE_TIMEOUT_S = 1.0  # for the first byte, or call, of who comes to a drained router
CLOSE_POLL_S = 0.01
MAX_EVICTED_AT_ONCE = 8  # connections that make room in one step, if their patience is used up


class Client(Protocol):
    """The actor of one client connection."""

    has_sent_request: bool  # whether it has ever sent a request
    reserved_bytes: int  # of the payload budget, for what has come of a request

    @property
    def stage(self) -> Stage: ...

    @property
    def since(self) -> float: ...

    @property
    def readable(self) -> bool:
        """Whether something has just come on it."""

    @property
    def owes_answer(self) -> bool:
        """Whether a request has been read, in whole or in part, whose answer is not written yet."""

    async def run(self) -> None: ...

    def evict(self) -> None:
        """Close, at once: no whole request has been taken."""

    def close_if_idle(self) -> bool:
        """Close between requests; tells whether it was idle."""


C = TypeVar("C", bound=Client)


class Front(ABC, Generic[C]):
    """The client connections of one protocol."""

    def __init__(
        self,
        core: RPCDispatcher,
        is_ready: Callable[[], bool],
        budget: DescriptorBudget,
        payloads: PayloadBudget,
        log: Log,
    ) -> None:
        self.core = core
        self.is_ready = is_ready
        self.payloads = payloads
        self.clients: dict[C, None] = {}  # in order of their coming: a replay asks them alike
        # Where a kill will follow: what is whole from then on could not be answered to its end before it.
        self.refuse_requests_from = math.inf
        # Set once another process takes connections over that are between requests; tells whether it did.
        self.pass_connection: Callable[[Connection], Awaitable[bool]] | None = None
        self.log = log
        self.queue: EvictionQueue[C] = EvictionQueue()  # of those that may make room
        self.shed: Counter[str] = Counter()  # connections that made room, by stage
        budget.eviction_callbacks[Use.CLIENT].append(self.evict_clients)

    @abstractmethod
    def create_client(self, connection: Connection) -> C:
        """The actor for a new connection."""

    @abstractmethod
    async def linger(self) -> None:
        """Told to stop: take what still comes, and tell clients to go elsewhere."""

    @abstractmethod
    async def drain(self) -> None:
        """Take nothing new, and end what is idle."""

    @abstractmethod
    def resume(self) -> None:
        """The drain was an operator's, and is over: as before `linger`."""

    async def handle_passed_connection(self, connection: Connection) -> None:
        """A connection that another process has served so far."""
        await self.handle(connection, True)

    async def handle(self, connection: Connection, has_sent_request: bool = False) -> None:
        client = self.create_client(connection)
        client.has_sent_request = has_sent_request
        self.clients[client] = None
        self.queue.add(client)
        try:
            await client.run()
        except Exception as error:  # a peer's fault never ends the program
            self.log("err", "FRONT", "fault on a client connection", error=repr(error))
            if client.owes_answer:
                self.core.closed_without_answer("", repr(error))
        finally:
            del self.clients[client]
            self.queue.remove(client)

    @property
    def is_refusing(self) -> bool:
        """Whether a request that is whole now comes too late to be taken."""
        return trio.current_time() >= self.refuse_requests_from

    def evict_clients(self) -> bool:
        """Close a client connection for a newcomer, or some; tells whether there was one."""
        shed = [
            c for c in self.queue.select_evictions(trio.current_time(), MAX_EVICTED_AT_ONCE) if not c.readable
        ]
        for client in shed:
            self.shed[client.stage.value] += 1
            client.evict()
        return bool(shed)

    def reserve_payload(self, client: C, count: int) -> bool:
        """Room in memory for bytes of a request. Guards requests that go on against those that have stopped
        half way: the one that has been silent longest lets go of its bytes.
        """
        while not self.payloads.acquire(count):
            others = (
                c for c in self.clients if c.stage is Stage.PARTIAL and c.reserved_bytes and c is not client
            )
            stopped = select_evictions(others, trio.current_time(), 1)
            if not stopped or stopped[0].readable:
                return False
            self.shed["payload"] += 1
            stopped[0].evict()
        client.reserved_bytes += count
        return True

    async def log_evictions(self) -> None:
        while True:
            await trio.sleep(1.0)
            if self.shed:
                counts, self.shed = self.shed, Counter()
                self.log("notice", "CROWD", "connections closed to make room", **counts)

    async def wait_closed(self, within_s: float) -> None:
        """Wait until the last answer has been written, and then so long for the connections to end."""
        while any(client.owes_answer for client in self.clients):
            await trio.sleep(CLOSE_POLL_S)
        with trio.move_on_after(within_s):
            while self.clients:
                await trio.sleep(CLOSE_POLL_S)
