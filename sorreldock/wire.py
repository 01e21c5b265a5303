"""Decoder and encoder for the simulator's wire: lines of text on it, types of `interface` here."""

from __future__ import annotations

import base64
import binascii
import json
import math
from collections.abc import Callable
from typing import Any, TypeVar

from .interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientGone,
    DedupScope,
    Effect,
    Event,
    FailRequest,
    FirstToken,
    Guarantees,
    Limits,
    ListKind,
    Metric,
    PeerMessage,
    Prices,
    Probe,
    ProbeEnded,
    RefuseRequest,
    ReplicaEntry,
    ReplicaState,
    ReportVia,
    RequestArrived,
    RequestClass,
    SendPeerMessage,
    SetTimer,
    Settings,
    SettingsError,
    StartAttempt,
    Status,
    Subscribe,
    Tenant,
    TimerFired,
    WeightKind,
)


class WireError(ValueError):
    """A line that does not follow the wire's format; the message says what is wrong with it."""


T = TypeVar("T")
Fields = dict[str, str]

STATES = {"SERVING": ReplicaState.READY, "DRAINING": ReplicaState.DRAINING, "DELETED": ReplicaState.GONE}
LIST_KINDS = {
    "incr": ListKind.DELTA,
    "total": ListKind.FULL,
    "warm_copy": ListKind.CACHED,
    "lost": ListKind.LOST,
}
STATUSES = {
    "success": Status.OK,
    "failure": Status.ERROR,
    "overloaded": Status.FULL,
    "timed_out": Status.TIMEOUT,
    "unreachable": Status.CONNECT_FAILED,
    "broken": Status.RESET,
    "withdrawn": Status.CANCELLED,
    "void": Status.NOT_SENT,
}
METRICS = {
    "outstanding": Metric.IN_FLIGHT,
    "backlog": Metric.QUEUE_LENGTH,
    "utilization": Metric.UTILIZATION,
    "recent_ms": Metric.LATENCY_MS,
    "throughput": Metric.REQUEST_RATE,
    "errors_per_s": Metric.ERROR_RATE,
    "x0": Metric.MEMORY_SHARE,
    "x1": Metric.UNREAD_KTOKENS,
}
DISCOVERY = {"push": False, "ask": True}


def _required(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"field {name} is missing") from None


