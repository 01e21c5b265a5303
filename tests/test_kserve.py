"""The front for KServe v2 over gRPC, on the core that serves HTTP as well."""

from __future__ import annotations

from collections import Counter

import grpc
import h2.errors
import pytest
import trio
import trio.testing
from grpc_peers import (
    BOTH_PROTOCOLS,
    METADATA,
    DualProtocolServer,
    Stream,
    answer_in_full,
    frame_message,
    grpc_client,
    request,
    stream_response,
)
from hyperframe.frame import GoAwayFrame
from peers import running_router, trio_test

from sorreldock.kserve import kserve_pb2 as pb
from sorreldock.kserve.framing import Code
from sorreldock.program.phases import Phase
from sorreldock.protocol import server_client
from sorreldock.protocol.kserve import connection as kserve_connection
from sorreldock.protocol.kserve.connection import MAX_STREAMS
from sorreldock.protocol.kserve.grpc import FrontWire
from sorreldock.transport.connection import Connection


async def refuse_unprocessed(stream: Stream) -> None:
    await stream.finish(Code.UNAVAILABLE, x_never_ran="1")


async def fail(stream: Stream) -> None:
    await stream.finish(Code.INTERNAL, grpc_message="out of memory")


async def hang(stream: Stream) -> None:
    await stream.wait_until(lambda: stream.endpoint.closed)


async def start_and_close(stream: Stream) -> None:
    await stream.start()
    await stream.send(stream_response(1))
    await stream.endpoint.stream.aclose()


async def start_and_hang(stream: Stream) -> None:
    await stream.start()
    await stream.send(stream_response(1))
    await stream.wait_until(lambda: stream.endpoint.closed)


