"""An engine's side of KServe v2 over gRPC (h2): many streams a connection, flow control kept."""

from __future__ import annotations

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import trio

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import Code, Deframer, GrpcError, frame, trailers
from ..engine import Verdict
from .host import EngineHost, job_of, words

HEAD = [(":status", "200"), ("content-type", "application/grpc")]
LOAD = "endpoint-load-metrics"
TEXT = pb.ModelInferResponse.InferOutputTensor(name="text", datatype="BYTES", shape=[1])
MOST_STREAMS = 128
LARGEST_MESSAGE = 512 * 1024


class Call:
    """One call at an emulated engine."""

    def __init__(self, number: int, headers: dict[str, str]) -> None:
        self.number, self.headers = number, headers
        self.deframer = Deframer(LARGEST_MESSAGE)
        self.scope = trio.CancelScope()
        self.started = False


class GrpcConnection:
    """A connection to an emulated engine that speaks gRPC."""

    def __init__(self, host: EngineHost, stream: trio.abc.Stream) -> None:
        self.host, self.stream = host, stream
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self.h2.local_settings = h2.settings.Settings(
            client=False, initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MOST_STREAMS}
        )
        self.h2.initiate_connection()
        self.calls: dict[int, Call] = {}
        self._turn = trio.Lock()
        self._grew = trio.Event()

    async def flush(self) -> None:
        with trio.CancelScope(shield=True) as scope:  # a frame half written would end all the others
            scope.deadline = trio.current_time() + 10.0
            async with self._turn:
                data = self.h2.data_to_send()
                if data:
                    await self.stream.send_all(data)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await self.flush()
            while data := await self.stream.receive_some(65536):
                for event in self.h2.receive_data(data):
                    self._take(event, nursery)
                await self.flush()
            nursery.cancel_scope.cancel()

    def _take(self, event: h2.events.Event, nursery: trio.Nursery) -> None:
        call = self.calls.get(getattr(event, "stream_id", None) or 0)
        match event:
            case h2.events.RequestReceived():
                headers = {str(k): str(v) for k, v in event.headers or []}
                self.calls[event.stream_id or 0] = Call(event.stream_id or 0, headers)
            case h2.events.DataReceived():
                if event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id or 0)
                if call is not None:
                    call.deframer.feed(event.data or b"")
            case h2.events.StreamEnded() if call is not None:
                nursery.start_soon(self._serve, call)
            case h2.events.StreamReset() if call is not None:
                call.scope.cancel()
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                self._grew.set()
                self._grew = trio.Event()

    async def _send(self, call: Call, message: bytes) -> None:
        if not call.started:
            call.started = True
            self.h2.send_headers(call.number, HEAD)
        view = frame(message)
        while view:
            room = min(self.h2.local_flow_control_window(call.number), self.h2.max_outbound_frame_size)
            if room <= 0:
                grew = self._grew
                await self.flush()
                await grew.wait()
                continue
            self.h2.send_data(call.number, view[:room])
            view = view[room:]
        await self.flush()

    async def _finish(self, call: Call, code: int, message: str = "", **metadata: str) -> None:
        fields = [(LOAD, self.host.report()), *((k.replace("_", "-"), v) for k, v in metadata.items())]
        out = trailers(code, message, fields)
        self.h2.send_headers(call.number, out if call.started else HEAD + out, end_stream=True)
        await self.flush()

    async def _serve(self, call: Call) -> None:
        try:
            with call.scope:
                await self._answer(call)
        except h2.exceptions.ProtocolError:
            pass  # reset by the router in the same moment
        finally:
            self.calls.pop(call.number, None)

    async def _answer(self, call: Call) -> None:
        method = call.headers.get(":path", "").rpartition("/")[2]
        try:
            message = call.deframer.next() or b""
        except GrpcError as error:
            await self._finish(call, error.code, error.message)
            return
        ready = not (self.host.model.draining or self.host.model.fallen)
        match method:
            case "ServerLive":
                await self._send(call, pb.ServerLiveResponse(live=True).SerializeToString())
                await self._finish(call, Code.OK)
            case "ServerReady":
                await self._send(call, pb.ServerReadyResponse(ready=ready).SerializeToString())
                await self._finish(call, Code.OK)
            case "ModelInfer" | "ModelStreamInfer":
                await self._infer(call, pb.ModelInferRequest.FromString(message), method == "ModelInfer")
            case _:
                await self._finish(call, Code.UNIMPLEMENTED, "not served here")

    async def _infer(self, call: Call, request: pb.ModelInferRequest, unary: bool) -> None:
        host = self.host
        raw = request.raw_input_contents[0] if request.raw_input_contents else b""
        body = raw[4:] if int.from_bytes(raw[:4], "little") == len(raw) - 4 else raw
        name = f"{request.id or 'call'}-{id(call):x}"
        job, key = job_of(name, body, host.settings)
        key = request.id or key if key == name else key
        pending = host.start(job, key)
        if isinstance(pending, Verdict):
            if pending is Verdict.ERROR:
                await self._finish(call, Code.INTERNAL, "error")
            else:
                await self._finish(call, Code.UNAVAILABLE, pending.value, x_never_ran="1")
            return
        whole = False
        try:
            made, held, started, text = 0, 0, False, ""
            while (output := await pending.get()) is not None:
                held += output.tokens
                if not output.done and (unary or (started and held < host.settings.tokens_per_event)):
                    continue
                started = True
                text = words(request.id, made, held)
                made, held = made + held, 0
                out = pb.ModelInferResponse(
                    model_name=request.model_name,
                    id=request.id,
                    outputs=[TEXT],
                    raw_output_contents=[len(text.encode()).to_bytes(4, "little") + text.encode()],
                )
                piece = out if unary else pb.ModelStreamInferResponse(infer_response=out)
                await self._send(call, piece.SerializeToString())
                if output.done:
                    whole = True
                    await self._finish(call, Code.OK)
                    break
            if not whole:
                await self._finish(call, Code.INTERNAL, "fallen over")
        finally:
            host.done(job, key, whole)
