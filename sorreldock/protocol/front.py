"""The common part of the fronts of all protocols: handling client connections."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

import trio

from ..routing.types import Log, RPCDispatcher
from ..transport.admission import EvictionQueue, Stage
from ..transport.budget import DescriptorBudget, Use
from ..transport.connection import Connection
from ..transport.ledger import Account, Holding, MemoryLedger
from ..transport.turns import Turns
from .partial_requests import PartialRequest, PartialRequests

MAX_BODY_BYTES = 256 * 1024  # of a request body or a message
# Of one request. As an object, a field of some bytes takes some hundred; well-known proxies have this limit.
MAX_HEADER_FIELDS = 100
# A share of the payload budget is kept for the first bytes of each request, so that slow large requests don't
# keep out small ones.
SMALL_REQUEST_BYTES = 16 * 1024
SPARED_FOR_SMALL_REQUESTS = 0.125
# Time limits for clients. Those of a request that is being received stand in `request_pace`.
# From accepting the connection, or the first byte of a later request, to the end of the request's head.
HEAD_TIMEOUT_S = 2.5
REFUSAL_TIMEOUT_S = 2.0  # to tell a client that there is no memory for its connection
WRITE_TIMEOUT_S = 15.0  # a client that reads nothing for this long counts as disconnected
LINGERING_CLOSE_TIMEOUT_S = 5.0  # for discarding what a client still sends; enough for 60 MB in transit
LINGERING_CLOSE_QUIET_S = 1.0  # after this time without a byte no more are expected
DRAINING_FIRST_BYTE_TIMEOUT_S = 1.0  # for the first byte or stream of a new client while draining
CLOSE_POLL_S = 0.01
MAX_UNSENT_BYTES = 64 * 1024  # of an answer in the kernel, beyond what is on its way
# The costs of turns: a read counts 1 and more for what it brings, a write of events little.
READ_BYTES_PER_TURN = 4 * 1024
WRITE_BYTES_PER_TURN = 16 * 1024
WRITE_COST = 0.25
MIN_EXPIRES_IN_S = 0.001  # for a request whose deadline has passed; the decision module then fails it
MAX_EVICTED_AT_ONCE = 8  # connections closed in one step, if their time limits have passed


@dataclass(frozen=True, slots=True)
class Resources:
    """What the connections of all fronts share."""

    budget: DescriptorBudget
    ledger: MemoryLedger
    turns: Turns


class FrontConnection(Protocol):
    """The interface of a client connection's actor to its front."""

    has_sent_request: bool  # whether the client has ever sent a request

    @property
    def stage(self) -> Stage: ...

    @property
    def since(self) -> float: ...

    @property
    def readable(self) -> bool:
        """Whether received bytes wait to be read."""

    @property
    def owes_answer(self) -> bool:
        """Whether a request has been read, fully or partly, whose answer is not fully written."""

    @property
    def is_delivering(self) -> bool:
        """Whether the client's machine has not acknowledged everything that was written."""

    async def run(self) -> None: ...

    def evict(self) -> None:
        """Close the connection at once; called only while no whole request has been read."""

    def close_if_idle(self) -> bool:
        """Close the connection if it is between requests, and return whether it was."""


ClientT = TypeVar("ClientT", bound=FrontConnection)


