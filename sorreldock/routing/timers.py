"""Timers of one task: a heap, from which what is due is taken in the order of its time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Timers(Generic[T]):
    """Things that wait for their time, in seconds of one clock; equal times keep their order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, T]] = []
        self._added = 0

    def __iter__(self) -> Iterator[T]:
        """Go through what waits, in no particular order."""
        return (what for _, _, what in self._heap)

    @property
    def next_at(self) -> float:
        """When the first of them is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def add(self, at: float, what: T) -> None:
        """Let something wait until this time."""
        self._added += 1
        heapq.heappush(self._heap, (at, self._added, what))

    def due(self, now: float) -> Iterator[T]:
        """Take out what is due, also what is added meanwhile and due already."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]
