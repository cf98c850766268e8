"""Small faults planted by chance in SIP and the core, and how many of them suite and tests find.

    python benchmarks/mutants.py --count 60 --seed 1 --jobs 8

Each mutant is one change to one line: a condition negated, a comparison shifted, a call dropped, a whole
number (a status, a limit) raised by one. It is written into a copy of the tree; the suite is played in
process, then the tests run until the first fails. What neither finds is printed with its line. Nothing
here runs in CI: 60 mutants take some minutes of all processors. mutmut and cosmic-ray were weighed: both
know one test command and no drop of a call, and here the suite (a second) comes before the tests (a
minute).
"""

from __future__ import annotations

import argparse
import ast
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULES = (
    "stairhatch/sip",
    *(
        f"stairhatch/node/{name}.py"
        for name in (
            "attempts",
            "call_classes",
            "call_manager",
            "calls",
            "event_dispatcher",
            "final_answers",
            "protocol",
            "readiness",
            "server_registry",
            "server_responses",
            "timer_wheel",
        )
    ),
)
LEFT_OUT = ("__init__.py",)
SHIFTED = {ast.Lt: "<=", ast.LtE: "<", ast.Gt: ">=", ast.GtE: ">", ast.Eq: "!=", ast.NotEq: "=="}
SHIFTED |= {ast.Is: "is not", ast.IsNot: "is", ast.In: "not in", ast.NotIn: "in"}
COPIED = ("stairhatch", "tests", "conformance", "deploy", "benchmarks", "pyproject.toml", "README.md")
SUITE_S, TESTS_S = 120.0, 600.0


@dataclass(frozen=True, slots=True)
class Mutant:
    """One change: the text between two places of a file becomes another."""

    path: str
    line: int
    kind: str
    start: int  # offsets in bytes
    end: int
    text: str

    def name(self) -> str:
        return f"{self.path}:{self.line} {self.kind}"


def changes(path: str, source: bytes) -> list[Mutant]:
    """Every mutant of a file, in the order of its lines."""
    starts = [0]
    for line in source.splitlines(keepends=True):
        starts.append(starts[-1] + len(line))
    tree = ast.parse(source)
    found: list[Mutant] = []

    def at(node: ast.expr | ast.stmt) -> tuple[int, int]:
        assert node.end_lineno is not None and node.end_col_offset is not None
        begin = starts[node.lineno - 1] + node.col_offset
        return begin, starts[node.end_lineno - 1] + node.end_col_offset

    def add(node: ast.expr | ast.stmt, kind: str, text: str) -> None:
        begin, end = at(node)
        found.append(Mutant(path, node.lineno, kind, begin, end, text))

    def told(node: ast.expr) -> str:
        begin, end = at(node)
        return source[begin:end].decode()

    for node in ast.walk(tree):
        match node:
            case ast.If(test=test) | ast.While(test=test) | ast.IfExp(test=test):
                add(test, "negated", f"(not ({told(test)}))")
            case ast.Compare(left=left, ops=[op], comparators=[right]) if type(op) in SHIFTED:
                add(node, "shifted", f"({told(left)} {SHIFTED[type(op)]} {told(right)})")
            case ast.Expr(value=ast.Call() as call):
                add(call, "dropped", "None")
            case ast.Constant(value=int(value)) if not isinstance(value, bool):
                add(node, "raised", str(value + 1))
    return sorted(found, key=lambda each: (each.line, each.start))


def drawn(count: int, seed: int) -> list[Mutant]:
    """So many mutants, each kind of change as often as it can be made."""
    every: list[Mutant] = []
    for name in MODULES:
        where = ROOT / name
        for path in sorted(where.glob("*.py")) if where.is_dir() else [where]:
            if path.name not in LEFT_OUT:
                every += changes(path.relative_to(ROOT).as_posix(), path.read_bytes())
    return random.Random(seed).sample(every, min(count, len(every)))


def ends(words: list[str], folder: Path, limit_s: float) -> bool:
    """Whether a command ends well; one that does not end in time has found the mutant too."""
    environ = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(folder)}
    with tempfile.TemporaryDirectory() as scratch:
        process = subprocess.Popen(
            words, cwd=folder, env={**environ, "TMPDIR": scratch}, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True,
        )  # fmt: skip
        try:
            return process.wait(limit_s) == 0
        except subprocess.TimeoutExpired:
            return False
        finally:
            if process.poll() is None:
                os.killpg(process.pid, 9)
                process.wait()


def finder(mutant: Mutant | None) -> str:
    """What finds a mutant: "suite", "tests" or nothing ("")."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name) / "tree"
        folder.mkdir()
        for part in COPIED:
            one = ROOT / part
            if one.is_dir():
                shutil.copytree(one, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(one, folder / part)
        if mutant is not None:
            path = folder / mutant.path
            source = path.read_bytes()
            path.write_bytes(source[: mutant.start] + mutant.text.encode() + source[mutant.end :])
        if not ends([sys.executable, "-m", "stairhatch", "conform"], folder, SUITE_S):
            return "suite"
        run = [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider", "--deselect"]
        run += ["tests/test_conformance.py::test_each_mutation_is_found"]  # the whole suite again
        return "" if ends(run, folder, TESTS_S) else "tests"


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    words.add_argument("--count", type=int, default=60)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    words.add_argument("--json", type=Path, help="where the list goes")
    words.add_argument("--only", default="", help="file:line: every mutant of that line, in place of a draw")
    told = words.parse_args()
    if told.only:
        path, _, line = told.only.partition(":")
        mutants = [m for m in changes(path, (ROOT / path).read_bytes()) if m.line == int(line)]
    else:
        mutants = drawn(told.count, told.seed)
    if by := finder(None):
        sys.exit(f"the tree as it is fails in the {by}: nothing can be told of mutants")
    with ThreadPoolExecutor(told.jobs) as workers:
        by = list(workers.map(finder, mutants))
    for mutant, found in zip(mutants, by, strict=True):
        if not found:
            print(f"left   {mutant.name()}: {mutant.text[:70]}")
    found_by = {name: by.count(name) for name in ("suite", "tests", "")}
    print(f"{len(mutants) - found_by['']} of {len(mutants)} found: {found_by}")
    if told.json:
        lines = [{"mutant": m.name(), "text": m.text, "by": f} for m, f in zip(mutants, by, strict=True)]
        told.json.write_text(json.dumps(lines, indent=1) + "\n")


if __name__ == "__main__":
    main()
