"""TCP connections with a ring buffer for each direction, and how to open them."""

from __future__ import annotations

import array
import fcntl
import math
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import trio

from .failures import is_local_shortage, is_transient, retry_transient
from .ring import RingBuffer
from .system import REAL_SYSTEM, System

RING_BYTES = 16384
# States of the kernel's tcp_info (include/net/tcp_states.h) in which the peer has closed its side.
TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING = 7, 8, 9, 11
CLOSED_BY_PEER_STATES = frozenset({TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING})
# The part of tcp_info (include/uapi/linux/tcp.h) up to tcpi_last_data_recv, in ms.
TCP_INFO_TO_LAST_DATA = struct.Struct("=52xI")
MAX_QUERIES = 4  # of a socket's state, which may fail for a moment
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
TCP_NOTSENT_LOWAT = 25  # of include/uapi/linux/tcp.h; not in the socket module
STALL_CHECKS = 5  # of whether a peer that takes nothing more has acknowledged something, in the time for it
DISCARD_BUFFER = bytearray(65536)  # shared by all connections, for received data that is discarded


class ConnectionLost(Exception):
    """The connection was reset by the peer, or failed otherwise."""


class WriteStalled(ConnectionLost):
    """The peer has taken nothing of what was written for too long."""


class DialFailed(Exception):
    """A connection could not be opened: refused, timed out, or no descriptor available."""


class NoListener(DialFailed):
    """The peer's machine is reachable, but no process listens at the address."""


class LocalShortage(DialFailed):
    """A connection failed for lack of a local descriptor, port or memory, whatever the state of the peer."""


