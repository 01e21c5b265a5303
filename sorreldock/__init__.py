"""A request router for fleets of language-model servers.

`Gateway` is the decision module of the router; it does no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .rules import Gateway

__version__ = "0.2.0"
__all__ = ["Gateway", "__version__"]


def __getattr__(name: str) -> Any:
    """Import `Gateway` on first access, so that `sorreldock.client` imports nothing of the router."""
    if name == "Gateway":
        from .rules import Gateway

        return Gateway
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
