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
def no_signal_handler_is_left_behind() -> Iterator[None]:
    """Guards the tests that follow: a handler of a loop that has ended fails whichever a signal meets."""
    before = [signal.getsignal(number) for number in SIGNALS]
    yield
    assert [signal.getsignal(number) for number in SIGNALS] == before
