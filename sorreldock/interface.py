"""The settings, events and actions of a `Gateway`.

Times are seconds of the clock whose time is passed to `Gateway.handle`; sizes of prompts are in tokens.
Attempts are numbered from 0 within their request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class SettingsError(ValueError):
    """A required setting is missing or has an impossible value; the message names it."""


class Effect(Enum):
    """Whether a request of a class may be executed more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The replicas among which a repeated keyed request is recognized and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Metric(Enum):
    """A kind of value in a replica's load report."""

    IN_FLIGHT = "in_flight"
    QUEUE_LENGTH = "queue_length"
    UTILIZATION = "utilization"
    LATENCY_MS = "latency_ms"
    REQUEST_RATE = "request_rate"
    ERROR_RATE = "error_rate"
    MEMORY_SHARE = "memory_share"
    UNREAD_KTOKENS = "unread_ktokens"
    OTHER = "other"


class ReportVia(Enum):
    """The way in which load reports reach a gateway."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


class WeightKind(Enum):
    """The meaning of a replica's listed weight; only LIVE ones change with load."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests as the settings describe it.

    The aimed response time is `aim_s` plus `aim_s_per_1k_tokens` for each 1000 tokens of the prompt. Repeats
    of a keyed request are dropped for `dedup_window_s`.
    """

    name: str
    aim_s: float
    deadline_s: float
    effect: Effect = Effect.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_s: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    streamed: bool = False
    aim_s_per_1k_tokens: float = 0.0
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its request quota and its share of the traffic."""

    name: str
    quota_per_s: float
    share: float


@dataclass(frozen=True, slots=True)
class Limits:
    """The actions that the settings allow, and their bounds."""

    max_attempts: int = 1
    cancel: bool = False
    parallel_attempts: bool = False
    probes: bool = False
    peers: bool = False
    retry_advice: bool = False
    max_retry_after_s: float = 0.0
    resume_streams: bool = False
    connect_timeout_s: float = 0.2
    conn_idle_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Prices:
    """The price of one unit of each kind of cost, as a fraction of the whole result."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer_message: float = 0.0
    late_failure: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    list_lines: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    """The figures of the four rules that every gateway keeps."""

    drain_grace_s: float
    cold_share: float
    warm_up_s: float
    overload_multiple: float
    overload_window_s: float
    answer_slack_s: float
    list_max_age_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The description of its deployment that a gateway gets at its start."""

    zone: str
    zones: tuple[str, ...]
    gateway: int
    gateways: int
    classes: tuple[RequestClass, ...]
    limits: Limits
    prices: Prices
    guarantees: Guarantees
    metrics: tuple[Metric, ...] = ()
    reports_via: ReportVia = ReportVia.NONE
    weights: WeightKind = WeightKind.NONE
    must_ask_for_list: bool = False
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0
    tick_s: float = 0.001


class ReplicaState(Enum):
    """The state of a replica in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list of replicas relates to the gateway's present one."""

    DELTA = "delta"  # only the entries that changed
    FULL = "full"  # replaces the present list
    CACHED = "cached"  # replaces the present list with a copy that may be outdated
    LOST = "lost"  # the subscription to changes has ended; the list has no entries


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the server rejected it for overload, before it ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    NO_LISTENER = "no_listener"  # the connection was refused: no process listens at the address
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """One replica as the list describes it; `started_at` of 0 or less means long ago."""

    replica: int
    zone: str
    cell: int = 0
    weight: float = 1.0
    state: ReplicaState = ReplicaState.READY
    started_at: float = 0.0
    kind: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaList:
    """A list of replicas, or a change to it."""

    kind: ListKind
    entries: tuple[ReplicaEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request has arrived.

    `shared_prefix` names the beginning of the prompt that the request shares with others, and
    `prefix_tokens` is its length.
    """

    request: str
    request_class: str
    expires_at: float
    session: str = ""
    shared_prefix: str = ""
    tenant: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    max_output_tokens: int = 0
    cost_hint_s: float = 0.0
    is_retry: bool = False
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of an attempt's answer has arrived."""

    request: str
    attempt: int
    replica: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; if `final` is set, the request has ended with it."""

    request: str
    attempt: int
    replica: int
    status: Status
    latency_s: float
    final: bool
    cached_tokens: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client of a request has disconnected or cancelled it."""

    request: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended."""

    replica: int
    status: Status
    latency_s: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway has arrived."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that a `SetTimer` action set has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class OutElsewhere:
    """The peer process has sent its numbers of open attempts, by replica."""

    counts: dict[int, int]


@dataclass(frozen=True, slots=True)
class Learned:
    """The peer process has sent a snapshot of its gateway."""

    snapshot: dict[str, Any]


Event = (
    ReplicaList
    | RequestArrived
    | FirstToken
    | AttemptEnded
    | ClientGone
    | ProbeEnded
    | PeerMessage
    | TimerFired
    | OutElsewhere
    | Learned
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a request at a replica."""

    request: str
    replica: int
    timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse a request; the client may send it again without harm."""

    request: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail a request that may have run and must not be repeated."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer that results in a `TimerFired` event."""

    delay_s: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a replica for its health and load."""

    replica: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to one other gateway, or to all."""

    payload: bytes
    peer: int | None = field(default=None)


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to discovery's changes of the list."""


Action = (
    StartAttempt
    | CancelAttempt
    | RefuseRequest
    | FailRequest
    | SetTimer
    | Probe
    | SendPeerMessage
    | Subscribe
)

# Former names of the actions, kept for existing imports.
Send = StartAttempt
Cancel = CancelAttempt
Refuse = RefuseRequest
Fail = FailRequest
TellPeers = SendPeerMessage
