"""Arrival times of the bytes of one connection, without I/O or a clock of its own.

A client that pipelines several requests starts the timeout of each one when it has sent it. The parser
reaches a later request only after the earlier ones are answered, so the connection records when each chunk of
bytes arrived, and looks the time up once a request has been parsed to its last byte.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MERGE_S = 0.01  # chunks that follow within this time are merged, which bounds the length of the list


@dataclass(slots=True)
class _Chunk:
    end: int  # bytes received on the connection up to the end of this chunk
    arrived_at: float


class Arrivals:
    """Maps positions in a connection's byte stream to arrival times."""

    def __init__(self, now: float) -> None:
        self._received = 0
        self._chunks = deque([_Chunk(0, now)])

    @property
    def latest(self) -> float:
        """The time at which the last bytes arrived, or the connection was accepted if none have."""
        return self._chunks[-1].arrived_at

    def add(self, count: int, now: float) -> None:
        """Record that `count` more bytes have arrived."""
        self._received += count
        last = self._chunks[-1]
        if now - last.arrived_at < MERGE_S and last.end:
            last.end = self._received
        else:
            self._chunks.append(_Chunk(self._received, now))

    def of_last_parsed(self, unparsed: int) -> float:
        """Return the time at which the last parsed byte arrived, with `unparsed` received bytes after it."""
        parsed = self._received - unparsed
        while len(self._chunks) > 1 and self._chunks[0].end < parsed:
            self._chunks.popleft()
        return self._chunks[0].arrived_at

    def of_first_unparsed(self, unparsed: int) -> float:
        """Return the time at which the first of the last `unparsed` received bytes arrived."""
        parsed = self._received - unparsed
        return next(chunk.arrived_at for chunk in self._chunks if chunk.end > parsed)
