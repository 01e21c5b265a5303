"""Taps, which observe connections for the invariants: bytes as they are written, arrive and are read."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial

import trio
from google.protobuf.message import DecodeError

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import parse_timeout
from .invariants import SERVED_PATH, Attempt, InvariantChecker, Rpc
from .network import Pipe, VirtualSocket
from .readers import DATA, HEADERS, RST_STREAM, End, Frame, FrameReader, Head, HttpReader, ParseError, Part


def observe(checker: InvariantChecker) -> None:
    """Let the checker see the traffic of all connections that are opened from now on."""
    checker.network.on_open = partial(attach_tap, checker)


def attach_tap(checker: InvariantChecker, client_socket: VirtualSocket, server_socket: VirtualSocket) -> None:
    """Observe a new connection with the tap that its hosts' names call for; others are not observed."""
    src, dst = client_socket.host.name, server_socket.host.name
    assert client_socket.outbox is not None and client_socket.inbox is not None
    if dst.startswith("r"):
        tap_class = HttpFrontTap if server_socket.local_address[1] == 8080 else H2FrontTap
        tap_class(checker, dst, client_socket.outbox, client_socket.inbox)
    elif src.startswith("r") and dst.startswith("e"):
        ServerTap(
            checker,
            src,
            f"{server_socket.local_address[0]}:{server_socket.local_address[1]}",
            client_socket.outbox,
            client_socket.inbox,
        )
    elif src.startswith("r") and dst.startswith("d"):
        DiscoveryTap(checker, src, client_socket.inbox)


class FrontTap:
    """A tap on a client's connection to a router."""

    def __init__(self, checker: InvariantChecker, router: str, inbound: Pipe, outbound: Pipe) -> None:
        self.checker, self.router, self.inbound, self.outbound = checker, router, inbound, outbound
        self.incarnation = (router, checker.incarnations.get(router, 0))
        self.client_left_at: float | None = None
        self.router_closed_at: float | None = None
        self.is_invalid = False  # the client has sent something that is not a request
        self.stream_reset_at: dict[str, float] = {}
        inbound.on_arrive, outbound.on_write, outbound.on_closed = (
            self._on_arrive,
            self._on_write,
            self._on_close,
        )
        inbound.on_end.append(self._on_client_end)

    def _on_client_end(self, how: str) -> None:
        if self.client_left_at is None:
            self.client_left_at = trio.current_time()

    def _on_close(self) -> None:
        self.router_closed_at = trio.current_time()

    def _on_arrive(self, data: bytes) -> None:
        if not self.is_invalid:
            try:
                self.read_requests(data)
            except ParseError:
                self.is_invalid = True

    def _on_write(self, data: bytes) -> None:
        try:
            self.read_answers(data)
        except ParseError as error:
            self.checker.report_violation("unchanged", f"a malformed answer: {error}", self.outbound.name)

    def read_requests(self, data: bytes) -> None:
        """Parse bytes that have arrived from the client, and record complete requests."""
        raise NotImplementedError

    def read_answers(self, data: bytes) -> None:
        """Parse bytes that the router has written to the client, and record them with their requests."""
        raise NotImplementedError

    def was_refused(self, rpc: Rpc) -> bool:
        """Return whether the router refused the request by means of the protocol, without an answer."""
        return False

    def _add_rpc(self, rpc: Rpc) -> Rpc:
        self.checker.rpcs.append(rpc)
        self.checker.network.record(f"request {rpc.key} {self.inbound.name}")
        return rpc


