"""The event stream of an answer (WHATWG, 9.2), split into complete events. No I/O."""

from __future__ import annotations

import json

from ...completeness import DATA_FIELD, check_event_stream, is_end_event
from ...interface import Metric
from .. import server_client
from ..loads import LOAD_REPORT_HEADER, parse_load
from ..server_client import ServerProtocolError

EVENT_FIELD_NAMES = (b"data", b"", b"event", b"id", b"retry")  # an empty name starts a comment
BLANK_LINES = (b"", b"\r")
LONGEST_EVENT_END = b"\n\r\n"
LOAD_REPORT_PREFIX = b": " + LOAD_REPORT_HEADER.encode() + b":"


class EventSplitter:
    """Splits a stream into whole events, and reads the usage event and the final load report."""

    def __init__(self) -> None:
        self.cached_tokens = 0
        self.load: dict[Metric, float] = {}
        self.has_end_event = False
        self.completed_events = 0  # reads that completed events with data, up to the last event
        self._has_data = False  # whether the present event has data
        self._continues_line = False  # whether what follows is the rest of a line
        self._buffer = bytearray()

    def feed(self, data: bytes | bytearray) -> bytes:
        """Return the events that the data completes, unchanged.

        Raises ServerProtocolError for invalid lines, which must not reach the client, and for an event that
        exceeds the memory limit.
        """
        searched = max(len(self._buffer) - len(LONGEST_EVENT_END) + 1, 0)  # no end lies before
        self._buffer += data
        end = self._end_of_events(searched)
        if not end:
            if len(self._buffer) > server_client.MAX_EVENT_BYTES:
                raise ServerProtocolError("event too large")
            return b""
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        is_after_last_event = self.has_end_event
        self._parse(events)
        self.completed_events += self._has_data and not is_after_last_event
        self._has_data = False
        return events

    def _end_of_events(self, start: int) -> int:
        """Return the offset behind the last complete event of the buffer; 0 without one."""
        after_lf = self._buffer.rfind(b"\n\n", start) + len(b"\n\n")
        after_crlf = self._buffer.rfind(LONGEST_EVENT_END, start) + len(LONGEST_EVENT_END)
        return max(after_lf if after_lf > 1 else 0, after_crlf if after_crlf > 2 else 0)

    @property
    def has_part(self) -> bool:
        """Whether an event has begun that has not been returned to its end."""
        return bool(self._buffer) or self._continues_line

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer)

    def take_part(self) -> bytes:
        """Return what has been fed of an incomplete event, whose rest comes with the next events."""
        part = bytes(self._buffer)
        self._buffer.clear()
        self._parse(part)
        self._continues_line = not part.endswith(b"\n")
        return part

    def remainder(self) -> bytes:
        """Return what is left at the end of the stream: the last event without its blank line, or nothing.

        Raises IncompleteAnswer if the stream is not complete.
        """
        remainder = bytes(self._buffer)
        self._parse(remainder)
        check_event_stream(self.has_end_event, remainder)
        return remainder

    def _parse(self, data: bytes) -> None:
        lines = data.split(b"\n")
        if self._continues_line:  # its field name was checked with its first part
            self._continues_line = len(lines) == 1
            del lines[0]
        for line in lines:
            self._has_data = self._has_data or line.startswith(DATA_FIELD)
            if line.startswith(LOAD_REPORT_PREFIX):
                self.load = parse_load(line[len(LOAD_REPORT_PREFIX) :].decode("latin-1"))
            elif line.startswith(b"data: {") and b'"usage"' in line:
                self._parse_usage(line[6:])
            elif line not in BLANK_LINES and line.partition(b":")[0].rstrip(b"\r") not in EVENT_FIELD_NAMES:
                raise ServerProtocolError("invalid line in the event stream")
            elif is_end_event(line):
                self.has_end_event = True

    def _parse_usage(self, text: bytes) -> None:
        try:
            cached = json.loads(text)["usage"]["prompt_tokens_details"]["cached_tokens"]
            self.cached_tokens = int(cached)
        except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
            pass  # the usage event is optional, and a server may write anything there
