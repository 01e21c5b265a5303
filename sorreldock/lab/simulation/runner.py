"""The simulation of one scenario: the router's own program on virtual hosts."""

from __future__ import annotations

import hashlib
import math
import random
import signal
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any

import trio

from ...interface import ListKind
from ...program.config import Config, Kserve, Operator
from ...program.serve import Program
from ...protocol.http.discovery import decode_result
from ...wire import decode_settings
from ..directory import Entry
from ..settings import EngineSettings
from .clients import GRPC_PORT, HTTP_PORT, ClientHost
from .determinism import NondeterminismGuard, StallDetector, seeded_scheduler, virtual_clock
from .engines import VirtualServer
from .invariants import InvariantChecker, Violation
from .library import LibraryClients
from .lists import VirtualDiscovery
from .network import Network, NetworkConditions
from .observers import observe
from .scenario import REQUEST_CLASSES, RequestPlan, Scenario, ServerPlan
from .system import START_UNIX_TIME_S, VirtualSystem

COLD_SHARE, FALL_MULTIPLE, FALL_WINDOW_S = 0.15, 3.0, 3.0
DRAINED_S = 3.0  # time between the announcement and the exit of a server that drains
MAX_RUN_S = 300.0  # virtual time after which a simulation that still has open requests or routers is ended
MAX_STOP_S = 75.0
MAX_LAST_STEPS = 12
# Marks of log lines with which the program reports its own faults, and rules of its own that it violated.
FAULT_LOG_MARKS = (" VIOLATION ", " FRONT ", " MODULE ", "fault in the server client")


@dataclass
class RunResult:
    """The result of a scenario; `digest` covers its whole trace."""

    seed: int
    digest: str
    rpcs: int
    attempts: int
    virtual_s: float
    violations: list[Violation]
    faults: dict[str, int]
    trace: list[str] = field(default_factory=list)

    def last_steps(self, violation: Violation) -> list[str]:
        """Return the last trace lines before a violation that concern its connections, or faults."""
        names = violation.pipes
        last_lines: deque[str] = deque(maxlen=MAX_LAST_STEPS)
        for line in self.trace:
            if float(line.split(" ", 1)[0]) > violation.at_s + 1e-6:
                break
            if not names or any(name in line for name in names) or "fault " in line:
                last_lines.append(line)
        return list(last_lines)


class Router:
    """A router process, which may be stopped or killed and started again."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        self.simulation, self.index, self.name = simulation, index, f"r{index}"
        self.host = simulation.network.add_host(self.name, f"127.0.1.{index + 1}")
        self.system = VirtualSystem(self.host, 1000 + index)
        self.program: Program | None = None
        self.scope: trio.CancelScope | None = None
        self.ended = trio.Event()
        self.discovery = simulation.discovery

    def config(self) -> Config:
        simulation, scenario = self.simulation, self.simulation.scenario
        published = self.discovery.directory.full_list(trio.current_time())
        simulation.checker.record_targets(self.name, published["targets"], True)
        settings = decode_settings(simulation.settings(self.index))
        kserve = Kserve(f"{self.host.address}:{GRPC_PORT}", ("desc",), "alt-text", "acme", 5.0)
        return Config(
            self.name,
            f"{self.host.address}:{HTTP_PORT}",
            self.discovery.address,
            scenario.seed * 16 + self.index,
            scenario.sockets,
            settings,
            decode_result(published, ListKind.CACHED),
            Operator(kserve=kserve, server_protocols=("http", "kserve")),
            scenario.memory_mb,
        )

    def reread_config(self) -> Config:
        """Return the configuration after a SIGHUP; ValueError while a fault makes it unreadable."""
        program = self.program
        assert program is not None
        if self.simulation.is_config_broken:
            raise ValueError("not readable")
        address = self.discovery.address
        return replace(program.config, discovery=address, discovery_in_file=address)

    async def run(self) -> None:
        """Run the process from its start to its end."""
        checker = self.simulation.checker
        checker.incarnations[self.name] = checker.incarnations.get(self.name, 0) + 1
        self.ended = trio.Event()
        self.program = Program(self.config(), self.reread_config, self.system)
        try:
            with trio.CancelScope() as self.scope:
                await self.program.run()
        except Exception as error:
            if self.incarnation() in checker.killed_at:  # its sockets were closed before its tasks ended
                return
            checker.report_violation("fault", f"{self.name} failed: {describe_error(error)}", self.name)
        finally:
            self.host.close_sockets()
            self.simulation.network.record(f"ended {self.name}")
            self.ended.set()

    def incarnation(self) -> tuple[str, int]:
        """Return the key of the current process: the router's name and the number of its starts."""
        return self.name, self.simulation.checker.incarnations.get(self.name, 0)

    def stop(self) -> None:
        self.simulation.checker.stop_requested_at.setdefault(self.incarnation(), trio.current_time())
        self.system.deliver(signal.SIGTERM)

    def kill(self) -> None:
        self.simulation.checker.killed_at.setdefault(self.incarnation(), trio.current_time())
        self.host.close_sockets()
        if self.scope is not None:
            self.scope.cancel()


