"""SIGHUP before and after the time in which the program listens for it."""

from __future__ import annotations

import signal
from types import FrameType

_early = False


def _note(number: int, frame: FrameType | None) -> None:
    global _early
    _early = True


def catch() -> None:
    """Guards the start: until somebody listens, SIGHUP is noted instead of ending the program."""
    signal.signal(signal.SIGHUP, _note)


def caught() -> bool:
    """Whether one came since it was last asked."""
    global _early
    was, _early = _early, False
    return was


def ignore() -> None:
    """Guards the exit: the interpreter gives its handlers up, and SIGHUP would end it with a failure."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
