"""The soak's clients: each request is written as a device would, and what came of it is noted."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import h11
import trio

from .records import Exchange, Records

PATIENCE_S = 3.0  # past its own time a client waits so long for what is late, to note it
PATH = "/v1/chat/completions"


class Habit(Enum):
    """How a client treats its connection and its request."""

    PLAIN = "plain"  # a connection a request
    KEEPS = "keeps"  # one connection for all
    LEAVES = "leaves"  # closes before its answer
    SLOW = "slow"  # writes its request in pieces


@dataclass(frozen=True, slots=True)
class Demand:
    """What a client sends: sizes in bytes, times in seconds."""

    request_class: str
    budget_s: float
    body: bytes
    session: str
    prefix: str
    leaves_after_s: float = 0.0
    pieces: int = 1
    between_pieces_s: float = 0.0


class Wire:
    """A client's end of one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.parser = h11.Connection(h11.CLIENT)

    async def send(self, trace_id: str, demand: Demand) -> None:
        """Write a whole request."""
        request = h11.Request(
            method="POST",
            target=PATH,
            headers=[
                ("host", "origin.svc"),
                ("x-trace-id", trace_id),
                ("x-qos", demand.request_class),
                ("x-customer", "acme"),
                ("x-expires-in", f"{round(demand.budget_s * 1000)}m"),
                ("x-object", demand.session),
                ("x-props", f"prefix={demand.prefix},prompt_len=100,prefix_len=50,max_out=10"),
                ("content-length", str(len(demand.body))),
            ],
        )
        data = (self.parser.send(request) or b"") + (self.parser.send(h11.Data(data=demand.body)) or b"")
        data += self.parser.send(h11.EndOfMessage()) or b""
        size = -(-len(data) // demand.pieces)
        for start in range(0, len(data), size):
            if start:
                await trio.sleep(demand.between_pieces_s)
            await self.stream.send_all(data[start : start + size])

    async def next(self) -> Any:
        """Return the parser's next event."""
        while (event := self.parser.next_event()) is h11.NEED_DATA:
            self.parser.receive_data(bytes(await self.stream.receive_some(65536)))
        return event

    async def answer(self, exchange: Exchange) -> None:
        """Read an answer to its end, or to that of the connection."""
        try:
            head = await self.next()
            if not isinstance(head, h11.Response):
                return
            exchange.first_at, exchange.status = trio.current_time(), head.status_code
            while isinstance(event := await self.next(), h11.Data):
                exchange.body += bytes(event.data)
            exchange.whole = isinstance(event, h11.EndOfMessage)
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            pass

    def reusable(self) -> bool:
        """Make ready for the next request; False if the connection has ended."""
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True


class Client:
    """One client of one router, with a connection that it may keep."""

    def __init__(self, router: str, address: str, records: Records) -> None:
        self.router = router
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._records = records
        self._kept: Wire | None = None

    async def ask(self, trace_id: str, demand: Demand, keep: bool = False) -> Exchange | None:
        """Send a request and note its end; None where no connection came up."""
        kept, self._kept = self._kept, None
        exchange = Exchange(trace_id, self.router, demand.budget_s, begun_at=trio.current_time())
        if kept is not None:
            await self._over(kept, exchange, demand, keep)
            if not self._crossed_the_end(exchange):
                return exchange
            self._records.exchanges.remove(exchange)
            exchange = replace(
                exchange, resent=True, sent_at=0.0, ended_at=None, begun_at=trio.current_time()
            )
        try:
            wire = Wire(await trio.open_tcp_stream(self._host, self._port))
        except OSError:
            return None
        await self._over(wire, exchange, demand, keep)
        return exchange

    def _crossed_the_end(self, exchange: Exchange) -> bool:
        """Tell whether the router ended a resting connection without reading the request, which it may."""
        ended_unanswered = exchange.status == 0 and exchange.ended_at is not None
        return ended_unanswered and not any(
            a.trace_id == exchange.trace_id for a in self._records.arrivals[-200:]
        )

    async def _over(self, wire: Wire, exchange: Exchange, demand: Demand, keep: bool) -> None:
        self._records.exchanges.append(exchange)
        exchange.sent_at = trio.current_time()
        with trio.move_on_after(demand.leaves_after_s or demand.budget_s + PATIENCE_S) as patience:
            try:
                await wire.send(exchange.trace_id, demand)
                exchange.sent_at = trio.current_time()
                await wire.answer(exchange)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        now = trio.current_time()
        if patience.cancelled_caught and demand.leaves_after_s:
            exchange.left_at = now
        elif not patience.cancelled_caught:
            exchange.ended_at = now
        if keep and exchange.whole and wire.reusable():
            self._kept = wire
        else:
            await trio.aclose_forcefully(wire.stream)

    async def leave(self) -> None:
        """Close the connection that was kept."""
        if self._kept is not None:
            await trio.aclose_forcefully(self._kept.stream)
            self._kept = None


def draw_demand(habit: Habit, draw: random.Random, number: int) -> Demand:
    """Draw a request: mostly small and cacheable, some large, some with very little time."""
    budget_s = draw.choice((0.5, 1.5, 2.0, 3.0))
    body = b"{" + b" " * draw.choice((10, 2_000, 60_000, 200_000)) + b"}"
    slow = habit is Habit.SLOW
    return Demand(
        request_class=draw.choice(("alt-text", "title-suggest")),
        budget_s=budget_s,
        body=body,
        session=f"session-{draw.randrange(200)}",
        prefix=f"prefix-{draw.randrange(40)}" if draw.random() < 0.7 else f"once-{number}",
        leaves_after_s=draw.uniform(0.01, 0.3) if habit is Habit.LEAVES else 0.0,
        pieces=draw.randint(2, 5) if slow else 1,
        between_pieces_s=draw.uniform(0.01, 0.2) if slow else 0.0,
    )
