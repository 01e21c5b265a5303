"""An experiment in which all routers restart within a second under many clients.

Two kinds of clients are compared, the client library and one that reconnects at once. Each client sends
requests on a schedule of its own, which is drawn from the seed and the same for both kinds. It sends them
whether or not earlier calls have returned, so that a slow client doesn't send fewer. The routers receive
SIGTERM and are restarted as soon as they have exited. Counted are the connections that are opened after the
first SIGTERM.
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
from .processes import Cluster, RouterProcess, start_cluster
from .settings import FleetSettings

LAG_INTERVAL_S = 0.01
BIN_S = 0.1  # of the histogram of connections


@dataclass(frozen=True)
class Plan:
    """The parameters of the experiment; times are in seconds."""

    clients: int = 200
    routers: int = 2
    seed: int = 1
    request_interval_s: float = 2.5  # mean time between a client's requests
    before_restart_s: float = 4.0
    after_restart_s: float = 10.0
    timeout_s: float = 8.0
    max_retries: int = 1


@dataclass
class SideResults:
    """The results of one kind of clients."""

    plan: Plan
    restarted_at: float = math.inf
    connected_at_s: list[float] = field(default_factory=list)  # after the restart
    dials_failed: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    causes: Counter[str] = field(default_factory=Counter)  # of calls without an answer
    first_sends: int = 0
    retries: int = 0
    retry_limit: int | None = None
    resends: int = 0
    overlapping_attempts: int = 0
    wait_times_s: list[float] = field(default_factory=list)  # durations of the calls made after the restart
    max_lag_s: float = 0.0  # of this process's timers, which bunches what was due at different times

    def observe(self, event: str, router: str, at: float) -> None:
        """Record an event of a client's connections, if it is after the restart."""
        if at < self.restarted_at:
            return
        if event == "opened":
            self.connected_at_s.append(at - self.restarted_at)
        elif event == "dial failed":
            self.dials_failed += 1

    def figures(self) -> dict[str, Any]:
        """Return the figures that are printed and drawn."""
        times_s = np.array(sorted(self.connected_at_s))
        bin_count = max(
            int(self.plan.after_restart_s / BIN_S), int(times_s[-1] / BIN_S) + 1 if len(times_s) else 0
        )
        counts = (
            np.bincount((times_s / BIN_S).astype(int), minlength=bin_count)
            if len(times_s)
            else np.zeros(bin_count)
        )
        span_s = float(np.percentile(times_s, 95) - np.percentile(times_s, 5)) if len(times_s) else 0.0
        total = sum(self.outcomes.values())
        return {
            "clients": self.plan.clients,
            "requests": total,
            "reconnects": len(times_s),
            "reconnects_per_100ms": [int(n) for n in counts],
            "peak_per_100ms": int(counts.max()),
            "span_p5_p95_s": round(span_s, 3),
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
            "wait_p50_s": round(float(np.percentile(self.wait_times_s, 50)), 4) if self.wait_times_s else 0.0,
            "wait_p99_s": round(float(np.percentile(self.wait_times_s, 99)), 4) if self.wait_times_s else 0.0,
            "sent_twice_while_open": self.overlapping_attempts,
            "max_lag_s": round(self.max_lag_s, 3),
        }


def draw_schedule(plan: Plan, client: int) -> list[float]:
    """Draw the times of a client's requests, in seconds from the start; the same for both kinds."""
    rng = random.Random(f"{plan.seed}/{client}")
    at, send_times_s = rng.random() * plan.request_interval_s, []
    while at < plan.before_restart_s + plan.after_restart_s - 1.0:
        send_times_s.append(at)
        at += plan.request_interval_s * (0.6 + 0.8 * rng.random())
    return send_times_s


def request_body(key: str) -> bytes:
    """Return the body of a chat request with this key for the ledger."""
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


SendRequest = Callable[[str], Awaitable[str]]


async def _run_schedule(
    plan: Plan, results: SideResults, index: int, started_at: float, send_request: SendRequest
) -> None:
    async def send_one(number: int) -> None:
        sent_at = trio.current_time()
        outcome = await send_request(f"c{index}-{number}")
        results.outcomes[outcome] += 1
        if sent_at >= results.restarted_at:
            results.wait_times_s.append(trio.current_time() - sent_at)

    async with trio.open_nursery() as nursery:
        for number, at in enumerate(draw_schedule(plan, index)):
            await trio.sleep_until(started_at + at)
            nursery.start_soon(send_one, number)


