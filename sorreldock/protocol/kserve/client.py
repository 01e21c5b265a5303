"""Call attempts and probes at an engine that speaks KServe v2 over gRPC: one stream a connection."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import h2.errors
import h2.events
import h2.exceptions
import trio
from google.protobuf.message import DecodeError

from ...interface import Metric, Status
from ...kserve import kserve_pb2 as pb
from ...kserve.framing import (
    MAX_ANSWER_BYTES,
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
from ...transport.pool import ConnectionPool
from .. import server_client
from ..loads import LOAD_REPORT_HEADER, parse_load
from ..server_client import PooledServerClient, RequestNotProcessed, ServerProtocolError
from .grpc import H2Wire
from .metadata import HOP, KservePayload

LOAD = LOAD_REPORT_HEADER.lower()
# The request is at fault, not the engine: another would say the same, so the client gets this word as it is.
VERDICTS = (Code.INVALID_ARGUMENT, Code.NOT_FOUND, Code.FAILED_PRECONDITION, Code.UNIMPLEMENTED)


@contextmanager
def faults() -> Iterator[None]:
    """What h2, our framing and protobuf object to is the engine's fault."""
    try:
        yield
    except (h2.exceptions.ProtocolError, GrpcError, DecodeError) as error:
        raise ServerProtocolError(str(error)) from None


class Exchange:
    """One stream, from its request to its trailers."""

    def __init__(self, line: ServerConnection, number: int) -> None:
        self.line = line
        self.number = number
        self.deframer = Deframer(MAX_ANSWER_BYTES)
        self.headers: dict[str, str] = {}
        self.trailers: Headers = []
        self.ended = False

    async def step(self) -> None:
        """Read once from the connection, and take what arrived."""
        events = await self.line.wire.receive()
        if events is None:
            raise ConnectionLost("closed by the engine")
        for event in events:
            self.take(event)
        # What goes out here answers settings and gives room back. Guards an answer that came whole, or an
        # event, right before the engine closed: the next read tells of the end, behind what has arrived.
        with suppress(ConnectionLost):
            await self.line.wire.flush()

    def take(self, event: h2.events.Event | GoAway) -> None:
        match event:
            case GoAway(last_stream_id, error):
                self.line.going = True
                if last_stream_id < self.number:
                    raise RequestNotProcessed("left out by a GOAWAY")
                if error:
                    raise ConnectionLost(f"GOAWAY with error {error}")
            case _ if getattr(event, "stream_id", None) != self.number:
                pass
            case h2.events.ResponseReceived():
                self.headers = {str(k): str(v) for k, v in event.headers or []}
                self.trailers = [(str(k), str(v)) for k, v in event.headers or []]  # if trailers alone come
            case h2.events.TrailersReceived():
                self.trailers = [(str(k), str(v)) for k, v in event.headers or []]
            case h2.events.DataReceived():
                self.deframer.feed(event.data or b"")
                self.line.wire.consumed(self.number, event.flow_controlled_length or 0)
            case h2.events.StreamEnded():
                self.ended = True
            case h2.events.StreamReset():
                if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
                    raise RequestNotProcessed("REFUSED_STREAM")
                if not self.ended:
                    raise ConnectionLost(f"stream reset with error {event.error_code}")

    async def send(self, data: bytes) -> None:
        """The request, as the engine gives room for it; an answer that comes before its end stops it."""
        wire, view = self.line.wire, memoryview(data)
        while view and not self.ended:
            room = wire.room(self.number)
            if room > 0:
                chunk = bytes(view[:room])
                view = view[room:]
                wire.h2.send_data(self.number, chunk, end_stream=not view)
                await wire.flush()
            else:
                await wire.flush()
                await self.step()

    async def message(self, silence: trio.CancelScope | None = None) -> bytes | None:
        """The answer's next message; None at its end. One that has begun to arrive gives the wait a limit."""
        latest = silence.deadline if silence is not None else math.inf
        while True:
            message = self.deframer.next()
            if message is not None:
                return message
            if self.ended:
                if self.deframer.partial:
                    raise ConnectionLost("the last message is cut off")
                return None
            if silence is not None and self.deframer.partial:
                silence.deadline = min(latest, trio.current_time() + server_client.FIRST_EVENT_TIMEOUT_S)
            await self.step()

    def status(self) -> tuple[int, str]:
        return status_of(dict(self.trailers))

    def load(self) -> dict[Metric, float]:
        text = dict(self.trailers).get(LOAD) or self.headers.get(LOAD, "")
        return parse_load(text)


