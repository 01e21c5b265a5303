"""Servers of the simulation: the lab's engine model on virtual sockets, with the faults of servers."""

from __future__ import annotations

import json
import math
from collections import deque

import msgspec
import trio

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import Code, trailers
from ...kserve.framing import frame as encode_message_frame
from ..engine import Engine, Job, Output, Verdict
from ..settings import EngineSettings
from .frames import FrameWriter
from .invariants import InvariantChecker
from .network import Host, VirtualSocket
from .readers import DATA, HEADERS, End, FrameReader, Head, HttpReader, ParseError, Part
from .scenario import ServerPlan

PORT = 9000
GRPC_ANSWER_HEAD = [(":status", "200"), ("content-type", "application/grpc")]
REPLACES_FIRST_EVENT = ("head", "empty", "garbage", "lost")  # kinds of spoilt answers
CONNECTION_ERRORS = (OSError, trio.ClosedResourceError, ParseError)


class OutputQueue:
    """The outputs of one job that its connection has not written yet; None ends them."""

    def __init__(self) -> None:
        self.outputs: deque[Output | None] = deque()
        self._waiting = trio.lowlevel.ParkingLot()

    def put(self, output: Output | None) -> None:
        self.outputs.append(output)
        self._waiting.unpark_all()

    def close(self, end: str = "") -> None:
        self.put(None)

    async def get(self) -> Output | None:
        while not self.outputs:
            await self._waiting.park()
        return self.outputs.popleft()


class VirtualServer:
    """A server on the virtual network with an emulated engine, and the faults that a scenario sets."""

    def __init__(
        self, checker: InvariantChecker, host: Host, uid: str, settings: EngineSettings, started_at: float
    ) -> None:
        self.checker, self.host, self.uid, self.settings = checker, host, uid, settings
        self.model = Engine(settings, started_at)
        self.hangs = self.full = self.ended = False
        self.paused_until = 0.0
        self.spoil_kind, self.spoils_left = "", 0
        self.plan = ServerPlan()
        self._output_queues: dict[str, OutputQueue] = {}
        self._step_due_at = math.inf
        self._job_count = 0

    @property
    def endpoint(self) -> str:
        return f"{self.host.address}:{PORT}"

    # The process.

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.host.serve(PORT, self._handle_connection, nursery)

    def close_port(self) -> None:
        listener = self.host.listeners.get(PORT)
        if listener is not None:
            listener.close()

    def end(self) -> None:
        """End the process: its streams end and the kernel closes its sockets."""
        self.ended = True
        for queue in self._output_queues.values():
            queue.put(None)
        self.host.close_sockets()

    def set_slowdown(self, factor: float) -> None:
        self.model.settings = msgspec.structs.replace(self.model.settings, slow=factor)

    def set_fail_share(self, share: float) -> None:
        self.model.settings = msgspec.structs.replace(self.model.settings, fail_share=share)

    def pause_until(self, until: float) -> None:
        self.paused_until = max(self.paused_until, until)

    # The model.

    def _schedule_step(self) -> None:
        at = self.model.next_at()
        if at is not None and at < self._step_due_at:
            self._step_due_at = at
            self.host.network.schedule_at(at, self._step)

    def _step(self) -> None:
        self._step_due_at = math.inf
        for output in self.model.advance(trio.current_time()):
            queue = self._output_queues.get(output.name)
            if queue is not None:
                queue.put(output)
        self._schedule_step()

    def _offer_job(self, job: Job) -> OutputQueue | Verdict:
        now = trio.current_time()
        if self.full:
            return Verdict.FULL
        for output in self.model.advance(now):
            if output.name in self._output_queues:
                self._output_queues[output.name].put(output)
        had_fallen = self.model.fallen
        verdict = self.model.offer(now, job)
        if verdict is Verdict.FALLEN:
            if not had_fallen:
                share = self.model.speed_share(now)
                self.checker.report_violation(
                    "cold", f"{self.uid} was pushed over at {share:.2f} of its speed", self.host.name
                )
            for queue in self._output_queues.values():
                queue.put(None)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        new_queue = self._output_queues[job.name] = OutputQueue()
        self._schedule_step()
        return new_queue

    # Connections.

    async def _handle_connection(self, sock: VirtualSocket) -> None:
        try:
            first = b""
            while len(first) < 3:
                data = await sock.recv()
                if not data:
                    return
                first += data
            if first.startswith(b"PRI"):
                await GrpcConnection(self, sock).run(first)
            else:
                await HttpConnection(self, sock).run(first)
        except CONNECTION_ERRORS:
            pass
        finally:
            sock.close()

    def parse_job(self, body: bytes) -> Job:
        """Return the job that a request's body describes; a body that isn't readable gets a small one."""
        try:
            chat = json.loads(body)
            prompt, output = int(chat["prompt_tokens"]), int(chat["max_tokens"])
        except (ValueError, LookupError, TypeError):
            prompt, output = 100, 4
        self._job_count += 1
        return Job(f"{self._job_count}", prompt, output)

    def take_spoil_kind(self) -> str:
        """Return how to spoil the next answer, or an empty string for an intact one."""
        if self.spoils_left <= 0:
            return ""
        self.spoils_left -= 1
        return self.spoil_kind

    async def receive_until_end(self, sock: VirtualSocket) -> None:
        while await sock.recv():
            pass

    async def offer(self, sock: VirtualSocket, job: Job) -> OutputQueue | Verdict:
        """Offer a job to the model; a job that it takes must be passed to `finish`."""
        result = self._offer_job(job)
        if isinstance(result, OutputQueue):
            assert sock.inbox is not None
            sock.inbox.on_end.append(result.close)
        return result

    def finish(self, sock: VirtualSocket, job: Job, queue: OutputQueue, completed: bool) -> None:
        self._output_queues.pop(job.name, None)
        if sock.inbox is not None and queue.close in sock.inbox.on_end:
            sock.inbox.on_end.remove(queue.close)
        if not completed:
            self.model.cancel(trio.current_time(), job.name)

    async def wait_while_paused(self) -> None:
        while trio.current_time() < self.paused_until:
            await trio.sleep_until(self.paused_until)

    def load_report(self) -> str:
        return self.model.report(trio.current_time()).text()


