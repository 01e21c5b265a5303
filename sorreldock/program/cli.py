"""The command line `sorreldock`."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Annotated

import typer

from .. import __version__
from . import early_signals, optional_commands, start
from .config import Config, ConfigError, load
from .hostile_command import add_to as add_hostile
from .simulation_commands import add_to as add_simulation
from .soak_command import add_to as add_soak

app = typer.Typer(
    add_completion=False, no_args_is_help=True, help="A request router for fleets of language-model servers."
)
OperatorFile = Annotated[
    Path | None,
    typer.Option(
        "--operator", envvar=start.OPERATOR_FILE_VARIABLE, help="The operator's TOML file (see deploy/)."
    ),
]


def _load_config(operator: Path | None) -> Config:
    """Load the configuration; an error in it ends the command with one line and exit status 2."""
    try:
        return load(operator_file=operator)
    except ConfigError as error:
        print(f"sorreldock: {error}".replace("\n", " "), file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve(operator: OperatorFile = None) -> None:
    """Route requests until SIGTERM, configured by environment variables (RELAY_CONFIG and others)."""
    early_signals.record(signal.SIGHUP)
    raise typer.Exit(start.serve(operator))


@app.command("check-config")
def check_config(operator: OperatorFile = None) -> None:
    """Read the configuration as `serve` does, and print a summary."""
    config = _load_config(operator)
    fronts = ["http"] if config.operator.http else []
    fronts += ["kserve"] if config.operator.kserve else []
    endpoint = f"listens on {config.listen}"
    if config.inherited_fd is not None:
        endpoint = f"accepts clients from the inherited descriptor {config.inherited_fd}"
    if config.console:
        endpoint += f", operator console on {config.console}"
    print(
        f"{config.name}: {endpoint}, fronts {', '.join(fronts)}, "
        f"{len(config.known.targets)} servers known, {len(config.settings.classes)} classes"
    )


app.command()(optional_commands.ask)
app.command()(optional_commands.demo)
add_simulation(optional_commands.lab)
add_soak(optional_commands.lab)
add_hostile(optional_commands.lab)
app.add_typer(optional_commands.lab, name="lab")


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


def main() -> None:
    app()
