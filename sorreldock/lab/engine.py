"""The model of one engine: continuous batching in steps, as large-model servers do it. No I/O; time is an
argument.

A step takes `step_s`, longer with a full batch, and gives each running request whose prompt has been read
one token; within it up to `chunk_tokens` of prompts are read (chunked prefill). Beginnings of prompts that
were read lately are kept in what memory running requests leave, and need not be read again. A cold engine
has a share of its speed that grows in a straight line; offered more than `fall_multiple` of its present
speed over `fall_window_s`, it falls over.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from .settings import EngineSettings


@dataclass(frozen=True, slots=True)
class Job:
    """A request, as an engine sees it; lengths in tokens. `opening` names the shared beginning of the
    prompt.
    """

    name: str
    prompt_tokens: int
    output_tokens: int
    opening: str = ""
    opening_tokens: int = 0


class Verdict(Enum):
    """How an engine takes a request."""

    ACCEPTED = "taken"
    FULL = "queue full"
    DRAINING = "draining"
    FALLEN = "fallen over"
    TOO_LARGE = "larger than the memory"
    ERROR = "error"
    DUPLICATE = "a request of this name is open"


@dataclass(frozen=True, slots=True)
class Output:
    """What one request gained at one moment."""

    name: str
    at: float
    tokens: int
    done: bool
    cached_tokens: int  # of the prompt, which need not be read


@dataclass(slots=True)
class _Running:
    job: Job
    unread: int
    left: int
    kept: int
    new: int = 0


@dataclass(slots=True)
class Load:
    """The load that an engine reports."""

    inflight: int = 0
    queue: int = 0
    util: float = 0.0
    eps: float = 0.0

    def text(self) -> str:
        """The platform's report."""
        return f"TEXT inflight={self.inflight}, queue={self.queue}, util={self.util:.3f}, eps={self.eps:.3f}"


