"""The four rules at one gateway alone, by example and over random orders of events."""

from __future__ import annotations

import dataclasses
import json
import math
import random

import pytest
from helpers import (
    GUARANTEES,
    KEYED,
    SAFE,
    START,
    UNSAFE,
    call,
    entry,
    fleet,
    gateway,
    homes,
    listing,
    sends,
    settings,
)
from hypothesis import HealthCheck, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sorreldock.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientGone,
    DedupScope,
    Effect,
    FailRequest,
    FirstToken,
    Learned,
    Limits,
    ListKind,
    Metric,
    OutElsewhere,
    Probe,
    ProbeEnded,
    RefuseRequest,
    ReplicaList,
    ReplicaState,
    ReportVia,
    RequestArrived,
    RequestClass,
    SetTimer,
    StartAttempt,
    Status,
    Subscribe,
    TimerFired,
)
from sorreldock.policy.request import Request
from sorreldock.rules import Gateway

NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.NO_LISTENER, Status.NOT_SENT)
MAY_HAVE_RUN = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


def ended(
    request: str, send: StartAttempt, attempt: int, status: Status, final: bool = False
) -> AttemptEnded:
    return AttemptEnded(request, attempt, send.replica, status, 0.1, final)


def finals(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, RefuseRequest | FailRequest)]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(status: Status) -> None:
    gw = gateway()
    first = sends(gw.handle(START, [call("a", cls=UNSAFE)]))[0]
    assert gw.handle(START + 0.1, [ended("a", first, 0, status)]) == [FailRequest("a")]