@trio_test
async def test_both_protocols_share_servers_and_each_rpc_gets_one_final_answer() -> None:
    servers = [DualProtocolServer() for _ in range(3)]
    for server in servers:
        server.grpc_scripts = [refuse_unprocessed, fail]
        server.scripts = []
    statuses: Counter[str] = Counter()
    async with running_router(*servers, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:

        async def http(number: int) -> None:
            received = await router.post(x_trace_id=f"h{number}", x_object=f"s{number}")
            assert received.whole
            statuses[f"http {received.status}"] += 1

        async def kserve(number: int) -> None:
            code, received = await client.call(
                "ModelStreamInfer", request(name=f"g{number}"), sorreldock_session=f"s{number}"
            )
            assert received == ([stream_response(1), stream_response(2)] if code == 0 else [])
            statuses[f"grpc {code}"] += 1

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(http, number)
                nursery.start_soon(kserve, number)
        assert not router.program.core.open_rpcs
    assert statuses["http 200"] == 20
    assert statuses["grpc 0"] + statuses["grpc 14"] == 20 and statuses["grpc 0"] >= 14
    names = Counter(received.headers["x-trace-id"] for e in servers for received in e.received_requests)
    assert set(names.values()) == {1}


@trio_test
async def test_a_request_is_forwarded_unchanged() -> None:
    async def with_metadata(stream: Stream) -> None:
        await stream.start()
        await stream.send(stream_response(1))
        await stream.finish(0, cost="7", endpoint_load_metrics="TEXT errors_per_s=0, backlog=2")

    server = DualProtocolServer(with_metadata)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        message = request(text=b"x" * 200_000)
        stream = await client.start("ModelInfer", message, my_own="kept", grpc_timeout="1500m")
        code, _ = await stream.answer()
    [server_stream] = server.grpc_streams
    assert stream.trailers == {"grpc-status": "0", "cost": "7"}  # the load report is for the router only
    assert code == 0 and server_stream.data[5:] == message and server_stream.headers["my-own"] == "kept"
    assert (
        server_stream.headers[":path"].endswith("/ModelInfer")
        and "sorreldock-class" not in server_stream.headers
    )
    assert 1e6 < int(server_stream.headers["grpc-timeout"].removesuffix("u")) < 1.5e6


@trio_test
async def test_a_stream_carries_several_requests_in_sequence() -> None:
    async with (
        running_router(DualProtocolServer(), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router) as client,
    ):
        stream = await client.start("ModelStreamInfer", request(), end_stream=False)
        assert len(await stream.messages(2)) == 2
        await stream.send(request(name="r2"), end_stream=True)
        assert await stream.answer() == (0, [stream_response(1), stream_response(2)] * 2)


@pytest.mark.parametrize(
    "script, code, count",
    [
        (refuse_unprocessed, Code.UNAVAILABLE, 0),
        (fail, Code.UNAVAILABLE, 0),  # the class may be retried: the decision module refuses
        (start_and_close, Code.INTERNAL, 1),
    ],
)
@trio_test
async def test_the_status_after_a_servers_failure(script: object, code: Code, count: int) -> None:
    server = DualProtocolServer(script)  # type: ignore[arg-type]
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        stream = await client.start("ModelStreamInfer", request())
        assert await stream.answer() == (code, [stream_response(1)][:count])
        if code is Code.UNAVAILABLE:
            assert int((stream.trailers or stream.headers)["grpc-retry-pushback-ms"]) >= 0
        assert len(server.grpc_streams) == 1


@trio_test
async def test_a_class_that_must_not_run_twice_fails_with_internal() -> None:
    categories = [{"name": "alt-text", "aim_s": 1.0, "deadline_s": 4.0, "effect": "unsafe", "stream": True}]
    servers = DualProtocolServer(fail), DualProtocolServer(fail)
    async with (
        running_router(*servers, operator=BOTH_PROTOCOLS, categories=categories) as router,
        grpc_client(router) as client,
    ):
        assert await client.call("ModelInfer", request()) == (Code.INTERNAL, [])
    assert sum(len(e.grpc_streams) for e in servers) == 1


@trio_test
async def test_each_invalid_request_gets_its_status() -> None:
    async def unknown_tensor(stream: Stream) -> None:
        await stream.finish(Code.INVALID_ARGUMENT, grpc_message="no such tensor")

    server = DualProtocolServer(unknown_tensor)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        for method, message, fields, code in (
            ("ModelInfer", b"\xff\xff", {}, Code.INVALID_ARGUMENT),
            ("ModelInfer", request(), {"sorreldock_class": "nothing"}, Code.INVALID_ARGUMENT),
            ("ModelInfer", request(), {"sorreldock_tenant": "nobody"}, Code.INVALID_ARGUMENT),
            ("ModelInfer", request(), {"grpc_timeout": "soon"}, Code.INVALID_ARGUMENT),
            ("ModelInfer", request(), {"sorreldock_prompt_tokens": "-1"}, Code.INVALID_ARGUMENT),
            ("ModelInfer", request("other"), {}, Code.NOT_FOUND),
            ("ModelReady", pb.ModelReadyRequest(name="other").SerializeToString(), {}, Code.NOT_FOUND),
            ("ModelInfer", request(text=b"x" * (256 * 1024)), {}, Code.RESOURCE_EXHAUSTED),
            ("ModelInfer", request(), {"grpc_encoding": "gzip"}, Code.UNIMPLEMENTED),
            ("NoSuchMethod", b"", {}, Code.UNIMPLEMENTED),
        ):
            assert await client.call(method, message, **fields) == (code, []), (method, fields)
        assert not server.grpc_streams
        stream = await client.start("ModelInfer", request())  # a server's status: forwarded, not retried
        assert await stream.answer() == (Code.INVALID_ARGUMENT, [])
        assert stream.headers["grpc-message"] == "no such tensor" and len(server.grpc_streams) == 1


@trio_test
async def test_the_deadline_applies_until_the_first_message_only() -> None:
    async def answer_slowly(stream: Stream) -> None:
        await stream.start()
        await stream.send(stream_response(1))
        await trio.sleep(0.3)  # longer than the deadline, which no longer applies
        await stream.send(stream_response(2))
        await stream.finish(0)

    server = DualProtocolServer(answer_slowly)
    server.grpc_scripts = [hang]
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        started_at = trio.current_time()
        assert await client.call("ModelInfer", request(), grpc_timeout="300m") == (Code.DEADLINE_EXCEEDED, [])
        assert trio.current_time() - started_at < 1.0  # and not the deadline of 4 s of its class
        assert (await client.call("ModelStreamInfer", request(), grpc_timeout="250m"))[0] == 0


@trio_test
async def test_a_cancellation_within_a_stream_reaches_the_server(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 60.0)  # nothing else may end the attempt
    server = DualProtocolServer(start_and_hang)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        stream = await client.start("ModelStreamInfer", request())
        await stream.messages(1)
        await client.cancel(stream)
        [server_stream] = server.grpc_streams
        await server_stream.wait_until(lambda: server_stream.endpoint.closed)
        while router.program.core.open_rpcs:
            await trio.sleep(0.005)
        server.grpc_script = answer_in_full
        assert (await client.call("ModelInfer", request()))[0] == 0  # the connection stays open


@trio_test
async def test_closing_a_client_connection_cancels_its_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 60.0)  # nothing else may end the attempt
    server = DualProtocolServer(start_and_hang)
    async with running_router(server, operator=BOTH_PROTOCOLS) as router:
        async with grpc_client(router) as client:
            await (await client.start("ModelStreamInfer", request())).messages(1)
        await server.grpc_streams[0].wait_until(lambda: server.grpc_streams[0].endpoint.closed)


