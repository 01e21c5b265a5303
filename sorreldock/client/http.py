"""The client side of the platform's HTTP/1.1 protocol: one call at a time on a connection (h11)."""

from __future__ import annotations

import re
import time
from collections import deque
from collections.abc import Callable

import anyio
import h11

from ..chunked import ChunkScanner, FramingError
from ..completeness import IncompleteAnswer, check_event_stream, contains_end_event, has_data
from .policy.outcome import NonExecutionProof, Outcome, OutcomeKind
from .policy.refusal import parse_retry_after
from .sockets import ConnectionLost, Socket
from .types import Request
from .wire import AttemptMark, Connection, Exchange, unread_proof

REQUEST_TARGET = b"/v1/chat/completions"
REFUSAL_STATUSES = (429, 503)
BLANK_LINE = re.compile(rb"\r?\n\r?\n")
MAX_DISCARDED_BYTES = 64 * 1024  # of the body of an error response
DISCARD_TIMEOUT_S = 0.5


def outcome_of_status(status: int, advice: str | None, wall_s: float) -> Outcome:
    """Return the outcome for a status other than 200, as the platform defines them.

    `advice` is the value of `Retry-After`; `wall_s` is Unix time in seconds.
    """
    if status in REFUSAL_STATUSES:
        return Outcome(OutcomeKind.REFUSED, f"refused with HTTP {status}", parse_retry_after(advice, wall_s))
    if status == 504:
        return Outcome(OutcomeKind.EXPIRED, "the deadline passed at the router: HTTP 504")
    if status == 408:
        return Outcome.never_ran(
            NonExecutionProof.INCOMPLETE, "the request was received too slowly: HTTP 408"
        )
    if 400 <= status < 500:
        return Outcome(OutcomeKind.INVALID_REQUEST, f"HTTP {status}")
    return Outcome(OutcomeKind.MAY_HAVE_RUN, f"HTTP {status}")


