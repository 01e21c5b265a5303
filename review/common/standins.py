"""Stand-ins for the review's cases: discovery, engines, and a router that is started as the platform does.

Only the standard library is used. All sockets are on 127.0.0.1. The engines and discovery follow the
platform's protocol page: an engine starts on a request once its last byte has arrived, goes on with running
work after a cancel, and answers with a chunked event stream.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PATH = "/v1/chat/completions"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
STARTED_AT = time.monotonic()


class CannotRunError(Exception):
    """Raised when a case can't be played; the script then exits with 2."""


class Record:
    """The record of a run: one line an event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - STARTED_AT:8.3f}  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one zone, one router, streamed classes."""
    return {
        "areas": ["ipswich"],
        "zone": "ipswich",
        "me": 0,
        "balancers": 1,
        "discovery": "ask",
        "tick_s": 0.005,
        "categories": [
            {"name": "alt-text", "aim_s": 3.0, "deadline_s": 10.0, "effect": "safe", "stream": True},
            {"name": "title-suggest", "aim_s": 1.2, "deadline_s": 4.0, "effect": "safe", "stream": True},
        ],
        "policy_limits": {
            "max_attempts": 6,
            "cancel": True,
            "probes": False,
            "retry_after": True,
            "max_retry_after_s": 2.0,
            "connect_timeout_s": 0.2,
            "conn_idle_s": 60.0,
            "parallel_tries": False,
        },
        "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
        "tenants": [{"name": "state-news", "quota_rps": 100.0, "share": 1.0}],
        "contract": {
            "answer_slack_s": 0.02,
            "drain_grace_s": 0.25,
            "cold_from": 0.12,
            "ramp_time_s": 23.0,
            "fall_multiple": 2.5,
            "overload_for_s": 3.0,
            "must_ask_in_s": 10.0,
        },
        **changes,
    }


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of an HTTP message and its fields."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Server:
    """A TCP server on a free port, with a task for each connection."""

    def __init__(self) -> None:
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The cancellation comes at the end of the script alone.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Engine(Server):
    """An engine: it runs each whole request, and streams an answer of a few events."""

    def __init__(self, uid: str, record: Record, first_s: float = 0.02, events: int = 3) -> None:
        super().__init__()
        self.uid, self.record = uid, record
        self.first_s, self.events = first_s, events
        self.state = "Ready"
        self.runs: list[tuple[float, str, bytes]] = []  # when it began, the id, and the body
        self.first_s_of: Callable[[str, bytes], float] = lambda trace_id, body: self.first_s

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "ipswich",
            "model": "m",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def begin(self, trace_id: str, body: bytes) -> None:
        """Record that a request is run from now on."""
        self.runs.append((time.monotonic(), trace_id, body))
        self.record.write(f"engine {self.uid}: runs {trace_id}, body {body.decode()}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", "0")))
            trace_id = fields.get("x-trace-id", "")
            self.begin(trace_id, body)
            await asyncio.sleep(self.first_s_of(trace_id, body))
            head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head)
            for number in range(self.events):
                writer.write(chunk(b'data: {"id":"%b","n":%d}\n\n' % (trace_id.encode(), number)))
                await writer.drain()
            writer.write(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
            await writer.drain()


class Discovery(Server):
    """Discovery: whole lists, and watches that tell changes and send an empty line every 2 s."""

    def __init__(self, record: Record, *engines: Engine) -> None:
        super().__init__()
        self.record, self.engines, self.rev = record, engines, 41
        self.changed_at: dict[str, int] = {}  # the version of each engine's last change
        self.changed = asyncio.Event()
        # Called before an answer; returns False if the call is to be answered with 503.
        self.admit: Callable[[], Awaitable[bool]] | None = None
        self.watches: set[asyncio.StreamWriter] = set()

    def listing(self, after: int | None = None) -> dict[str, Any]:
        is_whole = after is None or after > self.rev
        entries = [
            e.entry() for e in self.engines if is_whole or self.changed_at.get(e.uid, 0) > (after or 0)
        ]
        return {"rev": self.rev, "all": is_whole, "targets": entries}

    def set_state(self, engine: Engine, state: str) -> None:
        engine.state = state
        self.rev += 1
        self.changed_at[engine.uid] = self.rev
        self.record.write(f"discovery: {engine.uid} is {state}, rev {self.rev}")
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_watches(self) -> None:
        for writer in self.watches:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _ = await read_head(reader)
            target = first.split(" ")[1]
            self.record.write(f"discovery: call {target}")
            if self.admit is not None and not await self.admit():
                self.record.write(f"discovery: 503 to {target}")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                continue
            if "watch=1" not in target:
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                continue
            after = int(target.partition("after=")[2] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(writer)
            try:
                await self._watch(writer, after)
            finally:
                self.watches.discard(writer)

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        is_first = True
        while not writer.is_closing():
            changed = self.changed
            if is_first or self.rev > after:
                listing = self.listing(after if after else None)
                writer.write(chunk(json.dumps(listing).encode() + b"\n"))
                self.record.write(f"discovery: wrote rev {self.rev} to a watch")
                after, is_first = self.rev, False
            else:
                writer.write(chunk(b"\n"))
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), 2.0)