@trio_test
async def test_a_server_that_stops_sending_within_a_stream_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 0.1)
    async with (
        running_router(DualProtocolServer(start_and_hang), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router) as client,
    ):
        assert await client.call("ModelStreamInfer", request()) == (Code.INTERNAL, [stream_response(1)])


# The same as over HTTP: a pause within the time that the platform allows does not end a stream.
@trio_test
async def test_a_grpc_stream_that_pauses_goes_on_though_its_server_is_not_listed() -> None:
    async def pause(stream: Stream) -> None:
        await stream.start()
        await stream.send(stream_response(1))
        await trio.sleep(0.4)
        await stream.send(stream_response(2))
        await stream.finish(0)

    async with (
        running_router(DualProtocolServer(pause), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router) as client,
    ):
        stream = await client.start("ModelStreamInfer", request())
        await stream.messages(1)
        [subchannel] = router.program.core.subchannels.values()
        subchannel.is_retired = True
        assert await stream.answer() == (Code.OK, [stream_response(1), stream_response(2)])


def test_a_stream_may_pause_for_as_long_as_the_platform_allows_less_a_hold_up() -> None:
    assert pytest.approx(5.0 - 0.15) == server_client.EVENT_GAP_TIMEOUT_S


@trio_test
async def test_a_slow_client_slows_only_its_own_stream() -> None:
    sent = 0
    big = pb.ModelStreamInferResponse(error_message="x" * 50_000).SerializeToString()

    async def flood(stream: Stream) -> None:
        nonlocal sent
        await stream.start()
        for sent in range(1, 201):  # noqa: B007
            await stream.send(big)
        await stream.finish(0)

    server = DualProtocolServer(flood)
    async with (
        running_router(server, operator=BOTH_PROTOCOLS) as router,
        grpc_client(router, acknowledges_data=False) as slow,
    ):
        await slow.start("ModelStreamInfer", request())
        await trio.testing.wait_all_tasks_blocked(0.1)
        assert 0 < sent < 20  # one or two windows, and the buffers in between
        server.grpc_script = answer_in_full
        async with grpc_client(router) as other:
            assert (await other.call("ModelInfer", request()))[0] == 0


@trio_test
async def test_server_connections_are_reused_until_goaway() -> None:
    server = DualProtocolServer()
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        for _ in range(3):
            assert (await client.call("ModelInfer", request()))[0] == 0
        assert server.connections == 1
        endpoint = server.grpc_streams[0].endpoint
        endpoint.h2.close_connection()  # GOAWAY on the idle connection
        await endpoint.flush()
        assert (await client.call("ModelInfer", request()))[0] == 0
        assert server.connections == 2


