"""A fleet and routers as processes on loopback, which are started and stopped together."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from .settings import FleetSettings, LabError, router_settings

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0  # from SIGTERM to SIGKILL
PR_SET_PDEATHSIG = 1  # of prctl(2)


def free_port() -> int:
    """Return a free port; a start on it fails if another process takes it first."""
    with socket.create_server((HOST, 0)) as server:
        return int(server.getsockname()[1])


def _parent_death_hook() -> Callable[[], None] | None:
    """Return a hook that makes a child process receive SIGTERM when this process exits, even by SIGKILL.

    It is called in the child before exec, and needs Linux's prctl(2); None on other systems.
    """
    if not sys.platform.startswith("linux"):
        return None
    prctl = ctypes.CDLL(None).prctl

    def set_signal() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGTERM)

    return set_signal


def start_command(
    arguments: list[str], environment: dict[str, str], module: str = "sorreldock", **options: Any
) -> subprocess.Popen[bytes]:
    """Start a command of this program in a session of its own.

    A terminal's Ctrl-C thus signals this process alone, which stops its children. trio's `open_process` isn't
    used, since it starts children from a worker thread: for the kernel, that thread is the parent whose end
    signals them.
    """
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        env=environment,
        start_new_session=True,
        preexec_fn=_parent_death_hook(),
        **options,
    )


async def stop_process(process: subprocess.Popen[bytes], number: int = signal.SIGTERM) -> int:
    """Send a signal to a child, wait for its exit, kill it after a timeout; return its exit status."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)
    with trio.move_on_after(STOP_TIMEOUT_S):
        while (status := process.poll()) is None:
            await trio.sleep(0.01)
        return status
    process.kill()
    return process.wait()


@dataclass
class RouterProcess:
    """One router process, which keeps its name, addresses and files across restarts."""

    name: str
    directory: Path
    http: str
    kserve: str
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, without waiting until it serves."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment["RELAY_CONFIG"] = str(self.directory / f"{self.name}.json")
        # Not an option: without any, the command line's library isn't loaded, as on the platform.
        environment["SORRELDOCK_OPERATOR"] = str(self.directory / f"{self.name}.toml")
        with open(self.directory / f"{self.name}.log", "ab") as log:
            self.process = start_command(
                ["serve"],
                environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def ready(self) -> None:
        """Wait until `GET /up` returns 200; raise LabError with the last log line if it doesn't in time."""
        with trio.move_on_after(READY_TIMEOUT_S):
            while True:
                assert self.process is not None
                if self.process.poll() is not None:
                    break
                if await _is_up(self.http):
                    return
                await trio.sleep(0.02)
        lines = (self.directory / f"{self.name}.log").read_text(errors="replace").splitlines()
        raise LabError(f"router {self.name} did not start: {lines[-1] if lines else 'its log is empty'}")

    async def stop(self) -> None:
        """Stop the process with SIGTERM, if it runs."""
        if self.process is not None:
            await stop_process(self.process)
            self.process = None


async def _is_up(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            return bytes(await stream.receive_some(4096)).startswith(b"HTTP/1.1 200")
    except (OSError, trio.BrokenResourceError):
        return False


@dataclass
class Cluster:
    """A running fleet, as its process describes it, and its routers."""

    settings: FleetSettings
    fleet: dict[str, Any]
    routers: list[RouterProcess] = field(default_factory=list)

    @property
    def http(self) -> list[str]:
        """The addresses at which the routers serve HTTP/1.1."""
        return [router.http for router in self.routers]

    @property
    def kserve(self) -> list[str]:
        """The addresses at which the routers serve KServe v2 over gRPC."""
        return [router.kserve for router in self.routers]

    async def figures(self) -> dict[str, Any]:
        """Return the counts of the fleet's engines (`GET /lab/figures`)."""
        host, _, port = self.fleet["discovery"].rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(b"GET /lab/figures HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            data = b"".join([bytes(part) async for part in stream])
        figures = json.loads(data.partition(b"\r\n\r\n")[2])
        assert isinstance(figures, dict)
        return figures


def _write_router_files(directory: Path, cluster: Cluster, index: int, count: int) -> RouterProcess:
    settings, fleet = cluster.settings, cluster.fleet
    name = f"r{index}"
    router = RouterProcess(name, directory, f"{HOST}:{free_port()}", f"{HOST}:{free_port()}")
    zone = settings.zones[index % len(settings.zones)]
    config = {
        "name": name,
        "listen": router.http,
        "discovery": fleet["discovery"],
        "seed": f"{index + 1:x}",
        "limits": {
            "cores": 1.0,
            "memory_mb": settings.routers.memory_mb,
            "sockets": settings.routers.sockets,
        },
        "known": fleet["known"],
        "settings": router_settings(settings, index, count, zone),
    }
    (directory / f"{name}.json").write_text(json.dumps(config))
    (directory / f"{name}.toml").write_text(
        f'[kserve]\nlisten = "{router.kserve}"\nmodels = ["{settings.model}"]\n'
        f'class = "{settings.classes[0].name}"\n'
        + (f'tenant = "{settings.tenants[0].name}"\n' if settings.tenants else "")
        + '[engines]\nprotocols = ["http", "kserve"]\n[syslog]\nseverity = "notice"\n'
    )
    return router


@asynccontextmanager
async def start_cluster(file: Path, settings: FleetSettings, routers: int) -> AsyncIterator[Cluster]:
    """Start a fleet and routers, yield them when all are ready, and stop them when the block exits."""
    directory = Path(tempfile.mkdtemp(prefix="sorreldock-lab-"))
    fleet: subprocess.Popen[bytes] | None = None
    cluster: Cluster | None = None
    try:
        fleet = start_command(
            ["lab", "fleet", str(file.resolve()), "--json"],
            dict(os.environ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert fleet.stdout is not None
        line = b""
        async with trio.lowlevel.FdStream(os.dup(fleet.stdout.fileno())) as output:
            with trio.move_on_after(READY_TIMEOUT_S):
                while not line.endswith(b"\n") and (more := await output.receive_some(65536)):
                    line += bytes(more)
        if not line.endswith(b"\n"):
            raise LabError(f"the fleet of {file} did not start")
        cluster = Cluster(settings, json.loads(line))
        cluster.routers = [
            _write_router_files(directory, cluster, index, routers) for index in range(routers)
        ]
        async with trio.open_nursery() as nursery:
            for router in cluster.routers:
                nursery.start_soon(_start_router, router)
        yield cluster
    finally:
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for router in cluster.routers if cluster is not None else ():
                    nursery.start_soon(router.stop)
            if fleet is not None:
                await stop_process(fleet)
                for pipe in (fleet.stdin, fleet.stdout):
                    if pipe is not None:
                        pipe.close()
            shutil.rmtree(directory, ignore_errors=True)


async def _start_router(router: RouterProcess) -> None:
    router.start()
    await router.ready()
