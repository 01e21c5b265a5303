"""The program at work: wires the layers, and leads through the phases."""

from __future__ import annotations

import gc
import signal

import trio

from ..protocol.http.client import HttpEngineClient
from ..protocol.http.discovery import Resolver
from ..protocol.http.front import HttpFront
from ..routing.core import Core
from ..routing.types import EngineClient
from ..transport.budget import Descriptors
from ..transport.listener import Listener
from .config import Config
from .phases import Lifecycle, Phase
from .syslog import Syslog

LINGER_S = 0.5  # for so long after SIGTERM clients still come, and are still taken
TRIM_S = 5.0


class Program:
    def __init__(self, config: Config) -> None:
        self.config = config
        operator = config.operator
        self.syslog = Syslog(config.name, operator.collector, operator.least_severity)
        self.log = self.syslog.log
        self.lifecycle = Lifecycle(lambda phase: self.log("notice", "PHASE", phase.value))
        self.budget = Descriptors(config.sockets)
        self.addresses: dict[str, str] = {}  # where each front listens, by protocol
        self.serving = trio.Event()

    def ready(self) -> bool:
        return self.lifecycle.takes_work and self.core.can_serve()

    def _connect(self, endpoint: str) -> dict[str, EngineClient]:
        limits = self.config.settings.limits
        clients: dict[str, EngineClient] = {}
        if "http" in self.config.operator.engine_protocols:
            probe_path = "/metrics/load" if self.config.settings.metrics else "/alive"
            clients["http"] = HttpEngineClient(
                endpoint, self.budget, limits.connect_timeout_s, limits.conn_idle_s, probe_path
            )
        return clients

    async def run(self) -> None:
        config = self.config
        self.resolver = Resolver(
            config.discovery, config.known.version, lambda r: self.core.resolved(r), self.log
        )
        self.core = Core(config.settings, config.seed, self._connect, self.resolver.subscribe, self.log)
        self.core.resolved(config.known)
        front = HttpFront(self.core, self.ready, self.budget, self.log)
        listener = Listener(config.listen, self.budget)
        self.addresses["http"] = await listener.bind()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.syslog.run)
            nursery.start_soon(self.core.run)
            nursery.start_soon(self.resolver.run)
            nursery.start_soon(self._trim)
            nursery.start_soon(self._signals)
            nursery.start_soon(listener.serve, nursery, front.handle)
            self.lifecycle.enter(Phase.SERVING)
            gc.collect()
            gc.freeze()  # what lives from the start on need not be walked again in every collection
            self.serving.set()
            await self.lifecycle.stop_asked.wait()
            self.lifecycle.enter(Phase.LINGERING)
            front.draining = True
            await trio.sleep(LINGER_S)
            listener.close()
            self.lifecycle.enter(Phase.DRAINING)
            front.close_idle()
            await self.core.drained()
            await front.closed(2.0)
            self.lifecycle.enter(Phase.STOPPED)
            await self.syslog.flush(0.5)
            nursery.cancel_scope.cancel()

    async def _signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.lifecycle.stop_asked.set()

    async def _trim(self) -> None:
        while True:
            await trio.sleep(TRIM_S)
            for subchannel in self.core.subchannels.values():
                for client in subchannel.clients.values():
                    client.trim()


def serve(config: Config) -> None:
    trio.run(Program(config).run)
