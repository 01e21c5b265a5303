"""Tests of requests at shutdowns, cancellations and closed connections: answered, refused or not sent on."""

from __future__ import annotations

import errno
import socket
from typing import Any

import pytest
import trio
import trio.testing
from grpc_peers import BOTH_PROTOCOLS, Client, DualProtocolServer, H2Endpoint, Stream, grpc_client
from grpc_peers import request as grpc_request
from peers import EVENTS, Discovery, ReceivedRequest, ScriptedServer, running_router, stream_until, trio_test
from test_bad_days import all_of, raw

from sorreldock.kserve.framing import Code
from sorreldock.program import serve as program_serve
from sorreldock.program.phases import Phase
from sorreldock.protocol.http import connection as http_connection
from sorreldock.protocol.http.arrivals import Arrivals
from sorreldock.protocol.http.discovery import decode_result
from sorreldock.transport.budget import DescriptorBudget, Use
from sorreldock.transport.connection import Connection
from sorreldock.transport.listener import Listener

LAST_CHUNK = b"\r\n0\r\n\r\n"


async def let_tasks_run(rounds: int = 50) -> None:
    """Run every task that is ready, without waiting for time to pass."""
    for _ in range(rounds):
        await trio.testing.wait_all_tasks_blocked()


@trio_test
async def test_a_client_that_closes_behind_more_pipelined_bytes_than_are_buffered_is_noticed() -> None:
    started, closed = trio.Event(), trio.Event()

    async def wait_for_close(received: ReceivedRequest) -> None:
        started.set()
        await received.wait_closed()
        closed.set()

    server = ScriptedServer(wait_for_close)
    async with running_router(server) as router:
        wire = await router.start_post()
        await started.wait()
        await wire.stream.send_all(raw(x_trace_id=b"ahead", body=b"x" * 200_000) * 5)
        await wire.stream.aclose()
        with trio.fail_after(1.0):
            await closed.wait()
    assert len(server.received_requests) == 1 and router.program.payloads.used == 0


@trio_test
async def test_a_close_behind_more_bytes_than_the_ring_holds_is_noticed_without_reading() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    accepted.setblocking(False)
    connection = Connection(trio.socket.from_stdlib_socket(accepted), lambda: None)
    client.sendall(b"x" * 50_000)
    assert not connection.has_peer_closed()
    client.close()  # loopback delivers the close before this returns
    assert connection.has_peer_closed()
    connection.close()


# Guards against requests sent at once that were read and dropped, since they did not fit into the buffer.
@trio_test
async def test_of_too_many_pipelined_requests_all_are_served_and_few_are_kept_in_memory() -> None:
    finish, server = trio.Event(), ScriptedServer()
    server.scripts.append(stream_until(finish))
    async with running_router(server) as router:
        wire = await router.connect()
        names = [f"t{number}" for number in range(40)]
        await wire.stream.send_all(raw(x_trace_id=names[0].encode()))
        received = await wire.stream.receive_some(65536)

        async def send_ahead() -> None:
            for name in names[1:]:
                large = raw(x_trace_id=name.encode(), x_expires_in=b"60000m", body=b"x" * 150_000)
                await wire.stream.send_all(large)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_ahead)
            await trio.sleep(0.2)  # all that fits is read, the first answer still open
            assert router.program.payloads.used <= http_connection.MAX_PIPELINED_BYTES
            finish.set()
            with trio.fail_after(10.0):
                while received.count(LAST_CHUNK) < len(names):
                    received += await wire.stream.receive_some(65536)
    assert b"HTTP/1.1 503" not in received and b"connection: close" not in received
    assert [request.headers["x-trace-id"] for request in server.received_requests] == names
    assert router.program.payloads.used == 0


# Guards against requests that were read and dropped behind one that is refused for lack of memory.
@trio_test
async def test_requests_behind_one_without_room_in_the_payload_budget_are_answered() -> None:
    finish, server = trio.Event(), ScriptedServer()
    server.scripts.append(stream_until(finish))
    async with running_router(server) as router:
        wire = await router.connect()
        await wire.stream.send_all(raw(x_trace_id=b"t0"))
        received = await wire.stream.receive_some(65536)
        router.program.payloads.max_used = 60_000
        bodies = {b"t1": 30_000, b"t2": 90_000, b"t3": 30_000, b"t4": 90_000, b"t5": 2}
        for name, size in bodies.items():
            await wire.stream.send_all(raw(x_trace_id=name, body=b"x" * size))
        await trio.sleep(0.1)
        finish.set()
        with trio.fail_after(5.0):
            while received.count(LAST_CHUNK) + received.count(b"HTTP/1.1 503") < 6:
                received += await wire.stream.receive_some(65536)
        while router.program.payloads.used:
            await trio.sleep(0.005)
    served = [request.headers["x-trace-id"] for request in server.received_requests]
    assert served == ["t0", "t1", "t3", "t5"] and received.count(b"HTTP/1.1 503") == 2