class HttpFrontTap(FrontTap):
    """A tap on a client connection of the HTTP/1.1 front."""

    def __init__(self, checker: InvariantChecker, router: str, inbound: Pipe, outbound: Pipe) -> None:
        super().__init__(checker, router, inbound, outbound)
        self._request_reader, self._answer_reader = (HttpReader(answers=False), HttpReader(answers=True))
        self._head: Head | None = None
        self._open_rpc: Rpc | None = None
        self._request_count = 0

    def read_requests(self, data: bytes) -> None:
        for item in self._request_reader.feed(data):
            if isinstance(item, Head):
                self._head = item
            elif isinstance(item, End):
                assert self._head is not None
                self._handle_request(self._head, item.end)

    def _handle_request(self, head: Head, end: int) -> None:
        path = head.start_line.split(b" ")[1].partition(b"?")[0]
        key = head.fields.get(b"x-trace-id", b"").decode()
        expires = head.fields.get(b"x-expires-in", b"")
        if path != SERVED_PATH or not key or not expires.endswith(b"u"):
            self.is_invalid = True
            return
        timeout_s = int(expires[:-1]) * 1e-6
        rpc = Rpc(key, self, trio.current_time(), timeout_s, end, self._request_count == 0)
        self._request_count += 1
        if self._open_rpc is not None and self._open_rpc.final_at is None:  # sent before the answer had ended
            rpc.is_checked = False
        self._open_rpc = self._add_rpc(rpc)

    def read_answers(self, data: bytes) -> None:
        now = trio.current_time()
        for item in self._answer_reader.feed(data):
            rpc = self._open_rpc
            if rpc is None or rpc.final_at is not None:
                if (
                    not self.is_invalid
                    and self._request_reader.is_between_messages
                    and isinstance(item, Head)
                ):
                    self.checker.report_violation(
                        "final", "an answer that no request asked for", self.outbound.name
                    )
                return
            if isinstance(item, Head):
                rpc.first_byte_at = now
                rpc.has_started = item.start_line.split(b" ")[1] == b"200"
            elif isinstance(item, Part):
                if rpc.has_started:
                    rpc.forwarded.append((item.data, now))
            else:
                rpc.final_at = now
                rpc.is_served = rpc.has_started


class H2FrontTap(FrontTap):
    """A tap on a client connection of the gRPC front."""

    def __init__(self, checker: InvariantChecker, router: str, inbound: Pipe, outbound: Pipe) -> None:
        super().__init__(checker, router, inbound, outbound)
        self._request_reader, self._answer_reader = FrameReader(preface=True), FrameReader(preface=False)
        self._fields: dict[int, dict[str, str]] = {}
        self._messages: dict[int, bytearray] = {}
        self._open_rpcs: dict[int, Rpc] = {}
        self._refused_keys: set[str] = set()

    def was_refused(self, rpc: Rpc) -> bool:
        return rpc.key in self._refused_keys

    def read_requests(self, data: bytes) -> None:
        for frame in self._request_reader.feed(data):
            if frame.kind == HEADERS:
                self._fields[frame.stream] = self._request_reader.decode_fields(frame)
                self._messages[frame.stream] = bytearray()
            elif frame.kind == DATA and frame.stream in self._messages:
                self._messages[frame.stream] += frame.data()
            elif frame.kind == RST_STREAM and frame.stream in self._open_rpcs:
                self.stream_reset_at.setdefault(self._open_rpcs[frame.stream].key, trio.current_time())
            if frame.ends and frame.stream in self._messages:
                self._handle_request(frame.stream, frame.end)

    def _handle_request(self, stream: int, end: int) -> None:
        fields, message = self._fields[stream], bytes(self._messages.pop(stream))
        if not fields.get(":path", "").endswith("Infer"):
            return
        key = request_id_of(message) or fields.get("sorreldock-request-id", "")
        now = trio.current_time()
        timeout_s = parse_timeout(fields.get("grpc-timeout", "10S"))
        rpc = Rpc(key, self, now, timeout_s, end, not self._open_rpcs, is_checked=bool(key))
        self._open_rpcs[stream] = self._add_rpc(rpc)

    def read_answers(self, data: bytes) -> None:
        now = trio.current_time()
        for frame in self._answer_reader.feed(data):
            fields = self._answer_reader.decode_fields(frame) if frame.kind == HEADERS else {}
            rpc = self._open_rpcs.get(frame.stream)
            if rpc is None:
                continue
            if frame.kind == RST_STREAM:
                if rpc.first_byte_at is None:
                    self._refused_keys.add(rpc.key)
                if rpc.final_at is None:
                    rpc.first_byte_at, rpc.final_at = rpc.first_byte_at or now, now
                continue
            if frame.kind not in (HEADERS, DATA):
                continue
            if rpc.final_at is not None:
                self.checker.report_violation(
                    "final", f"{rpc.key}: more after its final answer", self.outbound.name
                )
                continue
            rpc.first_byte_at = rpc.first_byte_at or now
            if frame.kind == DATA and frame.body:
                rpc.has_started = True
                rpc.forwarded.append((frame.data(), now))
            if frame.ends:
                rpc.final_at = now
                rpc.is_served = fields.get("grpc-status") == "0" and rpc.has_started


