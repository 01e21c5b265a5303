"""Stories of the second front: KServe v2 over gRPC, on the core that serves HTTP as well."""

from __future__ import annotations

from collections import Counter

import grpc
import pytest
import trio
import trio.testing
from grpc_peers import BOTH, METADATA, SharedEngine, Stream, answer_in_full, grpc_client, piece, request
from hyperframe.frame import GoAwayFrame
from peers import running_router, trio_test

from sorreldock.kserve import kserve_pb2 as pb
from sorreldock.kserve.framing import Code
from sorreldock.program.phases import Phase
from sorreldock.protocol import server_client
from sorreldock.protocol.kserve import connection as kserve_connection
from sorreldock.protocol.kserve.grpc import ServerWire
from sorreldock.transport.connection import Connection


async def turn_away(call: Stream) -> None:
    await call.finish(Code.UNAVAILABLE, x_never_ran="1")


async def fail(call: Stream) -> None:
    await call.finish(Code.INTERNAL, grpc_message="out of memory")


async def hang(call: Stream) -> None:
    await call.until(lambda: call.end.closed)


async def begin_and_close(call: Stream) -> None:
    await call.start()
    await call.send(piece(1))
    await call.end.stream.aclose()


async def begin_and_hang(call: Stream) -> None:
    await call.start()
    await call.send(piece(1))
    await call.until(lambda: call.end.closed)


@trio_test
async def test_both_protocols_share_engines_and_each_rpc_gets_one_final_answer() -> None:
    engines = [SharedEngine() for _ in range(3)]
    for engine in engines:
        engine.grpc_scripts = [turn_away, fail]
        engine.scripts = []
    statuses: Counter[str] = Counter()
    async with running_router(*engines, operator=BOTH) as router, grpc_client(router) as client:

        async def http(number: int) -> None:
            got = await router.post(x_trace_id=f"h{number}", x_object=f"s{number}")
            assert got.whole
            statuses[f"http {got.status}"] += 1

        async def kserve(number: int) -> None:
            code, got = await client.call(
                "ModelStreamInfer", request(name=f"g{number}"), sorreldock_session=f"s{number}"
            )
            assert got == ([piece(1), piece(2)] if code == 0 else [])
            statuses[f"grpc {code}"] += 1

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(http, number)
                nursery.start_soon(kserve, number)
        assert not router.program.core.open_rpcs
    assert statuses["http 200"] == 20
    assert statuses["grpc 0"] + statuses["grpc 14"] == 20 and statuses["grpc 0"] >= 14
    names = Counter(call.headers["x-trace-id"] for e in engines for call in e.received_requests)
    assert set(names.values()) == {1}


@trio_test
async def test_a_request_goes_on_untranslated() -> None:
    async def with_metadata(call: Stream) -> None:
        await call.start()
        await call.send(piece(1))
        await call.finish(0, cost="7", endpoint_load_metrics="TEXT errors_per_s=0, backlog=2")

    engine = SharedEngine(with_metadata)
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        message = request(text=b"x" * 200_000)
        stream = await client.start("ModelInfer", message, my_own="kept", grpc_timeout="1500m")
        code, _ = await stream.answer()
    [call] = engine.grpc_calls
    assert stream.trailers == {"grpc-status": "0", "cost": "7"}  # without what is meant for the router
    assert code == 0 and call.data[5:] == message and call.headers["my-own"] == "kept"
    assert call.headers[":path"].endswith("/ModelInfer") and "sorreldock-class" not in call.headers
    assert 1e6 < int(call.headers["grpc-timeout"].removesuffix("u")) < 1.5e6


@trio_test
async def test_a_stream_carries_one_request_after_the_other() -> None:
    async with running_router(SharedEngine(), operator=BOTH) as router, grpc_client(router) as client:
        stream = await client.start("ModelStreamInfer", request(), end=False)
        assert len(await stream.messages(2)) == 2
        await stream.send(request(name="r2"), end=True)
        assert await stream.answer() == (0, [piece(1), piece(2)] * 2)


@pytest.mark.parametrize(
    "script, code, count",
    [
        (turn_away, Code.UNAVAILABLE, 0),
        (fail, Code.UNAVAILABLE, 0),  # of a class that may be repeated: the module refuses
        (begin_and_close, Code.INTERNAL, 1),
    ],
)
@trio_test
async def test_how_an_engines_failure_is_told(script: object, code: Code, count: int) -> None:
    engine = SharedEngine(script)  # type: ignore[arg-type]
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        stream = await client.start("ModelStreamInfer", request())
        assert await stream.answer() == (code, [piece(1)][:count])
        if code is Code.UNAVAILABLE:
            assert int((stream.trailers or stream.headers)["grpc-retry-pushback-ms"]) >= 0
        assert len(engine.grpc_calls) == 1


