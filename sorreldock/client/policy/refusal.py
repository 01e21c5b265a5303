"""Refusals: the retry advice of routers, and the pauses that it imposes on other calls."""

from __future__ import annotations

import math
import re
from email.utils import parsedate_to_datetime

DECIMAL = re.compile(r"\d{1,9}(?:\.\d{1,9})?")
INTEGER = re.compile(r"-?\d{1,10}")


def parse_retry_after(text: str | None, wall_s: float) -> float | None:
    """Return the delay in seconds that a `Retry-After` value asks for, or None if it holds no advice.

    Takes the forms of RFC 9110 10.2.3 and the decimal fractions that the platform writes. `wall_s` is Unix
    time, used for dates alone; a date in the past gives 0. A negative number or any other text is no advice.
    """
    text = (text or "").strip()
    if DECIMAL.fullmatch(text):
        return float(text)
    if not text or not text[0].isalpha():
        return None
    try:
        when = parsedate_to_datetime(text).timestamp()
    except (ValueError, TypeError, OverflowError, IndexError):
        return None
    return max(when - wall_s, 0.0) if math.isfinite(when) else None


def parse_pushback(text: str | None) -> tuple[float | None, bool]:
    """Return the delay in seconds (or None) of a `grpc-retry-pushback-ms`, and whether it forbids a retry.

    A negative or malformed value forbids a retry (gRFC A6).
    """
    if text is None:
        return None, False
    if not INTEGER.fullmatch(text.strip()) or int(text) < 0:
        return None, True
    return int(text) / 1000.0, False


def retry_time(
    now: float, advice_s: float, draw: float, latest: float, min_jitter_s: float = 0.05
) -> float | None:
    """Return the moment at which to retry a refused request, or None if the advised moment is past `latest`.

    It is never before the advised moment, and is spread over half the advised delay (at least
    `min_jitter_s`) after it. `latest` is the last moment that is in time; the spread is cut to it.
    """
    advised = now + advice_s
    if advised > latest:
        return None
    return min(advised + draw * max(advice_s / 2, min_jitter_s), latest)


class Pauses:
    """The pauses that routers have asked for, by router and class, which all calls of the client observe."""

    def __init__(self, max_pause_s: float = 60.0, max_entries: int = 4096) -> None:
        self._max_pause_s = max_pause_s  # bounds the effect of a date far ahead or a wrong wall clock
        self._max_entries = max_entries
        self._until: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(self, router: str, rpc_class: str, now: float, advice_s: float) -> None:
        """Add a pause; an earlier end does not shorten a pause in progress."""
        self._expire(now)
        if advice_s <= 0 or (
            len(self._until) >= self._max_entries and (router, rpc_class) not in self._until
        ):
            return
        until = now + min(advice_s, self._max_pause_s)
        key = (router, rpc_class)
        self._until[key] = max(until, self._until.get(key, until))

    def remaining_s(self, router: str, rpc_class: str, now: float) -> float:
        """Return the seconds until requests of this class may be sent to the router; 0 for now.

        Bounded by the maximum pause, so that a clock that stepped back does not make a pause endless.
        """
        until = self._until.get((router, rpc_class), now)
        return min(max(until - now, 0.0), self._max_pause_s)

    def forget(self, router: str) -> None:
        """Remove all pauses of a router."""
        self._until = {k: v for k, v in self._until.items() if k[0] != router}

    def _expire(self, now: float) -> None:
        self._until = {k: v for k, v in self._until.items() if v > now}
