"""A benchmark of the client library against a bare socket loop, on the same calls.

    python benchmarks/client_cost.py [--calls 3000] [--json]

A server in a process of its own answers each request at once with the same nine events. Each side makes
the calls one after the other on one kept connection; the bare loop writes fixed bytes and reads to the last
chunk, the minimum that any client does. CPU is that of this process, user and system.
"""

from __future__ import annotations

import json
import multiprocessing
import socket
import time
from pathlib import Path
from sys import path
from typing import Annotated, Any

import anyio
import typer
from answers import BODY, serve

path.insert(0, str(Path(__file__).resolve().parent.parent))

from sorreldock.client import Client, Request
from sorreldock.client.stats import MAX_RECORDED_US, summary

REQUEST = Request("alt-text", BODY, "state-news", "s1", "p1", 900, 600, 80)
BARE_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nX-Trace-Id: 0123456789abcdef\r\n"
    b"X-Qos: alt-text\r\nX-Customer: state-news\r\nX-Object: s1\r\nX-Expires-In: 4000m\r\n"
    b"X-Props: prefix=p1,prompt_len=900,prefix_len=600,max_out=80\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


def make_histogram() -> Any:
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, MAX_RECORDED_US, 3)


def figures(latencies_us: Any, cpu_s: float, calls: int) -> dict[str, Any]:
    percentiles = summary(latencies_us)
    return {
        "cpu_us_per_request": round(cpu_s / calls * 1e6, 1),
        "p50_us": round(percentiles["p50"] * 1e6),
        "p99_us": round(percentiles["p99"] * 1e6),
        "calls": calls,
    }


def measure_bare_loop(port: int, calls: int) -> dict[str, Any]:
    latencies_us = make_histogram()
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        cpu_s = time.process_time()
        for _ in range(calls):
            started_at = time.perf_counter()
            sock.sendall(BARE_REQUEST)
            data = b""
            while not data.endswith(b"0\r\n\r\n"):
                data += sock.recv(65536)
            latencies_us.record_value(max(int((time.perf_counter() - started_at) * 1e6), 1))
        return figures(latencies_us, time.process_time() - cpu_s, calls)


async def measure_library(port: int, calls: int) -> dict[str, Any]:
    latencies_us = make_histogram()
    async with Client([f"127.0.0.1:{port}"]) as client:
        await client.ask(REQUEST, 4.0)
        cpu_s = time.process_time()
        for _ in range(calls):
            started_at = time.perf_counter()
            answer = await client.ask(REQUEST, 4.0)
            latencies_us.record_value(max(int((time.perf_counter() - started_at) * 1e6), 1))
        cpu_s = time.process_time() - cpu_s
        assert len(answer.events) == 9 and client.stats().connections_opened == 1
    return figures(latencies_us, cpu_s, calls)


def main(
    calls: Annotated[int, typer.Option(min=100)] = 3000,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure CPU per request and latency of the library under asyncio and trio, and of a bare loop."""
    port_receiver, port_sender = multiprocessing.Pipe()
    server = multiprocessing.get_context("spawn").Process(target=serve, args=(port_sender,), daemon=True)
    server.start()
    try:
        port = port_receiver.recv()
        figures_by_side = {"bare socket loop": measure_bare_loop(port, calls)}
        for backend in ("asyncio", "trio"):
            figures_by_side[f"library, {backend}"] = anyio.run(measure_library, port, calls, backend=backend)
    finally:
        server.terminate()
        server.join()
    if as_json:
        print(json.dumps(figures_by_side))
        return
    print(f"{'':20}{'CPU us/request':>16}{'p50 us':>10}{'p99 us':>10}")
    for side, side_figures in figures_by_side.items():
        print(
            f"{side:20}{side_figures['cpu_us_per_request']:>16}{side_figures['p50_us']:>10}{side_figures['p99_us']:>10}"
        )


if __name__ == "__main__":
    typer.run(main)
