"""The events of an answer over HTTP/1.1, read from its server's connection."""

from __future__ import annotations

from collections.abc import Iterator

import h11

from ...completeness import IncompleteAnswer
from ...interface import Metric
from ...transport.connection import ConnectionLost
from ...transport.ledger import Holding
from .. import server_client
from ..server_client import ServerProtocolError
from .event_stream import EventSplitter
from .server_connection import ServerConnection


class AnswerReader:
    """Reads the events of an answer whose head has arrived."""

    def __init__(self, connection: ServerConnection, load: dict[Metric, float]) -> None:
        self.splitter = EventSplitter()
        self.splitter.load = load
        self.holding = Holding(connection.events)
        self._connection = connection
        self._has_ended = False
        self._error: Exception | None = None

    @property
    def completed_events(self) -> int:
        """How many reads have completed events with data."""
        return self.splitter.completed_events

    @property
    def awaited(self) -> str:
        """What the server has to complete next, for the log."""
        return f"{self._connection.awaited}, {len(self.splitter)} bytes of an event received"

    async def wait_until_begun(self) -> None:
        """Wait until a part of the answer's body has been received."""
        await self._connection.wait_until_received()

    async def next_parts(self) -> list[bytes]:
        """Return the whole events that have been received, at least one; none at the end of the answer.

        When memory is short, the last one may be a part of an event. May be cancelled and called again.
        Raises ConnectionLost for an answer that is cut off, IncompleteAnswer for one that ends early and
        ServerProtocolError for an invalid one.
        """
        events: list[bytes] = []
        while not events and not self._has_ended:
            if self._error is not None:
                raise self._error
            events += self._accept(await self._connection.next_event())
        try:
            while not self._has_ended and (event := self._connection.buffered_event()) is not None:
                events += self._accept(event)
        except (ConnectionLost, ServerProtocolError, IncompleteAnswer) as error:
            self._error = error  # raised once the events before it are forwarded
        return events

    def _accept(self, event: h11.Event) -> Iterator[bytes]:
        """Yield the events that the next part of the answer completes."""
        if isinstance(event, h11.EndOfMessage):
            remainder = self.splitter.remainder()
            self._has_ended = True
            if remainder:
                yield remainder
            return
        if not isinstance(event, h11.Data):
            raise ConnectionLost("connection closed within the stream")
        self.holding.hold(len(event.data))
        events = self.splitter.feed(event.data)  # whether or not their chunk is complete
        if events:
            yield events
        if len(self.splitter) >= server_client.MIN_PART_BYTES and self.holding.account.is_full:
            yield self.splitter.take_part()