def _number(fields: Fields, name: str, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    text = _required(fields, name)
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {name} is not a number: {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"field {name} is not a finite number: {text!r}")
    return value


def _integer(fields: Fields, name: str, default: int | None = None) -> int:
    if default is not None and name not in fields:
        return default
    text = _required(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {name} is not a whole number: {text!r}") from None


def _bool(fields: Fields, name: str) -> bool:
    text = fields.get(name, "0")
    if text not in ("0", "1"):
        raise WireError(f"field {name} is neither 0 nor 1: {text!r}")
    return text == "1"


def _enum_value(fields: Fields, name: str, values: dict[str, T]) -> T:
    text = _required(fields, name)
    try:
        return values[text]
    except KeyError:
        raise WireError(f"field {name} has the unknown value {text!r}") from None


def _report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("health_info", "")
    try:
        values = tuple(float(part) for part in text.split(",")) if text else ()
    except ValueError:
        raise WireError(f"field health_info is not a list of numbers: {text!r}") from None
    if not all(map(math.isfinite, values)):
        raise WireError(f"field health_info is not a list of finite numbers: {text!r}")
    return values


def _payload(fields: Fields, name: str) -> bytes:
    text = _required(fields, name)
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except binascii.Error:
        raise WireError(f"field {name} is not base64: {text!r}") from None


def split_line(line: str) -> tuple[str, Fields]:
    """Return a message's name and its fields; raise WireError for a field without a value."""
    name, _, rest = line.partition("\t")
    fields: Fields = {}
    while rest:
        if rest.startswith("params="):  # the value of this field runs to the end of the line
            part, rest = rest, ""
        else:
            part, _, rest = rest.partition("\t")
        key, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"{part!r} is not name=value")
        fields[key] = value
    return name, fields


def decode_clock(fields: Fields) -> float:
    return _number(fields, "ts_s")


def decode_boot(fields: Fields) -> tuple[Settings, int]:
    seed = _integer(fields, "nonce64")
    try:
        raw = json.loads(_required(fields, "params"))
    except json.JSONDecodeError as error:
        raise WireError(f"params is not JSON: {error}") from None
    return decode_settings(raw), seed


def decode_entry(fields: Fields) -> ReplicaEntry:
    return ReplicaEntry(
        replica=_integer(fields, "replica"),
        zone=fields.get("hall", ""),
        cell=_integer(fields, "bay", 0),
        weight=_number(fields, "units", 1.0),
        state=_enum_value(fields, "status", STATES),
        started_at=_number(fields, "online_since_s", 0.0),
        kind=fields.get("sku", ""),
    )


def decode_list_head(fields: Fields) -> tuple[ListKind, int, int]:
    """Return a list's kind, its version and the number of entries that follow."""
    count = _integer(fields, "elements", 0)
    if count < 0:
        raise WireError(f"field elements is negative: {count}")
    return _enum_value(fields, "kind", LIST_KINDS), _integer(fields, "revision", 0), count


def _request_arrived(fields: Fields) -> RequestArrived:
    tenant = fields.get("owner", "")
    return RequestArrived(
        request=_required(fields, "ref"),
        request_class=_required(fields, "class"),
        expires_at=_number(fields, "expires_s"),
        session=fields.get("affinity", ""),
        shared_prefix=fields.get("system_prompt", ""),
        tenant="" if tenant == "0" else tenant,
        prompt_tokens=int(_number(fields, "prompt_len", 0.0)),
        prefix_tokens=int(_number(fields, "prefix_len", 0.0)),
        max_output_tokens=int(_number(fields, "output_cap", 0.0)),
        cost_hint_s=_number(fields, "estimate_s", 0.0),
        is_retry=_bool(fields, "is_retry"),
        resumed=_bool(fields, "returned"),
    )


def _first_token(fields: Fields) -> FirstToken:
    return FirstToken(
        _required(fields, "ref"),
        _integer(fields, "try"),
        _integer(fields, "replica"),
        _number(fields, "took_s"),
    )


def _attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        request=_required(fields, "ref"),
        attempt=_integer(fields, "try"),
        replica=_integer(fields, "replica"),
        status=_enum_value(fields, "outcome", STATUSES),
        latency_s=_number(fields, "took_s", 0.0),
        final=_bool(fields, "final"),
        cached_tokens=_integer(fields, "info", 0),
        report=_report(fields),
    )


def _probe_ended(fields: Fields) -> ProbeEnded:
    return ProbeEnded(
        _integer(fields, "replica"),
        _enum_value(fields, "outcome", STATUSES),
        _number(fields, "took_s", 0.0),
        _report(fields),
    )


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "call": _request_arrived,
    "ack_first": _first_token,
    "outcome": _attempt_ended,
    "client_gone": lambda fields: ClientGone(_required(fields, "ref")),
    "wake": lambda fields: TimerFired(_required(fields, "cookie")),
    "checked": _probe_ended,
    "inbox": lambda fields: PeerMessage(_integer(fields, "neighbour"), _payload(fields, "body")),
}


def decode_event(name: str, fields: Fields) -> Event:
    try:
        decode = EVENTS[name]
    except KeyError:
        raise WireError(f"unknown event {name!r}") from None
    return decode(fields)


