"""The experiment on the hard case: all routers restart within a second under many clients.

Each client asks on a schedule of its own, drawn from the seed and the same for both sides, whether or not
its last call has come back: nobody is spared a request by being slow. The routers are told to stop
(SIGTERM) and started again at once. What is counted are connections that came up after the first SIGTERM.
"""

from __future__ import annotations

import json
import math
import random
import secrets
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import numpy as np
import trio

from ..client import Client, ClientError, ClientSettings, Refused, Request
from .plain import PlainClient
from .processes import Cluster, RouterProcess, cluster
from .settings import FleetSettings

BIN_S = 0.1


@dataclass(frozen=True)
class Plan:
    """Times in seconds."""

    clients: int = 200
    routers: int = 2
    seed: int = 1
    request_interval_s: float = 2.5  # between a client's requests, on the mean
    before_restart_s: float = 4.0
    after_restart_s: float = 10.0
    timeout_s: float = 8.0
    max_retries: int = 1


@dataclass
class Side:
    """What one kind of client did."""

    plan: Plan
    restarted_at: float = math.inf
    opened: list[float] = field(default_factory=list)
    dials_failed: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    causes: Counter[str] = field(default_factory=Counter)  # of what was not answered
    first_sends: int = 0
    retries: int = 0
    retry_limit: int | None = None
    resends: int = 0
    overlaps: int = 0
    waits: list[float] = field(default_factory=list)  # of calls made after the restart, to their end

    def observe(self, what: str, router: str, at: float) -> None:
        if at < self.restarted_at:
            return
        if what == "opened":
            self.opened.append(at - self.restarted_at)
        elif what == "dial failed":
            self.dials_failed += 1

    def figures(self) -> dict[str, Any]:
        times = np.array(sorted(self.opened))
        bins = max(int(self.plan.after_restart_s / BIN_S), int(times[-1] / BIN_S) + 1 if len(times) else 0)
        per_bin = np.bincount((times / BIN_S).astype(int), minlength=bins) if len(times) else np.zeros(bins)
        span = float(np.percentile(times, 95) - np.percentile(times, 5)) if len(times) else 0.0
        total = sum(self.outcomes.values())
        return {
            "clients": self.plan.clients,
            "requests": total,
            "reconnects": len(times),
            "reconnects_per_100ms": [int(n) for n in per_bin],
            "peak_per_100ms": int(per_bin.max()),
            "span_p5_p95_s": round(span, 3),
            "dials_failed": self.dials_failed,
            "first_sends": self.first_sends,
            "retries": self.retries,
            "retry_limit": self.retry_limit,
            "resends": self.resends,
            "in_time": self.outcomes["in time"],
            "in_time_share": round(self.outcomes["in time"] / max(total, 1), 5),
            "refused": self.outcomes["refused"],
            "failed": self.outcomes["failed"],
            "causes": dict(self.causes),
            "wait_p50_s": round(float(np.percentile(self.waits, 50)), 4) if self.waits else 0.0,
            "wait_p99_s": round(float(np.percentile(self.waits, 99)), 4) if self.waits else 0.0,
            "sent_twice_while_open": self.overlaps,
        }


def schedule(plan: Plan, client: int) -> list[float]:
    """When this client asks, in seconds from the start: the same for both sides."""
    rng = random.Random(f"{plan.seed}/{client}")
    at, moments = rng.random() * plan.request_interval_s, []
    while at < plan.before_restart_s + plan.after_restart_s - 1.0:
        moments.append(at)
        at += plan.request_interval_s * (0.6 + 0.8 * rng.random())
    return moments


def body_of(key: str) -> bytes:
    return json.dumps(
        {
            "model": "alt-text",
            "stream": True,
            "max_tokens": 16,
            "metadata": {"lab_key": key},
            "messages": [
                {"role": "system", "content": "Describe the thumbnail for a screen reader."},
                {"role": "user", "content": key},
            ],
        }
    ).encode()


Ask = Callable[[str], Awaitable[str]]


