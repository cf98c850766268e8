"""The straight line through measured figures, and the size from which on it bends. Pure."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

BEND_FRACTION = 0.1  # a line that misses a median by more than this part of it, and by its spread, is bent
MIN_SIZES_FOR_BEND = 4
MIN_WEIGHT_FRACTION = 0.05  # a median counts as this part of the largest at least: 0 is no measure of a miss
SINGULAR = 1e-9
TINY = 1e-12


@dataclass(frozen=True, slots=True)
class Point:
    """One size and the figures measured there."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The figure that counts."""
        return statistics.median(self.values)

    @property
    def spread(self) -> float:
        """The distance from the least to the most of the repeats."""
        return max(self.values) - min(self.values)


@dataclass(frozen=True, slots=True, kw_only=True)
class LineFit:
    """The line of least squares through the medians."""

    intercept: float
    gradient: float  # of the figure, by one of the size
    residual: float  # root mean square of what the line leaves, in the figure's unit
    bend: float | None  # the size from which on it runs another way; None: it is straight, or too few sizes


def fit_line(points: Sequence[Point]) -> LineFit:
    """Return the line through the medians, and where it bends.

    It bends at the size at which two lines that meet there leave the least (Hudson 1966, 'Fitting segmented
    curves whose join points have to be estimated').
    """
    largest = max(point.size for point in points)
    scaled_sizes = [point.size / largest for point in points]
    medians = [point.median for point in points]
    intercept, gradient = _solve([(1.0, size) for size in scaled_sizes], medians)
    misses = [y - intercept - gradient * x for x, y in zip(scaled_sizes, medians, strict=True)]
    residual = math.sqrt(sum(miss * miss for miss in misses) / len(misses))
    is_bent = len(points) >= MIN_SIZES_FOR_BEND and any(
        abs(miss) > max(BEND_FRACTION * abs(point.median), point.spread)
        for miss, point in zip(misses, points, strict=True)
    )
    return LineFit(
        intercept=intercept,
        gradient=gradient / largest,
        residual=residual,
        bend=_best_bend(points) if is_bent else None,
    )


def _best_bend(points: Sequence[Point]) -> float:
    """Return the inner size at which two lines that meet there leave the least."""
    _, bend = min((_left_by_bend(points, point.size), point.size) for point in points[1:-1])
    return bend


def _left_by_bend(points: Sequence[Point], bend: float) -> float:
    """Return what two lines that meet at a size leave: squares of parts of the medians."""
    largest = max(point.size for point in points)
    least = MIN_WEIGHT_FRACTION * max(abs(point.median) for point in points)
    rows, wanted = [], []
    for point in points:
        weight = 1 / max(abs(point.median), least, TINY)
        x, beyond = point.size / largest, max(0.0, point.size - bend) / largest
        rows.append((weight, weight * x, weight * beyond))
        wanted.append(weight * point.median)
    scale = max(abs(each) for row in rows for each in row)
    rows = [(a / scale, b / scale, c / scale) for a, b, c in rows]
    solution = _solve(rows, [each / scale for each in wanted])
    misses = (
        sum(a * b for a, b in zip(solution, row, strict=True)) - each / scale
        for row, each in zip(rows, wanted, strict=True)
    )
    return sum(miss * miss for miss in misses)


def _solve(rows: Sequence[Sequence[float]], wanted: Sequence[float]) -> list[float]:
    """Return the least squares by the normal equations. Raises ValueError where they name no one solution."""
    count = len(rows[0])
    left = [[sum(row[i] * row[j] for row in rows) for j in range(count)] for i in range(count)]
    right = [sum(row[i] * y for row, y in zip(rows, wanted, strict=True)) for i in range(count)]
    for i in range(count):
        pivot = max(range(i, count), key=lambda k: abs(left[k][i]))
        if abs(left[pivot][i]) < SINGULAR * max(1.0, abs(left[0][0])):
            raise ValueError("the sizes name no one line")
        left[i], left[pivot], right[i], right[pivot] = left[pivot], left[i], right[pivot], right[i]
        for k in range(i + 1, count):
            factor = left[k][i] / left[i][i]
            left[k] = [a - factor * b for a, b in zip(left[k], left[i], strict=True)]
            right[k] -= factor * right[i]
    solution = [0.0] * count
    for i in reversed(range(count)):
        known = sum(left[i][j] * solution[j] for j in range(i + 1, count))
        solution[i] = (right[i] - known) / left[i][i]
    return solution