@pytest.mark.parametrize("leaving", range(3))
@trio_test
async def test_the_close_of_any_of_several_clients_with_unread_bytes_is_noticed(leaving: int) -> None:
    closed: list[str] = []

    async def wait_for_close(received: ReceivedRequest) -> None:
        await received.wait_closed()
        closed.append(received.headers["x-trace-id"])

    server = ScriptedServer(wait_for_close)
    async with running_router(server) as router:
        router.program.payloads.max_used = 1000  # less than what each client sends ahead
        wires = []
        for number in range(3):
            wires.append(await router.start_post(x_trace_id=f"client-{number}", x_expires_in="60000m"))
            while len(server.received_requests) <= number:
                await trio.sleep(0.005)
            await wires[-1].stream.send_all(raw(x_trace_id=b"ahead-%d" % number, body=b"x" * 30_000))
        await trio.sleep(0.1)
        order = [leaving, *(n for n in range(3) if n != leaving)]
        for count, number in enumerate(order, 1):
            await wires[number].stream.aclose()
            with trio.fail_after(0.2):  # noticed within 0.1 s, and the same for the server to see it
                while len(closed) < count:
                    await trio.sleep(0.005)
    assert closed == [f"client-{number}" for number in order]


@trio_test
async def test_the_deadline_of_a_pipelined_request_counts_from_its_own_bytes() -> None:
    finish, server = trio.Event(), ScriptedServer()
    server.scripts.append(stream_until(finish))
    async with running_router(server) as router:
        wire = await router.connect()
        for trace in (b"t0", b"t1", b"t2"):  # each is read before the next is sent
            await wire.stream.send_all(raw(x_trace_id=trace, x_expires_in=b"1900m"))
            await trio.testing.wait_all_tasks_blocked(0.3)
        finish.set()
        received = b""
        while received.count(LAST_CHUNK) < 3:
            received += await wire.stream.receive_some(65536)
    deadlines_s = [int(request.headers["x-expires-in"][:-1]) / 1e6 for request in server.received_requests]
    assert deadlines_s[1] < 1.4 and deadlines_s[1] < deadlines_s[2] - 0.25


def test_arrival_times_follow_the_bytes_that_were_parsed() -> None:
    arrivals = Arrivals(1.0)
    for count, now in ((10, 2.0), (5, 2.004), (20, 3.0), (7, 4.0)):
        arrivals.add(count, now)
    assert arrivals.latest == 4.0
    assert [arrivals.of_first_unparsed(unparsed) for unparsed in (42, 28, 27, 8, 7, 1)] == [
        2.0,
        2.0,
        3.0,
        3.0,
        4.0,
        4.0,
    ]
    assert [arrivals.of_last_parsed(unparsed) for unparsed in (32, 27, 26, 7, 6, 0)] == [
        2.0,
        2.0,
        3.0,
        3.0,
        4.0,
        4.0,
    ]


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

    clients = [socket.create_connection((host, int(port))) for _ in range(5)]  # accepted by the kernel
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


class ListenerWithFailingAccepts:
    """A listening socket whose first accepts fail as if the system had no descriptor left."""

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
async def test_the_backlog_is_served_after_accepts_that_fail_while_the_listener_closes() -> None:
    budget = DescriptorBudget(1024)
    listener = Listener("127.0.0.1:0", budget)
    host, port = (await listener.bind()).rsplit(":", 1)
    await listener.listen()
    failing = listener._sock = ListenerWithFailingAccepts(listener._sock, 3)
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
    assert failing.failures == 0 and budget.used[Use.CLIENT] == 0


@trio_test
async def test_a_new_connection_is_served_once_descriptors_are_available_again() -> None:
    budget = DescriptorBudget(1024)
    listener = Listener("127.0.0.1:0", budget)
    host, port = (await listener.bind()).rsplit(":", 1)
    await listener.listen()
    failing = listener._sock = ListenerWithFailingAccepts(listener._sock, 3)

    async def handle(connection: Connection) -> None:
        await connection.send(await connection.receive())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, nursery, handle)
        client = await trio.open_tcp_stream(host, int(port))
        await client.send_all(b"request")
        assert await client.receive_some(100) == b"request" and failing.failures == 0
        await client.aclose()
        listener.close()
    assert budget.used[Use.CLIENT] == 0


