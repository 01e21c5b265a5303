"""Tests of the takeover between two processes of a router: with real processes, and of its records alone."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import h11
import pytest
import trio
from grpc_peers import Client as GrpcClient
from grpc_peers import H2Endpoint
from peers import (
    FIELDS,
    Discovery,
    HttpConnection,
    ScriptedServer,
    read_answer,
    request,
    stream_until,
    trio_test,
)
from test_program import ROOT, read_log_until, write_config

from sorreldock.interface import ListKind, ReplicaState
from sorreldock.kserve.framing import Code
from sorreldock.lab.processes import free_port
from sorreldock.program import handover
from sorreldock.program.takeover import SOCKET_NAME, Link, Takeover
from sorreldock.routing.types import ResolverResult, Target
from sorreldock.transport.budget import DescriptorBudget, Use

POST = "/v1/chat/completions"


@dataclass
class Platform:
    """A platform that opens the clients' listening socket and starts router processes on it."""

    address: str
    environment: dict[str, str]
    listener: socket.socket
    server: ScriptedServer
    processes: list[Any] = field(default_factory=list)

    async def start(self, ready: bytes = b" serving") -> tuple[Any, bytes]:
        process = await trio.lowlevel.open_process(
            [sys.executable, "-B", "-m", "sorreldock", "serve"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, **self.environment},
            pass_fds=[self.listener.fileno()],
        )
        self.processes.append(process)
        return process, await read_log_until(process, b"", ready)

    async def connect(self) -> HttpConnection:
        host, port = self.address.rsplit(":", 1)
        return HttpConnection(await trio.open_tcp_stream(host, int(port)), h11.CLIENT)


@asynccontextmanager
async def running_platform(tmp_path: Path) -> AsyncIterator[Platform]:
    server = ScriptedServer()
    discovery = Discovery(server)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with server.open(), discovery.open():
            environment = write_config(
                tmp_path,
                discovery=discovery.address,
                known=discovery.listing(),
                listen=address,
                console="127.0.0.1:0",
            )
            environment.update(RELAY_INHERITED_FD=str(listener.fileno()), TMPDIR=str(tmp_path))
            created = Platform(address, environment, listener, server)
            try:
                yield created
            finally:
                for process in created.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()


def post_events(name: str) -> list[h11.Event]:
    return [request("POST", POST, b"", {**FIELDS, "x_trace_id": name}), h11.EndOfMessage()]


async def assert_served(wire: HttpConnection, name: str) -> None:
    await wire.send(*post_events(name))
    assert (await read_answer(wire)).whole


@trio_test
async def test_no_connection_is_refused_reset_or_left_unread_during_a_takeover(
    tmp_path: Path,
) -> None:
    finish = trio.Event()
    script = stream_until(finish)
    async with running_platform(tmp_path) as platform:
        first, _ = await platform.start()
        idle, busy, partial_request, unread = [await platform.connect() for _ in range(4)]
        await assert_served(idle, "idle")
        platform.server.scripts.append(script)
        await busy.send(*post_events("busy"))
        assert (await busy.next()).status_code == 200
        [head, _] = post_events("half")
        await partial_request.stream.send_all((partial_request.parser.send(head) or b"")[:40])
        second, log = await platform.start()
        assert b"took over the predecessor's state" in log
        first.send_signal(signal.SIGTERM)
        await read_log_until(first, b"", b" draining")
        finish.set()
        assert isinstance(await busy.next(), h11.Data)
        while not isinstance(await busy.next(), h11.EndOfMessage):
            pass
        partial_request.parser = h11.Connection(h11.CLIENT)
        await partial_request.stream.send_all((partial_request.parser.send(head) or b"")[40:])
        await partial_request.send(h11.EndOfMessage())
        answer = await read_answer(partial_request)
        assert answer.whole and "connection" not in answer.headers
        await assert_served(unread, "unread")
        assert await first.wait() == 0
        # The second process serves all of them.
        for number, wire in enumerate((idle, busy, partial_request, unread)):
            wire.parser.start_next_cycle()
            await assert_served(wire, f"again-{number}")
        await assert_served(await platform.connect(), "new")
        assert (tmp_path / SOCKET_NAME).is_socket()
        second.send_signal(signal.SIGTERM)
        assert await second.wait() == 0
        assert not (tmp_path / SOCKET_NAME).exists()


def make_classes_unsafe(environment: dict[str, str]) -> None:
    path = Path(environment["RELAY_CONFIG"])
    config = json.loads(path.read_text())
    for category in config["settings"]["categories"]:
        category["effect"] = "unsafe"
    path.write_text(json.dumps(config))


