"""The runner of a soak: emulated servers and clients in this process, router processes, planned faults."""

from __future__ import annotations

import multiprocessing
import random
import signal
import tempfile
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import trio

from ..hostile.crowd import run_crowd
from ..hostile.plan import Picture, Plan
from . import faults
from .clients import Client, ClientBehaviour, draw_request
from .invariants import find_breaks
from .records import Records
from .routers import SETTINGS, RouterProcess
from .servers import Fleet, ServerBehaviour, ServerFault
from .system_calls import ERRORS

MAX_DEADLINE_S = 3.0
KILL_AFTER_S = MAX_DEADLINE_S + 0.7  # the earliest time at which the platform may send SIGKILL
RESTART_DELAY_S = 0.5  # from the exit of a process to the start of the next one
SUSPENSION_S = 0.15
LAG_INTERVAL_S = 0.01
# Texts of log records that report a broken rule or a fault in the router.
FAULT_RECORDS = (" VIOLATION ", " FRONT ", " MODULE ", "fault in the server client", "Traceback")
CROWD_PICTURES = (
    Picture.TRICKLE,
    Picture.STOP,
    Picture.MANY_FIELDS,
    Picture.FLOOD,
    Picture.UNSOUND_FLOOD,
    Picture.LEAVERS,
)
CROWD_CLIENTS = 150
CROWD_START_S = 1.5  # for the process to start
ZONES = ["north", "south", "west", "east"]


@dataclass(frozen=True, slots=True)
class Soak:
    """The parameters of one run: sizes, times in seconds, and the seed of all draws."""

    seed: int = 1
    routers: int = 10
    servers: int = 60
    span_s: float = 20.0
    clients: int = 4  # per router
    requests_per_s: float = 6.0  # per router
    faults_per_s: float = 1.0
    changes_per_s: float = 0.0  # of the server list, in addition to the faults
    has_crowd: bool = False  # hostile clients in large numbers, as one kind of fault
    memory_mb: int = 192
    fault_kinds: tuple[faults.FaultKind, ...] = ()  # all, if there are none
    server_faults: tuple[ServerFault, ...] = ()  # of SERVERS_FAIL; all, if there are none
    failing_calls: float = 0.0  # share of system calls, in half of the routers
    client_behaviours: tuple[ClientBehaviour, ...] = (
        ClientBehaviour.ONE_SHOT,
        ClientBehaviour.KEEP_ALIVE,
        ClientBehaviour.KEEP_ALIVE,
        ClientBehaviour.ABANDONS,
        ClientBehaviour.SLOW_WRITER,
    )


@dataclass(slots=True)
class Verdict:
    """The result of a run."""

    seed: int
    requests: int = 0
    served: int = 0
    breaks: list[str] = field(default_factory=list)
    max_lag_s: float = 0.0
    plan: list[faults.PlannedFault] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


