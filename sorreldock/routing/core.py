"""The core: the table of open RPCs, the timers, and the actor that alone speaks with the module."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Collection, Mapping
from typing import Any

import trio

from ..interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientGone,
    Effect,
    Event,
    FailRequest,
    FirstToken,
    Learned,
    ListKind,
    OutElsewhere,
    Probe,
    ProbeEnded,
    RefuseRequest,
    ReplicaList,
    RequestArrived,
    RequestClass,
    SendPeerMessage,
    SetTimer,
    Settings,
    StartAttempt,
    Status,
    Subscribe,
    TimerFired,
)
from ..rules import Gateway
from .mailbox import DecisionMailbox
from .open_rpc import NEVER_RAN, OpenRPC
from .pace import DecisionPace, advice_s, waits_too_long
from .permissions import Audit, Rule, may_begin, write_until
from .server_table import ServerTable
from .subchannel import Attempt, Probing, Start, Subchannel
from .timers import Timers
from .types import (
    RPC,
    AttemptResult,
    Cause,
    FinalAnswer,
    Log,
    NameTaken,
    Outcome,
    Overloaded,
    ResolverResult,
    ServerClientFactory,
)

# The final answer has to land before the client gives up, and its clock started a journey earlier than ours.
MARGIN_S = 0.03
OVERDUE_S = 0.02  # after this the core answers by itself what the module has left open
EVENTS_AT_ONCE = 16  # decided on together; where that took long, one at a time
SLICE_S = 0.005  # of decisions, behind which sockets and deadlines have their turn


class Core:
    """The table of open RPCs, and the actor that speaks with the decision module."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        connect: ServerClientFactory,
        log: Log,
        max_open_rpcs: int = 512,
        probe_protocol: str = "http",
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.classes: Mapping[str, RequestClass] = {c.name: c for c in settings.classes}
        self.tenants: Collection[str] = {t.name for t in settings.tenants}
        self.open_rpcs: dict[str, OpenRPC] = {}
        self._table = ServerTable(
            connect, probe_protocol, self._attempt_ended, self._probe_ended, settings.guarantees.drain_grace_s
        )
        self.subchannels = self._table.subchannels
        self._gateway = Gateway(settings, seed)
        self._log = log
        self.max_open_rpcs = max_open_rpcs
        self._names: set[tuple[str, str]] = set()  # of the open RPCs
        self._arrived = 0
        self._timers: Timers[str | OpenRPC] = Timers()  # the module's tokens, and deadlines
        # The clock of the module is Unix time, as the engines' start times are, but never steps back.
        self._epoch = wall() - trio.current_time()
        self._mailbox = DecisionMailbox()
        self._module_failed = False  # and may have missed a change: the next whole list is told in full
        # RPCs that nobody waits for any longer, and their attempts so far, until the module has heard of it.
        self._gone: dict[str, int] = {}
        self._nursery: trio.Nursery | None = None
        self._idle = trio.Event()
        self._pace = DecisionPace(trio.current_time())
        self.audit = Audit(log)

    # What the fronts call.

    def can_serve(self) -> bool:
        return self._nursery is not None and any(s.ready for s in self.subchannels.values())

    def submit(self, rpc: RPC) -> None:
        """Take an RPC; its sink gets exactly one final answer."""
        if len(self.open_rpcs) >= self.max_open_rpcs:  # guards memory: every open RPC holds its payload
            raise Overloaded
        if rpc.named_by_client:
            # Guards the first of the two: an engine knows them by their names, and would mix them up.
            if (rpc.protocol, rpc.name) in self._names:
                raise NameTaken
            self._names.add((rpc.protocol, rpc.name))
        self._arrived += 1
        # The module builds its timers' tokens from the id with colons, and an id may come twice.
        rpc.key = f"{rpc.name.replace(':', '_')}.{self._arrived}"
        rpc.expires_at = trio.current_time() + rpc.expires_in_s - min(MARGIN_S, 0.1 * rpc.expires_in_s)
        entry = self.open_rpcs[rpc.key] = OpenRPC(rpc)
        self._timers.add(rpc.expires_at + OVERDUE_S, entry)
        self._mailbox.post(
            RequestArrived(
                request=rpc.key,
                request_class=rpc.rpc_class,
                expires_at=rpc.expires_at + self._epoch,
                session=rpc.session,
                shared_prefix=rpc.prefix,
                tenant=rpc.tenant,
                prompt_tokens=rpc.prompt_tokens,
                prefix_tokens=rpc.prefix_tokens,
                max_output_tokens=rpc.max_output_tokens,
                is_retry=rpc.is_retry,
                resumed=rpc.resumed,
            )
        )

    def client_gone(self, rpc: RPC, reason: str = "") -> None:
        entry = self.open_rpcs.get(rpc.key)
        if entry is None or entry.answered:
            return
        self._finish(entry, FinalAnswer(Outcome.GONE), reason)
        self._abandon(entry)

    def closed_without_answer(self, rpc: str, reason: str) -> None:
        self.audit.expect(False, Rule.CLOSED_OWING, rpc, reason=reason)

    def _wanted(self, rpc: RPC) -> bool:
        if rpc.sink.has_client_left():
            self.client_gone(rpc, "seen before an attempt")
            return False
        return True

    def _abandon(self, entry: OpenRPC) -> None:
        """Nobody waits any longer: tell the module, and stop what is still out."""
        self._gone[entry.rpc.key] = len(entry.attempts)
        self._mailbox.post(ClientGone(entry.rpc.key))
        for attempt in entry.attempts:
            if attempt is not None:
                attempt.give_up(Status.CANCELLED)
        self._remove_if_complete(entry)

    async def wait_until_idle(self) -> None:
        """Wait until no RPC is open."""
        while self.open_rpcs:
            self._idle = trio.Event()
            await self._idle.wait()

    # What the resolver calls.

    def apply_resolver_result(self, result: ResolverResult) -> None:
        """Take a resolver result: the subchannels follow at once, the module in its next batches."""
        whole = result.kind is not ListKind.DELTA
        change = self._table.apply(result, whole and self._module_failed)
        if whole:
            self._module_failed = False
        if change is not None:
            self._mailbox.post(change)

    # What another process of the same router is told, and tells.

    def known_servers(self) -> ResolverResult:
        """All servers as they are known."""
        return ResolverResult(ListKind.FULL, tuple(s.target for s in self.subchannels.values()))

    def attempts_in_flight(self) -> dict[int, int]:
        """Call attempts out, by replica."""
        return {number: s.in_flight for number, s in self.subchannels.items() if s.in_flight}

    def snapshot(self) -> dict[str, Any]:
        return self._gateway.snapshot()

    def restore(self, learned: dict[str, Any]) -> None:
        self._mailbox.post(Learned(learned))

    def set_peer_attempts(self, counts: dict[int, int]) -> None:
        self._mailbox.post(OutElsewhere(counts))

    # What the call attempts tell.

    def _attempt_began(self, attempt: Attempt) -> None:
        latency = attempt.first_s = trio.current_time() - attempt.made_at
        attempt.rpc.payload = None  # nothing more goes out for it
        self._mailbox.post(FirstToken(attempt.rpc.key, attempt.number, attempt.subchannel.number, latency))

    def _attempt_written(self, attempt: Attempt) -> None:
        entry = self.open_rpcs[attempt.rpc.key]
        self.audit.written(
            attempt.rpc.key,
            trio.current_time(),
            answered=entry.answered,
            in_flight=entry.in_flight,
            expires_at=attempt.rpc.expires_at,
            drained_at=attempt.subchannel.drained_at,
        )

    def _attempt_ended(self, attempt: Attempt, report: AttemptResult, latency_s: float) -> None:
        entry = self.open_rpcs[attempt.rpc.key]
        entry.in_flight -= 1
        entry.statuses.append(report.status)
        entry.attempts[attempt.number] = None
        if entry.first_run_at is None and report.status not in NEVER_RAN:
            entry.first_run_at = attempt.made_at
        if not entry.answered:
            if report.status is Status.OK:
                self._finish(entry, FinalAnswer(Outcome.SERVED, server_status=report.server_status))
            elif attempt.started:
                gone = report.status is Status.CANCELLED
                outcome = Outcome.GONE if gone else Outcome.BROKEN
                self._finish(entry, FinalAnswer(outcome, Cause.SERVER, True))
        if report.status is Status.OK:
            self._log(
                "debug",
                "ANSWER",
                "call attempt served",
                rpc=attempt.rpc.key,
                subchannel=attempt.subchannel.target.uid,
                kind=attempt.subchannel.target.kind,
                zone=attempt.subchannel.target.zone,
                weight=attempt.subchannel.target.weight,
                rpc_class=attempt.rpc.rpc_class,
                session=attempt.rpc.session,
                prefix=attempt.rpc.prefix,
                resumed=attempt.rpc.resumed,
                tokens=attempt.rpc.prompt_tokens,
                cached=report.cached_tokens,
                held_s=round(attempt.made_at - entry.arrived_at, 4),
                first_s=round(attempt.first_s, 4),
                took_s=round(latency_s, 4),
            )
        else:
            self._log(
                "info",
                "ATTEMPT",
                "call attempt ended without an answer",
                rpc=attempt.rpc.key,
                number=attempt.number,
                subchannel=attempt.subchannel.target.uid,
                status=report.status.value,
                started=attempt.started,
                took_s=round(latency_s, 4),
                note=report.note,
            )
        self._mailbox.post(
            AttemptEnded(
                attempt.rpc.key,
                attempt.number,
                attempt.subchannel.number,
                report.status,
                latency_s,
                entry.answered,
                report.cached_tokens,
                self._row(report),
            )
        )
        self._remove_if_complete(entry)

    def _probe_ended(self, subchannel: Subchannel, report: AttemptResult, latency_s: float) -> None:
        self._mailbox.post(ProbeEnded(subchannel.number, report.status, latency_s, self._row(report)))

    def _row(self, report: AttemptResult) -> tuple[float, ...]:
        """The reported values in the order of the settings; empty when one is missing."""
        if any(metric not in report.load for metric in self.settings.metrics):
            return ()
        return tuple(report.load[metric] for metric in self.settings.metrics)

    # The module's actor.

    async def run(self) -> None:
        """Hand the module its events, once a tick, and carry out its actions."""
        tick = self.settings.tick_s
        last = -math.inf
        async with trio.open_nursery() as self._nursery:
            for subchannel in self.subchannels.values():
                if subchannel.running:
                    self._nursery.start_soon(subchannel.run)
            while True:
                with trio.move_on_at(self._timers.next_at):
                    await self._mailbox.wait()
                if last + tick > trio.current_time():
                    await trio.sleep_until(last + tick)
                last = trio.current_time()
                await self._decide_all()
                if (summary := self._pace.summary(trio.current_time())) is not None:
                    self._log("notice", "DECISIONS", "decisions take long or wait", **summary)

    async def _decide_all(self) -> None:
        """Decide on all that waits, in slices: deadlines and sockets must not wait for many decisions."""
        most, slice_began = EVENTS_AT_ONCE, trio.current_time()
        self._due()
        while events := self._mailbox.take(most):
            began = trio.current_time()
            if events := [event for event in events if self._should_decide(event)]:
                self._decide(events)
            now = trio.current_time()
            most = 1 if now - began > SLICE_S else EVENTS_AT_ONCE
            if now - slice_began > SLICE_S:
                await trio.lowlevel.checkpoint()
                slice_began = trio.current_time()
                self._due()

    def _should_decide(self, event: Event) -> bool:
        """Whether the module is to hear of it: a request that has ended meanwhile never reaches a server, and
        one that has waited too long is refused while its client can still go elsewhere.
        """
        if not isinstance(event, RequestArrived):
            return True
        entry = self.open_rpcs.get(event.request)
        if entry is None or entry.answered:
            return False
        waited_s = trio.current_time() - entry.arrived_at
        if not waits_too_long(waited_s, entry.rpc.expires_at - entry.arrived_at):
            return True
        final = FinalAnswer(
            Outcome.REFUSED, Cause.CAPACITY, False, advice_s(self.settings.limits, entry.rpc.key)
        )
        self._finish(entry, final, f"decisions are {waited_s:.3f} s behind")
        self._remove_if_complete(entry)
        return False

    def _due(self) -> None:
        for what in self._timers.due(trio.current_time()):
            if isinstance(what, str):
                self._mailbox.post(TimerFired(what))
            elif not what.answered and not what.started:
                # Guards the first rule: whatever the module does, the client hears before it gives up.
                self._finish(what, FinalAnswer(Outcome.FAILED, Cause.DEADLINE, what.may_have_run()))
                self._abandon(what)

    def _decide(self, events: list[Event]) -> None:
        try:
            began = trio.current_time()
            actions = self._gateway.handle(began + self._epoch, events)
            self._pace.decided(events, trio.current_time() - began)
        except Exception as error:  # a fault in the decisions must not take the open streams with it
            self._module_failed = True
            self._log("err", "MODULE", "the module failed", error=f"{type(error).__name__}: {error}")
            for event in events:
                if isinstance(event, RequestArrived | AttemptEnded) and event.request in self.open_rpcs:
                    self._give_up(self.open_rpcs[event.request], FinalAnswer(Outcome.FAILED))
                elif isinstance(event, ClientGone):
                    self._gone.pop(event.request, None)
                elif isinstance(event, ReplicaList) and len(events) > 1:
                    self._mailbox.post(event)  # a list lost with its batch would be missed for good
            return
        self._carry_out(actions)
        for event in events:
            if isinstance(event, ClientGone):
                self._gone.pop(event.request, None)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt(request, replica, timeout_s):
                    self._start(request, replica, timeout_s)
                case CancelAttempt(request, number):
                    self._cancel(request, number)
                case RefuseRequest(request, retry_after_s):
                    self._end(request, Outcome.REFUSED, retry_after_s)
                case FailRequest(request):
                    self._end(request, Outcome.FAILED, 0.0)
                case SetTimer(delay_s, token):
                    self._timers.add(trio.current_time() + delay_s, token)
                case Probe(replica):
                    subchannel = self.subchannels.get(replica)
                    if subchannel is None or not subchannel.ready:
                        self._mailbox.post(ProbeEnded(replica, Status.NOT_SENT, 0.0))
                    else:
                        self._order(subchannel, Probing())
                case Subscribe():
                    pass  # the resolver watches by its own clock; two that ask make twice a fleet's calls
                case SendPeerMessage():
                    pass  # no platform that this program serves lets routers talk

    def _start(self, request: str, replica: int, timeout_s: float) -> None:
        entry = self.open_rpcs.get(request)
        if entry is None or entry.answered:
            self._report_unsent_attempt(request, replica)
            return
        number = len(entry.attempts)
        subchannel = self.subchannels.get(replica)
        ready = subchannel is not None and subchannel.ready
        denied = may_begin(answered=entry.answered, others_in_flight=entry.in_flight, server_ready=ready)
        if subchannel is None or denied is not None:  # the list may have changed under the module
            entry.attempts.append(None)
            entry.statuses.append(Status.NOT_SENT)
            self._mailbox.post(AttemptEnded(request, number, replica, Status.NOT_SENT, 0.0, False))
            return
        left = entry.rpc.expires_at - trio.current_time()
        wait = min(timeout_s, left) if timeout_s > 0 else left
        attempt = Attempt(
            entry.rpc,
            number,
            subchannel,
            wait,
            self._attempt_began,
            self._wanted,
            self._send_by(entry),
            self._attempt_written,
        )
        entry.attempts.append(attempt)
        entry.in_flight += 1
        self._order(subchannel, Start(attempt))

    def _order(self, subchannel: Subchannel, order: Start | Probing) -> None:
        """Post an order; a subchannel's actor runs from its first one on."""
        if not subchannel.running:
            subchannel.running = True
            if self._nursery is not None:
                self._nursery.start_soon(subchannel.run)
        subchannel.post(order)

    def _send_by(self, entry: OpenRPC) -> float:
        """Until when a further attempt may be written.

        Servers discard repeats of a keyed request for the time in the settings, from the first attempt on
        that may have run.
        """
        rpc_class = self.classes[entry.rpc.rpc_class]
        if entry.first_run_at is None or rpc_class.effect is not Effect.KEYED:
            return math.inf
        return write_until(entry.first_run_at, rpc_class.dedup_window_s)

    def _report_unsent_attempt(self, request: str, replica: int) -> None:
        """The module decided this attempt in the batch in which it heard that nobody waits. Guards its count
        of what is out: without a word of the end, the replica would look busy for ever.
        """
        number = self._gone.get(request)
        if number is not None:
            self._gone[request] = number + 1
            self._mailbox.post(AttemptEnded(request, number, replica, Status.NOT_SENT, 0.0, True))

    def _cancel(self, request: str, number: int) -> None:
        entry = self.open_rpcs.get(request)
        attempt = entry.attempts[number] if entry is not None and number < len(entry.attempts) else None
        if attempt is not None and not attempt.started:
            attempt.give_up(Status.CANCELLED)

    def _end(self, request: str, outcome: Outcome, retry_after_s: float) -> None:
        entry = self.open_rpcs.get(request)
        if entry is not None:
            self._give_up(entry, FinalAnswer(outcome, retry_after_s=retry_after_s))

    def _give_up(self, entry: OpenRPC, final: FinalAnswer) -> None:
        """The module has ended it: the client hears at once."""
        if entry.answered:
            return
        if trio.current_time() >= entry.rpc.expires_at:
            cause = Cause.DEADLINE
        elif any(s is not Status.FULL for s in entry.statuses):
            cause = Cause.SERVER
        else:
            cause = Cause.CAPACITY
        self._finish(entry, FinalAnswer(final.outcome, cause, entry.may_have_run(), final.retry_after_s))
        self._remove_if_complete(entry)

    def _finish(self, entry: OpenRPC, final: FinalAnswer, reason: str = "") -> None:
        self.audit.answered(
            entry.rpc.key,
            trio.current_time(),
            again=entry.answered,
            begun=entry.started or final.outcome in (Outcome.SERVED, Outcome.BROKEN),
            expires_at=entry.rpc.expires_at,
            outcome=final.outcome,
        )
        entry.answered = True
        entry.rpc.payload = None  # the deadline's timer keeps the entry for a while
        entry.rpc.sink.finish(final)
        if final.outcome is not Outcome.SERVED:
            self._log(
                "info",
                "FINAL",
                "RPC not served",
                rpc=entry.rpc.key,
                outcome=final.outcome.value,
                cause=final.cause.value,
                attempts=len(entry.attempts),
                held_s=round(trio.current_time() - entry.arrived_at, 4),
                statuses=" ".join(status.value for status in entry.statuses),
                reason=reason,
            )

    def _remove_if_complete(self, entry: OpenRPC) -> None:
        if entry.answered and not entry.in_flight:
            if self.open_rpcs.pop(entry.rpc.key, None) is not None and entry.rpc.named_by_client:
                self._names.discard((entry.rpc.protocol, entry.rpc.name))
            if not self.open_rpcs:
                self._idle.set()
