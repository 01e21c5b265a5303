"""Connection admission: selects the client connections to close when there are more clients than descriptors.

Contains the decisions only, without I/O or a clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from enum import Enum
from itertools import islice
from typing import Generic, Protocol, TypeVar


class Stage(Enum):
    """The stage of the current request on a client connection."""

    SILENT = "silent"  # no byte received yet
    PARTIAL = "half"  # part of a request received
    IDLE = "idle"  # between two requests, or after an error
    ANSWERING = "taken"  # a whole request received and its answer not finished


# Seconds since the stage began; for a partial request, since its last byte. A client on an idle connection
# can reconnect without losing anything, but has already proved to be a regular client by sending a request.
# A client that takes 2 s to write a request is legitimate, however few bytes arrive at a time.
STAGE_TIMEOUT_S = {Stage.SILENT: 0.5, Stage.PARTIAL: 2.2, Stage.IDLE: 1.5}
# Closing an idle connection loses nothing, closing a partial request loses part of one. The exponent keeps
# the rank of a partial request low until its timeout has nearly expired.
PARTIAL_EXPONENT = 4
MIN_STAGE_AGE_S = 0.02  # no connection is closed earlier, so that what a new client has sent is read first


class Candidate(Protocol):
    """A client connection that may be closed to free a descriptor."""

    @property
    def stage(self) -> Stage: ...

    @property
    def since(self) -> float:
        """When the stage began; for a partial request, when its last byte arrived."""


CandidateT = TypeVar("CandidateT", bound=Candidate)


def timeout_fraction(candidate: Candidate, now: float) -> float:
    """Return the weighted fraction of its stage's timeout that has passed; 0 if it must not be closed now."""
    if candidate.stage is Stage.ANSWERING or now - candidate.since < MIN_STAGE_AGE_S:
        return 0.0
    fraction = (now - candidate.since) / STAGE_TIMEOUT_S[candidate.stage]
    return fraction**PARTIAL_EXPONENT if candidate.stage is Stage.PARTIAL else fraction


def select_evictions(candidates: Iterable[CandidateT], now: float, max_count: int) -> list[CandidateT]:
    """Return up to `max_count` connections to close: the first in rank, and others whose timeout has expired.

    Protects new clients against connections that are opened by the thousand and then idle or stop within a
    request. Connections on which a whole request was received are never closed.
    """
    ranked = [
        (timeout_fraction(candidate, now), -number, candidate) for number, candidate in enumerate(candidates)
    ]
    first = heapq.nlargest(max_count, (item for item in ranked if item[0] > 0.0), key=lambda item: item[:2])
    return [candidate for rank, (fraction, _, candidate) in enumerate(first) if rank == 0 or fraction >= 1.0]


class EvictionQueue(Generic[CandidateT]):
    """The connections that may be closed, kept by stage in the order in which they entered it.

    Within a stage the earliest entry has used up most of its timeout, so only the first few of each stage
    need ranking. Ranking all connections for each new client took half of a crowded router's processor time.
    """

    def __init__(self) -> None:
        self._stages: dict[Stage, dict[CandidateT, None]] = {stage: {} for stage in STAGE_TIMEOUT_S}

    def __len__(self) -> int:
        return sum(map(len, self._stages.values()))

    def add(self, candidate: CandidateT) -> None:
        """Append a connection that entered a stage, or received more of a partial request, to its stage."""
        self.remove(candidate)
        if candidate.stage in self._stages:
            self._stages[candidate.stage][candidate] = None

    def remove(self, candidate: CandidateT) -> None:
        """Remove a connection that has ended or must not be closed."""
        for stage in self._stages.values():
            stage.pop(candidate, None)

    def select_evictions(self, now: float, max_count: int) -> list[CandidateT]:
        """Return what the function `select_evictions` returns for all connections in the queue."""
        return select_evictions(
            (candidate for stage in self._stages.values() for candidate in islice(stage, max_count)),
            now,
            max_count,
        )
