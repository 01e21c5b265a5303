"""The resolver: the platform's discovery, watched over HTTP/1.1. Its actor is the list's."""

from __future__ import annotations

import contextlib
import json
import math
import re
from collections.abc import Callable, Iterator
from typing import Any

import h11
import trio

from ...interface import ListKind, ReplicaState
from ...routing.types import Log, ResolverResult, Target
from ...transport.connection import Connection, ConnectionLost, Dial, DialFailed, dial

STATES = {
    "Ready": ReplicaState.READY,
    "Terminating": ReplicaState.DRAINING,
    "Gone": ReplicaState.GONE,
}
DIAL_S = 1.0
FIRST_S = 3.0  # discovery answers in turn and gives up on a call after 2 s
# An empty line comes every 2 s. Guards against a discovery that is cut off and says nothing: without this
# limit the list would grow old unnoticed, and the platform takes a router for told after `must_ask_in_s`.
STALL_S = 4.5
LARGEST_LIST = 4 * 1024 * 1024  # unless its reader is told otherwise
# Where lists are pushed an agent of this router's own has them: nobody else crowds there, so that a lost
# watch is opened anew at once, and while none comes up at most a second later.
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.02, 1.0
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListError(ValueError):
    """A list that is not of the platform's form."""


def decode_target(raw: Any) -> Target:
    try:
        target = Target(
            uid=str(raw["uid"]),
            endpoint=str(raw["endpoint"]),
            zone=str(raw.get("az", "")),
            kind=str(raw.get("model", "")),
            cell=int(raw.get("pod_group", 0)),
            state=STATES[raw["state"]],
            weight=float(raw.get("capacity_hint", 1.0)),
            started_at=float(raw.get("boot_ms", 0)) / 1000.0,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"an entry of the list is malformed: {error!r}") from None
    if not (math.isfinite(target.weight) and math.isfinite(target.started_at)):
        raise ListError("an entry of the list is malformed: a number is not finite")
    return target


def decode_result(raw: Any, kind: ListKind | None = None) -> ResolverResult:
    if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
        raise ListError("the list is not an object with targets")
    try:
        version = int(raw.get("rev", 0))
    except (TypeError, ValueError):
        raise ListError("rev is not a number") from None
    targets = tuple(decode_target(entry) for entry in raw["targets"])
    return ResolverResult(kind or (ListKind.FULL if raw.get("all") else ListKind.DELTA), targets, version)


def encode_result(result: ResolverResult) -> dict[str, Any]:
    """In the platform's form, for `decode_result`."""
    names = {state: name for name, state in STATES.items()}
    return {
        "rev": result.version,
        "all": result.kind is not ListKind.DELTA,
        "targets": [
            {
                "uid": t.uid, "endpoint": t.endpoint, "az": t.zone, "model": t.kind, "pod_group": t.cell,
                "state": names[t.state], "capacity_hint": t.weight,
                "boot_ms": round(t.started_at * 1000.0, 3),
            }
            for t in result.targets
        ],
    }  # fmt: skip


class ListReader:
    """The objects of a watch, from its bytes. One stands on a line as a rule; an indented one goes on over
    many, to the line on which its last bracket closes."""

    def __init__(self, largest: int = LARGEST_LIST) -> None:
        self._largest = largest
        self._rest = b""
        self._begun: list[bytes] = []  # the lines of an object that has not ended
        self._size = self._depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if self._depth == 0 and (line := line.strip()):
                try:
                    yield json.loads(line)
                    continue
                except (ValueError, RecursionError):  # the latter from brackets nested without end
                    self._begin(line)
            elif self._depth:
                self._take(line)
                if self._depth == 0:
                    yield self._end()
        if self._size + len(self._rest) > self._largest:
            raise ListError("the list is too long")

    def _begin(self, line: bytes) -> None:
        self._take(line)
        if self._depth <= 0:
            raise ListError("a line of the watch is not JSON")

    def _take(self, line: bytes) -> None:
        # Guards against an object that was cut off: the sign of life that follows is an empty line, which no
        # object has within, and without this its reader would wait for the end for ever.
        if not line.strip():
            raise ListError("an object of the watch breaks off")
        self._begun.append(line)
        self._size += len(line) + 1
        bare = STRING.sub(b"", line)
        self._depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        if self._depth < 0:
            raise ListError("a line of the watch is not JSON")

    def _end(self) -> Any:
        text, self._begun, self._size = b"\n".join(self._begun), [], 0
        try:
            return json.loads(text)
        except (ValueError, RecursionError):
            raise ListError("an object of the watch is not JSON") from None


