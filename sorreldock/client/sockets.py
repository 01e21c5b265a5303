"""TCP connections for asyncio and trio alike: non-blocking sockets on which anyio waits."""

from __future__ import annotations

import array
import errno
import fcntl
import socket
import termios
from collections.abc import Awaitable, Callable

import anyio

RECEIVE_BYTES = 64 * 1024


class ConnectionLost(Exception):
    """The connection ended; `unread` is true if the peer can't have read all that was sent."""

    def __init__(self, cause: str, unread: bool = False) -> None:
        super().__init__(cause)
        self.cause, self.unread = cause, unread


class DialFailed(Exception):
    """No connection could be opened, and nothing was sent."""


class Socket:
    """A TCP connection for one reading and one writing task, usable even after either is cancelled."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.closed = False
        self.all_sent = True

    async def send(self, data: bytes) -> None:
        """Send all of the data; raise ConnectionLost when the connection has ended."""
        view = memoryview(data)
        self.all_sent = False
        while view:
            try:
                view = view[self._sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                await self._wait_writable()
            except OSError as error:
                raise ConnectionLost(_describe(error), unread=True) from None
        self.all_sent = True

    async def receive(self) -> bytes:
        """Return received data, b"" at the peer's end of sending; raise ConnectionLost at a reset."""
        while True:
            try:
                return self._sock.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                await self._wait_readable()
            except OSError as error:
                # A reset: the peer's kernel held bytes that were not read, or didn't know the connection.
                raise ConnectionLost(_describe(error), unread=True) from None

    def unread_by_peer(self) -> bool:
        """Return whether the peer, whose end has come, can't have read all that was sent.

        This holds when some of it was not acknowledged by the peer's kernel, or was rejected there.
        """
        if not self.all_sent:
            return True
        try:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            unacknowledged = array.array("i", [0])
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, unacknowledged)
            return unacknowledged[0] > 0
        except OSError:
            return True

    def is_readable(self) -> bool:
        """Return whether data, the peer's end of sending or an error can be read without waiting."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    async def _wait_readable(self) -> None:
        try:
            await anyio.wait_readable(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionLost("the connection was closed locally") from None

    async def _wait_writable(self) -> None:
        try:
            await anyio.wait_writable(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionLost("the connection was closed locally") from None

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self._sock.fileno() >= 0:
                anyio.notify_closing(self._sock)
                self._sock.close()

    def close_after_fork(self) -> None:
        """Close a forked child's copy of the descriptor, without the event loop."""
        self.closed = True
        self._sock.close()


Dial = Callable[[str, float], Awaitable[Socket]]


def _describe(error: OSError) -> str:
    return (error.strerror or str(error)).lower()


async def dial(address: str, silence_s: float) -> Socket:
    """Connect to `host:port`, and raise DialFailed if that fails; the caller bounds the time.

    TCP_USER_TIMEOUT (RFC 5482) ends a connection whose peer acknowledges nothing for `silence_s`.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    try:
        addresses = await anyio.getaddrinfo(host, int(port), type=socket.SOCK_STREAM)
    except OSError as error:
        raise DialFailed(f"{host}: {_describe(error)}") from None
    last_error = "no address"
    for family, kind, protocol, _, sockaddr in addresses[:4]:
        sock = socket.socket(family, kind, protocol)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if hasattr(socket, "TCP_USER_TIMEOUT"):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000))
            code = sock.connect_ex(sockaddr)
            if code == errno.EINPROGRESS:
                await anyio.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code == 0:
                return Socket(sock)
            last_error = errno.errorcode.get(code, str(code))
            last_error = {"ECONNREFUSED": "connection refused"}.get(last_error, last_error)
        except OSError as error:
            last_error = _describe(error)
        except BaseException:
            sock.close()
            raise
        sock.close()
    raise DialFailed(last_error)
