"""What operators' calls do, and what they are answered in each phase."""

from __future__ import annotations

from typing import Any

import trio

from ..protocol.front import Front
from ..routing.core import Core
from .phases import Lifecycle, Phase

# After a drain call: the front asks every 0.1 s and sends for 0.2 s more; then nobody new comes.
FRONT_LAG_S = 0.5


class OperatorCommands:
    """Answers operators' calls in each phase."""

    def __init__(
        self, lifecycle: Lifecycle, core: Core, fronts: dict[str, Front[Any]], nursery: trio.Nursery
    ) -> None:
        self._lifecycle, self._core, self._fronts, self._nursery = lifecycle, core, fronts, nursery
        self._emptying = trio.CancelScope()

    def ready(self) -> str:
        if self._lifecycle.stopping:
            return "fail stopping"
        if self._lifecycle.phase is not Phase.SERVING:
            return f"fail {self._lifecycle.phase.value}"
        return "ok serving" if self._core.can_serve() else "fail no engine takes work"

    def drain(self) -> str:
        """Send the clients away. The listener stays open: `/up` is answered (no), and what still comes."""
        if self._lifecycle.stopping or self._lifecycle.phase is Phase.STARTING:
            return self.ready()
        if self._lifecycle.phase is Phase.SERVING:
            self._lifecycle.enter(Phase.DRAINED)
            self._emptying = trio.CancelScope()
            self._nursery.start_soon(self._empty, self._emptying)
        return "ok draining"

    def resume(self) -> str:
        if self._lifecycle.stopping or self._lifecycle.phase is Phase.STARTING:
            return self.ready()
        if self._lifecycle.phase is Phase.DRAINED:
            self._emptying.cancel()
            for front in self._fronts.values():
                front.resume()
            self._lifecycle.enter(Phase.SERVING)
        return "ok serving"

    def stop(self) -> None:
        """SIGTERM's path takes over."""
        self._emptying.cancel()

    async def _empty(self, scope: trio.CancelScope) -> None:
        with scope:
            for front in self._fronts.values():
                await front.linger()
            await trio.sleep(FRONT_LAG_S)
            for front in self._fronts.values():
                await front.drain()
