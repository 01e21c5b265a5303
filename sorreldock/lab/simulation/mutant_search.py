"""The search for the seeds that show known mistakes put into the router."""

from __future__ import annotations

import multiprocessing
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from .explore import ScenarioResult, explore_scenario
from .mutants import MUTANTS, mutated
from .scenario import draw


@dataclass(frozen=True, slots=True)
class Finding:
    """The result for one mutant: after how many seeds it was found."""

    mutant: str
    seeds: int | None  # run up to the first violation; None: not found
    seed: int | None
    rule: str
    text: str


def find(name: str, seeds: range) -> Finding:
    """Run these seeds with a mutant applied, up to the first violation of the rule that it breaks."""
    with mutated(name):
        for count, seed in enumerate(seeds, 1):
            explored: ScenarioResult = explore_scenario(draw(seed))
            for violation in explored.violations:
                if violation["rule"] == MUTANTS[name].rule:
                    return Finding(name, count, seed, violation["rule"], violation["text"])
    return Finding(name, None, None, "", "")


def find_all(names: Sequence[str], seeds: range, jobs: int) -> list[Finding]:
    """Search for each mutant in a process of its own, up to `jobs` at the same time."""
    if jobs == 1 or len(names) == 1:
        return [find(name, seeds) for name in names]
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        return list(pool.map(find, names, [seeds] * len(names)))