async def _client(plan: Plan, side: Side, index: int, started_at: float, ask: Ask) -> None:
    async def one(number: int) -> None:
        asked_at = trio.current_time()
        outcome = await ask(f"c{index}-{number}")
        side.outcomes[outcome] += 1
        if asked_at >= side.restarted_at:
            side.waits.append(trio.current_time() - asked_at)

    async with trio.open_nursery() as nursery:
        for number, at in enumerate(schedule(plan, index)):
            await trio.sleep_until(started_at + at)
            nursery.start_soon(one, number)


async def _library(plan: Plan, side: Side, made: Cluster, index: int, started_at: float) -> None:
    settings = ClientSettings(
        name=f"c{index}", max_retries=plan.max_retries, safe_classes=[made.settings.classes[0].name]
    )
    rng = random.Random(f"{plan.seed}/library/{index}")
    tenants = made.settings.tenants
    async with Client(made.http, settings, rng=rng, observe=side.observe) as client:

        async def ask(key: str) -> str:
            request = Request(
                rpc_class=made.settings.classes[0].name,
                tenant=tenants[0].name if tenants else "",
                body=body_of(key),
                session=key,
                max_output_tokens=16,
            )
            try:
                await client.ask(request, plan.timeout_s)
            except ClientError as error:
                side.causes[f"{type(error).__name__}: {error}"] += 1
                return "refused" if isinstance(error, Refused) else "failed"
            return "in time"

        await _client(plan, side, index, started_at, ask)
        stats = client.stats()
        side.first_sends += stats.first_sends
        side.retries += stats.retries
        side.resends += stats.resends
        side.retry_limit = (side.retry_limit or 0) + stats.retry_limit


async def _plain(plan: Plan, side: Side, made: Cluster, index: int, started_at: float) -> None:
    rng = random.Random(f"{plan.seed}/plain/{index}")
    routers = list(made.http)
    rng.shuffle(routers)
    client = PlainClient(routers, side.observe)
    tenants = made.settings.tenants

    async def ask(key: str) -> str:
        headers = {
            "Host": "lab",
            "X-Trace-Id": secrets.token_hex(8),
            "X-Qos": made.settings.classes[0].name,
            "X-Object": key,
            "X-Expires-In": f"{int(plan.timeout_s * 1000)}m",
            "X-Props": "max_out=16",
        }
        if tenants:
            headers["X-Customer"] = tenants[0].name
        return await client.ask(headers, body_of(key), plan.timeout_s)

    try:
        await _client(plan, side, index, started_at, ask)
    finally:
        client.close()
    side.first_sends += client.first_sends
    side.retries += client.retries


async def _restart(router: RouterProcess) -> None:
    await router.stop()
    router.start()


async def run_side(
    file: Path, settings: FleetSettings, plan: Plan, kind: str, say: Callable[[str], None]
) -> Side:
    """One side, on a fleet and routers of its own."""
    side = Side(plan)
    worker = {"library": _library, "naive": _plain}[kind]
    async with cluster(file, settings, plan.routers) as made:
        say(f"{kind}: {plan.clients} clients ask, {plan.routers} routers serve")
        started_at = trio.current_time() + 0.2
        async with trio.open_nursery() as nursery:
            for index in range(plan.clients):
                nursery.start_soon(worker, plan, side, made, index, started_at)
            await trio.sleep_until(started_at + plan.before_restart_s)
            side.restarted_at = trio.current_time()
            say(f"{kind}: all routers restart")
            for router in made.routers:
                nursery.start_soon(_restart, router)
        side.overlaps = (await made.figures())["overlaps"]
    return side


async def compare(
    file: Path, settings: FleetSettings, plan: Plan, say: Callable[[str], None]
) -> dict[str, dict[str, Any]]:
    """Both sides, one after the other, on the same schedule."""
    out = {}
    for kind in ("library", "naive"):
        out[kind] = (await run_side(file, settings, plan, kind, say)).figures()
    return out


def run(
    file: Path, settings: FleetSettings, plan: Plan, say: Callable[[str], None]
) -> dict[str, dict[str, Any]]:
    return trio.run(partial(compare, file, settings, plan, say))
