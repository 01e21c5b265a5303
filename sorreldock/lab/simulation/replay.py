"""Playing a seed twice, in two processes: the first step that differs tells what is not the seed's."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from itertools import zip_longest

LONGEST_S = 300.0
SEEDS_OF_HASHES = ("1", "4242")  # PYTHONHASHSEED of the two


@dataclass(frozen=True, slots=True)
class Parting:
    """Where two runs of a seed part: the step's number from 1, and both lines."""

    seed: int
    step: int
    first: str
    second: str


def traced(seed: int, hash_seed: str) -> list[str]:
    """The trace that a process of its own comes to."""
    command = [sys.executable, "-m", "sorreldock", "lab", "explore", "--seed", str(seed), "--trace"]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    made = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=LONGEST_S)
    if made.returncode not in (0, 1):
        raise RuntimeError(f"seed {seed} could not be played: {made.stderr.strip()[-200:]}")
    return made.stdout.splitlines()


def compare(seed: int, first: list[str], second: list[str]) -> Parting | None:
    for step, (one, other) in enumerate(zip_longest(first, second, fillvalue="(no such step)"), 1):
        if one != other:
            return Parting(seed, step, one, other)
    return None


def twice(seed: int) -> Parting | None:
    """None: byte for byte the same."""
    first, second = (traced(seed, hashes) for hashes in SEEDS_OF_HASHES)
    return compare(seed, first, second)
