"""The lab's directory as a discovery service on the simulated network, with the faults that it can have."""

from __future__ import annotations

import json

import trio

from ..directory import Directory, Entry
from .network import Host, VirtualSocket
from .readers import Head, HttpReader, ParseError

PORT = 7000
KEEP_ALIVE_S = 2.0


class VirtualDiscovery:
    """A discovery service on the virtual network.

    While `stale` is set, watches get keep-alives but no changes; while `silent` is set, they get nothing.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.directory = Directory()
        self.stale = self.silent = False
        self.malformed_lines: list[bytes] = []  # sent in place of the next lines, one per watch
        self._changed = trio.Event()

    @property
    def address(self) -> str:
        return f"{self.host.address}:{PORT}"

    def publish(self, entry: Entry) -> None:
        self.directory.publish(trio.current_time(), entry)
        self.notify_watches()

    def set_state(self, uid: str, state: str) -> None:
        self.directory.set_state(trio.current_time(), uid, state)
        self.notify_watches()

    def notify_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.host.serve(PORT, self._handle_connection, nursery)

    def shut_down(self) -> None:
        """Close the port and reset all watches."""
        for sock in list(self.host.sockets):
            sock.abort()
        self.notify_watches()

    async def _handle_connection(self, sock: VirtualSocket) -> None:
        try:
            reader = HttpReader(answers=False)
            while data := await sock.recv():
                for item in reader.feed(data):
                    if isinstance(item, Head):
                        await self._serve_watch(sock, item.start_line)
                        return
        except (OSError, trio.ClosedResourceError, ParseError):
            pass
        finally:
            sock.close()

    async def _serve_watch(self, sock: VirtualSocket, start_line: bytes) -> None:
        after = start_line.partition(b"after=")[2].split(b" ")[0].split(b"&")[0]
        version = int(after) if after.isdigit() else 0
        if self.silent:
            while await sock.recv():
                pass
            return
        await sock.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        is_first = True
        while not sock.closed and not sock.is_readable():
            changed = self._changed
            if self.malformed_lines:
                line = self.malformed_lines.pop() + b"\n"
            elif self.stale:
                line = b"\n"
            else:
                now = trio.current_time()
                update = (
                    self.directory.full_list(now)
                    if is_first and not version
                    else self.directory.changes_since(now, version)
                )
                is_first = False
                if update is not None:
                    version = update["rev"]
                line = (json.dumps(update).encode() if update is not None else b"") + b"\n"
            await sock.send_all(b"%x\r\n%b\r\n" % (len(line), line))
            wait_s = KEEP_ALIVE_S
            next_change_at = self.directory.next_change_at(trio.current_time())
            if next_change_at is not None:
                wait_s = min(wait_s, max(next_change_at - trio.current_time(), 0.0))
            with trio.move_on_after(wait_s):
                await changed.wait()
            if self.silent:
                while await sock.recv():
                    pass
                return
