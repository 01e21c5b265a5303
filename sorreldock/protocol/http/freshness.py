"""The schedule of the watch on the server list: timeouts and pauses between calls, without I/O or randomness.

The platform assumes that a router has received a change within a fixed time after discovery has it and is
reachable, whatever calls failed before. So the duration of one failed call, the pause after it and the answer
to the next call must add up to less than that time. Within this limit the pauses are long and spread: the
whole fleet shares one discovery, which answers calls in turn and spends as much time on a call that has
waited too long as on one that it answers. Each process therefore calls in its own slots, at a phase of every
period that is drawn once. Pauses drawn anew for each call averaged 0.6 periods and caused congestion whenever
discovery came back.
"""

from __future__ import annotations

import math

# The time within which the router must have received a change, and the shorter one after a change of the
# discovery address.
MAX_AGE_S, MOVED_MAX_AGE_S = 6.0, 4.0
HEARTBEAT_TIMEOUT_S = 2.7  # discovery sends a list or an empty line every 2 s
ANSWER_S = 2.0  # discovery answers calls in turn and drops a call after this time
ANSWER_TIMEOUT_S = 3.1  # longer than `ANSWER_S`, since discovery drops some calls a little later
CONNECT_TIMEOUT_S = 1.0
SLACK_S = 0.4  # for the network, decoding the list and the decision module's next batch
MIN_PAUSE_S = 0.1
MAX_START_PAUSE_S = 0.5 * MAX_AGE_S
MAX_DOUBLINGS = 8
MIN_PERIOD_SHARE = 0.2  # a slot nearer than this share of the period is skipped
# Pushed lists come from an agent that serves this router only, so calls need not be spread. What the agent
# has counts as received at once: the pause and a hold-up of 0.15 s must fit into the drain grace of 0.25 s.
INITIAL_PUSHED_PAUSE_S, MAX_PUSHED_PAUSE_S = 0.02, 0.1


class WatchSchedule:
    """The deadlines and pauses of one router's watch.

    The resolver reports each step of the watch; `first_pause` and `retry_pause` return the pauses before
    calls.
    """

    def __init__(self, pushed: bool, must_ask_in_s: float) -> None:
        self._pushed = pushed
        # A deployment that requires more frequent calls gets shorter pauses.
        self._initial_period_s = INITIAL_PUSHED_PAUSE_S if pushed else 0.1 * must_ask_in_s
        self._max_period_s = MAX_PUSHED_PAUSE_S if pushed else 0.4 * must_ask_in_s
        self._pauses = 0
        self._phase = 0.0  # position of this process's slots in a period, from 0 to 1
        self._max_age_s = MAX_AGE_S
        self._call_began_at = self._unknown_since = 0.0  # changes from `_unknown_since` on may not be known
        self.deadline = math.inf  # for the step of the watch in progress

    def call_started(self, now: float) -> None:
        """Record that a call to discovery has begun, with connecting."""
        self._call_began_at, self.deadline = now, now + CONNECT_TIMEOUT_S

    def connected(self, now: float) -> None:
        """Record that the connection is established; discovery answers calls in turn."""
        self.deadline = now + ANSWER_TIMEOUT_S

    def answer_started(self, now: float) -> None:
        """Record the head of the answer; its first object has the same timeout as later heartbeats."""
        self.deadline = now + HEARTBEAT_TIMEOUT_S

    def heartbeat(self, now: float) -> None:
        """Record a complete object, or an empty line, which means that nothing has changed."""
        self._unknown_since, self._pauses, self.deadline = now, 0, now + HEARTBEAT_TIMEOUT_S
        self._max_age_s = MAX_AGE_S

    def address_changed(self, now: float) -> None:
        """Record the change to another discovery, whose list must be known sooner."""
        self._unknown_since, self._pauses, self._max_age_s = now, 0, MOVED_MAX_AGE_S

    def first_pause(self, now: float, draw: float) -> float:
        """Return the pause before a new process's first call, for a random `draw` from 0 to 1.

        A process may use its old list until a call has failed; if many that start together called at once,
        the calls of some would fail.
        """
        self._unknown_since, self._phase = now, draw
        return (
            0.0 if self._pushed else (0.2 + 0.8 * draw) * min(3.0 * self._initial_period_s, MAX_START_PAUSE_S)
        )

    def retry_pause(self, now: float) -> float:
        """Return the pause before the next call, after one has ended.

        Changes may be unknown from the beginning of the last call on, even if discovery kept that call
        waiting and rejected it.
        """
        self._unknown_since = max(self._unknown_since, self._call_began_at)
        max_pause_s = self._max_age_s - SLACK_S - ANSWER_S
        period_s = min(self._initial_period_s * 2.0**self._pauses, self._max_period_s, max_pause_s)
        self._pauses = min(self._pauses + 1, MAX_DOUBLINGS)
        remaining_s = max(max_pause_s - (now - self._unknown_since), MIN_PAUSE_S)
        return min(period_s if self._pushed else self._until_slot(now, period_s), remaining_s)

    def _until_slot(self, now: float, period_s: float) -> float:
        """Return the time until the next slot that is not too close after the failed call."""
        until_s = period_s - (now - self._phase * period_s) % period_s
        return until_s if until_s >= MIN_PERIOD_SHARE * period_s else until_s + period_s
