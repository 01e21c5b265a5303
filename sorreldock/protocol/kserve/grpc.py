"""gRPC on HTTP/2 as the front and the engine client share it: the connection."""

from __future__ import annotations

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import trio

from ...kserve.framing import MAX_HEADER_LIST_BYTES, GoAway, GoAwayFilter
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits


class H2Wire:
    """A connection with its HTTP/2 state: change the state, then `flush`."""

    def __init__(self, connection: Connection, client_side: bool, most_streams: int) -> None:
        self.connection = connection
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=client_side, header_encoding="utf-8")
        )
        values = {
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: most_streams,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
        }
        if client_side:
            values[h2.settings.SettingCodes.ENABLE_PUSH] = 0
        self.h2.local_settings = h2.settings.Settings(client_side, values)
        self.h2.initiate_connection()
        self._goaway_filter = GoAwayFilter(preface=not client_side)
        self._raw = b""
        self.window_grew = trio.Event()

    async def receive(self) -> list[h2.events.Event | GoAway] | None:
        """What arrived, in one read; None at the peer's end."""
        data = await self.connection.receive()
        if not data:
            return None
        rest, goaways = self._goaway_filter.strip(data)
        events: list[h2.events.Event | GoAway] = list(self.h2.receive_data(rest))
        for event in events:
            # Wake those who wait for room to send.
            if isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
                self.window_grew.set()
                self.window_grew = trio.Event()
        return events + goaways

    async def flush(self) -> None:
        """Write what the state has to say. For one task alone; `ServerWire` serves many."""
        data = self.take_out()
        if data:
            await self.connection.send(data)

    def take_out(self) -> bytes:
        data, self._raw = self.h2.data_to_send() + self._raw, b""
        return data

    def raw(self, frame: bytes) -> None:
        """A frame for the next flush that the state can't make: a GOAWAY that leaves the streams alive."""
        self._raw += frame

    def room(self, stream: int) -> int:
        return min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)

    def consumed(self, stream: int, length: int) -> None:
        """Give the peer room for as much again, on the stream and on the connection."""
        if length:
            self.h2.acknowledge_received_data(length, stream)


class ServerWire(H2Wire):
    """A wire that many streams write to. One task alone sends; a stream cancelled while it waits leaves
    no frame half written, which would end the connection for all the others.
    """

    MOST_PENDING = 64 * 1024
    MOST_CONTROL = 64 * 1024  # answers to a client's own frames (settings, pings) that it may leave unread

    def __init__(self, connection: Connection, most_streams: int) -> None:
        super().__init__(connection, client_side=False, most_streams=most_streams)
        self._pending = b""
        self._control_bytes = 0  # of those, control frames handed over since the last write ended
        self._sending = False
        self._wake = trio.Event()
        self._sent = trio.Event()

    @property
    def unsent(self) -> bool:
        return bool(self._pending) or self._sending

    def hand_over(self) -> None:
        """Hand over control frames without waiting for the client to read its answers: a cancel that arrives
        meanwhile would not be seen, and a request not be read.
        """
        control = self.take_out()
        self._control_bytes += len(control)
        if self._control_bytes > self.MOST_CONTROL:
            raise ConnectionLost("the client takes nothing and sends on")
        self._pending += control
        self._wake.set()

    async def flush(self) -> None:
        """Hand over what the state has to say, and wait while too much of it is unsent."""
        self._pending += self.take_out()
        self._wake.set()
        while len(self._pending) > self.MOST_PENDING:
            await self._sent.wait()

    async def write(self) -> None:
        while True:
            while not self._pending:
                self._wake = trio.Event()
                await self._wake.wait()
            data, self._pending = self._pending, b""
            self._sending = True
            with trio.move_on_after(limits.WRITE_TIMEOUT_S) as scope:
                await self.connection.send(data)
            if scope.cancelled_caught:
                raise ConnectionLost("the client takes nothing")
            self._sending = False
            self._control_bytes = 0
            self._sent.set()
            self._sent = trio.Event()

    async def flushed(self) -> None:
        """Wait until all has been written."""
        while self.unsent:
            await self._sent.wait()
