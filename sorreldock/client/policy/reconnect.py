"""When a connection may be opened: at once within a small rate, and after a loss in a jittered turn.

A deploy ends the connections of every client within one second. Nobody tells the clients of each other, so
each draws its own moment: after a loss (a connection that the router ended, or said it would end, between
answers) the next dial waits for a *turn*, drawn with decorrelated jitter (AWS's `min(cap, uniform(base, 3 *
previous))`), which widens with each dial that fails (a quarter each: no single draw may cost a call its
deadline). A dial that fails without a loss before it (a router that was never there) costs a token of a
small rate instead, and the call goes on to another router at once.
"""

from __future__ import annotations

from dataclasses import dataclass

TURN_DEADLINE_SHARE = (
    0.8  # of a request's time, which a turn may take: calls that share the connection need the rest
)


@dataclass(frozen=True, slots=True)
class ReconnectRules:
    """Delays and rates of reconnection."""

    base_s: float = 0.05  # the least delay of a turn
    first_window_s: float = 5.0  # the first turn after a loss lies within this
    widen: float = 1.25  # with each dial that fails
    cap_s: float = 20.0
    calm_rate_per_s: float = 64.0  # dials while nothing has been lost or has failed: refill, and the most
    calm_burst: int = 64
    rate_per_s: float = 1.0  # the same for `settle_s` after a loss, from the dial on that had its turn
    burst: int = 1
    failed_rate_per_s: float = 0.5  # and while dials fail
    failed_burst: int = 3
    settle_s: float = 10.0
    forget_s: float = 60.0  # without a failure or loss: the jitter begins anew


