"""The errors of dense trials."""

from __future__ import annotations


class TrialError(Exception):
    """A trial that cannot be played: its seed, its schedule, a port or a process."""
