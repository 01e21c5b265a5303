"""The actor of one server, which runs the attempts and probes there."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from ..interface import Status
from .permissions import MAX_DRAIN_GRACE_S, Denial, may_write, time_to_finish_writing
from .types import RPC, AttemptResult, ServerClient, ServerClientFactory, SinkClosed, Target


class Attempt:
    """One attempt of an RPC at one server."""

    def __init__(
        self,
        rpc: RPC,
        number: int,
        subchannel: Subchannel,
        timeout_s: float,
        on_first_event: FirstEventCallback,
        is_client_present: ClientCheck,
        send_by: float = math.inf,
        on_written: WrittenCallback | None = None,
        may_be_repeated: bool = True,
    ) -> None:
        self.rpc = rpc
        self.number = number
        self.subchannel = subchannel
        self.created_at = trio.current_time()
        self.scope = trio.CancelScope(deadline=self.created_at + timeout_s)
        self.sending = False
        self.sending_at = math.inf  # when its first byte was about to be written
        self.written = False
        self.started = False
        self.first_event_s = 0.0
        self.abort_status: Status | None = None  # why the router aborted it, if it did
        self._on_first_event = on_first_event
        self._is_client_present = is_client_present
        self._send_by = send_by
        self._on_written = on_written
        self._may_be_repeated = may_be_repeated
        self._first_event_timeout_s = 0.0
        self.denial: Denial | None = None  # why it was not written

    def may_send(self) -> bool:
        # The clock is read before the client's connection is checked, and not again until the write: a
        # process that is delayed after reading its clock must not act on an older state of the client.
        now = trio.current_time()
        self._first_event_timeout_s = max(self.scope.deadline - now, 0.0)
        self.denial = may_write(
            aborted=self.abort_status is not None,
            server_ready=self.subchannel.ready,
            now=now,
            expires_at=self.scope.deadline,
            send_by=self._send_by,
            client_present=lambda: self._is_client_present(self.rpc),
        )
        self.sending, self.sending_at = self.denial is None, now
        return self.sending

    def mark_written(self) -> None:
        self.written = True
        if self._on_written is not None:
            self._on_written(self)

    def first_event_timeout_s(self) -> float:
        return self._first_event_timeout_s

    def may_be_repeated(self) -> bool:
        return self._may_be_repeated

    async def forward_events(self, *events: bytes) -> None:
        if not self.started:
            # Too late if the core has given the final answer already, or the deadline expired in the same
            # step in which this event arrived: the client's answer would begin and be cut off by that
            # deadline.
            if self.abort_status is not None or self.scope.cancel_called:
                raise SinkClosed
            self.started = True
            self.scope.deadline = math.inf  # once an answer has begun, it has no deadline
            self._on_first_event(self)
        await self.rpc.sink.send_events(*events)

    def abort(self, status: Status) -> None:
        """Cancel the attempt, with the status to report unless it has been aborted before."""
        if self.abort_status is None:
            self.abort_status = status
            self.scope.cancel()


FirstEventCallback = Callable[[Attempt], None]
WrittenCallback = Callable[[Attempt], None]
ClientCheck = Callable[[RPC], bool]  # whether the client is still connected


@dataclass(frozen=True, slots=True)
class Start:
    """Order to start an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Order to probe the server."""


@dataclass(frozen=True, slots=True)
class Update:
    """Order to apply a change to the server's list entry."""

    ready: bool
    restarted: bool


Order = Start | StartProbe | Update


