"""The quantile function for the figures of a scale run."""

from __future__ import annotations

from collections.abc import Sequence

DECIMALS = 3


def quantile(ascending: Sequence[float], fraction: float) -> float:
    """Return the `fraction` quantile of sorted values, rounded to 3 decimals; 0 if there are no values.

    The result is one of the values, without interpolation.
    """
    if not ascending:
        return 0.0
    return round(ascending[min(len(ascending) - 1, int(fraction * len(ascending)))], DECIMALS)
