"""Requests of the platform's clients, and reading a router's answers to them."""

from __future__ import annotations

import asyncio

from harness import SERVE_PATH


def request(name: str, expires_s: float, body_bytes: int = 0, rpc_class: str = "alt-text") -> bytes:
    """Return a whole request, whose body has about `body_bytes` bytes and holds `<name>` for the engines."""
    start = f'{{"model":"desc","stream":true,"messages":[{{"role":"user","content":"<{name}>'.encode()
    body = start + b"x" * max(body_bytes - len(start) - 4, 0) + b'"}]}'
    return (
        f"POST {SERVE_PATH} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {name}\r\nX-Qos: {rpc_class}\r\n"
        f"X-Customer: state-news\r\nX-Object: o-{name}\r\nX-Expires-In: {expires_s * 1000:.0f}m\r\n"
        f"X-Props: prompt_len={len(body) // 4},max_out=40\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def read_answer(reader: asyncio.StreamReader, begun: bytes = b"") -> str:
    """Read one answer to its end and describe it; raise EOFError if the connection ends without one."""
    line = begun + await reader.readline()
    if not line:
        raise EOFError
    status = line.split()[1].decode()
    fields: dict[bytes, bytes] = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.partition(b":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if b"content-length" in fields:
        body = await reader.readexactly(int(fields[b"content-length"]))
        text = body.decode().strip()
    else:
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        text = f"{body.count(b'data: ')} events"
    closes = ", Connection: close" if fields.get(b"connection") == b"close" else ""
    return f"{status}{closes}, {text}"
