"""The draw: which replica a key maps to, the same at every gateway that has the same list.

Among few replicas each draws a straw, ln(u)/w, and the longest wins (straw2 of CRUSH). That costs a hash
for each replica, so among many the key probes a table of slots instead: each replica is in the slot that its
own hash selects, and a probe of a slot is accepted with a probability proportional to the weight there. The
number of probes does not grow with the fleet. With both methods, adding or removing a replica moves only its
own keys and those of the replicas in the same slot.

Between `MAX_STRAW_REPLICAS` and twice as many replicas a rising part of the keys uses the table, so that a
fleet that grows past the bound does not move all of its keys at once.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from ..hashing import MASK, hash_to_unit, mix
from .replica import Replica

ROUND_STEP = 0xD1342543DE82EF95
PROBE_STEP = 0x9E3779B97F4A7C15
MAX_STRAW_REPLICAS = 256
SLOT_BITS = 13  # 8192 slots
SLOT_MASK = (1 << SLOT_BITS) - 1
CHANCE_BITS = 32
# In full weights: a slot with more weight counts as this much, which is rare up to 10,000 replicas.
MAX_SLOT_WEIGHT = 4.0
MAX_PROBES = 4096  # exceeded with weights of very unequal size; straws are then drawn instead


def straw_length(key: int, replica: Replica) -> float:
    """Return the length of a replica's straw; the longest wins."""
    return math.log(hash_to_unit(key, replica.salt)) / replica.weight


def longest_straw(replicas: Sequence[Replica], key: int) -> Replica:
    """Return the replica that draws the longest straw for a key."""
    best, longest, log, size = replicas[0], -math.inf, math.log, MASK + 2
    for replica in replicas:  # inlines `mix` and `hash_to_unit`: most of a fleet's CPU time is spent here
        v = key ^ replica.salt
        v = (v ^ (v >> 30)) * 0xBF58476D1CE4E5B9 & MASK
        v = (v ^ (v >> 27)) * 0x94D049BB133111EB & MASK
        length = log(((v ^ (v >> 31)) + 1) / size) / replica.weight
        if length > longest:
            best, longest = replica, length
    return best


def sampled_rounds(key: int, rounds: int, max_samples: int) -> list[int]:
    """Return up to `max_samples` distinct rounds below `rounds`, few of which change when `rounds` does.

    Each comes from a jump consistent hash (Lamping and Veach, 2014) with a seed of its own.
    """
    samples: dict[int, None] = {}
    for number in range(2 * max_samples):
        samples[_jump_hash(mix(key + number * PROBE_STEP & MASK), rounds)] = None
        if len(samples) == max_samples:
            break
    return list(samples)


def _jump_hash(key: int, buckets: int) -> int:
    bucket, jump = -1, 0
    while jump < buckets:
        bucket = jump
        key = (key * 2862933555777941757 + 1) & MASK
        jump = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket


class SlotTable:
    """Replicas by slot, with the chance that a probe of each slot is accepted."""

    def __init__(self, replicas: Sequence[Replica]) -> None:
        self._slots: dict[int, list[Replica]] = {}
        self._weights: dict[Replica, float] = {}
        self._chances: dict[int, int] = {}
        self._magnitude_counts: Counter[int] = Counter()  # counts of weights by power of two
        # The weight that fills a slot; it depends only on the present replicas, not on former ones.
        self._full_slot = 0.0
        for replica in replicas:
            self._slots.setdefault(replica.salt & SLOT_MASK, []).append(replica)
            self._weights[replica] = replica.weight
            self._magnitude_counts[_magnitude(replica.weight)] += 1
        self._rescale()

    def add(self, replica: Replica) -> None:
        """Add a replica to its slot, or update the weight of one that is there."""
        slot = replica.salt & SLOT_MASK
        members = self._slots.setdefault(slot, [])
        if replica in self._weights:
            self._remove_magnitude(self._weights[replica])
        else:
            members.append(replica)
        self._weights[replica] = replica.weight
        self._magnitude_counts[_magnitude(replica.weight)] += 1
        self._update(slot)

    def discard(self, replica: Replica) -> None:
        """Remove a replica from its slot."""
        slot = replica.salt & SLOT_MASK
        weight = self._weights.pop(replica, None)
        if weight is not None:
            self._remove_magnitude(weight)
            self._slots[slot].remove(replica)
            self._update(slot)

    def draw(self, key: int) -> Replica | None:
        """Return the replica of the first slot that accepts a probe, or None after `MAX_PROBES`."""
        slots, chances, probe = self._slots, self._chances, key
        for _ in range(MAX_PROBES):
            probe = mix(probe + PROBE_STEP & MASK)
            chance = chances.get(probe & SLOT_MASK)
            if chance is not None and (probe >> SLOT_BITS) & ((1 << CHANCE_BITS) - 1) < chance:
                members = slots[probe & SLOT_MASK]
                return members[0] if len(members) == 1 else longest_straw(members, probe)
        return None

    def _remove_magnitude(self, weight: float) -> None:
        magnitude = _magnitude(weight)
        self._magnitude_counts[magnitude] -= 1
        if not self._magnitude_counts[magnitude]:
            del self._magnitude_counts[magnitude]

    def _update(self, slot: int) -> None:
        if self._full_slot != self._full_slot_weight():
            self._rescale()
        elif self._slots[slot]:
            self._chances[slot] = _chance(self._weight_of(slot), self._full_slot)
        else:
            self._chances.pop(slot, None)

    def _weight_of(self, slot: int) -> float:
        return sum(self._weights[replica] for replica in self._slots[slot])

    def _full_slot_weight(self) -> float:
        return MAX_SLOT_WEIGHT * 2.0 ** max(self._magnitude_counts, default=0)

    def _rescale(self) -> None:
        """Recompute all chances after a change of the largest weight's magnitude, which is rare."""
        self._full_slot = self._full_slot_weight()
        self._chances = {
            slot: _chance(self._weight_of(slot), self._full_slot)
            for slot, members in self._slots.items()
            if members
        }


def _magnitude(weight: float) -> int:
    return math.ceil(math.log2(weight))


def _chance(weight: float, full_slot: float) -> int:
    return max(int(min(weight / full_slot, 1.0) * (1 << CHANCE_BITS)), 1)
