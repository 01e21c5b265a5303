"""The single deadline of a call, and the part of it that is passed on to a router."""

from __future__ import annotations

from dataclasses import dataclass


class DurationEstimate:
    """An estimate of how long something takes, learned from samples with the smoothing of RFC 6298.

    For the round trip to a router the samples are the durations of dials, since a dial takes one round trip.
    The estimate is the smoothed duration plus twice its deviation, bounded by `max_s`: a single dial that a
    lost packet delayed by seconds must not use up every later deadline.
    """

    ALPHA, BETA = 1 / 8, 1 / 4

    def __init__(self, max_s: float = 1.0) -> None:
        self._max_s = max_s
        self._smoothed = 0.0
        self._deviation = 0.0
        self._has_samples = False

    def add_sample(self, sample_s: float) -> None:
        """Add a sample in seconds; negative and non-finite ones (a clock that stepped back) are ignored."""
        if not 0.0 <= sample_s < float("inf"):
            return
        if not self._has_samples:
            self._has_samples, self._smoothed, self._deviation = True, sample_s, sample_s / 2
            return
        self._deviation += self.BETA * (abs(sample_s - self._smoothed) - self._deviation)
        self._smoothed += self.ALPHA * (sample_s - self._smoothed)

    @property
    def estimate_s(self) -> float:
        """The estimated duration in seconds; 0 before the first sample."""
        return min(self._smoothed + 2 * self._deviation, self._max_s)


@dataclass(frozen=True, slots=True)
class Deadline:
    """The moment by which a call's first event is due, with dialling, waiting and retries included."""

    at: float
    min_s: float = 0.005  # the least time a router needs; nothing is sent when less remains

    def remaining_s(self, now: float) -> float:
        """Return the time until the deadline; negative once it has passed."""
        return self.at - now

    def time_to_send(self, now: float, round_trip_s: float) -> float | None:
        """Return the seconds to send as `X-Expires-In` or `grpc-timeout`, or None if too few are left.

        They are the remaining time less the round trip. None means that a request written now can't be
        answered in time any more and must not be sent.
        """
        remaining_s = self.at - now - round_trip_s
        return remaining_s if remaining_s >= self.min_s else None

    def can_send_at(self, moment: float, round_trip_s: float = 0.0) -> bool:
        """Return whether a request written at this moment could still be answered in time."""
        return self.time_to_send(moment, round_trip_s) is not None