class ServerTap:
    """A tap on a router's connection to a server."""

    def __init__(
        self, checker: InvariantChecker, router: str, endpoint: str, outbound: Pipe, inbound: Pipe
    ) -> None:
        self.checker, self.router, self.endpoint, self.outbound, self.inbound = (
            checker,
            router,
            endpoint,
            outbound,
            inbound,
        )
        self._http_readers: tuple[HttpReader, HttpReader] | None = None
        self._h2_readers: tuple[FrameReader, FrameReader] | None = None
        self._key, self._head = "", Head(b"", {}, 0)
        self._streams: dict[int, Attempt] = {}
        self._messages: dict[int, bytearray] = {}
        self._current_attempt: Attempt | None = None
        self._is_unreadable = False
        self._first_bytes = b""
        outbound.on_write, inbound.on_arrive, outbound.on_closed = (
            self._on_write,
            self._on_arrive,
            self._on_close,
        )
        inbound.on_read_end = self._mark_all_ended
        inbound.on_end.append(self._on_end)

    def _on_end(self, how: str) -> None:
        if self.inbound.unread_discarded:  # the router can't forward what it can't have read
            for attempt in [
                *self._streams.values(),
                *([self._current_attempt] if self._current_attempt else []),
            ]:
                attempt.is_complete = attempt.is_complete and attempt.end_offset <= self.inbound.bytes_read

    def _on_close(self) -> None:
        for attempt in [*self._streams.values(), *([self._current_attempt] if self._current_attempt else [])]:
            if attempt.ended_at is None:
                attempt.closed_by_router = not (self.inbound.got_fin or self.inbound.got_reset)
                if self._http_readers is not None:
                    is_valid = all(is_event_stream(part) for part, _ in attempt.parts)
                else:
                    is_valid = is_grpc_framing(attempt.data(), is_complete=False)
                attempt.is_valid = is_valid and not self._is_unreadable
        self._mark_all_ended()

    def _mark_all_ended(self) -> None:
        for attempt in [*self._streams.values(), *([self._current_attempt] if self._current_attempt else [])]:
            mark_ended(attempt)

    def _on_write(self, data: bytes) -> None:
        if self._http_readers is None and self._h2_readers is None:
            data = self._first_bytes + data
            if data == b"P":  # the first byte of POST, or of the HTTP/2 preface
                self._first_bytes = data
                return
            if data.startswith(b"PR"):
                self._h2_readers = FrameReader(preface=True), FrameReader(preface=False)
            else:
                self._http_readers = HttpReader(answers=False), HttpReader(answers=True)
        try:
            if self._http_readers is not None:
                self._read_http_request(self._http_readers[0], data)
            elif self._h2_readers is not None:
                self._read_h2_request(self._h2_readers[0], data)
        except ParseError as error:
            self.checker.report_violation(
                "unchanged", f"a malformed request to an engine: {error}", self.outbound.name
            )

    def _read_http_request(self, reader: HttpReader, data: bytes) -> None:
        for item in reader.feed(data):
            if isinstance(item, Head):
                self._head = item
            elif isinstance(item, End):
                key = self._head.fields.get(b"x-trace-id", b"").decode()
                self._current_attempt = self._record_attempt(key) if key else None

    def _record_attempt(self, key: str) -> Attempt:
        return self.checker.record_attempt(key, self.router, self.endpoint, self.outbound.name)

    def _read_h2_request(self, reader: FrameReader, data: bytes) -> None:
        for frame in reader.feed(data):
            if frame.kind == HEADERS:
                is_infer = reader.decode_fields(frame).get(":path", "").endswith("Infer")
                if is_infer:
                    self._messages[frame.stream] = bytearray()
            elif frame.kind == DATA and frame.stream in self._messages:
                self._messages[frame.stream] += frame.data()
            elif frame.kind == RST_STREAM and frame.stream in self._streams:
                mark_ended(self._streams.pop(frame.stream))
            if frame.ends and frame.stream in self._messages:
                message = bytes(self._messages.pop(frame.stream))
                self._streams[frame.stream] = self._record_attempt(request_id_of(message))

    def _on_arrive(self, data: bytes) -> None:
        if self._is_unreadable:
            return
        try:
            if self._http_readers is not None:
                self._read_http_answer(self._http_readers[1], data)
            elif self._h2_readers is not None:
                for frame in self._h2_readers[1].feed(data):
                    self._read_h2_answer(self._h2_readers[1], frame)
        except ParseError:
            self._is_unreadable = True  # a server may send anything; the router aborts such a stream

    def _read_http_answer(self, reader: HttpReader, data: bytes) -> None:
        now = trio.current_time()
        for item in reader.feed(data):
            attempt = self._current_attempt
            if attempt is None or attempt.ended_at is not None or attempt.is_complete:
                continue
            if isinstance(item, Head):
                attempt.has_started = item.start_line.split(b" ")[1] == b"200"
            elif isinstance(item, Part):
                if attempt.has_started:
                    attempt.parts.append((item.data, now))
            else:
                attempt.is_complete = attempt.has_started and all(
                    map(is_event_stream, (p for p, _ in attempt.parts))
                )
                attempt.end_offset = item.end
                self.inbound.call_when_read(item.end, end_marker(attempt))

    def _read_h2_answer(self, reader: FrameReader, frame: Frame) -> None:
        fields = reader.decode_fields(frame) if frame.kind == HEADERS else {}
        attempt = self._streams.get(frame.stream)
        if attempt is None or attempt.is_complete:
            return
        if frame.kind == DATA and frame.body:
            attempt.has_started = True
            attempt.parts.append((frame.data(), trio.current_time()))
        if frame.ends or frame.kind == RST_STREAM:
            attempt.is_complete = fields.get("grpc-status") == "0" and is_grpc_framing(
                attempt.data(), is_complete=True
            )
            attempt.end_offset = frame.end
            self.inbound.call_when_read(frame.end, end_marker(attempt))


