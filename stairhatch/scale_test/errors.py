"""Exceptions of the scale test; all derive from `ScaleTestError`."""

from __future__ import annotations


class ScaleTestError(Exception):
    """A scale run could not be completed; the message is one line."""


class ScalePlanError(ScaleTestError, ValueError):
    """A scale file is unreadable or invalid; the message of an invalid plan names the key."""


class MemoryLimitError(ScaleTestError):
    """A run needs or uses more than the allowed fraction of the machine's memory."""


class ProcessStartError(ScaleTestError):
    """A real softswitch process failed to start, or didn't log its counters in time."""