class EventSplitter:
    """A splitter of an event stream into events, each of which ends with a blank line (WHATWG)."""

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events now complete, unchanged; raise ConnectionLost for one that is too long."""
        buffer = self._buffer + data if self._buffer else data
        events, start = [], 0
        for blank in BLANK_LINE.finditer(buffer):
            events.append(buffer[start : blank.end()])
            start = blank.end()
        self._buffer = buffer[start:]
        if len(self._buffer) > self._max_event_bytes:
            raise ConnectionLost("an event exceeds the size limit")
        return events

    def take_rest(self) -> bytes:
        """Return and remove what follows the last complete event."""
        rest, self._buffer = self._buffer, b""
        return rest


class HttpConnection(Connection):
    """A connection to a router over the platform's HTTP/1.1 protocol."""

    def __init__(self, router: str, socket: Socket, now: float, max_event_bytes: int) -> None:
        super().__init__(router, socket, now)
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=64 * 1024)
        self.host = router.encode()
        self.max_event_bytes = max_event_bytes
        self.is_in_use = False
        self._protocol_error: h11.RemoteProtocolError | FramingError | None = None
        self._scanner: ChunkScanner | None = None  # of the present answer's body, if it is chunked

    @property
    def free_slots(self) -> int:
        return 0 if self.is_in_use or self.closing or self.socket.closed else 1

    @property
    def is_busy(self) -> bool:
        return self.is_in_use

    def start(self, request: Request, body: bytes, mark: AttemptMark) -> HttpExchange:
        self.is_in_use = True
        return HttpExchange(self, request, body, mark)

    def close(self) -> None:
        self.socket.close()

    async def read_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next HTTP event; raise ConnectionLost at a protocol error or an early end."""
        while True:
            if self._protocol_error is not None:
                raise ConnectionLost(f"invalid HTTP response: {self._protocol_error}")
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLost(f"invalid HTTP response: {error}") from None
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._scanner is not None and self._scanner.error is not None:
                raise ConnectionLost(f"invalid HTTP response: {self._scanner.error}")
            data = await self.socket.receive()
            if not data and self.parser.their_state is h11.SEND_RESPONSE:
                raise ConnectionLost("closed by the router")
            self._pass_to_parser(data)

    def _pass_to_parser(self, data: bytes) -> None:
        """Pass received data to the parser, up to the first byte of an invalid chunk."""
        count = len(data) if self._scanner is None else self._scanner.feed(data)
        if count or not data:  # to the parser, no data is the end of the stream
            self.parser.receive_data(data[:count])

    def follow_body(self, is_chunked: bool) -> None:
        """Follow the framing of the body behind the head that has been read."""
        self._scanner = ChunkScanner() if is_chunked else None
        if self._scanner is not None:
            self._scanner.feed(self.parser.trailing_data[0])
            self._protocol_error = self._scanner.error

    def buffered_event(self) -> h11.Event | None:
        """Return the next part of the answer's body if it has been received already, else None.

        `read_event` raises a protocol error found here, after the events before it have been delivered.
        """
        if self.parser.their_state is not h11.SEND_BODY or self._protocol_error is not None:
            return None
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            self._protocol_error = error
            return None
        return event if isinstance(event, h11.Data | h11.EndOfMessage) else None


class HttpExchange(Exchange):
    """One request and its answer on an HTTP/1.1 connection."""

    def __init__(self, connection: HttpConnection, request: Request, body: bytes, mark: AttemptMark) -> None:
        self.connection = connection
        self._request, self._body, self._mark = request, body, mark
        self._splitter = EventSplitter(connection.max_event_bytes)
        self._events: deque[bytes] = deque()
        self._closed = self._has_end_event = self._has_returned_end = False
        self._incomplete: ConnectionLost | None = None  # the answer's framing has ended before its last event
        self._request_end: int | None = None  # the offset behind its last byte; None before it is written

    def _head(self, expires_in_s: float) -> list[tuple[bytes, bytes]]:
        request, mark = self._request, self._mark
        props = [f"prefix={request.prefix}"] if request.prefix else []
        for name, value in (
            ("prompt_len", request.prompt_tokens),
            ("prefix_len", request.prefix_tokens),
            ("max_out", request.max_output_tokens),
        ):
            if value:
                props.append(f"{name}={value}")
        fields = {
            "Host": self.connection.router,
            "X-Trace-Id": mark.trace_id,
            "X-Qos": request.rpc_class,
            "X-Customer": request.tenant,
            "X-Object": request.session,
            "X-Expires-In": f"{max(int(expires_in_s * 1e6), 1)}u",
            "X-Props": ",".join(props),
            "X-Second-Try": "again" if mark.resumed else "1" if mark.retry else "",
            "Content-Type": "application/json",
            "Content-Length": str(len(self._body)),
        }
        return [(k.encode(), v.encode()) for k, v in fields.items() if v]

    async def send(self, expires_in_s: Callable[[], float | None]) -> bool:
        parser = self.connection.parser
        remaining_s = expires_in_s()
        if remaining_s is None:
            return False
        data = (
            parser.send(h11.Request(method=b"POST", target=REQUEST_TARGET, headers=self._head(remaining_s)))
            or b""
        )
        data += parser.send(h11.Data(data=self._body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        self._request_end = self.connection.socket.sent_bytes + len(data)
        try:
            await self.connection.socket.send(data)
        except ConnectionLost:
            # The router may have answered and closed before it read all of the request: use its answer.
            if not self.connection.socket.is_readable():
                raise
        return True

    def unread_proof(self) -> NonExecutionProof | None:
        return unread_proof(self._request_end, self.connection.socket)

    async def first_event(self) -> bytes | Outcome | None:
        connection = self.connection
        while isinstance(event := await connection.read_event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response):
            raise ConnectionLost("closed by the router")
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
        self.begun = event.status_code == 200
        connection.follow_body(headers.get("transfer-encoding") == "chunked")
        if "close" in headers.get("connection", "").lower():
            connection.closing = True
        if not self.begun:
            outcome = outcome_of_status(event.status_code, headers.get("retry-after"), time.time())
            await self._discard_body()
            return outcome
        return await self.next_event()

    async def _discard_body(self) -> None:
        """Read the rest of a short error response, within limits, so that the connection can be kept."""
        size = 0
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            try:
                while isinstance(event := await self.connection.read_event(), h11.Data):
                    size += len(event.data)
                    if size > MAX_DISCARDED_BYTES:
                        return
                self.is_complete = isinstance(event, h11.EndOfMessage)
            except ConnectionLost:
                pass

    def buffered_event(self) -> bytes | None:
        return self._return(self._events.popleft()) if self._events else None

    def _return(self, event: bytes) -> bytes:
        """Return an event, and keep whether it is one that the answer's time limit starts anew with."""
        self.last_was_progress = has_data(event) and not self._has_returned_end
        self._has_returned_end = self._has_returned_end or contains_end_event(event)
        return event

    async def next_event(self) -> bytes | None:
        while not self._events:
            if self._incomplete is not None:
                raise self._incomplete
            if self.is_complete:
                return None
            self._accept(await self.connection.read_event())
            # Parts that were received in the same read need no further wait.
            while not self._has_ended and (event := self.connection.buffered_event()) is not None:
                self._accept(event)
        return self._return(self._events.popleft())

    @property
    def _has_ended(self) -> bool:
        return self.is_complete or self._incomplete is not None

    def _accept(self, event: h11.Event | type[h11.PAUSED]) -> None:
        if isinstance(event, h11.Data):
            for data in self._splitter.feed(bytes(event.data)):
                self._has_end_event = self._has_end_event or contains_end_event(data)
                self._events.append(data)
        elif isinstance(event, h11.EndOfMessage):
            self._end()
        else:
            raise ConnectionLost("closed by the router before the last chunk")

    def _end(self) -> None:
        """Mark the answer as complete at the end of its framing; `next_event` raises if it is not."""
        rest = self._splitter.take_rest()
        try:
            check_event_stream(self._has_end_event or contains_end_event(rest), rest)
        except IncompleteAnswer as error:
            self._incomplete = ConnectionLost(str(error))
            return
        self.is_complete = True
        if rest:
            self._events.append(rest)

    def close(self, now: float) -> None:
        if self._closed:
            return
        self._closed = True
        connection, parser = self.connection, self.connection.parser
        is_reusable = self.is_complete and parser.our_state is h11.DONE and parser.their_state is h11.DONE
        if not is_reusable or connection.closing or parser.trailing_data[0]:
            connection.close()
        else:
            parser.start_next_cycle()
            connection.calls_completed += 1
            connection.idle_since = now
        connection.is_in_use = False
