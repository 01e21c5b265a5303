"""Fixtures for all tests."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest
from known_red import pytest_collection_modifyitems

__all__ = ["pytest_collection_modifyitems"]
pytest_plugins = ["pytester"]
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@pytest.fixture(autouse=True)
def check_signal_handlers_restored() -> Iterator[None]:
    """Check that a test restores the signal handlers.

    A signal during a later test would call a remaining handler, whose event loop has ended, and fail it.
    """
    handlers = [signal.getsignal(number) for number in SIGNALS]
    yield
    assert [signal.getsignal(number) for number in SIGNALS] == handlers
