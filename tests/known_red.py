"""`KNOWN-RED.txt` at the root: tests that fail for a real fault which is not mended yet, one a line as
`test, cause, issue N`. Just these are passed over, and printed; one that passes again is a failure, and so
are an unknown test, a line of another form and a fourth one.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

MOST = 3
LINE = re.compile(r"(tests/\S+::[^,]+), (.+), issue (\d+)")


def read(text: str) -> dict[str, str]:
    """The causes by test; ValueError says what is wrong."""
    known: dict[str, str] = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        match = LINE.fullmatch(line)
        if match is None or match[1] in known:
            raise ValueError(f"not 'test, cause, issue N', or twice: {line}")
        known[match[1]] = f"{match[2]} (issue {match[3]})"
    if len(known) > MOST:
        raise ValueError(f"{len(known)} tests, and {MOST} are the most")
    return known


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    file = Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        known = read(file.read_text()) if file.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    for item in items:
        if cause := known.pop(item.nodeid, ""):
            item.add_marker(pytest.mark.xfail(strict=True, reason=cause))
            print(f"known red: {item.nodeid}: {cause}")
    if known and config.args_source is not pytest.Config.ArgsSource.ARGS:  # a part may not hold them
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(known)}")
