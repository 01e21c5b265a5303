"""The randomized soak: one short run with all faults, and its oracle on records that break each rule."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest
from test_lost_requests import checked

from sorreldock.lab.soak.faults import Kind, draw_plan
from sorreldock.lab.soak.invariants import breaks
from sorreldock.lab.soak.records import Arrival, Exchange, Life, Records
from sorreldock.lab.soak.runner import Soak, play


def test_router_processes_hold_the_rules_under_overlapping_faults_and_failing_calls() -> None:
    soak = Soak(
        seed=7, routers=10, servers=60, span_s=10.0, faults_per_s=2.0, changes_per_s=0.5, failing_calls=0.01
    )
    verdict = checked(play(soak))
    assert verdict.requests > 200 and verdict.served > 0.5 * verdict.requests


def test_a_plan_is_drawn_from_its_seed_and_its_faults_overlap() -> None:
    plan = draw_plan(3, 60.0, 2.0)
    assert plan == draw_plan(3, 60.0, 2.0) != draw_plan(4, 60.0, 2.0)
    assert {trouble.kind for trouble in plan} == set(Kind)
    assert any(b.at < a.at + a.lasts for a, b in pairwise(plan))


def good() -> Records:
    """One request, served well by one server."""
    served = b"data: 1\n\n"
    exchange = Exchange(
        "t1",
        "r1",
        2.0,
        begun_at=9.99,
        sent_at=10.0,
        first_at=10.1,
        ended_at=10.2,
        status=200,
        whole=True,
        body=served,
    )
    arrival = Arrival("t1", "s1", 10.01, 1.9, ended_at=10.2, served=served)
    return Records([exchange], [arrival], [Life("r1", 0.0, told_to_end_at=20.0, status=0)])


def late(records: Records) -> None:
    records.exchanges[0].first_at = 12.6


def unanswered(records: Records) -> None:
    records.exchanges[0].status, records.exchanges[0].whole = 0, False


def still_open(records: Records) -> None:
    unanswered(records)
    records.exchanges[0].ended_at = None


def stolen(records: Records) -> None:
    records.exchanges[0].body = b"data: another\n\n"


def cut_off(records: Records) -> None:
    records.exchanges[0].whole = False


def passed_for_whole(records: Records) -> None:
    records.arrivals[0].broken = True


def sent_for_nobody(records: Records) -> None:
    records.exchanges[0].left_at = 9.8


def told_too_much(records: Records) -> None:
    records.arrivals[0].told_s = 2.3


def twice_at_once(records: Records) -> None:
    records.arrivals.append(Arrival("t1", "s2", 10.1, 1.0, ended_at=10.15, served=b"data: 1\n\n"))


def after_a_drain(records: Records) -> None:
    records.ending_since["s1"], records.told["r1", "s1"] = 9.0, 9.5


def crashed(records: Records) -> None:
    records.lives[0].status = 1


@pytest.mark.parametrize(
    ("spoil", "rule"),
    [
        (late, "lost"),
        (unanswered, "lost"),
        (still_open, "lost"),
        (stolen, "lost"),
        (cut_off, "lost"),
        (passed_for_whole, "lost"),
        (sent_for_nobody, "lost"),
        (told_too_much, "told"),
        (twice_at_once, "duplicate"),
        (after_a_drain, "drain"),
        (crashed, "crash"),
    ],
)
def test_the_oracle_sees_each_break(spoil: Callable[[Records], None], rule: str) -> None:
    records = good()
    assert breaks(records) == []
    spoil(records)
    assert [line.split(":")[0] for line in breaks(records)] == [rule]


def test_a_kill_excuses_what_it_cut_off_but_not_what_came_after_the_grace() -> None:
    records = good()
    unanswered(records)
    records.arrivals.clear()
    life = records.lives[0]
    life.told_to_end_at, life.killed_at = 9.5, 10.2
    assert breaks(records) == []
    life.told_to_end_at = 9.2
    assert len(breaks(records)) == 1


def test_a_process_that_is_being_killed_may_still_have_accepted_a_connection() -> None:
    records = good()
    unanswered(records)
    records.arrivals.clear()
    life = records.lives[0]
    life.told_to_end_at, life.killed_at, life.ended_at = None, 9.98, 10.0  # and it was begun at 9.99
    assert breaks(records) == []
    life.ended_at = 9.985
    assert len(breaks(records)) == 1


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", *words],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PATH": "", "FAULTY_CALLS": '{"shares": {"nothing": 1}}'},
    )


def test_bad_command_lines_are_one_plain_line() -> None:
    assert command("sorreldock", "lab", "soak", "--seeds", "5").returncode == 2
    done = command("sorreldock.lab.soak.system_calls", "serve")
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and "unknown kinds of calls" in done.stderr
