"""What happens in a world: the fleet, the requests and the faults, from a seed or from TOML. No I/O but
`load`.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..settings import Count, NotNegative, Positive, Share, load_as

FAULTS = {
    "slow": "an engine works slower, `amount` times",
    "errors": "an engine answers a share of its requests (`amount`) with errors at once",
    "full": "an engine turns all away as full",
    "hang": "an engine takes requests and answers none",
    "pause": "an engine stands still, within its answers too",
    "spoil": "an engine spoils its next streams (`how`: cut, reset, size, noise, half, head, empty, "
    "garbage, extra, or lost: no word of them arrives)",
    "refuse": "an engine's port is closed",
    "deaf": "an engine's machine lets connects wait for ever",
    "crash": "an engine's process dies; a cold one takes its address under a new id",
    "vanish": "an engine's machine says no word more, and comes back knowing nothing",
    "drain": "an engine is told to end, completes what it holds and goes; its successor is cold",
    "readdress": "an engine ends, and its address belongs to a new id in the same moment",
    "deploy": "all engines of a zone are replaced by cold ones, one after the other",
    "slowdown": "all engines work slower, `amount` times",
    "surge": "`amount` requests more within a second",
    "list-late": "discovery tells changes `amount` seconds late",
    "list-stale": "discovery tells no change; its keep-alives go on",
    "list-down": "discovery's port is closed and its watches are reset",
    "list-nonsense": "discovery tells each router a line that is no list",
    "list-silent": "discovery takes watches and says nothing",
    "list-moved": "the routers are told by SIGHUP of another discovery; the first one is gone",
    "stop": "a router is told to stop, and starts again `for_s` after it has ended",
    "kill": "a router is killed, and starts again",
    "sent-away": "a router is called to send its clients away, and `for_s` later to take them again",
    "reload": "a router gets SIGHUP, with a configuration that can't be read half of the time",
    "clock": "a router's wall clock steps by `amount` seconds",
    "partition": "a router and an engine, a client or discovery reach each other no longer",
    "one-way": "the router is not heard there any longer; `how` = back: the other way",
    "loss": "a share of what a machine sends and gets (`amount`) is lost, and sent again",
    "resets": "all connections of a machine are reset",
    "narrow": "a machine's link carries `amount` bytes a second",
}
CLIENTS = {
    "usual": "writes, reads, keeps its connection",
    "slow": "reads a little at a time",
    "leaving": "goes away before the end",
    "trickling": "writes its request in small pieces",
    "bad": "writes what is no request, or half of one",
    "library": "the client library",
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
    pieces: Share = 0.0
    buffer: Annotated[int, msgspec.Meta(ge=2048)] = 65536
    reset_drops: bool = False


class ServerPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """An engine of a scenario."""

    zone: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    batch: Count = 8
    step_s: Positive = 0.04
    cold: bool = False
    brief: bool = False  # closes each connection right after an answer; over gRPC with a reset


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
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=200_000)] = 0  # of padding
    prefix: str = ""


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """A fault of a scenario."""

    kind: FaultKind
    at_s: NotNegative
    for_s: NotNegative = 1.0
    target: Annotated[int, msgspec.Meta(ge=0)] = 0
    other: str = ""  # a partition's other side: an engine "e3", "d0", or a client "c1"
    amount: float = 0.0
    how: str = ""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Times in seconds from the start."""

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
    probes: bool = False  # routers may probe, and then have six attempts, as on the platform

    def __post_init__(self) -> None:
        for plan in self.requests:
            if plan.router >= self.routers:
                raise ValueError(f"requests: there is no router {plan.router}")
        for fault in self.faults:
            if fault.kind in ROUTER_FAULTS:
                most = self.routers
            elif fault.kind in SERVER_FAULTS:
                most = len(self.engines)
            else:
                most = 1 << 30
            if fault.target >= most:
                raise ValueError(f"faults: {fault.kind} has no target {fault.target}")
            if fault.kind == "spoil" and fault.how not in SPOIL_KINDS:
                raise ValueError(f"faults: spoil has no way {fault.how!r}; it knows {', '.join(SPOIL_KINDS)}")


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


def draw_request(rng: random.Random, at_s: float, routers: int, protocol: str) -> RequestPlan:
    rpc_class, _, deadline, _ = rng.choice(REQUEST_CLASSES)
    client = rng.choices(list(CLIENTS), (14, 2, 2, 1, 2, 3))[0]
    large = rng.random() < 0.07
    return RequestPlan(
        at_s=round(at_s, 3),
        router=rng.randrange(routers),
        protocol=protocol,  # type: ignore[arg-type]
        client=client,
        machine=rng.randrange(6),
        rpc_class=rpc_class,  # type: ignore[arg-type]
        deadline_s=round(deadline * rng.choice((0.2, 0.5, 1.0)), 2),
        prompt_tokens=rng.choice((50, 200, 800)),
        output_tokens=rng.choice((2, 2, 3, 3, 6, 16)),
        body_bytes=rng.randrange(4000, 40000 if protocol == "http" else 24000) if large else 0,
        prefix=rng.choice(("", "p1", "p2")),
    )


