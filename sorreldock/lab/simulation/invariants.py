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
DRAIN_S = 0.25
AT_ONCE_S = 0.002
SLACK_S = 1e-6
SILENT_S, STANDS_STILL_S = 0.9, 5.0  # an engine silent for so long may be left; for so long, it must be
TAKEN_AFTER_STOP_S = 0.5
CROSSING_S = 0.02  # a request that arrives within this of the end of taking may find the door shut
SERVED = b"/v1/chat/completions"
MOST_VIOLATIONS = 20


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule seen broken, and where."""

    rule: str
    at_s: float
    text: str
    wires: tuple[str, ...] = ()


@dataclass(eq=False, slots=True)
class Attempt:
    """From the moment its last byte was written."""

    key: str
    router: str
    endpoint: str
    uid: str
    wire: str
    sent_at: float
    over_at: float | None = None
    left_by_router: bool = False  # who closed its connection before its end
    readable: bool = True  # as its protocol allows
    began: bool = False  # a stream, not an error
    whole: bool = False
    end: int = 0  # of a whole answer, its offset
    parts: list[tuple[bytes, float]] = field(default_factory=list)

    def data(self) -> bytes:
        return b"".join(part for part, _ in self.parts)


@dataclass(eq=False, slots=True)
class Rpc:
    """A request that has arrived whole at a router."""

    key: str
    tap: FrontTap
    arrived_at: float
    expires_in_s: float
    end: int  # its end's offset in the client's pipe
    newcomer: bool
    judged: bool = True
    first_at: float | None = None
    final_at: float | None = None
    served: bool = False  # ended as a whole answer
    begun: bool = False
    got: list[tuple[bytes, float]] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        return self.arrived_at + self.expires_in_s


class Judge:
    """Checks the rules against what is seen on the wires."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.violations: list[Violation] = []
        self.rpcs: list[Rpc] = []
        self.attempts: dict[str, list[Attempt]] = {}
        self.count = 0
        self.told: dict[tuple[str, str], float | None] = {}  # when (router, endpoint) was told to end
        self.uids: dict[tuple[str, str], str] = {}
        self.lives: dict[str, int] = {}  # how often each router has started
        self.stop_requested: dict[tuple[str, int], float] = {}
        self.killed: dict[tuple[str, int], float] = {}
        self.max_attempts = 2
        network.on_open, network.on_refused = self._opened, self._refused

    def violation(self, rule: str, text: str, *wires: str) -> None:
        assert rule in RULES, rule
        if len(self.violations) < MOST_VIOLATIONS:
            self.violations.append(Violation(rule, round(trio.current_time(), 6), text, wires))
            self.network.record(f"violation {rule} {text}")

    def _opened(self, dialling: VirtualSocket, taking: VirtualSocket) -> None:
        from .observers import tap  # the taps know the judge

        tap(self, dialling, taking)

    def _refused(self, src: Host, dst: Host) -> None:
        """Nobody listens there. A router told to stop takes newcomers for a while."""
        life = (dst.name, self.lives.get(dst.name, 0))
        stop = self.stop_requested.get(life)
        if stop is not None and life not in self.killed:
            since = trio.current_time() - stop
            if since < TAKEN_AFTER_STOP_S - CROSSING_S:
                self.violation(
                    "final", f"{dst.name} refused a newcomer {since:.3f} s after SIGTERM", src.name
                )

    # Lists.

    def list_given(self, router: str, targets: list[dict[str, str]], whole: bool) -> None:
        now = trio.current_time()
        listed = set()
        for target in targets:
            at = (router, str(target["endpoint"]))
            listed.add(at)
            if target["state"] == "Ready":
                self.told[at], self.uids[at] = None, str(target["uid"])
            elif self.uids.get(at, target["uid"]) == target["uid"] and self.told.get(at) is None:
                self.told[at], self.uids[at] = now, str(target["uid"])
        if whole:
            for at in self.told:
                if at[0] == router and at not in listed and self.told[at] is None:
                    self.told[at] = now

    # Attempts.

    def sent(self, key: str, router: str, endpoint: str, wire: str) -> Attempt:
        now = trio.current_time()
        at = (router, endpoint)
        attempt = Attempt(key, router, endpoint, self.uids.get(at, ""), wire, now)
        others = self.attempts.setdefault(key, [])
        self.count += 1
        self.network.record(f"attempt {key} {wire}")
        for other in others:
            if other.over_at is None:
                self.violation("overlap", f"{key}: a second attempt while one is out", other.wire, wire)
            if other.whole:
                self.violation("whole", f"{key}: came whole, and was asked for again", other.wire, wire)
            if other.router == router and other.endpoint == endpoint and other.uid == attempt.uid:
                self.violation("resent", f"{key}: sent to {endpoint} again", other.wire, wire)
        if len(others) >= self.max_attempts:
            self.violation("resent", f"{key}: attempt {len(others) + 1} of {self.max_attempts}", wire)
        told = self.told.get(at)
        if told is not None and now > told + DRAIN_S + SLACK_S:
            late = now - told
            self.violation("drain", f"{key}: sent {late:.3f} s after the notice to {endpoint}", wire)
        others.append(attempt)
        return attempt

    # At the end.

    def conclude(self) -> None:
        """Judge what the whole run shows; call once it has come to rest."""
        for rpc in self.rpcs:
            if not rpc.judged:
                continue
            self._answered(rpc)
            if rpc.got or rpc.served:
                self._passed_on(rpc)

    def _answered(self, rpc: Rpc) -> None:
        tap = rpc.tap
        gone = tap.left_at if tap.left_at is not None else float("inf")
        gone = min(gone, rpc.tap.stream_left.get(rpc.key, float("inf")))
        killed = self.killed.get(tap.life, float("inf"))
        blocked = tap.out.was_full(rpc.arrived_at, rpc.deadline)
        wires = (tap.incoming.name, tap.out.name)
        if rpc.first_at is not None:
            if rpc.first_at > rpc.deadline + SLACK_S and not blocked:
                late = rpc.first_at - rpc.deadline
                self.violation("in-time", f"{rpc.key}: answered {late:.3f} s after its deadline", *wires)
            closed = tap.closed_at if tap.closed_at is not None else float("inf")
            ended = min(gone, killed, closed)
            if rpc.final_at is None and ended == float("inf"):
                self.violation("rest", f"{rpc.key}: the answer never ended", *wires)
            elif rpc.final_at is None and rpc.got and not tap.out.was_full(rpc.arrived_at, float("inf")):
                stood = ended - rpc.got[-1][1]
                if stood > STANDS_STILL_S:
                    self.violation(
                        "rest", f"{rpc.key}: stood still for {stood:.1f} s, and was not ended", *wires
                    )
            return
        if min(gone, killed) <= rpc.deadline or blocked:
            return
        if tap.closed_at is not None and tap.incoming.bytes_read < rpc.end:
            stop = self.stop_requested.get(tap.life, float("inf"))
            crossed = rpc.arrived_at >= stop + TAKEN_AFTER_STOP_S - CROSSING_S
            if not rpc.newcomer or crossed:
                return
        if rpc.tap.refused(rpc):
            return
        self.violation("final", f"{rpc.key}: no answer", *wires)

    def _passed_on(self, rpc: Rpc) -> None:
        tap = rpc.tap
        wires = (tap.incoming.name, tap.out.name)
        got = b"".join(part for part, _ in rpc.got)
        attempts = self.attempts.get(rpc.key, [])
        if rpc.served:
            source = next((a for a in reversed(attempts) if a.whole and a.data() == got), None)
            if source is None:
                self.violation("unchanged", f"{rpc.key}: ended whole, unlike what any engine sent", *wires)
        else:
            source = next((a for a in reversed(attempts) if a.began and a.data().startswith(got)), None)
            stalled = tap.out.was_full(rpc.arrived_at, float("inf"))
            if source is None:
                self.violation("unchanged", f"{rpc.key}: not what an engine sent", *wires)
            elif source.whole and tap.left_at is None and tap.life not in self.killed:
                left = rpc.key in tap.stream_left
                if not left and not stalled and not tap.out.reset_by_reader:
                    self.violation("whole", f"{rpc.key}: came whole, and was broken off", *wires, source.wire)
            elif self._cut_short(rpc, source) and not stalled:
                self.violation("whole", f"{rpc.key}: the router broke it off", *wires, source.wire)
        if source is not None:
            self._at_once(rpc, source)

    def _cut_short(self, rpc: Rpc, source: Attempt) -> bool:
        """Whether the router alone ended this stream: its engine was heard of, and its client was there."""
        tap, over = rpc.tap, source.over_at
        if over is None or not source.left_by_router or not source.readable or tap.life in self.killed:
            return False
        if (tap.left_at is not None and tap.left_at <= over) or rpc.key in tap.stream_left:
            return False
        heard = source.parts[-1][1] if source.parts else source.sent_at
        return over < heard + SILENT_S and not tap.out.reset_by_reader

    def _at_once(self, rpc: Rpc, source: Attempt) -> None:
        passed, k, position = 0, -1, 0
        for part, arrived in source.parts:
            position += len(part)
            while passed < position:
                k += 1
                if k >= len(rpc.got):
                    return
                passed += len(rpc.got[k][0])
            written = rpc.got[k][1]
            if written > arrived + AT_ONCE_S and not rpc.tap.out.was_full(arrived, written):
                late = written - arrived
                self.violation("at-once", f"{rpc.key}: an event held for {late:.3f} s", rpc.tap.out.name)
                return
