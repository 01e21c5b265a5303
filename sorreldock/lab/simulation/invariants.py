"""Rules that hold in every simulation, checked on the network traffic alone.

The checks use nothing of the router's own state. They observe four kinds of traffic: requests as they arrive
at a router, and answers as the router writes them; attempts as the router writes their last byte, and the
servers' answers as they arrive and are read; and the target list as discovery's lines arrive. A request's
deadline runs from the arrival of its last byte. All times are virtual.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import trio

from .network import Host, Network, Pipe

RULES = {
    "final": "every accepted request gets exactly one final answer",
    "in-time": "the first byte of an answer is written before the request's deadline",
    "overlap": "no two attempts of a request are open at the same time",
    "resent": "no two attempts of a request go to the same server, and none exceeds the limit",
    "drain": "no attempt starts at a server more than 250 ms after discovery announced its termination",
    "cold": "all routers together do not overload a server that is warming up",
    "unchanged": "events are forwarded unchanged, and no incomplete stream ends as a complete one",
    "at-once": "an event is forwarded without delay, unless the client's connection is full",
    "whole": "a completely received answer is forwarded, and the router never aborts a stream on its own",
    "leak": "no descriptors, payloads, containers or tasks are left at the end",
    "rest": "the simulation comes to rest, and routers exit after a stop signal",
    "fault": "no unexpected exception is raised in the router",
}
DRAIN_GRACE_S = 0.25
MAX_FORWARDING_DELAY_S = 0.002
TIME_TOLERANCE_S = 1e-6
# The router may end the stream of a server that has been silent for the first duration, and must end it after
# the second.
MIN_SERVER_SILENCE_S, MAX_STALL_S = 0.9, 5.0
ACCEPTING_AFTER_STOP_S = 0.5
# A request that arrives this shortly before a stopping router stops accepting may be refused.
STOP_RACE_TOLERANCE_S = 0.02
SERVED_PATH = b"/v1/chat/completions"
MAX_VIOLATIONS = 20


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, with the time and the connections concerned."""

    rule: str
    at_s: float
    text: str
    pipes: tuple[str, ...] = ()


@dataclass(eq=False, slots=True)
class Attempt:
    """An attempt whose last byte the router has written."""

    key: str
    router: str
    endpoint: str
    uid: str
    pipe: str
    sent_at: float
    ended_at: float | None = None
    closed_by_router: bool = False  # the router closed the connection before the answer's end
    is_valid: bool = True  # the answer conforms to its protocol
    has_started: bool = False  # the answer is a stream, not an error
    is_complete: bool = False
    end_offset: int = 0  # of a complete answer, on its connection
    parts: list[tuple[bytes, float]] = field(default_factory=list)

    def data(self) -> bytes:
        return b"".join(part for part, _ in self.parts)


class FrontObserver(Protocol):
    """What the checks need of the observer of a client's connection to a router."""

    inbound: Pipe
    outbound: Pipe
    incarnation: tuple[str, int]
    client_left_at: float | None
    router_closed_at: float | None
    stream_reset_at: dict[str, float]

    def was_refused(self, rpc: Rpc) -> bool:
        """Return whether the router refused the request by means of the protocol, without an answer."""


@dataclass(eq=False, slots=True)
class Rpc:
    """A request that has arrived completely at a router."""

    key: str
    tap: FrontObserver
    arrived_at: float
    timeout_s: float
    end_offset: int  # in the client's pipe
    is_first_on_connection: bool
    is_checked: bool = True
    first_byte_at: float | None = None
    final_at: float | None = None
    is_served: bool = False  # its answer ended as a complete one
    has_started: bool = False
    forwarded: list[tuple[bytes, float]] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.arrived_at + self.timeout_s


