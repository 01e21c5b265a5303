"""Attempts and probes at a server over the platform's protocol."""

from __future__ import annotations

from functools import partial

import h11

from ...chunked import MAX_BODY_BYTES
from ...interface import Status
from ...routing.types import RPC, AttemptProgress, AttemptResult
from ...transport.budget import DescriptorBudget
from ...transport.connection import Dial, dial
from ...transport.ledger import AccountBudget
from ...transport.pool import ConnectionPool
from ..loads import LOAD_REPORT_HEADER, parse_load
from ..server_client import PooledServerClient, ServerProtocolError
from .answer_reader import AnswerReader
from .fields import HttpPayload
from .server_connection import ServerConnection

# Statuses that reject the request itself. Another server would reject it too, so the status is forwarded to
# the client.
REQUEST_ERROR_STATUSES = frozenset(range(400, 500)) - {408, 425, 429}
# A faulty server may repeat an answer some milliseconds later, and HTTP/1.1 can't distinguish the repetition
# from the answer to the next request. A connection that receives bytes during this idle time is not used
# again.
MIN_IDLE_S = 0.02


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
