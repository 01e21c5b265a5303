"""The client library on virtual sockets."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from ...client import Client, ClientError, ClientSettings, Request
from ...client.sockets import ConnectionLost, DialFailed, Socket
from .clients import GRPC_PORT, HTTP_PORT, encode_body
from .network import Host, VirtualSocket
from .scenario import RequestPlan

if TYPE_CHECKING:
    from .runner import Simulation


class VirtualClientSocket(Socket):
    """The library's socket interface on a virtual socket."""

    def __init__(self, sock: VirtualSocket) -> None:
        self._virtual = sock
        self.closed = False
        self.sent_bytes = 0
        self._failed = False
        self._acknowledged_bytes = None

    async def send(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                count = await self._virtual.send(view)
            except trio.ClosedResourceError:
                raise ConnectionLost("the connection was closed locally") from None
            except OSError as error:
                self._failed = True
                raise ConnectionLost(str(error.strerror).lower()) from None
            self.sent_bytes += count
            view = view[count:]

    async def receive(self) -> bytes:
        try:
            data = await self._virtual.recv()
        except trio.ClosedResourceError:
            raise ConnectionLost("the connection was closed locally") from None
        except OSError as error:
            self._failed = True
            raise ConnectionLost(str(error.strerror).lower()) from None
        if not data:
            self._record_fin()
        return data

    def _unacknowledged_bytes(self) -> int | None:
        inbox = self._virtual.inbox
        return None if inbox is None else self.sent_bytes - inbox.acknowledged_by_fin

    def is_readable(self) -> bool:
        return self._virtual.closed or self._virtual.is_readable()

    def close(self) -> None:
        self.closed = True
        self._virtual.close()

    def close_after_fork(self) -> None:
        self.closed = True


class LibraryClients:
    """One library client of all routers for each protocol, created for the first request that needs it."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self._host: Host | None = None
        self._clients: dict[str, Client] = {}
        self._nursery: trio.Nursery | None = None
        self._closing = trio.Event()
        self._closed: list[trio.Event] = []

    def open(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery

    async def _dial(self, address: str, silence_s: float) -> Socket:
        assert self._host is not None
        host, _, port = address.rpartition(":")
        sock = self._host.socket()
        try:
            await sock.connect((host, int(port)))
        except OSError as error:
            sock.close()
            raise DialFailed(str(error)) from None
        except BaseException:
            sock.close()
            raise
        return VirtualClientSocket(sock)

    async def _client(self, protocol: str) -> Client:
        client = self._clients.get(protocol)
        if client is not None:
            return client
        if self._host is None:
            self._host = self.simulation.network.add_host("c90", "127.0.4.91")
        port = HTTP_PORT if protocol == "http" else GRPC_PORT
        routers = [f"{router.host.address}:{port}" for router in self.simulation.routers]
        seed = f"{self.simulation.scenario.seed} library {protocol}"
        client = self._clients[protocol] = Client(
            routers, ClientSettings(name="world"), protocol, rng=random.Random(seed), dial=self._dial
        )
        closed = trio.Event()
        self._closed.append(closed)
        assert self._nursery is not None
        await self._nursery.start(self._keep_open, client, closed)
        return client

    async def _keep_open(
        self, client: Client, closed: trio.Event, task_status: trio.TaskStatus[None]
    ) -> None:
        try:
            async with client:
                task_status.started()
                await self._closing.wait()
        finally:
            closed.set()

    async def send_request(self, plan: RequestPlan) -> None:
        """Send a request through the library and read its answer to the end."""
        client = await self._client(plan.protocol)
        request = Request(
            plan.rpc_class,
            encode_body(plan),
            "acme",
            "",
            plan.prefix,
            plan.prompt_tokens,
            0,
            plan.output_tokens,
        )
        try:
            async with client.stream(request, timeout_s=plan.deadline_s) as answer:
                async for _ in answer:
                    pass
        except ClientError as error:
            self.simulation.record(f"library {type(error).__name__} {error.cause}")

    async def close(self) -> None:
        """Close the clients, and wait until they have closed."""
        self._closing.set()
        for closed in self._closed:
            await closed.wait()
