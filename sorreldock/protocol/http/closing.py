"""How far the end of the HTTP connections at a stop or an operator's drain has come."""

from __future__ import annotations

import math
from dataclasses import dataclass

# After a drain, for requests that a client sends ahead of an answer: it may go on to send for ever.
LAST_ARRIVALS_S = 1.0


@dataclass
class Closing:
    """The state of the end of all connections, which the front sets and each connection follows."""

    is_announced: bool = False  # answers carry `Connection: close`
    has_begun: bool = False  # connections are closed after their answer
    ignore_arrivals_from: float = math.inf  # requests that arrive later keep no connection open

    def announce(self) -> None:
        """Let answers announce the close from now on."""
        self.is_announced = True

    def begin(self, now: float) -> None:
        """Let connections close after their answers from now on."""
        self.has_begun = True
        self.ignore_arrivals_from = now + LAST_ARRIVALS_S

    def cancel(self) -> None:
        """Keep connections open again."""
        self.is_announced = self.has_begun = False
        self.ignore_arrivals_from = math.inf
