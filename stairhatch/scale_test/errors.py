"""Exceptions of the scale test, all below `ScaleTestError`."""

from __future__ import annotations


class ScaleTestError(Exception):
    """A scale run could not be carried out; the message is one line."""


class ScalePlanError(ScaleTestError, ValueError):
    """A scale file cannot be used; the message names the key."""


class MemoryLimitError(ScaleTestError):
    """A run takes more than the allowed fraction of the machine's memory."""


class ProcessStartError(ScaleTestError):
    """A real process did not start or did not report in time."""
