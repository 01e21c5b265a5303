"""The faults, carried out in a world."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from ...transport.admission import Stage
from .lists import VirtualDiscovery
from .network import Host
from .scenario import ENGINE_FAULTS, FaultPlan, RequestPlan

if TYPE_CHECKING:
    from .engines import VirtualEngine
    from .runner import Router, World

NOTICED_S = 0.8  # after which discovery tells that a machine has gone
GONE_S = 2.0  # from the notice of an engine's end until its process has ended
DEPLOY_STEP_S = 0.8
EMPTY_S = 2.0  # after a drain call nobody idle is held any longer; the platform allows 4 s
HELD_S = 1.5


async def play(world: World, fault: FaultPlan) -> None:
    """Carry out one fault, from its beginning to its end."""
    await trio.sleep_until(fault.at_s)
    world.faults[fault.kind] += 1
    what = f"{fault.kind} {fault.target} {fault.other}{fault.how}{fault.amount or ''}"
    world.record(f"fault {what}")
    if fault.kind in ENGINE_FAULTS:
        await engine_fault(world, world.engines[fault.target], fault)
    elif fault.kind.startswith("list-"):
        await list_fault(world, fault)
    elif fault.kind in ("partition", "one-way"):
        await partition(world, fault)
    elif fault.kind in ("deploy", "slowdown", "surge"):
        await fleet_fault(world, fault)
    else:
        await router_fault(world, fault)
    world.record(f"fault over {what}")


async def engine_fault(world: World, engine: VirtualEngine, fault: FaultPlan) -> None:
    match fault.kind:
        case "slow":
            engine.set_slowdown(fault.amount)
            await trio.sleep(fault.for_s)
            engine.set_slowdown(1.0)
        case "errors":
            engine.set_fail_share(fault.amount)
            await trio.sleep(fault.for_s)
            engine.set_fail_share(0.0)
        case "full":
            engine.full = True
            await trio.sleep(fault.for_s)
            engine.full = False
        case "hang":
            engine.hangs = True
            await trio.sleep(fault.for_s)
            engine.hangs = False
        case "pause":
            engine.pause_until(trio.current_time() + fault.for_s)
            await trio.sleep(fault.for_s)
        case "spoil":
            engine.spoil_kind, engine.spoils_left = fault.how, 3
            await trio.sleep(fault.for_s)
            engine.spoils_left = 0
        case "refuse":
            engine.close_port()
            await trio.sleep(fault.for_s)
            if not engine.ended:
                world.nursery.start_soon(engine.serve, world.nursery)
        case _:
            await machine_fault(world, engine, fault)


async def machine_fault(world: World, engine: VirtualEngine, fault: FaultPlan) -> None:
    """Faults after which another engine follows, and those of the machine's network."""
    host = engine.host
    match fault.kind:
        case "deaf":
            host.drops_syns = True
            await trio.sleep(fault.for_s)
            host.drops_syns = False
        case "crash":
            engine.end()
            await trio.sleep(NOTICED_S)
            world.discovery.set_state(engine.uid, "Gone")
            await trio.sleep(fault.for_s)
            world.engines[fault.target] = world.engine(engine.plan, True, engine)
        case "vanish":
            host.go_offline()
            await trio.sleep(fault.for_s + NOTICED_S)
            world.discovery.set_state(engine.uid, "Gone")
            engine.end()
            host.come_back_online()
            world.engines[fault.target] = world.engine(engine.plan, True, engine)
        case "drain":
            successor = world.engine(engine.plan, True)
            await drain(world, engine)
            world.engines[fault.target] = successor
        case "readdress":
            engine.end()
            world.discovery.set_state(engine.uid, "Gone")
            await trio.sleep(0)  # its port is free
            world.engines[fault.target] = world.engine(engine.plan, True, engine)
        case "loss":
            host.loss = fault.amount
            await trio.sleep(fault.for_s)
            host.loss = 0.0
        case "resets":
            host.reset_connections()
        case "narrow":
            host.bandwidth = max(fault.amount, 100.0)
            await trio.sleep(fault.for_s)
            host.bandwidth = float("inf")


async def drain(world: World, engine: VirtualEngine) -> None:
    if engine.ended:
        return
    engine.model.drain()
    world.discovery.set_state(engine.uid, "Terminating")
    await trio.sleep(GONE_S)
    world.discovery.set_state(engine.uid, "Gone")
    engine.end()


