"""The caller's one deadline, and what of it is told to a router."""

from __future__ import annotations

from dataclasses import dataclass


class Way:
    """The time that the way to one router and back takes, learned from dials (RFC 6298's smoothing).

    A dial takes one round trip, so its duration is a sample. The estimate is the smoothed round trip and
    twice its deviation, within `longest_s`: one dial that a lost packet held up for seconds must not eat
    every later deadline.
    """

    ALPHA, BETA = 1 / 8, 1 / 4

    def __init__(self, longest_s: float = 1.0) -> None:
        self._longest_s = longest_s
        self._smoothed = 0.0
        self._deviation = 0.0
        self._known = False

    def learn(self, round_trip_s: float) -> None:
        """Take a sample, in seconds. Negative ones (a clock that stepped back) are none."""
        if not 0.0 <= round_trip_s < float("inf"):
            return
        if not self._known:
            self._known, self._smoothed, self._deviation = True, round_trip_s, round_trip_s / 2
            return
        self._deviation += self.BETA * (abs(round_trip_s - self._smoothed) - self._deviation)
        self._smoothed += self.ALPHA * (round_trip_s - self._smoothed)

    @property
    def estimate_s(self) -> float:
        """There and back, in seconds; 0 while nothing has been learned."""
        return min(self._smoothed + 2 * self._deviation, self._longest_s)


@dataclass(frozen=True, slots=True)
class Deadline:
    """One moment for a whole call: dialling, waiting and retries together."""

    at: float
    least_s: float = 0.005  # what a router needs at the very least; with less left nothing is sent

    def left(self, now: float) -> float:
        return self.at - now

    def to_send(self, now: float, way_s: float) -> float | None:
        """What to write as `X-Expires-In` or `grpc-timeout`, in seconds: what is left, less the way. None
        when a request written now can't be answered in time any more, and must not be sent.
        """
        left = self.at - now - way_s
        return left if left >= self.least_s else None

    def allows(self, moment: float, way_s: float = 0.0) -> bool:
        """Whether a request written at this moment could still be in time."""
        return self.to_send(moment, way_s) is not None
