"""The client side of KServe v2 over gRPC: many calls on one HTTP/2 connection (h2)."""

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

from ..completeness import IncompleteAnswer, check_grpc_answer
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
from .policy.outcome import NonExecutionProof, Outcome, OutcomeKind
from .policy.refusal import parse_pushback
from .sockets import ConnectionLost, Socket
from .types import Request
from .wire import AttemptMark, Connection, Exchange, unread_proof

MAX_STREAMS_PER_CONNECTION = 32  # few connections suffice, and a lost one affects few calls
CONNECTION_WINDOW_BYTES = 4 * 1024 * 1024  # large, so that a slow reader of one answer does not stop others
INVALID_REQUEST_CODES = {
    Code.INVALID_ARGUMENT,
    Code.NOT_FOUND,
    Code.ALREADY_EXISTS,
    Code.FAILED_PRECONDITION,
    Code.UNIMPLEMENTED,
}


def encode_request(request: Request, body: bytes, request_id: str) -> bytes:
    """Return a serialized ModelInferRequest with the body as its only BYTES element.

    The element starts with its length, as KServe's binary tensor data extension requires.
    """
    tensor = pb.ModelInferRequest.InferInputTensor(name="text", datatype="BYTES", shape=[1])
    raw = struct.pack("<I", len(body)) + body
    return pb.ModelInferRequest(
        model_name=request.model, id=request_id, inputs=[tensor], raw_input_contents=[raw]
    ).SerializeToString()


def outcome_of_status(code: int, message: str, trailers: dict[str, str]) -> Outcome:
    """Return the outcome for a status other than OK before the first message, as the router uses them.

    RESOURCE_EXHAUSTED without a pushback (gRFC A6) means that the request is too large.
    """
    description = f"grpc-status {code}: {message}" if message else f"grpc-status {code}"
    advice, retry_forbidden = parse_pushback(trailers.get("grpc-retry-pushback-ms"))
    if code in (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED):
        too_large = code == Code.RESOURCE_EXHAUSTED and advice is None and not retry_forbidden
        return Outcome(
            OutcomeKind.INVALID_REQUEST if too_large else OutcomeKind.REFUSED,
            description,
            advice,
            retry_forbidden,
        )
    if code == Code.DEADLINE_EXCEEDED:
        return Outcome(OutcomeKind.EXPIRED, description)
    if code in INVALID_REQUEST_CODES:
        return Outcome(OutcomeKind.INVALID_REQUEST, description)
    return Outcome(OutcomeKind.MAY_HAVE_RUN, description, retry_forbidden=retry_forbidden)


