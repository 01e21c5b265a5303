"""Parsing of the header fields of the platform's requests."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ...routing.types import RPC, EventSink
from ...transport.blocks import BlockBuffer

SERVED_PATH = "/v1/chat/completions"
EXPIRES_IN_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])")
END_OF_HEAD = re.compile(rb"\n\r?\n")  # as h11 has it
UNITS_S = {"m": 1e-3, "u": 1e-6}
MAX_FIELD_LENGTH = 200  # in characters
MAX_EXPIRES_IN_S = 3600.0
# The fields that the router uses or sets itself.
ROUTER_FIELDS = {
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
# Fields that apply to one connection only, as do those named in `connection` (RFC 9110, section 7.6.1).
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
    """Raised for a missing or invalid field, which the message names."""


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """The parts of a request that are forwarded to a server unchanged."""

    target: bytes
    trace_id: bytes
    content_type: bytes
    body: BlockBuffer
    other_fields: tuple[tuple[bytes, bytes], ...] = ()  # unknown to the router, in their order


def has_too_many_lines(data: bytes, max_lines: int) -> bool:
    """Return whether the message head at the start of the data has more lines than this, if only so far."""
    if data.count(b"\n") <= max_lines:
        return False
    end = END_OF_HEAD.search(data)
    return data.count(b"\n", 0, len(data) if end is None else end.start() + 1) > max_lines


def unique_fields(fields: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return the fields by name, and reject ambiguous ones with BadRequest.

    Protects the servers from request smuggling: Content-Length next to Transfer-Encoding may hide another
    request in the body, and of a repeated field the router and a server might use different values.
    """
    headers: dict[bytes, bytes] = {}
    for name, value in fields:
        if name in headers and name in ROUTER_FIELDS:
            raise BadRequest(f"{name.decode()} is given twice")
        headers[name] = value
    if b"content-length" in headers and b"transfer-encoding" in headers:
        raise BadRequest("both Content-Length and Transfer-Encoding are given")
    return headers


def end_to_end(fields: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Return the fields to forward: those that are neither the router's nor hop-by-hop.

    Clients and servers may agree on any others, such as a key by which a server recognizes a repeated
    request.
    """
    fields = list(fields)
    connection_options = {
        token.strip().lower()
        for name, value in fields
        if name == b"connection"
        for token in value.split(b",")
    }
    return tuple(field for field in fields if field[0] not in ROUTER_FIELDS | HOP_BY_HOP | connection_options)


def parse_expires_in(text: str) -> float:
    """Return the value of X-Expires-In in seconds."""
    match = EXPIRES_IN_PATTERN.fullmatch(text)
    seconds = float(match[1]) * UNITS_S[match[2]] if match else 0.0
    if not 0 < seconds <= MAX_EXPIRES_IN_S:
        raise BadRequest("X-Expires-In is not a positive number with the unit m or u, of an hour at most")
    return seconds


def parse_props(text: str) -> tuple[str, dict[str, int]]:
    """Return the name of the shared prefix and the lengths in tokens from X-Props."""
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
    """Return the RPC of a request, with an empty body; BadRequest names a missing or invalid field."""

    def text(name: str) -> str:
        try:
            value = headers.get(name.lower().encode(), b"").decode("ascii")
        except UnicodeDecodeError:
            raise BadRequest(f"{name} is not ASCII") from None
        if len(value) > MAX_FIELD_LENGTH:
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
    second_try = text("X-Second-Try")
    if second_try not in ("", "1", "again"):
        raise BadRequest("X-Second-Try is neither 1 nor again")
    prefix, lengths = parse_props(text("X-Props"))
    return RPC(
        name=trace_id,
        protocol="http",
        rpc_class=rpc_class,
        expires_in_s=parse_expires_in(required("X-Expires-In")),
        payload=HttpPayload(
            target, trace_id.encode(), headers.get(b"content-type", b"application/json"), BlockBuffer()
        ),
        sink=sink,
        session=text("X-Object"),
        prefix=prefix,
        tenant=tenant,
        prompt_tokens=lengths["prompt_len"],
        prefix_tokens=lengths["prefix_len"],
        max_output_tokens=lengths["max_out"],
        is_retry=second_try == "1",
        resumed=second_try == "again",
    )
