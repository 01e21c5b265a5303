"""The metadata of gRPC calls: the router's own, and what passes on to an engine."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

import trio

from ...kserve.framing import Code, GrpcError, Headers, parse_timeout
from ...routing.types import RPC, Cause, EventSink, FinalAnswer, Outcome, RPCDispatcher

LONGEST_WAIT_S = 3600.0
MARK = "sorreldock-"  # what the router's own metadata begins with
# Metadata that is not the application's, or that the next hop sets anew.
HOP = re.compile(r":|grpc-|te$|content-type$|user-agent$|host$|connection$|x-forwarded|accept-encoding$")


@dataclass(frozen=True, slots=True)
class KservePayload:
    """What passes on to an engine untranslated."""

    method: str
    metadata: Headers
    message: bytes


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """What an operator's file says of the gRPC front."""

    models: tuple[str, ...]
    default_class: str
    default_tenant: str
    keepalive_s: float


class CallHead:
    """A call's metadata as it arrived."""

    def __init__(self, number: int, headers: Headers) -> None:
        self.number = number
        self.headers = dict(headers)
        # Guards against calls that two readers read differently, as on the platform's front.
        own = [k for k, _ in headers if k.startswith(MARK) or k in ("grpc-timeout", "content-type")]
        self.twice = next((k for k in own if own.count(k) > 1), "")
        self.metadata = [(k, v) for k, v in headers if not HOP.match(k) and not k.startswith(MARK)]
        self.arrived_at = trio.current_time()


def answer_of(final: FinalAnswer) -> GrpcError | None:
    """The status of an RPC's final answer; None for OK."""
    if isinstance(final.server_status, GrpcError):  # an engine's own word on a faulty request
        return final.server_status if final.server_status.code != Code.OK else None
    if final.outcome is Outcome.SERVED:
        return None
    if final.cause is Cause.DEADLINE:
        return GrpcError(Code.DEADLINE_EXCEEDED, "no answer began in time")
    if final.outcome is Outcome.REFUSED:
        # Without the module's advice 0: trying again is harmless. Clients read it as milliseconds.
        pause = max(math.ceil(final.retry_after_s * 1000), 0)
        advice = [("grpc-retry-pushback-ms", str(pause))]
        return GrpcError(Code.UNAVAILABLE, f"refused: {final.cause.value}", advice)
    if final.may_have_run:
        return GrpcError(Code.INTERNAL, "the engine failed, and may have run the request")
    return GrpcError(Code.UNAVAILABLE, "no engine could be reached")


def rpc_from(
    call: CallHead,
    method: str,
    message: bytes,
    request_id: str,
    settings: FrontSettings,
    core: RPCDispatcher,
    sink: EventSink,
) -> RPC:
    """The RPC of one request message; GrpcError for metadata that can't be used."""
    fields = {k.removeprefix(MARK): v for k, v in call.headers.items() if k.startswith(MARK)}
    if any(len(value) > 200 for value in fields.values()):
        raise GrpcError(Code.INVALID_ARGUMENT, "a value of our metadata is too long")
    rpc_class = fields.get("class", settings.default_class)
    if rpc_class not in core.classes:
        raise GrpcError(Code.INVALID_ARGUMENT, f"{MARK}class names no class: {rpc_class or 'missing'}")
    tenant = fields.get("tenant", settings.default_tenant)
    if core.tenants and tenant not in core.tenants:
        raise GrpcError(Code.INVALID_ARGUMENT, f"{MARK}tenant names no tenant: {tenant or 'missing'}")

    def tokens(name: str) -> int:
        text = fields.get(name, "0")
        if not re.fullmatch(r"\d{1,9}", text):
            raise GrpcError(Code.INVALID_ARGUMENT, f"{MARK}{name} is not a whole number")
        return int(text)

    timeout = call.headers.get("grpc-timeout")
    if timeout is None:
        left = core.classes[rpc_class].deadline_s
    else:
        left = min(parse_timeout(timeout), LONGEST_WAIT_S) - (trio.current_time() - call.arrived_at)
        if left <= 0:
            raise GrpcError(Code.DEADLINE_EXCEEDED, "the deadline has passed")
    return RPC(
        name=fields.get("request-id") or request_id[:200] or f"grpc-{call.number}",
        protocol="kserve",
        rpc_class=rpc_class,
        expires_in_s=left,
        payload=KservePayload(method, call.metadata, message),
        sink=sink,
        session=fields.get("session", ""),
        prefix=fields.get("prefix", ""),
        tenant=tenant,
        prompt_tokens=tokens("prompt-tokens"),
        prefix_tokens=tokens("prefix-tokens"),
        max_output_tokens=tokens("max-output-tokens"),
        is_retry=call.headers.get("grpc-previous-rpc-attempts", "0") != "0",
        # The standard's own id need not be unique: clients count from 1.
        named_by_client=bool(fields.get("request-id")),
    )
