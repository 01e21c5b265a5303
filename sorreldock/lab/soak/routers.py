"""Router processes of the soak, which are stopped, killed and restarted at their addresses."""

from __future__ import annotations

import json
import math
import os
import signal
import subprocess
from pathlib import Path
from typing import Any

import trio

from ..hostile.usage import peak_memory_mb
from ..processes import free_port, start_command
from . import system_calls
from .records import ProcessRun, Records

FAULTY_CALLS_MODULE = "sorreldock.lab.soak.system_calls"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02

# A deployment's settings in the platform's format: short deadlines, no probes, several zones.
SETTINGS: dict[str, Any] = {
    "discovery": "ask",
    "tick_s": 0.002,
    "categories": [
        {"name": "alt-text", "aim_s": 1.0, "deadline_s": 3.0, "stream": True},
        {"name": "title-suggest", "aim_s": 0.5, "deadline_s": 2.0, "stream": True},
    ],
    "policy_limits": {
        "max_attempts": 6,
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after_s": 2.0,
        "connect_timeout_s": 0.3,
        "conn_idle_s": 4.0,
    },
    "telemetry": {"fields": ["errors_per_s", "backlog"], "via": "answers"},
    "tenants": [{"name": "acme", "quota_rps": 5.0, "share": 1.0}],
    "contract": {
        "drain_grace_s": 0.25,
        "cold_from": 0.12,
        "ramp_time_s": 5.0,
        "fall_multiple": 2.5,
        "overload_for_s": 3.0,
        "must_ask_in_s": 2.0,
    },
}


class RouterProcess:
    """One router, which keeps its name and address across restarts."""

    def __init__(
        self,
        name: str,
        host: str,
        folder: Path,
        config: dict[str, Any],
        records: Records,
        faulty_calls: dict[str, Any] | None = None,
        memory_limit_mb: float = 0.0,
    ) -> None:
        self.name = name
        # Each router has its own IP address, so that no outgoing connection of others takes the port.
        self.address = f"{host}:{free_port()}"
        self.log = folder / f"{name}.log"
        self._records = records
        self._memory_limit_mb = memory_limit_mb
        self._process: subprocess.Popen[bytes] | None = None
        self._run: ProcessRun | None = None
        self._serving = False
        path = folder / f"{name}.json"
        path.write_text(json.dumps({**config, "name": name, "listen": self.address}))
        self._environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        self._environment["RELAY_CONFIG"] = str(path)
        self._module = "sorreldock"
        if faulty_calls:
            self._module = FAULTY_CALLS_MODULE
            self._environment[system_calls.PLAN_VARIABLE] = json.dumps(faulty_calls)

    @property
    def is_serving(self) -> bool:
        """Whether a process serves and was not signalled to exit."""
        return self._serving

    async def start(self) -> None:
        """Start a process and wait until its log reports that it serves; RuntimeError if it exits first."""
        previous_starts = self.log.read_bytes().count(b"PHASE - serving") if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self._process = start_command(
                ["serve"], self._environment, self._module, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._run = ProcessRun(self.name, trio.current_time(), memory_limit_mb=self._memory_limit_mb)
        self._records.process_runs.append(self._run)
        with trio.fail_after(START_TIMEOUT_S):
            while self.log.read_bytes().count(b"PHASE - serving") == previous_starts:
                if self._process.poll() is not None:
                    raise RuntimeError(f"{self.name} did not start: {self.log.read_text()[-300:]}")
                await trio.sleep(POLL_INTERVAL_S)
        self._serving = True

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def peak_memory_mb(self) -> float:
        """The highest resident memory of the running process so far; 0 without one."""
        return 0.0 if self._process is None else peak_memory_mb(self._process.pid)

    async def stop(self, kill_after_s: float, again_s: float = math.inf) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after `kill_after_s`.

        SIGHUP and SIGTERM are sent again every `again_s`.
        """
        process, run = self._process, self._run
        if process is None or run is None:
            return
        self._serving = False
        run.terminated_at = trio.current_time()
        self.signal(signal.SIGTERM)
        next_at = trio.current_time() + again_s
        with trio.move_on_after(kill_after_s):
            while process.poll() is None:
                await trio.sleep(POLL_INTERVAL_S)
                run.peak_memory_mb = max(run.peak_memory_mb, self.peak_memory_mb)
                if trio.current_time() >= next_at:
                    next_at = trio.current_time() + again_s
                    self.signal(signal.SIGHUP)
                    self.signal(signal.SIGTERM)
        await self.kill()

    async def kill(self) -> None:
        """Send SIGKILL if the process still runs, and wait for its exit."""
        self._serving = False
        process, run = self._process, self._run
        if process is None or run is None:
            return
        run.peak_memory_mb = max(run.peak_memory_mb, self.peak_memory_mb)
        if process.poll() is None:
            run.killed_at = trio.current_time()
            process.kill()
        with trio.CancelScope(shield=True):
            while process.poll() is None:  # `wait` would block this process's event loop
                await trio.sleep(POLL_INTERVAL_S)
        run.status, run.ended_at, self._process = process.returncode, trio.current_time(), None

    def record_early_exit(self) -> None:
        """Record the exit status of a process that has exited without SIGTERM."""
        if self._process is not None and self._run is not None and self._run.terminated_at is None:
            self._run.status = self._process.poll()
