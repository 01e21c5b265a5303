"""The second front: KServe v2 over gRPC. Each stream carries one RPC, or one after the other."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TypeVar

import h2.errors
import h2.events
import h2.exceptions
import trio
from google.protobuf.message import DecodeError, Message
from hyperframe.frame import GoAwayFrame

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import (
    SERVICE,
    Code,
    Farewell,
    GrpcError,
    Headers,
    Unframer,
    frame,
    parse_timeout,
    trailers,
)
from ...routing.types import RPC, Cause, Final, Log, NameTaken, Outcome, Overloaded, Router, SinkClosed
from ...transport.admission import Stage
from ...transport.budget import Descriptors, Payloads
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits
from ..front import Front
from .grpc import ServerWire

MOST_STREAMS = 64  # at once on a connection
PING_S = 10.0  # for the answer to a keepalive ping
IDLE_S = 60.0
LONGEST_WAIT_S = 3600.0
MARK = "sorreldock-"  # what our metadata begins with
# Metadata that is not the application's, or that the next hop sets anew.
HOP = re.compile(r":|grpc-|te$|content-type$|user-agent$|host$|connection$|x-forwarded|accept-encoding$")
HEAD = [(":status", "200"), ("content-type", "application/grpc")]


@dataclass(frozen=True, slots=True)
class KservePayload:
    """What passes on to an engine untranslated."""

    method: str
    metadata: Headers
    message: bytes


@dataclass(frozen=True, slots=True)
class FrontSettings:
    models: tuple[str, ...]
    default_class: str
    default_tenant: str
    keepalive_s: float


def answer_of(final: Final) -> GrpcError | None:
    """The status of an RPC's final answer; None for OK."""
    if isinstance(final.verdict, GrpcError):  # an engine's own word on a faulty request
        return final.verdict if final.verdict.code != Code.OK else None
    if final.outcome is Outcome.SERVED:
        return None
    if final.cause is Cause.DEADLINE:
        return GrpcError(Code.DEADLINE_EXCEEDED, "no answer began in time")
    if final.outcome is Outcome.REFUSED:
        # Without the module's advice 0: trying again is harmless. Clients read it as milliseconds.
        pause = max(math.ceil(final.retry_after_s * 1000), 0)
        advice = [("grpc-retry-pushback-ms", str(pause))]
        return GrpcError(Code.UNAVAILABLE, f"refused: {final.cause.value}", advice)
    if final.may_have_run:
        return GrpcError(Code.INTERNAL, "the engine failed, and may have run the request")
    return GrpcError(Code.UNAVAILABLE, "no engine could be reached")


