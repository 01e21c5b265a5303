"""A router process in which a share of the system calls fails.

`python -m sorreldock.lab.soak.system_calls serve` runs the command line with the plan in the environment
variable `FAULTY_CALLS`, in JSON: `{"seed": 1, "shares": {"recv": 0.01, ...}}` has the share of calls of each
kind that fail, with an error that Linux documents as transient. Short reads and writes are the kinds
`short_recv` and `short_send`. The socket class is replaced before trio is imported, as trio keeps references
to it.
"""

from __future__ import annotations

import errno
import json
import os
import random
import runpy
import socket
import sys
from socket import AF_INET, IPPROTO_TCP
from typing import Any

PLAN_VARIABLE = "FAULTY_CALLS"
# By kind of call: the errors that accept(2), connect(2), recv(2), send(2), getsockopt(2), setsockopt(2) and
# socket(7) document as transient. ECONNABORTED is left out: it ends the connection, which no retry can mend.
ERRORS = {
    "accept": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "recv": (errno.ENOMEM, errno.ENOBUFS),
    "send": (errno.ENOMEM, errno.ENOBUFS),
    "getsockopt": (errno.ENOMEM, errno.ENOBUFS),
    "setsockopt": (errno.ENOMEM, errno.ENOBUFS),
    "connect": (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENETUNREACH),
    "shutdown": (errno.ENOBUFS,),
    "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "listen": (errno.ENOBUFS,),
}


class FaultPlan:
    """The shares of failing calls by kind, and the seeded draws for each call."""

    def __init__(self, seed: int, shares: dict[str, float]) -> None:
        unknown = set(shares) - set(ERRORS) - {"short_recv", "short_send"}
        if unknown:
            raise ValueError(f"unknown kinds of calls: {', '.join(sorted(unknown))}")
        self._rng = random.Random(seed)
        self._shares = shares

    def should_fail(self, kind: str) -> bool:
        """Draw whether the next call of this kind fails."""
        share = self._shares.get(kind, 0.0)
        return share > 0.0 and self._rng.random() < share

    def raise_if_failing(self, kind: str) -> None:
        """Raise a transient OSError if the next call of this kind fails."""
        if self.should_fail(kind):
            error_number = self._rng.choice(ERRORS[kind])
            raise OSError(error_number, os.strerror(error_number))


class FaultySocket(socket.socket):
    """A socket whose calls fail by the plan if it is IPv4; trio's own socket pairs aren't affected."""

    plan = FaultPlan(0, {})

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None and family == AF_INET:
            self.plan.raise_if_failing("socket")
        super().__init__(family, type, proto, fileno)

    def listen(self, backlog: int = 0) -> None:
        self._raise_if_failing("listen")
        super().listen(backlog)

    def _raise_if_failing(self, kind: str) -> None:
        if self.family == AF_INET:
            self.plan.raise_if_failing(kind)

    def _is_short(self, kind: str) -> bool:
        return self.family == AF_INET and self.plan.should_fail(kind)

    def _accept(self) -> Any:
        self._raise_if_failing("accept")
        return super()._accept()  # type: ignore[misc]

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        self._raise_if_failing("recv")
        if self._is_short("short_recv") and len(buffer) > 1:
            buffer = memoryview(buffer)[:1]
        return super().recv_into(buffer, nbytes, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        self._raise_if_failing("send")
        if self._is_short("short_send") and len(data) > 1:
            data = memoryview(data)[:1]
        return super().send(data, flags)

    def getsockopt(self, *args: Any) -> Any:
        self._raise_if_failing("getsockopt")
        return super().getsockopt(*args)

    def setsockopt(self, *args: Any) -> None:
        if args[0] == IPPROTO_TCP:  # the options of a listening socket are set before it listens
            self._raise_if_failing("setsockopt")
        super().setsockopt(*args)

    def connect(self, address: Any) -> None:
        self._raise_if_failing("connect")
        super().connect(address)

    def shutdown(self, how: int) -> None:
        self._raise_if_failing("shutdown")
        super().shutdown(how)


def install(plan: FaultPlan) -> None:
    """Replace the standard library's socket class; must be called before trio is imported."""
    FaultySocket.plan = plan
    socket.socket = FaultySocket  # type: ignore[misc]


def main() -> None:
    """Install the plan from the environment, then run the command line."""
    try:
        raw = json.loads(os.environ.get(PLAN_VARIABLE, "{}"))
        plan = FaultPlan(int(raw.get("seed", 0)), {k: float(v) for k, v in raw.get("shares", {}).items()})
    except (ValueError, TypeError, AttributeError) as error:
        print(f"sorreldock: environment variable {PLAN_VARIABLE} is invalid: {error}", file=sys.stderr)
        raise SystemExit(2) from None
    install(plan)
    sys.argv = ["sorreldock", *sys.argv[1:]]
    runpy.run_module("sorreldock", run_name="__main__")


if __name__ == "__main__":
    main()
