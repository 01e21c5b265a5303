"""What callers of the library handle: requests, settings, errors."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .policy.picker import Endpoint, PickRules
from .policy.reconnect import ReconnectRules

MAX_BODY_BYTES = 256 * 1024  # bytes; the routers take no more
NAME_PATTERN = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]{0,198}[\x21-\x7e])?")
PREFIX_PATTERN = re.compile(r"[^,]*")
PROTOCOLS = ("http", "kserve")
MakeRest = Callable[[bytes, "list[bytes]"], bytes]


class ClientError(Exception):
    """A call had no whole answer.

    Attributes: `cause` (a few words), `may_have_run` (whether an engine may have run the request),
    `retry_after_s` (the router's advice in seconds, from now; None without one), `attempts`, `retries`,
    `router` (the last one asked; "" if none was).
    """

    def __init__(
        self,
        cause: str,
        *,
        may_have_run: bool = False,
        retry_after_s: float | None = None,
        attempts: int = 0,
        retries: int = 0,
        router: str = "",
    ) -> None:
        super().__init__(cause)
        self.cause = cause
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s
        self.attempts, self.retries, self.router = attempts, retries, router

    def __str__(self) -> str:
        parts = [self.cause]
        if self.retry_after_s is not None:
            parts.append(f"come again in {self.retry_after_s:.3g} s")
        if self.may_have_run:
            parts.append("the request may have run")
        return "; ".join(parts)


class Refused(ClientError):
    """The router turned the request away: trying again later is harmless.

    `may_have_run` is true alone where an attempt before it, of a class declared safe to repeat, may have.
    """


class Failed(ClientError):
    """No answer began, for another reason than the deadline."""


class DeadlineExceeded(ClientError):
    """No event came before the caller's deadline, or none could have."""


class Broken(ClientError):
    """The answer was cut off after it had begun. `received` holds the events that came, in order."""

    def __init__(self, cause: str, received: list[bytes], **words: object) -> None:
        super().__init__(cause, may_have_run=True, **words)  # type: ignore[arg-type]
        self.received = received


class ClientClosed(Failed):
    """The client was closed while the call was open, or belongs to another process."""


def _check_name(value: str, field_name: str, is_required: bool = False) -> None:
    if not isinstance(value, str):
        raise ValueError(f"{field_name} is not a text: {value!r}")
    if not value and not is_required:
        return
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"{field_name} is not 1 to 200 printable ASCII characters: {value[:40]!r}")


@dataclass(frozen=True, slots=True)
class Request:
    """One request. Lengths are in tokens, 0 for unknown; `body` is JSON over HTTP, and the model's input over
    KServe. `rest` makes the body that asks for the rest of a broken answer from the first body and the events
    that came (default: `rest_of`). ValueError for what no router could read.
    """

    rpc_class: str
    body: bytes = b"{}"
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    max_output_tokens: int = 0
    model: str = "desc"  # KServe's model name; HTTP names it in the body
    rest: MakeRest | None = None

    def __post_init__(self) -> None:
        _check_name(self.rpc_class, "rpc_class", is_required=True)
        for name in ("tenant", "session", "prefix", "model"):
            _check_name(getattr(self, name), name)
        if not PREFIX_PATTERN.fullmatch(self.prefix):
            raise ValueError(f"prefix holds a comma: {self.prefix[:40]!r}")
        for name in ("prompt_tokens", "prefix_tokens", "max_output_tokens"):
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 10**9:
                raise ValueError(f"{name} is not a whole number from 0 to 999999999: {value!r}")
        if not isinstance(self.body, bytes):
            raise ValueError("body is not bytes")
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError(f"body holds {len(self.body)} bytes, more than {MAX_BODY_BYTES}")


def text_of(event: bytes) -> str:
    """The text that an event of the platform's stream adds; "" for events that add none."""
    parts = []
    for line in event.splitlines():
        if not line.startswith(b"data: {"):
            continue
        try:
            for choice in json.loads(line[6:])["choices"]:
                parts.append(choice.get("delta", {}).get("content") or "")
        except (ValueError, LookupError, TypeError, AttributeError, RecursionError):
            continue
    return "".join(p for p in parts if isinstance(p, str))


def rest_of(body: bytes, received: list[bytes]) -> bytes:
    """The body that asks for the rest: a chat's with what came as the assistant's beginning; any other as it
    was, since the service then knows the request by its session.
    """
    try:
        chat = json.loads(body)
        messages = chat["messages"]
        answer_text = "".join(map(text_of, received))
    except (ValueError, LookupError, TypeError, RecursionError):
        return body
    if not isinstance(messages, list) or not answer_text:
        return body
    chat["messages"] = [*messages, {"role": "assistant", "content": answer_text}]
    continued = json.dumps(chat, separators=(",", ":")).encode()
    return continued if len(continued) <= MAX_BODY_BYTES else body


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """How a client behaves; times in seconds. ValueError for what makes no sense."""

    max_retries: int = 1
    safe_classes: Collection[str] = ()  # that may run twice; else what may have run is never repeated
    retry_share: float = 0.2  # tokens of the retry budget that a first send adds
    retry_reserve: float = 3.0  # tokens at the start
    retry_burst: float = 10.0  # tokens at most
    retry_pause_s: float = 0.25  # after a refusal without advice
    resume: bool = False  # ask for the rest of a broken answer (HTTP, where the service lets clients)
    name: str = ""  # draws the subset; "": drawn at random
    zone: str = ""  # the client's own; routers of it come first
    pick: PickRules = field(default_factory=PickRules)
    reconnect: ReconnectRules = field(default_factory=ReconnectRules)
    max_connections: int = 64  # to one router
    dial_timeout_s: float = 2.0
    idle_s: float = 4.0  # connections at rest are closed then: below the 5 s of the routers
    silence_s: float = 5.0  # within an answer; longer, and the router or its machine is taken for gone
    ping_s: float = 2.0  # KServe: a quiet busy connection is pinged; unanswered as long again, it ends
    longest_pause_s: float = 60.0  # that a router's advice may ask of other calls
    largest_event: int = 1024 * 1024  # bytes

    def __post_init__(self) -> None:
        retries = self.max_retries
        if isinstance(retries, bool) or not isinstance(retries, int) or retries < 0:
            raise ValueError(f"max_retries is not a whole number from 0 on: {retries!r}")
        for name in (
            "retry_share",
            "retry_reserve",
            "retry_burst",
            "retry_pause_s",
            "longest_pause_s",
        ):
            value = getattr(self, name)
            if not 0 <= value < math.inf:
                raise ValueError(f"{name} is not a number from 0 on: {value!r}")
        for name in ("dial_timeout_s", "idle_s", "silence_s", "ping_s", "max_connections", "largest_event"):
            value = getattr(self, name)
            if not 0 < value < math.inf:
                raise ValueError(f"{name} is not a positive number: {value!r}")


def parse_endpoint(router: str | Endpoint) -> Endpoint:
    """`host:port`, or `[v6]:port`, checked; ValueError says what is wrong."""
    checked = router if isinstance(router, Endpoint) else Endpoint(router)
    host, _, port = checked.address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{checked.address!r} is not host:port")
    return checked
