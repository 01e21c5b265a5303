"""The rules as oracles: they see the wires, and nothing of what the router believes.

Four taps: requests as they arrive at a router and answers as it writes them; call attempts as it writes their
last byte and answers as they arrive and are read; and the list as discovery's lines arrive. A request's
deadline runs from the arrival of its last byte. All times are the world's.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from google.protobuf.message import DecodeError

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import parse_timeout
from .network import Host, Network, Pipe, VirtualSocket
from .readers import DATA, HEADERS, RESET, End, Frame, FrameReader, Head, HttpReader, NotReadable, Part

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
    def __init__(self, network: Network) -> None:
        self.network = network
        self.violations: list[Violation] = []
        self.rpcs: list[Rpc] = []
        self.attempts: dict[str, list[Attempt]] = {}
        self.count = 0
        self.told: dict[tuple[str, str], float | None] = {}  # when (router, endpoint) was told to end
        self.uids: dict[tuple[str, str], str] = {}
        self.lives: dict[str, int] = {}  # how often each router has started
        self.stop_asked: dict[tuple[str, int], float] = {}
        self.killed: dict[tuple[str, int], float] = {}
        self.max_attempts = 2
        network.on_open, network.on_refused = self._opened, self._refused

    def violation(self, rule: str, text: str, *wires: str) -> None:
        assert rule in RULES, rule
        if len(self.violations) < MOST_VIOLATIONS:
            self.violations.append(Violation(rule, round(trio.current_time(), 6), text, wires))
            self.network.record(f"violation {rule} {text}")

    def _opened(self, dialling: VirtualSocket, taking: VirtualSocket) -> None:
        src, dst = dialling.host.name, taking.host.name
        assert dialling.outbox is not None and dialling.inbox is not None
        if dst.startswith("r"):
            kind = HttpFrontTap if taking.name[1] == 8080 else H2FrontTap
            kind(self, dst, dialling.outbox, dialling.inbox)
        elif src.startswith("r") and dst.startswith("e"):
            EngineTap(self, src, f"{taking.name[0]}:{taking.name[1]}", dialling.outbox, dialling.inbox)
        elif src.startswith("r") and dst.startswith("d"):
            ListTap(self, src, dialling.inbox)

    def _refused(self, src: Host, dst: Host) -> None:
        """Nobody listens there. A router told to stop takes newcomers for a while."""
        life = (dst.name, self.lives.get(dst.name, 0))
        stop = self.stop_asked.get(life)
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
        if tap.closed_at is not None and tap.incoming.read < rpc.end:
            stop = self.stop_asked.get(tap.life, float("inf"))
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
                if not left and not stalled and not tap.out.broken:
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
        return over < heard + SILENT_S and not tap.out.broken

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


class FrontTap:
    """A client's connection to a router."""

    def __init__(self, judge: Judge, router: str, incoming: Pipe, out: Pipe) -> None:
        self.judge, self.router, self.incoming, self.out = judge, router, incoming, out
        self.life = (router, judge.lives.get(router, 0))
        self.left_at: float | None = None
        self.closed_at: float | None = None
        self.spoilt = False  # the client writes what is no request
        self.stream_left: dict[str, float] = {}
        incoming.on_arrive, out.on_write, out.on_closed = self._arrived, self._written, self._closed
        incoming.on_end.append(self._left)

    def _left(self, how: str) -> None:
        if self.left_at is None:
            self.left_at = trio.current_time()

    def _closed(self) -> None:
        self.closed_at = trio.current_time()

    def _arrived(self, data: bytes) -> None:
        if not self.spoilt:
            try:
                self.requests(data)
            except NotReadable:
                self.spoilt = True

    def _written(self, data: bytes) -> None:
        try:
            self.answers(data)
        except NotReadable as error:
            self.judge.violation("unchanged", f"a malformed answer: {error}", self.out.name)

    def requests(self, data: bytes) -> None:
        raise NotImplementedError

    def answers(self, data: bytes) -> None:
        raise NotImplementedError

    def refused(self, rpc: Rpc) -> bool:
        """Whether the protocol itself said that the request was not taken."""
        return False

    def _add(self, rpc: Rpc) -> Rpc:
        self.judge.rpcs.append(rpc)
        self.judge.network.record(f"request {rpc.key} {self.incoming.name}")
        return rpc


