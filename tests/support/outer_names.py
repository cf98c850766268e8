"""Collects the names that leave the process, by reading the syntax trees of the source.

These are the names of fields and values on the wire, keys of settings and of stored data, file names, options
and commands, environment variables, metrics and log events. `tests/data/outer_names.txt` keeps the list; run
`python -m tests.support.outer_names` to print the list of the present source.
"""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import TypeGuard

from .paths import ROOT

NAMES_FILE = ROOT / "tests" / "data" / "outer_names.txt"
DEPLOYMENT_FILE = ROOT / "deploy" / "balancer.toml"

NAME = re.compile(r"[A-Za-z_$%/<*-][\w.$%/:<>*+=-]*\Z")
TEXT_FIELD = re.compile(r"(?<![\w.])([A-Za-z_][\w-]*)=")
SQL_STATEMENT = re.compile(
    r"\s*(?:CREATE|SELECT|INSERT|UPDATE|DELETE|PRAGMA|REPLACE|ALTER|DROP|BEGIN)\b", re.IGNORECASE
)
SQL_WORD = re.compile(r"[A-Za-z_]\w+")
MESSAGE_CLASS = "Struct"
# Enums of which the members' names are written out, in lower case; of the others, only the values are.
ENUMS_WRITTEN_BY_MEMBER = {"LeaseEventKind", "OverloadLevel", "SimulatedCallResult"}
# Modules of which the dataclasses' fields, and the classes' own names, are written out.
MODULES_WITH_WRITTEN_FIELDS = ("stairhatch/soak/schedule.py", "stairhatch/soak/deployment.py")
MODULES_WITH_WRITTEN_CLASSES = ("stairhatch/soak/schedule.py", "stairhatch/overload/events.py")
# These name attributes of the program as strings, to replace them: such names are no outer names.
PATCHING_MODULES = ("/mutations", "scale_test/virtual_environment.py", "scaling/instrumented_program.py")
LOG_FUNCTION = re.compile(r"_?log\Z")
COMMAND_DECORATORS = ("command", "group")
DECLARING_DECORATORS = ("argument", "option", *COMMAND_DECORATORS)


def source_files() -> list[Path]:
    """The modules of the package and of the benchmarks, in order of their paths."""
    return sorted(path for folder in ("stairhatch", "benchmarks") for path in (ROOT / folder).rglob("*.py"))


def base_names(node: ast.ClassDef) -> list[str]:
    """The last parts of the names of a class's bases."""
    return [base.attr if isinstance(base, ast.Attribute) else getattr(base, "id", "") for base in node.bases]


def written_classes(trees: dict[Path, ast.Module]) -> set[str]:
    """The names of all classes whose fields or members are encoded, by way of their bases."""
    bases = {
        node.name: base_names(node)
        for tree in trees.values()
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef)
    }
    written = ENUMS_WRITTEN_BY_MEMBER | {MESSAGE_CLASS}
    while more := {name for name, parents in bases.items() if written & set(parents)} - written:
        written |= more
    return written


def without_prose(tree: ast.Module) -> Iterator[ast.AST]:
    """Every node of a module but those in docstrings, annotations, assertion messages and `raise`."""
    waiting: list[ast.AST] = [tree]
    while waiting:
        node = waiting.pop()
        yield node
        for field, value in ast.iter_fields(node):
            if field in ("annotation", "returns", "msg") or _is_slots(node):
                continue
            waiting += filter(_may_hold_names, value if isinstance(value, list) else [value])


def _is_slots(node: ast.AST) -> bool:
    return isinstance(node, ast.Assign) and getattr(node.targets[0], "id", "") == "__slots__"


def _may_hold_names(node: object) -> TypeGuard[ast.AST]:
    is_docstring = isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    return isinstance(node, ast.AST) and not isinstance(node, ast.Raise) and not is_docstring


def literal_names(node: ast.Constant) -> Iterator[tuple[str, str]]:
    """The names that a literal is, or holds."""
    value = node.value
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    if not isinstance(value, str):
        return
    if SQL_STATEMENT.match(value):
        yield from (("sql", word.lower()) for word in SQL_WORD.findall(value))
    elif NAME.match(value.strip()) and not value.startswith("_"):
        yield "literal", value.strip()
    else:
        yield from (("text-field", name) for name in TEXT_FIELD.findall(value))


def call_names(node: ast.Call) -> Iterator[tuple[str, str]]:
    """The event and the fields of a log call."""
    function = node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
    if LOG_FUNCTION.match(function):
        yield from (("log-field", keyword.arg) for keyword in node.keywords if keyword.arg)


def class_names(node: ast.ClassDef) -> Iterator[tuple[str, str]]:
    """The encoded names of a class's fields, or the members of an enum."""
    for item in node.body:
        if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
            yield "field", encoded_name(item) or item.target.id
        elif isinstance(item, ast.Assign) and isinstance(item.targets[0], ast.Name):
            yield "field", item.targets[0].id


def encoded_name(item: ast.AnnAssign) -> str | None:
    """The name that `field(name=...)` gives to an encoded field."""
    for keyword in item.value.keywords if isinstance(item.value, ast.Call) else ():
        if keyword.arg == "name" and isinstance(keyword.value, ast.Constant):
            return str(keyword.value.value)
    return None


def command_names(node: ast.FunctionDef) -> Iterator[tuple[str, str]]:
    """The command that a function is, where its decorator names none."""
    for decorator in node.decorator_list:
        if isinstance(decorator, ast.Call) and isinstance(decorator.func, ast.Attribute):
            if decorator.func.attr in COMMAND_DECORATORS and not decorator.args:
                yield "command", node.name.replace("_", "-")
            if decorator.func.attr in DECLARING_DECORATORS:
                constants = (item for item in decorator.args if isinstance(item, ast.Constant))
                yield from (("click", constant.value) for constant in constants)


def module_names(path: Path, tree: ast.Module, written: set[str]) -> Iterator[tuple[str, str]]:
    """All names of one module, each with its kind."""
    place = path.relative_to(ROOT).as_posix()
    has_literals = not any(part in place for part in PATCHING_MODULES)
    for node in without_prose(tree):
        if isinstance(node, ast.Constant) and has_literals:
            yield from literal_names(node)
        elif isinstance(node, ast.Call):
            yield from call_names(node)
        elif isinstance(node, ast.ClassDef):
            if node.name in written or place in MODULES_WITH_WRITTEN_FIELDS:
                yield from class_names(node)
            if place in MODULES_WITH_WRITTEN_CLASSES:
                yield "class", node.name
        elif isinstance(node, ast.FunctionDef):
            yield from command_names(node)


def deployment_names() -> Iterator[tuple[str, str]]:
    """The keys of the deploy file."""
    yield from (("deployment", key) for key in tomllib.loads(DEPLOYMENT_FILE.read_text()))


def collect() -> set[str]:
    """Each name of the present source as a line: its kind and itself."""
    trees = {path: ast.parse(path.read_text()) for path in source_files()}
    written = written_classes(trees)
    found = set(deployment_names())
    for path, tree in trees.items():
        found |= set(module_names(path, tree, written))
    return {f"{kind} {name}" for kind, name in found}


if __name__ == "__main__":
    print("\n".join(sorted(collect())))
