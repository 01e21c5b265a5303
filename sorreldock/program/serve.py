"""The program at work: wires the layers, and leads through the phases."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio

from .. import __version__
from ..protocol.front import Front
from ..protocol.http.client import HttpServerClient
from ..protocol.http.discovery import Resolver
from ..protocol.http.front import HttpFront
from ..routing.core import Core
from ..routing.types import ResolverResult, ServerClient
from ..transport.budget import DescriptorBudget, PayloadBudget
from ..transport.connection import dialler
from ..transport.listener import Listener
from ..transport.system import MACHINE, System
from . import early_reload
from .calls import OperatorCommands
from .config import Config
from .phases import Lifecycle, Phase
from .syslog import Syslog

if TYPE_CHECKING:
    from .console import Console
    from .takeover import Takeover

LISTED_S = 1.0  # where lists are pushed, a new process waits so long for the first one before it serves
# A kill may come as early as the longest deadline and 0.7 s after SIGTERM, and cuts off what came later than
# that: it is refused, and its client can go elsewhere.
LAST_TAKEN_S = 0.65
LINGER_S = 0.5  # for so long after SIGTERM clients still come, and are still taken
TRIM_S = 5.0
# Guards the memory limit. The program itself takes about this much; of the rest two fifths may be payloads,
# on both fronts together; what is left is for connections and what open RPCs need beside their payloads.
PROGRAM_MB = 36
PAYLOAD_SHARE = 0.4
LEAST_PAYLOAD_MB, MOST_PAYLOAD_MB = 2, 40
OPEN_PER_MB, LEAST_OPEN = 4, 64
# An engine holds some hundreds of connections, of all routers together: so many are kept idle there.
ENGINE_HOLDS, LEAST_IDLE = 240, 4
LIST_PART = 32  # of the memory, for a list on its way
DRAIN_S = 60.0  # then what still streams is cut off: a reader that trickles must not keep the program
CONNECTIONS_END_S = 2.0  # for connections to end once all answers are written


def payload_bytes(memory_mb: int) -> int:
    share = (memory_mb - PROGRAM_MB) * PAYLOAD_SHARE
    return int(min(max(share, LEAST_PAYLOAD_MB), MOST_PAYLOAD_MB) * 1024 * 1024)


def max_list_bytes(memory_mb: int) -> int:
    """Of its bytes, an entry takes some hundreds; indented, decoded and as subchannels it takes more."""
    return max(memory_mb // LIST_PART, 1) * 1024 * 1024


def max_open_rpcs(memory_mb: int) -> int:
    return max(memory_mb * OPEN_PER_MB, LEAST_OPEN)


class Program:
    """A router: its layers wired together, from start to exit."""

    def __init__(
        self, config: Config, read_again: Callable[[], Config] | None = None, system: System = MACHINE
    ) -> None:
        self.config = config
        self.system = system
        self._dial = dialler(system)
        self._read_again = read_again
        operator = config.operator
        self.syslog = Syslog(config.name, operator.collector, operator.min_severity, system=system)
        self.log = self.syslog.log
        self.lifecycle = Lifecycle(lambda phase: self.log("notice", "PHASE", phase.value))
        self.console: Console | None = None
        self.takeover: Takeover | None = None
        self.budget = DescriptorBudget(config.sockets)
        self.payloads = PayloadBudget(payload_bytes(config.memory_mb))
        self.fronts: dict[str, Front[Any]] = {}
        self.listeners: dict[str, Listener] = {}
        self.addresses: dict[str, str] = {}  # where each front listens, by protocol
        self.serving = trio.Event()
        self.linger_s = LINGER_S

    def ready(self) -> bool:
        return self.lifecycle.takes_work and self.core.can_serve()

    def _connect(self, endpoint: str) -> dict[str, ServerClient]:
        limits = self.config.settings.limits
        clients: dict[str, ServerClient] = {}
        if "http" in self.config.operator.server_protocols:
            probe_path = "/metrics/load" if self.config.settings.metrics else "/alive"
            clients["http"] = HttpServerClient(
                endpoint,
                self.budget,
                limits.connect_timeout_s,
                limits.conn_idle_s,
                probe_path,
                self._dial,
                max(ENGINE_HOLDS // self.config.settings.gateways, LEAST_IDLE),
            )
        if "kserve" in self.config.operator.server_protocols:
            # Only here: the platform's path has no use for the gRPC code and its memory.
            from ..protocol.kserve.client import KserveServerClient

            clients["kserve"] = KserveServerClient(
                endpoint, self.budget, limits.connect_timeout_s, limits.conn_idle_s, self._dial
            )
        return clients

    async def run(self) -> None:
        config = self.config
        self.resolver = Resolver(
            config.discovery,
            config.known.version,
            self._resolved,
            self.log,
            self._dial,
            not config.settings.must_ask_for_list,
            max_list_bytes(config.memory_mb),
            config.settings.guarantees.list_max_age_s,
            config.seed,
        )
        probe_protocol = "http" if "http" in config.operator.server_protocols else "kserve"
        self.core = Core(
            config.settings,
            config.seed,
            self._connect,
            self.log,
            max_open_rpcs(config.memory_mb),
            probe_protocol=probe_protocol,
            wall=self.system.wall,
        )
        self.core.apply_resolver_result(config.known)
        self._open_fronts()
        for protocol, listener in self.listeners.items():
            self.addresses[protocol] = await listener.bind()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.operator_commands = OperatorCommands(self.lifecycle, self.core, self.fronts, nursery)
            if config.console:
                await self._open_console(nursery)
            nursery.start_soon(self.syslog.run)
            nursery.start_soon(self.core.run)
            nursery.start_soon(self.resolver.run)
            nursery.start_soon(self._trim)
            nursery.start_soon(self._signals)
            if config.inherited_fd is not None:
                await self._follow(config.inherited_fd)
            if not config.settings.must_ask_for_list:
                # Guards the drain rule: what the agent has counts as told from the first moment on.
                with trio.move_on_after(LISTED_S):
                    await self.resolver.first_list_received.wait()
            for front in self.fronts.values():
                nursery.start_soon(front.log_evictions)
            for protocol, listener in self.listeners.items():
                nursery.start_soon(listener.serve, nursery, self.fronts[protocol].handle)
            self.lifecycle.enter(Phase.SERVING)
            self.serving.set()
            await self.lifecycle.stop_requested.wait()
            self.operator_commands.stop()
            for front in self.fronts.values():
                front.refuse_requests_from = trio.current_time() + LAST_TAKEN_S
            self.lifecycle.enter(Phase.LINGERING)
            if config.inherited_fd is not None:  # who comes now is for the process that follows
                self.listeners["http"].close()
            passed_on = self.takeover is not None and self.takeover.leave(self.fronts["http"])
            for front in self.fronts.values():
                await front.linger()
            if not passed_on:
                await trio.sleep(self.linger_s)
            for listener in self.listeners.values():
                listener.close()
            self.lifecycle.enter(Phase.DRAINING)
            for front in self.fronts.values():
                await front.drain()
            with trio.move_on_after(DRAIN_S):
                await self._answer_all()
            self.lifecycle.enter(Phase.STOPPED)
            await self.syslog.flush(0.5)
            nursery.cancel_scope.cancel()

    async def _answer_all(self) -> None:
        """Wait until nothing is open and the last answers are written. Guards requests on their way:
        one whose last bytes come while the connections close is taken, and answered like the others.
        """
        for listener in self.listeners.values():
            await listener.ended.wait()
        while True:
            await self.core.wait_until_idle()
            for front in self.fronts.values():
                await front.wait_closed(CONNECTIONS_END_S)
            if not self.core.open_rpcs:
                return

    def _open_fronts(self) -> None:
        operator = self.config.operator
        if operator.http:
            self.fronts["http"] = HttpFront(self.core, self.ready, self.budget, self.payloads, self.log)
            self.listeners["http"] = Listener(
                self.config.listen, self.budget, self.system, self.config.inherited_fd
            )
        if operator.kserve is not None:
            from ..protocol.kserve.front import FrontSettings, KserveFront

            kserve = operator.kserve
            settings = FrontSettings(
                kserve.models, kserve.default_class, kserve.default_tenant, kserve.keepalive_s
            )
            self.fronts["kserve"] = KserveFront(
                settings, __version__, self.core, self.ready, self.budget, self.payloads, self.log
            )
            self.listeners["kserve"] = Listener(kserve.listen, self.budget, self.system)

    async def _open_console(self, nursery: trio.Nursery) -> None:
        from . import console  # an installation without one does not load it

        self.budget.reserve(console.DESCRIPTORS)
        answers = {
            "ready": self.operator_commands.ready,
            "drain": self.operator_commands.drain,
            "resume": self.operator_commands.resume,
        }
        self.console = console.Console(self.config.console, answers, self.system)
        self.addresses["console"] = await self.console.listener.bind()
        nursery.start_soon(self.console.serve, nursery)

    async def _follow(self, inherited: int) -> None:
        """Where the platform holds the clients' socket, another process may serve on it, now or later."""
        from .takeover import Takeover, adopter  # elsewhere it is not loaded

        folder = self.config.folder or "/tmp"
        self.takeover = Takeover(
            folder, self.core, self.resolver, self.budget, self.log, self.system.pid, self._in_company
        )
        await self.takeover.follow()
        adopt = adopter(self.listeners["http"], self.fronts["http"], self.budget, self._nursery)
        self._nursery.start_soon(self.takeover.run, self._nursery, adopt)

    def _resolved(self, result: ResolverResult) -> None:
        self.core.apply_resolver_result(result if self.takeover is None else self.takeover.took(result))

    def _in_company(self, others: bool) -> None:
        """Memory, like descriptors, is counted for both processes of a router together."""
        memory_mb = self.config.memory_mb
        if others:
            memory_mb = max(memory_mb // 2, PROGRAM_MB)
        self.payloads.max_used = payload_bytes(memory_mb)
        self.core.max_open_rpcs = max_open_rpcs(memory_mb)

    async def _signals(self) -> None:
        with self.system.signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            if early_reload.caught():
                self.reload()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                else:
                    self.lifecycle.stop_requested.set()

    def reload(self) -> None:
        """Read the configuration anew. Subchannels and open RPCs stay; so does all, if it can't be used."""
        if self._read_again is None:
            return
        try:
            new = self._read_again()
        except Exception as error:  # a bad file must not end a program that serves
            self.log("err", "RELOAD", "the new configuration can't be used, the old one stays", error=error)
            return
        old, fixed = self.config, self.config.fixed(new)
        self.config = old.renewed(new)
        self.budget.resize(self.config.sockets)
        self._in_company(self.takeover is not None and self.takeover.in_company)
        if self.config.discovery != old.discovery:
            self.resolver.change_address(self.config.discovery)
        self.log(
            "notice",
            "RELOAD",
            "the configuration was read anew",
            discovery=self.config.discovery,
            at_next_start=" ".join(fixed),
        )

    async def _trim(self) -> None:
        while True:
            await trio.sleep(TRIM_S)
            for subchannel in self.core.subchannels.values():
                subchannel.trim()


def serve(config: Config, read_again: Callable[[], Config] | None = None) -> None:
    program = Program(config, read_again)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(program.run)
            await program.serving.wait()
            gc.collect()
            gc.freeze()  # what lives from the start on need not be walked again in every collection

    try:
        trio.run(main, clock=program.system.clock)
    finally:
        early_reload.ignore()
