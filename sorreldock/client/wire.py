"""What the two protocols have in common: a line to a router, and one call's exchange on it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from .policy.outcome import Kind, Outcome
from .sockets import ConnectionLost, Socket
from .types import Request

CROSSING_S = 0.25  # a reset this soon after the last byte: the router's end crossed the request


@dataclass(frozen=True, slots=True)
class Mark:
    """What an attempt says of itself on the wire."""

    name: str  # the trace id: every attempt has a new one
    retry: int = 0  # how many times this request has been sent again
    resumed: bool = False  # it asks for the rest of a broken answer


class Line(ABC):
    """One connection to a router."""

    def __init__(self, router: str, socket: Socket, now: float) -> None:
        self.router = router
        self.socket = socket
        self.carried = 0  # calls that it has carried to an answer: kept if any
        self.socket_lost = False  # it ended under a request, before anything of an answer had come
        self.going = False  # the router has said that it will end this connection
        self.at_rest_since = now

    @property
    @abstractmethod
    def room(self) -> int:
        """How many more calls it can take now."""

    @property
    @abstractmethod
    def busy(self) -> bool: ...

    @abstractmethod
    def start(self, request: Request, body: bytes, mark: Mark) -> Exchange:
        """Take a place on this line; nothing is written yet."""

    @abstractmethod
    def close(self) -> None: ...


class Exchange(ABC):
    """One attempt of a call. `close` at any moment cancels it at the router."""

    begun = False  # the head of an answer has come
    whole = False  # the answer has come to its end

    @abstractmethod
    async def send(self, expires_in_s: Callable[[], float | None]) -> bool:
        """Write the request; the time that is left is asked for right before its first byte. False, and
        nothing written, if none is left. Lost if the connection ends.
        """

    @abstractmethod
    async def first(self) -> bytes | Outcome | None:
        """The first event; None for a whole answer without one; or what the attempt came to instead."""

    def ready(self) -> bytes | None:
        """An event that has been read already; None if `next` has to look for one."""
        return None

    @abstractmethod
    async def next(self) -> bytes | None:
        """The next event; None at the end of a whole answer. Lost if it was cut off."""

    @abstractmethod
    def close(self, now: float) -> None:
        """Let go of the line; an exchange that is not over is cancelled."""


def outcome_of(lost: ConnectionLost, line: Line, begun: bool, sent: bool, since_sent_s: float) -> Outcome:
    """What a connection that ended before the first event means for the request (RFC 9112 9.3.1, and the
    platform's page: sent once more only if the router has not read it).
    """
    if begun:
        return Outcome(Kind.MAY_HAVE_RUN, f"cut off before the first event: {lost.cause}", begun=True)
    if not sent:
        return Outcome(Kind.NEVER_RAN, lost.cause, stale=line.carried > 0, router_fault=line.carried == 0)
    crossed = lost.unread and since_sent_s <= CROSSING_S
    if line.carried and (crossed or line.socket.unread_by_peer()):
        return Outcome(Kind.NEVER_RAN, f"the kept connection had ended: {lost.cause}", stale=True)
    return Outcome(Kind.MAY_HAVE_RUN, f"no answer: {lost.cause}", router_fault=True)
