"""The imports among the modules form no cycle, and no layer imports a higher one."""

from __future__ import annotations

import ast

import pytest

from .support.paths import ROOT

# From lowest to highest; a module may import from its own layer and from lower ones.
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


def imported_modules(name):
    """The project's modules that a module imports, also in functions and under `TYPE_CHECKING`."""
    found = set()
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {f"{node.module}.{alias.name}" for alias in node.names} | {node.module}
    return {module for module in found & set(MODULES) if module != name}


def layer(name):
    """The index in `LAYERS` of the layer that holds a module."""
    part = [*name.split("."), ""][1]
    return next(level for level, parts in enumerate(LAYERS) if part in parts)


def test_imports_form_no_cycle():
    """Each module can be read, moved and tested without those that import it."""
    graph = {name: imported_modules(name) - {"stairhatch"} for name in MODULES}
    done, path = set(), []

    def visit(name):
        assert name not in path, " -> ".join([*path[path.index(name) :], name])
        if name in done:
            return
        path.append(name)
        for module in sorted(graph[name]):
            # `from package import module` counts the package too, whose __init__ its modules don't import.
            if not name.startswith(f"{module}."):
                visit(module)
        done.add(path.pop())

    for name in sorted(MODULES):
        visit(name)


@pytest.mark.parametrize("name", sorted(MODULES))
def test_no_module_imports_from_a_higher_layer(name):
    """No lower layer imports a higher one, so the program imports no emulators of its tests."""
    for module in imported_modules(name):
        assert layer(module) <= layer(name), f"{name} imports {module}"
