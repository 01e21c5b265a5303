"""Scripted gRPC peers: a client, and a server for the platform's protocol and gRPC on one port."""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import trio
from peers import Router, ScriptedServer

from sorreldock.kserve import kserve_pb2 as pb
from sorreldock.kserve.framing import GoAwayFilter
from sorreldock.program.config import Kserve, Operator

METADATA = {"sorreldock-class": "alt-text", "sorreldock-tenant": "acme", "sorreldock-session": "s1"}
BOTH_PROTOCOLS = Operator(
    kserve=Kserve("127.0.0.1:0", ("desc",), "", "", 30.0),
    server_protocols=("http", "kserve"),
    min_severity="emerg",
)


def frame_message(message: bytes) -> bytes:
    return struct.pack(">BI", 0, len(message)) + message


def split_messages(data: bytes) -> list[bytes]:
    messages = []
    while len(data) >= 5:
        end = 5 + int.from_bytes(data[1:5], "big")
        if len(data) < end:
            break
        messages.append(data[5:end])
        data = data[end:]
    return messages


def request(model: str = "desc", text: bytes = b"a thumbnail", name: str = "r1") -> bytes:
    return pb.ModelInferRequest(model_name=model, id=name, raw_input_contents=[text]).SerializeToString()


def stream_response(number: int) -> bytes:
    inner = pb.ModelInferResponse(model_name="desc", id=str(number))
    return pb.ModelStreamInferResponse(infer_response=inner).SerializeToString()


@dataclass
class Stream:
    """One stream of a connection, on the client or the server side."""

    endpoint: H2Endpoint
    number: int
    headers: dict[str, str] = field(default_factory=dict)
    data: bytes = b""
    trailers: dict[str, str] = field(default_factory=dict)
    ended: bool = False
    reset: int | None = None

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds or the stream is over."""
        while not condition() and not self.is_over():
            await self.endpoint.changed.wait()

    def is_rejected(self) -> bool:
        """Return whether the other side reads no more data, since it has reset the stream or has answered."""
        return self.reset is not None or (self.endpoint.client and self.ended)

    def is_over(self) -> bool:
        return self.ended or self.reset is not None or self.endpoint.closed

    async def send(self, *messages: bytes, end_stream: bool = False) -> None:
        unsent = b"".join(map(frame_message, messages))
        connection = self.endpoint.h2
        while unsent and not self.is_rejected():
            window = min(
                connection.local_flow_control_window(self.number), connection.max_outbound_frame_size
            )
            if window <= 0:
                await self.endpoint.changed.wait()
                continue
            connection.send_data(self.number, unsent[:window])
            unsent = unsent[window:]
            await self.endpoint.flush()
        if end_stream and not self.is_rejected():
            connection.end_stream(self.number)
            await self.endpoint.flush()

    async def start(self) -> None:
        self.endpoint.h2.send_headers(self.number, [(":status", "200"), ("content-type", "application/grpc")])
        await self.endpoint.flush()

    async def finish(self, code: int, **metadata: str) -> None:
        """Send the trailers, as a trailers-only response if the answer wasn't started."""
        fields = [("grpc-status", str(code)), *((k.replace("_", "-"), v) for k, v in metadata.items())]
        if not self.endpoint.h2.streams[self.number].state_machine.headers_sent:
            fields = [(":status", "200"), ("content-type", "application/grpc"), *fields]
        self.endpoint.h2.send_headers(self.number, fields, end_stream=True)
        await self.endpoint.flush()

    async def answer(self) -> tuple[int, list[bytes]]:
        """Return the status and the messages; -1 for a stream that was reset or whose connection closed."""
        await self.wait_until(lambda: False)
        fields = self.trailers or self.headers
        is_complete = self.ended and "grpc-status" in fields
        return (int(fields["grpc-status"]) if is_complete else -1), split_messages(self.data)

    async def messages(self, count: int) -> list[bytes]:
        """Return the messages once there are at least `count`, or fewer if the stream is over before."""
        await self.wait_until(lambda: len(split_messages(self.data)) >= count)
        return split_messages(self.data)


