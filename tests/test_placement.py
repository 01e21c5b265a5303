"""The draw: weighted shares, minimal movement, agreement, rejection by p, the order past the zone."""

from __future__ import annotations

import dataclasses
import math
from collections import Counter

import pytest
from helpers import START, call, entry, fleet, gateway, homes, listing, sends, settings

from sorreldock.interface import AttemptEnded, ListKind, Metric, ReplicaState, RequestArrived, Status
from sorreldock.rules import CROWDED, Gateway

KEYS = [f"key-{k}" for k in range(3000)]


def test_shares_follow_the_weights() -> None:
    entries = [entry(1, weight=1.0), entry(2, weight=2.0), entry(3, weight=5.0)]
    found = homes(gateway(entries), KEYS)
    for e in entries:
        share = e.weight / 8.0
        count = sum(1 for replica in found.values() if replica == e.replica)
        bound = 4.0 * math.sqrt(len(KEYS) * share * (1.0 - share))
        assert abs(count - share * len(KEYS)) < bound


def test_gateways_agree_whatever_their_seed_and_the_order_of_the_list() -> None:
    one = homes(gateway(fleet(6), seed=1), KEYS[:300])
    two = homes(gateway(list(reversed(fleet(6))), seed=99, gateway=3), KEYS[:300])
    assert one == two


def test_own_attempts_out_crowd_a_replica_and_its_keys_come_back_with_their_end() -> None:
    """An engine with no queue may still share its steps among too many streams: here nobody reports."""
    gw = gateway(fleet(3))
    before = homes(gw, KEYS[:50])
    asked = [call(f"q{n}", session="one") for n in range(60)]
    out = [action for request in asked for action in sends(gw.handle(START, [request]))]
    counts = Counter(action.replica for action in out)
    assert len(out) == 60 and max(counts.values()) <= 1.5 * CROWDED * 60 / 3 and len(counts) == 3
    for action in out:
        gw.handle(START, [AttemptEnded(action.request, 0, action.replica, Status.OK, 0.5, True)])
    assert all(replica.open_attempts == 0 for replica in gw.replicas.values())
    assert homes(gw, KEYS[:50]) == before


def test_a_zone_too_small_for_what_is_out_there_passes_keys_on_and_a_roomy_one_none() -> None:
    """One replica in the zone, seven elsewhere, two gateways: nobody reports, yet all must not go to it."""
    gw = gateway([entry(1), *(entry(k, "b") for k in range(2, 9))], gateways=2)
    few = [a.replica for k in KEYS[:5] for a in sends(gw.handle(START, [call(k)]))]
    assert set(few) == {1}
    many = Counter(a.replica for k in KEYS[5:200] for a in sends(gw.handle(START, [call(k)])))
    assert 0 < many[1] < 100 and len(many) == 8
    even = gateway([*fleet(4), *(entry(k, "b") for k in range(5, 9))], gateways=2)
    there = Counter(a.replica for k in KEYS[:24] for a in sends(even.handle(START, [call(k)])))
    assert set(there) <= {1, 2, 3, 4}  # six a replica: room enough


def test_a_zone_that_the_settings_do_not_name_harms_nothing() -> None:
    gw = gateway([entry(1, "q")], metrics=(Metric.QUEUE_LENGTH,))
    for name in ("one", "two"):
        [sent] = sends(gw.handle(START, [call(name)]))
        gw.handle(START, [AttemptEnded(name, 0, sent.replica, Status.OK, 0.1, True, report=(3.0,))])
    assert gw.zone_load["q"] != 1.0


def test_a_leaver_moves_only_its_own_keys() -> None:
    before = homes(gateway(fleet(6)), KEYS)
    after = homes(gateway(fleet(5)), KEYS)
    assert {k for k in KEYS if before[k] != after[k]} == {k for k in KEYS if before[k] == 6}


