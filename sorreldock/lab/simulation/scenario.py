"""Scenarios of the simulation: fleet, requests and faults, from a seed or TOML. Only `load` does I/O."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..settings import Count, NotNegative, Positive, Share, load_as

FAULTS = {
    "slow": "a server is slower by the factor `amount`",
    "errors": "a server answers a share of its requests (`amount`) with an immediate error",
    "full": "a server rejects all requests as full",
    "hang": "a server accepts requests and answers none",
    "pause": "a server pauses, also in the middle of its answers",
    "spoil": "a server spoils its next streams (`how`: cut, reset, size, noise, half, head, empty, "
    "garbage, extra, or lost: no byte of them arrives)",
    "refuse": "a server's port is closed",
    "deaf": "a server's host leaves connection attempts unanswered",
    "crash": "a server's process crashes; a cold one gets its address under a new id",
    "vanish": "a server's host sends nothing more, and returns without the state of its connections",
    "drain": "a server gets a stop signal, completes its requests and exits; its successor is cold",
    "readdress": "a server ends, and its address immediately belongs to a new id",
    "deploy": "all servers of a zone are replaced by cold ones, one after the other",
    "slowdown": "all servers are slower by the factor `amount`",
    "surge": "`amount` additional requests within a second",
    "list-late": "discovery sends changes `amount` seconds late",
    "list-stale": "discovery sends no changes, but continues its keep-alives",
    "list-down": "discovery's port is closed and its watches are reset",
    "list-nonsense": "discovery sends each router a line that is not a target list",
    "list-silent": "discovery accepts watches and sends nothing",
    "list-moved": "SIGHUP makes the routers use another discovery; the first one ends",
    "stop": "a router gets SIGTERM, and starts again `for_s` after it has ended",
    "kill": "a router is killed, and starts again",
    "sent-away": "an operator makes a router drain its clients, and `for_s` later accept them again",
    "reload": "a router gets SIGHUP, in half of the cases with an unreadable configuration",
    "clock": "a router's wall clock steps by `amount` seconds",
    "partition": "a router is disconnected from a server, a client or discovery, in both directions",
    "one-way": "nothing from the router arrives there; `how` = back: the other direction",
    "loss": "a share of the segments that a host sends and receives (`amount`) is lost and retransmitted",
    "resets": "all connections of a host are reset",
    "narrow": "a host's link carries `amount` bytes per second",
}
CLIENTS = {
    "usual": "sends its request, reads the answer, keeps its connection",
    "slow": "reads small parts at a time",
    "leaving": "disconnects before the answer's end",
    "trickling": "sends its request in small parts",
    "bad": "sends an invalid request, or half of one",
    "library": "uses the client library",
}
SPOIL_KINDS = ("cut", "reset", "size", "noise", "half", "head", "empty", "garbage", "extra", "lost")
FaultKind = Annotated[str, msgspec.Meta(pattern="^(" + "|".join(FAULTS) + ")$")]
ClientKind = Annotated[str, msgspec.Meta(pattern="^(" + "|".join(CLIENTS) + ")$")]
REQUEST_CLASSES = (("alt-text", 1.5, 5.0, 5), ("title-suggest", 0.8, 3.0, 5), ("tag-suggest", 1.0, 4.0, 2))


class NetworkPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Delays and losses of a scenario's network."""

    delay_ms: NotNegative = 1.0
    jitter_ms: NotNegative = 0.0
    loss: Share = 0.0
    pieces: Share = 0.0  # share of reads and writes that are cut short
    buffer: Annotated[int, msgspec.Meta(ge=2048)] = 65536
    reset_drops: bool = False  # a reset discards received bytes that are unread


class ServerPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """A server of a scenario."""

    zone: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    batch: Count = 8
    step_s: Positive = 0.04
    cold: bool = False
    brief: bool = False  # closes each connection directly after an answer; with gRPC by a reset


class RequestPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """A request of a scenario."""

    at_s: NotNegative
    router: Annotated[int, msgspec.Meta(ge=0)] = 0
    protocol: Literal["http", "kserve"] = "http"
    client: ClientKind = "usual"
    machine: Annotated[int, msgspec.Meta(ge=0, le=20)] = 0
    rpc_class: Literal["alt-text", "title-suggest", "tag-suggest"] = "alt-text"
    deadline_s: Positive = 3.0
    prompt_tokens: Count = 200
    output_tokens: Count = 6
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=200_000)] = 0  # size of the padding
    prefix: str = ""


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """A fault of a scenario."""

    kind: FaultKind
    at_s: NotNegative
    for_s: NotNegative = 1.0
    target: Annotated[int, msgspec.Meta(ge=0)] = 0
    other: str = ""  # the other side of a partition: a server "e3", discovery "d0", or a client "c1"
    amount: float = 0.0
    how: str = ""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Everything that happens in one simulation; times are in seconds from its start."""

    seed: int
    name: str = ""
    routers: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1
    engines: Annotated[list[ServerPlan], msgspec.Meta(min_length=1, max_length=64)]
    requests: list[RequestPlan] = []
    faults: list[FaultPlan] = []
    weather: NetworkPlan = NetworkPlan()
    sockets: Annotated[int, msgspec.Meta(ge=100)] = 256
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 64
    warm_up_s: Positive = 6.0
    probes: bool = False  # routers may probe, and may then make six attempts, as on the platform

    def __post_init__(self) -> None:
        for plan in self.requests:
            if plan.router >= self.routers:
                raise ValueError(f"requests: there is no router {plan.router}")
        for fault in self.faults:
            if fault.kind in ROUTER_FAULTS:
                max_targets = self.routers
            elif fault.kind in SERVER_FAULTS:
                max_targets = len(self.engines)
            else:
                max_targets = 1 << 30
            if fault.target >= max_targets:
                raise ValueError(f"faults: {fault.kind} has no target {fault.target}")
            if fault.kind == "spoil" and fault.how not in SPOIL_KINDS:
                raise ValueError(f"faults: unknown spoil {fault.how!r}; known are {', '.join(SPOIL_KINDS)}")


ROUTER_FAULTS = ("stop", "kill", "sent-away", "reload", "clock", "partition", "one-way")
SERVER_FAULTS = (
    "slow",
    "errors",
    "full",
    "hang",
    "pause",
    "spoil",
    "refuse",
    "deaf",
    "crash",
    "vanish",
    "drain",
    "readdress",
    "loss",
    "resets",
    "narrow",
)
FAULT_WEIGHTS = {
    "drain": 3,
    "deploy": 3,
    "stop": 3,
    "spoil": 3,
    "hang": 2,
    "crash": 2,
    "partition": 2,
    "kill": 2,
}


def draw_request(rng: random.Random, at_s: float, router_count: int, protocol: str) -> RequestPlan:
    rpc_class, _, deadline_s, _ = rng.choice(REQUEST_CLASSES)
    client = rng.choices(list(CLIENTS), (14, 2, 2, 1, 2, 3))[0]
    is_large = rng.random() < 0.07
    return RequestPlan(
        at_s=round(at_s, 3),
        router=rng.randrange(router_count),
        protocol=protocol,  # type: ignore[arg-type]
        client=client,
        machine=rng.randrange(6),
        rpc_class=rpc_class,  # type: ignore[arg-type]
        deadline_s=round(deadline_s * rng.choice((0.2, 0.5, 1.0)), 2),
        prompt_tokens=rng.choice((50, 200, 800)),
        output_tokens=rng.choice((2, 2, 3, 3, 6, 16)),
        body_bytes=rng.randrange(4000, 40000 if protocol == "http" else 24000) if is_large else 0,
        prefix=rng.choice(("", "p1", "p2")),
    )


def draw_fault(rng: random.Random, router_count: int, server_count: int, until_s: float) -> FaultPlan:
    # Faults that were added later ("sent-away", "lost") are drawn in `draw` with a generator of their own, so
    # that older seeds keep their scenarios.
    kinds = [fault_kind for fault_kind in FAULTS if fault_kind != "sent-away"]
    kind = rng.choices(kinds, [FAULT_WEIGHTS.get(fault_kind, 1) for fault_kind in kinds])[0]
    at_s, for_s = (
        round(rng.uniform(0.2, until_s), 3),
        round(rng.choice((0.3, 1.0, 2.5)) * rng.uniform(0.7, 1.3), 3),
    )
    target, amount, other, how = 0, 0.0, "", ""
    if kind in SERVER_FAULTS:
        target = rng.randrange(server_count)
    elif kind in ROUTER_FAULTS:
        target = rng.randrange(router_count)
    match kind:
        case "slow" | "slowdown":
            amount = rng.choice((3.0, 10.0, 40.0))
        case "errors":
            amount = rng.choice((0.3, 1.0))
        case "surge":
            amount = float(rng.choice((10, 20, 30)))
        case "list-late":
            amount = rng.choice((0.5, 2.0))
        case "clock":
            amount = rng.choice((-30.0, -2.0, 2.0, 30.0))
        case "loss":
            amount = rng.choice((0.05, 0.3))
        case "narrow":
            amount = rng.choice((2000.0, 20000.0))
        case "spoil":
            how = rng.choice([spoil for spoil in SPOIL_KINDS if spoil != "lost"])
        case "partition" | "one-way":
            other = rng.choice((f"e{rng.randrange(server_count)}", "d0", f"c{rng.randrange(6)}"))
            how = rng.choice(("", "back")) if kind == "one-way" else ""
    return FaultPlan(kind=kind, at_s=at_s, for_s=for_s, target=target, other=other, amount=amount, how=how)


def draw(seed: int) -> Scenario:
    """Return the scenario of a seed, which is the same in every process and on every machine."""
    rng = random.Random(f"scenario {seed}")
    routers = rng.choices((1, 2, 3, 4), (4, 4, 2, 1))[0]
    zones = rng.choice((1, 2, 2))
    engines = [
        ServerPlan(
            zone=index % zones,
            batch=rng.choice((2, 4, 8)),
            step_s=rng.choice((0.02, 0.05)),
            cold=rng.random() < 0.1,
            brief=rng.random() < 0.12,
        )
        for index in range(rng.randint(3, 12 if rng.random() < 0.3 else 7))
    ]
    until_s = rng.choice((3.0, 5.0, 8.0))
    grpc_share = rng.choice((0.2, 0.35, 0.6))
    requests = []
    for index in range(rng.randint(20, 21)):
        protocol = (
            ("http", "kserve")[index] if index < 2 else "kserve" if rng.random() < grpc_share else "http"
        )
        requests.append(draw_request(rng, rng.uniform(0.05, until_s), routers, protocol))
    faults: list[FaultPlan] = []
    for _ in range(rng.choice((0, 1, 2, 2, 3, 3, 4))):
        fault = draw_fault(rng, routers, len(engines), until_s)
        if faults and rng.random() < 0.4:  # faults are often simultaneous, and on the same host
            at_s = max(faults[-1].at_s + rng.uniform(-0.4, 0.4), 0.1)
            fault = msgspec.structs.replace(fault, at_s=round(at_s, 3))
            if fault.kind in SERVER_FAULTS and faults[-1].kind in SERVER_FAULTS:
                fault = msgspec.structs.replace(fault, target=faults[-1].target)
        faults.append(fault)
    # Each host is restarted at most once, and discovery moves at most once.
    used_targets: set[tuple[str, int]] = set()
    kept_faults = []
    for fault in sorted(faults, key=lambda f: f.at_s):
        family = (
            "router"
            if fault.kind in ("stop", "kill")
            else "server"
            if fault.kind in REPLACING_FAULTS
            else fault.kind
        )
        if family in ("router", "server", "list-moved") and (family, fault.target) in used_targets:
            continue
        used_targets.add((family, fault.target))
        kept_faults.append(fault)
    network_plan = NetworkPlan(
        delay_ms=rng.choice((0.2, 1.0, 5.0)),
        jitter_ms=rng.choice((0.0, 0.5, 4.0)),
        loss=rng.choice((0.0, 0.0, 0.0, 0.01)),
        pieces=rng.choice((0.0, 0.0, 0.0, 0.1, 0.3)),
        buffer=rng.choice((4096, 65536)),
        reset_drops=rng.random() < 0.3,
    )
    # Draws that were added later have their own generator, so that older seeds keep the other draws.
    extra_rng = random.Random(f"calls {seed}")
    if extra_rng.random() < 0.15:
        at_s, for_s = round(extra_rng.uniform(0.2, until_s), 3), round(extra_rng.choice((0.1, 0.6, 2.5)), 3)
        kept_faults.append(
            FaultPlan(kind="sent-away", at_s=at_s, for_s=for_s, target=extra_rng.randrange(routers))
        )
    probes = extra_rng.random() < 0.3
    if probes and len(kept_faults) < 5:
        at_s, target = round(extra_rng.uniform(0.2, until_s), 3), extra_rng.randrange(len(engines))
        kept_faults.append(FaultPlan(kind="spoil", at_s=at_s, for_s=2.0, target=target, how="lost"))
    return Scenario(
        seed=seed,
        routers=routers,
        engines=engines,
        requests=sorted(requests, key=lambda p: p.at_s),
        faults=kept_faults,
        weather=network_plan,
        sockets=rng.choice((100, 256, 1024)),
        memory_mb=rng.choice((64, 192)),
        warm_up_s=rng.choice((4.0, 10.0)),
        probes=probes,
    )


REPLACING_FAULTS = ("crash", "vanish", "drain", "readdress")


def load(path: Path) -> Scenario:
    """Return the validated scenario of a file; a LabError states in one line what is invalid, and where."""
    return load_as(path, Scenario)


def dump(scenario: Scenario) -> bytes:
    """Return the scenario as the content of a file for `load`."""
    return msgspec.toml.encode(scenario)
