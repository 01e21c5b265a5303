"""Scripted servers, discovery and clients on loopback sockets, and a router that runs between them."""

from __future__ import annotations

import functools
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractContextManager, asynccontextmanager, nullcontext, suppress
from dataclasses import dataclass, field
from typing import Any

import h11
import trio

from sorreldock.interface import ListKind
from sorreldock.program.config import Config, Operator
from sorreldock.program.phases import Phase
from sorreldock.program.serve import Program
from sorreldock.protocol.http.discovery import decode_result
from sorreldock.transport.system import RealSystem
from sorreldock.wire import decode_settings

SETTINGS: dict[str, Any] = {
    "areas": ["ipswich"],
    "zone": "ipswich",
    "me": 0,
    "balancers": 1,
    "discovery": "ask",
    "tick_s": 0.002,
    "categories": [
        {"name": "alt-text", "aim_s": 1.0, "deadline_s": 4.0, "stream": True},
        {"name": "title-suggest", "aim_s": 0.5, "deadline_s": 2.0, "stream": True},
    ],
    "policy_limits": {
        "max_attempts": 6,
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after_s": 2.0,
        "connect_timeout_s": 0.5,
        "conn_idle_s": 60.0,
    },
    "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
    "tenants": [{"name": "acme", "quota_rps": 5.0, "share": 1.0}],
    "contract": {
        "drain_grace_s": 0.25,
        "cold_from": 0.12,
        "ramp_time_s": 23.0,
        "fall_multiple": 2.5,
        "overload_for_s": 3.0,
        "must_ask_in_s": 2.0,
    },
}
EVENTS = [b'data: {"n":1}\n\n', b'data: {"n":2}\n\n', b"data: [DONE]\n\n"]


