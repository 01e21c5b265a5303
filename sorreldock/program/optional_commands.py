"""The commands that need an extra: `ask`, `demo` and `lab`.

Each imports its code when it runs, so that `serve` loads none of it.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer

lab = typer.Typer(
    add_completion=False, no_args_is_help=True, help="Emulated fleets, and experiments on them."
)
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
EXAMPLES = Path(__file__).resolve().parent.parent.parent / "deploy" / "lab"


@contextmanager
def report_errors(extra: str) -> Iterator[None]:
    """End the command with one line and exit status 2 for a missing extra or a ValueError."""
    try:
        yield
    except ModuleNotFoundError as error:
        if error.name is not None and error.name.partition(".")[0] == "sorreldock":
            raise
        _fail(f"{error.name} is not installed: pip install 'sorreldock[{extra}]'")
    except ValueError as error:
        _fail(str(error))


def _fail(message: str) -> None:
    print(f"sorreldock: {' '.join(message.split())}", file=sys.stderr)
    raise typer.Exit(2)


def ask(
    prompt: Annotated[str, typer.Argument(help="The prompt's text; - reads standard input.")],
    router: Annotated[list[str], typer.Option(help="A router's host:port; may be repeated.")],
    rpc_class: Annotated[str, typer.Option("--class", help="The request's class.")] = "alt-text",
    tenant: Annotated[str, typer.Option(help="The tenant.")] = "",
    session: Annotated[str, typer.Option(help="The session; its requests share a prefix.")] = "",
    model: Annotated[str, typer.Option(help="The model's name, for KServe.")] = "desc",
    max_output_tokens: Annotated[int, typer.Option(min=0, help="0: the service's default.")] = 0,
    timeout: Annotated[float, typer.Option(help="Seconds to the first event, retries included.")] = 10.0,
    retries: Annotated[int, typer.Option(min=0, help="Maximum number of retries.")] = 1,
    protocol: Annotated[str, typer.Option(help="http or kserve.")] = "http",
    as_json: AsJson = False,
) -> None:
    """Send one request, and print the text of the answer as it arrives.

    Exit status: 0 answered, 3 refused, 4 failed, 5 interrupted, 6 deadline exceeded, 2 invalid command line.
    """
    with report_errors("client"):
        from ..client import ClientSettings, Request, command

        text = sys.stdin.read() if prompt == "-" else prompt
        body = command.chat_body(rpc_class, text, max_output_tokens)
        request = Request(rpc_class, body, tenant, session, "", len(text) // 4, 0, max_output_tokens, model)
        settings = ClientSettings(max_retries=retries)
        status = command.run(command.Ask(router, request, settings, protocol, timeout, as_json))
    raise typer.Exit(status)


def demo(
    file: Annotated[
        Path | None, typer.Argument(help="The fleet's TOML file; default: deploy/lab/demo.toml.")
    ] = None,
    routers: Annotated[int, typer.Option(min=1, max=16, help="Number of routers.")] = 2,
) -> None:
    """Start an emulated fleet and two real routers on loopback, until Ctrl-C."""
    with report_errors("lab"):
        from ..lab import demo as demonstration
        from ..lab.settings import load

        path = file or EXAMPLES / "demo.toml"
        demonstration.run(path, load(path), routers, lambda line: print(line, flush=True))


@lab.command("fleet")
def lab_fleet(
    file: Annotated[Path, typer.Argument(help="The fleet's TOML file (see deploy/lab/).")],
    as_json: AsJson = False,
) -> None:
    """Run an emulated fleet on loopback until SIGINT, SIGTERM, or the end of a pipe on standard input."""
    with report_errors("lab"):
        from ..lab import command
        from ..lab.settings import load

        command.run_fleet(load(file), as_json)


@lab.command("check")
def lab_check(file: Path) -> None:
    """Read a fleet's file, and print a summary."""
    with report_errors("lab"):
        from ..lab.settings import load

        fleet = load(file)
        engines = sum(kind.count for kind in fleet.engines)
        print(
            f"{fleet.name}: {engines} engines in {len(fleet.zones)} zones, {len(fleet.classes)} classes, "
            f"{len(fleet.tenants)} tenants"
        )


@lab.command("reconnect")
def lab_reconnect(
    clients: Annotated[int, typer.Option(min=1, max=2000)] = 200,
    routers: Annotated[int, typer.Option(min=1, max=16)] = 2,
    seed: Annotated[int, typer.Option(help="Seed of the clients' schedules.")] = 1,
    file: Annotated[Path | None, typer.Option(help="The fleet's TOML file.")] = None,
    chart: Annotated[Path | None, typer.Option(help="Directory for reconnect.svg and reconnect.png.")] = None,
    as_json: AsJson = False,
) -> None:
    """Restart all routers under many clients, comparing the client library with immediate reconnects."""
    with report_errors("lab"):
        from ..lab import charts, reconnect
        from ..lab.settings import load

        path = file or EXAMPLES / "reconnect.toml"
        plan = reconnect.Plan(clients=clients, routers=routers, seed=seed)
        report = (lambda line: None) if as_json else (lambda line: print(line, file=sys.stderr))
        figures = reconnect.run(path, load(path), plan, report)
        if chart is not None:
            charts.draw_reconnects(figures, chart)
    print(json.dumps(figures) if as_json else format_columns(figures))


@lab.command("kill")
def lab_kill(
    moments: Annotated[int, typer.Option(min=1, max=200, help="Kills for each protocol and end.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the clients' choices.")] = 1,
    file: Annotated[Path | None, typer.Option(help="The fleet's TOML file.")] = None,
    as_json: AsJson = False,
) -> None:
    """Kill a router under requests that may not be repeated; exit status 1 if any ran twice."""
    with report_errors("lab"):
        from ..lab import kill
        from ..lab.settings import load

        path = file or EXAMPLES / "kill.toml"
        report = (lambda line: None) if as_json else (lambda line: print(line, file=sys.stderr))
        figures = kill.run(path, load(path), kill.Plan(moments=moments, seed=seed), report)
    print(json.dumps(figures) if as_json else format_columns(figures))
    if any(side["run_twice"] for side in figures.values()):
        raise typer.Exit(1)


def format_columns(figures: dict[str, dict[str, Any]]) -> str:
    """Format the figures of both kinds of clients as columns, without lists and nested figures."""
    kinds = list(figures)
    rows = ["".join([f"{'':24}", *(f"{kind:>12}" for kind in kinds)])]
    for key, value in figures[kinds[0]].items():
        if not isinstance(value, list | dict):
            rows.append("".join([f"{key:24}", *(f"{figures[kind][key]!s:>12}" for kind in kinds)]))
    return "\n".join(rows)
