"""Call attempts and probes at an engine that speaks the platform's protocol."""

from __future__ import annotations

import json

import h11
import trio

from ...interface import Metric, Status
from ...routing.types import RPC, CallProgress, Report
from ...transport.budget import Descriptors
from ...transport.connection import Connection, ConnectionLost, DialFailed
from ...transport.pool import Pool
from ..loads import HEADER, parse_load
from .fields import HttpPayload

# An engine that goes silent within a stream: its client would wait for ever, since a vanished machine says
# nothing. Longer than a slow engine's pause between events, shorter than the 5 s that the platform allows.
SILENCE_S = 3.5
PROBE_S = 0.25
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
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self.connection.receive())
            elif event is h11.PAUSED:
                raise ConnectionLost("bytes after the answer")
            else:
                return event  # type: ignore[return-value]

    async def send(self, request: h11.Request, body: bytes = b"") -> None:
        out = self.parser.send(request) or b""
        if body:
            out += self.parser.send(h11.Data(data=body)) or b""
        out += self.parser.send(h11.EndOfMessage()) or b""
        await self.connection.send(out)

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

    @property
    def reusable(self) -> bool:
        return self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE


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
        except (ValueError, TypeError, LookupError):
            pass  # an engine may leave it out


class HttpEngineClient:
    def __init__(
        self,
        address: str,
        budget: Descriptors,
        connect_timeout_s: float,
        conn_idle_s: float,
        probe_path: str,
    ) -> None:
        self._host = address.encode()
        self._pool = Pool(address, EngineLine, budget, connect_timeout_s, conn_idle_s)
        self._probe_path = probe_path.encode()
        self.close_idle = self._pool.close_idle
        self.discard = self._pool.discard
        self.trim = self._pool.trim

    async def call(self, rpc: RPC, progress: CallProgress) -> Report:
        payload = rpc.payload
        assert isinstance(payload, HttpPayload)
        try:
            line = await self._pool.get()
        except DialFailed as error:
            return Report(Status.CONNECT_FAILED, note=str(error))
        clean = False
        try:
            if not progress.may_send():
                clean = True
                return Report(Status.NOT_SENT, note="drained while dialling")
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
            try:
                await line.send(request, payload.body)
            except ConnectionLost as error:
                # Its last byte was not written: it never ran, and the transport never sends it again.
                return Report(Status.CONNECT_FAILED, note=str(error))
            del payload, request
            try:
                report = await self._answer(line, progress)
            except (ConnectionLost, h11.RemoteProtocolError) as error:
                return Report(Status.RESET, note=str(error))
            clean = line.reusable
            return report
        finally:
            self._give_back(line, clean)

    def _give_back(self, line: EngineLine, clean: bool) -> None:
        """Keep the connection if its last exchange is complete; else closing it gives the attempt up."""
        if not clean:
            line.connection.close()
            return
        if line.parser.our_state is h11.DONE:
            line.parser.start_next_cycle()
        self._pool.put(line)

    async def _answer(self, line: EngineLine, progress: CallProgress) -> Report:
        head = await line.next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await line.next_event()
        if not isinstance(head, h11.Response):
            raise ConnectionLost("closed without an answer")
        headers = dict(head.headers)
        load = parse_load(headers.get(HEADER.lower().encode(), b"").decode("latin-1"))
        if head.status_code != 200:
            never_ran = head.status_code in (503, 504) and headers.get(b"x-never-ran") == b"1"
            await line.rest()
            status = Status.FULL if never_ran else Status.ERROR
            return Report(status, load, note=f"HTTP {head.status_code}")
        notes = StreamNotes()
        notes.load = load
        while True:
            with trio.move_on_after(SILENCE_S) as silence:
                event = await line.next_event()
            if silence.cancelled_caught:
                raise ConnectionLost("silent within a stream")
            if isinstance(event, h11.EndOfMessage):
                return Report(Status.OK, notes.load, notes.cached_tokens)
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the stream was cut off")
            data = bytes(event.data)
            notes.read(data)
            await progress.event(data)

    async def probe(self) -> Report:
        with trio.move_on_after(PROBE_S):
            try:
                line = await self._pool.get()
            except DialFailed as error:
                return Report(Status.CONNECT_FAILED, note=str(error))
            clean = False
            try:
                await line.send(
                    h11.Request(method=b"GET", target=self._probe_path, headers=[(b"host", self._host)])
                )
                head = await line.next_event()
                if not isinstance(head, h11.Response):
                    raise ConnectionLost("closed without an answer")
                body = (await line.rest()).decode("latin-1")
                clean = line.reusable
            except (ConnectionLost, h11.RemoteProtocolError) as error:
                return Report(Status.RESET, note=str(error))
            finally:
                self._give_back(line, clean)
            headers = dict(head.headers)
            text = body.strip() or headers.get(HEADER.lower().encode(), b"").decode("latin-1")
            text = text.removeprefix(HEADER + ":").strip()
            status = Status.OK if head.status_code == 200 else Status.FULL
            return Report(status, parse_load(text), note=f"HTTP {head.status_code}")
        return Report(Status.TIMEOUT)