def test_a_joiner_takes_its_share_and_moves_nothing_else() -> None:
    before = homes(gateway(fleet(5)), KEYS)
    after = homes(gateway(fleet(6)), KEYS)
    moved = {k for k in KEYS if before[k] != after[k]}
    assert all(after[k] == 6 for k in moved)
    assert abs(len(moved) - len(KEYS) / 6) < 4 * math.sqrt(len(KEYS) * 5 / 36)


def test_a_weight_change_moves_keys_only_from_or_to_what_changed() -> None:
    before = homes(gateway(fleet(5)), KEYS)
    heavier = [dataclasses.replace(e, weight=2.0) if e.replica == 3 else e for e in fleet(5)]
    after = homes(gateway(heavier), KEYS)
    moved = {k for k in KEYS if before[k] != after[k]}
    assert moved
    assert all(after[k] == 3 for k in moved)


def test_a_share_p_of_the_keys_is_rejected_and_the_same_everywhere() -> None:
    kept = []
    for seed in (1, 2):
        gw = gateway(fleet(5), seed=seed)
        before = homes(gateway(fleet(5)), KEYS)
        gw.replicas[2].p, gw.replicas[2].load_at = 0.4, START
        after = homes(gw, KEYS)
        mine = [k for k in KEYS if before[k] == 2]
        diverted = [k for k in mine if after[k] != 2]
        assert abs(len(diverted) - 0.4 * len(mine)) < 4 * math.sqrt(0.24 * len(mine))
        assert all(after[k] == before[k] for k in KEYS if before[k] != 2)
        kept.append(after)
    assert kept[0] == kept[1]


def test_a_flagged_replica_is_passed_by_and_gets_its_keys_back() -> None:
    gw = gateway(fleet(5))
    before = homes(gw, KEYS[:300])
    gw.failed(gw.replicas[4])
    during = homes(gw, KEYS[:300], START + 0.1)
    assert 4 not in during.values()
    assert all(during[k] == before[k] for k in during if before[k] != 4)
    assert homes(gw, KEYS[:300], START + 60.0) == before


def test_sessions_of_a_light_prefix_share_one_home_and_a_heavy_one_gets_more() -> None:
    gw = gateway(fleet(8))
    used = set()
    for k in range(300):
        actions = gw.handle(START, [call(f"r{k}", session=f"s{k}", prefix="hot" if k % 2 else f"p{k}")])
        if k > 200 and k % 2:
            used.add(sends(actions)[0].replica)
    assert len(used) > 2
    light = gateway(fleet(8))
    for k in range(300):
        light.handle(START, [call(f"w{k}", session=f"s{k}", prefix=f"other{k}")])
    first = sends(light.handle(START, [call("a", session="s1", prefix="rare")]))[0].replica
    assert sends(light.handle(START, [call("b", session="s2", prefix="rare")]))[0].replica == first


def test_with_its_zone_empty_or_flagged_the_draw_runs_over_all_zones() -> None:
    assert set(homes(gateway(fleet(3, "b")), KEYS[:50]).values()) == {1, 2, 3}
    gw = gateway([*fleet(2), entry(11, "b"), entry(12, "b")])
    for replica in (1, 2):
        gw.failed(gw.replicas[replica])
    assert set(homes(gw, KEYS[:50], START + 0.1).values()) == {11, 12}


def test_all_flagged_falls_to_the_longest_straw() -> None:
    gw = gateway(fleet(4))
    before = homes(gw, KEYS[:100])
    for replica in gw.replicas.values():
        gw.failed(replica)
    assert homes(gw, KEYS[:100], START + 0.1) == before


def test_an_over_used_zone_is_rejected_for_its_share_of_the_keys() -> None:
    """A zone of few replicas never rejects a key on all of them, so the zone has a p of its own."""
    gw = gateway([*fleet(4), entry(11, "b"), entry(12, "b")])
    gw.zone_p = 0.3
    found = homes(gw, KEYS)
    abroad = sum(1 for replica in found.values() if replica > 10)
    assert abs(abroad - 0.3 * len(KEYS)) < 4 * math.sqrt(0.21 * len(KEYS))


