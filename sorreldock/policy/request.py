"""An open request of a gateway, and its attempts."""

from __future__ import annotations

import math

from ..hashing import hash_text
from ..interface import RequestArrived, RequestClass, Status
from .replica import Replica

NOT_RECEIVED = (Status.CONNECT_FAILED, Status.NO_LISTENER, Status.NOT_SENT)  # no server got the request
NEVER_RAN = (Status.FULL, *NOT_RECEIVED)


class Attempt:
    """One sending of a request to a replica."""

    def __init__(self, replica: Replica, sent_at: float) -> None:
        self.replica = replica
        self.sent_at = sent_at
        self.has_started = False
        self.report_values = replica.report_values if sent_at - replica.load_reported_at < 2.0 else ()
        self.end_status: Status | None = None

    def may_have_run(self) -> bool:
        """Return whether the replica may have run the attempt; an open attempt may have run."""
        return self.end_status not in NEVER_RAN


class Request:
    """An open request, the keys by which it is placed, and its attempts."""

    def __init__(
        self, event: RequestArrived, request_class: RequestClass, home_count: int, traffic_share: float = 0.0
    ) -> None:
        self.event = event
        self.request_class = request_class
        self.session_key = hash_text(event.session or event.request)
        self.prefix_key = hash_text(event.shared_prefix) if event.shared_prefix else self.session_key
        self.home_count = home_count
        # Its prefix's share of the requests that this gateway has received.
        self.traffic_share = traffic_share
        self.attempts: list[Attempt] = []
        self.awaited_replica: Replica | None = None  # the request is held until the probe of this one ends
        self.probed_replicas: list[Replica] = []
        self.probe_wait_until = -math.inf
        self.finished = False

    def has_open_attempt(self) -> bool:
        return any(attempt.end_status is None for attempt in self.attempts)
