"""HTTP/1.1 for the lab's peers (h11), and an engine's side of the platform's protocol on it."""

from __future__ import annotations

import json
from collections.abc import Callable

import h11
import trio

from ..engine import Verdict
from .host import EngineHost, job_of, words

LARGEST_BODY = 512 * 1024
SERVED_PATH = "/v1/chat/completions"
REPORT = b"Endpoint-Load-Metrics"
Close = (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class Wire:
    """The server's end of a connection."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.parser = h11.Connection(h11.SERVER)

    async def send(self, *events: h11.Event) -> None:
        await self.stream.send_all(b"".join(self.parser.send(event) or b"" for event in events))

    async def _next(self) -> h11.Event | None:
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(bytes(await self.stream.receive_some(65536)))
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
            else:
                return event  # type: ignore[return-value]

    async def request(self) -> tuple[h11.Request, bytes] | None:
        """The next whole request; None at the connection's end."""
        head = await self._next()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        while isinstance(event := await self._next(), h11.Data):
            body += event.data
            if len(body) > LARGEST_BODY:
                return None
        return (head, bytes(body)) if isinstance(event, h11.EndOfMessage) else None

    async def answer(self, status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> None:
        head = h11.Response(
            status_code=status, headers=[*headers, (b"content-length", str(len(body)).encode())]
        )
        await self.send(head, h11.Data(data=body), h11.EndOfMessage())

    async def start(self, kind: bytes) -> None:
        head = h11.Response(
            status_code=200, headers=[(b"content-type", kind), (b"transfer-encoding", b"chunked")]
        )
        await self.send(head)

    def again(self) -> bool:
        """Make ready for the next request, if the connection can carry one."""
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True


def field(head: h11.Request, name: bytes) -> str:
    return next((v.decode("latin-1") for k, v in head.headers if k == name), "")


async def until_left(wire: Wire, cancel: Callable[[], None]) -> None:
    """The router closes its connection, or ends its sending on it, to give an attempt up."""
    try:
        while data := await wire.stream.receive_some(65536):
            wire.parser.receive_data(bytes(data))
    except Close:
        pass
    cancel()


def event(delta: str, finish: str | None) -> bytes:
    choice = {"index": 0, "delta": {"content": delta} if delta else {}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}, separators=(",", ":")).encode() + b"\n\n"


async def serve_engine(host: EngineHost, stream: trio.abc.Stream) -> None:
    """One connection of a router."""
    wire = Wire(stream)
    while (got := await wire.request()) is not None:
        head, body = got
        path = head.target.partition(b"?")[0].decode("latin-1")
        report = (REPORT, host.report().encode())
        if path in ("/alive", "/metrics/load"):
            status = 503 if host.model.draining or host.model.fallen else 200
            await wire.answer(status, host.report().encode() if path == "/metrics/load" else b"", report)
        elif path != SERVED_PATH or head.method != b"POST":
            await wire.answer(404)
        elif not (name := field(head, b"x-trace-id")):
            await wire.answer(400)
        else:
            await _serve(host, wire, name, body, report)
        if not wire.again():
            return


async def _serve(host: EngineHost, wire: Wire, name: str, body: bytes, report: tuple[bytes, bytes]) -> None:
    job, key = job_of(name, body, host.settings)
    pending = host.start(job, key)
    if isinstance(pending, Verdict):
        if pending is Verdict.ERROR:
            await wire.answer(500, b"", report)
        elif pending is Verdict.DUPLICATE:
            await wire.answer(409)
        elif pending is Verdict.FALLEN:
            await wire.stream.aclose()  # nobody answers on a server that lies down
        else:
            await wire.answer(503, b"", report, (b"X-Never-Ran", b"1"))
        return
    whole = False
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(until_left, wire, nursery.cancel_scope.cancel)
            made, held, started = 0, 0, False
            while (output := await pending.get()) is not None:
                held += output.tokens
                if started and not output.done and held < host.settings.tokens_per_event:
                    continue
                if not started:
                    started = True
                    await wire.start(b"text/event-stream")
                out = event(words(name, made, held), "stop" if output.done else None)
                made, held = made + held, 0
                await wire.send(h11.Data(data=out))
                if output.done:
                    usage = {
                        "prompt_tokens": job.prompt_tokens,
                        "completion_tokens": made,
                        "prompt_tokens_details": {"cached_tokens": output.cached_tokens},
                    }
                    closing = {"choices": [], "usage": usage}
                    tail = b"data: " + json.dumps(closing, separators=(",", ":")).encode() + b"\n\n"
                    tail += b"data: [DONE]\n\n"
                    tail += b": " + REPORT + b": " + host.report().encode() + b"\n\n"
                    await wire.send(h11.Data(data=tail), h11.EndOfMessage())
                    whole = True
                    break
            nursery.cancel_scope.cancel()
    finally:
        host.done(job, key, whole)
    if not whole:
        await wire.stream.aclose()
