"""The faults of a scenario, applied to a simulation."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from ...transport.admission import Stage
from .lists import VirtualDiscovery
from .network import Host
from .scenario import SERVER_FAULTS, FaultPlan, RequestPlan

if TYPE_CHECKING:
    from .engines import VirtualServer
    from .runner import Router, Simulation

DISCOVERY_DELAY_S = 0.8  # delay until discovery announces that a host has failed
SHUTDOWN_S = 2.0  # from the announcement that a server will end to the end of its process
DEPLOY_INTERVAL_S = 0.8
IDLE_DRAIN_S = 2.0  # after which a drained router holds no idle connections; the platform allows 4 s
MIN_IDLE_S = 1.5  # a connection without a request for this long counts as idle


async def run_fault(simulation: Simulation, fault: FaultPlan) -> None:
    """Start one fault at its time, and return when it has ended."""
    await trio.sleep_until(fault.at_s)
    simulation.faults[fault.kind] += 1
    description = f"{fault.kind} {fault.target} {fault.other}{fault.how}{fault.amount or ''}"
    simulation.record(f"fault {description}")
    if fault.kind in SERVER_FAULTS:
        await run_server_fault(simulation, simulation.servers[fault.target], fault)
    elif fault.kind.startswith("list-"):
        await run_discovery_fault(simulation, fault)
    elif fault.kind in ("partition", "one-way"):
        await run_partition(simulation, fault)
    elif fault.kind in ("deploy", "slowdown", "surge"):
        await run_fleet_fault(simulation, fault)
    else:
        await run_router_fault(simulation, fault)
    simulation.record(f"fault over {description}")


async def run_server_fault(simulation: Simulation, server: VirtualServer, fault: FaultPlan) -> None:
    match fault.kind:
        case "slow":
            server.set_slowdown(fault.amount)
            await trio.sleep(fault.for_s)
            server.set_slowdown(1.0)
        case "errors":
            server.set_fail_share(fault.amount)
            await trio.sleep(fault.for_s)
            server.set_fail_share(0.0)
        case "full":
            server.full = True
            await trio.sleep(fault.for_s)
            server.full = False
        case "hang":
            server.hangs = True
            await trio.sleep(fault.for_s)
            server.hangs = False
        case "pause":
            server.pause_until(trio.current_time() + fault.for_s)
            await trio.sleep(fault.for_s)
        case "spoil":
            server.spoil_kind, server.spoils_left = fault.how, 3
            await trio.sleep(fault.for_s)
            server.spoils_left = 0
        case "refuse":
            server.close_port()
            await trio.sleep(fault.for_s)
            if not server.ended:
                simulation.nursery.start_soon(server.serve, simulation.nursery)
        case _:
            await run_host_fault(simulation, server, fault)


async def run_host_fault(simulation: Simulation, server: VirtualServer, fault: FaultPlan) -> None:
    """Run a fault after which a new server replaces the old one, or a fault of the host's network."""
    host = server.host
    match fault.kind:
        case "deaf":
            host.drops_syns = True
            await trio.sleep(fault.for_s)
            host.drops_syns = False
        case "crash":
            server.end()
            await trio.sleep(DISCOVERY_DELAY_S)
            simulation.discovery.set_state(server.uid, "Gone")
            await trio.sleep(fault.for_s)
            simulation.servers[fault.target] = simulation.start_server(server.plan, True, server)
        case "vanish":
            host.go_offline()
            await trio.sleep(fault.for_s + DISCOVERY_DELAY_S)
            simulation.discovery.set_state(server.uid, "Gone")
            server.end()
            host.come_back_online()
            simulation.servers[fault.target] = simulation.start_server(server.plan, True, server)
        case "drain":
            successor = simulation.start_server(server.plan, True)
            await drain_server(simulation, server)
            simulation.servers[fault.target] = successor
        case "readdress":
            server.end()
            simulation.discovery.set_state(server.uid, "Gone")
            await trio.sleep(0)  # yield, so that the port becomes free
            simulation.servers[fault.target] = simulation.start_server(server.plan, True, server)
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


async def drain_server(simulation: Simulation, server: VirtualServer) -> None:
    if server.ended:
        return
    server.model.drain()
    simulation.discovery.set_state(server.uid, "Terminating")
    await trio.sleep(SHUTDOWN_S)
    simulation.discovery.set_state(server.uid, "Gone")
    server.end()


async def run_fleet_fault(simulation: Simulation, fault: FaultPlan) -> None:
    match fault.kind:
        case "slowdown":
            servers = list(simulation.servers)
            for server in servers:
                server.set_slowdown(fault.amount)
            await trio.sleep(fault.for_s)
            for server in servers:
                server.set_slowdown(1.0)
        case "surge":
            plans = simulation.scenario.requests
            if plans:
                async with trio.open_nursery() as nursery:
                    for index in range(min(int(fault.amount), 100)):
                        template = plans[index % len(plans)]
                        plan = RequestPlan(
                            at_s=fault.at_s + index / max(fault.amount, 1.0),
                            router=template.router,
                            protocol=template.protocol,
                            machine=template.machine,
                            rpc_class=template.rpc_class,
                            deadline_s=template.deadline_s,
                            prompt_tokens=template.prompt_tokens,
                            output_tokens=template.output_tokens,
                        )
                        nursery.start_soon(simulation.send_request, f"s{fault.at_s:g}.{index}", plan)
        case "deploy":
            zone = simulation.servers[fault.target % len(simulation.servers)].plan.zone
            async with trio.open_nursery() as nursery:
                for index, server in enumerate(simulation.servers):
                    if server.plan.zone == zone and not server.ended:
                        simulation.servers[index] = simulation.start_server(server.plan, True)
                        nursery.start_soon(drain_server, simulation, server)
                        await trio.sleep(DEPLOY_INTERVAL_S)