class HttpFrontTap(FrontTap):
    def __init__(self, judge: Judge, router: str, incoming: Pipe, out: Pipe) -> None:
        super().__init__(judge, router, incoming, out)
        self._requests, self._answers = HttpReader(answers=False), HttpReader(answers=True)
        self._head: Head | None = None
        self._open: Rpc | None = None
        self._count = 0

    def requests(self, data: bytes) -> None:
        for item in self._requests.feed(data):
            if isinstance(item, Head):
                self._head = item
            elif isinstance(item, End):
                assert self._head is not None
                self._request(self._head, item.end)

    def _request(self, head: Head, end: int) -> None:
        path = head.start.split(b" ")[1].partition(b"?")[0]
        key = head.fields.get(b"x-trace-id", b"").decode()
        expires = head.fields.get(b"x-expires-in", b"")
        if path != SERVED or not key or not expires.endswith(b"u"):
            self.spoilt = True
            return
        seconds = int(expires[:-1]) * 1e-6
        rpc = Rpc(key, self, trio.current_time(), seconds, end, self._count == 0)
        self._count += 1
        if self._open is not None and self._open.final_at is None:  # sent before the answer had ended
            rpc.judged = False
        self._open = self._add(rpc)

    def answers(self, data: bytes) -> None:
        now = trio.current_time()
        for item in self._answers.feed(data):
            rpc = self._open
            if rpc is None or rpc.final_at is not None:
                if not self.spoilt and self._requests.between and isinstance(item, Head):
                    self.judge.violation("final", "an answer that no request asked for", self.out.name)
                return
            if isinstance(item, Head):
                rpc.first_at = now
                rpc.begun = item.start.split(b" ")[1] == b"200"
            elif isinstance(item, Part):
                if rpc.begun:
                    rpc.got.append((item.data, now))
            else:
                rpc.final_at = now
                rpc.served = rpc.begun


class H2FrontTap(FrontTap):
    def __init__(self, judge: Judge, router: str, incoming: Pipe, out: Pipe) -> None:
        super().__init__(judge, router, incoming, out)
        self._requests, self._answers = FrameReader(preface=True), FrameReader(preface=False)
        self._fields: dict[int, dict[str, str]] = {}
        self._messages: dict[int, bytearray] = {}
        self._open: dict[int, Rpc] = {}
        self._refused: set[str] = set()

    def refused(self, rpc: Rpc) -> bool:
        return rpc.key in self._refused

    def requests(self, data: bytes) -> None:
        for frame in self._requests.feed(data):
            if frame.kind == HEADERS:
                self._fields[frame.stream] = self._requests.fields(frame)
                self._messages[frame.stream] = bytearray()
            elif frame.kind == DATA and frame.stream in self._messages:
                self._messages[frame.stream] += frame.data()
            elif frame.kind == RESET and frame.stream in self._open:
                self.stream_left.setdefault(self._open[frame.stream].key, trio.current_time())
            if frame.ends and frame.stream in self._messages:
                self._request(frame.stream, frame.end)

    def _request(self, stream: int, end: int) -> None:
        fields, message = self._fields[stream], bytes(self._messages.pop(stream))
        if not fields.get(":path", "").endswith("Infer"):
            return
        key = key_of(message) or fields.get("sorreldock-request-id", "")
        now = trio.current_time()
        left = parse_timeout(fields.get("grpc-timeout", "10S"))
        rpc = Rpc(key, self, now, left, end, not self._open, judged=bool(key))
        self._open[stream] = self._add(rpc)

    def answers(self, data: bytes) -> None:
        now = trio.current_time()
        for frame in self._answers.feed(data):
            fields = self._answers.fields(frame) if frame.kind == HEADERS else {}
            rpc = self._open.get(frame.stream)
            if rpc is None:
                continue
            if frame.kind == RESET:
                if rpc.first_at is None:
                    self._refused.add(rpc.key)
                if rpc.final_at is None:
                    rpc.first_at, rpc.final_at = rpc.first_at or now, now
                continue
            if frame.kind not in (HEADERS, DATA):
                continue
            if rpc.final_at is not None:
                self.judge.violation("final", f"{rpc.key}: more after its final answer", self.out.name)
                continue
            rpc.first_at = rpc.first_at or now
            if frame.kind == DATA and frame.body:
                rpc.begun = True
                rpc.got.append((frame.data(), now))
            if frame.ends:
                rpc.final_at = now
                rpc.served = fields.get("grpc-status") == "0" and rpc.begun


