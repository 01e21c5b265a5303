"""Emulated servers, up to thousands in one process, and their discovery service."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any

import h11
import trio

from ...transport.connection import closed_by_peer
from .records import ReceivedAttempt, Records

EVENT = b'data: {"n":%d}\n\n'
DONE = b"data: [DONE]\n\n"
COMMENT = b": keep-alive\n\n"
SLOW_EVENT = b'data: {"text":"' + b"x" * 1480 + b'"}\n\n'
SLOW_EVENT_PIECES, SLOW_EVENT_INTERVAL_S = 15, 0.4
SLOW_CHUNK_EVENTS, SLOW_CHUNK_INTERVAL_S = 5, 0.6
PAUSE_RANGE_S = (1.0, 4.4)  # within an event; a stream may be silent for nearly 5 s
SPOILT_INTERVAL_S = 0.4
SLOW_READ_BYTES, SLOW_READ_INTERVAL_S = 8192, 0.05
KEEPALIVE_INTERVAL_S = 2.0  # of the empty lines that discovery sends while nothing changes
SERVERS_PER_SUBNET = 250
BACKLOG = 128


class ServerFault(Enum):
    """What a server does instead of answering a request in full."""

    NONE = "none"
    ERROR = "error"  # status 500
    REJECTED = "rejected"  # status 503 with X-Never-Ran
    RESET = "reset"  # the connection is closed before the answer
    CUT_OFF = "cut_off"  # the connection is closed after the first event
    HANG = "hang"  # no answer, while the connection stays open
    EARLY_END = "early_end"  # the answer ends with its last chunk, but without its last event
    SLOW_EVENT = "slow_event"  # a long event is written in small pieces
    SLOW_READ = "slow_read"  # the request is read in small pieces
    SLOW_CHUNK = "slow_chunk"  # one chunk holds several events, which are written one after the other
    PAUSED_EVENT = "paused_event"  # a pause within an event
    HUGE_CHUNK = "huge_chunk"  # a chunk states 3 GB and goes on with sound events
    ENDLESS_SIZE = "endless_size"  # the line of a chunk's size does not end
    ENDLESS_EVENT = "endless_event"  # an event does not end
    ENDLESS_COMMENTS = "endless_comments"  # comments are all that follows


SPOILT_PARTS = {
    ServerFault.HUGE_CHUNK: (b"B2D05E00\r\n", EVENT % 0),
    ServerFault.ENDLESS_SIZE: (b"0", b"0"),
    ServerFault.ENDLESS_EVENT: (b"20000\r\ndata: ", b"x"),
    ServerFault.ENDLESS_COMMENTS: (b"", b"%x\r\n%b\r\n" % (len(COMMENT), COMMENT)),
}


@dataclass(slots=True)
class ServerBehaviour:
    """How the servers answer; times are in seconds, shares from 0 to 1."""

    first_event_s: float = 0.05
    spread_s: float = 0.0  # upper bound of a uniform random addition to `first_event_s`
    events: int = 3
    event_interval_s: float = 0.0
    fault: ServerFault = ServerFault.NONE
    fault_share: float = 0.0


class Server:
    """One server of the discovery list."""

    def __init__(self, number: int, zone: str, listener: socket.socket) -> None:
        self.uid = f"s-{number:05d}"
        self.zone = zone
        self.state = "Ready"
        self.started_ms = 0
        self.listener = listener
        host, port = listener.getsockname()
        self.endpoint = f"{host}:{port}"

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in discovery's format."""
        return {
            "uid": self.uid,
            "endpoint": self.endpoint,
            "az": self.zone,
            "model": "m",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.started_ms,
        }