@pytest.mark.parametrize("status", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_is_tried_elsewhere(status: Status) -> None:
    gw = gateway()
    first = sends(gw.handle(START, [call("a", cls=UNSAFE)]))[0]
    again = sends(gw.handle(START + 0.1, [ended("a", first, 0, status)]))
    assert len(again) == 1 and again[0].replica != first.replica


@pytest.mark.parametrize("scope", list(DedupScope))
def test_a_keyed_request_that_may_have_run_stays_in_its_group(scope: DedupScope) -> None:
    gw = gateway([*fleet(6), entry(11, "b"), entry(12, "b")])
    for k in range(40):
        name, cls = f"r{k}", KEYED[scope]
        first = sends(gw.handle(START, [call(name, cls=cls)]))[0]
        again = sends(gw.handle(START, [ended(name, first, 0, Status.RESET)]))
        one = gw.replicas[first.replica].entry
        for send in again:
            other = gw.replicas[send.replica].entry
            assert scope is DedupScope.ALL or other.zone == one.zone
            assert scope is not DedupScope.CELL or other.cell == one.cell


@pytest.mark.parametrize("scope", list(DedupScope))
def test_a_keyed_request_is_not_repeated_past_its_window(scope: DedupScope) -> None:
    gw = gateway()
    cls = KEYED[scope]
    first = sends(gw.handle(START, [call("a", cls=cls)]))[0]
    late = START + cls.dedup_window_s + 0.1
    answer = gw.handle(late, [ended("a", first, 0, Status.ERROR)])
    assert answer == [RefuseRequest("a") if scope is DedupScope.ALL else FailRequest("a")]


PROBING = {"reports_via": ReportVia.PROBE, "metrics": (Metric.IN_FLIGHT,)}


def test_a_held_request_is_sent_when_its_patience_ends() -> None:
    """The timer may fire a hair early; a second wait for a probe would have no timer and lose the request."""
    gw = gateway(fleet(8), limits=Limits(max_attempts=3, probes=True), **PROBING)
    for k in range(20):
        actions = gw.handle(START + k, [call(f"r{k}", now=START + k)])
        assert not sends(actions) and any(isinstance(a, Probe) for a in actions)
        wait = next(a for a in actions if isinstance(a, SetTimer))
        assert len(sends(gw.handle(START + k + wait.delay_s - 1e-7, [TimerFired(wait.token)]))) == 1


def test_a_retry_does_not_wait_for_a_probe() -> None:
    """A retry that was held for a probe after its timer had passed was never answered."""
    gw = gateway(fleet(8), limits=Limits(max_attempts=3, probes=True), **PROBING)
    probe = next(a for a in gw.handle(START, [call("a")]) if isinstance(a, Probe))
    probes = [probe.replica]
    actions: list[Action] = []
    while not sends(actions):
        actions = gw.handle(START + 0.001, [ProbeEnded(r, Status.OK, 0.001, (1.0,)) for r in probes])
        probes = [a.replica for a in actions if isinstance(a, Probe)] or list(gw.replicas)
    again = gw.handle(START + 0.002, [ended("a", sends(actions)[0], 0, Status.ERROR)])
    assert len(sends(again)) == 1


def test_nothing_is_sent_for_a_client_that_has_gone() -> None:
    gw = gateway()
    first = sends(gw.handle(START, [call("a")]))[0]
    gw.handle(START + 0.1, [ClientGone("a")])
    assert gw.handle(START + 0.2, [ended("a", first, 0, Status.ERROR)]) == []
    assert not gw.requests


@pytest.mark.parametrize("parallel", [True, False])
@pytest.mark.parametrize("answers", [True, False])
def test_a_hung_replica_is_flagged_not_copied_past_a_busy_one_is_not(parallel: bool, answers: bool) -> None:
    """A hung one gives no first token to anyone; its keys waited until their clients gave up."""
    gw = gateway(limits=Limits(max_attempts=3, parallel_attempts=parallel))
    actions = gw.handle(START, [call("a", session="s")])
    first = sends(actions)[0]
    late = next(a for a in actions if isinstance(a, SetTimer) and a.token.startswith("late"))
    if answers:
        gw.handle(START + 0.1, [call("b", session="s", now=START + 0.1)])
        gw.handle(START + 0.2, [FirstToken("b", 0, first.replica, 0.1)])
    copies = sends(gw.handle(START + late.delay_s, [TimerFired(late.token)]))
    assert (gw.replicas[first.replica].failed_until > START + late.delay_s) is not answers
    assert not copies


@pytest.mark.parametrize("later", [0.1, 0.6])
@pytest.mark.parametrize("cls", [SAFE, UNSAFE])
def test_an_attempt_on_a_dead_connection_goes_elsewhere_once_a_later_one_has_passed_it(
    cls: RequestClass, later: float
) -> None:
    """Its engine answers others, so it looked busy, and the request waited until its client gave up."""
    gw = gateway([entry(1)], limits=Limits(max_attempts=3, cancel=True))
    actions = gw.handle(START, [call("a", cls=cls)])
    assert len(sends(actions)) == 1
    gw.handle(START + later, [call("b", now=START + later)])
    gw.handle(START + later + 0.05, [FirstToken("b", 0, 1, 0.05)])
    actions = gw.handle(START + 0.9, [TimerFired("late:a:0")])
    passed = cls is SAFE and later > 0.5
    assert [a for a in actions if isinstance(a, CancelAttempt)] == ([CancelAttempt("a", 0)] if passed else [])
    if passed:
        gw.handle(START + 0.9, [listing(entry(1), entry(2), kind=ListKind.FULL)])
        [again] = sends(gw.handle(START + 0.91, [ended("a", StartAttempt("a", 1), 0, Status.CANCELLED)]))
        assert again.replica == 2


def test_a_replica_that_turned_requests_away_is_no_last_resort() -> None:
    """A full fast replica has a short queue and so looked the best of the over-used: a storm of refusals."""
    gw = gateway([entry(1)])
    for k in range(2):
        first = sends(gw.handle(START, [call(f"r{k}")]))
        if first:
            gw.handle(START, [ended(f"r{k}", first[0], 0, Status.FULL)])
    answers = gw.handle(START + 0.1, [call(f"x{k}", now=START + 0.1) for k in range(20)])
    assert any(isinstance(a, RefuseRequest) for a in answers)
    rejecting = gw.refusals(gw.replicas[1])
    assert rejecting >= 0.5 and len(sends(answers)) < 20


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, *KEYED.values()])
def test_attempts_used_up_end_the_request(cls: RequestClass) -> None:
    gw = gateway([entry(k, "ab"[k % 2]) for k in range(1, 10)], limits=Limits(max_attempts=6))
    actions = gw.handle(START, [call("a", cls=cls)])
    for attempt, status in enumerate([Status.CONNECT_FAILED] * 2 + [Status.FULL] * 2):  # two met nobody
        send = sends(actions)[0]
        assert attempt == 3 or send.replica % 2 == attempt % 2  # home, abroad, home: a border may be cut
        actions = gw.handle(START + 0.1 * attempt, [ended("a", send, attempt, status)])
    assert actions == [RefuseRequest("a")]


def test_events_of_no_concern_are_ignored() -> None:
    gw = gateway()
    first = sends(gw.handle(START, [call("a")]))[0]
    gw.handle(START + 0.1, [ended("a", first, 0, Status.OK, final=True)])
    stray = [
        ended("a", first, 0, Status.ERROR),
        ended("never", first, 0, Status.ERROR),
        FirstToken("a", 7, 999, 0.1),
        ClientGone("a"),
        ProbeEnded(999, Status.OK, 0.1),
        TimerFired("place:a"),
        TimerFired("late:a:0"),
        TimerFired("nonsense"),
        TimerFired("late:a:x"),
    ]
    assert gw.handle(START + 0.2, stray) == []


