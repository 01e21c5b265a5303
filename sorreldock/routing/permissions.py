"""Rules on whether an attempt may be started or written now, and an audit that checks them at run time.

The rules are pure functions of their arguments. The client's connection is checked last, since the process
may be delayed between reading its clock and writing. The decision module decides whether a request may be
repeated at another server (`Gateway.is_permitted`), and `send_by` bounds how long that permission holds.
`Audit` counts violations of the rules.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from .types import Log, Outcome

SCHEDULING_DELAY_S = 0.15  # the process may be delayed by this much between reading its clock and a write
# A request that reaches a server later than this after its drain notice violates the drain rule, even if the
# settings grant a longer grace period.
MAX_DRAIN_GRACE_S = 0.25
GRACE_WRITE_SHARE = 0.8  # of the remaining grace period, for finishing writes; the rest is for the network
ANSWER_TOLERANCE_S = 0.5  # an answer late by less than this has only no value; a later one counts as lost
WRITE_TOLERANCE_S = 0.1  # a delayed process may write an attempt this long after its deadline


class Denial(Enum):
    """The reason why an attempt may not be started or written now."""

    ANSWERED = "the RPC is already answered"
    ANOTHER_IN_FLIGHT = "another attempt is in flight"
    NOT_READY = "the server is draining or not listed"
    ABORTED = "the attempt was cancelled"
    WINDOW_OVER = "the server's deduplication window has ended"
    EXPIRED = "the deadline has passed"
    CLIENT_LEFT = "the client has disconnected"


class Rule(Enum):
    """A rule that the audit checks; the value is the text of the log record on its violation."""

    TWO_OUT = "two attempts of an RPC are in flight at the same time"
    SENT_ANSWERED = "an attempt was written after its RPC was answered"
    SENT_EXPIRED = "an attempt was written after its deadline"
    SENT_DRAINED = "an attempt was written after the grace period of its server's drain"
    ANSWERED_TWICE = "an RPC was answered twice"
    ANSWERED_LATE = "an RPC was answered after its client's deadline"
    CLOSED_OWING = "a connection was closed before its answer was written"


def may_begin(*, answered: bool, others_in_flight: int, server_ready: bool) -> Denial | None:
    """Return None if an attempt may be started, else the reason against it."""
    if answered:
        return Denial.ANSWERED
    if others_in_flight:
        return Denial.ANOTHER_IN_FLIGHT
    return None if server_ready else Denial.NOT_READY


def may_write(
    *,
    aborted: bool,
    server_ready: bool,
    now: float,
    expires_at: float,
    send_by: float,
    client_present: Callable[[], bool],
) -> Denial | None:
    """Return None if the first byte of an attempt may be written, else the reason against it."""
    if aborted:
        return Denial.ABORTED
    if not server_ready:  # the server began to drain while the attempt was connecting
        return Denial.NOT_READY
    if now >= expires_at:
        return Denial.EXPIRED
    if now > send_by:  # connecting used up the rest of the servers' deduplication window
        return Denial.WINDOW_OVER
    return None if client_present() else Denial.CLIENT_LEFT


def time_to_finish_writing(drain_grace_s: float) -> float:
    """Return how long after a server's drain notice the writing of a request may still continue."""
    return GRACE_WRITE_SHARE * max(min(drain_grace_s, MAX_DRAIN_GRACE_S) - SCHEDULING_DELAY_S, 0.0)


def write_until(first_run_at: float, window_s: float) -> float:
    """Return the latest time at which an attempt that repeats a keyed request may be written.

    `first_run_at` is the creation time of the first attempt that a server may have run.
    """
    return first_run_at + max(window_s - SCHEDULING_DELAY_S, 0.0)


class Audit:
    """Run-time checks of the rules, which count and log violations."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.violations: Counter[Rule] = Counter()

    def check(self, holds: bool, rule: Rule, rpc: str, **data: object) -> None:
        """Count and log a violation of the rule unless it holds."""
        if not holds:
            self.violations[rule] += 1
            self._log(
                "err", "VIOLATION", rule.value, rule=rule.name, rpc=rpc, count=self.violations[rule], **data
            )

    def check_written(
        self,
        rpc: str,
        now: float,
        *,
        began_answered: bool,
        in_flight: int,
        expires_at: float,
        drained_at: float | None,
    ) -> None:
        """Check the rules for an attempt whose last byte was written at `now`.

        `began_answered` tells whether its RPC was answered before the first byte. A client may leave while
        the attempt is being written.
        """
        self.check(in_flight <= 1, Rule.TWO_OUT, rpc, out=in_flight)
        self.check(not began_answered, Rule.SENT_ANSWERED, rpc)
        self.check(now <= expires_at + WRITE_TOLERANCE_S, Rule.SENT_EXPIRED, rpc, late_s=now - expires_at)
        drained_s = 0.0 if drained_at is None else now - drained_at
        self.check(drained_s <= MAX_DRAIN_GRACE_S, Rule.SENT_DRAINED, rpc, after_s=drained_s)

    def check_answered(
        self, rpc: str, now: float, *, again: bool, begun: bool, expires_at: float, outcome: Outcome
    ) -> None:
        """Check the rules for an RPC that gets its final answer at `now`."""
        self.check(not again, Rule.ANSWERED_TWICE, rpc)
        in_time = begun or outcome is Outcome.GONE or now <= expires_at + ANSWER_TOLERANCE_S
        self.check(in_time, Rule.ANSWERED_LATE, rpc, late_s=now - expires_at)