@dataclass
class Engine:
    """A model of an engine that batches requests."""

    settings: EngineSettings
    started_at: float = -math.inf  # long ago: warm
    draining: bool = False
    fallen: bool = False
    waiting: deque[Job] = field(default_factory=deque)
    running: dict[str, _Running] = field(default_factory=dict)
    step_ends_at: float | None = None
    steps: int = 0
    taken: int = 0
    turned_away: int = 0
    errors: int = 0
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _kept_tokens: int = 0
    _offered: deque[tuple[float, float]] = field(default_factory=deque)
    _offered_s: float = 0.0
    _failed_at: deque[float] = field(default_factory=deque)
    _report: Load = field(default_factory=Load)
    _reported_at: float = -math.inf

    # What it is asked.

    def offer(self, now: float, job: Job) -> Verdict:
        """Take a request, or say why not. Nothing but TAKEN has run, or will."""
        verdict = self._judge(now, job)
        if verdict is Verdict.ACCEPTED:
            self.taken += 1
            self.waiting.append(job)
            if self.step_ends_at is None:
                self._begin_step(now)
        elif verdict is Verdict.ERROR:
            self.errors += 1
            self._failed_at.append(now)
        else:
            self.turned_away += 1
        return verdict

    def _judge(self, now: float, job: Job) -> Verdict:
        s = self.settings
        if self.fallen:
            return Verdict.FALLEN
        if self.draining:
            return Verdict.DRAINING
        if job.name in self.running or any(w.name == job.name for w in self.waiting):
            return Verdict.DUPLICATE
        if job.prompt_tokens + job.output_tokens > s.memory_tokens:
            return Verdict.TOO_LARGE
        if s.fail_share and zlib.crc32(job.name.encode()) / 2**32 < s.fail_share:
            return Verdict.ERROR
        if len(self.waiting) >= s.queue and len(self.running) >= s.batch:
            return Verdict.FULL
        if self._falls(now, job):
            self.fall()
            return Verdict.FALLEN
        return Verdict.ACCEPTED

    def work_s(self, job: Job) -> float:
        """Seconds of a whole warm engine that a request takes, nothing of it being kept."""
        s = self.settings
        return job.prompt_tokens / s.prompt_tokens_per_s + job.output_tokens * s.step_s / s.batch

    def _falls(self, now: float, job: Job) -> bool:
        s = self.settings
        share = self.speed_share(now)
        if share >= 1.0:
            self._offered.clear()
            self._offered_s = 0.0
            return False
        work = self.work_s(job)
        self._offered.append((now, work))
        self._offered_s += work
        while self._offered and self._offered[0][0] <= now - s.fall_window_s:
            self._offered_s -= self._offered.popleft()[1]
        return self._offered_s > s.fall_multiple * share * s.fall_window_s

    def fall(self) -> list[str]:
        """Fall over: all that it held is lost. Returns the names."""
        names = [job.name for job in self.waiting] + list(self.running)
        self.fallen = True
        self.waiting.clear()
        self.running.clear()
        self.step_ends_at = None
        return names

    def cancel(self, now: float, name: str) -> bool:
        """The client has gone. What runs goes on, as real servers' batches do; whether what waits is dropped
        the settings say. Tells whether it was dropped.
        """
        if self.settings.drop_cancelled:
            for job in self.waiting:
                if job.name == name:
                    self.waiting.remove(job)
                    return True
        return False

    def drain(self) -> None:
        """Complete what it holds, and take nothing new."""
        self.draining = True

    # Time.

    def speed_share(self, now: float) -> float:
        """Of its warm speed, that it has now."""
        s = self.settings
        if s.warm_up_s <= 0 or now >= self.started_at + s.warm_up_s:
            return 1.0
        return s.cold_share + (1.0 - s.cold_share) * max(now - self.started_at, 0.0) / s.warm_up_s

    def next_at(self) -> float | None:
        """When something happens next, if nothing else is asked; None: never."""
        return self.step_ends_at

    def advance(self, now: float) -> list[Output]:
        """Let time pass up to `now`; what came of it, in order."""
        out: list[Output] = []
        while self.step_ends_at is not None and self.step_ends_at <= now:
            out += self._end_step(self.step_ends_at)
        return out

    def _admit(self) -> None:
        s = self.settings
        while self.waiting and len(self.running) < s.batch:
            job = self.waiting[0]
            held = sum(r.job.prompt_tokens + r.job.output_tokens for r in self.running.values())
            if held + job.prompt_tokens + job.output_tokens > s.memory_tokens:
                return
            self.waiting.popleft()
            kept = min(self._kept.get(job.opening, 0), job.opening_tokens, max(job.prompt_tokens - 1, 0))
            if kept:
                self._kept.move_to_end(job.opening)
            unread = max(job.prompt_tokens - kept, 1)
            self.running[job.name] = _Running(job, unread, max(job.output_tokens, 1), kept)

    def _begin_step(self, now: float) -> None:
        self._admit()
        if not self.running:
            self.step_ends_at = None
            return
        s = self.settings
        room, read = s.chunk_tokens, 0
        for running in self.running.values():
            running.new = 0
            if running.unread and room > 0:
                part = min(running.unread, room)
                running.unread -= part
                room -= part
                read += part
                if not running.unread:
                    running.new = 1
            elif not running.unread:
                running.new = 1
        crowd = 1.0 + s.crowd * len(self.running) / s.batch
        took = (s.step_s * crowd + read / s.prompt_tokens_per_s) * s.slow / self.speed_share(now)
        self.step_ends_at = now + took
        self.steps += 1

    def _end_step(self, at: float) -> list[Output]:
        out = []
        for name, running in list(self.running.items()):
            if not running.new:
                continue
            running.left -= running.new
            done = running.left <= 0
            out.append(Output(name, at, running.new, done, running.kept))
            if done:
                del self.running[name]
                self._keep(running.job)
        self._begin_step(at)
        return out

    def _keep(self, job: Job) -> None:
        """Keep the opening that was read, the oldest others giving way."""
        if not job.opening or job.opening_tokens <= 0:
            return
        self._kept_tokens += job.opening_tokens - self._kept.pop(job.opening, 0)
        self._kept[job.opening] = job.opening_tokens
        held = sum(r.job.prompt_tokens + r.job.output_tokens for r in self.running.values())
        while self._kept and self._kept_tokens + held > self.settings.memory_tokens:
            self._kept_tokens -= self._kept.popitem(last=False)[1]

    def report(self, now: float) -> Load:
        """The load, as old as `report_every_s` at most: real reports lag."""
        if now - self._reported_at >= self.settings.report_every_s:
            while self._failed_at and self._failed_at[0] <= now - 1.0:
                self._failed_at.popleft()
            self._report = Load(
                len(self.running) + len(self.waiting),
                len(self.waiting),
                len(self.running) / self.settings.batch,
                float(len(self._failed_at)),
            )
            self._reported_at = now
        return self._report
