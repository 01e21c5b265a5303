"""The core: the table of open RPCs, the timers, and the only actor that uses the decision module."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Collection, Iterable, Mapping
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
from .pace import DecisionStats, retry_after_s, waits_too_long
from .permissions import Audit, Rule, may_begin, write_until
from .run_history import RunHistory, name_key
from .server_table import ServerTable
from .subchannel import Attempt, Start, StartProbe, Subchannel
from .timers import Timers
from .types import (
    RPC,
    AttemptResult,
    Cause,
    FinalAnswer,
    Log,
    MayHaveRun,
    NameTaken,
    Outcome,
    Overloaded,
    ResolverResult,
    ServerClientFactory,
)

# The final answer must arrive before the client's deadline, which started to run one network delay before the
# router received the request.
MARGIN_S = 0.03
OVERDUE_S = 0.02  # this long after an RPC's deadline the core answers it if the decision module has not
MAX_BATCH_EVENTS = 16  # passed to the decision module together; after a long batch one at a time
SLICE_S = 0.005  # of decisions, after which other tasks run and due timers are processed


class Core:
    """The table of open RPCs and the actor that runs the decision module."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        create_clients: ServerClientFactory,
        log: Log,
        max_open_rpcs: int = 512,
        probe_protocol: str = "http",
        wall: Callable[[], float] = time.time,
        max_attempts: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.settings = settings
        self.classes: Mapping[str, RequestClass] = {c.name: c for c in settings.classes}
        self.tenants: Collection[str] = {t.name for t in settings.tenants}
        self.open_rpcs: dict[str, OpenRPC] = {}
        self._table = ServerTable(
            create_clients,
            probe_protocol,
            self._on_attempt_ended,
            self._on_probe_ended,
            settings.guarantees.drain_grace_s,
        )
        self.subchannels = self._table.subchannels
        self._gateway = Gateway(settings, seed)
        self._log = log
        self.max_open_rpcs = max_open_rpcs
        self._max_attempts = max_attempts  # that this process has descriptors for
        self._names: set[tuple[str, str]] = set()  # protocols and client-chosen names of the open RPCs
        self._runs = RunHistory()
        self.on_run: Callable[[int], None] = lambda key: None  # tells the peer processes of a takeover
        self._submitted = 0  # RPCs so far, for unique keys
        self._timers: Timers[str | OpenRPC] = Timers()  # the decision module's tokens, and deadlines
        # The decision module's clock is Unix time, like the servers' start times, but monotonic.
        self._epoch = wall() - trio.current_time()
        self._mailbox = DecisionMailbox()
        # Set when the decision module failed and may have missed a change: it then gets the next whole list
        # in full.
        self._module_failed = False
        # The number of attempts of each abandoned RPC, until the decision module has processed its
        # ClientGone.
        self._abandoned: dict[str, int] = {}
        self._nursery: trio.Nursery | None = None
        self._idle = trio.Event()
        self._stats = DecisionStats(trio.current_time())
        self.audit = Audit(log)

    # Called by the fronts.

    def can_serve(self) -> bool:
        """Return whether the core runs and at least one server takes requests."""
        return self._nursery is not None and any(s.ready for s in self.subchannels.values())

    def submit(self, rpc: RPC) -> None:
        """Accept an RPC, whose sink gets exactly one final answer.

        Raises Overloaded when too many RPCs are open, NameTaken when an open one has the same name, and
        MayHaveRun when an earlier one had it that must not run twice.
        """
        # The memory is limited too, since each open RPC holds its payload.
        if len(self.open_rpcs) >= min(self.max_open_rpcs, self._max_attempts()):
            raise Overloaded
        if rpc.named_by_client:
            # A server identifies requests by these names and would confuse the two.
            if (rpc.protocol, rpc.name) in self._names:
                raise NameTaken
            if self._is_remembered(rpc) and self._runs.contains(
                name_key(rpc.protocol, rpc.name), trio.current_time()
            ):
                raise MayHaveRun
            self._names.add((rpc.protocol, rpc.name))
        self._submitted += 1
        # The decision module joins this key with colons into timer tokens, and names may repeat over time.
        rpc.key = f"{rpc.name.replace(':', '_')}.{self._submitted}"
        rpc.expires_at = trio.current_time() + rpc.expires_in_s - min(MARGIN_S, 0.1 * rpc.expires_in_s)
        entry = self.open_rpcs[rpc.key] = OpenRPC(rpc)
        entry.deadline = self._timers.add(rpc.expires_at + OVERDUE_S, entry)
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

    def _is_remembered(self, rpc: RPC) -> bool:
        """Return whether a request of this name must not run again."""
        return rpc.named_by_client and self.classes[rpc.rpc_class].effect is not Effect.SAFE

    def cancel_rpc(self, rpc: RPC, reason: str = "") -> None:
        """Cancel the RPC of a client that has disconnected; does nothing once the RPC is answered."""
        entry = self.open_rpcs.get(rpc.key)
        if entry is None or entry.answered:
            return
        self._finish(entry, FinalAnswer(Outcome.GONE), reason)
        self._abandon(entry)

    def record_unanswered_close(self, rpc: str, reason: str) -> None:
        """Record that a connection was closed before its answer though the client had not disconnected."""
        self.audit.check(False, Rule.CLOSED_OWING, rpc, reason=reason)

    def _check_client(self, rpc: RPC) -> bool:
        """Return whether the client is still connected, and cancel its RPC if it is not."""
        if rpc.sink.has_client_left():
            self.cancel_rpc(rpc, "disconnected before an attempt was written")
            return False
        return True

    def _abandon(self, entry: OpenRPC) -> None:
        """Notify the decision module that the client is gone, and abort the attempts in flight."""
        self._abandoned[entry.rpc.key] = len(entry.attempts)
        self._mailbox.post(ClientGone(entry.rpc.key))
        for attempt in entry.attempts:
            if attempt is not None:
                attempt.abort(Status.CANCELLED)
        self._remove_if_complete(entry)

    async def wait_until_idle(self) -> None:
        """Wait until no RPC is open."""
        while self.open_rpcs:
            self._idle = trio.Event()
            await self._idle.wait()

    # Called by the resolver.

    def apply_resolver_result(self, result: ResolverResult) -> None:
        """Apply a resolver result to the subchannels now, and to the decision module in its next batches."""
        is_whole_list = result.kind is not ListKind.DELTA
        change = self._table.apply(result, is_whole_list and self._module_failed)
        if is_whole_list:
            self._module_failed = False
        if change is not None:
            self._mailbox.post(change)

    # Exchanged with the peer processes of a takeover.

    def known_servers(self) -> ResolverResult:
        """Return the list of all servers as currently known."""
        return ResolverResult(ListKind.FULL, tuple(s.target for s in self.subchannels.values()))

    def attempts_in_flight(self) -> dict[int, int]:
        """Return the number of attempts in flight, by replica number."""
        return {number: s.in_flight for number, s in self.subchannels.items() if s.in_flight}

    def runs(self) -> list[int]:
        """Return the keys of the names that must not run again, the oldest first."""
        return self._runs.keys()

    def add_runs(self, keys: Iterable[int]) -> None:
        """Add names that a peer process has sent to servers."""
        for key in keys:
            self._runs.add(key, trio.current_time())

    def snapshot(self) -> dict[str, Any]:
        """Return what the decision module has learned, for `restore` in a successor."""
        return self._gateway.snapshot()

    def restore(self, learned: dict[str, Any]) -> None:
        """Pass a predecessor's snapshot to the decision module."""
        self._mailbox.post(Learned(learned))

    def set_peer_attempts(self, counts: dict[int, int]) -> None:
        """Pass on the numbers of attempts in flight from peer processes, by replica number."""
        self._mailbox.post(OutElsewhere(counts))

    # Called by the attempts and the subchannels.

    def _on_first_event(self, attempt: Attempt) -> None:
        latency = attempt.first_event_s = trio.current_time() - attempt.created_at
        attempt.rpc.payload = None  # the RPC gets no further attempt
        entry = self.open_rpcs[attempt.rpc.key]
        if entry.deadline is not None:  # an answer that has begun has no deadline
            self._timers.cancel(entry.deadline)
        self._mailbox.post(FirstToken(attempt.rpc.key, attempt.number, attempt.subchannel.number, latency))

    def _on_attempt_written(self, attempt: Attempt) -> None:
        entry = self.open_rpcs[attempt.rpc.key]
        if self._is_remembered(attempt.rpc):
            key = name_key(attempt.rpc.protocol, attempt.rpc.name)
            self._runs.add(key, trio.current_time())
            self.on_run(key)
        self.audit.check_written(
            attempt.rpc.key,
            trio.current_time(),
            began_answered=entry.answered_at < attempt.sending_at,
            in_flight=entry.in_flight,
            expires_at=attempt.rpc.expires_at,
            drained_at=attempt.subchannel.drained_at,
        )

    def _on_attempt_ended(self, attempt: Attempt, result: AttemptResult, latency_s: float) -> None:
        entry = self.open_rpcs[attempt.rpc.key]
        entry.in_flight -= 1
        entry.statuses.append(result.status)
        entry.attempts[attempt.number] = None
        if entry.first_run_at is None and result.status not in NEVER_RAN:
            entry.first_run_at = attempt.created_at
        if not entry.answered:
            if result.status is Status.OK:
                self._finish(entry, FinalAnswer(Outcome.SERVED, server_status=result.server_status))
            elif attempt.started:
                cancelled = result.status is Status.CANCELLED
                outcome = Outcome.GONE if cancelled else Outcome.BROKEN
                self._finish(entry, FinalAnswer(outcome, Cause.SERVER, True))
        if result.status is Status.OK:
            self._log(
                "debug",
                "ANSWER",
                "attempt served",
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
                cached=result.cached_tokens,
                held_s=round(attempt.created_at - entry.arrived_at, 4),
                first_s=round(attempt.first_event_s, 4),
                took_s=round(latency_s, 4),
            )
        else:
            self._log(
                "info",
                "ATTEMPT",
                "attempt ended without an answer",
                rpc=attempt.rpc.key,
                number=attempt.number,
                subchannel=attempt.subchannel.target.uid,
                status=result.status.value,
                started=attempt.started,
                took_s=round(latency_s, 4),
                note=result.note,
            )
        self._mailbox.post(
            AttemptEnded(
                attempt.rpc.key,
                attempt.number,
                attempt.subchannel.number,
                result.status,
                latency_s,
                entry.answered,
                result.cached_tokens,
                self._load_row(result),
            )
        )
        self._remove_if_complete(entry)

    def _on_probe_ended(self, subchannel: Subchannel, result: AttemptResult, latency_s: float) -> None:
        self._mailbox.post(ProbeEnded(subchannel.number, result.status, latency_s, self._load_row(result)))

    def _load_row(self, result: AttemptResult) -> tuple[float, ...]:
        """Return the reported load values in the order of the settings; empty if one is missing."""
        if any(metric not in result.load for metric in self.settings.metrics):
            return ()
        return tuple(result.load[metric] for metric in self.settings.metrics)

    # The decision module's actor.

    async def run(self) -> None:
        """Pass events to the decision module, at most once per tick, and execute its actions."""
        tick_s = self.settings.tick_s
        last_run_at = -math.inf
        async with trio.open_nursery() as self._nursery:
            for subchannel in self.subchannels.values():
                if subchannel.running:
                    self._nursery.start_soon(subchannel.run)
            while True:
                with trio.move_on_at(self._timers.next_at):
                    await self._mailbox.wait()
                if last_run_at + tick_s > trio.current_time():
                    await trio.sleep_until(last_run_at + tick_s)
                last_run_at = trio.current_time()
                await self._decide_all()
                if (summary := self._stats.summary(trio.current_time())) is not None:
                    self._log("notice", "DECISIONS", "decisions took long", **summary)

    async def _decide_all(self) -> None:
        """Decide on all pending events, in slices so that decisions don't delay deadlines and sockets."""
        max_events, slice_began_at = MAX_BATCH_EVENTS, trio.current_time()
        self._process_due_timers()
        while events := self._mailbox.take(max_events):
            began_at = trio.current_time()
            if events := [event for event in events if self._should_decide(event)]:
                self._decide(events)
            now = trio.current_time()
            max_events = 1 if now - began_at > SLICE_S else MAX_BATCH_EVENTS
            if now - slice_began_at > SLICE_S:
                await trio.lowlevel.checkpoint()
                slice_began_at = trio.current_time()
                self._process_due_timers()

    def _should_decide(self, event: Event) -> bool:
        """Return whether to pass an event to the decision module.

        A new request that has ended in the meantime is dropped, so it never reaches a server. One that has
        waited too long is refused here, while its client still has time to use another router.
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
            Outcome.REFUSED, Cause.CAPACITY, False, retry_after_s(self.settings.limits, entry.rpc.key)
        )
        self._finish(entry, final, f"decisions are {waited_s:.3f} s behind")
        self._remove_if_complete(entry)
        return False

    def _process_due_timers(self) -> None:
        for item in self._timers.pop_due(trio.current_time()):
            if isinstance(item, str):
                self._mailbox.post(TimerFired(item))
            elif not item.answered and not item.started:
                # The client gets an answer before its deadline whatever the decision module does.
                self._finish(item, FinalAnswer(Outcome.FAILED, Cause.DEADLINE, item.may_have_run()))
                self._abandon(item)

    def _decide(self, events: list[Event]) -> None:
        try:
            began_at = trio.current_time()
            actions = self._gateway.handle(began_at + self._epoch, events)
            self._stats.record_batch(events, trio.current_time() - began_at)
        except Exception as error:  # an error in the decision module must not break the open streams
            self._module_failed = True
            self._log("err", "MODULE", "the decision module failed", error=f"{type(error).__name__}: {error}")
            for event in events:
                if isinstance(event, RequestArrived | AttemptEnded) and event.request in self.open_rpcs:
                    self._fail(self.open_rpcs[event.request], FinalAnswer(Outcome.FAILED))
                elif isinstance(event, ClientGone):
                    self._abandoned.pop(event.request, None)
                elif isinstance(event, ReplicaList) and len(events) > 1:
                    # Retried alone: otherwise the list would be lost for good with its batch.
                    self._mailbox.post(event)
            return
        self._execute(actions)
        for event in events:
            if isinstance(event, ClientGone):
                self._abandoned.pop(event.request, None)

    def _execute(self, actions: list[Action]) -> None:
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
                        self._order(subchannel, StartProbe())
                case Subscribe():
                    pass  # the resolver has its own schedule; a second one would double discovery's load
                case SendPeerMessage():
                    pass  # no supported platform lets routers exchange messages

    def _start(self, request: str, replica: int, timeout_s: float) -> None:
        entry = self.open_rpcs.get(request)
        if entry is None or entry.answered:
            self._report_unsent_attempt(request, replica)
            return
        number = len(entry.attempts)
        subchannel = self.subchannels.get(replica)
        ready = subchannel is not None and subchannel.ready
        denial = may_begin(answered=entry.answered, others_in_flight=entry.in_flight, server_ready=ready)
        if subchannel is None or denial is not None:  # the list may have changed since the decision
            entry.attempts.append(None)
            entry.statuses.append(Status.NOT_SENT)
            self._mailbox.post(AttemptEnded(request, number, replica, Status.NOT_SENT, 0.0, False))
            return
        remaining_s = entry.rpc.expires_at - trio.current_time()
        attempt_timeout_s = min(timeout_s, remaining_s) if timeout_s > 0 else remaining_s
        attempt = Attempt(
            entry.rpc,
            number,
            subchannel,
            attempt_timeout_s,
            self._on_first_event,
            self._check_client,
            self._send_by(entry),
            self._on_attempt_written,
            may_be_repeated=self.classes[entry.rpc.rpc_class].effect is not Effect.UNSAFE,
        )
        entry.attempts.append(attempt)
        entry.in_flight += 1
        self._order(subchannel, Start(attempt))

    def _order(self, subchannel: Subchannel, order: Start | StartProbe) -> None:
        """Send an order to a subchannel and start its actor if this is the first one."""
        if not subchannel.running:
            subchannel.running = True
            if self._nursery is not None:
                self._nursery.start_soon(subchannel.run)
        subchannel.post(order)

    def _send_by(self, entry: OpenRPC) -> float:
        """Return the latest time at which a further attempt may be written.

        Servers discard repeats of a keyed request within the deduplication window of the settings, which
        starts with the first attempt that may have run.
        """
        rpc_class = self.classes[entry.rpc.rpc_class]
        if entry.first_run_at is None or rpc_class.effect is not Effect.KEYED:
            return math.inf
        return write_until(entry.first_run_at, rpc_class.dedup_window_s)

    def _report_unsent_attempt(self, request: str, replica: int) -> None:
        """Report the end of an attempt that was decided before the RPC's ClientGone was processed.

        Without this event the decision module would count the attempt as in flight for ever.
        """
        number = self._abandoned.get(request)
        if number is not None:
            self._abandoned[request] = number + 1
            self._mailbox.post(AttemptEnded(request, number, replica, Status.NOT_SENT, 0.0, True))

    def _cancel(self, request: str, number: int) -> None:
        entry = self.open_rpcs.get(request)
        attempt = entry.attempts[number] if entry is not None and number < len(entry.attempts) else None
        if attempt is not None and not attempt.started:
            attempt.abort(Status.CANCELLED)

    def _end(self, request: str, outcome: Outcome, retry_after_s: float) -> None:
        entry = self.open_rpcs.get(request)
        if entry is not None:
            self._fail(entry, FinalAnswer(outcome, retry_after_s=retry_after_s))

    def _fail(self, entry: OpenRPC, final: FinalAnswer) -> None:
        """Answer an RPC that the decision module refused or failed, with the cause that applies."""
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
        self.audit.check_answered(
            entry.rpc.key,
            trio.current_time(),
            again=entry.answered,
            begun=entry.started or final.outcome in (Outcome.SERVED, Outcome.BROKEN),
            expires_at=entry.rpc.expires_at,
            outcome=final.outcome,
        )
        entry.answered, entry.answered_at = True, trio.current_time()
        entry.rpc.payload = None
        if entry.deadline is not None:
            self._timers.cancel(entry.deadline)
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
                if not entry.may_have_run():
                    self._runs.discard(name_key(entry.rpc.protocol, entry.rpc.name))
            if not self.open_rpcs:
                self._idle.set()
