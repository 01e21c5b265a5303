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
    """The connection ended, for the reason `cause`."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class DialFailed(Exception):
    """No connection could be opened, and nothing was sent."""


class Socket:
    """A TCP connection for one reading and one writing task, usable even after either is cancelled."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.closed = False
        self.sent_bytes = 0  # accepted by the local kernel
        self._failed = False  # an error has been read from the socket
        self._acknowledged_bytes: int | None = None  # when the peer's FIN was read

    @property
    def readable_by_peer(self) -> int:
        """An upper bound for the bytes, from the connection's first one on, that the peer's process has read.

        This is what the local kernel has accepted, and after the peer's FIN what that acknowledges (RFC 9293
        3.10.7.4): later bytes were not there when the peer closed. A reset acknowledges nothing, and a peer
        that is killed may cause one long after it has read everything.
        """
        return self.sent_bytes if self._acknowledged_bytes is None else self._acknowledged_bytes

    async def send(self, data: bytes) -> None:
        """Send all of the data; raise ConnectionLost when the connection has ended."""
        view = memoryview(data)
        while view:
            try:
                count = self._sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._wait_writable()
            except OSError as error:
                self._failed = True
                raise ConnectionLost(_describe(error)) from None
            else:
                self.sent_bytes += count
                view = view[count:]

    async def receive(self) -> bytes:
        """Return received data, b"" at the peer's end of sending; raise ConnectionLost at a reset."""
        while True:
            try:
                data = self._sock.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                await self._wait_readable()
            except OSError as error:
                self._failed = True
                raise ConnectionLost(_describe(error)) from None
            else:
                if not data:
                    self._record_fin()
                return data

    def _record_fin(self) -> None:
        """Keep the count of bytes that the peer's FIN acknowledges.

        After an error was read, the kernel reports an end of stream for a reset as well.
        """
        if not self._failed and self._acknowledged_bytes is None:
            unacknowledged = self._unacknowledged_bytes()
            if unacknowledged is not None:
                self._acknowledged_bytes = self.sent_bytes - unacknowledged

    def _unacknowledged_bytes(self) -> int | None:
        """Return the count of accepted bytes that the peer has not acknowledged; None if it is unknown."""
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            return None
        return count[0]

    def is_readable(self) -> bool:
        """Return whether data, the peer's end of sending or an error can be read without waiting."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self._failed = True
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
