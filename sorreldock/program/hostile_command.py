"""`sorreldock lab hostile`: a real router process between hostile clients and sound servers."""

from __future__ import annotations

import itertools
import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from .optional_commands import AsJson, report_errors


def hostile(
    picture: Annotated[
        list[str] | None, typer.Option(help="What the clients do; may be repeated. Default: all.")
    ] = None,
    protocol: Annotated[list[str] | None, typer.Option(help="http or grpc; default: both.")] = None,
    clients: Annotated[list[int] | None, typer.Option(min=1, max=2000, help="May be repeated.")] = None,
    memory: Annotated[list[int] | None, typer.Option(min=48, help="memory_mb; may be repeated.")] = None,
    sockets: Annotated[int, typer.Option(min=100, help="The router's descriptors.")] = 1024,
    seconds: Annotated[float, typer.Option(min=1.0, max=600.0, help="Seconds of each picture.")] = 10.0,
    seed: Annotated[int, typer.Option(help="Seed of the clients' starts.")] = 1,
    chart: Annotated[Path | None, typer.Option(help="Directory for hostile.svg and hostile.png.")] = None,
    as_json: AsJson = False,
) -> None:
    """Play hostile clients against one router, and measure it and its honest clients.

    Exit status: 0 all bounds held, 1 one was broken, 2 invalid command line.
    """
    with report_errors("lab"):
        from ..lab.hostile import report, runner
        from ..lab.hostile.plan import Picture, Plan, Protocol

        pictures = [Picture(name) for name in picture or [item.value for item in Picture]]
        protocols = [Protocol(name) for name in protocol or [item.value for item in Protocol]]
        rows = []
        has_breaks = False
        for kind, side, memory_mb, count in itertools.product(
            pictures, protocols, memory or [96], clients or [100]
        ):
            plan = Plan(kind, side, count, memory_mb, sockets, seconds, seed=seed)
            row = runner.run(plan).figures()
            rows.append(row)
            has_breaks = has_breaks or bool(row["breaks"])
            for text in row["breaks"]:
                print(f"{kind.value}, {side.value}, {count} clients: {text}", file=sys.stderr)
            if as_json:
                print(json.dumps(row), flush=True)
        if chart is not None:
            report.draw_chart(rows, chart)
        if not as_json:
            print(report.format_table(rows))
    raise typer.Exit(1 if has_breaks else 0)


def add_to(lab: typer.Typer) -> None:
    """Add the command to `lab`."""
    lab.command("hostile")(hostile)
