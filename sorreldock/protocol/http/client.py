"""Attempts and probes at a server over the platform's protocol."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import h11
import trio

from ...chunked import MAX_BODY_BYTES, ChunkScanner
from ...completeness import DATA_FIELD, IncompleteAnswer, check_event_stream, is_end_event
from ...interface import Metric, Status
from ...routing.types import RPC, AttemptProgress, AttemptResult
from ...transport.budget import DescriptorBudget
from ...transport.connection import Connection, ConnectionLost, Dial, dial
from ...transport.ledger import AccountBudget, Holding
from ...transport.pool import ConnectionPool
from .. import server_client
from ..loads import LOAD_REPORT_HEADER, parse_load
from ..server_client import PooledServerClient, ServerProtocolError, opening_time_limit
from .fields import HttpPayload

MAX_SHORT_BODY_BYTES = 16 * 1024
SHORT_BODY_TIMEOUT_S = 0.1  # for the body of an error, which is only read to use the connection again
MAX_HEAD_BYTES = 16 * 1024
STATUS_LINE_START = b"HTTP/1."
END_OF_HEAD = re.compile(rb"\n\r?\n")
# Statuses that reject the request itself. Another server would reject it too, so the status is forwarded to
# the client.
REQUEST_ERROR_STATUSES = frozenset(range(400, 500)) - {408, 425, 429}
# A faulty server may repeat an answer some milliseconds later, and HTTP/1.1 can't distinguish the repetition
# from the answer to the next request. A connection that receives bytes during this idle time is not used
# again.
MIN_IDLE_S = 0.02
EVENT_FIELD_NAMES = (b"data", b"", b"event", b"id", b"retry")  # an empty name starts a comment
BLANK_LINES = (b"", b"\r")
LONGEST_EVENT_END = b"\n\r\n"
LOAD_REPORT_PREFIX = b": " + LOAD_REPORT_HEADER.encode() + b":"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The used part of an answer's head; the other fields are not kept while the answer streams."""

    status: int
    says_never_ran: bool
    load_report: str
    content_length: int  # 0 if none is stated


class ServerConnection:
    """A connection to a server, with its HTTP parser."""

    def __init__(self, events: AccountBudget, connection: Connection) -> None:
        """`events` is the account of answers that are on their way to clients."""
        self.events = events
        self.connection = connection
        self.parser = h11.Connection(h11.CLIENT)
        self._unparsed = b""  # received, and not passed to the parser yet
        self._scanner: ChunkScanner | None = None  # of the present answer's body, if it is chunked

    async def is_usable(self) -> bool:
        return not self.connection.is_stale

    async def next_event(self) -> h11.Event:
        """Return the next event of the answer; raise ServerProtocolError for invalid HTTP."""
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ServerProtocolError(str(error)) from None
            if event is h11.NEED_DATA:
                if self._scanner is not None and self._scanner.error is not None:
                    raise ServerProtocolError(str(self._scanner.error))
                self._pass_to_parser(await self._receive())
            elif event is h11.PAUSED:
                raise ConnectionLost("unexpected bytes after the answer")
            else:
                return event  # type: ignore[return-value]

    async def _receive(self) -> bytes:
        """Return received bytes that the parser does not have; empty at the end of the stream."""
        data, self._unparsed = self._unparsed, b""
        return data or await self.connection.receive()

    def _pass_to_parser(self, data: bytes) -> None:
        """Pass received data to the parser, up to the first byte of an invalid chunk."""
        count = len(data) if self._scanner is None else self._scanner.feed(data)
        if count or not data:  # to the parser, no data is the end of the stream
            self.parser.receive_data(data[:count])

    @property
    def awaited(self) -> str:
        """What the server has to complete next, for the log."""
        return "the rest of the body" if self._scanner is None else self._scanner.awaited

    def buffered_event(self) -> h11.Event | None:
        """Return the next event of the answer if it has been received already, else None."""
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise ServerProtocolError(str(error)) from None
        return event if isinstance(event, h11.Data | h11.EndOfMessage) else None

    async def wait_until_received(self) -> None:
        """Wait until bytes have been received that the parser has not used."""
        if not self.parser.trailing_data[0] and not self._unparsed and not self.connection.unread:
            await self.connection.fill()

    async def read_head(self, has_other_attempt: bool) -> AnswerHead:
        """Return what is used of the answer's head, skipping informational responses."""
        self._scanner = None
        while True:
            await self.wait_until_received()  # bounded by the caller's deadline alone
            with opening_time_limit(has_other_attempt, "the head of the answer"):
                event = await self._next_head()
            if isinstance(event, h11.Response):
                return self._accept_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("connection closed without an answer")

    async def _next_head(self) -> h11.Event:
        """Return the event of the next head; what follows it is left out of the parser."""
        head = bytearray()
        while (end := END_OF_HEAD.search(head)) is None:
            if len(head) > MAX_HEAD_BYTES:
                raise ServerProtocolError("the head of the answer is too long")
            data = await self._receive()
            if not data:
                raise ConnectionLost("connection closed without an answer")
            head += data
            if head[: len(STATUS_LINE_START)] != STATUS_LINE_START[: len(head)]:
                raise ServerProtocolError("the answer does not begin with a status line")
        self._unparsed = bytes(head[end.end() :])
        self.parser.receive_data(bytes(head[: end.end()]))
        return await self.next_event()

    def _accept_head(self, head: h11.Response) -> AnswerHead:
        """Return what is used of a head, and follow the framing of the body behind it."""
        fields = dict(head.headers)
        if fields.get(b"transfer-encoding") == b"chunked":
            self._scanner = ChunkScanner()
        return AnswerHead(
            head.status_code,
            fields.get(b"x-never-ran") == b"1",
            fields.get(LOAD_REPORT_HEADER.lower().encode(), b"").decode("latin-1"),
            int(fields.get(b"content-length", b"0")),
        )

    async def send(self, request: h11.Request, body: Sequence[memoryview] = ()) -> None:
        """Write a whole request."""
        parts = [self.parser.send(request) or b""]
        for block in body:  # not copied: copies of all bodies in flight would count against the memory limit
            parts += self.parser.send_with_data_passthrough(h11.Data(data=block)) or []  # type: ignore[arg-type]
        parts.append(self.parser.send(h11.EndOfMessage()) or b"")
        await self.connection.send(*parts)

    async def read_short_body(self) -> bytes:
        """Return the body of an answer that is expected to be short; raise ConnectionLost if it is not."""
        parts = []
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise ConnectionLost("connection closed within the answer")
            parts.append(bytes(event.data))
            if sum(map(len, parts)) > MAX_SHORT_BODY_BYTES:
                raise ConnectionLost("the body of the answer is too long")
        return b"".join(parts)

    async def discard_short_body(self) -> None:
        """Read a body that nobody needs, if it arrives soon; otherwise the connection can't be used again."""
        with trio.move_on_after(SHORT_BODY_TIMEOUT_S), suppress(ConnectionLost, ServerProtocolError):
            await self.read_short_body()

    def renew(self) -> bool:
        # Bytes after this answer must not be taken for the answer to the next request.
        if self.parser.trailing_data[0] or self._unparsed or self.connection.unread:
            return False
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
        return self.parser.our_state is h11.IDLE


