"""What the benchmarks' servers answer: the same nine events at once, whatever the request."""

from __future__ import annotations

import asyncio
import json
from multiprocessing.connection import Connection
from typing import Any

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcdefgh"},"finish_reason":null}]}\n\n'
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    + 9 * (b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
    + b"0\r\n\r\n"
)
BODY = json.dumps({"model": "alt-text", "messages": [{"role": "user", "content": "x" * 400}]}).encode()


class Answers(asyncio.Protocol):
    """Every request ends with the body's last bytes; nothing else is looked at."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.held = b""

    def data_received(self, data: bytes) -> None:
        self.held += data
        if self.held.endswith(BODY[-20:]):
            self.held = b""
            self.transport.write(ANSWER)


def serve(told: Connection) -> None:
    """Answer on a port of 127.0.0.1, which `told` hears; for a process of its own."""

    async def main() -> None:
        server = await asyncio.get_running_loop().create_server(Answers, "127.0.0.1", 0)
        told.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())
