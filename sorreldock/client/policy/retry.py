"""The decision whether another attempt follows: only where it is safe, and within a retry budget."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from .deadline import Deadline
from .outcome import Outcome, OutcomeKind
from .refusal import retry_time


class RetryBudget:
    """A token bucket for the retries of a whole client, filled by first sends.

    It resembles Finagle's RetryBudget and the retry throttle of gRFC A6. Each first send adds `share` of a
    token, up to `max_tokens`; each retry takes one. `reserve` tokens are present at the start, so that a
    client may retry its first request. No clock fills the bucket: the number of retries depends only on the
    number of first sends, so a test can compute its bound (`limit`).
    """

    def __init__(self, share: float = 0.2, reserve: float = 3.0, max_tokens: float = 10.0) -> None:
        self.share, self.reserve, self.max_tokens = share, reserve, max(max_tokens, reserve)
        self._tokens = reserve
        self.first_sends = 0
        self.retries = 0

    def record_first_send(self) -> None:
        """Add the share of a token for the first send of a request."""
        self.first_sends += 1
        self._tokens = min(self._tokens + self.share, self.max_tokens)

    @property
    def has_token(self) -> bool:
        return self._tokens >= 1.0 - 1e-9

    def take(self) -> bool:
        """Take the token for one retry; return False, and take none, when the budget is spent."""
        if not self.has_token:
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True

    def refund(self) -> None:
        """Return the token of a retry that was never sent."""
        self._tokens = min(self._tokens + 1.0, self.max_tokens)
        self.retries -= 1

    @property
    def limit(self) -> int:
        """The maximum number of retries that the first sends so far could have allowed."""
        return int(self.reserve + self.share * self.first_sends + 1e-9)


class NextStep(Enum):
    """The step that follows an attempt."""

    GIVE_UP = "give up"
    RETRY = "retry"  # marked on the wire, counted, and charged to the retry budget
    RESEND = "resend"  # on another connection, since no router has read the request


@dataclass(frozen=True, slots=True)
class Decision:
    """The step that follows an attempt, its earliest moment, and the reason for giving up."""

    next_step: NextStep
    at: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RetryRules:
    """The rules that decide about retries."""

    max_retries: int = 1
    safe_classes: Collection[str] = ()
    pause_s: float = 0.25  # after a failure or a refusal without advice: 1 to 3 times this, drawn

    def decide(
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
        """Decide what follows this outcome of a call that has had `retries` retries and `resends` resends.

        Takes no token of the budget; the caller does, and returns it if the retry is never sent.
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
        if outcome.kind is OutcomeKind.NEVER_RAN:  # at once, on another router; dials are limited elsewhere
            return Decision(NextStep.RETRY, now)
        at = now + self.pause_s * (1.0 + 2.0 * draw)
        if at > latest:
            return Decision(NextStep.GIVE_UP, reason="no time is left for a pause")
        return Decision(NextStep.RETRY, at)