@trio_test
async def test_a_class_that_must_not_run_twice_fails_with_internal() -> None:
    categories = [{"name": "alt-text", "aim_s": 1.0, "deadline_s": 4.0, "effect": "unsafe", "stream": True}]
    engines = SharedEngine(fail), SharedEngine(fail)
    async with (
        running_router(*engines, operator=BOTH, categories=categories) as router,
        grpc_client(router) as client,
    ):
        assert await client.call("ModelInfer", request()) == (Code.INTERNAL, [])
    assert sum(len(e.grpc_calls) for e in engines) == 1


@trio_test
async def test_what_is_wrong_with_a_call_is_said() -> None:
    async def unknown_tensor(call: Stream) -> None:
        await call.finish(Code.INVALID_ARGUMENT, grpc_message="no such tensor")

    engine = SharedEngine(unknown_tensor)
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
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
        assert not engine.grpc_calls
        stream = await client.start(
            "ModelInfer", request()
        )  # an engine's own verdict: passed on, not retried
        assert await stream.answer() == (Code.INVALID_ARGUMENT, [])
        assert stream.headers["grpc-message"] == "no such tensor" and len(engine.grpc_calls) == 1


@trio_test
async def test_the_deadline_runs_until_the_first_message_and_no_longer() -> None:
    async def late(call: Stream) -> None:
        await call.start()
        await call.send(piece(1))
        await trio.sleep(0.3)  # longer than the deadline that no longer runs
        await call.send(piece(2))
        await call.finish(0)

    engine = SharedEngine(late)
    engine.grpc_scripts = [hang]
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        began = trio.current_time()
        assert await client.call("ModelInfer", request(), grpc_timeout="300m") == (Code.DEADLINE_EXCEEDED, [])
        assert trio.current_time() - began < 1.0  # not the 4 s of its class
        assert (await client.call("ModelStreamInfer", request(), grpc_timeout="250m"))[0] == 0


@trio_test
async def test_a_cancel_in_mid_stream_reaches_the_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 60.0)  # nothing else may end the attempt
    engine = SharedEngine(begin_and_hang)
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        stream = await client.start("ModelStreamInfer", request())
        await stream.messages(1)
        await client.cancel(stream)
        [call] = engine.grpc_calls
        await call.until(lambda: call.end.closed)
        while router.program.core.open_rpcs:
            await trio.sleep(0.005)
        engine.grpc_script = answer_in_full
        assert (await client.call("ModelInfer", request()))[0] == 0  # the connection lives on


@trio_test
async def test_a_client_that_vanishes_gives_up_its_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 60.0)  # nothing else may end the attempt
    engine = SharedEngine(begin_and_hang)
    async with running_router(engine, operator=BOTH) as router:
        async with grpc_client(router) as client:
            await (await client.start("ModelStreamInfer", request())).messages(1)
        await engine.grpc_calls[0].until(lambda: engine.grpc_calls[0].end.closed)


@trio_test
async def test_a_silent_engine_is_noticed_in_mid_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_client, "EVENT_GAP_TIMEOUT_S", 0.1)
    async with (
        running_router(SharedEngine(begin_and_hang), operator=BOTH) as router,
        grpc_client(router) as client,
    ):
        assert await client.call("ModelStreamInfer", request()) == (Code.INTERNAL, [piece(1)])


@trio_test
async def test_a_slow_reader_slows_its_engine_alone() -> None:
    sent = 0
    big = pb.ModelStreamInferResponse(error_message="x" * 50_000).SerializeToString()

    async def flood(call: Stream) -> None:
        nonlocal sent
        await call.start()
        for sent in range(1, 201):  # noqa: B007
            await call.send(big)
        await call.finish(0)

    engine = SharedEngine(flood)
    async with running_router(engine, operator=BOTH) as router, grpc_client(router, hungry=False) as slow:
        await slow.start("ModelStreamInfer", request())
        await trio.testing.wait_all_tasks_blocked(0.1)
        assert 0 < sent < 20  # a window or two, and the buffers between
        engine.grpc_script = answer_in_full
        async with grpc_client(router) as other:
            assert (await other.call("ModelInfer", request()))[0] == 0


@trio_test
async def test_engine_connections_are_kept_and_a_farewell_is_heeded() -> None:
    engine = SharedEngine()
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        for _ in range(3):
            assert (await client.call("ModelInfer", request()))[0] == 0
        assert engine.connections == 1
        end = engine.grpc_calls[0].end
        end.h2.close_connection()  # GOAWAY on the idle connection
        await end.flush()
        assert (await client.call("ModelInfer", request()))[0] == 0
        assert engine.connections == 2


