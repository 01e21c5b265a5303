"""The interface of both protocols: a connection to a router, and the exchange of one attempt on it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from .policy.outcome import NonExecutionProof, Outcome, OutcomeKind
from .sockets import ConnectionLost, Socket
from .types import Request


@dataclass(frozen=True, slots=True)
class AttemptMark:
    """The identification of an attempt on the wire."""

    trace_id: str  # new for every attempt
    retry: int = 0  # how many retries of this request there have been
    resumed: bool = False  # whether the attempt asks for the rest of a broken answer


class Connection(ABC):
    """One connection to a router."""

    def __init__(self, router: str, socket: Socket, now: float) -> None:
        self.router = router
        self.socket = socket
        self.calls_completed = 0  # with any, this is a kept connection
        self.lost_before_answer = False  # whether it ended during a request, before the answer's head
        self.closing = False  # whether the router has announced to end this connection
        self.idle_since = now

    @property
    @abstractmethod
    def free_slots(self) -> int:
        """The number of further calls that the connection can take now."""

    @property
    @abstractmethod
    def is_busy(self) -> bool: ...

    @abstractmethod
    def start(self, request: Request, body: bytes, mark: AttemptMark) -> Exchange:
        """Occupy a slot of this connection for an attempt; nothing is written yet."""

    @abstractmethod
    def close(self) -> None: ...


class Exchange(ABC):
    """One attempt of a call. Closing it before its end cancels it at the router."""

    begun = False  # whether the head of an answer has arrived
    is_complete = False  # whether the answer has arrived to its end
    # Whether what was returned last is an event with data, up to the protocol's last one. Only such events
    # start the answer's time limit anew.
    last_was_progress = True

    @abstractmethod
    async def send(self, expires_in_s: Callable[[], float | None]) -> bool:
        """Write the request, and return whether there was time for it.

        `expires_in_s` is called right before the first byte is written, and returns the seconds left or None
        for too few; then nothing is written. Raises ConnectionLost if the connection ends.
        """

    @abstractmethod
    def unread_proof(self) -> NonExecutionProof | None:
        """Return the proof that the router has not read the whole request; None without one."""

    @abstractmethod
    async def first_event(self) -> bytes | Outcome | None:
        """Return the first event, None for a complete answer without one, or the outcome of a failure."""

    def buffered_event(self) -> bytes | None:
        """Return an event that has been received already, or None if `next_event` has to be awaited."""
        return None

    @abstractmethod
    async def next_event(self) -> bytes | None:
        """Return the next event, or None at the end of the answer; raise ConnectionLost if it was cut off."""

    @abstractmethod
    def close(self, now: float) -> None:
        """Release the connection, and cancel the attempt if it is not over."""


def outcome_of(lost: ConnectionLost, connection: Connection, exchange: Exchange) -> Outcome:
    """Return the outcome of an attempt whose connection ended before the first event.

    Without a proof that the router has not read the whole request it may have run (RFC 9110 9.2.2, RFC 9112
    9.3.1, and the rules of the platform).
    """
    if exchange.begun:
        return Outcome(OutcomeKind.MAY_HAVE_RUN, f"cut off before the first event: {lost.cause}", begun=True)
    proof = exchange.unread_proof()
    if proof is None:
        return Outcome(OutcomeKind.MAY_HAVE_RUN, f"no answer: {lost.cause}", router_fault=True)
    if connection.calls_completed:
        return Outcome.never_ran(proof, f"the kept connection had ended: {lost.cause}", stale=True)
    return Outcome.never_ran(proof, lost.cause, router_fault=True)


def unread_proof(request_end: int | None, socket: Socket) -> NonExecutionProof | None:
    """Return the proof that the peer has not read a request up to this offset of the connection.

    `request_end` is None for a request whose last byte was not given to the socket.
    """
    if request_end is None or socket.sent_bytes < request_end:
        return NonExecutionProof.NOT_WRITTEN
    if socket.readable_by_peer < request_end:
        return NonExecutionProof.NOT_RECEIVED
    return None
