"""KServe v2 over gRPC, as a client: many calls on one HTTP/2 connection (h2)."""

from __future__ import annotations

import struct
from collections.abc import Callable
from contextlib import suppress

import anyio
import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from google.protobuf.message import DecodeError

from ..kserve import kserve_pb2 as pb
from ..kserve.framing import (
    MAX_HEADER_LIST_BYTES,
    SERVICE,
    Code,
    Deframer,
    GoAway,
    GoAwayFilter,
    GrpcError,
    format_timeout,
    frame,
    status_of,
)
from .policy.outcome import Kind, Outcome
from .policy.refusal import pushback
from .sockets import ConnectionLost, Socket
from .types import Request
from .wire import Exchange, Line, Mark

MOST_STREAMS = 32  # calls on a connection: enough to need few, and few enough to lose
WINDOW = 4 * 1024 * 1024  # of the connection: a slow reader of one answer must not stop the others
AT_FAULT = {
    Code.INVALID_ARGUMENT,
    Code.NOT_FOUND,
    Code.ALREADY_EXISTS,
    Code.FAILED_PRECONDITION,
    Code.UNIMPLEMENTED,
}


def message_for(request: Request, body: bytes, name: str) -> bytes:
    """A ModelInferRequest with the body as its one BYTES element (length first, as KServe's page on binary
    tensors has it).
    """
    tensor = pb.ModelInferRequest.InferInputTensor(name="text", datatype="BYTES", shape=[1])
    raw = struct.pack("<I", len(body)) + body
    return pb.ModelInferRequest(
        model_name=request.model, id=name, inputs=[tensor], raw_input_contents=[raw]
    ).SerializeToString()


def outcome_of_status(code: int, message: str, trailers: dict[str, str]) -> Outcome:
    """What a status other than OK, before the first message, means (the router's table; gRFC A6)."""
    said = f"grpc-status {code}: {message}" if message else f"grpc-status {code}"
    advice, never = pushback(trailers.get("grpc-retry-pushback-ms"))
    if code in (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED):
        too_large = code == Code.RESOURCE_EXHAUSTED and advice is None and not never
        return Outcome(Kind.AT_FAULT if too_large else Kind.REFUSED, said, advice, never)
    if code == Code.DEADLINE_EXCEEDED:
        return Outcome(Kind.EXPIRED, said)
    if code in AT_FAULT:
        return Outcome(Kind.AT_FAULT, said)
    return Outcome(Kind.MAY_HAVE_RUN, said, never_again=never)


