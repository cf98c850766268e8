"""The source tree of the running program, and temporary git worktrees of earlier commits."""

from __future__ import annotations

import contextlib
import subprocess
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path

from stairhatch.load_test.errors import RevisionError

ROOT = Path(__file__).resolve().parents[2]


@contextlib.contextmanager
def worktrees(revisions: Iterable[str]) -> Iterator[dict[str, Path]]:
    """Yield a source tree for each revision; "" stands for the running program's tree.

    The worktrees are removed when the context ends. Raises RevisionError if git does not know a revision.
    """
    with tempfile.TemporaryDirectory() as folder:
        trees = {"": ROOT}
        try:
            for revision in set(revisions) - {""}:
                tree = Path(folder) / revision.replace("/", "-")
                run_git("worktree", "add", "--detach", str(tree), revision)
                trees[revision] = tree
            yield trees
        finally:
            for revision, tree in trees.items():
                if revision:
                    run_git("worktree", "remove", "--force", str(tree))


def run_git(*arguments: str) -> str:
    """Run a git command in the program's tree and return its output. Raises RevisionError if it fails."""
    completed = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False)
    if completed.returncode:
        reason = completed.stderr.strip().splitlines()[-1] if completed.stderr else "failed"
        raise RevisionError(f"git {arguments[0]}: {reason}")
    return completed.stdout.strip()
