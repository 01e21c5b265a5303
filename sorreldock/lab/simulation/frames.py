"""HTTP/2 and gRPC as the world's own peers write it: a few frames by hand (RFC 9113 section 6). No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable

import hpack

from .readers import DATA, END_STREAM, GOAWAY, HEADERS, PING, PREFACE, RST_STREAM, SETTINGS, Frame

WINDOW_UPDATE = 8
END_HEADERS = 0x4
ACK = 0x1
LARGEST = 16384
ROOM = 1 << 24


def frame(kind: int, flags: int, stream: int, body: bytes = b"") -> bytes:
    return struct.pack(">I", len(body))[1:] + bytes((kind, flags)) + struct.pack(">I", stream) + body


class Writer:
    """One end's frames; its field sections share a table."""

    def __init__(self) -> None:
        self._hpack = hpack.Encoder()

    def opening(self, client: bool) -> bytes:
        """With room for all that the world's streams hold."""
        settings = frame(SETTINGS, 0, 0, struct.pack(">HI", 4, ROOM))
        return (PREFACE if client else b"") + settings + frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", ROOM))

    def headers(self, stream: int, fields: Iterable[tuple[str, str]], ends: bool = False) -> bytes:
        block = self._hpack.encode(list(fields))
        return frame(HEADERS, END_HEADERS | (END_STREAM if ends else 0), stream, block)

    @staticmethod
    def data(stream: int, body: bytes, ends: bool = False) -> bytes:
        parts = [body[k : k + LARGEST] for k in range(0, len(body), LARGEST)] or [b""]
        last = len(parts) - 1
        return b"".join(
            frame(DATA, END_STREAM if ends and k == last else 0, stream, p) for k, p in enumerate(parts)
        )

    @staticmethod
    def reset(stream: int, code: int) -> bytes:
        return frame(RST_STREAM, 0, stream, struct.pack(">I", code))

    @staticmethod
    def goaway(last: int, code: int) -> bytes:
        return frame(GOAWAY, 0, 0, struct.pack(">II", last, code))

    @staticmethod
    def room(stream: int, count: int) -> bytes:
        return frame(WINDOW_UPDATE, 0, stream, struct.pack(">I", count)) if count else b""

    @staticmethod
    def reply(got: Frame) -> bytes:
        """What the protocol asks in return: settings and pings are acknowledged, room is given back."""
        if got.kind == SETTINGS and not got.flags & ACK:
            return frame(SETTINGS, ACK, 0)
        if got.kind == PING and not got.flags & ACK:
            return frame(PING, ACK, 0, got.body)
        if got.kind == DATA and got.body:
            return Writer.room(0, len(got.body)) + (
                b"" if got.ends else Writer.room(got.stream, len(got.body))
            )
        return b""