@trio_test
async def test_a_server_completes_a_stream_after_goaway() -> None:
    async def send_goaway_within_stream(stream: Stream) -> None:
        await stream.start()
        await stream.send(stream_response(1))
        goaway = GoAwayFrame(0, last_stream_id=stream.number).serialize()
        await stream.endpoint.stream.send_all(goaway[:7])  # split, as a network may deliver it
        await stream.endpoint.stream.send_all(goaway[7:])
        await stream.send(stream_response(2))
        await stream.finish(0)

    server = DualProtocolServer()
    server.grpc_scripts = [send_goaway_within_stream]
    async with running_router(server, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        for _ in range(2):
            assert await client.call("ModelStreamInfer", request()) == (
                0,
                [stream_response(1), stream_response(2)],
            )
    assert server.connections == 2


@trio_test
async def test_a_refused_stream_was_not_processed_and_is_retried_elsewhere() -> None:
    async def refuse(stream: Stream) -> None:
        stream.endpoint.h2.reset_stream(stream.number, 7)  # REFUSED_STREAM
        await stream.endpoint.flush()

    servers = DualProtocolServer(), DualProtocolServer()
    for server in servers:
        server.grpc_scripts = [refuse]
    async with running_router(*servers, operator=BOTH_PROTOCOLS) as router, grpc_client(router) as client:
        assert (await client.call("ModelInfer", request()))[0] == Code.UNAVAILABLE
        assert (await client.call("ModelInfer", request()))[0] == 0
    assert sum(len(e.grpc_streams) for e in servers) == 3


@trio_test
async def test_a_client_that_answers_no_ping_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(kserve_connection, "PING_TIMEOUT_S", 0.05)
    operator = BOTH_PROTOCOLS.__class__(
        kserve=BOTH_PROTOCOLS.kserve.__class__("127.0.0.1:0", ("desc",), "", "", 0.05),  # type: ignore[union-attr]
        server_protocols=("http", "kserve"),
        min_severity="emerg",
    )
    async with running_router(DualProtocolServer(), operator=operator) as router:
        host, port = router.program.addresses["kserve"].rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
        while await stream.receive_some(4096):
            pass  # until the router closes, since no PING is answered


@trio_test
async def test_cancelling_a_stream_that_waits_to_write_corrupts_no_frame() -> None:
    router_end, client_end = trio.socket.socketpair()
    wire = FrontWire(Connection(router_end, lambda: None), 1, trio.lowlevel.checkpoint)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wire.run_writer)
        preface = wire.take_output()
        wire.queue_frame(b"x" * 5_000_000)
        nursery.start_soon(wire.flush)
        await trio.testing.wait_all_tasks_blocked()  # the peer's buffers are full
        wire.queue_frame(b"y" * 100_000)
        with trio.move_on_after(0) as scope:
            await wire.flush()
        assert scope.cancelled_caught and preface
        wire.queue_frame(b"z")
        nursery.start_soon(wire.flush)
        received = b""
        while not received.endswith(b"z"):
            received += await client_end.recv(1 << 20)
        assert received == b"x" * 5_000_000 + b"y" * 100_000 + b"z"
        nursery.cancel_scope.cancel()


@trio_test
async def test_sigterm_sends_goaway_and_open_streams_complete() -> None:
    finish = trio.Event()

    async def finish_later(stream: Stream) -> None:
        await stream.start()
        await stream.send(stream_response(1))
        await finish.wait()
        await stream.finish(0)

    async with (
        running_router(DualProtocolServer(finish_later), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router) as client,
    ):
        stream = await client.start("ModelStreamInfer", request())
        await stream.messages(1)
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        assert client.endpoint.goaway_received
        finish.set()
        assert await stream.answer() == (0, [stream_response(1)])


