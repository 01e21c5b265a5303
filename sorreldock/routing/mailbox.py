"""The mailbox of the decision actor: two lanes, so that requests hold up nothing that is owed at once."""

from __future__ import annotations

from collections import deque

import trio

from ..interface import Event, ListKind, ReplicaList, RequestArrived

ENTRIES_AT_ONCE = 256  # of a list: a longer one is decided on in parts, between which others have their turn


class DecisionMailbox:
    """Events for the decision module, requests behind all others; in each lane in the order of their coming.

    Bounded by the open RPCs, whose number is, and by what subchannels and the resolver may have out.
    """

    def __init__(self) -> None:
        self._urgent: deque[Event] = deque()  # ends, first tokens, lists, probes, timers
        self._requests: deque[RequestArrived] = deque()
        self._arrived = trio.Event()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._requests)

    def post(self, event: Event) -> None:
        """Put an event into its lane."""
        if isinstance(event, RequestArrived):
            self._requests.append(event)
        elif isinstance(event, ReplicaList) and len(event.entries) > ENTRIES_AT_ONCE:
            self._urgent.extend(_in_parts(event))
        else:
            self._urgent.append(event)
        self._arrived.set()

    async def wait(self) -> None:
        """Wait until something is in it."""
        while not len(self):
            self._arrived = trio.Event()
            await self._arrived.wait()

    def take(self, most: int) -> list[Event]:
        """Take out up to so many events, or one request where there is nothing else.

        What costs most ends a batch: a change to the list, and each request.
        """
        taken: list[Event] = []
        while self._urgent and len(taken) < most:
            event = self._urgent.popleft()
            taken.append(event)
            if isinstance(event, ReplicaList):
                return taken
        if not taken and self._requests:
            taken.append(self._requests.popleft())
        return taken


def _in_parts(event: ReplicaList) -> list[ReplicaList]:
    """Cut a list into a shorter one and changes to that."""
    return [
        ReplicaList(
            ListKind.DELTA if first else event.kind,
            event.entries[first : first + ENTRIES_AT_ONCE],
            event.version,
        )
        for first in range(0, len(event.entries), ENTRIES_AT_ONCE)
    ]
