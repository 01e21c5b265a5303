"""Incremental parsers of HTTP/1.1 messages and HTTP/2 frames, for the oracles. No I/O.

They are independent of the router's own parsers and support only what the simulation's peers send.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

import hpack

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, CONTINUATION = 0, 1, 3, 4, 6, 7, 9
END_STREAM, PADDED, PRIORITY = 0x1, 0x8, 0x20
HEADER_FIELD = re.compile(rb"(?im)^([a-z0-9-]+):[ \t]*([^\r\n]*?)[ \t]*\r?$")


class ParseError(Exception):
    """The bytes violate the protocol, or use a part of it that these readers don't support."""


@dataclass(frozen=True, slots=True)
class Head:
    """The start line and header fields of a message."""

    start_line: bytes
    fields: dict[bytes, bytes]
    end: int  # the offset of the first byte after it


@dataclass(frozen=True, slots=True)
class Part:
    """A chunk, or the whole body if the head gives its length."""

    data: bytes
    end: int


@dataclass(frozen=True, slots=True)
class End:
    """The end of a message."""

    end: int


class HttpReader:
    """A reader of the HTTP/1.1 messages of one direction of a connection.

    With `answers`, a body without a length lasts until the connection is closed.
    """

    def __init__(self, answers: bool) -> None:
        self._answers = answers
        self._data = bytearray()
        self.offset = 0  # the end of the last item that was read
        self._remaining_bytes: int | None = None
        self._chunked = self._ends_at_close = False
        self._in_body = False

    @property
    def is_between_messages(self) -> bool:
        return not self._in_body and not self._data

    def feed(self, data: bytes) -> Iterator[Head | Part | End]:
        self._data += data
        while True:
            item = self._read_body() if self._in_body else self._read_head()
            if item is None:
                return
            yield item

    def _take(self, count: int) -> bytes:
        taken = bytes(self._data[:count])
        del self._data[:count]
        self.offset += count
        return taken

    def _read_head(self) -> Head | None:
        end = self._data.find(b"\r\n\r\n")
        if end < 0:
            if len(self._data) > 65536:
                raise ParseError("a head without an end")
            return None
        text = self._take(end + 4)
        start_line, _, rest = text.partition(b"\r\n")
        if not re.fullmatch(
            rb"HTTP/1\.[01] \d{3}.*" if self._answers else rb"[A-Z]+ \S+ HTTP/1\.[01]", start_line
        ):
            raise ParseError("not HTTP/1.1")
        fields = {name.lower(): value for name, value in HEADER_FIELD.findall(rest)}
        if start_line.startswith(b"HTTP/1.1 1"):
            return Head(start_line, fields, self.offset)
        self._in_body = True
        self._chunked = fields.get(b"transfer-encoding", b"").lower() == b"chunked"
        length = fields.get(b"content-length")
        if length is not None and not length.isdigit():
            raise ParseError("content-length is not a number")
        self._remaining_bytes = int(length) if length is not None else None
        self._ends_at_close = self._answers and not self._chunked and length is None
        if not self._answers and not self._chunked and length is None:
            self._remaining_bytes = 0
        return Head(start_line, fields, self.offset)

    def _read_body(self) -> Part | End | None:
        if self._chunked:
            return self._read_chunk()
        if self._ends_at_close:
            return Part(self._take(len(self._data)), self.offset + len(self._data)) if self._data else None
        assert self._remaining_bytes is not None
        if self._remaining_bytes == 0:
            self._in_body = False
            return End(self.offset)
        if len(self._data) < self._remaining_bytes:
            return None
        part = self._take(self._remaining_bytes)
        self._remaining_bytes = 0
        return Part(part, self.offset)

    def _read_chunk(self) -> Part | End | None:
        line_end = self._data.find(b"\r\n")
        if line_end < 0:
            if len(self._data) > 64:
                raise ParseError("a chunk size without an end")
            return None
        size = bytes(self._data[:line_end]).partition(b";")[0].strip()
        if not re.fullmatch(rb"[0-9A-Fa-f]{1,8}", size):
            raise ParseError("not a chunk size")
        length = int(size, 16)
        chunk_bytes = line_end + 2 + length + 2
        if len(self._data) < chunk_bytes:
            return None
        text = self._take(chunk_bytes)
        if text[-2:] != b"\r\n":
            raise ParseError("a chunk of another size than it says")
        if length == 0:
            self._in_body = False
            return End(self.offset)
        return Part(text[line_end + 2 : -2], self.offset)


@dataclass(frozen=True, slots=True)
class Frame:
    """An HTTP/2 frame; `end` is the offset of the first byte after it."""

    kind: int
    flags: int
    stream: int
    body: bytes
    end: int

    @property
    def ends(self) -> bool:
        return self.kind in (DATA, HEADERS) and bool(self.flags & END_STREAM)

    def data(self) -> bytes:
        """Return the payload of a DATA frame without its padding."""
        if self.flags & PADDED:
            return self.body[1 : len(self.body) - self.body[0]]
        return self.body


@dataclass
class FrameReader:
    """A reader of the HTTP/2 frames of one direction of a connection (RFC 9113 section 4)."""

    preface: bool
    _data: bytearray = field(default_factory=bytearray)
    _hpack: hpack.Decoder = field(default_factory=hpack.Decoder)
    offset: int = 0

    def feed(self, data: bytes) -> Iterator[Frame]:
        self._data += data
        if self.preface:
            if len(self._data) < len(PREFACE):
                if not PREFACE.startswith(bytes(self._data)):
                    raise ParseError("not the HTTP/2 preface")
                return
            if not self._data.startswith(PREFACE):
                raise ParseError("not the HTTP/2 preface")
            del self._data[: len(PREFACE)]
            self.offset += len(PREFACE)
            self.preface = False
        while len(self._data) >= 9:
            length = int.from_bytes(self._data[:3], "big")
            if length > 65536:
                raise ParseError("a frame too large")
            if len(self._data) < 9 + length:
                return
            kind, flags = self._data[3], self._data[4]
            stream = int.from_bytes(self._data[5:9], "big") & 0x7FFFFFFF
            body = bytes(self._data[9 : 9 + length])
            del self._data[: 9 + length]
            self.offset += 9 + length
            yield Frame(kind, flags, stream, body, self.offset)

    def decode_fields(self, frame: Frame) -> dict[str, str]:
        """Decode the field section of a HEADERS frame; call it for each of them, in order."""
        body = frame.body
        if frame.flags & PADDED:
            body = body[1 : len(body) - body[0]]
        if frame.flags & PRIORITY:
            body = body[5:]
        try:
            return {str(name): str(value) for name, value in self._hpack.decode(body)}
        except (hpack.HPACKError, UnicodeDecodeError) as error:
            raise ParseError(str(error)) from None