class InvariantChecker:
    """Checks of the rules on the observed traffic, and the violations found.

    Violations are part of the trace: their texts enter its digest.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.violations: list[Violation] = []
        self.rpcs: list[Rpc] = []
        self.attempts: dict[str, list[Attempt]] = {}
        self.attempt_count = 0
        # When discovery announced to a router that the server at an endpoint will end; None: it has not.
        self.draining_since: dict[tuple[str, str], float | None] = {}
        self.target_uids: dict[tuple[str, str], str] = {}
        self.incarnations: dict[str, int] = {}  # number of starts of each router
        self.stop_requested_at: dict[tuple[str, int], float] = {}
        self.killed_at: dict[tuple[str, int], float] = {}
        self.max_attempts = 2
        network.on_refused = self._check_refusal

    def report_violation(self, rule: str, text: str, *pipes: str) -> None:
        """Record a violation, up to `MAX_VIOLATIONS` of them; `pipes` names the connections concerned."""
        assert rule in RULES, rule
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, round(trio.current_time(), 6), text, pipes))
            self.network.record(f"violation {rule} {text}")

    def _check_refusal(self, src: Host, dst: Host) -> None:
        """Check a refused connection: a router accepts new ones for a while after a stop signal."""
        incarnation = (dst.name, self.incarnations.get(dst.name, 0))
        stopped_at = self.stop_requested_at.get(incarnation)
        if stopped_at is not None and incarnation not in self.killed_at:
            elapsed_s = trio.current_time() - stopped_at
            if elapsed_s < ACCEPTING_AFTER_STOP_S - STOP_RACE_TOLERANCE_S:
                self.report_violation(
                    "final", f"{dst.name} refused a newcomer {elapsed_s:.3f} s after SIGTERM", src.name
                )

    # Target lists.

    def record_targets(self, router: str, targets: list[dict[str, str]], is_complete: bool) -> None:
        """Record targets that a router has received; a complete list ends those that it lacks."""
        now = trio.current_time()
        listed_keys = set()
        for target in targets:
            target_key = (router, str(target["endpoint"]))
            listed_keys.add(target_key)
            if target["state"] == "Ready":
                self.draining_since[target_key], self.target_uids[target_key] = None, str(target["uid"])
            elif (
                self.target_uids.get(target_key, target["uid"]) == target["uid"]
                and self.draining_since.get(target_key) is None
            ):
                self.draining_since[target_key], self.target_uids[target_key] = now, str(target["uid"])
        if is_complete:
            for target_key in self.draining_since:
                if (
                    target_key[0] == router
                    and target_key not in listed_keys
                    and self.draining_since[target_key] is None
                ):
                    self.draining_since[target_key] = now

    # Attempts.

    def record_attempt(self, key: str, router: str, endpoint: str, pipe: str) -> Attempt:
        now = trio.current_time()
        target_key = (router, endpoint)
        attempt = Attempt(key, router, endpoint, self.target_uids.get(target_key, ""), pipe, now)
        earlier_attempts = self.attempts.setdefault(key, [])
        self.attempt_count += 1
        self.network.record(f"attempt {key} {pipe}")
        for earlier in earlier_attempts:
            if earlier.ended_at is None:
                self.report_violation(
                    "overlap", f"{key}: a second attempt while one is out", earlier.pipe, pipe
                )
            if earlier.is_complete:
                self.report_violation(
                    "whole", f"{key}: came whole, and was asked for again", earlier.pipe, pipe
                )
            if earlier.router == router and earlier.endpoint == endpoint and earlier.uid == attempt.uid:
                self.report_violation("resent", f"{key}: sent to {endpoint} again", earlier.pipe, pipe)
        if len(earlier_attempts) >= self.max_attempts:
            self.report_violation(
                "resent", f"{key}: attempt {len(earlier_attempts) + 1} of {self.max_attempts}", pipe
            )
        draining_since = self.draining_since.get(target_key)
        if draining_since is not None and now > draining_since + DRAIN_GRACE_S + TIME_TOLERANCE_S:
            delay_s = now - draining_since
            self.report_violation(
                "drain", f"{key}: sent {delay_s:.3f} s after the notice to {endpoint}", pipe
            )
        earlier_attempts.append(attempt)
        return attempt

    # At the end.

    def check_at_end(self) -> None:
        """Check the rules that concern complete requests; to be called at the end of the run."""
        for rpc in self.rpcs:
            if not rpc.is_checked:
                continue
            self._check_answered(rpc)
            if rpc.forwarded or rpc.is_served:
                self._check_forwarded(rpc)

    def _check_answered(self, rpc: Rpc) -> None:
        tap = rpc.tap
        client_gone_at = tap.client_left_at if tap.client_left_at is not None else float("inf")
        client_gone_at = min(client_gone_at, rpc.tap.stream_reset_at.get(rpc.key, float("inf")))
        killed_at = self.killed_at.get(tap.incarnation, float("inf"))
        was_blocked = tap.outbound.was_full(rpc.arrived_at, rpc.deadline)
        pipes = (tap.inbound.name, tap.outbound.name)
        if rpc.first_byte_at is not None:
            if rpc.first_byte_at > rpc.deadline + TIME_TOLERANCE_S and not was_blocked:
                delay_s = rpc.first_byte_at - rpc.deadline
                self.report_violation(
                    "in-time", f"{rpc.key}: answered {delay_s:.3f} s after its deadline", *pipes
                )
            router_closed_at = tap.router_closed_at if tap.router_closed_at is not None else float("inf")
            ended_at = min(client_gone_at, killed_at, router_closed_at)
            if rpc.final_at is None and ended_at == float("inf"):
                self.report_violation("rest", f"{rpc.key}: the answer never ended", *pipes)
            elif (
                rpc.final_at is None
                and rpc.forwarded
                and not tap.outbound.was_full(rpc.arrived_at, float("inf"))
            ):
                stall_s = ended_at - rpc.forwarded[-1][1]
                if stall_s > MAX_STALL_S:
                    self.report_violation(
                        "rest", f"{rpc.key}: stood still for {stall_s:.1f} s, and was not ended", *pipes
                    )
            return
        if min(client_gone_at, killed_at) <= rpc.deadline or was_blocked:
            return
        if tap.router_closed_at is not None and tap.inbound.bytes_read < rpc.end_offset:
            stopped_at = self.stop_requested_at.get(tap.incarnation, float("inf"))
            arrived_during_stop = (
                rpc.arrived_at >= stopped_at + ACCEPTING_AFTER_STOP_S - STOP_RACE_TOLERANCE_S
            )
            if not rpc.is_first_on_connection or arrived_during_stop:
                return
        if rpc.tap.was_refused(rpc):
            return
        self.report_violation("final", f"{rpc.key}: no answer", *pipes)

    def _check_forwarded(self, rpc: Rpc) -> None:
        tap = rpc.tap
        pipes = (tap.inbound.name, tap.outbound.name)
        forwarded = b"".join(part for part, _ in rpc.forwarded)
        attempts = self.attempts.get(rpc.key, [])
        if rpc.is_served:
            source = next((a for a in reversed(attempts) if a.is_complete and a.data() == forwarded), None)
            if source is None:
                self.report_violation(
                    "unchanged", f"{rpc.key}: ended whole, unlike what any engine sent", *pipes
                )
        else:
            source = next(
                (a for a in reversed(attempts) if a.has_started and a.data().startswith(forwarded)), None
            )
            was_blocked = tap.outbound.was_full(rpc.arrived_at, float("inf"))
            if source is None:
                self.report_violation("unchanged", f"{rpc.key}: not what an engine sent", *pipes)
            elif source.is_complete and tap.client_left_at is None and tap.incarnation not in self.killed_at:
                was_reset = rpc.key in tap.stream_reset_at
                if not was_reset and not was_blocked and not tap.outbound.reset_by_reader:
                    self.report_violation(
                        "whole", f"{rpc.key}: came whole, and was broken off", *pipes, source.pipe
                    )
            elif self._was_ended_by_router(rpc, source) and not was_blocked:
                self.report_violation("whole", f"{rpc.key}: the router broke it off", *pipes, source.pipe)
        if source is not None:
            self._check_forwarding_delay(rpc, source)

    def _was_ended_by_router(self, rpc: Rpc, source: Attempt) -> bool:
        """Return whether the router ended a stream while its server was sending and its client connected."""
        tap, ended_at = rpc.tap, source.ended_at
        if (
            ended_at is None
            or not source.closed_by_router
            or not source.is_valid
            or tap.incarnation in self.killed_at
        ):
            return False
        if (
            tap.client_left_at is not None and tap.client_left_at <= ended_at
        ) or rpc.key in tap.stream_reset_at:
            return False
        last_received_at = source.parts[-1][1] if source.parts else source.sent_at
        return ended_at < last_received_at + MIN_SERVER_SILENCE_S and not tap.outbound.reset_by_reader

    def _check_forwarding_delay(self, rpc: Rpc, source: Attempt) -> None:
        forwarded_bytes, index, received_bytes = 0, -1, 0
        for part, arrived_at in source.parts:
            received_bytes += len(part)
            while forwarded_bytes < received_bytes:
                index += 1
                if index >= len(rpc.forwarded):
                    return
                forwarded_bytes += len(rpc.forwarded[index][0])
            written_at = rpc.forwarded[index][1]
            if written_at > arrived_at + MAX_FORWARDING_DELAY_S and not rpc.tap.outbound.was_full(
                arrived_at, written_at
            ):
                delay_s = written_at - arrived_at
                self.report_violation(
                    "at-once", f"{rpc.key}: an event held for {delay_s:.3f} s", rpc.tap.outbound.name
                )
                return
