"""Limits on when connections are opened: a small rate of dials, and a jittered backoff after a loss.

A deploy ends the connections of every client within one second. The clients don't know of each other, so
each draws its own backoff: after a loss (a connection that the router ended between answers, or announced to
end) the next dial waits for a delay drawn with decorrelated jitter (AWS's `min(cap, uniform(base, 3 *
previous))`). Its window widens by a quarter with each dial that fails, so little that no single draw costs a
call its deadline. A dial that fails without a loss before it (to a router that was never reachable) takes a
token of a small rate instead, and the call tries another router immediately.
"""

from __future__ import annotations

from dataclasses import dataclass

# The share of a request's time that a backoff may take. Calls that share the connection need the rest.
BACKOFF_DEADLINE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class ReconnectRules:
    """Delays and rates of reconnection; times in seconds, rates in dials per second."""

    base_s: float = 0.05  # the least delay of a backoff
    first_window_s: float = 5.0  # the first backoff after a loss ends within this
    widen: float = 1.25  # the window's factor for each dial that fails
    cap_s: float = 20.0
    calm_rate_per_s: float = 64.0  # refill of the dial bucket with no recent loss or failure
    calm_burst: int = 64
    rate_per_s: float = 1.0  # the same for `settle_s` after a loss, once the dial after the backoff is up
    burst: int = 1
    failed_rate_per_s: float = 0.5  # the same while dials fail
    failed_burst: int = 3
    settle_s: float = 10.0
    forget_s: float = 60.0  # after this long without a failure or loss the jitter starts over


