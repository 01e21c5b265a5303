"""A byte ring of fixed size: what one direction of a connection holds between socket and parser."""

from __future__ import annotations


class RingBuffer:
    """A ring buffer that holds no memory while it is empty."""

    __slots__ = ("_capacity", "_size", "_start", "_view")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._view: memoryview | None = None  # of its bytes, while there is a use for them
        self._start = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def free_bytes(self) -> int:
        return self._capacity - self._size

    def _bytes(self) -> memoryview:
        if self._view is None:
            self._view = memoryview(bytearray(self._capacity))
        return self._view

    def free_memory(self) -> None:
        """Give the memory back while nothing is held. Guards the memory limit: most connections of a long day
        are idle, and two rings of each would be more than all that is under way.
        """
        if not self._size:
            self._view = None

    def writable_span(self) -> memoryview:
        """Return the contiguous free bytes after the data, to be written before `commit_written`."""
        end = self._start + self._size
        if end < self._capacity:
            return self._bytes()[end:]
        return self._bytes()[end - self._capacity : self._start]

    def commit_written(self, count: int) -> None:
        self._size += count

    def readable_span(self) -> memoryview:
        """Return the oldest contiguous bytes, to be processed and then dropped by `consume`."""
        return self._bytes()[self._start : min(self._start + self._size, self._capacity)]

    def consume(self, count: int) -> None:
        self._size -= count
        self._start = 0 if self._size == 0 else (self._start + count) % self._capacity

    def write(self, data: memoryview) -> int:
        """Copy in as much as there is room for; tells how much that was."""
        done = 0
        while done < len(data) and self.free_bytes:
            span = self.writable_span()
            count = min(len(span), len(data) - done)
            span[:count] = data[done : done + count]
            self.commit_written(count)
            done += count
        return done

    def read_all(self) -> bytes:
        """All that is held, in order."""
        parts = []
        while self._size:
            span = self.readable_span()
            parts.append(bytes(span))
            self.consume(len(span))
        return b"".join(parts)
