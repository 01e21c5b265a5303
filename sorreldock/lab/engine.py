"""A model of one engine with continuous batching in steps, as servers of large language models have it.

It does no I/O, and time is an argument. A step takes `step_s`, longer with a full batch, and generates one
token for each running request whose prompt has been read; within it, up to `chunk_tokens` of prompts are
read (chunked prefill). Shared prefixes of recent prompts are cached in the memory that running requests leave
free, and aren't read again. A cold engine has a share of its speed that grows linearly during warm-up; if it
is offered more than `fall_multiple` of its present speed over `fall_window_s`, it falls over: it loses all
requests and accepts none.
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
    """A request to an engine, with lengths in tokens; `shared_prefix` identifies the start of the prompt."""

    name: str
    prompt_tokens: int
    output_tokens: int
    shared_prefix: str = ""
    shared_prefix_tokens: int = 0


class Verdict(Enum):
    """An engine's decision on a request; the value is the text of the error that it sends."""

    ACCEPTED = "taken"
    FULL = "queue full"
    DRAINING = "draining"
    FALLEN = "fallen over"
    TOO_LARGE = "larger than the memory"
    ERROR = "error"
    DUPLICATE = "a request of this name is open"


@dataclass(frozen=True, slots=True)
class Output:
    """The tokens that one step generated for a request."""

    name: str
    at: float
    tokens: int
    done: bool
    cached_tokens: int  # of the prompt, from the cache of prefixes


@dataclass(slots=True)
class _Running:
    job: Job
    unread_tokens: int
    remaining_tokens: int
    cached_tokens: int
    new_tokens: int = 0


@dataclass(slots=True)
class Load:
    """The load that an engine reports: requests in flight, queue length, utilization, errors per second."""

    inflight: int = 0
    queue: int = 0
    util: float = 0.0
    eps: float = 0.0

    def text(self) -> str:
        """Return the report in the platform's text format."""
        return f"TEXT inflight={self.inflight}, queue={self.queue}, util={self.util:.3f}, eps={self.eps:.3f}"


