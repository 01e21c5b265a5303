"""HTTP/2 connections for gRPC, used by the front and by the client side towards servers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import trio

from ...kserve.framing import MAX_HEADER_LIST_BYTES, GoAway, GoAwayFilter
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits

MAX_STREAM_ID = 2**31 - 1


class AdvertisedSettings(h2.settings.Settings):
    """Settings of this side whose limit on concurrent streams h2 advertises but does not enforce.

    h2 ends the connection for a stream beyond the limit, with the requests that arrived in the same read. RFC
    9113 5.1.2 makes it an error of that stream alone, so the owner of the connection refuses the stream.
    """

    @property
    def max_concurrent_streams(self) -> int:
        return MAX_STREAM_ID

    @max_concurrent_streams.setter
    def max_concurrent_streams(self, value: int) -> None:
        self[h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS] = value


class BoundedH2Connection(h2.connection.H2Connection):
    """An HTTP/2 connection that remembers fewer closed streams than h2 does, which are some MB."""

    MAX_CLOSED_STREAMS = 1024


class H2Wire:
    """A connection with its HTTP/2 state; change the state, then call `flush`."""

    def __init__(self, connection: Connection, client_side: bool, max_streams: int) -> None:
        self.connection = connection
        self.h2 = BoundedH2Connection(
            h2.config.H2Configuration(client_side=client_side, header_encoding="utf-8")
        )
        values = {
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: max_streams,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
        }
        if client_side:
            values[h2.settings.SettingCodes.ENABLE_PUSH] = 0
        self.h2.local_settings = AdvertisedSettings(client_side, values)
        self.h2.initiate_connection()
        self._goaway_filter = GoAwayFilter(preface=not client_side)
        self._queued_frames = b""
        self.window_changed = trio.Event()

    async def receive(self) -> list[h2.events.Event | GoAway] | None:
        """Read once and return the events that arrived; None at the peer's end of stream."""
        data = await self._next_input()
        if not data:
            return None
        rest, goaways = self._goaway_filter.strip(data)
        events: list[h2.events.Event | GoAway] = list(self.h2.receive_data(rest))
        for event in events:
            # Wake the tasks that wait for the flow-control window to open.
            if isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
                self.window_changed.set()
                self.window_changed = trio.Event()
        return events + goaways

    @property
    def is_within_control_frame(self) -> bool:
        """Whether a frame other than DATA has been received in part."""
        return self._goaway_filter.is_within_control_frame

    async def _next_input(self) -> bytes:
        """Return received bytes; empty at the peer's end of stream."""
        return await self.connection.receive()

    async def flush(self) -> None:
        """Write the pending output. Must be called from one task only; `FrontWire` supports several."""
        data = self.take_output()
        if data:
            await self.connection.send(data)

    def take_output(self) -> bytes:
        """Remove and return the pending output."""
        data, self._queued_frames = self.h2.data_to_send() + self._queued_frames, b""
        return data

    def queue_frame(self, frame: bytes) -> None:
        """Add a frame that h2 can't produce to the next flush: a GOAWAY that keeps the streams open."""
        self._queued_frames += frame

    def send_window(self, stream: int) -> int:
        """Return how many bytes a stream may send now in one DATA frame."""
        return min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)

    def acknowledge(self, stream: int, length: int) -> None:
        """Open the flow-control windows of the stream and the connection by bytes that were processed."""
        if length:
            self.h2.acknowledge_received_data(length, stream)


class FrontWire(H2Wire):
    """The client-facing wire, to which many streams write.

    Only one task sends: a stream that is cancelled while it waits leaves no partially written frame, which
    would break the connection for all the other streams.
    """

    MAX_PENDING_BYTES = 32 * 1024
    MAX_CONTROL_BYTES = 64 * 1024  # replies to a client's SETTINGS and PING frames that it may leave unread

    MIN_SLICE_BYTES, MAX_SLICE_BYTES = 512, 16 * 1024  # of input that is handled in one turn
    MAX_SLICE_EVENTS = 8  # more in a slice make the next one shorter

    def __init__(
        self, connection: Connection, max_streams: int, wait_turn: Callable[[], Awaitable[None]]
    ) -> None:
        super().__init__(connection, client_side=False, max_streams=max_streams)
        connection.before_read = wait_turn
        self._wait_turn = wait_turn
        self._input = b""  # received, but not handled yet
        self._slice_bytes = self.MIN_SLICE_BYTES
        self._pending = b""
        self._control_bytes = 0  # output of `queue_output` since the last write ended
        self._sending = False
        self._wake = trio.Event()
        self._progress = trio.Event()

    @property
    def readable(self) -> bool:
        """Whether input has arrived that has not been handled."""
        return bool(self._input) or self.connection.readable

    async def receive(self) -> list[h2.events.Event | GoAway] | None:
        """Handle a slice of the input and return its events; None at the peer's end of stream.

        A read may hold a thousand small frames, which would keep all other connections waiting.
        """
        events = await super().receive()
        if events is not None:
            is_short = len(events) <= self.MAX_SLICE_EVENTS
            size = self._slice_bytes * 2 if is_short else self._slice_bytes // 2
            self._slice_bytes = min(max(size, self.MIN_SLICE_BYTES), self.MAX_SLICE_BYTES)
        return events

    async def _next_input(self) -> bytes:
        if self._input:
            await self._wait_turn()
        else:
            self._input = await self.connection.receive()
        if self.connection.closed_by_peer:  # what it sent before has nobody left to answer
            self._input = b""
        part, self._input = self._input[: self._slice_bytes], self._input[self._slice_bytes :]
        return part

    @property
    def has_unsent(self) -> bool:
        """Whether queued output is not completely written."""
        return bool(self._pending) or self._sending

    def queue_output(self) -> None:
        """Queue control frames for sending without waiting until the client reads its answers.

        While waiting, the connection would read neither a cancellation nor another request. Raise
        ConnectionLost if the client keeps sending frames that need a reply but reads nothing.
        """
        control = self.take_output()
        self._control_bytes += len(control)
        if self._control_bytes > self.MAX_CONTROL_BYTES:
            raise ConnectionLost("the client keeps sending but reads nothing")
        self._pending += control
        self._wake.set()

    async def flush(self) -> None:
        """Queue the pending output for sending, and wait while too much of it is unsent."""
        self._pending += self.take_output()
        self._wake.set()
        await self.wait_for_room()

    async def wait_for_room(self) -> None:
        """Wait while too much output is unsent, so that many streams together don't add to it."""
        while len(self._pending) > self.MAX_PENDING_BYTES:
            await self._progress.wait()

    async def run_writer(self) -> None:
        """Send the queued output for as long as the connection lasts."""
        while True:
            while not self._pending:
                self._wake = trio.Event()
                await self._wake.wait()
            data, self._pending = self._pending, b""
            self._sending = True
            self._notify()  # there is room again
            await self.connection.send(data, stall_s=limits.WRITE_TIMEOUT_S)
            self._sending = False
            self._control_bytes = 0
            self._notify()

    def _notify(self) -> None:
        """Wake the tasks that wait for room or for the end of a write."""
        self._progress.set()
        self._progress = trio.Event()

    async def wait_written(self) -> None:
        """Wait until all queued output has been written."""
        while self.has_unsent:
            await self._progress.wait()
