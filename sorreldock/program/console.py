"""Where operators call: one line a connection, answered with one line."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..transport.budget import DescriptorBudget, Use
from ..transport.connection import Connection, ConnectionLost
from ..transport.listener import Listener
from ..transport.system import MACHINE, System

LONGEST_LINE = 64
LINE_S = 5.0  # for a whole call; operators may type it
ANSWER_S = 1.0
# After the answer, for what a flooding caller still sends.
HANG_UP_S, QUIET_S = 0.5, 0.1
MOST_CALLERS = 16
DESCRIPTORS = MOST_CALLERS + 1  # with the listener's; set aside, so that no crowd of clients can have them


class Console:
    """`answers` has a function for each word, which says what becomes of the call."""

    def __init__(self, address: str, answers: dict[str, Callable[[], str]], system: System = MACHINE) -> None:
        self._answers = answers
        self._callers: dict[trio.CancelScope, None] = {}  # in order of their coming
        room = DescriptorBudget(0)
        room.max_used[Use.CLIENT] = MOST_CALLERS
        room.eviction_callbacks[Use.CLIENT].append(self._hurry_one)
        self.listener = Listener(address, room, system)

    async def serve(self, nursery: trio.Nursery) -> None:
        await self.listener.serve(nursery, self.attend)

    def _hurry_one(self) -> bool:
        """Guards a newcomer's answer against callers that say nothing: the one that has waited longest for
        its own line hears that there are too many. Its place comes free a moment later, so: not yet.
        """
        for scope in self._callers:
            if not scope.cancel_called:
                scope.cancel()
                break
        return False

    async def attend(self, connection: Connection) -> None:
        try:
            text = self._answer(*await self._line(connection))
            with trio.move_on_after(ANSWER_S):
                await connection.send(text.encode() + b"\n")
            await connection.lingering_close(HANG_UP_S, QUIET_S)
        except ConnectionLost:
            pass  # nobody is there to hear it

    async def _line(self, connection: Connection) -> tuple[bytes, str]:
        """What has come, and why it is no whole line, if it is none."""
        line, whole = b"", False
        scope = trio.CancelScope(deadline=trio.current_time() + LINE_S)
        self._callers[scope] = None
        try:
            with scope:
                while not whole and len(line) <= LONGEST_LINE:
                    more = await connection.receive()
                    if not more:
                        return line, "a line without an end"
                    line, whole = line + more, b"\n" in line + more
            if scope.cancelled_caught and connection.readable:  # its line has come in the same moment
                line += await connection.receive()
                whole = b"\n" in line
        finally:
            del self._callers[scope]
        if whole and line.index(b"\n") <= LONGEST_LINE:
            return line[: line.index(b"\n")], ""
        if len(line) > LONGEST_LINE:
            return line, f"a line longer than {LONGEST_LINE} bytes"
        late = trio.current_time() >= scope.deadline
        return line, f"no whole line within {LINE_S:g} s" if late else "too many callers"

    def _answer(self, line: bytes, fault: str) -> str:
        if fault:
            return f"fail {fault}"
        answer = self._answers.get(line.strip().decode("latin-1"))
        return answer() if answer is not None else f"fail unknown call; there are {', '.join(self._answers)}"
