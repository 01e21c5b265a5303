"""Call attempts and probes at an engine that speaks the platform's protocol."""

from __future__ import annotations

import json

import h11
import trio

from ...interface import Metric, Status
from ...routing.types import RPC, CallProgress, Report
from ...transport.budget import Descriptors
from ...transport.connection import Connection, ConnectionLost
from ...transport.pool import Pool
from .. import engine
from ..engine import PooledEngineClient, ProtocolFault
from ..loads import HEADER, parse_load
from .fields import HttpPayload

LARGEST_LINE = 16 * 1024
REPORT_LINE = b": " + HEADER.encode() + b":"


class EngineLine:
    """A connection to an engine, with its parser."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.parser = h11.Connection(h11.CLIENT)

    async def usable(self) -> bool:
        return not self.connection.stale

    async def next_event(self) -> h11.Event:
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ProtocolFault(str(error)) from None
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self.connection.receive())
            elif event is h11.PAUSED:
                raise ConnectionLost("bytes after the answer")
            else:
                return event  # type: ignore[return-value]

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
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
        return self.parser.our_state is h11.IDLE


class StreamNotes:
    """Reads along in a stream, for the usage event and the closing load report."""

    def __init__(self) -> None:
        self.cached_tokens = 0
        self.load: dict[Metric, float] = {}
        self._rest = b""

    def read(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > LARGEST_LINE:  # no note is that long, and memory is short
            self._rest = b""
        for line in lines:
            if line.startswith(REPORT_LINE):
                self.load = parse_load(line[len(REPORT_LINE) :].decode("latin-1"))
            elif line.startswith(b"data: {") and b'"usage"' in line:
                self._usage(line[6:])

    def _usage(self, text: bytes) -> None:
        try:
            cached = json.loads(text)["usage"]["prompt_tokens_details"]["cached_tokens"]
            self.cached_tokens = int(cached)
        except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
            pass  # an engine may leave it out, or write anything


class HttpEngineClient(PooledEngineClient[EngineLine, EngineLine]):
    def __init__(
        self,
        address: str,
        budget: Descriptors,
        connect_timeout_s: float,
        conn_idle_s: float,
        probe_path: str,
    ) -> None:
        super().__init__(Pool(address, EngineLine, budget, connect_timeout_s, conn_idle_s))
        self._host = address.encode()
        self._probe_path = probe_path.encode()

    async def send(self, line: EngineLine, rpc: RPC, progress: CallProgress) -> EngineLine:
        payload = rpc.payload
        assert isinstance(payload, HttpPayload)
        request = h11.Request(
            method=b"POST",
            target=payload.target,
            headers=[
                (b"host", self._host),
                (b"x-trace-id", payload.trace_id),
                (b"x-expires-in", b"%du" % max(int(progress.wait_s() * 1e6), 1)),
                (b"content-type", payload.content_type),
                (b"content-length", b"%d" % len(payload.body)),
            ],
        )
        await line.send(request, payload.body)
        return line

    async def answer(self, exchange: EngineLine, progress: CallProgress) -> Report:
        head = await exchange.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await exchange.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionLost("closed without an answer")
        headers = dict(head.headers)
        load = parse_load(headers.get(HEADER.lower().encode(), b"").decode("latin-1"))
        if head.status_code != 200:
            never_ran = head.status_code in (503, 504) and headers.get(b"x-never-ran") == b"1"
            await exchange.rest()
            status = Status.FULL if never_ran else Status.ERROR
            return Report(status, load, note=f"HTTP {head.status_code}")
        notes = StreamNotes()
        notes.load = load
        while True:
            with trio.move_on_after(engine.SILENCE_S) as silence:
                event = await exchange.next_event()
            if silence.cancelled_caught:
                raise ConnectionLost("silent within a stream")
            if isinstance(event, h11.EndOfMessage):
                return Report(Status.OK, notes.load, notes.cached_tokens)
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the stream was cut off")
            data = bytes(event.data)
            notes.read(data)
            await progress.event(data)

    async def ask_load(self, line: EngineLine) -> Report:
        await line.send(h11.Request(method=b"GET", target=self._probe_path, headers=[(b"host", self._host)]))
        head = await line.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionLost("closed without an answer")
        body = (await line.rest()).decode("latin-1")
        text = body.strip() or dict(head.headers).get(HEADER.lower().encode(), b"").decode("latin-1")
        text = text.removeprefix(HEADER + ":").strip()
        status = Status.OK if head.status_code == 200 else Status.FULL
        return Report(status, parse_load(text), note=f"HTTP {head.status_code}")