@trio_test
async def test_no_unsafe_request_runs_twice_when_its_id_comes_again_at_the_other_process(
    tmp_path: Path,
) -> None:
    names = [f"t{number}" for number in range(12)]  # either process may accept each connection
    async with running_platform(tmp_path) as platform:
        make_classes_unsafe(platform.environment)
        await platform.start()
        await assert_served(await platform.connect(), "before")
        await platform.start()
        for name in names:
            await assert_served(await platform.connect(), name)
        await trio.sleep(0.3)
        for name in ["before", *names, *names]:
            wire = await platform.connect()
            await wire.send(*post_events(name))
            assert (await read_answer(wire)).status == 409
        received = [r.headers["x-trace-id"] for r in platform.server.received_requests]
        assert received == ["before", *names]


# Guards against an upgrade that ends the new process, since the old one listens on the KServe port.
@trio_test
async def test_both_processes_of_a_takeover_serve_the_kserve_front(tmp_path: Path) -> None:
    async with running_platform(tmp_path) as platform:
        address = f"127.0.0.1:{free_port()}"
        operator = tmp_path / "operator.toml"
        operator.write_text(
            f'[kserve]\nlisten = "{address}"\nmodels = ["desc"]\n[engines]\nprotocols = ["http", "kserve"]\n'
        )
        platform.environment["SORRELDOCK_OPERATOR"] = str(operator)
        first, _ = await platform.start()
        assert await is_live(address)
        second, _ = await platform.start()
        first.send_signal(signal.SIGTERM)
        assert await first.wait() == 0
        assert await is_live(address) and second.returncode is None
        second.send_signal(signal.SIGTERM)
        assert await second.wait() == 0


async def is_live(address: str) -> bool:
    """Ask the KServe front at this address whether it is live."""
    host, port = address.rsplit(":", 1)
    async with await trio.open_tcp_stream(host, int(port)) as stream, trio.open_nursery() as nursery:
        endpoint = H2Endpoint(stream, client=True)
        nursery.start_soon(endpoint.read)
        status, _ = await GrpcClient(endpoint).call("ServerLive", b"")
        nursery.cancel_scope.cancel()
    return status == Code.OK


@pytest.mark.parametrize("fault", ["stale file", "stuck", "another version", "noise"])
@trio_test
async def test_an_unusable_predecessor_leaves_the_new_process_working_alone(
    tmp_path: Path, fault: str
) -> None:
    listener = trio.socket.socket(socket.AF_UNIX)
    await listener.bind(str(tmp_path / SOCKET_NAME))
    async with running_platform(tmp_path) as platform, trio.open_nursery() as nursery:

        async def answer_as_predecessor() -> None:
            sock, _ = await listener.accept()
            await sock.recv(4096)
            if fault == "another version":
                await sock.send(handover.encode("state", version=handover.VERSION + 1))
            elif fault == "noise":
                await sock.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            await trio.sleep_forever()

        if fault == "stale file":
            listener.close()
        else:
            listener.listen(1)
            nursery.start_soon(answer_as_predecessor)
        first, log = await platform.start()
        assert b"no state taken over from a predecessor process" in log
        await assert_served(await platform.connect(), "alone")
        second, log = await platform.start()  # and it can have a successor itself
        assert b"took over the predecessor's state" in log
        first.kill()  # the successor survives its predecessor's crash
        await read_log_until(second, b"", b"the connection to the peer process has ended")
        await assert_served(await platform.connect(), "after")
        nursery.cancel_scope.cancel()
    listener.close()


def test_records_are_parsed_from_any_pieces_and_malformed_ones_are_rejected() -> None:
    encoded = handover.encode("tell", used=3) + handover.encode("news", list={})
    records = handover.Records()
    kinds = [record["kind"] for byte in encoded for record in records.feed(bytes([byte]))]
    assert kinds == ["tell", "news"]
    feeds = (b"\xff\xff\xff\xff", b"\x00\x00\x00\x02[]", b"\x00\x00\x00\x01{", b"\x00\x00\x00\x02{}")
    invalid = [partial(handover.Records().feed, data) for data in feeds]
    invalid += [partial(handover.count_field, {"used": value}, "used") for value in (-1, True, "3", None)]
    invalid += [partial(handover.counts_field, {"out": value}, "out") for value in ({"x": 1}, {"1": "x"}, [])]
    invalid += [
        partial(handover.count_field, {}, "used"),
        partial(handover.encode, "state", text="x" * handover.MAX_RECORD_BYTES),
    ]
    for reject in invalid:
        with pytest.raises(handover.PeerProtocolError):
            reject()


