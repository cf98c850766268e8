"""What can go wrong while cases are read and played."""

from __future__ import annotations


class ConformanceError(Exception):
    """Any failure of the conformance suite."""


class CaseError(ConformanceError, ValueError):
    """A file of cases that can't be used. The message names the file, the case and the fault."""


class CheckFailedError(ConformanceError):
    """What the program sent is not what the case expects."""
