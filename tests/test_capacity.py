"""Tests that docs/CAPACITY.md matches the slope files under docs/capacity/.

Line fits, bends and verdicts are checked with invented points. No test here makes a measurement.
"""

from __future__ import annotations

import json
import random
import re
import shutil
from dataclasses import replace

import pytest

from benchmarks import capacity
from benchmarks.platform_settings import complete_settings
from benchmarks.scaling.capacity_rows import ROWS, Budget, CapacityRow
from benchmarks.scaling.capacity_tables import capacity_tables
from benchmarks.scaling.capacity_verdicts import JudgedRow, judge
from benchmarks.scaling.decision_cost import DecisionDriver
from benchmarks.scaling.errors import SlopeError
from benchmarks.scaling.families import FAMILIES
from benchmarks.scaling.line_fit import Point, fit_line
from benchmarks.scaling.slope_files import (
    SLOPES_DIRECTORY,
    keep_slope,
    read_slope,
    read_slopes,
    slope_to_json,
)
from benchmarks.scaling.slopes import Slope
from benchmarks.scaling.workload import settings_json as scaling_settings
from benchmarks.slow_start.process_run import settings_json as slow_start_settings
from stairhatch.overload.controller import Controller
from stairhatch.settings.errors import MissingKeyError
from stairhatch.settings.parser import settings_from_object


def points(*pairs: tuple[float, float], spread: float = 0.0) -> tuple[Point, ...]:
    return tuple(Point(size, (value - spread / 2, value, value + spread / 2)) for size, value in pairs)


def slope(*pairs: tuple[float, float]) -> Slope:
    return Slope(
        name="made_up",
        title="made up",
        size_name="servers listed",
        unit="ms",
        points=points(*pairs),
        commit="abc1234",
        command="scale.py",
        date="2026-12-02",
        conditions="-",
    )


def straight(x: float) -> float:
    return 2.0 + 0.01 * x


def test_fit_of_points_on_a_straight_line():
    """Points on a straight line give its intercept and gradient, a residual of 0 and no bend."""
    fit = fit_line(points(*((x, straight(x)) for x in (24, 100, 400, 1900))))

    assert (fit.intercept, fit.gradient) == (pytest.approx(2.0), pytest.approx(0.01))
    assert fit.residual == pytest.approx(0.0, abs=1e-9)
    assert fit.bend is None


def test_residual_is_the_root_mean_square_deviation():
    """The fit of (0, 0), (1, 1), (2, 5) is y = -0.5 + 2.5 x, with the deviations 0.5, -1 and 0.5."""
    fit = fit_line(points((0, 0), (1, 1), (2, 5)))

    assert (fit.intercept, fit.gradient) == (pytest.approx(-0.5), pytest.approx(2.5))
    assert fit.residual == pytest.approx((1.5 / 3) ** 0.5)
    assert fit.bend is None, "three sizes are too few to detect a bend"


@pytest.mark.parametrize("bend", [50, 100, 400])
def test_bend_is_found_at_its_size(bend):
    """A figure that is flat up to a size and grows above it has its bend at that size.

    Without bend detection, the straight line would hide a limit of the program.
    """
    measured = ((x, 1.0 + 0.02 * max(0, x - bend)) for x in (24, 50, 100, 200, 400, 1900))
    assert fit_line(points(*measured)).bend == bend


def test_deviation_within_the_spread_is_no_bend():
    """Deviations that are smaller than the spread of the repeats indicate no bend."""
    noise_factors = {24: 1.3, 100: 0.8, 400: 1.2, 1900: 1.0}
    measured = [(x, straight(x) * noise_factors[x]) for x in (24, 100, 400, 1900)]

    assert fit_line(points(*measured)).bend is not None
    assert fit_line(points(*measured, spread=8.0)).bend is None


def test_fit_with_a_median_of_zero():
    """A median of 0 does not break the fit: a saturated process may send nothing at the largest size."""
    measured = points((24, 69.0), (100, 69.0), (400, 69.0), (1900, 0.0))
    assert fit_line(measured).bend == 400


def judge_slope(row: CapacityRow, measured: Slope) -> JudgedRow:
    return judge(replace(row, slope=measured.name), {measured.name: measured})


def budget(limit: float) -> Budget:
    return Budget(limit, "a budget")


ROW = CapacityRow("softswitch", "a figure", size=1900, unit="ms", budget=budget(5.0))
GROWING = slope((24, 0.24), (100, 1.0), (400, 4.0), (1900, 19.0))


