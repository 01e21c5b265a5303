"""What fronts, engine clients and the resolver exchange with the core."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..interface import ListKind, Metric, ReplicaState, RequestClass, Status


class Outcome(Enum):
    """The final answer of an RPC."""

    SERVED = "served"
    REFUSED = "refused"  # the unavailable status: trying again is harmless
    FAILED = "failed"
    BROKEN = "broken"  # the stream had begun and was cut off
    GONE = "gone"  # the client left first; nobody is there to answer


class Cause(Enum):
    """Why an RPC was not served."""

    NONE = "none"
    DEADLINE = "deadline"
    SERVER = "engine"
    CAPACITY = "capacity"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer of an RPC, with its cause."""

    outcome: Outcome
    cause: Cause = Cause.NONE
    may_have_run: bool = False
    retry_after_s: float = 0.0
    server_status: object = None  # what the engine said, for the front of the same protocol


class SinkClosed(Exception):
    """The client can take no more of the answer."""


class EventSink(Protocol):
    """Where a front takes an answer. `finish` is called exactly once."""

    async def send_event(self, data: bytes) -> None:
        """Pass a piece of the answer on; waits while the client is slow, SinkClosed when it has gone."""

    def finish(self, final: FinalAnswer) -> None: ...

    def has_client_left(self) -> bool:
        """Whether the client has closed or cancelled, as far as a look without waiting tells."""


@dataclass(slots=True)
class RPC:
    """A request without its wire. `payload` is read only by the engine client of the same protocol."""

    name: str
    protocol: str
    rpc_class: str
    expires_in_s: float  # from now until the first event
    payload: object
    sink: EventSink
    session: str = ""
    prefix: str = ""
    tenant: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    max_output_tokens: int = 0
    is_retry: bool = False
    resumed: bool = False
    named_by_client: bool = True  # no other open RPC may have this name
    expires_at: float = 0.0  # on trio's clock; set by the core
    key: str = ""  # the core's own id; set by the core


class Overloaded(Exception):
    """As many RPCs are open as there may be."""


class NameTaken(Exception):
    """Another open RPC has this name."""


class RPCDispatcher(Protocol):
    """The core, as a front sees it."""

    def closed_without_answer(self, rpc: str, reason: str) -> None:
        """A connection ended with an answer owed though its client had not left."""

    classes: Mapping[str, RequestClass]
    tenants: Collection[str]

    def submit(self, rpc: RPC) -> None:
        """Take an RPC, whose sink gets exactly one final answer; Overloaded when there are too many,
        NameTaken when an open one has its name.
        """

    def client_gone(self, rpc: RPC, reason: str = "") -> None:
        """The client has left; of no effect once the RPC is answered. The reason is for the log."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt or a probe ended."""

    status: Status
    load: dict[Metric, float] = field(default_factory=dict)
    cached_tokens: int = 0
    note: str = ""
    server_status: object = None  # the engine's own answer to a faulty request, to be passed on as it is


class AttemptProgress(Protocol):
    """What an engine client tells of a call attempt while it is out."""

    def may_send(self) -> bool:
        """Asked right before the first byte is written."""

    def mark_written(self) -> None:
        """Told once the last byte is written: from now on the request may run."""

    def first_event_timeout_s(self) -> float:
        """For how long the router will wait for the first event, from the moment of that question."""

    async def forward_event(self, data: bytes) -> None: ...


class ServerClient(Protocol):
    """Speaks one protocol with one engine. A cancelled call gives the engine up by closing its connection."""

    async def call(self, rpc: RPC, progress: AttemptProgress) -> AttemptResult: ...

    async def probe(self) -> AttemptResult: ...

    def close_idle(self) -> None: ...

    def trim(self) -> None: ...

    def discard(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Target:
    """An engine, as the resolver names it."""

    uid: str
    endpoint: str
    zone: str
    kind: str = ""
    cell: int = 0
    state: ReplicaState = ReplicaState.READY
    weight: float = 1.0
    started_at: float = 0.0  # Unix time in seconds


@dataclass(frozen=True, slots=True)
class ResolverResult:
    """A list of engines, or a change to it, from discovery."""

    kind: ListKind
    targets: tuple[Target, ...] = ()
    version: int = 0


ServerClientFactory = Callable[[str], dict[str, ServerClient]]  # an endpoint's clients, by protocol
Log = Callable[..., None]  # (severity, message id, text, **structured data)
