"""The resolver: the platform's discovery, watched over HTTP/1.1. Its actor is the list's."""

from __future__ import annotations

import json
import math
import random
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import h11
import trio

from ...interface import ListKind, ReplicaState
from ...routing.types import Log, ResolverResult, Target
from ...transport.connection import Connection, ConnectionLost, Dial, DialFailed, dial
from .freshness import DIAL_S, Freshness

STATES = {
    "Ready": ReplicaState.READY,
    "Terminating": ReplicaState.DRAINING,
    "Gone": ReplicaState.GONE,
}
MAX_LIST_BYTES = 4 * 1024 * 1024  # unless its reader is told otherwise
TARGETS_AT_ONCE = 200  # decoded before others have their turn
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
    """Decode a list, or a change to it; ListError says what is wrong."""
    version = decode_version(raw)
    return _result(raw, version, map(decode_target, raw["targets"]), kind)


async def decode_in_slices(raw: Any) -> ResolverResult:
    """Do the same, and let other tasks run in between: a list may hold thousands."""
    version = decode_version(raw)
    targets: list[Target] = []
    for first in range(0, len(raw["targets"]), TARGETS_AT_ONCE):
        if first:
            await trio.lowlevel.checkpoint()
        targets += map(decode_target, raw["targets"][first : first + TARGETS_AT_ONCE])
    return _result(raw, version, targets)


def _result(
    raw: Any, version: int, targets: Iterable[Target], kind: ListKind | None = None
) -> ResolverResult:
    told = ListKind.FULL if raw.get("all") else ListKind.DELTA
    return ResolverResult(kind or told, tuple(targets), version)


def decode_version(raw: Any) -> int:
    """Return the version of a list; ListError if it is not of a list's form."""
    if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
        raise ListError("the list is not an object with targets")
    try:
        return int(raw.get("rev", 0))
    except (TypeError, ValueError):
        raise ListError("rev is not a number") from None


def encode_result(result: ResolverResult) -> dict[str, Any]:
    """In the platform's form, for `decode_result`."""
    names = {state: name for name, state in STATES.items()}
    return {
        "rev": result.version,
        "all": result.kind is not ListKind.DELTA,
        "targets": [
            {
                "uid": t.uid,
                "endpoint": t.endpoint,
                "az": t.zone,
                "model": t.kind,
                "pod_group": t.cell,
                "state": names[t.state],
                "capacity_hint": t.weight,
                "boot_ms": round(t.started_at * 1000.0, 3),
            }
            for t in result.targets
        ],
    }


class ListReader:
    """The objects of a watch, from its bytes. One stands on a line as a rule; an indented one goes on over
    many, to the line on which its last bracket closes.
    """

    def __init__(self, max_list_bytes: int = MAX_LIST_BYTES) -> None:
        self._max_list_bytes = max_list_bytes
        self._rest: list[bytes] = []  # the pieces of a line that has not ended
        self._rest_size = 0
        self._begun: list[bytes] = []  # the lines of an object that has not ended
        self._size = self._depth = 0
        self.signs = 0  # whole objects and empty lines so far

    def feed(self, data: bytes) -> Iterator[Any]:
        for line in self._whole_lines(data):
            if self._depth == 0:
                if not (line := line.strip()):
                    self.signs += 1
                    continue
                try:
                    raw = json.loads(line)
                    self.signs += 1
                    yield raw
                    continue
                except (ValueError, RecursionError):  # the latter from brackets nested without end
                    self._begin(line)
            else:
                self._take(line)
                if self._depth == 0:
                    self.signs += 1
                    yield self._end()
        if self._size + self._rest_size > self._max_list_bytes:
            raise ListError("the list is too long")

    def _whole_lines(self, data: bytes) -> list[bytes]:
        """Return the lines that end in this piece. Pieces are joined once: a line may come byte by byte."""
        if b"\n" not in data:
            self._rest.append(data)
            self._rest_size += len(data)
            return []
        *lines, rest = b"".join([*self._rest, data]).split(b"\n")
        self._rest, self._rest_size = [rest], len(rest)
        return lines

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
    """Watches, from soon after the start on, and opens a watch that ended anew, after the pauses of
    `Freshness`. The module hears nothing of losses: two that ask make twice the calls, of a whole fleet.
    """

    def __init__(
        self,
        address: str,
        version: int,
        on_result: Callable[[ResolverResult], None],
        log: Log,
        dial: Dial = dial,
        pushed: bool = False,
        max_list_bytes: int = MAX_LIST_BYTES,
        must_ask_in_s: float = 10.0,
        seed: int = 0,
    ) -> None:
        self._address = address
        self._version = version
        self._max_list_bytes = max_list_bytes
        self._freshness = Freshness(pushed, must_ask_in_s)
        self._draw = random.Random(seed).random
        self.first_list_received = trio.Event()  # once discovery has told anything
        self._on_result = on_result
        self._log = log
        self._dial = dial
        self._watching = trio.CancelScope()

    @property
    def version(self) -> int:
        return self._version

    def start_from(self, version: int) -> None:
        """Begin where another process of this router is."""
        self._version = max(version, self._version)

    def change_address(self, address: str) -> None:
        """Watch another discovery from now on. The versions of one mean nothing to another, so it is asked
        for the whole list; until it answers, what is known holds.
        """
        self._address, self._version = address, 0
        self._freshness.moved(trio.current_time())
        self._watching.cancel()  # or the pause before it

    async def run(self) -> None:
        pause = self._freshness.first(trio.current_time(), self._draw())
        while True:
            with trio.CancelScope() as self._watching:
                await trio.sleep(pause)
                reason = await self._attempt()
                pause = self._freshness.lost(trio.current_time())
                self._log("notice", "WATCH", "the watch on the list is lost", reason=reason, pause_s=pause)
            if self._watching.cancelled_caught:
                pause = 0.0

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
        self._freshness.began(trio.current_time())
        connection = await self._dial(self._address, DIAL_S, lambda: None)
        self._freshness.met(trio.current_time())
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
        reader, signs = ListReader(self._max_list_bytes), 0
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                # Guards against a discovery that is cut off and says nothing, or that trickles: without the
                # limit the list would grow old unnoticed.
                with trio.move_on_at(self._freshness.deadline) as stall:
                    data = await connection.receive()
                if stall.cancelled_caught:
                    raise ConnectionLost("stalled")
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ConnectionLost(f"HTTP {event.status_code}")
                self._freshness.opened(trio.current_time())
            elif isinstance(event, h11.Data):
                for raw in reader.feed(bytes(event.data)):
                    self._follow_result(await decode_in_slices(raw))
                if reader.signs > signs:
                    signs = reader.signs
                    self._freshness.sign(trio.current_time())
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                return

    def _follow_result(self, result: ResolverResult) -> None:
        if result.kind is ListKind.DELTA and result.version < self._version:
            # Guards the drain rule: an older change would bring back servers that have begun to end.
            self._log(
                "notice", "WATCH", "an older change is left out", rev=result.version, known=self._version
            )
            return
        self._version = result.version
        self._on_result(result)
        self.first_list_received.set()