class TokenBucket:
    """A token bucket on the caller's clock; a clock that steps back neither adds nor removes tokens."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s, self._burst = rate_per_s, burst
        self._tokens = float(burst)
        self._filled_at: float | None = None

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            self._tokens = min(self._burst, self._tokens + max(now - self._filled_at, 0.0) * self._rate_per_s)
        self._filled_at = now

    def take(self, now: float) -> bool:
        """Take a token; return False, and take none, if less than one is left."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def empty(self, now: float) -> None:
        self._tokens, self._filled_at = 0.0, now

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available."""
        self._fill(now)
        return 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) / self._rate_per_s


class ReconnectGate:
    """The limit that every dial of a client is subject to: one backoff, and rates outside of it."""

    def __init__(self, rules: ReconnectRules) -> None:
        self.rules = rules
        self.backoff_until: float | None = None  # set from a loss until the next dial that succeeds
        self.backoff_drawn_at: float = 0.0
        self.failed_dials = 0
        self.reopens_due = 0  # lost idle connections to open again, one by one
        self._previous_delay_s = rules.first_window_s / 3
        self._window_s = rules.first_window_s  # that the present backoff was drawn from
        self._last_drawn_at: float | None = None
        self._steady_bucket = TokenBucket(rules.calm_rate_per_s, rules.calm_burst)
        self._settling_bucket = TokenBucket(rules.rate_per_s, rules.burst)
        self._failing_bucket = TokenBucket(rules.failed_rate_per_s, rules.failed_burst)
        self._is_failing = False

    @property
    def is_backing_off(self) -> bool:
        return self.backoff_until is not None

    def _draw(self, now: float, draw: float) -> float:
        rules = self.rules
        if self._last_drawn_at is not None and now - self._last_drawn_at > rules.forget_s:
            self._previous_delay_s, self.failed_dials = rules.first_window_s / 3, 0
        self._last_drawn_at = now
        widest_s = rules.first_window_s * rules.widen ** min(self.failed_dials, 40)
        self._window_s = min(rules.cap_s, widest_s, 3 * self._previous_delay_s)
        delay_s = rules.base_s + draw * max(self._window_s - rules.base_s, 0.0)
        # The window never becomes narrower than the first: a small draw must not make the next ones small.
        self._previous_delay_s = max(delay_s, rules.first_window_s / 3)
        return delay_s

    def connection_lost(self, now: float, draw: float, idle: bool) -> float | None:
        """Start a backoff after a router ended a connection, or announced to end it.

        Returns the delay in seconds, or None during a backoff: the losses of one deploy are one reason to
        wait. An `idle` connection is noted, to be opened again later.
        """
        if idle:
            self.reopens_due = min(self.reopens_due + 1, 2)
        if self.backoff_until is not None:
            return None
        delay_s = self._draw(now, draw)
        self.backoff_until, self.backoff_drawn_at = now + delay_s, now
        return delay_s

    def dial_failed(self, now: float, draw: float) -> float | None:
        """Record a failed dial; in a backoff, draw the next one, wider, and return its delay in seconds."""
        self.failed_dials += 1
        self._is_failing = True
        if self.backoff_until is None:
            return None
        self._previous_delay_s = max(
            self._previous_delay_s,
            self.rules.first_window_s * self.rules.widen ** min(self.failed_dials, 40) / 3,
        )
        delay_s = self._draw(now, draw)
        self.backoff_until, self.backoff_drawn_at = now + delay_s, now
        return delay_s

    def dial_succeeded(self, now: float) -> None:
        """Record a successful dial, which ends the backoff.

        Further dials keep to the rate after a loss, with no token at first: calls that waited for the backoff
        together share the new connection rather than open one each.
        """
        if self.backoff_until is not None:
            self._settling_bucket.empty(now)
        self.backoff_until = None
        self.failed_dials = 0
        self._is_failing = False
        self._previous_delay_s = self.rules.first_window_s / 3

    def next_dial_time(
        self, now: float, latest: float, dialling: int, has_live_connection: bool
    ) -> float | None:
        """Return the moment at which a waiting request may dial a router, or None if `latest` comes first.

        `latest` is the last moment at which a dial is still useful. A result of `now` means at once and,
        where no backoff applies, takes a token. `dialling` is the number of the client's dials in progress.
        `has_live_connection` says that the client holds a connection to this router that the router has not
        announced to end; the backoff does not apply to such a router.

        During a backoff only one dial is made at a time. A request whose deadline is too near for the backoff
        dials at the same relative place within four fifths of its own time: thus many requests with short
        deadlines are spread as well, and the last of them still have time for the answer.
        """
        if now > latest:
            return None
        if self.backoff_until is not None and not has_live_connection:
            if dialling:
                return min(now + self.rules.base_s, latest)
            dial_at = self.backoff_until
            time_left_s = max(latest - self.backoff_drawn_at, 0.0)
            if dial_at > self.backoff_drawn_at + BACKOFF_DEADLINE_SHARE * time_left_s:
                share = (dial_at - self.backoff_drawn_at) / max(self._window_s, 1e-9)
                dial_at = self.backoff_drawn_at + BACKOFF_DEADLINE_SHARE * min(share, 1.0) * time_left_s
                if self.failed_dials:  # an approaching deadline must not make dials ever more frequent
                    dial_at = max(dial_at, self.backoff_drawn_at + min(0.1 * 2**self.failed_dials, 0.4))
                    if dial_at > latest:
                        if time_left_s < 0.1:
                            return None
                        dial_at = self.backoff_drawn_at + 0.9 * time_left_s
            return max(dial_at, now)
        bucket = self._bucket(now)
        if bucket.take(now):
            return now
        dial_at = now + bucket.wait_s(now)
        return dial_at if dial_at <= latest else None

    def _bucket(self, now: float) -> TokenBucket:
        if self._is_failing:
            return self._failing_bucket
        is_settling = self._last_drawn_at is not None and 0 <= now - self._last_drawn_at < self.rules.settle_s
        return self._settling_bucket if is_settling else self._steady_bucket

    def may_reopen(self, now: float) -> bool:
        """Return whether a lost idle connection may be opened again now, without a request that needs it.

        Takes a token outside of a backoff.
        """
        if not self.reopens_due or (self.backoff_until is not None and now < self.backoff_until):
            return False
        return self.backoff_until is not None or self._bucket(now).take(now)

    def reopen_started(self, now: float, draw: float) -> float:
        """Record that a lost idle connection is being opened again, and return a drawn delay in seconds.

        The delay sets no backoff and so holds up no request; dials keep to the rate after a loss.
        """
        self.reopens_due = max(self.reopens_due - 1, 0)
        return self._draw(now, draw)
