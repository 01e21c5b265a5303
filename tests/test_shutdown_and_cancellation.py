"""Requests that are owed an answer, or must not be sent on, when something ends at the wrong moment."""

from __future__ import annotations

import errno
import socket
from typing import Any

import pytest
import trio
import trio.testing
from grpc_peers import BOTH, SharedEngine, Stream, grpc_client
from grpc_peers import request as grpc_request
from peers import Discovery, ReceivedRequest, ScriptedServer, running_router, stream_until, trio_test
from test_bad_days import all_of, raw

from sorreldock.kserve.framing import Code
from sorreldock.program import serve as program_serve
from sorreldock.program.phases import Phase
from sorreldock.protocol.http.arrivals import Arrivals
from sorreldock.protocol.http.discovery import decode_result
from sorreldock.transport.budget import DescriptorBudget, Use
from sorreldock.transport.connection import Connection
from sorreldock.transport.listener import Listener

LAST_CHUNK = b"\r\n0\r\n\r\n"


async def pass_by(passes: int = 50) -> None:
    """Let every task that can go on do so, without waiting for time to pass."""
    for _ in range(passes):
        await trio.testing.wait_all_tasks_blocked()


@trio_test
async def test_a_client_that_leaves_behind_more_than_is_kept_ahead_is_seen() -> None:
    taken, left = trio.Event(), trio.Event()

    async def hold(call: ReceivedRequest) -> None:
        taken.set()
        await call.wait_closed()
        left.set()

    engine = ScriptedServer(hold)
    async with running_router(engine) as router:
        wire = await router.start_post()
        await taken.wait()
        await wire.stream.send_all(raw(x_trace_id=b"ahead", body=b"x" * 200_000) * 5)
        await wire.stream.aclose()
        with trio.fail_after(1.0):
            await left.wait()
    assert len(engine.received_requests) == 1 and router.program.payloads.used == 0


@trio_test
async def test_an_end_behind_more_than_the_ring_holds_is_seen_without_reading() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    ours.setblocking(False)
    connection = Connection(trio.socket.from_stdlib_socket(ours), lambda: None)
    theirs.sendall(b"x" * 50_000)
    assert not connection.has_peer_closed()
    theirs.close()  # loopback delivers it before the call returns
    assert connection.has_peer_closed()
    connection.close()


@trio_test
async def test_of_too_many_requests_ahead_the_kept_ones_are_served_and_the_next_is_refused() -> None:
    finish, engine = trio.Event(), ScriptedServer()
    engine.scripts.append(stream_until(finish))
    async with running_router(engine) as router:
        wire = await router.connect()
        await wire.stream.send_all(raw(x_trace_id=b"t0"))
        await wire.stream.receive_some(65536)
        with trio.fail_after(2.0):  # all of it is read while the first answer is still going on
            for n in range(1, 40):
                await wire.stream.send_all(raw(x_trace_id=b"t%d" % n, body=b"x" * 150_000))
        finish.set()
        said = await all_of(wire.stream)
    assert said.count(LAST_CHUNK) == 2 and said.count(b"HTTP/1.1 503") == 1
    assert b"connection: close" in said[said.index(b"HTTP/1.1 503") :]
    assert [call.headers["x-trace-id"] for call in engine.received_requests] == ["t0", "t1"]
    assert router.program.payloads.used == 0


@trio_test
async def test_the_clock_of_a_request_sent_ahead_runs_from_its_own_bytes() -> None:
    finish, engine = trio.Event(), ScriptedServer()
    engine.scripts.append(stream_until(finish))
    async with running_router(engine) as router:
        wire = await router.connect()
        for trace in (b"t0", b"t1", b"t2"):  # each is read before the next is sent
            await wire.stream.send_all(raw(x_trace_id=trace, x_expires_in=b"1900m"))
            await trio.testing.wait_all_tasks_blocked(0.3)
        finish.set()
        said = b""
        while said.count(LAST_CHUNK) < 3:
            said += await wire.stream.receive_some(65536)
    told = [int(call.headers["x-expires-in"][:-1]) / 1e6 for call in engine.received_requests]
    assert told[1] < 1.4 and told[1] < told[2] - 0.25


def test_arrival_times_follow_the_bytes_that_were_parsed() -> None:
    arrivals = Arrivals(1.0)
    for count, now in ((10, 2.0), (5, 2.004), (20, 3.0), (7, 4.0)):
        arrivals.add(count, now)
    assert arrivals.latest == 4.0
    assert [arrivals.of_last_parsed(left) for left in (32, 27, 26, 7, 6, 0)] == [2.0, 2.0, 3.0, 3.0, 4.0, 4.0]


