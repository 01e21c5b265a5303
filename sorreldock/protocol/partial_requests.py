"""The requests of which a part has been received, and which of them gives way when memory is short.

Contains the decisions only, without I/O or a clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from typing import Protocol

# A client that needs this long for a large request is a regular one on a slow link.
MIN_TIME_S = 2.2
COMPARED = 16  # of the oldest requests


class PartialRequest(Protocol):
    """A request that is being received."""

    reserved_bytes: int  # of the payload budget
    began_at: float  # when its first byte was received

    def refuse_for_memory(self) -> None:
        """Release what has been received at once, and answer that the request is refused."""


class PartialRequests:
    """The partial requests of a front, in the order in which they began.

    Progress is measured since a request began, so that one that trickles holds memory no longer than one
    that has stopped.
    """

    def __init__(self) -> None:
        self._requests: dict[PartialRequest, None] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: PartialRequest) -> None:
        """Add a request that has begun."""
        self._requests[request] = None

    def remove(self, request: PartialRequest) -> None:
        """Remove a request that is whole, refused or lost; no effect if it is not included."""
        self._requests.pop(request, None)

    def choose_victim(self, now: float, newcomer: PartialRequest) -> PartialRequest | None:
        """Return the slowest of the oldest requests, to make room for another; None if all are regular."""
        oldest = islice(self._requests, COMPARED)
        return slowest((request for request in oldest if request is not newcomer), now)


def slowest(requests: Iterable[PartialRequest], now: float) -> PartialRequest | None:
    """Return the request with the fewest bytes a second of those that had enough time; None without one."""
    overdue = [r for r in requests if r.reserved_bytes and now - r.began_at >= MIN_TIME_S]
    return min(overdue, key=lambda request: request.reserved_bytes / (now - request.began_at), default=None)
