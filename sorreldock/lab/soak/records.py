"""Records of the soak's clients, servers and router processes; times are trio's, in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Exchange:
    """One request and its answer as seen by the client."""

    trace_id: str
    router: str
    timeout_s: float  # for the first event, from the request's last byte
    repeatable: bool = True
    resent: bool = False  # sent again because the idle connection used first was closed
    started_at: float = 0.0  # start of connecting, or of writing on a kept connection
    sent_at: float = 0.0  # the request's last byte was written
    abandoned_at: float | None = None  # the client closed the connection before the answer was complete
    head_received_at: float | None = None  # the answer's header section was received
    ended_at: float | None = None  # end of the answer or of the connection
    status: int = 0  # of the answer; 0 without one
    is_complete: bool = False
    body: bytes = b""
    arrivals: list[tuple[float, int]] = field(default_factory=list)  # time, and bytes of the body by then


@dataclass(slots=True)
class ReceivedAttempt:
    """One attempt as received by an emulated server."""

    trace_id: str
    server: str
    received_at: float  # the first byte was read
    timeout_s: float  # the time limit in the request
    ended_at: float | None = None  # end of the answer or of the connection
    was_cut_off: bool = False  # the server closed the connection in the middle of the answer
    sent_body: bytes = b""  # the events that were written, without those of a spoilt part
    event_times: list[tuple[float, int]] = field(default_factory=list)  # time, and bytes of the body by then


@dataclass(slots=True)
class ProcessRun:
    """One router process from start to exit."""

    router: str
    started_at: float
    terminated_at: float | None = None  # SIGTERM was sent
    killed_at: float | None = None  # SIGKILL was sent; the kernel may accept connections until `ended_at`
    ended_at: float | None = None
    status: int | None = None  # exit status; negative: the number of the signal
    peak_memory_mb: float = 0.0
    memory_limit_mb: float = 0.0  # 0 for none


@dataclass(slots=True)
class Records:
    """All records of one run."""

    exchanges: list[Exchange] = field(default_factory=list)
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    process_runs: list[ProcessRun] = field(default_factory=list)
    withdrawn_at: dict[str, float] = field(default_factory=dict)  # by server: time of the change in discovery
    # By router and server: when the withdrawal was written to the watch.
    notified_at: dict[tuple[str, str], float] = field(default_factory=dict)
    # Start and end of each outage of discovery.
    outages: list[tuple[float, float | None]] = field(default_factory=list)
    max_lag_s: float = 0.0  # maximum delay of the timers of the test process itself
