"""The soak's clients, which send requests to the routers and record their outcomes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import h11
import trio

from .records import Exchange, Records

LATE_ANSWER_WAIT_S = 3.0  # after its time limit, a client still records a late answer for this long
BEGUN_ANSWER_WAIT_S = 8.0  # and for this long after the last bytes of an answer that has begun
PATH = "/v1/chat/completions"


class ClientBehaviour(Enum):
    """How a client uses its connection and sends its request."""

    ONE_SHOT = "one_shot"  # one connection per request
    KEEP_ALIVE = "keep_alive"  # one connection for all requests
    ABANDONS = "abandons"  # closes the connection before the answer
    SLOW_WRITER = "slow_writer"  # writes the request in pieces, with pauses


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """The content and the timing of a request; times are in seconds."""

    request_class: str
    timeout_s: float
    body: bytes
    session: str
    prefix: str
    abandon_after_s: float = 0.0
    pieces: int = 1
    piece_interval_s: float = 0.0


class ClientConnection:
    """The client's end of a connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.parser = h11.Connection(h11.CLIENT)

    async def send(self, trace_id: str, plan: RequestPlan) -> None:
        """Write a whole request, in the planned number of pieces."""
        request = h11.Request(
            method="POST",
            target=PATH,
            headers=[
                ("host", "origin.svc"),
                ("x-trace-id", trace_id),
                ("x-qos", plan.request_class),
                ("x-customer", "acme"),
                ("x-expires-in", f"{round(plan.timeout_s * 1000)}m"),
                ("x-object", plan.session),
                ("x-props", f"prefix={plan.prefix},prompt_len=100,prefix_len=50,max_out=10"),
                ("content-length", str(len(plan.body))),
            ],
        )
        data = (self.parser.send(request) or b"") + (self.parser.send(h11.Data(data=plan.body)) or b"")
        data += self.parser.send(h11.EndOfMessage()) or b""
        size = -(-len(data) // plan.pieces)
        for start in range(0, len(data), size):
            if start:
                await trio.sleep(plan.piece_interval_s)
            await self.stream.send_all(data[start : start + size])

    async def next_event(self) -> Any:
        """Return the parser's next event, reading from the connection as needed."""
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            self.parser.receive_data(bytes(await self.stream.receive_some(65536)))
        return event

    async def read_answer(self, exchange: Exchange, on_received: Callable[[], None]) -> None:
        """Read an answer into `exchange`, to the end of the answer or of the connection."""
        try:
            head = await self.next_event()
            if not isinstance(head, h11.Response):
                return
            exchange.head_received_at, exchange.status = trio.current_time(), head.status_code
            on_received()
            while isinstance(event := await self.next_event(), h11.Data):
                exchange.body += bytes(event.data)
                exchange.arrivals.append((trio.current_time(), len(exchange.body)))
                on_received()
            exchange.is_complete = isinstance(event, h11.EndOfMessage)
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            pass

    def prepare_next_request(self) -> bool:
        """Reset the parser for the next request; return False if the connection can't carry one."""
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True


class Client:
    """A client of one router, which may reuse its connection."""

    def __init__(self, router: str, address: str, records: Records) -> None:
        self.router = router
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._records = records
        self._idle_connection: ClientConnection | None = None

    async def send_request(
        self, trace_id: str, plan: RequestPlan, keep_alive: bool = False
    ) -> Exchange | None:
        """Send a request and record its outcome; return None if the router couldn't be connected to."""
        reused, self._idle_connection = self._idle_connection, None
        exchange = Exchange(trace_id, self.router, plan.timeout_s, started_at=trio.current_time())
        if reused is not None:
            await self._exchange_on(reused, exchange, plan, keep_alive)
            if not self._closed_before_read(exchange):
                return exchange
            self._records.exchanges.remove(exchange)
            exchange = replace(
                exchange, resent=True, sent_at=0.0, ended_at=None, started_at=trio.current_time()
            )
        try:
            connection = ClientConnection(await trio.open_tcp_stream(self._host, self._port))
        except OSError:
            return None
        await self._exchange_on(connection, exchange, plan, keep_alive)
        return exchange

    def _closed_before_read(self, exchange: Exchange) -> bool:
        """Return whether the router closed an idle connection without reading the request, as it may."""
        has_ended_unanswered = exchange.status == 0 and exchange.ended_at is not None
        return has_ended_unanswered and not any(
            a.trace_id == exchange.trace_id for a in self._records.attempts[-200:]
        )

    async def _exchange_on(
        self, connection: ClientConnection, exchange: Exchange, plan: RequestPlan, keep_alive: bool
    ) -> None:
        self._records.exchanges.append(exchange)
        exchange.sent_at = trio.current_time()

        def extend_time_limit() -> None:
            if not plan.abandon_after_s:
                time_limit.deadline = trio.current_time() + BEGUN_ANSWER_WAIT_S

        with trio.move_on_after(plan.abandon_after_s or plan.timeout_s + LATE_ANSWER_WAIT_S) as time_limit:
            try:
                await connection.send(exchange.trace_id, plan)
                exchange.sent_at = trio.current_time()
                await connection.read_answer(exchange, extend_time_limit)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        now = trio.current_time()
        if time_limit.cancelled_caught and plan.abandon_after_s:
            exchange.abandoned_at = now
        elif not time_limit.cancelled_caught:
            exchange.ended_at = now
        if keep_alive and exchange.is_complete and connection.prepare_next_request():
            self._idle_connection = connection
        else:
            await trio.aclose_forcefully(connection.stream)

    async def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self._idle_connection is not None:
            await trio.aclose_forcefully(self._idle_connection.stream)
            self._idle_connection = None


def draw_request(behaviour: ClientBehaviour, rng: random.Random, number: int) -> RequestPlan:
    """Draw a request: mostly small and cacheable, some large, some with a very short time limit."""
    timeout_s = rng.choice((0.5, 1.5, 2.0, 3.0))
    body = b"{" + b" " * rng.choice((10, 2_000, 60_000, 200_000)) + b"}"
    is_slow = behaviour is ClientBehaviour.SLOW_WRITER
    return RequestPlan(
        request_class=rng.choice(("alt-text", "title-suggest")),
        timeout_s=timeout_s,
        body=body,
        session=f"session-{rng.randrange(200)}",
        prefix=f"prefix-{rng.randrange(40)}" if rng.random() < 0.7 else f"once-{number}",
        abandon_after_s=rng.uniform(0.01, 0.3) if behaviour is ClientBehaviour.ABANDONS else 0.0,
        pieces=rng.randint(2, 5) if is_slow else 1,
        piece_interval_s=rng.uniform(0.01, 0.2) if is_slow else 0.0,
    )
