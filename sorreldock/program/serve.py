"""The program `serve`: connects the layers and runs through the phases."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import trio

from .. import __version__
from ..protocol.front import Front, Resources
from ..protocol.http.client import HttpServerClient
from ..protocol.http.discovery import Resolver
from ..protocol.http.front import HttpFront
from ..routing.core import Core
from ..routing.types import ResolverResult, ServerClient
from ..transport.budget import DescriptorBudget, Use
from ..transport.connection import dialler
from ..transport.ledger import Account, AccountBudget, MemoryLedger
from ..transport.listener import Listener
from ..transport.system import REAL_SYSTEM, System
from ..transport.turns import Turns
from . import early_signals
from .calls import OperatorCommands
from .config import Config
from .monitor import Monitor
from .phases import Lifecycle, Phase
from .syslog import Syslog

if TYPE_CHECKING:
    from .console import Console
    from .takeover import Takeover

FIRST_LIST_TIMEOUT_S = 1.0  # to wait for the first list before serving, where lists are pushed
# SIGKILL may follow SIGTERM after the longest deadline and 0.7 s, and would cut off requests that came later
# than this. They are refused, so that their clients can go to another router.
ACCEPT_AFTER_STOP_S = 0.65
LINGER_S = 0.5  # clients still connect for this long after SIGTERM, and are accepted
TRIM_INTERVAL_S = 5.0
# Bounds that keep the process below its memory limit. The program itself takes about PROGRAM_MB; of the rest,
# half may be held for peers by the ledger's count. The remainder is for what it does not count: the
# allocator's unused memory, servers' connections and short-lived copies.
PROGRAM_MB = 36
LEDGER_SHARE = 0.5
MIN_LEDGER_MB, MAX_LEDGER_MB = 2.5, 50
OPEN_RPCS_PER_MB, MIN_OPEN_RPCS = 4, 64
# A server accepts a few hundred connections from all routers together; at most this many may be idle.
IDLE_CONNECTIONS_PER_SERVER, MIN_IDLE_CONNECTIONS = 240, 4
LIST_MEMORY_DIVISOR = 32  # the memory divided by this is the maximum size of a list
DRAIN_S = 60.0  # after it open streams are cut off, so that a slow reader can't delay the exit
CONNECTIONS_CLOSE_TIMEOUT_S = 2.0  # for connections to end once all answers are written


def ledger_bytes(memory_mb: int) -> int:
    """Return the maximum of all that is held for peers."""
    ledger_mb = (memory_mb - PROGRAM_MB) * LEDGER_SHARE
    return int(min(max(ledger_mb, MIN_LEDGER_MB), MAX_LEDGER_MB) * 1024 * 1024)


def max_list_bytes(memory_mb: int) -> int:
    """Return the maximum size of a list.

    An entry has a few hundred bytes, and takes more if indented, once decoded, and as a subchannel.
    """
    return max(memory_mb // LIST_MEMORY_DIVISOR, 1) * 1024 * 1024


def max_open_rpcs(memory_mb: int) -> int:
    """Return the maximum number of open RPCs."""
    return max(memory_mb * OPEN_RPCS_PER_MB, MIN_OPEN_RPCS)


class Program:
    """A router process: its connected layers, from start to exit.

    `reload_config` loads the configuration for a reload.
    """

    def __init__(
        self, config: Config, reload_config: Callable[[], Config] | None = None, system: System = REAL_SYSTEM
    ) -> None:
        self.config = config
        self.system = system
        self._dial = dialler(system)
        self._reload_config = reload_config
        operator = config.operator
        self.syslog = Syslog(config.name, operator.collector, operator.min_severity, system=system)
        self.log = self.syslog.log
        self.lifecycle = Lifecycle(lambda phase: self.log("notice", "PHASE", phase.value))
        self.console: Console | None = None
        self.takeover: Takeover | None = None
        self.budget = DescriptorBudget(config.sockets)
        self.ledger = MemoryLedger(ledger_bytes(config.memory_mb))
        self.turns = Turns()
        self.fronts: dict[str, Front[Any]] = {}
        self.listeners: dict[str, Listener] = {}
        self.addresses: dict[str, str] = {}  # where each front listens, by protocol
        self.serving = trio.Event()
        self.linger_s = LINGER_S

    @property
    def payloads(self) -> AccountBudget:
        """The ledger's account of requests."""
        return self.ledger[Account.PAYLOADS]

    def is_ready(self) -> bool:
        """Return whether the router serves and has a server that accepts requests."""
        return self.lifecycle.is_serving and self.core.can_serve()

    def _create_clients(self, endpoint: str) -> dict[str, ServerClient]:
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
                self.ledger[Account.EVENTS],
                self._dial,
                max(IDLE_CONNECTIONS_PER_SERVER // self.config.settings.gateways, MIN_IDLE_CONNECTIONS),
            )
        if "kserve" in self.config.operator.server_protocols:
            # Imported here, so that the platform's router doesn't load the gRPC code.
            from ..protocol.kserve.client import KserveServerClient

            clients["kserve"] = KserveServerClient(
                endpoint,
                self.budget,
                limits.connect_timeout_s,
                limits.conn_idle_s,
                self.ledger[Account.EVENTS],
                self._dial,
            )
        return clients

    async def run(self) -> None:
        """Run the router from its start to its exit, after `lifecycle.stop_requested`."""
        config = self.config
        self.resolver = Resolver(
            config.discovery,
            config.known.version,
            self._on_resolver_result,
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
            self._create_clients,
            self.log,
            max_open_rpcs(config.memory_mb),
            probe_protocol=probe_protocol,
            wall=self.system.wall,
            max_attempts=lambda: self.budget.max_used[Use.SERVER],
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
            nursery.start_soon(self._trim_subchannels)
            nursery.start_soon(self._handle_signals)
            if config.inherited_fd is not None:
                await self._start_takeover(config.inherited_fd)
            if not config.settings.must_ask_for_list:
                # For the drain rule, what the discovery agent has pushed counts as known from the first
                # request on.
                with trio.move_on_after(FIRST_LIST_TIMEOUT_S):
                    await self.resolver.first_list_received.wait()
            nursery.start_soon(Monitor(self.fronts.values(), self.ledger, self.log).run)
            for protocol, listener in self.listeners.items():
                nursery.start_soon(listener.serve, nursery, self.fronts[protocol].handle)
            self.lifecycle.enter(Phase.SERVING)
            self.serving.set()
            await self.lifecycle.stop_requested.wait()
            self.operator_commands.cancel_drain()
            for front in self.fronts.values():
                front.refuse_requests_from = trio.current_time() + ACCEPT_AFTER_STOP_S
            self.lifecycle.enter(Phase.LINGERING)
            if config.inherited_fd is not None:  # new clients are left to the successor
                self.listeners["http"].close()
            has_successor = self.takeover is not None and self.takeover.leave(self.fronts["http"])
            for front in self.fronts.values():
                await front.announce_close()
            if not has_successor:
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
        """Wait until no RPC is open and the last answers are written.

        A request whose last bytes arrive while the connections close is accepted and answered too.
        """
        for listener in self.listeners.values():
            await listener.ended.wait()
        while True:
            await self.core.wait_until_idle()
            for front in self.fronts.values():
                await front.wait_closed(CONNECTIONS_CLOSE_TIMEOUT_S)
            if not self.core.open_rpcs:
                return

    def _open_fronts(self) -> None:
        operator = self.config.operator
        resources = Resources(self.budget, self.ledger, self.turns)
        if operator.http:
            self.fronts["http"] = HttpFront(self.core, self.is_ready, resources, self.log)
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
                settings, __version__, self.core, self.is_ready, resources, self.log
            )
            # The platform holds the HTTP socket alone, so both processes of a takeover bind this port.
            self.listeners["kserve"] = Listener(
                kserve.listen,
                self.budget,
                self.system,
                shares_port=self.config.inherited_fd is not None,
            )

    async def _open_console(self, nursery: trio.Nursery) -> None:
        from . import console  # imported here, so that a router without a console doesn't load it

        self.budget.reserve(console.DESCRIPTORS)
        commands = {
            "ready": self.operator_commands.ready,
            "drain": self.operator_commands.drain,
            "resume": self.operator_commands.resume,
        }
        self.console = console.Console(self.config.console, commands, self.system)
        self.addresses["console"] = await self.console.listener.bind()
        nursery.start_soon(self.console.serve, nursery)

    async def _start_takeover(self, inherited_fd: int) -> None:
        """Take over from a predecessor on the inherited listening socket, and accept a successor."""
        from .takeover import Takeover, connection_adopter  # imported here, where it is needed

        folder = self.config.folder or "/tmp"
        self.takeover = Takeover(
            folder,
            self.core,
            self.resolver,
            self.budget,
            self.log,
            self.system.pid,
            self._apply_memory_limits,
        )
        await self.takeover.take_over()
        adopt = connection_adopter(self.listeners["http"], self.fronts["http"], self.budget, self._nursery)
        self._nursery.start_soon(self.takeover.run, self._nursery, adopt)

    def _on_resolver_result(self, result: ResolverResult) -> None:
        self.core.apply_resolver_result(
            result if self.takeover is None else self.takeover.on_watch_result(result)
        )

    def _apply_memory_limits(self, has_peer: bool) -> None:
        """Set the limits that follow the memory, which both processes of a takeover share."""
        memory_mb = self.config.memory_mb
        if has_peer:
            memory_mb = max(memory_mb // 2, PROGRAM_MB)
        self.ledger.resize(ledger_bytes(memory_mb))
        self.core.max_open_rpcs = max_open_rpcs(memory_mb)

    async def _handle_signals(self) -> None:
        with self.system.signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            if early_signals.take_recorded(signal.SIGHUP):
                self.reload()
            if early_signals.take_recorded(signal.SIGTERM):
                self.lifecycle.stop_requested.set()
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self.reload()
                else:
                    self.lifecycle.stop_requested.set()

    def reload(self) -> None:
        """Reload the configuration; subchannels and open RPCs stay, and an invalid one changes nothing."""
        if self._reload_config is None:
            return
        try:
            new = self._reload_config()
        except Exception as error:  # an invalid file must not end a program that serves
            self.log(
                "err", "RELOAD", "the new configuration is invalid; keeping the current one", error=error
            )
            return
        old, differing = self.config, self.config.differences_for_next_start(new)
        self.config = old.with_reloaded(new)
        self.budget.resize(self.config.sockets)
        self._apply_memory_limits(self.takeover is not None and self.takeover.has_peer)
        if self.config.discovery != old.discovery:
            self.resolver.change_address(self.config.discovery)
        self.log(
            "notice",
            "RELOAD",
            "reloaded the configuration",
            discovery=self.config.discovery,
            at_next_start=" ".join(differing),
        )

    async def _trim_subchannels(self) -> None:
        while True:
            await trio.sleep(TRIM_INTERVAL_S)
            for subchannel in self.core.subchannels.values():
                subchannel.trim()


def serve(config: Config, reload_config: Callable[[], Config] | None = None) -> None:
    """Run a router in this process until a signal stops it."""
    program = Program(config, reload_config)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(program.run)
            await program.serving.wait()
            gc.collect()
            gc.freeze()  # excludes the objects of the start from all later collections

    # SIGTERM may come again after the program has removed its handlers, which restores this one.
    early_signals.record(signal.SIGTERM)
    try:
        trio.run(main, clock=program.system.clock)
    finally:
        early_signals.ignore(signal.SIGHUP, signal.SIGTERM)
