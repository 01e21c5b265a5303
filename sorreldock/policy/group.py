"""The replicas of one part of the fleet: their order, their draw, and sums that are kept as they change."""

from __future__ import annotations

import bisect
from collections.abc import Iterator, Sequence
from typing import overload

from ..hashing import MASK, mix
from .capacity import CapacitySum
from .draw import ROUND_STEP, STRAWS_UP_TO, SlotTable, longest_straw
from .replica import Replica


def _number(replica: Replica) -> int:
    return replica.entry.replica


class ReplicaGroup(Sequence[Replica]):
    """Replicas in the order of their numbers, which is alike at every gateway."""

    def __init__(self, cold_share: float, warm_up_s: float) -> None:
        self._members: list[Replica] = []
        self._capacity = CapacitySum(cold_share, warm_up_s)
        self._table: SlotTable | None = None  # built when the group is large for the first time
        self.open_attempts = 0  # attempts of this gateway out at its members
        self._weight = 0.0

    def __len__(self) -> int:
        return len(self._members)

    @overload
    def __getitem__(self, place: int) -> Replica: ...
    @overload
    def __getitem__(self, place: slice) -> list[Replica]: ...
    def __getitem__(self, place: int | slice) -> Replica | list[Replica]:
        return self._members[place]

    def __iter__(self) -> Iterator[Replica]:
        return iter(self._members)

    def __contains__(self, replica: object) -> bool:
        return isinstance(replica, Replica) and self in replica.groups

    def add(self, replica: Replica) -> None:
        """Take in a replica that is not a member."""
        bisect.insort(self._members, replica, key=_number)
        replica.groups = (*replica.groups, self)
        self.open_attempts += replica.open_attempts
        self._weight += replica.weight
        self._capacity.add(replica)
        if self._table is not None:
            self._table.add(replica)

    def discard(self, replica: Replica) -> None:
        """Take a member out."""
        place = bisect.bisect_left(self._members, _number(replica), key=_number)
        del self._members[place]
        replica.groups = tuple(group for group in replica.groups if group is not self)
        self.open_attempts -= replica.open_attempts
        self._capacity.discard(replica)
        if self._table is not None:
            self._table.discard(replica)
        self._weight = self._weight - replica.weight if self._members else 0.0

    def changed(self, replica: Replica) -> None:
        """Take note that the member's capacity is another one now."""
        self._capacity.add(replica)

    def reweighted(self, replica: Replica) -> None:
        """Take note that the member's weight is another one now."""
        self._weight = sum(member.weight for member in self._members)
        self._capacity.add(replica)
        if self._table is not None:
            self._table.add(replica)

    @property
    def mean_weight(self) -> float:
        """Of its members; 1 if there are none."""
        return self._weight / len(self._members) if self._members else 1.0

    def capacity(self, now: float) -> float:
        """Return what its members without a flag can do, as weights times the share that is warm."""
        return self._capacity.total(now)

    def flagged(self, now: float) -> int:
        """Return how many members have a flag."""
        return self._capacity.flagged(now)

    def draw(self, key: int, number: int) -> Replica:
        """Return the winner of a key's draw with this number, from 0 on; the group must not be empty."""
        x = mix(key + number * ROUND_STEP & MASK)
        beyond = len(self._members) - STRAWS_UP_TO
        if beyond > 0 and mix(key) % STRAWS_UP_TO < beyond:
            if self._table is None:
                self._table = SlotTable(self._members)
            winner = self._table.draw(x)
            if winner is not None:
                return winner
        return longest_straw(self._members, x)
