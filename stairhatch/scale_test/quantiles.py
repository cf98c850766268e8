"""The quantile of the figures of a scale run."""

from __future__ import annotations

from collections.abc import Sequence

DECIMALS = 3


def quantile(ascending: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies, to a thousandth; 0 of no values."""
    if not ascending:
        return 0.0
    return round(ascending[min(len(ascending) - 1, int(fraction * len(ascending)))], DECIMALS)