class ServerConnection:
    """A connection to an engine, with its HTTP/2 state."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.wire = H2Wire(connection, client_side=True, most_streams=0)
        self.going = False

    async def usable(self) -> bool:
        """Take what came while the connection was idle: settings, pings, or the engine's farewell."""
        try:
            while self.connection.readable:
                events = await self.wire.receive()
                if events is None or any(isinstance(event, GoAway) for event in events):
                    return False
        except (ConnectionLost, h2.exceptions.ProtocolError):
            return False
        return not self.going

    def renew(self) -> bool:
        return not self.going and not self.connection.unread

    def open(self, method: str, authority: str, timeout_s: float, metadata: Headers) -> Exchange:
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
        return Exchange(self, number)


class KserveServerClient(PooledServerClient[ServerConnection, Exchange]):
    """Call attempts and probes at one engine over gRPC."""

    def __init__(
        self,
        address: str,
        budget: DescriptorBudget,
        connect_timeout_s: float,
        conn_idle_s: float,
        dial: Dial = dial,
    ) -> None:
        super().__init__(
            ConnectionPool(address, ServerConnection, budget, connect_timeout_s, conn_idle_s, dial)
        )
        self._address = address

    async def send(self, line: ServerConnection, rpc: RPC, progress: AttemptProgress) -> Exchange:
        payload = rpc.payload
        assert isinstance(payload, KservePayload)
        with faults():
            exchange = line.open(
                payload.method, self._address, progress.first_event_timeout_s(), payload.metadata
            )
            await exchange.send(frame(payload.message))
        return exchange

    async def answer(self, exchange: Exchange, progress: AttemptProgress) -> AttemptResult:
        started = False
        while True:
            with (
                trio.move_on_after(server_client.EVENT_GAP_TIMEOUT_S if started else math.inf) as silence,
                faults(),
            ):
                message = await exchange.message(silence)
            if silence.cancelled_caught:
                raise ConnectionLost("silent within a stream")
            if message is None:
                return self._ending(exchange, started)
            started = True
            await progress.forward_event(message)

    @staticmethod
    def _ending(exchange: Exchange, started: bool) -> AttemptResult:
        code, text = exchange.status()
        load = exchange.load()
        names = dict(exchange.trailers)
        metadata = [
            (k, v) for k, v in exchange.trailers if not HOP.match(k) and k not in (LOAD, "x-never-ran")
        ]
        if code == Code.OK:
            return AttemptResult(Status.OK, load, server_status=GrpcError(Code.OK, text, metadata))
        if not started and code in VERDICTS:
            return AttemptResult(Status.OK, load, server_status=GrpcError(code, text, metadata))
        if not started and names.get("x-never-ran") == "1":
            return AttemptResult(Status.FULL, load, note=f"grpc-status {code}")
        return AttemptResult(Status.ERROR, load, note=f"grpc-status {code}: {text}")

    async def ask_load(self, line: ServerConnection) -> AttemptResult:
        with faults():
            exchange = line.open("ServerReady", self._address, server_client.PROBE_TIMEOUT_S, [])
            await exchange.send(frame(b""))
            message = await exchange.message()
            while await exchange.message() is not None:
                pass
            ready = pb.ServerReadyResponse.FromString(message or b"").ready
        return AttemptResult(Status.OK if ready else Status.FULL, exchange.load())
