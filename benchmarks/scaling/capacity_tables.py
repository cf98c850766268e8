"""Generates the tables of docs/CAPACITY.md: one per role, broken budgets by size, and the slopes. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable

from benchmarks.scaling.capacity_rows import ROWS, CapacityRow
from benchmarks.scaling.capacity_verdicts import JudgedRow, format_figure, judge
from benchmarks.scaling.line_fit import MIN_SIZES_FOR_BEND, LineFit, fit_line
from benchmarks.scaling.slopes import Slope

EMPTY_CELL = "-"


def capacity_tables(slopes: dict[str, Slope], rows: Iterable[CapacityRow] = ROWS) -> str:
    """Return the generated part of the page, the text between its two markers."""
    judged = [judge(row, slopes) for row in rows]
    lines: list[str] = []
    for role in dict.fromkeys(each.row.role for each in judged):
        lines += _role_table(role, [each for each in judged if each.row.role == role], slopes)
    lines += _broken_budget_list(judged, slopes)
    lines += _slope_table(slopes)
    return "\n".join(lines) + "\n"


def _role_table(role: str, judged: list[JudgedRow], slopes: dict[str, Slope]) -> list[str]:
    return [
        f"### {role[0].upper()}{role[1:]}",
        "",
        "| what | figure | budget | verdict | slope |",
        "| --- | --- | --- | --- | --- |",
        *(_row_line(each, slopes) for each in judged),
        "",
    ]


def _row_line(judged: JudgedRow, slopes: dict[str, Slope]) -> str:
    row = judged.row
    slope = budget = EMPTY_CELL
    if row.slope in slopes:
        slope = f"`{row.slope}`, {row.size:,.0f} {slopes[row.slope].size_name}"
    if row.budget is not None:
        budget = f"{format_figure(row.budget.limit)} {row.unit}".strip() + f", {row.budget.meaning}"
    figure = _figure_text(judged, is_measured=row.slope in slopes)
    return f"| {row.figure} | {figure} | {budget} | {judged.verdict} | {slope} |"


def _figure_text(judged: JudgedRow, is_measured: bool) -> str:
    if judged.value is None:
        return "not to be had" if is_measured else "not measured"
    text = f"{format_figure(judged.value)} {judged.row.unit}".strip()
    return f"{text} (extrapolated)" if judged.extrapolated else text


def _broken_budget_list(judged: list[JudgedRow], slopes: dict[str, Slope]) -> list[str]:
    """Return the lines of the list of broken budgets, ordered by size.

    A figure that has rows at several sizes is listed once, at the smallest size at which it breaks.
    """
    by_size = sorted(
        (each.breaks_at, index, each) for index, each in enumerate(judged) if each.breaks_at is not None
    )
    lines = ["### What breaks first", ""]
    listed: set[tuple[str, str, str]] = set()
    for size, _, each in by_size:
        row = each.row
        if (row.role, row.figure, row.slope) in listed:
            continue
        listed.add((row.role, row.figure, row.slope))
        where = _breaking_size_text(each, size, slopes[row.slope].size_name)
        lines.append(f"{len(listed)}. {row.role}, {row.figure}: {where}.")
    return [*lines, *([] if by_size else ["Nothing that was measured."])]


def _breaking_size_text(judged: JudgedRow, size: float, size_name: str) -> str:
    if judged.value is None:
        return f"after {math.floor(size):,} {size_name}"
    return f"from {math.floor(size):,} {size_name} on" if size >= 1 else "at any size"


def _slope_table(slopes: dict[str, Slope]) -> list[str]:
    return [
        "",
        "### The slopes",
        "",
        "| slope | medians at each size (least to most of the repeats) | fit | residual | bends at | run |",
        "| --- | --- | --- | --- | --- | --- |",
        *(_slope_line(slope) for slope in slopes.values()),
    ]


def _slope_line(slope: Slope) -> str:
    fit = fit_line(slope.points)
    measured = "; ".join(
        f"{point.size:,.0f}: {format_figure(point.median)}"
        f" ({format_figure(min(point.values))} to {format_figure(max(point.values))})"
        for point in slope.points
    )
    if slope.unavailable:
        measured += f"; not had: {'; '.join(slope.unavailable)}"
    sign = "+" if fit.gradient >= 0 else "-"
    gradient = format_figure(1000 * abs(fit.gradient))
    return (
        f"| `{slope.name}`: {slope.title}, {slope.unit}; {slope.conditions} | {measured} |"
        f" {format_figure(fit.intercept)} {sign} {gradient} by 1,000 {slope.size_name} |"
        f" {format_figure(fit.residual)} | {_bend_text(slope, fit)} |"
        f" {slope.commit}, {slope.date}, `{slope.command}` |"
    )


def _bend_text(slope: Slope, fit: LineFit) -> str:
    if fit.bend is not None:
        return f"{fit.bend:,.0f}"
    return "straight" if len(slope.points) >= MIN_SIZES_FOR_BEND else "too few sizes"
