"""The rules as oracles: they see the wires, and nothing of what the router believes.

Four taps: requests as they arrive at a router and answers as it writes them; call attempts as it writes their
last byte and answers as they arrive and are read; and the list as discovery's lines arrive. A request's
deadline runs from the arrival of its last byte. All times are the world's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from .network import Host, Network, VirtualSocket

if TYPE_CHECKING:
    from .observers import FrontTap

RULES = {
    "final": "every request taken gets a final answer, and one",
    "in-time": "its first byte is written before the client gives up",
    "overlap": "no two attempts of a request are out at once",
    "resent": "no attempt goes to the same engine twice, and none beyond the limit",
    "drain": "nothing new goes to an engine 250 ms after the notice of its end",
    "cold": "a cold engine is not pushed over, by all routers together",
    "unchanged": "events pass on as they came, and no stream ends whole that is not",
    "at-once": "an event passes on when it comes, unless the client's pipe is full",
    "whole": "what came whole to the router is passed on, and it breaks nothing off by itself",
    "leak": "descriptors, payloads, containers and tasks are back to nothing at the end",
    "rest": "the world comes to rest, and routers told to stop end",
    "fault": "nothing in the router fails with an unforeseen exception",
}
DRAIN_GRACE_S = 0.25
MAX_FORWARDING_DELAY_S = 0.002
TIME_TOLERANCE_S = 1e-6
MIN_SERVER_SILENCE_S, MAX_STALL_S = (
    0.9,
    5.0,
)  # an engine silent for so long may be left; for so long, it must be
ACCEPTING_AFTER_STOP_S = 0.5
STOP_RACE_TOLERANCE_S = 0.02  # a request that arrives within this of the end of taking may find the door shut
SERVED_PATH = b"/v1/chat/completions"
MAX_VIOLATIONS = 20


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule seen broken, and where."""

    rule: str
    at_s: float
    text: str
    pipes: tuple[str, ...] = ()


@dataclass(eq=False, slots=True)
class Attempt:
    """From the moment its last byte was written."""

    key: str
    router: str
    endpoint: str
    uid: str
    pipe: str
    sent_at: float
    ended_at: float | None = None
    closed_by_router: bool = False  # who closed its connection before its end
    is_valid: bool = True  # as its protocol allows
    has_started: bool = False  # a stream, not an error
    is_complete: bool = False
    end_offset: int = 0  # of a whole answer, its offset
    parts: list[tuple[bytes, float]] = field(default_factory=list)

    def data(self) -> bytes:
        return b"".join(part for part, _ in self.parts)


@dataclass(eq=False, slots=True)
class Rpc:
    """A request that has arrived whole at a router."""

    key: str
    tap: FrontTap
    arrived_at: float
    timeout_s: float
    end_offset: int  # its end's offset in the client's pipe
    is_first_on_connection: bool
    is_checked: bool = True
    first_byte_at: float | None = None
    final_at: float | None = None
    is_served: bool = False  # ended as a whole answer
    has_started: bool = False
    forwarded: list[tuple[bytes, float]] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.arrived_at + self.timeout_s


