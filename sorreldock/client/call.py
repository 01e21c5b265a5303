"""One call: its attempts, one after the other, until an answer has begun or the call is given up."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

import anyio

from .policy.deadline import Deadline, Way
from .policy.outcome import Kind, Outcome
from .policy.picker import Picker, Router
from .policy.refusal import Pauses
from .policy.retry import Budget, RetryRules, Then
from .pool import Pool
from .sockets import ConnectionLost, DialFailed
from .stats import Stats
from .types import Broken, ClientError, ClientSettings, DeadlineExceeded, Failed, Refused, Request
from .wire import Exchange, Line, Mark, outcome_of


@dataclass
class Shared:
    """What the calls of one client have in common."""

    settings: ClientSettings
    picker: Picker
    pool: Pool
    pauses: Pauses
    budget: Budget
    answer_time: Way  # from a request's last byte to the first event, learned
    rules: RetryRules
    stats: Stats
    rng: random.Random


class Call:
    """Tries until the first event. One attempt at a time: the one before is closed first, always."""

    def __init__(self, shared: Shared, request: Request, deadline: Deadline) -> None:
        self.shared, self.request, self.deadline = shared, request, deadline
        self.attempts = self.retries = self.resends = 0
        self.router = ""
        self.traces: list[str] = []
        self.exchange: Exchange | None = None
        self._held: Router | None = None  # its `outstanding` counts this call
        self._line: Line | None = None
        self._last: Outcome | None = None
        self._avoid: set[str] = set()
        self._may_have_run = False  # an earlier attempt may have
        self._token = False  # of the budget, taken for a retry that is not sent yet

    async def begin(self, body: bytes, resumed: bool = False) -> bytes | None:
        """The first event, or None for a whole answer without one; or the error to raise."""
        try:
            with anyio.move_on_after(max(self.deadline.at - anyio.current_time(), 0.0)):
                return await self._attempts(body, resumed)
            self._expired_in_hand()
            raise self.error(DeadlineExceeded, "no event came in time", self._sent)
        except BaseException:
            self.let_go()
            raise

    @property
    def _sent(self) -> bool:
        """Whether the attempt in hand has been written, at least in part."""
        return self.exchange is not None

    async def _attempts(self, body: bytes, resumed: bool) -> bytes | None:
        shared = self.shared
        while True:
            line, router = await self._acquire()
            self._hold(router, line)
            mark = Mark(f"{shared.rng.getrandbits(64):016x}", self.retries, resumed)
            outcome, event = await self._attempt(line, router, body, mark)
            if outcome is None:
                shared.picker.answered(router)
                return event
            now = anyio.current_time()
            self._account(outcome, line, router, now)
            self.let_go()
            decision = shared.rules.after(
                outcome,
                rpc_class=self.request.rpc_class,
                retries=self.retries,
                resends=self.resends if not resumed else 1,
                budget=shared.budget,
                deadline=self.deadline,
                now=now,
                way_s=router.way.estimate_s,
                draw=shared.rng.random(),
            )
            if decision.then is Then.GIVE_UP:
                raise self.error_of(outcome)
            self._last = outcome
            if decision.then is Then.RESEND:
                self.resends += 1
                continue
            shared.budget.take()
            self._token = True
            self.retries += 1
            if outcome.kind is Kind.REFUSED:
                shared.stats.refusals_honoured += 1
            await anyio.sleep(max(decision.at - now, 0.0))

    async def _attempt(
        self, line: Line, router: Router, body: bytes, mark: Mark
    ) -> tuple[Outcome | None, bytes | None]:
        """Send once, and wait for what comes first."""
        exchange = line.start(self.request, body, mark)
        self.exchange = exchange
        first_send = not self.attempts
        sent_at = math.inf
        sent = False
        asked = False

        def left() -> float | None:
            nonlocal asked
            asked = True
            return self.deadline.to_send(anyio.current_time(), router.way.estimate_s)

        try:
            if not await exchange.send(left):
                exchange.close(anyio.current_time())
                self.exchange = None
                raise self.error(DeadlineExceeded, "no time is left to send the request", False)
            sent, sent_at = True, anyio.current_time()
            self._count(first_send, mark)
            got = await exchange.first()
            if not isinstance(got, Outcome):
                self.shared.answer_time.learn(anyio.current_time() - sent_at)
        except ConnectionLost as lost:
            if asked and not sent:
                self._count(first_send, mark)
            since = anyio.current_time() - sent_at
            line.socket_lost = self.shared.pool.protocol == "http"  # a gRPC line tells the pool itself
            return outcome_of(lost, line, exchange.begun, sent, since), None
        if isinstance(got, Outcome):
            return got, None
        return None, got

    def _count(self, first: bool, mark: Mark) -> None:
        shared = self.shared
        self.attempts += 1
        self.traces.append(mark.name)
        self._token = False
        if first and not mark.resumed:
            shared.stats.first_sends += 1
            shared.budget.first_send()
        elif mark.resumed:
            shared.stats.resumes += 1
        elif self._last is not None and self._last.stale and self.resends:
            shared.stats.resends += 1
            self._last = None
        else:
            shared.stats.retries += 1

    def _account(self, outcome: Outcome, line: Line, router: Router, now: float) -> None:
        """Tell the router's record, the pauses and the gate what the attempt came to."""
        shared = self.shared
        self._may_have_run = self._may_have_run or outcome.may_have_run
        if outcome.router_fault:
            shared.picker.failed(router, now)
            self._avoid.add(router.address)
        elif outcome.kind in (Kind.REFUSED, Kind.AT_FAULT, Kind.EXPIRED):
            shared.picker.answered(router)
        if outcome.kind is Kind.REFUSED and outcome.advice_s:
            shared.pauses.ask(router.address, self.request.rpc_class, now, outcome.advice_s)
        if outcome.stale:
            self._avoid.add(router.address)
        if line.socket_lost and line.carried and not outcome.begun:
            shared.pool.lost_kept(line)

    def _expired_in_hand(self) -> None:
        """The deadline passed over a request that a router had and never spoke of: a healthy one would have
        answered first, so this counts against it.
        """
        if self.exchange is not None and self._held is not None:
            self.shared.picker.failed(self._held, anyio.current_time())

    # A line.

    async def _acquire(self) -> tuple[Line, Router]:
        """A line to the router that gets the next attempt: one at rest, or a new one when the gate allows.
        Raises the call's error once no request could be in time any more.
        """
        shared, deadline = self.shared, self.deadline
        pool, picker, request = shared.pool, shared.picker, self.request
        failed = ""
        waited = False
        # What answers take of late must still fit after a dial, unless that alone is half of what is left.
        # Taken once: a last moment that moved on as time passes would never come.
        left = deadline.left(anyio.current_time())
        answer_s = min(1.5 * shared.answer_time.estimate_s, left / 2)
        while True:
            now = anyio.current_time()

            def pause(router: Router, now: float = now) -> bool:
                return shared.pauses.left(router.address, request.rpc_class, now) > 0

            draws = (shared.rng.random(), shared.rng.random())
            router = picker.pick(now, draws, pause, lambda r: pool.has_room(r.address), self._avoid)
            if router is None:
                await self._keep_pause(now, waited)
                waited = True
                continue
            line = pool.take(router.address)
            if line is None and pool.reconnect.gated:  # rather a line that is there than a dial
                for other in sorted(picker.routers.values(), key=lambda r: r.outstanding):
                    if other is router or pause(other) or not picker.admits(other, now):
                        continue
                    if (line := pool.take(other.address)) is not None:
                        router = other
                        break
            if line is not None:
                return line, router
            latest = deadline.at - max(router.way.estimate_s + deadline.least_s, answer_s)
            if pool.full(router.address):
                await pool.changed(deadline.at)
                continue
            at = pool.reconnect.may_dial_at(
                now, latest, sum(pool.dialling.values()), pool.alive(router.address)
            )
            if at is None and now < latest and any(pool.alive(a) for a in picker.routers):
                await pool.changed(latest)  # no dial, but a call that is out may let go of its line
                continue
            if at is None:
                said = f"no connection to a router in time: {failed}" if failed else "no connection in time"
                raise self._unsendable(said)
            if at > now:
                await pool.changed(at)
                continue
            try:
                return await pool.dial(router), router
            except DialFailed as error:
                failed = f"{router.address}: {error}"
                self._avoid.add(router.address)
                if self._avoid >= set(picker.routers):
                    self._avoid.clear()
                    pool.tried_all()

    async def _keep_pause(self, now: float, waited: bool) -> None:
        """Every router that is left has asked for a pause for this class."""
        shared, rpc_class = self.shared, self.request.rpc_class
        left = min((shared.pauses.left(a, rpc_class, now) for a in shared.picker.routers), default=0.0)
        if not shared.picker.routers:
            raise self.error(Failed, "the client has no router", False)
        spread = shared.rng.random() * max(left / 2, 0.05)
        latest = self.deadline.at - self.deadline.least_s
        if now + left > latest:
            raise self._unsendable("the routers have asked for a pause", left)
        if not waited:
            shared.stats.pauses_kept += 1
        await anyio.sleep(min(left + spread, max(latest - now, 0.0)))

    def _unsendable(self, cause: str, advice_s: float | None = None) -> ClientError:
        """Nothing more can be sent in time: the last outcome is the call's error, if there was one."""
        if self._last is not None and self._last.kind is not Kind.NEVER_RAN:
            return self.error_of(self._last)
        if advice_s is not None:
            self.shared.stats.refusals_surfaced += 1
            return self.error(Refused, cause, False, advice_s)
        return self.error(Failed, cause, False)

    def _hold(self, router: Router, line: Line) -> None:
        self._held, self._line, self.router = router, line, router.address
        router.outstanding += 1

    def let_go(self) -> None:
        """End the attempt in hand: cancelled at the router, unless it is over. Idempotent."""
        if self.exchange is not None:
            self.exchange.close(anyio.current_time())
            self.exchange = None
        if self._held is not None:
            self._held.outstanding -= 1
            self._held = None
        if self._line is not None:
            self.shared.pool.released(self._line)
            self._line = None
        if self._token:
            self._token = False
            self.shared.budget.refund()
            self.retries -= 1

    # Errors.

    def error(
        self, kind: type[ClientError], cause: str, may_have_run: bool, advice_s: float | None = None
    ) -> ClientError:
        return kind(
            cause,
            may_have_run=may_have_run or self._may_have_run,
            retry_after_s=advice_s,
            attempts=self.attempts,
            retries=self.retries - self._token,
            router=self.router,
        )

    def error_of(self, outcome: Outcome) -> ClientError:
        if outcome.kind is Kind.REFUSED:
            self.shared.stats.refusals_surfaced += 1
            return self.error(Refused, outcome.cause, False, outcome.advice_s)
        if outcome.kind is Kind.EXPIRED:
            return self.error(DeadlineExceeded, outcome.cause, True)
        if outcome.begun:
            return Broken(outcome.cause, [], attempts=self.attempts, retries=self.retries, router=self.router)
        return self.error(Failed, outcome.cause, outcome.may_have_run)


def deadline_after(timeout_s: float) -> Deadline:
    """ValueError for a time-out that is none."""
    if isinstance(timeout_s, bool) or not 0 < timeout_s < math.inf:
        raise ValueError(f"timeout_s is not a positive number: {timeout_s!r}")
    return Deadline(anyio.current_time() + timeout_s)
