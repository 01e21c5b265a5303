"""Scripted gRPC peers: a client, and an engine that speaks the platform's protocol and gRPC on one port."""

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
BOTH = Operator(
    kserve=Kserve("127.0.0.1:0", ("desc",), "", "", 30.0),
    server_protocols=("http", "kserve"),
    min_severity="emerg",
)


def framed(message: bytes) -> bytes:
    return struct.pack(">BI", 0, len(message)) + message


def unframed(data: bytes) -> list[bytes]:
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


def piece(number: int) -> bytes:
    inner = pb.ModelInferResponse(model_name="desc", id=str(number))
    return pb.ModelStreamInferResponse(infer_response=inner).SerializeToString()


@dataclass
class Stream:
    """One stream, at either end."""

    end: End
    number: int
    headers: dict[str, str] = field(default_factory=dict)
    data: bytes = b""
    trailers: dict[str, str] = field(default_factory=dict)
    ended: bool = False
    reset: int | None = None

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition() and not self.over():
            await self.end.changed.wait()

    def refused(self) -> bool:
        """Whether the other side takes no more, since it has answered in full already."""
        return self.reset is not None or (self.end.client and self.ended)

    def over(self) -> bool:
        return self.ended or self.reset is not None or self.end.closed

    async def send(self, *messages: bytes, end: bool = False) -> None:
        view = b"".join(map(framed, messages))
        conn = self.end.h2
        while view and not self.refused():
            room = min(conn.local_flow_control_window(self.number), conn.max_outbound_frame_size)
            if room <= 0:
                await self.end.changed.wait()
                continue
            conn.send_data(self.number, view[:room])
            view = view[room:]
            await self.end.flush()
        if end and not self.refused():
            conn.end_stream(self.number)
            await self.end.flush()

    async def start(self) -> None:
        self.end.h2.send_headers(self.number, [(":status", "200"), ("content-type", "application/grpc")])
        await self.end.flush()

    async def finish(self, code: int, **metadata: str) -> None:
        """The trailers; alone if nothing was started."""
        fields = [("grpc-status", str(code)), *((k.replace("_", "-"), v) for k, v in metadata.items())]
        if not self.end.h2.streams[self.number].state_machine.headers_sent:
            fields = [(":status", "200"), ("content-type", "application/grpc"), *fields]
        self.end.h2.send_headers(self.number, fields, end_stream=True)
        await self.end.flush()

    async def answer(self) -> tuple[int, list[bytes]]:
        """The status and the messages; -1 for a stream that was reset or whose connection closed."""
        await self.until(lambda: False)
        fields = self.trailers or self.headers
        whole = self.ended and "grpc-status" in fields
        return (int(fields["grpc-status"]) if whole else -1), unframed(self.data)

    async def messages(self, count: int) -> list[bytes]:
        await self.until(lambda: len(unframed(self.data)) >= count)
        return unframed(self.data)


class End:
    """One end of an HTTP/2 connection."""

    def __init__(self, stream: trio.abc.Stream, client: bool, hungry: bool = True) -> None:
        self.stream = stream
        self.client = client
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=client, header_encoding="utf-8")
        )
        self.hungry = hungry  # gives room again for what it reads
        self.streams: dict[int, Stream] = {}
        self.changed = trio.Event()
        self.turn = trio.Lock()
        self.goaway_filter = GoAwayFilter(preface=not client)
        self.closed = self.going = False
        self.h2.initiate_connection()

    async def flush(self) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self.turn:
                await self.stream.send_all(self.h2.data_to_send())

    async def read(self, on_request: Callable[[Stream], None] | None = None) -> None:
        await self.flush()
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError, h2.exceptions.ProtocolError):
            while data := await self.stream.receive_some(65536):
                rest, goaways = self.goaway_filter.strip(
                    data
                )  # h2 itself would take the connection for closed
                self.going = self.going or bool(goaways)
                for event in self.h2.receive_data(rest):
                    self.take(event, on_request)
                await self.flush()
                self.changed.set()
                self.changed = trio.Event()
        self.closed = True
        self.changed.set()

    def take(self, event: Any, on_request: Callable[[Stream], None] | None) -> None:
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
                if self.hungry and event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamReset():
                stream.reset = event.error_code
            case h2.events.StreamEnded():
                stream.ended = True
                if on_request is not None:
                    on_request(stream)


async def answer_in_full(call: Stream) -> None:
    await call.start()
    await call.send(piece(1), piece(2))
    await call.finish(0)


class SharedEngine(ScriptedServer):
    """Both protocols on one port, told apart by HTTP/2's preface."""

    def __init__(self, grpc_script: Callable[[Stream], Awaitable[None]] = answer_in_full) -> None:
        super().__init__()
        self.grpc_script = grpc_script
        self.grpc_scripts: list[Callable[[Stream], Awaitable[None]]] = []
        self.grpc_calls: list[Stream] = []

    async def attend(self, stream: trio.SocketStream) -> None:
        first = await stream.receive_some(3)
        rest = Rest(first, stream)
        if first != b"PRI":
            await super().attend(rest)
            return
        end = End(rest, client=False)
        async with trio.open_nursery() as nursery:
            await end.read(lambda call: nursery.start_soon(self._follow, call))
            nursery.cancel_scope.cancel()

    async def _follow(self, call: Stream) -> None:
        self.grpc_calls.append(call)
        self.open_requests += 1
        self.max_open_requests = max(self.max_open_requests, self.open_requests)
        try:
            await (self.grpc_scripts.pop(0) if self.grpc_scripts else self.grpc_script)(call)
        finally:
            self.open_requests -= 1


class Rest:
    """A stream of which the first bytes have been read."""

    def __init__(self, first: bytes, stream: trio.SocketStream) -> None:
        self.first, self.stream = first, stream
        self.send_all, self.aclose = stream.send_all, stream.aclose

    async def receive_some(self, most: int) -> bytes:
        first, self.first = self.first, b""
        return first or await self.stream.receive_some(most)


class Client:
    """A gRPC client's connection."""

    def __init__(self, end: End) -> None:
        self.end = end

    async def start(self, method: str, *messages: bytes, end: bool = True, **fields: str) -> Stream:
        number = self.end.h2.get_next_available_stream_id()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", f"/inference.GRPCInferenceService/{method}"),
            (":authority", "origin.svc"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            *{**METADATA, **{k.replace("_", "-"): v for k, v in fields.items()}}.items(),
        ]
        self.end.h2.send_headers(number, [(k, v) for k, v in headers if v])
        stream = self.end.streams[number] = Stream(self.end, number)
        await self.end.flush()
        await stream.send(*messages, end=end)
        return stream

    async def call(self, method: str, *messages: bytes, **fields: str) -> tuple[int, list[bytes]]:
        return await (await self.start(method, *messages, **fields)).answer()

    async def cancel(self, stream: Stream) -> None:
        self.end.h2.reset_stream(stream.number, h2.errors.ErrorCodes.CANCEL)
        await self.end.flush()


@asynccontextmanager
async def grpc_client(router: Router, hungry: bool = True, reads: bool = True) -> AsyncIterator[Client]:
    host, port = router.program.addresses["kserve"].rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    end = End(stream, client=True, hungry=hungry)
    async with stream, trio.open_nursery() as nursery:
        if reads:
            nursery.start_soon(end.read)
        yield Client(end)
        nursery.cancel_scope.cancel()
