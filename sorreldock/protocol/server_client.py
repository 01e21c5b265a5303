"""The common part of the server clients of all protocols: running an attempt on a pooled connection."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Generic, Protocol, TypeVar

import trio

from ..chunked import MAX_BODY_BYTES
from ..completeness import IncompleteAnswer
from ..interface import Status
from ..routing.types import RPC, AttemptProgress, AttemptResult
from ..transport.connection import ConnectionLost, DialFailed, LocalShortage, NoListener
from ..transport.ledger import Holding
from ..transport.pool import ConnectionPool, PooledConnection

# The time without a complete event after which the response stream counts as broken. The platform lets a
# client wait for 5 s since a server's last event, of which the program may be held up for 0.15 s.
EVENT_GAP_TIMEOUT_S = 4.85
PROBE_TIMEOUT_S = 0.25
# An answer whose head or first event has begun must complete it within this share of the time that is then
# left, so that the rest is left for another attempt. Without another one, it has all of the time.
OPENING_TIME_SHARE = 0.5
MAX_EVENT_BYTES = MAX_BODY_BYTES
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


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)
ExchangeT = TypeVar("ExchangeT")


class Answer(Protocol):
    """An answer that is being read from a server."""

    holding: Holding

    @property
    def completed_events(self) -> int:
        """A count that grows with each read that completes an event.

        Parts of events, events without data and what follows the protocol's last event don't count.
        """

    async def next_parts(self) -> list[bytes]:
        """Return the next events, or a part of one if memory is short; nothing at the end of the answer.

        May be cancelled and called again.
        """

    async def wait_until_begun(self) -> None:
        """Wait until a part of the first event has been received, or the answer has ended."""

    @property
    def awaited(self) -> str:
        """What the server has to complete next, for the log."""


@contextmanager
def opening_time_limit(has_other_attempt: bool, awaited: str) -> Iterator[None]:
    """Limit the time for an element that has begun; raise ConnectionLost if it is not complete by then."""
    left_s = max(trio.current_effective_deadline() - trio.current_time(), 0.0)
    with trio.move_on_after(OPENING_TIME_SHARE * left_s if has_other_attempt else math.inf) as scope:
        yield
    if scope.cancelled_caught:
        raise ConnectionLost(f"not completed in time: {awaited}")


class PooledServerClient(ABC, Generic[ConnectionT, ExchangeT]):
    """A server client that runs each attempt and probe on a connection of its pool.

    `ConnectionT` is the type of a connection with its parser, `ExchangeT` that of a request and its answer.
    """

    def __init__(self, pool: ConnectionPool[ConnectionT]) -> None:
        self._pool = pool
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

    async def forward_answer(self, answer: Answer, progress: AttemptProgress) -> None:
        """Forward an answer to its end; raise ConnectionLost if it does not go on in time."""
        await answer.wait_until_begun()  # bounded by the caller's deadline alone
        with opening_time_limit(progress.may_be_repeated(), "the first event"):
            parts = await answer.next_parts()
        waiting_since = trio.current_time()
        completed_events = 0
        while parts:
            began_at = trio.current_time()
            await progress.forward_events(*parts)
            answer.holding.release(sum(map(len, parts)))
            now = trio.current_time()
            has_progress = answer.completed_events > completed_events
            completed_events = answer.completed_events
            # The time in which the client reads slowly is not the server's.
            waiting_since = now if has_progress else waiting_since + (now - began_at)
            with trio.move_on_at(waiting_since + EVENT_GAP_TIMEOUT_S) as gap:
                parts = await answer.next_parts()
            if gap.cancelled_caught:
                raise ConnectionLost(f"no complete event in time: awaiting {answer.awaited}")

    async def run_attempt(self, rpc: RPC, progress: AttemptProgress) -> AttemptResult:
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
            except (ConnectionLost, ServerProtocolError, IncompleteAnswer) as error:
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
                result = await self.send_probe(connection)
                completed = True
                return result
            except (ConnectionLost, ServerProtocolError, IncompleteAnswer) as error:
                return AttemptResult(Status.RESET, note=str(error))
            finally:
                self._pool.release(connection, completed)
        return AttemptResult(Status.TIMEOUT)
