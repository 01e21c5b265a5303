"""The common part of the server clients of all protocols: running an attempt on a pooled connection."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

from ..completeness import IncompleteAnswer
from ..interface import Status
from ..routing.types import RPC, AttemptProgress, AttemptResult
from ..transport.connection import ConnectionLost, DialFailed, LocalShortage, NoListener
from ..transport.pool import ConnectionPool, PooledConnection

# The time without an event after which a response stream counts as broken. Without it clients would wait
# for ever for a server whose machine has failed, since it sends no reset. The platform lets a client wait
# for 5 s, of which the program may be held up for 0.15 s.
EVENT_GAP_TIMEOUT_S = 4.85
# The same for a server that discovery no longer lists or whose machine refuses connections.
GONE_EVENT_GAP_TIMEOUT_S = 3.5
PROBE_TIMEOUT_S = 0.25
# The time from the first byte of an answer to its first whole event, which servers send together with the
# head. Without this limit an incomplete head or part of an event on a connection that stays open would use up
# the request's whole time, with none left for another attempt.
FIRST_EVENT_TIMEOUT_S = 1.0
# An event that is being received extends these times for as long as each span of FIRST_EVENT_TIMEOUT_S brings
# a part of it, up to this time for the whole event.
EVENT_TIMEOUT_S = 30.0
MAX_EVENT_BYTES = 128 * 1024
# When the ledger is full, what has been received of a longer event is forwarded before the event is whole.
MIN_PART_BYTES = 16 * 1024


class RequestNotProcessed(ConnectionLost):
    """The connection was lost and the protocol proves that the server did not process the request."""


class ServerProtocolError(Exception):
    """The server violated the protocol."""


def dial_status(error: DialFailed) -> Status:
    """Return the status of an attempt whose connection could not be established."""
    if isinstance(error, LocalShortage):
        return Status.NOT_SENT
    return Status.NO_LISTENER if isinstance(error, NoListener) else Status.CONNECT_FAILED


T = TypeVar("T")
ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)
ExchangeT = TypeVar("ExchangeT")


async def read_while_received(
    read: Callable[[], Awaitable[T]], timeout_s: float, received_at: Callable[[], float]
) -> T:
    """Return what `read` returns; raise ConnectionLost when it takes too long.

    `read` has `timeout_s`, which is extended while parts of what it reads arrive;
    `received_at` returns when the last part came. `read` is started anew each time.
    """
    began_at = trio.current_time()
    deadline = began_at + timeout_s
    while True:
        with trio.move_on_at(deadline):
            return await read()
        extended = min(received_at() + FIRST_EVENT_TIMEOUT_S, began_at + EVENT_TIMEOUT_S)
        if extended <= trio.current_time():
            raise ConnectionLost("no event in time within the stream")
        deadline = extended


class PooledServerClient(ABC, Generic[ConnectionT, ExchangeT]):
    """A server client that runs each attempt and probe on a connection of its pool.

    `ConnectionT` is the type of a connection with its parser, `ExchangeT` that of a request and its answer.
    """

    def __init__(self, pool: ConnectionPool[ConnectionT]) -> None:
        self._pool = pool
        self._refuses_connections = False  # whether the last dial met a closed port
        self.change_process = pool.change_process
        self.discard = pool.discard
        self.trim = pool.trim

    @abstractmethod
    async def send(self, connection: ConnectionT, rpc: RPC, progress: AttemptProgress) -> ExchangeT:
        """Write the whole request and return the exchange that its answer is read from."""

    @abstractmethod
    async def answer(self, exchange: ExchangeT, progress: AttemptProgress) -> AttemptResult:
        """Forward the events of the answer until its end, and return the result.

        Raises ConnectionLost, ServerProtocolError or IncompleteAnswer for an answer that is not complete.
        """

    @abstractmethod
    async def send_probe(self, connection: ConnectionT) -> AttemptResult:
        """Send a probe and return its result, with the load report of the server."""

    async def read_within_event_gap(
        self, progress: AttemptProgress, read: Callable[[], Awaitable[T]], received_at: Callable[[], float]
    ) -> T:
        """Return what `read` returns, the next part of a stream; raise ConnectionLost when it takes too long.

        `read` is started anew if it is cancelled, so it must keep what it has read. `received_at` returns
        when the last bytes of an incomplete part were received, -inf without one.
        """
        with trio.move_on_after(min(GONE_EVENT_GAP_TIMEOUT_S, EVENT_GAP_TIMEOUT_S)):
            return await read()
        timeout_s = max(EVENT_GAP_TIMEOUT_S - GONE_EVENT_GAP_TIMEOUT_S, 0.0)
        if self._refuses_connections or progress.is_server_removed():
            timeout_s = 0.0
        return await read_while_received(read, timeout_s, received_at)

    async def _connect(self) -> ConnectionT:
        """Return a connection of the pool; raise DialFailed."""
        try:
            connection = await self._pool.get()
        except DialFailed as error:
            self._refuses_connections = isinstance(error, NoListener)
            raise
        self._refuses_connections = False
        return connection

    async def run_attempt(self, rpc: RPC, progress: AttemptProgress) -> AttemptResult:
        try:
            connection = await self._connect()
        except DialFailed as error:
            return AttemptResult(dial_status(error), note=str(error))
        completed = False
        try:
            if not progress.may_send():
                completed = True
                return AttemptResult(Status.NOT_SENT)
            try:
                exchange = await self.send(connection, rpc, progress)
            except RequestNotProcessed as error:
                return AttemptResult(Status.FULL, note=str(error))
            except (ConnectionLost, ServerProtocolError) as error:
                # The last byte was not written, so the server has not run it, and the transport never sends
                # it again.
                return AttemptResult(Status.CONNECT_FAILED, note=str(error))
            progress.mark_written()
            try:
                result = await self.answer(exchange, progress)
            except RequestNotProcessed as error:
                return AttemptResult(Status.FULL, note=str(error))
            except (ConnectionLost, ServerProtocolError, IncompleteAnswer) as error:
                return AttemptResult(Status.RESET, note=str(error))
            completed = True
            return result
        finally:  # closes the connection of an incomplete exchange, which cancels the attempt at the server
            self._pool.release(connection, completed)

    async def probe(self) -> AttemptResult:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                connection = await self._connect()
            except DialFailed as error:
                return AttemptResult(dial_status(error), note=str(error))
            completed = False
            try:
                result = await self.send_probe(connection)
                completed = True
                return result
            except (ConnectionLost, ServerProtocolError, IncompleteAnswer) as error:
                return AttemptResult(Status.RESET, note=str(error))
            finally:
                self._pool.release(connection, completed)
        return AttemptResult(Status.TIMEOUT)
