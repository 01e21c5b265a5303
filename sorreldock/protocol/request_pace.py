"""Whether a request that is being received makes enough progress. No I/O and no clock.

A request is written within 2 s by the platform's slowest clients, in any pattern. A larger one on a slow link
takes longer; it arrives continuously, and in proportion to its length.
"""

from __future__ import annotations

REQUEST_TIMEOUT_S = 2.5  # for a whole request, or for the part that shows its pace; the platform allows 3 s
STALL_TIMEOUT_S = 2.0  # between its bytes
MAX_STALL_SHARE = 0.2  # of the time so far, once REQUEST_TIMEOUT_S is over
BODY_TIMEOUT_S = 30.0  # for the largest one, at a steady pace


class RequestPace:
    """The progress of one request; times are on the caller's clock, in seconds."""

    __slots__ = ("_began_at", "_last_at", "_received")

    def __init__(self, began_at: float) -> None:
        self._began_at = self._last_at = began_at
        self._received = 0

    def record(self, now: float, received: int) -> None:
        """Record how many bytes have been received so far."""
        if received > self._received:
            self._received, self._last_at = received, now

    def excuse(self, now: float) -> None:
        """Record that more has arrived by now, which this side has not read yet."""
        self._last_at = now

    def is_too_slow(self, now: float, expected: int) -> bool:
        """Return whether a request of `expected` bytes could not be whole in time at its pace so far."""
        elapsed_s = now - self._began_at
        return elapsed_s >= REQUEST_TIMEOUT_S and self._received * BODY_TIMEOUT_S < expected * elapsed_s

    def next_byte_by(self) -> float:
        """Return the time by which more has to be received."""
        allowed_stall_s = MAX_STALL_SHARE * (self._last_at - self._began_at)
        proven_until = max(self._began_at + REQUEST_TIMEOUT_S, self._last_at + allowed_stall_s)
        return min(self._last_at + STALL_TIMEOUT_S, proven_until)