class H2Endpoint:
    """One side of an HTTP/2 connection."""

    def __init__(self, stream: trio.abc.Stream, client: bool, acknowledges_data: bool = True) -> None:
        self.stream = stream
        self.client = client
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=client, header_encoding="utf-8")
        )
        self.acknowledges_data = acknowledges_data  # sends window updates for the data it reads
        self.streams: dict[int, Stream] = {}
        self.changed = trio.Event()
        self.send_lock = trio.Lock()
        self.goaway_filter = GoAwayFilter(preface=not client)
        self.closed = self.goaway_received = False
        self.h2.initiate_connection()

    async def flush(self) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self.send_lock:
                await self.stream.send_all(self.h2.data_to_send())

    async def read(self, on_request: Callable[[Stream], None] | None = None) -> None:
        await self.flush()
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError, h2.exceptions.ProtocolError):
            while data := await self.stream.receive_some(65536):
                # h2 itself would treat the connection as closed.
                rest, goaways = self.goaway_filter.strip(data)
                self.goaway_received = self.goaway_received or bool(goaways)
                for event in self.h2.receive_data(rest):
                    self.handle_event(event, on_request)
                await self.flush()
                self.changed.set()
                self.changed = trio.Event()
        self.closed = True
        self.changed.set()

    def handle_event(self, event: Any, on_request: Callable[[Stream], None] | None) -> None:
        if isinstance(event, h2.events.RequestReceived):
            self.streams[event.stream_id] = Stream(self, event.stream_id, dict(event.headers))
        stream = self.streams.get(getattr(event, "stream_id", None) or 0)
        if stream is None:
            return
        match event:
            case h2.events.ResponseReceived():
                stream.headers = dict(event.headers)
            case h2.events.TrailersReceived():
                stream.trailers = dict(event.headers)
            case h2.events.DataReceived():
                stream.data += event.data
                if self.acknowledges_data and event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamReset():
                stream.reset = event.error_code
            case h2.events.StreamEnded():
                stream.ended = True
                if on_request is not None:
                    on_request(stream)


async def answer_in_full(stream: Stream) -> None:
    is_unary = stream.headers[":path"].endswith("/ModelInfer")
    await stream.start()
    await stream.send(*[stream_response(number) for number in (1, 2)][: 1 if is_unary else 2])
    await stream.finish(0)


class DualProtocolServer(ScriptedServer):
    """A scripted server for both protocols on one port, distinguished by the HTTP/2 preface."""

    def __init__(self, grpc_script: Callable[[Stream], Awaitable[None]] = answer_in_full) -> None:
        super().__init__()
        self.grpc_script = grpc_script
        self.grpc_scripts: list[Callable[[Stream], Awaitable[None]]] = []
        self.grpc_streams: list[Stream] = []

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        first = await stream.receive_some(3)
        rest = PrefixedStream(first, stream)
        if first != b"PRI":
            await super().serve_connection(rest)
            return
        endpoint = H2Endpoint(rest, client=False)
        async with trio.open_nursery() as nursery:
            await endpoint.read(lambda stream: nursery.start_soon(self._run_script, stream))
            nursery.cancel_scope.cancel()

    async def _run_script(self, stream: Stream) -> None:
        self.grpc_streams.append(stream)
        self.open_requests += 1
        self.max_open_requests = max(self.max_open_requests, self.open_requests)
        try:
            await (self.grpc_scripts.pop(0) if self.grpc_scripts else self.grpc_script)(stream)
        finally:
            self.open_requests -= 1


class PrefixedStream:
    """A stream whose first bytes have been read already."""

    def __init__(self, first: bytes, stream: trio.SocketStream) -> None:
        self.prefix, self.stream = first, stream
        self.send_all, self.aclose = stream.send_all, stream.aclose

    async def receive_some(self, max_bytes: int) -> bytes:
        first, self.prefix = self.prefix, b""
        return first or await self.stream.receive_some(max_bytes)


class Client:
    """A gRPC client with one connection."""

    def __init__(self, endpoint: H2Endpoint) -> None:
        self.endpoint = endpoint

    def create(self, method: str, **fields: str) -> Stream:
        """Open a stream without writing anything."""
        number = self.endpoint.h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", f"/inference.GRPCInferenceService/{method}"),
            (":authority", "origin.svc"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            *{**METADATA, **{k.replace("_", "-"): v for k, v in fields.items()}}.items(),
        ]
        self.endpoint.h2.send_headers(number, [(k, v) for k, v in headers if v])
        stream = self.endpoint.streams[number] = Stream(self.endpoint, number)
        return stream

    async def start(self, method: str, *messages: bytes, end_stream: bool = True, **fields: str) -> Stream:
        stream = self.create(method, **fields)
        await self.endpoint.flush()
        await stream.send(*messages, end_stream=end_stream)
        return stream

    async def call(self, method: str, *messages: bytes, **fields: str) -> tuple[int, list[bytes]]:
        return await (await self.start(method, *messages, **fields)).answer()

    async def cancel(self, stream: Stream) -> None:
        self.endpoint.h2.reset_stream(stream.number, h2.errors.ErrorCodes.CANCEL)
        await self.endpoint.flush()


@asynccontextmanager
async def grpc_client(
    router: Router, acknowledges_data: bool = True, reads: bool = True
) -> AsyncIterator[Client]:
    host, port = router.program.addresses["kserve"].rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    endpoint = H2Endpoint(stream, client=True, acknowledges_data=acknowledges_data)
    async with stream, trio.open_nursery() as nursery:
        if reads:
            nursery.start_soon(endpoint.read)
        yield Client(endpoint)
        nursery.cancel_scope.cancel()
