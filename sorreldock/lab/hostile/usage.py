"""The memory, processor time and descriptors of a process, read from Linux's /proc."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path

import trio

SAMPLE_INTERVAL_S = 0.05
KB_PER_MB = 1024


@dataclass(slots=True)
class Usage:
    """The highest values of a run; `alive` tells whether the process still ran at its end."""

    anonymous_mb: float = 0.0
    resident_mb: float = 0.0
    descriptors: int = 0
    cpu_s: float = 0.0
    alive: bool = True
    idle_mb: float = 0.0  # anonymous memory at the first sample
    samples: list[float] = field(default_factory=list)


def _status_mb(pid: int) -> dict[str, float]:
    fields = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if value.endswith(" kB"):
            fields[name] = int(value.split()[0]) / KB_PER_MB
    return fields


def peak_memory_mb(pid: int) -> float:
    """Return the highest resident memory of a process so far; 0 if it has ended."""
    try:
        return _status_mb(pid).get("VmHWM", 0.0)
    except (FileNotFoundError, ProcessLookupError):
        return 0.0


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def watch_usage(pid: int, usage: Usage) -> None:
    """Sample the process until it has ended or this task is cancelled."""
    while True:
        try:
            status = _status_mb(pid)
            if "RssAnon" not in status:  # a zombie
                raise ProcessLookupError
            usage.anonymous_mb = max(usage.anonymous_mb, status["RssAnon"])
            usage.resident_mb = max(usage.resident_mb, status["VmRSS"])
            usage.idle_mb = usage.idle_mb or status["RssAnon"]
            usage.samples.append(status["RssAnon"])
            usage.descriptors = max(usage.descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            usage.cpu_s = _cpu_s(pid)
        except (FileNotFoundError, ProcessLookupError):
            usage.alive = False
            return
        await trio.sleep(SAMPLE_INTERVAL_S)
