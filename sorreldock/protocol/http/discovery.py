"""The resolver, which watches the server list of the platform's discovery over HTTP/1.1."""

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
from .freshness import CONNECT_TIMEOUT_S, WatchSchedule

STATES = {
    "Ready": ReplicaState.READY,
    "Terminating": ReplicaState.DRAINING,
    "Gone": ReplicaState.GONE,
}
MAX_LIST_BYTES = 4 * 1024 * 1024  # if the program sets no other limit
TARGETS_PER_SLICE = 200  # decoded at a time, before other tasks run
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListError(ValueError):
    """Raised for a server list that does not have the platform's format."""


def decode_target(raw: Any) -> Target:
    """Decode an entry of a list; raise ListError if it is malformed."""
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
    """Decode a list or a change to it; raise ListError if it is malformed."""
    version = decode_version(raw)
    return _result(raw, version, map(decode_target, raw["targets"]), kind)


async def decode_in_slices(raw: Any) -> ResolverResult:
    """Decode a list or a change to it in slices, between which other tasks run.

    A list may hold thousands of entries. Raises ListError if it is malformed.
    """
    version = decode_version(raw)
    targets: list[Target] = []
    for first in range(0, len(raw["targets"]), TARGETS_PER_SLICE):
        if first:
            await trio.lowlevel.checkpoint()
        targets += map(decode_target, raw["targets"][first : first + TARGETS_PER_SLICE])
    return _result(raw, version, targets)


def _result(
    raw: Any, version: int, targets: Iterable[Target], kind: ListKind | None = None
) -> ResolverResult:
    stated_kind = ListKind.FULL if raw.get("all") else ListKind.DELTA
    return ResolverResult(kind or stated_kind, tuple(targets), version)


def decode_version(raw: Any) -> int:
    """Return the version of a list; raise ListError if it does not have the format of a list."""
    if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
        raise ListError("the list is not an object with targets")
    try:
        return int(raw.get("rev", 0))
    except (TypeError, ValueError):
        raise ListError("rev is not a number") from None


