"""The rules on starting and writing attempts, their audit, and the errors of system calls."""

from __future__ import annotations

import errno
import socket
from typing import Any

import pytest
import trio
from peers import ReceivedRequest, ScriptedServer, running_router, trio_test
from test_bad_days import all_of, raw

from sorreldock.interface import Status
from sorreldock.protocol.http.client import HttpServerClient
from sorreldock.protocol.http.connection import ClientConnection
from sorreldock.routing.permissions import Audit, Denial, Rule, may_begin, may_write, write_until
from sorreldock.routing.types import Outcome
from sorreldock.transport.budget import DescriptorBudget, Use
from sorreldock.transport.connection import Connection, LocalShortage, closed_by_peer, dial
from sorreldock.transport.failures import is_local_shortage, is_transient
from sorreldock.transport.ledger import Account, MemoryLedger
from sorreldock.transport.system import RealSystem

ALLOWED: dict[str, Any] = {
    "aborted": False,
    "server_ready": True,
    "now": 1.0,
    "expires_at": 2.0,
    "send_by": 2.0,
    "client_present": lambda: True,
}


@pytest.mark.parametrize(
    ("changes", "denial"),
    [
        ({}, None),
        ({"aborted": True}, Denial.ABORTED),
        ({"server_ready": False}, Denial.NOT_READY),
        ({"expires_at": 1.0}, Denial.EXPIRED),
        ({"send_by": 0.9}, Denial.WINDOW_OVER),
        ({"client_present": lambda: False}, Denial.CLIENT_LEFT),
    ],
)
def test_each_condition_that_denies_a_write(changes: dict[str, Any], denial: Denial | None) -> None:
    assert may_write(**{**ALLOWED, **changes}) is denial


def test_the_client_is_checked_only_if_nothing_else_denies_a_write() -> None:
    def check() -> bool:
        raise AssertionError("the check has a side effect: it ends the RPC of a disconnected client")

    assert may_write(**{**ALLOWED, "aborted": True, "client_present": check}) is Denial.ABORTED


def test_each_condition_that_denies_an_attempt() -> None:
    assert may_begin(answered=False, others_in_flight=0, server_ready=True) is None
    assert may_begin(answered=True, others_in_flight=0, server_ready=True) is Denial.ANSWERED
    assert may_begin(answered=False, others_in_flight=1, server_ready=True) is Denial.ANOTHER_IN_FLIGHT
    assert may_begin(answered=False, others_in_flight=0, server_ready=False) is Denial.NOT_READY
    assert write_until(1.0, 0.1) == 1.0 and write_until(1.0, 2.0) == pytest.approx(2.85)


def test_the_audit_counts_and_logs_each_violated_rule() -> None:
    records: list[tuple[Any, ...]] = []
    audit = Audit(lambda *words, **data: records.append((*words, data["rule"])))
    audit.check_written("r1", 1.0, began_answered=False, in_flight=1, expires_at=2.0, drained_at=0.9)
    audit.check_answered("r1", 1.5, again=False, begun=False, expires_at=2.0, outcome=Outcome.REFUSED)
    assert not audit.violations and not records
    audit.check_written("r2", 3.0, began_answered=True, in_flight=2, expires_at=2.0, drained_at=2.0)
    audit.check_answered("r2", 3.0, again=True, begun=False, expires_at=2.0, outcome=Outcome.FAILED)
    assert set(audit.violations) == set(Rule) - {Rule.CLOSED_OWING} and len(records) == len(audit.violations)
    assert all(record[:2] == ("err", "VIOLATION") for record in records)


@trio_test
async def test_an_error_in_the_front_gets_an_answer_and_violates_at_most_the_rule_on_closing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(self: ClientConnection, request: Any) -> None:
        raise ValueError("error in the front")

    async with running_router(ScriptedServer()) as router:
        with monkeypatch.context() as patch:
            patch.setattr(ClientConnection, "handle_rpc", fail)
            connection = await router.connect()
            await connection.stream.send_all(raw())
            assert (await all_of(connection.stream)).startswith(b"HTTP/1.1 500")
            await connection.stream.aclose()
        assert (await router.post(x_trace_id="next")).status == 200
        assert set(router.program.core.audit.violations) <= {Rule.CLOSED_OWING}


@trio_test
async def test_a_broken_stream_or_a_disconnected_client_violates_no_rule() -> None:
    async def break_off(request: ReceivedRequest) -> None:
        await request.start(b"data: 1\n\n")
        await request.wire.stream.aclose()

    async with running_router(ScriptedServer(break_off)) as router:
        assert not (await router.post()).whole
        connection = await router.start_post(x_trace_id="left")
        await connection.stream.aclose()
        while router.program.fronts["http"].clients:
            await trio.sleep(0.005)
        assert not router.program.core.audit.violations


# Classification of the errors of system calls.


def test_errors_are_classified_as_transient_and_as_local_shortage() -> None:
    transient = {errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS}
    connection_errors = {
        errno.ECONNRESET,
        errno.EPIPE,
        errno.ETIMEDOUT,
        errno.ENOTCONN,
        errno.EBADF,
        errno.ECONNREFUSED,
    }
    local = transient | {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL}
    for number in transient | connection_errors | local:
        assert is_transient(OSError(number, "")) is (number in transient)
        assert is_local_shortage(OSError(number, "")) is (number in local)


class NoDescriptors(RealSystem):
    """A system that fails to create the first sockets for lack of descriptors."""

    def __init__(self, failures: int) -> None:
        super().__init__()
        self.failures = failures

    def socket(self, family: int) -> Any:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().socket(family)


@trio_test
async def test_dialling_is_retried_during_a_local_shortage_and_does_not_count_against_the_server() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        closed: list[bool] = []
        connection = await dial(address, 1.0, lambda: closed.append(True), NoDescriptors(3))
        connection.close()
        assert closed == [True]
        with pytest.raises(LocalShortage):
            await dial(address, 0.05, lambda: closed.append(True), NoDescriptors(1 << 30))
        assert len(closed) == 2
        budget = DescriptorBudget(364)
        while budget.acquire(Use.SERVER):
            pass
        client = HttpServerClient(address, budget, 1.0, 60.0, "/alive", MemoryLedger(1 << 20)[Account.EVENTS])
        assert (await client.probe()).status is Status.NOT_SENT


class FailingGetsockopt:
    """A socket whose getsockopt fails."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def getsockopt(self, *words: Any) -> Any:
        raise OSError(errno.ENOBUFS, "no buffer space")


@trio_test
async def test_a_failed_check_of_the_client_does_not_count_as_its_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_end = socket.create_connection(listener.getsockname())
        router_end = trio.socket.from_stdlib_socket(listener.accept()[0])
    monkeypatch.setattr(type(router_end), "getsockopt", FailingGetsockopt.getsockopt)
    connection = Connection(router_end, lambda: None)
    assert not closed_by_peer(router_end) and not connection.has_peer_closed()
    client_end.close()
    assert connection.has_peer_closed()  # detected by reading
    connection.close()
