"""The clock of the watch on the list: how long each step may take, and the pauses; without I/O or randomness.

The platform takes a router for told of a change so long after discovery had it and could be reached,
whatever call failed. So what one failed call may have cost, the pause behind it and the answer of the next
call have to add up to less. Within that the pauses are long and spread: a fleet shares one discovery, which
answers calls in turn and spends as much time on a call that has waited too long as on one that it answers.
So each process calls in slots of its own: at the same point, drawn once, of every period. Pauses drawn anew
for each call were 0.6 periods long on average and began a jam whenever discovery came back.
"""

from __future__ import annotations

import math

TOLD_S, MOVED_TOLD_S = 6.0, 4.0
SIGN_S = 2.7  # a watch says something every 2 s
ANSWER_S = 2.0  # discovery answers in turn and gives up on a call after so long
FIRST_S = 3.1  # some give up a little later
DIAL_S = 1.0
SLACK_S = 0.4  # for the way, for the list's decoding and for the module's next batch
SHORTEST_PAUSE_S = 0.1
START_S = 0.5 * TOLD_S
MOST_DOUBLED = 8
LEAST_OF_PERIOD = 0.2  # a slot that is nearer is left out
# Where lists are pushed an agent of this router's own has them: nobody else crowds there.
FIRST_PUSHED_S, LONGEST_PUSHED_S = 0.02, 1.0


class Freshness:
    """Of one router's list. `lost` tells the pause; the other calls say what has come of a watch."""

    def __init__(self, pushed: bool, must_ask_in_s: float) -> None:
        self._pushed = pushed
        # A deployment that wants to be asked more often has shorter pauses.
        self._first = FIRST_PUSHED_S if pushed else 0.1 * must_ask_in_s
        self._longest = LONGEST_PUSHED_S if pushed else 0.4 * must_ask_in_s
        self._pauses = 0
        self._phase = 0.0  # where this process's slots lie in a period, from 0 to 1
        self._told = TOLD_S
        self._began = self._since = 0.0  # a change from `since` on may not be known here
        self.deadline = math.inf  # when what is awaited now has to have come

    def began(self, now: float) -> None:
        self._began, self.deadline = now, now + DIAL_S

    def met(self, now: float) -> None:
        """The connection has come up; the answer comes in turn."""
        self.deadline = now + FIRST_S

    def opened(self, now: float) -> None:
        """The answer has begun. Its first object has to be whole in time, like each sign after it."""
        self.deadline = now + SIGN_S

    def sign(self, now: float) -> None:
        """A whole object, or the empty line that says that nothing has changed."""
        self._since, self._pauses, self.deadline = now, 0, now + SIGN_S
        self._told = TOLD_S

    def moved(self, now: float) -> None:
        """Another discovery from now on, whose list the platform takes for told sooner."""
        self._since, self._pauses, self._told = now, 0, MOVED_TOLD_S

    def first(self, now: float, draw: float) -> float:
        """The pause of a new process. It may keep to its old list for as long as it has not asked in vain;
        of many that start together some would, if they asked at once. `draw` is from 0 to 1.
        """
        self._since, self._phase = now, draw
        return 0.0 if self._pushed else (0.2 + 0.8 * draw) * min(3.0 * self._first, START_S)

    def lost(self, now: float) -> float:
        """The pause before the next call. A change may have been there from the beginning of the last one on,
        also where discovery kept that call waiting and turned it away.
        """
        self._since = max(self._since, self._began)
        longest = self._told - SLACK_S - ANSWER_S
        period = min(self._first * 2.0**self._pauses, self._longest, longest)
        self._pauses = min(self._pauses + 1, MOST_DOUBLED)
        left = max(longest - (now - self._since), SHORTEST_PAUSE_S)
        return min(period if self._pushed else self._until_slot(now, period), left)

    def _until_slot(self, now: float, period: float) -> float:
        """Until the next slot that is not close behind the call that has just failed."""
        until = period - (now - self._phase * period) % period
        return until if until >= LEAST_OF_PERIOD * period else until + period
