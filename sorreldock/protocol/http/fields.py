"""The fields of the platform's requests."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ...routing.types import RPC, EventSink

SERVED_PATH = "/v1/chat/completions"
EXPIRY = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])")
UNITS = {"m": 1e-3, "u": 1e-6}
LONGEST_NAME = 200
LONGEST_WAIT_S = 3600.0
OWN = {
    b"x-trace-id",
    b"x-qos",
    b"x-customer",
    b"x-object",
    b"x-expires-in",
    b"x-props",
    b"x-second-try",
    b"content-type",
    b"content-length",
    b"transfer-encoding",
    b"host",
}


# Of one connection alone (RFC 9110, section 7.6.1); fields that `connection` names are too.
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
}


class BadRequest(ValueError):
    """A field is missing or invalid; the message names it."""


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """What passes on to an engine unchanged."""

    target: bytes
    trace_id: bytes
    content_type: bytes
    body: bytes
    other_fields: tuple[tuple[bytes, bytes], ...] = ()  # that the router does not know, in their order


def single(fields: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """The fields by their names. Guards the engines against requests that two readers read differently: a
    length beside a transfer coding may hide another request in the body, and of a field given twice each
    reader may take another one.
    """
    headers: dict[bytes, bytes] = {}
    for name, value in fields:
        if name in headers and name in OWN:
            raise BadRequest(f"{name.decode()} is given twice")
        headers[name] = value
    if b"content-length" in headers and b"transfer-encoding" in headers:
        raise BadRequest("both Content-Length and Transfer-Encoding are given")
    return headers


def end_to_end(fields: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """The fields that are neither the router's nor of one connection alone.

    Clients and servers may agree on any, as on a key by which a server knows a repeat.
    """
    fields = list(fields)
    named = {
        token.strip().lower()
        for name, value in fields
        if name == b"connection"
        for token in value.split(b",")
    }
    return tuple(field for field in fields if field[0] not in OWN | HOP_BY_HOP | named)


def expires_in(text: str) -> float:
    match = EXPIRY.fullmatch(text)
    seconds = float(match[1]) * UNITS[match[2]] if match else 0.0
    if not 0 < seconds <= LONGEST_WAIT_S:
        raise BadRequest("X-Expires-In is not a positive number with the unit m or u, of an hour at most")
    return seconds


def props(text: str) -> tuple[str, dict[str, int]]:
    """The shared opening's name and the lengths in tokens."""
    prefix, lengths = "", {"prompt_len": 0, "prefix_len": 0, "max_out": 0}
    for part in filter(None, (p.strip() for p in text.split(","))):
        name, _, value = part.partition("=")
        if name == "prefix":
            prefix = value
        elif name in lengths:
            if not re.fullmatch(r"\d{1,9}", value):
                raise BadRequest(f"X-Props: {name} is not a whole number")
            lengths[name] = int(value)
    return prefix, lengths


def rpc_from(
    headers: dict[bytes, bytes],
    target: bytes,
    classes: Collection[str],
    tenants: Collection[str],
    sink: EventSink,
) -> RPC:
    """The neutral RPC, still without its body; BadRequest names the field that is missing or invalid."""

    def text(name: str) -> str:
        try:
            value = headers.get(name.lower().encode(), b"").decode("ascii")
        except UnicodeDecodeError:
            raise BadRequest(f"{name} is not ASCII") from None
        if len(value) > LONGEST_NAME:
            raise BadRequest(f"{name} is too long")
        return value

    def required(name: str) -> str:
        value = text(name)
        if not value:
            raise BadRequest(f"{name} is missing")
        return value

    trace_id, rpc_class = required("X-Trace-Id"), required("X-Qos")
    if rpc_class not in classes:
        raise BadRequest(f"X-Qos names no class: {rpc_class}")
    tenant = required("X-Customer") if tenants else text("X-Customer")
    if tenants and tenant not in tenants:
        raise BadRequest(f"X-Customer names no tenant: {tenant}")
    second = text("X-Second-Try")
    if second not in ("", "1", "again"):
        raise BadRequest("X-Second-Try is neither 1 nor again")
    prefix, lengths = props(text("X-Props"))
    return RPC(
        name=trace_id,
        protocol="http",
        rpc_class=rpc_class,
        expires_in_s=expires_in(required("X-Expires-In")),
        payload=HttpPayload(
            target, trace_id.encode(), headers.get(b"content-type", b"application/json"), b""
        ),
        sink=sink,
        session=text("X-Object"),
        prefix=prefix,
        tenant=tenant,
        prompt_tokens=lengths["prompt_len"],
        prefix_tokens=lengths["prefix_len"],
        max_output_tokens=lengths["max_out"],
        is_retry=second == "1",
        resumed=second == "again",
    )
