"""Errors raised while figures are measured, stored and read."""

from __future__ import annotations


class ScalingError(Exception):
    """Base class of the errors of the scaling measurements."""


class SlopeError(ScalingError, ValueError):
    """An invalid slope file or capacity page; the message names the file and the reason."""


class UnavailableFigureError(ScalingError, RuntimeError):
    """A figure that could not be measured at a size; the message is the reason."""
