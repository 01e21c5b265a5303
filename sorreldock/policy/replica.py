"""What one gateway knows of one replica."""

from __future__ import annotations

import math
from typing import Protocol

from ..hashing import mix
from ..interface import ReplicaEntry

SALT_STEP = 0x9E3779B97F4A7C15
LEAST_WEIGHT = 1e-6  # of a replica that is listed with none: its straws stay comparable


class Group(Protocol):
    """A set of replicas with sums that follow its members."""

    open_attempts: int

    def changed(self, replica: Replica) -> None:
        """Take note that the member's capacity is another one now."""

    def reweighted(self, replica: Replica) -> None:
        """Take note that the member's weight is another one now."""


class Replica:
    """What this gateway knows of one replica. Times are those of the gateway's clock, in seconds."""

    def __init__(self, entry: ReplicaEntry) -> None:
        self.groups: tuple[Group, ...] = ()
        self.salt = mix(entry.replica + SALT_STEP)
        self._entry = entry
        self._weight = entry.weight if entry.weight > 0 else LEAST_WEIGHT
        self._open_attempts = 0
        self.elsewhere = 0  # attempts that another process of this gateway has out there; part of `busy`
        self.forget()

    def forget(self) -> None:
        """Drop all that was learned of the process that ran before."""
        self.failed_until = self.first_at = self.load_at = self.probed_at = self.heard_at = -math.inf
        self.failure_count = 0
        self.fair = False
        self.first_s = self.refused = 0.0
        self.refused_at = self.down_at = -math.inf  # down: no process listened, who does has started since
        self.passed = (-math.inf, 0.0)  # of the attempt sent last that has begun: when, and its first token
        self.values: tuple[float, ...] = ()
        self.p = self.load = 0.0

    @property
    def entry(self) -> ReplicaEntry:
        """Its entry of the list."""
        return self._entry

    @entry.setter
    def entry(self, entry: ReplicaEntry) -> None:
        restarted = entry.started_at != self._entry.started_at
        self._entry = entry
        if restarted:
            self._tell_changed()

    @property
    def weight(self) -> float:
        """Its share in the draw, in the unit of the list."""
        return self._weight

    @weight.setter
    def weight(self, weight: float) -> None:
        weight = weight if weight > 0 else LEAST_WEIGHT
        if weight != self._weight:
            self._weight = weight
            for group in self.groups:
                group.reweighted(self)

    @property
    def open_attempts(self) -> int:
        """Attempts of this gateway that are out there, streams included."""
        return self._open_attempts

    @open_attempts.setter
    def open_attempts(self, open_attempts: int) -> None:
        for group in self.groups:
            group.open_attempts += open_attempts - self._open_attempts
        self._open_attempts = open_attempts

    @property
    def failed_until(self) -> float:
        """When its flag ends; it has none from then on."""
        return self._failed_until

    @failed_until.setter
    def failed_until(self, until: float) -> None:
        self._failed_until = until
        self._tell_changed()

    @property
    def down_at(self) -> float:
        """When no process listened there last."""
        return self._down_at

    @down_at.setter
    def down_at(self, at: float) -> None:
        self._down_at = at
        self._tell_changed()

    @property
    def started_at(self) -> float:
        """When its process started at the latest, as far as is known; 0 or less: long ago."""
        return max(self._entry.started_at, self._down_at)

    def _tell_changed(self) -> None:
        for group in self.groups:
            group.changed(self)
