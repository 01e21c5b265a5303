"""The operators' commands and their answers in each phase of the program."""

from __future__ import annotations

from typing import Any

import trio

from ..protocol.front import Front
from ..routing.core import Core
from .phases import Lifecycle, Phase

# The time after a drain command for which new clients still arrive: the platform's front polls the router
# every 0.1 s, and sends it clients for another 0.2 s after it has received the change.
FRONT_LAG_S = 0.5


class OperatorCommands:
    """The commands `ready`, `drain` and `resume`; each returns the line that answers it."""

    def __init__(
        self, lifecycle: Lifecycle, core: Core, fronts: dict[str, Front[Any]], nursery: trio.Nursery
    ) -> None:
        self._lifecycle, self._core, self._fronts, self._nursery = lifecycle, core, fronts, nursery
        self._drain_scope = trio.CancelScope()

    def ready(self) -> str:
        """Return `ok serving` if the router serves and has a server, else `fail` and the reason."""
        if self._lifecycle.is_stopping:
            return "fail stopping"
        if self._lifecycle.phase is not Phase.SERVING:
            return f"fail {self._lifecycle.phase.value}"
        return "ok serving" if self._core.can_serve() else "fail no engine takes work"

    def drain(self) -> str:
        """Close the clients' connections while the listener stays open.

        `/up` is answered with a failure, and requests that still arrive are served.
        """
        if self._lifecycle.is_stopping or self._lifecycle.phase is Phase.STARTING:
            return self.ready()
        if self._lifecycle.phase is Phase.SERVING:
            self._lifecycle.enter(Phase.DRAINED)
            self._drain_scope = trio.CancelScope()
            self._nursery.start_soon(self._close_connections, self._drain_scope)
        return "ok draining"

    def resume(self) -> str:
        """Serve again after `drain`."""
        if self._lifecycle.is_stopping or self._lifecycle.phase is Phase.STARTING:
            return self.ready()
        if self._lifecycle.phase is Phase.DRAINED:
            self._drain_scope.cancel()
            for front in self._fronts.values():
                front.resume()
            self._lifecycle.enter(Phase.SERVING)
        return "ok serving"

    def cancel_drain(self) -> None:
        """Cancel a drain in progress, since the shutdown closes the connections itself."""
        self._drain_scope.cancel()

    async def _close_connections(self, scope: trio.CancelScope) -> None:
        with scope:
            for front in self._fronts.values():
                await front.announce_close()
            await trio.sleep(FRONT_LAG_S)
            for front in self._fronts.values():
                await front.drain()