class EventSplitter:
    """Splits a stream into whole events, and reads the usage event and the final load report."""

    def __init__(self) -> None:
        self.cached_tokens = 0
        self.load: dict[Metric, float] = {}
        self.has_end_event = False
        self.completed_events = 0  # reads that completed events with data, up to the last event
        self._has_data = False  # whether the present event has data
        self._continues_line = False  # whether what follows is the rest of a line
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> bytes:
        """Return the events that the data completes, unchanged.

        Raises ServerProtocolError for invalid lines, which must not reach the client, and for an event that
        exceeds the memory limit.
        """
        searched = max(len(self._buffer) - len(LONGEST_EVENT_END) + 1, 0)  # no end lies before
        self._buffer += data
        end = self._end_of_events(searched)
        if not end:
            if len(self._buffer) > server_client.MAX_EVENT_BYTES:
                raise ServerProtocolError("event too large")
            return b""
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        is_after_last_event = self.has_end_event
        self._parse(events)
        self.completed_events += self._has_data and not is_after_last_event
        self._has_data = False
        return events

    def _end_of_events(self, start: int) -> int:
        """Return the offset behind the last complete event of the buffer; 0 without one."""
        after_lf = self._buffer.rfind(b"\n\n", start) + len(b"\n\n")
        after_crlf = self._buffer.rfind(LONGEST_EVENT_END, start) + len(LONGEST_EVENT_END)
        return max(after_lf if after_lf > 1 else 0, after_crlf if after_crlf > 2 else 0)

    @property
    def has_part(self) -> bool:
        """Whether an event has begun that has not been returned to its end."""
        return bool(self._buffer) or self._continues_line

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer)

    def take_part(self) -> bytes:
        """Return what has been fed of an incomplete event, whose rest comes with the next events."""
        part = bytes(self._buffer)
        self._buffer.clear()
        self._parse(part)
        self._continues_line = not part.endswith(b"\n")
        return part

    def remainder(self) -> bytes:
        """Return what is left at the end of the stream: the last event without its blank line, or nothing.

        Raises IncompleteAnswer if the stream is not complete.
        """
        remainder = bytes(self._buffer)
        self._parse(remainder)
        check_event_stream(self.has_end_event, remainder)
        return remainder

    def _parse(self, data: bytes) -> None:
        lines = data.split(b"\n")
        if self._continues_line:  # its field name was checked with its first part
            self._continues_line = len(lines) == 1
            del lines[0]
        for line in lines:
            self._has_data = self._has_data or line.startswith(DATA_FIELD)
            if line.startswith(LOAD_REPORT_PREFIX):
                self.load = parse_load(line[len(LOAD_REPORT_PREFIX) :].decode("latin-1"))
            elif line.startswith(b"data: {") and b'"usage"' in line:
                self._parse_usage(line[6:])
            elif line not in BLANK_LINES and line.partition(b":")[0].rstrip(b"\r") not in EVENT_FIELD_NAMES:
                raise ServerProtocolError("invalid line in the event stream")
            elif is_end_event(line):
                self.has_end_event = True

    def _parse_usage(self, text: bytes) -> None:
        try:
            cached = json.loads(text)["usage"]["prompt_tokens_details"]["cached_tokens"]
            self.cached_tokens = int(cached)
        except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
            pass  # the usage event is optional, and a server may write anything there


