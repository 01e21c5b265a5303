"""The draw: which replica a key falls on, alike at every gateway that knows the same replicas.

Among few replicas each draws a straw, ln(u)/w, and the longest wins (straw2 of CRUSH). That costs a hash
for each replica, so among many the key probes a table of slots instead: replicas lie in slots by their own
hashes, and a probe that meets a slot is taken with a chance in proportion to the weight there. The number
of probes does not grow with the fleet. In both, a replica that comes or goes moves its own keys alone, but
for those it shares a slot with.

Between `STRAWS_UP_TO` and twice as many replicas a rising part of the keys uses the table, so that a fleet
that grows past the bound does not move all of its keys at once.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from ..hashing import MASK, hash_to_unit, mix
from .replica import Replica

ROUND_STEP = 0xD1342543DE82EF95
PROBE_STEP = 0x9E3779B97F4A7C15
STRAWS_UP_TO = 256
SLOT_BITS = 13
SLOT_MASK = (1 << SLOT_BITS) - 1
CHANCE_BITS = 32
SLOT_HOLDS = 4.0  # full weights: a slot with more gets no more than this, which is rare up to 10,000 replicas
MOST_PROBES = 4096  # weights of very unequal size: then the straws decide


def straw_length(key: int, replica: Replica) -> float:
    """Return the length of a replica's straw; the longest wins."""
    return math.log(hash_to_unit(key, replica.salt)) / replica.weight


def longest_straw(replicas: Sequence[Replica], key: int) -> Replica:
    """Return the replica that draws the longest straw for a key."""
    best, longest, log, size = replicas[0], -math.inf, math.log, MASK + 2
    for replica in replicas:  # `mix` and `unit` written out: this loop is most of a fleet's processor time
        v = key ^ replica.salt
        v = (v ^ (v >> 30)) * 0xBF58476D1CE4E5B9 & MASK
        v = (v ^ (v >> 27)) * 0x94D049BB133111EB & MASK
        length = log(((v ^ (v >> 31)) + 1) / size) / replica.weight
        if length > longest:
            best, longest = replica, length
    return best


def sampled_rounds(key: int, rounds: int, most: int) -> list[int]:
    """Return up to `most` different rounds out of so many, few of which change when their number does.

    Jump consistent hashing (Lamping and Veach, 2014), with a seed of its own for each.
    """
    found: dict[int, None] = {}
    for number in range(2 * most):
        found[_jump(mix(key + number * PROBE_STEP & MASK), rounds)] = None
        if len(found) == most:
            break
    return list(found)


def _jump(key: int, buckets: int) -> int:
    bucket, jump = -1, 0
    while jump < buckets:
        bucket = jump
        key = (key * 2862933555777941757 + 1) & MASK
        jump = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket


class SlotTable:
    """Replicas by slot, with the chance that a probe of each slot is taken."""

    def __init__(self, replicas: Sequence[Replica]) -> None:
        self._slots: dict[int, list[Replica]] = {}
        self._weights: dict[Replica, float] = {}
        self._chances: dict[int, int] = {}
        self._magnitudes: Counter[int] = Counter()  # of weights, as powers of two
        self._full = 0.0  # the weight that fills a slot; by what is in the table alone, never by what was
        for replica in replicas:
            self._slots.setdefault(replica.salt & SLOT_MASK, []).append(replica)
            self._weights[replica] = replica.weight
            self._magnitudes[_magnitude(replica.weight)] += 1
        self._rescale()

    def add(self, replica: Replica) -> None:
        """Put a replica into its slot; of one that is there, take its weight anew."""
        slot = replica.salt & SLOT_MASK
        members = self._slots.setdefault(slot, [])
        if replica in self._weights:
            self._forget_magnitude(self._weights[replica])
        else:
            members.append(replica)
        self._weights[replica] = replica.weight
        self._magnitudes[_magnitude(replica.weight)] += 1
        self._update(slot)

    def discard(self, replica: Replica) -> None:
        """Take a replica out of its slot."""
        slot = replica.salt & SLOT_MASK
        weight = self._weights.pop(replica, None)
        if weight is not None:
            self._forget_magnitude(weight)
            self._slots[slot].remove(replica)
            self._update(slot)

    def draw(self, key: int) -> Replica | None:
        """Return the replica of the first slot that takes a probe; None if none of many does."""
        slots, chances, probe = self._slots, self._chances, key
        for _ in range(MOST_PROBES):
            probe = mix(probe + PROBE_STEP & MASK)
            chance = chances.get(probe & SLOT_MASK)
            if chance is not None and (probe >> SLOT_BITS) & ((1 << CHANCE_BITS) - 1) < chance:
                members = slots[probe & SLOT_MASK]
                return members[0] if len(members) == 1 else longest_straw(members, probe)
        return None

    def _forget_magnitude(self, weight: float) -> None:
        magnitude = _magnitude(weight)
        self._magnitudes[magnitude] -= 1
        if not self._magnitudes[magnitude]:
            del self._magnitudes[magnitude]

    def _update(self, slot: int) -> None:
        if self._full != self._full_weight():
            self._rescale()
        elif self._slots[slot]:
            self._chances[slot] = _chance(self._weight_of(slot), self._full)
        else:
            self._chances.pop(slot, None)

    def _weight_of(self, slot: int) -> float:
        return sum(self._weights[replica] for replica in self._slots[slot])

    def _full_weight(self) -> float:
        return SLOT_HOLDS * 2.0 ** max(self._magnitudes, default=0)

    def _rescale(self) -> None:
        """Take the chances anew: the largest weight has another magnitude, which is rare."""
        self._full = self._full_weight()
        self._chances = {
            slot: _chance(self._weight_of(slot), self._full)
            for slot, members in self._slots.items()
            if members
        }


def _magnitude(weight: float) -> int:
    return math.ceil(math.log2(weight))


def _chance(weight: float, full: float) -> int:
    return max(int(min(weight / full, 1.0) * (1 << CHANCE_BITS)), 1)
