"""Compares the figure of a capacity row with its budget. Pure functions."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.scaling.capacity_rows import Budget, CapacityRow
from benchmarks.scaling.slopes import Estimate, Slope

SIGNIFICANT_DIGITS = 3
MAX_DECIMALS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class JudgedRow:
    """A capacity row together with its figure and its verdict."""

    row: CapacityRow
    value: float | None = None  # in the row's unit; None: not measured, or measuring it failed
    extrapolated: bool = False
    breaks_at: float | None = None  # smallest size at which the figure exceeds its budget; 0: at any size
    verdict: str = "not measured"


def judge(row: CapacityRow, slopes: dict[str, Slope]) -> JudgedRow:
    """Evaluate the slope of a row at the row's size, and compare the figure with the budget."""
    slope = slopes.get(row.slope)
    if slope is None:
        return JudgedRow(row=row)
    if slope.is_unavailable_at(row.size):
        return _judge_unavailable(row, slope)
    estimate = slope.value_at(row.size)
    value = estimate.value * row.factor
    if row.budget is None:
        return JudgedRow(row=row, value=value, extrapolated=estimate.extrapolated, verdict="no budget told")
    if value <= row.budget.limit:
        margin = row.budget.limit / value if value > 0 else math.inf
        return JudgedRow(
            row=row,
            value=value,
            extrapolated=estimate.extrapolated,
            verdict=f"holds, {format_figure(margin)} times",
        )
    return _judge_broken(row, slope, estimate, row.budget)


def _judge_unavailable(row: CapacityRow, slope: Slope) -> JudgedRow:
    """Judge a figure whose measurement failed at the row's size; no extrapolation may replace it."""
    largest_measured = slope.points[-1].size
    size_text = f"between {largest_measured:,.0f} and {row.size:,.0f} {slope.size_name}"
    return JudgedRow(
        row=row,
        extrapolated=True,
        breaks_at=largest_measured,
        verdict=f"**breaks** {size_text}: could not be had there",
    )


def _judge_broken(row: CapacityRow, slope: Slope, estimate: Estimate, budget: Budget) -> JudgedRow:
    """Judge a figure that exceeds its budget."""
    value = estimate.value * row.factor
    breaks_at = slope.size_exceeding(budget.limit / row.factor) or 0.0
    size_text = f"from {math.floor(breaks_at):,} {slope.size_name} on" if breaks_at >= 1 else "at any size"
    return JudgedRow(
        row=row,
        value=value,
        extrapolated=estimate.extrapolated,
        breaks_at=breaks_at,
        verdict=f"**breaks** {size_text}; {format_figure(value / budget.limit)} times too much",
    )


def format_figure(value: float) -> str:
    """Return a figure with three significant digits and commas between thousands."""
    if value == 0:
        return "0"
    if not math.isfinite(value):
        return "any number of"
    decimals = max(0, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value))))
    return f"{round(value, decimals):,.{min(decimals, MAX_DECIMALS)}f}"
