"""Scripted peers over loopback sockets: engines, discovery, clients; and the program set among them."""

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
from sorreldock.transport.system import Machine
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
    """A test that runs in trio, and fails rather than hangs."""

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
        """A whole message: its head and body."""
        head, body = await self.next(), b""
        while isinstance(event := await self.next(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("cut off")
        return head, body


@dataclass
class ReceivedRequest:
    """A request that has reached a scripted engine."""

    wire: HttpConnection
    head: h11.Request
    body: bytes

    @property
    def headers(self) -> dict[str, str]:
        return {k.decode(): v.decode() for k, v in self.head.headers}

    async def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        names = [(k.replace("_", "-"), v) for k, v in headers.items()]
        names.append(("content-length", str(len(body))))
        response = h11.Response(status_code=status, headers=names)
        await self.wire.send(response, h11.Data(data=body), h11.EndOfMessage())

    async def start(self, *events: bytes) -> None:
        head = h11.Response(status_code=200, headers=[("content-type", "text/event-stream")])
        await self.wire.send(head, *(h11.Data(data=e) for e in events))

    async def send_events(self, *events: bytes) -> None:
        await self.wire.send(*(h11.Data(data=e) for e in events))

    async def end(self) -> None:
        await self.wire.send(h11.EndOfMessage())

    async def wait_closed(self) -> None:
        """Wait until the router has closed this connection."""
        while await self.wire.stream.receive_some(65536):
            pass


async def answer_in_full(call: ReceivedRequest) -> None:
    await call.start(*EVENTS)
    await call.end()


def stream_until(finish: trio.Event) -> Callable[[ReceivedRequest], Awaitable[None]]:
    """A script whose answers begin at once, and end when they are told."""

    async def slowly(call: ReceivedRequest) -> None:
        await call.start(EVENTS[0])
        await finish.wait()
        await call.send_events(*EVENTS[1:])
        await call.end()

    return slowly


class MachineWithoutSignals(Machine):
    """For programs in one process with others and with the tests: of two that took its signals, the one that
    ends last would put the handlers of the other one back. Stories of signals start processes.
    """

    def signals(self, *numbers: int) -> AbstractContextManager[AsyncIterator[int]]:
        return nullcontext(trio.open_memory_channel[int](0)[1])


class Peer:
    """Something that listens on a port of its own until its scope ends."""

    def __init__(self) -> None:
        self.connections = 0
        self.address = ""

    @asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                functools.partial(trio.serve_tcp, self._attend, 0, host="127.0.0.1")
            )
            self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            yield
            nursery.cancel_scope.cancel()

    async def _attend(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        with suppress(h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError):
            await self.attend(stream)  # which ends when the router has left

    async def attend(self, stream: trio.SocketStream) -> None:
        raise NotImplementedError


class ScriptedServer(Peer):
    """An engine that follows a script for each request; `scripts` are used up first, one a request."""

    def __init__(self, script: Callable[[ReceivedRequest], Awaitable[None]] = answer_in_full) -> None:
        super().__init__()
        self.script = script
        self.scripts: list[Callable[[ReceivedRequest], Awaitable[None]]] = []
        self.received_requests: list[ReceivedRequest] = []
        self.open_requests = self.max_open_requests = 0

    async def attend(self, stream: Any) -> None:
        wire = HttpConnection(stream, h11.SERVER)
        while True:
            head, body = await wire.message()
            call = ReceivedRequest(wire, head, body)
            self.received_requests.append(call)
            self.open_requests += 1
            self.max_open_requests = max(self.max_open_requests, self.open_requests)
            try:
                await (self.scripts.pop(0) if self.scripts else self.script)(call)
            finally:
                self.open_requests -= 1
            if wire.parser.our_state is not h11.DONE:
                return
            wire.parser.start_next_cycle()


class Discovery(Peer):
    """Tells a list; a watch gets each `tell`. `refuse` answers that many watches with 503 first."""

    def __init__(self, *engines: Peer) -> None:
        super().__init__()
        self.engines = engines
        self.rev = 1
        self.watches_to_refuse = 0
        self.watches = 0
        self.states: dict[str, str] = {}
        self.changed = trio.Event()
        self.watching = trio.Event()
        self.malformed_lines: list[bytes] = []  # lines that come first, one a watch
        self.extra_addresses: list[str] = []  # addresses of engines that are only listed
        self.indent: int | None = None

    def targets(self) -> list[dict[str, Any]]:
        return [
            {
                "uid": f"e{i}",
                "endpoint": e,
                "az": "ipswich",
                "model": "m",
                "pod_group": 0,
                "state": self.states.get(f"e{i}", "Ready"),
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for i, e in enumerate([e.address for e in self.engines] + self.extra_addresses)
        ]

    def listing(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": self.targets()}

    def push_states(self, **states: str) -> None:
        self.states.update(states)
        self.rev += 1
        self.changed.set()
        self.changed = trio.Event()

    async def attend(self, stream: trio.SocketStream) -> None:
        wire = HttpConnection(stream, h11.SERVER)
        await wire.message()
        self.watches += 1
        if self.watches <= self.watches_to_refuse:
            await ReceivedRequest(wire, None, b"").answer(503)  # type: ignore[arg-type]
            return
        await wire.send(h11.Response(status_code=200, headers=[]))
        if self.malformed_lines:
            await wire.send(h11.Data(data=self.malformed_lines.pop(0) + b"\n"))
            await until_left(stream)
            return
        while True:
            changed = self.changed
            listed = json.dumps(self.listing(), indent=self.indent)
            await wire.send(h11.Data(data=listed.encode() + b"\n"))
            self.watching.set()
            await changed.wait()


async def until_left(stream: Any) -> None:
    while await stream.receive_some(4096):
        pass


@dataclass
class Answer:
    """A router's answer as a client sees it."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@dataclass
class Router:
    """A running program and how to reach it."""

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
        """A request whose answer the test reads by itself."""
        wire = await self.connect()
        await wire.send(
            request("POST", "/v1/chat/completions", b"{}", {**FIELDS, **headers}),
            h11.Data(data=b"{}"),
            h11.EndOfMessage(),
        )
        return wire


async def start_streaming(router: Router, engine: ScriptedServer, finish: trio.Event) -> HttpConnection:
    """A request whose answer has begun, and ends when it is told."""
    engine.scripts.append(stream_until(finish))
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
    names = [(k.replace("_", "-"), v) for k, v in headers.items() if v is not None]
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
    *engines: Peer,
    discovery: Discovery | None = None,
    operator: Operator | None = None,
    lists: str = "ask",
    console: str = "",
    sockets: int = 1024,
    **settings: Any,
) -> AsyncIterator[Router]:
    """The program among these engines, ready to serve; it must end by itself once it is told to stop."""
    discovery = discovery or Discovery(*engines)
    raw = {**SETTINGS, "discovery": lists, **{k: v for k, v in settings.items() if k != "limits"}}
    raw["policy_limits"] = {**SETTINGS["policy_limits"], **settings.get("limits", {})}
    async with trio.open_nursery() as peers:
        for peer in (*engines, discovery):
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
            router = Router(Program(config, system=MachineWithoutSignals()), nursery)
            nursery.start_soon(router.program.run)
            await router.program.serving.wait()
            yield router
            router.program.linger_s = 0.0  # nobody comes any more
            router.program.lifecycle.stop_requested.set()
        assert router.program.lifecycle.phase is Phase.STOPPED
        peers.cancel_scope.cancel()


async def _run_peer(peer: Peer, task_status: trio.TaskStatus[None]) -> None:
    async with peer.open():
        task_status.started()
        await trio.sleep_forever()