def test_two_processes_together_never_use_more_descriptors_than_one_may() -> None:
    usable = 300
    # The predecessor uses 280.
    assert handover.descriptor_share(usable, 280, False, 0, False) == 150
    for used, new_share in ((280, 20), (150, 150)):  # before and after it has released its surplus
        assert handover.descriptor_share(usable, 0, False, used, False) == new_share
    for used in (150, 90, 10, 0):  # the predecessor leaves, and the successor gets what it releases
        leaving_share = handover.descriptor_share(usable, used, True, 150, False)
        assert leaving_share + handover.descriptor_share(usable, 0, False, used, True) <= usable
    assert (
        handover.descriptor_share(usable, 0, False, 0, True) == usable - handover.LEAVING_PROCESS_DESCRIPTORS
    )
    budget = DescriptorBudget(364)
    assert all(budget.acquire(use) for use in (Use.CLIENT, Use.SERVER) for _ in range(40))
    budget.set_portion(handover.descriptor_share(usable, 80, True, 0, False), leaving=True)
    assert not budget.acquire(Use.CLIENT)  # no new clients, but attempts of open requests
    assert sum(budget.acquire(Use.SERVER) for _ in range(100)) == handover.LEAVING_PROCESS_DESCRIPTORS


def target(state: ReplicaState, started_at: float = 0.0, uid: str = "e1") -> Target:
    return Target(uid, "127.0.0.1:1", "a", state=state, started_at=started_at)


@dataclass
class RecordingCore:
    """A core that records what it receives of the peer processes."""

    uids: set[str] = field(default_factory=set)
    counts: dict[int, int] = field(default_factory=dict)

    def apply_resolver_result(self, result: ResolverResult) -> None:
        self.uids |= {t.uid for t in result.targets if t.state is ReplicaState.DRAINING}

    def attempts_in_flight(self) -> dict[int, int]:
        return {7: 2}

    def set_peer_attempts(self, counts: dict[int, int]) -> None:
        self.counts = counts


@trio_test
async def test_drain_notices_and_open_attempts_reach_every_peer_process() -> None:
    """A process may have a predecessor that is still exiting and a successor that has just started."""
    cores = [RecordingCore() for _ in range(3)]
    takeovers = [
        Takeover("", c, None, DescriptorBudget(364), lambda *a, **k: None, 1, lambda o: None) for c in cores
    ]  # type: ignore[arg-type]
    async with trio.open_nursery() as nursery:
        for predecessor, successor in ((0, 1), (1, 2)):
            for index, end in zip((predecessor, successor), trio.socket.socketpair(), strict=True):
                link = Link(end)
                takeovers[index].add_link(link)
                nursery.start_soon(takeovers[index]._run_link, link, None)
        # Each is in a result of its own, before any is sent.
        draining_uids = {f"e{number}" for number in range(1024)}
        for version, uid in enumerate(sorted(draining_uids), start=7):
            takeovers[1].on_watch_result(
                ResolverResult(ListKind.DELTA, (target(ReplicaState.DRAINING, uid=uid),), version)
            )
        while [core.uids for core in cores] != [draining_uids, set(), draining_uids] or cores[1].counts != {
            7: 4
        }:
            await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    assert cores[1].uids == set() and cores[1].counts == {}  # alone again: no attempt is open elsewhere


def test_a_drain_notice_applies_to_a_process_whose_list_is_behind() -> None:
    notices = handover.DrainNotices()
    draining = ResolverResult(ListKind.DELTA, (target(ReplicaState.DRAINING),), 7)
    assert notices.notices_in(draining) == draining.targets
    notices.receive(draining)
    behind = ResolverResult(ListKind.FULL, (target(ReplicaState.READY),), 6)
    assert notices.without_outdated(behind).targets == ()
    assert (
        notices.without_outdated(ResolverResult(ListKind.DELTA, draining.targets, 5)).targets
        == draining.targets
    )
    successor = ResolverResult(ListKind.DELTA, (target(ReplicaState.READY, 9.0),), 6)
    assert notices.without_outdated(successor) == successor
    notices.receive(draining)
    current = ResolverResult(ListKind.FULL, (target(ReplicaState.READY),), 8)
    assert notices.without_outdated(current) == current and notices.without_outdated(behind) == behind
