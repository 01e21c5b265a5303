"""The clock of the watch on the list: how long each step may take, and the pauses; without I/O or randomness.

The platform takes a router for told of a change so long after discovery had it and could be reached,
whatever call failed. So what one failed call may have cost, the pause behind it and the answer of the next
call have to add up to less. Within that the pauses are long and spread: a fleet shares one discovery.
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
        of many that start together some would, if they asked at once."""
        self._since = now
        return 0.0 if self._pushed else (0.2 + 0.8 * draw) * min(3.0 * self._first, START_S)

    def refused(self, now: float) -> None:
        """Discovery has turned the call away: it is down, or in a jam. Guards the fleet: a discovery in a jam
        spends its time on calls that have waited too long already, and answers none until fewer come."""
        self._since = now

    def lost(self, now: float, draw: float) -> float:
        """The pause before the next call; `draw` is from 0 to 1."""
        self._since = max(self._since, self._began)  # of a call in vain: until then nothing was to be had
        pause = min(self._first * 2.0**self._pauses, self._longest)
        self._pauses = min(self._pauses + 1, MOST_DOUBLED)
        left = self._told - SLACK_S - ANSWER_S - (now - self._since)
        pause = min(pause, max(left, SHORTEST_PAUSE_S))
        return pause if self._pushed else pause * (0.2 + 0.8 * draw)
