"""An in-memory network of hosts with delays, losses, partitions and the ends of TCP connections.

A connection is two pipes, one per direction. A pipe buffers written bytes until they are read, up to its
capacity. Bytes arrive in order, after the link's delay. A lost segment shows as a stall, as it does behind a
retransmission. Closing a socket with unread bytes, or sending to a closed socket, causes a reset (RFC 9293
section 3.10.7.1 and RFC 2525 section 2.17). All random draws come from one generator. Events that are due at
the same time run in the order in which they were scheduled, so every run of a seed is the same.
"""

from __future__ import annotations

import errno
import heapq
import math
import random
import socket
import zlib
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

SYN_RETRY_S = 1.0
MAX_SYNS = 6
RETRANSMISSION_DELAY_S = (0.2, 1.6)  # range of the stall that a lost segment causes


class ControlSegment:
    """A segment without data that ends a direction of a connection; its name appears in the trace."""

    def __init__(self, name: str) -> None:
        self.name = name


FIN, RST = ControlSegment("fin"), ControlSegment("rst")
Segment = bytes | ControlSegment
ConnectionHandler = Callable[["VirtualSocket"], Awaitable[None]]


@dataclass
class NetworkConditions:
    """The properties of all links: times in seconds, bandwidth in bytes per second, shares from 0 to 1."""

    delay_s: float = 0.001
    jitter_s: float = 0.0
    bandwidth: float = math.inf
    loss: float = 0.0
    partial_io_share: float = 0.0  # share of reads and writes that are cut short, down to one byte
    pipe_capacity_bytes: int = 65536
    reset_discards_unread: bool = False  # a reset discards bytes that have arrived and are unread


class Host:
    """A host on the network.

    While `up` is false, packets to the host are lost. While `drops_syns` is set, connection attempts get no
    reply.
    """

    def __init__(self, network: Network, name: str, address: str) -> None:
        self.network, self.name, self.address = network, name, address
        self.up, self.drops_syns = True, False
        # The simulation's own peers yield to other tasks only where they have to wait; routers always do.
        self.skips_checkpoints = not name.startswith("r")
        self.listeners: dict[int, VirtualSocket] = {}
        self.sockets: dict[VirtualSocket, None] = {}
        self.bandwidth = math.inf
        self.loss = 0.0
        self._last_port = 40000

    def allocate_port(self) -> int:
        self._last_port += 1
        return self._last_port

    def socket(self) -> VirtualSocket:
        sock = VirtualSocket(self)
        self.sockets[sock] = None
        return sock

    async def serve(self, port: int, handler: ConnectionHandler, nursery: trio.Nursery) -> None:
        """Accept connections at this port until its listener is closed; do nothing if it is already open."""
        if port in self.listeners:  # two faults of this host that closed the port have both ended
            return
        listener = self.socket()
        await listener.bind((self.address, port))
        listener.listen(128)
        while True:
            try:
                sock, _ = await listener.accept()
            except trio.ClosedResourceError:
                return
            nursery.start_soon(handler, sock)

    def close_sockets(self) -> None:
        """Close all sockets, as the kernel does when the host's processes have exited."""
        for sock in list(self.sockets):
            sock.close()

    def go_offline(self) -> None:
        """Lose everything that is sent to this host from now on."""
        self.network.record(f"vanish {self.name}")
        self.up = False

    def come_back_online(self) -> None:
        """Receive packets again, with no state of earlier connections, as after a reboot."""
        for sock in list(self.sockets):
            sock.discard()
        self.up = True
        self.network.record(f"back {self.name}")

    def reset_connections(self, peer: Host | None = None) -> None:
        """Reset this host's connections, or those to one peer, at both ends, as a middlebox may."""
        for sock in list(self.sockets):
            if sock.outbox is not None and (peer is None or sock.outbox.dst is peer):
                sock.outbox.transmit(RST)
                assert sock.inbox is not None
                sock.inbox.transmit(RST)


