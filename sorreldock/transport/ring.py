"""A byte ring of fixed size: what one direction of a connection holds between socket and parser."""

from __future__ import annotations


class Ring:
    __slots__ = ("_bytes", "_size", "_start", "_view")

    def __init__(self, capacity: int) -> None:
        self._bytes = bytearray(capacity)
        self._view = memoryview(self._bytes)
        self._start = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        return len(self._bytes) - self._size

    def free_span(self) -> memoryview:
        """The longest free stretch that lies in one piece, to be written and then claimed by `grew`."""
        end = self._start + self._size
        capacity = len(self._bytes)
        if end < capacity:
            return self._view[end:]
        return self._view[end - capacity : self._start]

    def grew(self, count: int) -> None:
        self._size += count

    def held_span(self) -> memoryview:
        """The oldest bytes that lie in one piece, to be consumed and then dropped by `shrank`."""
        return self._view[self._start : min(self._start + self._size, len(self._bytes))]

    def shrank(self, count: int) -> None:
        self._size -= count
        self._start = 0 if self._size == 0 else (self._start + count) % len(self._bytes)

    def put(self, data: memoryview) -> int:
        """Copy in as much as there is room for; tells how much that was."""
        done = 0
        while done < len(data) and self.room:
            span = self.free_span()
            count = min(len(span), len(data) - done)
            span[:count] = data[done : done + count]
            self.grew(count)
            done += count
        return done

    def take(self) -> bytes:
        """All that is held, in order."""
        parts = []
        while self._size:
            span = self.held_span()
            parts.append(bytes(span))
            self.shrank(len(span))
        return b"".join(parts)
