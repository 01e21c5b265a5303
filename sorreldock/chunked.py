"""The chunked framing of a body (RFC 9112, 7.1), followed ahead of an HTTP parser that hides it. No I/O.

h11 tells neither the stated size of a chunk nor that its line has begun, and waits for the end of both.
"""

from __future__ import annotations

from enum import Enum, auto

MAX_BODY_BYTES = 256 * 1024  # the platform's limit, so no chunk holds more
MAX_SIZE_LINE_BYTES = 1024  # with extensions
LINE_END = b"\r\n"
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class FramingError(Exception):
    """Raised for a chunk that can't be part of a valid body."""


class _Part(Enum):
    """The part of the framing that comes next."""

    SIZE = auto()
    EXTENSION = auto()
    DATA = auto()
    END = auto()  # the last chunk has been read: what follows is the parser's


class ChunkScanner:
    """Follows the chunks of one body, and judges a stated size as soon as it is read."""

    def __init__(self) -> None:
        self.error: FramingError | None = None
        self._part = _Part.SIZE
        self._line_bytes = self._digits = self._size = 0
        self._data_bytes = 0  # left of the present chunk, with the line end behind it

    @property
    def awaited(self) -> str:
        """What the sender has to complete next, for the log."""
        if self._part is _Part.DATA:
            return f"{self._data_bytes} bytes of a chunk"
        return "the end of the framing" if self._part is _Part.END else "the size of a chunk"

    def feed(self, data: bytes) -> int:
        """Follow received data; return how many of its bytes are valid.

        If there are fewer than it holds, `error` tells the reason, and nothing more can be fed.
        """
        position = 0
        try:
            while position < len(data) and self._part is not _Part.END:
                position = self._advance(data, position)
        except FramingError as error:
            self.error = error
            return position
        return len(data)

    def _advance(self, data: bytes, position: int) -> int:
        """Read as much of the present part as the data holds, and return the position behind it."""
        if self._part is _Part.DATA:
            count = min(self._data_bytes, len(data) - position)
            self._data_bytes -= count
            if not self._data_bytes:
                self._part = _Part.SIZE
            return position + count
        self._line_bytes += 1
        if self._line_bytes > MAX_SIZE_LINE_BYTES:
            raise FramingError("the line of a chunk's size is too long")
        if data[position] == LINE_END[-1]:
            self._end_size_line()
        elif self._part is _Part.SIZE:
            self._read_size(data[position])
        return position + 1

    def _read_size(self, byte: int) -> None:
        if byte not in HEX_DIGITS:
            if not self._digits:
                raise FramingError("the size of a chunk is no number")
            self._part = _Part.EXTENSION  # or the line end; the parser checks it
            return
        self._digits += 1
        self._size = self._size * 16 + int(chr(byte), 16)
        if self._size > MAX_BODY_BYTES:
            raise FramingError(f"a chunk of at least {self._size} bytes is larger than a body may be")

    def _end_size_line(self) -> None:
        if not self._digits:
            raise FramingError("a chunk has no size")
        self._part = _Part.DATA if self._size else _Part.END
        self._data_bytes = self._size + len(LINE_END)
        self._line_bytes = self._digits = self._size = 0
