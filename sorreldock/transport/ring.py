"""A ring buffer of fixed size for one direction of a connection, between socket and parser."""

from __future__ import annotations


class RingBuffer:
    """A ring buffer that can free its memory while it is empty."""

    __slots__ = ("_capacity", "_size", "_start", "_view")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._view: memoryview | None = None  # None while no memory is allocated
        self._start = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def free_bytes(self) -> int:
        return self._capacity - self._size

    def _buffer(self) -> memoryview:
        if self._view is None:
            self._view = memoryview(bytearray(self._capacity))
        return self._view

    def free_memory(self) -> None:
        """Free the memory if the buffer is empty.

        Keeps the program below its memory limit: on a long day most connections are idle, and two buffers for
        each would take more memory than all requests in progress.
        """
        if not self._size:
            self._view = None

    def writable_span(self) -> memoryview:
        """Return the contiguous free bytes after the data, to be written before `commit_written`."""
        end = self._start + self._size
        if end < self._capacity:
            return self._buffer()[end:]
        return self._buffer()[end - self._capacity : self._start]

    def commit_written(self, count: int) -> None:
        """Append the first `count` bytes of `writable_span` to the data."""
        self._size += count

    def readable_span(self) -> memoryview:
        """Return the oldest contiguous bytes, to be processed and then dropped by `consume`."""
        return self._buffer()[self._start : min(self._start + self._size, self._capacity)]

    def consume(self, count: int) -> None:
        """Drop the oldest `count` bytes."""
        self._size -= count
        self._start = 0 if self._size == 0 else (self._start + count) % self._capacity

    def write(self, data: memoryview) -> int:
        """Copy in as much data as fits and return its length."""
        copied = 0
        while copied < len(data) and self.free_bytes:
            span = self.writable_span()
            count = min(len(span), len(data) - copied)
            span[:count] = data[copied : copied + count]
            self.commit_written(count)
            copied += count
        return copied

    def read_all(self) -> bytes:
        """Return all data in order, and leave the buffer empty."""
        parts = []
        while self._size:
            span = self.readable_span()
            parts.append(bytes(span))
            self.consume(len(span))
        return b"".join(parts)
