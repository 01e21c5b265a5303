"""A router on virtual time between scripted peers, whose bytes and pauses a test states.

All limits on waits have their real values here, and no run depends on the speed of the machine.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, TypeVar

import trio
from peers import SETTINGS

from sorreldock.client import Client, ClientSettings
from sorreldock.interface import ListKind
from sorreldock.kserve import kserve_pb2 as pb
from sorreldock.kserve.framing import frame
from sorreldock.lab.simulation.determinism import seeded_scheduler, virtual_clock
from sorreldock.lab.simulation.frames import FrameWriter
from sorreldock.lab.simulation.library import VirtualClientSocket
from sorreldock.lab.simulation.network import Host, Network, NetworkConditions, VirtualSocket
from sorreldock.lab.simulation.readers import (
    DATA,
    HEADERS,
    RST_STREAM,
    End,
    FrameReader,
    Head,
    HttpReader,
    ParseError,
    Part,
)
from sorreldock.lab.simulation.system import VirtualSystem
from sorreldock.program.config import Config, Kserve, Operator
from sorreldock.program.serve import Program
from sorreldock.protocol.http.discovery import decode_result
from sorreldock.wire import decode_settings

HTTP_PORT, GRPC_PORT, SERVER_PORT, DISCOVERY_PORT = 80, 81, 9000, 7000
DEADLINE_S = 4.0
MAX_RUN_S = 200.0
PEER_ERRORS = (OSError, trio.ClosedResourceError, ParseError)


@dataclass(frozen=True, slots=True)
class Step:
    """Bytes that a peer writes after a pause, and how many events they complete."""

    data: bytes = b""
    after_s: float = 0.0
    completes: int = 0


Script = Callable[[], Iterable[Step]]
GrpcScript = Callable[[FrameWriter, int], Iterable[Step]]
T = TypeVar("T")


@dataclass
class Answer:
    """What a client has received, with times."""

    status: str = ""
    body: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0
    arrivals: list[tuple[float, int]] = field(default_factory=list)  # time, bytes of the body so far

    def arrived_at(self, offset: int) -> float:
        """Return when the body's bytes before this offset had arrived."""
        return next((at for at, size in self.arrivals if size >= offset), float("inf"))


class ScriptedServer:
    """A server that writes the first of its scripts for the first request, and so on; the last one stays."""

    def __init__(self, scripts: list[Script], grpc_scripts: list[GrpcScript]) -> None:
        self.scripts, self.grpc_scripts = scripts, grpc_scripts
        self.received_at: list[float] = []  # of each request's last byte
        self.closed_at: list[float] = []  # the router has closed the connection
        self.event_times: list[float] = []  # of each complete event of the last answer

    async def serve(self, sock: VirtualSocket) -> None:
        with suppress(*PEER_ERRORS):
            first = await sock.recv()
            await (self._serve_grpc if first.startswith(b"PRI") else self._serve_http)(sock, first)
        self.closed_at.append(trio.current_time())
        sock.close()

    async def _serve_http(self, sock: VirtualSocket, data: bytes) -> None:
        reader = HttpReader(answers=False)
        while data:
            for item in reader.feed(data):
                if isinstance(item, End):
                    await self._write(sock, self._next(self.scripts)())
            data = await sock.recv()

    async def _serve_grpc(self, sock: VirtualSocket, data: bytes) -> None:
        reader, writer = FrameReader(preface=True), FrameWriter()
        await sock.send_all(writer.preface(client=False))
        async with trio.open_nursery() as nursery:
            while data:
                for item in reader.feed(data):
                    if item.kind == HEADERS:
                        reader.decode_fields(item)
                    if reply := writer.acknowledge(item):
                        await sock.send_all(reply)
                    if item.ends:
                        steps = self._next(self.grpc_scripts)(writer, item.stream)
                        nursery.start_soon(self._write, sock, steps)
                data = await sock.recv()
            nursery.cancel_scope.cancel()

    @staticmethod
    def _next(scripts: list[Any]) -> Any:
        return scripts.pop(0) if len(scripts) > 1 else scripts[0]

    async def _write(self, sock: VirtualSocket, steps: Iterable[Step]) -> None:
        self.received_at.append(trio.current_time())
        self.event_times.clear()
        for step in steps:
            await trio.sleep(step.after_s)
            if sock.inbox is not None and (sock.inbox.got_fin or sock.inbox.got_reset):
                return
            with suppress(*PEER_ERRORS):
                await sock.send_all(step.data)
            self.event_times += [trio.current_time()] * step.completes


