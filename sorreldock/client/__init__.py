"""The client library of sorreldock, with deadlines, budgeted retries and jittered reconnection.

`Client` works under asyncio and trio; `blocking.Client` works without an event loop. Requires `pip install
sorreldock[client]` and imports nothing of the router. docs/client.md describes what it decides.
"""

from . import blocking
from .client import Answer, Client, Whole
from .policy.picker import Endpoint, PickRules
from .policy.reconnect import ReconnectRules
from .stats import Stats
from .types import (
    Broken,
    ClientClosed,
    ClientError,
    ClientSettings,
    DeadlineExceeded,
    Failed,
    Refused,
    Request,
    text_of,
)

__all__ = [
    "Answer",
    "Broken",
    "Client",
    "ClientClosed",
    "ClientError",
    "ClientSettings",
    "DeadlineExceeded",
    "Endpoint",
    "Failed",
    "PickRules",
    "ReconnectRules",
    "Refused",
    "Request",
    "Stats",
    "Whole",
    "blocking",
    "text_of",
]
