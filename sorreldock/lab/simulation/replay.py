"""Playing a seed twice, in two processes: the first step that differs tells what is not the seed's."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from itertools import zip_longest

MAX_RUN_WALL_S = 300.0
HASH_SEEDS = ("1", "4242")  # PYTHONHASHSEED of the two


@dataclass(frozen=True, slots=True)
class Divergence:
    """Where two runs of a seed part: the step's number from 1, and both lines."""

    seed: int
    step: int
    first: str
    second: str


def run_traced(seed: int, hash_seed: str) -> list[str]:
    """The trace that a process of its own comes to."""
    command = [sys.executable, "-m", "sorreldock", "lab", "explore", "--seed", str(seed), "--trace"]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    completed = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=MAX_RUN_WALL_S
    )
    if completed.returncode not in (0, 1):
        raise RuntimeError(f"seed {seed} could not be played: {completed.stderr.strip()[-200:]}")
    return completed.stdout.splitlines()


def compare(seed: int, first: list[str], second: list[str]) -> Divergence | None:
    for step, (first_line, second_line) in enumerate(
        zip_longest(first, second, fillvalue="(no such step)"), 1
    ):
        if first_line != second_line:
            return Divergence(seed, step, first_line, second_line)
    return None


def run_twice(seed: int) -> Divergence | None:
    """None: byte for byte the same."""
    first, second = (run_traced(seed, hash_seed) for hash_seed in HASH_SEEDS)
    return compare(seed, first, second)
