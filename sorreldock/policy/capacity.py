"""The sum of what replicas can do, kept as they change and as time passes instead of added up anew.

A replica with a flag counts nothing, one that warms up its guaranteed share, which rises evenly, and any
other its weight. All that warm up rise alike, so their sum is a straight line over time. What changes by
itself at a known time (a flag's end, the end of a warm-up) waits in a heap.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .replica import Replica

REBUILT_AFTER = 20_000  # changes, after which the sums are added up anew: rounding errors would pile up


@dataclass(slots=True)
class _Term:
    """What one replica adds: a constant, and a part that rises."""

    constant: float = 0.0
    rising: float = 0.0  # weight of a replica that warms up
    rising_start: float = 0.0  # that weight times its start, counted from the sum's origin
    flagged: bool = False


class CapacitySum:
    """Over a changing set of replicas; times in seconds of one clock."""

    def __init__(self, cold_share: float, warm_up_s: float) -> None:
        self._cold_share = cold_share
        self._warm_up_s = max(warm_up_s, 1e-9)
        self._terms: dict[Replica, _Term] = {}
        self._changed: dict[Replica, None] = {}
        self._due: list[tuple[float, int, Replica]] = []
        self._pushed = self._changes = 0
        self._origin: float | None = None  # times are counted from here, lest products lose their last digits
        self._constant = self._rising = self._rising_start = 0.0
        self._flagged = 0

    def add(self, replica: Replica) -> None:
        """Take in a replica; of one that is in, note a change."""
        self._changed[replica] = None

    def discard(self, replica: Replica) -> None:
        """Take a replica out."""
        self._changed.pop(replica, None)
        self._subtract(replica)

    def total(self, now: float) -> float:
        """Return the sum at this time; times asked for must not fall."""
        self._settle(now)
        assert self._origin is not None
        elapsed = self._rising * (now - self._origin) - self._rising_start
        rising = self._cold_share * self._rising + (1.0 - self._cold_share) / self._warm_up_s * elapsed
        return max(self._constant + rising, 0.0)

    def flagged(self, now: float) -> int:
        """Return how many have a flag."""
        self._settle(now)
        return self._flagged

    def _settle(self, now: float) -> None:
        if self._origin is None:
            self._origin = now
        while self._due and self._due[0][0] <= now:
            replica = heapq.heappop(self._due)[2]
            if replica in self._terms:
                self._changed[replica] = None
        if not self._changed:
            return
        self._changes += len(self._changed)
        changed, self._changed = self._changed, {}
        if self._changes > REBUILT_AFTER:
            self._changes = 0
            changed = dict.fromkeys([*self._terms, *changed])
            self._terms.clear()
            self._constant = self._rising = self._rising_start = 0.0
            self._flagged = 0
        for replica in changed:
            self._subtract(replica)
            self._place(replica, now)

    def _subtract(self, replica: Replica) -> None:
        term = self._terms.pop(replica, None)
        if term is not None:
            self._constant -= term.constant
            self._rising -= term.rising
            self._rising_start -= term.rising_start
            self._flagged -= term.flagged

    def _place(self, replica: Replica, now: float) -> None:
        assert self._origin is not None
        term, weight, started_at = _Term(), replica.weight, replica.started_at
        if replica.failed_until > now:
            term.flagged = True
            self._wait(replica, replica.failed_until)
        elif started_at <= 0.0 or now - started_at >= self._warm_up_s:
            term.constant = weight
        elif started_at > now:  # a clock that runs ahead of ours
            term.constant = weight * self._cold_share
            self._wait(replica, started_at)
        else:
            term.rising, term.rising_start = weight, weight * (started_at - self._origin)
            self._wait(replica, started_at + self._warm_up_s)
        self._terms[replica] = term
        self._constant += term.constant
        self._rising += term.rising
        self._rising_start += term.rising_start
        self._flagged += term.flagged

    def _wait(self, replica: Replica, until: float) -> None:
        self._pushed += 1
        heapq.heappush(self._due, (until, self._pushed, replica))
