"""Exceptions of the fault-injection runs. `FaultInjectionError` is their base class."""

from __future__ import annotations


class FaultInjectionError(Exception):
    """Base class of all errors of fault-injection runs. The message is one line."""


class ScheduleError(FaultInjectionError):
    """A timeline file cannot be read or is not valid. The message contains its path and the invalid entry."""


class RunError(FaultInjectionError):
    """A run on real processes could not be carried out, or the files kept of a run cannot be read."""
