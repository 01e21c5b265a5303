"""Tests of the client's decisions and their edge cases, without I/O or a clock."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorreldock.client import Endpoint, PickRules, ReconnectRules, Request
from sorreldock.client.http import EventSplitter
from sorreldock.client.policy.deadline import Deadline, DurationEstimate
from sorreldock.client.policy.outcome import NonExecutionProof, Outcome, OutcomeKind
from sorreldock.client.policy.picker import Picker, choose_subset
from sorreldock.client.policy.reconnect import ReconnectGate, TokenBucket
from sorreldock.client.policy.refusal import Pauses, parse_pushback, parse_retry_after, retry_time
from sorreldock.client.policy.retry import Decision, NextStep, RetryBudget, RetryRules
from sorreldock.client.types import ClientSettings, rest_of

REFUSED = Outcome(OutcomeKind.REFUSED, "refused")
MAY_HAVE_RUN = Outcome(OutcomeKind.MAY_HAVE_RUN, "reset")


def test_the_deadline_sent_is_the_remaining_time_less_the_round_trip() -> None:
    deadline = Deadline(10.0, min_s=0.01)
    assert deadline.time_to_send(8.0, 0.5) == pytest.approx(1.5)
    assert deadline.time_to_send(9.48, 0.5) == pytest.approx(0.02)
    assert deadline.time_to_send(9.4901, 0.5) is None
    assert not deadline.can_send_at(11.0)


def test_a_duration_estimate_follows_its_samples_and_is_bounded() -> None:
    estimate = DurationEstimate(max_s=1.0)
    assert estimate.estimate_s == 0.0
    estimate.add_sample(0.3)
    assert estimate.estimate_s == pytest.approx(0.6)
    for _ in range(60):
        estimate.add_sample(0.3)
    assert estimate.estimate_s == pytest.approx(0.3, abs=0.01)
    for bad in (-5.0, math.nan, math.inf):
        estimate.add_sample(bad)
    assert estimate.estimate_s == pytest.approx(0.3, abs=0.01)
    estimate.add_sample(300.0)
    assert estimate.estimate_s == 1.0


WALL = 1_764_590_400.0  # Mon, 01 Dec 2025 12:00:00 GMT


@pytest.mark.parametrize(
    "text, seconds",
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        (" 3 ", 3.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("", None),
        (None, None),
        ("1e3", None),
        ("2, 3", None),
        ("9" * 30, None),
        ("Mon, 01 Dec 2025 12:00:07 GMT", 7.0),
        ("Mon, 01 Dec 2025 11:00:00 GMT", 0.0),
        ("Mon, 99 Dec 2025 11:00:00 GMT", None),
    ],
)
def test_parsing_retry_after(text: str | None, seconds: float | None) -> None:
    assert parse_retry_after(text, WALL) == seconds


@pytest.mark.parametrize(
    "text, expected",
    [
        (None, (None, False)),
        ("0", (0.0, False)),
        ("1500", (1.5, False)),
        ("-1", (None, True)),
        ("x", (None, True)),
        ("1.5", (None, True)),
    ],
)
def test_parsing_a_pushback(text: str | None, expected: tuple[float | None, bool]) -> None:
    assert parse_pushback(text) == expected


@given(st.floats(0, 100), st.floats(0, 50), st.floats(0, 0.999), st.floats(0, 200))
def test_a_retry_is_never_before_the_advised_moment(
    now: float, advice: float, draw: float, latest: float
) -> None:
    at = retry_time(now, advice, draw, latest)
    assert (at is None) == (now + advice > latest)
    assert at is None or now + advice <= at <= latest


def test_pauses_are_kept_by_router_and_class_until_they_end() -> None:
    pauses = Pauses(max_pause_s=10.0, max_entries=2)
    pauses.add("a", "x", 0.0, 3.0)
    pauses.add("a", "x", 0.0, 1.0)  # an earlier end does not shorten the pause
    assert pauses.remaining_s("a", "x", 1.0) == 2.0
    assert pauses.remaining_s("a", "y", 1.0) == pauses.remaining_s("b", "x", 1.0) == 0.0
    pauses.add("b", "x", 0.0, 9e9)
    assert pauses.remaining_s("b", "x", 0.0) == 10.0
    assert pauses.remaining_s("b", "x", -1e6) == 10.0  # a clock that stepped back makes no pause endless
    pauses.add("c", "x", 0.0, 5.0)
    assert len(pauses) == 2
    pauses.add("c", "x", 50.0, 5.0)  # pauses that have ended are removed
    assert len(pauses) == 1
    pauses.forget("c")
    assert len(pauses) == 0


def decide(outcome: Outcome, **changes: object) -> Decision:
    """Decide with usual arguments, of which some are changed."""
    arguments: dict[str, object] = {
        "rpc_class": "alt-text",
        "retries": 0,
        "resends": 0,
        "budget": RetryBudget(),
        "deadline": Deadline(10.0),
        "now": 1.0,
        "round_trip_s": 0.0,
        "draw": 0.5,
    }
    rules = changes.pop("rules", RetryRules())
    assert isinstance(rules, RetryRules)
    return rules.decide(outcome, **{**arguments, **changes})  # type: ignore[arg-type]


def test_only_outcomes_that_are_safe_to_repeat_are_retried() -> None:
    assert decide(REFUSED).next_step is NextStep.RETRY and decide(REFUSED).at > 1.0
    unsent = Outcome.never_ran(NonExecutionProof.NOT_WRITTEN, "")
    assert decide(unsent) == Decision(NextStep.RETRY, 1.0)
    assert decide(MAY_HAVE_RUN).next_step is NextStep.GIVE_UP
    safe = RetryRules(safe_classes=["alt-text"])
    assert decide(MAY_HAVE_RUN, rules=safe).next_step is NextStep.RETRY
    assert decide(MAY_HAVE_RUN, rules=safe, rpc_class="other").next_step is NextStep.GIVE_UP
    for kind in (OutcomeKind.INVALID_REQUEST, OutcomeKind.EXPIRED):
        assert decide(Outcome(kind, ""), rules=safe).next_step is NextStep.GIVE_UP
    assert decide(Outcome(OutcomeKind.REFUSED, "", retry_forbidden=True)).next_step is NextStep.GIVE_UP


def test_a_retry_needs_a_retry_left_a_token_and_time() -> None:
    assert decide(REFUSED, retries=1).reason == "no retry is left"
    assert decide(REFUSED, rules=RetryRules(max_retries=0)).reason == "no retry is left"
    assert decide(REFUSED, budget=RetryBudget(reserve=0.0)).reason == "the retry budget is spent"
    assert decide(REFUSED, now=9.9).reason == "no time is left for a pause"
    assert decide(Outcome(OutcomeKind.REFUSED, "", 8.99)).next_step is NextStep.RETRY
    assert decide(Outcome(OutcomeKind.REFUSED, "", 9.0)).reason == "the advised moment is past the deadline"
    assert decide(Outcome(OutcomeKind.REFUSED, "", 2.0), draw=0.0).at == 3.0


def test_a_request_undelivered_on_a_kept_connection_is_resent_once_without_a_retry() -> None:
    stale = Outcome.never_ran(NonExecutionProof.NOT_RECEIVED, "", stale=True)
    assert decide(stale, rules=RetryRules(max_retries=0)).next_step is NextStep.RESEND
    assert decide(stale, rules=RetryRules(max_retries=0), resends=1).next_step is NextStep.GIVE_UP
    assert decide(stale, now=11.0).next_step is NextStep.GIVE_UP


# Guards against an unproven outcome that is taken for "never ran", and so repeated whatever the class.
def test_an_outcome_without_a_proof_can_be_neither_never_ran_nor_stale() -> None:
    with pytest.raises(ValueError, match="NEVER_RAN"):
        Outcome(OutcomeKind.NEVER_RAN, "reset")
    with pytest.raises(ValueError, match="MAY_HAVE_RUN"):
        Outcome(OutcomeKind.MAY_HAVE_RUN, "reset", proof=NonExecutionProof.NOT_WRITTEN)
    with pytest.raises(ValueError, match="stale"):
        Outcome(OutcomeKind.MAY_HAVE_RUN, "reset", stale=True)


@given(st.lists(st.booleans(), max_size=300))
def test_retries_never_exceed_the_budgets_limit(sends: list[bool]) -> None:
    budget = RetryBudget(share=0.2, reserve=3, max_tokens=10)
    for retry in sends:
        if retry:
            budget.take()
        else:
            budget.record_first_send()
        assert budget.retries <= budget.limit


def test_a_refunded_token_can_be_taken_again() -> None:
    budget = RetryBudget(share=0.0, reserve=1.0)
    assert budget.take() and not budget.take()
    budget.refund()
    assert budget.retries == 0 and budget.take()


# Reconnection.


def test_a_loss_delays_the_next_dial_and_spreads_the_dials_of_many_clients() -> None:
    rng = random.Random(1)
    dial_times = []
    for _ in range(2000):
        gate = ReconnectGate(ReconnectRules())
        assert gate.next_dial_time(0.0, 10.0, 0, False) == 0.0  # at once before a loss
        gate.connection_lost(0.0, rng.random(), idle=False)
        at = gate.next_dial_time(0.0, 30.0, 0, False)
        assert at is not None and at > 0
        dial_times.append(at)
        # The losses of one deploy start one backoff.
        assert gate.connection_lost(0.1, rng.random(), idle=True) is None
    dial_times.sort()
    assert dial_times[1900] - dial_times[100] > 3.5
    assert max(sum(t <= x < t + 0.1 for x in dial_times) for t in dial_times) < 2000 / 10


def test_dials_of_requests_with_short_deadlines_are_spread_before_them() -> None:
    for draw in (0.0, 0.3, 0.999):
        gate = ReconnectGate(ReconnectRules())
        gate.connection_lost(0.0, draw, idle=False)
        at = gate.next_dial_time(0.0, 1.0, 0, False)
        assert at is not None and 0 < at <= 1.0 and abs(at - 0.8 * draw) < 0.1
    assert gate.next_dial_time(1.1, 1.0, 0, False) is None


def test_failed_dials_widen_the_backoff_and_a_successful_one_ends_it() -> None:
    gate = ReconnectGate(ReconnectRules())
    gate.connection_lost(0.0, 0.5, idle=False)
    delays = [gate.dial_failed(0.0, 0.999) for _ in range(30)]
    assert delays[0] is not None and delays[0] > 5
    assert delays[-1] is not None and delays[-1] <= 20.0
    gate.dial_succeeded(0.0)
    assert not gate.is_backing_off
    at = gate.next_dial_time(0.0, 10.0, 0, False)  # calls that waited share the new connection
    assert at == pytest.approx(1.0)


def test_routers_with_a_live_connection_may_be_dialled_during_the_backoff() -> None:
    gate = ReconnectGate(ReconnectRules())
    gate.connection_lost(0.0, 0.9, idle=False)
    assert gate.next_dial_time(0.0, 10.0, 0, True) == 0.0
    assert gate.next_dial_time(0.0, 10.0, 0, True) == pytest.approx(1.0)  # at a small rate


def test_dials_that_fail_without_a_loss_are_limited_to_a_small_rate() -> None:
    gate = ReconnectGate(ReconnectRules())
    at_once = 0
    while gate.next_dial_time(0.0, 1.0, 0, False) == 0.0:
        at_once += 1
        assert gate.dial_failed(0.0, 0.5) is None
    assert at_once == 4


def test_lost_idle_connections_are_reopened_after_the_backoff_one_by_one() -> None:
    gate = ReconnectGate(ReconnectRules())
    gate.connection_lost(0.0, 0.5, idle=True)
    gate.connection_lost(0.0, 0.5, idle=True)
    assert not gate.may_reopen(0.1)
    assert gate.backoff_until is not None and gate.may_reopen(gate.backoff_until)
    gate.reopen_started(gate.backoff_until, 0.5)
    assert gate.reopens_due == 1


def test_a_clock_that_steps_back_neither_fills_nor_empties_a_token_bucket() -> None:
    rate = TokenBucket(1.0, 1)
    assert rate.take(100.0) and not rate.take(50.0) and not rate.take(50.5)
    assert rate.take(51.5)


# The choice of a router.

FLEET = [Endpoint(f"10.0.0.{n}:3000", zone=f"z{n % 3}") for n in range(30)]


def test_subsets_are_stable_balanced_and_prefer_the_own_zone() -> None:
    mine = choose_subset("me", FLEET, 6, "z1")
    assert mine == choose_subset("me", list(reversed(FLEET)), 6, "z1")
    assert [e.zone == "z1" for e in mine] == [True] * 5 + [False]
    without = choose_subset("me", [e for e in FLEET if e != mine[2]], 6, "z1")
    assert len(set(mine) & set(without)) == 5
    counts = dict.fromkeys(FLEET, 0)
    for n in range(600):
        for e in choose_subset(f"c{n}", FLEET, 6, ""):
            counts[e] += 1
    assert min(counts.values()) > 80 and max(counts.values()) < 165  # the mean is 120
    assert choose_subset("me", FLEET, 0, "") and len(choose_subset("me", FLEET[:2], 8, "")) == 2


def pick_address(
    picker: Picker, now: float = 0.0, draws: tuple[float, float] = (0.0, 0.0), **arguments: object
) -> str:
    paused = arguments.get("paused", set())
    result = picker.pick(
        now,
        draws,
        lambda r: r.address in paused,
        lambda r: False,
        arguments.get("avoid", ()),  # type: ignore[operator,arg-type]
    )
    return result.address if result else ""


def test_a_pick_prefers_few_outstanding_calls_and_skips_avoided_paused_and_stopping_routers() -> None:
    picker = Picker("me", [Endpoint("a:1"), Endpoint("b:1")], PickRules())
    picker.routers["a:1"].outstanding = 3
    assert {pick_address(picker, draws=(d, 0.5)) for d in (0.0, 0.6)} == {"b:1"}
    assert pick_address(picker, avoid={"b:1"}) == "a:1"
    assert pick_address(picker, paused={"b:1"}) == "a:1" and pick_address(picker, paused={"a:1", "b:1"}) == ""
    picker.record_stopping(picker.routers["b:1"], 0.0)
    assert pick_address(picker, now=1.0) == "a:1" and pick_address(picker, now=2.5) == "b:1"


def test_failures_eject_a_router_which_is_readmitted_slowly() -> None:
    picker = Picker("me", [Endpoint("a:1"), Endpoint("b:1")], PickRules())
    a, b = picker.routers["a:1"], picker.routers["b:1"]
    picker.record_failure(a, 0.0)
    assert picker.is_admitted(a, 0.0)
    picker.record_failure(a, 0.0)
    assert not picker.is_admitted(a, 0.9) and pick_address(picker, 0.9) == "b:1"
    assert picker.is_admitted(a, 1.1)
    a.outstanding = 1
    assert not picker.is_admitted(a, 1.1)  # only one call at a time right after an ejection
    picker.record_answer(a)
    assert picker.is_admitted(a, 1.1)
    picker.record_failure(a, 2.0)  # right after an ejection one failure ejects again, for twice the time
    assert not picker.is_admitted(a, 3.9) and picker.is_admitted(b, 3.9)
    a.outstanding = 0
    for _ in range(9):
        picker.record_answer(a)
    assert a.max_outstanding is None and a.ejections == 0
    for router in (a, b):
        picker.record_failure(router, 5.0)
        picker.record_failure(router, 5.0)
    assert pick_address(picker, 5.1) in ("a:1", "b:1")  # with all ejected, one is used nevertheless


def test_a_new_list_keeps_the_records_of_routers_that_stay() -> None:
    picker = Picker("me", [Endpoint("a:1"), Endpoint("b:1")], PickRules())
    picker.routers["a:1"].outstanding = 2
    assert picker.update([Endpoint("a:1", "z"), Endpoint("c:1")]) == ["b:1"]
    assert picker.routers["a:1"].outstanding == 2 and picker.routers["a:1"].endpoint.zone == "z"


# Parsing and validation.


@given(st.lists(st.sampled_from([b"data: x\n\n", b": c\r\n\r\n", b"id: 1\ndata: y\n\n"])), st.integers(1, 9))
def test_a_stream_is_split_into_complete_unchanged_events(events: list[bytes], size: int) -> None:
    splitter, data, result = EventSplitter(100), b"".join(events), []
    for start in range(0, len(data), size):
        result += splitter.feed(data[start : start + size])
    assert b"".join(result) + splitter.take_rest() == data and len(result) == len(events)


@pytest.mark.parametrize(
    "arguments",
    [
        {"rpc_class": ""},
        {"tenant": "a\r\nX-Evil: 1"},
        {"session": "ü"},
        {"prefix": "a,b"},
        {"body": "text"},
        {"prompt_tokens": -1},
        {"max_output_tokens": True},
        {"body": bytes(300_000)},
    ],
)
def test_invalid_requests_are_rejected(arguments: dict[str, object]) -> None:
    with pytest.raises(ValueError):
        Request(**{"rpc_class": "alt-text", **arguments})  # type: ignore[arg-type]


@pytest.mark.parametrize("arguments", [{"max_retries": -1}, {"retry_share": math.nan}, {"silence_s": 0}])
def test_invalid_settings_are_rejected(arguments: dict[str, object]) -> None:
    with pytest.raises(ValueError):
        ClientSettings(**arguments)  # type: ignore[arg-type]


def test_the_body_for_the_rest_contains_the_text_received() -> None:
    event = b'data: {"choices":[{"delta":{"content":"a flooded "}}]}\n\n'
    received = [event, b"data: [DONE]\n\n", b"data: {\n\n"]
    body = rest_of(b'{"messages":[{"role":"user","content":"x"}]}', received)
    assert b'{"role":"assistant","content":"a flooded "}' in body
    assert rest_of(b"not json", [event]) == b"not json"
