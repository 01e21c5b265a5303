"""An encoder of the few HTTP/2 frames that the simulation's own peers send (RFC 9113 section 6). No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterable

import hpack

from .readers import DATA, END_STREAM, GOAWAY, HEADERS, PING, PREFACE, RST_STREAM, SETTINGS, Frame

WINDOW_UPDATE = 8
END_HEADERS = 0x4
ACK = 0x1
MAX_FRAME_BYTES = 16384
WINDOW_BYTES = 1 << 24


def encode_frame(kind: int, flags: int, stream: int, body: bytes = b"") -> bytes:
    return struct.pack(">I", len(body))[1:] + bytes((kind, flags)) + struct.pack(">I", stream) + body


class FrameWriter:
    """An encoder of the frames of one end; its field sections share an HPACK table."""

    def __init__(self) -> None:
        self._hpack = hpack.Encoder()

    def preface(self, client: bool) -> bytes:
        """Return the preface, with windows large enough for all that the simulation's streams carry."""
        settings = encode_frame(SETTINGS, 0, 0, struct.pack(">HI", 4, WINDOW_BYTES))
        return (
            (PREFACE if client else b"")
            + settings
            + encode_frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", WINDOW_BYTES))
        )

    def headers(self, stream: int, fields: Iterable[tuple[str, str]], ends: bool = False) -> bytes:
        block = self._hpack.encode(list(fields))
        return encode_frame(HEADERS, END_HEADERS | (END_STREAM if ends else 0), stream, block)

    @staticmethod
    def data(stream: int, body: bytes, ends: bool = False) -> bytes:
        parts = [body[i : i + MAX_FRAME_BYTES] for i in range(0, len(body), MAX_FRAME_BYTES)] or [b""]
        last = len(parts) - 1
        return b"".join(
            encode_frame(DATA, END_STREAM if ends and i == last else 0, stream, part)
            for i, part in enumerate(parts)
        )

    @staticmethod
    def rst_stream(stream: int, code: int) -> bytes:
        return encode_frame(RST_STREAM, 0, stream, struct.pack(">I", code))

    @staticmethod
    def goaway(last: int, code: int) -> bytes:
        return encode_frame(GOAWAY, 0, 0, struct.pack(">II", last, code))

    @staticmethod
    def window_update(stream: int, count: int) -> bytes:
        return encode_frame(WINDOW_UPDATE, 0, stream, struct.pack(">I", count)) if count else b""

    @staticmethod
    def acknowledge(frame: Frame) -> bytes:
        """Return the frames due in reply: acknowledgements of SETTINGS and PING, window updates for DATA."""
        if frame.kind == SETTINGS and not frame.flags & ACK:
            return encode_frame(SETTINGS, ACK, 0)
        if frame.kind == PING and not frame.flags & ACK:
            return encode_frame(PING, ACK, 0, frame.body)
        if frame.kind == DATA and frame.body:
            return FrameWriter.window_update(0, len(frame.body)) + (
                b"" if frame.ends else FrameWriter.window_update(frame.stream, len(frame.body))
            )
        return b""
