"""The plain client that the client library is compared with.

It keeps its connection, and after any failure it reconnects and retries at once, until the deadline. It only
waits 50 ms after a failed dial: without that, 200 such clients would use up the machine's cores and distort
the comparison.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio

REFUSED_DELAY_S = 0.05  # after a failed dial


@dataclass
class PlainClient:
    """A client that reconnects and retries at once."""

    routers: list[str]
    observe: Callable[[str, str, float], None]
    first_sends: int = 0
    retries: int = 0
    _idle: list[tuple[trio.SocketStream, h11.Connection]] = field(default_factory=list)
    _next_router: int = 0

    async def _connect(self) -> tuple[trio.SocketStream, h11.Connection]:
        if self._idle:
            return self._idle.pop()
        address = self.routers[self._next_router % len(self.routers)]
        self._next_router += 1
        host, _, port = address.rpartition(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            self.observe("dial failed", address, trio.current_time())
            await trio.sleep(REFUSED_DELAY_S)
            raise
        self.observe("opened", address, trio.current_time())
        return stream, h11.Connection(h11.CLIENT)

    async def ask(self, headers: dict[str, str], body: bytes, timeout_s: float) -> str:
        """Send a request with retries, and return its outcome: `in time`, `refused` or `failed`."""
        outcome = "failed"
        has_sent = False
        with trio.move_on_after(timeout_s):
            while True:
                try:
                    stream, parser = await self._connect()
                except OSError:
                    continue
                try:
                    if has_sent:
                        self.retries += 1
                    else:
                        self.first_sends += 1
                    has_sent = True
                    status, keep_alive = await self._attempt(stream, parser, headers, body)
                except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                    await trio.aclose_forcefully(stream)
                    continue
                except BaseException:
                    stream.socket.close()
                    raise
                if keep_alive:
                    self._idle.append((stream, parser))
                else:
                    await trio.aclose_forcefully(stream)
                if status == 200:
                    return "in time"
                outcome = "refused" if status in (429, 503) else "failed"
        return outcome

    async def _attempt(
        self, stream: trio.SocketStream, parser: h11.Connection, headers: dict[str, str], body: bytes
    ) -> tuple[int, bool]:
        head = h11.Request(
            method="POST",
            target="/v1/chat/completions",
            headers=[*headers.items(), ("Content-Length", str(len(body)))],
        )
        await stream.send_all(
            b"".join(parser.send(e) or b"" for e in (head, h11.Data(body), h11.EndOfMessage()))
        )
        status, keep_alive = 0, True
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                keep_alive = b"close" not in dict(event.headers).get(b"connection", b"")
            elif isinstance(event, h11.EndOfMessage):
                if keep_alive:
                    parser.start_next_cycle()
                return status, keep_alive
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed")

    def close(self) -> None:
        """Close the idle connections."""
        for stream, _ in self._idle:
            stream.socket.close()
        self._idle.clear()
