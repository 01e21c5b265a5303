"""The common part of the server clients of all protocols: running an attempt on a pooled connection."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

import trio

from ..interface import Status
from ..routing.types import RPC, AttemptProgress, AttemptResult
from ..transport.connection import ConnectionLost, DialFailed, LocalShortage, NoListener
from ..transport.pool import ConnectionPool, PooledConnection

# The time without an event after which a response stream counts as broken. Without it clients would wait for
# ever for a machine that vanished, since such a machine sends no reset. Longer than a slow server's pauses
# between events, shorter than the 5 s that the platform allows.
EVENT_GAP_TIMEOUT_S = 3.5
PROBE_TIMEOUT_S = 0.25
# The time from the first byte of an answer to its first whole event, which servers send together with the
# head. Without this limit an incomplete head or garbage on a connection that stays open would use up the
# request's whole time, with none left for another attempt.
FIRST_EVENT_TIMEOUT_S = 1.0
MAX_EVENT_BYTES = 128 * 1024


class RequestNotProcessed(ConnectionLost):
    """The connection was lost and the protocol proves that the server did not process the request."""


class ServerProtocolError(Exception):
    """The server violated the protocol."""


def dial_status(error: DialFailed) -> Status:
    """Return the status of an attempt whose connection could not be established."""
    if isinstance(error, LocalShortage):
        return Status.NOT_SENT
    return Status.NO_LISTENER if isinstance(error, NoListener) else Status.CONNECT_FAILED


L = TypeVar("L", bound=PooledConnection)
E = TypeVar("E")


class PooledServerClient(ABC, Generic[L, E]):
    """A server client that runs each attempt and probe on a connection of its pool.

    `L` is the type of a connection with its parser, `E` that of a request and its answer on a connection.
    """

    def __init__(self, pool: ConnectionPool[L]) -> None:
        self._pool = pool
        self.close_idle = pool.close_idle
        self.discard = pool.discard
        self.trim = pool.trim

    @abstractmethod
    async def send(self, connection: L, rpc: RPC, progress: AttemptProgress) -> E:
        """Write the whole request and return the exchange that its answer is read from."""

    @abstractmethod
    async def answer(self, exchange: E, progress: AttemptProgress) -> AttemptResult:
        """Forward the events of the answer until its end, and return the result."""

    @abstractmethod
    async def ask_load(self, connection: L) -> AttemptResult:
        """Send a probe and return its result, with the load report of the server."""

    async def call(self, rpc: RPC, progress: AttemptProgress) -> AttemptResult:
        try:
            connection = await self._pool.get()
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
            except (ConnectionLost, ServerProtocolError) as error:
                return AttemptResult(Status.RESET, note=str(error))
            completed = True
            return result
        finally:  # closes the connection of an incomplete exchange, which cancels the attempt at the server
            self._pool.release(connection, completed)

    async def probe(self) -> AttemptResult:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                connection = await self._pool.get()
            except DialFailed as error:
                return AttemptResult(dial_status(error), note=str(error))
            completed = False
            try:
                result = await self.ask_load(connection)
                completed = True
                return result
            except (ConnectionLost, ServerProtocolError) as error:
                return AttemptResult(Status.RESET, note=str(error))
            finally:
                self._pool.release(connection, completed)
        return AttemptResult(Status.TIMEOUT)
