"""The page of waits names every time limit of the code."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
LIMIT = re.compile(r"^ *([A-Z][A-Z0-9_]*(?:TIMEOUT|GAP|STALL|QUIET)[A-Z0-9_]*)\b.*=", re.MULTILINE)
FOLDERS = ("protocol", "transport", "program", "client", "routing", "kserve")


def test_each_time_limit_on_a_peer_is_on_the_page_of_waits() -> None:
    page = (ROOT / "docs" / "waits.md").read_text()
    limits = {
        name
        for folder in FOLDERS
        for path in (ROOT / "sorreldock" / folder).rglob("*.py")
        for name in LIMIT.findall(path.read_text())
    }
    assert len(limits) > 10
    assert [name for name in sorted(limits) if f"`{name}`" not in page] == []
