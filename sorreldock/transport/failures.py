"""Classification of failed system calls, in one place for all of transport.

A call may fail because this machine is short of something (memory, buffers, descriptors, ports) or because a
signal arrived. Such a failure says nothing about the peer: it neither ends the connection nor counts as a
fault of the peer, and the call is retried within the caller's time limit. Any other failure ends the
connection. Sources: accept(2), connect(2), recv(2), send(2), shutdown(2), socket(2).
"""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

INITIAL_PAUSE_S = 0.002
MAX_PAUSE_S = 0.05

TRANSIENT = frozenset({errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS})
# When creating a socket: no descriptor is available until others are closed.
RESOURCE_SHORTAGE = TRANSIENT | {errno.EMFILE, errno.ENFILE}
# When opening a connection: no local port is available either.
LOCAL_SHORTAGE = RESOURCE_SHORTAGE | {errno.EADDRNOTAVAIL}

T = TypeVar("T")


def is_transient(error: OSError) -> bool:
    """Return whether a failed call on an open connection may succeed when it is retried."""
    return error.errno in TRANSIENT


def is_resource_shortage(error: OSError) -> bool:
    """Return whether creating or using a socket failed because this machine is short of a resource."""
    return error.errno in RESOURCE_SHORTAGE


def is_local_shortage(error: OSError) -> bool:
    """Return whether connecting failed for lack of a local resource, before anything reached the peer."""
    return error.errno in LOCAL_SHORTAGE


async def retry_transient(
    call: Callable[[], Awaitable[T]], is_retryable: Callable[[OSError], bool] = is_transient
) -> T:
    """Retry a call while it fails with a retryable error; raise other errors.

    The pause between tries doubles up to `MAX_PAUSE_S`. The caller limits the total time.
    """
    pause_s = INITIAL_PAUSE_S
    while True:
        try:
            return await call()
        except OSError as error:
            if not is_retryable(error):
                raise
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
