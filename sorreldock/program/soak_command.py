"""`sorreldock lab soak`: real router processes on loopback under seeded faults."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from .optional_commands import AsJson, report_errors
from .simulation_commands import seed_range


def soak(
    seeds: Annotated[str, typer.Option(help="Range of seeds A:B, without B.")] = "1:4",
    routers: Annotated[int, typer.Option(min=1, max=40)] = 12,
    servers: Annotated[int, typer.Option(min=1, max=10_000, help="Number of emulated servers.")] = 80,
    seconds: Annotated[float, typer.Option(min=3.0, max=3600.0, help="Seconds of traffic per seed.")] = 20.0,
    requests: Annotated[float, typer.Option(min=0.1, help="Requests per second and router.")] = 6.0,
    faults: Annotated[
        float, typer.Option(min=0.0, help="Mean number of faults per second; they overlap.")
    ] = 1.5,
    changes: Annotated[
        float, typer.Option(min=0.0, help="Changes of the server list per second, in addition.")
    ] = 0.5,
    failing_calls: Annotated[
        float, typer.Option(min=0.0, max=0.2, help="Share of system calls that fail, in half of the routers.")
    ] = 0.01,
    fault: Annotated[
        list[str] | None, typer.Option(help="Kind of fault; may be repeated. Default: all.")
    ] = None,
    server_fault: Annotated[
        list[str] | None, typer.Option(help="Fault of failing servers; may be repeated. Default: all.")
    ] = None,
    crowd: Annotated[bool, typer.Option(help="Hostile clients as a kind of fault.")] = False,
    memory: Annotated[int, typer.Option(min=48, help="The routers' memory_mb.")] = 192,
    logs: Annotated[Path | None, typer.Option(help="Folder for the logs of failing seeds.")] = None,
    as_json: AsJson = False,
) -> None:
    """Run router processes under overlapping faults, and check the rules on what clients and servers saw.

    Exit status: 0 all rules held, 1 one was broken, 2 invalid command line.
    """
    with report_errors("lab"):
        from ..lab.soak.faults import FaultKind
        from ..lab.soak.runner import Soak, Verdict, run_soak
        from ..lab.soak.servers import ServerFault

        failed = False
        for seed in seed_range(seeds):
            verdict: Verdict = run_soak(
                Soak(
                    seed=seed,
                    routers=routers,
                    servers=servers,
                    span_s=seconds,
                    requests_per_s=requests,
                    faults_per_s=faults,
                    changes_per_s=changes,
                    failing_calls=failing_calls,
                    fault_kinds=tuple(FaultKind(name) for name in fault or ()),
                    server_faults=tuple(ServerFault(name) for name in server_fault or ()),
                    has_crowd=crowd,
                    memory_mb=memory,
                )
            )
            failed = failed or bool(verdict.breaks)
            if verdict.breaks and logs is not None:
                _write_logs(logs, verdict.seed, verdict.logs)
            print(
                _format_line(verdict.seed, verdict.requests, verdict.served, verdict.breaks, as_json),
                flush=True,
            )
            if verdict.breaks and not as_json:
                planned_faults = [f"{fault.at:.1f} s {fault.kind.value}" for fault in verdict.plan]
                print("    faults: " + ", ".join(planned_faults), file=sys.stderr)
            elif as_json:
                print(
                    json.dumps(
                        {
                            "seed": seed,
                            "plan": [_with_plain_values(asdict(planned)) for planned in verdict.plan],
                        }
                    )
                )
    raise typer.Exit(1 if failed else 0)


def _format_line(seed: int, requests: int, served: int, breaks: list[str], as_json: bool) -> str:
    if as_json:
        return json.dumps({"seed": seed, "requests": requests, "served": served, "breaks": breaks})
    summary = f"seed {seed}: {requests} requests, {served} served, {len(breaks)} breaks"
    return "\n".join([summary, *(f"    {text}" for text in breaks)])


def _with_plain_values(fault: dict[str, object]) -> dict[str, object]:
    return {name: getattr(value, "value", value) for name, value in fault.items()}


def _write_logs(folder: Path, seed: int, logs: dict[str, str]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in logs.items():
        (folder / f"{seed}-{name}.log").write_text(text)


def add_to(lab: typer.Typer) -> None:
    """Add the command to `lab`."""
    lab.command("soak")(soak)
