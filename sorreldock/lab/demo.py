"""`sorreldock demo`: an emulated fleet and router processes, until Ctrl-C."""

from __future__ import annotations

import json
import os
import shlex
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import trio

from .processes import Cluster, start_cluster
from .settings import FleetSettings

EXAMPLE_CHAT = {
    "model": "alt-text",
    "stream": True,
    "max_tokens": 40,
    "messages": [{"role": "user", "content": "Describe the thumbnail of a flooded main street."}],
}


def program_command() -> str:
    """Return the command line with which the user started this program."""
    return os.environ.get("SORRELDOCK_RUN") or f"{shlex.quote(sys.executable)} -m sorreldock"


def example_commands(cluster: Cluster) -> list[str]:
    """Return commands that can be pasted into another terminal."""
    class_name, tenants = cluster.settings.classes[0].name, cluster.settings.tenants
    tenant = f" --tenant {tenants[0].name}" if tenants else ""
    customer = f" -H 'X-Customer: {tenants[0].name}'" if tenants else ""
    prompt = shlex.quote(str(EXAMPLE_CHAT["messages"][0]["content"]))  # type: ignore[index]
    routers = " ".join(f"--router {address}" for address in cluster.http)
    grpc = " ".join(f"--router {address}" for address in cluster.kserve)
    return [
        f"{program_command()} ask {routers} --class {class_name}{tenant} {prompt}",
        f"curl -sN http://{cluster.http[0]}/v1/chat/completions -H 'X-Trace-Id: '$RANDOM$RANDOM"
        f" -H 'X-Qos: {class_name}'{customer} -H 'X-Expires-In: 4000m'"
        f" -H 'Content-Type: application/json' -d {shlex.quote(json.dumps(EXAMPLE_CHAT))}",
        f"{program_command()} ask --protocol kserve {grpc} --class {class_name}{tenant} {prompt}",
    ]


async def demo(file: Path, settings: FleetSettings, routers: int, show: Callable[[str], None]) -> None:
    """Run the demo until SIGINT, SIGTERM or SIGHUP, then stop every process that it started."""
    started_at = trio.current_time()
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:

            async def stop() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop)
            async with start_cluster(file, settings, routers) as cluster:
                ask, curl, grpc = example_commands(cluster)
                show(f"ready in {trio.current_time() - started_at:.1f} s")
                show(
                    f"fleet     {len(cluster.fleet['engines'])} engines, "
                    f"discovery {cluster.fleet['discovery']}"
                )
                for router in cluster.routers:
                    show(f"router    {router.name}: HTTP {router.http}, KServe v2 over gRPC {router.kserve}")
                show("")
                show("In another terminal:")
                show(f"  {ask}")
                show(f"  {curl}")
                show(f"  {grpc}")
                show("")
                show("Ctrl-C stops all of it.")
                await trio.sleep_forever()
    show("stopped")


def run(file: Path, settings: FleetSettings, routers: int, show: Callable[[str], None]) -> None:
    """Run the demo, and pass each line of its output to `show`."""
    trio.run(demo, file, settings, routers, show)