class Resolver:
    """Watches when the module asks for it. When a watch ends it says so; the module asks again, after a
    jittered pause that doubles with each loss and stays within `must_ask_in_s`. Where lists are pushed nobody
    has to ask: it watches from the start on, and a watch that ends is opened anew here."""

    def __init__(
        self,
        address: str,
        version: int,
        on_result: Callable[[ResolverResult], None],
        log: Log,
        dial: Dial = dial,
        pushed: bool = False,
        largest: int = LARGEST_LIST,
    ) -> None:
        self._address = address
        self._version = version
        self._pushed = pushed
        self._largest = largest
        self.listed = trio.Event()  # once discovery has told anything
        self._on_result = on_result
        self._log = log
        self._dial = dial
        self._send, self._mailbox = trio.open_memory_channel[None](1)
        self._watching: trio.CancelScope | None = None
        self._pause = FIRST_PAUSE_S

    @property
    def version(self) -> int:
        return self._version

    def follow(self, version: int) -> None:
        """Begin where another process of this router is."""
        self._version = max(version, self._version)

    def subscribe(self) -> None:
        """Ask for a watch; asking while one is on is of no effect."""
        with contextlib.suppress(trio.WouldBlock):
            self._send.send_nowait(None)

    def move(self, address: str) -> None:
        """Watch another discovery from now on. The versions of one mean nothing to another, so it is asked
        for the whole list; until it answers, what is known holds."""
        self._address, self._version = address, 0
        if self._watching is not None:
            self._watching.cancel()
        else:  # between two watches: the new one need not wait for the pause after the loss
            self.subscribe()

    async def run(self) -> None:
        if self._pushed:
            self.subscribe()
        async for _ in self._mailbox:
            self._pause = FIRST_PAUSE_S
            while True:
                with trio.CancelScope() as self._watching:
                    reason = await self._attempt()
                    self._log("notice", "WATCH", "the watch on the list is lost", reason=reason)
                    if self._pushed:
                        await trio.sleep(self._pause)
                        self._pause = min(2.0 * self._pause, LONGEST_PAUSE_S)
                moved = self._watching.cancelled_caught
                self._watching = None
                if not (moved or self._pushed):
                    break
            self._on_result(ResolverResult(ListKind.LOST))

    async def _attempt(self) -> str:
        """One watch, to its end; tells why it ended."""
        try:
            await self._watch()
            return "ended"
        except (ConnectionLost, DialFailed, h11.RemoteProtocolError, ListError) as error:
            return str(error)
        except Exception as error:  # whatever discovery may send must not end the program
            return f"fault: {error!r}"

    async def _watch(self) -> None:
        connection = await self._dial(self._address, DIAL_S, lambda: None)
        try:
            await self._read(connection)
        finally:
            connection.close()

    async def _read(self, connection: Connection) -> None:
        parser = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method="GET",
            target=f"/discovery/hosts?watch=1&after={self._version}",
            headers=[("host", self._address)],
        )
        await connection.send((parser.send(request) or b"") + (parser.send(h11.EndOfMessage()) or b""))
        reader, limit = ListReader(self._largest), FIRST_S
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                with trio.move_on_after(limit) as stall:
                    data = await connection.receive()
                if stall.cancelled_caught:
                    raise ConnectionLost("stalled")
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ConnectionLost(f"HTTP {event.status_code}")
            elif isinstance(event, h11.Data):
                limit = STALL_S
                for raw in reader.feed(bytes(event.data)):
                    self._take(raw)
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                return

    def _take(self, raw: Any) -> None:
        result = decode_result(raw)
        self._version, self._pause = result.version, FIRST_PAUSE_S
        self._on_result(result)
        self.listed.set()