class AnswerReader:
    """Reads the events of an answer whose head has arrived."""

    def __init__(self, connection: ServerConnection, load: dict[Metric, float]) -> None:
        self.splitter = EventSplitter()
        self.splitter.load = load
        self.holding = Holding(connection.events)
        self._connection = connection
        self._has_ended = False
        self._error: Exception | None = None

    @property
    def completed_events(self) -> int:
        """How many reads have completed events with data."""
        return self.splitter.completed_events

    @property
    def awaited(self) -> str:
        """What the server has to complete next, for the log."""
        return f"{self._connection.awaited}, {len(self.splitter)} bytes of an event received"

    async def wait_until_begun(self) -> None:
        """Wait until a part of the answer's body has been received."""
        await self._connection.wait_until_received()

    async def next_parts(self) -> list[bytes]:
        """Return the whole events that have been received, at least one; none at the end of the answer.

        When memory is short, the last one may be a part of an event. May be cancelled and called again.
        Raises ConnectionLost for an answer that is cut off, IncompleteAnswer for one that ends early and
        ServerProtocolError for an invalid one.
        """
        events: list[bytes] = []
        while not events and not self._has_ended:
            if self._error is not None:
                raise self._error
            events += self._accept(await self._connection.next_event())
        try:
            while not self._has_ended and (event := self._connection.buffered_event()) is not None:
                events += self._accept(event)
        except (ConnectionLost, ServerProtocolError, IncompleteAnswer) as error:
            self._error = error  # raised once the events before it are forwarded
        return events

    def _accept(self, event: h11.Event) -> Iterator[bytes]:
        """Yield the events that the next part of the answer completes."""
        if isinstance(event, h11.EndOfMessage):
            remainder = self.splitter.remainder()
            self._has_ended = True
            if remainder:
                yield remainder
            return
        if not isinstance(event, h11.Data):
            raise ConnectionLost("connection closed within the stream")
        self.holding.hold(len(event.data))
        events = self.splitter.feed(event.data)  # whether or not their chunk is complete
        if events:
            yield events
        if len(self.splitter) >= server_client.MIN_PART_BYTES and self.holding.account.is_full:
            yield self.splitter.take_part()


class HttpServerClient(PooledServerClient[ServerConnection, ServerConnection]):
    """Attempts and probes at one server over HTTP/1.1."""

    def __init__(
        self,
        address: str,
        budget: DescriptorBudget,
        connect_timeout_s: float,
        conn_idle_s: float,
        probe_path: str,
        events: AccountBudget,
        dial: Dial = dial,
        max_idle: int = 1 << 30,
    ) -> None:
        super().__init__(
            ConnectionPool(
                address,
                partial(ServerConnection, events),
                budget,
                connect_timeout_s,
                conn_idle_s,
                dial,
                max_idle,
                MIN_IDLE_S,
            )
        )
        self._host = address.encode()
        self._probe_path = probe_path.encode()

    async def send(
        self, connection: ServerConnection, rpc: RPC, progress: AttemptProgress
    ) -> ServerConnection:
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
        await connection.send(request, payload.body.parts())
        return connection

    async def answer(self, exchange: ServerConnection, progress: AttemptProgress) -> AttemptResult:
        head = await exchange.read_head(progress.may_be_repeated())
        load = parse_load(head.load_report)
        if head.status != 200:
            never_ran = head.status in (503, 504) and head.says_never_ran
            note = f"HTTP {head.status}"
            await exchange.discard_short_body()
            if head.status in REQUEST_ERROR_STATUSES:
                return AttemptResult(Status.OK, load, note=note, server_status=head.status)
            return AttemptResult(Status.FULL if never_ran else Status.ERROR, load, note=note)
        if head.content_length > MAX_BODY_BYTES:
            raise ServerProtocolError(
                f"an answer of {head.content_length} bytes is larger than a body may be"
            )
        answer = AnswerReader(exchange, load)
        try:
            await self.forward_answer(answer, progress)
        finally:
            answer.holding.release_all()
        return AttemptResult(Status.OK, answer.splitter.load, answer.splitter.cached_tokens)

    async def send_probe(self, connection: ServerConnection) -> AttemptResult:
        await connection.send(
            h11.Request(method=b"GET", target=self._probe_path, headers=[(b"host", self._host)])
        )
        head = await connection.read_head(has_other_attempt=False)
        body = (await connection.read_short_body()).decode("latin-1")
        text = (body.strip() or head.load_report).removeprefix(LOAD_REPORT_HEADER + ":").strip()
        status = Status.OK if head.status == 200 else Status.FULL
        return AttemptResult(status, parse_load(text), note=f"HTTP {head.status}")
