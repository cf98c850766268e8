"""The tree that this program runs from, and the trees of earlier commits beside it."""

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
    """Lay out each revision's tree for as long as the context lasts; "" is this tree.

    Raises RevisionError where git knows no such revision.
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
    """Return what git says in this tree. Raises RevisionError where it fails."""
    done = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False)
    if done.returncode:
        reason = done.stderr.strip().splitlines()[-1] if done.stderr else "failed"
        raise RevisionError(f"git {arguments[0]}: {reason}")
    return done.stdout.strip()
