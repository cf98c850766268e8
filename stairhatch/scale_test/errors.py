"""Exceptions of the scale test, all below `ScaleError`."""

from __future__ import annotations


class ScaleError(ValueError):
    """A run that can't be carried out as it is asked for; the text names the key."""