class Front(ABC, Generic[ClientT]):
    """The client connections of one protocol."""

    connection_bytes = 0  # of memory that a connection takes without its requests

    def __init__(
        self,
        core: RPCDispatcher,
        is_ready: Callable[[], bool],
        resources: Resources,
        log: Log,
    ) -> None:
        self.core = core
        self.is_ready = is_ready
        budget = self.budget = resources.budget
        self.ledger = resources.ledger
        self.payloads = self.ledger[Account.PAYLOADS]
        self.turns = resources.turns
        self.partial_requests = PartialRequests()
        # A dict, so that the order is the same in each replay of a simulation.
        self.clients: dict[ClientT, None] = {}
        # The time from which requests are refused: the process will be killed before it could answer them.
        self.refuse_requests_from = math.inf
        # Passes a connection between requests to the successor process; returns whether that succeeded.
        self.pass_connection: Callable[[Connection], Awaitable[bool]] | None = None
        self.log = log
        # The connections that may be closed to make room.
        self.queue: EvictionQueue[ClientT] = EvictionQueue()
        # Since the last record: connections closed to make room, by stage, and requests that were answered
        # without a server, by status.
        self.evictions: Counter[str] = Counter()
        self.rejections: Counter[str] = Counter()
        budget.eviction_callbacks[Use.CLIENT].append(self.evict_clients)
        budget.evictable_counts.append(lambda: len(self.queue))

    @abstractmethod
    def create_client(self, connection: Connection) -> ClientT:
        """Return the actor for a new connection."""

    @abstractmethod
    async def refuse_connection(self, connection: Connection) -> None:
        """Tell a client that there is no memory for its connection."""

    @abstractmethod
    async def announce_close(self) -> None:
        """Announce to clients that their connections will close, but accept further requests."""

    @abstractmethod
    async def drain(self) -> None:
        """Accept no new requests, and close idle connections."""

    @abstractmethod
    def resume(self) -> None:
        """Return to the state before `announce_close`, after an operator has cancelled a drain."""

    async def handle_passed_connection(self, connection: Connection) -> None:
        """Serve a connection that a predecessor process has passed on."""
        await self.handle(connection, True)

    async def handle(self, connection: Connection, has_sent_request: bool = False) -> None:
        """Serve a client connection to its end."""
        connection.limit_unsent(MAX_UNSENT_BYTES)
        holding = Holding(self.ledger[Account.CONNECTIONS])
        try:
            if holding.acquire(self.connection_bytes) or (
                self.evict_clients() and holding.acquire(self.connection_bytes)
            ):
                await self._serve(connection, has_sent_request)
            else:
                await self.refuse_connection(connection)
        finally:
            holding.release_all()

    async def _serve(self, connection: Connection, has_sent_request: bool) -> None:
        client = self.create_client(connection)
        client.has_sent_request = has_sent_request
        self.clients[client] = None
        self.queue.add(client)
        try:
            await client.run()
        except Exception as error:  # no behaviour of a peer may end the program
            self.log("err", "FRONT", "unexpected error on a client connection", error=repr(error))
            if client.owes_answer:
                self.core.record_unanswered_close("", repr(error))
        finally:
            del self.clients[client]
            self.queue.remove(client)

    @property
    def is_refusing(self) -> bool:
        """Whether a request that has arrived completely now must be refused."""
        return trio.current_time() >= self.refuse_requests_from

    def evict_clients(self) -> bool:
        """Close client connections to make room for a new one, and return whether any was closed."""
        evicted = [
            c for c in self.queue.select_evictions(trio.current_time(), MAX_EVICTED_AT_ONCE) if not c.readable
        ]
        for client in evicted:
            self.evictions[client.stage.value] += 1
            client.evict()
        return bool(evicted)

    def reserve_payload(self, request: PartialRequest, count: int) -> bool:
        """Reserve memory for bytes of a request, and return whether that succeeded.

        If memory is short, partial requests that make too little progress are refused first.
        """
        is_small = request.reserved_bytes + count <= SMALL_REQUEST_BYTES
        while not self.payloads.acquire(count, 0.0 if is_small else SPARED_FOR_SMALL_REQUESTS):
            victim = self.partial_requests.choose_victim(trio.current_time(), request)
            if victim is None:
                return False
            self.evictions["payload"] += 1
            self.partial_requests.remove(victim)
            victim.refuse_for_memory()
        request.reserved_bytes += count
        return True

    def release_payload(self, count: int) -> None:
        """Release memory of requests."""
        self.payloads.release(count)

    async def wait_closed(self, within_s: float) -> None:
        """Wait until all answers are delivered, then at most `within_s` for the connections to end.

        A client that acknowledges nothing more is given up by its connection.
        """
        while any(client.owes_answer or client.is_delivering for client in self.clients):
            await trio.sleep(CLOSE_POLL_S)
        with trio.move_on_after(within_s):
            while self.clients:
                await trio.sleep(CLOSE_POLL_S)
