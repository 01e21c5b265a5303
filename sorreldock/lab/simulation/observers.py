"""Taps: what the oracles see of a connection, from its bytes as they are written, arrive and are read."""

from __future__ import annotations

import json
from collections.abc import Callable

import trio
from google.protobuf.message import DecodeError

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import parse_timeout
from .invariants import SERVED, Attempt, Judge, Rpc
from .network import Pipe, VirtualSocket
from .readers import DATA, HEADERS, RST_STREAM, End, Frame, FrameReader, Head, HttpReader, ParseError, Part


def tap(judge: Judge, dialling: VirtualSocket, taking: VirtualSocket) -> None:
    """Listen to a new connection, as its machines' names ask."""
    src, dst = dialling.host.name, taking.host.name
    assert dialling.outbox is not None and dialling.inbox is not None
    if dst.startswith("r"):
        kind = HttpFrontTap if taking.local_address[1] == 8080 else H2FrontTap
        kind(judge, dst, dialling.outbox, dialling.inbox)
    elif src.startswith("r") and dst.startswith("e"):
        EngineTap(
            judge,
            src,
            f"{taking.local_address[0]}:{taking.local_address[1]}",
            dialling.outbox,
            dialling.inbox,
        )
    elif src.startswith("r") and dst.startswith("d"):
        ListTap(judge, src, dialling.inbox)


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
            except ParseError:
                self.spoilt = True

    def _written(self, data: bytes) -> None:
        try:
            self.answers(data)
        except ParseError as error:
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
    """Watches one client connection of the HTTP/1.1 front."""

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
        path = head.start_line.split(b" ")[1].partition(b"?")[0]
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
                if not self.spoilt and self._requests.is_between_messages and isinstance(item, Head):
                    self.judge.violation("final", "an answer that no request asked for", self.out.name)
                return
            if isinstance(item, Head):
                rpc.first_at = now
                rpc.begun = item.start_line.split(b" ")[1] == b"200"
            elif isinstance(item, Part):
                if rpc.begun:
                    rpc.got.append((item.data, now))
            else:
                rpc.final_at = now
                rpc.served = rpc.begun


class H2FrontTap(FrontTap):
    """Watches one client connection of the gRPC front."""

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
                self._fields[frame.stream] = self._requests.decode_fields(frame)
                self._messages[frame.stream] = bytearray()
            elif frame.kind == DATA and frame.stream in self._messages:
                self._messages[frame.stream] += frame.data()
            elif frame.kind == RST_STREAM and frame.stream in self._open:
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
            fields = self._answers.decode_fields(frame) if frame.kind == HEADERS else {}
            rpc = self._open.get(frame.stream)
            if rpc is None:
                continue
            if frame.kind == RST_STREAM:
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
        if self.back.unread_discarded:  # what the router can't have read, it can't pass on
            for attempt in [*self._streams.values(), *([self._current] if self._current else [])]:
                attempt.whole = attempt.whole and attempt.end <= self.back.bytes_read

    def _closed(self) -> None:
        for attempt in [*self._streams.values(), *([self._current] if self._current else [])]:
            if attempt.over_at is None:
                attempt.left_by_router = not (self.back.got_fin or self.back.got_reset)
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
        except ParseError as error:
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
                infer = reader.decode_fields(frame).get(":path", "").endswith("Infer")
                if infer:
                    self._messages[frame.stream] = bytearray()
            elif frame.kind == DATA and frame.stream in self._messages:
                self._messages[frame.stream] += frame.data()
            elif frame.kind == RST_STREAM and frame.stream in self._streams:
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
        except ParseError:
            self._unreadable = True  # an engine may write anything; the router breaks such a stream off

    def _http_answer(self, reader: HttpReader, data: bytes) -> None:
        now = trio.current_time()
        for item in reader.feed(data):
            attempt = self._current
            if attempt is None or attempt.over_at is not None or attempt.whole:
                continue
            if isinstance(item, Head):
                attempt.began = item.start_line.split(b" ")[1] == b"200"
            elif isinstance(item, Part):
                if attempt.began:
                    attempt.parts.append((item.data, now))
            else:
                attempt.whole = attempt.began and all(map(is_event_stream, (p for p, _ in attempt.parts)))
                attempt.end = item.end
                self.back.call_when_read(item.end, ending(attempt))

    def _h2_answer(self, reader: FrameReader, frame: Frame) -> None:
        fields = reader.decode_fields(frame) if frame.kind == HEADERS else {}
        attempt = self._streams.get(frame.stream)
        if attempt is None or attempt.whole:
            return
        if frame.kind == DATA and frame.body:
            attempt.began = True
            attempt.parts.append((frame.data(), trio.current_time()))
        if frame.ends or frame.kind == RST_STREAM:
            attempt.whole = fields.get("grpc-status") == "0" and is_framed(attempt.data(), whole=True)
            attempt.end = frame.end
            self.back.call_when_read(frame.end, ending(attempt))


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
        except ParseError:
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
