"""The records between the two processes of a takeover, and the rules that both follow; without I/O.

A record is four bytes of length and a JSON object; the first one in each direction has the version. The kinds
of records and their senders are listed in docs/in-operation.md.
"""

from __future__ import annotations

import json
import struct
from dataclasses import replace
from typing import Any

from ..interface import ListKind, ReplicaState
from ..routing.types import ResolverResult, Target

VERSION = 1
MAX_RECORD_BYTES = 1024 * 1024
MAX_KEYS_PER_RECORD = 10_000
LENGTH_PREFIX = struct.Struct("!I")
LEAVING_PROCESS_DESCRIPTORS = 16  # that a leaving process may take for attempts of its open requests


class PeerProtocolError(ValueError):
    """The peer process doesn't follow the protocol, or the connection to it has ended."""


def encode(kind: str, **values: Any) -> bytes:
    """Return a record's bytes; raises PeerProtocolError for one that is too long."""
    body = json.dumps({"kind": kind, **values}, separators=(",", ":")).encode()
    if len(body) > MAX_RECORD_BYTES:
        raise PeerProtocolError(f"record is too long: {len(body)} bytes")
    return LENGTH_PREFIX.pack(len(body)) + body


class Records:
    """A parser that splits received bytes into records."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Add received bytes, and return the records that are complete."""
        self._buffer += data
        records = []
        while len(self._buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
            if length > MAX_RECORD_BYTES:
                raise PeerProtocolError(f"record is too long: {length} bytes")
            end = LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            try:
                record = json.loads(self._buffer[LENGTH_PREFIX.size : end])
            except (ValueError, RecursionError):
                raise PeerProtocolError("record is not JSON") from None
            if not isinstance(record, dict) or not isinstance(record.get("kind"), str):
                raise PeerProtocolError("record has no kind")
            records.append(record)
            del self._buffer[:end]
        return records


def greeting_error(record: dict[str, Any]) -> str:
    """Return why a first record is not acceptable, or an empty string if it is."""
    if record.get("version") != VERSION:
        return f"version {record.get('version')!r}, not {VERSION}"
    if record["kind"] == "fail":
        return str(record.get("why", ""))[:200]
    return ""


def count_field(record: dict[str, Any], name: str) -> int:
    """Return a field that has to be a non-negative integer."""
    value = record.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise PeerProtocolError(f"{name} is not a non-negative integer: {value!r}"[:200])
    return value


def counts_field(record: dict[str, Any], name: str) -> dict[int, int]:
    """Return a field that has to be a map of counts by replica."""
    value = record.get(name)
    if not isinstance(value, dict) or not all(isinstance(count, int) for count in value.values()):
        raise PeerProtocolError(f"{name} is not a map of counts")
    try:
        return {int(key): count for key, count in value.items()}
    except ValueError:
        raise PeerProtocolError(f"{name} is not a map of counts") from None


def keys_field(record: dict[str, Any], name: str) -> list[int]:
    """Return a field that has to be a list of integers."""
    value = record.get(name)
    if not isinstance(value, list) or not all(type(key) is int for key in value):
        raise PeerProtocolError(f"{name} is not a list of keys")
    return value


def descriptor_share(usable: int, used: int, leaving: bool, peer_used: int, peer_leaving: bool) -> int:
    """Return how many of the `usable` descriptors of both processes this process may use.

    While both serve, each has half, and a process that uses more releases some before the other one can have
    them. A leaving process keeps what it uses, and takes new ones only for attempts of its open requests.
    """
    if leaving:
        return used + LEAVING_PROCESS_DESCRIPTORS
    if peer_leaving:
        return max(usable - peer_used - LEAVING_PROCESS_DESCRIPTORS, LEAVING_PROCESS_DESCRIPTORS)
    return max(usable - max(peer_used, usable // 2), LEAVING_PROCESS_DESCRIPTORS)


class DrainNotices:
    """Drain notices that peer processes have sent.

    The drain rule holds for both processes together: once one of them has received the end of a server from
    discovery, the other one may not send to it either, though its own watch may be behind.
    """

    def __init__(self) -> None:
        self._received: dict[str, tuple[int, float]] = {}  # by uid: the list's version, the server's start

    def notices_in(self, result: ResolverResult) -> tuple[Target, ...]:
        """Return the targets of a result that are ending, to be sent to the peer processes."""
        return tuple(t for t in result.targets if t.state is not ReplicaState.READY)

    def receive(self, result: ResolverResult) -> None:
        """Record the notices that a peer process has sent."""
        for target in result.targets:
            version, _ = self._received.get(target.uid, (-1, 0.0))
            if result.version > version:
                self._received[target.uid] = result.version, target.started_at

    def without_outdated(self, result: ResolverResult) -> ResolverResult:
        """Return a result of this process's watch without targets that are older than their notice."""
        if result.kind is ListKind.LOST or not self._received:
            return result
        kept = []
        for target in result.targets:
            version, started_at = self._received.get(target.uid, (-1, 0.0))
            if result.version >= version or target.started_at > started_at:
                self._received.pop(target.uid, None)
                kept.append(target)
            elif target.state is not ReplicaState.READY:
                kept.append(target)
        return replace(result, targets=tuple(kept))