class InvariantChecker:
    """Checks the rules against what is seen on the wires."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.violations: list[Violation] = []
        self.rpcs: list[Rpc] = []
        self.attempts: dict[str, list[Attempt]] = {}
        self.attempt_count = 0
        self.draining_since: dict[
            tuple[str, str], float | None
        ] = {}  # when (router, endpoint) was told to end
        self.target_uids: dict[tuple[str, str], str] = {}
        self.incarnations: dict[str, int] = {}  # how often each router has started
        self.stop_requested_at: dict[tuple[str, int], float] = {}
        self.killed_at: dict[tuple[str, int], float] = {}
        self.max_attempts = 2
        network.on_open, network.on_refused = self._on_open, self._check_refusal

    def report_violation(self, rule: str, text: str, *pipes: str) -> None:
        assert rule in RULES, rule
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, round(trio.current_time(), 6), text, pipes))
            self.network.record(f"violation {rule} {text}")

    def _on_open(self, dialling: VirtualSocket, taking: VirtualSocket) -> None:
        from .observers import attach_tap  # the taps know the judge

        attach_tap(self, dialling, taking)

    def _check_refusal(self, src: Host, dst: Host) -> None:
        """Nobody listens there. A router told to stop takes newcomers for a while."""
        incarnation = (dst.name, self.incarnations.get(dst.name, 0))
        stop = self.stop_requested_at.get(incarnation)
        if stop is not None and incarnation not in self.killed_at:
            since = trio.current_time() - stop
            if since < ACCEPTING_AFTER_STOP_S - STOP_RACE_TOLERANCE_S:
                self.report_violation(
                    "final", f"{dst.name} refused a newcomer {since:.3f} s after SIGTERM", src.name
                )

    # Lists.

    def record_targets(self, router: str, targets: list[dict[str, str]], is_complete: bool) -> None:
        now = trio.current_time()
        listed = set()
        for target in targets:
            at = (router, str(target["endpoint"]))
            listed.add(at)
            if target["state"] == "Ready":
                self.draining_since[at], self.target_uids[at] = None, str(target["uid"])
            elif (
                self.target_uids.get(at, target["uid"]) == target["uid"]
                and self.draining_since.get(at) is None
            ):
                self.draining_since[at], self.target_uids[at] = now, str(target["uid"])
        if is_complete:
            for at in self.draining_since:
                if at[0] == router and at not in listed and self.draining_since[at] is None:
                    self.draining_since[at] = now

    # Attempts.

    def record_attempt(self, key: str, router: str, endpoint: str, pipe: str) -> Attempt:
        now = trio.current_time()
        at = (router, endpoint)
        attempt = Attempt(key, router, endpoint, self.target_uids.get(at, ""), pipe, now)
        others = self.attempts.setdefault(key, [])
        self.attempt_count += 1
        self.network.record(f"attempt {key} {pipe}")
        for other in others:
            if other.ended_at is None:
                self.report_violation(
                    "overlap", f"{key}: a second attempt while one is out", other.pipe, pipe
                )
            if other.is_complete:
                self.report_violation(
                    "whole", f"{key}: came whole, and was asked for again", other.pipe, pipe
                )
            if other.router == router and other.endpoint == endpoint and other.uid == attempt.uid:
                self.report_violation("resent", f"{key}: sent to {endpoint} again", other.pipe, pipe)
        if len(others) >= self.max_attempts:
            self.report_violation("resent", f"{key}: attempt {len(others) + 1} of {self.max_attempts}", pipe)
        draining_since = self.draining_since.get(at)
        if draining_since is not None and now > draining_since + DRAIN_GRACE_S + TIME_TOLERANCE_S:
            late = now - draining_since
            self.report_violation("drain", f"{key}: sent {late:.3f} s after the notice to {endpoint}", pipe)
        others.append(attempt)
        return attempt

    # At the end.

    def check_at_end(self) -> None:
        """Judge what the whole run shows; call once it has come to rest."""
        for rpc in self.rpcs:
            if not rpc.is_checked:
                continue
            self._check_answered(rpc)
            if rpc.forwarded or rpc.is_served:
                self._check_forwarded(rpc)

    def _check_answered(self, rpc: Rpc) -> None:
        tap = rpc.tap
        gone = tap.client_left_at if tap.client_left_at is not None else float("inf")
        gone = min(gone, rpc.tap.stream_reset_at.get(rpc.key, float("inf")))
        killed_at = self.killed_at.get(tap.incarnation, float("inf"))
        blocked = tap.outbound.was_full(rpc.arrived_at, rpc.deadline)
        pipes = (tap.inbound.name, tap.outbound.name)
        if rpc.first_byte_at is not None:
            if rpc.first_byte_at > rpc.deadline + TIME_TOLERANCE_S and not blocked:
                late = rpc.first_byte_at - rpc.deadline
                self.report_violation(
                    "in-time", f"{rpc.key}: answered {late:.3f} s after its deadline", *pipes
                )
            closed = tap.router_closed_at if tap.router_closed_at is not None else float("inf")
            ended = min(gone, killed_at, closed)
            if rpc.final_at is None and ended == float("inf"):
                self.report_violation("rest", f"{rpc.key}: the answer never ended", *pipes)
            elif (
                rpc.final_at is None
                and rpc.forwarded
                and not tap.outbound.was_full(rpc.arrived_at, float("inf"))
            ):
                stood = ended - rpc.forwarded[-1][1]
                if stood > MAX_STALL_S:
                    self.report_violation(
                        "rest", f"{rpc.key}: stood still for {stood:.1f} s, and was not ended", *pipes
                    )
            return
        if min(gone, killed_at) <= rpc.deadline or blocked:
            return
        if tap.router_closed_at is not None and tap.inbound.read < rpc.end_offset:
            stop = self.stop_requested_at.get(tap.incarnation, float("inf"))
            crossed = rpc.arrived_at >= stop + ACCEPTING_AFTER_STOP_S - STOP_RACE_TOLERANCE_S
            if not rpc.is_first_on_connection or crossed:
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
            stalled = tap.outbound.was_full(rpc.arrived_at, float("inf"))
            if source is None:
                self.report_violation("unchanged", f"{rpc.key}: not what an engine sent", *pipes)
            elif source.is_complete and tap.client_left_at is None and tap.incarnation not in self.killed_at:
                left = rpc.key in tap.stream_reset_at
                if not left and not stalled and not tap.outbound.broken:
                    self.report_violation(
                        "whole", f"{rpc.key}: came whole, and was broken off", *pipes, source.pipe
                    )
            elif self._was_ended_by_router(rpc, source) and not stalled:
                self.report_violation("whole", f"{rpc.key}: the router broke it off", *pipes, source.pipe)
        if source is not None:
            self._check_forwarding_delay(rpc, source)

    def _was_ended_by_router(self, rpc: Rpc, source: Attempt) -> bool:
        """Whether the router alone ended this stream: its engine was heard of, and its client was there."""
        tap, over = rpc.tap, source.ended_at
        if (
            over is None
            or not source.closed_by_router
            or not source.is_valid
            or tap.incarnation in self.killed_at
        ):
            return False
        if (tap.client_left_at is not None and tap.client_left_at <= over) or rpc.key in tap.stream_reset_at:
            return False
        heard = source.parts[-1][1] if source.parts else source.sent_at
        return over < heard + MIN_SERVER_SILENCE_S and not tap.outbound.broken

    def _check_forwarding_delay(self, rpc: Rpc, source: Attempt) -> None:
        passed, k, position = 0, -1, 0
        for part, arrived in source.parts:
            position += len(part)
            while passed < position:
                k += 1
                if k >= len(rpc.forwarded):
                    return
                passed += len(rpc.forwarded[k][0])
            written = rpc.forwarded[k][1]
            if written > arrived + MAX_FORWARDING_DELAY_S and not rpc.tap.outbound.was_full(arrived, written):
                late = written - arrived
                self.report_violation(
                    "at-once", f"{rpc.key}: an event held for {late:.3f} s", rpc.tap.outbound.name
                )
                return
