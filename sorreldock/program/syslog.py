"""The program's log: RFC 5424 records with structured data, to standard error or a collector."""

from __future__ import annotations

import re
import socket
import sys
from collections import deque
from datetime import UTC, datetime

import trio

from ..transport.connection import ConnectionLost, DialFailed, dialler
from ..transport.system import MACHINE, System

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
SD_ID = (
    "sorreldock@32473"  # 32473 is the enterprise number for documentation; the archive has none of its own
)
MOST_WAITING = 2000
DIAL_S = 2.0
WRITE_S = 5.0
UNFIT = re.compile(r"[^\x21-\x7e]")


def header_field(text: str, longest: int) -> str:
    return UNFIT.sub("_", text)[:longest] or "-"


def sd_name(text: str) -> str:
    return re.sub(r'[^\x21-\x7e]|[="\]]', "_", text)[:32] or "_"


def sd_value(value: object) -> str:
    r"""A parameter's value: `"`, `\` and `]` escaped as RFC 5424 section 6.3.3 asks; no line breaks."""
    text = "".join(c if c.isprintable() else " " for c in str(value))
    return re.sub(r'(["\\\]])', r"\\\1", text)


def record(
    severity: str, host: str, message_id: str, text: str, data: dict[str, object], at: datetime, pid: int
) -> bytes:
    """One record, without a line's end."""
    stamp = at.astimezone(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    params = "".join(f' {sd_name(name)}="{sd_value(value)}"' for name, value in data.items())
    structured = f"[{SD_ID}{params}]" if params else "-"
    priority = FACILITY * 8 + SEVERITIES[severity]
    message = "".join(c if c.isprintable() else " " for c in text)
    head = (
        f"<{priority}>1 {stamp} {header_field(host, 255)} sorreldock {pid} "
        f"{header_field(message_id, 32)} {structured} "
    )
    # Without a byte-order mark MSG is of any encoding (MSG-ANY); ours are ASCII but for what peers wrote.
    return (head + message).encode("utf-8", "replace")


class Syslog:
    """The log's actor. `log` never blocks: past its bound a record is dropped and counted."""

    def __init__(
        self,
        host: str = "",
        collector: str = "",
        least: str = "info",
        descriptor: int | None = None,
        system: System = MACHINE,
    ) -> None:
        self.host = host or socket.gethostname()
        self.collector = collector
        self._system = system
        self._dial = dialler(system)
        self.dropped = 0
        self._least = SEVERITIES[least]
        self._descriptor = sys.stderr.fileno() if descriptor is None else descriptor
        self._waiting: deque[bytes] = deque()
        self._wake = trio.Event()

    def log(self, severity: str, message_id: str, text: str, **data: object) -> None:
        if SEVERITIES[severity] > self._least:
            return
        if len(self._waiting) >= MOST_WAITING:
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
        self._waiting.append(record(severity, self.host, message_id, text, data, at, system.pid))

    async def run(self) -> None:
        if self.collector:
            await self._run_collector()
        else:
            await self._run_descriptor()

    async def _next(self) -> None:
        while not self._waiting:
            self._wake = trio.Event()
            await self._wake.wait()

    async def _run_descriptor(self) -> None:
        while True:
            await self._next()
            lines = b"".join(self._waiting.popleft() + b"\n" for _ in range(min(len(self._waiting), 100)))
            await self._system.write(self._descriptor, lines)

    async def _run_collector(self) -> None:
        """Octet-counted frames (RFC 6587 section 3.4.1) over TCP; reconnects with a doubling pause."""
        pause = 0.1
        while True:
            await self._next()
            try:
                connection = await self._dial(self.collector, DIAL_S, lambda: None)
            except DialFailed:
                await trio.sleep(pause)
                pause = min(pause * 2, 5.0)
                continue
            try:
                while True:
                    await self._next()
                    if connection.stale:  # a collector says nothing: readable means that it has closed
                        raise ConnectionLost("closed by the collector")
                    frame = self._waiting[0]
                    with trio.fail_after(WRITE_S):
                        await connection.send(b"%d %b" % (len(frame), frame))
                    self._waiting.popleft()
                    pause = 0.1
            except (ConnectionLost, trio.TooSlowError):
                await trio.sleep(pause)
            finally:
                connection.close()

    async def flush(self, within_s: float) -> None:
        """Give the last records a moment to get out."""
        with trio.move_on_after(within_s):
            while self._waiting:
                await trio.sleep(0.01)