class KserveConnection(Connection):
    """A gRPC connection and its HTTP/2 state, read and written by `run` in the client's task group."""

    def __init__(self, router: str, socket: Socket, now: float, max_event_bytes: int) -> None:
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
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_BYTES)
        self.max_event_bytes = max_event_bytes
        self.exchanges: dict[int, KserveExchange] = {}
        self.slots_in_use = 0  # some of which may have no stream yet
        self.last_received_at = now
        self.pinged_at: float | None = None
        self.on_closing: Callable[[], None] = lambda: None
        self._goaway_filter = GoAwayFilter(preface=False)
        self._pending = self.h2.data_to_send()
        self._data_pending = anyio.Event()
        self._lost: ConnectionLost | None = None
        self._write_lost: ConnectionLost | None = None
        self._queued_bytes = len(self._pending)  # in total, those written included

    @property
    def free_slots(self) -> int:
        if self.closing or self._lost or self.socket.closed:
            return 0
        return (
            min(MAX_STREAMS_PER_CONNECTION, self.h2.remote_settings.max_concurrent_streams)
            - self.slots_in_use
        )

    @property
    def is_busy(self) -> bool:
        return self.slots_in_use > 0

    def start(self, request: Request, body: bytes, mark: AttemptMark) -> KserveExchange:
        self.slots_in_use += 1
        return KserveExchange(self, request, body, mark)

    async def run(self) -> None:
        """Read and write until the connection ends, then end its exchanges with the reason."""
        lost = None
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, group.cancel_scope)
                try:
                    await self._read()
                except ConnectionLost as error:
                    lost = error
                except (h2.exceptions.ProtocolError, GrpcError) as error:
                    lost = ConnectionLost(f"HTTP/2 protocol error: {error}")
                group.cancel_scope.cancel()
        finally:
            self._end_exchanges(
                lost or self._write_lost or ConnectionLost("the connection was closed locally")
            )

    def _end_exchanges(self, lost: ConnectionLost) -> None:
        if self._lost is None:
            self._lost = lost
            for exchange in list(self.exchanges.values()):
                exchange.connection_lost(lost)

    async def _read(self) -> None:
        while True:
            data = await self.socket.receive()
            if not data:
                raise ConnectionLost("closed by the router")
            self.last_received_at, self.pinged_at = anyio.current_time(), None
            rest, goaways = self._goaway_filter.strip(data)
            for event in self.h2.receive_data(rest):
                self._handle_event(event)
            for goaway in goaways:
                self._on_goaway(goaway)
            self.flush()
            if self.closing and not self.slots_in_use:
                raise ConnectionLost("closed after the router's GOAWAY")
            if self._write_lost is not None and not self.socket.is_readable():
                raise self._write_lost

    def _on_goaway(self, goaway: GoAway) -> None:
        if not self.closing:
            self.closing = True
            self.on_closing()
        for stream_id, exchange in list(self.exchanges.items()):
            if stream_id > goaway.last_stream_id:  # RFC 9113 6.8: the router does not process it
                proof = NonExecutionProof.EXCLUDED_BY_GOAWAY
                exchange.end_with(Outcome.never_ran(proof, "not processed before GOAWAY", stale=True))

    def _handle_event(self, event: h2.events.Event) -> None:
        exchange = self.exchanges.get(getattr(event, "stream_id", None) or 0)
        match event:
            case h2.events.DataReceived():
                flow_controlled_bytes = event.flow_controlled_length or 0
                if exchange is None:
                    self.acknowledge(flow_controlled_bytes, event.stream_id or 0)
                else:
                    exchange.receive_data(event.data or b"", flow_controlled_bytes)
            case h2.events.ResponseReceived() if exchange is not None:
                is_trailers_only = event.stream_ended is not None
                exchange.receive_headers({str(k): str(v) for k, v in event.headers or []}, is_trailers_only)
            case h2.events.TrailersReceived() if exchange is not None:
                exchange.receive_trailers({str(k): str(v) for k, v in event.headers or []})
            case h2.events.StreamEnded() if exchange is not None:
                exchange.ended = True
                exchange.notify()
            case h2.events.StreamReset() if exchange is not None:
                if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
                    proof = NonExecutionProof.REFUSED_STREAM
                    exchange.end_with(Outcome.never_ran(proof, "REFUSED_STREAM", stale=True))
                elif not exchange.ended:
                    exchange.connection_lost(
                        ConnectionLost(f"the stream was reset with error {event.error_code}")
                    )
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for other in self.exchanges.values():
                    other.notify()

    def acknowledge(self, flow_controlled_bytes: int, stream: int) -> None:
        """Open the flow-control windows by bytes that were processed."""
        if flow_controlled_bytes and self._lost is None:
            with suppress(h2.exceptions.ProtocolError):  # a closed stream has no window to update
                self.h2.acknowledge_received_data(flow_controlled_bytes, stream)

    def flush(self) -> int:
        """Queue the output of the HTTP/2 state, and return the total of bytes queued so far."""
        data = self.h2.data_to_send()
        if data:
            self._pending += data
            self._queued_bytes += len(data)
            self._data_pending.set()
        return self._queued_bytes

    async def _write(self, scope: anyio.CancelScope) -> None:
        try:
            while True:
                while not self._pending:
                    self._data_pending = anyio.Event()
                    await self._data_pending.wait()
                data, self._pending = self._pending, b""
                await self.socket.send(data)
        except ConnectionLost as lost:
            self._write_lost = lost
            if not self.socket.is_readable():  # else what the router sent before it closed is read first
                scope.cancel()

    def ping_if_quiet(self, now: float, quiet_s: float) -> bool:
        """Ping a peer that sent nothing for `quiet_s` seconds.

        Returns False once the peer has sent nothing for as long again after the ping.
        """
        if self.pinged_at is not None:
            return now - self.pinged_at < quiet_s
        if now - self.last_received_at >= quiet_s:
            self.pinged_at = now
            self.h2.ping(b"sorrel??")
            self.flush()
        return True

    def fail_connection(self, cause: str) -> None:
        """Close the connection, and end all its exchanges with this cause."""
        self._end_exchanges(ConnectionLost(cause))
        self.close()

    def close(self) -> None:
        self._end_exchanges(ConnectionLost("the connection was closed locally"))
        self.socket.close()