def test_a_cold_replica_takes_only_a_share_of_its_own_keys() -> None:
    """Diverted keys, retries and last resorts never reach it: all gateways keep to its share unagreed."""
    warm = [f"k{k}" for k in range(600)]
    before = {}
    gw = gateway(fleet(4))
    for key in warm:
        before[key] = sends(gw.handle(START, [call(key)]))[0].replica
    cold = gateway([*fleet(3), entry(4, started_at=START)])
    taken = [k for k in warm if sends(cold.handle(START, [call(k)]))[0].replica == 4]
    own = [k for k in warm if before[k] == 4]
    assert set(taken) <= set(own)
    share = GUARANTEES.cold_share
    assert abs(len(taken) - share * len(own)) < 4 * math.sqrt(len(own) * share * (1 - share))


def test_a_cold_replica_is_spared_retries_and_the_last_resort() -> None:
    for k in range(60):
        gw = gateway([entry(1), entry(2, started_at=START)])  # anew: one that is full is not sent the next
        actions = gw.handle(START, [call(f"r{k}")])
        for send in sends(actions):
            if send.replica == 1:
                again = gw.handle(START, [ended(f"r{k}", send, 0, Status.FULL)])
                assert not sends(again) and len(finals(again)) == 1
    # The others' end brings it no more than the same share of what was theirs, and as many choices of a key
    # as the settings bear: two of them at three times its capacity, one at twice.
    share = GUARANTEES.cold_share
    for multiple, size, choices in ((3.0, 2, 2), (3.0, 6, 2), (2.0, 2, 1), (2.0, 6, 1)):
        guarantees = dataclasses.replace(GUARANTEES, overload_multiple=multiple)
        cold = [entry(k, started_at=START if k == size else 0.0) for k in range(1, size + 1)]
        gw = gateway(cold, guarantees=guarantees)
        for number in range(1, size):
            gw.failed(gw.replicas[number])
        taken = sum(s.replica == size for k in range(900) for s in sends(gw.handle(START, [call(f"x{k}")])))
        theirs = 900 * share * choices / size
        assert 0 < taken < theirs + 4 * math.sqrt(theirs)


def test_a_session_has_one_home_while_its_replica_warms_up() -> None:
    """A home a turn would be read anew each time: cold or passed by is decided by session, and what takes its
    place counts as its home, which neither a crowd nor a report drives it from.
    """
    for session in map(str, range(60)):
        some = [entry(k, started_at=START if k < 4 else 0.0) for k in range(1, 9)]
        gw = gateway(some, metrics=(Metric.QUEUE_LENGTH,))
        gw.fresh[SAFE.name] = 100.0
        gw.handle(START, [ProbeEnded(k, Status.OK, 0.01, (0.0,)) for k in range(1, 9)])
        met = []
        for turn in range(3):
            [send] = sends(gw.handle(START, [call(f"{session}-{turn}", session=session)]))
            gw.handle(START, [ended(send.request, send, 0, Status.OK, True)])
            gw.handle(START, [ProbeEnded(send.replica, Status.OK, 0.01, (0.7,))])
            met.append(send.replica)
        assert len(set(met)) == 1


@pytest.mark.parametrize(("gateways", "stay"), [(4, False), (200, True)])
def test_where_many_gateways_learn_little_a_zone_late_as_a_whole_keeps_its_homes(
    gateways: int, stay: bool
) -> None:
    """One answer of a jam taught a thin gateway first tokens of seconds, and its sessions left homes that
    were as good as any.
    """
    before = homes(gateway(), map(str, range(60)))
    gw = gateway(gateways=gateways, metrics=(Metric.QUEUE_LENGTH,))
    gw.zone_first["a"] = 5.0
    gw.replicas[1].first_s, gw.replicas[1].load_at = 4.9, START + 60.0
    assert (homes(gw, map(str, range(60)), START + 60.0) == before) is stay


