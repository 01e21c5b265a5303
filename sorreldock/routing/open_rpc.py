"""The entries of the table of open RPCs."""

from __future__ import annotations

import math

import trio

from ..interface import Status
from .subchannel import Attempt
from .timers import Timer
from .types import RPC

# Results of attempts that no server has run.
NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.NO_LISTENER, Status.NOT_SENT)


class OpenRPC:
    """The state of an RPC, kept until it is answered and its last attempt has ended."""

    __slots__ = (
        "answered",
        "answered_at",
        "arrived_at",
        "attempts",
        "deadline",
        "first_run_at",
        "in_flight",
        "rpc",
        "statuses",
    )

    def __init__(self, rpc: RPC) -> None:
        self.rpc = rpc
        self.arrived_at = trio.current_time()
        self.attempts: list[Attempt | None] = []  # by number; None once an attempt has ended
        self.in_flight = 0
        self.statuses: list[Status] = []
        # The creation time of the first ended attempt that a server may have run.
        self.first_run_at: float | None = None
        self.answered = False
        self.answered_at = math.inf
        self.deadline: Timer[str | OpenRPC] | None = None  # cancelled once the answer has begun

    @property
    def started(self) -> bool:
        """Whether an attempt in flight has forwarded its first event."""
        return any(a is not None and a.started for a in self.attempts)

    def may_have_run(self) -> bool:
        """Return whether a server may have run an attempt that has ended."""
        return any(s not in NEVER_RAN for s in self.statuses)
