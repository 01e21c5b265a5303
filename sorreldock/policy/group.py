"""The replicas of one part of the fleet: their order, their draw, and sums updated on each change."""

from __future__ import annotations

import bisect
from collections.abc import Iterator, Sequence
from typing import overload

from ..hashing import MASK, mix
from .capacity import CapacitySum
from .draw import MAX_STRAW_REPLICAS, ROUND_STEP, SlotTable, longest_straw
from .replica import Replica


def _number(replica: Replica) -> int:
    return replica.entry.replica


class ReplicaGroup(Sequence[Replica]):
    """Replicas in the order of their numbers, which is the same at every gateway."""

    def __init__(self, cold_share: float, warm_up_s: float) -> None:
        self._members: list[Replica] = []
        self._capacity = CapacitySum(cold_share, warm_up_s)
        self._table: SlotTable | None = None  # built at the first draw from a large group
        self.open_attempts = 0  # of this gateway at the members
        self._weight = 0.0

    def __len__(self) -> int:
        return len(self._members)

    @overload
    def __getitem__(self, index: int) -> Replica: ...
    @overload
    def __getitem__(self, index: slice) -> list[Replica]: ...
    def __getitem__(self, index: int | slice) -> Replica | list[Replica]:
        return self._members[index]

    def __iter__(self) -> Iterator[Replica]:
        return iter(self._members)

    def __contains__(self, replica: object) -> bool:
        return isinstance(replica, Replica) and self in replica.groups

    def add(self, replica: Replica) -> None:
        """Add a replica that is not a member."""
        bisect.insort(self._members, replica, key=_number)
        replica.groups = (*replica.groups, self)
        self.open_attempts += replica.open_attempts
        self._weight += replica.weight
        self._capacity.add(replica)
        if self._table is not None:
            self._table.add(replica)

    def discard(self, replica: Replica) -> None:
        """Remove a member."""
        index = bisect.bisect_left(self._members, _number(replica), key=_number)
        del self._members[index]
        replica.groups = tuple(group for group in replica.groups if group is not self)
        self.open_attempts -= replica.open_attempts
        self._capacity.discard(replica)
        if self._table is not None:
            self._table.discard(replica)
        self._weight = self._weight - replica.weight if self._members else 0.0

    def capacity_changed(self, replica: Replica) -> None:
        """Update the sums after a change of a member's capacity."""
        self._capacity.add(replica)

    def weight_changed(self, replica: Replica) -> None:
        """Update the sums and the slots after a change of a member's weight."""
        self._weight = sum(member.weight for member in self._members)
        self._capacity.add(replica)
        if self._table is not None:
            self._table.add(replica)

    @property
    def mean_weight(self) -> float:
        """The mean weight of the members; 1 if there are none."""
        return self._weight / len(self._members) if self._members else 1.0

    def capacity(self, now: float) -> float:
        """Return the capacity of the members that are not ejected: their weights times their warm shares."""
        return self._capacity.total(now)

    def ejected_count(self, now: float) -> int:
        """Return how many members are ejected."""
        return self._capacity.ejected_count(now)

    def draw(self, key: int, round_number: int) -> Replica:
        """Return the winner of one round of a key's draw, from round 0 on; the group must not be empty."""
        round_key = mix(key + round_number * ROUND_STEP & MASK)
        excess = len(self._members) - MAX_STRAW_REPLICAS
        if excess > 0 and mix(key) % MAX_STRAW_REPLICAS < excess:
            if self._table is None:
                self._table = SlotTable(self._members)
            winner = self._table.draw(round_key)
            if winner is not None:
                return winner
        return longest_straw(self._members, round_key)
