"""The outcome of an attempt, as the client's decisions use it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class OutcomeKind(Enum):
    """The kinds of outcome of an attempt that ended before its first event."""

    REFUSED = "refused"  # the router refused it without running it: a retry is harmless
    NEVER_RAN = "never ran"  # proven: no server can have run it
    MAY_HAVE_RUN = "may have run"
    EXPIRED = "expired"  # the router reported that the deadline has passed
    INVALID_REQUEST = "invalid request"  # the request itself is wrong: another router would reject it as well


class NonExecutionProof(Enum):
    """What proves that no server can have run a request whose attempt failed (RFC 9110 9.2.2)."""

    NOT_WRITTEN = "the kernel did not accept the last byte"
    NOT_RECEIVED = "the router closed its side before the last byte had arrived"
    INCOMPLETE = "the router answered that it did not receive the whole request"  # HTTP 408
    REFUSED_STREAM = "the router refused the stream unprocessed"  # RFC 9113 8.7
    EXCLUDED_BY_GOAWAY = "the stream is above the last one that the router processes"  # RFC 9113 6.8


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one attempt that ended before its first event.

    Raises ValueError for NEVER_RAN without a proof, and for a proof, or `stale`, with any other kind.
    """

    kind: OutcomeKind
    cause: str
    retry_after_s: float | None = None  # the delay that the router advises before a retry
    retry_forbidden: bool = False  # the router forbids a retry (gRFC A6, a negative pushback)
    stale: bool = False  # the request went to a kept connection that ended without the router reading it
    begun: bool = False  # the head of an answer had arrived
    router_fault: bool = False  # counts towards the router's ejection
    proof: NonExecutionProof | None = None  # of NEVER_RAN

    def __post_init__(self) -> None:
        if (self.proof is not None) != (self.kind is OutcomeKind.NEVER_RAN):
            raise ValueError(f"{self.kind.name} with the proof {self.proof}")
        if self.stale and self.proof is None:
            raise ValueError(f"a stale connection without a proof: {self.cause}")

    @classmethod
    def never_ran(
        cls, proof: NonExecutionProof, cause: str, stale: bool = False, router_fault: bool = False
    ) -> Outcome:
        """Return the outcome of a request that provably no server has run."""
        return cls(OutcomeKind.NEVER_RAN, cause, stale=stale, router_fault=router_fault, proof=proof)

    @property
    def may_have_run(self) -> bool:
        return self.kind in (OutcomeKind.MAY_HAVE_RUN, OutcomeKind.EXPIRED)
