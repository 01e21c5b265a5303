"""Deterministic runs: a seeded scheduler, a virtual clock, and a guard against calls that bypass `System`."""

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

GUARDED_MODULES = (
    "sorreldock.routing",
    "sorreldock.protocol",
    "sorreldock.transport",
    "sorreldock.program",
    "sorreldock.rules",
)
MAX_PASSES_AT_ONE_TIME = 20_000  # passes of the scheduler


class NondeterminismError(RuntimeError):
    """The router has read the real clock, drawn from the real random sources, or started a thread."""


@contextmanager
def seeded_scheduler(seed: int) -> Iterator[None]:
    """Let the seed alone decide in which order trio runs the tasks that are ready at the same time.

    This uses the switch that trio has for Hypothesis. The garbage collector is off meanwhile, since what it
    collects, and when, depends on everything that the process ran before.
    """
    was_deterministic, was_collecting = scheduler._ALLOW_DETERMINISTIC_SCHEDULING, gc.isenabled()
    state = scheduler._r.getstate()
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(f"scheduler {seed}")
    gc.disable()
    try:
        yield
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = was_deterministic  # type: ignore[misc]
        scheduler._r.setstate(state)
        if was_collecting:
            gc.enable()


def virtual_clock(next_at: Callable[[], float], advance: Callable[[float], None]) -> MockClock:
    """Return a clock that jumps to the next deadline or network event when all tasks wait.

    trio lets no clock but its own MockClock jump, and MockClock can't be subclassed. Its own methods would
    read the real clock each time and consider deadlines alone, so those of this instance are replaced.
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
    """A context in which modules of the router that bypass their `System` raise NondeterminismError."""

    GUARDED_FUNCTIONS: tuple[tuple[Any, str], ...] = (
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
        self._originals = [(module, name, getattr(module, name)) for module, name in self.GUARDED_FUNCTIONS]
        for module, name, original in self._originals:
            setattr(module, name, self._guard(f"{module.__name__}.{name}", original))
        return self

    @staticmethod
    def _guard(name: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def guarded(*args: Any, **kwargs: Any) -> Any:
            caller = sys._getframe(1)
            module = str(caller.f_globals.get("__name__", ""))
            if module.startswith(GUARDED_MODULES):
                raise NondeterminismError(f"{name} in {module}, line {caller.f_lineno}")
            return original(*args, **kwargs)

        return guarded

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None
    ) -> None:
        for module, name, original in self._originals:
            setattr(module, name, original)


class StallDetector(trio.abc.Instrument):
    """An instrument that ends a run in which tasks keep running while the virtual time stands still."""

    def __init__(self, on_stall: Callable[[], None]) -> None:
        self.scope = trio.CancelScope()
        self._on_stall = on_stall
        self._last_time, self._pass_count = -1.0, 0

    def before_io_wait(self, timeout: float) -> None:
        now = trio.current_time()
        if now != self._last_time:
            self._last_time, self._pass_count = now, 0
            return
        self._pass_count += 1
        if self._pass_count == MAX_PASSES_AT_ONE_TIME:
            self._on_stall()
            self.scope.cancel()
