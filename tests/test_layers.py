"""Modules go by layer: which may import which."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "sorreldock"
ALLOWED = {
    "routing": {"routing"},
    "transport": {"transport"},
    "protocol": {"protocol", "transport", "routing.types", "kserve"},
    "program": {"program", "protocol", "transport", "routing", "client", "lab"},  # the last two when they run
    "client": {"client", "kserve"},
    # The lab stands outside the router, and plays all of it.
    "lab": {"lab", "client", "kserve", "program", "protocol", "transport", "routing"},
    "kserve": {"kserve"},
    "policy": {"policy"},
}
INHERITED = {"interface", "rules", "wire"}  # of these `rules` alone imports the policy
ARITHMETIC = {"hashing"}  # pure functions, which any layer and the decision module may use


def imports(path: Path) -> set[str]:
    """The package's own modules that a file imports, by their names below `sorreldock`."""
    package = path.relative_to(ROOT).parts[:-1]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = package[: len(package) - node.level + 1]
            found.add(".".join([*base, *filter(None, [node.module])]))
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("sorreldock."):
            found.add((node.module or "").removeprefix("sorreldock."))
    return found - {""}


@pytest.mark.parametrize("layer", ALLOWED)
def test_a_layer_imports_only_what_it_may(layer: str) -> None:
    files = list((ROOT / layer).rglob("*.py"))
    assert files
    for path in files:
        for name in imports(path):
            inside = any(name == a or name.startswith(f"{a}.") for a in ALLOWED[layer])
            assert inside or name in INHERITED | ARITHMETIC, f"{path.name} imports {name}"


@pytest.mark.parametrize("name", sorted(ARITHMETIC))
def test_arithmetic_imports_nothing_of_the_package(name: str) -> None:
    assert not imports(ROOT / f"{name}.py")


def test_the_platform_path_loads_no_command_line_no_grpc_no_client_and_no_lab() -> None:
    code = (
        "import sys, sorreldock.program.serve, sorreldock.program.start\n"
        "others = {'typer', 'rich', 'tomllib', 'h2', 'hpack', 'google', 'grpc', 'anyio', 'hdrh', 'msgspec',"
        " 'numpy', 'matplotlib'}\n"
        "assert not [m for m in sys.modules if m.split('.')[0] in others or 'kserve' in m"
        " or m.startswith(('sorreldock.client', 'sorreldock.lab', 'sorreldock.program.console',"
        " 'sorreldock.program.takeover'))]"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT.parent, timeout=60).returncode == 0
