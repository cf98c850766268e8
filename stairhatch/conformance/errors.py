"""The errors of the conformance suite, raised while cases are read and played."""

from __future__ import annotations


class ConformanceError(Exception):
    """The base class of the suite's errors."""


class CaseError(ConformanceError, ValueError):
    """A case file that can't be used. The message names the file, the case and the fault."""


class CheckFailedError(ConformanceError):
    """A step of a case failed: the program's messages differ from the expected ones."""
