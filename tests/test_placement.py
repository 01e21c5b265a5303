"""Tests of placement: weighted shares, minimal movement, agreement, rejection, other zones."""

from __future__ import annotations

import dataclasses
import math
from collections import Counter

import pytest
from helpers import (
    START,
    arrival,
    chosen_replicas,
    fleet,
    make_gateway,
    replica_entry,
    replica_list,
    settings,
    started_attempts,
)

from sorreldock.interface import AttemptEnded, ListKind, Metric, ReplicaState, RequestArrived, Status
from sorreldock.rules import CROWDED_MULTIPLE, Gateway

KEYS = [f"key-{i}" for i in range(3000)]


def test_shares_follow_the_weights() -> None:
    entries = [replica_entry(1, weight=1.0), replica_entry(2, weight=2.0), replica_entry(3, weight=5.0)]
    chosen = chosen_replicas(make_gateway(entries), KEYS)
    for e in entries:
        share = e.weight / 8.0
        count = sum(1 for replica in chosen.values() if replica == e.replica)
        bound = 4.0 * math.sqrt(len(KEYS) * share * (1.0 - share))
        assert abs(count - share * len(KEYS)) < bound


def test_gateways_agree_for_any_seed_and_order_of_the_list() -> None:
    one = chosen_replicas(make_gateway(fleet(6), seed=1), KEYS[:300])
    two = chosen_replicas(make_gateway(list(reversed(fleet(6))), seed=99, gateway=3), KEYS[:300])
    assert one == two


def test_open_attempts_crowd_a_replica_and_its_keys_return_when_they_end() -> None:
    """A server without a queue may share its steps among too many streams; there are no load reports."""
    gateway = make_gateway(fleet(3))
    before = chosen_replicas(gateway, KEYS[:50])
    requests = [arrival(f"q{n}", session="one") for n in range(60)]
    started = [
        action for request in requests for action in started_attempts(gateway.handle(START, [request]))
    ]
    counts = Counter(action.replica for action in started)
    assert len(started) == 60 and max(counts.values()) <= 1.5 * CROWDED_MULTIPLE * 60 / 3 and len(counts) == 3
    for action in started:
        gateway.handle(START, [AttemptEnded(action.request, 0, action.replica, Status.OK, 0.5, True)])
    assert all(replica.open_attempts == 0 for replica in gateway.replicas.values())
    assert chosen_replicas(gateway, KEYS[:50]) == before


def test_a_zone_too_small_for_its_open_attempts_passes_on_keys_and_one_with_free_capacity_none() -> None:
    """One replica is in the zone and seven are not; without load reports it must not get all requests."""
    gateway = make_gateway([replica_entry(1), *(replica_entry(i, "b") for i in range(2, 9))], gateways=2)
    few = [a.replica for key in KEYS[:5] for a in started_attempts(gateway.handle(START, [arrival(key)]))]
    assert set(few) == {1}
    many = Counter(
        a.replica for key in KEYS[5:200] for a in started_attempts(gateway.handle(START, [arrival(key)]))
    )
    assert 0 < many[1] < 100 and len(many) == 8
    even = make_gateway([*fleet(4), *(replica_entry(i, "b") for i in range(5, 9))], gateways=2)
    local = Counter(
        a.replica for key in KEYS[:24] for a in started_attempts(even.handle(START, [arrival(key)]))
    )
    assert set(local) <= {1, 2, 3, 4}  # six for each replica: enough capacity


def test_a_zone_that_the_settings_do_not_name_causes_no_error() -> None:
    gateway = make_gateway([replica_entry(1, "q")], metrics=(Metric.QUEUE_LENGTH,))
    for name in ("one", "two"):
        [sent] = started_attempts(gateway.handle(START, [arrival(name)]))
        gateway.handle(START, [AttemptEnded(name, 0, sent.replica, Status.OK, 0.1, True, report=(3.0,))])
    assert gateway.zone_load["q"] != 1.0


def test_a_removed_replica_moves_only_its_own_keys() -> None:
    before = chosen_replicas(make_gateway(fleet(6)), KEYS)
    after = chosen_replicas(make_gateway(fleet(5)), KEYS)
    assert {key for key in KEYS if before[key] != after[key]} == {key for key in KEYS if before[key] == 6}


