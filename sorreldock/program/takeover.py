"""The process that follows and the one it follows: a Unix socket in `$TMPDIR`, and the records on it."""

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
from .handover import Broken

NAME = "sorreldock-takeover.sock"
ANSWER_S = 1.0  # for the predecessor's state: it is told to stop once this process says yes, within 6 s
SEND_S = 1.0
TELL_S = 0.2
MOST_CALLERS = 2
MOST_FDS = 32  # in one read
NUMBER = array.array("i").itemsize


class Link:
    """A connection to the other process."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._sock = sock
        self._lock = trio.Lock()
        self._records = handover.Records()
        self._fds: deque[int] = deque()
        self._waiting: deque[dict[str, Any]] = deque()
        self.used = 0  # descriptors, as last told
        self.leaving = False
        self.out: dict[int, int] = {}
        # Ends of engines that are not told on this link yet, by uid: one an engine, so none is ever dropped.
        self.news: dict[str, tuple[int, Target]] = {}
        self.wake = trio.Event()

    async def connect(self, path: str) -> None:
        await self._sock.connect(path)

    async def send(self, kind: str, descriptor: int | None = None, **values: Any) -> bool:
        """Write a record. What can't be written whole ends the link: the other side would lose its place."""
        try:
            data = memoryview(handover.encode(kind, **values))
        except Broken:
            return False  # too long; nothing was written
        async with self._lock:
            with trio.move_on_after(SEND_S):
                try:
                    rights = []
                    if descriptor is not None:
                        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]
                    data = data[await retry_transient(partial(self._sock.sendmsg, [data], rights)) :]
                    while data:
                        data = data[await retry_transient(partial(self._sock.send, data)) :]
                    return True
                except (OSError, trio.ClosedResourceError):
                    pass
            self._sock.close()
            return False

    async def receive(self) -> tuple[dict[str, Any], int]:
        """The next record and its descriptor (-1: none); Broken at the link's end."""
        while not self._waiting:
            try:
                space = socket.CMSG_SPACE(MOST_FDS * NUMBER)
                data, rights, flags, _ = await retry_transient(partial(self._sock.recvmsg, 65536, space))
            except (OSError, trio.ClosedResourceError) as error:
                raise Broken(str(error) or "closed") from None
            for level, kind, payload in rights:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    got = array.array("i")
                    got.frombytes(payload[: len(payload) - len(payload) % NUMBER])
                    self._fds.extend(got)
            if flags & socket.MSG_CTRUNC:
                raise Broken("descriptors were cut off")
            if not data:
                raise Broken("the other process has ended")
            self._waiting.extend(self._records.feed(data))
        record = self._waiting.popleft()
        if record["kind"] != "connection":
            return record, -1
        if not self._fds:
            raise Broken("a connection without its descriptor")
        return record, self._fds.popleft()

    def close(self) -> None:
        self._sock.close()
        while self._fds:  # come, and nobody will take them
            os.close(self._fds.popleft())


