"""The platform's front: HTTP/1.1 clients, one RPC at a time on a connection."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace

import h11
import trio

from ...routing.types import RPC, FinalAnswer, NameTaken, Outcome, Overloaded, SinkClosed
from ...transport.admission import Stage
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits
from ..front import Front
from .arrivals import Arrivals
from .fields import SERVED_PATH, BadRequest, HttpPayload, end_to_end, rpc_from, unique_fields

LARGEST_HEAD = 16 * 1024
# Bytes kept of requests that a client sends before it has been answered: one of the largest. Later ones are
# read and dropped, since the client's close can only be seen behind them; the first of them gets a 503.
LARGEST_AHEAD = limits.MAX_BODY_BYTES + LARGEST_HEAD
LEAST_WAIT_S = 0.001  # of who has given up already: the module ends it
IDLE_S = 5.0  # between requests; the platform allows 2 s, and clients come again over a new connection
CLOSE = (b"connection", b"close")
STREAM_HEAD = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache")]


class ClientStalled(ConnectionLost):
    """The client has taken nothing of its answer for too long."""


class Answered(Exception):
    """The request gets this plain answer, without the core."""

    def __init__(self, status: int, text: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers


class ClientConnection:
    """The actor of one client connection, and the sink of the RPC that is on it."""

    def __init__(self, front: HttpFront, connection: Connection) -> None:
        self.front = front
        self.connection = connection
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=LARGEST_HEAD)
        # Cancelled to close the connection between requests. A scope serves once, so there is one a wait:
        # with a single one every kept connection died at its second request.
        self.waiting: trio.CancelScope | None = None
        self.connected_at = trio.current_time()
        self.stage, self.since = Stage.SILENT, self.connected_at
        self.has_sent_request = self.hung_up = False
        self.reserved_bytes = self.ahead_bytes = 0
        self.arrivals = Arrivals(self.connected_at)
        self.dropping = False  # more was sent ahead than is kept: what comes now is read and dropped
        self.final: FinalAnswer | None = None
        self.finished = trio.Event()
        self.head_sent = False
        self.rpc_key = ""  # of the last RPC, for the log

    @property
    def owes_answer(self) -> bool:
        return self.stage in (Stage.HALF, Stage.TAKEN)

    def close_if_idle(self) -> bool:
        if self.hung_up:  # its last answer may be unread, and a close could turn it into a reset
            return False
        idle = self.waiting is not None and not self.waiting.cancel_called
        if self.waiting is not None:
            self.waiting.cancel()
        return idle

    @property
    def readable(self) -> bool:
        return self.connection.readable

    def evict(self) -> None:
        self.connection.close()
        self.release_body()
        self.reach(Stage.TAKEN)  # of its own end; nothing more to give

    def reach(self, stage: Stage) -> None:
        self.stage, self.since = stage, trio.current_time()
        self.front.queue.enter(self)

    # The core's side.

    async def send_event(self, data: bytes) -> None:
        if self.final is not None:
            raise SinkClosed
        out = b""
        if not self.head_sent:
            self.head_sent = True
            self.release_body()
            out = self.encode(h11.Response(status_code=200, headers=[*STREAM_HEAD, *self.closing()]))
        try:
            await self.write(out + self.encode(h11.Data(data=data)))
        except ConnectionLost:
            raise SinkClosed from None

    def finish(self, final: FinalAnswer) -> None:
        self.final = final
        self.finished.set()

    def has_client_left(self) -> bool:
        return self.connection.ended()

    # The wire's side.

    def encode(self, event: h11.Event) -> bytes:
        return self.parser.send(event) or b""

    async def write(self, data: bytes) -> None:
        with trio.move_on_after(limits.WRITE_TIMEOUT_S) as scope:
            await self.connection.send(data)
        if scope.cancelled_caught:  # guards memory and engines against a reader that never reads
            raise ClientStalled("the client takes nothing")

    def closing(self) -> list[tuple[bytes, bytes]]:
        ends = self.front.draining and self.front.pass_connection is None
        return [(b"connection", b"close")] if ends else []

    def release_body(self) -> None:
        self.front.payloads.give_back(self.reserved_bytes)
        self.reserved_bytes = 0

    def release_ahead(self) -> None:
        """What was sent ahead is parsed, or nobody's any longer."""
        self.front.payloads.give_back(self.ahead_bytes)
        self.ahead_bytes = 0

    async def run(self) -> None:
        try:
            while True:
                try:
                    request = await self.next_request()
                    if request is None:
                        await self.pass_on()
                        return
                    await self.handle_request(request)
                except Answered as answer:
                    await self.answer(answer.status, answer.text, answer.headers)
                finally:
                    self.release_body()
                if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
                    await self.leave()
                    return
                self.parser.start_next_cycle()
                if self.front.closing and not self.begun():  # what has come of a request is answered
                    await self.pass_on()
                    if self.front.pass_connection is None:
                        await self.leave()
                    return
        except (ConnectionLost, h11.LocalProtocolError) as error:
            self.tell_closed(error)
        except Exception:  # a fault of ours: the client gets an answer all the same, if none has begun
            with suppress(ConnectionLost, h11.LocalProtocolError):
                await self.answer(500, "fault in the router", (CLOSE,))
            raise
        finally:
            self.release_ahead()

    def tell_closed(self, error: Exception) -> None:
        """Log the end of a connection on which an answer, or the rest of one, was owed."""
        left_first = self.final is not None and self.final.outcome is Outcome.GONE
        if self.owes_answer and not left_first:
            self.front.log(
                "info",
                "CLOSED",
                "connection ended with an answer owed",
                rpc=self.rpc_key,
                stage=self.stage.value,
                head_sent=self.head_sent,
                reason=f"{type(error).__name__}: {error}",
            )
            broken = self.final is not None and self.final.outcome is Outcome.BROKEN
            if not broken and not isinstance(error, ClientStalled) and not self.has_client_left():
                self.front.core.closed_without_answer(self.rpc_key, str(error))

    async def leave(self) -> None:
        """End the connection behind something that was just written. What still comes is nobody's any more,
        and its sender learns so by the end of ours.
        """
        if not self.hung_up:
            self.hung_up = True
            with trio.CancelScope() as self.waiting:
                self.reach(Stage.IDLE)
                await self.connection.hang_up(limits.HANG_UP_TIMEOUT_S, limits.HANG_UP_QUIET_S)

    def begun(self) -> bool:
        """Whether a part of the next request has been read."""
        return self.dropping or self.parser.trailing_data[0] != b"" or bool(self.connection.unread)

    async def pass_on(self) -> None:
        """Leave the connection to the process that follows, if there is one; what the kernel holds unread of
        it goes along. Guards what crosses: a close would reset a request that is on its way.
        """
        if self.front.closing and self.front.pass_connection is not None and not self.begun():
            await self.front.pass_connection(self.connection)

    async def next_request(self) -> h11.Request | None:
        """The next head; None at the connection's end."""
        head_by = self.connected_at + limits.HEAD_TIMEOUT_S
        if not self.begun():
            self.release_ahead()
            patience = (
                limits.DRAINING_FIRST_BYTE_TIMEOUT_S
                if self.front.closing
                else IDLE_S
                if self.has_sent_request
                else limits.HEAD_TIMEOUT_S
            )
            with trio.move_on_after(patience) as self.waiting:
                self.reach(Stage.IDLE if self.has_sent_request else Stage.SILENT)
                if not await self.connection.fill():
                    return None
            self.waiting = None
            if not self.connection.unread and (self.front.pass_connection or not await self.came_meanwhile()):
                return None
        self.reach(Stage.HALF)
        if self.has_sent_request:
            head_by = trio.current_time() + limits.HEAD_TIMEOUT_S
        self.has_sent_request = True
        with trio.move_on_at(head_by):
            request = await self.next_event()
            return request if isinstance(request, h11.Request) else None
        raise Answered(408, "the head did not arrive in time", (CLOSE,))

    async def came_meanwhile(self) -> bool:
        """Guards a request that comes in the moment in which its connection was to be closed."""
        return self.connection.readable and bool(await self.connection.fill())

    async def next_event(self) -> h11.Event | None:
        """The parser's next event; None when the client has ended its sending."""
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                if self.parser.their_state is h11.ERROR and not self.parser.trailing_data[1]:
                    what = str(error).partition(":")[0]  # not what the client has sent
                    raise Answered(error.error_status_hint, f"malformed HTTP: {what}", (CLOSE,)) from None
                return None
            if event is h11.NEED_DATA:
                if self.parser.they_are_waiting_for_100_continue:
                    await self.write(self.encode(h11.InformationalResponse(status_code=100, headers=[])))
                if self.dropping:
                    raise Answered(503, "too much was sent ahead", (CLOSE,))
                data = await self.connection.receive()
                self.since = trio.current_time()
                self.front.queue.enter(self)
                self.arrivals.add(len(data), self.since)
                self.parser.receive_data(data)
            elif isinstance(event, h11.ConnectionClosed):
                return None
            else:
                return event  # type: ignore[return-value]

    async def handle_request(self, request: h11.Request) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == "/up":
            self.require(request, b"GET")
            await self.body()
            ready = self.front.is_ready()
            await self.answer(200 if ready else 503, "ready" if ready else "not ready")
        elif path == SERVED_PATH:
            self.require(request, b"POST")
            await self.call(request)
        else:
            raise Answered(404, "no such path")

    @staticmethod
    def require(request: h11.Request, method: bytes) -> None:
        if request.method != method:
            raise Answered(405, "method not allowed", ((b"allow", method),))

    async def body(self, length: bytes = b"0") -> bytes:
        if length.isdigit() and int(length) > limits.MAX_BODY_BYTES:
            raise Answered(413, "the body is larger than 256 KiB", (CLOSE,))
        parts: list[bytes] = []
        size = 0
        with trio.move_on_after(limits.BODY_TIMEOUT_S):
            while True:
                with trio.move_on_after(limits.STALL_TIMEOUT_S) as stall:
                    event = await self.next_event()
                if stall.cancelled_caught:
                    raise Answered(408, "the body does not go on", (CLOSE,))
                if isinstance(event, h11.EndOfMessage):
                    self.reach(Stage.TAKEN)
                    return b"".join(parts)
                if not isinstance(event, h11.Data):
                    raise ConnectionLost("the client left within its body")
                size += len(event.data)
                if size > limits.MAX_BODY_BYTES:
                    raise Answered(413, "the body is larger than 256 KiB", (CLOSE,))
                if not self.front.reserve_payload(self, len(event.data)):
                    raise Answered(503, "too many large requests", ((b"retry-after", b"1"), CLOSE))
                parts.append(bytes(event.data))
        raise Answered(408, "the body did not arrive in time", (CLOSE,))

    async def call(self, request: h11.Request) -> None:
        # Checked before the body is read: what can't be used is answered whatever it says of its length.
        core = self.front.core
        self.final, self.finished, self.head_sent = None, trio.Event(), False
        try:
            headers = unique_fields(request.headers)
            rpc = rpc_from(headers, request.target, core.classes, core.tenants, self)
        except BadRequest as error:
            raise Answered(400, str(error), (CLOSE,)) from None
        assert isinstance(rpc.payload, HttpPayload)
        rpc.payload = replace(rpc.payload, other_fields=end_to_end(request.headers))
        # In no local variable: it would hold the body for as long as the answer streams, uncounted.
        rpc.payload = replace(rpc.payload, body=await self.body(headers.get(b"content-length", b"0")))
        if self.front.is_refusing:
            raise Answered(503, "stopping", (CLOSE,))
        # One that waited behind another's answer: its client's clock ran meanwhile.
        arrived_at = self.arrivals.of_last_parsed(len(self.parser.trailing_data[0]))
        rpc.expires_in_s = max(rpc.expires_in_s - (trio.current_time() - arrived_at), LEAST_WAIT_S)
        try:
            core.submit(rpc)
            self.rpc_key = rpc.key
        except Overloaded:
            raise Answered(503, "too many open requests", ((b"retry-after", b"1"),)) from None
        except NameTaken:
            raise Answered(409, "X-Trace-Id is that of an open request", (CLOSE,)) from None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch, rpc)
                await self.finished.wait()
                nursery.cancel_scope.cancel()
        finally:
            core.client_gone(rpc)  # of no effect once it is answered
        await self.conclude()

    async def watch(self, rpc: RPC) -> None:
        """Read on until the client closes, and tell the core when it does."""
        reason = "end of its sending"
        try:
            while data := await self.connection.receive():
                self.keep_ahead(data)
        except ConnectionLost as error:
            reason = str(error)
        self.front.core.client_gone(rpc, reason)

    def keep_ahead(self, data: bytes) -> None:
        """Keep what belongs to later requests for the parser, within the bounds on memory."""
        room = self.ahead_bytes + len(data) <= LARGEST_AHEAD
        if self.dropping or not room or not self.front.payloads.take(len(data)):
            self.dropping = True
            return
        self.ahead_bytes += len(data)
        self.arrivals.add(len(data), trio.current_time())
        self.parser.receive_data(data)

    async def conclude(self) -> None:
        final = self.final
        assert final is not None
        if isinstance(final.server_status, int):  # an engine's own word on a faulty request
            await self.answer(final.server_status, "the engine can't use the request")
        elif final.outcome is Outcome.SERVED:
            if not self.head_sent:
                await self.write(self.encode(h11.Response(status_code=200, headers=STREAM_HEAD)))
            await self.write(self.encode(h11.EndOfMessage()))
        elif final.outcome is Outcome.REFUSED:
            advice: tuple[tuple[bytes, bytes], ...] = ()
            if final.retry_after_s > 0:
                advice = ((b"retry-after", f"{final.retry_after_s:.3f}".encode()),)
            await self.answer(503, f"refused: {final.cause.value}", advice)
        elif final.outcome is Outcome.FAILED:
            await self.answer(504 if final.cause.value == "deadline" else 502, "failed")
        else:  # broken or gone: the connection ends here, without the last chunk
            if final.outcome is Outcome.BROKEN:
                await self.leave()
            raise ConnectionLost("stream broken")

    async def answer(self, status: int, text: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        if self.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise ConnectionLost("an answer has begun")
        body = text.encode() + b"\n"
        head = [(b"content-type", b"text/plain"), (b"content-length", str(len(body)).encode()), *headers]
        if self.parser.their_state is h11.SEND_BODY and CLOSE not in headers:  # nobody will read its body
            headers, head = (*headers, CLOSE), [*head, CLOSE]
        if CLOSE not in headers:
            head += self.closing()
        out = self.encode(h11.Response(status_code=status, headers=head))
        out += self.encode(h11.Data(data=body)) + self.encode(h11.EndOfMessage())
        await self.write(out)
        if CLOSE in headers:  # the client was at fault: whatever it still sends is not for us
            await self.leave()


class HttpFront(Front[ClientConnection]):
    """The client connections that speak HTTP/1.1."""

    draining = False  # answers say `Connection: close`
    closing = False  # connections end after their answer

    def create_client(self, connection: Connection) -> ClientConnection:
        return ClientConnection(self, connection)

    async def linger(self) -> None:
        self.draining = True

    async def drain(self) -> None:
        """Close connections between requests, now and from now on."""
        self.closing = True
        for client in self.clients:
            client.close_if_idle()

    def resume(self) -> None:
        self.draining = self.closing = False