@pytest.mark.parametrize("each_s", [20.0, 60.0])  # allowances of 24 and 72 requests
@pytest.mark.parametrize("gateways", [1, 4, 6, 7, 30, 230])
def test_with_failures_and_retries_all_gateways_keep_to_a_cold_replicas_allowance(
    gateways: int, each_s: float
) -> None:
    """Half as much again as the fleet can do, over openings and gateways as uneven as can be.

    One attempt in six fails or is turned away and is retried, so that flags, refusals and last resorts have
    their part in it. A session has three turns.
    """
    g, size = GUARANTEES, 10
    allowed = g.overload_multiple * g.cold_share * each_s * g.overload_window_s
    bound = allowed + 3 * math.sqrt(allowed) + 3 if allowed < 30 else allowed + 2 * math.sqrt(allowed) + 2
    back = [entry(k, started_at=START if k == 4 else 0.0) for k in range(1, size + 1)]
    for seed in range(12):
        rng = random.Random(seed)
        fleet_of = [gateway(back, seed=n, gateways=gateways) for n in range(gateways)]
        taken = 0
        asked_in_all = int(1.5 * size * each_s * g.overload_window_s)
        for k in range(asked_in_all):
            now = START + k / (1.5 * size * each_s)
            gw = fleet_of[int(gateways * rng.random() ** 3)]
            opening = f"p{seed}-{int(1 / (rng.random() + 0.05))}"
            asked = call(f"{seed}-{k}", session=f"s{k % (asked_in_all // 3)}", prefix=opening, now=now)
            placed = sends(gw.handle(now, [asked]))
            for attempt in range(3):
                taken += sum(s.replica == 4 for s in placed)
                if not placed or rng.random() > 1 / 6:
                    break
                status = rng.choice([Status.FULL, Status.ERROR, Status.RESET, Status.CONNECT_FAILED])
                placed = sends(gw.handle(now, [ended(asked.request, placed[0], attempt, status)]))
        assert 0 < taken <= bound, (seed, taken, bound)


