"""What the engines of a fleet saw of each request, whatever router brought it: an oracle for experiments."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Ledger:
    """Requests by the key that their senders put in, which stays the same for all attempts of one."""

    attempts: int = 0
    overlaps: int = 0  # attempts that came while another of the same request was out
    open: dict[str, int] = field(default_factory=dict)
    most_open: int = 0

    def begin(self, key: str) -> None:
        self.attempts += 1
        if self.open.get(key):
            self.overlaps += 1
        self.open[key] = self.open.get(key, 0) + 1
        self.most_open = max(self.most_open, len(self.open))

    def end(self, key: str) -> None:
        left = self.open.get(key, 0) - 1
        if left > 0:
            self.open[key] = left
        else:
            self.open.pop(key, None)