def encode_event(number: int, finish: str = "") -> bytes:
    end = f',"finish_reason":"{finish}"' if finish else ""
    return f'data: {{"choices":[{{"index":0,"delta":{{"content":"w{number} "}}{end}}}]}}\n\n'.encode()


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class HttpConnection:
    """A connection to a virtual server over HTTP/1.1."""

    def __init__(self, server: VirtualServer, sock: VirtualSocket) -> None:
        self.server, self.sock = server, sock

    async def run(self, first: bytes) -> None:
        reader, data = HttpReader(answers=False), first
        head: Head | None = None
        body = b""
        while data:
            for item in reader.feed(data):
                if isinstance(item, Head):
                    head, body = item, b""
                elif isinstance(item, Part):
                    body += item.data
                elif isinstance(item, End):
                    assert head is not None
                    if not await self.handle_request(head, body):
                        return
            data = await self.sock.recv()

    async def send_empty_answer(self, status: str, extra: str = "") -> bool:
        report = f"Endpoint-Load-Metrics: {self.server.load_report()}\r\n"
        text = f"HTTP/1.1 {status}\r\n{report}{extra}Content-Length: 0\r\n\r\n"
        await self.sock.send_all(text.encode())
        return True

    async def handle_request(self, head: Head, body: bytes) -> bool:
        """Answer a request; return whether the connection may carry another one."""
        server, sock = self.server, self.sock
        await server.wait_while_paused()
        if not head.start_line.startswith(b"POST "):
            return await self.send_empty_answer("200 OK")
        if server.hangs:
            await server.receive_until_end(sock)
            return False
        job = server.parse_job(body)
        queue = await server.offer(sock, job)
        if queue is Verdict.ERROR:
            return await self.send_empty_answer("500 Error")
        if queue is Verdict.FALLEN:
            return False
        if isinstance(queue, Verdict):
            return await self.send_empty_answer("503 Full", "X-Never-Ran: 1\r\n")
        completed, spoil_kind = False, server.take_spoil_kind()
        try:
            completed = await self._stream(job, queue, spoil_kind)
        finally:
            server.finish(sock, job, queue, completed)
        return completed and not spoil_kind and not server.plan.brief

    async def _stream(self, job: Job, queue: OutputQueue, spoil_kind: str) -> bool:
        server, sock, count = self.server, self.sock, 0
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        opening = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        while (output := await queue.get()) is not None:
            await server.wait_while_paused()
            count += 1
            if spoil_kind and (count > 1 or spoil_kind in REPLACES_FIRST_EVENT or output.done):
                return await self._send_spoilt(spoil_kind, opening if count == 1 else b"", head.encode())
            data = opening if count == 1 else b""
            data += encode_chunk(encode_event(count, "stop" if output.done else ""))
            if output.done:
                cached = f'{{"cached_tokens":{output.cached_tokens}}}'
                usage = f'data: {{"choices":[],"usage":{{"prompt_tokens_details":{cached}}}}}\n\n'
                data += encode_chunk(usage.encode() + b"data: [DONE]\n\n")
                data += (
                    encode_chunk(f": Endpoint-Load-Metrics: {server.load_report()}\n\n".encode())
                    + b"0\r\n\r\n"
                )
            await sock.send_all(data)
            if output.done:
                return True
        return False

    async def _send_spoilt(self, kind: str, opening: bytes, head: bytes) -> bool:
        """Send a spoilt answer in place of the next event; return False, so that the connection ends."""
        sock, event_chunk = self.sock, opening + encode_chunk(encode_event(0))
        match kind:
            case "cut":
                await sock.send_all(event_chunk)
            case "reset":
                await sock.send_all(event_chunk)
                sock.abort()
            case "size":
                await sock.send_all(opening + b"7\r\n" + encode_event(0) + b"\r\n")
            case "noise":
                await sock.send_all(opening + encode_chunk(b"\x00\x01 not an event\n\n") + b"0\r\n\r\n")
            case "half":
                await sock.send_all(opening + encode_chunk(encode_event(0))[:-20])
                await self.server.receive_until_end(sock)
            case "head":
                await sock.send_all(head)
                await self.server.receive_until_end(sock)
            case "empty":
                await sock.send_all(opening)
            case "lost":
                await self.server.receive_until_end(sock)
            case "garbage":
                await sock.send_all(b"\x16\x03\x01\x02\x00 none of this is HTTP\r\n\r\n")
            case "extra":
                await sock.send_all(event_chunk + b"0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        return False


class GrpcConnection:
    """A connection to a virtual server over gRPC."""

    def __init__(self, server: VirtualServer, sock: VirtualSocket) -> None:
        self.server, self.sock = server, sock
        self.writer = FrameWriter()

    async def run(self, first: bytes) -> None:
        reader, data = FrameReader(preface=True), first
        paths: dict[int, str] = {}
        bodies: dict[int, bytes] = {}
        await self.sock.send_all(self.writer.preface(client=False))
        while data:
            unsent = b""
            for frame in reader.feed(data):
                if frame.kind == HEADERS:
                    paths[frame.stream], bodies[frame.stream] = (
                        reader.decode_fields(frame).get(":path", ""),
                        b"",
                    )
                elif frame.kind == DATA and frame.stream in bodies:
                    bodies[frame.stream] += frame.data()
                unsent += self.writer.acknowledge(frame)
                if frame.ends and frame.stream in bodies:
                    if unsent:
                        await self.sock.send_all(unsent)
                        unsent = b""
                    if not await self.handle_request(
                        frame.stream, paths.pop(frame.stream), bodies.pop(frame.stream)
                    ):
                        return
            if unsent:
                await self.sock.send_all(unsent)
            data = await self.sock.recv()

    def encode_status(self, stream: int, code: int, has_begun: bool, **extra: str) -> bytes:
        """Return the trailers with a status; without a body before them, as a trailers-only answer."""
        fields = [("endpoint-load-metrics", self.server.load_report())]
        fields += [(name.replace("_", "-"), value) for name, value in extra.items()]
        end = trailers(code, "", fields)
        return self.writer.headers(stream, end if has_begun else [*GRPC_ANSWER_HEAD, *end], ends=True)

    async def handle_request(self, stream: int, path: str, body: bytes) -> bool:
        server, sock = self.server, self.sock
        await server.wait_while_paused()
        if server.hangs:
            await server.receive_until_end(sock)
            return False
        request = pb.ModelInferRequest.FromString(body[5:])
        raw = request.raw_input_contents[0] if request.raw_input_contents else b""
        job = server.parse_job(raw[4:])
        queue = await server.offer(sock, job)
        if queue is Verdict.FALLEN:
            return False
        if isinstance(queue, Verdict):
            if queue is Verdict.ERROR:
                await sock.send_all(self.encode_status(stream, Code.INTERNAL, False))
            else:
                await sock.send_all(self.encode_status(stream, Code.UNAVAILABLE, False, x_never_ran="1"))
            return True
        completed, spoil_kind = False, server.take_spoil_kind()
        try:
            is_unary = not path.endswith("ModelStreamInfer")
            completed = await self._stream(stream, request.id, queue, spoil_kind, is_unary)
        finally:
            server.finish(sock, job, queue, completed)
        return completed and not spoil_kind and not server.plan.brief

    def _message(self, name: str, number: int, is_unary: bool) -> bytes:
        text = f"w{number} ".encode()
        response = pb.ModelInferResponse(
            model_name="desc", id=name, raw_output_contents=[len(text).to_bytes(4, "little") + text]
        )
        message = response if is_unary else pb.ModelStreamInferResponse(infer_response=response)
        return encode_message_frame(message.SerializeToString())

    async def _stream(
        self, stream: int, name: str, queue: OutputQueue, spoil_kind: str, is_unary: bool
    ) -> bool:
        server, sock, count = self.server, self.sock, 0
        while (output := await queue.get()) is not None:
            if is_unary and not output.done:
                continue
            await server.wait_while_paused()
            count += 1
            data = self.writer.headers(stream, GRPC_ANSWER_HEAD) if count == 1 else b""
            message = self._message(name, count, is_unary)
            if spoil_kind and (count > 1 or output.done or spoil_kind in REPLACES_FIRST_EVENT):
                return await self._send_spoilt(spoil_kind, stream, data, message)
            data += self.writer.data(stream, message)
            if output.done:
                data += self.encode_status(stream, Code.OK, True)
                data += self.writer.goaway(stream, 0) if server.plan.brief else b""
            await sock.send_all(data)
            if output.done:
                if server.plan.brief:  # as when a server closes its socket with unread bytes
                    sock.abort()
                return True
        return False

    async def _send_spoilt(self, kind: str, stream: int, opening: bytes, message: bytes) -> bool:
        """Do the same as `HttpConnection._send_spoilt`, in place of the next message."""
        sock, writer = self.sock, self.writer
        match kind:
            case "cut":
                await sock.send_all(opening + writer.data(stream, message))
            case "reset":
                await sock.send_all(opening + writer.rst_stream(stream, 2))
                await self.server.receive_until_end(sock)
            case "size":
                await sock.send_all(
                    opening + writer.data(stream, message[:-3]) + self.encode_status(stream, Code.OK, True)
                )
            case "noise":
                await sock.send_all(opening + writer.data(stream, b"\x01" + message[1:]))
                await self.server.receive_until_end(sock)
            case "half":
                await sock.send_all((opening + writer.data(stream, message))[:-4])
                await self.server.receive_until_end(sock)
            case "head":
                await sock.send_all(opening[:12])
                await self.server.receive_until_end(sock)
            case "empty":
                await sock.send_all(opening)
            case "lost":
                await self.server.receive_until_end(sock)
            case "garbage":
                await sock.send_all(b"\xff" * 40)
            case "extra":
                end = self.encode_status(stream, Code.OK, True)
                await sock.send_all(opening + writer.data(stream, message) + end + writer.goaway(stream, 0))
        return False
