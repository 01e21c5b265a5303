"""A TCP proxy in front of one address, which can reset the connections of its clients."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from standins import Record, Server


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Proxy(Server):
    """Passes bytes on in both directions, and the ends of connections: an end as an end, a reset as one."""

    def __init__(self, name: str, upstream: str, record: Record) -> None:
        super().__init__()
        self.name, self.upstream, self.record = name, upstream, record
        self.pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.upstream.rpartition(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        pair = (writer, up_writer)
        self.pairs.append(pair)
        self.record.write(f"{self.name}: connection {len(self.pairs)}")
        try:
            done, pending = await asyncio.wait(
                [
                    asyncio.ensure_future(self._pass(reader, up_writer)),
                    asyncio.ensure_future(self._pass(up_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in pending:
                task.cancel()
            for task in done:
                task.exception()
        finally:
            self.pairs.remove(pair)
            up_writer.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()

    def reset_all(self) -> int:
        """Reset both ends of all connections, and return how many there were."""
        for client, up in list(self.pairs):
            reset(client)
            reset(up)
        return len(self.pairs)