class Pipe:
    """One direction of a connection; offsets are counted in bytes since the connection was opened."""

    def __init__(self, network: Network, name: str, src: Host, dst: Host) -> None:
        self.network, self.name, self.src, self.dst = network, name, src, dst
        self.capacity = network.conditions.pipe_capacity_bytes
        self.bytes_written = self.bytes_arrived = self.bytes_read = 0
        self.acknowledged_by_fin = 0  # bytes of the reverse direction that had arrived when the FIN was sent
        self.buffer = bytearray()
        self.got_fin = self.got_reset = self.reset_by_reader = self.write_closed = self.reader_closed = False
        self.unread_discarded = False  # a reset discarded bytes that had arrived and were unread
        self.last_arrival_at = 0.0
        self.blocked_segments: deque[Segment] = deque()  # held back by a partition
        self.waiting_readers, self.waiting_writers = trio.lowlevel.ParkingLot(), trio.lowlevel.ParkingLot()
        self.reverse: Pipe
        self.full_since: float | None = None
        self.full_intervals: list[tuple[float, float]] = []  # when a writer waited for space
        self.on_write: Callable[[bytes], None] | None = None
        self.on_arrive: Callable[[bytes], None] | None = None
        self.on_end: list[Callable[[str], None]] = []  # called with "fin" or "rst" on arrival
        self.on_read_end: Callable[[], None] | None = None  # the reader has reached the end
        self.on_closed: Callable[[], None] | None = None  # the writer has closed its socket
        self._read_callbacks: deque[tuple[int, Callable[[], None]]] = deque()

    def write(self, data: bytes) -> None:
        self.bytes_written += len(data)
        self.network.record(f"write {self.name} {len(data)} {zlib.crc32(data):08x}")
        if self.on_write is not None:
            self.on_write(data)
        self.transmit(data)

    def transmit(self, segment: Segment) -> None:
        network, now = self.network, trio.current_time()
        if segment is FIN:
            self.acknowledged_by_fin = self.reverse.bytes_arrived
        at = now + network.draw_delay(self.src, self.dst)
        if isinstance(segment, bytes):
            bandwidth = min(network.conditions.bandwidth, self.src.bandwidth, self.dst.bandwidth)
            at = max(at, self.last_arrival_at) + len(segment) / bandwidth
            loss = network.conditions.loss + self.src.loss + self.dst.loss
            if loss and network.rng.random() < loss:
                at += network.rng.uniform(*RETRANSMISSION_DELAY_S)
        self.last_arrival_at = max(at, self.last_arrival_at)
        network.schedule_at(self.last_arrival_at, self._arrive, segment)

    def _arrive(self, segment: Segment) -> None:
        if self.blocked_segments or self.network.is_cut(self.src, self.dst):
            self.blocked_segments.append(segment)
            self.network.blocked_pipes[self] = None
        else:
            self.deliver(segment)

    def deliver(self, segment: Segment) -> None:
        if not self.dst.up:
            return
        if self.reader_closed:
            if segment is not RST:
                self.reverse.transmit(RST)
            return
        if isinstance(segment, bytes):
            self.buffer += segment
            self.bytes_arrived += len(segment)
            self.network.record(f"arrive {self.name} {len(segment)}")
            if self.on_arrive is not None:
                self.on_arrive(segment)
        else:
            self.network.record(f"{segment.name} {self.name}")
            if segment is RST:
                if self.got_reset:
                    return
                self.got_reset = self.reverse.reset_by_reader = True
                if self.network.conditions.reset_discards_unread:
                    self.unread_discarded = bool(self.buffer)
                    self.buffer.clear()
                self.reverse.waiting_writers.unpark_all()
            else:
                self.got_fin = True
            for callback in self.on_end:
                callback(segment.name)
        self.waiting_readers.unpark_all()

    def consume(self, count: int) -> None:
        self.bytes_read += count
        while self._read_callbacks and self._read_callbacks[0][0] <= self.bytes_read:
            self._read_callbacks.popleft()[1]()
        self.waiting_writers.unpark_all()

    def call_when_read(self, offset: int, callback: Callable[[], None]) -> None:
        """Call back once all bytes before this offset have been read.

        Offsets must not decrease from one call to the next.
        """
        if offset <= self.bytes_read:
            callback()
        else:
            self._read_callbacks.append((offset, callback))

    def was_full(self, since: float, until: float) -> bool:
        """Return whether a writer waited for space at some time in this interval."""
        if self.full_since is not None and self.full_since <= until:
            return True
        return any(begin <= until and end >= since for begin, end in self.full_intervals)