class TokenBucket:
    """A token bucket on the caller's clock; a clock that steps back adds nothing and takes nothing."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s, self._burst = rate_per_s, burst
        self._tokens = float(burst)
        self._filled_at: float | None = None

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            self._tokens = min(self._burst, self._tokens + max(now - self._filled_at, 0.0) * self._rate_per_s)
        self._filled_at = now

    def take(self, now: float) -> bool:
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def empty(self, now: float) -> None:
        self._tokens, self._filled_at = 0.0, now

    def wait_s(self, now: float) -> float:
        """Seconds until a token is there."""
        self._fill(now)
        return 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) / self._rate_per_s


class ReconnectGate:
    """The gate that every dial of a client passes."""

    def __init__(self, rules: ReconnectRules) -> None:
        self.rules = rules
        self.turn_at: float | None = None  # set while a loss has not been followed by a dial that came up
        self.turn_drawn_at: float = 0.0  # when it was drawn
        self.failed_dials = 0
        self.reopens_due = 0  # idle connections that were lost, to be opened again one by one
        self._previous_delay_s = rules.first_window_s / 3
        self._window_s = rules.first_window_s  # that the present turn was drawn from
        self._last_drawn_at: float | None = None
        self._steady_bucket = TokenBucket(rules.calm_rate_per_s, rules.calm_burst)
        self._settling_bucket = TokenBucket(rules.rate_per_s, rules.burst)
        self._failing_bucket = TokenBucket(rules.failed_rate_per_s, rules.failed_burst)
        self._is_failing = False

    @property
    def is_turn_pending(self) -> bool:
        return self.turn_at is not None

    def _draw(self, now: float, draw: float) -> float:
        rules = self.rules
        if self._last_drawn_at is not None and now - self._last_drawn_at > rules.forget_s:
            self._previous_delay_s, self.failed_dials = rules.first_window_s / 3, 0
        self._last_drawn_at = now
        widest_s = rules.first_window_s * rules.widen ** min(self.failed_dials, 40)
        self._window_s = min(rules.cap_s, widest_s, 3 * self._previous_delay_s)
        delay_s = rules.base_s + draw * max(self._window_s - rules.base_s, 0.0)
        # The window never narrows below the first: a small draw must not make the next ones small as well.
        self._previous_delay_s = max(delay_s, rules.first_window_s / 3)
        return delay_s

    def connection_lost(self, now: float, draw: float, idle: bool) -> float | None:
        """The router has ended a connection, or has said that it will. Returns the delay of the turn in
        seconds; None when a turn is drawn already, since one deploy is one reason to wait.
        """
        if idle:
            self.reopens_due = min(self.reopens_due + 1, 2)
        if self.turn_at is not None:
            return None
        delay_s = self._draw(now, draw)
        self.turn_at, self.turn_drawn_at = now + delay_s, now
        return delay_s

    def dial_failed(self, now: float, draw: float) -> float | None:
        """A dial has failed. After a loss the next turn is drawn, wider; returns its delay."""
        self.failed_dials += 1
        self._is_failing = True
        if self.turn_at is None:
            return None
        self._previous_delay_s = max(
            self._previous_delay_s,
            self.rules.first_window_s * self.rules.widen ** min(self.failed_dials, 40) / 3,
        )
        delay_s = self._draw(now, draw)
        self.turn_at, self.turn_drawn_at = now + delay_s, now
        return delay_s

    def dial_succeeded(self, now: float) -> None:
        """A dial has come up: the gate opens, and what else is to be dialled keeps to the rate, from now on:
        calls that waited for the turn together share its connection rather than bring one each.
        """
        if self.turn_at is not None:
            self._settling_bucket.empty(now)
        self.turn_at = None
        self.failed_dials = 0
        self._is_failing = False
        self._previous_delay_s = self.rules.first_window_s / 3

    def next_dial_time(
        self, now: float, latest: float, dialling: int, has_live_connection: bool
    ) -> float | None:
        """The moment at which a request in hand may dial a router; None if none is left before `latest`,
        its last useful one. `now` means at once, and takes a token.

        `dialling` counts the client's dials under way, and `alive` says that it holds a connection to this
        router which has not been told to end: a turn does not bind such a router. While a turn is awaited
        one dial alone goes, and a request whose deadline is nearer than the turn takes its place at the
        same share of four fifths of its own time: a crowd of short deadlines is spread as well, and the
        last still leave room for the answer.
        """
        if now > latest:
            return None
        if self.turn_at is not None and not has_live_connection:
            if dialling:
                return min(now + self.rules.base_s, latest)
            at = self.turn_at
            time_left_s = max(latest - self.turn_drawn_at, 0.0)
            if at > self.turn_drawn_at + TURN_DEADLINE_SHARE * time_left_s:
                share = (at - self.turn_drawn_at) / max(self._window_s, 1e-9)
                at = self.turn_drawn_at + TURN_DEADLINE_SHARE * min(share, 1.0) * time_left_s
                if self.failed_dials:  # a deadline that nears is no reason to knock ever faster
                    at = max(at, self.turn_drawn_at + min(0.1 * 2**self.failed_dials, 0.4))
                    if at > latest:
                        if time_left_s < 0.1:
                            return None
                        at = self.turn_drawn_at + 0.9 * time_left_s
            return max(at, now)
        bucket = self._bucket(now)
        if bucket.take(now):
            return now
        at = now + bucket.wait_s(now)
        return at if at <= latest else None

    def _bucket(self, now: float) -> TokenBucket:
        if self._is_failing:
            return self._failing_bucket
        unsettled = self._last_drawn_at is not None and 0 <= now - self._last_drawn_at < self.rules.settle_s
        return self._settling_bucket if unsettled else self._steady_bucket

    def may_reopen(self, now: float) -> bool:
        """Whether the next idle connection that was lost may be opened again, in nobody's hand."""
        if not self.reopens_due or (self.turn_at is not None and now < self.turn_at):
            return False
        return self.turn_at is not None or self._bucket(now).take(now)

    def reopen_started(self, now: float, draw: float) -> float:
        """One was; the next waits for a turn of its own, which holds up no request. Returns its delay."""
        self.reopens_due = max(self.reopens_due - 1, 0)
        return self._draw(now, draw)
