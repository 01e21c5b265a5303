"""Tests of the layers: which packages a package may import, and what the router's start loads."""

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
    # Of these, `client` and `lab` only within the commands that need them.
    "program": {"program", "protocol", "transport", "routing", "client", "lab"},
    "client": {"client", "kserve"},
    # The lab is not a part of the router; it runs all of it.
    "lab": {"lab", "client", "kserve", "program", "protocol", "transport", "routing"},
    "kserve": {"kserve"},
    "policy": {"policy"},
}
SHARED = {"interface", "rules", "wire"}  # any layer may import them; of these only `rules` imports `policy`
PURE = {
    "chunked",
    "completeness",
    "hashing",
}  # pure functions, which any layer and the decision module may use


def imported_modules(path: Path) -> set[str]:
    """Return the package's own modules that a file imports, by their names below `sorreldock`."""
    package = path.relative_to(ROOT).parts[:-1]
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = package[: len(package) - node.level + 1]
            modules.add(".".join([*base, *filter(None, [node.module])]))
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("sorreldock."):
            modules.add((node.module or "").removeprefix("sorreldock."))
    return modules - {""}


# Modules that still import each other; a circle that is cut is taken out of this list (issue 37).
KNOWN_CIRCLES = [
    {"lab.simulation.library", "lab.simulation.runner", "lab.simulation.script"},
    {"program.cli", "program.start"},
    {"protocol.kserve.call", "protocol.kserve.connection", "protocol.kserve.front"},
]


def imported_names(path: Path) -> set[str]:
    """Return what a file imports of the package, anywhere in it: modules, and names that may be modules."""
    package = path.relative_to(ROOT).parts[:-1]
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            module = [*package[: len(package) - node.level + 1], *filter(None, [node.module])]
            names.add(".".join(module))
            names |= {".".join([*module, alias.name]) for alias in node.names}
    return names


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    """Return the modules that `start` imports, directly or through others."""
    found: set[str] = set()
    waiting = [start]
    while waiting:
        for module in graph[waiting.pop()] - found:
            found.add(module)
            waiting.append(module)
    return found


def test_no_modules_import_each_other_but_those_of_the_known_circles() -> None:
    files = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts): path
        for path in ROOT.rglob("*.py")
        if path.name != "__init__.py"
    }
    graph = {name: imported_names(path) & files.keys() - {name} for name, path in files.items()}
    reached = {name: reachable(graph, name) for name in graph}
    circles = {
        frozenset(other for other in graph if other in reached[name] and name in reached[other])
        for name in graph
        if name in reached[name]
    }
    assert circles == set(map(frozenset, KNOWN_CIRCLES))


@pytest.mark.parametrize("layer", ALLOWED)
def test_a_layer_imports_only_allowed_modules(layer: str) -> None:
    files = list((ROOT / layer).rglob("*.py"))
    assert files
    for path in files:
        for name in imported_modules(path):
            is_allowed = any(name == a or name.startswith(f"{a}.") for a in ALLOWED[layer])
            assert is_allowed or name in SHARED | PURE, f"{path.name} imports {name}"


@pytest.mark.parametrize("name", sorted(PURE))
def test_a_pure_module_imports_nothing_of_the_package(name: str) -> None:
    assert not imported_modules(ROOT / f"{name}.py")


def test_the_platform_start_loads_no_command_line_grpc_client_or_lab_modules() -> None:
    code = (
        "import sys, sorreldock.program.serve, sorreldock.program.start\n"
        "banned = {'typer', 'rich', 'tomllib', 'h2', 'hpack', 'google', 'grpc', 'anyio', 'hdrh', 'msgspec',"
        " 'numpy', 'matplotlib'}\n"
        "assert not [m for m in sys.modules if m.split('.')[0] in banned or 'kserve' in m"
        " or m.startswith(('sorreldock.client', 'sorreldock.lab', 'sorreldock.program.console',"
        " 'sorreldock.program.takeover'))]"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT.parent, timeout=60).returncode == 0
