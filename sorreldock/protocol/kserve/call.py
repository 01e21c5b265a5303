"""A client's gRPC stream: its messages, the RPCs that they start, and its final status."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import h2.errors
import h2.exceptions
import trio
from google.protobuf.message import DecodeError, Message

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import SERVICE, Code, Deframer, GrpcError, Headers, frame, trailers
from ...routing.types import RPC, FinalAnswer, MayHaveRun, NameTaken, Overloaded, SinkClosed
from ...transport.connection import ConnectionLost
from ...transport.ledger import Holding
from .. import front as limits
from ..request_pace import RequestPace
from .metadata import OWN_PREFIX, StreamHead, error_status_of, rpc_from

if TYPE_CHECKING:
    from .connection import ClientConnection

RESPONSE_HEADERS = [(":status", "200"), ("content-type", "application/grpc")]


class ClientStream:
    """A client's stream, and the event sink of its current RPC."""

    def __init__(self, client: ClientConnection, number: int, headers: Headers, holding: Holding) -> None:
        """Create a stream whose memory is counted by `holding`."""
        self.holding = holding
        self.client = client
        self.number = number
        self.head = StreamHead(number, headers)
        self.is_unary = not self.head.headers.get(":path", "").endswith("/ModelStreamInfer")
        self.scope = trio.CancelScope()
        self.deframer = Deframer(limits.MAX_BODY_BYTES)
        self.reserved_bytes = 0  # of the payload budget
        self.began_at = trio.current_time()
        self.unacknowledged_bytes = 0  # received, not yet acknowledged for flow control
        self.last_arrival_age_s = 0.0  # how long the kernel held the last received bytes
        self.exceeds_budget = False  # a message didn't fit into the payload budget
        self.is_evicted = False
        self.ended = False  # the client has half-closed the stream
        self.reset = False
        self.changed = trio.Event()
        self.head_sent = False
        self.trailing_metadata: Headers = []  # the server's, forwarded to the client
        self.final: FinalAnswer | None = None
        self.finished = trio.Event()
        self.is_answering = False  # from submitting a request until its answer is queued for sending

    @property
    def owes_answer(self) -> bool:
        """Whether an answer is owed: always on a unary stream, on another one only during a request."""
        return self.is_unary or self.is_answering or self.deframer.partial

    # The interface for the core.

    async def send_events(self, *events: bytes) -> None:
        """Send messages with their length prefixes."""
        size = sum(map(len, events))
        await self.client.front.turns.wait(
            self.client.share, limits.WRITE_COST + size / limits.WRITE_BYTES_PER_TURN
        )
        if self.final is not None or self.reset:
            raise SinkClosed
        self.release_payload()  # an answer has started: the core no longer holds the payload
        try:
            for event in events:
                await self.send(event)
        except (ConnectionLost, h2.exceptions.ProtocolError):
            raise SinkClosed from None

    def finish(self, final: FinalAnswer) -> None:
        self.final = final
        self.finished.set()

    def has_client_left(self) -> bool:
        return self.reset or self.client.wire.connection.closed_by_peer

    # The interface for the connection.

    def notify(self) -> None:
        """Wake the stream's task after a change of its state."""
        self.changed.set()
        self.changed = trio.Event()

    def feed(self, data: bytes, length: int) -> None:
        """Add received data; `length` is its size for flow control, with padding."""
        self.unacknowledged_bytes += length
        self.last_arrival_age_s = self.client.wire.connection.last_arrival_age_s()
        if not self.exceeds_budget and self.client.front.reserve_payload(self, len(data)):
            self.deframer.feed(data)
            self.client.front.partial_requests.add(self)
        else:
            self.exceeds_budget = True
        self.notify()

    def evict(self) -> None:
        """End the stream, which waits for a message, to make room for another."""
        self.is_evicted = True
        self.notify()

    def refuse_for_memory(self) -> None:
        self.exceeds_budget = True
        self.deframer.clear()
        self.release_payload()
        self.notify()

    def release_payload(self) -> None:
        """Release the payload budget of the received messages."""
        self.client.front.payloads.release(self.reserved_bytes)
        self.reserved_bytes = 0

    async def send(self, data: bytes) -> None:
        """Send data as flow control allows; raise ConnectionLost if the client reads nothing."""
        wire = self.client.wire
        if not self.head_sent:
            self.head_sent = True
            wire.h2.send_headers(self.number, RESPONSE_HEADERS)
        view = memoryview(data)
        with trio.move_on_after(limits.WRITE_TIMEOUT_S) as scope:
            while view:
                await wire.wait_for_room()
                if self.reset:
                    raise ConnectionLost("the client has cancelled the stream")
                window = wire.send_window(self.number)
                if window <= 0:  # the client reads slowly, which slows reading from the server too
                    await wire.flush()
                    await wire.window_changed.wait()
                    continue
                wire.h2.send_data(self.number, bytes(view[:window]))
                view = view[window:]
                scope.deadline = trio.current_time() + limits.WRITE_TIMEOUT_S
                await wire.flush()
        if scope.cancelled_caught:  # don't keep a server busy for a client that never reads
            self.abort(h2.errors.ErrorCodes.CANCEL)
            raise ConnectionLost("the client reads nothing")

    def abort(self, code: h2.errors.ErrorCodes) -> None:
        """Reset the stream with an error code, unless it has been reset before."""
        if not self.reset:
            self.reset = True
            self.client.wire.h2.reset_stream(self.number, code)

    async def next_message(self) -> bytes | None:
        """Return the next request message; None once the client has half-closed the stream."""
        self.began_at = trio.current_time()
        pace: RequestPace | None = None
        while True:
            if self.exceeds_budget:
                self.deframer.clear()
                raise GrpcError(
                    Code.UNAVAILABLE, "too many large requests", [("grpc-retry-pushback-ms", "1000")]
                )
            message = self.deframer.next()
            if message is not None:
                self.client.front.partial_requests.remove(self)
                self.acknowledge_received()
                return message
            if self.ended:
                if self.deframer.partial:
                    raise GrpcError(Code.INVALID_ARGUMENT, "the last message is cut off")
                return None
            self.acknowledge_received()
            # A stream may stay open between messages; a message that has started must continue.
            if pace is None and (self.is_unary or self.deframer.partial):
                pace = RequestPace(trio.current_time())
            if pace is None:
                await self._wait_while_idle()
            else:
                await self._wait_for_rest(pace)

    async def _wait_while_idle(self) -> None:
        """Wait for the first byte of a message, as long as there is memory for others."""
        self.client.front.idle_streams[self] = None
        try:
            await self.changed.wait()
        finally:
            self.client.front.idle_streams.pop(self, None)
        if self.is_evicted:
            raise GrpcError(Code.UNAVAILABLE, "too many streams", [("grpc-retry-pushback-ms", "1000")])

    async def _wait_for_rest(self, pace: RequestPace) -> None:
        """Wait for more of a message; raise GrpcError if it does not arrive in time."""
        now = trio.current_time()
        pace.record(now, len(self.deframer))
        if self.client.wire.readable:
            pace.excuse(now)
        elif pace.is_too_slow(now, self.deframer.expected_bytes):
            raise GrpcError(Code.DEADLINE_EXCEEDED, "the request arrives too slowly")
        with trio.move_on_at(pace.next_byte_by()) as stall:
            await self.changed.wait()
        if stall.cancelled_caught and not self.client.wire.readable:
            raise GrpcError(Code.DEADLINE_EXCEEDED, "the request does not go on")

    def acknowledge_received(self) -> None:
        """Open the flow-control window by what was received; the maximum message size bounds the memory."""
        if self.unacknowledged_bytes and not self.ended:
            count, self.unacknowledged_bytes = self.unacknowledged_bytes, 0
            self.client.wire.acknowledge(self.number, count)
            self.client.wire.queue_output()

    async def run(self) -> None:
        """Serve the stream until its final status has been sent."""
        try:
            with self.scope:
                try:
                    await self.handle()
                    await self.send_status(Code.OK, metadata=self.trailing_metadata)
                except GrpcError as error:
                    if self.final is None:
                        self.client.front.rejections[f"grpc_{error.code}"] += 1
                    await self.send_status(error.code, error.message, error.metadata)
        except (ConnectionLost, h2.exceptions.ProtocolError):
            pass  # the client has cancelled or closed; the status can't be sent
        finally:
            self.client.remove_stream(self)

    async def send_status(self, code: int, message: str = "", metadata: Headers | None = None) -> None:
        if self.reset:
            return
        wire = self.client.wire
        fields = trailers(code, message, metadata or [])
        if not self.head_sent:
            fields = [*RESPONSE_HEADERS, *fields]
        wire.h2.send_headers(self.number, fields, end_stream=True)
        if not self.ended:  # signals to the client not to send the rest of its request
            wire.h2.reset_stream(self.number, h2.errors.ErrorCodes.NO_ERROR)
        await wire.flush()

    async def handle(self) -> None:
        """Serve the method that the stream's head names; raise GrpcError for any status but OK."""
        if self.head.headers.get(":method") != "POST":
            raise GrpcError(Code.UNIMPLEMENTED, "gRPC calls are POST requests")
        service, _, method = self.head.headers.get(":path", "").removeprefix("/").partition("/")
        if service != SERVICE:
            raise GrpcError(Code.UNIMPLEMENTED, f"unknown service {service[:100]}")
        if self.head.repeated_field:
            raise GrpcError(Code.INVALID_ARGUMENT, f"{self.head.repeated_field} is given twice")
        if self.head.headers.get("grpc-encoding", "identity") != "identity":
            raise GrpcError(Code.UNIMPLEMENTED, "compressed messages are not supported")
        if method == "ModelStreamInfer":
            while (message := await self.next_message()) is not None:
                request = self.create_rpc(method, message)
                del message  # held by the RPC alone, which drops it once its answer has begun
                await self.serve_rpc(request)
                del request
            if not self.head_sent:
                await self.send(b"")
            return
        message = await self.next_message()
        if message is not None and await self.next_message() is not None:
            raise GrpcError(Code.INVALID_ARGUMENT, "a unary call with two messages")
        if message is None:
            raise GrpcError(Code.INVALID_ARGUMENT, "a unary call without a message")
        if method == "ModelInfer":
            rpc = self.create_rpc(method, message)
            del message
            await self.serve_rpc(rpc)
            return
        await self.send(frame(self.client.front.answer_locally(method, message).SerializeToString()))

    def create_rpc(self, method: str, message: bytes) -> RPC:
        """Return the RPC of a request message; raise GrpcError for an invalid one or if none is accepted."""
        front = self.client.front
        if front.is_refusing:
            raise GrpcError(Code.UNAVAILABLE, "stopping")
        if len(self.client.streams) == 1 and not front.budget.can_hold_answer:
            raise GrpcError(Code.UNAVAILABLE, "too many connections", [("grpc-retry-pushback-ms", "1000")])
        request = parse(pb.ModelInferRequest(), message)
        front.check_model(request.model_name)
        rpc = rpc_from(self.head, method, message, request.id, front.settings, front.core, self)
        rpc.expires_in_s = max(rpc.expires_in_s - self.last_arrival_age_s, limits.MIN_EXPIRES_IN_S)
        return rpc

    async def serve_rpc(self, rpc: RPC) -> None:
        """Run an RPC to its final answer; raise GrpcError for an error status."""
        front = self.client.front
        self.final, self.finished = None, trio.Event()
        try:
            front.core.submit(rpc)
        except Overloaded:
            raise GrpcError(
                Code.UNAVAILABLE, "too many open requests", [("grpc-retry-pushback-ms", "1000")]
            ) from None
        except MayHaveRun:
            raise GrpcError(
                Code.ALREADY_EXISTS,
                f"the request of this {OWN_PREFIX}request-id may have run and must not run again",
            ) from None
        except NameTaken:
            raise GrpcError(
                Code.ALREADY_EXISTS, f"{OWN_PREFIX}request-id is that of an open request"
            ) from None
        self.is_answering = True
        try:
            await self.finished.wait()
        finally:
            self.is_answering = False
            front.core.cancel_rpc(rpc)  # no effect once the RPC is answered
        assert self.final is not None
        error = error_status_of(self.final)
        if error is not None:
            raise error
        if isinstance(self.final.server_status, GrpcError):
            # If the stream carries several answers, the last one's metadata is sent.
            self.trailing_metadata = self.final.server_status.metadata


MessageT = TypeVar("MessageT", bound=Message)


def parse(empty: MessageT, message: bytes) -> MessageT:
    """Parse a message into an empty object and return it; raise GrpcError if it is malformed."""
    try:
        empty.ParseFromString(message)
    except DecodeError:
        raise GrpcError(Code.INVALID_ARGUMENT, "the message is malformed") from None
    return empty
