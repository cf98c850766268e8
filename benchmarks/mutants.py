"""Mutation testing of SIP and the core: random mutants, and how many of them the checks find.

    python benchmarks/mutants.py --count 60 --seed 1 --jobs 8

Each mutant changes one line: it negates a condition, shifts a comparison, drops a call, or raises an integer
(a status, a limit) by one. It is applied to a copy of the tree. The conformance suite runs on the copy in
process, and then the tests until the first failure. Mutants that neither of them finds are printed with their
lines. CI does not run this: 60 mutants take some minutes on all processors. mutmut and cosmic-ray were
considered; both support only one test command and can't drop a call, while here the suite (a second) runs
before the tests (a minute).
"""

from __future__ import annotations

import argparse
import ast
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
CORE_MODULES = (
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
MUTATED_PATHS = ("stairhatch/sip", *(f"stairhatch/node/{name}.py" for name in CORE_MODULES))
EXCLUDED_FILES = ("__init__.py",)
COPIED_PATHS = ("stairhatch", "tests", "conformance", "deploy", "benchmarks", "pyproject.toml", "README.md")
SUITE_TIMEOUT_S = 120.0
TESTS_TIMEOUT_S = 600.0
SHOWN_CHARACTERS = 70  # of a mutant's new text
SUITE_COMMAND = (sys.executable, "-m", "stairhatch", "conform")
TEST_COMMAND = (
    *(sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider"),
    # This test runs the whole conformance suite again.
    *("--deselect", "tests/test_conformance.py::test_each_mutation_is_found"),
)
SHIFTED_OPERATORS: dict[type[ast.cmpop], str] = {
    ast.Lt: "<=",
    ast.LtE: "<",
    ast.Gt: ">=",
    ast.GtE: ">",
    ast.Eq: "!=",
    ast.NotEq: "==",
    ast.Is: "is not",
    ast.IsNot: "is",
    ast.In: "not in",
    ast.NotIn: "in",
}


class Finder(StrEnum):
    """The check that finds a mutant. The values are written to the JSON list."""

    SUITE = "suite"
    TESTS = "tests"
    NOTHING = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """A change to one file: the bytes from `start` to `end` are replaced by `text`."""

    path: str
    line: int
    kind: str
    start: int  # offsets in bytes
    end: int
    text: str

    @property
    def name(self) -> str:
        """The path, line and kind of the change, such as `stairhatch/sip/x.py:7 negated`."""
        return f"{self.path}:{self.line} {self.kind}"

    def apply(self, source: bytes) -> bytes:
        """Return the source with the change applied."""
        return source[: self.start] + self.text.encode() + source[self.end :]


class MutantCollector:
    """A collector of all mutants of one source file."""

    def __init__(self, path: str, source: bytes) -> None:
        self._path = path
        self._source = source
        self._line_starts = [0]
        for line in source.splitlines(keepends=True):
            self._line_starts.append(self._line_starts[-1] + len(line))
        self._mutants: list[Mutant] = []

    def collect(self) -> list[Mutant]:
        """Return the mutants in order of line and offset."""
        for node in ast.walk(ast.parse(self._source)):
            match node:
                case ast.If(test=test) | ast.While(test=test) | ast.IfExp(test=test):
                    self._add(test, "negated", f"(not ({self._text(test)}))")
                case ast.Compare(left=left, ops=[operator], comparators=[right]) if (
                    shifted := SHIFTED_OPERATORS.get(type(operator))
                ):
                    self._add(node, "shifted", f"({self._text(left)} {shifted} {self._text(right)})")
                case ast.Expr(value=ast.Call() as call):
                    self._add(call, "dropped", "None")
                case ast.Constant(value=int(value)) if not isinstance(value, bool):
                    self._add(node, "raised", str(value + 1))
        return sorted(self._mutants, key=lambda mutant: (mutant.line, mutant.start))

    def _span(self, node: ast.expr) -> tuple[int, int]:
        """Return the start and the end of a node, as byte offsets in the source."""
        assert node.end_lineno is not None
        assert node.end_col_offset is not None
        start = self._line_starts[node.lineno - 1] + node.col_offset
        return start, self._line_starts[node.end_lineno - 1] + node.end_col_offset

    def _text(self, node: ast.expr) -> str:
        start, end = self._span(node)
        return self._source[start:end].decode()

    def _add(self, node: ast.expr, kind: str, text: str) -> None:
        start, end = self._span(node)
        self._mutants.append(
            Mutant(path=self._path, line=node.lineno, kind=kind, start=start, end=end, text=text)
        )


def mutants_of(path: str) -> list[Mutant]:
    """Return all mutants of a file, given by its path below the root of the tree."""
    return MutantCollector(path, (ROOT / path).read_bytes()).collect()


def draw_mutants(count: int, seed: int) -> list[Mutant]:
    """Draw a random sample of `count` mutants, or all if there are fewer.

    Every possible change is equally likely, so that frequent kinds of change are drawn more often.
    """
    mutants: list[Mutant] = []
    for name in MUTATED_PATHS:
        source_path = ROOT / name
        for path in sorted(source_path.glob("*.py")) if source_path.is_dir() else [source_path]:
            if path.name not in EXCLUDED_FILES:
                mutants += mutants_of(path.relative_to(ROOT).as_posix())
    return random.Random(seed).sample(mutants, min(count, len(mutants)))


def mutants_of_line(place: str) -> list[Mutant]:
    """Return all mutants of a line, given as `file:line`."""
    path, _, line = place.partition(":")
    return [mutant for mutant in mutants_of(path) if mutant.line == int(line)]


def succeeds(command: Sequence[str], tree: Path, timeout_s: float) -> bool:
    """Return whether a command exits with code 0 within `timeout_s` seconds.

    A time-out counts as a failure: the command has detected the mutant by not ending.
    """
    with tempfile.TemporaryDirectory() as scratch:
        environment = {
            **os.environ,
            "PYTHONDONTWRITEBYTECODE": "1",
            "PYTHONPATH": str(tree),
            "TMPDIR": scratch,
        }
        process = subprocess.Popen(
            command,
            cwd=tree,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
        try:
            return process.wait(timeout_s) == 0
        except subprocess.TimeoutExpired:
            return False
        finally:
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
                process.wait()


def copy_tree(target: Path) -> None:
    """Copy the files that the suite and the tests need into a new directory."""
    target.mkdir()
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, target / name)


def find_mutant(mutant: Mutant | None) -> Finder:
    """Return the check that finds a mutant; for None, the check that fails on the unchanged tree."""
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory) / "tree"
        copy_tree(tree)
        if mutant is not None:
            path = tree / mutant.path
            path.write_bytes(mutant.apply(path.read_bytes()))
        if not succeeds(SUITE_COMMAND, tree, SUITE_TIMEOUT_S):
            return Finder.SUITE
        return Finder.NOTHING if succeeds(TEST_COMMAND, tree, TESTS_TIMEOUT_S) else Finder.TESTS


def main() -> None:
    """Draw mutants, run the suite and the tests on each, and print the mutants that neither finds."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--count", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    parser.add_argument("--json", type=Path, help="file for the list of mutants")
    parser.add_argument(
        "--only", default="", help="file:line: test all mutants of this line instead of a random sample"
    )
    arguments = parser.parse_args()
    if arguments.only:
        mutants = mutants_of_line(arguments.only)
    else:
        mutants = draw_mutants(arguments.count, arguments.seed)
    if finder := find_mutant(None):
        sys.exit(f"the unchanged tree fails in the {finder}: mutants can't be tested")
    with ThreadPoolExecutor(arguments.jobs) as workers:
        finders = list(workers.map(find_mutant, mutants))
    print_results(mutants, finders)
    if arguments.json:
        write_results(arguments.json, mutants, finders)


def print_results(mutants: list[Mutant], finders: list[Finder]) -> None:
    """Print each mutant that was not found, and the number of found mutants by check."""
    for mutant, finder in zip(mutants, finders, strict=True):
        if finder is Finder.NOTHING:
            print(f"missed {mutant.name}: {mutant.text[:SHOWN_CHARACTERS]}")
    counts = Counter(finders)
    by_finder = {finder.value: counts[finder] for finder in Finder}
    print(f"{len(mutants) - counts[Finder.NOTHING]} of {len(mutants)} found: {by_finder}")


def write_results(path: Path, mutants: list[Mutant], finders: list[Finder]) -> None:
    """Write the mutants and their finders to a JSON file."""
    lines = [
        {"mutant": mutant.name, "text": mutant.text, "by": finder.value}
        for mutant, finder in zip(mutants, finders, strict=True)
    ]
    path.write_text(json.dumps(lines, indent=1) + "\n")


if __name__ == "__main__":
    main()