def draw_fault(rng: random.Random, routers: int, engines: int, until: float) -> FaultPlan:
    kinds = [k for k in FAULTS if k != "sent-away"]  # which `draw` adds: older seeds stay what they were
    kind = rng.choices(kinds, [FAULT_WEIGHTS.get(k, 1) for k in kinds])[0]
    at, lasts = (
        round(rng.uniform(0.2, until), 3),
        round(rng.choice((0.3, 1.0, 2.5)) * rng.uniform(0.7, 1.3), 3),
    )
    target, amount, other, how = 0, 0.0, "", ""
    if kind in SERVER_FAULTS:
        target = rng.randrange(engines)
    elif kind in ROUTER_FAULTS:
        target = rng.randrange(routers)
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
            how = rng.choice([s for s in SPOIL_KINDS if s != "lost"])  # as above
        case "partition" | "one-way":
            other = rng.choice((f"e{rng.randrange(engines)}", "d0", f"c{rng.randrange(6)}"))
            how = rng.choice(("", "back")) if kind == "one-way" else ""
    return FaultPlan(kind=kind, at_s=at, for_s=lasts, target=target, other=other, amount=amount, how=how)


def draw(seed: int) -> Scenario:
    """The scenario of a seed: the same everywhere."""
    rng = random.Random(f"scenario {seed}")
    routers = rng.choices((1, 2, 3, 4), (4, 4, 2, 1))[0]
    zones = rng.choice((1, 2, 2))
    engines = [
        ServerPlan(
            zone=k % zones,
            batch=rng.choice((2, 4, 8)),
            step_s=rng.choice((0.02, 0.05)),
            cold=rng.random() < 0.1,
            brief=rng.random() < 0.12,
        )
        for k in range(rng.randint(3, 12 if rng.random() < 0.3 else 7))
    ]
    until = rng.choice((3.0, 5.0, 8.0))
    grpc = rng.choice((0.2, 0.35, 0.6))
    plans = []
    for k in range(rng.randint(20, 21)):
        protocol = ("http", "kserve")[k] if k < 2 else "kserve" if rng.random() < grpc else "http"
        plans.append(draw_request(rng, rng.uniform(0.05, until), routers, protocol))
    faults: list[FaultPlan] = []
    for _ in range(rng.choice((0, 1, 2, 2, 3, 3, 4))):
        fault = draw_fault(rng, routers, len(engines), until)
        if faults and rng.random() < 0.4:  # incidents come together, and often on one machine
            at = max(faults[-1].at_s + rng.uniform(-0.4, 0.4), 0.1)
            fault = msgspec.structs.replace(fault, at_s=round(at, 3))
            if fault.kind in SERVER_FAULTS and faults[-1].kind in SERVER_FAULTS:
                fault = msgspec.structs.replace(fault, target=faults[-1].target)
        faults.append(fault)
    seen: set[tuple[str, int]] = set()  # a machine starts again once, and the list moves once
    kept = []
    for fault in sorted(faults, key=lambda f: f.at_s):
        family = (
            "router"
            if fault.kind in ("stop", "kill")
            else "engine"
            if fault.kind in REPLACING_FAULTS
            else fault.kind
        )
        if family in ("router", "engine", "list-moved") and (family, fault.target) in seen:
            continue
        seen.add((family, fault.target))
        kept.append(fault)
    weather = NetworkPlan(
        delay_ms=rng.choice((0.2, 1.0, 5.0)),
        jitter_ms=rng.choice((0.0, 0.5, 4.0)),
        loss=rng.choice((0.0, 0.0, 0.0, 0.01)),
        pieces=rng.choice((0.0, 0.0, 0.0, 0.1, 0.3)),
        buffer=rng.choice((4096, 65536)),
        reset_drops=rng.random() < 0.3,
    )
    calls = random.Random(f"calls {seed}")
    if calls.random() < 0.15:
        at, lasts = round(calls.uniform(0.2, until), 3), round(calls.choice((0.1, 0.6, 2.5)), 3)
        kept.append(FaultPlan(kind="sent-away", at_s=at, for_s=lasts, target=calls.randrange(routers)))
    probes = calls.random() < 0.3
    if probes and len(kept) < 5:
        at, target = round(calls.uniform(0.2, until), 3), calls.randrange(len(engines))
        kept.append(FaultPlan(kind="spoil", at_s=at, for_s=2.0, target=target, how="lost"))
    return Scenario(
        seed=seed,
        routers=routers,
        engines=engines,
        requests=sorted(plans, key=lambda p: p.at_s),
        faults=kept,
        weather=weather,
        sockets=rng.choice((100, 256, 1024)),
        memory_mb=rng.choice((64, 192)),
        warm_up_s=rng.choice((4.0, 10.0)),
        probes=probes,
    )


REPLACING_FAULTS = ("crash", "vanish", "drain", "readdress")


def load(path: Path) -> Scenario:
    """The checked scenario; LabError says in a line what is wrong, and where."""
    return load_as(path, Scenario)


def dump(scenario: Scenario) -> bytes:
    """The scenario as a file that `load` reads."""
    return msgspec.toml.encode(scenario)
