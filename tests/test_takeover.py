"""Stories of two processes that are one router: on real processes, and on their records alone."""

from __future__ import annotations

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
from test_program import ROOT, until, written

from sorreldock.interface import ListKind, ReplicaState
from sorreldock.program import handover
from sorreldock.program.takeover import NAME, Link, Takeover
from sorreldock.routing.types import ResolverResult, Target
from sorreldock.transport.budget import DescriptorBudget, Use

POST = "/v1/chat/completions"


@dataclass
class Site:
    """A platform that holds the clients' socket, and starts processes on it."""

    address: str
    environment: dict[str, str]
    held: socket.socket
    engine: ScriptedServer
    processes: list[Any] = field(default_factory=list)

    async def start(self, ready: bytes = b" serving") -> tuple[Any, bytes]:
        process = await trio.lowlevel.open_process(
            [sys.executable, "-B", "-m", "sorreldock", "serve"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={**os.environ, **self.environment},
            pass_fds=[self.held.fileno()],
        )
        self.processes.append(process)
        return process, await until(process, b"", ready)

    async def connect(self) -> HttpConnection:
        host, port = self.address.rsplit(":", 1)
        return HttpConnection(await trio.open_tcp_stream(host, int(port)), h11.CLIENT)


@asynccontextmanager
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    engine = ScriptedServer()
    discovery = Discovery(engine)
    with socket.create_server(("127.0.0.1", 0)) as held:
        address = f"127.0.0.1:{held.getsockname()[1]}"
        async with engine.open(), discovery.open():
            environment = written(
                tmp_path,
                discovery=discovery.address,
                known=discovery.listing(),
                listen=address,
                console="127.0.0.1:0",
            )
            environment.update(RELAY_INHERITED_FD=str(held.fileno()), TMPDIR=str(tmp_path))
            made = Site(address, environment, held, engine)
            try:
                yield made
            finally:
                for process in made.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()


def ask(name: str) -> list[h11.Event]:
    return [request("POST", POST, b"", {**FIELDS, "x_trace_id": name}), h11.EndOfMessage()]


async def served(wire: HttpConnection, name: str) -> None:
    await wire.send(*ask(name))
    assert (await read_answer(wire)).whole


@trio_test
async def test_no_connection_is_refused_reset_or_left_unread_when_one_process_follows_another(
    tmp_path: Path,
) -> None:
    finish = trio.Event()
    slowly = stream_until(finish)
    async with site(tmp_path) as here:
        first, _ = await here.start()
        idle, busy, half, unread = [await here.connect() for _ in range(4)]
        await served(idle, "idle")
        here.engine.scripts.append(slowly)
        await busy.send(*ask("busy"))
        assert (await busy.next()).status_code == 200
        [head, _] = ask("half")
        await half.stream.send_all((half.parser.send(head) or b"")[:40])
        second, said = await here.start()
        assert b"follows a process that serves" in said
        first.send_signal(signal.SIGTERM)
        await until(first, b"", b" draining")
        finish.set()
        assert isinstance(await busy.next(), h11.Data)
        while not isinstance(await busy.next(), h11.EndOfMessage):
            pass
        half.parser = h11.Connection(h11.CLIENT)
        await half.stream.send_all((half.parser.send(head) or b"")[40:])
        await half.send(h11.EndOfMessage())
        got = await read_answer(half)
        assert got.whole and "connection" not in got.headers
        await served(unread, "unread")
        assert await first.wait() == 0
        for number, wire in enumerate((idle, busy, half, unread)):  # all go on, at the second process
            wire.parser.start_next_cycle()
            await served(wire, f"again-{number}")
        await served(await here.connect(), "new")
        assert (tmp_path / NAME).is_socket()
        second.send_signal(signal.SIGTERM)
        assert await second.wait() == 0
        assert not (tmp_path / NAME).exists()


@pytest.mark.parametrize("kind", ["stale file", "stuck", "another version", "noise"])
@trio_test
async def test_a_predecessor_that_is_no_use_leaves_the_new_process_working_alone(
    tmp_path: Path, kind: str
) -> None:
    listener = trio.socket.socket(socket.AF_UNIX)
    await listener.bind(str(tmp_path / NAME))
    async with site(tmp_path) as here, trio.open_nursery() as nursery:

        async def speak() -> None:
            sock, _ = await listener.accept()
            await sock.recv(4096)
            if kind == "another version":
                await sock.send(handover.encode("state", version=handover.VERSION + 1))
            elif kind == "noise":
                await sock.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            await trio.sleep_forever()

        if kind == "stale file":
            listener.close()
        else:
            listener.listen(1)
            nursery.start_soon(speak)
        first, said = await here.start()
        assert b"working alone" in said
        await served(await here.connect(), "alone")
        second, said = await here.start()  # and it can be followed in its turn
        assert b"follows a process that serves" in said
        first.kill()  # one that dies leaves its successor serving
        await until(second, b"", b"out of touch")
        await served(await here.connect(), "after")
        nursery.cancel_scope.cancel()
    listener.close()


def test_records_come_whole_and_nothing_else_passes() -> None:
    sent = handover.encode("tell", used=3) + handover.encode("news", list={})
    records = handover.Records()
    found = [record["kind"] for byte in sent for record in records.feed(bytes([byte]))]
    assert found == ["tell", "news"]
    feeds = (b"\xff\xff\xff\xff", b"\x00\x00\x00\x02[]", b"\x00\x00\x00\x01{", b"\x00\x00\x00\x02{}")
    calls = [partial(handover.Records().feed, data) for data in feeds]
    calls += [partial(handover.number, {"used": value}, "used") for value in (-1, True, "3", None)]
    calls += [partial(handover.counts, {"out": value}, "out") for value in ({"x": 1}, {"1": "x"}, [])]
    calls += [
        partial(handover.number, {}, "used"),
        partial(handover.encode, "state", text="x" * handover.LONGEST),
    ]
    for broken in calls:
        with pytest.raises(handover.Broken):
            broken()


def test_two_processes_never_hold_more_descriptors_than_one_may() -> None:
    usable = 300
    assert handover.portion(usable, 280, False, 0, False) == 150  # of the old one, which holds 280
    for held, new_may in ((280, 20), (150, 150)):  # before it has let go, and then
        assert handover.portion(usable, 0, False, held, False) == new_may
    for held in (150, 90, 10, 0):  # the old one leaves, and what it lets go is the new one's
        leaves = handover.portion(usable, held, True, 150, False)
        assert leaves + handover.portion(usable, 0, False, held, True) <= usable
    assert handover.portion(usable, 0, False, 0, True) == usable - handover.LEAVERS_PART
    budget = DescriptorBudget(364)
    assert all(budget.acquire(use) for use in (Use.CLIENT, Use.ENGINE) for _ in range(40))
    budget.set_portion(handover.portion(usable, 80, True, 0, False), leaving=True)
    assert not budget.acquire(Use.CLIENT)  # nobody new, but attempts of what it has taken
    assert sum(budget.acquire(Use.ENGINE) for _ in range(100)) == handover.LEAVERS_PART


def target(state: ReplicaState, started_at: float = 0.0, uid: str = "e1") -> Target:
    return Target(uid, "127.0.0.1:1", "a", state=state, started_at=started_at)


@dataclass
class Told:
    """A core that notes what it hears of the other processes."""

    uids: set[str] = field(default_factory=set)
    counts: dict[int, int] = field(default_factory=dict)

    def apply_resolver_result(self, result: ResolverResult) -> None:
        self.uids |= {t.uid for t in result.targets if t.state is ReplicaState.DRAINING}

    def attempts_in_flight(self) -> dict[int, int]:
        return {7: 2}

    def set_peer_attempts(self, counts: dict[int, int]) -> None:
        self.counts = counts


@trio_test
async def test_each_notice_reaches_every_other_process_and_what_is_out_counts() -> None:
    """One that follows may have a predecessor that still ends and a successor that has just begun."""
    cores = [Told() for _ in range(3)]
    made = [
        Takeover("", c, None, DescriptorBudget(364), lambda *a, **k: None, 1, lambda o: None) for c in cores
    ]  # type: ignore[arg-type]
    async with trio.open_nursery() as nursery:
        for a, b in ((0, 1), (1, 2)):
            for one, end in zip((a, b), trio.socket.socketpair(), strict=True):
                link = Link(end)
                made[one]._add(link)
                nursery.start_soon(made[one]._converse, link, None)
        ended = {f"e{number}" for number in range(1024)}  # each in a list of its own, before anybody is told
        for version, uid in enumerate(sorted(ended), start=7):
            made[1].took(ResolverResult(ListKind.DELTA, (target(ReplicaState.DRAINING, uid=uid),), version))
        while [core.uids for core in cores] != [ended, set(), ended] or cores[1].counts != {7: 4}:
            await trio.sleep(0.005)
        nursery.cancel_scope.cancel()
    assert cores[1].uids == set() and cores[1].counts == {}  # alone again: nothing is out elsewhere


def test_a_drain_notice_holds_for_the_process_whose_own_list_is_behind() -> None:
    notices = handover.Notices()
    draining = ResolverResult(ListKind.DELTA, (target(ReplicaState.DRAINING),), 7)
    assert notices.news(draining) == draining.targets
    notices.heard(draining)
    behind = ResolverResult(ListKind.FULL, (target(ReplicaState.READY),), 6)
    assert notices.held(behind).targets == ()
    assert notices.held(ResolverResult(ListKind.DELTA, draining.targets, 5)).targets == draining.targets
    successor = ResolverResult(ListKind.DELTA, (target(ReplicaState.READY, 9.0),), 6)
    assert notices.held(successor) == successor
    notices.heard(draining)
    level = ResolverResult(ListKind.FULL, (target(ReplicaState.READY),), 8)
    assert notices.held(level) == level and notices.held(behind) == behind
