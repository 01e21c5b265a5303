"""Codec of the wire: its lines of text against the types of `interface`."""

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
    """A line that is not of the wire; the message says what is wrong with it."""


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


def _need(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"field {name} is missing") from None


def _number(fields: Fields, name: str, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    text = _need(fields, name)
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
    text = _need(fields, name)
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {name} is not a whole number: {text!r}") from None


def _bool(fields: Fields, name: str) -> bool:
    text = fields.get(name, "0")
    if text not in ("0", "1"):
        raise WireError(f"field {name} is neither 0 nor 1: {text!r}")
    return text == "1"


def _word(fields: Fields, name: str, words: dict[str, T]) -> T:
    text = _need(fields, name)
    try:
        return words[text]
    except KeyError:
        raise WireError(f"field {name} has the unknown value {text!r}") from None


def _report(fields: Fields) -> tuple[float, ...]:
    text = fields.get("health_info", "")
    try:
        values = tuple(float(part) for part in text.split(",")) if text else ()
    except ValueError:
        raise WireError(f"field health_info is not a row of numbers: {text!r}") from None
    if not all(map(math.isfinite, values)):
        raise WireError(f"field health_info is not a row of finite numbers: {text!r}")
    return values


def _payload(fields: Fields, name: str) -> bytes:
    text = _need(fields, name)
    try:
        return b"" if text == "-" else base64.b64decode(text, validate=True)
    except binascii.Error:
        raise WireError(f"field {name} is not base64: {text!r}") from None


def split_line(line: str) -> tuple[str, Fields]:
    """The message's name and its fields."""
    name, _, rest = line.partition("\t")
    fields: Fields = {}
    while rest:
        if rest.startswith("params="):  # a field of type text runs to the end of the line
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
        raw = json.loads(_need(fields, "params"))
    except json.JSONDecodeError as error:
        raise WireError(f"params is not JSON: {error}") from None
    return decode_settings(raw), seed


def decode_entry(fields: Fields) -> ReplicaEntry:
    return ReplicaEntry(
        replica=_integer(fields, "replica"),
        zone=fields.get("hall", ""),
        cell=_integer(fields, "bay", 0),
        weight=_number(fields, "units", 1.0),
        state=_word(fields, "status", STATES),
        started_at=_number(fields, "online_since_s", 0.0),
        kind=fields.get("sku", ""),
    )


def decode_list_head(fields: Fields) -> tuple[ListKind, int, int]:
    """Kind, version and number of entries that follow."""
    count = _integer(fields, "elements", 0)
    if count < 0:
        raise WireError(f"field elements is negative: {count}")
    return _word(fields, "kind", LIST_KINDS), _integer(fields, "revision", 0), count


def _call(f: Fields) -> RequestArrived:
    tenant = f.get("owner", "")
    return RequestArrived(
        request=_need(f, "ref"),
        request_class=_need(f, "class"),
        expires_at=_number(f, "expires_s"),
        session=f.get("affinity", ""),
        shared_prefix=f.get("system_prompt", ""),
        tenant="" if tenant == "0" else tenant,
        prompt_tokens=int(_number(f, "prompt_len", 0.0)),
        prefix_tokens=int(_number(f, "prefix_len", 0.0)),
        max_output_tokens=int(_number(f, "output_cap", 0.0)),
        cost_hint_s=_number(f, "estimate_s", 0.0),
        is_retry=_bool(f, "is_retry"),
        resumed=_bool(f, "returned"),
    )


def _first(f: Fields) -> FirstToken:
    return FirstToken(_need(f, "ref"), _integer(f, "try"), _integer(f, "replica"), _number(f, "took_s"))


def _outcome(f: Fields) -> AttemptEnded:
    return AttemptEnded(
        request=_need(f, "ref"),
        attempt=_integer(f, "try"),
        replica=_integer(f, "replica"),
        status=_word(f, "outcome", STATUSES),
        latency_s=_number(f, "took_s", 0.0),
        final=_bool(f, "final"),
        cached_tokens=_integer(f, "info", 0),
        report=_report(f),
    )


def _probed(f: Fields) -> ProbeEnded:
    return ProbeEnded(
        _integer(f, "replica"), _word(f, "outcome", STATUSES), _number(f, "took_s", 0.0), _report(f)
    )


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "call": _call,
    "ack_first": _first,
    "outcome": _outcome,
    "client_gone": lambda f: ClientGone(_need(f, "ref")),
    "wake": lambda f: TimerFired(_need(f, "cookie")),
    "checked": _probed,
    "inbox": lambda f: PeerMessage(_integer(f, "neighbour"), _payload(f, "body")),
}


