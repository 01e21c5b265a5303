"""Attempts and probes at servers over KServe v2 and gRPC, with one stream at a time on each connection."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from functools import partial

import h2.errors
import h2.events
import h2.exceptions
from google.protobuf.message import DecodeError

from ...completeness import check_grpc_answer
from ...interface import Metric, Status
from ...kserve import kserve_pb2 as pb
from ...kserve.framing import (
    MAX_ANSWER_MESSAGE_BYTES,
    PREFIX,
    SERVICE,
    Code,
    Deframer,
    GoAway,
    GrpcError,
    Headers,
    format_timeout,
    frame,
    status_of,
)
from ...routing.types import RPC, AttemptProgress, AttemptResult
from ...transport.budget import DescriptorBudget
from ...transport.connection import Connection, ConnectionLost, Dial, dial
from ...transport.ledger import AccountBudget, Holding
from ...transport.pool import ConnectionPool
from .. import server_client
from ..loads import LOAD_REPORT_HEADER, parse_load
from ..server_client import PooledServerClient, RequestNotProcessed, ServerProtocolError
from .grpc import H2Wire
from .metadata import HOP_METADATA, KservePayload

LOAD_METADATA = LOAD_REPORT_HEADER.lower()
# The request is invalid: any other server would return the same status, so it is forwarded to the client.
REQUEST_ERRORS = (Code.INVALID_ARGUMENT, Code.NOT_FOUND, Code.FAILED_PRECONDITION, Code.UNIMPLEMENTED)


@contextmanager
def translate_errors() -> Iterator[None]:
    """Raise errors of h2, the message framing and protobuf as protocol errors of the server."""
    try:
        yield
    except (h2.exceptions.ProtocolError, GrpcError, DecodeError) as error:
        raise ServerProtocolError(str(error)) from None


class Exchange:
    """One stream to a server, from its request to its trailers."""

    def __init__(self, connection: ServerConnection, number: int, is_unary: bool) -> None:
        self.connection = connection
        self.number = number
        self.is_unary = is_unary
        self.holding = Holding(connection.events)
        self.deframer = Deframer(MAX_ANSWER_MESSAGE_BYTES)
        self.headers: dict[str, str] = {}
        self.trailers: Headers = []
        self.has_trailers = False
        self.messages = 0  # whole ones so far
        self.ended = False

    async def step(self) -> None:
        """Read once from the connection and handle the events that arrived."""
        events = await self.connection.wire.receive()
        if events is None:
            raise ConnectionLost("closed by the server")
        for event in events:
            self.handle_event(event)
        # This sends SETTINGS acknowledgements and window updates. A failure is ignored, so that no answer or
        # event is lost that arrived right before the server closed: the next read reports the close.
        with suppress(ConnectionLost):
            await self.connection.wire.flush()

    def handle_event(self, event: h2.events.Event | GoAway) -> None:
        match event:
            case GoAway(last_stream_id, error):
                self.connection.goaway_received = True
                if last_stream_id < self.number:
                    raise RequestNotProcessed("excluded by a GOAWAY")
                if error:
                    raise ConnectionLost(f"GOAWAY with error {error}")
            case _ if getattr(event, "stream_id", None) != self.number:
                pass
            case h2.events.ResponseReceived():
                self.headers = {str(k): str(v) for k, v in event.headers or []}
                if event.stream_ended is not None:  # a response that consists of trailers only
                    self.receive_trailers(event.headers or [])
            case h2.events.TrailersReceived():
                self.receive_trailers(event.headers or [])
            case h2.events.DataReceived():
                self.deframer.feed(event.data or b"")
                self.holding.hold(len(event.data or b""))
                self.connection.wire.acknowledge(self.number, event.flow_controlled_length or 0)
            case h2.events.StreamEnded():
                self.ended = True
            case h2.events.StreamReset():
                if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
                    raise RequestNotProcessed("REFUSED_STREAM")
                if not self.ended:
                    raise ConnectionLost(f"stream reset with error {event.error_code}")

    @property
    def completed_events(self) -> int:
        """How many messages are complete."""
        return self.messages - self.deframer.has_begun

    @property
    def awaited(self) -> str:
        """What the server has to complete next, for the log."""
        return f"the next message or the trailers, {len(self.deframer)} bytes of a message received"

    async def wait_until_begun(self) -> None:
        """Wait until a part of the first message has been received, or the answer has ended."""
        with translate_errors():
            while not self.deframer.partial and not self.ended:
                await self.step()

    async def next_parts(self) -> list[bytes]:
        """Return the next message; nothing at the end of the answer. May be cancelled and called again."""
        with translate_errors():
            message = await self.next_message()
        if self.is_unary and self.messages > 1:
            raise ServerProtocolError("a unary answer with two messages")
        return [] if message is None else [message]

    def receive_trailers(self, fields: Iterable[tuple[object, object]]) -> None:
        """Keep the trailers; a status in other header fields is not that of the answer."""
        self.has_trailers = True
        self.trailers = [(str(name), str(value)) for name, value in fields]

    def check_complete(self) -> None:
        """Raise IncompleteAnswer unless the ended answer is complete."""
        check_grpc_answer(
            self.headers.get(":status", ""),
            self.has_trailers,
            self.deframer.partial,
            self.messages,
            self.is_unary,
        )

    async def send(self, data: bytes) -> None:
        """Send the request as flow control allows; stop if the answer ends before the request is sent."""
        wire, view = self.connection.wire, memoryview(data)
        while view and not self.ended:
            window = wire.send_window(self.number)
            if window > 0:
                chunk = bytes(view[:window])
                view = view[window:]
                wire.h2.send_data(self.number, chunk, end_stream=not view)
                await wire.flush()
            else:
                await wire.flush()
                await self.step()

    def must_forward_part(self) -> bool:
        """Return whether memory is too short to wait for the end of the message."""
        return len(self.deframer) >= server_client.MIN_PART_BYTES and self.holding.account.is_full

    async def next_message(self) -> bytes | None:
        """Return the next message of the answer with its prefix, or a part of it if memory is short.

        None at the end of the answer. May be cancelled and called again.
        """
        while True:
            is_continued = self.deframer.has_begun
            message = self.deframer.next_framed()
            if message is None and self.must_forward_part():
                message = self.deframer.take_part()
            if message is not None:
                self.messages += not is_continued
                return message
            if self.ended:
                if self.deframer.partial:
                    raise ConnectionLost("the last message is incomplete")
                return None
            await self.step()

    def status(self) -> tuple[int, str]:
        """Return the status code and message of the answer."""
        return status_of(dict(self.trailers))

    def load(self) -> dict[Metric, float]:
        """Return the load report in the trailers or, without one there, in the headers."""
        text = dict(self.trailers).get(LOAD_METADATA) or self.headers.get(LOAD_METADATA, "")
        return parse_load(text)


class ServerConnection:
    """A connection to a server, with its HTTP/2 state."""

    def __init__(self, events: AccountBudget, connection: Connection) -> None:
        """`events` is the account of answers that are on their way to clients."""
        self.events = events
        self.connection = connection
        self.wire = H2Wire(connection, client_side=True, max_streams=0)
        self.goaway_received = False

    async def is_usable(self) -> bool:
        """Handle what arrived while the connection was idle: SETTINGS, PING or GOAWAY."""
        try:
            while self.connection.readable:
                events = await self.wire.receive()
                if events is None or any(isinstance(event, GoAway) for event in events):
                    return False
        except (ConnectionLost, h2.exceptions.ProtocolError):
            return False
        return not self.goaway_received

    def renew(self) -> bool:
        return not self.goaway_received and not self.connection.unread

    def open_exchange(self, method: str, authority: str, timeout_s: float, metadata: Headers) -> Exchange:
        """Open a stream and queue its request headers; the caller sends the message."""
        number = self.wire.h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", f"/{SERVICE}/{method}"),
            (":authority", authority),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("grpc-timeout", format_timeout(timeout_s)),
            *metadata,
        ]
        self.wire.h2.send_headers(number, headers)
        return Exchange(self, number, is_unary=method != "ModelStreamInfer")


class KserveServerClient(PooledServerClient[ServerConnection, Exchange]):
    """Attempts and probes at one server over gRPC."""

    def __init__(
        self,
        address: str,
        budget: DescriptorBudget,
        connect_timeout_s: float,
        conn_idle_s: float,
        events: AccountBudget,
        dial: Dial = dial,
    ) -> None:
        wrap = partial(ServerConnection, events)
        super().__init__(ConnectionPool(address, wrap, budget, connect_timeout_s, conn_idle_s, dial))
        self._address = address

    async def send(self, connection: ServerConnection, rpc: RPC, progress: AttemptProgress) -> Exchange:
        payload = rpc.payload
        assert isinstance(payload, KservePayload)
        with translate_errors():
            exchange = connection.open_exchange(
                payload.method, self._address, progress.first_event_timeout_s(), payload.metadata
            )
            await exchange.send(frame(payload.message))
        return exchange

    async def answer(self, exchange: Exchange, progress: AttemptProgress) -> AttemptResult:
        try:
            return await self._forward_answer(exchange, progress)
        finally:
            exchange.holding.release_all()

    async def _forward_answer(self, exchange: Exchange, progress: AttemptProgress) -> AttemptResult:
        await self.forward_answer(exchange, progress)
        has_started = exchange.messages > 0
        result = self._result_of(exchange, has_started)
        if result.status is Status.OK and exchange.status()[0] == Code.OK:
            exchange.check_complete()
        return result

    @staticmethod
    def _result_of(exchange: Exchange, has_started: bool) -> AttemptResult:
        code, text = exchange.status()
        load = exchange.load()
        fields = dict(exchange.trailers)
        metadata = [
            (k, v)
            for k, v in exchange.trailers
            if not HOP_METADATA.match(k) and k not in (LOAD_METADATA, "x-never-ran")
        ]
        if code == Code.OK:
            return AttemptResult(Status.OK, load, server_status=GrpcError(Code.OK, text, metadata))
        if not has_started and code in REQUEST_ERRORS:
            return AttemptResult(Status.OK, load, server_status=GrpcError(code, text, metadata))
        if not has_started and fields.get("x-never-ran") == "1":
            return AttemptResult(Status.FULL, load, note=f"grpc-status {code}")
        return AttemptResult(Status.ERROR, load, note=f"grpc-status {code}: {text}")

    async def send_probe(self, connection: ServerConnection) -> AttemptResult:
        with translate_errors():
            exchange = connection.open_exchange(
                "ServerReady", self._address, server_client.PROBE_TIMEOUT_S, []
            )
            try:
                await exchange.send(frame(b""))
                message = await exchange.next_message()
                while await exchange.next_message() is not None:
                    pass
            finally:
                exchange.holding.release_all()
            if exchange.status()[0] == Code.OK:
                exchange.check_complete()
            ready = pb.ServerReadyResponse.FromString((message or b"")[PREFIX.size :]).ready
        return AttemptResult(Status.OK if ready else Status.FULL, exchange.load())
