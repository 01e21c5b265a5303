"""The simulation's clients over HTTP/1.1 and gRPC.

Besides clients that behave well there are those that read slowly, close the connection early, write their
request in small pieces, or send malformed bytes.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import trio

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import format_timeout
from ...kserve.framing import frame as encode_message_frame
from .frames import FrameWriter
from .network import Host, VirtualSocket
from .readers import HEADERS, End, FrameReader, Head, HttpReader, ParseError
from .scenario import RequestPlan

HTTP_PORT, GRPC_PORT = 8080, 8081
CONNECT_TIMEOUT_S = 2.0
ANSWER_GRACE_S = 1.5  # wait beyond the deadline, for the time that the router's answer is under way
EVENT_GAP_TIMEOUT_S = 8.0
CONNECTION_ERRORS = (OSError, trio.ClosedResourceError, ParseError)


def encode_body(plan: RequestPlan) -> bytes:
    chat = {
        "max_tokens": plan.output_tokens,
        "prompt_tokens": plan.prompt_tokens,
        "pad": "x" * plan.body_bytes,
    }
    return json.dumps(chat).encode()


def encode_http_request(key: str, plan: RequestPlan) -> bytes:
    body = encode_body(plan)
    prefix_tokens = plan.prompt_tokens // 2 if plan.prefix else 0
    props = f"prefix={plan.prefix},prompt_len={plan.prompt_tokens},prefix_len={prefix_tokens}"
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: edge\r\n"
        f"X-Trace-Id: {key}\r\nX-Qos: {plan.rpc_class}\r\n"
        f"X-Customer: acme\r\nX-Expires-In: {int(plan.deadline_s * 1e6)}u\r\nX-Object: s{key}\r\n"
        f"X-Props: {props},max_out={plan.output_tokens}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def grpc_header_fields(plan: RequestPlan, key: str, is_unary: bool) -> list[tuple[str, str]]:
    method = "ModelInfer" if is_unary else "ModelStreamInfer"
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", f"/inference.GRPCInferenceService/{method}"),
        (":authority", "edge"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
        ("grpc-timeout", format_timeout(plan.deadline_s)),
        ("sorreldock-class", plan.rpc_class),
        ("sorreldock-tenant", "acme"),
        ("sorreldock-request-id", key),
        ("sorreldock-prompt-tokens", str(plan.prompt_tokens)),
    ]


def encode_grpc_message(plan: RequestPlan, key: str) -> bytes:
    body = encode_body(plan)
    request = pb.ModelInferRequest(
        model_name="desc", id=key, raw_input_contents=[len(body).to_bytes(4, "little") + body]
    )
    return encode_message_frame(request.SerializeToString())


@dataclass
class ClientHost:
    """A host of clients, which share its idle HTTP connections and its gRPC connections."""

    host: Host
    idle_connections: dict[str, list[VirtualSocket]] = field(default_factory=dict)
    grpc_connections: dict[str, GrpcConnection] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(0))

    async def dial(self, address: str, port: int) -> VirtualSocket:
        sock = self.host.socket()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((address, port))
        except trio.TooSlowError:
            sock.close()
            raise OSError("no connection came up") from None
        except BaseException:
            sock.close()
            raise
        return sock

    async def send_request(self, key: str, plan: RequestPlan, address: str, nursery: trio.Nursery) -> None:
        try:
            if plan.client == "bad":
                await self._send_malformed(plan, key, address)
            elif plan.protocol == "http":
                await self._send_http(key, plan, address)
            else:
                await self._send_grpc(key, plan, address, nursery)
        except CONNECTION_ERRORS:
            pass  # a fault of the router or the network; the oracles check which one

    def close(self) -> None:
        self.host.close_sockets()

    async def _write(self, sock: VirtualSocket, data: bytes, plan: RequestPlan) -> None:
        if plan.client != "trickling":
            await sock.send_all(data)
            return
        step = max(len(data) // 5, 1)
        for at in range(0, len(data), step):
            await sock.send_all(data[at : at + step])
            await trio.sleep(self.rng.uniform(0.0, 0.4))

    async def _read(self, sock: VirtualSocket, plan: RequestPlan) -> bytes:
        if plan.client == "slow":
            await trio.sleep(self.rng.choice((0.05, 0.3)))
            return await sock.recv(self.rng.choice((40, 400)))
        return await sock.recv()

    # HTTP.

    async def _send_http(self, key: str, plan: RequestPlan, address: str) -> None:
        idle = self.idle_connections.setdefault(address, [])
        sock = None
        while idle and sock is None:
            sock = idle.pop()
            if sock.closed or sock.is_readable():
                sock.close()
                sock = None
        if sock is None:
            sock = await self.dial(address, HTTP_PORT)
        reusable = False
        try:
            with trio.CancelScope() as scope:
                if plan.client == "leaving":
                    scope.deadline = trio.current_time() + self.rng.choice((0.0005, 0.05, 0.3, 1.0))
                await self._write(sock, encode_http_request(key, plan), plan)
                reusable = await self._read_answer(sock, plan)
        finally:
            if reusable and plan.client != "leaving":
                idle.append(sock)
            elif plan.client == "leaving" and self.rng.random() < 0.3:
                sock.abort()
            else:
                sock.close()

    async def _read_answer(self, sock: VirtualSocket, plan: RequestPlan) -> bool:
        """Read the answer to its end; return whether the connection may carry another request."""
        reader, keep_alive, timeout_s = HttpReader(answers=True), True, plan.deadline_s + ANSWER_GRACE_S
        while True:
            with trio.move_on_after(timeout_s) as scope:
                data = await self._read(sock, plan)
            if scope.cancelled_caught or not data:
                return False
            for item in reader.feed(data):
                if isinstance(item, Head):
                    keep_alive = item.fields.get(b"connection", b"").lower() != b"close"
                    timeout_s = EVENT_GAP_TIMEOUT_S
                elif isinstance(item, End):
                    return keep_alive

    async def _send_malformed(self, plan: RequestPlan, key: str, address: str) -> None:
        """Send malformed bytes that are drawn at random, and wait for the router to close the connection."""
        request = encode_http_request(f"bad-{key}", plan)
        is_grpc = plan.protocol == "kserve"
        sock = await self.dial(address, GRPC_PORT if is_grpc else HTTP_PORT)
        samples = [
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc" * 4,
            request[: self.rng.randrange(1, len(request))],
            request.replace(b"Content-Length", b"Transfer-Encoding: chunked\r\nContent-Length"),
            b"GET / HTTP/1.1\r\n" + b"a: " + b"b" * 40000,
            FrameWriter().preface(client=True) + b"\x00\x00\x04\x08\x00\x00\x00\x00\x00\x00\x00\x00\x00",
            FrameWriter().preface(client=True) + b"\x7f\xff\xff\x00\x00\x00\x00\x00\x01" + b"z" * 60,
            b"",
        ]
        try:
            with trio.move_on_after(12.0):
                await sock.send_all(self.rng.choice(samples))
                if self.rng.random() < 0.3:
                    sock.shutdown(1)
                while await sock.recv():
                    pass
        finally:
            sock.close()

    # gRPC.

    async def _send_grpc(self, key: str, plan: RequestPlan, address: str, nursery: trio.Nursery) -> None:
        connection = self.grpc_connections.get(address)
        if connection is None or not connection.is_usable:
            connection = self.grpc_connections[address] = GrpcConnection(await self.dial(address, GRPC_PORT))
            connection.reads_slowly = plan.client == "slow"
            await connection.sock.send_all(connection.writer.preface(client=True))
            nursery.start_soon(connection.run)
        is_unary = plan.output_tokens == 2
        stream, ended = connection.open_stream()
        connection.unsent += connection.writer.headers(stream, grpc_header_fields(plan, key, is_unary))
        connection.unsent += connection.writer.data(stream, encode_grpc_message(plan, key), ends=True)
        await connection.flush()
        with trio.move_on_after(plan.deadline_s + ANSWER_GRACE_S + EVENT_GAP_TIMEOUT_S) as scope:
            if plan.client == "leaving":
                scope.deadline = trio.current_time() + self.rng.choice((0.0, 0.05, 0.3))
            await ended.wait()
        if scope.cancelled_caught:
            connection.ended_events.pop(stream, None)
            connection.unsent += connection.writer.rst_stream(stream, 8)
            await connection.flush()


class GrpcConnection:
    """An HTTP/2 connection of a client, with many streams."""

    def __init__(self, sock: VirtualSocket) -> None:
        self.sock = sock
        self.writer = FrameWriter()
        self.unsent = b""
        self.ended_events: dict[int, trio.Event] = {}
        self.reads_slowly = self.closing = False
        self._next_stream = 1
        self._write_lock = trio.Lock()

    @property
    def is_usable(self) -> bool:
        return not self.closing and not self.sock.closed

    def open_stream(self) -> tuple[int, trio.Event]:
        """Return the id of a new stream and the event that is set when it ends."""
        stream, self._next_stream = self._next_stream, self._next_stream + 2
        ended = self.ended_events[stream] = trio.Event()
        return stream, ended

    async def flush(self) -> None:
        # Shielded so that no frame is left partly written when the client's task is cancelled.
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 10.0):
            async with self._write_lock:
                while self.unsent:
                    data, self.unsent = self.unsent, b""
                    await self.sock.send_all(data)

    async def run(self) -> None:
        reader = FrameReader(preface=False)
        try:
            while True:
                if self.reads_slowly:
                    await trio.sleep(0.1)
                data = await self.sock.recv(600 if self.reads_slowly else 65536)
                if not data:
                    return
                for frame in reader.feed(data):
                    if frame.kind == HEADERS:
                        reader.decode_fields(frame)
                    elif frame.kind == 7:
                        self.closing = True
                    self.unsent += self.writer.acknowledge(frame)
                    if (frame.ends or frame.kind == 3) and frame.stream in self.ended_events:
                        self.ended_events.pop(frame.stream).set()
                if self.unsent:
                    await self.flush()
                if self.closing and not self.ended_events:
                    return
        except CONNECTION_ERRORS:
            pass
        finally:
            self.closing = True
            self.sock.close()
            for event in self.ended_events.values():
                event.set()
            self.ended_events.clear()