class Fleet:
    """Emulated servers on addresses of 127.77.0.0/16, and their discovery service on 127.0.0.1."""

    def __init__(self, count: int, zones: list[str], records: Records, seed: int = 0) -> None:
        self.behaviour = ServerBehaviour()
        self.records = records
        self.servers: list[Server] = []
        self.revision = 1
        self.discovery_up = True
        self._nursery: trio.Nursery | None = None
        self._rng = random.Random(seed)
        self._changes: dict[int, list[dict[str, Any]]] = {}
        self._changed = trio.Event()
        self._watches: set[trio.CancelScope] = set()
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        for number in range(count):
            subnet, host_number = divmod(number, SERVERS_PER_SUBNET)
            listener = socket.create_server((f"127.77.{subnet}.{host_number + 1}", port), backlog=BACKLOG)
            self.servers.append(Server(number, zones[number % len(zones)], listener))

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Fleet]:
        """Serve until the block exits."""
        async with trio.open_nursery() as self._nursery:
            for server in self.servers:
                self._nursery.start_soon(self._accept, server, self._nursery)
            yield self
            self._nursery.cancel_scope.cancel()
        for server in self.servers:
            server.listener.close()

    # Discovery.

    def open_discovery_for(self, router: str) -> str:
        """Open a discovery address for this router alone, and return it."""
        assert self._nursery is not None
        sock = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        host, port = sock.getsockname()
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        self._nursery.start_soon(trio.serve_listeners, partial(self._serve_discovery, router), [listener])
        return f"{host}:{port}"

    def full_list(self) -> dict[str, Any]:
        """Return the full list in discovery's format."""
        return {"rev": self.revision, "all": True, "targets": [server.entry() for server in self.servers]}

    def set_state(self, servers: list[Server], state: str) -> None:
        """Publish a new state of these servers as one revision of the list."""
        now = trio.current_time()
        for server in servers:
            server.state = state
            self.records.withdrawn_at.setdefault(server.uid, now)
        self.revision += 1
        self._changes[self.revision] = [server.entry() for server in servers]
        self._changed.set()
        self._changed = trio.Event()

    def stop_discovery(self) -> None:
        """Close all watches, and answer with status 503 until `start_discovery`."""
        self.discovery_up = False
        self.records.outages.append((trio.current_time(), None))
        for scope in list(self._watches):
            scope.cancel()

    def start_discovery(self) -> None:
        """Accept watches again."""
        self.discovery_up = True
        now = trio.current_time()
        self.records.outages = [(start, now if end is None else end) for start, end in self.records.outages]

    async def _serve_discovery(self, router: str, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            head = await _read_head(stream)
            if not head or not self.discovery_up:
                await stream.send_all(b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n")
                return
            with trio.CancelScope() as scope:
                self._watches.add(scope)
                try:
                    await self._watch(router, stream)
                finally:
                    self._watches.discard(scope)

    async def _watch(self, router: str, stream: trio.SocketStream) -> None:
        await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        sent_revision = self.revision
        await stream.send_all(_chunk(json.dumps(self.full_list()).encode() + b"\n"))
        self._record_notification(router, stream)
        while True:
            changed = self._changed
            while sent_revision < self.revision:
                sent_revision += 1
                changes = {"rev": sent_revision, "all": False, "targets": self._changes[sent_revision]}
                await stream.send_all(_chunk(json.dumps(changes).encode() + b"\n"))
                self._record_notification(router, stream)
            with trio.move_on_after(KEEPALIVE_INTERVAL_S) as timeout:
                await changed.wait()
            if timeout.cancelled_caught:
                await stream.send_all(_chunk(b"\n"))

    def _record_notification(self, router: str, stream: trio.SocketStream) -> None:
        """Record what has been written, unless the process that would have read it has ended."""
        if closed_by_peer(stream.socket):
            return
        now = trio.current_time()
        for server in self.records.withdrawn_at:
            self.records.notified_at.setdefault((router, server), now)

    # Servers.

    async def _accept(self, server: Server, nursery: trio.Nursery) -> None:
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(server.listener))
        while True:
            with suppress(OSError):
                stream = await listener.accept()
                nursery.start_soon(self._serve, server, stream)

    async def _serve(self, server: Server, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.SERVER)
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                while await self._serve_request(server, stream, parser):
                    parser.start_next_cycle()

    async def _serve_request(self, server: Server, stream: trio.SocketStream, parser: h11.Connection) -> bool:
        """Serve one request; return whether the connection can carry another."""
        head = await _next_event(stream, parser)
        if not isinstance(head, h11.Request):
            return False
        headers = {name.decode(): value.decode() for name, value in head.headers}
        timeout_s = float(headers.get("x-expires-in", "0u").rstrip("um")) / 1e6
        attempt = ReceivedAttempt(headers.get("x-trace-id", ""), server.uid, trio.current_time(), timeout_s)
        reads_slowly = self._draws(ServerFault.SLOW_READ)
        while not isinstance(event := await _next_event(stream, parser, reads_slowly), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                return False
        self.records.attempts.append(attempt)
        if reads_slowly and closed_by_peer(stream.socket):
            # The router had ended the attempt before the server read its last bytes from the kernel.
            attempt.ended_at = attempt.received_at
            return False
        try:
            return await self._answer(attempt, stream, parser)
        finally:
            attempt.ended_at = trio.current_time()

    def _draws(self, fault: ServerFault) -> bool:
        """Draw whether a request meets this fault."""
        return self.behaviour.fault is fault and self._rng.random() < self.behaviour.fault_share

    async def _answer(
        self, attempt: ReceivedAttempt, stream: trio.SocketStream, parser: h11.Connection
    ) -> bool:
        behaviour = self.behaviour
        fault = behaviour.fault if self._draws(behaviour.fault) else ServerFault.NONE
        if fault is ServerFault.HANG:
            await _until_closed(stream)
            return False
        first_event_s = behaviour.first_event_s + self._rng.random() * behaviour.spread_s
        if not await _wait_unless_closed(stream, first_event_s):
            return False
        if fault is ServerFault.RESET:
            return False
        if fault in (ServerFault.ERROR, ServerFault.REJECTED):
            headers = [("content-length", "0")]
            if fault is ServerFault.REJECTED:
                headers.append(("x-never-ran", "1"))
            response = h11.Response(status_code=500 if fault is ServerFault.ERROR else 503, headers=headers)
            await stream.send_all((parser.send(response) or b"") + (parser.send(h11.EndOfMessage()) or b""))
            return True
        response = h11.Response(status_code=200, headers=[("content-type", "text/event-stream")])
        data = parser.send(response) or b""
        if fault is ServerFault.SLOW_EVENT:
            await stream.send_all(data)
            data = b""
            if not await self._send_slow_event(attempt, stream, parser):
                return False
        for number in range(behaviour.events):
            if fault is ServerFault.EARLY_END and number == behaviour.events - 1:
                attempt.was_cut_off = True
                break
            event = EVENT % number if number < behaviour.events - 1 else DONE
            data += parser.send(h11.Data(data=event)) or b""
            await stream.send_all(data)
            record_event(attempt, event)
            data = b""
            if number == 0 and fault is ServerFault.SLOW_CHUNK:
                await self._send_slow_chunk(attempt, stream)
            if number == 0 and fault is ServerFault.PAUSED_EVENT:
                await self._send_paused_event(attempt, stream)
            if number == 0 and fault in SPOILT_PARTS:
                attempt.was_cut_off = True
                await self._send_spoilt_part(fault, attempt, stream)
                return False
            if fault is ServerFault.CUT_OFF:
                attempt.was_cut_off = True
                return False
            if behaviour.event_interval_s and not await _wait_unless_closed(
                stream, behaviour.event_interval_s
            ):
                return False
        await stream.send_all(data + (parser.send(h11.EndOfMessage()) or b""))
        return True

    async def _send_slow_chunk(self, attempt: ReceivedAttempt, stream: trio.SocketStream) -> None:
        await stream.send_all(b"%x\r\n" % (SLOW_CHUNK_EVENTS * len(EVENT % 0)))
        for _ in range(SLOW_CHUNK_EVENTS):
            await trio.sleep(SLOW_CHUNK_INTERVAL_S)
            await stream.send_all(EVENT % 0)
            record_event(attempt, EVENT % 0)
        await stream.send_all(b"\r\n")

    async def _send_paused_event(self, attempt: ReceivedAttempt, stream: trio.SocketStream) -> None:
        data = _chunk(EVENT % 0)
        await stream.send_all(data[:10])
        await trio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
        await stream.send_all(data[10:])
        record_event(attempt, EVENT % 0)

    @staticmethod
    async def _send_spoilt_part(
        fault: ServerFault, attempt: ReceivedAttempt, stream: trio.SocketStream
    ) -> None:
        """Write a spoilt part until the router closes the connection."""
        first, rest = SPOILT_PARTS[fault]
        await stream.send_all(first)
        while await _wait_unless_closed(stream, SPOILT_INTERVAL_S):
            if fault is ServerFault.ENDLESS_COMMENTS:  # each of them is a sound part of the answer
                attempt.sent_body += COMMENT
            await stream.send_all(rest)

    async def _send_slow_event(
        self, attempt: ReceivedAttempt, stream: trio.SocketStream, parser: h11.Connection
    ) -> bool:
        """Write an event in pieces for longer than the gap that a stream may have between two events."""
        attempt.sent_body += SLOW_EVENT
        size = len(SLOW_EVENT) // SLOW_EVENT_PIECES
        for start in range(0, len(SLOW_EVENT), size):
            await stream.send_all(parser.send(h11.Data(data=SLOW_EVENT[start : start + size])) or b"")
            if not await _wait_unless_closed(stream, SLOW_EVENT_INTERVAL_S):
                return False
        return True


def record_event(attempt: ReceivedAttempt, event: bytes) -> None:
    """Record that an event has been written to its end."""
    attempt.sent_body += event
    attempt.event_times.append((trio.current_time(), len(attempt.sent_body)))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _read_head(stream: trio.SocketStream) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        more = bytes(await stream.receive_some(65536))
        if not more:
            return b""
        data += more
    return data


async def _next_event(stream: trio.SocketStream, parser: h11.Connection, slowly: bool = False) -> Any:
    while (event := parser.next_event()) is h11.NEED_DATA:
        if slowly:
            await trio.sleep(SLOW_READ_INTERVAL_S)
        parser.receive_data(bytes(await stream.receive_some(SLOW_READ_BYTES if slowly else 65536)))
    return event


async def _until_closed(stream: trio.SocketStream) -> None:
    while await stream.receive_some(65536):
        pass


async def _wait_unless_closed(stream: trio.SocketStream, seconds: float) -> bool:
    """Wait, and return True; return False as soon as the router closes the connection."""
    with trio.move_on_after(seconds):
        await _until_closed(stream)
        return False
    return True