def is_grpc_framing(data: bytes, is_complete: bool) -> bool:
    """Return whether data are uncompressed gRPC messages; `is_complete`: the last one has to be complete."""
    while len(data) >= 5:
        if data[0]:
            return False
        length = 5 + int.from_bytes(data[1:5], "big")
        if len(data) < length:
            return not is_complete
        data = data[length:]
    return not data or not is_complete


def is_event_stream(part: bytes) -> bool:
    """Return whether a part of a body has only data, comment and empty lines."""
    return all(line[:5] in (b"data:", b"") or line[:1] == b":" for line in part.split(b"\n"))


def mark_ended(attempt: Attempt) -> None:
    if attempt.ended_at is None:
        attempt.ended_at = trio.current_time()


def end_marker(attempt: Attempt) -> Callable[[], None]:
    return lambda: mark_ended(attempt)


def request_id_of(message: bytes) -> str:
    """Return the id in a framed ModelInferRequest, or an empty string if it can't be decoded."""
    try:
        return pb.ModelInferRequest.FromString(message[5:]).id
    except DecodeError:
        return ""


class DiscoveryTap:
    """A tap on a router's watch of the target list."""

    def __init__(self, checker: InvariantChecker, router: str, inbound: Pipe) -> None:
        self.checker, self.router = checker, router
        self._reader = HttpReader(answers=True)
        self._partial_line = b""
        self._is_unreadable = False
        inbound.on_arrive = self._on_arrive

    def _on_arrive(self, data: bytes) -> None:
        if self._is_unreadable:
            return
        try:
            for item in self._reader.feed(data):
                if isinstance(item, Part):
                    *complete_lines, self._partial_line = (self._partial_line + item.data).split(b"\n")
                    for line in filter(bytes.strip, complete_lines):
                        self._handle_line(line)
        except ParseError:
            self._is_unreadable = True

    def _handle_line(self, line: bytes) -> None:
        try:
            update = json.loads(line)
            int(update["rev"])
            targets = [
                {name: str(entry[name]) for name in ("uid", "endpoint", "state")}
                for entry in update["targets"]
            ]
        except (ValueError, LookupError, TypeError):
            self._is_unreadable = True  # the router closes such a watch and opens a new one
            return
        self.checker.record_targets(self.router, targets, bool(update.get("all")))
