"""Connection admission: which client connections are closed when there are more clients than descriptors.

Decisions alone, without I/O or a clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from enum import Enum
from itertools import islice
from typing import Generic, Protocol, TypeVar


class Stage(Enum):
    """How far a client's connection has come."""

    SILENT = "silent"  # nothing has come on it yet
    HALF = "half"  # a part of a request
    IDLE = "idle"  # between two requests, or after an error
    TAKEN = "taken"  # a whole request, until the end of its answer


# Seconds from the stage's beginning, or from the last byte of a part. An idle client comes again unharmed,
# but has shown that it is one; who takes 2 s to write a request is honest, however few bytes come.
PATIENCE_S = {Stage.SILENT: 0.5, Stage.HALF: 2.2, Stage.IDLE: 1.5}
# With an idle connection nothing is lost, with a half-sent request a part of one: the latter's patience
# counts little until it is nearly used up.
HALF_POWER = 4
LEAST_S = 0.02  # so much everybody gets: what a newcomer has sent is read first


class Candidate(Protocol):
    """A client connection that may be closed for a newcomer."""

    @property
    def stage(self) -> Stage: ...

    @property
    def since(self) -> float:
        """When the stage began; of a part, when its last byte came."""


G = TypeVar("G", bound=Candidate)


def patience_used(candidate: Candidate, now: float) -> float:
    """The part of its patience that a client has used up; 0 for one that never makes room."""
    if candidate.stage is Stage.TAKEN or now - candidate.since < LEAST_S:
        return 0.0
    part = (now - candidate.since) / PATIENCE_S[candidate.stage]
    return part**HALF_POWER if candidate.stage is Stage.HALF else part


def evictable(candidates: Iterable[G], now: float, most: int) -> list[G]:
    """Return the connections to close, at most so many: the first in rank, and all whose patience is used up.

    Protects newcomers from connections that are opened in thousands and then idle or stop half way. Those on
    which a whole request was taken are never closed.
    """
    ranked = [
        (patience_used(candidate, now), -number, candidate) for number, candidate in enumerate(candidates)
    ]
    first = heapq.nlargest(most, (item for item in ranked if item[0] > 0.0), key=lambda item: item[:2])
    return [candidate for place, (part, _, candidate) in enumerate(first) if place == 0 or part >= 1.0]


class EvictionQueue(Generic[G]):
    """The clients that may make room, each stage in the order in which they entered it.

    Within a stage whoever entered first has used up most of its patience, so a look at the first few of each
    is enough. Ranking all of them for each newcomer took half of a crowded router's processor time.
    """

    def __init__(self) -> None:
        self._stages: dict[Stage, dict[G, None]] = {stage: {} for stage in PATIENCE_S}

    def enter(self, candidate: G) -> None:
        """Put a client whose stage has begun, or whose part has gone on, at the end of its stage."""
        self.leave(candidate)
        if candidate.stage in self._stages:
            self._stages[candidate.stage][candidate] = None

    def leave(self, candidate: G) -> None:
        """Take out a client that has gone or must not be closed."""
        for stage in self._stages.values():
            stage.pop(candidate, None)

    def evictable(self, now: float, most: int) -> list[G]:
        """Return what `evictable` returns for all of them."""
        return evictable((g for stage in self._stages.values() for g in islice(stage, most)), now, most)