class Connection:
    """A byte stream in both directions.

    One task may read while another one writes, but no two tasks may read, or write, at the same time.
    """

    __slots__ = (
        "_closed",
        "_incoming",
        "_no_delay",
        "_on_close",
        "_outgoing",
        "_reading",
        "_sock",
        "_wait_readable",
        "before_read",
        "received_at",
    )

    def __init__(
        self,
        sock: Any,
        on_close: Callable[[], None],
        wait_readable: Callable[[Any], Awaitable[None]] = trio.lowlevel.wait_readable,
    ) -> None:
        self._sock = sock
        self._wait_readable = wait_readable
        self._on_close = on_close
        self._closed = self._reading = False
        self.before_read: Callable[[], Awaitable[None]] | None = None  # awaited when bytes have arrived
        self.received_at = trio.current_time()  # when bytes were last read, at first of its opening
        self._incoming = RingBuffer(RING_BYTES)
        self._outgoing = RingBuffer(RING_BYTES)
        self._no_delay = sock.family == socket.AF_UNIX or set_no_delay(sock)

    async def fill(self) -> int:
        """Read into the ring buffer and return the count of bytes, 0 at the peer's end of stream.

        Wait for ever while the buffer is full.
        """
        if not self._incoming.free_bytes:
            await trio.sleep_forever()
        self._check_open()
        try:
            if not self._incoming and not self._sock.is_readable():
                self._incoming.free_memory()
                await self._wait_readable(self._sock)
            if self.before_read is not None:
                await self.before_read()
            self._check_open()
            self._reading = True  # bytes leave the kernel a scheduler pass before they are counted below
            count: int = await retry_transient(lambda: self._sock.recv_into(self._incoming.writable_span()))
        except (OSError, trio.ClosedResourceError) as error:
            raise ConnectionLost(str(error)) from None
        finally:
            self._reading = False
        self._incoming.commit_written(count)
        if count:
            self.received_at = trio.current_time()
        return count

    def _check_open(self) -> None:
        """Raise ConnectionLost if another task has closed the connection."""
        if self._closed:
            raise ConnectionLost("closed by this side")

    def fileno(self) -> int:
        number: int = self._sock.fileno()
        return number

    @property
    def unread(self) -> int:
        """The number of received bytes in the ring buffer."""
        return len(self._incoming)

    async def receive(self) -> bytes:
        """Return the bytes that have arrived; empty at the peer's end of stream."""
        if not self._incoming:
            await self.fill()
        return self._incoming.read_all()

    def release_buffers(self) -> None:
        """Free the memory for received data while no request is in progress."""
        self._incoming.free_memory()

    async def send(self, *parts: bytes | memoryview, stall_s: float = math.inf) -> None:
        """Write all parts, gathered in the ring buffer so that a short head leaves together with its body.

        Raises WriteStalled if the peer takes nothing for `stall_s`, however long it takes for all.
        """
        try:
            for part in parts:
                view = memoryview(part)
                while view:
                    view = view[self._outgoing.write(view) :]
                    if not self._outgoing.free_bytes:
                        await self._write_some(stall_s)
            while self._outgoing:
                await self._write_some(stall_s)
            self._outgoing.free_memory()
        except (OSError, trio.ClosedResourceError) as error:  # the latter if another task closed it
            raise ConnectionLost(str(error)) from None

    async def _write_some(self, stall_s: float) -> None:
        if not self._no_delay:
            self._no_delay = set_no_delay(self._sock)
        unacknowledged: int | None = None  # at the last check
        checks_left = STALL_CHECKS
        while checks_left:
            with trio.move_on_after(stall_s / STALL_CHECKS):
                sent = await retry_transient(lambda: self._sock.send(self._outgoing.readable_span()))
                self._outgoing.consume(sent)
                return
            # The kernel takes no more before a large part of what it holds has been acknowledged.
            before, unacknowledged = unacknowledged, self.unacknowledged_bytes()
            if before is not None:
                checks_left = STALL_CHECKS if unacknowledged < before else checks_left - 1
        raise WriteStalled("the peer takes nothing")

    async def lingering_close(self, timeout_s: float, quiet_s: float) -> None:
        """Shut down sending, then read and discard until the peer has closed or received everything.

        It has received everything once its machine has acknowledged it and it sends nothing for `quiet_s`.
        Protects the last answer: if the socket is closed while bytes still arrive, the system sends a reset,
        on which the peer may discard what it has not read yet. A peer on a slow link gets the time that it
        needs; it is given up when it has acknowledged nothing more for `timeout_s`.
        """
        try:
            with trio.move_on_after(timeout_s) as progress:
                await retry_transient(self._shut_down)
                unacknowledged = self.unacknowledged_bytes()
                while True:
                    with trio.move_on_after(quiet_s) as quiet:
                        if not await retry_transient(lambda: self._sock.recv_into(DISCARD_BUFFER)):
                            return
                    before, unacknowledged = unacknowledged, self.unacknowledged_bytes()
                    if quiet.cancelled_caught and not unacknowledged:
                        return
                    if unacknowledged < before:
                        progress.deadline = trio.current_time() + timeout_s
        except (OSError, trio.ClosedResourceError):
            pass  # the peer has closed, or the connection was evicted

    async def _shut_down(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed or reset the connection, without waiting.

        The kernel reports a close behind any amount of unread bytes. On sockets without TCP_INFO, received
        bytes are read into the ring buffer; a close behind more than fits is noticed later.
        """
        if self.closed_by_peer:
            return True
        if self._reading or not self._incoming.free_bytes or not self._sock.is_readable():
            return False
        try:
            count = read_now(self._sock, self._incoming.writable_span())
        except BlockingIOError:
            return False
        except OSError as error:
            return not is_transient(error)
        except trio.ClosedResourceError:
            return True
        self._incoming.commit_written(count)
        return count == 0

    @property
    def closed_by_peer(self) -> bool:
        """Whether the kernel has received the peer's close; nothing is read for this."""
        return self._closed or closed_by_peer(self._sock)

    @property
    def readable(self) -> bool:
        """Whether bytes or the peer's end of stream have arrived."""
        return not self._closed and (self._reading or bool(self._incoming) or self._sock.is_readable())

    @property
    def is_stale(self) -> bool:
        """Whether an idle connection was closed by the peer or has received unexpected bytes."""
        return self._closed or self.readable

    def unacknowledged_bytes(self) -> int:
        """Return how many written bytes the peer's machine has not acknowledged; 0 if that is unknown."""
        if self._closed or not isinstance(self._sock, trio.socket.SocketType):
            return 0
        count = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            return 0
        return count[0]

    def enlarge_receive_buffer(self, size: int) -> None:
        """Let the kernel hold at least `size` received bytes, as far as the system allows.

        The peer's close can be noticed behind that many bytes that stay unread.
        """
        with suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def limit_unsent(self, size: int) -> None:
        """Let the kernel hold little more than `size` bytes that it has not sent yet.

        A slow reader then slows its server down, instead of taking work and memory for its whole answer.
        """
        with suppress(OSError):
            self._sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, size)

    def last_arrival_age_s(self) -> float:
        """Return how long ago the kernel received the last bytes; 0 if that can't be queried.

        Bytes wait in the kernel before the connection is accepted, and while the program is busy.
        """
        return 0.0 if self._closed else last_arrival_age_s(self._sock)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._sock.close()
            self._on_close()

    def abort(self) -> None:
        """Close the connection with a reset; bytes that the peer's machine has not received are discarded."""
        if not self._closed:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close()