def decode_event(name: str, fields: Fields) -> Event:
    try:
        decode = EVENTS[name]
    except KeyError:
        raise WireError(f"unknown event {name!r}") from None
    return decode(fields)


class _Object:
    """A JSON object of the settings, with errors that name the full path of a key."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"setting {path or 'params'} is not an object")
        self.raw: dict[str, Any] = raw
        self.path = path

    def name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str) -> object:
        if self.raw.get(key) is None:
            raise SettingsError(f"setting {self.name(key)} is missing")
        return self.raw[key]

    def number(
        self, key: str, default: float | None = None, low: float = 0.0, high: float = math.inf
    ) -> float:
        if default is not None and self.raw.get(key) is None:
            return default
        value = self.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise SettingsError(f"setting {self.name(key)} is impossible: {value!r}")
        return float(value)

    def whole(self, key: str, default: int | None = None, low: int = 0) -> int:
        value = self.number(key, default, low, 2**63)
        if value != int(value):
            raise SettingsError(f"setting {self.name(key)} is not a whole number: {value!r}")
        return int(value)

    def text(self, key: str) -> str:
        value = self.get(key)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"setting {self.name(key)} is not a name: {value!r}")
        return value

    def flag(self, key: str) -> bool:
        value = self.raw.get(key, False)
        if not isinstance(value, bool):
            raise SettingsError(f"setting {self.name(key)} is neither true nor false: {value!r}")
        return value

    def word(self, key: str, words: dict[str, T], default: str | None = None) -> T:
        value = self.raw.get(key, default) if default is not None else self.get(key)
        if not isinstance(value, str) or value not in words:
            raise SettingsError(f"setting {self.name(key)} has the unknown value {value!r}")
        return words[value]

    def items(self, key: str, default: bool = False) -> list[object]:
        if default and self.raw.get(key) is None:
            return []
        value = self.get(key)
        if not isinstance(value, list):
            raise SettingsError(f"setting {self.name(key)} is not a list")
        return value

    def names(self, key: str, default: bool = False) -> tuple[str, ...]:
        values = self.items(key, default)
        if not all(isinstance(value, str) for value in values):
            raise SettingsError(f"setting {self.name(key)} is not a list of names")
        return tuple(str(value) for value in values)

    def object(self, key: str, default: bool = False) -> _Object:
        raw = {} if default and self.raw.get(key) is None else self.get(key)
        return _Object(raw, self.name(key))

    def objects(self, key: str, default: bool = False) -> list[_Object]:
        return [_Object(raw, f"{self.name(key)}[{i}]") for i, raw in enumerate(self.items(key, default))]


def _by_value(words: type[T]) -> dict[str, T]:
    return {word.value: word for word in words}  # type: ignore[attr-defined]


def _class(raw: _Object, aims_us: list[object], index: int) -> RequestClass:
    per_1k = aims_us[index] if index < len(aims_us) else 0.0
    if not isinstance(per_1k, int | float) or not 0 <= per_1k < math.inf:
        raise SettingsError(
            f"setting family_info.aim_us_per_1000_prompt_tokens[{index}] is impossible: {per_1k!r}"
        )
    effect = raw.word("effect", _by_value(Effect), "safe")
    return RequestClass(
        name=raw.text("name"),
        aim_s=raw.number("aim_s"),
        deadline_s=raw.number("deadline_s"),
        effect=effect,
        dedup_scope=raw.word("key_scope", _by_value(DedupScope), "all"),
        dedup_window_s=raw.number("window_s", 0.0 if effect is not Effect.KEYED else None),
        worth=raw.number("points", 1.0),
        late_worth=raw.number("late_share", 0.0),
        streamed=raw.flag("stream"),
        aim_s_per_1k_tokens=float(per_1k) / 1e6,
        aim_stretch=raw.number("aim_stretch", 0.0),
    )


def decode_settings(raw: object) -> Settings:
    """Unknown keys are ignored; a missing or impossible required one raises an error that names it."""
    top = _Object(raw, "")
    family = top.object("family_info", default=True)
    aims_us = family.items("aim_us_per_1000_prompt_tokens", default=True)
    limits, rules = top.object("policy_limits"), top.object("contract")
    prices = top.object("costs", default=True)
    telemetry = top.object("telemetry", default=True)
    classes = tuple(_class(c, aims_us, i) for i, c in enumerate(top.objects("categories")))
    if not classes:
        raise SettingsError("setting categories is empty")
    zones = top.names("areas", default=True)
    # A deployment may have no zones: all engines and gateways are then in one, which may lack a name.
    zone = top.text("zone") if zones or top.raw.get("zone") else ""
    zones = zones or (zone,)
    if zone not in zones:
        raise SettingsError(f"setting zone is not among the areas: {zone!r}")
    must_ask = top.word("discovery", DISCOVERY)
    return Settings(
        zone=zone,
        zones=zones,
        gateway=top.whole("me"),
        gateways=top.whole("balancers", low=1),
        classes=classes,
        limits=Limits(
            max_attempts=limits.whole("max_attempts", low=1),
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
            drain_grace_s=rules.number("drain_grace_s"),
            cold_share=rules.number("cold_from", high=1.0),
            warm_up_s=rules.number("ramp_time_s"),
            overload_multiple=rules.number("fall_multiple"),
            overload_window_s=rules.number("overload_for_s"),
            answer_slack_s=rules.number("answer_slack_s", 0.0),
            list_max_age_s=rules.number("must_ask_in_s", math.inf if not must_ask else None),
        ),
        metrics=tuple(METRICS.get(name, Metric.OTHER) for name in telemetry.names("fields", default=True)),
        reports_via=telemetry.word("via", _by_value(ReportVia), "none"),
        weights=top.word("weights", _by_value(WeightKind), "none"),
        must_ask_for_list=must_ask,
        tenants=tuple(
            Tenant(t.text("name"), t.number("quota_rps", math.inf), t.number("share", 0.0))
            for t in top.objects("tenants", default=True)
        ),
        over_quota_worth=top.number("over_share_worth", 1.0),
        tick_s=top.number("tick_s", 0.001),
    )


def encode_action(gateway: str, action: Action) -> str:
    head = f"\tgateway={gateway}"
    match action:
        case StartAttempt(request, replica, timeout_s):
            wait = f"\tmax_wait_s={timeout_s:.6f}" if timeout_s > 0 else ""
            return f"place{head}\tref={request}\treplica={replica}{wait}"
        case CancelAttempt(request, attempt):
            return f"undo_send{head}\tref={request}\ttry={attempt}"
        case RefuseRequest(request, retry_after_s):
            pause = f"\tpause_s={retry_after_s:.6f}" if retry_after_s > 0 else ""
            return f"say_no{head}\tref={request}{pause}"
        case FailRequest(request):
            return f"surrender{head}\tref={request}"
        case SetTimer(delay_s, token):
            return f"set_timer{head}\twait_s={delay_s:.6f}\tcookie={token}"
        case Probe(replica):
            return f"inspect{head}\treplica={replica}"
        case SendPeerMessage(payload, peer):
            body = base64.b64encode(payload).decode() or "-"
            return f"share{head}\tneighbour_id={'all' if peer is None else peer}\tbody={body}"
        case Subscribe():
            return f"stream_changes{head}\tenable=1"


def encode_crash(gateway: str, error: BaseException) -> str:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return f"crash\tgateway={gateway}\tnote_text={text}"
