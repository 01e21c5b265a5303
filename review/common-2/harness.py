"""Stand-ins and process control for the review's cases 6 to 10.

Everything listens on 127.0.0.1. The routers are started with the `run` command of deploy/balancer.toml. The
engines speak HTTP/1.1 and KServe v2 (gRPC) on one port, as PROTOCOL and README describe them; discovery is
asked, or is the agent of a push deployment.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from sorreldock.kserve import kserve_pb2 as pb  # noqa: E402

HOST = "127.0.0.1"
PREFACE = b"PRI * HTTP/2.0"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVE_PATH = "/v1/chat/completions"

# The settings of the deployment qld-thumb-desc as WIRE quotes them, for a small fleet in one zone.
SETTINGS: dict[str, Any] = {
    "areas": ["brisbane-south"],
    "balancers": 2,
    "categories": [
        {
            "aim_s": 3.0,
            "deadline_s": 10.0,
            "effect": "safe",
            "key_scope": "all",
            "late_share": 0.5,
            "name": "alt-text",
            "points": 5.0,
            "stream": True,
            "window_s": 5.0,
        }
    ],
    "clients": {"marks_retry": True},
    "contract": {
        "answer_slack_s": 0.02,
        "cold_from": 0.12,
        "drain_grace_s": 0.25,
        "fall_multiple": 2.5,
        "must_ask_in_s": 10.0,
        "overload_for_s": 3.0,
        "ramp_time_s": 23.0,
    },
    "costs": {"cross_zone": 0.1, "late_fail": 0.03, "probe": 0.002, "waste": 0.2},
    "counted_by": "work",
    "discovery": "ask",
    "family": "llm",
    "family_info": {"aim_us_per_1000_prompt_tokens": [60000.0], "resume": False, "token_aim_s": [0.06]},
    "kinds": ["gpu-standard"],
    "layer": 0,
    "me": 0,
    "over_share_worth": 0.1,
    "policy_limits": {
        "cancel": True,
        "conn_idle_s": 60.0,
        "connect_timeout_s": 0.2,
        "max_attempts": 6,
        "max_open": 20000,
        "max_retry_after_s": 2.0,
        "parallel_tries": False,
        "peers": False,
        "probes": False,
        "retry_after": True,
        "streams_per_conn": 1,
    },
    "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
    "tenants": [{"name": "state-news", "quota_rps": 100.0, "share": 1.0}],
    "tick_s": 0.005,
    "tiers": ["desc-model"],
    "weights": "nominal",
    "zone": "brisbane-south",
}


class NotRun(Exception):
    """The case could not be played; the script exits with 2."""


def settings(**changes: Any) -> dict[str, Any]:
    """Return a copy of the settings; `category` and `contract` change parts, other names whole keys."""
    made: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    made["categories"][0].update(changes.pop("category", {}))
    made["contract"].update(changes.pop("contract", {}))
    made.update(changes)
    return made


def free_port() -> int:
    with socket.create_server((HOST, 0)) as server:
        return int(server.getsockname()[1])


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._began_at = time.monotonic()
        self(f"disruption: {'on' if TROUBLE else 'off (TROUBLE=0)'}")

    @property
    def now(self) -> float:
        return time.monotonic() - self._began_at

    def __call__(self, text: str) -> None:
        with self._path.open("a") as file:
            print(f"{self.now:8.3f} {text}", file=file)


class RouterProcess:
    """One router, started with the deploy file's `run` command from the root, as the platform does."""

    def __init__(
        self,
        name: str,
        folder: Path,
        config: dict[str, Any],
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name, self.folder, self.config = name, folder, config
        self.listen = config["listen"]
        self.config_file = folder / f"{name}.json"
        self.config_file.write_text(json.dumps(config))
        self.log_file = folder / f"{name}.log"
        temporary = folder / f"{name}-tmp"
        temporary.mkdir(exist_ok=True)
        self.environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "SORRELDOCK_"))},
            "RELAY_CONFIG": str(self.config_file),
            "TMPDIR": str(temporary),
            **(environment or {}),
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def status(self) -> int | None:
        """The exit status, or None while the process runs."""
        assert self.process is not None
        return self.process.poll()

    async def ready(self, within_s: float = 30.0) -> None:
        """Wait until `GET /up` says 200."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.status is not None:
                break
            if await get_status(self.listen, "/up") == 200:
                return
            await asyncio.sleep(0.05)
        raise NotRun(f"router {self.name} was not ready in {within_s} s (exit status {self.status})")

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log(self) -> str:
        return self.log_file.read_text(errors="replace") if self.log_file.exists() else ""

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def get_status(address: str, path: str) -> int:
    """Return the status of a GET, 0 if there is no answer in a second."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            line = await reader.readline()
            writer.close()
            return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0