class Takeover:
    """Follows a process of the same router, and lets another follow."""

    def __init__(
        self,
        folder: str,
        core: Core,
        resolver: Resolver,
        budget: DescriptorBudget,
        log: Log,
        pid: int,
        in_company: Callable[[bool], None],
    ) -> None:
        self._path = os.path.join(folder, NAME)
        self._core, self._resolver, self._budget = core, resolver, budget
        self._log, self._pid = log, pid
        self._in_company = in_company
        self._notices = handover.Notices()
        self._links: list[Link] = []
        self._successor: Link | None = None
        self._predecessor: Link | None = None
        self._leaving = False
        self._own = (0, 0)  # the socket file, to be taken away only while it is this process's
        self._least = 1 << 30  # descriptors that this process may have at the most, once it leaves
        self._front: Front[Any] | None = None

    # As the process that follows.

    async def follow(self) -> None:
        """Hear what the predecessor knows. Whatever is wrong with it, this process can work alone."""
        if not os.path.exists(self._path):
            return
        link = Link(trio.socket.socket(socket.AF_UNIX))
        why = f"no answer in {ANSWER_S:g} s"
        with trio.move_on_after(ANSWER_S):
            try:
                await link.connect(self._path)
                await link.send("hello", version=handover.VERSION, pid=self._pid)
                record, _ = await link.receive()
                why = handover.greeting_fault(record)
                if not why:
                    self._take(record)
                    self._predecessor = link
                    self._add(link)
                    self._log("notice", "TAKEOVER", "follows a process that serves", pid=record.get("pid"))
                    return
            except (OSError, Broken, ListError) as error:  # a dead one's file, or one of another make
                why = str(error)
        link.close()
        self._log("notice", "TAKEOVER", "no process to follow, working alone", reason=why)

    def _take(self, state: dict[str, Any]) -> None:
        result = decode_result(state.get("list"), ListKind.CACHED)
        self._resolver.start_from(result.version)
        self._core.apply_resolver_result(result)
        learned = state.get("learned")
        if isinstance(learned, dict):
            self._core.restore(learned)

    async def run(self, nursery: trio.Nursery, adopt: Callable[[int], None]) -> None:
        """Stay in touch with the predecessor, and answer the process that will follow this one."""
        if self._predecessor is not None:
            nursery.start_soon(self._converse, self._predecessor, adopt)
        try:
            listener = await self._listen()
        except OSError as error:
            self._log("err", "TAKEOVER", "no process can follow this one", reason=error)
            return
        room = trio.CapacityLimiter(MOST_CALLERS)
        try:
            with listener:
                while True:
                    await room.acquire_on_behalf_of(caller := object())
                    try:
                        sock, _ = await listener.accept()
                    except OSError:
                        room.release_on_behalf_of(caller)
                        await trio.sleep(0.1)
                        continue
                    nursery.start_soon(self._attend, sock, room, caller)
        finally:
            self._forget_file()

    async def _listen(self) -> trio.socket.SocketType:
        """The file is put in place whole, over a dead process's or the predecessor's own."""
        listener = trio.socket.socket(socket.AF_UNIX)
        passing = f"{self._path}.{self._pid}"
        try:
            await listener.bind(passing)
            listener.listen(MOST_CALLERS)
            os.chmod(passing, 0o600)
            found = os.stat(passing)
            os.rename(passing, self._path)
        except OSError:
            listener.close()
            raise
        self._own = found.st_dev, found.st_ino
        return listener

    def _forget_file(self) -> None:
        try:
            found = os.stat(self._path)
            if (found.st_dev, found.st_ino) == self._own:
                os.unlink(self._path)
        except OSError:
            pass

    # As the process that is followed.

    async def _attend(self, sock: trio.socket.SocketType, room: trio.CapacityLimiter, caller: object) -> None:
        link = Link(sock)
        try:
            with trio.move_on_after(ANSWER_S) as silence:
                record, _ = await link.receive()
            if silence.cancelled_caught:
                return
            why = handover.greeting_fault(record)
            if not why and (self._successor is not None or self._leaving):
                why = "another process follows already" if self._successor is not None else "stopping"
            if why:
                await link.send("fail", version=handover.VERSION, why=why)
                return
            listing = {**encode_result(self._core.known_servers()), "rev": self._resolver.version}
            state: dict[str, Any] = {"version": handover.VERSION, "pid": self._pid, "list": listing}
            self._successor = link
            if not await link.send("state", None, **state, learned=self._core.snapshot()):
                await link.send("state", None, **state)  # more than a record may hold
            self._add(link)
            self._log("notice", "TAKEOVER", "another process follows", pid=record.get("pid"))
            await self._converse(link, None)
        except Broken as error:
            self._log("notice", "TAKEOVER", "a caller that does not follow", reason=error)
        finally:
            room.release_on_behalf_of(caller)
            if self._successor is link:
                self._successor = None
                if self._front is not None:  # nobody takes them any more: answers say that they end
                    self._front.pass_connection = None
            link.close()

    def leave(self, front: Front[Any]) -> bool:
        """This process is told to stop: connections go to the one that follows, if one does."""
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

    # Both.

    def took(self, result: ResolverResult) -> ResolverResult:
        """A result of this process's own watch, on its way to the core."""
        held = self._notices.held(result)
        ends = self._notices.news(held)
        for link in self._links if ends else ():
            link.news |= {target.uid: (held.version, target) for target in ends}
            link.wake.set()
        return held

    def _add(self, link: Link) -> None:
        self._links.append(link)
        self._agree()

    @property
    def in_company(self) -> bool:
        return bool(self._links)

    def _agree(self) -> None:
        """The rules of one router, by what the others told last."""
        others = self._links
        self._in_company(bool(others))
        if others:
            out: dict[int, int] = {}
            for link in others:
                for replica, count in link.out.items():
                    out[replica] = out.get(replica, 0) + count
            self._core.set_peer_attempts(out)
            used, leave = sum(link.used for link in others), all(link.leaving for link in others)
            usable = self._budget.usable_in_total(len(others))
            mine = sum(self._budget.used.values())
            portion = handover.portion(usable, mine, self._leaving, used, leave)
            if self._leaving:  # what it has let go is the other one's
                portion = self._least = min(portion, self._least)
            self._budget.set_portion(portion, self._leaving)
            if not self._leaving:
                self._budget.close_excess_idle()
        else:
            self._core.set_peer_attempts({})
            self._budget.set_portion(None)

    async def _converse(self, link: Link, adopt: Callable[[int], None] | None) -> None:
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell, link)
                while True:
                    try:
                        await self._hear(link, adopt)
                    except (Broken, ListError) as error:
                        self._log("notice", "TAKEOVER", "the other process is out of touch", reason=error)
                        break
                nursery.cancel_scope.cancel()
        finally:
            self._links.remove(link)
            link.close()
            self._agree()

    async def _hear(self, link: Link, adopt: Callable[[int], None] | None) -> None:
        record, descriptor = await link.receive()
        match record["kind"]:
            case "tell":
                link.used, link.out = handover.number(record, "used"), handover.counts(record, "out")
                link.leaving = record.get("leaving") is True
                self._agree()
            case "news":
                result = decode_result(record.get("list"), ListKind.DELTA)
                self._notices.heard(result)
                self._core.apply_resolver_result(result)
            case "connection":
                if adopt is None:  # only a predecessor has any to pass on
                    os.close(descriptor)
                else:
                    adopt(descriptor)

    async def _tell(self, link: Link) -> None:
        while True:
            link.wake = trio.Event()
            news, link.news = sorted(link.news.values(), key=lambda told: told[0]), {}
            for version, told in groupby(news, key=lambda told: told[0]):
                ends = ResolverResult(ListKind.DELTA, tuple(target for _, target in told), version)
                await link.send("news", list=encode_result(ends))
            self._agree()
            out = {str(replica): count for replica, count in self._core.attempts_in_flight().items()}
            used = sum(self._budget.used.values())
            if not await link.send("tell", used=used, leaving=self._leaving, out=out):
                return
            with trio.move_on_after(TELL_S):
                await link.wake.wait()


def adopter(
    listener: Listener, front: Front[Any], budget: DescriptorBudget, nursery: trio.Nursery
) -> Callable[[int], None]:
    """Takes over a client's connection that the predecessor has passed on."""

    def adopt(descriptor: int) -> None:
        budget.count_inherited(Use.CLIENT)
        listener.adopt(descriptor, nursery, front.handle_passed_connection)

    return adopt