@pytest.mark.parametrize("gateways", [1, 4, 6, 7, 30, 230])
def test_all_gateways_together_keep_to_a_cold_replicas_allowance(gateways: int) -> None:
    """Half as much again as the fleet can do, over openings and gateways as uneven as can be; half of them
    have heard of an earlier life of the replica. No gateway may count on a request of its own.
    """
    g, size, each_s = GUARANTEES, 10, 20.0
    allowed = g.overload_multiple * g.cold_share * each_s * g.overload_window_s
    back = [entry(k, started_at=START if k == 4 else 0.0) for k in range(1, size + 1)]
    for seed in range(16):
        rng = random.Random(seed)
        old = [gateway(fleet(size), gateways=gateways) for _ in range(gateways // 2)]
        new = [gateway(back, gateways=gateways) for _ in range(gateways - len(old))]
        for gw in old:
            gw.handle(START, [listing(*back, kind=ListKind.FULL)])
        taken = 0
        for k in range(int(1.5 * size * each_s * g.overload_window_s)):
            now = START + k / (1.5 * size * each_s)
            gw = (old + new)[int(gateways * rng.random() ** 3)]
            opening = f"p{seed}-{int(1 / (rng.random() + 0.05))}"
            asked = call(f"{seed}-{k}", session=f"s{k % 200}", prefix=opening, now=now)
            taken += sum(s.replica == 4 for s in sends(gw.handle(now, [asked])))
        assert 0 < taken <= allowed + 2 * math.sqrt(allowed) + 2, (seed, taken, allowed)


def test_with_every_replica_cold_the_rest_is_refused() -> None:
    gw = gateway([entry(k, started_at=START) for k in range(1, 5)])
    actions = [a for k in range(400) for a in gw.handle(START, [call(f"r{k}")])]
    share = 1 - (1 - GUARANTEES.cold_share) ** 2  # of a first or a second choice, as three times bear it
    assert abs(len(sends(actions)) - 400 * share) < 4 * math.sqrt(400 * share * (1 - share))
    assert len(sends(actions)) + len(finals(actions)) == 400


@pytest.mark.parametrize("gateways", [4, 200])
@pytest.mark.parametrize(("worse", "least", "most"), [("a", 50, 60), ("ab", 0, 20)])
def test_a_late_zone_gives_keys_to_a_better_one_and_not_to_one_as_late(
    worse: str, least: int, most: int, gateways: int
) -> None:
    both = [*fleet(10), *(entry(k, "b") for k in range(11, 21))]
    probing = Limits(max_attempts=3, probes=True)
    gw = gateway(both, gateways=gateways, metrics=(Metric.QUEUE_LENGTH,), limits=probing)
    late = {e.replica for e in both if e.zone in worse}
    crossed, now = 0, START
    for k in range(120):
        now += 0.5
        actions = gw.handle(now, [call(f"r{k}", now=now)])
        while probes := [a.replica for a in actions if isinstance(a, Probe)]:
            told = [ProbeEnded(n, Status.OK, 0.01, (2.0 * (n in late),)) for n in probes]
            actions = [a for a in actions if not isinstance(a, Probe)] + gw.handle(now, told)
        for send in sends(actions):
            first = 0.9 if send.replica in late else 0.1
            begun = FirstToken(f"r{k}", 0, send.replica, first)
            gw.handle(now + first, [begun, ended(f"r{k}", send, 0, Status.OK, final=True)])
            crossed += k >= 60 and send.replica > 10
    assert least <= crossed <= most


def test_nothing_is_refused_while_one_is_warm_whatever_a_first_answer_has_taught() -> None:
    cold = [entry(k, "ab"[k % 2], started_at=START) for k in range(1, 100)]
    gw = gateway([*cold, entry(100, "b")])
    assert all(sends(gw.handle(START, [call(f"r{k}")])) for k in range(100))
    gw = gateway(metrics=(Metric.QUEUE_LENGTH,), limits=Limits(max_attempts=3))
    gw.handle(START, [ProbeEnded(k, Status.OK, 0.01, (0.0,)) for k in range(1, 5)])
    [first] = sends(gw.handle(START, [call("slow")]))
    late = START + SAFE.deadline_s
    gw.handle(late, [AttemptEnded("slow", 0, first.replica, Status.TIMEOUT, SAFE.deadline_s, False)])
    for k in range(20):  # one that hung says nothing of what a queue costs elsewhere
        gw.handle(late, [ProbeEnded(n, Status.OK, 0.01, (0.0,)) for n in range(1, 5)])
        assert sends(gw.handle(late, [call(f"r{k}", now=late)]))


def test_a_session_whose_draws_are_all_full_goes_to_replicas_that_have_room() -> None:
    """Refusal follows room: by the key alone, all turns of a session would be refused."""
    gw = gateway(fleet(24))
    drawn = [replica for _, replica in gw.candidates(Request(call("r", session="s"), SAFE, 1), gw.local_zone)]
    assert 1 < len(drawn) < 24
    for replica in [*drawn, *drawn]:
        gw.over_used(replica)
    served = sends(gw.handle(START + 0.01, [call(f"r{k}", session="s") for k in range(20)]))
    assert len(served) == 20 and not {s.replica for s in served} & {r.entry.replica for r in drawn}
    for replica in [*gw.local_zone, *gw.local_zone]:
        gw.over_used(replica)
    actions = gw.handle(START + 0.02, [call("full", session="s")])
    assert any(isinstance(a, RefuseRequest) for a in actions) and not sends(actions)


def test_one_refusal_refuses_nobody_in_the_moment_in_which_it_is_told() -> None:
    gw = gateway(fleet(3))
    [first] = sends(gw.handle(START, [call("first")]))
    for replica in gw.replicas.values():
        if replica.entry.replica != first.replica:
            gw.failed(replica)
    told = ended("first", first, 0, Status.FULL)
    actions = gw.handle(START + 0.01, [told, *(call(f"r{k}") for k in range(20))])
    assert {s.request for s in sends(actions)} >= {f"r{k}" for k in range(20)}


@pytest.mark.parametrize("probed", [False, True])
@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.NO_LISTENER])
def test_a_replica_that_had_no_listener_is_cold_from_then_on(status: Status, probed: bool) -> None:
    """It is back at its old address before the list tells its start; a late connection says nothing."""
    gw = gateway(fleet(4))
    if probed:
        gw.handle(START, [ProbeEnded(3, status, 0.01, ())])
    else:
        first = next(c for k in range(99) for c in sends(gw.handle(START, [call(f"f{k}")])) if c.replica == 3)
        gw.handle(START, [ended(first.request, first, 0, status)])
    later = START + 0.25 * GUARANTEES.warm_up_s  # no flag lasts so long
    taken = sum(
        s.replica == 3 for k in range(400) for s in sends(gw.handle(later, [call(f"x{k}", now=later)]))
    )
    cold = status is Status.NO_LISTENER
    assert gw.capacity_share(gw.replicas[3]) == (pytest.approx(0.4) if cold else 1.0)
    assert 0 < taken < 75 if cold else taken > 75
    gw.handle(later, [listing(entry(3, started_at=later - 1.0), kind=ListKind.DELTA)])
    assert gw.capacity_share(gw.replicas[3]) == pytest.approx(0.2 + 0.8 * 1.0 / GUARANTEES.warm_up_s)


def test_a_fresh_start_resets_what_was_believed() -> None:
    gw = gateway()
    gw.failed(gw.replicas[1])
    gw.replicas[1].p = 1.0
    gw.handle(START + 1.0, [listing(entry(1, started_at=START + 0.5), kind=ListKind.DELTA)])
    assert gw.replicas[1].failed_until < START and gw.replicas[1].p == 0.0
    assert gw.capacity_share(gw.replicas[1]) < 1.0