@pytest.mark.parametrize(("late", "moves"), [(0.05, False), (0.5, True)])
def test_a_loaded_zone_keeps_its_keys_while_its_answers_are_in_time(late: float, moves: bool) -> None:
    """On a quiet day a fifth of the requests crossed zones for nothing, at the price of crossings."""
    gw = gateway([*fleet(4), entry(11, "b")])
    gw.zone_load = {"a": 2.0, "b": 1.0}
    gw.lateness = late
    for k in range(20):
        gw.now = START + k
        gw.steer_zone()
    assert (gw.zone_p > 0.2) is moves


def test_p_fades_while_no_over_use_is_seen() -> None:
    """A rejected replica is seldom asked again, so without fading it stayed rejected for want of a report."""
    gw = gateway(fleet(5))
    before = homes(gw, KEYS[:200])
    gw.replicas[2].p, gw.replicas[2].load_at = 1.0, START
    assert 2 not in homes(gw, KEYS[:200], START + 0.001).values()
    assert homes(gw, KEYS[:200], START + 60.0) == before


def test_remembered_draws_follow_the_list() -> None:
    """Draws are kept for speed; after a change they must be what a gateway with the new list draws."""
    gw = gateway(fleet(6))
    homes(gw, KEYS[:200])
    gw.handle(START, [listing(entry(3, state=ReplicaState.GONE), entry(9), kind=ListKind.DELTA)])
    fresh = gateway([*[e for e in fleet(6) if e.replica != 3], entry(9)])
    assert homes(gw, KEYS[:200], START + 0.001) == homes(fresh, KEYS[:200])


@pytest.mark.parametrize("state", [ReplicaState.DRAINING, ReplicaState.GONE])
def test_a_draining_or_gone_replica_gets_nothing_new(state: ReplicaState) -> None:
    gw = gateway(fleet(3))
    gw.handle(START, [listing(entry(2, state=state), kind=ListKind.DELTA)])
    assert 2 not in homes(gw, KEYS[:100]).values()


def test_an_empty_list_refuses() -> None:
    gw = Gateway(settings(), 1)
    gw.handle(START, [listing()])
    assert [type(a).__name__ for a in gw.handle(START, [call("a")])] == ["RefuseRequest"]


@pytest.mark.parametrize("prompt", [450, 5000])
def test_a_later_turn_stays_where_its_history_is_kept_and_a_first_one_moves_on(prompt: int) -> None:
    def turn(name: str, tokens: int) -> RequestArrived:
        request = call(name, session="s", prefix="opening")
        return dataclasses.replace(request, prompt_tokens=tokens, prefix_tokens=400)

    gw = gateway(fleet(8), gateways=200)
    for n, told in enumerate((1000, 1000, 1000, 0, 0, 0)):  # a turn has 100 new tokens, or tells no lengths
        [sent] = sends(gw.handle(START, [turn(f"t{n}", told)]))
        gw.handle(START, [AttemptEnded(sent.request, 0, sent.replica, Status.OK, 0.1, True, 900)])
    home = gw.replicas[sent.replica]
    # Attempts of one of 200 gateways at this replica, and a load report.
    home.open_attempts, home.p, home.load_at = 3, 0.8, START
    [sent] = sends(gw.handle(START, [turn("next", prompt)]))
    assert (sent.replica == home.entry.replica) == (prompt == 5000)


def test_what_one_of_many_gateways_has_out_by_chance_is_no_crowd() -> None:
    crowded = {}
    for gateways in (4, 200):
        gw = gateway(fleet(8), gateways=gateways)
        for replica, busy in zip(gw.local_zone, (2, 2, 2, 1, 1), strict=False):
            replica.open_attempts = busy
        crowded[gateways] = gw.crowding(gw.local_zone[0], gw.local_zone)
    assert crowded[4] > 1.0 >= crowded[200]
