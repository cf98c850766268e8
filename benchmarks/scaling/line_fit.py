"""Least squares fit of a straight line to measured figures, and detection of a bend. Pure functions."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

# A deviation above this fraction of the median, and above the point's spread, indicates a bend.
BEND_FRACTION = 0.1
MIN_SIZES_FOR_BEND = 4
# A deviation is weighted by the inverse of its median. The median counts as at least this fraction of the
# largest one, because a deviation relative to a median of 0 is undefined.
MIN_WEIGHT_FRACTION = 0.05
SINGULAR = 1e-9  # a relative pivot below this makes the equations singular
TINY = 1e-12  # prevents a division by 0 if all medians are 0


@dataclass(frozen=True, slots=True)
class Point:
    """A size and the figures measured at it, one per repeat."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the repeats, to which the line is fitted."""
        return statistics.median(self.values)

    @property
    def spread(self) -> float:
        """The difference between the largest and the smallest repeat."""
        return max(self.values) - min(self.values)


@dataclass(frozen=True, slots=True, kw_only=True)
class LineFit:
    """The least squares line through the medians of the points."""

    intercept: float
    gradient: float  # change of the figure per unit of size
    residual: float  # root mean square deviation of the medians, in the figure's unit
    bend: float | None  # size at which the gradient changes; None: the line is straight or has too few sizes


def fit_line(points: Sequence[Point]) -> LineFit:
    """Return the line through the medians, and the size at which it bends.

    The bend is the join point at which two joined segments have the least weighted squared deviation
    (Hudson 1966, 'Fitting segmented curves whose join points have to be estimated'). Raises ValueError if the
    sizes do not determine a line.
    """
    largest = max(point.size for point in points)
    scaled_sizes = [point.size / largest for point in points]
    medians = [point.median for point in points]
    intercept, gradient = _solve([(1.0, size) for size in scaled_sizes], medians)
    deviations = [y - intercept - gradient * x for x, y in zip(scaled_sizes, medians, strict=True)]
    residual = math.sqrt(sum(deviation * deviation for deviation in deviations) / len(deviations))
    is_bent = len(points) >= MIN_SIZES_FOR_BEND and any(
        abs(deviation) > max(BEND_FRACTION * abs(point.median), point.spread)
        for deviation, point in zip(deviations, points, strict=True)
    )
    return LineFit(
        intercept=intercept,
        gradient=gradient / largest,
        residual=residual,
        bend=_best_bend(points) if is_bent else None,
    )


def _best_bend(points: Sequence[Point]) -> float:
    """Return the inner size that is the best join point of two line segments."""
    _, bend = min((_squared_deviation_with_bend(points, point.size), point.size) for point in points[1:-1])
    return bend


def _squared_deviation_with_bend(points: Sequence[Point], bend: float) -> float:
    """Return the sum of squared relative deviations from two line segments that join at a size."""
    largest = max(point.size for point in points)
    min_weighted_median = MIN_WEIGHT_FRACTION * max(abs(point.median) for point in points)
    rows, targets = [], []
    for point in points:
        weight = 1 / max(abs(point.median), min_weighted_median, TINY)
        x, size_beyond_bend = point.size / largest, max(0.0, point.size - bend) / largest
        rows.append((weight, weight * x, weight * size_beyond_bend))
        targets.append(weight * point.median)
    scale = max(abs(each) for row in rows for each in row)
    rows = [(a / scale, b / scale, c / scale) for a, b, c in rows]
    solution = _solve(rows, [each / scale for each in targets])
    deviations = (
        sum(a * b for a, b in zip(solution, row, strict=True)) - each / scale
        for row, each in zip(rows, targets, strict=True)
    )
    return sum(deviation * deviation for deviation in deviations)


def _solve(rows: Sequence[Sequence[float]], targets: Sequence[float]) -> list[float]:
    """Solve a least squares problem by its normal equations.

    Returns the coefficients. Raises ValueError if the equations are singular.
    """
    count = len(rows[0])
    left = [[sum(row[i] * row[j] for row in rows) for j in range(count)] for i in range(count)]
    right = [sum(row[i] * y for row, y in zip(rows, targets, strict=True)) for i in range(count)]
    for i in range(count):
        pivot = max(range(i, count), key=lambda k: abs(left[k][i]))
        if abs(left[pivot][i]) < SINGULAR * max(1.0, abs(left[0][0])):
            raise ValueError("the measured sizes do not determine a line")
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
