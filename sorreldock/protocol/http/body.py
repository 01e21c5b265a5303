"""The bodies of requests: reading one within the limits on its size, its time and its memory."""

from __future__ import annotations

from contextlib import suppress
from typing import Protocol

import h11
import trio

from ...transport.blocks import BlockBuffer
from ...transport.connection import ConnectionLost
from .. import front as limits
from ..partial_requests import PartialRequest, PartialRequests
from ..request_pace import BODY_TIMEOUT_S, STALL_TIMEOUT_S, RequestPace
from .answers import CLOSE, ImmediateAnswer, PayloadRefused


class MemoryForPayloads(Protocol):
    """The part of a front that gives memory for requests."""

    partial_requests: PartialRequests

    def reserve_payload(self, request: PartialRequest, count: int) -> bool: ...

    def release_payload(self, count: int) -> None: ...


class RequestSource(Protocol):
    """The connection from which a body is read."""

    async def next_event(self) -> h11.Event | None:
        """Return the next event of the request; None when the client has closed its sending side."""

    def release_parsed(self) -> None:
        """Release the memory of pipelined bytes that have been parsed."""

    @property
    def readable(self) -> bool:
        """Whether received bytes wait to be read."""

    @property
    def is_within_body(self) -> bool:
        """Whether the end of the body has not been parsed yet."""


class BodyReader:
    """Reads the bodies of one connection, one after the other.

    It doesn't refer to the connection: a cycle would keep the memory of both until the next collection.
    """

    def __init__(self, memory: MemoryForPayloads, now: float) -> None:
        self._memory = memory
        self._body = BlockBuffer()
        self.reserved_bytes = 0
        self.began_at = now
        self._is_refused_for_memory = False
        self._pace = RequestPace(now)
        self._stall = trio.CancelScope()  # of the wait for more

    async def read(self, source: RequestSource, length: bytes = b"0") -> BlockBuffer:
        """Return the body of the source's request, whose Content-Length is `length`.

        Raises the answer to a body that is too large, too slow or without memory.
        """
        expected_bytes = int(length) if length.isdigit() else 0
        if expected_bytes > limits.MAX_BODY_BYTES:
            raise ImmediateAnswer(413, "the body is larger than 256 KiB", (CLOSE,))
        self._body, self._is_refused_for_memory = BlockBuffer(expected_bytes), False
        self._memory.partial_requests.add(self)
        try:
            self._pace = RequestPace(self.began_at)
            while await self._read_part(source, expected_bytes or limits.MAX_BODY_BYTES):
                pass
            # Not kept here, which would keep it in memory, uncounted, while the answer streams.
            body, self._body = self._body, BlockBuffer()
            return body
        finally:
            self._memory.partial_requests.remove(self)

    async def _read_part(self, source: RequestSource, expected_bytes: int) -> bool:
        """Read more of the body, and return False at its end."""
        event = await self._next_event(source)
        if self._is_refused_for_memory:
            raise PayloadRefused
        if self._stall.cancelled_caught:
            raise ImmediateAnswer(408, "the body does not go on", (CLOSE,))
        if isinstance(event, h11.EndOfMessage):
            return False
        if not source.readable and self._pace.is_too_slow(trio.current_time(), expected_bytes):
            raise ImmediateAnswer(408, "the body arrives too slowly", (CLOSE,))
        if not isinstance(event, h11.Data):
            raise ConnectionLost("the client closed the connection within its body")
        if len(self._body) + len(event.data) > limits.MAX_BODY_BYTES:
            raise ImmediateAnswer(413, "the body is larger than 256 KiB", (CLOSE,))
        source.release_parsed()
        if not self._body.add(event.data, self._reserve):
            raise PayloadRefused
        return True

    async def _next_event(self, source: RequestSource) -> h11.Event | None:
        """Return the next event of a body; None at the end of the time for it, too."""
        self._pace.record(trio.current_time(), len(self._body))
        while True:
            with trio.move_on_at(self._pace.next_byte_by()) as self._stall:
                return await source.next_event()
            if self._is_refused_for_memory or not source.readable:
                return None
            self._pace.excuse(trio.current_time())

    def _reserve(self, count: int) -> bool:
        return self._memory.reserve_payload(self, count)

    async def discard(self, source: RequestSource) -> None:
        """Read the rest of a refused request's body, since further requests may follow it."""
        self.drop()
        with trio.move_on_after(BODY_TIMEOUT_S), suppress(ImmediateAnswer):
            while source.is_within_body:
                with trio.move_on_after(STALL_TIMEOUT_S) as stall:
                    event = await source.next_event()
                if stall.cancelled_caught or event is None:
                    return
                source.release_parsed()

    def refuse_for_memory(self) -> None:
        self._is_refused_for_memory = True
        self.drop()
        self._stall.cancel()

    def drop(self) -> None:
        """Drop what has been read, and release its memory."""
        self._body.clear()
        self.release()

    def release(self) -> None:
        """Release the memory budget of the body, which nobody needs any more."""
        self._memory.release_payload(self.reserved_bytes)
        self.reserved_bytes = 0
