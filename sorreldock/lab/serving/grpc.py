"""The engine's side of KServe v2 over gRPC (h2), with concurrent streams and flow control."""

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
from .host import EngineHost, answer_text, parse_job

HEAD = [(":status", "200"), ("content-type", "application/grpc")]
LOAD_REPORT_HEADER = "endpoint-load-metrics"
TEXT = pb.ModelInferResponse.InferOutputTensor(name="text", datatype="BYTES", shape=[1])
MAX_STREAMS = 128
MAX_MESSAGE_BYTES = 512 * 1024


class Rpc:
    """One RPC received by an emulated engine."""

    def __init__(self, number: int, headers: dict[str, str]) -> None:
        self.number, self.headers = number, headers
        self.deframer = Deframer(MAX_MESSAGE_BYTES)
        self.scope = trio.CancelScope()
        self.has_started = False


class GrpcConnection:
    """The engine's end of a gRPC connection."""

    def __init__(self, host: EngineHost, stream: trio.abc.Stream) -> None:
        self.host, self.stream = host, stream
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self.h2.local_settings = h2.settings.Settings(
            client=False, initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS}
        )
        self.h2.initiate_connection()
        self.rpcs: dict[int, Rpc] = {}
        self._send_lock = trio.Lock()
        self._window_updated = trio.Event()

    async def flush(self) -> None:
        """Write the data that h2 has buffered."""
        # Shielded from cancellation: a frame that is written in part would break all streams.
        with trio.CancelScope(shield=True) as scope:
            scope.deadline = trio.current_time() + 10.0
            async with self._send_lock:
                data = self.h2.data_to_send()
                if data:
                    await self.stream.send_all(data)

    async def run(self) -> None:
        """Serve the connection until the router closes it."""
        async with trio.open_nursery() as nursery:
            await self.flush()
            while data := await self.stream.receive_some(65536):
                for event in self.h2.receive_data(data):
                    self._handle_event(event, nursery)
                await self.flush()
            nursery.cancel_scope.cancel()

    def _handle_event(self, event: h2.events.Event, nursery: trio.Nursery) -> None:
        rpc = self.rpcs.get(getattr(event, "stream_id", None) or 0)
        match event:
            case h2.events.RequestReceived():
                headers = {str(k): str(v) for k, v in event.headers or []}
                self.rpcs[event.stream_id or 0] = Rpc(event.stream_id or 0, headers)
            case h2.events.DataReceived():
                if event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id or 0)
                if rpc is not None:
                    rpc.deframer.feed(event.data or b"")
            case h2.events.StreamEnded() if rpc is not None:
                nursery.start_soon(self._serve, rpc)
            case h2.events.StreamReset() if rpc is not None:
                rpc.scope.cancel()
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                self._window_updated.set()
                self._window_updated = trio.Event()

    async def _send(self, rpc: Rpc, message: bytes) -> None:
        if not rpc.has_started:
            rpc.has_started = True
            self.h2.send_headers(rpc.number, HEAD)
        view = frame(message)
        while view:
            max_bytes = min(self.h2.local_flow_control_window(rpc.number), self.h2.max_outbound_frame_size)
            if max_bytes <= 0:
                window_updated = self._window_updated
                await self.flush()
                await window_updated.wait()
                continue
            self.h2.send_data(rpc.number, view[:max_bytes])
            view = view[max_bytes:]
        await self.flush()

    async def _finish(self, rpc: Rpc, code: int, message: str = "", **metadata: str) -> None:
        fields = [
            (LOAD_REPORT_HEADER, self.host.report()),
            *((k.replace("_", "-"), v) for k, v in metadata.items()),
        ]
        trailer_fields = trailers(code, message, fields)
        self.h2.send_headers(
            rpc.number, trailer_fields if rpc.has_started else HEAD + trailer_fields, end_stream=True
        )
        await self.flush()

    async def _serve(self, rpc: Rpc) -> None:
        try:
            with rpc.scope:
                await self._answer(rpc)
        except h2.exceptions.ProtocolError:
            pass  # the router reset the stream at the same time
        finally:
            self.rpcs.pop(rpc.number, None)

    async def _answer(self, rpc: Rpc) -> None:
        method = rpc.headers.get(":path", "").rpartition("/")[2]
        try:
            message = rpc.deframer.next() or b""
        except GrpcError as error:
            await self._finish(rpc, error.code, error.message)
            return
        is_ready = not (self.host.model.draining or self.host.model.fallen)
        match method:
            case "ServerLive":
                await self._send(rpc, pb.ServerLiveResponse(live=True).SerializeToString())
                await self._finish(rpc, Code.OK)
            case "ServerReady":
                await self._send(rpc, pb.ServerReadyResponse(ready=is_ready).SerializeToString())
                await self._finish(rpc, Code.OK)
            case "ModelInfer" | "ModelStreamInfer":
                await self._infer(rpc, pb.ModelInferRequest.FromString(message), method == "ModelInfer")
            case _:
                await self._finish(rpc, Code.UNIMPLEMENTED, "not served here")

    async def _infer(self, rpc: Rpc, request: pb.ModelInferRequest, unary: bool) -> None:
        host = self.host
        raw = request.raw_input_contents[0] if request.raw_input_contents else b""
        body = raw[4:] if int.from_bytes(raw[:4], "little") == len(raw) - 4 else raw
        name = f"{request.id or 'call'}-{id(rpc):x}"
        job, key = parse_job(name, body, host.settings)
        key = request.id or key if key == name else key
        pending = host.start(job, key)
        if isinstance(pending, Verdict):
            if pending is Verdict.ERROR:
                await self._finish(rpc, Code.INTERNAL, "error")
            else:
                await self._finish(rpc, Code.UNAVAILABLE, pending.value, x_never_ran="1")
            return
        is_complete = False
        try:
            sent_tokens, pending_tokens, has_started, text = 0, 0, False, ""
            while (output := await pending.get()) is not None:
                pending_tokens += output.tokens
                if not output.done and (
                    unary or (has_started and pending_tokens < host.settings.tokens_per_event)
                ):
                    continue
                has_started = True
                text = answer_text(request.id, sent_tokens, pending_tokens)
                sent_tokens, pending_tokens = sent_tokens + pending_tokens, 0
                response = pb.ModelInferResponse(
                    model_name=request.model_name,
                    id=request.id,
                    outputs=[TEXT],
                    raw_output_contents=[len(text.encode()).to_bytes(4, "little") + text.encode()],
                )
                message = response if unary else pb.ModelStreamInferResponse(infer_response=response)
                await self._send(rpc, message.SerializeToString())
                if output.done:
                    is_complete = True
                    await self._finish(rpc, Code.OK)
                    break
            if not is_complete:
                await self._finish(rpc, Code.INTERNAL, "fallen over")
        finally:
            host.finish(job, key, is_complete)