class ClientStream:
    """A stream, and the sink of the RPC that is on it."""

    def __init__(self, client: ClientConnection, number: int, headers: Headers) -> None:
        self.client = client
        self.number = number
        self.headers = dict(headers)
        # Guards against calls that two readers read differently, as on the platform's front.
        own = [k for k, _ in headers if k.startswith(MARK) or k in ("grpc-timeout", "content-type")]
        self.twice = next((k for k in own if own.count(k) > 1), "")
        self.unary = not self.headers.get(":path", "").endswith("/ModelStreamInfer")
        self.metadata = [(k, v) for k, v in headers if not HOP.match(k) and not k.startswith(MARK)]
        self.arrived_at = trio.current_time()
        self.scope = trio.CancelScope()
        self.unframer = Unframer(limits.LARGEST_BODY)
        self.held_bytes = 0  # of the payload budget
        self.unread = 0  # bytes in the unframer that the peer has not got back as room
        self.crowded = False  # its request found no room in memory
        self.ended = False  # the client has sent all
        self.reset = False
        self.changed = trio.Event()
        self.head_sent = False
        self.trailing: Headers = []  # the engine's own, for the client
        self.final: Final | None = None
        self.finished = trio.Event()
        self.answering = False  # from a request's submission until its answer is handed to the wire

    @property
    def owes_answer(self) -> bool:
        """A long stream between two requests owes none."""
        return self.unary or self.answering or self.unframer.partial

    # The core's side.

    async def event(self, data: bytes) -> None:
        if self.final is not None or self.reset:
            raise SinkClosed
        self.release()  # an answer has begun: the core has let the payload go
        try:
            await self.send(frame(data))
        except (ConnectionLost, h2.exceptions.ProtocolError):
            raise SinkClosed from None

    def finish(self, final: Final) -> None:
        self.final = final
        self.finished.set()

    def left(self) -> bool:
        return self.reset or self.client.wire.connection.closed_by_peer

    # The wire's side.

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def feed(self, data: bytes, length: int) -> None:
        self.unread += length
        if self.client.front.payloads.take(len(data)):
            self.held_bytes += len(data)
            self.unframer.feed(data)
        else:
            self.crowded = True
        self.notify()

    def release(self) -> None:
        self.client.front.payloads.give_back(self.held_bytes)
        self.held_bytes = 0

    async def send(self, data: bytes) -> None:
        wire = self.client.wire
        if not self.head_sent:
            self.head_sent = True
            wire.h2.send_headers(self.number, HEAD)
        view = memoryview(data)
        with trio.move_on_after(limits.WRITE_S) as scope:
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
            message = self.unframer.next()
            if message is not None:
                self.give_room()
                return message
            if self.ended:
                if self.unframer.partial:
                    raise GrpcError(Code.INVALID_ARGUMENT, "the last message is cut off")
                return None
            self.give_room()
            # A stream may stand open between its messages; a request that has begun goes on.
            begun = self.unary or self.unframer.partial
            with trio.move_on_after(limits.STALL_S if begun else math.inf) as stall:
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
        if self.headers.get(":method") != "POST":
            raise GrpcError(Code.UNIMPLEMENTED, "gRPC calls are POST requests")
        service, _, method = self.headers.get(":path", "").removeprefix("/").partition("/")
        if service != SERVICE:
            raise GrpcError(Code.UNIMPLEMENTED, f"unknown service {service[:100]}")
        if self.twice:
            raise GrpcError(Code.INVALID_ARGUMENT, f"{self.twice} is given twice")
        if self.headers.get("grpc-encoding", "identity") != "identity":
            raise GrpcError(Code.UNIMPLEMENTED, "compressed messages are not supported")
        if method == "ModelStreamInfer":
            while (message := await self.message()) is not None:
                await self.infer(method, message)
            if not self.head_sent:
                await self.send(b"")
            return
        with trio.move_on_after(limits.BODY_S) as scope:
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
        request = parse(pb.ModelInferRequest(), message)
        front.known_model(request.model_name)
        rpc = self.rpc(method, message, request.id)
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
        if isinstance(self.final.verdict, GrpcError):
            self.trailing = self.final.verdict.metadata  # on a long stream, the last answer's

    def rpc(self, method: str, message: bytes, request_id: str) -> RPC:
        front = self.client.front
        fields = {k.removeprefix(MARK): v for k, v in self.headers.items() if k.startswith(MARK)}
        if any(len(value) > 200 for value in fields.values()):
            raise GrpcError(Code.INVALID_ARGUMENT, "a value of our metadata is too long")
        rpc_class = fields.get("class", front.settings.default_class)
        if rpc_class not in front.core.classes:
            raise GrpcError(Code.INVALID_ARGUMENT, f"{MARK}class names no class: {rpc_class or 'missing'}")
        tenant = fields.get("tenant", front.settings.default_tenant)
        if front.core.tenants and tenant not in front.core.tenants:
            raise GrpcError(Code.INVALID_ARGUMENT, f"{MARK}tenant names no tenant: {tenant or 'missing'}")

        def tokens(name: str) -> int:
            text = fields.get(name, "0")
            if not re.fullmatch(r"\d{1,9}", text):
                raise GrpcError(Code.INVALID_ARGUMENT, f"{MARK}{name} is not a whole number")
            return int(text)

        timeout = self.headers.get("grpc-timeout")
        if timeout is None:
            left = front.core.classes[rpc_class].deadline_s
        else:
            left = min(parse_timeout(timeout), LONGEST_WAIT_S) - (trio.current_time() - self.arrived_at)
            if left <= 0:
                raise GrpcError(Code.DEADLINE_EXCEEDED, "the deadline has passed")
        return RPC(
            name=fields.get("request-id") or request_id[:200] or f"grpc-{self.number}",
            protocol="kserve",
            rpc_class=rpc_class,
            expires_in_s=left,
            payload=KservePayload(method, self.metadata, message),
            sink=self,
            session=fields.get("session", ""),
            prefix=fields.get("prefix", ""),
            tenant=tenant,
            prompt_tokens=tokens("prompt-tokens"),
            prefix_tokens=tokens("prefix-tokens"),
            max_output_tokens=tokens("max-output-tokens"),
            is_retry=self.headers.get("grpc-previous-rpc-attempts", "0") != "0",
            # The standard's own id need not be unique: clients count from 1.
            named_by_client=bool(fields.get("request-id")),
        )


