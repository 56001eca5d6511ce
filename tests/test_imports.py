"""Packages import in one direction, the policy imports only itself, and imports are not circular."""

from __future__ import annotations

import ast
import graphlib
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "kelpcourse"

# The policy consists of pure functions of settings and events, without input or output.
POLICY = {"kelpcourse.policy"}

# Layers of the service that `python -m kelpcourse` runs, from the lowest to the highest.
LAYERS = (
    ("kelpcourse.policy",),
    ("kelpcourse.limits", "kelpcourse.fields", "kelpcourse.memory", "kelpcourse.store"),
    ("kelpcourse.facade", "kelpcourse.settings"),
    ("kelpcourse.wire",),
    ("kelpcourse.service",),
)


def module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported(path: Path, known: set[str]) -> set[str]:
    """Returns the modules of this package that a module imports at its top level or within a function."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= (names & known) or {node.module}
    return {name for name in found if name.split(".")[0] == "kelpcourse"}


PATHS = {module_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}
IMPORTS = {name: imported(path, set(PATHS)) for name, path in PATHS.items()}


def layer(name: str) -> int | None:
    for position, packages in enumerate(LAYERS):
        if any(name == package or name.startswith(package + ".") for package in packages):
            return position
    return None


def in_policy(name: str) -> bool:
    return any(name == module or name.startswith(module + ".") for module in POLICY)


def test_imports_name_modules_that_exist() -> None:
    assert {name for names in IMPORTS.values() for name in names} <= set(PATHS)


def test_imports_are_not_circular() -> None:
    assert len(list(graphlib.TopologicalSorter(IMPORTS).static_order())) >= len(PATHS)


@pytest.mark.parametrize("name", [name for name in PATHS if in_policy(name)])
def test_the_policy_imports_nothing_outside_itself(name: str) -> None:
    assert [other for other in sorted(IMPORTS[name]) if not in_policy(other)] == []


@pytest.mark.parametrize("name", [name for name in PATHS if layer(name) is not None])
def test_lower_layers_import_no_higher_ones(name: str) -> None:
    own = layer(name)
    assert own is not None
    higher = [other for other in IMPORTS[name] if (layer(other) or 0) > own]
    assert higher == []


@pytest.mark.parametrize("name", [name for name in PATHS if layer(name) is not None])
def test_the_service_imports_none_of_the_optional_packages(name: str) -> None:
    optional = [other for other in IMPORTS[name] if other != "kelpcourse" and layer(other) is None]
    assert optional == []