def test_an_asking_gateway_subscribes_soon_and_again_after_a_loss() -> None:
    gw = Gateway(settings(must_ask_for_list=True), 1)
    actions = gw.handle(START, [listing(*fleet())])
    now = START
    for _ in range(1100):  # 41 minutes without a list: what doubles for ever fits no float
        timers = [a for a in actions if isinstance(a, SetTimer)]
        assert timers and timers[0].delay_s < GUARANTEES.list_max_age_s / 2
        now += timers[0].delay_s
        assert gw.handle(now, [TimerFired(timers[0].token)]) == [Subscribe()]
        actions = gw.handle(now + 0.5, [ReplicaList(ListKind.LOST)])
        gw.failed(gw.replicas[1])
    assert gw.replicas[1].failed_until <= now + 20.5
    timers = [a for a in actions if isinstance(a, SetTimer)]
    gw.handle(now + 5, [TimerFired(timers[0].token)])
    assert gw.handle(now + 6, [ReplicaList(ListKind.DELTA)]) == []
    assert gw.handle(now + 7, [TimerFired(timers[0].token)]) == []


class World:
    """Answers a gateway's actions in an order that the test draws, and keeps the account of the rules."""

    def __init__(self, gw: Gateway, data: st.DataObject) -> None:
        self.gw, self.data, self.now = gw, data, START
        self.open: dict[str, RequestClass] = {}
        self.expires: dict[str, float] = {}
        self.answers: dict[str, int] = {}
        self.tries: dict[str, list[list[object]]] = {}  # [replica, sent_at, status or None]
        self.timers: list[tuple[float, str]] = []
        self.probes: list[int] = []
        self.gone: dict[int, float] = {}
        self.count = 0

    def give(self, *events: object) -> None:
        self.take(self.gw.handle(self.now, list(events)))  # type: ignore[arg-type]

    def take(self, actions: list[Action]) -> None:
        limits = self.gw.settings.limits
        for action in actions:
            match action:
                case StartAttempt(request, replica):
                    assert request in self.open, "sent after its end"
                    self.allowed(request, replica)
                    assert len(self.tries[request]) < limits.max_attempts
                    assert all(t[2] is not None for t in self.tries[request])
                    assert replica not in self.gone, "sent to a draining or gone replica"
                    self.tries[request].append([replica, self.now, None])
                case RefuseRequest(request):
                    self.refusable(request)
                    self.close(request)
                case FailRequest(request):
                    self.close(request)
                case SetTimer(delay, token):
                    self.timers.append((self.now + delay, token))
                case Probe(replica):
                    assert limits.probes
                    self.probes.append(replica)

    def close(self, request: str) -> None:
        assert request in self.open, "a second final answer"
        del self.open[request]

    def ran(self, request: str) -> list[list[object]]:
        return [t for t in self.tries[request] if t[2] not in NEVER_RAN]

    def allowed(self, request: str, replica: int) -> None:
        cls = self.open[request]
        for other, sent_at, _ in self.ran(request):
            assert cls.effect is not Effect.UNSAFE
            if cls.effect is Effect.KEYED:
                one, two = self.gw.replicas[replica].entry, self.entries[other]  # type: ignore[index]
                assert self.now - sent_at <= cls.dedup_window_s  # type: ignore[operator]
                assert cls.dedup_scope is DedupScope.ALL or one.zone == two.zone
                assert cls.dedup_scope is not DedupScope.CELL or one.cell == two.cell

    def refusable(self, request: str) -> None:
        cls = self.open[request]
        if self.ran(request):
            assert cls.effect is Effect.SAFE or (
                cls.effect is Effect.KEYED and cls.dedup_scope is DedupScope.ALL
            )

    def outcome(self, request: str, attempt: int, status: Status) -> None:
        self.tries[request][attempt][2] = status
        final = request not in self.open or status is Status.OK
        if final:
            self.open.pop(request, None)
        replica = self.tries[request][attempt][0]
        self.give(AttemptEnded(request, attempt, replica, status, 0.1, final))  # type: ignore[arg-type]

    def out(self) -> list[tuple[str, int]]:
        return [(r, k) for r, tries in self.tries.items() for k, t in enumerate(tries) if t[2] is None]

    def step(self) -> None:
        draw = self.data.draw
        kind = draw(
            st.sampled_from(["call", "outcome", "outcome", "first", "timer", "probe", "list", "gone"])
        )
        self.now += draw(st.sampled_from([0.0, 0.004, 0.3, 1.5]))
        self.expire()
        if kind == "call":
            cls = draw(st.sampled_from(self.gw.settings.classes))
            name, self.count = f"r{self.count}", self.count + 1
            self.open[name], self.tries[name] = cls, []
            self.expires[name] = self.now + draw(st.sampled_from([0.05, 1.0, cls.deadline_s]))
            session, prefix = f"s{self.count % 5}", f"p{self.count % 2}"
            event = RequestArrived(name, cls.name, self.expires[name], session, prefix)
            self.give(event)
        elif kind == "outcome" and self.out():
            request, attempt = draw(st.sampled_from(self.out()))
            self.outcome(request, attempt, draw(st.sampled_from(list(Status))))
        elif kind == "first" and self.out():
            request, attempt = draw(st.sampled_from(self.out()))
            self.give(FirstToken(request, attempt, self.tries[request][attempt][0], 0.1))  # type: ignore[arg-type]
        elif kind == "timer":
            due = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            self.give(*[TimerFired(token) for _, token in due])
        elif kind == "probe" and self.probes:
            replica = self.probes.pop(draw(st.integers(0, len(self.probes) - 1)))
            report = (draw(st.sampled_from([0.0, 3.0, 50.0])),)
            self.give(ProbeEnded(replica, draw(st.sampled_from([Status.OK, Status.TIMEOUT])), 0.01, report))
        elif kind == "list":
            replica = draw(st.integers(1, 6))
            state = draw(st.sampled_from(list(ReplicaState)))
            if state is ReplicaState.READY:
                self.gone.pop(replica, None)
            else:
                self.gone[replica] = self.now
            started = draw(st.sampled_from([0.0, self.now]))
            update = entry(replica, "ab"[replica % 2], replica % 3, started, state=state)
            self.entries[replica] = update
            self.give(listing(update, kind=ListKind.DELTA))
        elif kind == "gone" and self.open:
            request = draw(st.sampled_from(sorted(self.open)))
            del self.open[request]
            self.give(ClientGone(request))

    def expire(self) -> None:
        """The wire ends what is out at the deadline; what is held must by then have been answered."""
        for token in [t for t in self.timers if t[0] <= self.now]:
            self.timers.remove(token)
            self.give(TimerFired(token[1]))
        for request, attempt in self.out():
            if request in self.open and self.expires[request] <= self.now:
                self.outcome(request, attempt, Status.TIMEOUT)
        for request in self.open:
            assert self.expires[request] > self.now or self.out(), f"{request} is lost"

    def drain(self) -> None:
        self.now += 100.0
        self.expire()
        for request, attempt in self.out():
            self.outcome(request, attempt, Status.TIMEOUT)
        self.expire()
        assert not self.open, "requests are lost"
        assert not self.gw.requests, "records are kept for good"


