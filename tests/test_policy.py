"""Tests of the decision module's parts for large fleets: the slot table and the incremental sums."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import GUARANTEES, START, arrival, make_gateway, replica_entry, started_attempts

from sorreldock.hashing import hash_text, mix
from sorreldock.interface import ListKind, ReplicaEntry, ReplicaList, ReplicaState
from sorreldock.policy.draw import MAX_STRAW_REPLICAS, longest_straw, sampled_rounds
from sorreldock.policy.group import ReplicaGroup
from sorreldock.policy.replica import Replica
from sorreldock.rules import Gateway

KEYS = [mix(number) for number in range(20_000)]


def replica(number: int, weight: float = 1.0, started_at: float = 0.0) -> Replica:
    return Replica(ReplicaEntry(hash_text(f"s-{number}"), "a", 0, weight, ReplicaState.READY, started_at))


def group(replicas: list[Replica]) -> ReplicaGroup:
    replica_group = ReplicaGroup(GUARANTEES.cold_share, GUARANTEES.warm_up_s)
    for member in replicas:
        replica_group.add(member)
    return replica_group


def winners(drawn_from: ReplicaGroup) -> list[Replica]:
    return [drawn_from.draw(key, 0) for key in KEYS]


def test_a_small_fleet_draws_straws() -> None:
    members = [replica(number) for number in range(MAX_STRAW_REPLICAS)]
    small = group(members)
    for key in KEYS[:200]:
        assert small.draw(key, 0) is longest_straw(members, mix(key))


def test_a_large_fleet_shares_keys_by_weight_for_any_order_of_its_list() -> None:
    members = [replica(number, weight=1.0 + number % 2) for number in range(1000)]
    large = group(members)
    drawn = Counter(member.weight for member in winners(large))
    assert drawn[2.0] / drawn[1.0] == pytest.approx(2.0, rel=0.1)
    random.Random(1).shuffle(members)
    other = group([replica(number + 2000, weight=9.0) for number in range(20)])
    other.draw(KEYS[0], 0)
    for heavy in list(other):  # former members must not affect the draw
        other.discard(heavy)
    for member in members:
        other.add(member)
    assert winners(other) == winners(large)


@pytest.mark.parametrize("change", ["goes", "comes", "gains weight"])
def test_a_change_to_a_large_fleet_moves_little_more_than_its_own_keys(change: str) -> None:
    members = [replica(number) for number in range(1000)]
    fleet = group(members)
    before, some = winners(fleet), members[:50]
    if change == "goes":
        for member in some:
            fleet.discard(member)
    elif change == "comes":
        for number in range(1000, 1050):
            fleet.add(replica(number))
    else:
        for member in some:
            member.weight = 2.0
    moved = sum(a is not b for a, b in zip(before, winners(fleet), strict=True))
    ideal = {"goes": 50 / 1000, "comes": 50 / 1050, "gains weight": 50 / 1050}[change] * len(KEYS)
    if change == "gains weight":  # the largest weight has doubled: all chances are recomputed, which is rare
        for member in members[50:60]:
            member.weight = 2.0
        again = winners(fleet)
        members[60].weight = 1.5
        moved = sum(a is not b for a, b in zip(again, winners(fleet), strict=True))
        ideal = 0.5 / 1060 * len(KEYS)
    assert moved < 1.5 * ideal + 3 * ideal**0.5


def test_a_fleet_that_grows_past_the_bound_does_not_move_all_keys_at_once() -> None:
    fleet = group([replica(number) for number in range(MAX_STRAW_REPLICAS)])
    before = winners(fleet)
    for number in range(MAX_STRAW_REPLICAS, MAX_STRAW_REPLICAS + 8):
        fleet.add(replica(number))
    moved = sum(a is not b for a, b in zip(before, winners(fleet), strict=True))
    assert moved < (8 / MAX_STRAW_REPLICAS * 2 + 0.02) * len(KEYS)


def test_extreme_weights_break_neither_the_draw_nor_the_sums() -> None:
    fleet = group([replica(number, weight=1e300 if number == 7 else 0.0) for number in range(600)])
    assert fleet.draw(KEYS[0], 0) is fleet.draw(KEYS[0], 0)
    assert fleet.capacity(START) > 0.0


def test_sampled_rounds_change_little_when_their_number_does() -> None:
    kept = [len(set(sampled_rounds(key, 100, 8)) & set(sampled_rounds(key, 101, 8))) for key in KEYS[:500]]
    assert all(len(sampled_rounds(key, 100, 8)) == 8 for key in KEYS[:500]) and sum(kept) / 500 > 7.7


def recomputed_capacity(members: list[Replica], now: float) -> float:
    total = 0.0
    for member in members:
        age = now - member.started_at
        is_warm = member.started_at <= 0.0 or age >= GUARANTEES.warm_up_s
        share = GUARANTEES.cold_share
        capacity_share = 1.0 if is_warm else share + (1.0 - share) * max(age, 0.0) / GUARANTEES.warm_up_s
        total += 0.0 if member.ejected_until > now else member.weight * capacity_share
    return total


def test_incremental_sums_equal_recomputed_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    from sorreldock.policy import capacity

    monkeypatch.setattr(capacity, "MAX_CHANGES_BEFORE_REBUILD", 500)
    rng, now = random.Random(3), START
    members = [replica(n, rng.uniform(0.5, 2.0), rng.choice((0.0, now - 5.0, now + 3.0))) for n in range(200)]
    fleet = group(members)
    for _ in range(2000):
        now += rng.expovariate(20.0)
        member = rng.choice(members)
        match rng.randrange(6):
            case 0:
                member.ejected_until = now + rng.uniform(0.1, 8.0)
            case 1:
                member.no_listener_at = now
            case 2:
                member.weight = rng.uniform(0.1, 3.0)
            case 3:
                member.open_attempts += 1
            case 4:
                member.reset_learned()
            case 5 if member in fleet:
                fleet.discard(member)
            case _:
                if member not in fleet:
                    fleet.add(member)
        present = [member for member in members if member in fleet]
        assert fleet.capacity(now) == pytest.approx(recomputed_capacity(present, now), rel=1e-6, abs=1e-6)
        assert fleet.ejected_count(now) == sum(member.ejected_until > now for member in present)
        assert fleet.open_attempts == sum(member.open_attempts for member in present)
        assert fleet.mean_weight == pytest.approx(
            sum(member.weight for member in present) / max(len(present), 1)
        )


class IterationCounter(list):  # type: ignore[type-arg]
    """A list that counts how many of its members are iterated over."""

    iterations = 0

    def __iter__(self):  # type: ignore[no-untyped-def]
        for member in super().__iter__():
            IterationCounter.iterations += 1
            yield member


def test_no_request_or_update_iterates_over_a_large_fleet() -> None:
    gateway: Gateway = make_gateway(
        [replica_entry(hash_text(f"s-{n}"), zone="ab"[n % 2]) for n in range(2000)]
    )
    gateway.handle(START + 1.0, [arrival("first", prefix="p0", now=START + 1.0)])  # builds the tables
    for members in (gateway.local_zone, gateway.other_zones, gateway.all_zones):
        members._members = IterationCounter(members._members)
    IterationCounter.iterations = 0
    for number in range(50):
        now = START + 2.0 + number
        gateway.handle(now, [arrival(f"r{number}", prefix=f"p{number % 3}", now=now)])
        draining = ReplicaEntry(hash_text(f"s-{number}"), "a", 0, 1.0, ReplicaState.DRAINING, 0.0)
        gateway.handle(now, [ReplicaList(ListKind.DELTA, (draining,), number)])
    assert IterationCounter.iterations == 0


def test_requests_are_placed_in_a_fleet_of_thousands_that_is_all_cold() -> None:
    cold = [replica_entry(hash_text(f"s-{n}"), started_at=START - 1.0) for n in range(2000)]
    gateway = make_gateway(cold)
    actions = [gateway.handle(START + n * 0.01, [arrival(f"r{n}", now=START)]) for n in range(60)]
    assert any(started_attempts(action) for action in actions)
