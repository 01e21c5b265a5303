"""`sorreldock demo`: an emulated fleet and two real routers, until Ctrl-C."""

from __future__ import annotations

import json
import os
import shlex
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import trio

from .processes import Cluster, cluster
from .settings import FleetSettings

CHAT = {
    "model": "alt-text",
    "stream": True,
    "max_tokens": 40,
    "messages": [{"role": "user", "content": "Describe the thumbnail of a flooded main street."}],
}


def command() -> str:
    """How to call this program's commands again, as the person did."""
    return os.environ.get("SORRELDOCK_RUN") or f"{shlex.quote(sys.executable)} -m sorreldock"


def lines(made: Cluster) -> list[str]:
    """What can be pasted into another terminal."""
    name, tenants = made.settings.classes[0].name, made.settings.tenants
    tenant = f" --tenant {tenants[0].name}" if tenants else ""
    customer = f" -H 'X-Customer: {tenants[0].name}'" if tenants else ""
    prompt = shlex.quote(str(CHAT["messages"][0]["content"]))  # type: ignore[index]
    routers = " ".join(f"--router {address}" for address in made.http)
    grpc = " ".join(f"--router {address}" for address in made.kserve)
    return [
        f"{command()} ask {routers} --class {name}{tenant} {prompt}",
        f"curl -sN http://{made.http[0]}/v1/chat/completions -H 'X-Trace-Id: '$RANDOM$RANDOM"
        f" -H 'X-Qos: {name}'{customer} -H 'X-Expires-In: 4000m'"
        f" -H 'Content-Type: application/json' -d {shlex.quote(json.dumps(CHAT))}",
        f"{command()} ask --protocol kserve {grpc} --class {name}{tenant} {prompt}",
    ]


async def demo(file: Path, settings: FleetSettings, routers: int, say: Callable[[str], None]) -> None:
    """Ends at SIGINT, SIGTERM or SIGHUP, with every process that it started."""
    since = trio.current_time()
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:

            async def stop() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop)
            async with cluster(file, settings, routers) as made:
                ask, curl, grpc = lines(made)
                say(f"ready in {trio.current_time() - since:.1f} s")
                say(f"fleet     {len(made.fleet['engines'])} engines, discovery {made.fleet['discovery']}")
                for router in made.routers:
                    say(f"router    {router.name}: HTTP {router.http}, KServe v2 over gRPC {router.kserve}")
                say("")
                say("In another terminal:")
                say(f"  {ask}")
                say(f"  {curl}")
                say(f"  {grpc}")
                say("")
                say("Ctrl-C ends all of it.")
                await trio.sleep_forever()
    say("ended")


def run(file: Path, settings: FleetSettings, routers: int, say: Callable[[str], None]) -> None:
    trio.run(demo, file, settings, routers, say)
