"""The metadata of gRPC requests: the router's own, and what is forwarded to a server."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

import trio

from ...kserve.framing import Code, GrpcError, Headers, parse_timeout
from ...routing.types import RPC, Cause, EventSink, FinalAnswer, Outcome, RPCDispatcher

MAX_DEADLINE_S = 3600.0
OWN_PREFIX = "sorreldock-"  # of the router's own metadata
# Metadata that isn't forwarded: it belongs to the transport, or is set again for the next hop.
HOP_METADATA = re.compile(
    r":|grpc-|te$|content-type$|user-agent$|host$|connection$|x-forwarded|accept-encoding$"
)


@dataclass(frozen=True, slots=True)
class KservePayload:
    """The part of a request that is forwarded to a server unchanged."""

    method: str
    metadata: Headers
    message: bytes


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """The settings of the gRPC front from the operator's file."""

    models: tuple[str, ...]
    default_class: str
    default_tenant: str
    keepalive_s: float


class StreamHead:
    """The metadata of a stream as it arrived."""

    def __init__(self, number: int, headers: Headers) -> None:
        self.number = number
        self.headers = dict(headers)
        # Repeated fields are errors, as on the HTTP front: two readers might interpret them differently.
        own = [k for k, _ in headers if k.startswith(OWN_PREFIX) or k in ("grpc-timeout", "content-type")]
        self.repeated_field = next((k for k in own if own.count(k) > 1), "")
        self.metadata = [
            (k, v) for k, v in headers if not HOP_METADATA.match(k) and not k.startswith(OWN_PREFIX)
        ]
        self.arrived_at = trio.current_time()


def error_status_of(final: FinalAnswer) -> GrpcError | None:
    """Return the error status of an RPC's final answer; None for OK."""
    if isinstance(final.server_status, GrpcError):  # a server's own status for an invalid request
        return final.server_status if final.server_status.code != Code.OK else None
    if final.outcome is Outcome.SERVED:
        return None
    if final.cause is Cause.DEADLINE:
        return GrpcError(Code.DEADLINE_EXCEEDED, "no answer began in time")
    if final.outcome is Outcome.REFUSED:
        # 0 if the decision module gives no retry time: a retry is harmless. The unit is milliseconds.
        pushback_ms = max(math.ceil(final.retry_after_s * 1000), 0)
        metadata = [("grpc-retry-pushback-ms", str(pushback_ms))]
        return GrpcError(Code.UNAVAILABLE, f"refused: {final.cause.value}", metadata)
    if final.may_have_run:
        return GrpcError(Code.INTERNAL, "the engine failed, and may have run the request")
    return GrpcError(Code.UNAVAILABLE, "no engine could be reached")


def rpc_from(
    head: StreamHead,
    method: str,
    message: bytes,
    request_id: str,
    settings: FrontSettings,
    core: RPCDispatcher,
    sink: EventSink,
) -> RPC:
    """Return the RPC of one request message; raise GrpcError for invalid metadata."""
    fields = {k.removeprefix(OWN_PREFIX): v for k, v in head.headers.items() if k.startswith(OWN_PREFIX)}
    if any(len(value) > 200 for value in fields.values()):
        raise GrpcError(Code.INVALID_ARGUMENT, "a value of our metadata is too long")
    rpc_class = fields.get("class", settings.default_class)
    if rpc_class not in core.classes:
        raise GrpcError(Code.INVALID_ARGUMENT, f"{OWN_PREFIX}class names no class: {rpc_class or 'missing'}")
    tenant = fields.get("tenant", settings.default_tenant)
    if core.tenants and tenant not in core.tenants:
        raise GrpcError(Code.INVALID_ARGUMENT, f"{OWN_PREFIX}tenant names no tenant: {tenant or 'missing'}")

    def tokens(name: str) -> int:
        text = fields.get(name, "0")
        if not re.fullmatch(r"\d{1,9}", text):
            raise GrpcError(Code.INVALID_ARGUMENT, f"{OWN_PREFIX}{name} is not a whole number")
        return int(text)

    timeout = head.headers.get("grpc-timeout")
    if timeout is None:
        expires_in_s = core.classes[rpc_class].deadline_s
    else:
        expires_in_s = min(parse_timeout(timeout), MAX_DEADLINE_S) - (trio.current_time() - head.arrived_at)
        if expires_in_s <= 0:
            raise GrpcError(Code.DEADLINE_EXCEEDED, "the deadline has passed")
    return RPC(
        name=fields.get("request-id") or request_id[:200] or f"grpc-{head.number}",
        protocol="kserve",
        rpc_class=rpc_class,
        expires_in_s=expires_in_s,
        payload=KservePayload(method, head.metadata, message),
        sink=sink,
        session=fields.get("session", ""),
        prefix=fields.get("prefix", ""),
        tenant=tenant,
        prompt_tokens=tokens("prompt-tokens"),
        prefix_tokens=tokens("prefix-tokens"),
        max_output_tokens=tokens("max-output-tokens"),
        is_retry=head.headers.get("grpc-previous-rpc-attempts", "0") != "0",
        # The id of the standard's request message need not be unique: clients count from 1.
        named_by_client=bool(fields.get("request-id")),
    )
