"""A benchmark of a router process's CPU time per RPC over HTTP/1.1, optionally against another checkout.

    python benchmarks/router_cost.py [--against TREE] [--calls 2000] [--rounds 5] [--json]

A server in a process of its own answers each request at once with the same nine events. Sixteen connections
make the calls, one after the other on each. With `--against`, a router of the other tree is measured in turn,
round by round, so that other load on the machine affects both. CPU is that of the router process, user and
system (`/proc/PID/stat`); figures are medians over the rounds, with their range.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import typer
from answers import BODY, serve

THIS_TREE = Path(__file__).resolve().parent.parent
CONNECTIONS = 16
SETTINGS = {
    "areas": ["a"], "zone": "a", "me": 0, "balancers": 1, "discovery": "push", "tick_s": 0.001,
    "categories": [{"name": "alt-text", "aim_s": 3.0, "deadline_s": 10.0, "stream": True}],
    "policy_limits": {"max_attempts": 2, "cancel": True, "retry_after": True, "max_retry_after_s": 2.0},
    "contract": {"drain_grace_s": 0.25, "cold_from": 0.12, "ramp_time_s": 23.0, "fall_multiple": 2.5,
                 "overload_for_s": 3.0},
}  # fmt: skip


def process_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / float(os.sysconf("SC_CLK_TCK"))


async def send_requests(port: int, calls: int, name: str) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for number in range(calls):
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nX-Trace-Id: %b-%d\r\nX-Qos: alt-text\r\n"
            b"X-Expires-In: 4000m\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
            % (name.encode(), number, len(BODY), BODY)
        )
        answer = await reader.readuntil(b"\r\n0\r\n\r\n")
        if not answer.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"the status of the answer is not 200: {answer[:60]!r}")
    writer.close()


class Router:
    """A router process that runs the code of a source tree."""

    def __init__(self, tree: Path, server_port: int, folder: Path) -> None:
        target = {
            "uid": "e0", "endpoint": f"127.0.0.1:{server_port}", "az": "a", "model": "m", "pod_group": 0,
            "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0,
        }  # fmt: skip
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.port = listener.getsockname()[1]
        path = folder / f"{self.port}.json"
        config = {
            "name": "bench", "listen": f"127.0.0.1:{self.port}", "discovery": "127.0.0.1:9", "seed": "1",
            "settings": SETTINGS, "known": {"rev": 1, "all": True, "targets": [target]},
        }  # fmt: skip
        path.write_text(json.dumps(config))
        environment = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(tree)}
        command = [sys.executable, "-m", "sorreldock", "serve"]
        self.process = subprocess.Popen(command, cwd=tree, env=environment, stderr=subprocess.DEVNULL)

    async def ready(self) -> None:
        """Wait until the router accepts connections."""
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise RuntimeError("the router did not start")

    async def measure_round(self, calls: int, name: str) -> tuple[float, float]:
        """Make calls, and return CPU milliseconds per RPC and RPCs per second."""
        cpu_before_s, started_at = process_cpu_s(self.process.pid), time.monotonic()
        per_connection = calls // CONNECTIONS
        await asyncio.gather(
            *(send_requests(self.port, per_connection, f"{name}.{index}") for index in range(CONNECTIONS))
        )
        duration_s, used_cpu_s = time.monotonic() - started_at, process_cpu_s(self.process.pid) - cpu_before_s
        return used_cpu_s * 1000 / (per_connection * CONNECTIONS), per_connection * CONNECTIONS / duration_s


async def measure(trees: dict[str, Path], calls: int, rounds: int, server_port: int) -> dict[str, Any]:
    results: dict[str, list[tuple[float, float]]] = {name: [] for name in trees}
    with tempfile.TemporaryDirectory() as folder:
        routers = {name: Router(tree, server_port, Path(folder)) for name, tree in trees.items()}
        try:
            for router in routers.values():
                await router.ready()
            for number in range(rounds + 1):  # the first round warms up and isn't counted
                for name, router in routers.items():
                    figures = await router.measure_round(calls, f"{name}{number}")
                    if number:
                        results[name].append(figures)
        finally:
            for router in routers.values():
                router.process.terminate()
            for router in routers.values():
                router.process.wait(10)
    return {
        name: {
            "cpu_ms_per_rpc": round(statistics.median(cpu for cpu, _ in rows), 3),
            "cpu_ms_range": [round(min(cpu for cpu, _ in rows), 3), round(max(cpu for cpu, _ in rows), 3)],
            "rpcs_per_s": round(statistics.median(rate for _, rate in rows)),
        }
        for name, rows in results.items()
    }


def main(
    against: Annotated[Path | None, typer.Option(help="Source tree of another checkout.")] = None,
    calls: Annotated[int, typer.Option(min=CONNECTIONS)] = 2000,
    rounds: Annotated[int, typer.Option(min=1)] = 5,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Measure CPU per RPC and RPCs per second of this tree's router."""
    trees = {"other": against.resolve()} if against is not None else {}
    trees["this"] = THIS_TREE
    port_receiver, port_sender = multiprocessing.Pipe()
    server = multiprocessing.Process(target=serve, args=(port_sender,), daemon=True)
    server.start()
    figures = asyncio.run(measure(trees, calls, rounds, port_receiver.recv()))
    server.terminate()
    if as_json:
        print(json.dumps(figures))
        return
    for name, row in figures.items():
        low, high = row["cpu_ms_range"]
        cost = f"{row['cpu_ms_per_rpc']:7.3f} ms CPU per RPC ({low:.3f} to {high:.3f})"
        print(f"{name:8}{cost}, {row['rpcs_per_s']} per second")


if __name__ == "__main__":
    typer.run(main)
