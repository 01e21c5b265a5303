"""gRPC on HTTP/2 (PROTOCOL-HTTP2), without I/O: statuses, timeouts, message framing and GOAWAY frames."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import quote, unquote

SERVICE = "inference.GRPCInferenceService"
MAX_ANSWER_MESSAGE_BYTES = 1024 * 1024  # for each message of an answer
MAX_HEADER_LIST_BYTES = 16 * 1024
TIMEOUT_PATTERN = re.compile(r"(\d{1,8})([HMSmun])")
CONNECTION_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
PREFIX = struct.Struct(">BI")  # of a message: whether it is compressed, and its length
TIMEOUT_UNITS_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
Headers = list[tuple[str, str]]


class Code(IntEnum):
    """The gRPC status codes that are used here."""

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
    """The status that a call ends with, its message and its trailing metadata."""

    def __init__(self, code: int, message: str, metadata: Iterable[tuple[str, str]] = ()) -> None:
        super().__init__(message)
        self.code, self.message, self.metadata = code, message, list(metadata)


def trailers(code: int, message: str = "", metadata: Iterable[tuple[str, str]] = ()) -> Headers:
    """Return the trailers of a status, with the message percent-encoded (PROTOCOL-HTTP2)."""
    fields = [("grpc-status", str(int(code)))]
    if message:
        fields.append(("grpc-message", quote(message, safe=" !\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~")))
    return [*fields, *metadata]


def status_of(headers: dict[str, str]) -> tuple[int, str]:
    """Return the status code and message of trailers; the code is UNKNOWN if it is missing or malformed."""
    text = headers.get("grpc-status", "")
    return (int(text) if text.isdigit() else Code.UNKNOWN), unquote(headers.get("grpc-message", ""))


def parse_timeout(text: str) -> float:
    """Return the seconds of a `grpc-timeout` value; raise GrpcError if it is malformed."""
    match = TIMEOUT_PATTERN.fullmatch(text)
    if match is None:
        raise GrpcError(Code.INVALID_ARGUMENT, f"grpc-timeout is malformed: {text[:40]}")
    return int(match[1]) * TIMEOUT_UNITS_S[match[2]]


def format_timeout(seconds: float) -> str:
    """Return a `grpc-timeout` value of at most eight digits, the protocol's limit."""
    micros = max(int(seconds * 1e6), 1)
    return f"{micros}u" if micros < 10**8 else f"{min(int(seconds * 1e3), 10**8 - 1)}m"


def frame(message: bytes) -> bytes:
    """Return an uncompressed message with gRPC's length prefix."""
    return PREFIX.pack(0, len(message)) + message


class Deframer:
    """Extracts length-prefixed messages from the data of a stream."""

    def __init__(self, max_message_bytes: int) -> None:
        self._max_message_bytes = max_message_bytes
        self._data = bytearray()
        self._rest_bytes = 0  # of a message whose first part has been returned by `take_part`

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._data)

    @property
    def has_begun(self) -> bool:
        """Whether a part of the present message has been returned."""
        return self._rest_bytes > 0

    @property
    def partial(self) -> bool:
        """Whether a message has begun that has not been returned to its end."""
        return bool(self._data) or self._rest_bytes > 0

    @property
    def expected_bytes(self) -> int:
        """The length of the present message with its prefix, as far as it is known."""
        if len(self._data) < PREFIX.size:
            return PREFIX.size
        return PREFIX.size + int(PREFIX.unpack_from(self._data)[1])

    def feed(self, data: bytes) -> None:
        """Append data of the stream."""
        self._data += data

    def clear(self) -> None:
        """Drop what has not been returned."""
        self._data = bytearray()

    def _buffered_message_bytes(self) -> int | None:
        """Return the length of the next message with its prefix; None before the prefix is complete.

        Raise GrpcError for a message that is compressed or too large.
        """
        if len(self._data) < PREFIX.size:
            return None
        compressed, length = PREFIX.unpack_from(self._data)
        if compressed:
            raise GrpcError(Code.UNIMPLEMENTED, "compressed messages are not supported")
        if length > self._max_message_bytes:
            raise GrpcError(Code.RESOURCE_EXHAUSTED, f"a message of {length} bytes is too large")
        return PREFIX.size + int(length)

    def _take(self, count: int) -> bytes:
        data = bytes(self._data[:count])
        del self._data[:count]
        return data

    def next(self) -> bytes | None:
        """Return the next whole message, or None if more data is needed.

        Raise GrpcError for a message that is compressed or too large.
        """
        framed = self.next_framed()
        return None if framed is None else framed[PREFIX.size :]

    def next_framed(self) -> bytes | None:
        """Return the next whole message with its prefix, or the rest of one that was returned in part."""
        if self._rest_bytes:
            part = self._take(min(self._rest_bytes, len(self._data)))
            self._rest_bytes -= len(part)
            return part or None
        size = self._buffered_message_bytes()
        return self._take(size) if size is not None and size <= len(self._data) else None

    def take_part(self) -> bytes | None:
        """Return what is buffered of an incomplete message, with its prefix; None without that."""
        size = self._buffered_message_bytes()
        if size is None or self._rest_bytes:
            return None
        self._rest_bytes = size - len(self._data)
        return self._take(len(self._data))


@dataclass(frozen=True, slots=True)
class GoAway:
    """A GOAWAY frame: streams above the last one were not processed; the others may complete."""

    last_stream_id: int
    error_code: int


class GoAwayFilter:
    """Removes GOAWAY frames from received data before it is passed to h2.

    h2 treats a connection as closed after a GOAWAY and fails on the next frame, while a peer that shuts down
    gracefully completes its open streams.
    """

    HEADER_BYTES, DATA_TYPE, GOAWAY_TYPE = 9, 0, 7

    def __init__(self, preface: bool) -> None:
        self._is_data = False  # whether the current frame is a DATA frame
        self._remaining = len(CONNECTION_PREFACE) if preface else 0  # bytes of the current frame
        self._header = b""
        self._goaway: bytearray | None = None  # payload of the current frame if it is a GOAWAY

    @property
    def is_within_control_frame(self) -> bool:
        """Whether a frame other than DATA has begun and is not complete."""
        return bool(self._header) or (self._remaining > 0 and not self._is_data)

    def strip(self, data: bytes) -> tuple[bytes, list[GoAway]]:
        """Return the data without GOAWAY frames, and the GOAWAY frames that became complete."""
        rest, found = bytearray(), []
        while data:
            if self._remaining:
                part, data = data[: self._remaining], data[self._remaining :]
                self._remaining -= len(part)
                if self._goaway is None:
                    rest += part
                    continue
                self._goaway += part
                if not self._remaining:
                    last_stream_id, error_code = struct.unpack_from(">II", self._goaway)
                    found.append(GoAway(last_stream_id & 0x7FFFFFFF, error_code))
                    self._goaway = None
                continue
            missing = self.HEADER_BYTES - len(self._header)
            self._header, data = self._header + data[:missing], data[missing:]
            if len(self._header) < self.HEADER_BYTES:
                continue
            self._remaining = int.from_bytes(self._header[:3], "big")
            self._is_data = self._header[3] == self.DATA_TYPE
            if self._header[3] == self.GOAWAY_TYPE and 8 <= self._remaining <= 16384:
                self._goaway = bytearray()
            else:  # h2 itself raises an error for a malformed frame
                rest += self._header
            self._header = b""
        return bytes(rest), found
