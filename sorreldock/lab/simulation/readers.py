"""Readers of what passes on a wire, for the oracles: HTTP/1.1 messages and HTTP/2 frames. No I/O.

They know nothing of the router's own parsers, and take no more than the world's peers write.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

import hpack

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, CONTINUATION = 0, 1, 3, 4, 6, 7, 9
END_STREAM, PADDED, PRIORITY = 0x1, 0x8, 0x20
FIELD = re.compile(rb"(?im)^([a-z0-9-]+):[ \t]*([^\r\n]*?)[ \t]*\r?$")


class ParseError(Exception):
    """Not what this protocol allows, or what this reader knows."""


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a message."""

    start_line: bytes
    fields: dict[bytes, bytes]
    end: int  # the offset behind it


@dataclass(frozen=True, slots=True)
class Part:
    """A chunk, or the whole body where its length was given."""

    data: bytes
    end: int


@dataclass(frozen=True, slots=True)
class End:
    """The end of a message."""

    end: int


class HttpReader:
    """Messages of one direction, one after the other. `answers`: their bodies may last until the close."""

    def __init__(self, answers: bool) -> None:
        self._answers = answers
        self._data = bytearray()
        self.offset = 0  # of what has been read as something
        self._left: int | None = None
        self._chunked = self._until_close = False
        self._in_body = False

    @property
    def is_between_messages(self) -> bool:
        return not self._in_body and not self._data

    def feed(self, data: bytes) -> Iterator[Head | Part | End]:
        self._data += data
        while True:
            found = self._body() if self._in_body else self._head()
            if found is None:
                return
            yield found

    def _drop(self, count: int) -> bytes:
        taken = bytes(self._data[:count])
        del self._data[:count]
        self.offset += count
        return taken

    def _head(self) -> Head | None:
        end = self._data.find(b"\r\n\r\n")
        if end < 0:
            if len(self._data) > 65536:
                raise ParseError("a head without an end")
            return None
        text = self._drop(end + 4)
        start, _, rest = text.partition(b"\r\n")
        if not re.fullmatch(
            rb"HTTP/1\.[01] \d{3}.*" if self._answers else rb"[A-Z]+ \S+ HTTP/1\.[01]", start
        ):
            raise ParseError("not HTTP/1.1")
        fields = {k.lower(): v for k, v in FIELD.findall(rest)}
        if start.startswith(b"HTTP/1.1 1"):
            return Head(start, fields, self.offset)
        self._in_body = True
        self._chunked = fields.get(b"transfer-encoding", b"").lower() == b"chunked"
        length = fields.get(b"content-length")
        if length is not None and not length.isdigit():
            raise ParseError("content-length is not a number")
        self._left = int(length) if length is not None else None
        self._until_close = self._answers and not self._chunked and length is None
        if not self._answers and not self._chunked and length is None:
            self._left = 0
        return Head(start, fields, self.offset)

    def _body(self) -> Part | End | None:
        if self._chunked:
            return self._chunk()
        if self._until_close:
            return Part(self._drop(len(self._data)), self.offset + len(self._data)) if self._data else None
        assert self._left is not None
        if self._left == 0:
            self._in_body = False
            return End(self.offset)
        if len(self._data) < self._left:
            return None
        part = self._drop(self._left)
        self._left = 0
        return Part(part, self.offset)

    def _chunk(self) -> Part | End | None:
        line = self._data.find(b"\r\n")
        if line < 0:
            if len(self._data) > 64:
                raise ParseError("a chunk size without an end")
            return None
        size = bytes(self._data[:line]).partition(b";")[0].strip()
        if not re.fullmatch(rb"[0-9A-Fa-f]{1,8}", size):
            raise ParseError("not a chunk size")
        length = int(size, 16)
        whole = line + 2 + length + 2
        if len(self._data) < whole:
            return None
        text = self._drop(whole)
        if text[-2:] != b"\r\n":
            raise ParseError("a chunk of another size than it says")
        if length == 0:
            self._in_body = False
            return End(self.offset)
        return Part(text[line + 2 : -2], self.offset)


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame of HTTP/2."""

    kind: int
    flags: int
    stream: int
    body: bytes
    end: int

    @property
    def ends(self) -> bool:
        return self.kind in (DATA, HEADERS) and bool(self.flags & END_STREAM)

    def data(self) -> bytes:
        """Of a DATA frame, without its padding."""
        if self.flags & PADDED:
            return self.body[1 : len(self.body) - self.body[0]]
        return self.body


@dataclass
class FrameReader:
    """HTTP/2 frames of one direction (RFC 9113 section 4), with the field sections decoded."""

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
        body = frame.body
        if frame.flags & PADDED:
            body = body[1 : len(body) - body[0]]
        if frame.flags & PRIORITY:
            body = body[5:]
        try:
            return {str(k): str(v) for k, v in self._hpack.decode(body)}
        except (hpack.HPACKError, UnicodeDecodeError) as error:
            raise ParseError(str(error)) from None
