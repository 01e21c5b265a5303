"""Call attempts and probes at an engine that speaks the platform's protocol."""

from __future__ import annotations

import json

import h11
import trio

from ...interface import Metric, Status
from ...routing.types import RPC, AttemptProgress, AttemptResult
from ...transport.budget import DescriptorBudget
from ...transport.connection import Connection, ConnectionLost, Dial, dial
from ...transport.pool import ConnectionPool
from .. import server_client
from ..loads import LOAD_REPORT_HEADER, parse_load
from ..server_client import PooledServerClient, ServerProtocolError
from .fields import HttpPayload

LARGEST_LINE = 16 * 1024
# The request is at fault, not the engine: another would say the same, so the client gets this word as it is.
VERDICTS = frozenset(range(400, 500)) - {408, 425, 429}
# A faulty engine may send an answer twice, the second one some milliseconds late, and HTTP/1.1 can't tell it
# from the answer to the next request. What comes while a connection rests shows that it can't be used again.
REST_S = 0.02
FIELD_NAMES = (b"data", b"", b"event", b"id", b"retry")  # of an event stream; an empty one is a comment
BLANK = (b"", b"\r")
REPORT_LINE = b": " + LOAD_REPORT_HEADER.encode() + b":"


class ServerConnection:
    """A connection to an engine, with its parser."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.parser = h11.Connection(h11.CLIENT)
        self.chunked = False

    async def usable(self) -> bool:
        return not self.connection.stale

    async def next_event(self) -> h11.Event:
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ServerProtocolError(str(error)) from None
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self.connection.receive())
            elif event is h11.PAUSED:
                raise ConnectionLost("bytes after the answer")
            else:
                return event  # type: ignore[return-value]

    async def head(self) -> h11.Response:
        """The answer's head; informational ones in front of it are passed over."""
        while True:
            if not self.parser.trailing_data[0] and not self.connection.unread:
                await self.connection.fill()  # for as long as the caller waits
            with trio.move_on_after(server_client.FIRST_EVENT_TIMEOUT_S) as opening:
                event = await self.next_event()
            if opening.cancelled_caught:
                raise ConnectionLost("a head without an end")
            if isinstance(event, h11.Response):
                coding = dict(event.headers).get(b"transfer-encoding")
                self.chunked = coding == b"chunked"
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("closed without an answer")

    async def send(self, request: h11.Request, body: bytes = b"") -> None:
        parts = [self.parser.send(request) or b""]
        if body:  # passed through as it is: a copy of each body in flight would weigh on the memory limit
            parts += self.parser.send_with_data_passthrough(h11.Data(data=body)) or []
        parts.append(self.parser.send(h11.EndOfMessage()) or b"")
        await self.connection.send(*parts)

    async def rest(self) -> bytes:
        """The body of a short answer."""
        parts = []
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the answer was cut off")
            parts.append(bytes(event.data))
            if sum(map(len, parts)) > LARGEST_LINE:
                raise ConnectionLost("the answer is too long")
        return b"".join(parts)

    def renew(self) -> bool:
        # Guards the next request: what came behind this answer is not its answer.
        if self.parser.trailing_data[0] or self.connection.unread:
            return False
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
        return self.parser.our_state is h11.IDLE


class Events:
    """Cuts whole events out of a stream, and reads the usage event and the closing load report on the way."""

    def __init__(self) -> None:
        self.cached_tokens = 0
        self.load: dict[Metric, float] = {}
        self._held = bytearray()

    def feed(self, data: bytes) -> bytes:
        """The events that are whole now, unchanged. Guards the client against noise, and the memory against
        an event that never ends; ProtocolFault for what no event stream holds.
        """
        self._held += data
        end = self._held.rfind(b"\n\n") + 2
        if end == 1:
            end = self._held.rfind(b"\n\r\n") + 3
            if end == 2:
                if len(self._held) > server_client.MAX_EVENT_BYTES:
                    raise ServerProtocolError("an event without an end")
                return b""
        whole = bytes(self._held[:end])
        del self._held[:end]
        self._read(whole)
        return whole

    def rest(self) -> bytes:
        """What is left at the stream's end: an event that lacks its blank line, or nothing."""
        rest = bytes(self._held)
        self._read(rest)
        return rest

    def _read(self, data: bytes) -> None:
        for line in data.split(b"\n"):
            if line.startswith(REPORT_LINE):
                self.load = parse_load(line[len(REPORT_LINE) :].decode("latin-1"))
            elif line.startswith(b"data: {") and b'"usage"' in line:
                self._usage(line[6:])
            elif line not in BLANK and line.partition(b":")[0].rstrip(b"\r") not in FIELD_NAMES:
                raise ServerProtocolError("not an event stream")

    def _usage(self, text: bytes) -> None:
        try:
            cached = json.loads(text)["usage"]["prompt_tokens_details"]["cached_tokens"]
            self.cached_tokens = int(cached)
        except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
            pass  # an engine may leave it out, or write anything


