"""The start of `serve`, with or without the command line's library.

`serve` without options, as the platform starts it, doesn't import that library (typer): the import takes a
third of the start time and 11 MB. Clients wait for the start at a restart, and during an upgrade two
processes hold the memory.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

from .config import ConfigError, load

OPERATOR_FILE_VARIABLE = "SORRELDOCK_OPERATOR"


def check_inherited_socket(descriptor: int) -> None:
    """Raise ConfigError unless the inherited descriptor is a listening socket.

    Only the process that serves has the descriptor, so other commands don't check it.
    """
    from ..transport.system import is_listening  # imports trio, so only where a descriptor is inherited

    try:
        if is_listening(descriptor):
            return
    except OSError as error:
        raise ConfigError(f"RELAY_INHERITED_FD {descriptor}: {error.strerror}") from None
    raise ConfigError(f"RELAY_INHERITED_FD {descriptor} is not a listening socket")


def serve(operator: Path | None) -> int:
    """Route requests until SIGTERM, and return the exit status."""
    try:
        config = load(operator_file=operator)
        if config.inherited_fd is not None:
            check_inherited_socket(config.inherited_fd)
    except ConfigError as error:
        print(f"sorreldock: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    from .serve import serve as run

    try:
        run(config, lambda: load(operator_file=operator))
    except* OSError as errors:
        first: BaseException = errors
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        print(f"sorreldock: {first}", file=sys.stderr)
        sys.exit(1)
    return 0


def main() -> None:
    """Run `serve` without options directly, and any other command line with the library."""
    if sys.argv[1:] == ["serve"]:
        path = os.environ.get(OPERATOR_FILE_VARIABLE)
        sys.exit(serve(Path(path) if path else None))
    from .cli import main as command_line

    command_line()
