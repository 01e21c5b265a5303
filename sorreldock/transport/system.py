"""What a program stands on: its sockets, its clocks, its signals and the descriptor of its log.

`program` holds one `System` and hands down what each part needs of it; nothing else of the router knows which
one it is. `MACHINE` is the real one. Another (the lab's world) lets the same program run on a virtual clock
and an in-memory network. The monotonic clock is trio's own, which `clock` replaces for the whole run; the one
source of randomness is the configuration's seed.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractContextManager
from typing import Any, Protocol

import trio


class Socket(Protocol):
    """A TCP socket, as `trio.socket.SocketType` is one."""

    @property
    def family(self) -> int: ...

    def setsockopt(self, level: int, option: int, value: int, /) -> None: ...

    def is_readable(self) -> bool: ...

    async def recv_into(self, buffer: Any, /) -> int: ...

    async def send(self, data: Any, /) -> int: ...

    async def connect(self, address: Any, /) -> None: ...

    async def bind(self, address: Any, /) -> None: ...

    def listen(self, backlog: int, /) -> None: ...

    async def accept(self) -> tuple[Any, Any]: ...

    def getsockname(self) -> Any: ...

    def shutdown(self, how: int, /) -> None: ...

    def close(self) -> None: ...

    def __enter__(self) -> Any: ...

    def __exit__(self, *error: Any) -> None: ...


class System(Protocol):
    """What the program needs of the system below."""

    @property
    def clock(self) -> trio.abc.Clock | None:
        """For `trio.run`; None: trio's own."""

    @property
    def pid(self) -> int: ...

    @property
    def wait_readable(self) -> Callable[[Any], Awaitable[None]]:
        """Waits until a socket of this system has something to read, or to accept."""

    def socket(self, family: int) -> Any:
        """A new `Socket`; OSError when there can be none."""

    def inherited(self, descriptor: int) -> Any:
        """The `Socket` that a descriptor held by the platform is; OSError when it is none."""

    def wall(self) -> float:
        """Unix time in seconds; it may step."""

    def signals(self, *numbers: int) -> AbstractContextManager[AsyncIterator[int]]:
        """The signals that come while the block is open."""

    async def write(self, descriptor: int, data: bytes) -> None:
        """Write a log's lines, without holding up anybody else; errors are passed over."""


class Machine:
    """The real one."""

    clock: trio.abc.Clock | None = None

    def __init__(self) -> None:
        self.wait_readable: Callable[[Any], Awaitable[None]] = trio.lowlevel.wait_readable
        self.wall = time.time

    @property
    def pid(self) -> int:
        return os.getpid()

    def socket(self, family: int) -> trio.socket.SocketType:
        return trio.socket.socket(family, socket.SOCK_STREAM)

    def inherited(self, descriptor: int) -> trio.socket.SocketType:
        return trio.socket.from_stdlib_socket(socket.socket(fileno=descriptor))

    def signals(self, *numbers: int) -> AbstractContextManager[AsyncIterator[int]]:
        return trio.open_signal_receiver(*numbers)

    async def write(self, descriptor: int, data: bytes) -> None:
        # In a thread: whoever reads our standard error may be slow, and RPCs must not wait for it.
        await trio.to_thread.run_sync(_write, descriptor, data, abandon_on_cancel=True)


def is_listening(descriptor: int) -> bool:
    """Whether an inherited descriptor is a listening socket; OSError when it is no socket of ours at all."""
    with socket.socket(fileno=os.dup(descriptor)) as held:
        return bool(held.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))


def _write(descriptor: int, data: bytes) -> None:
    try:
        while data:
            data = data[os.write(descriptor, data) :]
    except OSError:
        pass  # nobody reads it any longer


MACHINE = Machine()
