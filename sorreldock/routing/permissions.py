"""The one place that decides whether something may be started, written or closed now, and that checks it
after.

The decisions are pure: what they need comes as arguments, a look at the client last, since a program may be
held up between reading its clock and writing. Whether a request may be repeated at another server is the
module's decision (`Gateway.permitted`); how long that holds is `send_by` here. `Audit` counts what happened
against these rules.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from .types import Log, Outcome

HELD_UP_S = 0.15  # by which the program may be held up between its clock and a write
# What is new to a server so long after the notice of its end breaks the rule, whatever a deployment grants.
LONGEST_GRACE_S = 0.25
GRACE_SHARE = 0.8  # of what is left of that, for requests on their way; the rest is for the wire
ANSWER_LATE_S = 0.5  # after its time an answer only earns nothing; later it is lost
SENT_LATE_S = 0.1  # by which an attempt may be written after its time, with a hold-up


class Denial(Enum):
    """Why something may not be done now."""

    ANSWERED = "the RPC has its answer"
    ANOTHER_OUT = "another attempt is out"
    NOT_READY = "the server drains or is not listed"
    GIVEN_UP = "the attempt was given up"
    WINDOW_OVER = "the window for repeats is over"
    EXPIRED = "its time is over"
    CLIENT_LEFT = "the client has left"


class Rule(Enum):
    """What must not be seen to happen."""

    TWO_OUT = "two attempts of an RPC are out at once"
    SENT_ANSWERED = "an attempt was written after its RPC's answer"
    SENT_EXPIRED = "an attempt was written after its time"
    SENT_DRAINED = "an attempt was written after the grace of its server's drain"
    ANSWERED_TWICE = "an RPC was answered twice"
    ANSWERED_LATE = "an RPC was answered later than its client waits"
    CLOSED_OWING = "a connection was closed with an answer owed"


def may_begin(*, answered: bool, others_in_flight: int, server_ready: bool) -> Denial | None:
    """Decide whether an attempt may be started: None, or why not."""
    if answered:
        return Denial.ANSWERED
    if others_in_flight:
        return Denial.ANOTHER_OUT
    return None if server_ready else Denial.NOT_READY


def may_write(
    *,
    given_up: bool,
    server_ready: bool,
    now: float,
    expires_at: float,
    send_by: float,
    client_there: Callable[[], bool],
) -> Denial | None:
    """Decide whether an attempt's first byte may be written: None, or why not."""
    if given_up:
        return Denial.GIVEN_UP
    if not server_ready:  # an attempt that was dialling when its server began to drain
        return Denial.NOT_READY
    if now >= expires_at:
        return Denial.EXPIRED
    if now > send_by:  # servers discard a repeat for so long, and dialling has taken a part of that
        return Denial.WINDOW_OVER
    return None if client_there() else Denial.CLIENT_LEFT


def time_to_finish_writing(drain_grace_s: float) -> float:
    """Return for how long after the notice of a server's end a request may still be written to its end."""
    return GRACE_SHARE * max(min(drain_grace_s, LONGEST_GRACE_S) - HELD_UP_S, 0.0)


def write_until(first_run_at: float, window_s: float) -> float:
    """Return until when a keyed request may be repeated whose first attempt that may have run began then."""
    return first_run_at + max(window_s - HELD_UP_S, 0.0)


class Audit:
    """Checks at run time what was done, and counts and logs what broke a rule."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.violations: Counter[Rule] = Counter()

    def expect(self, kept: bool, rule: Rule, rpc: str, **data: object) -> None:
        """Note a break of the rule unless it was kept."""
        if not kept:
            self.violations[rule] += 1
            self._log(
                "err", "VIOLATION", rule.value, rule=rule.name, rpc=rpc, count=self.violations[rule], **data
            )

    def written(
        self,
        rpc: str,
        now: float,
        *,
        answered: bool,
        in_flight: int,
        expires_at: float,
        drained_at: float | None,
    ) -> None:
        """Check an attempt whose last byte was written now."""
        self.expect(in_flight <= 1, Rule.TWO_OUT, rpc, out=in_flight)
        self.expect(not answered, Rule.SENT_ANSWERED, rpc)
        self.expect(now <= expires_at + SENT_LATE_S, Rule.SENT_EXPIRED, rpc, late_s=now - expires_at)
        drained_s = 0.0 if drained_at is None else now - drained_at
        self.expect(drained_s <= LONGEST_GRACE_S, Rule.SENT_DRAINED, rpc, after_s=drained_s)

    def answered(
        self, rpc: str, now: float, *, again: bool, begun: bool, expires_at: float, outcome: Outcome
    ) -> None:
        """Check a final answer that is given now."""
        self.expect(not again, Rule.ANSWERED_TWICE, rpc)
        in_time = begun or outcome is Outcome.GONE or now <= expires_at + ANSWER_LATE_S
        self.expect(in_time, Rule.ANSWERED_LATE, rpc, late_s=now - expires_at)
