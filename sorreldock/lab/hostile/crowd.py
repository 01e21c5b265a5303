"""The hostile clients of a run, in a process of their own."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import h2.exceptions
import trio

from . import grpc_clients, http_clients
from .plan import Picture, Plan, Protocol

RECONNECT_PAUSE_S = 0.05
START_SPREAD_S = 1.0  # within which the clients begin

RunRound = Callable[[str, Picture, str], Awaitable[None]]


async def _run_client(plan: Plan, address: str, index: int, run_round: RunRound) -> None:
    rng = random.Random(f"{plan.seed}/{index}")
    await trio.sleep(rng.random() * START_SPREAD_S)
    number = 0
    while True:
        number += 1
        name = f"h{plan.seed}-{index}-{number}"
        try:
            await run_round(address, plan.picture, name)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h2.exceptions.ProtocolError):
            pass  # the router has refused or closed the connection
        await trio.sleep(RECONNECT_PAUSE_S)


async def _run(plan: Plan, address: str) -> None:
    run_round = http_clients.run_round if plan.protocol is Protocol.HTTP else grpc_clients.run_round
    with trio.move_on_after(plan.span_s):
        async with trio.open_nursery() as nursery:
            for index in range(plan.clients):
                nursery.start_soon(_run_client, plan, address, index, run_round)


def run_crowd(plan: Plan, address: str) -> None:
    """Run the hostile clients for the time of the plan."""
    trio.run(_run, plan, address)
