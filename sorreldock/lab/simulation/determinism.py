"""What makes a run the same everywhere, and finds out what reads the clock or draws behind the seam's
back.
"""

from __future__ import annotations

import gc
import math
import os
import random
import secrets
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Any

import trio
import trio._core._run as scheduler
from trio._core._run import GLOBAL_RUN_CONTEXT
from trio.testing import MockClock

WATCHED = (
    "sorreldock.routing",
    "sorreldock.protocol",
    "sorreldock.transport",
    "sorreldock.program",
    "sorreldock.rules",
)
MOST_PASSES = 20_000  # of the scheduler, at one moment of the world


class NondeterminismError(RuntimeError):
    """The router has read the machine's clock, drawn from its randomness, or started a thread."""


@contextmanager
def seeded_scheduler(seed: int) -> Iterator[None]:
    """Let trio order what runs at one moment by the seed alone. (The switch is the one that trio keeps for
    Hypothesis.) The collector rests: what it finds, and when, depends on all that ran before.
    """
    was, collecting = scheduler._ALLOW_DETERMINISTIC_SCHEDULING, gc.isenabled()
    state = scheduler._r.getstate()
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(f"scheduler {seed}")
    gc.disable()
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = was  # type: ignore[misc]
        scheduler._r.setstate(state)
        if collecting:
            gc.enable()


def virtual_clock(next_at: Callable[[], float], advance: Callable[[float], None]) -> MockClock:
    """Virtual time: when all tasks wait, it jumps to the next deadline or the network's next event, whichever
    is first. trio lets no clock but its own MockClock jump, and none derive from it: this one's methods are
    replaced, since its own reads the machine's clock each time and knows of deadlines alone.
    """
    clock, now = MockClock(autojump_threshold=0), 0.0

    def current_time() -> float:
        return now

    def deadline_to_sleep_time(deadline: float) -> float:
        return 0 if deadline <= now else 999999999

    def jump() -> None:
        nonlocal now
        at = min(GLOBAL_RUN_CONTEXT.runner.deadlines.next_deadline(), next_at())
        if at < math.inf:
            now = max(at, now)
            advance(now)

    methods: dict[str, Any] = {
        "current_time": current_time,
        "deadline_to_sleep_time": deadline_to_sleep_time,
        "_autojump": jump,
    }
    for name, method in methods.items():
        setattr(clock, name, method)
    return clock


class NondeterminismGuard:
    """While it is open, no module of the router may reach past its `System`."""

    PLACES: tuple[tuple[Any, str], ...] = (
        (time, "time"),
        (time, "monotonic"),
        (os, "urandom"),
        (random, "random"),
        (random, "randrange"),
        (random, "uniform"),
        (secrets, "token_hex"),
        (trio.to_thread, "run_sync"),
    )

    def __enter__(self) -> NondeterminismGuard:
        self._were = [(module, name, getattr(module, name)) for module, name in self.PLACES]
        for module, name, real in self._were:
            setattr(module, name, self._watched(f"{module.__name__}.{name}", real))
        return self

    @staticmethod
    def _watched(what: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def watched(*args: Any, **kwargs: Any) -> Any:
            caller = sys._getframe(1)
            module = str(caller.f_globals.get("__name__", ""))
            if module.startswith(WATCHED):
                raise NondeterminismError(f"{what} in {module}, line {caller.f_lineno}")
            return real(*args, **kwargs)

        return watched

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None
    ) -> None:
        for module, name, real in self._were:
            setattr(module, name, real)


class StallDetector(trio.abc.Instrument):
    """Ends a run in which the scheduler goes round and time stands still."""

    def __init__(self, stuck: Callable[[], None]) -> None:
        self.scope = trio.CancelScope()
        self._stuck = stuck
        self._at, self._count = -1.0, 0

    def before_io_wait(self, timeout: float) -> None:
        now = trio.current_time()
        if now != self._at:
            self._at, self._count = now, 0
            return
        self._count += 1
        if self._count == MOST_PASSES:
            self._stuck()
            self.scope.cancel()
