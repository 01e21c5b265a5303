"""The mailbox of the decision actor, in which other events overtake new requests."""

from __future__ import annotations

from collections import deque

import trio

from ..interface import Event, ListKind, ReplicaList, RequestArrived

# Longer server lists are passed to the decision module in parts, so that other tasks run in between.
MAX_LIST_ENTRIES = 256


class DecisionMailbox:
    """A queue of events for the decision module that delivers new requests after all other events.

    New requests and other events are each kept in order of arrival. The length is bounded by the limit on
    open RPCs and by the events that subchannels and the resolver may have pending.
    """

    def __init__(self) -> None:
        self._urgent: deque[Event] = deque()  # ended attempts, first tokens, lists, probes, timers
        self._requests: deque[RequestArrived] = deque()
        self._arrived = trio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._requests)

    def post(self, event: Event) -> None:
        """Append an event to its queue."""
        if isinstance(event, RequestArrived):
            self._requests.append(event)
        elif isinstance(event, ReplicaList) and len(event.entries) > MAX_LIST_ENTRIES:
            self._urgent.extend(_split(event))
        else:
            self._urgent.append(event)
        self._arrived.set()

    async def wait(self) -> None:
        """Wait until the mailbox holds an event."""
        while not len(self):
            self._arrived = trio.Event()
            await self._arrived.wait()

    def take(self, max_events: int) -> list[Event]:
        """Remove and return up to `max_events` events, or one new request if there are no others.

        A server list ends its batch and each new request is a batch of its own, since these take the longest
        to process.
        """
        batch: list[Event] = []
        while self._urgent and len(batch) < max_events:
            event = self._urgent.popleft()
            batch.append(event)
            if isinstance(event, ReplicaList):
                return batch
        if not batch and self._requests:
            batch.append(self._requests.popleft())
        return batch


def _split(event: ReplicaList) -> list[ReplicaList]:
    """Split a list into a shorter list and changes to it."""
    return [
        ReplicaList(
            ListKind.DELTA if first else event.kind,
            event.entries[first : first + MAX_LIST_ENTRIES],
            event.version,
        )
        for first in range(0, len(event.entries), MAX_LIST_ENTRIES)
    ]
