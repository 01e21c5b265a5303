"""An experiment in which a router is killed while unsafe requests of the client library await their answers.

Two routers serve requests of a class that may not be repeated. One of them gets SIGKILL at a moment between
the first byte of the requests and the first event, and its clients' connections end with a FIN or a reset.
The fleet's ledger counts the requests that engines ran more than once.
"""

from __future__ import annotations

import itertools
import random
import signal
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import trio

from ..client import Client, ClientError, ClientSettings, Request
from .processes import HOST, Cluster, RouterProcess, start_cluster
from .reconnect import request_body
from .settings import FleetSettings

PROTOCOLS = ("http", "kserve")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
RELAY_BYTES = 65536


@dataclass(frozen=True)
class Plan:
    """The parameters of the experiment."""

    moments: int = 20  # kills for each protocol and kind of end, evenly spread over `first_event_s`
    requests: int = 8  # that wait at each kill
    first_event_s: float = 0.4  # at least the time from a request's first byte to its first event
    timeout_s: float = 5.0
    seed: int = 1


@dataclass
class Results:
    """The results for one protocol and one kind of end."""

    kills: int = 0
    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    repeated: int = 0  # requests that were sent more than once
    run_twice: int = 0

    def figures(self) -> dict[str, Any]:
        """Return the figures that are printed."""
        return {
            "kills": self.kills,
            "requests": self.requests,
            "answered": self.outcomes["answered"],
            "may_have_run": self.outcomes["may have run"],
            "failed": self.outcomes["failed"],
            "repeated": self.repeated,
            "repeated_share": round(self.repeated / max(self.requests, 1), 4),
            "run_twice": self.run_twice,
        }


class Relay:
    """A TCP relay to a router, which resets its clients' connections where the router's process has died."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._clients: set[trio.SocketStream] = set()
        self.address = ""
        self.is_target_dead = False

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        """Relay connections until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, self._relay, 0, host=HOST))
            self.address = f"{HOST}:{listeners[0].socket.getsockname()[1]}"
            task_status.started()

    def reset_clients(self) -> None:
        """Reset all connections, now that the router's process has died; new ones are reset at once."""
        self.is_target_dead = True
        for client in self._clients:
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.socket.close()

    async def _relay(self, client: trio.SocketStream) -> None:
        if self.is_target_dead:
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.socket.close()
            return
        host, _, port = self._target.rpartition(":")
        self._clients.add(client)
        try:
            async with await trio.open_tcp_stream(host, int(port)) as router, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, router)
                await self._copy(router, client)
                nursery.cancel_scope.cancel()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._clients.discard(client)
            if not self.is_target_dead:
                client.socket.close()

    @staticmethod
    async def _copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            while data := await source.receive_some(RELAY_BYTES):
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


@asynccontextmanager
async def _router_addresses(
    routers: list[RouterProcess], protocol: str, has_reset: bool
) -> AsyncIterator[tuple[list[str], Callable[[], None]]]:
    """Yield the addresses of the routers for clients, and what ends the first router's connections."""
    addresses = [router.http if protocol == "http" else router.kserve for router in routers]
    if not has_reset:
        yield addresses, lambda: None
        return
    relay = Relay(addresses[0])
    async with trio.open_nursery() as nursery:
        await nursery.start(relay.serve)
        yield [relay.address, *addresses[1:]], relay.reset_clients
        nursery.cancel_scope.cancel()


class KillExperiment:
    """The kills of one protocol and one kind of end, on a running cluster."""

    def __init__(self, plan: Plan, cluster: Cluster, protocol: str, has_reset: bool) -> None:
        self.plan, self.cluster, self.protocol, self.has_reset = plan, cluster, protocol, has_reset
        self.results = Results()
        self._keys = (f"{protocol}-{'reset' if has_reset else 'fin'}-{n}" for n in itertools.count())

    async def kill_at(self, after_s: float) -> None:
        """Kill the first router this long after requests were sent, await their ends, and start it anew."""
        router = self.cluster.routers[0]
        rng = random.Random(f"{self.plan.seed}/{self.protocol}/{self.has_reset}/{after_s:.6f}")
        async with _router_addresses(self.cluster.routers, self.protocol, self.has_reset) as (
            addresses,
            end_connections,
        ):
            settings = ClientSettings(max_retries=0)
            async with Client(addresses, settings, protocol=self.protocol, rng=rng) as client:
                await self._ask_all(client, Results())  # leaves connections that are kept
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._ask_all, client, self.results)
                    await trio.sleep(after_s)
                    assert router.process is not None
                    router.process.send_signal(signal.SIGKILL)
                    router.process.wait()
                    end_connections()
        self.results.kills += 1
        router.start()
        await router.ready()

    async def _ask_all(self, client: Client, results: Results) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(self.plan.requests):
                nursery.start_soon(self._ask, client, results, next(self._keys))

    async def _ask(self, client: Client, results: Results, key: str) -> None:
        fleet = self.cluster.settings
        tenant = fleet.tenants[0].name if fleet.tenants else ""
        request = Request(fleet.classes[0].name, request_body(key), tenant)
        results.requests += 1
        try:
            attempts = (await client.ask(request, self.plan.timeout_s)).attempts
            results.outcomes["answered"] += 1
        except ClientError as error:
            attempts = error.attempts
            results.outcomes["may have run" if error.may_have_run else "failed"] += 1
        results.repeated += attempts > 1


async def _run(
    file: Path, settings: FleetSettings, plan: Plan, report: Callable[[str], None]
) -> dict[str, dict[str, Any]]:
    figures = {}
    for protocol, has_reset in itertools.product(PROTOCOLS, (False, True)):
        name = f"{protocol} {'reset' if has_reset else 'fin'}"
        async with start_cluster(file, settings, routers=2) as cluster:
            experiment = KillExperiment(plan, cluster, protocol, has_reset)
            for moment in range(plan.moments):
                await experiment.kill_at(plan.first_event_s * moment / plan.moments)
            experiment.results.run_twice = (await cluster.figures())["run_twice"]
        figures[name] = experiment.results.figures()
        report(f"{name}: {experiment.results.run_twice} requests run twice")
    return figures


def run(
    file: Path, settings: FleetSettings, plan: Plan, report: Callable[[str], None]
) -> dict[str, dict[str, Any]]:
    """Run the experiment; return the figures for each protocol and kind of end."""
    return trio.run(_run, file, settings, plan, report)
