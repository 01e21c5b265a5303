"""The lab's engine model on the world's sockets, with what can go wrong in an engine."""

from __future__ import annotations

import json
import math
from collections import deque

import msgspec
import trio

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import Code, trailers
from ...kserve.framing import frame as message_frame
from ..engine import Engine, Job, Output, Verdict
from ..settings import EngineSettings
from .frames import Writer
from .invariants import Judge
from .network import Host, VirtualSocket
from .readers import DATA, HEADERS, End, FrameReader, Head, HttpReader, ParseError, Part
from .scenario import EnginePlan

PORT = 9000
HEAD = [(":status", "200"), ("content-type", "application/grpc")]
AT_ONCE = ("head", "empty", "garbage", "lost")  # spoils that stand in for the first event
Gone = (OSError, trio.ClosedResourceError, ParseError)


class Pending:
    """What one request has gained and its connection has not written yet."""

    def __init__(self) -> None:
        self.outputs: deque[Output | None] = deque()
        self._lot = trio.lowlevel.ParkingLot()

    def put(self, output: Output | None) -> None:
        self.outputs.append(output)
        self._lot.unpark_all()

    def left(self, how: str = "") -> None:
        self.put(None)

    async def get(self) -> Output | None:
        while not self.outputs:
            await self._lot.park()
        return self.outputs.popleft()


class VirtualEngine:
    """An engine on the virtual network."""

    def __init__(
        self, judge: Judge, host: Host, uid: str, settings: EngineSettings, started_at: float
    ) -> None:
        self.judge, self.host, self.uid, self.settings = judge, host, uid, settings
        self.model = Engine(settings, started_at)
        self.hangs = self.full = self.ended = False
        self.paused_until = 0.0
        self.spoil_kind, self.spoils_left = "", 0
        self.plan = EnginePlan()
        self._pending: dict[str, Pending] = {}
        self._due = math.inf
        self._count = 0

    @property
    def endpoint(self) -> str:
        return f"{self.host.address}:{PORT}"

    # Its process.

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.host.serve(PORT, self._attend, nursery)

    def close_port(self) -> None:
        listener = self.host.listeners.get(PORT)
        if listener is not None:
            listener.close()

    def end(self) -> None:
        """Its process has ended: the kernel closes what it held."""
        self.ended = True
        for pending in self._pending.values():
            pending.put(None)
        self.host.close_sockets()

    def set_slowdown(self, factor: float) -> None:
        self.model.settings = msgspec.structs.replace(self.model.settings, slow=factor)

    def set_fail_share(self, share: float) -> None:
        self.model.settings = msgspec.structs.replace(self.model.settings, fail_share=share)

    def pause_until(self, until: float) -> None:
        self.paused_until = max(self.paused_until, until)

    # Its model.

    def _drive(self) -> None:
        at = self.model.next_at()
        if at is not None and at < self._due:
            self._due = at
            self.host.network.schedule_at(at, self._step)

    def _step(self) -> None:
        self._due = math.inf
        for output in self.model.advance(trio.current_time()):
            pending = self._pending.get(output.name)
            if pending is not None:
                pending.put(output)
        self._drive()

    def _offer(self, job: Job) -> Pending | Verdict:
        now = trio.current_time()
        if self.full:
            return Verdict.FULL
        for output in self.model.advance(now):
            if output.name in self._pending:
                self._pending[output.name].put(output)
        was = self.model.fallen
        verdict = self.model.offer(now, job)
        if verdict is Verdict.FALLEN:
            if not was:
                share = self.model.share(now)
                self.judge.violation(
                    "cold", f"{self.uid} was pushed over at {share:.2f} of its speed", self.host.name
                )
            for pending in self._pending.values():
                pending.put(None)
        if verdict is not Verdict.TAKEN:
            return verdict
        made = self._pending[job.name] = Pending()
        self._drive()
        return made

    # Its connections.

    async def _attend(self, sock: VirtualSocket) -> None:
        try:
            first = b""
            while len(first) < 3:
                data = await sock.recv()
                if not data:
                    return
                first += data
            if first.startswith(b"PRI"):
                await GrpcSide(self, sock).run(first)
            else:
                await HttpSide(self, sock).run(first)
        except Gone:
            pass
        finally:
            sock.close()

    def job(self, body: bytes) -> Job:
        try:
            chat = json.loads(body)
            prompt, output = int(chat["prompt_tokens"]), int(chat["max_tokens"])
        except (ValueError, LookupError, TypeError):
            prompt, output = 100, 4
        self._count += 1
        return Job(f"{self._count}", prompt, output)

    def take_spoil(self) -> str:
        if self.spoils_left <= 0:
            return ""
        self.spoils_left -= 1
        return self.spoil_kind

    async def until_left(self, sock: VirtualSocket) -> None:
        while await sock.recv():
            pass

    async def outputs(self, sock: VirtualSocket, job: Job) -> Pending | Verdict:
        """Offer a job; what is taken must be `done`."""
        made = self._offer(job)
        if isinstance(made, Pending):
            assert sock.inbox is not None
            sock.inbox.on_end.append(made.left)
        return made

    def done(self, sock: VirtualSocket, job: Job, pending: Pending, whole: bool) -> None:
        self._pending.pop(job.name, None)
        if sock.inbox is not None and pending.left in sock.inbox.on_end:
            sock.inbox.on_end.remove(pending.left)
        if not whole:
            self.model.cancel(trio.current_time(), job.name)

    async def unpaused(self) -> None:
        while trio.current_time() < self.paused_until:
            await trio.sleep_until(self.paused_until)

    def report(self) -> str:
        return self.model.report(trio.current_time()).text()