class Engine:
    """A sound engine that serves both protocols, and counts what it has run by the request's key.

    A request's key is the text between `<` and `>` in its body. The first event follows `first_s` after the
    request's last byte, further ones every `gap_s`. What has begun runs on after its connection closes, as
    BRIEF says of this fleet.
    """

    def __init__(self, uid: str, record: Record, events: int = 4, first_s: float = 0.1, gap_s: float = 0.05):
        self.uid, self.record = uid, record
        self.events, self.first_s, self.gap_s = events, first_s, gap_s
        self.padding = 0  # further characters in each event
        self.rejects = True  # turns requests away while it drains
        self.events_for: Callable[[str], int] = lambda key: self.events  # of an answer over HTTP
        self.probes = False  # whether the deployment allows them
        # Answers a request over HTTP in place of the timing above.
        self.serve_request: Callable[[str, bytes, asyncio.StreamWriter], Awaitable[None]] | None = None
        self.runs: list[tuple[float, str]] = []  # when the last byte arrived, and the key
        self.on_run: Callable[[str], None] = lambda key: None
        self.address = ""
        self.state, self.boot_ms = "Ready", 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()

    @property
    def target(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "brisbane-south",
            "model": "gpu-standard",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    def _begin(self, body: bytes) -> str:
        key = body.partition(b"<")[2].partition(b">")[0].decode() or "?"
        self.runs.append((self.record.now, key))
        self.record(f"engine {self.uid}: last byte of request <{key}> arrived; it runs")
        self.on_run(key)
        return key

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first = await reader.read(65536)
            if first.startswith(PREFACE):
                await self._serve_h2(first, reader, writer)
            elif first:
                await self._serve_http(first, reader, writer)
        except (ConnectionError, h2.exceptions.ProtocolError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_http(
        self, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            while b"\r\n\r\n" not in data:
                more = await reader.read(65536)
                if not more:
                    return
                data += more
            head, _, data = data.partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            fields = {
                k.strip().lower(): v.strip() for k, _, v in (line.partition(b":") for line in lines[1:])
            }
            length = int(fields.get(b"content-length", b"0"))
            while len(data) < length:
                more = await reader.read(65536)
                if not more:
                    return
                data += more
            body, data = data[:length], data[length:]
            if not lines[0].startswith(b"POST"):  # a probe, where the settings allow them
                status = b"200 OK" if self.probes else b"404 Not Found"
                writer.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
                continue
            if self.state != "Ready" and self.rejects:
                writer.write(b"HTTP/1.1 503 Draining\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
                await self.turned_away(body)
                continue
            key = self._begin(body)
            if self.serve_request is not None:
                await self.serve_request(key, body, writer)
                continue
            await asyncio.sleep(self.first_s)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            for number in range(self.events_for(key)):
                if number:
                    await asyncio.sleep(self.gap_s)
                text = f"{key} {number} " + "x" * self.padding
                event = {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]}
                writer.write(chunk(f"data: {json.dumps(event)}\n\n".encode()))
                await writer.drain()
            writer.write(
                chunk(b"data: [DONE]\n\n: Endpoint-Load-Metrics: TEXT eps=0, queue=0\n\n") + b"0\r\n\r\n"
            )
            await writer.drain()
            self.record(f"engine {self.uid}: <{key}> is finished")

    async def turned_away(self, body: bytes) -> None:
        key = body.partition(b"<")[2].partition(b">")[0].decode() or "?"
        self.runs.append((self.record.now, key))
        self.record(f"engine {self.uid}: request <{key}> arrived; turned away, draining")

    async def _serve_h2(
        self, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        wire = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        wire.initiate_connection()
        bodies: dict[int, bytes] = {}
        paths: dict[int, str] = {}
        tasks: set[asyncio.Task[None]] = set()
        while data:
            for event in wire.receive_data(data):
                match event:
                    case h2.events.RequestReceived():
                        paths[event.stream_id] = dict(event.headers)[":path"].rpartition("/")[2]
                        bodies[event.stream_id] = b""
                    case h2.events.DataReceived():
                        bodies[event.stream_id] += event.data
                        wire.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    case h2.events.StreamEnded():
                        number = event.stream_id
                        task = asyncio.create_task(
                            self._answer_h2(wire, writer, number, paths[number], bodies.pop(number))
                        )
                        tasks.add(task)
                        task.add_done_callback(tasks.discard)
                    case _:
                        pass
            writer.write(wire.data_to_send())
            await writer.drain()
            data = await reader.read(65536)

    async def _answer_h2(
        self,
        wire: h2.connection.H2Connection,
        writer: asyncio.StreamWriter,
        number: int,
        method: str,
        body: bytes,
    ) -> None:
        head = [(":status", "200"), ("content-type", "application/grpc")]
        with suppress(h2.exceptions.ProtocolError, ConnectionError):
            if method not in ("ModelInfer", "ModelStreamInfer"):
                wire.send_headers(number, [*head, ("grpc-status", "12")], end_stream=True)
                writer.write(wire.data_to_send())
                return
            key = self._begin(body)
            await asyncio.sleep(self.first_s)
            wire.send_headers(number, head)
            for index in range(self.events if method == "ModelStreamInfer" else 1):
                if index:
                    await asyncio.sleep(self.gap_s)
                text = f"{key} {index} ".encode() + b"x" * self.padding
                response = pb.ModelInferResponse(
                    model_name="desc", raw_output_contents=[len(text).to_bytes(4, "little") + text]
                )
                message = (
                    response
                    if method == "ModelInfer"
                    else pb.ModelStreamInferResponse(infer_response=response)
                ).SerializeToString()
                wire.send_data(number, b"\0" + len(message).to_bytes(4, "big") + message)
                writer.write(wire.data_to_send())
                await writer.drain()
            wire.send_headers(number, [("grpc-status", "0")], end_stream=True)
            writer.write(wire.data_to_send())
            await writer.drain()
            self.record(f"engine {self.uid}: <{key}> is finished")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Discovery:
    """Discovery, or the agent of a push deployment: whole lists and watches, an empty line every 2 s.

    While `silent` is set it says nothing at all, on open connections and on new ones; what it has to say on
    them follows when it is cleared.
    """

    def __init__(self, record: Record, *engines: Engine) -> None:
        self.record, self.engines, self.rev = record, engines, 1
        self.changed = asyncio.Event()
        self.speaking = asyncio.Event()
        self.speaking.set()
        self.calls: list[float] = []
        self.ends: list[float] = []  # when the router has closed a call
        self.told: list[tuple[float, int]] = []  # when a list of which version was written
        self.on_end: Callable[[], None] = lambda: None
        self.address = ""
        self._server: asyncio.Server | None = None

    def listing(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": [engine.target for engine in self.engines]}

    def change(self) -> None:
        self.rev += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = asyncio.create_task(self._watch_end(reader, writer))
        try:
            await ended
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ends.append(self.record.now)
            self.record("discovery: the router has closed its call")
            self.on_end()
            writer.close()

    async def _watch_end(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split(b" ")[1].decode()
        self.calls.append(self.record.now)
        self.record(f"discovery: call {target}")
        answering = asyncio.create_task(self._answer(target, writer))
        try:
            while await reader.read(4096):
                pass
        finally:
            answering.cancel()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            await self.speaking.wait()
            if "watch=1" not in target:
                text = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                changed = self.changed
                self.told.append((self.record.now, self.rev))
                self.record(
                    f"discovery: writes version {self.rev}: "
                    + ", ".join(f"{engine.uid} {engine.state}" for engine in self.engines)
                )
                writer.write(chunk(json.dumps(self.listing()).encode() + b"\n"))
                while not changed.is_set():
                    with suppress(TimeoutError):
                        await asyncio.wait_for(changed.wait(), 2.0)
                    await self.speaking.wait()
                    if not changed.is_set():
                        writer.write(chunk(b"\n"))


class Stage:
    """A case in play: its folder of temporary files, its record, and all that has to be ended."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: list[RouterProcess] = []

    def router(
        self,
        name: str,
        discovery: Discovery,
        made_settings: dict[str, Any],
        operator: str = "",
        environment: dict[str, str] | None = None,
        **config: Any,
    ) -> RouterProcess:
        """Return a router that isn't started yet."""
        environment = dict(environment or {})
        if operator:
            (self.folder / f"{name}.toml").write_text(operator)
            environment["SORRELDOCK_OPERATOR"] = str(self.folder / f"{name}.toml")
        whole = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.listing(),
            "settings": made_settings,
            **config,
        }
        router = RouterProcess(name, self.folder, whole, environment)
        self.routers.append(router)
        return router

    def end(self) -> None:
        for router in self.routers:
            router.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder: str, case: Callable[[Stage], Any], limit_s: float = 100.0) -> None:
    """Run a case, end all its processes, and exit with 0, 1 or 2."""

    async def run() -> None:
        stage, status = Stage(Path(folder)), NOT_RUN

        def stop() -> None:
            stage.end()
            stage.record("ended from outside")
            os._exit(NOT_RUN)

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            async with asyncio.timeout(limit_s):
                status = HELD if await case(stage) else BROKEN
        except NotRun as error:
            stage.record(f"could not run: {error}")
        except Exception as error:
            stage.record(f"could not run: {error!r}")
        finally:
            stage.end()
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status]
        stage.record(f"exit {status}: {verdict}")
        os._exit(status)  # the stand-ins' tasks need no end of their own

    try:
        asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        os._exit(NOT_RUN)
