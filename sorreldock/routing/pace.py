"""Statistics on the time that decisions take, and limits on how long a request waits for one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..hashing import MASK, hash_text
from ..interface import Event, Limits

LONG_BATCH_S = 0.01  # a batch that blocks the event loop for longer is reported in the log
SUMMARY_INTERVAL_S = 1.0
# A request may wait for its decision for at most this long and this share of its time budget; after a longer
# wait too little time would be left to serve it.
MAX_WAIT_S = 0.25
MAX_WAIT_SHARE = 0.2
# Advice for requests that waited too long, spread so that their retries don't coincide.
RETRY_AFTER_RANGE_S = (0.25, 1.0)


def waits_too_long(waited_s: float, budget_s: float) -> bool:
    """Return whether a request has waited too long for its decision, so that it must be refused."""
    return waited_s > min(MAX_WAIT_S, MAX_WAIT_SHARE * budget_s)


def retry_after_s(limits: Limits, request: str) -> float:
    """Return the delay after which a refused client should retry; 0 if the settings allow no such advice."""
    if not limits.retry_advice:
        return 0.0
    shortest, longest = RETRY_AFTER_RANGE_S
    return min(shortest + (longest - shortest) * hash_text(request) / MASK, limits.max_retry_after_s)


@dataclass(slots=True)
class _Interval:
    """The counts since the last summary."""

    batches: int = 0
    long_batches: int = 0
    max_events: int = 0
    longest_s: float = 0.0
    longest_with: str = ""


class DecisionStats:
    """Statistics on batches of events, summed up only for intervals with a long batch."""

    def __init__(self, now: float) -> None:
        self._interval_began_at = now
        self._interval = _Interval()

    def record_batch(self, events: Sequence[Event], took_s: float) -> None:
        """Count a batch of events and its processing time."""
        interval = self._interval
        interval.batches += 1
        interval.long_batches += took_s > LONG_BATCH_S
        interval.max_events = max(interval.max_events, len(events))
        if took_s > interval.longest_s:
            interval.longest_s = took_s
            interval.longest_with = " ".join(sorted({type(event).__name__ for event in events}))

    def summary(self, now: float) -> dict[str, object] | None:
        """Return the fields of the log record and start a new interval; None while no record is due."""
        if now - self._interval_began_at < SUMMARY_INTERVAL_S:
            return None
        interval, self._interval, self._interval_began_at = self._interval, _Interval(), now
        if not interval.long_batches:
            return None
        return {
            "batches": interval.batches,
            "long": interval.long_batches,
            "most_events": interval.max_events,
            "longest_s": round(interval.longest_s, 4),
            "longest_with": interval.longest_with,
        }