def test_an_added_replica_takes_its_share_and_moves_no_other_key() -> None:
    before = chosen_replicas(make_gateway(fleet(5)), KEYS)
    after = chosen_replicas(make_gateway(fleet(6)), KEYS)
    moved = {key for key in KEYS if before[key] != after[key]}
    assert all(after[key] == 6 for key in moved)
    assert abs(len(moved) - len(KEYS) / 6) < 4 * math.sqrt(len(KEYS) * 5 / 36)


def test_a_weight_change_moves_keys_only_from_or_to_the_changed_replica() -> None:
    before = chosen_replicas(make_gateway(fleet(5)), KEYS)
    heavier = [dataclasses.replace(e, weight=2.0) if e.replica == 3 else e for e in fleet(5)]
    after = chosen_replicas(make_gateway(heavier), KEYS)
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved
    assert all(after[key] == 3 for key in moved)


def test_the_rejected_share_of_the_keys_is_the_same_at_every_gateway() -> None:
    chosen = []
    for seed in (1, 2):
        gateway = make_gateway(fleet(5), seed=seed)
        before = chosen_replicas(make_gateway(fleet(5)), KEYS)
        gateway.replicas[2].rejection_probability, gateway.replicas[2].load_reported_at = 0.4, START
        after = chosen_replicas(gateway, KEYS)
        own_keys = [key for key in KEYS if before[key] == 2]
        diverted = [key for key in own_keys if after[key] != 2]
        assert abs(len(diverted) - 0.4 * len(own_keys)) < 4 * math.sqrt(0.24 * len(own_keys))
        assert all(after[key] == before[key] for key in KEYS if before[key] != 2)
        chosen.append(after)
    assert chosen[0] == chosen[1]


def test_an_ejected_replica_is_passed_over_and_gets_its_keys_back() -> None:
    gateway = make_gateway(fleet(5))
    before = chosen_replicas(gateway, KEYS[:300])
    gateway.eject(gateway.replicas[4])
    during = chosen_replicas(gateway, KEYS[:300], START + 0.1)
    assert 4 not in during.values()
    assert all(during[key] == before[key] for key in during if before[key] != 4)
    assert chosen_replicas(gateway, KEYS[:300], START + 60.0) == before


def test_sessions_of_a_light_prefix_share_one_home_and_a_heavy_one_gets_more() -> None:
    gateway = make_gateway(fleet(8))
    used = set()
    for i in range(300):
        actions = gateway.handle(
            START, [arrival(f"r{i}", session=f"s{i}", prefix="hot" if i % 2 else f"p{i}")]
        )
        if i > 200 and i % 2:
            used.add(started_attempts(actions)[0].replica)
    assert len(used) > 2
    light = make_gateway(fleet(8))
    for i in range(300):
        light.handle(START, [arrival(f"w{i}", session=f"s{i}", prefix=f"other{i}")])
    first = started_attempts(light.handle(START, [arrival("a", session="s1", prefix="rare")]))[0].replica
    assert (
        started_attempts(light.handle(START, [arrival("b", session="s2", prefix="rare")]))[0].replica == first
    )


def test_with_its_zone_empty_or_ejected_the_draw_runs_over_the_other_zones() -> None:
    assert set(chosen_replicas(make_gateway(fleet(3, "b")), KEYS[:50]).values()) == {1, 2, 3}
    gateway = make_gateway([*fleet(2), replica_entry(11, "b"), replica_entry(12, "b")])
    for replica in (1, 2):
        gateway.eject(gateway.replicas[replica])
    assert set(chosen_replicas(gateway, KEYS[:50], START + 0.1).values()) == {11, 12}


def test_with_all_replicas_ejected_the_longest_straw_wins() -> None:
    gateway = make_gateway(fleet(4))
    before = chosen_replicas(gateway, KEYS[:100])
    for replica in gateway.replicas.values():
        gateway.eject(replica)
    assert chosen_replicas(gateway, KEYS[:100], START + 0.1) == before


def test_an_overloaded_zone_is_rejected_for_a_share_of_the_keys() -> None:
    """The replicas of a small zone never all reject a key, so the zone has a probability of its own."""
    gateway = make_gateway([*fleet(4), replica_entry(11, "b"), replica_entry(12, "b")])
    gateway.zone_rejection_probability = 0.3
    chosen = chosen_replicas(gateway, KEYS)
    in_other_zones = sum(1 for replica in chosen.values() if replica > 10)
    assert abs(in_other_zones - 0.3 * len(KEYS)) < 4 * math.sqrt(0.21 * len(KEYS))