class VirtualSocket:
    """A TCP socket of this network, for the router's `System` and for the simulation's own peers."""

    family = int(socket.AF_INET)

    def __init__(self, host: Host) -> None:
        self.host, self.network = host, host.network
        self.closed = False
        self.inbox: Pipe | None = None
        self.outbox: Pipe | None = None
        self.local_address: tuple[str, int] = (host.address, 0)
        self.peer_address: tuple[str, int] = ("", 0)
        self._accept_queue: deque[VirtualSocket] | None = None
        self._backlog = 0
        self._waiting = trio.lowlevel.ParkingLot()  # tasks that connect or accept
        self._connect_errno: int | None = None

    def setsockopt(self, level: int, option: int, value: int) -> None:
        pass

    def getsockname(self) -> tuple[str, int]:
        return self.local_address

    def __enter__(self) -> VirtualSocket:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    # Listening.

    async def bind(self, address: tuple[str, int]) -> None:
        port = address[1] or self.host.allocate_port()
        if port in self.host.listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        self.local_address = (self.host.address, port)

    def listen(self, backlog: int) -> None:
        self._accept_queue, self._backlog = deque(), backlog
        self.host.listeners[self.local_address[1]] = self

    async def accept(self) -> tuple[VirtualSocket, tuple[str, int]]:
        await trio.lowlevel.checkpoint()
        while not self._accept_queue:
            if self.closed or self._accept_queue is None:
                raise trio.ClosedResourceError
            await self._waiting.park()
        sock = self._accept_queue.popleft()
        return sock, sock.peer_address

    # Connecting.

    async def connect(self, address: tuple[str, int]) -> None:
        await trio.lowlevel.checkpoint()
        self.local_address = (self.host.address, self.host.allocate_port())
        self.peer_address = address
        network = self.network
        network.record(f"connect {self.host.name}:{self.local_address[1]} {address[0]}:{address[1]}")
        dst = network.hosts_by_address.get(address[0])
        if dst is not None:
            network.schedule_after(network.draw_delay(self.host, dst), self._handle_syn, dst, 1)
        while self.outbox is None and self._connect_errno is None:
            await self._waiting.park()
            if self.closed:
                raise trio.ClosedResourceError
        if self._connect_errno is not None:
            raise OSError(self._connect_errno, "connection refused")

    def _handle_syn(self, dst: Host, attempt: int) -> None:
        """Process the arrival of a SYN at its destination; a SYN that gets no reply is sent again."""
        network = self.network
        if self.closed or not self.host.up:
            return
        cut = network.is_cut(self.host, dst) or network.is_cut(dst, self.host)
        listener = dst.listeners.get(self.peer_address[1])
        queue = listener._accept_queue if listener is not None else None
        full = listener is not None and queue is not None and len(queue) >= listener._backlog
        if cut or not dst.up or dst.drops_syns or full:
            if attempt < MAX_SYNS:
                network.schedule_after(SYN_RETRY_S, self._handle_syn, dst, attempt + 1)
            return
        return_delay = network.draw_delay(dst, self.host)
        if listener is None:
            if network.on_refused is not None:
                network.on_refused(self.host, dst)
            network.schedule_after(return_delay, self._refuse_connect)
        else:
            network.schedule_after(return_delay, self._established, dst, listener)

    def _refuse_connect(self) -> None:
        self.network.record(f"refused {self.host.name}:{self.local_address[1]}")
        self._connect_errno = errno.ECONNREFUSED
        self._waiting.unpark_all()

    def _established(self, dst: Host, listener: VirtualSocket) -> None:
        network = self.network
        if self.closed or not dst.up:
            return
        if listener.closed:
            self._refuse_connect()
            return
        accepted = dst.socket()
        accepted.local_address, accepted.peer_address = listener.local_address, self.local_address
        ends = f"{self.host.name}:{self.local_address[1]}", f"{dst.name}:{listener.local_address[1]}"
        outgoing = Pipe(network, f"{ends[0]}>{ends[1]}", self.host, dst)
        incoming = Pipe(network, f"{ends[1]}>{ends[0]}", dst, self.host)
        outgoing.reverse, incoming.reverse = incoming, outgoing
        self.outbox, self.inbox, accepted.outbox, accepted.inbox = outgoing, incoming, incoming, outgoing
        arrives_at = trio.current_time() + network.draw_delay(self.host, dst)
        outgoing.last_arrival_at = arrives_at
        network.schedule_at(arrives_at, listener._enqueue, accepted)
        network.record(f"open {outgoing.name}")
        if network.on_open is not None:
            network.on_open(self, accepted)
        self._waiting.unpark_all()

    def _enqueue(self, accepted: VirtualSocket) -> None:
        if self.closed or self._accept_queue is None:
            accepted.abort()
            return
        self._accept_queue.append(accepted)
        self._waiting.unpark_all()

    # Data transfer.

    async def _checkpoint(self) -> None:
        """Execute a checkpoint; the simulation's own peers only check for cancellation."""
        if self.host.skips_checkpoints:
            await trio.lowlevel.checkpoint_if_cancelled()
        else:
            await trio.lowlevel.checkpoint()

    def is_readable(self) -> bool:
        if self._accept_queue is not None:
            return bool(self._accept_queue)
        inbox = self.inbox
        return inbox is not None and (bool(inbox.buffer) or inbox.got_fin or inbox.got_reset)

    async def wait_readable(self) -> None:
        await trio.lowlevel.checkpoint()
        while not self.is_readable():
            if self.closed:
                raise trio.ClosedResourceError
            await (self._waiting if self.inbox is None else self.inbox.waiting_readers).park()
        if self.closed:
            raise trio.ClosedResourceError

    async def recv_into(self, buffer: Any) -> int:
        await self._checkpoint()
        while True:
            try:
                return self.read_now(buffer)
            except BlockingIOError:
                assert self.inbox is not None
                await self.inbox.waiting_readers.park()

    def read_now(self, buffer: Any) -> int:
        inbox = self.inbox
        if inbox is None:
            raise OSError(errno.ENOTCONN, "not connected")
        if self.closed:
            raise trio.ClosedResourceError
        if inbox.buffer:
            count = self.network.draw_io_size(min(len(buffer), len(inbox.buffer)))
            buffer[:count] = inbox.buffer[:count]
            del inbox.buffer[:count]
            inbox.consume(count)
            return count
        if inbox.got_reset or inbox.got_fin:
            if inbox.on_read_end is not None:
                inbox.on_read_end()
            if inbox.got_reset:
                raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
            return 0
        raise BlockingIOError(errno.EAGAIN, "no data available")

    async def recv(self, max_bytes: int = 65536) -> bytes:
        buffer = bytearray(max_bytes)
        return bytes(buffer[: await self.recv_into(buffer)])

    async def send(self, data: Any) -> int:
        await self._checkpoint()
        outbox = self.outbox
        if outbox is None:
            raise OSError(errno.ENOTCONN, "not connected")
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if outbox.reset_by_reader:
                raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
            if outbox.write_closed:
                raise BrokenPipeError(errno.EPIPE, "broken pipe")
            space = outbox.capacity - (outbox.bytes_written - outbox.bytes_read)
            if space > 0:
                count = self.network.draw_io_size(min(len(data), space))
                outbox.write(bytes(data[:count]))
                return count
            outbox.full_since = since = trio.current_time()
            try:
                await outbox.waiting_writers.park()
            finally:
                outbox.full_intervals.append((since, trio.current_time()))
                outbox.full_since = None

    async def send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[await self.send(view) :]

    # Closing.

    def shutdown(self, how: int) -> None:
        if self.outbox is None or self.outbox.reset_by_reader:
            raise OSError(errno.ENOTCONN, "not connected")
        if not self.outbox.write_closed:
            self.outbox.write_closed = True
            self.outbox.transmit(FIN)

    def close(self) -> None:
        if self.closed:
            return
        outbox, inbox = self.outbox, self.inbox
        if outbox is not None and inbox is not None:
            unread = bool(inbox.buffer)
            if not inbox.got_reset and not outbox.reset_by_reader:
                if unread:
                    outbox.transmit(RST)
                elif not outbox.write_closed:
                    outbox.transmit(FIN)
            self.network.record(f"close {outbox.name}{' unread' if unread else ''}")
        self.discard()

    def abort(self) -> None:
        """Close with a reset."""
        if not self.closed and self.outbox is not None:
            self.outbox.transmit(RST)
            self.network.record(f"abort {self.outbox.name}")
        self.discard()

    def discard(self) -> None:
        """Release the socket without sending anything to the peer."""
        if self.closed:
            return
        self.closed = True
        self.host.sockets.pop(self, None)
        if self._accept_queue is not None:
            self.host.listeners.pop(self.local_address[1], None)
            for accepted in self._accept_queue:
                accepted.abort()
            self._accept_queue = None
        if self.inbox is not None and self.outbox is not None:
            self.inbox.reader_closed = self.outbox.write_closed = True
            self.inbox.buffer.clear()
            self.inbox.waiting_readers.unpark_all()
            self.outbox.waiting_writers.unpark_all()
            if self.outbox.on_closed is not None:
                self.outbox.on_closed()
        self._waiting.unpark_all()