class Subchannel:
    """The actor of one server."""

    def __init__(
        self,
        number: int,
        target: Target,
        create_clients: ServerClientFactory,
        probe_protocol: str,
        on_ended: AttemptCallback,
        on_probed: ProbeCallback,
        drain_grace_s: float = MAX_DRAIN_GRACE_S,
    ) -> None:
        self.number = number
        self.target = target
        self._ready = True
        self.drained_at: float | None = None  # when it last stopped being ready
        # Whether the actor runs. It starts with the first order, since most servers of a large fleet are
        # never used.
        self.running = False
        self.is_retired = False  # discovery no longer lists the server
        self._create_clients = create_clients
        self._clients: dict[str, ServerClient] | None = None
        self._probe_protocol = probe_protocol
        self._on_ended = on_ended
        self._on_probed = on_probed
        self._finish_writing_s = time_to_finish_writing(drain_grace_s)
        self._in_flight: dict[Attempt, None] = {}
        # Unbounded, since orders come from the decision module alone: its probes and the open RPCs bound
        # their number.
        self._channel: tuple[trio.MemorySendChannel[Order], trio.MemoryReceiveChannel[Order]] | None = None

    @property
    def ready(self) -> bool:
        """Whether the server takes new requests, according to the list."""
        return self._ready

    @ready.setter
    def ready(self, ready: bool) -> None:
        if ready != self._ready:
            self.drained_at = None if ready else trio.current_time()
        self._ready = ready

    @property
    def clients(self) -> dict[str, ServerClient]:
        """The clients of this server by protocol, created at first use."""
        if self._clients is None:
            self._clients = self._create_clients(self.target.endpoint)
        return self._clients

    @property
    def _orders(self) -> tuple[trio.MemorySendChannel[Order], trio.MemoryReceiveChannel[Order]]:
        if self._channel is None:
            self._channel = trio.open_memory_channel[Order](math.inf)
        return self._channel

    @property
    def in_flight(self) -> int:
        return len(self._in_flight)

    def post(self, order: Order) -> None:
        """Send the actor an order; an Update is dropped if it does not run, since it affects no attempt."""
        if self.running or not isinstance(order, Update):
            self._orders[0].send_nowait(order)

    def retire(self) -> None:
        """Accept no further orders: the actor ends after its last attempt."""
        self.is_retired = True
        if self.running:
            self._orders[0].close()

    def trim(self) -> None:
        """Close connections that have been idle too long to be used again."""
        for client in (self._clients or {}).values():
            client.trim()

    async def run(self) -> None:
        """Process orders until the subchannel is retired, then close its idle connections."""
        try:
            await self._process_orders()
        finally:  # retired, or the program ends: close all idle connections
            for client in self.clients.values():
                client.discard()

    async def _process_orders(self) -> None:
        async with trio.open_nursery() as attempts:
            async for order in self._orders[1]:
                match order:
                    case Start(attempt):
                        self._in_flight[attempt] = None
                        attempts.start_soon(self._run_attempt, attempt)
                    case StartProbe():
                        attempts.start_soon(self._run_probe)
                    case Update(ready, restarted):
                        if not ready:
                            for attempt in self._in_flight:
                                if not attempt.sending:
                                    attempt.abort(Status.NOT_SENT)
                            if self._unwritten():
                                attempts.start_soon(self._stop_writing)
                        if restarted or not ready:
                            for client in self.clients.values():
                                client.change_process()

    def _unwritten(self) -> list[Attempt]:
        return [attempt for attempt in self._in_flight if not attempt.written]

    async def _stop_writing(self) -> None:
        """Abort the attempts whose requests are not fully written soon after a drain notice.

        The drain rule applies to the time at which a request's last byte is written; until then the server
        has not run it, so it can be sent to another one.
        """
        unwritten = self._unwritten()
        await trio.sleep(self._finish_writing_s)
        if not self.ready:
            for attempt in unwritten:
                if attempt in self._in_flight and not attempt.written:
                    attempt.abort(Status.NOT_SENT)

    async def _run_attempt(self, attempt: Attempt) -> None:
        result = None
        client = self.clients.get(attempt.rpc.protocol)
        try:
            with attempt.scope:
                if client is None:
                    result = AttemptResult(Status.NOT_SENT, note="server does not support the protocol")
                elif attempt.abort_status is None:
                    result = await client.run_attempt(attempt.rpc, attempt)
        except SinkClosed:
            late = attempt.scope.cancel_called and attempt.abort_status is None
            result = (
                AttemptResult(Status.TIMEOUT)
                if late
                else AttemptResult(Status.CANCELLED, note="client disconnected")
            )
        except Exception as error:  # no behaviour of a peer may end the program
            result = AttemptResult(Status.RESET, note=f"fault in the server client: {error!r}")
        finally:
            self._in_flight.pop(attempt, None)
        if result is None:
            status = attempt.abort_status or Status.TIMEOUT
            if status is Status.NOT_SENT and attempt.written:  # its last byte was written in the same step
                status = Status.CANCELLED
            result = AttemptResult(status)
        if result.status is Status.NOT_SENT and attempt.denial is not None:
            result = replace(result, note=attempt.denial.value)
        self._on_ended(attempt, result, trio.current_time() - attempt.created_at)

    async def _run_probe(self) -> None:
        began_at = trio.current_time()
        try:
            result = await self.clients[self._probe_protocol].probe()
        except Exception as error:  # no behaviour of a peer may end the program
            result = AttemptResult(Status.RESET, note=f"fault in the server client: {error!r}")
        self._on_probed(self, result, trio.current_time() - began_at)


# With the result and the duration in seconds.
AttemptCallback = Callable[[Attempt, AttemptResult, float], None]
ProbeCallback = Callable[[Subchannel, AttemptResult, float], None]
