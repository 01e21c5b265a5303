"""The client that the library is compared with: keeps its connection, and after any failure reconnects and
retries at once, until the deadline. It waits 50 ms after a refused dial, without which 200 of them would
take the machine's cores from what they are compared on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import h11
import trio

REFUSED_S = 0.05


@dataclass
class PlainClient:
    """A client that reconnects at once, for comparison."""

    routers: list[str]
    observe: Callable[[str, str, float], None]
    first_sends: int = 0
    retries: int = 0
    _idle: list[tuple[trio.SocketStream, h11.Connection]] = field(default_factory=list)
    _next: int = 0

    async def _connect(self) -> tuple[trio.SocketStream, h11.Connection]:
        if self._idle:
            return self._idle.pop()
        address = self.routers[self._next % len(self.routers)]
        self._next += 1
        host, _, port = address.rpartition(":")
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            self.observe("dial failed", address, trio.current_time())
            await trio.sleep(REFUSED_S)
            raise
        self.observe("opened", address, trio.current_time())
        return stream, h11.Connection(h11.CLIENT)

    async def ask(self, headers: dict[str, str], body: bytes, timeout_s: float) -> str:
        """`in time`, `refused` or `failed`: what came in the end."""
        last = "failed"
        sent = False
        with trio.move_on_after(timeout_s):
            while True:
                try:
                    stream, parser = await self._connect()
                except OSError:
                    continue
                try:
                    if sent:
                        self.retries += 1
                    else:
                        self.first_sends += 1
                    sent = True
                    status, keep = await self._try(stream, parser, headers, body)
                except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                    await trio.aclose_forcefully(stream)
                    continue
                except BaseException:
                    stream.socket.close()
                    raise
                if keep:
                    self._idle.append((stream, parser))
                else:
                    await trio.aclose_forcefully(stream)
                if status == 200:
                    return "in time"
                last = "refused" if status in (429, 503) else "failed"
        return last

    async def _try(
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
        status, keep = 0, True
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Response):
                status = event.status_code
                keep = b"close" not in dict(event.headers).get(b"connection", b"")
            elif isinstance(event, h11.EndOfMessage):
                if keep:
                    parser.start_next_cycle()
                return status, keep
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed")

    def close(self) -> None:
        for stream, _ in self._idle:
            stream.socket.close()
        self._idle.clear()