def describe_error(error: BaseException) -> str:
    """Return the first exception of a group, with the place where it was raised, as a text."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    location = (
        f" at {traceback.tb_frame.f_code.co_filename.rpartition('/')[2]}:{traceback.tb_lineno}"
        if traceback is not None
        else ""
    )
    return f"{type(error).__name__}: {error}{location}"


class Simulation:
    """One run of a scenario: its hosts, servers, clients, discovery and routers."""

    def __init__(self, scenario: Scenario, keep_trace: bool = False) -> None:
        self.scenario = scenario
        self.rng = random.Random(f"world {scenario.seed}")
        self._hash = hashlib.blake2b(digest_size=16)
        self.trace: list[str] = []
        self.keep_trace = keep_trace
        network_plan = scenario.weather
        conditions = NetworkConditions(
            network_plan.delay_ms / 1000,
            network_plan.jitter_ms / 1000,
            math.inf,
            network_plan.loss,
            network_plan.pieces,
            network_plan.buffer,
            network_plan.reset_drops,
        )
        self.network = Network(self.rng, conditions, self.record)
        self.checker = InvariantChecker(self.network)
        observe(self.checker)
        self.discovery = VirtualDiscovery(self.network.add_host("d0", "127.0.3.1"))
        self.servers: list[VirtualServer] = []
        self.is_config_broken = False
        self.faults: Counter[str] = Counter()
        self.target_count = 0
        self.client_hosts: dict[int, ClientHost] = {}
        self.nursery: trio.Nursery
        self.routers: list[Router] = []
        self.library = LibraryClients(self)

    def record(self, line: str) -> None:
        """Add a step to the trace, and report a log line about a fault of the program as a violation."""
        text = f"{trio.current_time():.9f} {line}"
        self._hash.update(text.encode())
        self._hash.update(b"\n")
        if self.keep_trace:
            self.trace.append(text)
        if line.startswith("log ") and any(mark in line for mark in FAULT_LOG_MARKS):
            self.checker.report_violation("fault", line[:400], line.split(" ")[1])

    # The fleet.

    def settings(self, index: int) -> dict[str, Any]:
        zones = self.zones()
        return {
            "areas": zones,
            "zone": zones[index % len(zones)],
            "me": index,
            "balancers": self.scenario.routers,
            "discovery": "ask",
            "tick_s": 0.002,
            "categories": [
                {"name": name, "aim_s": aim_s, "deadline_s": deadline_s, "points": points, "stream": True}
                for name, aim_s, deadline_s, points in REQUEST_CLASSES
            ],
            "policy_limits": {
                "max_attempts": 6 if self.scenario.probes else 2,
                "cancel": True,
                "probes": self.scenario.probes,
                "retry_after": True,
                "max_retry_after_s": 2.0,
                "connect_timeout_s": 0.3,
                "conn_idle_s": 8.0,
            },
            "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
            "tenants": [{"name": "acme", "quota_rps": 1000.0, "share": 1.0}],
            "contract": {
                "drain_grace_s": 0.25,
                "cold_from": COLD_SHARE,
                "ramp_time_s": self.scenario.warm_up_s,
                "fall_multiple": FALL_MULTIPLE,
                "overload_for_s": FALL_WINDOW_S,
                "must_ask_in_s": 6.0,
            },
        }

    def zones(self) -> list[str]:
        return [f"z{index}" for index in range(max(p.zone for p in self.scenario.engines) + 1)]

    def start_server(
        self, plan: ServerPlan, cold: bool, replaced: VirtualServer | None = None
    ) -> VirtualServer:
        """Start a server, on a host of its own or on that of a replaced server, and publish it."""
        now, index = trio.current_time(), self.target_count
        self.target_count += 1
        settings = EngineSettings(
            batch=plan.batch,
            queue=8,
            step_s=plan.step_s,
            memory_tokens=20_000,
            prompt_tokens_per_s=3000.0,
            cold_share=COLD_SHARE,
            warm_up_s=self.scenario.warm_up_s,
            fall_multiple=FALL_MULTIPLE,
            fall_window_s=FALL_WINDOW_S,
        )
        if replaced is not None:
            host = replaced.host
        else:
            host = self.network.add_host(f"e{index}", f"127.0.2.{index + 1}")
        started_at = now if cold else now - 3600.0
        server = VirtualServer(self.checker, host, f"u{index}", settings, started_at)
        server.plan = plan
        self.nursery.start_soon(server.serve, self.nursery)
        entry = Entry(
            server.uid,
            server.endpoint,
            self.zones()[plan.zone],
            "gpu",
            index // 2,
            boot_ms=int((START_UNIX_TIME_S + started_at) * 1000),
        )
        self.discovery.publish(entry)
        return server

    # A run.

    async def run(self) -> None:
        """Run the scenario, then check the rules that concern the whole run."""
        with trio.move_on_after(MAX_RUN_S) as scope:
            async with trio.open_nursery() as self.nursery:
                await self._run_phases()
                self.nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            self.checker.report_violation("rest", f"the world has not come to rest in {MAX_RUN_S:g} s")
        self.checker.check_at_end()
        self.record("end")

    async def _run_phases(self) -> None:
        from .script import run_fault  # not at the top: script imports this module

        scenario, nursery = self.scenario, self.nursery
        nursery.start_soon(self.discovery.serve, nursery)
        self.servers = [self.start_server(plan, plan.cold) for plan in scenario.engines]
        self.routers = [Router(self, index) for index in range(scenario.routers)]
        async with trio.open_nursery() as workload:
            for router in self.routers:
                nursery.start_soon(router.run)
            await trio.sleep(0.01)
            self.library.open(nursery)
            for index, plan in enumerate(scenario.requests):
                workload.start_soon(self.send_request, f"q{index}", plan)
            for fault in scenario.faults:
                workload.start_soon(run_fault, self, fault)
        await self._check_idle()
        await self._stop_routers()

    async def send_request(self, key: str, plan: RequestPlan) -> None:
        await trio.sleep_until(plan.at_s)
        address = self.routers[plan.router].host.address
        if plan.client == "library":
            await self.library.send_request(plan)
            return
        client_host = self.client_hosts.get(plan.machine)
        if client_host is None:
            host = self.network.add_host(f"c{plan.machine}", f"127.0.4.{plan.machine + 1}")
            client_host = self.client_hosts[plan.machine] = ClientHost(
                host, rng=random.Random(f"{self.scenario.seed} {host.name}")
            )
        await client_host.send_request(key, plan, address, self.nursery)

    async def _check_idle(self) -> None:
        """Close the clients, wait until all requests are over, and check that nothing is left in routers."""
        await self.library.close()
        for client_host in self.client_hosts.values():
            client_host.close()
        await trio.sleep(max(deadline for _, _, deadline, _ in REQUEST_CLASSES) + 0.6)
        for router in self.routers:
            program = router.program
            if program is None or router.ended.is_set():
                continue
            core, gateway = program.core, program.core._gateway
            leftovers = {
                "open RPCs": core.open_rpcs,
                "names": core._names,
                "requests in the module": gateway.requests,
                "held in the module": gateway.awaiting_probe,
                "timers": [timer for timer in core._timers if timer != "ask"],
                "attempts of engines": [s for s in core.subchannels.values() if s._in_flight],
                "busy replicas": [r for r in gateway.replicas.values() if r.open_attempts],
            }
            for description, items in leftovers.items():
                if items:
                    self.checker.report_violation(
                        "leak", f"{router.name} holds {len(items)} {description}", router.name
                    )
            if program.ledger.used or any(program.ledger.figures().values()):
                self.checker.report_violation(
                    "leak", f"{router.name} counts bytes that nothing holds: {program.ledger.figures()}"
                )
            clients = sum(len(front.clients) for front in program.fronts.values())
            if clients:
                self.checker.report_violation(
                    "leak", f"{router.name} has {clients} connections of clients that left"
                )

    async def _stop_routers(self) -> None:
        for router in self.routers:
            if not router.ended.is_set():
                router.stop()
        for router in self.routers:
            with trio.move_on_after(MAX_STOP_S) as scope:
                await router.ended.wait()
            if scope.cancelled_caught:
                self.checker.report_violation(
                    "rest", f"{router.name} was told to stop and did not end", router.name
                )
                continue
            if router.program is None or router.incarnation() in self.checker.killed_at:
                continue
            for use, count in router.program.budget.used.items():
                if count:
                    self.checker.report_violation(
                        "leak", f"{router.name} counts {count} descriptors for {use.value}s"
                    )


def run_scenario(
    scenario: Scenario, keep_trace: bool = False, on_start: Callable[[Simulation], None] | None = None
) -> RunResult:
    """Run a scenario; the same one has the same result in every process and on every machine.

    `on_start` is called with the simulation before it starts.
    """
    simulation = Simulation(scenario, keep_trace)
    stall_detector = StallDetector(
        lambda: simulation.checker.report_violation("rest", "the world stands still and does not rest")
    )
    if on_start is not None:
        on_start(simulation)
    ended_at = 0.0

    async def main() -> None:
        nonlocal ended_at
        with stall_detector.scope:
            await simulation.run()
        ended_at = trio.current_time()

    clock = virtual_clock(simulation.network.next_at, simulation.network.advance)
    with seeded_scheduler(scenario.seed), NondeterminismGuard(), suppress(KeyboardInterrupt):
        trio.run(main, clock=clock, instruments=[stall_detector])
    checker = simulation.checker
    faults = dict(sorted(simulation.faults.items()))
    return RunResult(
        scenario.seed,
        simulation._hash.hexdigest(),
        len(checker.rpcs),
        checker.attempt_count,
        round(ended_at, 6),
        checker.violations,
        faults,
        simulation.trace,
    )
