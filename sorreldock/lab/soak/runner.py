"""Plays a soak: stand-in servers and clients in this process, routers as processes, faults by a plan."""

from __future__ import annotations

import random
import signal
import tempfile
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import trio

from . import faults
from .clients import Client, Habit, draw_demand
from .invariants import breaks
from .records import Records
from .routers import SETTINGS, RouterProcess
from .servers import Behaviour, Fault, Fleet
from .system_calls import ERRORS

LONGEST_DEADLINE_S = 3.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # the earliest that the platform's terms allow
DOWN_S = 0.5  # from a process's end to its successor's start
HELD_UP_S = 0.15
TICK_S = 0.01
FAULT_RECORDS = (" VIOLATION ", " FRONT ", " MODULE ", "fault in the server client", "Traceback")
ZONES = ["north", "south", "west", "east"]


@dataclass(frozen=True, slots=True)
class Soak:
    """One run: sizes, times in seconds, and the seed of all draws."""

    seed: int = 1
    routers: int = 10
    servers: int = 60
    span_s: float = 20.0
    clients: int = 4  # a router
    requests_per_s: float = 6.0  # a router
    faults_per_s: float = 1.0
    changes_per_s: float = 0.0  # of the list, besides the faults
    failing_calls: float = 0.0  # share of system calls, in half of the routers
    habits: tuple[Habit, ...] = (Habit.PLAIN, Habit.KEEPS, Habit.KEEPS, Habit.LEAVES, Habit.SLOW)


@dataclass(slots=True)
class Verdict:
    """What a run came to."""

    seed: int
    requests: int = 0
    served: int = 0
    breaks: list[str] = field(default_factory=list)
    longest_lag_s: float = 0.0
    plan: list[faults.Trouble] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


