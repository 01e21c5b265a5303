"""The model of a discovery service: a versioned list, told late. No I/O; time is an argument."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

STATES = ("Ready", "Terminating", "Gone")
MOST_CHANGES = 10_000  # remembered; a watch that is further behind gets the whole list


@dataclass(frozen=True, slots=True)
class Entry:
    """One engine, in the platform's terms."""

    uid: str
    endpoint: str
    zone: str
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    weight: float = 1.0
    boot_ms: int = 0

    def as_json(self) -> dict[str, Any]:
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
    """Changes become visible `late_s` after they were published, in order."""

    def __init__(self, late_s: float = 0.0) -> None:
        self.late_s = late_s
        self._entries: dict[str, Entry] = {}
        self._changes: list[tuple[float, int, Entry]] = []  # visible at, version, entry
        self._version = 0
        self._forgotten = 0  # changes up to this version are known only in sum

    def publish(self, now: float, entry: Entry) -> None:
        if entry.state not in STATES:
            raise ValueError(f"state {entry.state!r} is none of {', '.join(STATES)}")
        self._version += 1
        self._changes.append((now + self.late_s, self._version, entry))
        while len(self._changes) > MOST_CHANGES and self._changes[0][0] <= now:
            self._apply(self._changes.pop(0))

    def set_state(self, now: float, uid: str, state: str) -> None:
        """Publish another state of an engine; KeyError if it was never published."""
        latest = next((e for _, _, e in reversed(self._changes) if e.uid == uid), self._entries.get(uid))
        if latest is None:
            raise KeyError(uid)
        self.publish(now, replace(latest, state=state))

    def _apply(self, change: tuple[float, int, Entry]) -> None:
        _, version, entry = change
        self._forgotten = version
        if entry.state == "Gone":
            self._entries.pop(entry.uid, None)
        else:
            self._entries[entry.uid] = entry

    def full_list(self, now: float) -> dict[str, Any]:
        entries, version = dict(self._entries), self._forgotten
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
        """What has become visible after this version; None if nothing has."""
        if version < self._forgotten or version > self._version:
            return self.full_list(now)
        seen = [(number, entry) for at, number, entry in self._changes if at <= now and number > version]
        if not seen:
            return None
        return {"rev": seen[-1][0], "all": False, "targets": [entry.as_json() for _, entry in seen]}

    def next_change_at(self, now: float) -> float | None:
        """When the next change becomes visible."""
        return next((at for at, _, _ in self._changes if at > now), None)