class EngineTap:
    """A router's connection to an engine."""

    def __init__(self, judge: Judge, router: str, endpoint: str, out: Pipe, back: Pipe) -> None:
        self.judge, self.router, self.endpoint, self.out, self.back = judge, router, endpoint, out, back
        self._http: tuple[HttpReader, HttpReader] | None = None
        self._h2: tuple[FrameReader, FrameReader] | None = None
        self._key, self._head = "", Head(b"", {}, 0)
        self._streams: dict[int, Attempt] = {}
        self._messages: dict[int, bytearray] = {}
        self._current: Attempt | None = None
        self._unreadable = False
        self._first = b""
        out.on_write, back.on_arrive, out.on_closed = self._written, self._arrived, self._closed
        back.on_read_end = self._over
        back.on_end.append(self._ended)

    def _ended(self, how: str) -> None:
        if self.back.dropped:  # what the router can't have read, it can't pass on
            for attempt in [*self._streams.values(), *([self._current] if self._current else [])]:
                attempt.whole = attempt.whole and attempt.end <= self.back.read

    def _closed(self) -> None:
        for attempt in [*self._streams.values(), *([self._current] if self._current else [])]:
            if attempt.over_at is None:
                attempt.left_by_router = not (self.back.fin or self.back.reset)
                if self._http is not None:
                    readable = all(is_event_stream(part) for part, _ in attempt.parts)
                else:
                    readable = is_framed(attempt.data(), whole=False)
                attempt.readable = readable and not self._unreadable
        self._over()

    def _over(self) -> None:
        for attempt in [*self._streams.values(), *([self._current] if self._current else [])]:
            end(attempt)

    def _written(self, data: bytes) -> None:
        if self._http is None and self._h2 is None:
            data = self._first + data
            if data == b"P":  # of POST, or of the preface
                self._first = data
                return
            if data.startswith(b"PR"):
                self._h2 = FrameReader(preface=True), FrameReader(preface=False)
            else:
                self._http = HttpReader(answers=False), HttpReader(answers=True)
        try:
            if self._http is not None:
                self._http_request(self._http[0], data)
            elif self._h2 is not None:
                self._h2_request(self._h2[0], data)
        except NotReadable as error:
            self.judge.violation("unchanged", f"a malformed request to an engine: {error}", self.out.name)

    def _http_request(self, reader: HttpReader, data: bytes) -> None:
        for item in reader.feed(data):
            if isinstance(item, Head):
                self._head = item
            elif isinstance(item, End):
                key = self._head.fields.get(b"x-trace-id", b"").decode()
                self._current = self._sent(key) if key else None

    def _sent(self, key: str) -> Attempt:
        return self.judge.sent(key, self.router, self.endpoint, self.out.name)

    def _h2_request(self, reader: FrameReader, data: bytes) -> None:
        for frame in reader.feed(data):
            if frame.kind == HEADERS:
                infer = reader.fields(frame).get(":path", "").endswith("Infer")
                if infer:
                    self._messages[frame.stream] = bytearray()
            elif frame.kind == DATA and frame.stream in self._messages:
                self._messages[frame.stream] += frame.data()
            elif frame.kind == RESET and frame.stream in self._streams:
                end(self._streams.pop(frame.stream))
            if frame.ends and frame.stream in self._messages:
                message = bytes(self._messages.pop(frame.stream))
                self._streams[frame.stream] = self._sent(key_of(message))

    def _arrived(self, data: bytes) -> None:
        if self._unreadable:
            return
        try:
            if self._http is not None:
                self._http_answer(self._http[1], data)
            elif self._h2 is not None:
                for frame in self._h2[1].feed(data):
                    self._h2_answer(self._h2[1], frame)
        except NotReadable:
            self._unreadable = True  # an engine may write anything; the router breaks such a stream off

    def _http_answer(self, reader: HttpReader, data: bytes) -> None:
        now = trio.current_time()
        for item in reader.feed(data):
            attempt = self._current
            if attempt is None or attempt.over_at is not None or attempt.whole:
                continue
            if isinstance(item, Head):
                attempt.began = item.start.split(b" ")[1] == b"200"
            elif isinstance(item, Part):
                if attempt.began:
                    attempt.parts.append((item.data, now))
            else:
                attempt.whole = attempt.began and all(map(is_event_stream, (p for p, _ in attempt.parts)))
                attempt.end = item.end
                self.back.when_read(item.end, ending(attempt))

    def _h2_answer(self, reader: FrameReader, frame: Frame) -> None:
        fields = reader.fields(frame) if frame.kind == HEADERS else {}
        attempt = self._streams.get(frame.stream)
        if attempt is None or attempt.whole:
            return
        if frame.kind == DATA and frame.body:
            attempt.began = True
            attempt.parts.append((frame.data(), trio.current_time()))
        if frame.ends or frame.kind == RESET:
            attempt.whole = fields.get("grpc-status") == "0" and is_framed(attempt.data(), whole=True)
            attempt.end = frame.end
            self.back.when_read(frame.end, ending(attempt))