def test_verdict_states_the_margin_of_a_budget_that_holds():
    """The verdict states the budget as a multiple of the figure, not the inverse."""
    judged = judge_slope(replace(ROW, budget=budget(38.0)), GROWING)
    assert (judged.verdict, judged.breaks_at, judged.extrapolated) == ("holds, 2.00 times", None, False)


def test_breaking_size_is_interpolated():
    """The breaking size is interpolated between measured sizes: the figure reaches 5 ms at 500."""
    judged = judge_slope(ROW, GROWING)

    assert judged.breaks_at == pytest.approx(500)
    assert "from 500 servers listed on; 3.80 times" in judged.verdict


def test_factor_of_a_row_applies_to_figure_and_breaking_size():
    """The row's factor applies to the figure and to the breaking size.

    1 ms per call at 137 calls per second is 13.7 % of a core, so that a budget of 6.85 % is reached at 50.
    """
    judged = judge_slope(replace(ROW, factor=13.7, budget=budget(6.85)), GROWING)

    assert judged.value == pytest.approx(19 * 13.7)
    assert judged.breaks_at == pytest.approx(50)


def test_breaking_size_below_the_smallest_measured_size():
    """The breaking size is extrapolated below the smallest measured size, but never below 0."""
    row = replace(ROW, budget=budget(0.1))
    assert judge_slope(row, GROWING).breaks_at == pytest.approx(10)

    flat = judge_slope(row, slope((24, 3.0), (100, 3.0), (400, 3.0), (1900, 3.0)))

    assert flat.breaks_at == 0
    assert "at any size" in flat.verdict


def test_figure_beyond_the_measured_sizes_is_marked_extrapolated():
    """A figure beyond the measured sizes is marked as extrapolated in the table."""
    three_sizes = slope((24, 0.24), (100, 1.0), (400, 4.0))

    judged = judge_slope(ROW, three_sizes)

    assert judged.extrapolated
    assert judged.value == pytest.approx(19.0)
    assert judged.breaks_at == pytest.approx(500)
    assert "19.0 ms (extrapolated)" in capacity_tables(
        {three_sizes.name: three_sizes}, [replace(ROW, slope=three_sizes.name)]
    )


def test_failed_measurement_is_not_extrapolated():
    """A size at which all repeats failed breaks the budget; the fitted line is not extrapolated to it.

    Otherwise the verdict would be `holds` for a size at which the program failed.
    """
    reason = "1900: timed out after 20 s waiting for the endpoint list change to be in force"
    measured = replace(slope((24, 0.1), (100, 0.1), (400, 0.1)), unavailable=(reason,))

    judged = judge_slope(ROW, measured)

    assert judged.value is None
    assert judged.verdict.startswith("**breaks** between 400 and 1,900")
    tables = capacity_tables({measured.name: measured}, [replace(ROW, slope=measured.name)])
    assert "| not to be had |" in tables
    assert "1. softswitch, a figure: after 400 servers listed." in tables
    with_successful_repeat = replace(measured, points=(*measured.points, Point(1900, (0.1,))))
    assert judge_slope(ROW, with_successful_repeat).verdict == "holds, 50.0 times"


def test_row_without_measurement_stays_in_the_table():
    """A row without a slope stays in the table, without a figure."""
    tables = capacity_tables({}, [ROW])
    assert "| a figure | not measured | 5.00 ms, a budget | not measured | - |" in tables


def test_broken_budgets_are_listed_by_breaking_size():
    """The list of broken budgets is ordered by breaking size, not by the order of the rows."""
    rows = [
        replace(ROW, slope="made_up", figure=f"budget {limit}", budget=budget(limit))
        for limit in (5.0, 1.0, 18.0)
    ]

    tables = capacity_tables({"made_up": GROWING}, rows)

    listed = re.findall(r"^\d\. softswitch, (budget \S+): from (\S+)", tables, re.M)
    assert listed == [("budget 1.0", "100"), ("budget 5.0", "500"), ("budget 18.0", "1,800")]


def test_page_equals_the_tables_of_the_stored_slopes():
    """The generated part of the page equals the tables made from the stored slopes."""
    slopes = read_slopes()
    assert slopes, "no slope is stored"

    tables = capacity_tables(slopes)

    assert capacity.generated_part(capacity.PAGE.read_text()) == tables, "run benchmarks/capacity.py --write"


