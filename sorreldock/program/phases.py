"""The phases of the program from start to exit, as a state machine."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import trio


class Phase(Enum):
    """A phase of the program between its start and its exit."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINED = "drained"  # by an operator's command: late requests are still answered, until `resume`
    LINGERING = "lingering"  # stop requested; still accepting, since clients notice it with a delay
    DRAINING = "draining"  # accepts nothing new; completes the requests that it has accepted
    STOPPED = "stopped"


TRANSITIONS = {
    Phase.STARTING: (Phase.SERVING, Phase.STOPPED),
    Phase.SERVING: (Phase.DRAINED, Phase.LINGERING),
    Phase.DRAINED: (Phase.SERVING, Phase.LINGERING),
    Phase.LINGERING: (Phase.DRAINING,),
    Phase.DRAINING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class Lifecycle:
    """The current phase and the transitions that are allowed from it.

    `on_change` is called with each phase that is entered.
    """

    def __init__(self, on_change: Callable[[Phase], None]) -> None:
        self.phase = Phase.STARTING
        self.stop_requested = trio.Event()
        self._on_change = on_change

    def enter(self, phase: Phase) -> None:
        """Enter a phase; raise RuntimeError if it can't follow the current one."""
        if phase not in TRANSITIONS[self.phase]:
            raise RuntimeError(f"phase {self.phase.value} can't be followed by {phase.value}")
        self.phase = phase
        self._on_change(phase)

    @property
    def is_stopping(self) -> bool:
        """Whether a stop was requested or the program is stopping."""
        return self.stop_requested.is_set() or self.phase in (Phase.LINGERING, Phase.DRAINING, Phase.STOPPED)

    @property
    def is_serving(self) -> bool:
        return self.phase is Phase.SERVING
