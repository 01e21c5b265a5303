"""An open request of a gateway, and its attempts."""

from __future__ import annotations

import math

from ..hashing import hash_text
from ..interface import RequestArrived, RequestClass, Status
from .replica import Replica

UNMET = (Status.CONNECT_FAILED, Status.NO_LISTENER, Status.NOT_SENT)  # no replica has met the request
NEVER_RAN = (Status.FULL, *UNMET)


class Attempt:
    """One attempt of a request."""

    def __init__(self, replica: Replica, sent_at: float) -> None:
        self.replica = replica
        self.sent_at = sent_at
        self.started = False
        self.values = replica.values if sent_at - replica.load_at < 2.0 else ()
        self.ended: Status | None = None

    def may_have_run(self) -> bool:
        return self.ended not in NEVER_RAN


class Request:
    """An open request and its attempts."""

    def __init__(self, event: RequestArrived, cls: RequestClass, homes: int, share: float = 0.0) -> None:
        self.event = event
        self.cls = cls
        self.member_key = hash_text(event.session or event.request)
        self.prefix_key = hash_text(event.shared_prefix) if event.shared_prefix else self.member_key
        self.homes = homes
        self.share = share  # of the traffic, its prefix's, as far as this gateway has seen
        self.attempts: list[Attempt] = []
        self.awaited: Replica | None = None
        self.asked: list[Replica] = []
        self.patient_until = -math.inf
        self.done = False

    def running(self) -> bool:
        return any(a.ended is None for a in self.attempts)
