"""Received bytes in blocks of one size, so that freed memory fits the next request.

Pieces of every length, joined at the end, take twice the memory of their bytes and leave holes in the heap.
"""

from __future__ import annotations

from collections.abc import Callable

BLOCK_BYTES = 8192


class BlockBuffer:
    """A sequence of bytes that only grows, kept in blocks."""

    def __init__(self, expected_bytes: int = 0) -> None:
        """`expected_bytes` is the final length if it is known, so that no block is larger than needed."""
        self._blocks: list[bytearray] = []
        self._expected = expected_bytes
        self._length = self._used_of_last = 0

    def __len__(self) -> int:
        return self._length

    def add(self, data: bytes, reserve: Callable[[int], bool]) -> bool:
        """Append data; return False once `reserve` refuses the bytes of a further block."""
        view = memoryview(data)
        while view:
            free = len(self._blocks[-1]) - self._used_of_last if self._blocks else 0
            if not free:
                size = BLOCK_BYTES
                if self._expected > self._length:
                    size = min(size, self._expected - self._length)
                if not reserve(size):
                    return False
                self._blocks.append(bytearray(size))
                self._used_of_last = 0
                free = size
            part, view = view[:free], view[free:]
            self._blocks[-1][self._used_of_last : self._used_of_last + len(part)] = part
            self._used_of_last += len(part)
            self._length += len(part)
        return True

    def parts(self) -> list[memoryview]:
        """Return the bytes in order, without a copy."""
        views = [memoryview(block) for block in self._blocks]
        if views:
            views[-1] = views[-1][: self._used_of_last]
        return views

    def clear(self) -> None:
        """Drop all bytes."""
        self._blocks.clear()
        self._length = self._used_of_last = 0