@profile(max_examples=150, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.data())
def test_the_rules_hold_over_random_orders_of_events(data: st.DataObject) -> None:
    limits = Limits(
        max_attempts=data.draw(st.integers(1, 4)),
        cancel=data.draw(st.booleans()),
        parallel_attempts=data.draw(st.booleans()),
        probes=data.draw(st.booleans()),
    )
    gw = Gateway(settings(limits=limits, metrics=(Metric.IN_FLIGHT,), reports_via=ReportVia.PROBE), 5)
    world = World(gw, data)
    entries = [entry(k, "ab"[k % 2], k % 3) for k in range(1, 7)]
    world.entries = {e.replica: e for e in entries}  # type: ignore[attr-defined]
    world.give(listing(*entries))
    for _ in range(data.draw(st.integers(5, 40))):
        world.step()
    world.drain()


@pytest.mark.parametrize("reports", [True, False])
def test_where_probes_are_allowed_a_late_replica_is_asked_before_it_counts_as_hung(reports: bool) -> None:
    """On thin traffic a busy replica gives this gateway no token either: half of the fleet looked hung."""
    gw = gateway(fleet(6), limits=Limits(max_attempts=3, cancel=True, probes=True), **PROBING)
    actions = gw.handle(START, [call("a")])
    wait = next(a for a in actions if isinstance(a, SetTimer))
    now = START + wait.delay_s
    actions = gw.handle(now, [TimerFired(wait.token)])
    sent = sends(actions)[0]
    late = next(a for a in actions if isinstance(a, SetTimer))
    now += late.delay_s
    actions = gw.handle(now, [TimerFired(late.token)])
    assert Probe(sent.replica) in actions and not sends(actions)
    again = next(a for a in actions if isinstance(a, SetTimer))
    if reports:
        gw.handle(now + 0.1, [ProbeEnded(sent.replica, Status.OK, 0.1, (9.0,))])
    now += again.delay_s
    gw.probe_credit, actions = 6.0, gw.handle(now, [TimerFired(again.token)])
    assert (gw.replicas[sent.replica].failed_until > now) is not reports
    for gw.moves in (0.0, 3.0) if reports else ():  # its answer may be lost: first tokens earn moves
        assert CancelAttempt("a", 0) not in actions
        now += 1.2
        gw.handle(now, [TimerFired(again.token)])
        actions = gw.handle(now, [ProbeEnded(sent.replica, Status.OK, 0.1, (0.0,)), TimerFired(again.token)])
    assert CancelAttempt("a", 0) in actions and gw.moves == (2.0 if reports else 0.0)
    assert sends(gw.handle(now, [ended("a", sent, 0, Status.CANCELLED)]))[0].replica != sent.replica


