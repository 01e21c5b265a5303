"""The chunked framing of a body (RFC 9112, 7.1), followed ahead of an HTTP parser that hides it. No I/O.

h11 tells neither the stated size of a chunk nor that its line has begun, and waits for the end of both.
"""

from __future__ import annotations

import re

MAX_BODY_BYTES = 256 * 1024  # the platform's limit, so no chunk holds more
MAX_SIZE_LINE_BYTES = 1024  # with extensions
LINE_END_BYTES = 2
SIZE = re.compile(rb"[0-9a-fA-F]*")


class FramingError(Exception):
    """Raised for a chunk that can't be part of a valid body."""


def stated_size(line: bytes) -> int:
    """Return the size that a line, or the first part of one, states; raise FramingError if it is invalid."""
    digits = SIZE.match(line)[0]  # type: ignore[index]  # matches every line
    if line and not digits:
        raise FramingError("the size of a chunk is no number")
    size = int(digits or b"0", 16)
    if size > MAX_BODY_BYTES:
        raise FramingError(f"a chunk of at least {size} bytes is larger than a body may be")
    return size


class ChunkScanner:
    """Follows the chunks of one body, and judges a stated size as soon as it is read."""

    def __init__(self) -> None:
        self.error: FramingError | None = None
        self._line = b""  # the first part of a size line
        self._data_bytes = 0  # left of the present chunk, with the line end behind it
        self._has_ended = False  # the last chunk has been read: what follows is the parser's

    @property
    def awaited(self) -> str:
        """What the sender has to complete next, for the log."""
        if self._has_ended:
            return "the end of the framing"
        return f"{self._data_bytes} bytes of a chunk" if self._data_bytes else "the size of a chunk"

    def feed(self, data: bytes) -> int:
        """Follow received data; return how many of its bytes are valid.

        If there are fewer than it holds, `error` tells the reason, and nothing more can be fed.
        """
        position, end = 0, len(data)
        try:
            while position < end and not self._has_ended:
                if self._data_bytes:
                    count = min(self._data_bytes, end - position)
                    self._data_bytes -= count
                    position += count
                else:
                    position = self._read_size_line(data, position)
        except FramingError as error:
            self.error = error
            return position
        return end

    def _read_size_line(self, data: bytes, position: int) -> int:
        """Read as much of a size line as the data holds, and return the position behind it."""
        line_end = data.find(b"\n", position)
        line = self._line + data[position : line_end if line_end >= 0 else len(data)]
        size = stated_size(line[: MAX_SIZE_LINE_BYTES + 1])
        if len(line) > MAX_SIZE_LINE_BYTES:
            raise FramingError("the line of a chunk's size is too long")
        if line_end < 0:
            self._line = line
            return len(data)
        if not line:
            raise FramingError("a chunk has no size")
        self._line = b""
        self._has_ended = size == 0
        self._data_bytes = size + LINE_END_BYTES
        return line_end + 1
