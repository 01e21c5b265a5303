"""A TCP connection with one ring buffer a direction."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from .failures import is_local_shortage, is_transient, retry_transient
from .ring import RingBuffer
from .system import MACHINE, System

RING_BYTES = 16384
# States of the kernel's tcp_info (include/net/tcp_states.h) in which the peer has ended its side.
TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING = 7, 8, 9, 11
ENDED_BY_PEER = frozenset({TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING})
DISCARDED = bytearray(65536)  # where all connections write what nobody will read


class ConnectionLost(Exception):
    """The peer has reset the connection, or the machine behind it is gone."""


class DialFailed(Exception):
    """No connection came up: refused, timed out, or no descriptor to spare."""


class NoListener(DialFailed):
    """The machine is there, and no process listens at the address."""


class LocalShortage(DialFailed):
    """This machine had no descriptor, port or memory for a connection: it says nothing of the peer."""


class Connection:
    """Bytes in both directions. Reading and writing may go on in two tasks; each alone in one at a time."""

    __slots__ = (
        "_closed",
        "_incoming",
        "_no_delay",
        "_on_close",
        "_outgoing",
        "_reading",
        "_sock",
        "_wait_readable",
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
        self._incoming = RingBuffer(RING_BYTES)
        self._outgoing = RingBuffer(RING_BYTES)
        self._no_delay = sock.family == socket.AF_UNIX or set_no_delay(sock)

    async def fill(self) -> int:
        """Read into the ring and leave it there; 0 at the end. Waits for ever while the ring is full."""
        if not self._incoming.free_bytes:
            await trio.sleep_forever()
        try:
            if not self._incoming and not self._sock.is_readable():
                self._incoming.free_memory()
                await self._wait_readable(self._sock)
            self._reading = True  # bytes leave the kernel a pass before they are counted below
            count: int = await retry_transient(lambda: self._sock.recv_into(self._incoming.writable_span()))
        except (OSError, trio.ClosedResourceError) as error:
            raise ConnectionLost(str(error)) from None
        finally:
            self._reading = False
        self._incoming.commit_written(count)
        return count

    def fileno(self) -> int:
        number: int = self._sock.fileno()
        return number

    @property
    def unread(self) -> int:
        return len(self._incoming)

    async def receive(self) -> bytes:
        """What has arrived, for the parser; empty at the peer's end."""
        if not self._incoming:
            await self.fill()
        return self._incoming.read_all()

    def release_buffers(self) -> None:
        """Nothing is under way."""
        self._incoming.free_memory()

    async def send(self, *parts: bytes) -> None:
        """Write all parts; they meet in the ring, so that a short head and its body leave together."""
        try:
            for part in parts:
                view = memoryview(part)
                while view:
                    view = view[self._outgoing.write(view) :]
                    if not self._outgoing.free_bytes:
                        await self._push()
            while self._outgoing:
                await self._push()
            self._outgoing.free_memory()
        except (OSError, trio.ClosedResourceError) as error:  # the latter where another task has closed it
            raise ConnectionLost(str(error)) from None

    async def _push(self) -> None:
        if not self._no_delay:
            self._no_delay = set_no_delay(self._sock)
        sent = await retry_transient(lambda: self._sock.send(self._outgoing.readable_span()))
        self._outgoing.consume(sent)

    async def lingering_close(self, within_s: float, quiet_s: float) -> None:
        """End sending, then read on and discard until the peer ends too. Guards the last answer: a close
        while bytes still come makes the system send a reset, which may overtake what is not read yet.
        """
        try:
            with trio.move_on_after(within_s):
                await retry_transient(self._shut_down)
                while True:
                    with trio.move_on_after(quiet_s) as quiet:
                        if not await retry_transient(lambda: self._sock.recv_into(DISCARDED)):
                            return
                    if quiet.cancelled_caught:
                        return
        except (OSError, trio.ClosedResourceError):
            pass  # it has gone, or had to make room

    async def _shut_down(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)

    def has_peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection; a look without waiting.

        The kernel tells of an end behind any amount of unread bytes. Elsewhere what has come is read into the
        ring, and an end behind more than that shows later.
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
        """What the kernel knows of the peer's end, without reading."""
        return self._closed or closed_by_peer(self._sock)

    @property
    def readable(self) -> bool:
        """Whether something has arrived, be it the peer's end."""
        return not self._closed and (self._reading or bool(self._incoming) or self._sock.is_readable())

    @property
    def stale(self) -> bool:
        """Whether an idle connection has been closed by the peer, or holds bytes that nobody asked for."""
        return self._closed or self.readable

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._sock.close()
            self._on_close()


def closed_by_peer(sock: Any) -> bool:
    """Whether the kernel has received the peer's FIN or RST; False where it can't be asked."""
    if not isinstance(sock, trio.socket.SocketType) or sock.family == socket.AF_UNIX:
        return False
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED_BY_PEER
    except OSError:
        return False  # a failure to look is no end: whoever reads the connection will meet it


def set_no_delay(sock: Any) -> bool:
    """Let small writes leave at once; False if it failed, which is no reason to end a connection."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        return False
    return True


def read_now(sock: Any, into: memoryview) -> int:
    """What a readable socket has, at once: trio's own reading lets others run before and after it."""
    if not isinstance(sock, trio.socket.SocketType):  # one of another system's
        count: int = sock.read_now(into)
        return count
    held = socket.socket(sock.family, socket.SOCK_STREAM, 0, fileno=sock.fileno())
    try:
        return held.recv_into(into)
    finally:
        held.detach()


def split_address(address: str) -> tuple[str, int]:
    """The host and port of `10.0.0.4:3000` or `[::1]:3000`; a ValueError says what is wrong."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)


Dial = Callable[[str, float, Callable[[], None]], Awaitable[Connection]]


def dialler(system: System) -> Dial:
    """`dial`, with this system's sockets."""
    return lambda address, timeout_s, on_close: dial(address, timeout_s, on_close, system)


async def dial(
    address: str, timeout_s: float, on_close: Callable[[], None], system: System = MACHINE
) -> Connection:
    """Open a connection within so many seconds; calls `on_close` itself if none comes up.

    What fails for want of something on this machine is tried again until then (LocalShortage); a peer that
    refuses is NoListener, and all else DialFailed.
    """
    try:
        where = split_address(address)
    except ValueError as error:
        on_close()
        raise DialFailed(str(error)) from None
    shortages: list[OSError] = []  # of the latest try

    async def connect() -> Any:
        shortages.clear()
        return await _connected(where, system)

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
        kind = NoListener if isinstance(error, ConnectionRefusedError) else DialFailed
        raise kind(str(error)) from None
    except trio.Cancelled:
        on_close()
        raise
    return Connection(sock, on_close, system.wait_readable)


async def _connected(where: tuple[str, int], system: System) -> Any:
    sock = system.socket(socket.AF_INET6 if ":" in where[0] else socket.AF_INET)
    try:
        await sock.connect(where)
    except BaseException:
        sock.close()
        raise
    return sock
