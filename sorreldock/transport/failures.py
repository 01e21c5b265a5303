"""What a failed system call says, decided in one place for all of transport.

A call may fail for want of something on this machine (memory, buffers, descriptors, ports) or because a
signal came. Such a failure says nothing of the peer: it is not its end, nor a fault of it, and the call is
repeated within the time that the caller has. Everything else is the connection's end. Sources: accept(2),
connect(2), recv(2), send(2), shutdown(2), socket(2).
"""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

FIRST_PAUSE_S = 0.002
LONGEST_PAUSE_S = 0.05

TRANSIENT = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
# Of a new socket: no descriptor is left, which ends as others are closed.
RESOURCE_SHORTAGE = TRANSIENT | {errno.EMFILE, errno.ENFILE}
# Of a new connection: no local port either.
LOCAL_SHORTAGE = RESOURCE_SHORTAGE | {errno.EADDRNOTAVAIL}

T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Whether a call on an open connection may succeed when it is repeated."""
    return error.errno in TRANSIENT


def is_resource_shortage(error: OSError) -> bool:
    """Whether a socket could not be made or used for want of something on this machine."""
    return error.errno in RESOURCE_SHORTAGE


def is_local_shortage(error: OSError) -> bool:
    """Whether a connection did not come up for want of something on this machine: no peer has met it."""
    return error.errno in LOCAL_SHORTAGE


async def retry_transient(
    call: Callable[[], Awaitable[T]], is_retryable: Callable[[OSError], bool] = is_transient
) -> T:
    """Repeat a call while it fails in passing; the caller bounds the time. Other errors go through."""
    pause_s = FIRST_PAUSE_S
    while True:
        try:
            return await call()
        except OSError as error:
            if not is_retryable(error):
                raise
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
