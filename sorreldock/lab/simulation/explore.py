"""Exploration of many seeds in several processes; a crash of a worker process becomes a violation."""

from __future__ import annotations

import faulthandler
import gc
import hashlib
import multiprocessing
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from typing import Any

from .mutants import mutated
from .runner import run_scenario
from .scenario import Scenario, draw

SEEDS_PER_BATCH = 8  # sent to a worker at a time
WorkerMain = Callable[[Connection, str], None]
MAX_SCENARIO_WALL_S = 120.0  # real time for one scenario, after which its process is ended
MAX_CRASHES = 20


@dataclass(slots=True)
class ScenarioResult:
    """The result of one scenario, as it is sent between processes."""

    seed: int
    digest: str
    rpcs: int
    attempts: int
    virtual_s: float
    violations: list[dict[str, Any]]
    faults: dict[str, int]


@dataclass
class Report:
    """The results of many scenarios."""

    wall_s: float = 0.0
    results: dict[int, ScenarioResult] = field(default_factory=dict)

    def figures(self) -> dict[str, Any]:
        """Return the totals; `digest` covers all traces in the order of seeds, not of processes."""
        ordered = [self.results[seed] for seed in sorted(self.results)]
        digest = hashlib.blake2b(digest_size=16)
        faults: Counter[str] = Counter()
        for result in ordered:
            digest.update(f"{result.seed} {result.digest}\n".encode())
            faults.update(result.faults)
        return {
            "scenarios": len(ordered),
            "rpcs": sum(r.rpcs for r in ordered),
            "attempts": sum(r.attempts for r in ordered),
            "virtual_s": round(sum(r.virtual_s for r in ordered), 3),
            "wall_s": round(self.wall_s, 2),
            "violations": [v for r in ordered for v in r.violations],
            "faults": dict(sorted(faults.items())),
            "digest": digest.hexdigest(),
        }


@contextmanager
def frozen_heap() -> Iterator[None]:
    """Exclude the objects that exist now from the garbage collections between scenarios."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def explore_scenario(scenario: Scenario) -> ScenarioResult:
    """Run one scenario in this process; violations come with the last steps on the connections concerned."""
    result = run_scenario(scenario)
    if result.violations:  # run it again with its trace; the second run is identical
        result = run_scenario(scenario, keep_trace=True)
    violations = [
        {"seed": scenario.seed, "rule": v.rule, "at_s": v.at_s, "text": v.text, "last": result.last_steps(v)}
        for v in result.violations
    ]
    return ScenarioResult(
        scenario.seed,
        result.digest,
        result.rpcs,
        result.attempts,
        result.virtual_s,
        violations,
        result.faults,
    )


def crash_result(seed: int, text: str) -> ScenarioResult:
    """Return the result of a seed whose process has crashed: a violation of the rule `fault`."""
    violation = {"seed": seed, "rule": "fault", "at_s": 0.0, "text": text, "last": []}
    return ScenarioResult(seed, "", 0, 0, 0.0, [violation], {})


def _run_worker(pipe: Connection, mutant: str) -> None:
    """Run the scenarios of the seeds that arrive, until the pipe is closed.

    Each seed is sent back before its run, and the result after it, so that a crash is assigned to its seed.
    """
    with mutated(mutant), frozen_heap(), suppress(EOFError, KeyboardInterrupt):
        while True:
            for seed in pipe.recv():
                pipe.send(seed)
                faulthandler.dump_traceback_later(MAX_SCENARIO_WALL_S, exit=True)
                try:
                    result = explore_scenario(draw(seed))
                except Exception as error:
                    frame = traceback.extract_tb(error.__traceback__)[-1]
                    result = crash_result(
                        seed, f"the simulation failed: {error!r} at {frame.name}:{frame.lineno}"
                    )
                faulthandler.cancel_dump_traceback_later()
                pipe.send(result)
                gc.collect()


class _Worker:
    def __init__(self, mutant: str, worker_main: WorkerMain) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, worker_end = context.Pipe()
        self.process = context.Process(target=worker_main, args=(worker_end, mutant), daemon=True)
        self.process.start()
        worker_end.close()
        self.pending_seeds: list[int] = []
        self.current_seed: int | None = None


def explore(
    seeds: Iterable[int],
    jobs: int,
    mutant: str = "",
    on_result: Callable[[ScenarioResult], None] = lambda result: None,
    worker_main: WorkerMain = _run_worker,
) -> Report:
    """Run the scenarios of all these seeds; `worker_main` is the function that the processes run.

    `on_result` is called with each result as soon as it is there, in no particular order.
    """
    report, started_at = Report(), time.monotonic()
    unassigned = deque(seeds)
    scenario_count, crash_count = len(unassigned), 0
    workers = [
        _Worker(mutant, worker_main)
        for _ in range(min(jobs, max((scenario_count + SEEDS_PER_BATCH - 1) // SEEDS_PER_BATCH, 1)))
    ]

    def add_result(result: ScenarioResult) -> None:
        report.results[result.seed] = result
        on_result(result)

    def send_batch(worker: _Worker) -> None:
        worker.pending_seeds = [unassigned.popleft() for _ in range(min(SEEDS_PER_BATCH, len(unassigned)))]
        if worker.pending_seeds:
            worker.pipe.send(worker.pending_seeds)

    try:
        for worker in workers:
            send_batch(worker)
        while len(report.results) < scenario_count:
            for pipe in wait([w.pipe for w in workers if w.pending_seeds]):
                worker = next(w for w in workers if w.pipe is pipe)
                try:
                    message = worker.pipe.recv()
                except (EOFError, OSError):
                    crashed_seed = (
                        worker.current_seed if worker.current_seed is not None else worker.pending_seeds[0]
                    )
                    worker.process.join()
                    add_result(
                        crash_result(
                            crashed_seed, f"the process exited with status {worker.process.exitcode}"
                        )
                    )
                    unassigned.extendleft(reversed([s for s in worker.pending_seeds if s != crashed_seed]))
                    workers.remove(worker)
                    crash_count += 1
                    if crash_count > MAX_CRASHES:
                        raise RuntimeError(f"{crash_count} worker processes crashed") from None
                    workers.append(_Worker(mutant, worker_main))
                    send_batch(workers[-1])
                    continue
                if isinstance(message, int):
                    worker.current_seed = message
                    continue
                worker.pending_seeds.remove(message.seed)
                worker.current_seed = None
                add_result(message)
                if not worker.pending_seeds:
                    send_batch(worker)
    finally:
        for worker in workers:
            worker.pipe.close()
            worker.process.join(2.0)
            if worker.process.is_alive():
                worker.process.terminate()
    report.wall_s = time.monotonic() - started_at
    return report
