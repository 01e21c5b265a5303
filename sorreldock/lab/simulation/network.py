"""An in-memory network of machines: delays, losses, partitions, and TCP's ends as programs see them.

A connection is two pipes. What is written is held until it has been read, up to the pipe's capacity; it
arrives in order, after the way's delay. A lost segment is seen as a stall, as behind a retransmission. A
close with bytes unread, or bytes that come after a close, bring a reset (RFC 9293 section 3.10.7.1 and RFC
2525 section 2.17). All draws are from one generator, and what happens at one moment happens in the order of
its causes.
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

SYN_AGAIN_S = 1.0
MOST_SYNS = 6
RETRANSMITTED_S = (0.2, 1.6)  # how long a lost segment stalls what follows it


class Signal:
    """A signal delivered to a virtual process."""

    def __init__(self, name: str) -> None:
        self.name = name


FIN, RST = Signal("fin"), Signal("rst")
Item = bytes | Signal
Attend = Callable[["VirtualSocket"], Awaitable[None]]


@dataclass
class NetworkConditions:
    """What holds on all ways. Times in seconds, rates in bytes a second, shares from 0 to 1."""

    delay_s: float = 0.001
    jitter_s: float = 0.0
    rate: float = math.inf
    loss: float = 0.0
    pieces: float = 0.0  # of reads and writes, cut short, down to a byte
    buffer: int = 65536  # bytes that a pipe holds
    reset_drops: bool = False  # a reset takes with it what has arrived and is unread


class Host:
    """A machine. `up`: its kernel answers; `deaf`: it lets connects wait for ever."""

    def __init__(self, network: Network, name: str, address: str) -> None:
        self.network, self.name, self.address = network, name, address
        self.up, self.drops_syns = True, False
        self.eager = not name.startswith("r")
        self.listeners: dict[int, VirtualSocket] = {}
        self.sockets: dict[VirtualSocket, None] = {}
        self.rate = math.inf
        self.loss = 0.0
        self._port = 40000

    def port(self) -> int:
        self._port += 1
        return self._port

    def socket(self) -> VirtualSocket:
        made = VirtualSocket(self)
        self.sockets[made] = None
        return made

    async def serve(self, port: int, attend: Attend, nursery: trio.Nursery) -> None:
        """Take connections at this port until it is closed; of no effect while it is open."""
        if port in self.listeners:  # two faults of this machine have ended
            return
        listener = self.socket()
        await listener.bind((self.address, port))
        listener.listen(128)
        while True:
            try:
                sock, _ = await listener.accept()
            except trio.ClosedResourceError:
                return
            nursery.start_soon(attend, sock)

    def close_sockets(self) -> None:
        """Its processes have died: the kernel closes what they held."""
        for sock in list(self.sockets):
            sock.close()

    def go_offline(self) -> None:
        """No word more from it: what is sent to it is lost."""
        self.network.record(f"vanish {self.name}")
        self.up = False

    def come_back_online(self) -> None:
        """Up again, knowing nothing of its connections."""
        for sock in list(self.sockets):
            sock.forget()
        self.up = True
        self.network.record(f"back {self.name}")

    def reset_connections(self, other: Host | None = None) -> None:
        """Something between has reset the connections: both ends see it."""
        for sock in list(self.sockets):
            if sock.outbox is not None and (other is None or sock.outbox.dst is other):
                sock.outbox.transmit(RST)
                assert sock.inbox is not None
                sock.inbox.transmit(RST)


class Pipe:
    """One direction of a connection. Offsets are bytes since its opening."""

    def __init__(self, network: Network, name: str, src: Host, dst: Host) -> None:
        self.network, self.name, self.src, self.dst = network, name, src, dst
        self.capacity = network.weather.buffer
        self.bytes_written = self.bytes_read = 0
        self.buffer = bytearray()
        self.fin_received = self.reset_received = self.reset_by_reader = self.shut = self.reader_closed = (
            False
        )
        self.unread_discarded = False  # a reset took with it what had arrived and was unread
        self.latest = 0.0
        self.held: deque[Item] = deque()  # behind a partition
        self.readers, self.writers = trio.lowlevel.ParkingLot(), trio.lowlevel.ParkingLot()
        self.back: Pipe
        self.full_since: float | None = None
        self.full: list[tuple[float, float]] = []  # when a writer waited for room
        self.on_write: Callable[[bytes], None] | None = None
        self.on_arrive: Callable[[bytes], None] | None = None
        self.on_end: list[Callable[[str], None]] = []  # "fin" or "rst" has arrived
        self.on_read_end: Callable[[], None] | None = None  # the reader has met the end
        self.on_closed: Callable[[], None] | None = None  # the writer has closed its socket
        self._marks: deque[tuple[int, Callable[[], None]]] = deque()

    def write(self, data: bytes) -> None:
        self.bytes_written += len(data)
        self.network.record(f"write {self.name} {len(data)} {zlib.crc32(data):08x}")
        if self.on_write is not None:
            self.on_write(data)
        self.transmit(data)

    def transmit(self, item: Item) -> None:
        network, now = self.network, trio.current_time()
        at = now + network.delay(self.src, self.dst)
        if isinstance(item, bytes):
            rate = min(network.weather.rate, self.src.rate, self.dst.rate)
            at = max(at, self.latest) + len(item) / rate
            loss = network.weather.loss + self.src.loss + self.dst.loss
            if loss and network.rng.random() < loss:
                at += network.rng.uniform(*RETRANSMITTED_S)
        self.latest = max(at, self.latest)
        network.at(self.latest, self._arrive, item)

    def _arrive(self, item: Item) -> None:
        if self.held or self.network.is_cut(self.src, self.dst):
            self.held.append(item)
            self.network.holding[self] = None
        else:
            self.deliver(item)

    def deliver(self, item: Item) -> None:
        if not self.dst.up:
            return
        if self.reader_closed:
            if item is not RST:
                self.back.transmit(RST)
            return
        if isinstance(item, bytes):
            self.buffer += item
            self.network.record(f"arrive {self.name} {len(item)}")
            if self.on_arrive is not None:
                self.on_arrive(item)
        else:
            self.network.record(f"{item.name} {self.name}")
            if item is RST:
                if self.reset_received:
                    return
                self.reset_received = self.back.reset_by_reader = True
                if self.network.weather.reset_drops:
                    self.unread_discarded = bool(self.buffer)
                    self.buffer.clear()
                self.back.writers.unpark_all()
            else:
                self.fin_received = True
            for told in self.on_end:
                told(item.name)
        self.readers.unpark_all()

    def took(self, count: int) -> None:
        self.bytes_read += count
        while self._marks and self._marks[0][0] <= self.bytes_read:
            self._marks.popleft()[1]()
        self.writers.unpark_all()

    def call_when_read(self, offset: int, then: Callable[[], None]) -> None:
        """Call once all before this offset has been read; offsets grow from call to call."""
        if offset <= self.bytes_read:
            then()
        else:
            self._marks.append((offset, then))

    def was_full(self, since: float, until: float) -> bool:
        """Whether a writer waited for room at some moment of this stretch."""
        if self.full_since is not None and self.full_since <= until:
            return True
        return any(begin <= until and end >= since for begin, end in self.full)


class VirtualSocket:
    """A TCP socket of this network, for the program's `System` and for the world's own peers."""

    family = int(socket.AF_INET)

    def __init__(self, host: Host) -> None:
        self.host, self.network = host, host.network
        self.closed = False
        self.inbox: Pipe | None = None
        self.outbox: Pipe | None = None
        self.local_address: tuple[str, int] = (host.address, 0)
        self.peer_address: tuple[str, int] = ("", 0)
        self._queue: deque[VirtualSocket] | None = None
        self._backlog = 0
        self._waiting = trio.lowlevel.ParkingLot()  # for a connection: to come up, or to accept
        self._refused: int | None = None

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
        port = address[1] or self.host.port()
        if port in self.host.listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        self.local_address = (self.host.address, port)

    def listen(self, backlog: int) -> None:
        self._queue, self._backlog = deque(), backlog
        self.host.listeners[self.local_address[1]] = self

    async def accept(self) -> tuple[VirtualSocket, tuple[str, int]]:
        await trio.lowlevel.checkpoint()
        while not self._queue:
            if self.closed or self._queue is None:
                raise trio.ClosedResourceError
            await self._waiting.park()
        made = self._queue.popleft()
        return made, made.peer_address

    # Connecting.

    async def connect(self, address: tuple[str, int]) -> None:
        await trio.lowlevel.checkpoint()
        self.local_address = (self.host.address, self.host.port())
        self.peer_address = address
        network = self.network
        network.record(f"connect {self.host.name}:{self.local_address[1]} {address[0]}:{address[1]}")
        target = network.by_address.get(address[0])
        if target is not None:
            network.later(network.delay(self.host, target), self._syn, target, 1)
        while self.outbox is None and self._refused is None:
            await self._waiting.park()
            if self.closed:
                raise trio.ClosedResourceError
        if self._refused is not None:
            raise OSError(self._refused, "connection refused")

    def _syn(self, target: Host, count: int) -> None:
        network = self.network
        if self.closed or not self.host.up:
            return
        cut = network.is_cut(self.host, target) or network.is_cut(target, self.host)
        listener = target.listeners.get(self.peer_address[1])
        queue = listener._queue if listener is not None else None
        full = listener is not None and queue is not None and len(queue) >= listener._backlog
        if cut or not target.up or target.drops_syns or full:
            if count < MOST_SYNS:
                network.later(SYN_AGAIN_S, self._syn, target, count + 1)
            return
        back = network.delay(target, self.host)
        if listener is None:
            if network.on_refused is not None:
                network.on_refused(self.host, target)
            network.later(back, self._refuse)
        else:
            network.later(back, self._established, target, listener)

    def _refuse(self) -> None:
        self.network.record(f"refused {self.host.name}:{self.local_address[1]}")
        self._refused = errno.ECONNREFUSED
        self._waiting.unpark_all()

    def _established(self, target: Host, listener: VirtualSocket) -> None:
        network = self.network
        if self.closed or not target.up:
            return
        if listener.closed:
            self._refuse()
            return
        other = target.socket()
        other.local_address, other.peer_address = listener.local_address, self.local_address
        ends = f"{self.host.name}:{self.local_address[1]}", f"{target.name}:{listener.local_address[1]}"
        there = Pipe(network, f"{ends[0]}>{ends[1]}", self.host, target)
        here = Pipe(network, f"{ends[1]}>{ends[0]}", target, self.host)
        there.back, here.back = here, there
        self.outbox, self.inbox, other.outbox, other.inbox = there, here, here, there
        arrives = trio.current_time() + network.delay(self.host, target)
        there.latest = arrives
        network.at(arrives, listener._enqueue, other)
        network.record(f"open {there.name}")
        if network.on_open is not None:
            network.on_open(self, other)
        self._waiting.unpark_all()

    def _enqueue(self, made: VirtualSocket) -> None:
        if self.closed or self._queue is None:
            made.abort()
            return
        self._queue.append(made)
        self._waiting.unpark_all()

    # Bytes.

    async def _pass(self) -> None:
        """A checkpoint. The world's own peers let nobody else in where they need not wait."""
        if self.host.eager:
            await trio.lowlevel.checkpoint_if_cancelled()
        else:
            await trio.lowlevel.checkpoint()

    def is_readable(self) -> bool:
        if self._queue is not None:
            return bool(self._queue)
        inbox = self.inbox
        return inbox is not None and (bool(inbox.buffer) or inbox.fin_received or inbox.reset_received)

    async def wait_readable(self) -> None:
        await trio.lowlevel.checkpoint()
        while not self.is_readable():
            if self.closed:
                raise trio.ClosedResourceError
            await (self._waiting if self.inbox is None else self.inbox.readers).park()
        if self.closed:
            raise trio.ClosedResourceError

    async def recv_into(self, buffer: Any) -> int:
        await self._pass()
        while True:
            try:
                return self.read_now(buffer)
            except BlockingIOError:
                assert self.inbox is not None
                await self.inbox.readers.park()

    def read_now(self, buffer: Any) -> int:
        inbox = self.inbox
        if inbox is None:
            raise OSError(errno.ENOTCONN, "not connected")
        if self.closed:
            raise trio.ClosedResourceError
        if inbox.buffer:
            count = self.network.piece(min(len(buffer), len(inbox.buffer)))
            buffer[:count] = inbox.buffer[:count]
            del inbox.buffer[:count]
            inbox.took(count)
            return count
        if inbox.reset_received or inbox.fin_received:
            if inbox.on_read_end is not None:
                inbox.on_read_end()
            if inbox.reset_received:
                raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
            return 0
        raise BlockingIOError(errno.EAGAIN, "nothing has come")

    async def recv(self, most: int = 65536) -> bytes:
        buffer = bytearray(most)
        return bytes(buffer[: await self.recv_into(buffer)])

    async def send(self, data: Any) -> int:
        await self._pass()
        outbox = self.outbox
        if outbox is None:
            raise OSError(errno.ENOTCONN, "not connected")
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            if outbox.reset_by_reader:
                raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
            if outbox.shut:
                raise BrokenPipeError(errno.EPIPE, "broken pipe")
            room = outbox.capacity - (outbox.bytes_written - outbox.bytes_read)
            if room > 0:
                count = self.network.piece(min(len(data), room))
                outbox.write(bytes(data[:count]))
                return count
            outbox.full_since = since = trio.current_time()
            try:
                await outbox.writers.park()
            finally:
                outbox.full.append((since, trio.current_time()))
                outbox.full_since = None

    async def send_all(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[await self.send(view) :]

    # Ends.

    def shutdown(self, how: int) -> None:
        if self.outbox is None or self.outbox.reset_by_reader:
            raise OSError(errno.ENOTCONN, "not connected")
        if not self.outbox.shut:
            self.outbox.shut = True
            self.outbox.transmit(FIN)

    def close(self) -> None:
        if self.closed:
            return
        outbox, inbox = self.outbox, self.inbox
        if outbox is not None and inbox is not None:
            unread = bool(inbox.buffer)
            if not inbox.reset_received and not outbox.reset_by_reader:
                if unread:
                    outbox.transmit(RST)
                elif not outbox.shut:
                    outbox.transmit(FIN)
            self.network.record(f"close {outbox.name}{' unread' if unread else ''}")
        self.forget()

    def abort(self) -> None:
        """Close with a reset."""
        if not self.closed and self.outbox is not None:
            self.outbox.transmit(RST)
            self.network.record(f"abort {self.outbox.name}")
        self.forget()

    def forget(self) -> None:
        """Let go of it without a word to the peer."""
        if self.closed:
            return
        self.closed = True
        self.host.sockets.pop(self, None)
        if self._queue is not None:
            self.host.listeners.pop(self.local_address[1], None)
            for made in self._queue:
                made.abort()
            self._queue = None
        if self.inbox is not None and self.outbox is not None:
            self.inbox.reader_closed = self.outbox.shut = True
            self.inbox.buffer.clear()
            self.inbox.readers.unpark_all()
            self.outbox.writers.unpark_all()
            if self.outbox.on_closed is not None:
                self.outbox.on_closed()
        self._waiting.unpark_all()


class Network:
    """The virtual network: hosts, connections and what happens to them."""

    def __init__(self, rng: random.Random, weather: NetworkConditions, record: Callable[[str], None]) -> None:
        self.rng, self.weather, self.record = rng, weather, record
        self.hosts: dict[str, Host] = {}
        self.by_address: dict[str, Host] = {}
        self.holding: dict[Pipe, None] = {}
        self.on_open: Callable[[VirtualSocket, VirtualSocket], None] | None = None
        self.on_refused: Callable[[Host, Host], None] | None = None
        self._cuts: dict[tuple[str, str], int] = {}
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def add_host(self, name: str, address: str) -> Host:
        made = self.hosts[name] = self.by_address[address] = Host(self, name, address)
        return made

    # Time.

    def at(self, when: float, then: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._due, (when, self._count, then, args))

    def later(self, delay_s: float, then: Callable[..., None], *args: Any) -> None:
        self.at(trio.current_time() + delay_s, then, *args)

    def next_at(self) -> float:
        return self._due[0][0] if self._due else math.inf

    def advance(self, now: float) -> None:
        """Let happen what is due, in the order of its causes."""
        while self._due and self._due[0][0] <= now:
            _, _, then, args = heapq.heappop(self._due)
            then(*args)

    # What holds on a way.

    def delay(self, src: Host, dst: Host) -> float:
        weather = self.weather
        return weather.delay_s + (self.rng.random() * weather.jitter_s if weather.jitter_s else 0.0)

    def piece(self, count: int) -> int:
        if count > 1 and self.weather.pieces and self.rng.random() < self.weather.pieces:
            return self.rng.randint(1, count) if self.rng.random() < 0.7 else 1
        return count

    def is_cut(self, src: Host, dst: Host) -> bool:
        return bool(self._cuts) and (src.name, dst.name) in self._cuts

    def cut(self, src: str, dst: str) -> None:
        """What goes from one to the other waits from now on; cuts may overlap."""
        self._cuts[src, dst] = self._cuts.get((src, dst), 0) + 1
        self.record(f"cut {src}>{dst}")

    def heal(self, src: str, dst: str) -> None:
        left = self._cuts.pop((src, dst), 0) - 1
        if left > 0:
            self._cuts[src, dst] = left
            return
        self.record(f"heal {src}>{dst}")
        for pipe in [p for p in self.holding if (p.src.name, p.dst.name) == (src, dst)]:
            del self.holding[pipe]
            self.later(self.rng.uniform(*RETRANSMITTED_S), self._release, pipe)

    def _release(self, pipe: Pipe) -> None:
        if self.is_cut(pipe.src, pipe.dst):
            self.holding[pipe] = None
            return
        while pipe.held:
            pipe.deliver(pipe.held.popleft())
