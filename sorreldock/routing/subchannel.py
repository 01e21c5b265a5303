"""The actor of one engine: it starts, cancels and ends the call attempts that go there."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from ..interface import Status
from .permissions import LONGEST_GRACE_S, Denial, may_write, time_to_finish_writing
from .types import RPC, AttemptResult, ServerClient, ServerClientFactory, SinkClosed, Target


class Attempt:
    """One attempt of an RPC at one engine."""

    def __init__(
        self,
        rpc: RPC,
        number: int,
        subchannel: Subchannel,
        timeout_s: float,
        on_first: FirstEventCallback,
        wanted: ClientCheck,
        send_by: float = math.inf,
        on_written: WrittenCallback | None = None,
    ) -> None:
        self.rpc = rpc
        self.number = number
        self.subchannel = subchannel
        self.made_at = trio.current_time()
        self.scope = trio.CancelScope(deadline=self.made_at + timeout_s)
        self.sending = False
        self.written = False
        self.started = False
        self.first_s = 0.0
        self.given_up: Status | None = None  # why the router stopped it, if it did
        self._on_first = on_first
        self._wanted = wanted
        self._send_by = send_by
        self._on_written = on_written
        self._wait_s = 0.0
        self.denied: Denial | None = None  # why it was not written

    def may_send(self) -> bool:
        # The clock is read before the look at the client, and not again until the write: a program that is
        # held up behind a look at its clock must not act on an older look at the client.
        now = trio.current_time()
        self._wait_s = max(self.scope.deadline - now, 0.0)
        self.denied = may_write(
            given_up=self.given_up is not None,
            server_ready=self.subchannel.ready,
            now=now,
            expires_at=self.scope.deadline,
            send_by=self._send_by,
            client_there=lambda: self._wanted(self.rpc),
        )
        self.sending = self.denied is None
        return self.sending

    def mark_written(self) -> None:
        self.written = True
        if self._on_written is not None:
            self._on_written(self)

    def first_event_timeout_s(self) -> float:
        return self._wait_s

    async def forward_event(self, data: bytes) -> None:
        if not self.started:
            # Too late: the core has given the final answer, or the deadline fired in the moment in which this
            # came. Guards the client: its answer would begin and be cut off by that very deadline.
            if self.given_up is not None or self.scope.cancel_called:
                raise SinkClosed
            self.started = True
            self.scope.deadline = math.inf  # once an answer has begun, it has no deadline
            self._on_first(self)
        await self.rpc.sink.send_event(data)

    def give_up(self, status: Status) -> None:
        if self.given_up is None:
            self.given_up = status
            self.scope.cancel()


FirstEventCallback = Callable[[Attempt], None]
WrittenCallback = Callable[[Attempt], None]
ClientCheck = Callable[[RPC], bool]  # whether its client is still there


@dataclass(frozen=True, slots=True)
class Start:
    """Order to start a call attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Probing:
    """Order to probe the engine."""


@dataclass(frozen=True, slots=True)
class Update:
    """Order to heed a change to the engine's entry in the list."""

    ready: bool
    restarted: bool


Order = Start | Probing | Update


