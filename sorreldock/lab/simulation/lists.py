"""The lab's directory on the world's sockets: what discovery tells, and how it fails to."""

from __future__ import annotations

import json

import trio

from ..directory import Directory, Entry
from .network import Host, VirtualSocket
from .readers import Head, HttpReader, ParseError

PORT = 7000
KEEP_ALIVE_S = 2.0


class VirtualDiscovery:
    """Discovery on the virtual network."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.directory = Directory()
        self.stale = self.silent = False
        self.malformed_lines: list[bytes] = []  # the next lines, one a watch
        self._told = trio.Event()

    @property
    def address(self) -> str:
        return f"{self.host.address}:{PORT}"

    def publish(self, entry: Entry) -> None:
        self.directory.publish(trio.current_time(), entry)
        self.notify_watches()

    def set_state(self, uid: str, state: str) -> None:
        self.directory.state(trio.current_time(), uid, state)
        self.notify_watches()

    def notify_watches(self) -> None:
        self._told.set()
        self._told = trio.Event()

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.host.serve(PORT, self._attend, nursery)

    def reset_connections(self) -> None:
        """Its port is closed, and its watches are reset."""
        for sock in list(self.host.sockets):
            sock.abort()
        self.notify_watches()

    async def _attend(self, sock: VirtualSocket) -> None:
        try:
            reader = HttpReader(answers=False)
            while data := await sock.recv():
                for item in reader.feed(data):
                    if isinstance(item, Head):
                        await self._watch(sock, item.start_line)
                        return
        except (OSError, trio.ClosedResourceError, ParseError):
            pass
        finally:
            sock.close()

    async def _watch(self, sock: VirtualSocket, start: bytes) -> None:
        after = start.partition(b"after=")[2].split(b" ")[0].split(b"&")[0]
        version = int(after) if after.isdigit() else 0
        if self.silent:
            while await sock.recv():
                pass
            return
        await sock.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while not sock.closed and not sock.is_readable():
            told = self._told
            if self.malformed_lines:
                line = self.malformed_lines.pop() + b"\n"
            elif self.stale:
                line = b"\n"
            else:
                now = trio.current_time()
                news = (
                    self.directory.whole(now) if first and not version else self.directory.since(now, version)
                )
                first = False
                if news is not None:
                    version = news["rev"]
                line = (json.dumps(news).encode() if news is not None else b"") + b"\n"
            await sock.send_all(b"%x\r\n%b\r\n" % (len(line), line))
            wait = KEEP_ALIVE_S
            visible = self.directory.next_at(trio.current_time())
            if visible is not None:
                wait = min(wait, max(visible - trio.current_time(), 0.0))
            with trio.move_on_after(wait):
                await told.wait()
            if self.silent:
                while await sock.recv():
                    pass
                return
