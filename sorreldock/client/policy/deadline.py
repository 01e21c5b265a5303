"""The caller's one deadline, and what of it is told to a router."""

from __future__ import annotations

from dataclasses import dataclass


class DurationEstimate:
    """The time that the way to one router and back takes, learned from dials (RFC 6298's smoothing).

    A dial takes one round trip, so its duration is a sample. The estimate is the smoothed round trip and
    twice its deviation, within `longest_s`: one dial that a lost packet held up for seconds must not eat
    every later deadline.
    """

    ALPHA, BETA = 1 / 8, 1 / 4

    def __init__(self, max_s: float = 1.0) -> None:
        self._max_s = max_s
        self._smoothed = 0.0
        self._deviation = 0.0
        self._has_samples = False

    def add_sample(self, sample_s: float) -> None:
        """Take a sample, in seconds. Negative ones (a clock that stepped back) are none."""
        if not 0.0 <= sample_s < float("inf"):
            return
        if not self._has_samples:
            self._has_samples, self._smoothed, self._deviation = True, sample_s, sample_s / 2
            return
        self._deviation += self.BETA * (abs(sample_s - self._smoothed) - self._deviation)
        self._smoothed += self.ALPHA * (sample_s - self._smoothed)

    @property
    def estimate_s(self) -> float:
        """There and back, in seconds; 0 while nothing has been learned."""
        return min(self._smoothed + 2 * self._deviation, self._max_s)


@dataclass(frozen=True, slots=True)
class Deadline:
    """One moment for a whole call: dialling, waiting and retries together."""

    at: float
    min_s: float = 0.005  # what a router needs at the very least; with less left nothing is sent

    def remaining_s(self, now: float) -> float:
        return self.at - now

    def time_to_send(self, now: float, round_trip_s: float) -> float | None:
        """What to write as `X-Expires-In` or `grpc-timeout`, in seconds: what is left, less the way. None
        when a request written now can't be answered in time any more, and must not be sent.
        """
        remaining_s = self.at - now - round_trip_s
        return remaining_s if remaining_s >= self.min_s else None

    def can_send_at(self, moment: float, round_trip_s: float = 0.0) -> bool:
        """Whether a request written at this moment could still be in time."""
        return self.time_to_send(moment, round_trip_s) is not None