async def _run_library_client(
    plan: Plan, results: SideResults, cluster: Cluster, index: int, started_at: float
) -> None:
    settings = ClientSettings(
        name=f"c{index}", max_retries=plan.max_retries, safe_classes=[cluster.settings.classes[0].name]
    )
    rng = random.Random(f"{plan.seed}/library/{index}")
    tenants = cluster.settings.tenants
    async with Client(cluster.http, settings, rng=rng, observe=results.observe) as client:

        async def send_request(key: str) -> str:
            request = Request(
                rpc_class=cluster.settings.classes[0].name,
                tenant=tenants[0].name if tenants else "",
                body=request_body(key),
                session=key,
                max_output_tokens=16,
            )
            try:
                await client.ask(request, plan.timeout_s)
            except ClientError as error:
                results.causes[f"{type(error).__name__}: {error}"] += 1
                return "refused" if isinstance(error, Refused) else "failed"
            return "in time"

        await _run_schedule(plan, results, index, started_at, send_request)
        stats = client.stats()
        results.first_sends += stats.first_sends
        results.retries += stats.retries
        results.resends += stats.resends
        results.retry_limit = (results.retry_limit or 0) + stats.retry_limit


async def _run_plain_client(
    plan: Plan, results: SideResults, cluster: Cluster, index: int, started_at: float
) -> None:
    rng = random.Random(f"{plan.seed}/plain/{index}")
    routers = list(cluster.http)
    rng.shuffle(routers)
    client = PlainClient(routers, results.observe)
    tenants = cluster.settings.tenants

    async def send_request(key: str) -> str:
        headers = {
            "Host": "lab",
            "X-Trace-Id": secrets.token_hex(8),
            "X-Qos": cluster.settings.classes[0].name,
            "X-Object": key,
            "X-Expires-In": f"{int(plan.timeout_s * 1000)}m",
            "X-Props": "max_out=16",
        }
        if tenants:
            headers["X-Customer"] = tenants[0].name
        return await client.ask(headers, request_body(key), plan.timeout_s)

    try:
        await _run_schedule(plan, results, index, started_at, send_request)
    finally:
        client.close()
    results.first_sends += client.first_sends
    results.retries += client.retries


async def _measure_lag(results: SideResults, until: float) -> None:
    while (due := trio.current_time() + LAG_INTERVAL_S) < until:
        await trio.sleep_until(due)
        results.max_lag_s = max(results.max_lag_s, trio.current_time() - due)


async def _restart(router: RouterProcess) -> None:
    await router.stop()
    router.start()


async def run_side(
    file: Path, settings: FleetSettings, plan: Plan, kind: str, report: Callable[[str], None]
) -> SideResults:
    """Run one kind of clients (`library` or `naive`) on a fleet and routers of its own."""
    results = SideResults(plan)
    run_client = {"library": _run_library_client, "naive": _run_plain_client}[kind]
    async with start_cluster(file, settings, plan.routers) as cluster:
        report(f"{kind}: {plan.clients} clients send requests to {plan.routers} routers")
        started_at = trio.current_time() + 0.2
        async with trio.open_nursery() as nursery:
            ends_at = started_at + plan.before_restart_s + plan.after_restart_s
            nursery.start_soon(_measure_lag, results, ends_at)
            for index in range(plan.clients):
                nursery.start_soon(run_client, plan, results, cluster, index, started_at)
            await trio.sleep_until(started_at + plan.before_restart_s)
            results.restarted_at = trio.current_time()
            report(f"{kind}: all routers restart")
            for router in cluster.routers:
                nursery.start_soon(_restart, router)
        results.overlapping_attempts = (await cluster.figures())["overlaps"]
    return results


async def compare(
    file: Path, settings: FleetSettings, plan: Plan, report: Callable[[str], None]
) -> dict[str, dict[str, Any]]:
    """Run both kinds of clients, one after the other, on the same schedules, and return their figures."""
    figures = {}
    for kind in ("library", "naive"):
        figures[kind] = (await run_side(file, settings, plan, kind, report)).figures()
    return figures


def run(
    file: Path, settings: FleetSettings, plan: Plan, report: Callable[[str], None]
) -> dict[str, dict[str, Any]]:
    """Run the experiment and return the figures of both kinds of clients."""
    return trio.run(partial(compare, file, settings, plan, report))