M = TypeVar("M", bound=Message)


def parse(into: M, message: bytes) -> M:
    try:
        into.ParseFromString(message)
    except DecodeError:
        raise GrpcError(Code.INVALID_ARGUMENT, "the message is malformed") from None
    return into


class ClientConnection:
    """The actor of one client connection: the only reader of its wire."""

    held_bytes = 0  # its streams hold their own; a message that has begun counts as taken

    def __init__(self, front: KserveFront, connection: Connection) -> None:
        self.front = front
        self.wire = ServerWire(connection, MOST_STREAMS)
        self.streams: dict[int, ClientStream] = {}
        self.scope = trio.CancelScope()
        self.heard_at = trio.current_time()
        self.idle_since = self.heard_at
        self.spoken = False
        self.going = self.gone = self.at_fault = False  # a first GOAWAY was sent; the last one
        self.ending = trio.Event()

    def close_if_idle(self) -> bool:
        idle = not self.streams and not self.scope.cancel_called
        if idle:
            self.scope.cancel()
        return idle

    @property
    def stage(self) -> Stage:
        if self.streams:
            return Stage.TAKEN
        return Stage.IDLE if self.spoken else Stage.SILENT

    @property
    def owes_answer(self) -> bool:
        return self.wire.unsent or any(stream.owes_answer for stream in self.streams.values())

    @property
    def since(self) -> float:
        return self.idle_since

    @property
    def readable(self) -> bool:
        return self.wire.connection.readable

    def make_room(self) -> None:
        self.close_if_idle()
        self.wire.connection.close()

    def over(self, stream: ClientStream) -> None:
        self.streams.pop(stream.number, None)
        stream.release()
        if stream.unread:  # what nobody will read must not narrow the connection for the others
            self.wire.consumed(stream.number, stream.unread)
        if not self.streams:
            self.idle_since = trio.current_time()
            self.front.queue.enter(self)
        if (self.gone or (self.going and not self.front.accepting)) and not self.streams:
            self.ending.set()

    async def end(self) -> None:
        """Close once the last status has been written."""
        await self.ending.wait()
        with trio.move_on_after(1.0):
            await self.wire.flush()
            await self.wire.flushed()
        self.scope.cancel()

    async def run(self) -> None:
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.wire.write)
                    nursery.start_soon(self.keep_alive)
                    nursery.start_soon(self.greeted)
                    nursery.start_soon(self.end)
                    await self.read(nursery)
                    with trio.move_on_after(1.0):
                        await self.wire.flushed()  # the farewell, if the client was at fault
                    if self.at_fault:
                        await self.wire.connection.hang_up(limits.HANG_UP_S, limits.QUIET_S)
                    nursery.cancel_scope.cancel()
        except* (ConnectionLost, h2.exceptions.ProtocolError):
            pass  # the client has gone, or is none of ours

    async def read(self, nursery: trio.Nursery) -> None:
        await self.wire.flush()
        while True:
            try:
                events = await self.wire.receive()
            except h2.exceptions.ProtocolError:
                self.at_fault = True
                await self.wire.flush()  # the state has a GOAWAY to send that says what was wrong
                return
            if events is None:
                return
            self.heard_at = trio.current_time()
            if events and not self.spoken:
                self.spoken, self.idle_since = True, self.heard_at
            for event in events:
                self.take(event, nursery)
            if not self.streams:
                self.front.queue.enter(self)
            self.wire.hand_over()

    def take(self, event: h2.events.Event | Farewell, nursery: trio.Nursery) -> None:
        match event:
            case h2.events.RequestReceived():
                assert event.stream_id is not None and event.headers is not None
                if self.gone or (self.going and not self.front.accepting):
                    # Named by our GOAWAY as not taken: the client may send it elsewhere.
                    # It may have been reset in the same read: then there is nothing to refuse, and the other
                    # streams of the connection must not end for it.
                    with suppress(h2.exceptions.StreamClosedError):
                        self.wire.h2.reset_stream(event.stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)
                    return
                headers = [(str(k), str(v)) for k, v in event.headers]
                stream = self.streams[event.stream_id] = ClientStream(self, event.stream_id, headers)
                self.front.queue.leave(self)
                nursery.start_soon(stream.run)
                if not self.front.accepting:  # it came while the router was drained: this call and no more
                    self.go_away()
            case h2.events.DataReceived():
                assert event.stream_id is not None and event.data is not None
                length = event.flow_controlled_length or 0
                taker = self.streams.get(event.stream_id)
                if taker is None:  # answered already; the connection's window must not starve of it
                    self.wire.consumed(event.stream_id, length)
                else:
                    taker.feed(event.data, length)
            case h2.events.StreamEnded():
                ended = self.streams.get(event.stream_id or 0)
                if ended is not None:
                    ended.ended = True
                    ended.notify()
            case h2.events.StreamReset():
                gone = self.streams.get(event.stream_id or 0)
                if gone is not None:  # a cancel: the module hears that the client has gone
                    gone.reset = True
                    gone.scope.cancel()
            case _:
                pass

    async def greeted(self) -> None:
        """Close a connection that does not begin as HTTP/2 does, in the time that a head may take; and one
        that comes to a drained router and brings no call, sooner.
        """
        if not self.front.accepting:
            await trio.sleep(limits.LATE_S)
            if not self.streams and not self.front.accepting:
                self.go_away()
        await trio.sleep(limits.HEAD_S)
        if not self.spoken:
            self.scope.cancel()

    async def keep_alive(self) -> None:
        """Ping a quiet client: one on a poor link may be gone without a word."""
        interval = self.front.settings.keepalive_s
        idle_since = trio.current_time()
        while True:
            await trio.sleep(interval)
            if self.streams:
                idle_since = trio.current_time()
            elif trio.current_time() - idle_since >= IDLE_S:
                self.go_away()
                self.ending.set()
            if trio.current_time() - self.heard_at < interval:
                continue
            asked_at = trio.current_time()
            self.wire.h2.ping(b"sorrel!!")
            await self.wire.flush()
            await trio.sleep(min(PING_S, interval))
            if self.heard_at < asked_at:
                raise ConnectionLost("no answer to a ping")

    def go_away(self) -> None:
        """Say that nothing new is taken; the open streams end by themselves."""
        last = 2**31 - 1 if self.front.accepting else self.wire.h2.highest_inbound_stream_id
        notice = GoAwayFrame(0, last_stream_id=last, error_code=0)
        self.going, self.gone = True, not self.front.accepting
        self.wire.raw(notice.serialize())
        if not self.streams and not self.front.accepting:
            self.ending.set()


