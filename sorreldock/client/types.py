"""The public types of the client library: requests, settings and errors."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .policy.picker import Endpoint, PickRules
from .policy.reconnect import ReconnectRules

MAX_BODY_BYTES = 256 * 1024  # the routers' limit
NAME_PATTERN = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]{0,198}[\x21-\x7e])?")
PREFIX_PATTERN = re.compile(r"[^,]*")
PROTOCOLS = ("http", "kserve")
MakeRest = Callable[[bytes, "list[bytes]"], bytes]


class ClientError(Exception):
    """A call ended without a complete answer; the base class of all errors of a call.

    Attributes: `cause` (a short description), `may_have_run` (whether a server may have run the request),
    `retry_after_s` (the delay from now that the router advises before a retry, in seconds; None without
    advice), `attempts` and `retries` (how many there were), `router` (the address of the last router that
    got an attempt; "" for none).
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
            parts.append(f"retry after {self.retry_after_s:.3g} s")
        if self.may_have_run:
            parts.append("the request may have run")
        return "; ".join(parts)


class Refused(ClientError):
    """The router refused the request, which did not run; a later retry is harmless.

    `may_have_run` is true only if an earlier attempt, of a class declared safe to repeat, may have run.
    """


class Failed(ClientError):
    """The call failed before an answer began, for a reason other than a refusal or the deadline."""


class DeadlineExceeded(ClientError):
    """No event arrived before the caller's deadline, or none could have."""


class Broken(ClientError):
    """The answer was cut off after it had begun; `received` holds the events that arrived, in order."""

    def __init__(self, cause: str, received: list[bytes], **details: object) -> None:
        super().__init__(cause, may_have_run=True, **details)  # type: ignore[arg-type]
        self.received = received


class ClientClosed(Failed):
    """The client is closed, was closed during the call, is not entered yet, or belongs to another process."""


def _check_name(value: str, field_name: str, is_required: bool = False) -> None:
    if not isinstance(value, str):
        raise ValueError(f"{field_name} is not a string: {value!r}")
    if not value and not is_required:
        return
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(f"{field_name} is not 1 to 200 printable ASCII characters: {value[:40]!r}")


@dataclass(frozen=True, slots=True)
class Request:
    """A request, checked at its creation; ValueError for one that no router could read.

    `body` is JSON over HTTP, and the model's input over KServe. The lengths (`*_tokens`) are in tokens, 0 for
    unknown. `rest` is a function that returns the body of the request for the rest of a broken answer, given
    `body` and the events received (default: `rest_of`).
    """

    rpc_class: str
    body: bytes = b"{}"
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    max_output_tokens: int = 0
    model: str = "desc"  # KServe's model name; over HTTP the body names the model
    rest: MakeRest | None = None

    def __post_init__(self) -> None:
        _check_name(self.rpc_class, "rpc_class", is_required=True)
        for name in ("tenant", "session", "prefix", "model"):
            _check_name(getattr(self, name), name)
        if not PREFIX_PATTERN.fullmatch(self.prefix):
            raise ValueError(f"prefix contains a comma: {self.prefix[:40]!r}")
        for name in ("prompt_tokens", "prefix_tokens", "max_output_tokens"):
            value = getattr(self, name)
            if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 10**9:
                raise ValueError(f"{name} is not an integer from 0 to 999999999: {value!r}")
        if not isinstance(self.body, bytes):
            raise ValueError("body is not bytes")
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError(f"body has {len(self.body)} bytes, more than {MAX_BODY_BYTES}")


def text_of(event: bytes) -> str:
    """Return the text that an event of the platform's HTTP stream adds to the answer; "" for none."""
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
    """Return the body of the request for the rest of a broken answer.

    A chat gets the text received so far as an assistant's message. Any other body, and one that would become
    too large, is returned unchanged, since the service then identifies the request by its session.
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
    """The settings of a client, times in seconds; ValueError for invalid values."""

    max_retries: int = 1  # of a call
    safe_classes: Collection[str] = ()  # that may run twice; others are not repeated if they may have run
    retry_share: float = 0.2  # tokens that each first send adds to the retry budget
    retry_reserve: float = 3.0  # tokens at the start
    retry_burst: float = 10.0  # maximum of tokens
    retry_pause_s: float = 0.25  # after a failure or a refusal without advice: 1 to 3 times this, drawn
    resume: bool = False  # whether to ask for the rest of a broken answer (HTTP, where the service allows it)
    name: str = ""  # determines the subset of routers; "" for a random name
    zone: str = ""  # the client's own zone, whose routers come first
    pick: PickRules = field(default_factory=PickRules)
    reconnect: ReconnectRules = field(default_factory=ReconnectRules)
    max_connections: int = 64  # to one router
    dial_timeout_s: float = 2.0
    idle_s: float = 4.0  # after which idle connections are closed, below the routers' 5 s; KServe: 8 times
    silence_s: float = 5.0  # longest time between events of an answer; then the router counts as failed
    ping_s: float = 2.0  # KServe: time without data after which a busy connection is pinged, and then closed
    longest_pause_s: float = 60.0  # bound for the pause of other calls that a router's advice asks for
    largest_event: int = 1024 * 1024  # bytes

    def __post_init__(self) -> None:
        retries = self.max_retries
        if isinstance(retries, bool) or not isinstance(retries, int) or retries < 0:
            raise ValueError(f"max_retries is not a non-negative integer: {retries!r}")
        for name in (
            "retry_share",
            "retry_reserve",
            "retry_burst",
            "retry_pause_s",
            "longest_pause_s",
        ):
            value = getattr(self, name)
            if not 0 <= value < math.inf:
                raise ValueError(f"{name} is not a finite, non-negative number: {value!r}")
        for name in ("dial_timeout_s", "idle_s", "silence_s", "ping_s", "max_connections", "largest_event"):
            value = getattr(self, name)
            if not 0 < value < math.inf:
                raise ValueError(f"{name} is not a finite, positive number: {value!r}")


def parse_endpoint(router: str | Endpoint) -> Endpoint:
    """Return the endpoint of `host:port` or `[v6]:port`; raise ValueError if it is malformed."""
    checked = router if isinstance(router, Endpoint) else Endpoint(router)
    host, _, port = checked.address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{checked.address!r} is not host:port")
    return checked
