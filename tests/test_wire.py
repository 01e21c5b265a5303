"""Tests of the wire's codec and of the simulator adapter as a subprocess, with valid and invalid input."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
from typing import Any

import pytest

from sorreldock import interface, wire
from sorreldock.interface import (
    CancelAttempt,
    FailRequest,
    ListKind,
    Metric,
    PeerMessage,
    Probe,
    ProbeEnded,
    RefuseRequest,
    ReportVia,
    RequestArrived,
    SendPeerMessage,
    SetTimer,
    SettingsError,
    StartAttempt,
    Status,
    Subscribe,
    WeightKind,
)

PARAMS: dict[str, Any] = {
    "areas": ["north", "south"],
    "balancers": 2,
    "categories": [{"aim_s": 1.0, "deadline_s": 4.0, "effect": "safe", "name": "draft", "stream": True}],
    "costs": {"probe": 0.001, "waste": 0.1},
    "discovery": "push",
    "family_info": {"aim_us_per_1000_prompt_tokens": [30000.0], "resume": True},
    "me": 0,
    "policy_limits": {"max_attempts": 3, "cancel": True, "parallel_tries": True, "probes": False},
    "telemetry": {"fields": ["backlog", "recent_ms", "x0"], "via": "probe"},
    "contract": {
        "answer_slack_s": 0.02,
        "cold_from": 0.14,
        "drain_grace_s": 2.0,
        "fall_multiple": 3.0,
        "must_ask_in_s": 10.0,
        "overload_for_s": 2.0,
        "ramp_time_s": 23.0,
    },
    "tenants": [{"name": "evening", "quota_rps": 11.0, "share": 0.5}],
    "weights": "nominal",
    "zone": "north",
}


def with_change(path: str, value: object) -> dict[str, Any]:
    params = copy.deepcopy(PARAMS)
    *parents, last = path.split(".")
    container: Any = params
    for part in parents:
        container = container[int(part)] if part.isdigit() else container[part]
    if value is None:
        del container[last]
    else:
        container[last] = value
    return params


def test_settings_are_decoded_and_unknown_keys_ignored() -> None:
    settings = wire.decode_settings({**PARAMS, "novelty": {"x": 1}})
    assert (settings.zone, settings.gateways, settings.limits.max_attempts, settings.prices.waste) == (
        "north",
        2,
        3,
        0.1,
    )
    assert settings.classes[0].aim_s_per_1k_tokens == pytest.approx(0.03)
    assert settings.metrics == (Metric.QUEUE_LENGTH, Metric.LATENCY_MS, Metric.MEMORY_SHARE)
    assert settings.reports_via is ReportVia.PROBE and settings.weights is WeightKind.NOMINAL
    assert settings.guarantees.warm_up_s == 23.0 and settings.limits.resume_streams


@pytest.mark.parametrize("areas", [[], None])
def test_a_deployment_may_have_no_zones(areas: object) -> None:
    for zone in ("", None):
        settings = wire.decode_settings(with_change("areas", areas) | {"zone": zone})
        assert (settings.zones, settings.zone) == (("",), "")
    with pytest.raises(SettingsError, match="zone"):
        wire.decode_settings(with_change("areas", areas) | {"zone": 7})


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("zone", None, "zone"),
        ("zone", "west", "zone"),
        ("categories", [], "categories"),
        ("categories.0.aim_s", None, "categories[0].aim_s"),
        ("categories.0.deadline_s", -1.0, "categories[0].deadline_s"),
        ("categories.0.effect", "perhaps", "categories[0].effect"),
        ("contract.cold_from", 1.5, "contract.cold_from"),
        ("contract.drain_grace_s", None, "contract.drain_grace_s"),
        ("policy_limits.max_attempts", 0, "policy_limits.max_attempts"),
        ("policy_limits.cancel", "yes", "policy_limits.cancel"),
        ("balancers", "many", "balancers"),
        ("weights", "heavy", "weights"),
        ("discovery", "guess", "discovery"),
    ],
)
def test_the_error_names_the_invalid_setting(path: str, value: object, named: str) -> None:
    with pytest.raises(SettingsError, match=named.replace("[", r"\[").replace("]", r"\]")):
        wire.decode_settings(with_change(path, value))


def test_events_are_decoded() -> None:
    name, fields = wire.split_line(
        "checked\tgateway=gateway-3\treplica=7\toutcome=success\ttook_s=0.0014\thealth_info=3,14.5,0.4"
    )
    assert wire.decode_event(name, fields) == ProbeEnded(7, Status.OK, 0.0014, (3.0, 14.5, 0.4))
    name, fields = wire.split_line(
        "call\tref=rq_a\texpires_s=8.5\tprompt_len=1800\tprefix_len=1200\tsystem_prompt=c:x"
        "\taffinity=sess-k\tclass=draft\towner=0\tis_retry=1"
    )
    event = wire.decode_event(name, fields)
    assert isinstance(event, RequestArrived)
    assert (event.request, event.tenant, event.is_retry, event.session) == ("rq_a", "", True, "sess-k")
    assert wire.decode_event("inbox", {"neighbour": "2", "body": "aGkgNw=="}) == PeerMessage(2, b"hi 7")
    assert wire.decode_list_head({"kind": "lost", "revision": "4"}) == (ListKind.LOST, 4, 0)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (StartAttempt("rq_a", 9, 0.08), "place\tgateway=g\tref=rq_a\treplica=9\tmax_wait_s=0.080000"),
        (CancelAttempt("rq_a", 1), "undo_send\tgateway=g\tref=rq_a\ttry=1"),
        (RefuseRequest("rq_a", 0.25), "say_no\tgateway=g\tref=rq_a\tpause_s=0.250000"),
        (RefuseRequest("rq_a"), "say_no\tgateway=g\tref=rq_a"),
        (FailRequest("rq_a"), "surrender\tgateway=g\tref=rq_a"),
        (SetTimer(0.5, "x"), "set_timer\tgateway=g\twait_s=0.500000\tcookie=x"),
        (Probe(9), "inspect\tgateway=g\treplica=9"),
        (SendPeerMessage(b"hi 7"), "share\tgateway=g\tneighbour_id=all\tbody=aGkgNw=="),
        (SendPeerMessage(b"", 2), "share\tgateway=g\tneighbour_id=2\tbody=-"),
        (Subscribe(), "stream_changes\tgateway=g\tenable=1"),
    ],
)
def test_actions_are_encoded(action: Any, line: str) -> None:
    assert wire.encode_action("g", action) == line


@pytest.mark.parametrize(
    ("former", "action"),
    [
        ("Send", StartAttempt),
        ("Cancel", CancelAttempt),
        ("Refuse", RefuseRequest),
        ("Fail", FailRequest),
        ("TellPeers", SendPeerMessage),
    ],
)
def test_the_former_name_of_an_action_is_the_renamed_class(former: str, action: type) -> None:
    assert getattr(interface, former) is action


def adapter(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sorreldock.wirehost"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONHASHSEED": seed},
    )


def boot(name: str = "gateway-0") -> str:
    items = "".join(
        f"item\thall=north\tunits=1\tstatus=SERVING\treplica={i}\tbay=0\tsku=card\n" for i in range(1, 6)
    )
    return (
        f"boot\tgateway={name}\tnonce64=7\tparams={json.dumps(PARAMS)}\n"
        f"registry\tgateway={name}\trevision=1\tkind=warm_copy\telements=5\n{items}"
    )


def arrival(ref: str, name: str = "gateway-0") -> str:
    return (
        f"call\tgateway={name}\tref={ref}\texpires_s=14\tprompt_len=100\taffinity=sess-{ref}\tclass=draft\n"
    )


BATCH = "turn\tts_s=10.0\n{}commit\n\n"


def test_batches_are_answered_and_the_process_ends_without_errors() -> None:
    done = adapter("turn\tts_s=9\ncommit\n\n" + BATCH.format(boot() + arrival("rq_a")))
    assert done.returncode == 0 and done.stderr == ""
    empty, reply, rest = done.stdout.split("eor\n")
    assert empty == "" and rest == ""
    assert reply.splitlines()[0].startswith("place\tgateway=gateway-0\tref=rq_a\treplica=")


def test_a_gateway_restarted_within_a_batch_starts_with_the_cached_list() -> None:
    text = BATCH.format(boot() + arrival("rq_a")) + BATCH.format(
        "shutdown\tgateway=gateway-0\n" + boot() + arrival("rq_b")
    )
    done = adapter(text)
    assert done.returncode == 0 and "ref=rq_b" in done.stdout.split("eor\n")[1]


def test_identical_events_give_identical_actions_for_any_hash_seed_and_split_into_processes() -> None:
    names = ["gateway-0", "gateway-1"]
    calls = {n: "".join(arrival(f"rq_{n[-1]}{i}", n) for i in range(30)) for n in names}
    together = BATCH.format("".join(boot(n) + calls[n] for n in names))
    one, two = adapter(together, "1"), adapter(together, "2")
    assert one.stdout == two.stdout and one.stdout.count("place") == 60
    alone = [adapter(BATCH.format(boot(n) + calls[n])).stdout for n in names]
    for name, reply in zip(names, alone, strict=True):
        mine = [line for line in one.stdout.splitlines() if f"gateway={name}\t" in line]
        assert mine == reply.splitlines()[:-1]


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (BATCH.format(boot() + "surprise\tgateway=gateway-0\n"), "surprise"),
        (BATCH.format(boot() + "wake\tgateway=gateway-0\n"), "cookie"),
        (BATCH.format(boot() + arrival("rq_a").replace("expires_s=14", "expires_s=soon")), "expires_s"),
        (BATCH.format(boot() + arrival("rq_a").replace("expires_s=14", "expires_s=nan")), "expires_s"),
        (BATCH.format(boot() + "call\tgateway=gateway-0\trubbish\n"), "rubbish"),
        (BATCH.format(arrival("rq_a")), "gateway-0"),
        (BATCH.format(boot().replace('"north"', "north")), "JSON"),
        (BATCH.format(boot().replace('"zone": "north"', '"zone": "west"')), "zone"),
        (BATCH.format(boot().replace("elements=5", "elements=9") + arrival("rq_a")), "entries"),
        ("turn\tts_s=10.0\n" + boot(), "ends within a batch"),
        ("commit\n", "turn"),
    ],
)
def test_invalid_input_ends_the_process_with_a_message_and_no_reply(text: str, named: str) -> None:
    done = adapter("turn\tts_s=9\ncommit\n\n" + text)
    assert done.returncode != 0
    assert done.stdout == "eor\n"
    assert named in done.stderr and "Traceback" not in done.stderr


def test_an_exception_in_the_decisions_is_reported_as_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    from sorreldock import wirehost

    def failing_handle(*_: object) -> None:
        raise IndexError("index out of\nrange")

    monkeypatch.setattr(wirehost.Gateway, "handle", failing_handle)
    host = wirehost.Host()
    replies = host.answer_batch(iter((boot() + "commit").split("\n")))
    assert replies == ["crash\tgateway=gateway-0\tnote_text=IndexError: index out of range"]
