"""Handling of signals before the program's own handlers are installed and after they are removed."""

from __future__ import annotations

import signal
from types import FrameType

_received: set[int] = set()


def _record(number: int, frame: FrameType | None) -> None:
    _received.add(number)


def record(*numbers: int) -> None:
    """Record signals while the program doesn't handle them; by default they would end the process."""
    for number in numbers:
        signal.signal(number, _record)


def take_recorded(number: int) -> bool:
    """Return whether a signal was received since the last call, and clear the record."""
    was_received = number in _received
    _received.discard(number)
    return was_received


def ignore(*numbers: int) -> None:
    """Ignore signals during the exit.

    The interpreter removes its signal handlers then, and a signal would end the process with a failure.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