def query_tcp_info(sock: Any, size: int) -> bytes:
    """Return the first `size` bytes of the kernel's tcp_info, or fewer; none if it can't be queried.

    A query may fail for lack of a resource (getsockopt(2)), and the next one succeed. What it would have
    shown, a close or the age of a request, must not be missed for that.
    """
    if not isinstance(sock, trio.socket.SocketType) or sock.family == socket.AF_UNIX:
        return b""
    for _ in range(MAX_QUERIES):
        try:
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        except OSError as error:
            if not is_transient(error):
                break
    return b""


def closed_by_peer(sock: Any) -> bool:
    """Return whether the kernel has received the peer's FIN or RST; False if that can't be queried."""
    info = query_tcp_info(sock, 1)
    return bool(info) and info[0] in CLOSED_BY_PEER_STATES  # else the next read will report a close


def last_arrival_age_s(sock: Any) -> float:
    """Return the seconds since the kernel received the last bytes on a socket; 0 if that can't be queried."""
    info = query_tcp_info(sock, TCP_INFO_TO_LAST_DATA.size)
    if len(info) < TCP_INFO_TO_LAST_DATA.size:
        return 0.0
    age_ms: int = TCP_INFO_TO_LAST_DATA.unpack(info)[0]
    return age_ms / 1000.0


def set_no_delay(sock: Any) -> bool:
    """Turn off Nagle's algorithm; return False on failure, which is no reason to close the connection."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        return False
    return True


def read_now(sock: Any, buffer: memoryview) -> int:
    """Read from a readable socket without a checkpoint; trio's own recv_into lets other tasks run."""
    if not isinstance(sock, trio.socket.SocketType):  # a simulated socket
        count: int = sock.read_now(buffer)
        return count
    stdlib_socket = socket.socket(sock.family, socket.SOCK_STREAM, 0, fileno=sock.fileno())
    try:
        return stdlib_socket.recv_into(buffer)
    finally:
        stdlib_socket.detach()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `10.0.0.4:3000` or `[::1]:3000`; raise ValueError if it is malformed."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)


Dial = Callable[[str, float, Callable[[], None]], Awaitable[Connection]]


def dialler(system: System) -> Dial:
    """Return `dial` bound to the sockets of this system."""
    return lambda address, timeout_s, on_close: dial(address, timeout_s, on_close, system)


async def dial(
    address: str, timeout_s: float, on_close: Callable[[], None], system: System = REAL_SYSTEM
) -> Connection:
    """Open a connection within `timeout_s`; if that fails, call `on_close` and raise.

    Failures for lack of a local resource are retried until the timeout, then raise LocalShortage. A refused
    connection raises NoListener, anything else DialFailed.
    """
    try:
        host_and_port = split_address(address)
    except ValueError as error:
        on_close()
        raise DialFailed(str(error)) from None
    shortages: list[OSError] = []  # of the latest attempt to connect

    async def connect() -> Any:
        shortages.clear()
        return await _connect_socket(host_and_port, system)

    def is_shortage(error: OSError) -> bool:
        shortages.append(error)
        return is_local_shortage(error)

    try:
        with trio.fail_after(timeout_s):
            sock = await retry_transient(connect, is_shortage)
    except trio.TooSlowError:
        on_close()
        raise LocalShortage(str(shortages[0])) if shortages else DialFailed("timed out") from None
    except OSError as error:
        on_close()
        failure = NoListener if isinstance(error, ConnectionRefusedError) else DialFailed
        raise failure(str(error)) from None
    except trio.Cancelled:
        on_close()
        raise
    return Connection(sock, on_close, system.wait_readable)


async def _connect_socket(host_and_port: tuple[str, int], system: System) -> Any:
    sock = system.socket(socket.AF_INET6 if ":" in host_and_port[0] else socket.AF_INET)
    try:
        await sock.connect(host_and_port)
    except BaseException:
        sock.close()
        raise
    return sock