@dataclass
class Engine:
    """A model of an engine that runs requests in batches."""

    settings: EngineSettings
    started_at: float = -math.inf  # the default is long ago, so that the engine is warm
    draining: bool = False
    fallen: bool = False
    waiting: deque[Job] = field(default_factory=deque)
    running: dict[str, _Running] = field(default_factory=dict)
    step_ends_at: float | None = None
    steps: int = 0
    accepted: int = 0
    rejected: int = 0
    errors: int = 0
    _prefix_cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _prefix_cache_tokens: int = 0
    _offered_work: deque[tuple[float, float]] = field(default_factory=deque)
    _offered_work_s: float = 0.0
    _error_times: deque[float] = field(default_factory=deque)
    _last_report: Load = field(default_factory=Load)
    _reported_at: float = -math.inf

    # Requests.

    def offer(self, now: float, job: Job) -> Verdict:
        """Accept a request, or return why not; only a request that is ACCEPTED runs."""
        verdict = self._decide(now, job)
        if verdict is Verdict.ACCEPTED:
            self.accepted += 1
            self.waiting.append(job)
            if self.step_ends_at is None:
                self._begin_step(now)
        elif verdict is Verdict.ERROR:
            self.errors += 1
            self._error_times.append(now)
        else:
            self.rejected += 1
        return verdict

    def _decide(self, now: float, job: Job) -> Verdict:
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
        if self._is_overloaded_while_cold(now, job):
            self.fall_over()
            return Verdict.FALLEN
        return Verdict.ACCEPTED

    def work_s(self, job: Job) -> float:
        """Return the seconds of a whole warm engine that a request takes without cached tokens."""
        s = self.settings
        return job.prompt_tokens / s.prompt_tokens_per_s + job.output_tokens * s.step_s / s.batch

    def _is_overloaded_while_cold(self, now: float, job: Job) -> bool:
        s = self.settings
        share = self.speed_share(now)
        if share >= 1.0:
            self._offered_work.clear()
            self._offered_work_s = 0.0
            return False
        work = self.work_s(job)
        self._offered_work.append((now, work))
        self._offered_work_s += work
        while self._offered_work and self._offered_work[0][0] <= now - s.fall_window_s:
            self._offered_work_s -= self._offered_work.popleft()[1]
        return self._offered_work_s > s.fall_multiple * share * s.fall_window_s

    def fall_over(self) -> list[str]:
        """Fall over, and return the names of the requests that are lost."""
        names = [job.name for job in self.waiting] + list(self.running)
        self.fallen = True
        self.waiting.clear()
        self.running.clear()
        self.step_ends_at = None
        return names

    def cancel(self, now: float, name: str) -> bool:
        """Cancel a request whose client has disconnected, and return whether it was dropped.

        A waiting request is dropped if `drop_cancelled` is set; a running one completes, as in the batches of
        real servers.
        """
        if self.settings.drop_cancelled:
            for job in self.waiting:
                if job.name == name:
                    self.waiting.remove(job)
                    return True
        return False

    def drain(self) -> None:
        """Accept no new requests; those that were accepted complete."""
        self.draining = True

    # Time.

    def speed_share(self, now: float) -> float:
        """Return the present share of the warm speed, from 0 to 1."""
        s = self.settings
        if s.warm_up_s <= 0 or now >= self.started_at + s.warm_up_s:
            return 1.0
        return s.cold_share + (1.0 - s.cold_share) * max(now - self.started_at, 0.0) / s.warm_up_s

    def next_at(self) -> float | None:
        """Return when the current step ends; None while the engine is idle."""
        return self.step_ends_at

    def advance(self, now: float) -> list[Output]:
        """Advance the model to `now`, and return the outputs of the steps that have ended, in order."""
        outputs: list[Output] = []
        while self.step_ends_at is not None and self.step_ends_at <= now:
            outputs += self._end_step(self.step_ends_at)
        return outputs

    def _admit(self) -> None:
        s = self.settings
        while self.waiting and len(self.running) < s.batch:
            job = self.waiting[0]
            memory_in_use = sum(r.job.prompt_tokens + r.job.output_tokens for r in self.running.values())
            if memory_in_use + job.prompt_tokens + job.output_tokens > s.memory_tokens:
                return
            self.waiting.popleft()
            cached_tokens = min(
                self._prefix_cache.get(job.shared_prefix, 0),
                job.shared_prefix_tokens,
                max(job.prompt_tokens - 1, 0),
            )
            if cached_tokens:
                self._prefix_cache.move_to_end(job.shared_prefix)
            unread_tokens = max(job.prompt_tokens - cached_tokens, 1)
            self.running[job.name] = _Running(job, unread_tokens, max(job.output_tokens, 1), cached_tokens)

    def _begin_step(self, now: float) -> None:
        self._admit()
        if not self.running:
            self.step_ends_at = None
            return
        s = self.settings
        free_tokens, read_tokens = s.chunk_tokens, 0
        for running in self.running.values():
            running.new_tokens = 0
            if running.unread_tokens and free_tokens > 0:
                count = min(running.unread_tokens, free_tokens)
                running.unread_tokens -= count
                free_tokens -= count
                read_tokens += count
                if not running.unread_tokens:
                    running.new_tokens = 1
            elif not running.unread_tokens:
                running.new_tokens = 1
        batch_factor = 1.0 + s.crowd * len(self.running) / s.batch
        duration_s = (
            (s.step_s * batch_factor + read_tokens / s.prompt_tokens_per_s) * s.slow / self.speed_share(now)
        )
        self.step_ends_at = now + duration_s
        self.steps += 1

    def _end_step(self, at: float) -> list[Output]:
        outputs = []
        for name, running in list(self.running.items()):
            if not running.new_tokens:
                continue
            running.remaining_tokens -= running.new_tokens
            done = running.remaining_tokens <= 0
            outputs.append(Output(name, at, running.new_tokens, done, running.cached_tokens))
            if done:
                del self.running[name]
                self._cache_prefix(running.job)
        self._begin_step(at)
        return outputs

    def _cache_prefix(self, job: Job) -> None:
        """Cache the shared prefix of a prompt, evicting those used least recently if memory is short."""
        if not job.shared_prefix or job.shared_prefix_tokens <= 0:
            return
        self._prefix_cache_tokens += job.shared_prefix_tokens - self._prefix_cache.pop(job.shared_prefix, 0)
        self._prefix_cache[job.shared_prefix] = job.shared_prefix_tokens
        memory_in_use = sum(r.job.prompt_tokens + r.job.output_tokens for r in self.running.values())
        while self._prefix_cache and self._prefix_cache_tokens + memory_in_use > self.settings.memory_tokens:
            self._prefix_cache_tokens -= self._prefix_cache.popitem(last=False)[1]

    def report(self, now: float) -> Load:
        """Return the load, at most `report_every_s` old: the reports of real servers lag as well."""
        if now - self._reported_at >= self.settings.report_every_s:
            while self._error_times and self._error_times[0] <= now - 1.0:
                self._error_times.popleft()
            self._last_report = Load(
                len(self.running) + len(self.waiting),
                len(self.waiting),
                len(self.running) / self.settings.batch,
                float(len(self._error_times)),
            )
            self._reported_at = now
        return self._last_report
