"""What can go wrong with a load, in one line for people. All are `LoadTestError`."""

from __future__ import annotations


class LoadTestError(Exception):
    """A load or an experiment that cannot be carried out."""


class LoadPlanError(LoadTestError, ValueError):
    """A file that cannot be used; the text names the key."""


class LoadRunError(LoadTestError):
    """A run that cannot be begun or finished."""


class RevisionError(LoadTestError):
    """A commit that cannot be laid out, or a tree that git knows nothing of."""
