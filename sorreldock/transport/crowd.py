"""Who makes room when there are more clients than descriptors, without I/O or a clock of its own."""

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


class Guest(Protocol):
    @property
    def stage(self) -> Stage: ...

    @property
    def since(self) -> float:
        """When the stage began; of a part, when its last byte came."""


G = TypeVar("G", bound=Guest)


def spent(guest: Guest, now: float) -> float:
    """The part of its patience that a client has used up; 0 for one that never makes room."""
    if guest.stage is Stage.TAKEN or now - guest.since < LEAST_S:
        return 0.0
    part = (now - guest.since) / PATIENCE_S[guest.stage]
    return part**HALF_POWER if guest.stage is Stage.HALF else part


def leavers(guests: Iterable[G], now: float, most: int) -> list[G]:
    """Who goes, the first one first: one, and with it those whose patience is used up. Guards newcomers
    against connections that are opened in thousands and then idle or stop half way; a taken request never
    goes.
    """
    ranked = [(spent(guest, now), -number, guest) for number, guest in enumerate(guests)]
    first = heapq.nlargest(most, (item for item in ranked if item[0] > 0.0), key=lambda item: item[:2])
    return [guest for place, (part, _, guest) in enumerate(first) if place == 0 or part >= 1.0]


class Queue(Generic[G]):
    """The clients that may make room, each stage in the order in which they entered it.

    Within a stage whoever entered first has used up most of its patience, so a look at the first few of each
    is enough. Ranking all of them for each newcomer took half of a crowded router's processor time.
    """

    def __init__(self) -> None:
        self._stages: dict[Stage, dict[G, None]] = {stage: {} for stage in PATIENCE_S}

    def enter(self, guest: G) -> None:
        """Put a client whose stage has begun, or whose part has gone on, at the end of its stage."""
        self.leave(guest)
        if guest.stage in self._stages:
            self._stages[guest.stage][guest] = None

    def leave(self, guest: G) -> None:
        for stage in self._stages.values():
            stage.pop(guest, None)

    def leavers(self, now: float, most: int) -> list[G]:
        """What `leavers` tells of all of them."""
        return leavers((g for stage in self._stages.values() for g in islice(stage, most)), now, most)
