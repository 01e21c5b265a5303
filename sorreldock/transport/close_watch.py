"""Detection of closes on connections from which nothing is read for now."""

from __future__ import annotations

import trio

from .connection import Connection

POLL_INTERVAL_S = 0.05


class CloseWatch:
    """Polls the TCP state of connections whose received bytes stay unread, since no read reports their close.

    One task polls for all that wait, so that the cost of a poll does not grow with the timers and wake-ups of
    many tasks. It is that of any waiter; when that one leaves, another takes over.
    """

    def __init__(self) -> None:
        self._waiting: dict[Connection, trio.Event] = {}
        self._is_polling = False

    async def wait_closed(self, connection: Connection) -> None:
        """Wait until the peer has closed the connection; only one task may wait for each."""
        wake = self._waiting[connection] = trio.Event()
        try:
            while not connection.has_peer_closed():
                if self._is_polling:
                    await wake.wait()
                    wake = self._waiting[connection] = trio.Event()
                else:
                    await self._poll_until_closed(connection)
        finally:
            del self._waiting[connection]

    async def _poll_until_closed(self, own: Connection) -> None:
        """Poll for all waiting connections until this one is closed."""
        self._is_polling = True
        try:
            while not own.has_peer_closed():
                await trio.sleep(POLL_INTERVAL_S)
                for connection, wake in self._waiting.items():
                    if connection is not own and connection.has_peer_closed():
                        wake.set()
        finally:
            self._is_polling = False
            for connection, wake in self._waiting.items():
                if connection is not own:
                    wake.set()  # one of them polls from now on
                    break
