"""The operators' console: a listener that reads one line from a connection and answers with one line."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..transport.budget import DescriptorBudget, Use
from ..transport.connection import Connection, ConnectionLost
from ..transport.listener import Listener
from ..transport.system import REAL_SYSTEM, System

MAX_LINE_BYTES = 64
LINE_TIMEOUT_S = 5.0  # to receive a line, which an operator may type by hand
SEND_TIMEOUT_S = 1.0
# After the answer, bytes that a caller still sends are discarded for at most this time, and until none has
# arrived for the shorter time.
MAX_CLOSE_S, CLOSE_AFTER_QUIET_S = 0.5, 0.1
MAX_CALLERS = 16
DESCRIPTORS = MAX_CALLERS + 1  # one is the listener's; reserved, so that clients can't use them up


class Console:
    """A listener for operators; `commands` maps each command to a function that returns its answer."""

    def __init__(
        self, address: str, commands: dict[str, Callable[[], str]], system: System = REAL_SYSTEM
    ) -> None:
        self._commands = commands
        self._pending: dict[trio.CancelScope, None] = {}  # in order of arrival
        budget = DescriptorBudget(0)
        budget.max_used[Use.CLIENT] = MAX_CALLERS
        budget.eviction_callbacks[Use.CLIENT].append(self._expire_oldest)
        self.listener = Listener(address, budget, system)

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.listener.serve(nursery, self.handle)

    def _expire_oldest(self) -> bool:
        """Make room for a new caller by ending the oldest wait for a line.

        That caller is answered that there are too many, so that silent callers can't lock out others. Its
        place becomes free only after that, so this returns False: nothing was released yet.
        """
        for deadline_scope in self._pending:
            if not deadline_scope.cancel_called:
                deadline_scope.cancel()
                break
        return False

    async def handle(self, connection: Connection) -> None:
        """Answer one line from a caller, and close the connection."""
        try:
            answer = self._answer(*await self._receive_line(connection))
            with trio.move_on_after(SEND_TIMEOUT_S):
                await connection.send(answer.encode() + b"\n")
            await connection.lingering_close(MAX_CLOSE_S, CLOSE_AFTER_QUIET_S)
        except ConnectionLost:
            pass  # the caller has closed the connection

    async def _receive_line(self, connection: Connection) -> tuple[bytes, str]:
        """Return the received line and an empty string, or what was received and an error text."""
        line, is_complete = b"", False
        deadline_scope = trio.CancelScope(deadline=trio.current_time() + LINE_TIMEOUT_S)
        self._pending[deadline_scope] = None
        try:
            with deadline_scope:
                while not is_complete and len(line) <= MAX_LINE_BYTES:
                    data = await connection.receive()
                    if not data:
                        return line, "a line without an end"
                    line, is_complete = line + data, b"\n" in line + data
            if deadline_scope.cancelled_caught and connection.readable:  # the line arrived at the same time
                line += await connection.receive()
                is_complete = b"\n" in line
        finally:
            del self._pending[deadline_scope]
        if is_complete and line.index(b"\n") <= MAX_LINE_BYTES:
            return line[: line.index(b"\n")], ""
        if len(line) > MAX_LINE_BYTES:
            return line, f"a line longer than {MAX_LINE_BYTES} bytes"
        timed_out = trio.current_time() >= deadline_scope.deadline
        return line, f"no whole line within {LINE_TIMEOUT_S:g} s" if timed_out else "too many callers"

    def _answer(self, line: bytes, error: str) -> str:
        if error:
            return f"fail {error}"
        command = self._commands.get(line.strip().decode("latin-1"))
        return (
            command() if command is not None else f"fail unknown call; there are {', '.join(self._commands)}"
        )
