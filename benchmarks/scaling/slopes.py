"""Slopes: the values of one figure by one size, with several repeats at each size. Pure."""

from __future__ import annotations

import itertools
from dataclasses import dataclass

from benchmarks.scaling.errors import SlopeError
from benchmarks.scaling.line_fit import Point


@dataclass(frozen=True, slots=True)
class Estimate:
    """The value of a figure at a size."""

    value: float
    extrapolated: bool  # the size is outside the range of the measured sizes


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """The measured values of one figure by one size, with the circumstances of the measurement."""

    name: str
    title: str
    size_name: str  # the unit of the size, such as "servers listed"
    unit: str
    points: tuple[Point, ...]  # in ascending order of size
    commit: str
    command: str
    date: str
    conditions: str  # those that are the same at all sizes
    unavailable: tuple[str, ...] = ()  # sizes at which measuring failed, as "SIZE: reason"

    def value_at(self, size: float) -> Estimate:
        """Return the median at a measured size, or an interpolation between its neighbours.

        Outside the range of the measured sizes, the line through the nearest two is extrapolated. Raises
        SlopeError if only one size was measured.
        """
        points = self.points
        for point in points:
            if point.size == size:
                return Estimate(point.median, extrapolated=False)
        if len(points) == 1:
            raise SlopeError(f"{self.name}: only one size was measured")
        after = next((i for i, point in enumerate(points) if point.size > size), len(points) - 1)
        low, high = points[max(after, 1) - 1], points[max(after, 1)]
        fraction = (size - low.size) / (high.size - low.size)
        value = low.median + fraction * (high.median - low.median)
        return Estimate(value, extrapolated=not points[0].size < size < points[-1].size)

    def is_unavailable_at(self, size: float) -> bool:
        """Return whether the figure was measured at a size and all of its repeats failed."""
        was_tried = any(entry.partition(":")[0] == f"{size:.0f}" for entry in self.unavailable)
        return was_tried and all(point.size != size for point in self.points)

    def size_exceeding(self, limit: float) -> float | None:
        """Return the smallest size at which the figure exceeds a limit, None if it never does."""
        points = self.points
        if points[0].median > limit:
            return self._size_below_the_first(limit)
        for low, high in itertools.pairwise(points):
            if high.median > limit:
                fraction = (limit - low.median) / (high.median - low.median)
                return low.size + fraction * (high.size - low.size)
        if len(points) < 2 or points[-1].median <= points[-2].median:
            return None
        return points[-1].size + (limit - points[-1].median) / _gradient(points[-2], points[-1])

    def _size_below_the_first(self, limit: float) -> float:
        """Extrapolate below the first size down to a limit; returns 0 if the figure does not grow there."""
        points = self.points
        if len(points) < 2 or points[1].median <= points[0].median:
            return 0.0
        return max(0.0, points[0].size - (points[0].median - limit) / _gradient(points[0], points[1]))


def _gradient(low: Point, high: Point) -> float:
    return (high.median - low.median) / (high.size - low.size)