@trio_test
async def test_an_engine_that_says_goaway_in_mid_stream_finishes_it() -> None:
    async def farewell(call: Stream) -> None:
        await call.start()
        await call.send(piece(1))
        notice = GoAwayFrame(0, last_stream_id=call.number).serialize()
        await call.end.stream.send_all(notice[:7])  # in two halves, as a network may deliver it
        await call.end.stream.send_all(notice[7:])
        await call.send(piece(2))
        await call.finish(0)

    engine = SharedEngine()
    engine.grpc_scripts = [farewell]
    async with running_router(engine, operator=BOTH) as router, grpc_client(router) as client:
        for _ in range(2):
            assert await client.call("ModelStreamInfer", request()) == (0, [piece(1), piece(2)])
    assert engine.connections == 2


@trio_test
async def test_a_refused_stream_never_ran_and_is_tried_elsewhere() -> None:
    async def refuse(call: Stream) -> None:
        call.end.h2.reset_stream(call.number, 7)  # REFUSED_STREAM
        await call.end.flush()

    engines = SharedEngine(), SharedEngine()
    for engine in engines:
        engine.grpc_scripts = [refuse]
    async with running_router(*engines, operator=BOTH) as router, grpc_client(router) as client:
        assert (await client.call("ModelInfer", request()))[0] == Code.UNAVAILABLE
        assert (await client.call("ModelInfer", request()))[0] == 0
    assert sum(len(e.grpc_calls) for e in engines) == 3


@trio_test
async def test_a_client_that_answers_no_ping_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(kserve_connection, "PING_S", 0.05)
    operator = BOTH.__class__(
        kserve=BOTH.kserve.__class__("127.0.0.1:0", ("desc",), "", "", 0.05),  # type: ignore[union-attr]
        server_protocols=("http", "kserve"),
        min_severity="emerg",
    )
    async with running_router(SharedEngine(), operator=operator) as router:
        host, port = router.program.addresses["kserve"].rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00")
        while await stream.receive_some(4096):
            pass  # it closes: we answer nothing


@trio_test
async def test_a_stream_cancelled_while_it_waits_to_write_garbles_nothing() -> None:
    ours, theirs = trio.socket.socketpair()
    wire = ServerWire(Connection(ours, lambda: None), 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wire.write)
        start = wire.take_out()
        wire.raw(b"x" * 5_000_000)
        nursery.start_soon(wire.flush)
        await trio.testing.wait_all_tasks_blocked()  # the peer's buffers are full
        wire.raw(b"y" * 100_000)
        with trio.move_on_after(0) as scope:
            await wire.flush()
        assert scope.cancelled_caught and start
        wire.raw(b"z")
        nursery.start_soon(wire.flush)
        got = b""
        while not got.endswith(b"z"):
            got += await theirs.recv(1 << 20)
        assert got == b"x" * 5_000_000 + b"y" * 100_000 + b"z"
        nursery.cancel_scope.cancel()


@trio_test
async def test_goaway_and_the_end_of_open_streams_at_sigterm() -> None:
    finish = trio.Event()

    async def slowly(call: Stream) -> None:
        await call.start()
        await call.send(piece(1))
        await finish.wait()
        await call.finish(0)

    async with running_router(SharedEngine(slowly), operator=BOTH) as router, grpc_client(router) as client:
        stream = await client.start("ModelStreamInfer", request())
        await stream.messages(1)
        router.program.lifecycle.stop_requested.set()
        while router.program.lifecycle.phase is not Phase.DRAINING:
            await trio.sleep(0.005)
        assert client.end.going
        finish.set()
        assert await stream.answer() == (0, [piece(1)])


@trio_test
async def test_the_stock_client_is_served() -> None:
    def talk(address: str) -> None:
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
            asked = [pb.ModelInferRequest(model_name="desc", id="a"), pb.ModelInferRequest(model_name="desc")]
            got = list(stream(iter(asked), timeout=5, metadata=list(METADATA.items())))
            assert [m.infer_response.id for m in got] == ["1", "2", "1", "2"]
            infer = unary("ModelInfer", pb.ModelInferResponse)
            with pytest.raises(grpc.RpcError) as raised:
                infer(pb.ModelInferRequest(model_name="other"), timeout=5, metadata=list(METADATA.items()))
            assert raised.value.code() is grpc.StatusCode.NOT_FOUND  # type: ignore[attr-defined]

    async with running_router(SharedEngine(), operator=BOTH) as router:
        await trio.to_thread.run_sync(talk, router.program.addresses["kserve"])


def test_the_stand_ins_and_the_program_agree_with_the_standards_numbers() -> None:
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
