"""TCP for asyncio and trio alike: plain non-blocking sockets, which anyio waits for."""

from __future__ import annotations

import array
import errno
import fcntl
import socket
import termios
from collections.abc import Awaitable, Callable

import anyio

CHUNK = 64 * 1024


class ConnectionLost(Exception):
    """The connection ended. `unread`: the peer can't have read all that was sent."""

    def __init__(self, cause: str, unread: bool = False) -> None:
        super().__init__(cause)
        self.cause, self.unread = cause, unread


class DialFailed(Exception):
    """No connection came up, and nothing was sent."""


class Socket:
    """A connection. One task writes at a time, one reads; cancelling either leaves it usable."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.closed = False
        self.all_sent = True

    async def send(self, data: bytes) -> None:
        """All of it; Lost when the peer has gone."""
        view = memoryview(data)
        self.all_sent = False
        while view:
            try:
                view = view[self._sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                await self._writable()
            except OSError as error:
                raise ConnectionLost(_said(error), unread=True) from None
        self.all_sent = True

    async def receive(self) -> bytes:
        """What has arrived; b"" once the peer has ended its sending. Lost for a reset."""
        while True:
            try:
                return self._sock.recv(CHUNK)
            except (BlockingIOError, InterruptedError):
                await self._readable()
            except OSError as error:
                # A reset: the peer's machine held bytes that nobody had read, or knew no such connection.
                raise ConnectionLost(_said(error), unread=True) from None

    def unread_by_peer(self) -> bool:
        """Whether, after the peer's end, some of what was sent had not even reached its machine, or was
        turned away there: then nobody has read the whole of it.
        """
        if not self.all_sent:
            return True
        try:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            waiting = array.array("i", [0])
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, waiting)
            return waiting[0] > 0
        except OSError:
            return True

    def is_readable(self) -> bool:
        """Whether the peer has said something or has gone, unasked."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    async def _readable(self) -> None:
        try:
            await anyio.wait_readable(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionLost("closed here") from None

    async def _writable(self) -> None:
        try:
            await anyio.wait_writable(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionLost("closed here") from None

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self._sock.fileno() >= 0:
                anyio.notify_closing(self._sock)
                self._sock.close()

    def close_after_fork(self) -> None:
        """Close this process's copy alone, without the event loop: for a forked child."""
        self.closed = True
        self._sock.close()


Dial = Callable[[str, float], Awaitable[Socket]]


def _said(error: OSError) -> str:
    return (error.strerror or str(error)).lower()


async def dial(address: str, silence_s: float) -> Socket:
    """Connect to `host:port`; the caller bounds the time. DialFailed says why not.

    TCP_USER_TIMEOUT (RFC 5482) ends a connection whose peer acknowledges nothing for `silence_s`.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        found = await anyio.getaddrinfo(host, int(port), type=socket.SOCK_STREAM)
    except OSError as error:
        raise DialFailed(f"{host}: {_said(error)}") from None
    last = "no address"
    for family, kind, protocol, _, where in found[:4]:
        sock = socket.socket(family, kind, protocol)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if hasattr(socket, "TCP_USER_TIMEOUT"):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000))
            code = sock.connect_ex(where)
            if code == errno.EINPROGRESS:
                await anyio.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code == 0:
                return Socket(sock)
            last = errno.errorcode.get(code, str(code))
            last = {"ECONNREFUSED": "connection refused"}.get(last, last)
        except OSError as error:
            last = _said(error)
        except BaseException:
            sock.close()
            raise
        sock.close()
    raise DialFailed(last)