class VirtualRouter:
    """The router of a scene, with its peers' hosts."""

    def __init__(self, network: Network, program: Program, client: Host, server: ScriptedServer) -> None:
        self.network, self.program, self.client, self.server = network, program, client, server

    async def connect(self, port: int = HTTP_PORT) -> VirtualSocket:
        sock = self.client.socket()
        await sock.connect(("127.0.1.1", port))
        return sock

    async def post(self, timeout_s: float = DEADLINE_S, body: bytes = b"{}") -> Answer:
        sock = await self.connect()
        await sock.send_all(http_request(body, timeout_s))
        return await read_http(sock)

    async def call(self, timeout_s: float = DEADLINE_S) -> Answer:
        """Make a ModelStreamInfer call; `body` of the answer holds the framed messages."""
        sock = await self.connect(GRPC_PORT)
        writer = FrameWriter()
        await sock.send_all(
            writer.preface(client=True)
            + writer.headers(1, grpc_fields(timeout_s))
            + writer.data(1, frame(infer_request()), ends=True)
        )
        return await read_grpc(sock)


def http_request(body: bytes = b"{}", timeout_s: float = DEADLINE_S, name: str = "t1") -> bytes:
    fields = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-trace-id: {name}\r\nx-qos: alt-text\r\n"
        f"x-customer: acme\r\nx-object: s1\r\nx-expires-in: {int(timeout_s * 1e3)}m\r\n"
        f"x-props: prompt_len=100,prefix_len=0,max_out=10\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return fields.encode() + body


def grpc_fields(timeout_s: float = DEADLINE_S, method: str = "ModelStreamInfer") -> list[tuple[str, str]]:
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", f"/inference.GRPCInferenceService/{method}"),
        (":authority", "x"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
        ("grpc-timeout", f"{int(timeout_s * 1e3)}m"),
        ("sorreldock-class", "alt-text"),
        ("sorreldock-tenant", "acme"),
    ]


def infer_request(text: bytes = b"a thumbnail") -> bytes:
    return pb.ModelInferRequest(model_name="desc", id="r1", raw_input_contents=[text]).SerializeToString()


async def read_http(sock: VirtualSocket) -> Answer:
    answer, reader = Answer(), HttpReader(answers=True)
    with suppress(*PEER_ERRORS):
        while not answer.is_whole and (data := await sock.recv()):
            for item in reader.feed(data):
                if isinstance(item, Head):
                    answer.status = item.start_line.split(b" ")[1].decode()
                elif isinstance(item, Part):
                    answer.body += item.data
                elif isinstance(item, End):
                    answer.is_whole = True
            answer.arrivals.append((trio.current_time(), len(answer.body)))
    answer.ended_at = trio.current_time()
    sock.close()
    return answer


async def read_grpc(sock: VirtualSocket) -> Answer:
    answer, reader, writer = Answer(), FrameReader(preface=False), FrameWriter()
    has_ended = False
    with suppress(*PEER_ERRORS):
        while not has_ended and (data := await sock.recv()):
            for item in reader.feed(data):
                if item.kind == HEADERS:
                    answer.status = reader.decode_fields(item).get("grpc-status", answer.status)
                elif item.kind == DATA:
                    answer.body += item.data()
                has_ended = has_ended or item.ends or item.kind == RST_STREAM
                if reply := writer.acknowledge(item):
                    await sock.send_all(reply)
            answer.arrivals.append((trio.current_time(), len(answer.body)))
    answer.is_whole = answer.status == "0"
    answer.ended_at = trio.current_time()
    sock.close()
    return answer


@dataclass
class Listing:
    """What discovery writes to each watch: the steps after the head, of the lists that a test names."""

    steps: Callable[[int], Iterable[Step]]  # for the number of the watch, from 0
    opened_at: list[float] = field(default_factory=list)

    async def serve(self, sock: VirtualSocket) -> None:
        with suppress(*PEER_ERRORS):
            await sock.recv()
            self.opened_at.append(trio.current_time())
            for step in self.steps(len(self.opened_at) - 1):
                await trio.sleep(step.after_s)
                if sock.inbox is not None and (sock.inbox.got_fin or sock.inbox.got_reset):
                    break
                await sock.send_all(step.data)
        sock.close()


