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
    PARTIAL = "half"  # a part of a request
    IDLE = "idle"  # between two requests, or after an error
    TAKEN = "taken"  # a whole request, until the end of its answer


# Seconds from the stage's beginning, or from the last byte of a part. An idle client comes again unharmed,
# but has shown that it is one; who takes 2 s to write a request is honest, however few bytes come.
STAGE_TIMEOUT_S = {Stage.SILENT: 0.5, Stage.PARTIAL: 2.2, Stage.IDLE: 1.5}
# With an idle connection nothing is lost, with a half-sent request a part of one: the latter's patience
# counts little until it is nearly used up.
PARTIAL_EXPONENT = 4
MIN_STAGE_AGE_S = 0.02  # so much everybody gets: what a newcomer has sent is read first


class Candidate(Protocol):
    """A client connection that may be closed for a newcomer."""

    @property
    def stage(self) -> Stage: ...

    @property
    def since(self) -> float:
        """When the stage began; of a part, when its last byte came."""


G = TypeVar("G", bound=Candidate)


def timeout_fraction(candidate: Candidate, now: float) -> float:
    """The part of its patience that a client has used up; 0 for one that never makes room."""
    if candidate.stage is Stage.TAKEN or now - candidate.since < MIN_STAGE_AGE_S:
        return 0.0
    part = (now - candidate.since) / STAGE_TIMEOUT_S[candidate.stage]
    return part**PARTIAL_EXPONENT if candidate.stage is Stage.PARTIAL else part


def select_evictions(candidates: Iterable[G], now: float, most: int) -> list[G]:
    """Return the connections to close, at most so many: the first in rank, and all whose patience is used up.

    Protects newcomers from connections that are opened in thousands and then idle or stop half way. Those on
    which a whole request was taken are never closed.
    """
    ranked = [
        (timeout_fraction(candidate, now), -number, candidate) for number, candidate in enumerate(candidates)
    ]
    first = heapq.nlargest(most, (item for item in ranked if item[0] > 0.0), key=lambda item: item[:2])
    return [candidate for place, (part, _, candidate) in enumerate(first) if place == 0 or part >= 1.0]


class EvictionQueue(Generic[G]):
    """The clients that may make room, each stage in the order in which they entered it.

    Within a stage whoever entered first has used up most of its patience, so a look at the first few of each
    is enough. Ranking all of them for each newcomer took half of a crowded router's processor time.
    """

    def __init__(self) -> None:
        self._stages: dict[Stage, dict[G, None]] = {stage: {} for stage in STAGE_TIMEOUT_S}

    def add(self, candidate: G) -> None:
        """Put a client whose stage has begun, or whose part has gone on, at the end of its stage."""
        self.remove(candidate)
        if candidate.stage in self._stages:
            self._stages[candidate.stage][candidate] = None

    def remove(self, candidate: G) -> None:
        """Take out a client that has gone or must not be closed."""
        for stage in self._stages.values():
            stage.pop(candidate, None)

    def select_evictions(self, now: float, most: int) -> list[G]:
        """Return what `select_evictions` returns for all of them."""
        return select_evictions(
            (g for stage in self._stages.values() for g in islice(stage, most)), now, most
        )
