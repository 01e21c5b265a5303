"""What two processes that are one router say to each other and agree on, without I/O.

A record is four bytes of length and a JSON object; the first one each way carries the version. Which ones
there are, and who sends them, stands in docs/in-operation.md.
"""

from __future__ import annotations

import json
import struct
from dataclasses import replace
from typing import Any

from ..interface import ListKind, ReplicaState
from ..routing.types import ResolverResult, Target

VERSION = 1
LONGEST = 1024 * 1024
LENGTH = struct.Struct("!I")
LEAVERS_PART = 16  # descriptors that a process which leaves may still take, for attempts of what it has taken


class Broken(ValueError):
    """The other side does not speak this protocol."""


def encode(kind: str, **values: Any) -> bytes:
    body = json.dumps({"kind": kind, **values}, separators=(",", ":")).encode()
    if len(body) > LONGEST:
        raise Broken(f"a record of {len(body)} bytes")
    return LENGTH.pack(len(body)) + body


class Records:
    """Cuts whole records out of what arrives."""

    def __init__(self) -> None:
        self._held = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        self._held += data
        found = []
        while len(self._held) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._held)
            if length > LONGEST:
                raise Broken(f"a record of {length} bytes")
            end = LENGTH.size + length
            if len(self._held) < end:
                break
            try:
                record = json.loads(self._held[LENGTH.size : end])
            except (ValueError, RecursionError):
                raise Broken("a record that is not JSON") from None
            if not isinstance(record, dict) or not isinstance(record.get("kind"), str):
                raise Broken("a record without a kind")
            found.append(record)
            del self._held[:end]
        return found


def greeting_fault(record: dict[str, Any]) -> str:
    """Why this first record can't be followed; empty if it can."""
    if record.get("version") != VERSION:
        return f"version {record.get('version')!r}, not {VERSION}"
    if record["kind"] == "fail":
        return str(record.get("why", ""))[:200]
    return ""


def number(record: dict[str, Any], name: str) -> int:
    value = record.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise Broken(f"{name} is no number: {value!r}"[:200])
    return value


def counts(record: dict[str, Any], name: str) -> dict[int, int]:
    value = record.get(name)
    if not isinstance(value, dict) or not all(isinstance(n, int) for n in value.values()):
        raise Broken(f"{name} holds no counts")
    try:
        return {int(key): n for key, n in value.items()}
    except ValueError:
        raise Broken(f"{name} holds no counts") from None


def portion(usable: int, used: int, leaving: bool, others_used: int, other_leaves: bool) -> int:
    """How many of the descriptors that both may use together this process may use by itself.

    While both serve, each has half, and whoever holds more lets go before the other one can have it. Of one
    that leaves, what it holds counts, and it takes nothing new but for attempts of what it has taken.
    """
    if leaving:
        return used + LEAVERS_PART
    if other_leaves:
        return max(usable - others_used - LEAVERS_PART, LEAVERS_PART)
    return max(usable - max(others_used, usable // 2), LEAVERS_PART)


class Notices:
    """The drain rule across both processes: what one of them has been told of an engine's end holds for the
    other, whose own watch may be behind.
    """

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, float]] = {}  # by uid: the list's version, the engine's start

    def news(self, result: ResolverResult) -> tuple[Target, ...]:
        """The ends of engines in what this process was told by discovery, for the other one."""
        return tuple(t for t in result.targets if t.state is not ReplicaState.READY)

    def heard(self, result: ResolverResult) -> None:
        """The other process was told this."""
        for target in result.targets:
            version, _ = self._told.get(target.uid, (-1, 0.0))
            if result.version > version:
                self._told[target.uid] = result.version, target.started_at

    def held(self, result: ResolverResult) -> ResolverResult:
        """This process's own result, without what is older than such a notice."""
        if result.kind is ListKind.LOST or not self._told:
            return result
        kept = []
        for target in result.targets:
            version, started_at = self._told.get(target.uid, (-1, 0.0))
            if result.version >= version or target.started_at > started_at:
                self._told.pop(target.uid, None)
                kept.append(target)
            elif target.state is not ReplicaState.READY:
                kept.append(target)
        return replace(result, targets=tuple(kept))
