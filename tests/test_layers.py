"""Imports run one way: no module reaches one that reaches it, and no package one above it."""

from __future__ import annotations

import ast

import pytest

from .support.paths import ROOT

# From the lowest up; a module may import from its own layer and those before it.
LAYERS = (
    ("overload", "settings", "", "simulator"), ("node",), ("admission", "fleet", "scope"),
    ("sip",), ("config",), ("components", "connection_limits", "reload", "shutdown", "terminal"),
    ("application",), ("main", "users"), ("emulators",), ("conformance", "demo", "load_test"),
    ("fault_injection", "soak"), ("scale_test",), ("cli",), ("__main__",),
)  # fmt: skip
MODULES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in (ROOT / "stairhatch").rglob("*.py")
}


def imported(name):
    """Every module of ours that one imports, anywhere in it, also where only a type checker looks."""
    found = set()
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.Import):
            found |= {each.name for each in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {f"{node.module}.{each.name}" for each in node.names} | {node.module}
    return {each for each in found & set(MODULES) if each != name}


def layer(name):
    part = [*name.split("."), ""][1]
    return next(level for level, parts in enumerate(LAYERS) if part in parts)


def test_no_module_reaches_one_that_reaches_it():
    """Each module can be understood, moved and tested without those that import it."""
    graph = {name: imported(name) - {"stairhatch"} for name in MODULES}
    done, path = set(), []

    def visit(name):
        assert name not in path, " -> ".join([*path[path.index(name) :], name])
        if name in done:
            return
        path.append(name)
        for each in sorted(graph[name]):
            # a package's __init__ stands above its modules, which don't import it
            if not name.startswith(f"{each}."):
                visit(each)
        done.add(path.pop())

    for name in sorted(MODULES):
        visit(name)


@pytest.mark.parametrize("name", sorted(MODULES))
def test_no_module_imports_from_above(name):
    """No lower layer knows a higher one, and no program the emulators of its tests."""
    for each in imported(name):
        assert layer(each) <= layer(name), f"{name} imports {each}"
