"""gRPC on HTTP/2, without I/O: statuses, time-outs, framing, and GOAWAY frames (gRPC's PROTOCOL-HTTP2)."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import quote, unquote

SERVICE = "inference.GRPCInferenceService"
MAX_ANSWER_BYTES = 1024 * 1024  # of one message of an answer
MAX_HEADER_LIST_BYTES = 16 * 1024
TIMEOUT = re.compile(r"(\d{1,8})([HMSmun])")
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
Headers = list[tuple[str, str]]


class Code(IntEnum):
    """Status codes of gRPC."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14


class GrpcError(Exception):
    """The call ends with this status."""

    def __init__(self, code: int, message: str, metadata: Iterable[tuple[str, str]] = ()) -> None:
        super().__init__(message)
        self.code, self.message, self.metadata = code, message, list(metadata)


def trailers(code: int, message: str = "", metadata: Iterable[tuple[str, str]] = ()) -> Headers:
    fields = [("grpc-status", str(int(code)))]
    if message:
        fields.append(("grpc-message", quote(message, safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~")))
    return [*fields, *metadata]


def status_of(headers: dict[str, str]) -> tuple[int, str]:
    """The code and message of trailers; UNKNOWN where a peer sends something else."""
    text = headers.get("grpc-status", "")
    return (int(text) if text.isdigit() else Code.UNKNOWN), unquote(headers.get("grpc-message", ""))


def parse_timeout(text: str) -> float:
    match = TIMEOUT.fullmatch(text)
    if match is None:
        raise GrpcError(Code.INVALID_ARGUMENT, f"grpc-timeout is malformed: {text[:40]}")
    return int(match[1]) * UNITS[match[2]]


def format_timeout(seconds: float) -> str:
    """At most eight digits, as the protocol asks."""
    micros = max(int(seconds * 1e6), 1)
    return f"{micros}u" if micros < 10**8 else f"{min(int(seconds * 1e3), 10**8 - 1)}m"


def frame(message: bytes) -> bytes:
    return struct.pack(">BI", 0, len(message)) + message


class Deframer:
    """Cuts messages out of a stream's data."""

    def __init__(self, largest: int) -> None:
        self._largest = largest
        self._data = bytearray()

    @property
    def partial(self) -> bool:
        return bool(self._data)

    def feed(self, data: bytes) -> None:
        self._data += data

    def next(self) -> bytes | None:
        """A whole message, or None until more has been fed."""
        if len(self._data) < 5:
            return None
        compressed, length = struct.unpack_from(">BI", self._data)
        if compressed:
            raise GrpcError(Code.UNIMPLEMENTED, "compressed messages are not supported")
        if length > self._largest:
            raise GrpcError(Code.RESOURCE_EXHAUSTED, f"a message of {length} bytes is too large")
        if len(self._data) < 5 + length:
            return None
        message = bytes(self._data[5 : 5 + length])
        del self._data[: 5 + length]
        return message


@dataclass(frozen=True, slots=True)
class GoAway:
    """A GOAWAY: streams above the last one were not taken; the others go on to their ends."""

    last_stream_id: int
    error_code: int


class GoAwayFilter:
    """Takes GOAWAY frames out of what goes to h2. Guards open streams: h2 takes a connection for closed at a
    GOAWAY and fails on the next frame, while a peer that shuts down in good order finishes its streams.
    """

    HEAD, GOAWAY = 9, 7

    def __init__(self, preface: bool) -> None:
        self._left = len(PREFACE) if preface else 0  # bytes of the present frame still to come
        self._head = b""
        self._farewell: bytearray | None = None

    def strip(self, data: bytes) -> tuple[bytes, list[GoAway]]:
        rest, found = bytearray(), []
        while data:
            if self._left:
                part, data = data[: self._left], data[self._left :]
                self._left -= len(part)
                if self._farewell is None:
                    rest += part
                    continue
                self._farewell += part
                if not self._left:
                    last, error = struct.unpack_from(">II", self._farewell)
                    found.append(GoAway(last & 0x7FFFFFFF, error))
                    self._farewell = None
                continue
            need = self.HEAD - len(self._head)
            self._head, data = self._head + data[:need], data[need:]
            if len(self._head) < self.HEAD:
                continue
            self._left = int.from_bytes(self._head[:3], "big")
            if self._head[3] == self.GOAWAY and 8 <= self._left <= 16384:
                self._farewell = bytearray()
            else:  # h2 complains by itself of what is malformed
                rest += self._head
            self._head = b""
        return bytes(rest), found
