"""Types that the fronts, the server clients and the resolver exchange with the core."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..interface import ListKind, Metric, ReplicaState, RequestClass, Status


class Outcome(Enum):
    """The kind of final answer that an RPC got."""

    SERVED = "served"
    REFUSED = "refused"  # answered with the protocol's "unavailable": the client may safely retry
    FAILED = "failed"
    BROKEN = "broken"  # the response stream had begun and was cut off
    GONE = "gone"  # the client disconnected or cancelled before the end of its answer


class Cause(Enum):
    """The reason why an RPC was not served."""

    NONE = "none"
    DEADLINE = "deadline"
    SERVER = "engine"
    CAPACITY = "capacity"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer of an RPC, with the cause of a failure."""

    outcome: Outcome
    cause: Cause = Cause.NONE
    may_have_run: bool = False
    retry_after_s: float = 0.0
    server_status: object = None  # the server's own status, which the front of the same protocol forwards


class SinkClosed(Exception):
    """Raised by a sink when the client can't receive the rest of its answer."""


class EventSink(Protocol):
    """The receiver of an RPC's answer, implemented by the fronts; `finish` is called exactly once."""

    async def send_events(self, *events: bytes) -> None:
        """Send events of the answer to the client, waiting while it reads slowly.

        When memory is short, an event may come in several parts. Raises SinkClosed when the client has
        disconnected.
        """

    def finish(self, final: FinalAnswer) -> None:
        """Take the final answer, to be written without blocking the caller."""

    def has_client_left(self) -> bool:
        """Return whether the client is known, without waiting, to have disconnected or cancelled."""


@dataclass(slots=True)
class RPC:
    """A request in a form that is independent of its protocol.

    Only the server client of the same protocol reads `payload`, which is None once it is no longer needed.
    """

    name: str
    protocol: str
    rpc_class: str
    expires_in_s: float  # time left until the first event, as of `submit`
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
    named_by_client: bool = True  # if so, no other open RPC of this protocol may have the name
    expires_at: float = 0.0  # on trio's clock; set by the core
    key: str = ""  # unique id of this RPC; set by the core


class Overloaded(Exception):
    """Raised when the limit on open RPCs is reached."""


class NameTaken(Exception):
    """Raised when another open RPC of the same protocol has this name."""


class MayHaveRun(NameTaken):
    """Raised when a server may have run a request of this name, whose class must not run twice."""


class RPCDispatcher(Protocol):
    """The part of the core that the fronts use."""

    def record_unanswered_close(self, rpc: str, reason: str) -> None:
        """Record that a connection was closed before its answer though the client had not disconnected."""

    classes: Mapping[str, RequestClass]
    tenants: Collection[str]

    def submit(self, rpc: RPC) -> None:
        """Accept an RPC, whose sink gets exactly one final answer.

        Raises Overloaded when too many RPCs are open, NameTaken when an open one has the same name, and
        MayHaveRun when an earlier one had it that must not run twice.
        """

    def cancel_rpc(self, rpc: RPC, reason: str = "") -> None:
        """Cancel the RPC of a client that has disconnected; does nothing once the RPC is answered.

        `reason` is written to the log.
        """


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt or of a probe."""

    status: Status
    load: dict[Metric, float] = field(default_factory=dict)
    cached_tokens: int = 0
    note: str = ""
    server_status: object = None  # the server's own answer to an invalid request, forwarded unchanged


class AttemptProgress(Protocol):
    """The interface through which a server client reports on an attempt in flight."""

    def may_send(self) -> bool:
        """Return whether the request may be written; called right before its first byte."""

    def mark_written(self) -> None:
        """Record that the last byte of the request was written: from now on the server may run it."""

    def first_event_timeout_s(self) -> float:
        """Return how long the router waits for the first event, counted from the last `may_send`."""

    def may_be_repeated(self) -> bool:
        """Return whether another attempt may follow once the server may have run this one."""

    async def forward_events(self, *events: bytes) -> None:
        """Forward events of the answer or parts of one; raise SinkClosed if the client can't receive them."""


class ServerClient(Protocol):
    """A client for one protocol of one server; cancelling an attempt closes its connection.

    `change_process` closes all idle connections and keeps none of the others, `trim` closes those that have
    been idle too long to be used again, and `discard` ends the use of the client.
    """

    async def run_attempt(self, rpc: RPC, progress: AttemptProgress) -> AttemptResult:
        """Send an RPC to the server, forward the answer and return the result.

        A failure of the server is a result; SinkClosed is raised if the client can't receive the answer.
        """

    async def probe(self) -> AttemptResult:
        """Request the health and load of the server; a failure is a result, too."""

    def change_process(self) -> None: ...

    def trim(self) -> None: ...

    def discard(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Target:
    """A server as listed by the discovery service."""

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
    """A list of servers, or a change to the list, from discovery."""

    kind: ListKind
    targets: tuple[Target, ...] = ()
    version: int = 0


ServerClientFactory = Callable[[str], dict[str, ServerClient]]  # the clients of an endpoint, by protocol
Log = Callable[..., None]  # (severity, record name, text, **structured data)
