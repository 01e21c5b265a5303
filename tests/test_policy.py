"""The parts of the decision module for large fleets: the draw over slots, and sums that are kept."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from helpers import GUARANTEES, START, call, entry, gateway, sends

from sorreldock.hashing import hash_text, mix
from sorreldock.interface import ListKind, ReplicaEntry, ReplicaList, ReplicaState
from sorreldock.policy.draw import STRAWS_UP_TO, longest_straw, sampled_rounds
from sorreldock.policy.group import ReplicaGroup
from sorreldock.policy.replica import Replica
from sorreldock.rules import Gateway

KEYS = [mix(number) for number in range(20_000)]


def replica(number: int, weight: float = 1.0, started_at: float = 0.0) -> Replica:
    return Replica(ReplicaEntry(hash_text(f"s-{number}"), "a", 0, weight, ReplicaState.READY, started_at))


def group(replicas: list[Replica]) -> ReplicaGroup:
    made = ReplicaGroup(GUARANTEES.cold_share, GUARANTEES.warm_up_s)
    for member in replicas:
        made.add(member)
    return made


def winners(drawn_from: ReplicaGroup) -> list[Replica]:
    return [drawn_from.draw(key, 0) for key in KEYS]


def test_a_small_fleet_draws_straws_as_before() -> None:
    members = [replica(number) for number in range(STRAWS_UP_TO)]
    small = group(members)
    for key in KEYS[:200]:
        assert small.draw(key, 0) is longest_straw(members, mix(key))


def test_a_large_fleet_shares_keys_by_weight_whatever_order_its_list_had() -> None:
    members = [replica(number, weight=1.0 + number % 2) for number in range(1000)]
    large = group(members)
    drawn = Counter(member.weight for member in winners(large))
    assert drawn[2.0] / drawn[1.0] == pytest.approx(2.0, rel=0.1)
    random.Random(1).shuffle(members)
    other = group([replica(number + 2000, weight=9.0) for number in range(20)])
    other.draw(KEYS[0], 0)
    for heavy in list(other):  # what was there before leaves no trace
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
    if change == "gains weight":  # the largest weight has doubled: chances are taken anew, which is rare
        for member in members[50:60]:
            member.weight = 2.0
        again = winners(fleet)
        members[60].weight = 1.5
        moved = sum(a is not b for a, b in zip(again, winners(fleet), strict=True))
        ideal = 0.5 / 1060 * len(KEYS)
    assert moved < 1.5 * ideal + 3 * ideal**0.5


def test_a_fleet_that_grows_past_the_bound_does_not_move_all_keys_at_once() -> None:
    fleet = group([replica(number) for number in range(STRAWS_UP_TO)])
    before = winners(fleet)
    for number in range(STRAWS_UP_TO, STRAWS_UP_TO + 8):
        fleet.add(replica(number))
    moved = sum(a is not b for a, b in zip(before, winners(fleet), strict=True))
    assert moved < (8 / STRAWS_UP_TO * 2 + 0.02) * len(KEYS)


def test_weights_without_measure_neither_stop_the_draw_nor_the_sums() -> None:
    fleet = group([replica(number, weight=1e300 if number == 7 else 0.0) for number in range(600)])
    assert fleet.draw(KEYS[0], 0) is fleet.draw(KEYS[0], 0)
    assert fleet.capacity(START) > 0.0


def test_sampled_rounds_change_little_when_their_number_does() -> None:
    kept = [len(set(sampled_rounds(key, 100, 8)) & set(sampled_rounds(key, 101, 8))) for key in KEYS[:500]]
    assert all(len(sampled_rounds(key, 100, 8)) == 8 for key in KEYS[:500]) and sum(kept) / 500 > 7.7


def added_up(members: list[Replica], now: float) -> float:
    total = 0.0
    for member in members:
        age = now - member.started_at
        warm = member.started_at <= 0.0 or age >= GUARANTEES.warm_up_s
        share = GUARANTEES.cold_share
        warmth = 1.0 if warm else share + (1.0 - share) * max(age, 0.0) / GUARANTEES.warm_up_s
        total += 0.0 if member.failed_until > now else member.weight * warmth
    return total


def test_sums_that_are_kept_are_those_added_up_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    from sorreldock.policy import capacity

    monkeypatch.setattr(capacity, "REBUILT_AFTER", 500)
    draw, now = random.Random(3), START
    members = [
        replica(n, draw.uniform(0.5, 2.0), draw.choice((0.0, now - 5.0, now + 3.0))) for n in range(200)
    ]
    fleet = group(members)
    for _ in range(2000):
        now += draw.expovariate(20.0)
        member = draw.choice(members)
        match draw.randrange(6):
            case 0:
                member.failed_until = now + draw.uniform(0.1, 8.0)
            case 1:
                member.down_at = now
            case 2:
                member.weight = draw.uniform(0.1, 3.0)
            case 3:
                member.open_attempts += 1
            case 4:
                member.forget()
            case 5 if member in fleet:
                fleet.discard(member)
            case _:
                if member not in fleet:
                    fleet.add(member)
        here = [member for member in members if member in fleet]
        assert fleet.capacity(now) == pytest.approx(added_up(here, now), rel=1e-6, abs=1e-6)
        assert fleet.flagged(now) == sum(member.failed_until > now for member in here)
        assert fleet.open_attempts == sum(member.open_attempts for member in here)
        assert fleet.mean_weight == pytest.approx(sum(member.weight for member in here) / max(len(here), 1))


class Counted(list):  # type: ignore[type-arg]
    """A list of members that counts how many of them are looked at."""

    looks = 0

    def __iter__(self):  # type: ignore[no-untyped-def]
        for member in super().__iter__():
            Counted.looks += 1
            yield member


def test_no_request_looks_at_all_of_a_large_fleet() -> None:
    made: Gateway = gateway([entry(hash_text(f"s-{n}"), zone="ab"[n % 2]) for n in range(2000)])
    made.handle(START + 1.0, [call("first", prefix="p0", now=START + 1.0)])  # builds the tables
    for members in (made.local_zone, made.other_zones, made.all_zones):
        members._members = Counted(members._members)
    Counted.looks = 0
    for number in range(50):
        now = START + 2.0 + number
        made.handle(now, [call(f"r{number}", prefix=f"p{number % 3}", now=now)])
        one = ReplicaEntry(hash_text(f"s-{number}"), "a", 0, 1.0, ReplicaState.DRAINING, 0.0)
        made.handle(now, [ReplicaList(ListKind.DELTA, (one,), number)])
    assert Counted.looks == 0


def test_a_fleet_of_thousands_that_is_all_cold_is_still_decided_on() -> None:
    fresh = [entry(hash_text(f"s-{n}"), started_at=START - 1.0) for n in range(2000)]
    made = gateway(fresh)
    actions = [made.handle(START + n * 0.01, [call(f"r{n}", now=START)]) for n in range(60)]
    assert any(sends(action) for action in actions)
