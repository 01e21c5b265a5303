"""Router processes of the soak: started, told to end, killed and started again at their addresses."""

from __future__ import annotations

import json
import os
import signal
import subprocess
from pathlib import Path
from typing import Any

import trio

from ..processes import free_port, start_command
from . import system_calls
from .records import Life, Records

FAULTY_MODULE = "sorreldock.lab.soak.system_calls"
START_S = 20.0
POLL_S = 0.02

# A deployment in the platform's form: short deadlines, no probes, several zones.
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
    """One router, which keeps its name and address through restarts."""

    def __init__(
        self,
        name: str,
        host: str,
        folder: Path,
        config: dict[str, Any],
        records: Records,
        faulty_calls: dict[str, Any] | None = None,
    ) -> None:
        self.name = name
        self.address = f"{host}:{free_port()}"  # on a host of its own: no dial of others takes the port
        self.log = folder / f"{name}.log"
        self._records = records
        self._process: subprocess.Popen[bytes] | None = None
        self._life: Life | None = None
        self._serving = False
        path = folder / f"{name}.json"
        path.write_text(json.dumps({**config, "name": name, "listen": self.address}))
        self._environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        self._environment["RELAY_CONFIG"] = str(path)
        self._module = "sorreldock"
        if faulty_calls:
            self._module = FAULTY_MODULE
            self._environment[system_calls.PLAN] = json.dumps(faulty_calls)

    @property
    def running(self) -> bool:
        """Whether a process serves and was not told to end."""
        return self._serving

    async def start(self) -> None:
        """Start a process and wait until it serves."""
        seen = self.log.read_bytes().count(b"PHASE - serving") if self.log.exists() else 0
        with open(self.log, "ab") as log:
            self._process = start_command(
                ["serve"], self._environment, self._module, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self._life = Life(self.name, trio.current_time())
        self._records.lives.append(self._life)
        with trio.fail_after(START_S):
            while self.log.read_bytes().count(b"PHASE - serving") == seen:
                if self._process.poll() is not None:
                    raise RuntimeError(f"{self.name} did not start: {self.log.read_text()[-300:]}")
                await trio.sleep(POLL_S)
        self._serving = True

    def signal(self, number: int) -> None:
        """Send a signal to the process, if there is one."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def end(self, kill_after_s: float) -> None:
        """SIGTERM, and SIGKILL after so long if it still runs."""
        process, life = self._process, self._life
        if process is None or life is None:
            return
        self._serving = False
        life.told_to_end_at = trio.current_time()
        self.signal(signal.SIGTERM)
        with trio.move_on_after(kill_after_s):
            while process.poll() is None:
                await trio.sleep(POLL_S)
        await self.kill()

    async def kill(self) -> None:
        """SIGKILL, if it still runs, and wait for its end."""
        self._serving = False
        process, life = self._process, self._life
        if process is None or life is None:
            return
        if process.poll() is None:
            life.killed_at = trio.current_time()
            process.kill()
        with trio.CancelScope(shield=True):
            while process.poll() is None:  # not `wait`, which would stop all clocks of this process
                await trio.sleep(POLL_S)
        life.status, life.ended_at, self._process = process.returncode, trio.current_time(), None

    def check(self) -> None:
        """Note a process that has ended by itself."""
        if self._process is not None and self._life is not None and self._life.told_to_end_at is None:
            self._life.status = self._process.poll()
