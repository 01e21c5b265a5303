"""A router process whose system calls fail now and then.

`python -m sorreldock.lab.soak.system_calls serve` runs the command line with the plan of the environment
variable `FAULTY_CALLS`, JSON: `{"seed": 1, "shares": {"recv": 0.01, ...}}`, the share of calls of each kind
that fail with an error that Linux documents as passing. Short reads and writes are the kinds `short_recv`
and `short_send`. The class of sockets is replaced before trio is imported, which keeps references to it.
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

PLAN = "FAULTY_CALLS"
# By kind: what accept(2), connect(2), recv(2), send(2), getsockopt(2), setsockopt(2) and socket(7) document
# as passing. ECONNABORTED takes the connection along, so it is no failure that a router could mend.
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
    """Decides call by call, from a seed."""

    def __init__(self, seed: int, shares: dict[str, float]) -> None:
        unknown = set(shares) - set(ERRORS) - {"short_recv", "short_send"}
        if unknown:
            raise ValueError(f"unknown kinds of calls: {', '.join(sorted(unknown))}")
        self._draw = random.Random(seed)
        self._shares = shares

    def strikes(self, kind: str) -> bool:
        """Tell whether the next call of this kind is to fail."""
        share = self._shares.get(kind, 0.0)
        return share > 0.0 and self._draw.random() < share

    def check(self, kind: str) -> None:
        """Raise the OSError of a failing call, if it is to fail."""
        if self.strikes(kind):
            number = self._draw.choice(ERRORS[kind])
            raise OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A TCP socket whose calls fail by the plan; others, such as trio's own pairs, are left alone."""

    plan = FaultPlan(0, {})

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None and family == AF_INET:
            self.plan.check("socket")
        super().__init__(family, type, proto, fileno)

    def listen(self, backlog: int = 0) -> None:
        self._check("listen")
        super().listen(backlog)

    def _check(self, kind: str) -> None:
        if self.family == AF_INET:
            self.plan.check(kind)

    def _short(self, kind: str) -> bool:
        return self.family == AF_INET and self.plan.strikes(kind)

    def _accept(self) -> Any:
        self._check("accept")
        return super()._accept()  # type: ignore[misc]

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        self._check("recv")
        if self._short("short_recv") and len(buffer) > 1:
            buffer = memoryview(buffer)[:1]
        return super().recv_into(buffer, nbytes, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        self._check("send")
        if self._short("short_send") and len(data) > 1:
            data = memoryview(data)[:1]
        return super().send(data, flags)

    def getsockopt(self, *words: Any) -> Any:
        self._check("getsockopt")
        return super().getsockopt(*words)

    def setsockopt(self, *words: Any) -> None:
        if words[0] == IPPROTO_TCP:  # what a listener sets is set before it listens
            self._check("setsockopt")
        super().setsockopt(*words)

    def connect(self, address: Any) -> None:
        self._check("connect")
        super().connect(address)

    def shutdown(self, how: int) -> None:
        self._check("shutdown")
        super().shutdown(how)


def install(plan: FaultPlan) -> None:
    """Replace the standard library's class of sockets; to be called before trio is imported."""
    FaultySocket.plan = plan
    socket.socket = FaultySocket  # type: ignore[misc]


def main() -> None:
    """Install the plan of the environment, then run the command line."""
    try:
        raw = json.loads(os.environ.get(PLAN, "{}"))
        plan = FaultPlan(int(raw.get("seed", 0)), {k: float(v) for k, v in raw.get("shares", {}).items()})
    except (ValueError, TypeError, AttributeError) as error:
        print(f"sorreldock: {PLAN} can't be read: {error}", file=sys.stderr)
        raise SystemExit(2) from None
    install(plan)
    sys.argv = ["sorreldock", *sys.argv[1:]]
    runpy.run_module("sorreldock", run_name="__main__")


if __name__ == "__main__":
    main()
