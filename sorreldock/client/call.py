"""One call: its attempts, one after the other, until an answer begins or the call fails."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

import anyio

from .policy.deadline import Deadline, DurationEstimate
from .policy.outcome import Outcome, OutcomeKind
from .policy.picker import Picker, Router
from .policy.refusal import Pauses
from .policy.retry import NextStep, RetryBudget, RetryRules
from .pool import Pool
from .sockets import ConnectionLost, DialFailed
from .stats import Stats
from .types import Broken, ClientError, ClientSettings, DeadlineExceeded, Failed, Refused, Request
from .wire import AttemptMark, Connection, Exchange, outcome_of


@dataclass
class Shared:
    """The objects that all calls of one client share."""

    settings: ClientSettings
    picker: Picker
    pool: Pool
    pauses: Pauses
    budget: RetryBudget
    answer_time: DurationEstimate  # from a request's last byte to the first event
    retry_rules: RetryRules
    stats: Stats
    rng: random.Random


class Call:
    """The attempts of one call up to its first event, each closed before the next one starts."""

    def __init__(self, shared: Shared, request: Request, deadline: Deadline) -> None:
        self.shared, self.request, self.deadline = shared, request, deadline
        self.attempts = self.retries = self.resends = 0
        self.router = ""
        self.trace_ids: list[str] = []
        self.exchange: Exchange | None = None
        self._router_record: Router | None = None  # its `outstanding` counts this call
        self._connection: Connection | None = None
        self._last_outcome: Outcome | None = None
        self._avoided: set[str] = set()
        self._earlier_may_have_run = False  # whether the server may have run an earlier attempt
        self._unspent_token = False  # whether a budget token is taken for a retry that is not sent yet

    async def begin(self, body: bytes, resumed: bool = False) -> bytes | None:
        """Return the first event, or None for a complete answer without one; raise the call's error."""
        try:
            with anyio.move_on_after(max(self.deadline.at - anyio.current_time(), 0.0)):
                return await self._run_attempts(body, resumed)
            self._count_silent_router()
            raise self.error(DeadlineExceeded, "no event arrived in time", self._is_attempt_open)
        except BaseException:
            self.release()
            raise

    @property
    def _is_attempt_open(self) -> bool:
        """Whether an attempt is in progress, whose request may have been written at least in part."""
        return self.exchange is not None

    async def _run_attempts(self, body: bytes, resumed: bool) -> bytes | None:
        shared = self.shared
        while True:
            connection, router = await self._acquire_connection()
            self._assign(router, connection)
            mark = AttemptMark(f"{shared.rng.getrandbits(64):016x}", self.retries, resumed)
            outcome, event = await self._attempt(connection, router, body, mark)
            if outcome is None:
                shared.picker.record_answer(router)
                return event
            now = anyio.current_time()
            self._record_outcome(outcome, connection, router, now)
            self.release()
            decision = shared.retry_rules.decide(
                outcome,
                rpc_class=self.request.rpc_class,
                retries=self.retries,
                resends=self.resends if not resumed else 1,
                budget=shared.budget,
                deadline=self.deadline,
                now=now,
                round_trip_s=router.round_trip.estimate_s,
                draw=shared.rng.random(),
            )
            if decision.next_step is NextStep.GIVE_UP:
                raise self.error_for(outcome)
            self._last_outcome = outcome
            if decision.next_step is NextStep.RESEND:
                self.resends += 1
                continue
            shared.budget.take()
            self._unspent_token = True
            self.retries += 1
            if outcome.kind is OutcomeKind.REFUSED:
                shared.stats.refusals_honoured += 1
            await anyio.sleep(max(decision.at - now, 0.0))

    async def _attempt(
        self, connection: Connection, router: Router, body: bytes, mark: AttemptMark
    ) -> tuple[Outcome | None, bytes | None]:
        """Send the request once, and return the outcome if it failed, else the first event."""
        exchange = connection.start(self.request, body, mark)
        self.exchange = exchange
        first_send = not self.attempts
        sent = False
        write_started = False

        def time_left() -> float | None:
            nonlocal write_started
            write_started = True
            return self.deadline.time_to_send(anyio.current_time(), router.round_trip.estimate_s)

        try:
            if not await exchange.send(time_left):
                exchange.close(anyio.current_time())
                self.exchange = None
                raise self.error(DeadlineExceeded, "no time is left to send the request", False)
            sent, sent_at = True, anyio.current_time()
            self._count_attempt(first_send, mark)
            result = await exchange.first_event()
            if not isinstance(result, Outcome):
                self.shared.answer_time.add_sample(anyio.current_time() - sent_at)
        except ConnectionLost as lost:
            if write_started and not sent:
                self._count_attempt(first_send, mark)
            # A gRPC connection reports its loss to the pool itself.
            connection.lost_before_answer = self.shared.pool.protocol == "http"
            return outcome_of(lost, connection, exchange), None
        if isinstance(result, Outcome):
            return result, None
        return None, result

    def _count_attempt(self, first: bool, mark: AttemptMark) -> None:
        shared = self.shared
        self.attempts += 1
        self.trace_ids.append(mark.trace_id)
        self._unspent_token = False
        if first and not mark.resumed:
            shared.stats.first_sends += 1
            shared.budget.record_first_send()
        elif mark.resumed:
            shared.stats.resumes += 1
        elif self._last_outcome is not None and self._last_outcome.stale and self.resends:
            shared.stats.resends += 1
            self._last_outcome = None
        else:
            shared.stats.retries += 1

    def _record_outcome(self, outcome: Outcome, connection: Connection, router: Router, now: float) -> None:
        """Pass the outcome of an attempt to the router's record, the pauses and the reconnection gate."""
        shared = self.shared
        self._earlier_may_have_run = self._earlier_may_have_run or outcome.may_have_run
        if outcome.router_fault:
            shared.picker.record_failure(router, now)
            self._avoided.add(router.address)
        elif outcome.kind in (OutcomeKind.REFUSED, OutcomeKind.INVALID_REQUEST, OutcomeKind.EXPIRED):
            shared.picker.record_answer(router)
        if outcome.kind is OutcomeKind.REFUSED and outcome.retry_after_s:
            shared.pauses.add(router.address, self.request.rpc_class, now, outcome.retry_after_s)
        if outcome.stale:
            self._avoided.add(router.address)
        if connection.lost_before_answer and connection.calls_completed and not outcome.begun:
            shared.pool.kept_connection_lost(connection)

    def _count_silent_router(self) -> None:
        """Record a failure of a router that has sent nothing by the call's deadline.

        A healthy router would have answered before that, if only with an error.
        """
        if self.exchange is not None and self._router_record is not None:
            self.shared.picker.record_failure(self._router_record, anyio.current_time())

    # The connection.

    async def _acquire_connection(self) -> tuple[Connection, Router]:
        """Return a connection for the next attempt and its router: a kept one, or a new one where allowed.

        Waits as long as pauses, the reconnection gate and the connection limit require. Raises the call's
        error once no request could be in time any more.
        """
        shared, deadline = self.shared, self.deadline
        pool, picker, request = shared.pool, shared.picker, self.request
        last_failure = ""
        has_waited = False
        # After a dial there must be time for an answer as long as recent ones, but at most half of the time
        # left is kept for it. Computed once: with a bound that shrinks, the last moment would never come.
        remaining_s = deadline.remaining_s(anyio.current_time())
        answer_s = min(1.5 * shared.answer_time.estimate_s, remaining_s / 2)
        while True:
            now = anyio.current_time()

            def is_paused(router: Router, now: float = now) -> bool:
                return shared.pauses.remaining_s(router.address, request.rpc_class, now) > 0

            draws = (shared.rng.random(), shared.rng.random())
            router = picker.pick(
                now, draws, is_paused, lambda r: pool.has_free_slot(r.address), self._avoided
            )
            if router is None:
                await self._wait_for_pause(now, has_waited)
                has_waited = True
                continue
            connection = pool.take_available(router.address)
            # During a backoff an open connection to another router is better than a dial.
            if connection is None and pool.reconnect_gate.is_backing_off:
                for other in sorted(picker.routers.values(), key=lambda r: r.outstanding):
                    if other is router or is_paused(other) or not picker.is_admitted(other, now):
                        continue
                    if (connection := pool.take_available(other.address)) is not None:
                        router = other
                        break
            if connection is not None:
                return connection, router
            latest = deadline.at - max(router.round_trip.estimate_s + deadline.min_s, answer_s)
            if pool.is_full(router.address):
                await pool.wait_for_change(deadline.at)
                continue
            at = pool.reconnect_gate.next_dial_time(
                now, latest, sum(pool.dialling.values()), pool.has_live_connection(router.address)
            )
            if at is None and now < latest and any(pool.has_live_connection(a) for a in picker.routers):
                # No dial in time is possible, but another call may release its connection.
                await pool.wait_for_change(latest)
                continue
            if at is None:
                cause = (
                    f"no connection to a router in time: {last_failure}"
                    if last_failure
                    else "no connection in time"
                )
                raise self._error_before_sending(cause)
            if at > now:
                await pool.wait_for_change(at)
                continue
            try:
                return await pool.dial(router), router
            except DialFailed as error:
                last_failure = f"{router.address}: {error}"
                self._avoided.add(router.address)
                if self._avoided >= set(picker.routers):
                    self._avoided.clear()
                    pool.all_dials_failed()

    async def _wait_for_pause(self, now: float, has_waited: bool) -> None:
        """Wait for the first pause to end, when all routers have asked for one.

        Raises the call's error if that is past the deadline, or if there is no router.
        """
        shared, rpc_class = self.shared, self.request.rpc_class
        remaining_s = min(
            (shared.pauses.remaining_s(a, rpc_class, now) for a in shared.picker.routers), default=0.0
        )
        if not shared.picker.routers:
            raise self.error(Failed, "the client has no router", False)
        spread = shared.rng.random() * max(remaining_s / 2, 0.05)
        latest = self.deadline.at - self.deadline.min_s
        if now + remaining_s > latest:
            raise self._error_before_sending("the routers have asked for a pause", remaining_s)
        if not has_waited:
            shared.stats.pauses_kept += 1
        await anyio.sleep(min(remaining_s + spread, max(latest - now, 0.0)))

    def _error_before_sending(self, cause: str, advice_s: float | None = None) -> ClientError:
        """Return the error of a call that can send nothing more in time.

        It is that of the last outcome, unless there was none or the request can't have reached a router.
        """
        if self._last_outcome is not None and self._last_outcome.kind is not OutcomeKind.NEVER_RAN:
            return self.error_for(self._last_outcome)
        if advice_s is not None:
            self.shared.stats.refusals_surfaced += 1
            return self.error(Refused, cause, False, advice_s)
        return self.error(Failed, cause, False)

    def _assign(self, router: Router, connection: Connection) -> None:
        self._router_record, self._connection, self.router = router, connection, router.address
        router.outstanding += 1

    def release(self) -> None:
        """Close the current attempt, which cancels an open one at the router. Idempotent."""
        if self.exchange is not None:
            self.exchange.close(anyio.current_time())
            self.exchange = None
        if self._router_record is not None:
            self._router_record.outstanding -= 1
            self._router_record = None
        if self._connection is not None:
            self.shared.pool.release(self._connection)
            self._connection = None
        if self._unspent_token:
            self._unspent_token = False
            self.shared.budget.refund()
            self.retries -= 1

    # Errors.

    def error(
        self, kind: type[ClientError], cause: str, may_have_run: bool, advice_s: float | None = None
    ) -> ClientError:
        """Return an error with the figures of the call; `advice_s` is the advised retry delay, if any."""
        return kind(
            cause,
            may_have_run=may_have_run or self._earlier_may_have_run,
            retry_after_s=advice_s,
            attempts=self.attempts,
            retries=self.retries - self._unspent_token,
            router=self.router,
        )

    def error_for(self, outcome: Outcome) -> ClientError:
        """Return the error to raise for this outcome."""
        if outcome.kind is OutcomeKind.REFUSED:
            self.shared.stats.refusals_surfaced += 1
            return self.error(Refused, outcome.cause, False, outcome.retry_after_s)
        if outcome.kind is OutcomeKind.EXPIRED:
            return self.error(DeadlineExceeded, outcome.cause, True)
        if outcome.begun:
            return Broken(outcome.cause, [], attempts=self.attempts, retries=self.retries, router=self.router)
        return self.error(Failed, outcome.cause, outcome.may_have_run)


def deadline_after(timeout_s: float) -> Deadline:
    """Return the deadline that is `timeout_s` seconds ahead; raise ValueError for an invalid time-out."""
    if isinstance(timeout_s, bool) or not 0 < timeout_s < math.inf:
        raise ValueError(f"timeout_s is not a finite, positive number: {timeout_s!r}")
    return Deadline(anyio.current_time() + timeout_s)
