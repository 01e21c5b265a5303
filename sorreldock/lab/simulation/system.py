"""The operating system that a simulated router runs on."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from .network import Host, VirtualSocket

START_UNIX_TIME_S = 1_780_000_000.0  # the Unix time at which each simulation starts
# The start of a log line up to its timestamp, which is left out of the trace.
LOG_STAMP = re.compile(rb"^<\d+>1 \S+ ")


async def _wait_readable(sock: VirtualSocket) -> None:
    await sock.wait_readable()


class VirtualSystem:
    """A host of the simulation as a router's `System`."""

    clock: trio.abc.Clock | None = None  # the simulation passes its virtual clock to `trio.run` itself
    wait_readable: Callable[[VirtualSocket], Awaitable[None]] = staticmethod(_wait_readable)

    def __init__(self, host: Host, pid: int) -> None:
        self.host, self.pid = host, pid
        self.wall_offset_s = 0.0
        self._signals: trio.MemorySendChannel[int] | None = None
        self._undelivered: list[int] = []

    def socket(self, family: int) -> VirtualSocket:
        return self.host.socket()

    def inherited(self, descriptor: int) -> VirtualSocket:
        raise OSError("a simulated host passes no sockets to its processes")

    def wall(self) -> float:
        return START_UNIX_TIME_S + trio.current_time() + self.wall_offset_s

    @contextmanager
    def signals(self, *numbers: int) -> Iterator[AsyncIterator[int]]:
        send, receive = trio.open_memory_channel[int](64)
        for number in self._undelivered:
            send.send_nowait(number)
        self._signals, self._undelivered = send, []
        try:
            yield receive
        finally:
            self._signals = None

    def deliver(self, number: int) -> None:
        """Deliver a signal to the process, or keep it until the process receives signals."""
        self.host.network.record(f"signal {self.host.name} {number}")
        if self._signals is None:
            self._undelivered.append(number)
        else:
            self._signals.send_nowait(number)

    async def write(self, descriptor: int, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        for line in data.splitlines():
            self.host.network.record(
                f"log {self.host.name} {LOG_STAMP.sub(b'', line).decode('utf-8', 'replace')}"
            )
