"""The benchmarks' server, which answers every request at once with the same nine events."""

from __future__ import annotations

import asyncio
import json
from multiprocessing.connection import Connection
from typing import Any

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"abcdefgh"},"finish_reason":null}]}\n\n'
LAST_EVENT = b"data: [DONE]\n\n"
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    + 8 * (b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
    + b"%x\r\n%s\r\n" % (len(LAST_EVENT), LAST_EVENT)
    + b"0\r\n\r\n"
)
BODY = json.dumps({"model": "alt-text", "messages": [{"role": "user", "content": "x" * 400}]}).encode()


class FixedAnswerProtocol(asyncio.Protocol):
    """A protocol that answers whenever the last bytes of `BODY` arrive, without parsing the request."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.received = b""

    def data_received(self, data: bytes) -> None:
        self.received += data
        if self.received.endswith(BODY[-20:]):
            self.received = b""
            self.transport.write(ANSWER)


def serve(port_pipe: Connection) -> None:
    """Serve on a port of 127.0.0.1, which is sent to `port_pipe`; runs in a process of its own."""

    async def main() -> None:
        server = await asyncio.get_running_loop().create_server(FixedAnswerProtocol, "127.0.0.1", 0)
        port_pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(main())
