"""A fleet and real routers as processes on loopback: started together, ended together, none left behind."""

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
READY_S = 15.0
STOP_S = 20.0  # then SIGKILL
PR_SET_PDEATHSIG = 1


def free_port() -> int:
    """A port that nobody listens on. Another process may take it before it is used; the start then fails."""
    with socket.create_server((HOST, 0)) as made:
        return int(made.getsockname()[1])


def _die_with_parent() -> Callable[[], None] | None:
    """For a child before it runs: it ends when this process does, even by SIGKILL (Linux prctl(2))."""
    if not sys.platform.startswith("linux"):
        return None
    prctl = ctypes.CDLL(None).prctl

    def tie() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGTERM)

    return tie


def start_command(
    words: list[str], environment: dict[str, str], module: str = "sorreldock", **options: Any
) -> subprocess.Popen[bytes]:
    """Start a command line in a session of its own.

    A terminal's Ctrl-C reaches this process alone, which ends its children.

    Not trio's `open_process`: it starts children from a worker thread, and to the kernel that thread is the
    parent whose death they are tied to.
    """
    return subprocess.Popen(
        [sys.executable, "-m", module, *words],
        cwd=ROOT,
        env=environment,
        start_new_session=True,
        preexec_fn=_die_with_parent(),
        **options,
    )


async def end(process: subprocess.Popen[bytes], number: int = signal.SIGTERM) -> int:
    """Tell a child to stop, wait, and kill it if it does not; its exit status."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)
    with trio.move_on_after(STOP_S):
        while (status := process.poll()) is None:
            await trio.sleep(0.01)
        return status
    process.kill()
    return process.wait()


@dataclass
class RouterProcess:
    """One real router, which keeps its name, addresses and files through restarts."""

    name: str
    directory: Path
    http: str
    kserve: str
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment["RELAY_CONFIG"] = str(self.directory / f"{self.name}.json")
        with open(self.directory / f"{self.name}.log", "ab") as log:
            self.process = start_command(
                ["serve", "--operator", str(self.directory / f"{self.name}.toml")],
                environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def ready(self) -> None:
        """Wait until `GET /up` is 200; LabError with the log's last line if it never is."""
        with trio.move_on_after(READY_S):
            while True:
                assert self.process is not None
                if self.process.poll() is not None:
                    break
                if await _up(self.http):
                    return
                await trio.sleep(0.02)
        lines = (self.directory / f"{self.name}.log").read_text(errors="replace").splitlines()
        raise LabError(f"router {self.name} did not start: {lines[-1] if lines else 'it said nothing'}")

    async def stop(self) -> None:
        if self.process is not None:
            await end(self.process)
            self.process = None


async def _up(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            return bytes(await stream.receive_some(4096)).startswith(b"HTTP/1.1 200")
    except (OSError, trio.BrokenResourceError):
        return False


@dataclass
class Cluster:
    """A fleet process and its routers."""

    settings: FleetSettings
    fleet: dict[str, Any]
    routers: list[RouterProcess] = field(default_factory=list)

    @property
    def http(self) -> list[str]:
        return [router.http for router in self.routers]

    @property
    def kserve(self) -> list[str]:
        return [router.kserve for router in self.routers]

    async def figures(self) -> dict[str, Any]:
        """What the engines have seen (`GET /lab/figures` of the fleet)."""
        host, _, port = self.fleet["discovery"].rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(b"GET /lab/figures HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            data = b"".join([bytes(part) async for part in stream])
        made = json.loads(data.partition(b"\r\n\r\n")[2])
        assert isinstance(made, dict)
        return made


def _write(directory: Path, cluster: Cluster, index: int, count: int) -> RouterProcess:
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
async def cluster(file: Path, settings: FleetSettings, routers: int) -> AsyncIterator[Cluster]:
    """A fleet and this many routers, ready; all of them have ended when the block is left."""
    directory = Path(tempfile.mkdtemp(prefix="sorreldock-lab-"))
    fleet: subprocess.Popen[bytes] | None = None
    made: Cluster | None = None
    try:
        fleet = start_command(
            ["lab", "fleet", str(file.resolve()), "--json"],
            dict(os.environ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert fleet.stdout is not None
        line = b""
        async with trio.lowlevel.FdStream(os.dup(fleet.stdout.fileno())) as said:
            with trio.move_on_after(READY_S):
                while not line.endswith(b"\n") and (more := await said.receive_some(65536)):
                    line += bytes(more)
        if not line.endswith(b"\n"):
            raise LabError(f"the fleet of {file} did not start")
        made = Cluster(settings, json.loads(line))
        made.routers = [_write(directory, made, index, routers) for index in range(routers)]
        async with trio.open_nursery() as nursery:
            for router in made.routers:
                nursery.start_soon(_start_ready, router)
        yield made
    finally:
        with trio.CancelScope(shield=True):
            async with trio.open_nursery() as nursery:
                for router in made.routers if made is not None else ():
                    nursery.start_soon(router.stop)
            if fleet is not None:
                await end(fleet)
                for pipe in (fleet.stdin, fleet.stdout):
                    if pipe is not None:
                        pipe.close()
            shutil.rmtree(directory, ignore_errors=True)


async def _start_ready(router: RouterProcess) -> None:
    router.start()
    await router.ready()