@trio_test
async def test_a_partly_received_request_at_the_end_of_the_drain_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(program_serve, "CONNECTIONS_CLOSE_TIMEOUT_S", 0.0)
    server = ScriptedServer()
    async with running_router(server) as router:
        wire = await router.connect()
        data = raw(body=b"x" * 8)
        await wire.stream.send_all(data[:-4])
        await trio.testing.wait_all_tasks_blocked(0.05)  # until the router has read it
        router.program.linger_s = 0.0
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        await let_tasks_run()
        assert router.program.lifecycle.phase is Phase.DRAINING
        await wire.stream.send_all(data[-4:])
        assert LAST_CHUNK in await all_of(wire.stream)
    assert len(server.received_requests) == 1


@trio_test
async def test_connections_are_refused_before_the_listener_listens() -> None:
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
async def test_a_request_completed_too_late_after_sigterm_is_refused_at_once(
    late: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(program_serve, "ACCEPT_AFTER_STOP_S", 0.0 if late else 60.0)
    server = ScriptedServer()
    async with running_router(server) as router:
        wire = await router.connect()
        data = raw(body=b"x" * 8)
        await wire.stream.send_all(data[:-4])
        await trio.testing.wait_all_tasks_blocked(0.05)
        router.program.linger_s = 0.0
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        await wire.stream.send_all(data[-4:])
        received = await all_of(wire.stream)
        assert received.startswith(b"HTTP/1.1 503" if late else b"HTTP/1.1 200")
        assert b"connection: close" in received
    assert len(server.received_requests) == (not late)


@trio_test
async def test_a_grpc_request_that_arrives_too_late_after_sigterm_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = DualProtocolServer()
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        router.program.fronts["kserve"].refuse_requests_from = trio.current_time()
        assert (await client.call("ModelInfer", grpc_request()))[0] == Code.UNAVAILABLE
    assert not server.grpc_streams


@trio_test
async def test_a_drain_does_not_reset_an_answer_while_request_bytes_still_arrive() -> None:
    async with running_router(ScriptedServer()) as router:
        wire = await router.connect()
        await wire.stream.send_all(raw(x_qos=b"nothing", length=b"999"))
        front = router.program.fronts["http"]
        while not any(client.is_closing for client in front.clients):
            await trio.sleep(0.005)
        await front.drain()
        await let_tasks_run()
        assert len(front.clients) == 1  # it reads on until the client closes the connection
        await wire.stream.send_all(b"x" * 999)
        received = await all_of(wire.stream)
        assert received.startswith(b"HTTP/1.1 400") and received.endswith(b"\n")
        await wire.stream.aclose()


@trio_test
async def test_a_grpc_cancellation_is_handled_though_the_client_reads_nothing() -> None:
    started, closed = trio.Event(), trio.Event()

    async def send_flood(stream: Stream) -> None:
        await stream.start()
        for _ in range(200):
            await stream.send(b"x" * 60_000)
        await stream.finish(0)

    async def wait_for_close(stream: Stream) -> None:
        started.set()
        while not stream.endpoint.closed and stream.reset is None:
            await stream.endpoint.changed.wait()
        closed.set()

    server = DualProtocolServer()
    server.grpc_scripts = [send_flood, wait_for_close]
    async with (
        running_router(server, operator=BOTH_PROTOCOLS) as router,
        grpc_client(router, reads=False) as client,
    ):
        client.endpoint.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # type: ignore[attr-defined]
        client.endpoint.h2.update_settings({4: 2**30})  # room for all that the server sends
        client.endpoint.h2.increment_flow_control_window(2**30)
        await client.start("ModelStreamInfer", grpc_request())
        [connection] = router.program.fronts["kserve"].clients
        while len(connection.wire._pending) <= connection.wire.MAX_PENDING_BYTES:
            await trio.sleep(0.005)
        second = await client.start("ModelInfer", grpc_request(name="r2"))
        await started.wait()
        await client.cancel(second)
        with trio.fail_after(1.0):
            await closed.wait()
        with trio.fail_after(0.1):  # and it doesn't delay a drain either
            await router.program.fronts["kserve"].drain()


@trio_test
async def test_a_closed_grpc_client_is_noticed_before_its_connection_is_read() -> None:
    started = trio.Event()

    async def wait_for_close(stream: Stream) -> None:
        started.set()
        while not stream.endpoint.closed:
            await stream.endpoint.changed.wait()

    async with (
        running_router(DualProtocolServer(wait_for_close), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router) as client,
    ):
        await client.start("ModelInfer", grpc_request())
        await started.wait()
        [connection] = router.program.fronts["kserve"].clients
        [stream] = connection.streams.values()
        assert not stream.has_client_left()
        client.endpoint.stream.socket.close()  # type: ignore[attr-defined]
        # No task has run since the close, so the connection's reader has not noticed it.
        assert stream.has_client_left() and connection.streams


@trio_test
async def test_an_outdated_change_does_not_make_a_draining_server_ready() -> None:
    first, second = ScriptedServer(), ScriptedServer()
    discovery = Discovery(first, second)
    async with running_router(first, second, discovery=discovery) as router:
        await discovery.watching.wait()
        subchannels = router.program.core.subchannels
        discovery.push_states(e0="Terminating")
        while all(s.ready for s in subchannels.values()):
            await trio.sleep(0.005)
        version = router.program.resolver.version
        ready = {**discovery.targets()[0], "state": "Ready"}
        router.program.resolver._follow_result(
            decode_result({"rev": version - 1, "all": False, "targets": [ready]})
        )
        assert [s.ready for s in subchannels.values()].count(False) == 1
        assert router.program.resolver.version == version
        router.program.resolver._follow_result(
            decode_result({"rev": version + 1, "all": False, "targets": [ready]})
        )
        assert all(s.ready for s in subchannels.values())


class SlowStream:
    """A client's stream that reads little at a time, through a small receive buffer."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self.sock = sock
        self.stream = trio.SocketStream(sock)
        self.send_all, self.aclose = self.stream.send_all, self.stream.aclose

    async def receive_some(self, max_bytes: int) -> bytes:
        await trio.sleep(0.01)
        return bytes(await self.stream.receive_some(1024))


async def connect_slowly(address: str) -> SlowStream:
    host, port = address.rsplit(":", 1)
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await let_tasks_run()  # until the router listens
    await sock.connect((host, int(port)))
    return SlowStream(sock)


LONG_EVENT = b'data: "' + b"x" * 60_000 + b'"\n\n'


# Guards against an answer whose end is reset under a client on a slow link, after all of it was written.
@trio_test
async def test_a_slow_grpc_reader_gets_the_end_of_its_answer_after_sigterm() -> None:
    written = trio.Event()

    async def answer_long(stream: Stream) -> None:
        await stream.start()
        await stream.send(LONG_EVENT)
        await stream.finish(0)
        written.set()

    async with running_router(DualProtocolServer(answer_long), operator=BOTH_PROTOCOLS) as router:
        endpoint = H2Endpoint(await connect_slowly(router.program.addresses["kserve"]), client=True)  # type: ignore[arg-type]
        call = await Client(endpoint).start("ModelInfer", grpc_request(), grpc_timeout="10S")
        await written.wait()
        front = router.program.fronts["kserve"]
        while any(client.owes_answer for client in front.clients):  # all is written to the kernel
            await trio.sleep(0.005)
        router.program.linger_s = 0.0
        router.program.lifecycle.stop_requested.set()
        await trio.sleep(0.2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(endpoint.read)
            assert await call.answer() == (0, [LONG_EVENT])
            nursery.cancel_scope.cancel()
        await endpoint.stream.aclose()


# The same over HTTP, where the client sends its next request while it still reads the answer.
@trio_test
async def test_a_slow_reader_gets_the_end_of_its_answer_though_it_sends_a_request_after_sigterm() -> None:
    async def answer_long(received: ReceivedRequest) -> None:
        await received.start(LONG_EVENT, EVENTS[-1])
        await received.end()

    async with running_router(ScriptedServer(answer_long)) as router:
        stream = await connect_slowly(router.address)
        await stream.send_all(raw())
        front = router.program.fronts["http"]
        while not any(client.has_sent_request and not client.owes_answer for client in front.clients):
            await trio.sleep(0.005)
        router.program.linger_s = 0.0
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase not in (Phase.DRAINING, Phase.STOPPED):
            await trio.sleep(0.005)
        await let_tasks_run()
        await stream.send_all(raw(x_trace_id=b"late"))
        received = await all_of(stream)
        await stream.aclose()
    assert LONG_EVENT in received and received.endswith(LAST_CHUNK)


@trio_test
async def test_a_client_that_connected_before_a_stop_may_still_send_its_first_request() -> None:
    server = ScriptedServer()
    async with running_router(server) as router:
        router.program.linger_s = 0.05
        wire = await router.connect()
        while not router.program.fronts["http"].clients:
            await trio.sleep(0.005)
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        await let_tasks_run()
        await wire.stream.send_all(raw())
        received = await all_of(wire.stream)
    assert received.startswith(b"HTTP/1.1 200") and b"connection: close" in received.lower()
