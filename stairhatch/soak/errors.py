"""Exceptions of the dense trials."""

from __future__ import annotations


class TrialError(Exception):
    """A trial cannot be run: the seed is out of range, or a port, a process or the harness itself failed."""
