"""Tests of the simulation: its network, its oracles on hand-written exchanges, and the router run in it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import nullcontext, suppress
from multiprocessing.connection import Connection
from pathlib import Path

import msgspec
import pytest
import trio

from sorreldock.interface import Event
from sorreldock.lab.settings import LabError
from sorreldock.lab.simulation import explore as exploring
from sorreldock.lab.simulation import scenario as plans
from sorreldock.lab.simulation.determinism import (
    NondeterminismError,
    NondeterminismGuard,
    seeded_scheduler,
    virtual_clock,
)
from sorreldock.lab.simulation.invariants import InvariantChecker
from sorreldock.lab.simulation.mutant_search import find_all
from sorreldock.lab.simulation.mutants import MUTANTS, mutated
from sorreldock.lab.simulation.network import Network, NetworkConditions, VirtualSocket
from sorreldock.lab.simulation.observers import observe
from sorreldock.lab.simulation.readers import End, FrameReader, Head, HttpReader, ParseError, Part
from sorreldock.lab.simulation.replay import compare
from sorreldock.lab.simulation.runner import Simulation, run_scenario
from sorreldock.lab.simulation.scenario import CLIENTS, FAULTS, Scenario, draw, dump, load
from sorreldock.lab.simulation.shrink import breaks_rule, shrink
from sorreldock.program import simulation_commands
from sorreldock.program.serve import Program
from sorreldock.protocol import front as limits
from sorreldock.protocol.kserve import connection as kserve_connection
from sorreldock.protocol.kserve.client import Exchange
from sorreldock.routing.core import Core
from sorreldock.routing.subchannel import Subchannel

ROOT = Path(__file__).parent.parent
SCENARIO_FILES = sorted((ROOT / "deploy" / "lab" / "scenarios").glob("*.toml"))
NetworkScript = Callable[[Network], Awaitable[None]]


def run_on_network(conditions: NetworkConditions, script: NetworkScript, seed: int = 1) -> list[str]:
    """Run a script on a simulated network and return the recorded trace."""
    import random

    lines: list[str] = []
    network = Network(random.Random(seed), conditions, lines.append)
    with seeded_scheduler(seed):
        trio.run(script, network, clock=virtual_clock(network.next_at, network.advance))
    return lines


async def connect_pair(network: Network) -> tuple[VirtualSocket, VirtualSocket]:
    """Return both ends of a connection from c1 to r0."""
    client, server = network.add_host("c1", "127.0.0.1"), network.add_host("r0", "127.0.0.2")
    listener = server.socket()
    await listener.bind(("127.0.0.2", 80))
    listener.listen(5)
    client_sock = client.socket()
    await client_sock.connect(("127.0.0.2", 80))
    server_sock, _ = await listener.accept()
    return client_sock, server_sock


def test_bytes_arrive_complete_in_order_and_after_the_delay_with_partial_reads_and_writes() -> None:
    async def script(network: Network) -> None:
        client, server = await connect_pair(network)
        started_at, data, received = trio.current_time(), bytes(range(256)) * 40, b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.send_all, data)
            while len(received) < len(data):
                received += await server.recv(300)
        assert received == data and trio.current_time() - started_at >= 0.05

    for seed in range(5):
        run_on_network(
            NetworkConditions(
                delay_s=0.05, jitter_s=0.1, loss=0.1, partial_io_share=0.5, pipe_capacity_bytes=512
            ),
            script,
            seed,
        )


def test_a_writer_waits_while_the_reader_does_not_read() -> None:
    async def script(network: Network) -> None:
        client, _ = await connect_pair(network)
        with trio.move_on_after(30.0) as scope:
            await client.send_all(b"x" * 5000)
        assert scope.cancelled_caught and client.outbox is not None and client.outbox.bytes_written == 4096
        assert client.outbox.was_full(1.0, 2.0)

    run_on_network(NetworkConditions(pipe_capacity_bytes=4096), script)


def test_a_close_sends_a_reset_if_bytes_are_unread_and_a_fin_otherwise() -> None:
    async def script(network: Network) -> None:
        client, server = await connect_pair(network)
        server.close()
        assert await client.recv() == b""
        await client.send_all(b"too late")  # arrives at a closed socket
        await trio.sleep(1.0)
        with pytest.raises(ConnectionResetError):
            await client.send(b"x")

    async def unread(network: Network) -> None:
        client, server = await connect_pair(network)
        await client.send_all(b"unread")
        await trio.sleep(1.0)
        server.close()
        with pytest.raises(ConnectionResetError):
            await client.recv()

    run_on_network(NetworkConditions(), script)
    run_on_network(NetworkConditions(), unread)


def test_a_one_way_partition_blocks_one_direction_and_delivers_its_bytes_after_healing() -> None:
    async def script(network: Network) -> None:
        client, server = await connect_pair(network)
        network.cut("c1", "r0")
        await client.send_all(b"delayed")
        await server.send_all(b"delivered")
        assert await client.recv() == b"delivered"
        with trio.move_on_after(20.0) as scope:
            await server.recv()
        assert scope.cancelled_caught
        network.heal("c1", "r0")
        assert await server.recv() == b"delayed"

    run_on_network(NetworkConditions(), script)


def test_connects_are_refused_without_a_listener_and_get_no_reply_from_unresponsive_hosts() -> None:
    async def script(network: Network) -> None:
        client_host, server_host = network.add_host("c1", "127.0.0.1"), network.add_host("r0", "127.0.0.2")
        with pytest.raises(OSError, match="refused"):
            await client_host.socket().connect(("127.0.0.2", 80))
        server_host.drops_syns = True
        with trio.move_on_after(60.0) as scope:
            await client_host.socket().connect(("127.0.0.2", 80))
        assert scope.cancelled_caught
        server_host.drops_syns = False
        server_host.go_offline()
        with trio.move_on_after(60.0) as scope:
            await client_host.socket().connect(("127.0.0.2", 80))
        assert scope.cancelled_caught

    run_on_network(NetworkConditions(), script)


def test_an_offline_host_does_not_reply_and_resets_old_connections_once_it_is_back() -> None:
    async def script(network: Network) -> None:
        client, server = await connect_pair(network)
        server.host.go_offline()
        await client.send_all(b"lost")
        with trio.move_on_after(60.0) as scope:
            await client.recv()
        assert scope.cancelled_caught
        server.host.come_back_online()
        await client.send_all(b"too late")
        with pytest.raises(ConnectionResetError):
            await client.recv()

    run_on_network(NetworkConditions(), script)


def test_readers_parse_messages_fed_byte_by_byte_and_report_their_offsets() -> None:
    text = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno"
    )
    reader = HttpReader(answers=True)
    items = [item for at in range(len(text)) for item in reader.feed(text[at : at + 1])]
    assert [type(i) for i in items] == [Head, Part, End, Head, Part, End]
    assert [i.end for i in items][-1] == len(text) and reader.is_between_messages
    with pytest.raises(ParseError):
        list(HttpReader(answers=True).feed(b"\x16\x03\x01 none of this\r\n\r\n"))
    with pytest.raises(ParseError):
        list(FrameReader(preface=True).feed(b"GET / HTTP/1.1\r\n\r\n and more of it"))


# The oracles, on hand-written exchanges: each must find its violation, and none in a correct exchange.

FIELDS = b"X-Trace-Id: q\r\nX-Expires-In: 1000000u\r\nContent-Length: 2\r\n"
REQUEST = b"POST /v1/chat/completions HTTP/1.1\r\n" + FIELDS + b"\r\n{}"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ONE, TWO, END = b"9\r\ndata: 1\n\n\r\n", b"9\r\ndata: 2\n\n\r\n", b"0\r\n\r\n"


class WireHarness:
    """The connections of a client, a router and two servers, with all sides played by the test."""

    def __init__(self, network: Network) -> None:
        self.network, self.checker = network, InvariantChecker(network)
        observe(self.checker)
        self.checker.record_targets("r0", [target("u1", 1), target("u2", 2)], True)

    async def open(self) -> None:
        self.client, self.front = await self._connect_pair("c1", "127.0.0.1", "r0", "127.0.0.2", 8080)
        self.server_connections = [
            await self._connect_pair("r0", "127.0.0.2", f"e{number}", f"127.0.2.{number}", 9000)
            for number in (1, 2)
        ]

    async def _connect_pair(
        self, client: str, client_address: str, server: str, server_address: str, port: int
    ) -> tuple[VirtualSocket, VirtualSocket]:
        client_host = self.network.hosts.get(client) or self.network.add_host(client, client_address)
        server_host = self.network.hosts.get(server) or self.network.add_host(server, server_address)
        listener = server_host.socket()
        await listener.bind((server_address, port))
        listener.listen(5)
        client_sock = client_host.socket()
        await client_sock.connect((server_address, port))
        server_sock, _ = await listener.accept()
        return client_sock, server_sock

    async def send_request(self) -> None:
        await self.client.send_all(REQUEST)
        await self.front.recv()

    async def send_attempt(self, index: int, *answer: bytes) -> None:
        router, server = self.server_connections[index]
        await router.send_all(REQUEST)
        await server.recv()
        for part in answer:
            await server.send_all(part)
            await router.recv()


def target(uid: str, number: int, state: str = "Ready") -> dict[str, str]:
    return {"uid": uid, "endpoint": f"127.0.2.{number}:9000", "state": state}


def violated_rules(exchange: Callable[[WireHarness], Awaitable[None]]) -> list[str]:
    """Play an exchange and return the rules that the oracles find violated."""
    rules: list[str] = []

    async def script(network: Network) -> None:
        harness = WireHarness(network)
        await harness.open()
        await exchange(harness)
        await trio.sleep(10.0)
        harness.checker.check_at_end()
        rules.extend(violation.rule for violation in harness.checker.violations)

    run_on_network(NetworkConditions(), script)
    return rules


def test_oracles_find_no_violation_in_an_answer_forwarded_as_it_arrives() -> None:
    async def exchange(w: WireHarness) -> None:
        await w.send_request()
        await w.send_attempt(0, HEAD + ONE)
        await w.front.send_all(HEAD + ONE)
        router, server = w.server_connections[0]
        await server.send_all(TWO + END)
        await router.recv()
        await w.front.send_all(TWO + END)

    assert violated_rules(exchange) == []


def test_oracles_find_missing_late_and_second_answers() -> None:
    async def silent(w: WireHarness) -> None:
        await w.send_request()

    async def late(w: WireHarness) -> None:
        await w.send_request()
        await trio.sleep(1.001)
        await w.front.send_all(b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n")

    async def twice(w: WireHarness) -> None:
        await w.send_request()
        for _ in range(2):
            await w.front.send_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    async def client_left(w: WireHarness) -> None:
        await w.send_request()
        w.client.close()

    assert (
        violated_rules(silent),
        violated_rules(late),
        violated_rules(twice),
        violated_rules(client_left),
    ) == (
        ["final"],
        ["in-time"],
        ["final"],
        [],
    )


def test_oracles_find_attempts_that_overlap_are_repeated_or_follow_a_drain_notice() -> None:
    refused = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"

    async def overlap(w: WireHarness) -> None:
        await w.send_attempt(0)
        await w.send_attempt(1)

    async def in_turn(w: WireHarness) -> None:
        await w.send_attempt(0, refused)
        await w.send_attempt(1)

    async def left_first(w: WireHarness) -> None:
        await w.send_attempt(0)
        w.server_connections[0][0].close()
        await w.send_attempt(1)

    async def again(w: WireHarness) -> None:
        await w.send_attempt(0, refused)
        await w.send_attempt(0)

    async def drained(w: WireHarness) -> None:
        w.checker.record_targets("r0", [target("u1", 1, "Terminating")], False)
        await trio.sleep(0.2)
        await w.send_attempt(0, refused)
        await trio.sleep(0.06)
        await w.send_attempt(1)

    async def after_drain(w: WireHarness) -> None:
        w.checker.record_targets("r0", [target("u1", 1, "Terminating")], False)
        await trio.sleep(0.26)
        await w.send_attempt(0)

    async def readdressed(w: WireHarness) -> None:
        w.checker.record_targets("r0", [target("u1", 1, "Gone"), target("u3", 1)], False)
        await trio.sleep(0.26)
        await w.send_attempt(0)

    assert [violated_rules(a) for a in (overlap, in_turn, left_first, again)] == [
        ["overlap"],
        [],
        [],
        ["resent"],
    ]
    assert [violated_rules(a) for a in (drained, after_drain, readdressed)] == [[], ["drain"], []]


def test_events_that_are_changed_delayed_or_cut_off_are_violations() -> None:
    async def forward(
        w: WireHarness, *parts: bytes, delay_s: float = 0.0, server_answer: bytes = HEAD + ONE + TWO + END
    ) -> None:
        await w.send_request()
        await w.send_attempt(0, server_answer)
        await trio.sleep(delay_s)
        for part in parts:
            await w.front.send_all(part)
        w.front.close()
        w.server_connections[0][0].close()

    def violated_when_forwarding(*parts: bytes, **kwargs: object) -> list[str]:
        return violated_rules(lambda w: forward(w, *parts, **kwargs))  # type: ignore[arg-type]

    assert violated_when_forwarding(HEAD + ONE + TWO + END) == []
    assert violated_when_forwarding(HEAD + TWO + ONE + END) == ["unchanged"]
    assert violated_when_forwarding(HEAD + ONE + END) == ["unchanged"]
    assert violated_when_forwarding(HEAD + ONE + TWO + END, delay_s=0.05) == ["at-once"]
    assert violated_when_forwarding(HEAD + ONE) == ["whole"]
    # The server's own stream has no end.
    assert violated_when_forwarding(HEAD + ONE + END, server_answer=HEAD + ONE) == ["unchanged"]
    # The router closes the stream before the server does.
    assert violated_when_forwarding(HEAD + ONE, server_answer=HEAD + ONE) == ["whole"]


# The router in the simulation.


def test_runs_of_one_seed_have_equal_traces_and_another_seed_differs() -> None:
    first, second, other = (
        run_scenario(draw(3), keep_trace=True),
        run_scenario(draw(3), keep_trace=True),
        run_scenario(draw(4)),
    )
    assert first.trace == second.trace and first.digest == second.digest != other.digest


@pytest.mark.parametrize("hash_seed", ["0", "77"])
def test_a_trace_is_equal_in_another_process_with_any_hash_seed(hash_seed: str) -> None:
    command = [sys.executable, "-m", "sorreldock", "lab", "explore", "--seed", "5", "--trace"]
    completed = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )
    assert (
        completed.returncode == 0
        and completed.stdout.splitlines() == run_scenario(draw(5), keep_trace=True).trace
    )


def test_compare_returns_the_first_step_that_differs() -> None:
    divergence = compare(9, ["a", "b", "c"], ["a", "x", "c"])
    assert divergence is not None and (divergence.step, divergence.first, divergence.second) == (2, "b", "x")
    assert compare(9, ["a"], ["a"]) is None
    longer = compare(9, ["a"], ["a", "b"])
    assert longer is not None and longer.step == 2


def test_guard_names_a_module_that_bypasses_the_system_interface() -> None:
    code = "import time\ndef look():\n    return time.time()\n"
    module: dict[str, object] = {"__name__": "sorreldock.routing.core"}
    exec(code, module)
    with (
        NondeterminismGuard(),
        pytest.raises(NondeterminismError, match=r"time\.time in sorreldock\.routing\.core, line 3"),
    ):
        module["look"]()  # type: ignore[operator]
    with NondeterminismGuard():
        assert time.time() > 0  # other modules may read the clock


def test_fixed_seeds_hold_all_rules_with_any_number_of_processes() -> None:
    seeds = range(1000, 1200)
    figures = exploring.explore(seeds, 8).figures()
    assert figures["violations"] == [] and figures["scenarios"] == len(seeds)
    assert figures["rpcs"] >= 15 * len(seeds) and set(figures["faults"]) == set(FAULTS)
    few_seeds = range(1000, 1010)
    assert (
        exploring.explore(few_seeds, 1).figures()["digest"]
        == exploring.explore(few_seeds, 3).figures()["digest"]
    )


async def step_before_fix(self: Exchange) -> None:
    for event in await self.connection.wire.receive() or ():
        self.handle_event(event)
    await self.connection.wire.flush()


async def answer_all_before_fix(self: Program) -> None:
    await self.core.wait_until_idle()
    with trio.move_on_after(2.0):  # ignores unanswered requests, which `Front.wait_closed` waits for now
        while any(front.clients for front in self.fronts.values()):
            await trio.sleep(0.01)


async def close_if_silent_before_fix(self: kserve_connection.ClientConnection) -> None:
    await trio.sleep(limits.HEAD_TIMEOUT_S)
    if not self.has_sent_request:
        self.scope.cancel()


def should_decide_before_fix(self: Core, event: Event) -> bool:
    self._report_unsent_attempt = lambda request, replica: None  # type: ignore[method-assign]
    return True


# For each scenario file the patch that reverts its fix, and the rule that the scenario breaks without it.
REVERTED_FIXES: dict[str, tuple[object, str, object, str]] = {
    "half-written-drain": (Subchannel, "_stop_writing", lambda self: trio.lowlevel.checkpoint(), "drain"),
    "idle-at-the-end": (Subchannel, "run", Subchannel._process_orders, "leak"),
    # The fix has a second part: a request whose client has left isn't passed to the module either. For
    # `_report_unsent_attempt` alone see test_decisions.py.
    "left-before-sent": (Core, "_should_decide", should_decide_before_fix, "leak"),
    "reset-after-goaway": (kserve_connection, "suppress", lambda *errors: nullcontext(), "whole"),
    "whole-before-close": (Exchange, "step", step_before_fix, "whole"),
    "call-to-a-drained-router": (
        kserve_connection.ClientConnection,
        "close_if_silent",
        close_if_silent_before_fix,
        "rest",
    ),
    "taken-while-closing": (Program, "_answer_all", answer_all_before_fix, "whole"),
}


@pytest.mark.parametrize("path", SCENARIO_FILES, ids=lambda p: p.stem)
def test_a_scenario_breaks_its_rule_without_the_fix_and_none_with_it(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_scenario(load(path)).violations == []
    owner, name, replacement, rule = REVERTED_FIXES[path.stem]
    monkeypatch.setattr(owner, name, replacement)
    assert rule in {v.rule for v in run_scenario(load(path)).violations}


def test_lost_answers_are_retried_with_eight_routers_and_little_traffic() -> None:
    """Guards against an answered probe that stops the check for late attempts.

    The request of a lost attempt then waited until its deadline.
    """
    requests = [
        plans.RequestPlan(at_s=0.2 + index / 10, router=index % 8, deadline_s=5.0) for index in range(96)
    ]
    faults = [plans.FaultPlan(kind="spoil", how="lost", at_s=8.9, target=index) for index in range(3)]
    servers, simulations = [plans.ServerPlan()] * 3, list[Simulation]()
    scenario = Scenario(seed=61, routers=8, probes=True, engines=servers, requests=requests, faults=faults)
    result = run_scenario(scenario, on_start=simulations.append)
    assert not result.violations and result.attempts > 100
    assert all(rpc.is_served for rpc in simulations[0].checker.rpcs)


def test_each_mutant_is_found_and_the_unmodified_router_breaks_no_rule() -> None:
    found = find_all(list(MUTANTS), range(500), 8)
    assert {f.mutant for f in found if f.seeds is None} == set()
    assert not any(run_scenario(draw(f.seed or 0)).violations for f in found)


def test_a_failing_scenario_shrinks_to_a_file_that_still_fails(tmp_path: Path) -> None:
    with mutated("second-attempt"):
        shrunk = shrink(draw(0), "overlap")
        path = tmp_path / "small.toml"
        path.write_bytes(dump(shrunk.scenario))
        assert load(path) == shrunk.scenario and breaks_rule(load(path), "overlap")
    assert len(shrunk.scenario.requests) == 1 and not shrunk.scenario.faults and shrunk.scenario.routers == 1
    with pytest.raises(ValueError, match="does not break"):
        shrink(shrunk.scenario, "overlap")


def test_a_run_that_never_rests_or_whose_time_stands_still_is_a_violation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run_forever(self: Program) -> None:
        while True:
            await trio.sleep(1.0)

    async def run_without_time_advancing(self: Program) -> None:
        while True:
            await trio.lowlevel.checkpoint()

    quiet = msgspec.structs.replace(draw(2), requests=[], faults=[], routers=1)
    for program_run in (run_forever, run_without_time_advancing):
        monkeypatch.setattr(Program, "run", program_run)
        monkeypatch.setattr(Program, "core", None, raising=False)
        assert "rest" in {v.rule for v in run_without_idle_check(quiet)}


def run_without_idle_check(scenario: Scenario) -> list[object]:
    from sorreldock.lab.simulation.runner import Simulation

    original = Simulation._check_idle
    Simulation._check_idle = lambda self: trio.sleep(1.0)  # type: ignore[method-assign,assignment]
    try:
        return list(run_scenario(scenario).violations)
    finally:
        Simulation._check_idle = original  # type: ignore[method-assign]


def exit_at_seed_three(pipe: Connection, mutant: str) -> None:
    """Act as a worker process that exits at seed 3."""
    with suppress(EOFError):
        while True:
            for seed in pipe.recv():
                pipe.send(seed)
                if seed == 3:
                    os._exit(7)
                pipe.send(exploring.ScenarioResult(seed, "", 1, 1, 0.0, [], {}))


def test_a_crash_of_a_worker_process_fails_only_its_seed() -> None:
    figures = exploring.explore(range(12), 2, worker_main=exit_at_seed_three).figures()
    assert figures["scenarios"] == 12
    [violation] = figures["violations"]
    assert violation["seed"] == 3 and violation["rule"] == "fault" and "status 7" in violation["text"]


def test_drawn_scenarios_round_trip_and_cover_all_documented_kinds(tmp_path: Path) -> None:
    kinds, clients = set(), set()
    for seed in range(300):
        scenario = draw(seed)
        path = tmp_path / "s.toml"
        path.write_bytes(dump(scenario))
        assert load(path) == scenario
        assert (
            1 <= scenario.routers <= 4 and 3 <= len(scenario.engines) <= 12 and len(scenario.requests) >= 20
        )
        assert {p.protocol for p in scenario.requests} == {"http", "kserve"} and len(scenario.faults) <= 5
        kinds |= {f.kind for f in scenario.faults}
        clients |= {p.client for p in scenario.requests}
    assert kinds == set(FAULTS) and clients == set(CLIENTS)
    assert all(name in simulation_commands.EXPLORE_HELP for name in [*FAULTS, *CLIENTS])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("seed = 1\n", "engines"),
        ("seed = 1\nengines = [{}]\n[[faults]]\nkind = 'slow'\nat_s = 1\ntarget = 4\n", "no target 4"),
        ("seed = 1\nengines = [{}]\n[[faults]]\nkind = 'rain'\nat_s = 1\n", "kind"),
        ("seed = 1\nengines = [{}]\n[[faults]]\nkind = 'spoil'\nat_s = 1\nhow = 'x'\n", "unknown spoil 'x'"),
        ("seed = 1\nengines = [{}]\n[[requests]]\nat_s = 1\nrouter = 2\n", "no router 2"),
        ("seed = 1\nengines = [{}]\nwind = 3\n", "wind"),
    ],
)
def test_an_invalid_scenario_is_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(LabError, match=expected):
        load(path)
    completed = run_command("explore", "--scenario", str(path))
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1 and expected in completed.stderr


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sorreldock", "lab", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_commands_print_json_and_return_exit_statuses(tmp_path: Path) -> None:
    figures = json.loads(run_command("explore", "--seeds", "0:6", "--jobs", "2", "--json").stdout)
    assert {"scenarios", "rpcs", "attempts", "virtual_s", "wall_s", "violations", "faults", "digest"} <= set(
        figures
    )
    path = tmp_path / "small.toml"
    failed = run_command(
        "explore", "--seed", "0", "--mutant", "second-attempt", "--json", "--shrink", str(path)
    )
    violation = json.loads(failed.stdout)["violations"][0]
    assert failed.returncode == 1 and {"seed", "rule", "at_s", "last"} <= set(violation) and violation["last"]
    assert run_command("explore", "--scenario", str(path)).returncode == 0  # without the mutant
    assert run_command("explore", "--scenario", str(path), "--mutant", "second-attempt").returncode == 1
    rows = json.loads(run_command("mutants", "--mutant", "second-attempt", "--seeds", "0:5", "--json").stdout)
    assert rows[0]["mutant"] == "second-attempt" and rows[0]["seeds"] >= 1
    for arguments in (
        ("explore",),
        ("explore", "--seed", "1", "--mutant", "none"),
        ("mutants", "--mutant", "none"),
        ("plants", "--seeds", "0:5"),  # the former name of the command
    ):
        completed = run_command(*arguments)
        assert (
            completed.returncode == 2
            and completed.stderr.startswith("sorreldock: ")
            and completed.stderr.count("\n") == 1
        )
