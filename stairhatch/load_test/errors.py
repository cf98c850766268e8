"""Errors of loads and experiments. All are `LoadTestError`s with a one-line message for the operator."""

from __future__ import annotations


class LoadTestError(Exception):
    """Error of a load or an experiment that cannot be run."""


class LoadPlanError(LoadTestError, ValueError):
    """Error in the file of a load or an experiment; the message names the key."""


class LoadRunError(LoadTestError):
    """Error that prevents a run from starting or from finishing."""


class RevisionError(LoadTestError):
    """Error of a git command: an unknown revision, or a directory that is no git work tree."""
