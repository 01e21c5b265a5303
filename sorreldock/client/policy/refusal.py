"""Refusals: the router's advice, and the pauses that it asks for."""

from __future__ import annotations

import math
import re
from email.utils import parsedate_to_datetime

DECIMAL = re.compile(r"\d{1,9}(?:\.\d{1,9})?")
INTEGER = re.compile(r"-?\d{1,10}")


def parse_retry_after(text: str | None, wall_s: float) -> float | None:
    """The seconds that a `Retry-After` asks for (RFC 9110 10.2.3, and decimals as the platform writes
    them), or None for no advice. `wall_s` is Unix time, which only a date needs; a date that has passed is
    0. A negative number, or what is none at all, is no advice.
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
    """What `grpc-retry-pushback-ms` asks for: seconds or None, and whether it forbids a retry, as a negative
    or unreadable value does (gRFC A6).
    """
    if text is None:
        return None, False
    if not INTEGER.fullmatch(text.strip()) or int(text) < 0:
        return None, True
    return int(text) / 1000.0, False


def retry_time(
    now: float, advice_s: float, draw: float, latest: float, min_jitter_s: float = 0.05
) -> float | None:
    """The moment at which a refused request comes back: after the advised one, never before, spread over half
    as long again; None if the advised moment is past `latest`, the last one that would be in time. The spread
    narrows rather than miss `latest`.
    """
    advised = now + advice_s
    if advised > latest:
        return None
    return min(advised + draw * max(advice_s / 2, min_jitter_s), latest)


class Pauses:
    """The pauses that routers have asked for, by router and class; other calls of the client keep them
    too.
    """

    def __init__(self, max_pause_s: float = 60.0, max_entries: int = 4096) -> None:
        self._max_pause_s = max_pause_s  # bounds what a date, and a wall clock that is off, may ask for
        self._max_entries = max_entries
        self._until: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(self, router: str, rpc_class: str, now: float, advice_s: float) -> None:
        """A later end counts; an earlier one does not shorten a pause that is on."""
        self._expire(now)
        if advice_s <= 0 or (
            len(self._until) >= self._max_entries and (router, rpc_class) not in self._until
        ):
            return
        until = now + min(advice_s, self._max_pause_s)
        key = (router, rpc_class)
        self._until[key] = max(until, self._until.get(key, until))

    def remaining_s(self, router: str, rpc_class: str, now: float) -> float:
        """Seconds until the router may be asked for this class; 0 when it may now. Bounded by the longest
        pause, so that a clock that stepped back does not make one endless.
        """
        until = self._until.get((router, rpc_class), now)
        return min(max(until - now, 0.0), self._max_pause_s)

    def forget(self, router: str) -> None:
        self._until = {k: v for k, v in self._until.items() if k[0] != router}

    def _expire(self, now: float) -> None:
        self._until = {k: v for k, v in self._until.items() if v > now}