async def run_discovery_fault(simulation: Simulation, fault: FaultPlan) -> None:
    discovery = simulation.discovery
    match fault.kind:
        case "list-late":
            discovery.directory.delay_s = fault.amount
            await trio.sleep(fault.for_s)
            discovery.directory.delay_s = 0.0
            discovery.notify_watches()
        case "list-stale":
            discovery.stale = True
            await trio.sleep(fault.for_s)
            discovery.stale = False
            discovery.notify_watches()
        case "list-down":
            discovery.shut_down()
            await trio.sleep(fault.for_s)
            if discovery is simulation.discovery:
                simulation.nursery.start_soon(discovery.serve, simulation.nursery)
        case "list-nonsense":
            lines = (b"{", b"[]", b'{"targets":[{}]}', b'{"rev":"x","targets":[]}', b"\xff\xfe" * 9)
            discovery.malformed_lines = [
                lines[(index + fault.target) % len(lines)] for index in range(simulation.scenario.routers)
            ]
            discovery.notify_watches()
        case "list-silent":
            discovery.silent = True
            discovery.notify_watches()
            await trio.sleep(fault.for_s)
            discovery.silent = False
            discovery.shut_down()
            if discovery is simulation.discovery:
                simulation.nursery.start_soon(discovery.serve, simulation.nursery)
        case "list-moved":
            host_count = len([n for n in simulation.network.hosts if n.startswith("d")])
            new_discovery = VirtualDiscovery(
                simulation.network.add_host(f"d{host_count}", f"127.0.3.{host_count + 1}")
            )
            new_discovery.directory = discovery.directory
            simulation.discovery = new_discovery
            simulation.nursery.start_soon(new_discovery.serve, simulation.nursery)
            for router in simulation.routers:
                router.discovery = new_discovery
                router.system.deliver(signal.SIGHUP)
            await trio.sleep(fault.for_s)
            discovery.shut_down()


async def run_router_fault(simulation: Simulation, fault: FaultPlan) -> None:
    router = simulation.routers[fault.target]
    match fault.kind:
        case "stop" | "kill":
            if router.ended.is_set():
                return
            (router.stop if fault.kind == "stop" else router.kill)()
            await router.ended.wait()
            await trio.sleep(fault.for_s)
            simulation.nursery.start_soon(router.run)
            await trio.sleep(0.01)
        case "sent-away":
            await drain_router(simulation, router, fault.for_s)
        case "reload":
            simulation.is_config_broken = bool(fault.target % 2)
            router.system.deliver(signal.SIGHUP)
            await trio.sleep(0.1)
            simulation.is_config_broken = False
        case "clock":
            router.system.wall_offset_s += fault.amount


async def drain_router(simulation: Simulation, router: Router, for_s: float) -> None:
    """Drain a router with an operator's command, and resume it unless its process has ended meanwhile."""
    program, incarnation = router.program, router.incarnation()
    if program is None or router.ended.is_set():
        return
    if not program.operator_commands.drain().startswith("ok"):  # the router is already stopping
        return
    with trio.move_on_after(for_s):
        await trio.sleep(IDLE_DRAIN_S)
        while True:
            await trio.sleep(0.1)
            if router.incarnation() != incarnation or program.lifecycle.is_stopping:
                return
            now = trio.current_time()
            clients = [c for front in program.fronts.values() for c in front.clients]
            idle_clients = [
                c for c in clients if c.stage in (Stage.SILENT, Stage.IDLE) and now - c.since > MIN_IDLE_S
            ]
            if idle_clients:
                text = f"{router.name} is drained and holds an idle connection: {idle_clients[0]!r}"
                simulation.checker.report_violation("rest", text, router.name)
    if router.incarnation() == incarnation and not router.ended.is_set():
        program.operator_commands.resume()


async def run_partition(simulation: Simulation, fault: FaultPlan) -> None:
    router_name = f"r{fault.target}"
    peer_name = fault.other if fault.other.startswith(("e", "d", "c")) else f"e{fault.target}"
    if peer_name.startswith("e"):
        index = int(peer_name[1:]) if peer_name[1:].isdigit() else 0
        peer_name = server_host(simulation, index).name
    one_way = [(peer_name, router_name)] if fault.how == "back" else [(router_name, peer_name)]
    directions = (
        [(router_name, peer_name), (peer_name, router_name)] if fault.kind == "partition" else one_way
    )
    for direction in directions:
        simulation.network.cut(*direction)
    await trio.sleep(fault.for_s)
    for direction in directions:
        simulation.network.heal(*direction)


def server_host(simulation: Simulation, index: int) -> Host:
    return simulation.servers[index % len(simulation.servers)].host
