"""The world's clients, of both protocols: usual ones, and those that read slowly, leave, trickle or are
bad.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import trio

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import format_timeout
from ...kserve.framing import frame as message_frame
from .frames import FrameWriter
from .network import Host, VirtualSocket
from .readers import HEADERS, End, FrameReader, Head, HttpReader, ParseError
from .scenario import RequestPlan

HTTP_PORT, GRPC_PORT = 8080, 8081
DIAL_S = 2.0
PATIENCE_S = 1.5  # beyond the deadline: the router's answer has a way to go
SILENCE_S = 8.0
Gone = (OSError, trio.ClosedResourceError, ParseError)


def encode_body(plan: RequestPlan) -> bytes:
    chat = {
        "max_tokens": plan.output_tokens,
        "prompt_tokens": plan.prompt_tokens,
        "pad": "x" * plan.body_bytes,
    }
    return json.dumps(chat).encode()


def http_request(key: str, plan: RequestPlan) -> bytes:
    body = encode_body(plan)
    shared = plan.prompt_tokens // 2 if plan.prefix else 0
    props = f"prefix={plan.prefix},prompt_len={plan.prompt_tokens},prefix_len={shared}"
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: edge\r\n"
        f"X-Trace-Id: {key}\r\nX-Qos: {plan.rpc_class}\r\n"
        f"X-Customer: acme\r\nX-Expires-In: {int(plan.deadline_s * 1e6)}u\r\nX-Object: s{key}\r\n"
        f"X-Props: {props},max_out={plan.output_tokens}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def grpc_fields(plan: RequestPlan, key: str, unary: bool) -> list[tuple[str, str]]:
    method = "ModelInfer" if unary else "ModelStreamInfer"
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


def grpc_message(plan: RequestPlan, key: str) -> bytes:
    body = encode_body(plan)
    request = pb.ModelInferRequest(
        model_name="desc", id=key, raw_input_contents=[len(body).to_bytes(4, "little") + body]
    )
    return message_frame(request.SerializeToString())


@dataclass
class ClientHost:
    """One machine of clients, which keeps connections that are at rest."""

    host: Host
    idle: dict[str, list[VirtualSocket]] = field(default_factory=dict)
    lines: dict[str, GrpcLine] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(0))

    async def dial(self, address: str, port: int) -> VirtualSocket:
        sock = self.host.socket()
        try:
            with trio.fail_after(DIAL_S):
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
                await self._bad(plan, key, address)
            elif plan.protocol == "http":
                await self._http(key, plan, address)
            else:
                await self._grpc(key, plan, address, nursery)
        except Gone:
            pass  # the router has gone, or the network: the oracles know which

    def close(self) -> None:
        self.host.close_sockets()

    async def _write(self, sock: VirtualSocket, data: bytes, plan: RequestPlan) -> None:
        if plan.client != "trickling":
            await sock.send_all(data)
            return
        step = max(len(data) // 5, 1)
        for k in range(0, len(data), step):
            await sock.send_all(data[k : k + step])
            await trio.sleep(self.rng.uniform(0.0, 0.4))

    async def _read(self, sock: VirtualSocket, plan: RequestPlan) -> bytes:
        if plan.client == "slow":
            await trio.sleep(self.rng.choice((0.05, 0.3)))
            return await sock.recv(self.rng.choice((40, 400)))
        return await sock.recv()

    # HTTP.

    async def _http(self, key: str, plan: RequestPlan, address: str) -> None:
        kept = self.idle.setdefault(address, [])
        sock = None
        while kept and sock is None:
            sock = kept.pop()
            if sock.closed or sock.is_readable():
                sock.close()
                sock = None
        if sock is None:
            sock = await self.dial(address, HTTP_PORT)
        keep = False
        try:
            with trio.CancelScope() as scope:
                if plan.client == "leaving":
                    scope.deadline = trio.current_time() + self.rng.choice((0.0005, 0.05, 0.3, 1.0))
                await self._write(sock, http_request(key, plan), plan)
                keep = await self._answer(sock, plan)
        finally:
            if keep and plan.client != "leaving":
                kept.append(sock)
            elif plan.client == "leaving" and self.rng.random() < 0.3:
                sock.abort()
            else:
                sock.close()

    async def _answer(self, sock: VirtualSocket, plan: RequestPlan) -> bool:
        """Read to the answer's end; tells whether the connection may carry another request."""
        reader, again, patience = HttpReader(answers=True), True, plan.deadline_s + PATIENCE_S
        while True:
            with trio.move_on_after(patience) as scope:
                data = await self._read(sock, plan)
            if scope.cancelled_caught or not data:
                return False
            for item in reader.feed(data):
                if isinstance(item, Head):
                    again = item.fields.get(b"connection", b"").lower() != b"close"
                    patience = SILENCE_S
                elif isinstance(item, End):
                    return again

    async def _bad(self, plan: RequestPlan, key: str, address: str) -> None:
        """What no client should write; the peer ends it."""
        whole = http_request(f"bad-{key}", plan)
        grpc = plan.protocol == "kserve"
        sock = await self.dial(address, GRPC_PORT if grpc else HTTP_PORT)
        ways = [
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc" * 4,
            whole[: self.rng.randrange(1, len(whole))],
            whole.replace(b"Content-Length", b"Transfer-Encoding: chunked\r\nContent-Length"),
            b"GET / HTTP/1.1\r\n" + b"a: " + b"b" * 40000,
            FrameWriter().preface(client=True)
            + b"\x00\x00\x04\x08\x00\x00\x00\x00\x00\x00\x00\x00\x00",
            FrameWriter().preface(client=True)
            + b"\x7f\xff\xff\x00\x00\x00\x00\x00\x01"
            + b"z" * 60,
            b"",
        ]
        try:
            with trio.move_on_after(12.0):
                await sock.send_all(self.rng.choice(ways))
                if self.rng.random() < 0.3:
                    sock.shutdown(1)
                while await sock.recv():
                    pass
        finally:
            sock.close()

    # gRPC.

    async def _grpc(self, key: str, plan: RequestPlan, address: str, nursery: trio.Nursery) -> None:
        line = self.lines.get(address)
        if line is None or not line.usable:
            line = self.lines[address] = GrpcLine(await self.dial(address, GRPC_PORT))
            line.slow = plan.client == "slow"
            await line.sock.send_all(line.writer.preface(client=True))
            nursery.start_soon(line.run)
        unary = plan.output_tokens == 2
        stream, over = line.open()
        line.out += line.writer.headers(stream, grpc_fields(plan, key, unary))
        line.out += line.writer.data(stream, grpc_message(plan, key), ends=True)
        await line.flush()
        with trio.move_on_after(plan.deadline_s + PATIENCE_S + SILENCE_S) as scope:
            if plan.client == "leaving":
                scope.deadline = trio.current_time() + self.rng.choice((0.0, 0.05, 0.3))
            await over.wait()
        if scope.cancelled_caught:
            line.over.pop(stream, None)
            line.out += line.writer.rst_stream(stream, 8)
            await line.flush()


