"""The operating system's services used by the program: sockets, clocks, signals and log output.

`program` holds one `System` and passes on what each part needs; no other part of the router depends on which
one it is. `REAL_SYSTEM` is the operating system itself. The lab has another one, which runs the same program
on a virtual clock and an in-memory network. The monotonic clock is trio's own, which `clock` replaces for the
whole run; the only source of randomness is the configuration's seed.
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
    """A TCP socket with the used part of the interface of `trio.socket.SocketType`."""

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
    """The interface between the program and the operating system or its simulation."""

    @property
    def clock(self) -> trio.abc.Clock | None:
        """The clock for `trio.run`; None for trio's own."""

    @property
    def pid(self) -> int: ...

    @property
    def wait_readable(self) -> Callable[[Any], Awaitable[None]]:
        """A function that waits until a socket has bytes to read or a connection to accept."""

    def socket(self, family: int) -> Any:
        """Return a new `Socket`; raise OSError if none can be created."""

    def inherited(self, descriptor: int) -> Any:
        """Return the `Socket` of an inherited descriptor; raise OSError if it isn't a socket."""

    def wall(self) -> float:
        """Return the Unix time in seconds; it may jump when the clock is set."""

    def signals(self, *numbers: int) -> AbstractContextManager[AsyncIterator[int]]:
        """Iterate over the signals that arrive while the context is open."""

    async def write(self, descriptor: int, data: bytes) -> None:
        """Write log lines without blocking other tasks; ignore errors."""


class RealSystem:
    """The services of the real operating system."""

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
        # In a thread, since the reader of standard error may be slow and RPCs must not wait for it.
        await trio.to_thread.run_sync(_write, descriptor, data, abandon_on_cancel=True)


def is_listening(descriptor: int) -> bool:
    """Return whether an inherited descriptor is a listening socket; raise OSError if it isn't a socket."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        return bool(duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))


def _write(descriptor: int, data: bytes) -> None:
    try:
        while data:
            data = data[os.write(descriptor, data) :]
    except OSError:
        pass  # the reader has closed the descriptor


REAL_SYSTEM = RealSystem()
