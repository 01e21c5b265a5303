"""The platform's rules as checks of a run's records; each break of a rule is one line of text."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection
from itertools import pairwise

from .records import Exchange, ProcessRun, ReceivedAttempt, Records

ANSWER_SLACK_S = 0.5  # an answer this long after its time limit has no value, a later one counts as lost
CANCEL_LAG_S = 0.1  # an attempt may still begin this long after its client closed the connection
DRAIN_GRACE_S = 0.25  # an attempt may still begin this long after the router was notified
NOTIFICATION_S = 6.0  # time within which a router must receive a change from a reachable discovery
TIMEOUT_SLACK_S = 0.15  # by which a server's time limit may exceed the time that the client has left
CLOSE_LAG_S = 0.02  # a server may see the end of a connection this long after the next attempt has begun
CLIENT_WAITS_S = 5.0  # since a server's last event; then a stream that does not go on has to have ended
EVENT_DELAY_S = 0.3  # within which an event has to be forwarded
MAX_HELD_SHARE = 0.1  # of the streams of a run may have an event held back
KILL_GRACE_S = 0.7  # requests sent later than this after SIGTERM are not excused by SIGKILL


def find_breaks(records: Records) -> list[str]:
    """Return a line for each break of a rule; time limits are extended by the lag of this process."""
    slack = records.max_lag_s
    by_id: dict[str, list[ReceivedAttempt]] = defaultdict(list)
    for attempt in records.attempts:
        by_id[attempt.trace_id].append(attempt)
    broken_rules: list[str] = []
    for exchange in records.exchanges:
        attempts = by_id[exchange.trace_id]
        if not is_excused(exchange, records.process_runs):
            broken_rules += check_answered(exchange, slack, records.process_runs)
            broken_rules += check_body(exchange, attempts)
            broken_rules += check_not_left_open(exchange, slack)
        broken_rules += check_not_sent_after_close(exchange, attempts, slack)
        broken_rules += check_timeouts(exchange, attempts, slack)
    for attempts in by_id.values():
        broken_rules += check_no_overlap(attempts, slack)
    broken_rules += check_drains(records, slack)
    broken_rules += check_delays(records, by_id, slack)
    broken_rules += [
        f"crash: {run.router} exited with status {run.status}"
        for run in records.process_runs
        if has_crashed(run)
    ]
    broken_rules += [
        f"memory: {run.router} had {run.peak_memory_mb:.0f} MB resident of {run.memory_limit_mb:.0f}"
        for run in records.process_runs
        if run.memory_limit_mb and run.peak_memory_mb > run.memory_limit_mb
    ]
    return broken_rules


def is_excused(exchange: Exchange, process_runs: list[ProcessRun]) -> bool:
    """Return whether SIGKILL ended the router during a request that was sent before the end of its grace."""
    for run in process_runs:
        if run.router != exchange.router or run.killed_at is None:
            continue
        sent_in_time = run.terminated_at is None or exchange.sent_at <= run.terminated_at + KILL_GRACE_S
        ended_at = exchange.ended_at if exchange.ended_at is not None else float("inf")
        exited_at = run.ended_at if run.ended_at is not None else run.killed_at
        was_open = (
            run.started_at <= exchange.started_at <= exited_at and run.killed_at <= ended_at + CLOSE_LAG_S
        )
        if was_open and sent_in_time:
            return True
    return False


def check_answered(exchange: Exchange, slack: float, process_runs: Collection[ProcessRun] = ()) -> list[str]:
    """Check that an answer was received in time, unless the client closed its connection first."""
    if exchange.abandoned_at is not None:
        return []
    name = f"lost: {exchange.trace_id} at {exchange.router}"
    if exchange.ended_at is None and exchange.status == 0:
        return [f"{name}: no answer {ANSWER_SLACK_S} s after its time limit"]
    if exchange.status == 0:
        stops = [run.terminated_at for run in process_runs if run.router == exchange.router]
        after_s = [round(exchange.started_at - at, 3) for at in stops if at is not None]
        return [f"{name}: its connection was closed without an answer; it began after SIGTERM by {after_s} s"]
    assert exchange.head_received_at is not None
    took_s = exchange.head_received_at - exchange.sent_at
    if took_s > exchange.timeout_s + ANSWER_SLACK_S + slack:
        return [
            f"{name}: answered {took_s:.2f} s after it was sent, its time limit was {exchange.timeout_s} s"
        ]
    return []


def check_body(exchange: Exchange, attempts: list[ReceivedAttempt]) -> list[str]:
    """Check that the answer is one that a server sent, and complete only if the server completed it."""
    if exchange.status != 200 or exchange.abandoned_at is not None:
        return []
    name = f"lost: {exchange.trace_id} at {exchange.router}"
    if not any(attempt.sent_body.startswith(exchange.body) for attempt in attempts):
        return [f"{name}: the answer was sent by no server"]
    if exchange.is_complete and not any(a.sent_body == exchange.body and not a.was_cut_off for a in attempts):
        return [f"{name}: a stream that its server cut off was ended as a complete one"]
    if not exchange.is_complete and not any(a.was_cut_off for a in attempts):
        return [f"{name}: the stream was cut off, but by no server"]
    return []


def check_not_left_open(exchange: Exchange, slack: float) -> list[str]:
    """Check that a stream that broke has ended in time after its last event."""
    if exchange.status != 200 or exchange.is_complete or exchange.abandoned_at is not None:
        return []
    last_event_end = end_of_last_event(exchange.body)
    assert exchange.head_received_at is not None
    arrivals = [(exchange.head_received_at, 0), *exchange.arrivals]
    last_event_at = next(at for at, size in arrivals if size >= last_event_end)
    if exchange.ended_at is not None and exchange.ended_at <= last_event_at + CLIENT_WAITS_S + slack:
        return []
    return [f"lost: {exchange.trace_id} at {exchange.router}: left waiting after its last event"]


def end_of_last_event(body: bytes) -> int:
    """Return the offset behind the last complete event with data; 0 without one."""
    offset = end = 0
    for block in body.split(b"\n\n")[:-1]:
        offset += len(block) + 2
        if block.startswith(b"data:"):
            end = offset
    return end


def check_delays(records: Records, by_id: dict[str, list[ReceivedAttempt]], slack: float) -> list[str]:
    """Check that few streams had an event that was forwarded late."""
    streams = [e for e in records.exchanges if e.status == 200 and e.abandoned_at is None]
    held = [e.trace_id for e in streams if has_held_event(e, by_id[e.trace_id], slack)]
    if len(held) <= MAX_HELD_SHARE * len(streams):
        return []
    return [f"held: {len(held)} of {len(streams)} streams had an event held back: {' '.join(held[:5])}"]


def has_held_event(exchange: Exchange, attempts: list[ReceivedAttempt], slack: float) -> bool:
    """Return whether an event reached the client too long after its server had written it."""
    return any(
        size <= len(exchange.body)
        and next(at for at, received in exchange.arrivals if received >= size)
        > written_at + EVENT_DELAY_S + slack
        for attempt in attempts
        if attempt.sent_body.startswith(exchange.body)
        for written_at, size in attempt.event_times
    )


def check_not_sent_after_close(
    exchange: Exchange, attempts: list[ReceivedAttempt], slack: float
) -> list[str]:
    """Check that no attempt began after the client had closed its connection."""
    if exchange.abandoned_at is None:
        return []
    delays_s = [
        a.received_at - exchange.abandoned_at
        for a in attempts
        if a.received_at > exchange.abandoned_at + CANCEL_LAG_S + slack
    ]
    return [
        f"lost: {exchange.trace_id} was sent {s:.2f} s after its client closed the connection"
        for s in delays_s
    ]


def check_timeouts(exchange: Exchange, attempts: list[ReceivedAttempt], slack: float) -> list[str]:
    """Check that the time limits sent to servers are not above the time that the client has left."""
    broken_rules = []
    for attempt in attempts:
        left_s = exchange.sent_at + exchange.timeout_s - attempt.received_at
        if attempt.timeout_s > max(left_s, 0.0) + TIMEOUT_SLACK_S + slack:
            broken_rules.append(
                f"told: {exchange.trace_id} was sent with {attempt.timeout_s:.2f} s, {left_s:.2f} s were left"
            )
    return broken_rules


def check_no_overlap(attempts: list[ReceivedAttempt], slack: float) -> list[str]:
    """Check that no two attempts of a request were open at the same time."""
    in_order = sorted(attempts, key=lambda attempt: attempt.received_at)
    return [
        f"duplicate: {later.trace_id} was open at {earlier.server} and {later.server} at the same time"
        for earlier, later in pairwise(in_order)
        if earlier.ended_at is None or later.received_at < earlier.ended_at - CLOSE_LAG_S - slack
    ]


def check_drains(records: Records, slack: float) -> list[str]:
    """Check that no attempt was sent to a server after the router was notified of its withdrawal."""
    routers = {exchange.trace_id: exchange.router for exchange in records.exchanges}
    broken_rules = []
    for attempt in records.attempts:
        router = routers.get(attempt.trace_id)
        if router is None or attempt.server not in records.withdrawn_at:
            continue
        late_s = attempt.received_at - notification_time(records, router, attempt)
        if late_s > DRAIN_GRACE_S + slack:
            broken_rules.append(
                f"drain: {attempt.trace_id} was sent to {attempt.server} {late_s:.2f} s after the notice"
            )
    return broken_rules


def notification_time(records: Records, router: str, attempt: ReceivedAttempt) -> float:
    """Return when the process that sent this attempt must have known of the server's withdrawal."""
    since = records.withdrawn_at[attempt.server]
    starts = [run.started_at for run in records.process_runs if run.router == router]
    started_at = max((at for at in starts if at <= attempt.received_at), default=0.0)
    reachable_at = max(since, started_at)
    for began, end in sorted(records.outages, key=lambda outage: outage[0]):
        # A call to discovery in the last seconds before an outage may have failed in it.
        if began <= reachable_at + NOTIFICATION_S and (end is None or end > reachable_at):
            reachable_at = max(reachable_at, end if end is not None else float("inf"))
    written_at = records.notified_at.get((router, attempt.server))
    if written_at is not None and written_at >= started_at:
        return min(written_at, reachable_at + NOTIFICATION_S)
    return reachable_at + NOTIFICATION_S


def has_crashed(run: ProcessRun) -> bool:
    """Return whether a process exited without a signal, or with a status other than 0 after SIGTERM."""
    if run.status is None or run.killed_at is not None:
        return False
    return run.terminated_at is None or run.status != 0
