"""A heap of timers, owned by one task."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

MIN_CANCELLED_TO_COMPACT = 64


class Timer(Generic[T]):
    """A pending timer; its item is None once it has been cancelled or is due."""

    __slots__ = ("item",)

    def __init__(self, item: T) -> None:
        self.item: T | None = item


class Timers(Generic[T]):
    """A priority queue of items by due time in seconds; items due at the same time keep their order.

    A cancelled timer releases its item at once. Its place in the heap is freed when it is due, or when more
    than half of the timers are cancelled.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer[T]]] = []
        self._added = self._cancelled = 0

    def __iter__(self) -> Iterator[T]:
        """Iterate over the pending items, in no particular order."""
        return (timer.item for _, _, timer in self._heap if timer.item is not None)

    @property
    def next_at(self) -> float:
        """The time at which the next timer is due, cancelled or not; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def add(self, due_at: float, item: T) -> Timer[T]:
        """Add an item that becomes due at the given time."""
        self._added += 1
        timer = Timer(item)
        heapq.heappush(self._heap, (due_at, self._added, timer))
        return timer

    def cancel(self, timer: Timer[T]) -> None:
        """Cancel a timer; no effect if it was due or cancelled before."""
        if timer.item is None:
            return
        timer.item = None
        self._cancelled += 1
        if self._cancelled > max(len(self._heap) // 2, MIN_CANCELLED_TO_COMPACT):
            self._heap = [entry for entry in self._heap if entry[2].item is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def pop_due(self, now: float) -> Iterator[T]:
        """Remove and yield all due items, including those that are added while it is iterated."""
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            item, timer.item = timer.item, None
            if item is None:
                self._cancelled -= 1
            else:
                yield item