class _SettingsObject:
    """A JSON object of the settings, whose errors name the full path of a key."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"setting {path or 'params'} is not an object")
        self.raw: dict[str, Any] = raw
        self.path = path

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str) -> object:
        if self.raw.get(key) is None:
            raise SettingsError(f"setting {self.path_of(key)} is missing")
        return self.raw[key]

    def number(
        self, key: str, default: float | None = None, min_value: float = 0.0, max_value: float = math.inf
    ) -> float:
        if default is not None and self.raw.get(key) is None:
            return default
        value = self.get(key)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not min_value <= value <= max_value
        ):
            raise SettingsError(f"setting {self.path_of(key)} is not a number in its range: {value!r}")
        return float(value)

    def whole(self, key: str, default: int | None = None, min_value: int = 0) -> int:
        value = self.number(key, default, min_value, 2**63)
        if value != int(value):
            raise SettingsError(f"setting {self.path_of(key)} is not a whole number: {value!r}")
        return int(value)

    def text(self, key: str) -> str:
        value = self.get(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"setting {self.path_of(key)} is not a non-empty string: {value!r}")
        return value

    def flag(self, key: str) -> bool:
        value = self.raw.get(key, False)
        if not isinstance(value, bool):
            raise SettingsError(f"setting {self.path_of(key)} is neither true nor false: {value!r}")
        return value

    def choice(self, key: str, values: dict[str, T], default: str | None = None) -> T:
        value = self.raw.get(key, default) if default is not None else self.get(key)
        if not isinstance(value, str) or value not in values:
            raise SettingsError(f"setting {self.path_of(key)} has the unknown value {value!r}")
        return values[value]

    def items(self, key: str, default: bool = False) -> list[object]:
        if default and self.raw.get(key) is None:
            return []
        value = self.get(key)
        if not isinstance(value, list):
            raise SettingsError(f"setting {self.path_of(key)} is not a list")
        return value

    def names(self, key: str, default: bool = False) -> tuple[str, ...]:
        values = self.items(key, default)
        if not all(isinstance(value, str) for value in values):
            raise SettingsError(f"setting {self.path_of(key)} is not a list of strings")
        return tuple(str(value) for value in values)

    def object(self, key: str, default: bool = False) -> _SettingsObject:
        raw = {} if default and self.raw.get(key) is None else self.get(key)
        return _SettingsObject(raw, self.path_of(key))

    def objects(self, key: str, default: bool = False) -> list[_SettingsObject]:
        return [
            _SettingsObject(raw, f"{self.path_of(key)}[{i}]")
            for i, raw in enumerate(self.items(key, default))
        ]


def _by_value(members: type[T]) -> dict[str, T]:
    return {member.value: member for member in members}  # type: ignore[attr-defined]


def _request_class(raw: _SettingsObject, aims_us: list[object], index: int) -> RequestClass:
    aim_us = aims_us[index] if index < len(aims_us) else 0.0
    if not isinstance(aim_us, int | float) or not 0 <= aim_us < math.inf:
        raise SettingsError(
            f"setting family_info.aim_us_per_1000_prompt_tokens[{index}] is not a number in its range:"
            f" {aim_us!r}"
        )
    effect = raw.choice("effect", _by_value(Effect), "safe")
    return RequestClass(
        name=raw.text("name"),
        aim_s=raw.number("aim_s"),
        deadline_s=raw.number("deadline_s"),
        effect=effect,
        dedup_scope=raw.choice("key_scope", _by_value(DedupScope), "all"),
        dedup_window_s=raw.number("window_s", 0.0 if effect is not Effect.KEYED else None),
        worth=raw.number("points", 1.0),
        late_worth=raw.number("late_share", 0.0),
        streamed=raw.flag("stream"),
        aim_s_per_1k_tokens=float(aim_us) / 1e6,
        aim_stretch=raw.number("aim_stretch", 0.0),
    )


def decode_settings(raw: object) -> Settings:
    """Return the settings of a decoded JSON object.

    Unknown keys are ignored. Raises SettingsError for a missing or impossible one, which the message names.
    """
    top = _SettingsObject(raw, "")
    family = top.object("family_info", default=True)
    aims_us = family.items("aim_us_per_1000_prompt_tokens", default=True)
    limits, guarantees = top.object("policy_limits"), top.object("contract")
    prices = top.object("costs", default=True)
    telemetry = top.object("telemetry", default=True)
    classes = tuple(
        _request_class(raw_class, aims_us, i) for i, raw_class in enumerate(top.objects("categories"))
    )
    if not classes:
        raise SettingsError("setting categories is empty")
    zones = top.names("areas", default=True)
    # A deployment may have no zones: all servers and gateways are then in one, which may lack a name.
    zone = top.text("zone") if zones or top.raw.get("zone") else ""
    zones = zones or (zone,)
    if zone not in zones:
        raise SettingsError(f"setting zone is not among the areas: {zone!r}")
    must_ask = top.choice("discovery", DISCOVERY)
    return Settings(
        zone=zone,
        zones=zones,
        gateway=top.whole("me"),
        gateways=top.whole("balancers", min_value=1),
        classes=classes,
        limits=Limits(
            max_attempts=limits.whole("max_attempts", min_value=1),
            cancel=limits.flag("cancel"),
            parallel_attempts=limits.flag("parallel_tries"),
            probes=limits.flag("probes"),
            peers=limits.flag("peers"),
            retry_advice=limits.flag("retry_after"),
            max_retry_after_s=limits.number("max_retry_after_s", 0.0),
            resume_streams=family.flag("resume"),
            connect_timeout_s=limits.number("connect_timeout_s", 0.2),
            conn_idle_s=limits.number("conn_idle_s", 60.0),
        ),
        prices=Prices(
            cross_zone=prices.number("cross_zone", 0.0),
            waste=prices.number("waste", 0.0),
            probe=prices.number("probe", 0.0),
            peer_message=prices.number("peer", 0.0),
            late_failure=prices.number("late_fail", 0.0),
            connection=prices.number("connection", 0.0),
            handshake=prices.number("handshake", 0.0),
            list_lines=prices.number("discovery", 0.0),
        ),
        guarantees=Guarantees(
            drain_grace_s=guarantees.number("drain_grace_s"),
            cold_share=guarantees.number("cold_from", max_value=1.0),
            warm_up_s=guarantees.number("ramp_time_s"),
            overload_multiple=guarantees.number("fall_multiple"),
            overload_window_s=guarantees.number("overload_for_s"),
            answer_slack_s=guarantees.number("answer_slack_s", 0.0),
            list_max_age_s=guarantees.number("must_ask_in_s", math.inf if not must_ask else None),
        ),
        metrics=tuple(METRICS.get(name, Metric.OTHER) for name in telemetry.names("fields", default=True)),
        reports_via=telemetry.choice("via", _by_value(ReportVia), "none"),
        weights=top.choice("weights", _by_value(WeightKind), "none"),
        must_ask_for_list=must_ask,
        tenants=tuple(
            Tenant(tenant.text("name"), tenant.number("quota_rps", math.inf), tenant.number("share", 0.0))
            for tenant in top.objects("tenants", default=True)
        ),
        over_quota_worth=top.number("over_share_worth", 1.0),
        tick_s=top.number("tick_s", 0.001),
    )


def encode_action(gateway: str, action: Action) -> str:
    gateway_field = f"\tgateway={gateway}"
    match action:
        case StartAttempt(request, replica, timeout_s):
            max_wait_field = f"\tmax_wait_s={timeout_s:.6f}" if timeout_s > 0 else ""
            return f"place{gateway_field}\tref={request}\treplica={replica}{max_wait_field}"
        case CancelAttempt(request, attempt):
            return f"undo_send{gateway_field}\tref={request}\ttry={attempt}"
        case RefuseRequest(request, retry_after_s):
            pause_field = f"\tpause_s={retry_after_s:.6f}" if retry_after_s > 0 else ""
            return f"say_no{gateway_field}\tref={request}{pause_field}"
        case FailRequest(request):
            return f"surrender{gateway_field}\tref={request}"
        case SetTimer(delay_s, token):
            return f"set_timer{gateway_field}\twait_s={delay_s:.6f}\tcookie={token}"
        case Probe(replica):
            return f"inspect{gateway_field}\treplica={replica}"
        case SendPeerMessage(payload, peer):
            body = base64.b64encode(payload).decode() or "-"
            return f"share{gateway_field}\tneighbour_id={'all' if peer is None else peer}\tbody={body}"
        case Subscribe():
            return f"stream_changes{gateway_field}\tenable=1"


def encode_crash(gateway: str, error: BaseException) -> str:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return f"crash\tgateway={gateway}\tnote_text={text}"