def test_edited_figure_is_detected(tmp_path):
    """A figure edited by hand contradicts its fit; edited together with the fit, it contradicts the page."""
    shutil.copytree(SLOPES_DIRECTORY, tmp_path, dirs_exist_ok=True)
    row = next(row for row in ROWS if row.slope in read_slopes())
    path = tmp_path / f"{row.slope}.json"
    raw = json.loads(path.read_text())
    for point in raw["points"]:
        point["values"] = [2 * value for value in point["values"]]
    path.write_text(json.dumps(raw))
    with pytest.raises(SlopeError, match=f"{row.slope}.json: the fit is not that of the points"):
        read_slopes(tmp_path)

    changed = [Point(point["size"], tuple(point["values"])) for point in raw["points"]]
    fit = fit_line(changed)
    raw["fit"] = {
        "base": fit.intercept,
        "step": fit.gradient,
        "residual": fit.residual,
        "bend": fit.bend,
    }
    path.write_text(json.dumps(raw))

    assert capacity_tables(read_slopes(tmp_path)) != capacity.generated_part(capacity.PAGE.read_text())


@pytest.mark.parametrize(
    ("key", "value", "reason"),
    [
        ("commit", "", "commit, command and date"),
        ("points", [], "no figures|StatisticsError|ValueError"),
        ("name", "other", "another name"),
        ("fit", {}, "KeyError"),
    ],
)
def test_incomplete_slope_file_is_rejected_by_name(tmp_path, key, value, reason):
    """A slope file without points, fit, matching name or commit raises an error that names the file."""
    path = tmp_path / "made_up.json"
    path.write_text(json.dumps({**slope_to_json(GROWING), key: value}))
    with pytest.raises(SlopeError, match=f"made_up.json: .*({reason})"):
        read_slope(path)


def test_other_json_files_are_skipped_and_damaged_slopes_are_rejected(tmp_path):
    """JSON files that are no slopes are skipped; a slope file without a fit, or cut short, is an error."""
    (tmp_path / "made_up.json").write_text(json.dumps(slope_to_json(GROWING)))
    (tmp_path / "days.json").write_text('{"runs": []}')
    assert list(read_slopes(tmp_path)) == ["made_up"]

    raw = slope_to_json(GROWING)
    del raw["fit"]
    for text in (json.dumps(raw), "{"):
        (tmp_path / "made_up.json").write_text(text)
        with pytest.raises(SlopeError, match="made_up.json"):
            read_slopes(tmp_path)


def test_page_without_markers_is_rejected():
    """A page whose markers are missing, repeated or in the wrong order raises an error."""
    for page in (
        "",
        capacity.END_MARKER + capacity.BEGIN_MARKER,
        capacity.BEGIN_MARKER + capacity.BEGIN_MARKER + capacity.END_MARKER,
    ):
        with pytest.raises(SlopeError, match="markers"):
            capacity.generated_part(page)


def test_every_row_has_a_family_that_measures_its_slope():
    """A family measures the slope of each row, and no two families write the same slope file."""
    slope_names = [name for family in FAMILIES.values() for name in family.slopes]

    assert len(slope_names) == len(set(slope_names))
    assert {row.slope for row in ROWS if row.slope} <= set(slope_names)
    assert set(read_slopes()) <= set(slope_names)


def test_repeats_are_added_for_one_commit_and_replaced_by_another(tmp_path):
    """Repeats of one commit are added to its slope file; another commit replaces the file.

    A slope must not mix the figures of two commits.
    """
    path = tmp_path / "made_up.json"
    keep_slope(GROWING, tmp_path)
    keep_slope(GROWING, tmp_path)
    assert len(read_slope(path).points[0].values) == 6

    keep_slope(replace(GROWING, commit="def5678"), tmp_path)

    assert len(read_slope(path).points[0].values) == 3


def test_driver_measures_the_decisions_of_its_factory():
    """The driver creates its decisions by the given factory, and passes every event to them."""
    handled_events = []

    class OtherController(Controller):
        def handle(self, now, event):
            handled_events.append(event)
            return super().handle(now, event)

    driver = DecisionDriver(OtherController, 12)
    driver.run(0.1, 100)

    kinds = [type(event).__name__ for event in handled_events]
    assert kinds[0] == "EndpointsUpdated"
    assert kinds.count("CallOffered") == kinds.count("CallEstablished") == 10
    assert "LoadReported" in kinds
    assert isinstance(driver.decisions.rng, random.Random)


@pytest.mark.parametrize(
    "settings",
    [scaling_settings(24), {**slow_start_settings(20), "me": 3}],
    ids=["scaling", "slow start"],
)
def test_completed_settings_of_the_benchmarks_are_accepted(settings):
    """The benchmarks' settings, completed by `complete_settings`, have all keys that the program requires.

    A softswitch that rejects its settings exits at once, and the benchmark measures nothing.
    """
    with pytest.raises(MissingKeyError):
        settings_from_object(settings, complete=True)

    parsed = settings_from_object(complete_settings(settings), complete=True)

    assert parsed == settings_from_object(settings)