def test_a_process_that_follows_knows_what_the_first_one_learned_and_counts_what_it_has_out() -> None:
    first, second, other = gateway(), gateway(seed=2), gateway(zones=("a", "c"))
    [send] = sends(first.handle(START, [call("a")]))
    first.handle(START, [ended("a", send, 0, Status.ERROR)])
    told = json.loads(json.dumps(first.snapshot()))
    flagged = first.replicas[send.replica].failed_until
    for gw, until in ((second, flagged), (other, -math.inf)):  # other settings: nothing of it is taken
        gw.handle(START + 0.1, [Learned(told)])
        assert gw.replicas[send.replica].failed_until == until
    assert second.replicas[send.replica].failure_count == 1 and second.seen == first.seen
    started = gateway([entry(send.replica, started_at=START - 1)])
    started.handle(START + 0.1, [Learned(told)])
    # A server process that has started since is another one.
    assert started.replicas[send.replica].failure_count == 0
    replica = second.replicas[send.replica]
    for counts, busy in (({send.replica: 3, 99: 1}, 3), ({send.replica: 1}, 1), ({}, 0)):
        second.handle(START + 0.2, [OutElsewhere(counts)])
        assert replica.open_attempts == busy


def test_the_more_gateways_there_are_the_less_each_surveys() -> None:
    """They pay for all probes together, and what one of many hears of the fleet is old before it is used."""
    probes = []
    for gateways in (4, 60):
        gw = gateway(fleet(40), gateways=gateways, limits=Limits(probes=True), **PROBING)
        out = [a for k in range(200) for a in gw.handle(START + k / 2, [call(f"r{k}", now=START + k / 2)])]
        probes.append(sum(isinstance(a, Probe) for a in out))
    assert probes[1] < 0.75 * probes[0]


@pytest.mark.parametrize("bits", range(16))
def test_no_combination_of_settings_leads_to_a_forbidden_action(bits: int) -> None:
    probes, peers, cancel, parallel = (bool(bits >> k & 1) for k in range(4))
    limits = Limits(max_attempts=4, probes=probes, peers=peers, cancel=cancel, parallel_attempts=parallel)
    gw = gateway(fleet(6), limits=limits, **PROBING)
    seen: list[Action] = []
    pending: list[tuple[float, str]] = []
    out: dict[str, int] = {}
    for step in range(400):
        now = START + step * 0.05
        due = [TimerFired(token) for at, token in pending if at <= now]
        pending = [(at, token) for at, token in pending if at > now]
        batch = [*due, call(f"r{step}", now=now)]
        for request in [r for r in out if r.endswith(("3", "7"))]:
            batch.append(FirstToken(request, out[request] - 1, 1, 0.1))
        actions = gw.handle(now, batch)
        for action in actions:
            if isinstance(action, SetTimer):
                pending.append((now + action.delay_s, action.token))
            elif isinstance(action, StartAttempt):
                assert action.request not in out, "a second copy, whatever the settings allow"
                out[action.request] = out.get(action.request, 0) + 1
        seen += actions
    kinds = {type(a).__name__ for a in seen}
    assert "StartAttempt" in kinds and "Subscribe" not in kinds
    assert probes or "Probe" not in kinds
    assert cancel or "CancelAttempt" not in kinds
    assert peers or "SendPeerMessage" not in kinds


def test_a_refusal_says_when_to_come_again_where_clients_heed_it() -> None:
    advised = Limits(max_attempts=3, retry_advice=True, max_retry_after_s=0.6)
    gw = gateway([], limits=advised)
    [refused] = gw.handle(START, [call("a")])
    assert isinstance(refused, RefuseRequest) and 0.0 < refused.retry_after_s <= 0.6
    assert gateway([]).handle(START, [call("a")]) == [RefuseRequest("a")]