class KserveLine(Line):
    """A connection and its HTTP/2 state. `run`, in the client's task group, reads and writes it."""

    def __init__(self, router: str, socket: Socket, now: float, largest_event: int) -> None:
        super().__init__(router, socket, now)
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
        )
        self.h2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            },
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(WINDOW)
        self.largest_event = largest_event
        self.exchanges: dict[int, KserveExchange] = {}
        self.taken = 0  # places, some of which may have no stream yet
        self.heard_at = now
        self.pinged_at: float | None = None
        self.on_going: Callable[[], None] = lambda: None
        self._goaway_filter = GoAwayFilter(preface=False)
        self._pending = self.h2.data_to_send()
        self._wake = anyio.Event()
        self._lost: ConnectionLost | None = None
        self._written = 0  # bytes, and how many were to be written in all
        self._queued = len(self._pending)

    @property
    def room(self) -> int:
        if self.going or self._lost or self.socket.closed:
            return 0
        return min(MOST_STREAMS, self.h2.remote_settings.max_concurrent_streams) - self.taken

    @property
    def busy(self) -> bool:
        return self.taken > 0

    def start(self, request: Request, body: bytes, mark: Mark) -> KserveExchange:
        self.taken += 1
        return KserveExchange(self, request, body, mark)

    async def run(self) -> None:
        """Read and write until the connection ends; whoever waits on it then hears why."""
        lost = ConnectionLost("closed here")
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write)
                try:
                    await self._read()
                except ConnectionLost as error:
                    lost = error
                except (h2.exceptions.ProtocolError, GrpcError) as error:
                    lost = ConnectionLost(f"not HTTP/2: {error}")
                group.cancel_scope.cancel()
        finally:
            self._end(lost)

    def _end(self, lost: ConnectionLost) -> None:
        if self._lost is None:
            self._lost = lost
            for exchange in list(self.exchanges.values()):
                exchange.lose(lost)

    async def _read(self) -> None:
        while True:
            data = await self.socket.receive()
            if not data:
                raise ConnectionLost("closed by the router")
            self.heard_at, self.pinged_at = anyio.current_time(), None
            rest, goaways = self._goaway_filter.strip(data)
            for event in self.h2.receive_data(rest):
                self._take(event)
            for goaway in goaways:
                self._on_goaway(goaway)
            self.flush()
            if self.going and not self.taken:
                raise ConnectionLost("the router has said goodbye")

    def _on_goaway(self, goaway: GoAway) -> None:
        if not self.going:
            self.going = True
            self.on_going()
        for number, exchange in list(self.exchanges.items()):
            if number > goaway.last_stream_id:  # RFC 9113 6.8: not taken, and never will be
                exchange.end(Outcome(Kind.NEVER_RAN, "left out by a GOAWAY", stale=True))

    def _take(self, event: h2.events.Event) -> None:
        exchange = self.exchanges.get(getattr(event, "stream_id", None) or 0)
        match event:
            case h2.events.DataReceived():
                length = event.flow_controlled_length or 0
                if exchange is None:
                    self.acknowledge(length, event.stream_id or 0)
                else:
                    exchange.feed(event.data or b"", length)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived() if exchange is not None:
                exchange.headers({str(k): str(v) for k, v in event.headers or []})
            case h2.events.StreamEnded() if exchange is not None:
                exchange.ended = True
                exchange.notify()
            case h2.events.StreamReset() if exchange is not None:
                if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
                    exchange.end(Outcome(Kind.NEVER_RAN, "REFUSED_STREAM", stale=True))
                elif not exchange.ended:
                    exchange.lose(ConnectionLost(f"the stream was reset with error {event.error_code}"))
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for waiting in self.exchanges.values():
                    waiting.notify()

    def acknowledge(self, length: int, stream: int) -> None:
        if length and self._lost is None:
            with suppress(h2.exceptions.ProtocolError):  # a stream that is over has no room to give
                self.h2.acknowledge_received_data(length, stream)

    def flush(self) -> int:
        """Hand over what the state has to say; returns the count of bytes to be written by then."""
        data = self.h2.data_to_send()
        if data:
            self._pending += data
            self._queued += len(data)
            self._wake.set()
        return self._queued

    def written(self, mark: int) -> bool:
        return self._written >= mark

    async def _write(self) -> None:
        try:
            while True:
                while not self._pending:
                    self._wake = anyio.Event()
                    await self._wake.wait()
                data, self._pending = self._pending, b""
                await self.socket.send(data)
                self._written += len(data)
        except ConnectionLost as lost:
            self._end(lost)

    def ping_if_quiet(self, now: float, after_s: float) -> bool:
        """Ask a quiet peer for a sign of life; False once it has owed one for as long again."""
        if self.pinged_at is not None:
            return now - self.pinged_at < after_s
        if now - self.heard_at >= after_s:
            self.pinged_at = now
            self.h2.ping(b"sorrel??")
            self.flush()
        return True

    def fail(self, cause: str) -> None:
        """End all that is on it: its machine has gone."""
        self._end(ConnectionLost(cause))
        self.close()

    def close(self) -> None:
        self._end(ConnectionLost("closed here"))
        self.socket.close()