@pytest.mark.parametrize(("late", "moves"), [(0.05, False), (0.5, True)])
def test_a_loaded_zone_keeps_its_keys_while_its_answers_are_in_time(late: float, moves: bool) -> None:
    """Under light load a fifth of the requests crossed zones without benefit, at the price of crossings."""
    gateway = make_gateway([*fleet(4), replica_entry(11, "b")])
    gateway.zone_load = {"a": 2.0, "b": 1.0}
    gateway.late_fraction = late
    for i in range(20):
        gateway.now = START + i
        gateway.update_zone_rejection()
    assert (gateway.zone_rejection_probability > 0.2) is moves


def test_a_rejection_probability_decays_without_new_overload() -> None:
    """A rejected replica gets few requests; without decay it stayed rejected for lack of a report."""
    gateway = make_gateway(fleet(5))
    before = chosen_replicas(gateway, KEYS[:200])
    gateway.replicas[2].rejection_probability, gateway.replicas[2].load_reported_at = 1.0, START
    assert 2 not in chosen_replicas(gateway, KEYS[:200], START + 0.001).values()
    assert chosen_replicas(gateway, KEYS[:200], START + 60.0) == before


def test_cached_draws_follow_the_list() -> None:
    """Draws are cached; after a change they must be those of a gateway that starts with the new list."""
    gateway = make_gateway(fleet(6))
    chosen_replicas(gateway, KEYS[:200])
    gateway.handle(
        START,
        [replica_list(replica_entry(3, state=ReplicaState.GONE), replica_entry(9), kind=ListKind.DELTA)],
    )
    new_gateway = make_gateway([*[e for e in fleet(6) if e.replica != 3], replica_entry(9)])
    assert chosen_replicas(gateway, KEYS[:200], START + 0.001) == chosen_replicas(new_gateway, KEYS[:200])


@pytest.mark.parametrize("state", [ReplicaState.DRAINING, ReplicaState.GONE])
def test_a_draining_or_removed_replica_gets_no_new_requests(state: ReplicaState) -> None:
    gateway = make_gateway(fleet(3))
    gateway.handle(START, [replica_list(replica_entry(2, state=state), kind=ListKind.DELTA)])
    assert 2 not in chosen_replicas(gateway, KEYS[:100]).values()


def test_with_an_empty_list_requests_are_refused() -> None:
    gateway = Gateway(settings(), 1)
    gateway.handle(START, [replica_list()])
    assert [type(a).__name__ for a in gateway.handle(START, [arrival("a")])] == ["RefuseRequest"]


@pytest.mark.parametrize("prompt", [450, 5000])
def test_a_later_turn_stays_where_its_history_is_cached_and_a_first_turn_moves_on(prompt: int) -> None:
    def turn(name: str, tokens: int) -> RequestArrived:
        request = arrival(name, session="s", prefix="opening")
        return dataclasses.replace(request, prompt_tokens=tokens, prefix_tokens=400)

    gateway = make_gateway(fleet(8), gateways=200)
    # A turn has 100 new tokens, or its lengths are not given.
    for n, prompt_tokens in enumerate((1000, 1000, 1000, 0, 0, 0)):
        [sent] = started_attempts(gateway.handle(START, [turn(f"t{n}", prompt_tokens)]))
        gateway.handle(START, [AttemptEnded(sent.request, 0, sent.replica, Status.OK, 0.1, True, 900)])
    home = gateway.replicas[sent.replica]
    # Attempts of one of 200 gateways at this replica, and a load report.
    home.open_attempts, home.rejection_probability, home.load_reported_at = 3, 0.8, START
    [sent] = started_attempts(gateway.handle(START, [turn("next", prompt)]))
    assert (sent.replica == home.entry.replica) == (prompt == 5000)


def test_chance_excess_of_open_attempts_at_one_of_many_gateways_is_no_crowding() -> None:
    crowding = {}
    for gateways in (4, 200):
        gateway = make_gateway(fleet(8), gateways=gateways)
        for replica, open_attempts in zip(gateway.local_zone, (2, 2, 2, 1, 1), strict=False):
            replica.open_attempts = open_attempts
        crowding[gateways] = gateway.crowding(gateway.local_zone[0], gateway.local_zone)
    assert crowding[4] > 1.0 >= crowding[200]
