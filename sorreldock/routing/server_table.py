"""The table of listed servers and their subchannels, updated from resolver results."""

from __future__ import annotations

from dataclasses import replace

from ..hashing import hash_text
from ..interface import ListKind, ReplicaEntry, ReplicaList, ReplicaState
from .subchannel import AttemptCallback, ProbeCallback, Subchannel, Update
from .types import ResolverResult, ServerClientFactory, Target


class ServerTable:
    """The subchannels of all listed servers; each one's actor starts with its first order."""

    def __init__(
        self,
        connect: ServerClientFactory,
        probe_protocol: str,
        on_ended: AttemptCallback,
        on_probed: ProbeCallback,
        drain_grace_s: float,
    ) -> None:
        self.subchannels: dict[int, Subchannel] = {}
        self._connect = connect
        self._probe_protocol = probe_protocol
        self._on_ended = on_ended
        self._on_probed = on_probed
        self._drain_grace_s = drain_grace_s

    def apply(self, result: ResolverResult, send_all: bool) -> ReplicaList | None:
        """Update the subchannels and return the change for the decision module, or None if there is none.

        Only entries that differ from the known ones are returned: a whole list of thousands of servers would
        delay decisions each time a watch is opened. With `send_all` all entries are returned, for a decision
        module that may have missed a change.
        """
        known = bool(self.subchannels) and not send_all
        # The same on every router, since the draw depends on it.
        numbers = [hash_text(target.uid) for target in result.targets]
        entries = self._drop_unlisted(set(numbers)) if result.kind is not ListKind.DELTA else []
        for number, target in zip(numbers, result.targets, strict=True):
            subchannel = self.subchannels.get(number)
            changed = subchannel is None or subchannel.target != target
            if changed:
                self._update(number, target)
            if changed or not known:
                entries.append(_entry(number, target))
        if known and not entries:
            return None
        return ReplicaList(ListKind.DELTA if known else result.kind, tuple(entries), result.version)

    def _drop_unlisted(self, listed: set[int]) -> list[ReplicaEntry]:
        unlisted = [number for number in self.subchannels if number not in listed]
        entries = [_entry(number, self.subchannels[number].target) for number in unlisted]
        for number in unlisted:
            self._remove(number)
        return [replace(entry, state=ReplicaState.GONE) for entry in entries]

    def _update(self, number: int, target: Target) -> None:
        known = self.subchannels.get(number)
        if target.state is ReplicaState.GONE:
            self._remove(number)
            return
        if known is not None and known.target.endpoint != target.endpoint:
            self._remove(number)
            known = None
        if known is None:
            known = self.subchannels[number] = Subchannel(
                number,
                target,
                self._connect,
                self._probe_protocol,
                self._on_ended,
                self._on_probed,
                self._drain_grace_s,
            )
        restarted = target.started_at > known.target.started_at
        known.target, known.ready = target, target.state is ReplicaState.READY
        known.post(Update(known.ready, restarted))

    def _remove(self, number: int) -> None:
        subchannel = self.subchannels.pop(number, None)
        if subchannel is not None:
            subchannel.ready = False
            subchannel.post(Update(False, False))
            subchannel.retire()


def _entry(number: int, target: Target) -> ReplicaEntry:
    return ReplicaEntry(
        number, target.zone, target.cell, target.weight, target.state, target.started_at, target.kind
    )
