"""The randomized soak: a short run with all kinds of faults, and its checks on records that break a rule."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest
from test_lost_requests import checked

from sorreldock.lab.soak.faults import FaultKind, draw_plan
from sorreldock.lab.soak.invariants import find_breaks
from sorreldock.lab.soak.records import Exchange, ProcessRun, ReceivedAttempt, Records
from sorreldock.lab.soak.runner import Soak, run_soak
from sorreldock.lab.soak.servers import ServerFault


def test_router_processes_hold_the_rules_under_overlapping_faults_and_failing_calls() -> None:
    soak = Soak(
        seed=7, routers=10, servers=60, span_s=10.0, faults_per_s=2.0, changes_per_s=0.5, failing_calls=0.01
    )
    verdict = checked(run_soak(soak))
    assert verdict.requests > 200 and verdict.served > 0.5 * verdict.requests


def test_router_processes_hold_the_rules_and_their_memory_limit_under_crowds_and_faults() -> None:
    soak = Soak(seed=13, routers=4, servers=30, span_s=12.0, faults_per_s=2.0, has_crowd=True, memory_mb=96)
    verdict = checked(run_soak(soak))
    assert FaultKind.CROWD in {fault.kind for fault in verdict.plan} and verdict.requests > 100


def test_router_processes_end_spoilt_streams_in_time_and_cut_off_no_sound_one() -> None:
    faults = (
        ServerFault.SLOW_CHUNK,
        ServerFault.PAUSED_EVENT,
        ServerFault.HUGE_CHUNK,
        ServerFault.ENDLESS_SIZE,
        ServerFault.ENDLESS_EVENT,
        ServerFault.ENDLESS_COMMENTS,
    )
    soak = Soak(
        seed=1,
        routers=4,
        servers=30,
        span_s=12.0,
        faults_per_s=0.4,
        fault_kinds=(FaultKind.SERVERS_FAIL,),
        server_faults=faults,
    )
    verdict = checked(run_soak(soak))
    assert verdict.requests > 100 and verdict.served < verdict.requests


def test_a_plan_depends_on_its_seed_and_its_faults_overlap() -> None:
    plan = draw_plan(3, 60.0, 2.0, has_crowd=True)
    assert plan == draw_plan(3, 60.0, 2.0, has_crowd=True) != draw_plan(4, 60.0, 2.0, has_crowd=True)
    assert {fault.kind for fault in plan} == set(FaultKind)
    assert FaultKind.CROWD not in {fault.kind for fault in draw_plan(3, 60.0, 2.0)}
    assert any(b.at < a.at + a.lasts for a, b in pairwise(plan))


def valid_records() -> Records:
    """Return the records of one request that one server answered in time."""
    served = b"data: 1\n\n"
    exchange = Exchange(
        "t1",
        "r1",
        2.0,
        started_at=9.99,
        sent_at=10.0,
        head_received_at=10.1,
        ended_at=10.2,
        status=200,
        is_complete=True,
        body=served,
        arrivals=[(10.15, len(served))],
    )
    attempt = ReceivedAttempt("t1", "s1", 10.01, 1.9, ended_at=10.2, sent_body=served)
    return Records([exchange], [attempt], [ProcessRun("r1", 0.0, terminated_at=20.0, status=0)])


def answer_late(records: Records) -> None:
    records.exchanges[0].head_received_at = 12.6


def close_unanswered(records: Records) -> None:
    records.exchanges[0].status, records.exchanges[0].is_complete = 0, False


def leave_open(records: Records) -> None:
    close_unanswered(records)
    records.exchanges[0].ended_at = None


def answer_of_another_request(records: Records) -> None:
    records.exchanges[0].body = b"data: another\n\n"


def cut_off_answer(records: Records) -> None:
    records.exchanges[0].is_complete = False


def complete_a_cut_off_answer(records: Records) -> None:
    records.attempts[0].was_cut_off = True


def attempt_after_client_closed(records: Records) -> None:
    records.exchanges[0].abandoned_at = 9.8


def exceed_time_limit(records: Records) -> None:
    records.attempts[0].timeout_s = 2.3


def leave_a_broken_stream_open(records: Records) -> None:
    cut_off_answer(records)
    records.attempts[0].was_cut_off = True
    records.exchanges[0].arrivals = [(10.1, 9)]
    records.exchanges[0].body += b": comment\n\n"
    records.attempts[0].sent_body += b": comment\n\n"
    records.exchanges[0].ended_at = 15.2


def hold_events_back(records: Records) -> None:
    records.attempts[0].event_times = [(10.05, 9)]
    records.exchanges[0].arrivals = [(10.4, 9)]


def overlap_attempts(records: Records) -> None:
    records.attempts.append(ReceivedAttempt("t1", "s2", 10.1, 1.0, ended_at=10.15, sent_body=b"data: 1\n\n"))


def attempt_after_drain(records: Records) -> None:
    records.withdrawn_at["s1"], records.notified_at["r1", "s1"] = 9.0, 9.5


def crash(records: Records) -> None:
    records.process_runs[0].status = 1


@pytest.mark.parametrize(
    ("break_rule", "rule"),
    [
        (answer_late, "lost"),
        (close_unanswered, "lost"),
        (leave_open, "lost"),
        (answer_of_another_request, "lost"),
        (cut_off_answer, "lost"),
        (complete_a_cut_off_answer, "lost"),
        (attempt_after_client_closed, "lost"),
        (exceed_time_limit, "told"),
        (leave_a_broken_stream_open, "lost"),
        (hold_events_back, "held"),
        (overlap_attempts, "duplicate"),
        (attempt_after_drain, "drain"),
        (crash, "crash"),
    ],
)
def test_each_broken_rule_is_found(break_rule: Callable[[Records], None], rule: str) -> None:
    records = valid_records()
    assert find_breaks(records) == []
    break_rule(records)
    assert [line.split(":")[0] for line in find_breaks(records)] == [rule]


def test_sigkill_excuses_a_lost_request_unless_it_was_sent_after_the_grace() -> None:
    records = valid_records()
    close_unanswered(records)
    records.attempts.clear()
    run = records.process_runs[0]
    run.terminated_at, run.killed_at = 9.5, 10.2
    assert find_breaks(records) == []
    run.terminated_at = 9.2
    assert len(find_breaks(records)) == 1


def test_a_connection_accepted_between_sigkill_and_exit_is_excused() -> None:
    records = valid_records()
    close_unanswered(records)
    records.attempts.clear()
    run = records.process_runs[0]
    run.terminated_at, run.killed_at, run.ended_at = None, 9.98, 10.0  # the request started at 9.99
    assert find_breaks(records) == []
    run.ended_at = 9.985
    assert len(find_breaks(records)) == 1


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", *words],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PATH": "", "FAULTY_CALLS": '{"shares": {"nothing": 1}}'},
    )


def test_invalid_command_lines_and_plans_are_reported_in_one_line() -> None:
    assert command("sorreldock", "lab", "soak", "--seeds", "5").returncode == 2
    done = command("sorreldock.lab.soak.system_calls", "serve")
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and "unknown kinds of calls" in done.stderr
