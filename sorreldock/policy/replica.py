"""What one gateway knows of one replica."""

from __future__ import annotations

import math
from typing import Protocol

from ..hashing import mix
from ..interface import ReplicaEntry

SALT_STEP = 0x9E3779B97F4A7C15
MIN_WEIGHT = 1e-6  # in place of a listed weight of 0 or less, so that straw lengths stay comparable


class Group(Protocol):
    """A set of replicas that keeps sums over its members."""

    open_attempts: int

    def capacity_changed(self, replica: Replica) -> None:
        """Update the sums after a change of a member's capacity."""

    def weight_changed(self, replica: Replica) -> None:
        """Update the sums after a change of a member's weight."""


class Replica:
    """What this gateway knows of one replica; times are seconds of the gateway's clock."""

    def __init__(self, entry: ReplicaEntry) -> None:
        self.groups: tuple[Group, ...] = ()
        self.salt = mix(entry.replica + SALT_STEP)
        self._entry = entry
        self._weight = entry.weight if entry.weight > 0 else MIN_WEIGHT
        self._open_attempts = 0
        self.peer_process_attempts = 0  # open attempts of the peer process; included in `open_attempts`
        self.reset_learned()

    def reset_learned(self) -> None:
        """Drop everything that was learned about the previous server process."""
        self.ejected_until = self.first_token_at = self.load_reported_at = self.probed_at = -math.inf
        self.failure_count = 0
        self.probed_as_sample = False
        self.estimated_first_token_s = self.refusal_level = 0.0
        # A process that listens after `no_listener_at` has started since then.
        self.probe_answered_at = self.refused_at = self.no_listener_at = -math.inf
        # Of the attempts with a first token, the one sent last: when it was sent, and its first-token time.
        self.latest_started_attempt = (-math.inf, 0.0)
        self.report_values: tuple[float, ...] = ()
        self.rejection_probability = self.load = 0.0

    @property
    def entry(self) -> ReplicaEntry:
        """The replica's entry in discovery's list."""
        return self._entry

    @entry.setter
    def entry(self, entry: ReplicaEntry) -> None:
        restarted = entry.started_at != self._entry.started_at
        self._entry = entry
        if restarted:
            self._notify_capacity_changed()

    @property
    def weight(self) -> float:
        """The replica's share in the draw, in the unit of the list's weights."""
        return self._weight

    @weight.setter
    def weight(self, weight: float) -> None:
        weight = weight if weight > 0 else MIN_WEIGHT
        if weight != self._weight:
            self._weight = weight
            for group in self.groups:
                group.weight_changed(self)

    @property
    def open_attempts(self) -> int:
        """Open attempts of this gateway at the replica, streams included."""
        return self._open_attempts

    @open_attempts.setter
    def open_attempts(self, open_attempts: int) -> None:
        for group in self.groups:
            group.open_attempts += open_attempts - self._open_attempts
        self._open_attempts = open_attempts

    @property
    def ejected_until(self) -> float:
        """The time at which the replica's ejection after a failure ends."""
        return self._ejected_until

    @ejected_until.setter
    def ejected_until(self, until: float) -> None:
        self._ejected_until = until
        self._notify_capacity_changed()

    @property
    def no_listener_at(self) -> float:
        """The last time at which no process listened at the replica's address."""
        return self._no_listener_at

    @no_listener_at.setter
    def no_listener_at(self, at: float) -> None:
        self._no_listener_at = at
        self._notify_capacity_changed()

    @property
    def started_at(self) -> float:
        """The latest known start of the replica's server process; 0 or less means long ago."""
        return max(self._entry.started_at, self._no_listener_at)

    def _notify_capacity_changed(self) -> None:
        for group in self.groups:
            group.capacity_changed(self)
