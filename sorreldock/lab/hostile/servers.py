"""Sound servers for both protocols on one port each, and their discovery, in a process of their own."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from multiprocessing.connection import Connection as Pipe
from typing import Any

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import trio

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import CONNECTION_PREFACE, Deframer, frame, trailers
from .plan import MODEL, ServerPlan

HOST = "127.0.0.1"
RECEIVE_BYTES = 65536
HEARTBEAT_INTERVAL_S = 2.0  # of the empty lines that discovery sends while nothing changes
BACKLOG = 1024
HOSTILE_MARK = b"hostile"  # in the bodies of hostile clients' requests
MAX_MESSAGE_BYTES = 512 * 1024
END_OF_HEAD = b"\r\n\r\n"
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n: Endpoint-Load-Metrics: TEXT eps=0, queue=0\n\n"
GRPC_HEAD = [(":status", "200"), ("content-type", "application/grpc")]


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of HTTP/1.1's chunked coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event_text(number: int, size: int) -> bytes:
    """Return an event of about `size` bytes."""
    return b'data: {"choices":[{"index":0,"delta":{"content":"%d%b"}}]}\n\n' % (number, b"x" * size)


class Server:
    """A sound server, which answers as `plan` says if the request is a hostile client's."""

    def __init__(self, plan: ServerPlan) -> None:
        self._hostile, self._honest = plan, ServerPlan()

    def _plan_of(self, body: bytes) -> ServerPlan:
        return self._hostile if HOSTILE_MARK in body else self._honest

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection in the protocol that its first bytes are in."""
        try:
            data = bytes(await stream.receive_some(RECEIVE_BYTES))
            if data.startswith(CONNECTION_PREFACE[:14]):
                await GrpcServerConnection(stream, self._plan_of).run(data)
            elif data:
                await self._serve_http(stream, data)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, h2.exceptions.ProtocolError):
            pass  # the router has closed the connection

    async def _serve_http(self, stream: trio.SocketStream, data: bytes) -> None:
        while True:
            while END_OF_HEAD not in data:
                if not (more := bytes(await stream.receive_some(RECEIVE_BYTES))):
                    return
                data += more
            head, _, rest = data.partition(END_OF_HEAD)
            body = bytearray(rest)
            length = content_length(head)
            while len(body) < length:
                if not (more := bytes(await stream.receive_some(RECEIVE_BYTES))):
                    return
                body += more
            data = bytes(body[length:])
            await self._answer_http(stream, self._plan_of(bytes(body[:length])))

    async def _answer_http(self, stream: trio.SocketStream, plan: ServerPlan) -> None:
        await trio.sleep(plan.first_event_s)
        await stream.send_all(ANSWER_HEAD)
        for number in range(plan.events):
            await stream.send_all(chunk(event_text(number, plan.event_bytes)))
            if plan.event_interval_s:
                await trio.sleep(plan.event_interval_s)
        await stream.send_all(chunk(DONE) + chunk(b""))


def content_length(head: bytes) -> int:
    """Return the Content-Length of a head; 0 without one."""
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class GrpcServerConnection:
    """The server's end of a gRPC connection."""

    def __init__(self, stream: trio.SocketStream, plan_of: Callable[[bytes], ServerPlan]) -> None:
        self._stream, self._plan_of = stream, plan_of
        self._h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self._h2.initiate_connection()
        self._deframers: dict[int, Deframer] = {}
        self._paths: dict[int, str] = {}
        self._lock = trio.Lock()
        self._window_changed = trio.Event()

    async def run(self, data: bytes) -> None:
        """Serve the connection to its end; `data` has been received already."""
        async with trio.open_nursery() as nursery:
            while data:
                for event in self._h2.receive_data(data):
                    self._handle_event(event, nursery)
                await self._flush()
                data = bytes(await self._stream.receive_some(RECEIVE_BYTES))
            nursery.cancel_scope.cancel()

    def _handle_event(self, event: h2.events.Event, nursery: trio.Nursery) -> None:
        match event:
            case h2.events.RequestReceived():
                number = event.stream_id or 0
                self._deframers[number] = Deframer(MAX_MESSAGE_BYTES)
                headers = {str(name): str(value) for name, value in event.headers or []}
                self._paths[number] = headers[":path"].rpartition("/")[2]
            case h2.events.DataReceived():
                number = event.stream_id or 0
                self._h2.acknowledge_received_data(event.flow_controlled_length or 0, number)
                self._deframers[number].feed(event.data or b"")
            case h2.events.StreamEnded():
                nursery.start_soon(self._answer, event.stream_id or 0)
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                self._window_changed.set()
                self._window_changed = trio.Event()
            case _:
                pass

    async def _flush(self) -> None:
        async with self._lock:
            if data := self._h2.data_to_send():
                await self._stream.send_all(data)

    async def _answer(self, number: int) -> None:
        plan = self._plan_of(self._deframers.pop(number).next() or b"")
        is_unary = self._paths.pop(number) == "ModelInfer"
        with suppress(h2.exceptions.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.sleep(plan.first_event_s)
            self._h2.send_headers(number, GRPC_HEAD)
            for event in range(1 if is_unary else plan.events):
                await self._send(number, answer_message(event, plan.event_bytes, is_unary))
                if plan.event_interval_s:
                    await trio.sleep(plan.event_interval_s)
            self._h2.send_headers(number, trailers(0), end_stream=True)
            await self._flush()

    async def _send(self, number: int, message: bytes) -> None:
        view = memoryview(frame(message))
        while view:
            window = min(self._h2.local_flow_control_window(number), self._h2.max_outbound_frame_size)
            if window <= 0:
                changed = self._window_changed
                await self._flush()
                await changed.wait()
                continue
            self._h2.send_data(number, bytes(view[:window]))
            view = view[window:]
            await self._flush()


def answer_message(number: int, size: int, is_unary: bool) -> bytes:
    """Return an answer message of about `size` bytes."""
    text = b"%d " % number + b"x" * size
    response = pb.ModelInferResponse(
        model_name=MODEL, raw_output_contents=[len(text).to_bytes(4, "little") + text]
    )
    if is_unary:
        return response.SerializeToString()
    return pb.ModelStreamInferResponse(infer_response=response).SerializeToString()


def listing(addresses: list[str]) -> dict[str, Any]:
    """Return the server list in discovery's format."""
    targets = [
        {
            "uid": f"s-{number}",
            "endpoint": address,
            "az": "north",
            "model": "m",
            "pod_group": 0,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for number, address in enumerate(addresses)
    ]
    return {"rev": 1, "all": True, "targets": targets}


async def serve_discovery(addresses: list[str], stream: trio.SocketStream) -> None:
    """Answer one watch with the list, then with heartbeats."""
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.receive_some(RECEIVE_BYTES)
        await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        await stream.send_all(chunk(json.dumps(listing(addresses)).encode() + b"\n"))
        while True:
            await trio.sleep(HEARTBEAT_INTERVAL_S)
            await stream.send_all(chunk(b"\n"))


async def _run(count: int, plan: ServerPlan, pipe: Pipe) -> None:
    async with trio.open_nursery() as nursery:

        async def listen(handler: Callable[[trio.SocketStream], Any]) -> str:
            serve = partial(trio.serve_tcp, handler, 0, host=HOST, backlog=BACKLOG)
            listeners = await nursery.start(serve)
            return f"{HOST}:{listeners[0].socket.getsockname()[1]}"

        addresses = [await listen(Server(plan).serve) for _ in range(count)]
        discovery = await listen(partial(serve_discovery, addresses))
        pipe.send((discovery, addresses))
        await trio.to_thread.run_sync(pipe.poll, None, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


def run_servers(count: int, plan: ServerPlan, pipe: Pipe) -> None:
    """Run the servers in this process until the other end of the pipe is closed."""
    trio.run(_run, count, plan, pipe)