class KserveFront(Front[ClientConnection]):
    def __init__(
        self,
        settings: FrontSettings,
        version: str,
        core: Router,
        is_ready: Callable[[], bool],
        budget: Descriptors,
        payloads: Payloads,
        log: Log,
    ) -> None:
        super().__init__(core, is_ready, budget, payloads, log)
        self.settings = settings
        self.version = version
        self.accepting = True

    def attend(self, connection: Connection) -> ClientConnection:
        return ClientConnection(self, connection)

    def known_model(self, name: str) -> None:
        if name not in self.settings.models:
            raise GrpcError(Code.NOT_FOUND, f"unknown model {name[:100]}")

    def local(self, method: str, message: bytes) -> Message:
        """The answers that need no engine."""
        match method:
            case "ServerLive":
                parse(pb.ServerLiveRequest(), message)
                return pb.ServerLiveResponse(live=True)
            case "ServerReady":
                parse(pb.ServerReadyRequest(), message)
                return pb.ServerReadyResponse(ready=self.is_ready())
            case "ServerMetadata":
                parse(pb.ServerMetadataRequest(), message)
                return pb.ServerMetadataResponse(name="sorreldock", version=self.version)
            case "ModelReady":
                request = parse(pb.ModelReadyRequest(), message)
                self.known_model(request.name)
                return pb.ModelReadyResponse(ready=self.is_ready())
            case _:
                raise GrpcError(Code.UNIMPLEMENTED, f"{method[:100]} is not served here")

    async def linger(self) -> None:
        self._tell_going()

    async def drain(self) -> None:
        self.accepting = False
        self._tell_going()

    def resume(self) -> None:
        self.accepting = True

    def _tell_going(self) -> None:
        """GOAWAY to all: first while still accepting, then for good."""
        for client in list(self.clients):
            client.go_away()
            try:
                client.wire.hand_over()  # one that reads nothing must not keep the others waiting
            except ConnectionLost:
                client.scope.cancel()
