"""One gRPC call: its stream, its messages, its RPCs and its one status."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import h2.errors
import h2.exceptions
import trio
from google.protobuf.message import DecodeError, Message

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import SERVICE, Code, Deframer, GrpcError, Headers, frame, trailers
from ...routing.types import FinalAnswer, NameTaken, Overloaded, SinkClosed
from ...transport.connection import ConnectionLost
from .. import front as limits
from .metadata import MARK, CallHead, answer_of, rpc_from

if TYPE_CHECKING:
    from .connection import ClientConnection

HEAD = [(":status", "200"), ("content-type", "application/grpc")]


class ClientStream:
    """A stream, and the sink of the RPC that is on it."""

    def __init__(self, client: ClientConnection, number: int, headers: Headers) -> None:
        self.client = client
        self.number = number
        self.head = CallHead(number, headers)
        self.unary = not self.head.headers.get(":path", "").endswith("/ModelStreamInfer")
        self.scope = trio.CancelScope()
        self.deframer = Deframer(limits.MAX_BODY_BYTES)
        self.reserved_bytes = 0  # of the payload budget
        self.unread = 0  # bytes in the deframer that the peer has not got back as room
        self.crowded = False  # its request found no room in memory
        self.ended = False  # the client has sent all
        self.reset = False
        self.changed = trio.Event()
        self.head_sent = False
        self.trailing: Headers = []  # the engine's own, for the client
        self.final: FinalAnswer | None = None
        self.finished = trio.Event()
        self.answering = False  # from a request's submission until its answer is handed to the wire

    @property
    def owes_answer(self) -> bool:
        """A long stream between two requests owes none."""
        return self.unary or self.answering or self.deframer.partial

    # The core's side.

    async def send_event(self, data: bytes) -> None:
        if self.final is not None or self.reset:
            raise SinkClosed
        self.release()  # an answer has begun: the core has let the payload go
        try:
            await self.send(frame(data))
        except (ConnectionLost, h2.exceptions.ProtocolError):
            raise SinkClosed from None

    def finish(self, final: FinalAnswer) -> None:
        self.final = final
        self.finished.set()

    def has_client_left(self) -> bool:
        return self.reset or self.client.wire.connection.closed_by_peer

    # The wire's side.

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def feed(self, data: bytes, length: int) -> None:
        self.unread += length
        if self.client.front.payloads.acquire(len(data)):
            self.reserved_bytes += len(data)
            self.deframer.feed(data)
        else:
            self.crowded = True
        self.notify()

    def release(self) -> None:
        self.client.front.payloads.release(self.reserved_bytes)
        self.reserved_bytes = 0

    async def send(self, data: bytes) -> None:
        wire = self.client.wire
        if not self.head_sent:
            self.head_sent = True
            wire.h2.send_headers(self.number, HEAD)
        view = memoryview(data)
        with trio.move_on_after(limits.WRITE_TIMEOUT_S) as scope:
            while view:
                if self.reset:
                    raise ConnectionLost("the client has cancelled")
                room = wire.room(self.number)
                if room <= 0:  # the client reads slowly: so does the engine, then
                    await wire.flush()
                    await wire.window_grew.wait()
                    continue
                wire.h2.send_data(self.number, bytes(view[:room]))
                view = view[room:]
                await wire.flush()
        if scope.cancelled_caught:  # guards engines against a client that never reads
            self.abort(h2.errors.ErrorCodes.CANCEL)
            raise ConnectionLost("the client takes nothing")

    def abort(self, code: h2.errors.ErrorCodes) -> None:
        if not self.reset:
            self.reset = True
            self.client.wire.h2.reset_stream(self.number, code)

    async def message(self) -> bytes | None:
        """The next request message; None when the client has sent all."""
        while True:
            if self.crowded:
                raise GrpcError(
                    Code.UNAVAILABLE, "too many large requests", [("grpc-retry-pushback-ms", "1000")]
                )
            message = self.deframer.next()
            if message is not None:
                self.give_room()
                return message
            if self.ended:
                if self.deframer.partial:
                    raise GrpcError(Code.INVALID_ARGUMENT, "the last message is cut off")
                return None
            self.give_room()
            # A stream may stand open between its messages; a request that has begun goes on.
            begun = self.unary or self.deframer.partial
            with trio.move_on_after(limits.STALL_TIMEOUT_S if begun else math.inf) as stall:
                await self.changed.wait()
            if stall.cancelled_caught:
                raise GrpcError(Code.DEADLINE_EXCEEDED, "the request does not go on")

    def give_room(self) -> None:
        """Let the client send on; what was read is bounded by the largest message."""
        if self.unread and not self.ended:
            unread, self.unread = self.unread, 0
            self.client.wire.consumed(self.number, unread)
            self.client.wire.hand_over()

    async def run(self) -> None:
        """Lead the call to its one status."""
        try:
            with self.scope:
                try:
                    await self.call()
                    await self.close(Code.OK, metadata=self.trailing)
                except GrpcError as error:
                    await self.close(error.code, error.message, error.metadata)
        except (ConnectionLost, h2.exceptions.ProtocolError):
            pass  # the client has cancelled or gone: nobody is there to hear the status
        finally:
            self.client.over(self)

    async def close(self, code: int, message: str = "", metadata: Headers | None = None) -> None:
        if self.reset:
            return
        wire = self.client.wire
        fields = trailers(code, message, metadata or [])
        if not self.head_sent:
            fields = [*HEAD, *fields]
        wire.h2.send_headers(self.number, fields, end_stream=True)
        if not self.ended:  # it need not send the rest of what nobody reads
            wire.h2.reset_stream(self.number, h2.errors.ErrorCodes.NO_ERROR)
        await wire.flush()

    async def call(self) -> None:
        if self.head.headers.get(":method") != "POST":
            raise GrpcError(Code.UNIMPLEMENTED, "gRPC calls are POST requests")
        service, _, method = self.head.headers.get(":path", "").removeprefix("/").partition("/")
        if service != SERVICE:
            raise GrpcError(Code.UNIMPLEMENTED, f"unknown service {service[:100]}")
        if self.head.twice:
            raise GrpcError(Code.INVALID_ARGUMENT, f"{self.head.twice} is given twice")
        if self.head.headers.get("grpc-encoding", "identity") != "identity":
            raise GrpcError(Code.UNIMPLEMENTED, "compressed messages are not supported")
        if method == "ModelStreamInfer":
            while (message := await self.message()) is not None:
                await self.infer(method, message)
            if not self.head_sent:
                await self.send(b"")
            return
        with trio.move_on_after(limits.BODY_TIMEOUT_S) as scope:
            message = await self.message()
            if message is not None and await self.message() is not None:
                raise GrpcError(Code.INVALID_ARGUMENT, "a unary call with two messages")
        if scope.cancelled_caught:
            raise GrpcError(Code.DEADLINE_EXCEEDED, "the request did not arrive in time")
        if message is None:
            raise GrpcError(Code.INVALID_ARGUMENT, "a unary call without a message")
        if method == "ModelInfer":
            await self.infer(method, message)
            return
        await self.send(frame(self.client.front.local(method, message).SerializeToString()))

    async def infer(self, method: str, message: bytes) -> None:
        """One RPC, from its message to its final answer."""
        front = self.client.front
        if front.is_refusing:
            raise GrpcError(Code.UNAVAILABLE, "stopping")
        request = parse(pb.ModelInferRequest(), message)
        front.known_model(request.model_name)
        rpc = rpc_from(self.head, method, message, request.id, front.settings, front.core, self)
        self.final, self.finished = None, trio.Event()
        try:
            front.core.submit(rpc)
        except Overloaded:
            raise GrpcError(
                Code.UNAVAILABLE, "too many open requests", [("grpc-retry-pushback-ms", "1000")]
            ) from None
        except NameTaken:
            raise GrpcError(Code.ALREADY_EXISTS, f"{MARK}request-id is that of an open request") from None
        self.answering = True
        try:
            await self.finished.wait()
        finally:
            self.answering = False
            front.core.client_gone(rpc)  # of no effect once it is answered
        assert self.final is not None
        error = answer_of(self.final)
        if error is not None:
            raise error
        if isinstance(self.final.server_status, GrpcError):
            self.trailing = self.final.server_status.metadata  # on a long stream, the last answer's


M = TypeVar("M", bound=Message)


def parse(into: M, message: bytes) -> M:
    try:
        into.ParseFromString(message)
    except DecodeError:
        raise GrpcError(Code.INVALID_ARGUMENT, "the message is malformed") from None
    return into
