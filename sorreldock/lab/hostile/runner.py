"""The runner of one run: a real router process between sound servers, honest and hostile clients."""

from __future__ import annotations

import json
import multiprocessing
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from ..processes import HOST, RouterProcess, free_port
from .crowd import run_crowd
from .honest import HonestRecords, Result, run_honest
from .plan import MODEL, RPC_CLASS, TENANT, Picture, Plan, router_settings, server_plan
from .servers import listing, run_servers
from .usage import Usage, watch_usage

SERVERS_START_TIMEOUT_S = 15.0
CROWD_END_TIMEOUT_S = 10.0
FAULT_RECORDS = (" VIOLATION ", " FRONT ", " MODULE ", "fault in the server client", "Traceback")


@dataclass(frozen=True, slots=True)
class Row:
    """The figures of one run."""

    plan: Plan
    usage: Usage
    honest: HonestRecords
    faults: tuple[str, ...]  # broken rules and faults that the router logged

    def breaks(self) -> list[str]:
        """Return a line for each bound of the pages that the run broke."""
        found = [f"logged: {line}" for line in self.faults]
        if not self.usage.alive:
            found.append("the router's process has ended")
        if self.usage.resident_mb > self.plan.memory_mb:
            found.append(f"{self.usage.resident_mb:.0f} MB resident, the limit is {self.plan.memory_mb}")
        if self.usage.descriptors > self.plan.sockets:
            found.append(f"{self.usage.descriptors} descriptors, the limit is {self.plan.sockets}")
        if lost := self.honest.results[Result.LOST]:
            found.append(f"{lost} honest requests without an answer")
        return found

    def figures(self) -> dict[str, Any]:
        """Return the figures that are printed."""
        plan, usage, honest = self.plan, self.usage, self.honest
        return {
            "picture": plan.picture.value,
            "protocol": plan.protocol.value,
            "clients": plan.clients,
            "memory_mb": plan.memory_mb,
            "anonymous_mb": round(usage.anonymous_mb, 1),
            "resident_mb": round(usage.resident_mb, 1),
            "cpu_share": round(usage.cpu_s / plan.total_s, 2),
            "descriptors": usage.descriptors,
            **{result.value: count for result, count in honest.results.items()},
            "p50_ms": round(1e3 * honest.served_percentile_s(0.5)),
            "p99_ms": round(1e3 * honest.served_percentile_s(0.99)),
            "lag_ms": round(1e3 * honest.max_lag_s),
            "breaks": self.breaks(),
        }


@contextmanager
def _servers(plan: Plan) -> Iterator[tuple[str, list[str]]]:
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(
        target=run_servers, args=(plan.servers, server_plan(plan.picture), theirs), daemon=True
    )
    process.start()
    theirs.close()
    try:
        if not ours.poll(SERVERS_START_TIMEOUT_S):
            raise RuntimeError("the servers did not start")
        yield ours.recv()
    finally:
        ours.close()
        process.terminate()
        process.join()


def _write_router_files(folder: Path, plan: Plan, discovery: str, addresses: list[str]) -> RouterProcess:
    router = RouterProcess("r0", folder, f"{HOST}:{free_port()}", f"{HOST}:{free_port()}")
    config = {
        "name": router.name,
        "listen": router.http,
        "discovery": discovery,
        "seed": f"{plan.seed:x}",
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "known": listing(addresses),
        "settings": router_settings(),
    }
    (folder / f"{router.name}.json").write_text(json.dumps(config))
    (folder / f"{router.name}.toml").write_text(
        f'[kserve]\nlisten = "{router.kserve}"\nmodels = ["{MODEL}"]\nclass = "{RPC_CLASS}"\n'
        f'tenant = "{TENANT}"\n[engines]\nprotocols = ["http", "kserve"]\n'
    )
    return router


async def _play(plan: Plan, router: RouterProcess, usage: Usage, honest: HonestRecords) -> None:
    router.start()
    await router.ready()
    assert router.process is not None
    address = router.http if plan.protocol.value == "http" else router.kserve
    context = multiprocessing.get_context("spawn")
    crowd = context.Process(target=run_crowd, args=(plan, address), daemon=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_usage, router.process.pid, usage)
        async with trio.open_nursery() as traffic:
            traffic.start_soon(run_honest, plan, address, honest)
            await trio.sleep(plan.rest_s)
            if plan.picture is not Picture.CALM:
                crowd.start()
        nursery.cancel_scope.cancel()
    if crowd.pid is not None:
        crowd.join(CROWD_END_TIMEOUT_S)
        if crowd.exitcode != 0:
            crowd.kill()
            raise RuntimeError(f"the hostile clients ended with status {crowd.exitcode}")


def run(plan: Plan, keep_log: Path | None = None) -> Row:
    """Run one picture and return its figures."""
    usage, honest = Usage(), HonestRecords()
    with (
        tempfile.TemporaryDirectory(prefix="sorreldock-hostile-") as name,
        _servers(plan) as (
            discovery,
            addresses,
        ),
    ):
        folder = Path(name)
        router = _write_router_files(folder, plan, discovery, addresses)
        try:
            trio.run(_play, plan, router, usage, honest)
        finally:
            trio.run(router.stop)
        log = (folder / f"{router.name}.log").read_text(errors="replace")
    if keep_log is not None:
        keep_log.write_text(log)
    faults = tuple(line for line in log.splitlines() if any(text in line for text in FAULT_RECORDS))
    return Row(plan, usage, honest, faults)