class Run:
    """A soak under way."""

    def __init__(self, soak: Soak, folder: Path) -> None:
        self.soak = soak
        self.records = Records()
        self.fleet = Fleet(soak.servers, ZONES, self.records, soak.seed)
        self.routers: list[RouterProcess] = []
        self._folder = folder
        self._numbers = iter(range(1 << 30))
        self._ended = False

    async def play(self) -> Verdict:
        """Play it to its end, and judge it."""
        soak = self.soak
        plan = faults.draw_plan(soak.seed, soak.span_s, soak.faults_per_s) if soak.faults_per_s else []
        async with trio.open_nursery() as nursery, self.fleet.running():
            nursery.start_soon(self._measure_lag)
            self.routers = [self._router(number) for number in range(soak.routers)]
            try:
                async with trio.open_nursery() as starting:
                    for router in self.routers:
                        starting.start_soon(router.start)
                self.records.longest_lag_s = 0.0
                await self._traffic(plan)
                for router in self.routers:
                    router.check()
                with trio.CancelScope(shield=True):
                    async with trio.open_nursery() as ending:
                        for router in self.routers:
                            ending.start_soon(router.end, KILL_AFTER_S)
            finally:
                for router in self.routers:
                    await router.kill()
            nursery.cancel_scope.cancel()
        return self._verdict(plan)

    def _router(self, number: int) -> RouterProcess:
        soak, name = self.soak, f"r{number}"
        config: dict[str, Any] = {
            "discovery": self.fleet.discovery_for(name),
            "seed": f"{soak.seed * 1000 + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.fleet.listing(),
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
        shares |= dict.fromkeys(("socket", "listen"), min(10 * soak.failing_calls, 0.3))  # these are few
        failing = {"seed": soak.seed * 1000 + number, "shares": shares} if number % 2 else None
        if not soak.failing_calls:
            failing = None
        host = f"127.88.0.{number + 1}"
        return RouterProcess(name, host, self._folder, config, self.records, failing)

    async def _traffic(self, plan: list[faults.Trouble]) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                for trouble in plan:
                    nursery.start_soon(self._strike, trouble)
                if self.soak.changes_per_s:
                    nursery.start_soon(self._change_the_list)
                for router in self.routers:
                    for _ in range(self.soak.clients):
                        nursery.start_soon(self._client, router)
                await trio.sleep(self.soak.span_s)
                self._ended = True  # clients finish what they have begun
                scope.deadline = trio.current_time() + 4 * LONGEST_DEADLINE_S

    async def _client(self, router: RouterProcess) -> None:
        draw = random.Random(f"{self.soak.seed}-{next(self._numbers)}")
        client = Client(router.name, router.address, self.records)
        pause_s = self.soak.clients / self.soak.requests_per_s
        while not self._ended:
            await trio.sleep(draw.expovariate(1.0 / pause_s))
            habit = draw.choice(self.soak.habits)
            number = next(self._numbers)
            demand = draw_demand(habit, draw, number)
            await client.ask(f"{self.soak.seed:x}-{number}", demand, keep=habit is Habit.KEEPS)
        await client.leave()

    async def _measure_lag(self) -> None:
        """Note by how much this process itself runs late: its clocks are the oracle's."""
        while True:
            due = trio.current_time() + TICK_S
            await trio.sleep_until(due)
            self.records.longest_lag_s = max(self.records.longest_lag_s, trio.current_time() - due)

    # Faults.

    async def _strike(self, trouble: faults.Trouble) -> None:
        await trio.sleep(trouble.at)
        draw = random.Random(trouble.seed)
        match trouble.kind:
            case faults.Kind.SERVERS_FAIL:
                await self._servers_fail(trouble.lasts, draw)
            case faults.Kind.SERVERS_DRAIN:
                await self._servers_drain(trouble.lasts, draw)
            case faults.Kind.DISCOVERY_DOWN:
                self.fleet.stop_discovery()
                await trio.sleep(trouble.lasts)
                self.fleet.start_discovery()
            case faults.Kind.LIST_CHANGES:
                await self._list_changes(trouble.lasts, draw)
            case _:
                await self._router_trouble(trouble, draw)

    async def _router_trouble(self, trouble: faults.Trouble, draw: random.Random) -> None:
        router = draw.choice(self.routers)
        if not router.running:
            return
        match trouble.kind:
            case faults.Kind.RESTART:
                await router.end(KILL_AFTER_S)
                await trio.sleep(DOWN_S)
                await router.start()
            case faults.Kind.KILL:
                await router.kill()
                await trio.sleep(DOWN_S)
                await router.start()
            case faults.Kind.RELOAD:
                for _ in range(draw.randint(1, 4)):
                    router.signal(signal.SIGHUP)
                    await trio.sleep(draw.uniform(0.0, 0.3))
            case faults.Kind.HOLD_UP:
                router.signal(signal.SIGSTOP)
                try:
                    await trio.sleep(HELD_UP_S)
                finally:
                    router.signal(signal.SIGCONT)

    async def _servers_fail(self, lasts: float, draw: random.Random) -> None:
        before = self.fleet.behaviour
        fault = draw.choice([fault for fault in Fault if fault is not Fault.NONE])
        self.fleet.behaviour = Behaviour(
            first_event_s=draw.choice((0.0, 0.05, 0.3)),
            spread_s=draw.choice((0.0, 0.2)),
            events=draw.randint(1, 6),
            between_s=draw.choice((0.0, 0.02, 0.1)),
            fault=fault,
            fault_share=draw.uniform(0.05, 0.5),
        )
        await trio.sleep(lasts)
        self.fleet.behaviour = replace(before, fault=Fault.NONE, fault_share=0.0)

    async def _servers_drain(self, lasts: float, draw: random.Random) -> None:
        """Some are told to end, go, and stay away: a server that comes back would need another address."""
        ready = [server for server in self.fleet.servers if server.state == "Ready"]
        chosen = draw.sample(ready, max(1, len(ready) // 10)) if len(ready) > 10 else []
        if chosen:
            self.fleet.change(chosen, "Terminating")
            await trio.sleep(lasts)
            self.fleet.change(chosen, "Gone")

    async def _list_changes(self, lasts: float, draw: random.Random) -> None:
        until = trio.current_time() + lasts
        while trio.current_time() < until:
            ready = [server for server in self.fleet.servers if server.state == "Ready"]
            if len(ready) > len(self.fleet.servers) // 2:
                self.fleet.change([draw.choice(ready)], "Terminating")
            await trio.sleep(0.1)

    async def _change_the_list(self) -> None:
        draw = random.Random(f"{self.soak.seed}-changes")
        while not self._ended:
            ready = [server for server in self.fleet.servers if server.state == "Ready"]
            self.fleet.change([draw.choice(ready)], "Terminating")
            await trio.sleep(1.0 / self.soak.changes_per_s)

    def _logged_faults(self) -> list[str]:
        """Return what the routers themselves logged as broken rules or faults of theirs."""
        return [
            f"logged: {router.name}: {line[line.index(word) :]}"
            for router in self.routers
            for line in router.log.read_text(errors="replace").splitlines()
            for word in FAULT_RECORDS
            if word in line
        ]

    def _verdict(self, plan: list[faults.Trouble]) -> Verdict:
        records = self.records
        return Verdict(
            seed=self.soak.seed,
            requests=len(records.exchanges),
            served=sum(exchange.status == 200 and exchange.whole for exchange in records.exchanges),
            breaks=[*breaks(records), *self._logged_faults()],
            longest_lag_s=records.longest_lag_s,
            plan=plan,
            logs={router.name: router.log.read_text(errors="replace") for router in self.routers},
        )


def play(soak: Soak) -> Verdict:
    """Play one run in a folder of its own, which is removed."""
    with tempfile.TemporaryDirectory(prefix="sorreldock-soak-") as folder:
        return trio.run(Run(soak, Path(folder)).play)
