"""A test that runs the README's example as a new user would."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_prints_the_output_in_the_readme() -> None:
    code, expected_output = re.findall(r"```(?:python|text)\n(.*?)```", README.read_text(), re.DOTALL)[:2]
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert done.stdout == expected_output