WATCH_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


def heartbeats() -> Iterable[Step]:
    while True:
        yield Step(chunk(b"\n"), after_s=2.0)


def sound_watch(number: int) -> Iterable[Step]:
    yield Step(WATCH_HEAD + chunk(b"\n"))
    yield from heartbeats()


def target(uid: str, state: str = "Ready", host: str = "127.0.2.1") -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"{host}:{SERVER_PORT}",
        "az": "ipswich",
        "model": "m",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def play(
    scene: Callable[[VirtualRouter], Awaitable[T]],
    scripts: list[Script] | None = None,
    grpc_scripts: list[GrpcScript] | None = None,
    listing: Listing | None = None,
    effect: str = "safe",
    probes: bool = False,
    has_two_servers: bool = True,
) -> T:
    """Run a scene around one router on virtual time, and return its result."""
    network = Network(random.Random(1), NetworkConditions(), lambda line: None)
    server = ScriptedServer(scripts or [], grpc_scripts or [])
    router, client = network.add_host("r0", "127.0.1.1"), network.add_host("c0", "127.0.4.1")
    hosts = [network.add_host(f"s{n}", f"127.0.2.{n + 1}") for n in range(2 if has_two_servers else 1)]
    discovery = network.add_host("d0", "127.0.3.1")
    listing = listing or Listing(sound_watch)
    categories = [{**c, "effect": effect} for c in SETTINGS["categories"]]
    limits = {**SETTINGS["policy_limits"], "probes": probes}
    known = {
        "rev": 1,
        "all": True,
        "targets": [target(f"e{n}", host=f"127.0.2.{n + 1}") for n in range(len(hosts))],
    }
    result: list[T] = []

    async def main() -> None:
        config = Config(
            "n1",
            f"127.0.1.1:{HTTP_PORT}",
            f"127.0.3.1:{DISCOVERY_PORT}",
            1,
            1024,
            decode_settings({**SETTINGS, "categories": categories, "policy_limits": limits}),
            decode_result(known, ListKind.CACHED),
            Operator(
                kserve=Kserve(f"127.0.1.1:{GRPC_PORT}", ("desc",), "", "", 30.0),
                server_protocols=("http", "kserve"),
                min_severity="emerg",
            ),
        )
        program = Program(config, system=VirtualSystem(router, 1))
        with trio.fail_after(MAX_RUN_S):
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    nursery.start_soon(host.serve, SERVER_PORT, server.serve, nursery)
                nursery.start_soon(discovery.serve, DISCOVERY_PORT, listing.serve, nursery)
                nursery.start_soon(program.run)
                await program.serving.wait()
                result.append(await scene(VirtualRouter(network, program, client, server)))
                nursery.cancel_scope.cancel()

    with seeded_scheduler(1):
        trio.run(main, clock=virtual_clock(network.next_at, network.advance))
    return result[0]


def play_library(
    scene: Callable[[Client], Awaitable[T]],
    scripts: list[Script] | None = None,
    grpc_scripts: list[GrpcScript] | None = None,
    client_settings: ClientSettings | None = None,
) -> T:
    """Run a scene of the client library on virtual time; the scripts are those of its only router."""
    network = Network(random.Random(1), NetworkConditions(), lambda line: None)
    peer = ScriptedServer(scripts or [], grpc_scripts or [])
    router, host = network.add_host("s0", "127.0.2.1"), network.add_host("c0", "127.0.4.1")
    result: list[T] = []

    async def dial(address: str, silence_s: float) -> VirtualClientSocket:
        sock = host.socket()
        await sock.connect(("127.0.2.1", SERVER_PORT))
        return VirtualClientSocket(sock)

    async def main() -> None:
        with trio.fail_after(MAX_RUN_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.serve, SERVER_PORT, peer.serve, nursery)
                protocol = "kserve" if grpc_scripts else "http"
                settings = client_settings or ClientSettings(max_retries=0)
                address = f"127.0.2.1:{SERVER_PORT}"
                async with Client([address], settings, protocol, random.Random(1), dial=dial) as client:
                    result.append(await scene(client))
                nursery.cancel_scope.cancel()

    with seeded_scheduler(1):
        trio.run(main, clock=virtual_clock(network.next_at, network.advance))
    return result[0]