@trio_test
async def test_connections_in_the_backlog_are_served_when_the_listener_closes() -> None:
    budget = DescriptorBudget(1024)
    listener = Listener("127.0.0.1:0", budget)
    host, port = (await listener.bind()).rsplit(":", 1)
    await listener.listen()
    served: list[bytes] = []

    async def handle(connection: Connection) -> None:
        served.append(await connection.receive())
        await connection.send(b"answered")

    clients = [socket.create_connection((host, int(port))) for _ in range(5)]  # the kernel accepts them
    for number, client in enumerate(clients):
        client.sendall(b"request %d" % number)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, nursery, handle)
        listener.close()
    assert sorted(served) == [b"request %d" % number for number in range(5)]
    assert [client.recv(100) for client in clients] == [b"answered"] * 5
    assert budget.used[Use.CLIENT] == 0
    for client in clients:
        client.close()


class ShortOfDescriptors:
    """A listening socket whose first accepts fail as they do when the system has no descriptor left."""

    def __init__(self, sock: Any, failures: int) -> None:
        self.sock, self.failures = sock, failures

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def __enter__(self) -> None:
        self.sock.__enter__()

    def __exit__(self, *error: Any) -> None:
        self.sock.__exit__(*error)

    async def accept(self) -> Any:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return await self.sock.accept()


@trio_test
async def test_the_backlog_is_served_though_accepts_fail_for_a_moment_as_the_listener_closes() -> None:
    budget = DescriptorBudget(1024)
    listener = Listener("127.0.0.1:0", budget)
    host, port = (await listener.bind()).rsplit(":", 1)
    await listener.listen()
    short = listener._sock = ShortOfDescriptors(listener._sock, 3)
    clients = [socket.create_connection((host, int(port))) for _ in range(5)]
    for client in clients:
        client.sendall(b"request")

    async def handle(connection: Connection) -> None:
        await connection.send(b"answer to " + await connection.receive())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, nursery, handle)
        listener.close()
    for client in clients:
        client.settimeout(5.0)
        assert client.recv(100) == b"answer to request"
        client.close()
    assert short.failures == 0 and budget.used[Use.CLIENT] == 0


@trio_test
async def test_a_newcomer_is_served_once_there_are_descriptors_again() -> None:
    budget = DescriptorBudget(1024)
    listener = Listener("127.0.0.1:0", budget)
    host, port = (await listener.bind()).rsplit(":", 1)
    await listener.listen()
    short = listener._sock = ShortOfDescriptors(listener._sock, 3)

    async def handle(connection: Connection) -> None:
        await connection.send(await connection.receive())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, nursery, handle)
        client = await trio.open_tcp_stream(host, int(port))
        await client.send_all(b"request")
        assert await client.receive_some(100) == b"request" and short.failures == 0
        await client.aclose()
        listener.close()
    assert budget.used[Use.CLIENT] == 0


@trio_test
async def test_a_request_half_read_at_the_end_of_the_drain_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(program_serve, "CONNECTIONS_END_S", 0.0)
    engine = ScriptedServer()
    async with running_router(engine) as router:
        wire = await router.connect()
        sent = raw(body=b"x" * 8)
        await wire.stream.send_all(sent[:-4])
        await trio.testing.wait_all_tasks_blocked(0.05)  # until it has been read
        router.program.linger_s = 0.0
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        await pass_by()
        assert router.program.lifecycle.phase is Phase.DRAINING
        await wire.stream.send_all(sent[-4:])
        assert LAST_CHUNK in await all_of(wire.stream)
    assert len(engine.received_requests) == 1


@trio_test
async def test_nobody_can_connect_before_the_program_serves() -> None:
    listener = Listener("127.0.0.1:0", DescriptorBudget(1024))
    host, port = (await listener.bind()).rsplit(":", 1)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((host, int(port)))
    await listener.listen()
    socket.create_connection((host, int(port))).close()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, nursery, Connection.receive)
        listener.close()


