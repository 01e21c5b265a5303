"""The commands that need an extra: `ask`, `demo`, `lab`. What they run is imported when they run, so that
`serve` loads none of it.
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
FILES = Path(__file__).resolve().parent.parent.parent / "deploy" / "lab"


@contextmanager
def plainly(extra: str) -> Iterator[None]:
    """What is wrong ends the command with one plain line and exit status 2."""
    try:
        yield
    except ModuleNotFoundError as error:
        if error.name is not None and error.name.partition(".")[0] == "sorreldock":
            raise
        _end(f"{error.name} is not installed: pip install 'sorreldock[{extra}]'")
    except ValueError as error:
        _end(str(error))


def _end(said: str) -> None:
    print(f"sorreldock: {' '.join(said.split())}", file=sys.stderr)
    raise typer.Exit(2)


def ask(
    prompt: Annotated[str, typer.Argument(help="The text to ask about; - reads standard input.")],
    router: Annotated[list[str], typer.Option(help="A router's host:port; may be given again.")],
    rpc_class: Annotated[str, typer.Option("--class", help="The request's class.")] = "alt-text",
    tenant: Annotated[str, typer.Option(help="The tenant.")] = "",
    session: Annotated[str, typer.Option(help="Requests of one session share their beginnings.")] = "",
    model: Annotated[str, typer.Option(help="The model's name, for KServe.")] = "desc",
    max_output_tokens: Annotated[int, typer.Option(min=0, help="0: the service's own bound.")] = 0,
    timeout: Annotated[float, typer.Option(help="Seconds to the first event, all told.")] = 10.0,
    retries: Annotated[int, typer.Option(min=0, help="At most so many.")] = 1,
    protocol: Annotated[str, typer.Option(help="http or kserve.")] = "http",
    as_json: AsJson = False,
) -> None:
    """Ask once, and print the text as it comes.

    Exit status: 0 answered, 3 refused, 4 failed, 5 broken off, 6 deadline exceeded, 2 a wrong command line.
    """
    with plainly("client"):
        from ..client import ClientSettings, Request, command

        text = sys.stdin.read() if prompt == "-" else prompt
        body = command.chat_body(rpc_class, text, max_output_tokens)
        request = Request(rpc_class, body, tenant, session, "", len(text) // 4, 0, max_output_tokens, model)
        settings = ClientSettings(max_retries=retries)
        status = command.run(command.Ask(router, request, settings, protocol, timeout, as_json))
    raise typer.Exit(status)


def demo(
    file: Annotated[Path | None, typer.Argument(help="A fleet's TOML; else deploy/lab/demo.toml.")] = None,
    routers: Annotated[int, typer.Option(min=1, max=16, help="How many routers.")] = 2,
) -> None:
    """Start an emulated fleet and two real routers on loopback, until Ctrl-C."""
    with plainly("lab"):
        from ..lab import demo as demonstration
        from ..lab.settings import load

        path = file or FILES / "demo.toml"
        demonstration.run(path, load(path), routers, lambda line: print(line, flush=True))


@lab.command("fleet")
def lab_fleet(
    file: Annotated[Path, typer.Argument(help="A fleet's TOML (deploy/lab/).")], as_json: AsJson = False
) -> None:
    """Run an emulated fleet on loopback until SIGINT, SIGTERM, or the end of standard input that is a
    pipe.
    """
    with plainly("lab"):
        from ..lab import command
        from ..lab.settings import load

        command.fleet(load(file), as_json)


@lab.command("check")
def lab_check(file: Path) -> None:
    """Read a fleet's file, and say what it comes to."""
    with plainly("lab"):
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
    seed: Annotated[int, typer.Option(help="Draws the clients' schedules.")] = 1,
    file: Annotated[Path | None, typer.Option(help="A fleet's TOML.")] = None,
    chart: Annotated[Path | None, typer.Option(help="A directory for reconnect.svg and .png.")] = None,
    as_json: AsJson = False,
) -> None:
    """Restart all routers under many clients: the library beside a client that reconnects at once."""
    with plainly("lab"):
        from ..lab import charts, reconnect
        from ..lab.settings import load

        path = file or FILES / "reconnect.toml"
        plan = reconnect.Plan(clients=clients, routers=routers, seed=seed)
        say = (lambda line: None) if as_json else (lambda line: print(line, file=sys.stderr))
        figures = reconnect.run(path, load(path), plan, say)
        if chart is not None:
            charts.reconnects(figures, chart)
    print(json.dumps(figures) if as_json else table(figures))


def table(figures: dict[str, dict[str, Any]]) -> str:
    """Both sides in columns, without the list."""
    kinds = list(figures)
    rows = ["".join([f"{'':24}", *(f"{kind:>12}" for kind in kinds)])]
    for key, value in figures[kinds[0]].items():
        if not isinstance(value, list | dict):
            rows.append("".join([f"{key:24}", *(f"{figures[kind][key]!s:>12}" for kind in kinds)]))
    return "\n".join(rows)
