"""Many seeds on many processes: shared out, gathered in order, and a worker's crash told as a violation."""

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

from .runner import run_scenario
from .scenario import Scenario, draw

SHARE = 8  # seeds that a worker gets at once
Work = Callable[[Connection, str], None]
LONGEST_S = 120.0  # of machine time for one scenario; then its process is ended
MOST_CRASHES = 20


@dataclass(slots=True)
class Explored:
    """One scenario's result, as it passes between processes."""

    seed: int
    digest: str
    rpcs: int
    attempts: int
    virtual_s: float
    violations: list[dict[str, Any]]
    faults: dict[str, int]


@dataclass
class Report:
    """What many scenarios came to."""

    wall_s: float = 0.0
    results: dict[int, Explored] = field(default_factory=dict)

    def figures(self) -> dict[str, Any]:
        """`digest` is of all traces in the order of their seeds, whichever process played them."""
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
def resting_collector() -> Iterator[None]:
    """What lives now is not walked in the collections between scenarios."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def explore_here(scenario: Scenario) -> Explored:
    """Play one, in this process. What broke is told with the last events on the wires concerned."""
    result = run_scenario(scenario)
    if result.violations:  # once more, with its trace: it comes to the same
        result = run_scenario(scenario, keep_trace=True)
    violations = [
        {"seed": scenario.seed, "rule": v.rule, "at_s": v.at_s, "text": v.text, "last": result.last(v)}
        for v in result.violations
    ]
    return Explored(
        scenario.seed,
        result.digest,
        result.rpcs,
        result.attempts,
        result.virtual_s,
        violations,
        result.faults,
    )


def crashed(seed: int, text: str) -> Explored:
    violation = {"seed": seed, "rule": "fault", "at_s": 0.0, "text": text, "last": []}
    return Explored(seed, "", 0, 0, 0.0, [violation], {})


def _work(pipe: Connection, mutant: str) -> None:
    """A worker: plays the seeds that come, until the pipe's end."""
    from .mutants import mutated

    with mutated(mutant), resting_collector(), suppress(EOFError, KeyboardInterrupt):
        while True:
            for seed in pipe.recv():
                pipe.send(seed)
                faulthandler.dump_traceback_later(LONGEST_S, exit=True)
                try:
                    made = explore_here(draw(seed))
                except Exception as error:
                    at = traceback.extract_tb(error.__traceback__)[-1]
                    made = crashed(seed, f"the world failed: {error!r} at {at.name}:{at.lineno}")
                faulthandler.cancel_dump_traceback_later()
                pipe.send(made)
                gc.collect()


class _Worker:
    def __init__(self, mutant: str, work: Work) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=work, args=(theirs, mutant), daemon=True)
        self.process.start()
        theirs.close()
        self.waiting: list[int] = []
        self.playing: int | None = None


def explore(
    seeds: Iterable[int],
    jobs: int,
    mutant: str = "",
    told: Callable[[Explored], None] = lambda result: None,
    work: Work = _work,
) -> Report:
    """Play all these seeds; `told` hears of each as it ends, in no order. `work` is what the processes do."""
    report, began = Report(), time.monotonic()
    todo = deque(seeds)
    total, crashes = len(todo), 0
    workers = [_Worker(mutant, work) for _ in range(min(jobs, max((total + SHARE - 1) // SHARE, 1)))]

    def take(result: Explored) -> None:
        report.results[result.seed] = result
        told(result)

    def give(worker: _Worker) -> None:
        worker.waiting = [todo.popleft() for _ in range(min(SHARE, len(todo)))]
        if worker.waiting:
            worker.pipe.send(worker.waiting)

    try:
        for worker in workers:
            give(worker)
        while len(report.results) < total:
            for pipe in wait([w.pipe for w in workers if w.waiting]):
                worker = next(w for w in workers if w.pipe is pipe)
                try:
                    word = worker.pipe.recv()
                except (EOFError, OSError):
                    lost = worker.playing if worker.playing is not None else worker.waiting[0]
                    worker.process.join()
                    take(crashed(lost, f"the process died with status {worker.process.exitcode}"))
                    todo.extendleft(reversed([s for s in worker.waiting if s != lost]))
                    workers.remove(worker)
                    crashes += 1
                    if crashes > MOST_CRASHES:
                        raise RuntimeError(f"{crashes} processes died") from None
                    workers.append(_Worker(mutant, work))
                    give(workers[-1])
                    continue
                if isinstance(word, int):
                    worker.playing = word
                    continue
                worker.waiting.remove(word.seed)
                worker.playing = None
                take(word)
                if not worker.waiting:
                    give(worker)
    finally:
        for worker in workers:
            worker.pipe.close()
            worker.process.join(2.0)
            if worker.process.is_alive():
                worker.process.terminate()
    report.wall_s = time.monotonic() - began
    return report
