"""What the engine clients of all protocols have in common: a call attempt's way over a pooled connection."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

import trio

from ..interface import Status
from ..routing.types import RPC, AttemptProgress, AttemptResult
from ..transport.connection import ConnectionLost, DialFailed, LocalShortage, NoListener
from ..transport.pool import ConnectionPool, PooledConnection

# An engine that goes silent within a stream: its client would wait for ever, since a vanished machine says
# nothing. Longer than a slow engine's pause between events, shorter than the 5 s that the platform allows.
EVENT_GAP_TIMEOUT_S = 3.5
PROBE_TIMEOUT_S = 0.25
# An answer that has begun to arrive brings its first whole event at once: its head comes with its first.
# Guards against a head without an end, or noise in place of the opening, on a connection that stays open:
# without this limit the request would wait for its deadline, with no time left for another attempt.
FIRST_EVENT_TIMEOUT_S = 1.0
MAX_EVENT_BYTES = 128 * 1024


class RequestNotProcessed(ConnectionLost):
    """The protocol's own proof that a request was not processed."""


class ServerProtocolError(Exception):
    """The engine has said what its protocol does not allow."""


def dial_status(error: DialFailed) -> Status:
    """What a failed dial says of the engine."""
    if isinstance(error, LocalShortage):
        return Status.NOT_SENT
    return Status.NO_LISTENER if isinstance(error, NoListener) else Status.CONNECT_FAILED


L = TypeVar("L", bound=PooledConnection)
E = TypeVar("E")


class PooledServerClient(ABC, Generic[L, E]):
    """`L` is a connection with its parser, `E` an exchange on it."""

    def __init__(self, pool: ConnectionPool[L]) -> None:
        self._pool = pool
        self.close_idle = pool.close_idle
        self.discard = pool.discard
        self.trim = pool.trim

    @abstractmethod
    async def send(self, line: L, rpc: RPC, progress: AttemptProgress) -> E:
        """Write the request to its last byte."""

    @abstractmethod
    async def answer(self, exchange: E, progress: AttemptProgress) -> AttemptResult:
        """Pass the answer's events on, to its end."""

    @abstractmethod
    async def ask_load(self, line: L) -> AttemptResult:
        """A probe."""

    async def call(self, rpc: RPC, progress: AttemptProgress) -> AttemptResult:
        try:
            line = await self._pool.get()
        except DialFailed as error:
            return AttemptResult(dial_status(error), note=str(error))
        whole = False
        try:
            if not progress.may_send():
                whole = True
                return AttemptResult(Status.NOT_SENT)
            try:
                exchange = await self.send(line, rpc, progress)
            except RequestNotProcessed as error:
                return AttemptResult(Status.FULL, note=str(error))
            except (ConnectionLost, ServerProtocolError) as error:
                # Its last byte was not written: it never ran, and the transport never sends it again.
                return AttemptResult(Status.CONNECT_FAILED, note=str(error))
            progress.mark_written()
            try:
                report = await self.answer(exchange, progress)
            except RequestNotProcessed as error:
                return AttemptResult(Status.FULL, note=str(error))
            except (ConnectionLost, ServerProtocolError) as error:
                return AttemptResult(Status.RESET, note=str(error))
            whole = True
            return report
        finally:  # a connection that is not kept is closed, which gives the attempt up
            self._pool.release(line, whole)

    async def probe(self) -> AttemptResult:
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                line = await self._pool.get()
            except DialFailed as error:
                return AttemptResult(dial_status(error), note=str(error))
            whole = False
            try:
                report = await self.ask_load(line)
                whole = True
                return report
            except (ConnectionLost, ServerProtocolError) as error:
                return AttemptResult(Status.RESET, note=str(error))
            finally:
                self._pool.release(line, whole)
        return AttemptResult(Status.TIMEOUT)
