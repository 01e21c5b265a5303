"""The start of `serve`, for the command line and for a process that is started as the platform does it.

The command line's library takes a third of the start and 11 MB, for words that `serve` has none of: at a
restart clients wait for that third, and at an upgrade two processes hold the memory.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

from .config import ConfigError, load

OPERATOR = "SORRELDOCK_OPERATOR"


def check_inherited(descriptor: int) -> None:
    """ConfigError unless a listening socket is open there. For the process that serves alone: it has it."""
    from ..transport.system import is_listening  # the loop's library, only where a descriptor is inherited

    try:
        if is_listening(descriptor):
            return
    except OSError as error:
        raise ConfigError(f"RELAY_INHERITED_FD {descriptor}: {error.strerror}") from None
    raise ConfigError(f"RELAY_INHERITED_FD {descriptor} is not a listening socket")


def serve(operator: Path | None) -> int:
    """Route requests until SIGTERM; tells the exit status."""
    try:
        config = load(operator_file=operator)
        if config.inherited_fd is not None:
            check_inherited(config.inherited_fd)
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
    """`serve` without options; every other command line is the library's."""
    if sys.argv[1:] == ["serve"]:
        named = os.environ.get(OPERATOR)
        sys.exit(serve(Path(named) if named else None))
    from .cli import main as command_line

    command_line()
