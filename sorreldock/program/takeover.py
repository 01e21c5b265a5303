"""The takeover between two processes of a router, over a Unix socket in `$TMPDIR`.

The successor receives the predecessor's state and its clients' connections; until the predecessor exits, both
exchange their use of shared limits and the servers' drain notices.
"""

from __future__ import annotations

import array
import os
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from itertools import groupby
from typing import Any

import trio

from ..interface import ListKind
from ..protocol.front import Front
from ..protocol.http.discovery import ListError, Resolver, decode_result, encode_result
from ..routing.core import Core
from ..routing.types import Log, ResolverResult, Target
from ..transport.budget import DescriptorBudget, Use
from ..transport.connection import Connection
from ..transport.failures import retry_transient
from ..transport.listener import Listener
from . import handover
from .handover import PeerProtocolError

SOCKET_NAME = "sorreldock-takeover.sock"
# For the predecessor's state. The platform stops the predecessor once this process is ready, which has to be
# within 6 s.
ANSWER_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 1.0
UPDATE_INTERVAL_S = 0.2
MAX_CALLERS = 2
MAX_DESCRIPTORS_PER_READ = 32
DESCRIPTOR_BYTES = array.array("i").itemsize


class Link:
    """A connection to a peer process, with what that process has reported last."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self._lock = trio.Lock()
        self._records = handover.Records()
        self._descriptors: deque[int] = deque()
        self._waiting: deque[dict[str, Any]] = deque()
        self.peer_descriptors = 0
        self.peer_leaving = False
        self.peer_attempts: dict[int, int] = {}  # open attempts by replica
        # Drain notices that aren't sent on this link yet, by uid. There is one per server, so the queue needs
        # no bound and no notice is dropped.
        self.pending_notices: dict[str, tuple[int, Target]] = {}
        self.pending_runs: list[int] = []  # names that must not run again and aren't sent on this link yet
        self.wake = trio.Event()

    async def connect(self, path: str) -> None:
        await self._sock.connect(path)

    async def send(self, kind: str, descriptor: int | None = None, **values: Any) -> bool:
        """Write a record, and return whether it was written.

        A record that is written in part closes the link, since the peer couldn't find the next one.
        """
        try:
            data = memoryview(handover.encode(kind, **values))
        except PeerProtocolError:
            return False  # the record is too long; nothing was written
        async with self._lock:
            with trio.move_on_after(SEND_TIMEOUT_S):
                try:
                    ancillary = []
                    if descriptor is not None:
                        ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]
                    data = data[await retry_transient(partial(self._sock.sendmsg, [data], ancillary)) :]
                    while data:
                        data = data[await retry_transient(partial(self._sock.send, data)) :]
                    return True
                except (OSError, trio.ClosedResourceError):
                    pass
            self._sock.close()
            return False

    async def receive(self) -> tuple[dict[str, Any], int]:
        """Return the next record and its descriptor, or -1 for a record without one.

        Raises PeerProtocolError for a malformed record and when the link is closed.
        """
        while not self._waiting:
            try:
                ancillary_bytes = socket.CMSG_SPACE(MAX_DESCRIPTORS_PER_READ * DESCRIPTOR_BYTES)
                data, ancillary, flags, _ = await retry_transient(
                    partial(self._sock.recvmsg, 65536, ancillary_bytes)
                )
            except (OSError, trio.ClosedResourceError) as error:
                raise PeerProtocolError(str(error) or "closed") from None
            for level, kind, payload in ancillary:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    descriptors = array.array("i")
                    descriptors.frombytes(payload[: len(payload) - len(payload) % DESCRIPTOR_BYTES])
                    self._descriptors.extend(descriptors)
            if flags & socket.MSG_CTRUNC:
                raise PeerProtocolError("descriptors were truncated")
            if not data:
                raise PeerProtocolError("closed by the peer process")
            self._waiting.extend(self._records.feed(data))
        record = self._waiting.popleft()
        if record["kind"] != "connection":
            return record, -1
        if not self._descriptors:
            raise PeerProtocolError("record of a connection has no descriptor")
        return record, self._descriptors.popleft()

    def close(self) -> None:
        self._sock.close()
        while self._descriptors:  # received, but not taken by a reader
            os.close(self._descriptors.popleft())


class Takeover:
    """Takes over from a predecessor, and hands over to a successor, of the same router.

    `on_peer_change` is called with whether a peer process is connected.
    """

    def __init__(
        self,
        folder: str,
        core: Core,
        resolver: Resolver,
        budget: DescriptorBudget,
        log: Log,
        pid: int,
        on_peer_change: Callable[[bool], None],
    ) -> None:
        self._path = os.path.join(folder, SOCKET_NAME)
        self._core, self._resolver, self._budget = core, resolver, budget
        self._log, self._pid = log, pid
        self._on_peer_change = on_peer_change
        self._notices = handover.DrainNotices()
        self._links: list[Link] = []
        self._successor: Link | None = None
        self._predecessor: Link | None = None
        self._leaving = False
        self._socket_file_id = (0, 0)  # device and inode of this process's socket file
        # The maximum of descriptors once this process leaves; it never rises again.
        self._leaving_limit = 1 << 30
        self._front: Front[Any] | None = None
        core.on_run = self._on_run

    def _on_run(self, key: int) -> None:
        """Queue a name for the peer processes, at which its client may come again."""
        for link in self._links:
            link.pending_runs.append(key)
            link.wake.set()

    # As the successor.

    async def take_over(self) -> None:
        """Receive the predecessor's state; after any failure this process starts without it."""
        if not os.path.exists(self._path):
            return
        link = Link(trio.socket.socket(socket.AF_UNIX))
        fault = f"no answer in {ANSWER_TIMEOUT_S:g} s"
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            try:
                await link.connect(self._path)
                await link.send("hello", version=handover.VERSION, pid=self._pid)
                record, _ = await link.receive()
                fault = handover.greeting_error(record)
                if not fault:
                    self._restore(record)
                    self._predecessor = link
                    self.add_link(link)
                    self._log(
                        "notice", "TAKEOVER", "took over the predecessor's state", pid=record.get("pid")
                    )
                    return
            # For example, a stale socket file or an incompatible build.
            except (OSError, PeerProtocolError, ListError) as error:
                fault = str(error)
        link.close()
        self._log("notice", "TAKEOVER", "no state taken over from a predecessor process", reason=fault)

    def _restore(self, state: dict[str, Any]) -> None:
        """Apply the predecessor's list and what its gateway has learned."""
        result = decode_result(state.get("list"), ListKind.CACHED)
        self._resolver.start_from(result.version)
        self._core.apply_resolver_result(result)
        if isinstance(state.get("runs"), list):
            self._core.add_runs(handover.keys_field(state, "runs"))
        learned = state.get("learned")
        if isinstance(learned, dict):
            self._core.restore(learned)

    async def run(self, nursery: trio.Nursery, adopt: Callable[[int], None]) -> None:
        """Exchange records with the predecessor, and accept a successor."""
        if self._predecessor is not None:
            nursery.start_soon(self._run_link, self._predecessor, adopt)
        try:
            listener = await self._listen()
        except OSError as error:
            self._log("err", "TAKEOVER", "cannot listen for a successor process", reason=error)
            return
        slots = trio.CapacityLimiter(MAX_CALLERS)
        try:
            with listener:
                while True:
                    await slots.acquire_on_behalf_of(caller := object())
                    try:
                        sock, _ = await listener.accept()
                    except OSError:
                        slots.release_on_behalf_of(caller)
                        await trio.sleep(0.1)
                        continue
                    nursery.start_soon(self._answer_caller, sock, slots, caller)
        finally:
            self._remove_socket_file()

    async def _listen(self) -> trio.socket.SocketType:
        """Listen on the socket's path.

        The file is bound under a temporary name and then renamed, over the predecessor's file or a stale
        one, so that the path is always that of a listening socket.
        """
        listener = trio.socket.socket(socket.AF_UNIX)
        temporary_path = f"{self._path}.{self._pid}"
        try:
            await listener.bind(temporary_path)
            listener.listen(MAX_CALLERS)
            os.chmod(temporary_path, 0o600)
            status = os.stat(temporary_path)
            os.rename(temporary_path, self._path)
        except OSError:
            listener.close()
            raise
        self._socket_file_id = status.st_dev, status.st_ino
        return listener

    def _remove_socket_file(self) -> None:
        try:
            status = os.stat(self._path)
            if (status.st_dev, status.st_ino) == self._socket_file_id:
                os.unlink(self._path)
        except OSError:
            pass

    # As the predecessor.

    async def _answer_caller(
        self, sock: trio.socket.SocketType, slots: trio.CapacityLimiter, caller: object
    ) -> None:
        link = Link(sock)
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_S) as timeout_scope:
                record, _ = await link.receive()
            if timeout_scope.cancelled_caught:
                return
            fault = handover.greeting_error(record)
            if not fault and (self._successor is not None or self._leaving):
                fault = "another process follows already" if self._successor is not None else "stopping"
            if fault:
                await link.send("fail", version=handover.VERSION, why=fault)
                return
            listing = {**encode_result(self._core.known_servers()), "rev": self._resolver.version}
            state: dict[str, Any] = {
                "version": handover.VERSION,
                "pid": self._pid,
                "list": listing,
                "runs": self._core.runs(),
            }
            self._successor = link
            if not await link.send("state", None, **state, learned=self._core.snapshot()):
                # The record with the learned state was too long.
                await link.send("state", None, **state)
            self.add_link(link)
            self._log("notice", "TAKEOVER", "passed the state to a successor process", pid=record.get("pid"))
            await self._run_link(link, None)
        except PeerProtocolError as error:
            self._log("notice", "TAKEOVER", "rejected a caller that is not a successor", reason=error)
        finally:
            slots.release_on_behalf_of(caller)
            if self._successor is link:
                self._successor = None
                if self._front is not None:  # without a successor, answers announce a close again
                    self._front.pass_connection = None
            link.close()

    def leave(self, front: Front[Any]) -> bool:
        """Start to pass connections on to the successor; return False if there is none."""
        if self._successor is None:
            return False
        self._leaving, self._front = True, front
        front.pass_connection = self._pass_on
        for link in self._links:
            link.wake.set()
        return True

    async def _pass_on(self, connection: Connection) -> bool:
        link = self._successor
        return link is not None and await link.send("connection", connection.fileno())

    # In both roles.

    def on_watch_result(self, result: ResolverResult) -> ResolverResult:
        """Apply the peers' drain notices to a result of this process's watch, and queue its own for them."""
        current = self._notices.without_outdated(result)
        ends = self._notices.notices_in(current)
        for link in self._links if ends else ():
            link.pending_notices |= {target.uid: (current.version, target) for target in ends}
            link.wake.set()
        return current

    def add_link(self, link: Link) -> None:
        self._links.append(link)
        self._apply_limits()

    @property
    def has_peer(self) -> bool:
        return bool(self._links)

    def _apply_limits(self) -> None:
        """Update the limits that all processes of the router share, by the peers' last reports."""
        links = self._links
        self._on_peer_change(bool(links))
        if links:
            open_elsewhere: dict[int, int] = {}
            for link in links:
                for replica, count in link.peer_attempts.items():
                    open_elsewhere[replica] = open_elsewhere.get(replica, 0) + count
            self._core.set_peer_attempts(open_elsewhere)
            used_by_peers, peers_leaving = (
                sum(link.peer_descriptors for link in links),
                all(link.peer_leaving for link in links),
            )
            usable = self._budget.usable_in_total(len(links))
            own_used = sum(self._budget.used.values())
            own_share = handover.descriptor_share(
                usable, own_used, self._leaving, used_by_peers, peers_leaving
            )
            if self._leaving:  # descriptors that it has released belong to the successor
                own_share = self._leaving_limit = min(own_share, self._leaving_limit)
            self._budget.set_portion(own_share, self._leaving)
            if not self._leaving:
                self._budget.close_excess_idle()
        else:
            self._core.set_peer_attempts({})
            self._budget.set_portion(None)

    async def _run_link(self, link: Link, adopt: Callable[[int], None] | None) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_updates, link)
                while True:
                    try:
                        await self._handle_record(link, adopt)
                    except (PeerProtocolError, ListError) as error:
                        self._log(
                            "notice", "TAKEOVER", "the connection to the peer process has ended", reason=error
                        )
                        break
                nursery.cancel_scope.cancel()
        finally:
            self._links.remove(link)
            link.close()
            self._apply_limits()

    async def _handle_record(self, link: Link, adopt: Callable[[int], None] | None) -> None:
        record, descriptor = await link.receive()
        match record["kind"]:
            case "tell":
                link.peer_descriptors, link.peer_attempts = (
                    handover.count_field(record, "used"),
                    handover.counts_field(record, "out"),
                )
                link.peer_leaving = record.get("leaving") is True
                self._apply_limits()
            case "news":
                result = decode_result(record.get("list"), ListKind.DELTA)
                self._notices.receive(result)
                self._core.apply_resolver_result(result)
            case "runs":
                self._core.add_runs(handover.keys_field(record, "keys"))
            case "connection":
                if adopt is None:  # only a predecessor passes connections on
                    os.close(descriptor)
                else:
                    adopt(descriptor)

    async def _send_updates(self, link: Link) -> None:
        while True:
            link.wake = trio.Event()
            notices, link.pending_notices = (
                sorted(link.pending_notices.values(), key=lambda notice: notice[0]),
                {},
            )
            runs, link.pending_runs = link.pending_runs, []
            for start in range(0, len(runs), handover.MAX_KEYS_PER_RECORD):
                await link.send("runs", keys=runs[start : start + handover.MAX_KEYS_PER_RECORD])
            for version, group in groupby(notices, key=lambda notice: notice[0]):
                ends = ResolverResult(ListKind.DELTA, tuple(target for _, target in group), version)
                await link.send("news", list=encode_result(ends))
            self._apply_limits()
            open_attempts = {
                str(replica): count for replica, count in self._core.attempts_in_flight().items()
            }
            own_used = sum(self._budget.used.values())
            if not await link.send("tell", used=own_used, leaving=self._leaving, out=open_attempts):
                return
            with trio.move_on_after(UPDATE_INTERVAL_S):
                await link.wake.wait()


def connection_adopter(
    listener: Listener, front: Front[Any], budget: DescriptorBudget, nursery: trio.Nursery
) -> Callable[[int], None]:
    """Return a function that takes over a client's connection from its descriptor."""

    def adopt(descriptor: int) -> None:
        budget.count_inherited(Use.CLIENT)
        listener.adopt(descriptor, nursery, front.handle_passed_connection)

    return adopt