@trio_test
async def test_the_grpc_librarys_client_is_served() -> None:
    def use_client(address: str) -> None:
        service = "/inference.GRPCInferenceService/"
        with grpc.insecure_channel(address) as channel:

            def unary(method: str, answer: type) -> grpc.UnaryUnaryMultiCallable:
                return channel.unary_unary(
                    service + method,
                    request_serializer=lambda m: m.SerializeToString(),
                    response_deserializer=answer.FromString,  # type: ignore[attr-defined]
                )

            assert unary("ServerLive", pb.ServerLiveResponse)(pb.ServerLiveRequest(), timeout=5).live
            assert unary("ServerReady", pb.ServerReadyResponse)(pb.ServerReadyRequest(), timeout=5).ready
            metadata = unary("ServerMetadata", pb.ServerMetadataResponse)(
                pb.ServerMetadataRequest(), timeout=5
            )
            assert metadata.name == "sorreldock"
            assert unary("ModelReady", pb.ModelReadyResponse)(
                pb.ModelReadyRequest(name="desc"), timeout=5
            ).ready
            stream = channel.stream_stream(
                service + "ModelStreamInfer",
                request_serializer=lambda m: m.SerializeToString(),
                response_deserializer=pb.ModelStreamInferResponse.FromString,
            )
            requests = [
                pb.ModelInferRequest(model_name="desc", id="a"),
                pb.ModelInferRequest(model_name="desc"),
            ]
            received = list(stream(iter(requests), timeout=5, metadata=list(METADATA.items())))
            assert [m.infer_response.id for m in received] == ["1", "2", "1", "2"]
            infer = unary("ModelInfer", pb.ModelInferResponse)
            with pytest.raises(grpc.RpcError) as raised:
                infer(pb.ModelInferRequest(model_name="other"), timeout=5, metadata=list(METADATA.items()))
            assert raised.value.code() is grpc.StatusCode.NOT_FOUND  # type: ignore[attr-defined]

    async with running_router(DualProtocolServer(), operator=BOTH_PROTOCOLS) as router:
        await trio.to_thread.run_sync(use_client, router.program.addresses["kserve"])


def test_the_messages_have_the_field_numbers_of_the_standard() -> None:
    fields = {
        message.name: {f.name: f.number for f in message.fields}
        for message in pb.DESCRIPTOR.message_types_by_name.values()
    }
    assert fields["ModelInferRequest"] == {
        "model_name": 1,
        "model_version": 2,
        "id": 3,
        "parameters": 4,
        "inputs": 5,
        "outputs": 6,
        "raw_input_contents": 7,
    }
    assert fields["ModelInferResponse"] == {
        "model_name": 1,
        "model_version": 2,
        "id": 3,
        "parameters": 4,
        "outputs": 5,
        "raw_output_contents": 6,
    }
    assert fields["ModelStreamInferResponse"] == {"error_message": 1, "infer_response": 2}
    assert (
        pb.DESCRIPTOR.services_by_name["GRPCInferenceService"].full_name == "inference.GRPCInferenceService"
    )


# Guards against a connection that ends, with all its requests unanswered, for one stream beyond the limit.
@trio_test
async def test_streams_beyond_the_limit_are_refused_alone() -> None:
    count = 100  # RFC 9113 6.5.2: what a client may open before it knows the limit
    async with (
        running_router(DualProtocolServer(), operator=BOTH_PROTOCOLS) as router,
        grpc_client(router, reads=False) as client,
        trio.open_nursery() as nursery,
    ):
        streams = []
        for number in range(count):
            streams.append(client.create("ModelInfer", grpc_timeout="10S"))
            message = frame_message(request(name=f"r{number}"))
            client.endpoint.h2.send_data(streams[-1].number, message, end_stream=True)
        await client.endpoint.flush()
        nursery.start_soon(client.endpoint.read)
        statuses = [(await stream.answer())[0] for stream in streams]
        further = await client.call("ModelInfer", request(name="further"))
        nursery.cancel_scope.cancel()
    refused = [stream.number for stream in streams if stream.reset == h2.errors.ErrorCodes.REFUSED_STREAM]
    assert statuses[:MAX_STREAMS] == [Code.OK] * MAX_STREAMS and further[0] == Code.OK
    assert refused and statuses.count(Code.OK) + len(refused) == count
