"""Checks the direction of imports, including those for types: no import cycles, and no package imports from a
package that is not listed for it."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent / "magpiefront"
TOP_LEVEL = "the program"  # modules outside the packages: they may import anything, and all may import them
# The packages that each package may import from. All may import top-level modules such as `interface`.
ALLOWED_IMPORTS = {
    "caching": {"net"},
    "commands": {"gateway", "group", "maintenance", "operator", "record"},
    "gateway": {"group", "net"},
    "group": {"net"},
    "maintenance": {"group", "net"},
    "model": {"group", "maintenance", "record", "takeover"},
    "net": set(),
    "operator": {"caching", "gateway", "group", "maintenance", "net", "record", "takeover"},
    "record": {"net"},
    "takeover": {"group", "net", "record"},
    "upgrade": {"net"},
}


def module_of(path: Path) -> str:
    parts = path.relative_to(ROOT.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports() -> dict[str, set[str]]:
    paths = {module_of(path): path for path in ROOT.rglob("*.py")}
    found: dict[str, set[str]] = {}
    for module, path in paths.items():
        found[module] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module and node.module in paths:
                names = [f"{node.module}.{alias.name}" for alias in node.names]
                found[module] |= {name if name in paths else node.module for name in names}
    return found


def package_of(module: str) -> str:
    parts = module.split(".")
    return parts[1] if len(parts) > 2 or (ROOT / parts[-1]).is_dir() else TOP_LEVEL


def test_there_are_no_import_cycles() -> None:
    graph = {module: used - {module} for module, used in imports().items()}
    assert list(TopologicalSorter(graph).static_order())  # raises CycleError


def test_packages_import_only_from_allowed_packages() -> None:
    edges = {
        (package_of(module), package_of(imported)): f"{module} imports {imported}"
        for module, used in imports().items()
        for imported in used
    }
    packages = {package.name for package in ROOT.iterdir() if (package / "__init__.py").exists()}
    assert packages == set(ALLOWED_IMPORTS)
    forbidden = [
        text
        for (source, target), text in edges.items()
        if TOP_LEVEL not in (source, target) and source != target and target not in ALLOWED_IMPORTS[source]
    ]
    assert forbidden == []
