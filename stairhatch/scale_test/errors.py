"""Exceptions of the scale test, all below `ScaleTestError`."""

from __future__ import annotations


class ScaleTestError(Exception):
    """What keeps a scale run from being carried out, in one line."""


class ScalePlanError(ScaleTestError, ValueError):
    """A scale file that cannot be used; the message names the key."""


class MemoryLimitError(ScaleTestError):
    """A run that takes more than its part of the machine's memory."""


class ProcessStartError(ScaleTestError):
    """Real processes that did not start or did not answer in time."""
