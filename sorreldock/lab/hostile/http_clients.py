"""Hostile clients over HTTP/1.1; each runs one round of its picture on a new connection."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from .plan import RPC_CLASS, TENANT, Picture

TARGET = b"/v1/chat/completions"
LARGE_BODY_BYTES = 250_000
SMALL_BODY = b'{"hostile":1}'
TRICKLE_PIECE_BYTES, TRICKLE_INTERVAL_S = 3600, 0.05  # 72 kB/s
SHORT_FIELDS_BYTES = 15_000  # just below the router's limit on a head
SLOW_READ_BYTES, SLOW_READ_INTERVAL_S = 4096, 0.1
SMALL_RECEIVE_BUFFER = 8192
FLOOD_BATCH = 50  # requests written at once
SENT_AHEAD = 200
LONG_TIMEOUT_S = 3600.0


def request(
    trace_id: str,
    body: bytes,
    timeout_s: float = 10.0,
    fields: bytes = b"",
    rpc_class: str = RPC_CLASS,
    session: str = "s",
    prefix: str = "",
) -> bytes:
    """Return a whole request."""
    head = (
        f"X-Trace-Id: {trace_id}\r\nX-Qos: {rpc_class}\r\nX-Customer: {TENANT}\r\nX-Object: {session}\r\n"
        f"X-Expires-In: {round(timeout_s * 1e3)}m\r\n"
        f"X-Props: prefix={prefix},prompt_len=100,prefix_len=50,max_out=10\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    return b"POST " + TARGET + b" HTTP/1.1\r\nHost: origin.svc\r\n" + head.encode() + fields + b"\r\n" + body


def large_body() -> bytes:
    """Return a large body that the servers know as a hostile client's."""
    return b'{"hostile":"' + b"x" * LARGE_BODY_BYTES + b'"}'


async def read_to_end(stream: trio.SocketStream) -> None:
    """Read and discard until the router closes the connection."""
    while await stream.receive_some(65536):
        pass


async def trickle(stream: trio.SocketStream, name: str) -> None:
    """Write a large request slowly, to its end, and read the answer."""
    data = request(name, large_body(), timeout_s=60.0, fields=b"Connection: close\r\n")
    for start in range(0, len(data), TRICKLE_PIECE_BYTES):
        await stream.send_all(data[start : start + TRICKLE_PIECE_BYTES])
        await trio.sleep(TRICKLE_INTERVAL_S)
    await read_to_end(stream)


async def stop_half_way(stream: trio.SocketStream, name: str) -> None:
    """Write half of a large request and stay."""
    data = request(name, large_body())
    await stream.send_all(data[: len(data) // 2])
    await read_to_end(stream)


async def many_fields(stream: trio.SocketStream, name: str) -> None:
    """Write a head of very many short fields and half of a body, and stay."""
    fields = b"a:b\r\n" * (SHORT_FIELDS_BYTES // 5)
    data = request(name, b"x" * 2000, fields=fields)
    await stream.send_all(data[:-1000])
    await read_to_end(stream)


async def read_slowly(stream: trio.SocketStream, name: str) -> None:
    """Read a long answer slowly."""
    await stream.send_all(request(name, SMALL_BODY, fields=b"Connection: close\r\n"))
    while await stream.receive_some(SLOW_READ_BYTES):
        await trio.sleep(SLOW_READ_INTERVAL_S)


def _sound(name: str, number: int) -> bytes:
    return request(f"{name}-{number}", SMALL_BODY)


def _unsound(name: str, number: int) -> bytes:
    if number % 2:
        return b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"
    return b"PUT " + TARGET + b" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


def _newly_named(name: str, number: int) -> bytes:
    label = f"{name}-{number}"
    return request(
        f"{label}-" + "n" * 150,
        SMALL_BODY,
        LONG_TIMEOUT_S,
        session=label + "s" * 100,
        prefix=label + "p" * 100,
    )


async def flood(make: Callable[[str, int], bytes], stream: trio.SocketStream, name: str) -> None:
    """Write small requests at full speed, and read the answers."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_to_end, stream)
        number = 0
        while True:
            await stream.send_all(b"".join(make(name, number + i) for i in range(FLOOD_BATCH)))
            number += FLOOD_BATCH


async def send_ahead_and_leave(stream: trio.SocketStream, name: str) -> None:
    """Send many requests at once, and close the connection without reading."""
    data = b"".join(request(f"{name}-{number}", b"x" * 8000) for number in range(SENT_AHEAD))
    with trio.move_on_after(0.5):
        await stream.send_all(data)


async def _flood_sound(stream: trio.SocketStream, name: str) -> None:
    await flood(_sound, stream, name)


async def _flood_unsound(stream: trio.SocketStream, name: str) -> None:
    await flood(_unsound, stream, name)


async def _flood_new_names(stream: trio.SocketStream, name: str) -> None:
    await flood(_newly_named, stream, name)


ROUNDS: dict[Picture, Callable[[trio.SocketStream, str], Awaitable[None]]] = {
    Picture.TRICKLE: trickle,
    Picture.STOP: stop_half_way,
    Picture.MANY_FIELDS: many_fields,
    Picture.SLOW_READERS: read_slowly,
    Picture.LARGE_EVENTS: read_slowly,
    Picture.FLOOD: _flood_sound,
    Picture.UNSOUND_FLOOD: _flood_unsound,
    Picture.NEW_NAMES: _flood_new_names,
    Picture.LEAVERS: send_ahead_and_leave,
}


async def connect(address: str, picture: Picture) -> trio.SocketStream:
    """Open a connection; that of a slow reader has a small receive buffer."""
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    if picture in (Picture.SLOW_READERS, Picture.LARGE_EVENTS):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    try:
        await sock.connect((host, int(port)))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


async def run_round(address: str, picture: Picture, name: str) -> None:
    """Run one round of a picture on a new connection."""
    async with await connect(address, picture) as stream:
        await ROUNDS[picture](stream, name)
