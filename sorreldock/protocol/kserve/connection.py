"""The gRPC connections of clients."""

from __future__ import annotations

import math
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import h2.errors
import h2.events
import h2.exceptions
import trio
from hyperframe.frame import GoAwayFrame

from ...kserve.framing import Code, GoAway, trailers
from ...transport.admission import Stage
from ...transport.connection import Connection, ConnectionLost
from ...transport.ledger import Account, Holding
from ...transport.turns import Share
from .. import front as limits
from .call import RESPONSE_HEADERS, ClientStream
from .grpc import FrontWire

if TYPE_CHECKING:
    from .front import KserveFront

MAX_STREAMS = 64  # concurrently on a connection
STREAM_BYTES = 12 * 1024  # of memory that a stream takes without its messages
PING_TIMEOUT_S = 10.0  # to wait for the reply to a keepalive ping
IDLE_TIMEOUT_S = 60.0


class ClientConnection:
    """The actor of one client connection, which alone reads from its wire, with its streams."""

    def __init__(self, front: KserveFront, connection: Connection) -> None:
        self.front = front
        self.share = Share()
        self.wire = FrontWire(connection, MAX_STREAMS, partial(front.turns.wait, self.share))
        self.streams: dict[int, ClientStream] = {}
        self.scope = trio.CancelScope()
        self.reading = trio.CancelScope()
        self.last_received_at = trio.current_time()
        self.idle_since = self.last_received_at
        self.has_sent_request = False
        # The final GOAWAY follows a first one once no more streams are accepted.
        self.goaway_sent = self.final_goaway_sent = self.has_protocol_error = False
        self.control_frame_since = math.inf  # when a frame began that is not complete
        self.should_close = trio.Event()

    def close_if_idle(self) -> bool:
        idle = not self.streams and not self.scope.cancel_called
        if idle:
            self.scope.cancel()
        return idle

    @property
    def stage(self) -> Stage:
        if self.streams:
            return Stage.ANSWERING
        return Stage.IDLE if self.has_sent_request else Stage.SILENT

    @property
    def owes_answer(self) -> bool:
        return self.wire.has_unsent or any(stream.owes_answer for stream in self.streams.values())

    @property
    def is_delivering(self) -> bool:
        return self.wire.connection.unacknowledged_bytes() > 0

    @property
    def since(self) -> float:
        return self.idle_since

    @property
    def readable(self) -> bool:
        return self.wire.readable

    def evict(self) -> None:
        self.close_if_idle()
        self.wire.connection.close()

    def remove_stream(self, stream: ClientStream) -> None:
        """Remove a stream that has ended, and close the connection if it was the last after GOAWAY."""
        self.streams.pop(stream.number, None)
        self.front.partial_requests.remove(stream)
        stream.release_payload()
        stream.holding.release_all()
        # Unread data must not reduce the connection's flow-control window for other streams.
        if stream.unacknowledged_bytes:
            self.wire.acknowledge(stream.number, stream.unacknowledged_bytes)
        if not self.streams:
            self.idle_since = trio.current_time()
            self.front.queue.add(self)
        if (self.final_goaway_sent or (self.goaway_sent and not self.front.accepting)) and not self.streams:
            self.should_close.set()

    async def stop_reading_when_written(self) -> None:
        """Stop reading once `should_close` is set and the last status has been written."""
        await self.should_close.wait()
        await self.wire.flush()
        await self.wire.wait_written()
        self.reading.cancel()

    async def run(self) -> None:
        try:
            with self.scope:
                await self.serve_streams()
                if self.reading.cancel_called or self.has_protocol_error:
                    await self.wire.connection.lingering_close(
                        limits.LINGERING_CLOSE_TIMEOUT_S, limits.LINGERING_CLOSE_QUIET_S
                    )
        except* (ConnectionLost, h2.exceptions.ProtocolError):
            pass  # the client has closed the connection, or does not use HTTP/2

    async def serve_streams(self) -> None:
        """Serve the client's streams until it ends the connection, or this side has written its last byte."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.wire.run_writer)
            nursery.start_soon(self.keep_alive)
            nursery.start_soon(self.close_if_silent)
            nursery.start_soon(self.stop_reading_when_written)
            with self.reading:
                await self.read(nursery)
            with trio.move_on_after(1.0):
                await self.wire.wait_written()  # the GOAWAY after a protocol error
            nursery.cancel_scope.cancel()

    async def read(self, nursery: trio.Nursery) -> None:
        """Handle what the client sends until the connection ends; `nursery` runs its streams."""
        await self.wire.flush()
        while True:
            try:
                with trio.move_on_at(self.control_frame_deadline()) as stall:
                    events = await self.wire.receive()
                if stall.cancelled_caught:
                    return
            except h2.exceptions.ProtocolError:
                self.has_protocol_error = True
                await self.wire.flush()  # h2 has queued a GOAWAY with the error code
                return
            if events is None:
                return
            self.last_received_at = trio.current_time()
            if events and not self.has_sent_request:
                self.has_sent_request, self.idle_since = True, self.last_received_at
            for event in events:
                self.handle_event(event, nursery)
            if not self.streams:
                self.front.queue.add(self)
            self.wire.queue_output()

    def control_frame_deadline(self) -> float:
        """Return when a frame that opens a stream has to be complete, on a connection without another one."""
        if self.streams or not self.wire.is_within_control_frame:
            self.control_frame_since = math.inf
        else:
            self.control_frame_since = min(self.control_frame_since, trio.current_time())
        return self.control_frame_since + limits.HEAD_TIMEOUT_S

    def handle_event(self, event: h2.events.Event | GoAway, nursery: trio.Nursery) -> None:
        match event:
            case h2.events.RequestReceived():
                assert event.stream_id is not None and event.headers is not None
                if self.excludes_new_streams:
                    self.refuse_stream(event.stream_id)
                    return
                if len(event.headers) > limits.MAX_HEADER_FIELDS:
                    self.answer_too_many_fields(event.stream_id)
                    return
                headers = [(str(k), str(v)) for k, v in event.headers]
                holding = Holding(self.front.ledger[Account.STREAMS])
                if not holding.acquire(STREAM_BYTES + sum(len(k) + len(v) for k, v in headers)):
                    self.front.evict_idle_stream()
                    self.refuse_stream(event.stream_id)
                    return
                stream = self.streams[event.stream_id] = ClientStream(self, event.stream_id, headers, holding)
                self.front.queue.remove(self)
                nursery.start_soon(stream.run)
                if not self.front.accepting:  # it arrived while draining: serve this RPC only
                    self.send_goaway()
            case h2.events.DataReceived():
                assert event.stream_id is not None and event.data is not None
                length = event.flow_controlled_length or 0
                receiver = self.streams.get(event.stream_id)
                if receiver is None:  # answered already; must not use up the connection's window
                    self.wire.acknowledge(event.stream_id, length)
                else:
                    receiver.feed(event.data, length)
            case h2.events.StreamEnded():
                ended = self.streams.get(event.stream_id or 0)
                if ended is not None:
                    ended.ended = True
                    ended.notify()
            case h2.events.StreamReset():
                cancelled = self.streams.get(event.stream_id or 0)
                if cancelled is not None:  # by the client; the end of the stream's task cancels the RPC
                    cancelled.reset = True
                    cancelled.scope.cancel()
            case _:
                pass

    @property
    def excludes_new_streams(self) -> bool:
        """Whether a new stream is beyond the limit, or beyond a GOAWAY."""
        is_after_goaway = self.final_goaway_sent or (self.goaway_sent and not self.front.accepting)
        return is_after_goaway or len(self.streams) >= MAX_STREAMS

    def refuse_stream(self, stream_id: int) -> None:
        """Refuse a stream unprocessed, so that the client may send its request elsewhere.

        If the client has reset it in the same read, there is nothing to refuse, and the error must not end
        the other streams of the connection.
        """
        self.front.rejections["grpc_refused_stream"] += 1
        with suppress(h2.exceptions.StreamClosedError):
            self.wire.h2.reset_stream(stream_id, h2.errors.ErrorCodes.REFUSED_STREAM)

    def answer_too_many_fields(self, stream_id: int) -> None:
        """Answer a stream whose head has too many fields, without keeping them."""
        status = trailers(Code.RESOURCE_EXHAUSTED, "too many header fields")
        with suppress(h2.exceptions.ProtocolError):
            self.wire.h2.send_headers(stream_id, [*RESPONSE_HEADERS, *status], end_stream=True)
            self.wire.h2.reset_stream(stream_id, h2.errors.ErrorCodes.NO_ERROR)

    async def close_if_silent(self) -> None:
        """Close a connection that sends no HTTP/2 preface within the time limit for a head.

        A connection that reaches a draining router is sent GOAWAY earlier, unless it opens a stream.
        """
        if not self.front.accepting:
            await trio.sleep(limits.DRAINING_FIRST_BYTE_TIMEOUT_S)
            if not self.streams and not self.front.accepting:
                self.send_goaway()
        await trio.sleep(limits.HEAD_TIMEOUT_S)
        if not self.has_sent_request:
            self.scope.cancel()

    async def keep_alive(self) -> None:
        """Ping a silent client, which may have failed without closing the connection, and end an idle one."""
        interval = self.front.settings.keepalive_s
        idle_since = trio.current_time()
        while True:
            await trio.sleep(interval)
            if self.streams:
                idle_since = trio.current_time()
            elif trio.current_time() - idle_since >= IDLE_TIMEOUT_S:
                self.send_goaway()
                self.should_close.set()
            if trio.current_time() - self.last_received_at < interval:
                continue
            pinged_at = trio.current_time()
            self.wire.h2.ping(b"sorrel!!")
            await self.wire.flush()
            await trio.sleep(min(PING_TIMEOUT_S, interval))
            if self.last_received_at < pinged_at:
                raise ConnectionLost("no reply to a ping")

    def send_goaway(self) -> None:
        """Send GOAWAY: no new streams are accepted, and the open ones may complete."""
        last_stream_id = 2**31 - 1 if self.front.accepting else self.wire.h2.highest_inbound_stream_id
        goaway = GoAwayFrame(0, last_stream_id=last_stream_id, error_code=0)
        self.goaway_sent, self.final_goaway_sent = True, not self.front.accepting
        self.wire.queue_frame(goaway.serialize())
        if not self.streams and not self.front.accepting:
            self.should_close.set()
