"""How long decisions take and how many events wait for one: counted here, told in the log once a second."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..hashing import MASK, hash_text
from ..interface import Event, Limits

LONG_S = 0.01  # a batch that held the event loop for longer is worth a record
TELL_EVERY_S = 1.0
# A request may wait for its decision so long, or this share of its time: later too little would be left.
LONGEST_WAIT_S = 0.25
WAIT_SHARE = 0.2
PAUSE_S = (0.25, 1.0)  # advice for those that waited in vain, spread lest they return together


def waits_too_long(waited_s: float, time_s: float) -> bool:
    """Whether a request that has waited so long for its decision, of so much time, is to be refused."""
    return waited_s > min(LONGEST_WAIT_S, WAIT_SHARE * time_s)


def advice_s(limits: Limits, request: str) -> float:
    """Return when a refused client is to come again; 0 where the settings allow no advice."""
    if not limits.retry_advice:
        return 0.0
    least, most = PAUSE_S
    return min(least + (most - least) * hash_text(request) / MASK, limits.max_retry_after_s)


@dataclass(slots=True)
class _Span:
    """What has been counted since the last record."""

    batches: int = 0
    long_batches: int = 0
    most_events: int = 0
    longest_s: float = 0.0
    longest_with: str = ""


class DecisionPace:
    """Counts batches of events; `summary` is due only when one of them was long."""

    def __init__(self, now: float) -> None:
        self._told_at = now
        self._span = _Span()

    def decided(self, events: Sequence[Event], took_s: float) -> None:
        """Count a batch that took so long."""
        span = self._span
        span.batches += 1
        span.long_batches += took_s > LONG_S
        span.most_events = max(span.most_events, len(events))
        if took_s > span.longest_s:
            span.longest_s = took_s
            span.longest_with = " ".join(sorted({type(event).__name__ for event in events}))

    def summary(self, now: float) -> dict[str, object] | None:
        """Return the fields of a record, if one is due."""
        if now - self._told_at < TELL_EVERY_S:
            return None
        span, self._span, self._told_at = self._span, _Span(), now
        if not span.long_batches:
            return None
        return {
            "batches": span.batches,
            "long": span.long_batches,
            "most_events": span.most_events,
            "longest_s": round(span.longest_s, 4),
            "longest_with": span.longest_with,
        }
