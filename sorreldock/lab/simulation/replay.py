"""Comparison of two runs of a seed in two processes, to find what doesn't depend on the seed alone."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from itertools import zip_longest

MAX_RUN_WALL_S = 300.0
HASH_SEEDS = ("1", "4242")  # PYTHONHASHSEED of the two processes


@dataclass(frozen=True, slots=True)
class Divergence:
    """The first difference of two runs of a seed: the step's number, from 1, and both trace lines."""

    seed: int
    step: int
    first: str
    second: str


def run_traced(seed: int, hash_seed: str) -> list[str]:
    """Run a seed in a process of its own, and return its trace."""
    command = [sys.executable, "-m", "sorreldock", "lab", "explore", "--seed", str(seed), "--trace"]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    completed = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=MAX_RUN_WALL_S
    )
    if completed.returncode not in (0, 1):
        raise RuntimeError(f"the run of seed {seed} failed: {completed.stderr.strip()[-200:]}")
    return completed.stdout.splitlines()


def compare(seed: int, first: list[str], second: list[str]) -> Divergence | None:
    """Return the first difference of two traces, or None if they are equal."""
    for step, (first_line, second_line) in enumerate(
        zip_longest(first, second, fillvalue="(no such step)"), 1
    ):
        if first_line != second_line:
            return Divergence(seed, step, first_line, second_line)
    return None


def run_twice(seed: int) -> Divergence | None:
    """Run a seed in two processes with different hash seeds; return None if their traces are equal."""
    first, second = (run_traced(seed, hash_seed) for hash_seed in HASH_SEEDS)
    return compare(seed, first, second)
