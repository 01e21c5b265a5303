"""Whether an attempt is followed by another: only what is safe, and under a budget."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from .deadline import Deadline
from .outcome import Outcome, OutcomeKind
from .refusal import retry_time


class RetryBudget:
    """A token bucket for the whole client, filled by first sends (Finagle's RetryBudget, gRFC A6's
    throttle).

    Each first send adds `share` of a token, up to `most`; each retry takes one. `reserve` tokens are there
    at the start, so that a client that has sent one request may repeat it. No clock fills it: what a client
    may repeat depends on what it has sent, and a test can say how much that is (`limit`).
    """

    def __init__(self, share: float = 0.2, reserve: float = 3.0, max_tokens: float = 10.0) -> None:
        self.share, self.reserve, self.max_tokens = share, reserve, max(max_tokens, reserve)
        self._tokens = reserve
        self.first_sends = 0
        self.retries = 0

    def record_first_send(self) -> None:
        self.first_sends += 1
        self._tokens = min(self._tokens + self.share, self.max_tokens)

    @property
    def has_token(self) -> bool:
        return self._tokens >= 1.0 - 1e-9

    def take(self) -> bool:
        """Take the token of one retry; False when the budget is spent."""
        if not self.has_token:
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    def refund(self) -> None:
        """Give back the token of a retry that was never sent."""
        self._tokens = min(self._tokens + 1.0, self.max_tokens)
        self.retries -= 1

    @property
    def limit(self) -> int:
        """The most retries that these first sends could ever have bought."""
        return int(self.reserve + self.share * self.first_sends + 1e-9)


class NextStep(Enum):
    """What follows an attempt."""

    GIVE_UP = "give up"
    RETRY = "retry"  # marked, counted, a token of the budget
    RESEND = "resend"  # on another connection: no router has read it


@dataclass(frozen=True, slots=True)
class Decision:
    """What follows an attempt, and after which pause."""

    next_step: NextStep
    at: float = 0.0  # not before this moment
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RetryRules:
    """Limits for retries."""

    max_retries: int = 1
    safe_classes: Collection[str] = ()
    pause_s: float = 0.25  # after a refusal without advice, or a failure: this, and up to twice as long again

    def after(
        self,
        outcome: Outcome,
        *,
        rpc_class: str,
        retries: int,
        resends: int,
        budget: RetryBudget,
        deadline: Deadline,
        now: float,
        round_trip_s: float,
        draw: float,
    ) -> Decision:
        """What follows this outcome of a call that has been retried and resent so often. Takes no token;
        the caller does, and gives it back should the retry never be sent.
        """
        if outcome.kind is OutcomeKind.INVALID_REQUEST:
            return Decision(NextStep.GIVE_UP, reason="the request is at fault")
        if outcome.kind is OutcomeKind.EXPIRED or not deadline.can_send_at(now, round_trip_s):
            return Decision(NextStep.GIVE_UP, reason="the deadline has passed")
        if outcome.stale and resends == 0:
            return Decision(NextStep.RESEND, now)
        if outcome.retry_forbidden:
            return Decision(NextStep.GIVE_UP, reason="the router forbids a retry")
        if outcome.kind is OutcomeKind.MAY_HAVE_RUN and rpc_class not in self.safe_classes:
            return Decision(NextStep.GIVE_UP, reason="the request may have run")
        if retries >= self.max_retries:
            return Decision(NextStep.GIVE_UP, reason="no retry is left")
        if not budget.has_token:
            return Decision(NextStep.GIVE_UP, reason="the retry budget is spent")
        latest = deadline.at - round_trip_s - deadline.min_s
        if outcome.retry_after_s is not None:
            at = retry_time(now, outcome.retry_after_s, draw, latest)
            if at is None:
                return Decision(NextStep.GIVE_UP, reason="the advised moment is past the deadline")
            return Decision(NextStep.RETRY, at)
        if outcome.kind is OutcomeKind.NEVER_RAN:  # elsewhere at once; dials have a rate of their own
            return Decision(NextStep.RETRY, now)
        at = now + self.pause_s * (1.0 + 2.0 * draw)
        if at > latest:
            return Decision(NextStep.GIVE_UP, reason="no time is left for a pause")
        return Decision(NextStep.RETRY, at)
