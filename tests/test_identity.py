"""A new process at the address of an earlier one: nothing of the earlier one passes to it."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing
from peers import EVENTS, Discovery, Router, ScriptedServer, running_router, start_streaming, trio_test

from sorreldock.protocol.http.discovery import ListError, decode_result
from sorreldock.routing.types import Target


def change(router: Router, *targets: dict[str, Any]) -> None:
    """Pass on a change of the list as if discovery had written it."""
    resolver = router.program.resolver
    resolver._follow_result(
        decode_result({"rev": resolver.version + 1, "all": False, "targets": list(targets)})
    )


def known_target(router: Router) -> Target:
    [subchannel] = router.program.core.subchannels.values()
    return subchannel.target


@pytest.mark.parametrize("is_new", [True, False])
@trio_test
async def test_a_connection_to_the_earlier_process_at_an_address_is_not_used_for_the_new_one(
    is_new: bool,
) -> None:
    finish, server = trio.Event(), ScriptedServer()
    discovery = Discovery(server)
    async with running_router(server, discovery=discovery) as router:
        await discovery.watching.wait()
        wire = await start_streaming(router, server, finish)
        change(router, {**discovery.targets()[0], "boot_ms": 1000 * int(is_new)})
        await trio.testing.wait_all_tasks_blocked(0.05)
        finish.set()
        while not hasattr(event := await wire.next(), "data") or event.data != EVENTS[-1]:
            pass
        await trio.sleep(0.1)  # until the connection may be used again
        assert (await router.post()).whole
    assert server.connections == (2 if is_new else 1)


@trio_test
async def test_a_new_server_at_the_address_of_one_that_has_gone_starts_with_nothing_of_it() -> None:
    server = ScriptedServer()
    discovery = Discovery(server)
    async with running_router(server, discovery=discovery) as router:
        await discovery.watching.wait()
        assert (await router.post()).whole
        [first] = router.program.core.subchannels.values()
        gateway = router.program.core._gateway
        gateway.eject(gateway.replicas[first.number])
        entry = discovery.targets()[0]
        change(router, {**entry, "state": "Gone"}, {**entry, "uid": "other", "boot_ms": 5000})
        await trio.testing.wait_all_tasks_blocked(0.05)
        [second] = router.program.core.subchannels.values()
        assert second is not first and known_target(router).uid == "other"
        assert (await router.post()).whole
        [replica] = gateway.replicas.values()
        assert replica.failure_count == 0 and replica.ejected_until < gateway.now
    assert server.connections == 2


@trio_test
async def test_changes_that_count_from_lower_versions_are_those_of_another_discovery_process() -> None:
    server = ScriptedServer()
    discovery = Discovery(server)
    discovery.rev = 41
    async with running_router(server, discovery=discovery) as router:
        await discovery.watching.wait()
        while router.program.resolver.version != 41:
            await trio.sleep(0.005)
        resolver, entry = router.program.resolver, discovery.targets()[0]
        for version in (7, 7):  # one that repeats an old change is the same process
            resolver._follow_result(decode_result({"rev": version, "all": False, "targets": [entry]}))
        assert resolver.version == 41
        with pytest.raises(ListError):  # which ends the watch; the next one asks for the whole list
            resolver._follow_result(decode_result({"rev": 8, "all": False, "targets": [entry]}))
        assert resolver.version == 0
