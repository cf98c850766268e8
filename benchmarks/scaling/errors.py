"""What can go wrong while figures are measured, kept and read."""

from __future__ import annotations


class ScalingError(Exception):
    """Any failure of these measurements."""


class SlopeError(ScalingError, ValueError):
    """A kept slope, or a page of them, that can't be used; the message names the file and the reason."""


class UnavailableFigureError(ScalingError, RuntimeError):
    """A figure that can't be had at a size, with the reason."""
