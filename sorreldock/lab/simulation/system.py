"""A machine of the world as the router's `System`."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from .network import Host, VirtualSocket

START_UNIX_TIME_S = 1_780_000_000.0  # the world's Unix time at its start
STAMP = re.compile(rb"^<\d+>1 \S+ ")


async def _readable(sock: VirtualSocket) -> None:
    await sock.wait_readable()


class VirtualSystem:
    """A virtual machine as a router's `System`."""

    clock: trio.abc.Clock | None = None  # the whole world's, which its run is given
    wait_readable: Callable[[VirtualSocket], Awaitable[None]] = staticmethod(_readable)

    def __init__(self, host: Host, pid: int) -> None:
        self.host, self.pid = host, pid
        self.wall_offset_s = 0.0
        self._signals: trio.MemorySendChannel[int] | None = None
        self._early: list[int] = []

    def socket(self, family: int) -> VirtualSocket:
        return self.host.socket()

    def inherited(self, descriptor: int) -> VirtualSocket:
        raise OSError("a machine of the world holds no sockets for its processes")

    def wall(self) -> float:
        return START_UNIX_TIME_S + trio.current_time() + self.wall_offset_s

    @contextmanager
    def signals(self, *numbers: int) -> Iterator[AsyncIterator[int]]:
        send, receive = trio.open_memory_channel[int](64)
        for number in self._early:
            send.send_nowait(number)
        self._signals, self._early = send, []
        try:
            yield receive
        finally:
            self._signals = None

    def deliver(self, number: int) -> None:
        self.host.network.record(f"signal {self.host.name} {number}")
        if self._signals is None:
            self._early.append(number)
        else:
            self._signals.send_nowait(number)

    async def write(self, descriptor: int, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        for line in data.splitlines():
            self.host.network.record(
                f"log {self.host.name} {STAMP.sub(b'', line).decode('utf-8', 'replace')}"
            )
