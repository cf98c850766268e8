"""Reads and writes slope files: docs/capacity/NAME.json, with points, fit, commit, command and date.

This module makes no measurements.
"""

from __future__ import annotations

import json
import math
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.scaling.errors import SlopeError
from benchmarks.scaling.line_fit import LineFit, Point, fit_line
from benchmarks.scaling.slopes import Slope

ROOT = Path(__file__).resolve().parents[2]
SLOPES_DIRECTORY = ROOT / "docs" / "capacity"
FIT_TOLERANCE = 1e-6  # relative
FIT_TOLERANCE_NEAR_ZERO = 1e-9


def slope_to_json(slope: Slope) -> dict[str, Any]:
    """Return the JSON object of a slope, as stored in its file."""
    return {
        "name": slope.name,
        "title": slope.title,
        "by": slope.size_name,
        "unit": slope.unit,
        "held": slope.conditions,
        "commit": slope.commit,
        "command": slope.command,
        "date": slope.date,
        "missing": list(slope.unavailable),
        "points": [{"size": point.size, "values": list(point.values)} for point in slope.points],
        "fit": fit_to_json(fit_line(slope.points)),
    }


def fit_to_json(fit: LineFit) -> dict[str, float | None]:
    """Return the JSON object of a fit, as stored in a slope file."""
    return {
        "base": fit.intercept,
        "step": fit.gradient,
        "residual": fit.residual,
        "bend": fit.bend,
    }


def read_slope(path: Path) -> Slope:
    """Read a slope file. Raises SlopeError if it is incomplete or its fit does not match its points."""
    try:
        raw = json.loads(path.read_text())
        slope = _slope_from_json(raw)
        stored_fit = {key: raw["fit"][key] for key in ("base", "step", "residual", "bend")}
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise SlopeError(f"{path.name}: {type(error).__name__}: {error}") from error
    if not slope.points or any(not point.values for point in slope.points) or slope.name != path.stem:
        raise SlopeError(f"{path.name}: the slope has no figures, or another name than its file")
    if [point.size for point in slope.points] != sorted({point.size for point in slope.points}):
        raise SlopeError(f"{path.name}: sizes must be unique and in ascending order")
    if not all((slope.commit, slope.command, slope.date)):
        raise SlopeError(f"{path.name}: commit, command and date are required")
    for key, expected in fit_to_json(fit_line(slope.points)).items():
        if not _is_same_value(stored_fit[key], expected):
            raise SlopeError(
                f"{path.name}: the fit is not that of the points:"
                f" {stored_fit[key]} is stored, {expected} is expected"
            )
    return slope


def read_slopes(directory: Path = SLOPES_DIRECTORY) -> dict[str, Slope]:
    """Read all slope files of a directory. Returns the slopes by name; raises SlopeError for an invalid file.

    A file counts as a slope if it has a fit, or a name equal to its file name. Other JSON files are skipped.
    """
    slopes = {}
    for path in sorted(directory.glob("*.json")):
        try:
            raw = json.loads(path.read_text())
        except (OSError, ValueError) as error:
            raise SlopeError(f"{path.name}: {type(error).__name__}: {error}") from error
        if isinstance(raw, dict) and ("fit" in raw or raw.get("name") == path.stem):
            slopes[path.stem] = read_slope(path)
    return slopes


def keep_slope(slope: Slope, directory: Path = SLOPES_DIRECTORY) -> None:
    """Write a slope file.

    If the file has the same commit, command and conditions, the new repeats are added to it; otherwise it is
    replaced. Raises SlopeError if the present file is invalid.
    """
    path = directory / f"{slope.name}.json"
    if path.exists():
        stored = read_slope(path)
        if (stored.commit, stored.command, stored.conditions) == (
            slope.commit,
            slope.command,
            slope.conditions,
        ):
            slope = _with_added_repeats(stored, slope)
    directory.mkdir(exist_ok=True)
    path.write_text(json.dumps(slope_to_json(slope), indent=1) + "\n")


def _with_added_repeats(stored: Slope, slope: Slope) -> Slope:
    values = {point.size: point.values for point in stored.points}
    for point in slope.points:
        values[point.size] = (*values.get(point.size, ()), *point.values)
    points = tuple(Point(size, each) for size, each in sorted(values.items()))
    unavailable = tuple(dict.fromkeys((*stored.unavailable, *slope.unavailable)))
    return replace(slope, points=points, unavailable=unavailable)


def _slope_from_json(raw: dict[str, Any]) -> Slope:
    points = tuple(
        Point(float(point["size"]), tuple(float(value) for value in point["values"]))
        for point in raw["points"]
    )
    return Slope(
        name=str(raw["name"]),
        title=str(raw["title"]),
        size_name=str(raw["by"]),
        unit=str(raw["unit"]),
        points=points,
        commit=str(raw["commit"]),
        command=str(raw["command"]),
        date=str(raw["date"]),
        conditions=str(raw["held"]),
        unavailable=tuple(str(entry) for entry in raw["missing"]),
    )


def _is_same_value(stored: float | None, expected: float | None) -> bool:
    if stored is None or expected is None:
        return stored is expected
    return math.isclose(stored, expected, rel_tol=FIT_TOLERANCE, abs_tol=FIT_TOLERANCE_NEAR_ZERO)
