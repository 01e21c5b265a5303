"""The summed capacity of replicas, updated as they change and as time passes instead of recomputed.

An ejected replica counts 0, one that warms up its weight times its guaranteed share, which rises linearly,
and any other its weight. All replicas that warm up rise at the same rate, so their sum is linear in time.
A heap holds the changes that occur at a known time (the end of an ejection or of a warm-up).
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .replica import Replica

MAX_CHANGES_BEFORE_REBUILD = 20_000  # then the sums are recomputed, or rounding errors would accumulate


@dataclass(slots=True)
class _Term:
    """The contribution of one replica: a constant, and a part that rises."""

    constant: float = 0.0
    rising: float = 0.0  # the weight of a replica that warms up
    rising_start: float = 0.0  # that weight times the replica's start, relative to the sum's origin
    ejected: bool = False


class CapacitySum:
    """The total capacity of a changing set of replicas; times are seconds of one clock."""

    def __init__(self, cold_share: float, warm_up_s: float) -> None:
        self._cold_share = cold_share
        self._warm_up_s = max(warm_up_s, 1e-9)
        self._terms: dict[Replica, _Term] = {}
        self._changed: dict[Replica, None] = {}
        self._pending_changes: list[tuple[float, int, Replica]] = []
        self._push_count = self._change_count = 0
        # Times are relative to this one: products with large times would lose their last digits.
        self._origin: float | None = None
        self._constant = self._rising = self._rising_start = 0.0
        self._ejected_count = 0

    def add(self, replica: Replica) -> None:
        """Add a replica, or mark one that is included as changed."""
        self._changed[replica] = None

    def discard(self, replica: Replica) -> None:
        """Remove a replica."""
        self._changed.pop(replica, None)
        self._subtract(replica)

    def total(self, now: float) -> float:
        """Return the sum at this time; later queries must not ask for an earlier time."""
        self._settle(now)
        assert self._origin is not None
        elapsed = self._rising * (now - self._origin) - self._rising_start
        rising = self._cold_share * self._rising + (1.0 - self._cold_share) / self._warm_up_s * elapsed
        return max(self._constant + rising, 0.0)

    def ejected_count(self, now: float) -> int:
        """Return how many replicas are ejected."""
        self._settle(now)
        return self._ejected_count

    def _settle(self, now: float) -> None:
        if self._origin is None:
            self._origin = now
        while self._pending_changes and self._pending_changes[0][0] <= now:
            replica = heapq.heappop(self._pending_changes)[2]
            if replica in self._terms:
                self._changed[replica] = None
        if not self._changed:
            return
        self._change_count += len(self._changed)
        changed, self._changed = self._changed, {}
        if self._change_count > MAX_CHANGES_BEFORE_REBUILD:
            self._change_count = 0
            changed = dict.fromkeys([*self._terms, *changed])
            self._terms.clear()
            self._constant = self._rising = self._rising_start = 0.0
            self._ejected_count = 0
        for replica in changed:
            self._subtract(replica)
            self._include(replica, now)

    def _subtract(self, replica: Replica) -> None:
        term = self._terms.pop(replica, None)
        if term is not None:
            self._constant -= term.constant
            self._rising -= term.rising
            self._rising_start -= term.rising_start
            self._ejected_count -= term.ejected

    def _include(self, replica: Replica, now: float) -> None:
        assert self._origin is not None
        term, weight, started_at = _Term(), replica.weight, replica.started_at
        if replica.ejected_until > now:
            term.ejected = True
            self._recompute_at(replica, replica.ejected_until)
        elif started_at <= 0.0 or now - started_at >= self._warm_up_s:
            term.constant = weight
        elif started_at > now:  # the server's clock runs ahead of this one
            term.constant = weight * self._cold_share
            self._recompute_at(replica, started_at)
        else:
            term.rising, term.rising_start = weight, weight * (started_at - self._origin)
            self._recompute_at(replica, started_at + self._warm_up_s)
        self._terms[replica] = term
        self._constant += term.constant
        self._rising += term.rising
        self._rising_start += term.rising_start
        self._ejected_count += term.ejected

    def _recompute_at(self, replica: Replica, at: float) -> None:
        self._push_count += 1
        heapq.heappush(self._pending_changes, (at, self._push_count, replica))
