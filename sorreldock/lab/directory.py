"""A model of a discovery service: a versioned list whose changes become visible late.

It does no I/O, and time is an argument.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

STATES = ("Ready", "Terminating", "Gone")
MAX_STORED_CHANGES = 10_000  # a watch that is further behind gets the full list


@dataclass(frozen=True, slots=True)
class Entry:
    """One server in the list, with the platform's attributes."""

    uid: str
    endpoint: str
    zone: str
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    weight: float = 1.0
    boot_ms: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the entry under the platform's keys."""
        return {
            "uid": self.uid,
            "endpoint": self.endpoint,
            "az": self.zone,
            "model": self.kind,
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": self.weight,
            "boot_ms": self.boot_ms,
        }


class Directory:
    """A versioned list of servers; changes become visible in order, `delay_s` after they are published."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self._entries: dict[str, Entry] = {}
        self._changes: list[tuple[float, int, Entry]] = []  # time of visibility, version, entry
        self._version = 0
        self._applied_version = 0  # changes up to this version are in `_entries` and no longer stored

    def publish(self, now: float, entry: Entry) -> None:
        """Publish a new or changed entry; ValueError if its state is unknown."""
        if entry.state not in STATES:
            raise ValueError(f"state {entry.state!r} is none of {', '.join(STATES)}")
        self._version += 1
        self._changes.append((now + self.delay_s, self._version, entry))
        while len(self._changes) > MAX_STORED_CHANGES and self._changes[0][0] <= now:
            self._apply(self._changes.pop(0))

    def set_state(self, now: float, uid: str, state: str) -> None:
        """Publish a new state of a server; KeyError if it was never published."""
        latest = next((e for _, _, e in reversed(self._changes) if e.uid == uid), self._entries.get(uid))
        if latest is None:
            raise KeyError(uid)
        self.publish(now, replace(latest, state=state))

    def _apply(self, change: tuple[float, int, Entry]) -> None:
        _, version, entry = change
        self._applied_version = version
        if entry.state == "Gone":
            self._entries.pop(entry.uid, None)
        else:
            self._entries[entry.uid] = entry

    def full_list(self, now: float) -> dict[str, Any]:
        """Return the full list visible at `now`, in discovery's format."""
        entries, version = dict(self._entries), self._applied_version
        for visible_at, number, entry in self._changes:
            if visible_at > now:
                break
            version = number
            if entry.state == "Gone":
                entries.pop(entry.uid, None)
            else:
                entries[entry.uid] = entry
        return {"rev": version, "all": True, "targets": [e.as_json() for e in entries.values()]}

    def changes_since(self, now: float, version: int) -> dict[str, Any] | None:
        """Return the visible changes after `version`, or None; the full list if they are no longer stored."""
        if version < self._applied_version or version > self._version:
            return self.full_list(now)
        visible = [(number, entry) for at, number, entry in self._changes if at <= now and number > version]
        if not visible:
            return None
        return {"rev": visible[-1][0], "all": False, "targets": [entry.as_json() for _, entry in visible]}

    def next_change_at(self, now: float) -> float | None:
        """Return when the next change becomes visible; None without a pending one."""
        return next((at for at, _, _ in self._changes if at > now), None)