def trio_test(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an async test in trio, with a timeout."""

    @functools.wraps(test)
    def run(**fixtures: Any) -> None:
        async def limited() -> None:
            with trio.fail_after(20):
                await test(**fixtures)

        trio.run(limited)

    return run


class HttpConnection:
    """One end of an HTTP/1.1 connection."""

    def __init__(self, stream: Any, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream = stream
        self.parser = h11.Connection(role)

    async def send(self, *events: h11.Event) -> None:
        await self.stream.send_all(b"".join(self.parser.send(event) or b"" for event in events))

    async def next(self) -> Any:
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            self.parser.receive_data(await self.stream.receive_some(65536))
        return event

    async def message(self) -> tuple[Any, bytes]:
        """Receive a whole message; return its head and body."""
        head, body = await self.next(), b""
        while isinstance(event := await self.next(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("cut off")
        return head, body


@dataclass
class ReceivedRequest:
    """A request that a scripted server has received, with the methods to answer it."""

    wire: HttpConnection
    head: h11.Request
    body: bytes

    @property
    def headers(self) -> dict[str, str]:
        return {name.decode(): value.decode() for name, value in self.head.headers}

    async def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        names = [(name.replace("_", "-"), value) for name, value in headers.items()]
        names.append(("content-length", str(len(body))))
        response = h11.Response(status_code=status, headers=names)
        await self.wire.send(response, h11.Data(data=body), h11.EndOfMessage())

    async def start(self, *events: bytes) -> None:
        head = h11.Response(status_code=200, headers=[("content-type", "text/event-stream")])
        await self.wire.send(head, *(h11.Data(data=e) for e in events))

    async def send_events(self, *events: bytes) -> None:
        await self.wire.send(*(h11.Data(data=event) for event in events))

    async def end(self) -> None:
        await self.wire.send(h11.EndOfMessage())

    async def wait_closed(self) -> None:
        """Wait until the router has closed this connection."""
        while await self.wire.stream.receive_some(65536):
            pass


async def answer_in_full(received: ReceivedRequest) -> None:
    await received.start(*EVENTS)
    await received.end()


def stream_until(finish: trio.Event) -> Callable[[ReceivedRequest], Awaitable[None]]:
    """Return a script that starts the answer at once and completes it after `finish`."""

    async def script(received: ReceivedRequest) -> None:
        await received.start(EVENTS[0])
        await finish.wait()
        await received.send_events(*EVENTS[1:])
        await received.end()

    return script


class SystemWithoutSignals(RealSystem):
    """A system that delivers no signals, for several programs in the process of the tests.

    With two that handle signals, the one that ends last would restore the handlers of the other one. Tests of
    signals start processes instead.
    """

    def signals(self, *numbers: int) -> AbstractContextManager[AsyncIterator[int]]:
        return nullcontext(trio.open_memory_channel[int](0)[1])


class Peer:
    """A server on a port of its own, open until its scope ends."""

    def __init__(self) -> None:
        self.connections = 0
        self.address = ""

    @asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, self._serve_connection, 0, host="127.0.0.1")
            )
            self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            yield
            nursery.cancel_scope.cancel()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        with suppress(h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            await self.serve_connection(stream)  # returns once the router has closed the connection

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        raise NotImplementedError


class ScriptedServer(Peer):
    """A server that runs a script for each request: first each of `scripts` once, then always `script`."""

    def __init__(self, script: Callable[[ReceivedRequest], Awaitable[None]] = answer_in_full) -> None:
        super().__init__()
        self.script = script
        self.scripts: list[Callable[[ReceivedRequest], Awaitable[None]]] = []
        self.received_requests: list[ReceivedRequest] = []
        self.open_requests = self.max_open_requests = 0

    async def serve_connection(self, stream: Any) -> None:
        wire = HttpConnection(stream, h11.SERVER)
        while True:
            head, body = await wire.message()
            received = ReceivedRequest(wire, head, body)
            self.received_requests.append(received)
            self.open_requests += 1
            self.max_open_requests = max(self.max_open_requests, self.open_requests)
            try:
                await (self.scripts.pop(0) if self.scripts else self.script)(received)
            finally:
                self.open_requests -= 1
            if wire.parser.our_state is not h11.DONE:
                return
            wire.parser.start_next_cycle()


class Discovery(Peer):
    """A discovery service that sends the list to each watch, and again at each `push_states`.

    The first `watches_to_refuse` watches are answered with 503.
    """

    def __init__(self, *servers: Peer) -> None:
        super().__init__()
        self.servers = servers
        self.rev = 1
        self.watches_to_refuse = 0
        self.watches = 0
        self.states: dict[str, str] = {}
        self.changed = trio.Event()
        self.watching = trio.Event()
        self.malformed_lines: list[bytes] = []  # sent instead of the list, one to each of the first watches
        self.extra_addresses: list[str] = []  # addresses in the list that have no server
        self.indent: int | None = None

    def targets(self) -> list[dict[str, Any]]:
        return [
            {
                "uid": f"e{index}",
                "endpoint": entry,
                "az": "ipswich",
                "model": "m",
                "pod_group": 0,
                "state": self.states.get(f"e{index}", "Ready"),
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for index, entry in enumerate([entry.address for entry in self.servers] + self.extra_addresses)
        ]

    def listing(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": self.targets()}

    def push_states(self, **states: str) -> None:
        self.states.update(states)
        self.rev += 1
        self.changed.set()
        self.changed = trio.Event()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        wire = HttpConnection(stream, h11.SERVER)
        await wire.message()
        self.watches += 1
        if self.watches <= self.watches_to_refuse:
            await ReceivedRequest(wire, None, b"").answer(503)  # type: ignore[arg-type]
            return
        await wire.send(h11.Response(status_code=200, headers=[]))
        if self.malformed_lines:
            await wire.send(h11.Data(data=self.malformed_lines.pop(0) + b"\n"))
            await read_until_closed(stream)
            return
        while True:
            changed = self.changed
            text = json.dumps(self.listing(), indent=self.indent)
            await wire.send(h11.Data(data=text.encode() + b"\n"))
            self.watching.set()
            await changed.wait()


async def read_until_closed(stream: Any) -> None:
    while await stream.receive_some(4096):
        pass


@dataclass
class Answer:
    """A router's answer as a client receives it; `whole` is true if its end has arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclass
class Router:
    """A running program, and requests to it."""

    program: Program
    nursery: trio.Nursery
    answers: list[Answer] = field(default_factory=list)

    @property
    def address(self) -> str:
        return self.program.addresses["http"]

    async def connect(self) -> HttpConnection:
        host, port = self.address.rsplit(":", 1)
        return HttpConnection(await trio.open_tcp_stream(host, int(port)), h11.CLIENT)

    async def send_request(
        self, method: str, target: str, body: bytes = b"", **headers: str | None
    ) -> Answer:
        wire = await self.connect()
        async with wire.stream:
            await wire.send(request(method, target, body, headers), h11.Data(data=body), h11.EndOfMessage())
            return await read_answer(wire)

    async def post(self, body: bytes = b"{}", **headers: str | None) -> Answer:
        return await self.send_request("POST", "/v1/chat/completions?x=1", body, **{**FIELDS, **headers})

    async def start_post(self, **headers: str | None) -> HttpConnection:
        """Send a request, and return its connection for the test to read the answer."""
        wire = await self.connect()
        await wire.send(
            request("POST", "/v1/chat/completions", b"{}", {**FIELDS, **headers}),
            h11.Data(data=b"{}"),
            h11.EndOfMessage(),
        )
        return wire


async def start_streaming(router: Router, server: ScriptedServer, finish: trio.Event) -> HttpConnection:
    """Send a request whose answer has started and completes after `finish`."""
    server.scripts.append(stream_until(finish))
    wire = await router.start_post(x_trace_id="taken")
    await wire.next()
    return wire


FIELDS: dict[str, str | None] = {
    "x_trace_id": "9b1f03aa",
    "x_qos": "alt-text",
    "x_customer": "acme",
    "x_expires_in": "2000m",
    "x_object": "s1",
    "x_props": "prefix=p1,prompt_len=100,prefix_len=50,max_out=10",
}


def request(method: str, target: str, body: bytes, headers: dict[str, str | None]) -> h11.Request:
    names = [(name.replace("_", "-"), value) for name, value in headers.items() if value is not None]
    return h11.Request(
        method=method,
        target=target,
        headers=[("host", "origin.svc"), *names, ("content-length", str(len(body)))],
    )


async def read_answer(wire: HttpConnection) -> Answer:
    head = await wire.next()
    body, whole = b"", False
    try:
        while isinstance(event := await wire.next(), h11.Data):
            body += event.data
        whole = isinstance(event, h11.EndOfMessage)
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        pass
    return Answer(head.status_code, {k.decode(): v.decode() for k, v in head.headers}, body, whole)


@asynccontextmanager
async def running_router(
    *servers: Peer,
    discovery: Discovery | None = None,
    operator: Operator | None = None,
    lists: str = "ask",
    console: str = "",
    sockets: int = 1024,
    **settings: Any,
) -> AsyncIterator[Router]:
    """Run the program with these servers; at the end of the block it has to stop when asked to."""
    discovery = discovery or Discovery(*servers)
    raw = {**SETTINGS, "discovery": lists, **{k: v for k, v in settings.items() if k != "limits"}}
    raw["policy_limits"] = {**SETTINGS["policy_limits"], **settings.get("limits", {})}
    async with trio.open_nursery() as peers:
        for peer in (*servers, discovery):
            await peers.start(_run_peer, peer)
        config = Config(
            "n1",
            "127.0.0.1:0",
            discovery.address,
            1,
            sockets,
            decode_settings(raw),
            decode_result(discovery.listing(), ListKind.CACHED),
            operator or Operator(min_severity="emerg"),
            console=console,
        )
        async with trio.open_nursery() as nursery:
            router = Router(Program(config, system=SystemWithoutSignals()), nursery)
            nursery.start_soon(router.program.run)
            await router.program.serving.wait()
            yield router
            router.program.linger_s = 0.0  # no further client connects
            router.program.lifecycle.stop_requested.set()
        assert router.program.lifecycle.phase is Phase.STOPPED
        peers.cancel_scope.cancel()


async def _run_peer(peer: Peer, task_status: trio.TaskStatus[None]) -> None:
    async with peer.open():
        task_status.started()
        await trio.sleep_forever()
