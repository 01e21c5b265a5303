"""The names of requests that a server may have run and must not run again, without I/O or a clock.

A name that comes again after its client has left, on another connection or at the other process of an
upgrade, is the same request.
"""

from __future__ import annotations

from collections import OrderedDict

from ..hashing import hash_text

MAX_NAMES = 16_384  # about 2 MB; the oldest are forgotten first
KEPT_S = 120.0  # clients give up a request, with all its tries, long before


class RunHistory:
    """Names by their hash, with the time at which they were added."""

    def __init__(self) -> None:
        self._added_at: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added_at)

    def add(self, key: int, now: float) -> None:
        """Add a name, or count it as added now."""
        self._added_at[key] = now
        self._added_at.move_to_end(key)
        while len(self._added_at) > MAX_NAMES or next(iter(self._added_at.values())) < now - KEPT_S:
            self._added_at.popitem(last=False)

    def discard(self, key: int) -> None:
        """Remove a name that provably no server has run."""
        self._added_at.pop(key, None)

    def contains(self, key: int, now: float) -> bool:
        """Return whether a server may have run a request of this name lately."""
        return self._added_at.get(key, now - 2 * KEPT_S) >= now - KEPT_S

    def keys(self) -> list[int]:
        """Return all names, the oldest first."""
        return list(self._added_at)


def name_key(protocol: str, name: str) -> int:
    """Return the key of a client's name for a request."""
    return hash_text(f"{protocol}\0{name}")