class KserveExchange(Exchange):
    """One call on a gRPC connection."""

    def __init__(self, line: KserveLine, request: Request, body: bytes, mark: Mark) -> None:
        self.line = line
        self._request, self._mark = request, mark
        self._message = frame(message_for(request, body, mark.name))
        self._deframer = Deframer(line.largest_event)
        self._unacknowledged = 0
        self._fields: dict[str, str] = {}
        self._number = 0
        self._sent_at_mark = 0
        self._outcome: Outcome | None = None
        self._lost: ConnectionLost | None = None
        self._closed = False
        self.ended = False
        self._changed = anyio.Event()

    # The line's side.

    def notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def headers(self, fields: dict[str, str]) -> None:
        self._fields.update(fields)
        self.notify()

    def feed(self, data: bytes, length: int) -> None:
        self._unacknowledged += length
        self._deframer.feed(data)
        self.notify()

    def lose(self, lost: ConnectionLost) -> None:
        if not self.ended and self._outcome is None:
            unwritten = self._number == 0 or not self.line.written(self._sent_at_mark)
            self._lost = ConnectionLost(lost.cause, unread=lost.unread or unwritten)
            self.notify()

    def end(self, outcome: Outcome) -> None:
        self._outcome = outcome
        self.notify()

    # The call's side.

    async def send(self, expires_in_s: Callable[[], float | None]) -> bool:
        line, request, mark = self.line, self._request, self._mark
        left = expires_in_s()
        if left is None:
            return False
        if line._lost is not None:
            raise line._lost
        metadata = {
            "sorreldock-class": request.rpc_class,
            "sorreldock-tenant": request.tenant,
            "sorreldock-session": request.session,
            "sorreldock-prefix": request.prefix,
            "sorreldock-prompt-tokens": str(request.prompt_tokens or ""),
            "sorreldock-prefix-tokens": str(request.prefix_tokens or ""),
            "sorreldock-max-output-tokens": str(request.max_output_tokens or ""),
            "sorreldock-request-id": mark.name,
            "grpc-previous-rpc-attempts": str(mark.retry or ""),
        }
        try:
            self._number = line.h2.get_next_available_stream_id()
            line.h2.send_headers(
                self._number,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":path", f"/{SERVICE}/ModelStreamInfer"),
                    (":authority", line.router),
                    ("te", "trailers"),
                    ("content-type", "application/grpc"),
                    ("grpc-timeout", format_timeout(left)),
                    *((k, v) for k, v in metadata.items() if v),
                ],
            )
            line.exchanges[self._number] = self
            view = self._message
            while view and self._outcome is None and not self.ended:
                self._check()
                room = min(line.h2.local_flow_control_window(self._number), line.h2.max_outbound_frame_size)
                if room <= 0:
                    changed = self._changed
                    line.flush()
                    await changed.wait()
                    continue
                line.h2.send_data(self._number, view[:room], end_stream=len(view) <= room)
                view = view[room:]
        except h2.exceptions.StreamClosedError:
            self._check()  # the answer came before the request was whole
        except h2.exceptions.ProtocolError as error:
            raise ConnectionLost(str(error), unread=True) from None
        self._sent_at_mark = line.flush()
        return True

    def _check(self) -> None:
        if self._lost is not None:
            raise self._lost

    async def first(self) -> bytes | Outcome | None:
        message = await self.next(opening=True)
        if message is not None or self._outcome is None:
            return message
        return self._outcome

    async def next(self, opening: bool = False) -> bytes | None:
        while True:
            changed = self._changed
            try:
                message = self._deframer.next()
            except GrpcError as error:
                raise ConnectionLost(error.message) from None
            if message is not None or self._deframer.partial:  # a long message needs room to go on
                self.line.acknowledge(self._unacknowledged, self._number)
                self._unacknowledged = 0
                self.line.flush()
            if message is not None:
                self.begun = True
                return self._event(message)
            if self._outcome is not None:
                if not opening:
                    raise ConnectionLost(self._outcome.cause)
                return None
            self._check()
            if self.ended:
                code, text = status_of(self._fields)
                if code == Code.OK and not self._deframer.partial:
                    self.whole = True
                    return None
                if not opening:
                    raise ConnectionLost(f"grpc-status {code}: {text}")
                self._outcome = outcome_of_status(code, text, self._fields)
                return None
            await changed.wait()

    @staticmethod
    def _event(message: bytes) -> bytes:
        try:
            said = pb.ModelStreamInferResponse.FromString(message)
        except DecodeError:
            raise ConnectionLost("a message that can't be read") from None
        if said.error_message:
            raise ConnectionLost(said.error_message[:200])
        return message

    def close(self, now: float) -> None:
        if self._closed:
            return
        self._closed = True
        line = self.line
        line.exchanges.pop(self._number, None)
        line.taken -= 1
        line.at_rest_since = now
        if self.whole or self.ended:
            line.carried += 1
        elif self._number and line._lost is None:
            with suppress(h2.exceptions.ProtocolError):
                line.h2.reset_stream(self._number, h2.errors.ErrorCodes.CANCEL)
        line.acknowledge(self._unacknowledged, self._number)
        self._unacknowledged = 0
        if line._lost is None:
            line.flush()
        if line.going and not line.taken:
            line.close()
