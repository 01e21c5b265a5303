"""`sorreldock lab fleet`: an emulated fleet that runs in the foreground."""

from __future__ import annotations

import json
import os
import signal
import stat
import sys

import trio

from .serving.fleet import Fleet
from .settings import FleetSettings


async def _run_fleet(settings: FleetSettings, as_json: bool) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with trio.open_nursery() as nursery, Fleet(settings).running() as fleet:

            async def stop_at_signal() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            async def stop_at_end_of_input() -> None:
                """Stop the fleet at the end of a pipe: the process that started it has exited."""
                async with trio.lowlevel.FdStream(os.dup(0)) as standard_input:
                    async for _ in standard_input:
                        pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(stop_at_signal)
            if stat.S_ISFIFO(os.fstat(0).st_mode):
                nursery.start_soon(stop_at_end_of_input)
            if as_json:
                print(json.dumps(fleet.describe()), flush=True)
            else:
                print(f"{settings.name}: {len(fleet.addresses)} engines, discovery {fleet.discovery}")
                for uid, address in fleet.addresses.items():
                    print(f"  {uid:6} {address}")
                sys.stdout.flush()
            await trio.sleep_forever()


def run_fleet(settings: FleetSettings, as_json: bool) -> None:
    """Run a fleet until SIGINT, SIGTERM, or the end of a pipe on standard input."""
    trio.run(_run_fleet, settings, as_json)
