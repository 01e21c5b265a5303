"""A ledger of the attempts that a fleet's engines received, from all routers, to check experiments with."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Ledger:
    """Open attempts by request; the sender's key for a request is the same in all its attempts."""

    attempts: int = 0
    overlaps: int = 0  # attempts that began while another one of the same request was open
    open: dict[str, int] = field(default_factory=dict)  # by key: number of open attempts
    max_open: int = 0  # requests open at the same time
    runs: Counter[str] = field(default_factory=Counter)  # attempts by key

    @property
    def run_twice(self) -> int:
        """The number of requests that engines accepted more than once."""
        return sum(count > 1 for count in self.runs.values())

    def begin(self, key: str) -> None:
        self.attempts += 1
        self.runs[key] += 1
        if self.open.get(key):
            self.overlaps += 1
        self.open[key] = self.open.get(key, 0) + 1
        self.max_open = max(self.max_open, len(self.open))

    def end(self, key: str) -> None:
        remaining = self.open.get(key, 0) - 1
        if remaining > 0:
            self.open[key] = remaining
        else:
            self.open.pop(key, None)