class HttpServerClient(PooledServerClient[ServerConnection, ServerConnection]):
    """Call attempts and probes at one engine over HTTP/1.1."""

    def __init__(
        self,
        address: str,
        budget: DescriptorBudget,
        connect_timeout_s: float,
        conn_idle_s: float,
        probe_path: str,
        dial: Dial = dial,
        max_idle: int = 1 << 30,
    ) -> None:
        super().__init__(
            ConnectionPool(
                address, ServerConnection, budget, connect_timeout_s, conn_idle_s, dial, max_idle, REST_S
            )
        )
        self._host = address.encode()
        self._probe_path = probe_path.encode()

    async def send(self, line: ServerConnection, rpc: RPC, progress: AttemptProgress) -> ServerConnection:
        payload = rpc.payload
        assert isinstance(payload, HttpPayload)
        request = h11.Request(
            method=b"POST",
            target=payload.target,
            headers=[
                (b"host", self._host),
                (b"x-trace-id", payload.trace_id),
                (b"x-expires-in", b"%du" % max(int(progress.first_event_timeout_s() * 1e6), 1)),
                (b"content-type", payload.content_type),
                (b"content-length", b"%d" % len(payload.body)),
                *payload.other_fields,
            ],
        )
        await line.send(request, payload.body)
        return line

    async def answer(self, exchange: ServerConnection, progress: AttemptProgress) -> AttemptResult:
        head = await exchange.head()
        headers = dict(head.headers)
        load = parse_load(headers.get(LOAD_REPORT_HEADER.lower().encode(), b"").decode("latin-1"))
        if head.status_code != 200:
            never_ran = head.status_code in (503, 504) and headers.get(b"x-never-ran") == b"1"
            note = f"HTTP {head.status_code}"
            await exchange.rest()
            if head.status_code in VERDICTS:
                return AttemptResult(Status.OK, load, note=note, server_status=head.status_code)
            return AttemptResult(Status.FULL if never_ran else Status.ERROR, load, note=note)
        events = Events()
        events.load = load
        limit, chunk = server_client.FIRST_EVENT_TIMEOUT_S, bytearray()
        while True:
            with trio.move_on_after(limit) as silence:
                whole = b""
                while not whole:
                    event = await exchange.next_event()
                    if isinstance(event, h11.EndOfMessage):
                        if rest := events.rest():
                            await progress.forward_event(rest)
                        return AttemptResult(Status.OK, events.load, events.cached_tokens)
                    if not isinstance(event, h11.Data):
                        raise ConnectionLost("the stream was cut off")
                    # A chunk counts once it has come to its end: what is in one of the wrong size, or in one
                    # that never ends, is no event.
                    chunk += event.data
                    if len(chunk) > server_client.MAX_EVENT_BYTES:
                        raise ServerProtocolError("a chunk too large")
                    if event.chunk_end or not exchange.chunked:
                        whole = events.feed(bytes(chunk))
                        chunk.clear()
            if silence.cancelled_caught:
                raise ConnectionLost("silent within a stream")
            limit = server_client.EVENT_GAP_TIMEOUT_S
            await progress.forward_event(whole)

    async def ask_load(self, line: ServerConnection) -> AttemptResult:
        await line.send(h11.Request(method=b"GET", target=self._probe_path, headers=[(b"host", self._host)]))
        head = await line.head()
        body = (await line.rest()).decode("latin-1")
        text = body.strip() or dict(head.headers).get(LOAD_REPORT_HEADER.lower().encode(), b"").decode(
            "latin-1"
        )
        text = text.removeprefix(LOAD_REPORT_HEADER + ":").strip()
        status = Status.OK if head.status_code == 200 else Status.FULL
        return AttemptResult(status, parse_load(text), note=f"HTTP {head.status_code}")
