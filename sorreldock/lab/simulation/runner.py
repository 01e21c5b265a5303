"""One scenario, played to its end: the router's own program on the world's machines."""

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
from .engines import VirtualEngine
from .invariants import Judge, Violation
from .library import Library
from .lists import VirtualDiscovery
from .network import Network, NetworkConditions
from .scenario import CLASSES, EnginePlan, RequestPlan, Scenario
from .system import START_UNIX_TIME_S, VirtualSystem

COLD_SHARE, FALL_MULTIPLE, FALL_WINDOW_S = 0.15, 3.0, 3.0
DRAINED_S = 3.0  # a drained engine goes so long after its notice
REST_S = 300.0  # virtual: a world that has not come to rest by then never does
STOP_S = 75.0
LAST_LINES = 12
# What the program logs of its own faults, and of rules that it has seen itself break.
FAULT_RECORDS = (" VIOLATION ", " FRONT ", " MODULE ", "fault in the engine client")


@dataclass
class Result:
    """What a scenario came to. `digest` is of its whole trace."""

    seed: int
    digest: str
    rpcs: int
    attempts: int
    virtual_s: float
    violations: list[Violation]
    faults: dict[str, int]
    trace: list[str] = field(default_factory=list)

    def last(self, violation: Violation) -> list[str]:
        """The last events on the wires concerned, and what happened to machines, up to the violation."""
        names = violation.wires
        chosen: deque[str] = deque(maxlen=LAST_LINES)
        for line in self.trace:
            if float(line.split(" ", 1)[0]) > violation.at_s + 1e-6:
                break
            if not names or any(name in line for name in names) or "fault " in line:
                chosen.append(line)
        return list(chosen)


