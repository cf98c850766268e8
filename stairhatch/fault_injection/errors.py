"""Exceptions of the fault-injection runs, all below `FaultInjectionError`."""

from __future__ import annotations


class FaultInjectionError(Exception):
    """Why a fault-injection run cannot be carried out, in one line."""


class ScheduleError(FaultInjectionError):
    """A timeline file that cannot be used; the message names the file and the place in it."""


class RunError(FaultInjectionError):
    """A run on real processes that could not be carried out, or whose kept files cannot be read."""