class Subchannel:
    """The actor of one engine."""

    def __init__(
        self,
        number: int,
        target: Target,
        connect: ServerClientFactory,
        probe_protocol: str,
        on_ended: AttemptCallback,
        on_probed: ProbeCallback,
        drain_grace_s: float = LONGEST_GRACE_S,
    ) -> None:
        self.number = number
        self.target = target
        self._ready = True
        self.drained_at: float | None = None  # when it was told to take no more
        self.running = False  # its actor: from its first order on, since most of a large fleet is never used
        self._connect = connect
        self._clients: dict[str, ServerClient] | None = None
        self._probed_with = probe_protocol
        self._on_ended = on_ended
        self._on_probed = on_probed
        self._finish_writing_s = time_to_finish_writing(drain_grace_s)
        self._in_flight: dict[Attempt, None] = {}
        # Orders come from the module alone, so their number is bounded by the open RPCs and its probes.
        self._channel: tuple[trio.MemorySendChannel[Order], trio.MemoryReceiveChannel[Order]] | None = None

    @property
    def ready(self) -> bool:
        """Whether it takes work, as the list says."""
        return self._ready

    @ready.setter
    def ready(self, ready: bool) -> None:
        if ready != self._ready:
            self.drained_at = None if ready else trio.current_time()
        self._ready = ready

    @property
    def clients(self) -> dict[str, ServerClient]:
        """Its clients by protocol, made when they are first asked for."""
        if self._clients is None:
            self._clients = self._connect(self.target.endpoint)
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
        """Give the actor an order. One that does not run has nothing that a change could concern."""
        if self.running or not isinstance(order, Update):
            self._orders[0].send_nowait(order)

    def retire(self) -> None:
        """No further orders: the actor ends when its attempts have."""
        if self.running:
            self._orders[0].close()

    def trim(self) -> None:
        """Close connections that have been idle too long to be used again."""
        for client in (self._clients or {}).values():
            client.trim()

    async def run(self) -> None:
        try:
            await self._process_orders()
        finally:  # told to end, or the program ends: nothing idle stays open
            for client in self.clients.values():
                client.discard()

    async def _process_orders(self) -> None:
        async with trio.open_nursery() as attempts:
            async for order in self._orders[1]:
                match order:
                    case Start(attempt):
                        self._in_flight[attempt] = None
                        attempts.start_soon(self._attempt, attempt)
                    case Probing():
                        attempts.start_soon(self._probe)
                    case Update(ready, restarted):
                        if not ready:
                            for attempt in self._in_flight:
                                if not attempt.sending:
                                    attempt.give_up(Status.NOT_SENT)
                            if self._unwritten():
                                attempts.start_soon(self._stop_writing)
                        if restarted or not ready:
                            for client in self.clients.values():
                                client.close_idle()

    def _unwritten(self) -> list[Attempt]:
        return [attempt for attempt in self._in_flight if not attempt.written]

    async def _stop_writing(self) -> None:
        """Guards the drain rule: a request whose bytes still go out has not run, and counts with its last
        one. What is not written soon after the notice goes elsewhere.
        """
        begun = self._unwritten()
        await trio.sleep(self._finish_writing_s)
        if not self.ready:
            for attempt in begun:
                if attempt in self._in_flight and not attempt.written:
                    attempt.give_up(Status.NOT_SENT)

    async def _attempt(self, attempt: Attempt) -> None:
        report = None
        client = self.clients.get(attempt.rpc.protocol)
        try:
            with attempt.scope:
                if client is None:
                    report = AttemptResult(Status.NOT_SENT, note="engine speaks another protocol")
                elif attempt.given_up is None:
                    report = await client.call(attempt.rpc, attempt)
        except SinkClosed:
            late = attempt.scope.cancel_called and attempt.given_up is None
            report = (
                AttemptResult(Status.TIMEOUT) if late else AttemptResult(Status.CANCELLED, note="client gone")
            )
        except Exception as error:  # whatever a peer may provoke must not end the program
            report = AttemptResult(Status.RESET, note=f"fault in the engine client: {error!r}")
        finally:
            self._in_flight.pop(attempt, None)
        if report is None:
            status = attempt.given_up or Status.TIMEOUT
            if status is Status.NOT_SENT and attempt.written:  # its last byte went out in the same moment
                status = Status.CANCELLED
            report = AttemptResult(status)
        if report.status is Status.NOT_SENT and attempt.denied is not None:
            report = replace(report, note=attempt.denied.value)
        self._on_ended(attempt, report, trio.current_time() - attempt.made_at)

    async def _probe(self) -> None:
        began = trio.current_time()
        try:
            report = await self.clients[self._probed_with].probe()
        except Exception as error:  # as above
            report = AttemptResult(Status.RESET, note=f"fault in the engine client: {error!r}")
        self._on_probed(self, report, trio.current_time() - began)


AttemptCallback = Callable[
    [Attempt, AttemptResult, float], None
]  # with what came of it, and the seconds it took
ProbeCallback = Callable[[Subchannel, AttemptResult, float], None]
