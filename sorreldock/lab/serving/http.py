"""HTTP/1.1 connections of emulated servers (h11), and the engine's side of the platform's protocol."""

from __future__ import annotations

import json
from collections.abc import Callable

import h11
import trio

from ..engine import Verdict
from .host import EngineHost, answer_text, parse_job

MAX_BODY_BYTES = 512 * 1024
SERVED_PATH = "/v1/chat/completions"
LOAD_REPORT_HEADER = b"Endpoint-Load-Metrics"
CLOSE_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)


class ServerConnection:
    """The server's end of an HTTP/1.1 connection."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.parser = h11.Connection(h11.SERVER)

    async def send(self, *events: h11.Event) -> None:
        """Write h11 events with one call of `send_all`."""
        await self.stream.send_all(b"".join(self.parser.send(event) or b"" for event in events))

    async def _next_event(self) -> h11.Event | None:
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(bytes(await self.stream.receive_some(65536)))
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
            else:
                return event  # type: ignore[return-value]

    async def read_request(self) -> tuple[h11.Request, bytes] | None:
        """Read the next whole request; return None at the connection's end or if the body is too large."""
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return None
        return (head, bytes(body)) if isinstance(event, h11.EndOfMessage) else None

    async def send_answer(self, status: int, body: bytes = b"", *headers: tuple[bytes, bytes]) -> None:
        """Send a whole answer."""
        head = h11.Response(
            status_code=status, headers=[*headers, (b"content-length", str(len(body)).encode())]
        )
        await self.send(head, h11.Data(data=body), h11.EndOfMessage())

    async def send_head(self, content_type: bytes) -> None:
        """Send the header section of a chunked answer with status 200."""
        head = h11.Response(
            status_code=200, headers=[(b"content-type", content_type), (b"transfer-encoding", b"chunked")]
        )
        await self.send(head)

    def prepare_next_request(self) -> bool:
        """Reset the parser for the next request; return False if the connection can't carry one."""
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True


def header_value(head: h11.Request, name: bytes) -> str:
    """Return the first value of a header, or an empty string; `name` is in lower case."""
    return next((v.decode("latin-1") for k, v in head.headers if k == name), "")


async def cancel_when_closed(connection: ServerConnection, cancel: Callable[[], None]) -> None:
    """Call `cancel` as soon as the router closes its side of the connection, which cancels the attempt."""
    try:
        while data := await connection.stream.receive_some(65536):
            connection.parser.receive_data(bytes(data))
    except CLOSE_ERRORS:
        pass
    cancel()


def format_event(delta: str, finish: str | None) -> bytes:
    """Return a server-sent event with a piece of a chat completion."""
    choice = {"index": 0, "delta": {"content": delta} if delta else {}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}, separators=(",", ":")).encode() + b"\n\n"


async def serve_engine(host: EngineHost, stream: trio.abc.Stream) -> None:
    """Serve one HTTP/1.1 connection of a router."""
    connection = ServerConnection(stream)
    while (received := await connection.read_request()) is not None:
        head, body = received
        path = head.target.partition(b"?")[0].decode("latin-1")
        report = (LOAD_REPORT_HEADER, host.report().encode())
        if path in ("/alive", "/metrics/load"):
            status = 503 if host.model.draining or host.model.fallen else 200
            await connection.send_answer(
                status, host.report().encode() if path == "/metrics/load" else b"", report
            )
        elif path != SERVED_PATH or head.method != b"POST":
            await connection.send_answer(404)
        elif not (name := header_value(head, b"x-trace-id")):
            await connection.send_answer(400)
        else:
            await _serve(host, connection, name, body, report)
        if not connection.prepare_next_request():
            return


async def _serve(
    host: EngineHost, connection: ServerConnection, name: str, body: bytes, report: tuple[bytes, bytes]
) -> None:
    job, key = parse_job(name, body, host.settings)
    pending = host.start(job, key)
    if isinstance(pending, Verdict):
        if pending is Verdict.ERROR:
            await connection.send_answer(500, b"", report)
        elif pending is Verdict.DUPLICATE:
            await connection.send_answer(409)
        elif pending is Verdict.FALLEN:
            await connection.stream.aclose()  # an engine that has fallen over sends no answer
        else:
            await connection.send_answer(503, b"", report, (b"X-Never-Ran", b"1"))
        return
    is_complete = False
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_when_closed, connection, nursery.cancel_scope.cancel)
            sent_tokens, pending_tokens, has_started = 0, 0, False
            while (output := await pending.get()) is not None:
                pending_tokens += output.tokens
                if has_started and not output.done and pending_tokens < host.settings.tokens_per_event:
                    continue
                if not has_started:
                    has_started = True
                    await connection.send_head(b"text/event-stream")
                out = format_event(
                    answer_text(name, sent_tokens, pending_tokens), "stop" if output.done else None
                )
                sent_tokens, pending_tokens = sent_tokens + pending_tokens, 0
                await connection.send(h11.Data(data=out))
                if output.done:
                    usage = {
                        "prompt_tokens": job.prompt_tokens,
                        "completion_tokens": sent_tokens,
                        "prompt_tokens_details": {"cached_tokens": output.cached_tokens},
                    }
                    usage_event = {"choices": [], "usage": usage}
                    data = b"data: " + json.dumps(usage_event, separators=(",", ":")).encode() + b"\n\n"
                    data += b"data: [DONE]\n\n"
                    data += b": " + LOAD_REPORT_HEADER + b": " + host.report().encode() + b"\n\n"
                    await connection.send(h11.Data(data=data), h11.EndOfMessage())
                    is_complete = True
                    break
            nursery.cancel_scope.cancel()
    finally:
        host.finish(job, key, is_complete)
    if not is_complete:
        await connection.stream.aclose()
