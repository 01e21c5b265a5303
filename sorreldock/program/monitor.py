"""The once-a-second records on what the router refuses, closes and holds, and on a late event loop."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

import trio

from ..protocol.front import Front
from ..routing.types import Log
from ..transport.ledger import MemoryLedger

INTERVAL_S = 1.0
LONG_DELAY_S = 0.1  # of the event loop; a shorter one is not worth a record


class Monitor:
    """Writes a record for each interval in which something happened, none for a quiet one."""

    def __init__(self, fronts: Iterable[Front[Any]], ledger: MemoryLedger, log: Log) -> None:
        self._fronts = list(fronts)
        self._ledger = ledger
        self._log = log

    async def run(self) -> None:
        """Write the records until cancelled."""
        while True:
            due = trio.current_time() + INTERVAL_S
            await trio.sleep_until(due)
            self.report(trio.current_time() - due)

    def report(self, delay_s: float) -> None:
        """Write the records of the interval that has ended, `delay_s` late."""
        held = {f"held_{name}": count for name, count in self._ledger.figures().items()}
        evictions: Counter[str] = Counter()
        rejections: Counter[str] = Counter()
        for front in self._fronts:
            evictions += front.evictions
            rejections += front.rejections
            front.evictions.clear()
            front.rejections.clear()
        if evictions:
            self._log("notice", "CROWD", "connections closed to make room", **evictions)
        if rejections:
            self._log("notice", "REJECTED", "requests answered without a server", **rejections, **held)
        if delay_s > LONG_DELAY_S:
            self._log("notice", "LOOP", "the event loop is behind", delay_s=round(delay_s, 3), **held)
