"""The program's phases, from start to exit, as named states of one object."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import trio


class Phase(Enum):
    """A phase of the program's life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINED = "drained"  # at an operator's call: answering what still comes, until the next call
    LINGERING = "lingering"  # told to stop; still accepting, since clients learn of it late
    DRAINING = "draining"  # nothing new; answering what was taken
    STOPPED = "stopped"


NEXT = {
    Phase.STARTING: (Phase.SERVING, Phase.STOPPED),
    Phase.SERVING: (Phase.DRAINED, Phase.LINGERING),
    Phase.DRAINED: (Phase.SERVING, Phase.LINGERING),
    Phase.LINGERING: (Phase.DRAINING,),
    Phase.DRAINING: (Phase.STOPPED,),
    Phase.STOPPED: (),
}


class Lifecycle:
    """The present phase, and which may follow it."""

    def __init__(self, on_change: Callable[[Phase], None]) -> None:
        self.phase = Phase.STARTING
        self.stop_requested = trio.Event()
        self._on_change = on_change

    def enter(self, phase: Phase) -> None:
        if phase not in NEXT[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        self.phase = phase
        self._on_change(phase)

    @property
    def stopping(self) -> bool:
        return self.stop_requested.is_set() or self.phase in (Phase.LINGERING, Phase.DRAINING, Phase.STOPPED)

    @property
    def takes_work(self) -> bool:
        return self.phase is Phase.SERVING