class GrpcLine:
    """One HTTP/2 connection of a client, with many streams."""

    def __init__(self, sock: VirtualSocket) -> None:
        self.sock = sock
        self.writer = FrameWriter()
        self.out = b""
        self.over: dict[int, trio.Event] = {}
        self.slow = self.going = False
        self._next = 1
        self._turn = trio.Lock()

    @property
    def usable(self) -> bool:
        return not self.going and not self.sock.closed

    def open(self) -> tuple[int, trio.Event]:
        stream, self._next = self._next, self._next + 2
        made = self.over[stream] = trio.Event()
        return stream, made

    async def flush(self) -> None:
        with trio.CancelScope(
            shield=True, deadline=trio.current_time() + 10.0
        ):  # no frame is left half written
            async with self._turn:
                while self.out:
                    data, self.out = self.out, b""
                    await self.sock.send_all(data)

    async def run(self) -> None:
        reader = FrameReader(preface=False)
        try:
            while True:
                if self.slow:
                    await trio.sleep(0.1)
                data = await self.sock.recv(600 if self.slow else 65536)
                if not data:
                    return
                for got in reader.feed(data):
                    if got.kind == HEADERS:
                        reader.decode_fields(got)
                    elif got.kind == 7:
                        self.going = True
                    self.out += self.writer.acknowledge(got)
                    if (got.ends or got.kind == 3) and got.stream in self.over:
                        self.over.pop(got.stream).set()
                if self.out:
                    await self.flush()
                if self.going and not self.over:
                    return
        except Gone:
            pass
        finally:
            self.going = True
            self.sock.close()
            for event in self.over.values():
                event.set()
            self.over.clear()
