"""A whole fleet on loopback: engines that serve both protocols on one port, and a discovery service."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from typing import Any

import h2.exceptions
import h11
import trio

from ..directory import Directory, Entry
from ..ledger import Ledger
from ..settings import FleetSettings
from .grpc import GrpcConnection
from .host import EngineHost
from .http import ServerConnection, serve_engine

HOST = "127.0.0.1"
PEER_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    h2.exceptions.ProtocolError,
    ConnectionError,
)


class _PrefixedStream(trio.abc.Stream):
    """A stream with its first bytes, which were read before, put back."""

    def __init__(self, first: bytes, stream: trio.SocketStream) -> None:
        self._first, self._stream = first, stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        first, self._first = self._first, b""
        return first or bytes(await self._stream.receive_some(max_bytes))

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self._stream.aclose()


class Fleet:
    """The engines by uid, their addresses, and the discovery service that lists them."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.ledger = Ledger()
        self.directory = Directory(settings.discovery.late_s)
        self.engines: dict[str, EngineHost] = {}
        self.addresses: dict[str, str] = {}
        self.discovery = ""
        self._list_changed = trio.Event()

    def full_list(self) -> dict[str, Any]:
        """Return the list that discovery has at present."""
        return self.directory.full_list(trio.current_time())

    def set_state(self, uid: str, state: str) -> None:
        """Publish an engine's state, and drain the engine unless the state is Ready."""
        self.directory.set_state(trio.current_time(), uid, state)
        if state != "Ready":
            self.engines[uid].model.drain()
        self._list_changed.set()
        self._list_changed = trio.Event()

    def describe(self) -> dict[str, Any]:
        """Return the addresses and the list, as `sorreldock lab fleet --json` prints them."""
        return {"discovery": self.discovery, "engines": dict(self.addresses), "known": self.full_list()}

    def figures(self) -> dict[str, Any]:
        """Return the counts that `GET /lab/figures` answers with."""
        engines = {
            uid: {
                "taken": host.model.accepted,
                "turned_away": host.model.rejected,
                "errors": host.model.errors,
                "steps": host.model.steps,
                "fallen": host.model.fallen,
            }
            for uid, host in self.engines.items()
        }
        ledger = self.ledger
        return {
            "attempts": ledger.attempts,
            "overlaps": ledger.overlaps,
            "run_twice": ledger.run_twice,
            "open": len(ledger.open),
            "most_open": ledger.max_open,
            "engines": engines,
        }

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Fleet]:
        """Serve on ephemeral ports of 127.0.0.1 until the block exits."""
        async with AsyncExitStack() as stack:
            nursery = await stack.enter_async_context(trio.open_nursery())
            stack.callback(nursery.cancel_scope.cancel)
            number = 0
            for kind in self.settings.engines:
                for _ in range(kind.count):
                    uid = f"e{number}"
                    zone = kind.zone or self.settings.zones[number % len(self.settings.zones)]
                    host = self.engines[uid] = EngineHost(kind, self.ledger)
                    nursery.start_soon(host.run)
                    address = await self._listen(nursery, partial(self._serve_engine, host))
                    self.addresses[uid] = address
                    entry = Entry(uid, address, zone, kind.kind, cell=number // 2)
                    self.directory.publish(trio.current_time() - self.settings.discovery.late_s, entry)
                    number += 1
            self.discovery = await self._listen(nursery, self._serve_discovery)
            yield self

    async def _listen(
        self, nursery: trio.Nursery, handler: Callable[[trio.SocketStream], Awaitable[None]]
    ) -> str:
        async def serve_connection(stream: trio.SocketStream) -> None:
            async with stream:
                with suppress(*PEER_ERRORS):  # an error of a peer ends only its own connection
                    try:
                        await handler(stream)
                    except* PEER_ERRORS:
                        pass

        listeners = await nursery.start(partial(trio.serve_tcp, serve_connection, 0, host=HOST))
        return f"{HOST}:{listeners[0].socket.getsockname()[1]}"

    async def _serve_engine(self, host: EngineHost, stream: trio.SocketStream) -> None:
        first = bytes(await stream.receive_some(3))
        prefixed = _PrefixedStream(first, stream)
        if first == b"PRI":
            await GrpcConnection(host, prefixed).run()
        elif first:
            await serve_engine(host, prefixed)

    async def _serve_discovery(self, stream: trio.SocketStream) -> None:
        connection = ServerConnection(stream)
        while (received := await connection.read_request()) is not None:
            target = received[0].target.decode("latin-1")
            path, _, query = target.partition("?")
            if path == "/lab/figures":
                await connection.send_answer(200, json.dumps(self.figures()).encode())
            elif path != "/discovery/hosts":
                await connection.send_answer(404)
            elif "watch=1" in query.split("&"):
                after = next((p[6:] for p in query.split("&") if p.startswith("after=")), "0")
                await self._watch(connection, int(after) if after.isdigit() else 0)
                return
            else:
                await connection.send_answer(200, json.dumps(self.full_list()).encode())
            if not connection.prepare_next_request():
                return

    async def _watch(self, connection: ServerConnection, version: int) -> None:
        await connection.send_head(b"application/json")
        first = True
        while True:
            now, list_changed = trio.current_time(), self._list_changed
            changes = (
                self.full_list() if first and version == 0 else self.directory.changes_since(now, version)
            )
            first = False
            if changes is not None:
                version = changes["rev"]
            line = (json.dumps(changes).encode() if changes is not None else b"") + b"\n"
            await connection.send(h11.Data(data=line))
            wait = self.settings.discovery.keep_alive_s
            visible = self.directory.next_change_at(now)
            if visible is not None:
                wait = min(wait, visible - now)
            with trio.move_on_after(wait):
                await list_changed.wait()
