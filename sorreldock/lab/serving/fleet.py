"""A whole fleet on loopback: engines that speak both protocols on one port, and discovery."""

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
from .http import Wire, serve_engine

HOST = "127.0.0.1"
Faults = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
    h2.exceptions.ProtocolError,
    ConnectionError,
)


class _Rest(trio.abc.Stream):
    """A stream of which the first bytes have been read."""

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
    """Engines by uid, their addresses, and the discovery that tells of them."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.ledger = Ledger()
        self.directory = Directory(settings.discovery.late_s)
        self.engines: dict[str, EngineHost] = {}
        self.addresses: dict[str, str] = {}
        self.discovery = ""
        self._told = trio.Event()

    def entries(self) -> dict[str, Any]:
        return self.directory.full_list(trio.current_time())

    def tell(self, uid: str, state: str) -> None:
        """Publish an engine's state; a drained engine completes what it holds."""
        self.directory.set_state(trio.current_time(), uid, state)
        if state != "Ready":
            self.engines[uid].model.drain()
        self._told.set()
        self._told = trio.Event()

    def describe(self) -> dict[str, Any]:
        return {"discovery": self.discovery, "engines": dict(self.addresses), "known": self.entries()}

    def figures(self) -> dict[str, Any]:
        engines = {
            uid: {
                "taken": host.model.taken,
                "turned_away": host.model.turned_away,
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
            "open": len(ledger.open),
            "most_open": ledger.most_open,
            "engines": engines,
        }

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Fleet]:
        """On ephemeral ports of 127.0.0.1, until the block is left."""
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
        async def attend(stream: trio.SocketStream) -> None:
            async with stream:
                with suppress(*Faults):  # a peer's fault ends its connection, and nothing else
                    try:
                        await handler(stream)
                    except* Faults:
                        pass

        listeners = await nursery.start(partial(trio.serve_tcp, attend, 0, host=HOST))
        return f"{HOST}:{listeners[0].socket.getsockname()[1]}"

    async def _serve_engine(self, host: EngineHost, stream: trio.SocketStream) -> None:
        first = bytes(await stream.receive_some(3))
        rest = _Rest(first, stream)
        if first == b"PRI":
            await GrpcConnection(host, rest).run()
        elif first:
            await serve_engine(host, rest)

    async def _serve_discovery(self, stream: trio.SocketStream) -> None:
        wire = Wire(stream)
        while (got := await wire.request()) is not None:
            target = got[0].target.decode("latin-1")
            path, _, query = target.partition("?")
            if path == "/lab/figures":
                await wire.answer(200, json.dumps(self.figures()).encode())
            elif path != "/discovery/hosts":
                await wire.answer(404)
            elif "watch=1" in query.split("&"):
                after = next((p[6:] for p in query.split("&") if p.startswith("after=")), "0")
                await self._watch(wire, int(after) if after.isdigit() else 0)
                return
            else:
                await wire.answer(200, json.dumps(self.entries()).encode())
            if not wire.again():
                return

    async def _watch(self, wire: Wire, version: int) -> None:
        await wire.start(b"application/json")
        first = True
        while True:
            now, told = trio.current_time(), self._told
            news = self.entries() if first and version == 0 else self.directory.changes_since(now, version)
            first = False
            if news is not None:
                version = news["rev"]
            line = (json.dumps(news).encode() if news is not None else b"") + b"\n"
            await wire.send(h11.Data(data=line))
            wait = self.settings.discovery.keep_alive_s
            visible = self.directory.next_change_at(now)
            if visible is not None:
                wait = min(wait, visible - now)
            with trio.move_on_after(wait):
                await told.wait()