def is_framed(data: bytes, whole: bool) -> bool:
    """Whether this is gRPC's framing, uncompressed, and at its end if it should be."""
    while len(data) >= 5:
        if data[0]:
            return False
        length = 5 + int.from_bytes(data[1:5], "big")
        if len(data) < length:
            return not whole
        data = data[length:]
    return not data or not whole


def is_event_stream(part: bytes) -> bool:
    return all(line[:5] in (b"data:", b"") or line[:1] == b":" for line in part.split(b"\n"))


def end(attempt: Attempt) -> None:
    if attempt.over_at is None:
        attempt.over_at = trio.current_time()


def ending(attempt: Attempt) -> Callable[[], None]:
    return lambda: end(attempt)


def key_of(message: bytes) -> str:
    """The id within a framed ModelInferRequest."""
    try:
        return pb.ModelInferRequest.FromString(message[5:]).id
    except DecodeError:
        return ""


class ListTap:
    """A router's watch on discovery."""

    def __init__(self, judge: Judge, router: str, back: Pipe) -> None:
        self.judge, self.router = judge, router
        self._reader = HttpReader(answers=True)
        self._rest = b""
        self._unreadable = False
        back.on_arrive = self._arrived

    def _arrived(self, data: bytes) -> None:
        if self._unreadable:
            return
        try:
            for item in self._reader.feed(data):
                if isinstance(item, Part):
                    *lines, self._rest = (self._rest + item.data).split(b"\n")
                    for line in filter(bytes.strip, lines):
                        self._line(line)
        except NotReadable:
            self._unreadable = True

    def _line(self, line: bytes) -> None:
        try:
            raw = json.loads(line)
            int(raw["rev"])
            targets = [
                {name: str(entry[name]) for name in ("uid", "endpoint", "state")} for entry in raw["targets"]
            ]
        except (ValueError, LookupError, TypeError):
            self._unreadable = True  # the router drops such a watch, and asks anew
            return
        self.judge.list_given(self.router, targets, bool(raw.get("all")))
