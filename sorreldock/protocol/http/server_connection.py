"""A connection to a server over HTTP/1.1, with its parser."""

from __future__ import annotations

import re
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass

import h11
import trio

from ...chunked import ChunkScanner
from ...transport.connection import Connection, ConnectionLost
from ...transport.ledger import AccountBudget
from ..loads import LOAD_REPORT_HEADER
from ..server_client import ServerProtocolError, opening_time_limit

MAX_SHORT_BODY_BYTES = 16 * 1024
SHORT_BODY_TIMEOUT_S = 0.1  # for the body of an error, which is only read to use the connection again
MAX_HEAD_BYTES = 16 * 1024
STATUS_LINE_START = b"HTTP/1."
END_OF_HEAD = re.compile(rb"\n\r?\n")


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