class Router:
    """A router's process, its ends and its starts."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index, self.name = world, index, f"r{index}"
        self.host = world.network.add_host(self.name, f"127.0.1.{index + 1}")
        self.system = VirtualSystem(self.host, 1000 + index)
        self.program: Program | None = None
        self.scope: trio.CancelScope | None = None
        self.ended = trio.Event()
        self.discovery = world.discovery

    def config(self) -> Config:
        world, scenario = self.world, self.world.scenario
        known = self.discovery.directory.whole(trio.current_time())
        world.judge.list_given(self.name, known["targets"], True)
        settings = decode_settings(world.settings(self.index))
        kserve = Kserve(f"{self.host.address}:{GRPC_PORT}", ("desc",), "alt-text", "acme", 5.0)
        return Config(
            self.name,
            f"{self.host.address}:{HTTP_PORT}",
            self.discovery.address,
            scenario.seed * 16 + self.index,
            scenario.sockets,
            settings,
            decode_result(known, ListKind.CACHED),
            Operator(kserve=kserve, server_protocols=("http", "kserve")),
            scenario.memory_mb,
        )

    def read_again(self) -> Config:
        program = self.program
        assert program is not None
        if self.world.broken_config:
            raise ValueError("not readable")
        address = self.discovery.address
        return replace(program.config, discovery=address, discovery_in_file=address)

    async def run(self) -> None:
        """One life of the process."""
        judge = self.world.judge
        judge.lives[self.name] = judge.lives.get(self.name, 0) + 1
        self.ended = trio.Event()
        self.program = Program(self.config(), self.read_again, self.system)
        try:
            with trio.CancelScope() as self.scope:
                await self.program.run()
        except Exception as error:
            if self.life() in judge.killed:  # its sockets went before its tasks did
                return
            judge.violation("fault", f"{self.name} failed: {faults_in(error)}", self.name)
        finally:
            self.host.close_sockets()
            self.world.network.record(f"ended {self.name}")
            self.ended.set()

    def life(self) -> tuple[str, int]:
        return self.name, self.world.judge.lives.get(self.name, 0)

    def stop(self) -> None:
        self.world.judge.stop_requested.setdefault(self.life(), trio.current_time())
        self.system.deliver(signal.SIGTERM)

    def kill(self) -> None:
        self.world.judge.killed.setdefault(self.life(), trio.current_time())
        self.host.close_sockets()
        if self.scope is not None:
            self.scope.cancel()


def faults_in(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    at = error.__traceback__
    while at is not None and at.tb_next is not None:
        at = at.tb_next
    where = (
        f" at {at.tb_frame.f_code.co_filename.rpartition('/')[2]}:{at.tb_lineno}" if at is not None else ""
    )
    return f"{type(error).__name__}: {error}{where}"


class World:
    """One run of a scenario: its hosts, peers and routers."""

    def __init__(self, scenario: Scenario, keep_trace: bool = False) -> None:
        self.scenario = scenario
        self.rng = random.Random(f"world {scenario.seed}")
        self._hash = hashlib.blake2b(digest_size=16)
        self.trace: list[str] = []
        self.keep_trace = keep_trace
        plan = scenario.weather
        weather = NetworkConditions(
            plan.delay_ms / 1000,
            plan.jitter_ms / 1000,
            math.inf,
            plan.loss,
            plan.pieces,
            plan.buffer,
            plan.reset_drops,
        )
        self.network = Network(self.rng, weather, self.record)
        self.judge = Judge(self.network)
        self.discovery = VirtualDiscovery(self.network.add_host("d0", "127.0.3.1"))
        self.engines: list[VirtualEngine] = []
        self.broken_config = False
        self.faults: Counter[str] = Counter()
        self.uids = 0
        self.machines: dict[int, ClientHost] = {}
        self.nursery: trio.Nursery
        self.routers: list[Router] = []
        self.library = Library(self)

    def record(self, line: str) -> None:
        text = f"{trio.current_time():.9f} {line}"
        self._hash.update(text.encode())
        self._hash.update(b"\n")
        if self.keep_trace:
            self.trace.append(text)
        if line.startswith("log ") and any(word in line for word in FAULT_RECORDS):
            self.judge.violation("fault", line[:400], line.split(" ")[1])

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
                {"name": n, "aim_s": aim, "deadline_s": deadline, "points": worth, "stream": True}
                for n, aim, deadline, worth in CLASSES
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
        return [f"z{k}" for k in range(max(p.zone for p in self.scenario.engines) + 1)]

    def engine(self, plan: EnginePlan, cold: bool, host_of: VirtualEngine | None = None) -> VirtualEngine:
        """Start an engine, on a machine of its own or in another's place, and publish it."""
        now, number = trio.current_time(), self.uids
        self.uids += 1
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
        if host_of is not None:
            host = host_of.host
        else:
            host = self.network.add_host(f"e{number}", f"127.0.2.{number + 1}")
        started = now if cold else now - 3600.0
        made = VirtualEngine(self.judge, host, f"u{number}", settings, started)
        made.plan = plan
        self.nursery.start_soon(made.serve, self.nursery)
        entry = Entry(
            made.uid,
            made.endpoint,
            self.zones()[plan.zone],
            "gpu",
            number // 2,
            boot_ms=int((START_UNIX_TIME_S + started) * 1000),
        )
        self.discovery.publish(entry)
        return made

    # A run.

    async def main(self) -> None:
        with trio.move_on_after(REST_S) as limit:
            async with trio.open_nursery() as self.nursery:
                await self._run()
                self.nursery.cancel_scope.cancel()
        if limit.cancelled_caught:
            self.judge.violation("rest", f"the world has not come to rest in {REST_S:g} s")
        self.judge.conclude()
        self.record("end")

    async def _run(self) -> None:
        from .script import play  # the faults know the world, and the world what they need of it

        scenario, nursery = self.scenario, self.nursery
        nursery.start_soon(self.discovery.serve, nursery)
        self.engines = [self.engine(plan, plan.cold) for plan in scenario.engines]
        self.routers = [Router(self, k) for k in range(scenario.routers)]
        async with trio.open_nursery() as acts:
            for router in self.routers:
                nursery.start_soon(router.run)
            await trio.sleep(0.01)
            self.library.open(nursery)
            for k, plan in enumerate(scenario.requests):
                acts.start_soon(self.ask, f"q{k}", plan)
            for fault in scenario.faults:
                acts.start_soon(play, self, fault)
        await self._rest()
        await self._stop()

    async def ask(self, key: str, plan: RequestPlan) -> None:
        await trio.sleep_until(plan.at_s)
        address = self.routers[plan.router].host.address
        if plan.client == "library":
            await self.library.ask(plan)
            return
        machine = self.machines.get(plan.machine)
        if machine is None:
            host = self.network.add_host(f"c{plan.machine}", f"127.0.4.{plan.machine + 1}")
            machine = self.machines[plan.machine] = ClientHost(
                host, rng=random.Random(f"{self.scenario.seed} {host.name}")
            )
        await machine.send_request(key, plan, address, self.nursery)

    async def _rest(self) -> None:
        """All clients have what they came for: what the routers hold must be back to nothing."""
        await self.library.close()
        for machine in self.machines.values():
            machine.close()
        await trio.sleep(max(deadline for _, _, deadline, _ in CLASSES) + 0.6)
        for router in self.routers:
            program = router.program
            if program is None or router.ended.is_set():
                continue
            core, gateway = program.core, program.core._gateway
            left = {
                "open RPCs": core.open_rpcs,
                "names": core._names,
                "requests in the module": gateway.requests,
                "held in the module": gateway.awaiting_probe,
                "timers": [what for what in core._timers if what != "ask"],
                "attempts of engines": [s for s in core.subchannels.values() if s._in_flight],
                "busy replicas": [r for r in gateway.replicas.values() if r.open_attempts],
            }
            for what, held in left.items():
                if held:
                    self.judge.violation("leak", f"{router.name} holds {len(held)} {what}", router.name)
            if program.payloads.used:
                self.judge.violation(
                    "leak", f"{router.name} counts {program.payloads.used} bytes of payloads"
                )
            clients = sum(len(front.clients) for front in program.fronts.values())
            if clients:
                self.judge.violation("leak", f"{router.name} has {clients} connections of clients that left")

    async def _stop(self) -> None:
        for router in self.routers:
            if not router.ended.is_set():
                router.stop()
        for router in self.routers:
            with trio.move_on_after(STOP_S) as scope:
                await router.ended.wait()
            if scope.cancelled_caught:
                self.judge.violation("rest", f"{router.name} was told to stop and did not end", router.name)
                continue
            if router.program is None or router.life() in self.judge.killed:
                continue
            for use, count in router.program.budget.used.items():
                if count:
                    self.judge.violation("leak", f"{router.name} counts {count} descriptors for {use.value}s")


def play(
    scenario: Scenario, keep_trace: bool = False, before: Callable[[World], None] | None = None
) -> Result:
    """Play it; the same scenario comes to the same result everywhere."""
    world = World(scenario, keep_trace)
    passes = StallDetector(lambda: world.judge.violation("rest", "the world stands still and does not rest"))
    if before is not None:
        before(world)
    ended_at = 0.0

    async def main() -> None:
        nonlocal ended_at
        with passes.scope:
            await world.main()
        ended_at = trio.current_time()

    clock = virtual_clock(world.network.next_at, world.network.advance)
    with seeded_scheduler(scenario.seed), NondeterminismGuard(), suppress(KeyboardInterrupt):
        trio.run(main, clock=clock, instruments=[passes])
    judge = world.judge
    faults = dict(sorted(world.faults.items()))
    return Result(
        scenario.seed,
        world._hash.hexdigest(),
        len(judge.rpcs),
        judge.count,
        round(ended_at, 6),
        judge.violations,
        faults,
        world.trace,
    )