class KserveExchange(Exchange):
    """One attempt of a call on a gRPC connection."""

    def __init__(
        self, connection: KserveConnection, request: Request, body: bytes, mark: AttemptMark
    ) -> None:
        self.connection = connection
        self._request, self._mark = request, mark
        self._message = frame(encode_request(request, body, mark.trace_id))
        self._deframer = Deframer(connection.max_event_bytes)
        self._unacknowledged = 0
        self._http_status = ""
        self._trailers: dict[str, str] = {}
        self._stream_id = 0
        self._request_end: int | None = None  # the offset behind its last byte; None until that is queued
        self._outcome: Outcome | None = None
        self._lost: ConnectionLost | None = None
        self._closed = False
        self.ended = False
        self._changed = anyio.Event()

    # Used by the connection.

    def notify(self) -> None:
        """Wake the exchange's task after a change of its state."""
        self._changed.set()
        self._changed = anyio.Event()

    def receive_headers(self, headers: dict[str, str], is_trailers_only: bool) -> None:
        self._http_status = headers.get(":status", "")
        if is_trailers_only:
            self.receive_trailers(headers)

    def receive_trailers(self, trailers: dict[str, str]) -> None:
        self._trailers = trailers
        self.notify()

    def receive_data(self, data: bytes, flow_controlled_bytes: int) -> None:
        self._unacknowledged += flow_controlled_bytes
        self._deframer.feed(data)
        self.notify()

    def connection_lost(self, lost: ConnectionLost) -> None:
        """End the exchange, unless it has ended, because its connection or stream was lost."""
        if not self.ended and self._outcome is None:
            self._lost = lost
            self.notify()

    def end_with(self, outcome: Outcome) -> None:
        """End the exchange with this outcome."""
        self._outcome = outcome
        self.notify()

    # Used by the call.

    async def send(self, expires_in_s: Callable[[], float | None]) -> bool:
        connection, request, mark = self.connection, self._request, self._mark
        remaining_s = expires_in_s()
        if remaining_s is None:
            return False
        if connection._lost is not None:
            raise connection._lost
        metadata = {
            "sorreldock-class": request.rpc_class,
            "sorreldock-tenant": request.tenant,
            "sorreldock-session": request.session,
            "sorreldock-prefix": request.prefix,
            "sorreldock-prompt-tokens": str(request.prompt_tokens or ""),
            "sorreldock-prefix-tokens": str(request.prefix_tokens or ""),
            "sorreldock-max-output-tokens": str(request.max_output_tokens or ""),
            "sorreldock-request-id": mark.trace_id,
            "grpc-previous-rpc-attempts": str(mark.retry or ""),
        }
        try:
            self._stream_id = connection.h2.get_next_available_stream_id()
            connection.h2.send_headers(
                self._stream_id,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":path", f"/{SERVICE}/ModelStreamInfer"),
                    (":authority", connection.router),
                    ("te", "trailers"),
                    ("content-type", "application/grpc"),
                    ("grpc-timeout", format_timeout(remaining_s)),
                    *((k, v) for k, v in metadata.items() if v),
                ],
            )
            connection.exchanges[self._stream_id] = self
            unsent = self._message
            while unsent and self._outcome is None and not self.ended:
                self._raise_if_lost()
                window = min(
                    connection.h2.local_flow_control_window(self._stream_id),
                    connection.h2.max_outbound_frame_size,
                )
                if window <= 0:
                    changed = self._changed
                    connection.flush()
                    await changed.wait()
                    continue
                connection.h2.send_data(self._stream_id, unsent[:window], end_stream=len(unsent) <= window)
                unsent = unsent[window:]
        except h2.exceptions.StreamClosedError:
            self._raise_if_lost()  # without a loss, the answer ended before the request was sent in full
        except h2.exceptions.ProtocolError as error:
            raise ConnectionLost(str(error)) from None
        end = connection.flush()
        if not unsent:
            self._request_end = end
        return True

    def unread_proof(self) -> NonExecutionProof | None:
        return unread_proof(self._request_end, self.connection.socket)

    def _raise_if_lost(self) -> None:
        """Raise ConnectionLost if the connection or the stream has failed."""
        if self._lost is not None:
            raise self._lost

    async def first_event(self) -> bytes | Outcome | None:
        message = await self.next_event(awaits_first=True)
        if message is not None or self._outcome is None:
            return message
        return self._outcome

    async def next_event(self, awaits_first: bool = False) -> bytes | None:
        while True:
            changed = self._changed
            try:
                message = self._deframer.next()
            except GrpcError as error:
                raise ConnectionLost(error.message) from None
            if message is not None or self._deframer.partial:  # a long message needs more window
                self.connection.acknowledge(self._unacknowledged, self._stream_id)
                self._unacknowledged = 0
                self.connection.flush()
            if message is not None:
                self.begun = True
                return self._decode_event(message)
            if self._outcome is not None:
                if not awaits_first:
                    raise ConnectionLost(self._outcome.cause)
                return None
            self._raise_if_lost()
            if self.ended:
                code, text = status_of(self._trailers)
                if code == Code.OK:
                    self._check_complete()
                    self.is_complete = True
                    return None
                if not awaits_first:
                    raise ConnectionLost(f"grpc-status {code}: {text}")
                self._outcome = outcome_of_status(code, text, self._trailers)
                return None
            await changed.wait()

    def _check_complete(self) -> None:
        """Raise ConnectionLost if an answer that has ended with status OK is not complete."""
        try:
            check_grpc_answer(
                self._http_status,
                has_trailers=bool(self._trailers),
                has_partial_message=self._deframer.partial,
                messages=0,
                is_unary=False,
            )
        except IncompleteAnswer as error:
            raise ConnectionLost(str(error)) from None

    @staticmethod
    def _decode_event(message: bytes) -> bytes:
        try:
            response = pb.ModelStreamInferResponse.FromString(message)
        except DecodeError:
            raise ConnectionLost("malformed ModelStreamInferResponse") from None
        if response.error_message:
            raise ConnectionLost(response.error_message[:200])
        return message

    def close(self, now: float) -> None:
        if self._closed:
            return
        self._closed = True
        connection = self.connection
        connection.exchanges.pop(self._stream_id, None)
        connection.slots_in_use -= 1
        connection.idle_since = now
        if self.is_complete or self.ended:
            connection.calls_completed += 1
        elif self._stream_id and connection._lost is None:
            with suppress(h2.exceptions.ProtocolError):
                connection.h2.reset_stream(self._stream_id, h2.errors.ErrorCodes.CANCEL)
        connection.acknowledge(self._unacknowledged, self._stream_id)
        self._unacknowledged = 0
        if connection._lost is None:
            connection.flush()
        if connection.closing and not connection.slots_in_use:
            connection.close()
