"""A heap of timers, owned by one task."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Timers(Generic[T]):
    """A priority queue of items by due time in seconds; items due at the same time keep their order."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, T]] = []
        self._added = 0

    def __iter__(self) -> Iterator[T]:
        """Iterate over the pending items, in no particular order."""
        return (item for _, _, item in self._heap)

    @property
    def next_at(self) -> float:
        """The time at which the next item is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def add(self, due_at: float, item: T) -> None:
        """Add an item that becomes due at the given time."""
        self._added += 1
        heapq.heappush(self._heap, (due_at, self._added, item))

    def pop_due(self, now: float) -> Iterator[T]:
        """Remove and yield all due items, including those that are added while it is iterated."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]
