"""The program's log: RFC 5424 records with structured data, to standard error or a collector."""

from __future__ import annotations

import re
import socket
import sys
from collections import deque
from datetime import UTC, datetime

import trio

from ..transport.connection import ConnectionLost, DialFailed, dialler
from ..transport.system import REAL_SYSTEM, System

SEVERITIES = {
    "emerg": 0,
    "alert": 1,
    "crit": 2,
    "err": 3,
    "warning": 4,
    "notice": 5,
    "info": 6,
    "debug": 7,
}
FACILITY = 16  # local0
SD_ID = "sorreldock@32473"  # 32473 is the enterprise number for documentation; no other one is registered
MAX_WAITING_RECORDS = 2000
MAX_WAITING_BYTES = 1024 * 1024
MAX_VALUE_LENGTH = 1000  # of a parameter, which may hold what a peer has sent
DIAL_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 5.0
SD_ESCAPED = re.compile(r'["\\\]]')
NOT_PRINTABLE_ASCII = re.compile(r"[^\x21-\x7e]")


def header_field(text: str, max_length: int) -> str:
    """Return a text as a header field (RFC 5424 section 6): printable ASCII, or `-` for none."""
    return NOT_PRINTABLE_ASCII.sub("_", text)[:max_length] or "-"


def sd_name(text: str) -> str:
    """Return a text as a parameter's name (RFC 5424 section 6.3.3)."""
    return re.sub(r'[^\x21-\x7e]|[="\]]', "_", text)[:32] or "_"


def printable(text: str) -> str:
    """Return a text with a space in place of each character that can't be printed."""
    return text if text.isprintable() else "".join(c if c.isprintable() else " " for c in text)


def sd_value(value: object) -> str:
    r"""Escape `"`, `\` and `]` in a parameter's value (RFC 5424 section 6.3.3), and replace line breaks."""
    return SD_ESCAPED.sub(r"\\\g<0>", printable(str(value)[:MAX_VALUE_LENGTH]))


def record(
    severity: str, host: str, message_id: str, text: str, data: dict[str, object], at: datetime, pid: int
) -> bytes:
    """Format one record, without a newline at its end."""
    timestamp = at.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    parameters = "".join(f' {sd_name(name)}="{sd_value(value)}"' for name, value in data.items())
    structured = f"[{SD_ID}{parameters}]" if parameters else "-"
    priority = FACILITY * 8 + SEVERITIES[severity]
    message = printable(text)
    header = (
        f"<{priority}>1 {timestamp} {header_field(host, 255)} sorreldock {pid} "
        f"{header_field(message_id, 32)} {structured} "
    )
    # Without a byte-order mark MSG may have any encoding (MSG-ANY). It is ASCII except for text from peers.
    return (header + message).encode("utf-8", "replace")


class Syslog:
    """The program's log: a bounded queue of records and a task that writes them.

    `log` never blocks: while the queue is full, records are dropped and counted.
    """

    def __init__(
        self,
        host: str = "",
        collector: str = "",
        min_severity: str = "info",
        descriptor: int | None = None,
        system: System = REAL_SYSTEM,
    ) -> None:
        self.host = host or socket.gethostname()
        self.collector = collector
        self._system = system
        self._dial = dialler(system)
        self.dropped = 0
        self._max_level = SEVERITIES[min_severity]
        self._descriptor = sys.stderr.fileno() if descriptor is None else descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._wake = trio.Event()

    def log(self, severity: str, message_id: str, text: str, **data: object) -> None:
        """Queue a record, with `data` as its parameters, unless its severity is below the minimum."""
        if SEVERITIES[severity] > self._max_level:
            return
        if len(self._waiting) >= MAX_WAITING_RECORDS or self._waiting_bytes >= MAX_WAITING_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._append("warning", "DROPPED", "records were dropped", {"count": dropped})
        self._append(severity, message_id, text, data)
        self._wake.set()

    def _append(self, severity: str, message_id: str, text: str, data: dict[str, object]) -> None:
        system = self._system
        at = datetime.fromtimestamp(system.wall(), UTC)
        line = record(severity, self.host, message_id, text, data, at, system.pid)
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _take(self) -> bytes:
        """Remove and return the oldest record."""
        line = self._waiting.popleft()
        self._waiting_bytes -= len(line)
        return line

    async def run(self) -> None:
        """Write the queued records until cancelled."""
        if self.collector:
            await self._send_to_collector()
        else:
            await self._write_to_descriptor()

    async def _wait_for_record(self) -> None:
        while not self._waiting:
            self._wake = trio.Event()
            await self._wake.wait()

    async def _write_to_descriptor(self) -> None:
        while True:
            await self._wait_for_record()
            lines = b"".join(self._take() + b"\n" for _ in range(min(len(self._waiting), 100)))
            await self._system.write(self._descriptor, lines)

    async def _send_to_collector(self) -> None:
        """Send octet-counted frames (RFC 6587 section 3.4.1) over TCP; reconnect with exponential backoff."""
        pause_s = 0.1
        while True:
            await self._wait_for_record()
            try:
                connection = await self._dial(self.collector, DIAL_TIMEOUT_S, lambda: None)
            except DialFailed:
                await trio.sleep(pause_s)
                pause_s = min(pause_s * 2, 5.0)
                continue
            try:
                while True:
                    await self._wait_for_record()
                    if connection.is_stale:  # a collector sends nothing, so a readable connection is closed
                        raise ConnectionLost("closed by the collector")
                    frame = self._waiting[0]
                    with trio.fail_after(WRITE_TIMEOUT_S):
                        await connection.send(b"%d %b" % (len(frame), frame))
                    self._take()
                    pause_s = 0.1
            except (ConnectionLost, trio.TooSlowError):
                await trio.sleep(pause_s)
            finally:
                connection.close()

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queue is empty, at most `timeout_s`."""
        with trio.move_on_after(timeout_s):
            while self._waiting:
                await trio.sleep(0.01)
