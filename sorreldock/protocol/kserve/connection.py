"""The actor of one gRPC client connection."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import h2.errors
import h2.events
import h2.exceptions
import trio
from hyperframe.frame import GoAwayFrame

from ...kserve.framing import GoAway
from ...transport.admission import Stage
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits
from .call import ClientStream
from .grpc import ServerWire

if TYPE_CHECKING:
    from .front import KserveFront

MOST_STREAMS = 64  # at once on a connection
PING_S = 10.0  # for the answer to a keepalive ping
IDLE_S = 60.0


class ClientConnection:
    """The actor of one client connection: the only reader of its wire."""

    reserved_bytes = 0  # its streams hold their own; a message that has begun counts as taken

    def __init__(self, front: KserveFront, connection: Connection) -> None:
        self.front = front
        self.wire = ServerWire(connection, MOST_STREAMS)
        self.streams: dict[int, ClientStream] = {}
        self.scope = trio.CancelScope()
        self.heard_at = trio.current_time()
        self.idle_since = self.heard_at
        self.has_sent_request = False
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
        return Stage.IDLE if self.has_sent_request else Stage.SILENT

    @property
    def owes_answer(self) -> bool:
        return self.wire.unsent or any(stream.owes_answer for stream in self.streams.values())

    @property
    def since(self) -> float:
        return self.idle_since

    @property
    def readable(self) -> bool:
        return self.wire.connection.readable

    def evict(self) -> None:
        self.close_if_idle()
        self.wire.connection.close()

    def over(self, stream: ClientStream) -> None:
        self.streams.pop(stream.number, None)
        stream.release()
        if stream.unread:  # what nobody will read must not narrow the connection for the others
            self.wire.consumed(stream.number, stream.unread)
        if not self.streams:
            self.idle_since = trio.current_time()
            self.front.queue.add(self)
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
                        await self.wire.connection.lingering_close(
                            limits.HANG_UP_TIMEOUT_S, limits.HANG_UP_QUIET_S
                        )
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
            if events and not self.has_sent_request:
                self.has_sent_request, self.idle_since = True, self.heard_at
            for event in events:
                self.take(event, nursery)
            if not self.streams:
                self.front.queue.add(self)
            self.wire.hand_over()

    def take(self, event: h2.events.Event | GoAway, nursery: trio.Nursery) -> None:
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
                self.front.queue.remove(self)
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
            await trio.sleep(limits.DRAINING_FIRST_BYTE_TIMEOUT_S)
            if not self.streams and not self.front.accepting:
                self.go_away()
        await trio.sleep(limits.HEAD_TIMEOUT_S)
        if not self.has_sent_request:
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