class Router:
    """A router, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: str, known: dict[str, Any]) -> None:
        self.record, self.folder = record, folder
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": self.address,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings(),
        }
        self.environment: dict[str, str] = {}
        self.inherited: int | None = None  # descriptor to be inherited under the same number
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, name: str = "router", wait_s: float = 30.0) -> asyncio.subprocess.Process:
        """Start the process and, if `wait_s` is not 0, wait until `GET /up` is answered with 200."""
        folder = self.folder / "tmp"
        folder.mkdir(exist_ok=True)
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {
            k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SORRELDOCK_", "PYTHON"))
        }
        environment |= {"RELAY_CONFIG": str(path), "TMPDIR": str(folder), **self.environment}
        log = (self.folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            pass_fds=() if self.inherited is None else (self.inherited,),
        )
        log.close()
        self.record.write(f"{name}: started as the platform does, pid {process.pid}")
        PROCESSES.append(process)
        self.process = process
        if wait_s:
            await self.wait_up(wait_s)
        return process

    async def wait_up(self, wait_s: float) -> None:
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    self.record.write("router: /up says 200")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError("the router did not become ready")

    def log_text(self, name: str = "router") -> str:
        return (self.folder / f"{name}.log").read_text(errors="replace")


PROCESSES: list[asyncio.subprocess.Process] = []


async def end_processes() -> None:
    for process in PROCESSES:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            await process.wait()


def request_bytes(trace_id: str, rpc_class: str, expires_ms: int, body: bytes = b"") -> bytes:
    """Return a request as a client writes it."""
    body = body or b'{"model":"m","stream":true,"messages":[]}'
    head = (
        f"POST {PATH} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {trace_id}\r\nX-Qos: {rpc_class}\r\n"
        f"X-Customer: state-news\r\nX-Object: s-{trace_id}\r\nX-Expires-In: {expires_ms}m\r\n"
        f"X-Props: prompt_len=100,prefix_len=0,max_out=20\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def main(play: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Play a case, write its record to the file that the first argument names, and exit with its status.

    `play` gets the record, a temporary folder and whether to disturb; it returns whether the rule held.
    """
    record = Record(Path(sys.argv[1]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if has_trouble else 'no'}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(110):
                    held = await play(record, Path(temporary), has_trouble)
                return HELD if held else BROKEN
            except (CannotRunError, TimeoutError) as error:
                record.write(f"could not run: {error!r}")
                return CANNOT_RUN
            finally:
                await end_processes()

    try:
        status = asyncio.run(run())
    except Exception as error:  # a fault of the script itself
        record.write(f"could not run: {error!r}")
        status = CANNOT_RUN
    record.write(f"exit status {status}: {('the rule held', 'the rule was broken', 'could not run')[status]}")
    sys.exit(status)