@pytest.mark.parametrize("late", [False, True])
@trio_test
async def test_what_is_whole_too_late_before_a_kill_is_refused_at_once(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(program_serve, "LAST_TAKEN_S", 0.0 if late else 60.0)
    engine = ScriptedServer()
    async with running_router(engine) as router:
        wire = await router.connect()
        sent = raw(body=b"x" * 8)
        await wire.stream.send_all(sent[:-4])
        await trio.testing.wait_all_tasks_blocked(0.05)
        router.program.linger_s = 0.0
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        await wire.stream.send_all(sent[-4:])
        said = await all_of(wire.stream)
        assert said.startswith(b"HTTP/1.1 503" if late else b"HTTP/1.1 200")
        assert b"connection: close" in said
    assert len(engine.received_requests) == (not late)


@trio_test
async def test_a_grpc_call_that_comes_too_late_before_a_kill_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engine = SharedEngine()
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        router.program.fronts["kserve"].refuse_requests_from = trio.current_time()
        assert (await client.call("ModelInfer", grpc_request()))[0] == Code.UNAVAILABLE
    assert not engine.grpc_calls


@trio_test
async def test_a_drain_does_not_reset_an_answer_behind_which_bytes_still_come() -> None:
    async with running_router(ScriptedServer()) as router:
        wire = await router.connect()
        await wire.stream.send_all(raw(x_qos=b"nothing", length=b"999"))
        front = router.program.fronts["http"]
        while not any(client.is_closing for client in front.clients):
            await trio.sleep(0.005)
        await front.drain()
        await pass_by()
        assert len(front.clients) == 1  # it reads on until the client ends
        await wire.stream.send_all(b"x" * 999)
        said = await all_of(wire.stream)
        assert said.startswith(b"HTTP/1.1 400") and said.endswith(b"\n")
        await wire.stream.aclose()


@trio_test
async def test_a_grpc_cancel_is_heard_though_the_client_reads_nothing() -> None:
    taken, left = trio.Event(), trio.Event()

    async def flood(call: Stream) -> None:
        await call.start()
        for _ in range(200):
            await call.send(b"x" * 60_000)
        await call.finish(0)

    async def hold(call: Stream) -> None:
        taken.set()
        while not call.end.closed and call.reset is None:
            await call.end.changed.wait()
        left.set()

    engine = SharedEngine()
    engine.grpc_scripts = [flood, hold]
    async with running_router(engine, operator=BOTH) as router, grpc_client(router, reads=False) as client:
        client.end.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # type: ignore[attr-defined]
        client.end.h2.update_settings({4: 2**30})  # room for all that the engine sends
        client.end.h2.increment_flow_control_window(2**30)
        await client.start("ModelStreamInfer", grpc_request())
        [connection] = router.program.fronts["kserve"].clients
        while len(connection.wire._pending) <= connection.wire.MOST_PENDING:
            await trio.sleep(0.005)
        second = await client.start("ModelInfer", grpc_request(name="r2"))
        await taken.wait()
        await client.cancel(second)
        with trio.fail_after(1.0):
            await left.wait()
        with trio.fail_after(0.1):  # nor is a drain kept waiting by it
            await router.program.fronts["kserve"].drain()


@trio_test
async def test_a_grpc_client_that_closed_is_seen_before_its_connection_is_read() -> None:
    taken = trio.Event()

    async def hold(call: Stream) -> None:
        taken.set()
        while not call.end.closed:
            await call.end.changed.wait()

    async with running_router(SharedEngine(hold), operator=BOTH) as router, grpc_client(router) as client:
        await client.start("ModelInfer", grpc_request())
        await taken.wait()
        [connection] = router.program.fronts["kserve"].clients
        [stream] = connection.streams.values()
        assert not stream.has_client_left()
        client.end.stream.socket.close()  # type: ignore[attr-defined]
        assert (
            stream.has_client_left() and connection.streams
        )  # nothing has run since: its reader has not heard


@trio_test
async def test_an_older_change_does_not_bring_back_a_server_that_drains() -> None:
    first, second = ScriptedServer(), ScriptedServer()
    discovery = Discovery(first, second)
    async with running_router(first, second, discovery=discovery) as router:
        await discovery.watching.wait()
        subchannels = router.program.core.subchannels
        discovery.push_states(e0="Terminating")
        while all(s.ready for s in subchannels.values()):
            await trio.sleep(0.005)
        known = router.program.resolver.version
        ready = {**discovery.targets()[0], "state": "Ready"}
        router.program.resolver._follow_result(
            decode_result({"rev": known - 1, "all": False, "targets": [ready]})
        )
        assert [s.ready for s in subchannels.values()].count(False) == 1
        assert router.program.resolver.version == known
        router.program.resolver._follow_result(
            decode_result({"rev": known + 1, "all": False, "targets": [ready]})
        )
        assert all(s.ready for s in subchannels.values())
