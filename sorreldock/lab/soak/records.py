"""What the soak's clients and servers note, for the invariants. Times are trio's, in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Exchange:
    """One request as its client saw it."""

    trace_id: str
    router: str
    budget_s: float  # how long the client waits for the first event, from the request's last byte
    repeatable: bool = True
    resent: bool = False  # once more, since a resting connection ended under it
    begun_at: float = 0.0  # its client began to connect, or to write on a connection that it had kept
    sent_at: float = 0.0  # its last byte was written
    left_at: float | None = None  # the client closed its connection first
    first_at: float | None = None  # the answer's head came
    ended_at: float | None = None  # the answer's last byte, or the connection's end
    status: int = 0  # of the answer; 0: none came
    whole: bool = False
    body: bytes = b""


@dataclass(slots=True)
class Arrival:
    """One attempt as a stand-in server saw it."""

    trace_id: str
    server: str
    begun_at: float  # its first byte was read
    told_s: float  # the time that it was given
    ended_at: float | None = None  # answered, or its connection ended
    broken: bool = False  # the server itself ended the stream before its end
    served: bytes = b""  # the events written


@dataclass(slots=True)
class Life:
    """One router process from its start to its end."""

    router: str
    started_at: float
    told_to_end_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL was sent; until `ended_at` the kernel may still accept for it
    ended_at: float | None = None
    status: int | None = None  # of its exit


@dataclass(slots=True)
class Records:
    """All that was noted in one run."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    ending_since: dict[str, float] = field(default_factory=dict)  # by server: discovery had it
    told: dict[tuple[str, str], float] = field(default_factory=dict)  # by router and server: it was written
    outages: list[tuple[float, float | None]] = field(default_factory=list)  # of discovery
    longest_lag_s: float = 0.0  # by which the harness itself ran late
