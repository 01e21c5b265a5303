"""Plays every case of `review/` with its disruption and without it, and prints a table of the results."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULTS = {0: "held", 1: "BROKEN", 2: "not run"}
CASE_TIMEOUT_S = 300.0


def cases() -> list[Path]:
    """Return the scripts of the cases in the order of their numbers."""
    return sorted((ROOT / "review").glob("*/run.sh"), key=lambda script: int(script.parent.name))


def play(script: Path, has_disruption: bool) -> int:
    """Play a case and return its exit status; its record is left as the review has it."""
    record = script.parent / "record.txt"
    original = record.read_bytes()
    try:
        return subprocess.run(
            [str(script)],
            env={**os.environ, "TROUBLE": "1" if has_disruption else "0"},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=CASE_TIMEOUT_S,
            check=False,
        ).returncode
    except subprocess.TimeoutExpired:
        return 2
    finally:
        record.write_bytes(original)


def main() -> int:
    """Print a row for each case; return 1 unless all held both ways."""
    held = True
    print(f"{'case':>4}  {'with':8}{'without':8}  rule", flush=True)
    for script in cases():
        statuses = [play(script, has_disruption) for has_disruption in (True, False)]
        held = held and not any(statuses)
        rule = (script.parent / "claim.txt").read_text().splitlines()[0].removeprefix("rule: ")
        texts = "".join(f"{RESULTS.get(status, str(status)):8}" for status in statuses)
        print(f"{script.parent.name:>4}  {texts}  {rule}", flush=True)
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
