"""Handling of SIGHUP before the program's own handler is installed and after it is removed."""

from __future__ import annotations

import signal
from types import FrameType

_was_received = False


def _record(number: int, frame: FrameType | None) -> None:
    global _was_received
    _was_received = True


def record_sighup() -> None:
    """Record SIGHUP until the program handles it; by default the signal would terminate the process."""
    signal.signal(signal.SIGHUP, _record)


def take_recorded() -> bool:
    """Return whether SIGHUP was received since the last call, and clear the record."""
    global _was_received
    received, _was_received = _was_received, False
    return received


def ignore_sighup() -> None:
    """Ignore SIGHUP during the exit.

    The interpreter removes its signal handlers then, and SIGHUP would end the process with a failure.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
