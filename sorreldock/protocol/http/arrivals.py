"""Arrival times of the bytes of one connection, without I/O or a clock of its own.

A client that sends several requests at once starts each one's timeout when it has sent that request. The
parser reaches a later request only after the earlier ones are answered, so the connection records when each
stretch of bytes came in and looks the time up when a request has been parsed to its last byte.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MERGE_S = 0.01  # bytes that follow this closely count as arrived together, which bounds the list


@dataclass(slots=True)
class _Stretch:
    end: int  # bytes received on the connection up to the end of this stretch
    arrived_at: float


class Arrivals:
    """Maps positions in a connection's byte stream to arrival times."""

    def __init__(self, now: float) -> None:
        self._received = 0
        self._stretches = deque([_Stretch(0, now)])

    @property
    def latest(self) -> float:
        """When the last bytes arrived; before any, when the connection was accepted."""
        return self._stretches[-1].arrived_at

    def add(self, count: int, now: float) -> None:
        """Record that `count` more bytes have arrived."""
        self._received += count
        last = self._stretches[-1]
        if now - last.arrived_at < MERGE_S and last.end:
            last.end = self._received
        else:
            self._stretches.append(_Stretch(self._received, now))

    def of_last_parsed(self, unparsed: int) -> float:
        """When the byte arrived behind which `unparsed` bytes have not been parsed yet."""
        parsed = self._received - unparsed
        while len(self._stretches) > 1 and self._stretches[0].end < parsed:
            self._stretches.popleft()
        return self._stretches[0].arrived_at
