"""The outcome of an attempt, as the client's decisions use it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class OutcomeKind(Enum):
    """The kinds of outcome of an attempt that ended before its first event."""

    REFUSED = "refused"  # the router refused it without running it: a retry is harmless
    NEVER_RAN = "never ran"  # no router can have read the whole request
    MAY_HAVE_RUN = "may have run"
    EXPIRED = "expired"  # the router reported that the deadline has passed
    INVALID_REQUEST = "invalid request"  # the request itself is wrong: another router would reject it as well


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one attempt that ended before its first event."""

    kind: OutcomeKind
    cause: str
    retry_after_s: float | None = None  # the delay that the router advises before a retry
    retry_forbidden: bool = False  # the router forbids a retry (gRFC A6, a negative pushback)
    stale: bool = False  # the request went to a kept connection that ended without the router reading it
    begun: bool = False  # the head of an answer had arrived
    router_fault: bool = False  # counts towards the router's ejection

    @property
    def may_have_run(self) -> bool:
        return self.kind in (OutcomeKind.MAY_HAVE_RUN, OutcomeKind.EXPIRED)
