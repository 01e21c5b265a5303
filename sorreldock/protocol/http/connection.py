"""The HTTP/1.1 connections of clients, with one RPC at a time on each."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from functools import partial

import h11
import trio

from ...routing.types import (
    RPC,
    FinalAnswer,
    MayHaveRun,
    NameTaken,
    Outcome,
    Overloaded,
    SinkClosed,
)
from ...transport.admission import STAGE_TIMEOUT_S, Stage
from ...transport.blocks import BlockBuffer
from ...transport.close_watch import CloseWatch
from ...transport.connection import Connection, ConnectionLost, WriteStalled
from ...transport.turns import Share
from .. import front as limits
from ..front import Front
from .answers import CLOSE, ImmediateAnswer, PayloadRefused
from .arrivals import Arrivals
from .body import BodyReader
from .closing import Closing
from .fields import (
    SERVED_PATH,
    BadRequest,
    HttpPayload,
    end_to_end,
    has_too_many_lines,
    rpc_from,
    unique_fields,
)

MAX_HEAD_BYTES = 16 * 1024
# The limit on buffered bytes of pipelined requests: one of the largest. Further ones stay in the kernel.
MAX_PIPELINED_BYTES = limits.MAX_BODY_BYTES + MAX_HEAD_BYTES
IDLE_TIMEOUT_S = 5.0  # between requests; the platform requires 2 s, and clients reconnect after a close
MAX_UNREAD_BYTES = 1024 * 1024  # that the kernel is asked to hold for a client that sends too far ahead
STREAM_HEAD = [(b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache")]


class ClientStalled(ConnectionLost):
    """The client has not read its answer for too long."""


class ClientConnection:
    """The actor of one client connection, and the sink of its current RPC."""

    def __init__(
        self,
        front: Front[ClientConnection],
        connection: Connection,
        closing: Closing,
        close_watch: CloseWatch,
    ) -> None:
        self.front = front
        self.closing = closing
        self.close_watch = close_watch
        self.connection = connection
        self.share = Share()
        connection.before_read = partial(front.turns.wait, self.share)
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        # Cancelled to close the connection between requests. Each wait has its own scope, since a scope can
        # be used only once: with a single one every kept-alive connection failed at its second request.
        self.waiting: trio.CancelScope | None = None
        self.connected_at = trio.current_time()
        self.stage, self.since = Stage.SILENT, self.connected_at
        self.has_sent_request = self.is_closing = False
        self.is_waiting_for_turn = False  # with a request, or a part of one, in the parser
        self.pipelined_bytes = 0
        self.body = BodyReader(front, self.connected_at)
        self.arrivals = Arrivals(self.connected_at)
        self.final: FinalAnswer | None = None
        self.finished = trio.Event()
        self.head_sent = False
        self.rpc_key = ""  # of the last RPC, for the log

    @property
    def owes_answer(self) -> bool:
        return self.stage in (Stage.PARTIAL, Stage.ANSWERING)

    @property
    def is_delivering(self) -> bool:
        return self.connection.unacknowledged_bytes() > 0

    def close_if_idle(self) -> bool:
        if self.is_closing:  # its last answer may be unread, and an immediate close could reset it
            return False
        idle = self.waiting is not None and not self.waiting.cancel_called
        if self.waiting is None:
            return False
        if self.stage is Stage.SILENT:  # its first request may be on its way
            first_byte_by = self.connected_at + STAGE_TIMEOUT_S[Stage.SILENT]
            self.waiting.deadline = min(self.waiting.deadline, first_byte_by)
            return False
        self.waiting.cancel()
        return idle

    @property
    def readable(self) -> bool:
        return self.connection.readable or self.is_waiting_for_turn

    def evict(self) -> None:
        self.connection.close()
        self.body.drop()
        self.set_stage(Stage.ANSWERING)  # takes it out of the eviction queue

    def set_stage(self, stage: Stage) -> None:
        """Enter a stage now, and update the eviction queue."""
        self.stage, self.since = stage, trio.current_time()
        self.front.queue.add(self)

    # Called by the core: the methods of EventSink.

    async def send_events(self, *events: bytes) -> None:
        size = sum(map(len, events))
        await self.front.turns.wait(self.share, limits.WRITE_COST + size / limits.WRITE_BYTES_PER_TURN)
        if self.final is not None:
            raise SinkClosed
        parts: list[bytes] = []
        if not self.head_sent:
            self.head_sent = True
            self.body.release()
            parts.append(
                self.encode(h11.Response(status_code=200, headers=[*STREAM_HEAD, *self.connection_fields()]))
            )
        for event in events:  # not copied: copies for all slow readers would count against the memory limit
            parts += self.parser.send_with_data_passthrough(h11.Data(data=event)) or []
        try:
            await self.write(*parts)
        except ConnectionLost:
            raise SinkClosed from None

    def finish(self, final: FinalAnswer) -> None:
        self.final = final
        self.finished.set()

    def has_client_left(self) -> bool:
        return self.connection.has_peer_closed()

    # Reading requests and writing answers.

    def encode(self, event: h11.Event) -> bytes:
        """Return the bytes of an event of the answer; raise LocalProtocolError if it is out of order."""
        return self.parser.send(event) or b""

    async def write(self, *parts: bytes) -> None:
        """Write parts; raise ConnectionLost if the connection fails or the client does not read in time."""
        try:
            await self.connection.send(*parts, stall_s=limits.WRITE_TIMEOUT_S)
        except WriteStalled:  # frees memory and servers from a client that never reads
            raise ClientStalled("the client does not read its answer") from None

    def connection_fields(self) -> list[tuple[bytes, bytes]]:
        """Return the fields that announce the close of the connection, if it closes after this answer."""
        will_close = self.closing.is_announced and self.front.pass_connection is None
        return [CLOSE] if will_close and not self.owes_more_answers() else []

    @property
    def is_close_delimited(self) -> bool:
        """Whether a clean close would end the answer that has begun like a complete one (RFC 9112, 6.3)."""
        return self.head_sent and self.parser.their_http_version == b"1.0"

    def release_pipelined(self, left: int = 0) -> None:
        """Release the memory budget of pipelined bytes, of which `left` are not parsed yet."""
        released = max(self.pipelined_bytes - left, 0)
        self.front.payloads.release(released)
        self.pipelined_bytes -= released

    async def run(self) -> None:
        """Serve the connection to its end."""
        try:
            while True:
                try:
                    request = await self.next_request()
                    if request is None:
                        await self.pass_to_successor()
                        if (
                            self.closing.has_begun
                            and self.front.pass_connection is None
                            and self.is_delivering
                        ):
                            await self.close_gracefully()
                        return
                    await self.handle_request(request)
                except PayloadRefused as refusal:
                    self.front.rejections["http_503"] += 1
                    await self.answer(refusal.status, refusal.text, refusal.headers, reads_on=True)
                    await self.discard_body()
                except ImmediateAnswer as answer:
                    self.front.rejections[f"http_{answer.status}"] += 1
                    await self.answer(answer.status, answer.text, answer.headers)
                finally:
                    self.body.release()
                if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
                    await self.close_gracefully()
                    return
                self.parser.start_next_cycle()
                # A request that has begun is still answered.
                if self.closing.has_begun and not self.has_next_request():
                    await self.pass_to_successor()
                    if self.front.pass_connection is not None:
                        return
                    if not self.connection.readable:
                        await self.close_gracefully()
                        return
        except (ConnectionLost, h11.LocalProtocolError) as error:
            self.log_closed(error)
        except Exception:  # a fault in the router: the client still gets an answer if none has begun
            with suppress(ConnectionLost, h11.LocalProtocolError):
                await self.answer(500, "fault in the router", (CLOSE,))
            raise
        finally:
            self.release_pipelined()

    def log_closed(self, error: Exception) -> None:
        """Log the end of a connection whose answer is not completely written."""
        client_left_first = self.final is not None and self.final.outcome is Outcome.GONE
        if self.owes_answer and not client_left_first:
            self.front.log(
                "info",
                "CLOSED",
                "connection closed before its answer was written",
                rpc=self.rpc_key,
                stage=self.stage.value,
                head_sent=self.head_sent,
                reason=f"{type(error).__name__}: {error}",
            )
            broken = self.final is not None and self.final.outcome is Outcome.BROKEN
            if not broken and not isinstance(error, ClientStalled) and not self.has_client_left():
                self.front.core.record_unanswered_close(self.rpc_key, str(error))

    async def close_gracefully(self) -> None:
        """Close the connection gracefully, so that the client can read what was just written.

        Bytes that still arrive are discarded; the close of the router's sending side signals this to the
        client.
        """
        if not self.is_closing:
            self.is_closing = True
            with trio.CancelScope() as self.waiting:
                self.set_stage(Stage.IDLE)
                await self.connection.lingering_close(
                    limits.LINGERING_CLOSE_TIMEOUT_S, limits.LINGERING_CLOSE_QUIET_S
                )

    def has_next_request(self) -> bool:
        """Return whether a part of the next request has been received."""
        return self.parser.trailing_data[0] != b"" or bool(self.connection.unread)

    def owes_more_answers(self) -> bool:
        """Return whether a further request has arrived, read or not, that is answered before a close."""
        unparsed = len(self.parser.trailing_data[0])
        if unparsed:
            arrived_at = self.arrivals.of_first_unparsed(unparsed)
        elif self.connection.readable:
            arrived_at = trio.current_time() - self.connection.last_arrival_age_s()
        else:
            return False
        return arrived_at < self.closing.ignore_arrivals_from

    async def pass_to_successor(self) -> None:
        """Pass the connection, with its unread bytes in the kernel, to the successor process if there is one.

        A close instead would reset a request that is in transit.
        """
        if self.closing.has_begun and self.front.pass_connection is not None and not self.has_next_request():
            await self.front.pass_connection(self.connection)

    async def next_request(self) -> h11.Request | None:
        """Return the head of the next request; None at the end of the connection."""
        head_deadline = self.connected_at + limits.HEAD_TIMEOUT_S
        if not self.has_next_request():
            self.release_pipelined()
            timeout_s = (
                limits.DRAINING_FIRST_BYTE_TIMEOUT_S
                if self.closing.has_begun
                else IDLE_TIMEOUT_S
                if self.has_sent_request
                else limits.HEAD_TIMEOUT_S
            )
            with trio.move_on_after(timeout_s) as self.waiting:
                self.set_stage(Stage.IDLE if self.has_sent_request else Stage.SILENT)
                if not await self.connection.fill():
                    return None
            self.waiting = None
            if not self.connection.unread and (
                self.front.pass_connection or not await self.received_meanwhile()
            ):
                return None
        self.set_stage(Stage.PARTIAL)
        is_later_request, self.has_sent_request = self.has_sent_request, True
        if is_later_request:
            head_deadline = trio.current_time() + limits.HEAD_TIMEOUT_S
        if self.parser.trailing_data[0]:  # received already, so that no read waits for a turn
            self.is_waiting_for_turn = True
            await self.front.turns.wait(self.share)
            self.is_waiting_for_turn = False
        # The client of a first request may have closed its sending side alone, as some health checks do. The
        # core checks for the client of an RPC before it is sent.
        if is_later_request and self.connection.closed_by_peer:
            return None
        self.body.began_at = trio.current_time()
        with trio.move_on_at(head_deadline):
            request = await self.next_event()
            return request if isinstance(request, h11.Request) else None
        raise ImmediateAnswer(408, "the head did not arrive in time", (CLOSE,))

    async def received_meanwhile(self) -> bool:
        """Return whether a request has arrived just when its connection was to be closed."""
        return self.connection.readable and bool(await self.connection.fill())

    async def next_event(self) -> h11.Event | None:
        """Return the next event of a request; None when the client has closed its sending side."""
        while True:
            if self.parser.their_state is h11.IDLE:
                self.check_field_count()
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                if self.parser.their_state is h11.ERROR and not self.parser.trailing_data[1]:
                    reason = str(error).partition(":")[0]  # without the bytes that the client has sent
                    raise ImmediateAnswer(
                        error.error_status_hint, f"malformed HTTP: {reason}", (CLOSE,)
                    ) from None
                return None
            if event is h11.NEED_DATA:
                if self.parser.they_are_waiting_for_100_continue:
                    await self.write(self.encode(h11.InformationalResponse(status_code=100, headers=[])))
                data = await self.connection.receive()
                self.share.charge(len(data) / limits.READ_BYTES_PER_TURN)
                self.since = trio.current_time()
                self.front.queue.add(self)
                self.arrivals.add(len(data), self.since - self.connection.last_arrival_age_s())
                self.parser.receive_data(data)
            elif isinstance(event, h11.ConnectionClosed):
                return None
            else:
                return event  # type: ignore[return-value]

    def check_field_count(self) -> None:
        """Raise the answer 431 for a head with too many fields, before they are parsed to objects."""
        data = self.parser.trailing_data[0]
        if has_too_many_lines(data, limits.MAX_HEADER_FIELDS + 1):
            raise ImmediateAnswer(431, "too many header fields", (CLOSE,))

    async def handle_request(self, request: h11.Request) -> None:
        """Answer a request, by its path."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == "/up":
            self.require_method(request, b"GET")
            await self.read_body()
            ready = self.front.is_ready()
            await self.answer(200 if ready else 503, "ready" if ready else "not ready")
        elif path == SERVED_PATH:
            self.require_method(request, b"POST")
            await self.handle_rpc(request)
        else:
            raise ImmediateAnswer(404, "no such path")

    @staticmethod
    def require_method(request: h11.Request, method: bytes) -> None:
        """Raise the answer 405 if the request has another method."""
        if request.method != method:
            raise ImmediateAnswer(405, "method not allowed", ((b"allow", method),))

    def release_parsed(self) -> None:
        if self.pipelined_bytes:
            self.release_pipelined(len(self.parser.trailing_data[0]))

    @property
    def is_within_body(self) -> bool:
        return self.parser.their_state is h11.SEND_BODY

    async def read_body(self, length: bytes = b"0") -> BlockBuffer:
        """Return the body of the request, whose Content-Length is `length`."""
        body = await self.body.read(self, length)
        self.set_stage(Stage.ANSWERING)
        return body

    async def discard_body(self) -> None:
        """Read the rest of a refused request's body."""
        self.set_stage(Stage.IDLE)
        await self.body.discard(self)

    async def handle_rpc(self, request: h11.Request) -> None:
        """Submit the RPC of a request to the core, and write its answer."""
        # Checked before the body is read, so that an invalid request is answered whatever its stated length.
        core = self.front.core
        self.final, self.finished, self.head_sent = None, trio.Event(), False
        try:
            headers = unique_fields(request.headers)
            rpc = rpc_from(headers, request.target, core.classes, core.tenants, self)
        except BadRequest as error:
            raise ImmediateAnswer(400, str(error), (CLOSE,)) from None
        assert isinstance(rpc.payload, HttpPayload)
        rpc.payload = replace(rpc.payload, other_fields=end_to_end(request.headers))
        # Not kept in a local variable, which would keep the body in memory, uncounted, while the answer
        # streams.
        rpc.payload = replace(rpc.payload, body=await self.read_body(headers.get(b"content-length", b"0")))
        if self.front.is_refusing:
            raise ImmediateAnswer(503, "stopping", (CLOSE,))
        if not self.front.budget.can_hold_answer:
            raise ImmediateAnswer(503, "too many connections", ((b"retry-after", b"1"), CLOSE))
        # The client's timeout also ran while a pipelined request waited for the answers before it.
        arrived_at = self.arrivals.of_last_parsed(len(self.parser.trailing_data[0]))
        rpc.expires_in_s = max(rpc.expires_in_s - (trio.current_time() - arrived_at), limits.MIN_EXPIRES_IN_S)
        try:
            core.submit(rpc)
            self.rpc_key = rpc.key
        except Overloaded:
            raise ImmediateAnswer(503, "too many open requests", ((b"retry-after", b"1"),)) from None
        except MayHaveRun:
            raise ImmediateAnswer(
                409, "the request of this X-Trace-Id may have run and must not run again", (CLOSE,)
            ) from None
        except NameTaken:
            raise ImmediateAnswer(409, "X-Trace-Id is that of an open request", (CLOSE,)) from None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch_client, rpc)
                await self.finished.wait()
                nursery.cancel_scope.cancel()
        finally:
            core.cancel_rpc(rpc)  # does nothing once the RPC is answered
        await self.write_final_answer()

    async def watch_client(self, rpc: RPC) -> None:
        """Read on within the memory limits until the client disconnects, then report that to the core."""
        reason = "the client closed its sending side"
        try:
            while self.connection.unread or await self.connection.fill():
                if not self.buffer_pipelined(self.connection.unread):
                    self.connection.enlarge_receive_buffer(MAX_UNREAD_BYTES)
                    await self.close_watch.wait_closed(self.connection)
                    break
                data = await self.connection.receive()
                self.share.charge(len(data) / limits.READ_BYTES_PER_TURN)
                self.parser.receive_data(data)
        except ConnectionLost as error:
            reason = str(error)
        self.front.core.cancel_rpc(rpc, reason)

    def buffer_pipelined(self, count: int) -> bool:
        """Account for bytes of pipelined requests that go to the parser; return False if they don't fit.

        Those that don't fit stay where they are until their turn, the rest of them in the kernel, so that
        flow control holds back the client.
        """
        fits = self.pipelined_bytes + count <= MAX_PIPELINED_BYTES
        if not fits or not self.front.payloads.acquire(count):
            return False
        self.pipelined_bytes += count
        self.arrivals.add(count, trio.current_time() - self.connection.last_arrival_age_s())
        return True

    async def write_final_answer(self) -> None:
        """Write the final answer of the RPC, or the rest of it if it has begun."""
        final = self.final
        assert final is not None
        if isinstance(final.server_status, int):  # the server's own answer to an invalid request
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
        else:  # broken or gone: the connection is closed without the last chunk
            if self.is_close_delimited:
                self.connection.abort()
            elif final.outcome is Outcome.BROKEN:
                await self.close_gracefully()
            raise ConnectionLost("the response stream broke")

    async def answer(
        self,
        status: int,
        text: str,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        reads_on: bool = False,
    ) -> None:
        """Write a plain answer; `headers` with `CLOSE` also closes the connection after it.

        So does an answer before the end of the request's body, unless `reads_on`. The connection stays open
        while further requests have been received behind one that was read whole.
        """
        if self.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise ConnectionLost("an answer has already begun")
        if self.parser.their_state is h11.DONE and self.owes_more_answers():
            headers = tuple(field for field in headers if field != CLOSE)
        body = text.encode() + b"\n"
        head = [(b"content-type", b"text/plain"), (b"content-length", str(len(body)).encode()), *headers]
        if self.parser.their_state is h11.SEND_BODY and not reads_on and CLOSE not in headers:
            headers, head = (*headers, CLOSE), [*head, CLOSE]
        if CLOSE not in headers:
            head += self.connection_fields()
        data = self.encode(h11.Response(status_code=status, headers=head))
        data += self.encode(h11.Data(data=body)) + self.encode(h11.EndOfMessage())
        await self.write(data)
        if CLOSE in headers:  # the request was invalid: what the client still sends is not parsed
            await self.close_gracefully()