class Run:
    """A run in progress."""

    def __init__(self, soak: Soak, folder: Path) -> None:
        self.soak = soak
        self.records = Records()
        self.fleet = Fleet(soak.servers, ZONES, self.records, soak.seed)
        self.routers: list[RouterProcess] = []
        self._log_folder = folder
        self._request_numbers = iter(range(1 << 30))
        self._is_ending = False

    async def run(self) -> Verdict:
        """Run the soak to its end and check its records."""
        soak = self.soak
        plan = (
            faults.draw_plan(soak.seed, soak.span_s, soak.faults_per_s, soak.has_crowd, soak.fault_kinds)
            if soak.faults_per_s
            else []
        )
        async with trio.open_nursery() as nursery, self.fleet.running():
            nursery.start_soon(self._measure_lag)
            self.routers = [self._make_router(number) for number in range(soak.routers)]
            try:
                async with trio.open_nursery() as starting:
                    for router in self.routers:
                        starting.start_soon(router.start)
                self.records.max_lag_s = 0.0
                await self._run_traffic(plan)
                for router in self.routers:
                    router.record_early_exit()
                with trio.CancelScope(shield=True):
                    async with trio.open_nursery() as ending:
                        for router in self.routers:
                            ending.start_soon(router.stop, KILL_AFTER_S)
            finally:
                for router in self.routers:
                    await router.kill()
            nursery.cancel_scope.cancel()
        return self._make_verdict(plan)

    def _make_router(self, number: int) -> RouterProcess:
        soak, name = self.soak, f"r{number}"
        config: dict[str, Any] = {
            "discovery": self.fleet.open_discovery_for(name),
            "seed": f"{soak.seed * 1000 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": soak.memory_mb, "sockets": 1024},
            "known": self.fleet.full_list(),
            "settings": {
                **SETTINGS,
                "areas": ZONES,
                "zone": ZONES[number % len(ZONES)],
                "me": number,
                "balancers": soak.routers,
            },
        }
        kinds = [kind for kind in (*ERRORS, "short_recv", "short_send") if kind != "connect"]
        shares = dict.fromkeys(kinds, soak.failing_calls)
        # Calls of these kinds are rare.
        shares |= dict.fromkeys(("socket", "listen"), min(10 * soak.failing_calls, 0.3))
        faulty_calls = {"seed": soak.seed * 1000 + number, "shares": shares} if number % 2 else None
        if not soak.failing_calls:
            faulty_calls = None
        host = f"127.88.0.{number + 1}"
        return RouterProcess(name, host, self._log_folder, config, self.records, faulty_calls, soak.memory_mb)

    async def _run_traffic(self, plan: list[faults.PlannedFault]) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                for fault in plan:
                    nursery.start_soon(self._inject, fault)
                if self.soak.changes_per_s:
                    nursery.start_soon(self._change_list_regularly)
                for router in self.routers:
                    for _ in range(self.soak.clients):
                        nursery.start_soon(self._run_client, router)
                await trio.sleep(self.soak.span_s)
                self._is_ending = True  # clients complete their current requests
                scope.deadline = trio.current_time() + 4 * MAX_DEADLINE_S

    async def _run_client(self, router: RouterProcess) -> None:
        rng = random.Random(f"{self.soak.seed}-{next(self._request_numbers)}")
        client = Client(router.name, router.address, self.records)
        pause_s = self.soak.clients / self.soak.requests_per_s
        while not self._is_ending:
            await trio.sleep(rng.expovariate(1.0 / pause_s))
            behaviour = rng.choice(self.soak.client_behaviours)
            number = next(self._request_numbers)
            request = draw_request(behaviour, rng, number)
            await client.send_request(
                f"{self.soak.seed:x}-{number}", request, keep_alive=behaviour is ClientBehaviour.KEEP_ALIVE
            )
        await client.close()

    async def _measure_lag(self) -> None:
        """Measure how late the timers of this process fire, as the checks compare times that it recorded."""
        while True:
            due = trio.current_time() + LAG_INTERVAL_S
            await trio.sleep_until(due)
            self.records.max_lag_s = max(self.records.max_lag_s, trio.current_time() - due)

    # Faults.

    async def _inject(self, fault: faults.PlannedFault) -> None:
        await trio.sleep(fault.at)
        rng = random.Random(fault.seed)
        match fault.kind:
            case faults.FaultKind.SERVERS_FAIL:
                await self._fail_requests(fault.lasts, rng)
            case faults.FaultKind.SERVERS_DRAIN:
                await self._drain_servers(fault.lasts, rng)
            case faults.FaultKind.DISCOVERY_DOWN:
                self.fleet.stop_discovery()
                await trio.sleep(fault.lasts)
                self.fleet.start_discovery()
            case faults.FaultKind.LIST_CHANGES:
                await self._change_list_often(fault.lasts, rng)
            case _:
                await self._inject_router_fault(fault, rng)

    async def _inject_router_fault(self, fault: faults.PlannedFault, rng: random.Random) -> None:
        router = rng.choice(self.routers)
        if not router.is_serving:
            return
        match fault.kind:
            case faults.FaultKind.RESTART:
                await router.stop(KILL_AFTER_S)
                await trio.sleep(RESTART_DELAY_S)
                await router.start()
            case faults.FaultKind.SIGNALS:
                await router.stop(KILL_AFTER_S, again_s=rng.uniform(0.05, 0.5))
                await trio.sleep(RESTART_DELAY_S)
                await router.start()
            case faults.FaultKind.CROWD:
                await self._send_crowd(router, fault.lasts, rng)
            case faults.FaultKind.KILL:
                await router.kill()
                await trio.sleep(RESTART_DELAY_S)
                await router.start()
            case faults.FaultKind.RELOAD:
                for _ in range(rng.randint(1, 4)):
                    router.signal(signal.SIGHUP)
                    await trio.sleep(rng.uniform(0.0, 0.3))
            case faults.FaultKind.SUSPEND:
                router.signal(signal.SIGSTOP)
                try:
                    await trio.sleep(SUSPENSION_S)
                finally:
                    router.signal(signal.SIGCONT)

    async def _send_crowd(self, router: RouterProcess, duration_s: float, rng: random.Random) -> None:
        """Let hostile clients, in a process of their own, connect to a router."""
        picture = rng.choice(CROWD_PICTURES)
        clients = 1 if picture in (Picture.FLOOD, Picture.UNSOUND_FLOOD) else CROWD_CLIENTS
        plan = Plan(picture, clients=clients, span_s=duration_s, seed=rng.getrandbits(32))
        process = multiprocessing.get_context("spawn").Process(
            target=run_crowd, args=(plan, router.address), daemon=True
        )
        process.start()
        try:
            await trio.sleep(duration_s + CROWD_START_S)
        finally:
            process.kill()
            process.join()

    async def _fail_requests(self, duration_s: float, rng: random.Random) -> None:
        before = self.fleet.behaviour
        all_faults = [fault for fault in ServerFault if fault is not ServerFault.NONE]
        fault = rng.choice(self.soak.server_faults or all_faults)
        self.fleet.behaviour = ServerBehaviour(
            first_event_s=rng.choice((0.0, 0.05, 0.3)),
            spread_s=rng.choice((0.0, 0.2)),
            events=rng.randint(1, 6),
            event_interval_s=rng.choice((0.0, 0.02, 0.1)),
            fault=fault,
            fault_share=rng.uniform(0.05, 0.5),
        )
        await trio.sleep(duration_s)
        self.fleet.behaviour = replace(before, fault=ServerFault.NONE, fault_share=0.0)

    async def _drain_servers(self, duration_s: float, rng: random.Random) -> None:
        """Withdraw a tenth of the servers, then remove them.

        They don't come back, since a server that returns would need a new address.
        """
        ready = [server for server in self.fleet.servers if server.state == "Ready"]
        chosen = rng.sample(ready, max(1, len(ready) // 10)) if len(ready) > 10 else []
        if chosen:
            self.fleet.set_state(chosen, "Terminating")
            await trio.sleep(duration_s)
            self.fleet.set_state(chosen, "Gone")

    async def _change_list_often(self, duration_s: float, rng: random.Random) -> None:
        until = trio.current_time() + duration_s
        while trio.current_time() < until:
            ready = [server for server in self.fleet.servers if server.state == "Ready"]
            if len(ready) > len(self.fleet.servers) // 2:
                self.fleet.set_state([rng.choice(ready)], "Terminating")
            await trio.sleep(0.1)

    async def _change_list_regularly(self) -> None:
        rng = random.Random(f"{self.soak.seed}-changes")
        while not self._is_ending:
            ready = [server for server in self.fleet.servers if server.state == "Ready"]
            self.fleet.set_state([rng.choice(ready)], "Terminating")
            await trio.sleep(1.0 / self.soak.changes_per_s)

    def _logged_faults(self) -> list[str]:
        """Return the broken rules and faults that the routers themselves logged."""
        return [
            f"logged: {router.name}: {line[line.index(text) :]}"
            for router in self.routers
            for line in router.log.read_text(errors="replace").splitlines()
            for text in FAULT_RECORDS
            if text in line
        ]

    def _make_verdict(self, plan: list[faults.PlannedFault]) -> Verdict:
        records = self.records
        return Verdict(
            seed=self.soak.seed,
            requests=len(records.exchanges),
            served=sum(exchange.status == 200 and exchange.is_complete for exchange in records.exchanges),
            breaks=[*find_breaks(records), *self._logged_faults()],
            max_lag_s=records.max_lag_s,
            plan=plan,
            logs={router.name: router.log.read_text(errors="replace") for router in self.routers},
        )


def run_soak(soak: Soak) -> Verdict:
    """Run a soak in a temporary folder and return its result."""
    with tempfile.TemporaryDirectory(prefix="sorreldock-soak-") as folder:
        return trio.run(Run(soak, Path(folder)).run)