async def fleet_fault(world: World, fault: FaultPlan) -> None:
    match fault.kind:
        case "slowdown":
            engines = list(world.engines)
            for engine in engines:
                engine.set_slowdown(fault.amount)
            await trio.sleep(fault.for_s)
            for engine in engines:
                engine.set_slowdown(1.0)
        case "surge":
            plans = world.scenario.requests
            if plans:
                async with trio.open_nursery() as nursery:
                    for k in range(min(int(fault.amount), 100)):
                        like = plans[k % len(plans)]
                        plan = RequestPlan(
                            at_s=fault.at_s + k / max(fault.amount, 1.0),
                            router=like.router,
                            protocol=like.protocol,
                            machine=like.machine,
                            rpc_class=like.rpc_class,
                            deadline_s=like.deadline_s,
                            prompt_tokens=like.prompt_tokens,
                            output_tokens=like.output_tokens,
                        )
                        nursery.start_soon(world.ask, f"s{fault.at_s:g}.{k}", plan)
        case "deploy":
            zone = world.engines[fault.target % len(world.engines)].plan.zone
            async with trio.open_nursery() as nursery:
                for k, engine in enumerate(world.engines):
                    if engine.plan.zone == zone and not engine.ended:
                        world.engines[k] = world.engine(engine.plan, True)
                        nursery.start_soon(drain, world, engine)
                        await trio.sleep(DEPLOY_STEP_S)


async def list_fault(world: World, fault: FaultPlan) -> None:
    discovery = world.discovery
    match fault.kind:
        case "list-late":
            discovery.directory.late_s = fault.amount
            await trio.sleep(fault.for_s)
            discovery.directory.late_s = 0.0
            discovery.notify_watches()
        case "list-stale":
            discovery.stale = True
            await trio.sleep(fault.for_s)
            discovery.stale = False
            discovery.notify_watches()
        case "list-down":
            discovery.shut_down()
            await trio.sleep(fault.for_s)
            if discovery is world.discovery:
                world.nursery.start_soon(discovery.serve, world.nursery)
        case "list-nonsense":
            lines = (b"{", b"[]", b'{"targets":[{}]}', b'{"rev":"x","targets":[]}', b"\xff\xfe" * 9)
            discovery.malformed_lines = [
                lines[(k + fault.target) % len(lines)] for k in range(world.scenario.routers)
            ]
            discovery.notify_watches()
        case "list-silent":
            discovery.silent = True
            discovery.notify_watches()
            await trio.sleep(fault.for_s)
            discovery.silent = False
            discovery.shut_down()
            if discovery is world.discovery:
                world.nursery.start_soon(discovery.serve, world.nursery)
        case "list-moved":
            number = len([n for n in world.network.hosts if n.startswith("d")])
            moved = VirtualDiscovery(world.network.add_host(f"d{number}", f"127.0.3.{number + 1}"))
            moved.directory = discovery.directory
            world.discovery = moved
            world.nursery.start_soon(moved.serve, world.nursery)
            for router in world.routers:
                router.discovery = moved
                router.system.deliver(signal.SIGHUP)
            await trio.sleep(fault.for_s)
            discovery.shut_down()


async def router_fault(world: World, fault: FaultPlan) -> None:
    router = world.routers[fault.target]
    match fault.kind:
        case "stop" | "kill":
            if router.ended.is_set():
                return
            (router.stop if fault.kind == "stop" else router.kill)()
            await router.ended.wait()
            await trio.sleep(fault.for_s)
            world.nursery.start_soon(router.run)
            await trio.sleep(0.01)
        case "sent-away":
            await sent_away(world, router, fault.for_s)
        case "reload":
            world.broken_config = bool(fault.target % 2)
            router.system.deliver(signal.SIGHUP)
            await trio.sleep(0.1)
            world.broken_config = False
        case "clock":
            router.system.wall_offset_s += fault.amount


async def sent_away(world: World, router: Router, for_s: float) -> None:
    """A drain call, and the call back, unless the process has ended meanwhile."""
    program, life = router.program, router.life()
    if program is None or router.ended.is_set():
        return
    if not program.operator_commands.drain().startswith("ok"):  # it is told to stop already
        return
    with trio.move_on_after(for_s):
        await trio.sleep(EMPTY_S)
        while True:
            await trio.sleep(0.1)
            if router.life() != life or program.lifecycle.stopping:
                return
            now = trio.current_time()
            clients = [c for front in program.fronts.values() for c in front.clients]
            held = [c for c in clients if c.stage in (Stage.SILENT, Stage.IDLE) and now - c.since > HELD_S]
            if held:
                text = f"{router.name} is drained and holds an idle connection: {held[0]!r}"
                world.judge.violation("rest", text, router.name)
    if router.life() == life and not router.ended.is_set():
        program.operator_commands.resume()


async def partition(world: World, fault: FaultPlan) -> None:
    a = f"r{fault.target}"
    b = fault.other if fault.other.startswith(("e", "d", "c")) else f"e{fault.target}"
    if b.startswith("e"):
        k = int(b[1:]) if b[1:].isdigit() else 0
        b = host_of(world, k).name
    there = [(b, a)] if fault.how == "back" else [(a, b)]
    ways = [(a, b), (b, a)] if fault.kind == "partition" else there
    for way in ways:
        world.network.cut(*way)
    await trio.sleep(fault.for_s)
    for way in ways:
        world.network.heal(*way)


def host_of(world: World, number: int) -> Host:
    return world.engines[number % len(world.engines)].host
