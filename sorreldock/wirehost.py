"""A host for many gateways on standard input and output, each of which gets only its own events."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from . import wire
from .interface import Event, ListKind, ReplicaEntry, ReplicaList, SettingsError
from .rules import Gateway


class Host:
    """The gateways behind the simulator's wire, by name."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.clock = 0.0

    def deliver_pending(self, name: str, pending: dict[str, list[Event]]) -> list[str]:
        """Pass a gateway its pending events of this batch, and return the encoded replies."""
        events = pending.pop(name, [])
        if not events:
            return []
        if name not in self.gateways:
            raise wire.WireError(f"event for {name}, which has not been started")
        try:
            actions = self.gateways[name].handle(self.clock, events)
        except Exception as error:  # the wire requires a report of exceptions in the decisions
            return [wire.encode_crash(name, error)]
        return [wire.encode_action(name, action) for action in actions]

    def answer_batch(self, lines: Iterator[str]) -> list[str]:
        """Return the replies to one batch, whose first line has been read."""
        replies: list[str] = []
        pending: dict[str, list[Event]] = {}
        for line in lines:
            if line == "commit":
                for name in list(pending):
                    replies += self.deliver_pending(name, pending)
                return replies
            kind, fields = wire.split_line(line)
            name = fields.get("gateway", "")
            if not name:
                raise wire.WireError("field gateway is missing")
            if kind == "boot":
                replies += self.deliver_pending(name, pending)
                settings, seed = wire.decode_boot(fields)
                self.gateways[name] = Gateway(settings, seed)
            elif kind == "shutdown":
                pending.pop(name, None)
                self.gateways.pop(name, None)
            elif kind == "registry":
                pending.setdefault(name, []).append(self.read_list(fields, lines))
            else:
                pending.setdefault(name, []).append(wire.decode_event(kind, fields))
        raise wire.WireError("input ends within a batch")

    @staticmethod
    def read_list(fields: wire.Fields, lines: Iterator[str]) -> ReplicaList:
        """Decode a list of replicas; its entries are the lines that follow."""
        kind, version, count = wire.decode_list_head(fields)
        if kind is ListKind.LOST:
            count = 0
        entries: list[ReplicaEntry] = []
        while len(entries) < count:
            line = next(lines, None)
            if line is None:
                raise wire.WireError("input ends within a list")
            name, entry = wire.split_line(line)
            if name != "item":
                raise wire.WireError(f"{count - len(entries)} entries of the list are missing")
            entries.append(wire.decode_entry(entry))
        return ReplicaList(kind, tuple(entries), version)


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends; return the process's exit status."""
    host = Host()
    line = ""

    def read() -> Iterator[str]:
        nonlocal line
        for raw in source:
            line = raw.rstrip("\n").rstrip("\r")
            if line:
                yield line

    lines = read()
    try:
        for opening in lines:
            name, fields = wire.split_line(opening)
            if name != "turn":
                raise wire.WireError(f"a batch must begin with turn, not with {name!r}")
            host.clock = wire.decode_clock(fields)
            replies = host.answer_batch(lines)
            replies.append("eor\n")
            sink.write("\n".join(replies))
            sink.flush()
    except (wire.WireError, SettingsError, UnicodeDecodeError) as error:
        errors.write(f"sorreldock: {error}; the line was: {line[:400]}\n")
        return 1
    return 0


def main() -> None:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
