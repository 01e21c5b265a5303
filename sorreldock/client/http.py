"""The platform's HTTP/1.1, as a client: one call at a time on a connection (h11)."""

from __future__ import annotations

import re
import time
from collections import deque
from collections.abc import Callable

import anyio
import h11

from .policy.outcome import Kind, Outcome
from .policy.refusal import retry_after
from .sockets import ConnectionLost, Socket
from .types import Request
from .wire import Exchange, Line, Mark

TARGET = b"/v1/chat/completions"
REFUSALS = (429, 503)
BLANK = re.compile(rb"\r?\n\r?\n")
LARGEST_REST = 64 * 1024  # of the body of an answer that is none
REST_S = 0.5


def outcome_of_status(status: int, advice: str | None, wall_s: float) -> Outcome:
    """What an answer other than 200 means (the platform's table)."""
    if status in REFUSALS:
        return Outcome(Kind.REFUSED, f"refused with HTTP {status}", retry_after(advice, wall_s))
    if status == 504:
        return Outcome(Kind.EXPIRED, "the router gave up: HTTP 504")
    if status == 408:  # the request did not reach the router whole
        return Outcome(Kind.NEVER_RAN, "the request came too slowly: HTTP 408")
    if 400 <= status < 500:
        return Outcome(Kind.AT_FAULT, f"HTTP {status}")
    return Outcome(Kind.MAY_HAVE_RUN, f"HTTP {status}")


class EventCutter:
    """Cuts whole events out of a stream (WHATWG's event streams end each with a blank line)."""

    def __init__(self, largest: int) -> None:
        self._largest = largest
        self._held = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The events that are whole now, unchanged. ConnectionLost for one that never ends."""
        held = self._held + data if self._held else data
        events, start = [], 0
        for blank in BLANK.finditer(held):
            events.append(held[start : blank.end()])
            start = blank.end()
        self._held = held[start:]
        if len(self._held) > self._largest:
            raise ConnectionLost("an event without an end")
        return events

    def rest(self) -> bytes:
        rest, self._held = self._held, b""
        return rest


class HttpLine(Line):
    """A connection to a router that speaks the platform's HTTP/1.1."""

    def __init__(self, router: str, socket: Socket, now: float, largest_event: int) -> None:
        super().__init__(router, socket, now)
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=64 * 1024)
        self.host = router.encode()
        self.largest_event = largest_event
        self.taken = False
        self._fault: h11.RemoteProtocolError | None = None

    @property
    def room(self) -> int:
        return 0 if self.taken or self.going or self.socket.closed else 1

    @property
    def busy(self) -> bool:
        return self.taken

    def start(self, request: Request, body: bytes, mark: Mark) -> HttpExchange:
        self.taken = True
        return HttpExchange(self, request, body, mark)

    def close(self) -> None:
        self.socket.close()

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            if self._fault is not None:
                raise ConnectionLost(f"not an answer: {self._fault}")
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionLost(f"not an answer: {error}") from None
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            data = await self.socket.receive()
            if not data and self.parser.their_state is h11.SEND_RESPONSE:
                raise ConnectionLost("closed by the router")
            self.parser.receive_data(data)

    def read_already(self) -> h11.Event | None:
        """The next part of the answer's body, if it needs no read. What is wrong there the next wait tells,
        after the events before it.
        """
        if self.parser.their_state is not h11.SEND_BODY or self._fault is not None:
            return None
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            self._fault = error
            return None
        return event if isinstance(event, h11.Data | h11.EndOfMessage) else None


class HttpExchange(Exchange):
    """One request and its answer on an HTTP/1.1 connection."""

    def __init__(self, line: HttpLine, request: Request, body: bytes, mark: Mark) -> None:
        self.line = line
        self._request, self._body, self._mark = request, body, mark
        self._cutter = EventCutter(line.largest_event)
        self._events: deque[bytes] = deque()
        self._closed = False

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
            "Host": self.line.router,
            "X-Trace-Id": mark.name,
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
        parser = self.line.parser
        left = expires_in_s()
        if left is None:
            return False
        data = parser.send(h11.Request(method=b"POST", target=TARGET, headers=self._head(left))) or b""
        data += parser.send(h11.Data(data=self._body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        try:
            await self.line.socket.send(data)
        except ConnectionLost:
            # The router may have answered and closed before it had read all: its answer counts.
            if not self.line.socket.is_readable():
                raise
        return True

    async def first(self) -> bytes | Outcome | None:
        line = self.line
        while isinstance(event := await line.event(), h11.InformationalResponse):
            pass
        if not isinstance(event, h11.Response):
            raise ConnectionLost("closed by the router")
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers}
        self.begun = event.status_code == 200
        if "close" in headers.get("connection", "").lower():
            line.going = True
        if not self.begun:
            outcome = outcome_of_status(event.status_code, headers.get("retry-after"), time.time())
            await self._skip()
            return outcome
        return await self.next()

    async def _skip(self) -> None:
        """Read what is left of a short answer, so that its line can be kept; not for long."""
        size = 0
        with anyio.move_on_after(REST_S):
            try:
                while isinstance(event := await self.line.event(), h11.Data):
                    size += len(event.data)
                    if size > LARGEST_REST:
                        return
                self.whole = isinstance(event, h11.EndOfMessage)
            except ConnectionLost:
                pass

    def ready(self) -> bytes | None:
        return self._events.popleft() if self._events else None

    async def next(self) -> bytes | None:
        while not self._events:
            if self.whole:
                return None
            self._take(await self.line.event())
            # What came in the same read goes on without another wait.
            while not self.whole and (event := self.line.read_already()) is not None:
                self._take(event)
        return self._events.popleft()

    def _take(self, event: h11.Event | type[h11.PAUSED]) -> None:
        if isinstance(event, h11.Data):
            self._events.extend(self._cutter.feed(bytes(event.data)))
        elif isinstance(event, h11.EndOfMessage):
            self.whole = True
            if rest := self._cutter.rest():
                self._events.append(rest)
        else:
            raise ConnectionLost("closed without the last chunk")

    def close(self, now: float) -> None:
        if self._closed:
            return
        self._closed = True
        line, parser = self.line, self.line.parser
        over = self.whole and parser.our_state is h11.DONE and parser.their_state is h11.DONE
        if not over or line.going or parser.trailing_data[0]:
            line.close()
        else:
            parser.start_next_cycle()
            line.carried += 1
            line.at_rest_since = now
        line.taken = False