def encode_result(result: ResolverResult) -> dict[str, Any]:
    """Return a result in the platform's format, as `decode_result` reads it."""
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
    """An incremental parser of the JSON objects of a watch.

    An object usually takes one line; an indented one ends with the line that closes its last bracket.
    """

    def __init__(self, max_list_bytes: int = MAX_LIST_BYTES) -> None:
        self._max_list_bytes = max_list_bytes
        self._partial_line: list[bytes] = []  # the pieces of an incomplete line
        self._partial_line_size = 0
        self._object_lines: list[bytes] = []  # the lines of an incomplete object
        self._object_size = self._depth = 0
        self.heartbeats = 0  # complete objects and empty lines so far

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the objects that the data completes; raise ListError for invalid or oversized ones."""
        for line in self._complete_lines(data):
            if self._depth == 0:
                if not (line := line.strip()):
                    self.heartbeats += 1
                    continue
                try:
                    raw = json.loads(line)
                    self.heartbeats += 1
                    yield raw
                    continue
                except (ValueError, RecursionError):  # the latter for excessive nesting
                    self._begin_object(line)
            else:
                self._add_line(line)
                if self._depth == 0:
                    self.heartbeats += 1
                    yield self._end_object()
        if self._object_size + self._partial_line_size > self._max_list_bytes:
            raise ListError("the list is too long")

    def _complete_lines(self, data: bytes) -> list[bytes]:
        """Return the lines that end in this piece.

        Pieces are joined only once, since a line may arrive byte by byte.
        """
        if b"\n" not in data:
            self._partial_line.append(data)
            self._partial_line_size += len(data)
            return []
        *lines, rest = b"".join([*self._partial_line, data]).split(b"\n")
        self._partial_line, self._partial_line_size = [rest], len(rest)
        return lines

    def _begin_object(self, line: bytes) -> None:
        self._add_line(line)
        if self._depth <= 0:
            raise ListError("a line of the watch is not JSON")

    def _add_line(self, line: bytes) -> None:
        # An empty line is a heartbeat and never part of an object, so the object was truncated. Without this
        # check the reader would wait for its end for ever.
        if not line.strip():
            raise ListError("an object of the watch is truncated")
        self._object_lines.append(line)
        self._object_size += len(line) + 1
        without_strings = JSON_STRING.sub(b"", line)
        self._depth += sum(map(without_strings.count, (b"{", b"["))) - sum(
            map(without_strings.count, (b"}", b"]"))
        )
        if self._depth < 0:
            raise ListError("a line of the watch is not JSON")

    def _end_object(self) -> Any:
        text, self._object_lines, self._object_size = b"\n".join(self._object_lines), [], 0
        try:
            return json.loads(text)
        except (ValueError, RecursionError):
            raise ListError("an object of the watch is not JSON") from None


class Resolver:
    """The client of discovery, which keeps a watch open and restarts it after the pauses of `WatchSchedule`.

    The decision module is not informed of lost watches: if it subscribed as well, the fleet would make twice
    as many calls.
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
        self._outdated_version: int | None = None  # of the last change, if it was outdated
        self._max_list_bytes = max_list_bytes
        self._schedule = WatchSchedule(pushed, must_ask_in_s)
        self._draw = random.Random(seed).random
        self.first_list_received = trio.Event()  # set once discovery has sent a list
        self._on_result = on_result
        self._log = log
        self._dial = dial
        self._watching = trio.CancelScope()

    @property
    def version(self) -> int:
        """The version of the latest known list."""
        return self._version

    def start_from(self, version: int) -> None:
        """Watch from the list version of a peer process, if it is newer than the known one."""
        self._version = max(version, self._version)

    def change_address(self, address: str) -> None:
        """Watch another discovery from now on.

        Versions of different discoveries are not comparable, so the whole list is requested; until it
        arrives, the known list stays in use.
        """
        self._address, self._version = address, 0
        self._schedule.address_changed(trio.current_time())
        self._watching.cancel()  # the watch, or the pause before it

    async def run(self) -> None:
        """Keep a watch open until cancelled."""
        pause = self._schedule.first_pause(trio.current_time(), self._draw())
        while True:
            with trio.CancelScope() as self._watching:
                await trio.sleep(pause)
                reason = await self._watch_once()
                pause = self._schedule.retry_pause(trio.current_time())
                self._log("notice", "WATCH", "watch on the server list lost", reason=reason, pause_s=pause)
            if self._watching.cancelled_caught:
                pause = 0.0

    async def _watch_once(self) -> str:
        """Run one watch to its end, and return the reason for its end."""
        try:
            await self._watch()
            return "ended"
        except (ConnectionLost, DialFailed, h11.RemoteProtocolError, ListError) as error:
            return str(error)
        except Exception as error:  # nothing that discovery sends may end the program
            return f"fault: {error!r}"

    async def _watch(self) -> None:
        self._schedule.call_started(trio.current_time())
        connection = await self._dial(self._address, CONNECT_TIMEOUT_S, lambda: None)
        self._schedule.connected(trio.current_time())
        try:
            await self._read(connection)
        finally:
            connection.close()

    async def _read(self, connection: Connection) -> None:
        self._outdated_version = None
        parser = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method="GET",
            target=f"/discovery/hosts?watch=1&after={self._version}",
            headers=[("host", self._address)],
        )
        await connection.send((parser.send(request) or b"") + (parser.send(h11.EndOfMessage()) or b""))
        reader, heartbeats = ListReader(self._max_list_bytes), 0
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                # Detects a discovery that is unreachable and silent, or that sends too slowly: without this
                # timeout the list would become outdated without notice.
                with trio.move_on_at(self._schedule.deadline) as stall:
                    data = await connection.receive()
                if stall.cancelled_caught:
                    raise ConnectionLost("stalled")
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ConnectionLost(f"HTTP {event.status_code}")
                self._schedule.answer_started(trio.current_time())
            elif isinstance(event, h11.Data):
                for raw in reader.feed(bytes(event.data)):
                    self._follow_result(await decode_in_slices(raw))
                if reader.heartbeats > heartbeats:
                    heartbeats = reader.heartbeats
                    self._schedule.heartbeat(trio.current_time())
            elif isinstance(event, h11.InformationalResponse):
                continue
            else:
                return

    def _follow_result(self, result: ResolverResult) -> None:
        if result.kind is ListKind.DELTA and result.version < self._version:
            if self._outdated_version is not None and result.version > self._outdated_version:
                # A process that repeats old changes does not count on from them: this is another one, whose
                # versions are not comparable.
                self._version, self._outdated_version = 0, None
                raise ListError("the versions are those of another discovery process")
            self._outdated_version = result.version
            # An older change could list servers as ready that have begun to drain since.
            self._log(
                "notice",
                "WATCH",
                "ignoring an outdated change of the server list",
                rev=result.version,
                known=self._version,
            )
            return
        self._version, self._outdated_version = result.version, None
        self._on_result(result)
        self.first_list_received.set()