def event(number: int, finish: str = "") -> bytes:
    end = f',"finish_reason":"{finish}"' if finish else ""
    return f'data: {{"choices":[{{"index":0,"delta":{{"content":"w{number} "}}{end}}}]}}\n\n'.encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class HttpSide:
    """The HTTP/1.1 side of a virtual engine."""

    def __init__(self, engine: VirtualEngine, sock: VirtualSocket) -> None:
        self.engine, self.sock = engine, sock

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
                    if not await self.answer(head, body):
                        return
            data = await self.sock.recv()

    async def plain(self, status: str, extra: str = "") -> bool:
        report = f"Endpoint-Load-Metrics: {self.engine.report()}\r\n"
        text = f"HTTP/1.1 {status}\r\n{report}{extra}Content-Length: 0\r\n\r\n"
        await self.sock.send_all(text.encode())
        return True

    async def answer(self, head: Head, body: bytes) -> bool:
        """Answer a request; tells whether the connection goes on."""
        engine, sock = self.engine, self.sock
        await engine.unpaused()
        if not head.start_line.startswith(b"POST "):
            return await self.plain("200 OK")
        if engine.hangs:
            await engine.until_left(sock)
            return False
        job = engine.job(body)
        pending = await engine.outputs(sock, job)
        if pending is Verdict.ERROR:
            return await self.plain("500 Error")
        if pending is Verdict.FALLEN:
            return False
        if isinstance(pending, Verdict):
            return await self.plain("503 Full", "X-Never-Ran: 1\r\n")
        whole, spoil = False, engine.take_spoil()
        try:
            whole = await self._stream(job, pending, spoil)
        finally:
            engine.done(sock, job, pending, whole)
        return whole and not spoil and not engine.plan.brief

    async def _stream(self, job: Job, pending: Pending, spoil: str) -> bool:
        engine, sock, count = self.engine, self.sock, 0
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        opening = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        while (output := await pending.get()) is not None:
            await engine.unpaused()
            count += 1
            if spoil and (count > 1 or spoil in AT_ONCE or output.done):
                return await self._spoilt(spoil, opening if count == 1 else b"", head.encode())
            data = opening if count == 1 else b""
            data += chunk(event(count, "stop" if output.done else ""))
            if output.done:
                cached = f'{{"cached_tokens":{output.kept_tokens}}}'
                usage = f'data: {{"choices":[],"usage":{{"prompt_tokens_details":{cached}}}}}\n\n'
                data += chunk(usage.encode() + b"data: [DONE]\n\n")
                data += chunk(f": Endpoint-Load-Metrics: {engine.report()}\n\n".encode()) + b"0\r\n\r\n"
            await sock.send_all(data)
            if output.done:
                return True
        return False

    async def _spoilt(self, how: str, opening: bytes, head: bytes) -> bool:
        """In place of the next event. False: the connection ends."""
        sock, whole = self.sock, opening + chunk(event(0))
        match how:
            case "cut":
                await sock.send_all(whole)
            case "reset":
                await sock.send_all(whole)
                sock.abort()
            case "size":
                await sock.send_all(opening + b"7\r\n" + event(0) + b"\r\n")
            case "noise":
                await sock.send_all(opening + chunk(b"\x00\x01 not an event\n\n") + b"0\r\n\r\n")
            case "half":
                await sock.send_all(opening + chunk(event(0))[:-20])
                await self.engine.until_left(sock)
            case "head":
                await sock.send_all(head)
                await self.engine.until_left(sock)
            case "empty":
                await sock.send_all(opening)
            case "lost":
                await self.engine.until_left(sock)
            case "garbage":
                await sock.send_all(b"\x16\x03\x01\x02\x00 none of this is HTTP\r\n\r\n")
            case "extra":
                await sock.send_all(whole + b"0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        return False


class GrpcSide:
    """The gRPC side of a virtual engine."""

    def __init__(self, engine: VirtualEngine, sock: VirtualSocket) -> None:
        self.engine, self.sock = engine, sock
        self.writer = Writer()

    async def run(self, first: bytes) -> None:
        reader, data = FrameReader(preface=True), first
        paths: dict[int, str] = {}
        bodies: dict[int, bytes] = {}
        await self.sock.send_all(self.writer.opening(client=False))
        while data:
            out = b""
            for got in reader.feed(data):
                if got.kind == HEADERS:
                    paths[got.stream], bodies[got.stream] = reader.decode_fields(got).get(":path", ""), b""
                elif got.kind == DATA and got.stream in bodies:
                    bodies[got.stream] += got.data()
                out += self.writer.reply(got)
                if got.ends and got.stream in bodies:
                    if out:
                        await self.sock.send_all(out)
                        out = b""
                    if not await self.answer(got.stream, paths.pop(got.stream), bodies.pop(got.stream)):
                        return
            if out:
                await self.sock.send_all(out)
            data = await self.sock.recv()

    def status(self, stream: int, code: int, begun: bool, **extra: str) -> bytes:
        fields = [("endpoint-load-metrics", self.engine.report())]
        fields += [(k.replace("_", "-"), v) for k, v in extra.items()]
        out = trailers(code, "", fields)
        return self.writer.headers(stream, out if begun else [*HEAD, *out], ends=True)

    async def answer(self, stream: int, path: str, body: bytes) -> bool:
        engine, sock = self.engine, self.sock
        await engine.unpaused()
        if engine.hangs:
            await engine.until_left(sock)
            return False
        request = pb.ModelInferRequest.FromString(body[5:])
        raw = request.raw_input_contents[0] if request.raw_input_contents else b""
        job = engine.job(raw[4:])
        pending = await engine.outputs(sock, job)
        if pending is Verdict.FALLEN:
            return False
        if isinstance(pending, Verdict):
            if pending is Verdict.ERROR:
                await sock.send_all(self.status(stream, Code.INTERNAL, False))
            else:
                await sock.send_all(self.status(stream, Code.UNAVAILABLE, False, x_never_ran="1"))
            return True
        whole, spoil = False, engine.take_spoil()
        try:
            unary = not path.endswith("ModelStreamInfer")
            whole = await self._stream(stream, request.id, pending, spoil, unary)
        finally:
            engine.done(sock, job, pending, whole)
        return whole and not spoil and not engine.plan.brief

    def _message(self, name: str, number: int, unary: bool) -> bytes:
        text = f"w{number} ".encode()
        out = pb.ModelInferResponse(
            model_name="desc", id=name, raw_output_contents=[len(text).to_bytes(4, "little") + text]
        )
        made = out if unary else pb.ModelStreamInferResponse(infer_response=out)
        return message_frame(made.SerializeToString())

    async def _stream(self, stream: int, name: str, pending: Pending, spoil: str, unary: bool) -> bool:
        engine, sock, count = self.engine, self.sock, 0
        while (output := await pending.get()) is not None:
            if unary and not output.done:
                continue
            await engine.unpaused()
            count += 1
            data = self.writer.headers(stream, HEAD) if count == 1 else b""
            message = self._message(name, count, unary)
            if spoil and (count > 1 or output.done or spoil in AT_ONCE):
                return await self._spoilt(spoil, stream, data, message)
            data += self.writer.data(stream, message)
            if output.done:
                data += self.status(stream, Code.OK, True)
                data += self.writer.goaway(stream, 0) if engine.plan.brief else b""
            await sock.send_all(data)
            if output.done:
                if engine.plan.brief:  # as a server that closes with bytes unread
                    sock.abort()
                return True
        return False

    async def _spoilt(self, how: str, stream: int, opening: bytes, message: bytes) -> bool:
        sock, writer = self.sock, self.writer
        match how:
            case "cut":
                await sock.send_all(opening + writer.data(stream, message))
            case "reset":
                await sock.send_all(opening + writer.reset(stream, 2))
                await self.engine.until_left(sock)
            case "size":
                await sock.send_all(
                    opening + writer.data(stream, message[:-3]) + self.status(stream, Code.OK, True)
                )
            case "noise":
                await sock.send_all(opening + writer.data(stream, b"\x01" + message[1:]))
                await self.engine.until_left(sock)
            case "half":
                await sock.send_all((opening + writer.data(stream, message))[:-4])
                await self.engine.until_left(sock)
            case "head":
                await sock.send_all(opening[:12])
                await self.engine.until_left(sock)
            case "empty":
                await sock.send_all(opening)
            case "lost":
                await self.engine.until_left(sock)
            case "garbage":
                await sock.send_all(b"\xff" * 40)
            case "extra":
                end = self.status(stream, Code.OK, True)
                await sock.send_all(opening + writer.data(stream, message) + end + writer.goaway(stream, 0))
        return False