class Network:
    """The virtual network: its hosts, partitions and queue of scheduled events."""

    def __init__(
        self, rng: random.Random, conditions: NetworkConditions, record: Callable[[str], None]
    ) -> None:
        self.rng, self.conditions, self.record = rng, conditions, record
        self.hosts: dict[str, Host] = {}
        self.hosts_by_address: dict[str, Host] = {}
        self.blocked_pipes: dict[Pipe, None] = {}
        self.on_open: Callable[[VirtualSocket, VirtualSocket], None] | None = None
        self.on_refused: Callable[[Host, Host], None] | None = None
        self._cut_counts: dict[tuple[str, str], int] = {}
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0

    def add_host(self, name: str, address: str) -> Host:
        host = self.hosts[name] = self.hosts_by_address[address] = Host(self, name, address)
        return host

    # Scheduled events.

    def schedule_at(self, at: float, callback: Callable[..., None], *args: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, callback, args))

    def schedule_after(self, delay_s: float, callback: Callable[..., None], *args: Any) -> None:
        self.schedule_at(trio.current_time() + delay_s, callback, *args)

    def next_at(self) -> float:
        return self._events[0][0] if self._events else math.inf

    def advance(self, now: float) -> None:
        """Run the events that are due by `now`, in order of time and then of scheduling."""
        while self._events and self._events[0][0] <= now:
            _, _, callback, args = heapq.heappop(self._events)
            callback(*args)

    # Link properties.

    def draw_delay(self, src: Host, dst: Host) -> float:
        conditions = self.conditions
        return conditions.delay_s + (self.rng.random() * conditions.jitter_s if conditions.jitter_s else 0.0)

    def draw_io_size(self, count: int) -> int:
        if (
            count > 1
            and self.conditions.partial_io_share
            and self.rng.random() < self.conditions.partial_io_share
        ):
            return self.rng.randint(1, count) if self.rng.random() < 0.7 else 1
        return count

    def is_cut(self, src: Host, dst: Host) -> bool:
        return bool(self._cut_counts) and (src.name, dst.name) in self._cut_counts

    def cut(self, src: str, dst: str) -> None:
        """Hold back all segments from one host to the other; overlapping cuts are counted."""
        self._cut_counts[src, dst] = self._cut_counts.get((src, dst), 0) + 1
        self.record(f"cut {src}>{dst}")

    def heal(self, src: str, dst: str) -> None:
        left = self._cut_counts.pop((src, dst), 0) - 1
        if left > 0:
            self._cut_counts[src, dst] = left
            return
        self.record(f"heal {src}>{dst}")
        for pipe in [p for p in self.blocked_pipes if (p.src.name, p.dst.name) == (src, dst)]:
            del self.blocked_pipes[pipe]
            self.schedule_after(self.rng.uniform(*RETRANSMISSION_DELAY_S), self._release_blocked, pipe)

    def _release_blocked(self, pipe: Pipe) -> None:
        if self.is_cut(pipe.src, pipe.dst):
            self.blocked_pipes[pipe] = None
            return
        while pipe.blocked_segments:
            pipe.deliver(pipe.blocked_segments.popleft())
