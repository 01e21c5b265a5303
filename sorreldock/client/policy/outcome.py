"""What an attempt came to, as the decisions see it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class OutcomeKind(Enum):
    """How an attempt ended before its first event."""

    REFUSED = "refused"  # the router's word: trying again is harmless
    NEVER_RAN = "never ran"  # no router can have read the whole request
    MAY_HAVE_RUN = "may have run"
    EXPIRED = "expired"  # the router's word that the deadline has passed
    INVALID_REQUEST = "at fault"  # the request itself: another router would say the same


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one attempt."""

    kind: OutcomeKind
    cause: str
    retry_after_s: float | None = None  # the router's: come again in so many seconds
    retry_forbidden: bool = False  # the router's: do not come again (gRPC A6, a negative pushback)
    stale: bool = False  # a kept connection had ended, and the request was not read from it
    begun: bool = False  # the head of an answer had come
    router_fault: bool = False  # counts towards the router's ejection

    @property
    def may_have_run(self) -> bool:
        return self.kind in (OutcomeKind.MAY_HAVE_RUN, OutcomeKind.EXPIRED)
