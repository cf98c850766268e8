"""docs/CAPACITY.md and the slopes under docs/capacity/ say the same.

The fit, the bend and the verdicts are right on points that are made up. No figure is measured here.
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


def test_a_straight_line_is_found_as_it_is():
    """The figures at a size come of the right line: intercept, gradient, nothing left over, no bend."""
    fit = fit_line(points(*((x, straight(x)) for x in (24, 100, 400, 1900))))

    assert (fit.intercept, fit.gradient) == (pytest.approx(2.0), pytest.approx(0.01))
    assert fit.residual == pytest.approx(0.0, abs=1e-9)
    assert fit.bend is None


def test_the_residual_is_what_the_line_leaves():
    """Least squares of (0, 0), (1, 1), (2, 5): y = -0.5 + 2.5 x misses by 0.5, -1, 0.5."""
    fit = fit_line(points((0, 0), (1, 1), (2, 5)))

    assert (fit.intercept, fit.gradient) == (pytest.approx(-0.5), pytest.approx(2.5))
    assert fit.residual == pytest.approx((1.5 / 3) ** 0.5)
    assert fit.bend is None, "three sizes show no bend"


@pytest.mark.parametrize("bend", [50, 100, 400])
def test_a_bend_is_found_where_it_is(bend):
    """A straight line hides no limit: flat up to a size, and growing from there on."""
    made = ((x, 1.0 + 0.02 * max(0, x - bend)) for x in (24, 50, 100, 200, 400, 1900))
    assert fit_line(points(*made)).bend == bend


def test_noise_within_its_spread_is_no_bend():
    """A line that misses by no more than the repeats differ is straight."""
    wrong = {24: 1.3, 100: 0.8, 400: 1.2, 1900: 1.0}
    made = [(x, straight(x) * wrong[x]) for x in (24, 100, 400, 1900)]

    assert fit_line(points(*made)).bend is not None
    assert fit_line(points(*made, spread=8.0)).bend is None


def test_a_figure_of_nothing_is_no_fault_of_the_fit():
    """A saturated process may have sent nothing at the last size."""
    made = points((24, 69.0), (100, 69.0), (400, 69.0), (1900, 0.0))
    assert fit_line(made).bend == 400


def judged(row: CapacityRow, made: Slope) -> JudgedRow:
    return judge(replace(row, slope=made.name), {made.name: made})


def budget(limit: float) -> Budget:
    return Budget(limit, "a budget")


ROW = CapacityRow("softswitch", "a figure", size=1900, unit="ms", budget=budget(5.0))
GROWING = slope((24, 0.24), (100, 1.0), (400, 4.0), (1900, 19.0))


def test_a_verdict_holds_by_its_factor():
    """The budget is not held the wrong way round."""
    found = judged(replace(ROW, budget=budget(38.0)), GROWING)
    assert (found.verdict, found.breaks_at, found.extrapolated) == ("holds, 2.00 times", None, False)


def test_a_verdict_breaks_at_the_size_between_two_points():
    """The size at which it breaks is on the measured line: 5 ms is reached at 500."""
    found = judged(ROW, GROWING)

    assert found.breaks_at == pytest.approx(500)
    assert "from 500 servers listed on; 3.80 times" in found.verdict


def test_a_factor_counts_in_the_verdict():
    """137 calls a second of 1 ms each are 13.7 in 100 of a core: a budget of 6.85 is reached at 50."""
    found = judged(replace(ROW, factor=13.7, budget=budget(6.85)), GROWING)

    assert found.value == pytest.approx(19 * 13.7)
    assert found.breaks_at == pytest.approx(50)


def test_what_is_above_its_budget_at_the_smallest_size_breaks_below_it():
    """The first size does not pass for the limit: the line is followed down, not past nothing."""
    row = replace(ROW, budget=budget(0.1))
    assert judged(row, GROWING).breaks_at == pytest.approx(10)

    flat = judged(row, slope((24, 3.0), (100, 3.0), (400, 3.0), (1900, 3.0)))

    assert flat.breaks_at == 0
    assert "at any size" in flat.verdict


def test_what_lies_beyond_the_sizes_is_named_so():
    """A figure that was never measured does not look as if it was."""
    short = slope((24, 0.24), (100, 1.0), (400, 4.0))

    found = judged(ROW, short)

    assert found.extrapolated
    assert found.value == pytest.approx(19.0)
    assert found.breaks_at == pytest.approx(500)
    assert "19.0 ms (extrapolated)" in capacity_tables({short.name: short}, [replace(ROW, slope=short.name)])


def test_what_could_not_be_had_is_no_extrapolation():
    """No line says 'holds' for a size at which the program was tried in vain."""
    reason = "1900: never came within 20 s: a change"
    made = replace(slope((24, 0.1), (100, 0.1), (400, 0.1)), unavailable=(reason,))

    found = judged(ROW, made)

    assert found.value is None
    assert found.verdict.startswith("**breaks** between 400 and 1,900")
    tables = capacity_tables({made.name: made}, [replace(ROW, slope=made.name)])
    assert "| not to be had |" in tables
    assert "1. softswitch, a figure: after 400 servers listed." in tables
    tried_again = replace(made, points=(*made.points, Point(1900, (0.1,))))
    assert judged(ROW, tried_again).verdict == "holds, 50.0 times"


def test_what_was_not_measured_says_so():
    """A row is not left out, and shows no figure that nothing gave."""
    tables = capacity_tables({}, [ROW])
    assert "| a figure | not measured | 5.00 ms, a budget | not measured | - |" in tables


def test_what_breaks_first_is_told_first():
    """The list is not in the page's order: the smallest size comes first."""
    rows = [
        replace(ROW, slope="made_up", figure=f"budget {limit}", budget=budget(limit))
        for limit in (5.0, 1.0, 18.0)
    ]

    tables = capacity_tables({"made_up": GROWING}, rows)

    listed = re.findall(r"^\d\. softswitch, (budget \S+): from (\S+)", tables, re.M)
    assert listed == [("budget 1.0", "100"), ("budget 5.0", "500"), ("budget 18.0", "1,800")]


def test_the_page_says_what_was_measured():
    """Page and figures do not part: its tables are made anew from the kept slopes."""
    slopes = read_slopes()
    assert slopes, "no slope is kept"

    tables = capacity_tables(slopes)

    assert capacity.generated_part(capacity.PAGE.read_text()) == tables, "benchmarks/capacity.py --write"


def test_a_changed_figure_is_found(tmp_path):
    """A figure changed by hand is not its fit's; changed together with the fit it is not the page's."""
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
def test_a_slope_that_is_incomplete_is_refused_with_its_file(tmp_path, key, value, reason):
    """A file that is cut short, or says nothing of how it came about, is not read."""
    path = tmp_path / "made_up.json"
    path.write_text(json.dumps({**slope_to_json(GROWING), key: value}))
    with pytest.raises(SlopeError, match=f"made_up.json: .*({reason})"):
        read_slope(path)


def test_what_is_no_slope_is_passed_over_and_a_spoilt_slope_is_not(tmp_path):
    """The directory can be shared, and no slope is left out because its fit was lost."""
    (tmp_path / "made_up.json").write_text(json.dumps(slope_to_json(GROWING)))
    (tmp_path / "days.json").write_text('{"runs": []}')
    assert list(read_slopes(tmp_path)) == ["made_up"]

    raw = slope_to_json(GROWING)
    del raw["fit"]
    for text in (json.dumps(raw), "{"):
        (tmp_path / "made_up.json").write_text(text)
        with pytest.raises(SlopeError, match="made_up.json"):
            read_slopes(tmp_path)


def test_a_page_without_its_marks_is_refused():
    """A page whose generated part is gone is not compared with nothing."""
    for page in ("", capacity.END + capacity.BEGIN, capacity.BEGIN + capacity.BEGIN + capacity.END):
        with pytest.raises(SlopeError, match="marks"):
            capacity.generated_part(page)


def test_every_row_has_a_way_to_be_measured():
    """Each row's slope is measured by a family, and no two families write the same file."""
    every = [name for family in FAMILIES.values() for name in family.slopes]

    assert len(every) == len(set(every))
    assert {row.slope for row in ROWS if row.slope} <= set(every)
    assert set(read_slopes()) <= set(every)


def test_repeats_of_one_commit_add_up_and_others_replace(tmp_path):
    """No slope has figures of two commits."""
    path = tmp_path / "made_up.json"
    keep_slope(GROWING, tmp_path)
    keep_slope(GROWING, tmp_path)
    assert len(read_slope(path).points[0].values) == 6

    keep_slope(replace(GROWING, commit="def5678"), tmp_path)

    assert len(read_slope(path).points[0].values) == 3


def test_what_decides_is_the_factorys():
    """A variant that is named is what is measured: its own object is handed every event."""
    handled = []

    class OtherController(Controller):
        def handle(self, now, event):
            handled.append(event)
            return super().handle(now, event)

    driver = DecisionDriver(OtherController, 12)
    driver.run(0.1, 100)

    kinds = [type(event).__name__ for event in handled]
    assert kinds[0] == "EndpointsUpdated"
    assert kinds.count("CallOffered") == kinds.count("CallEstablished") == 10
    assert "LoadReported" in kinds
    assert isinstance(driver.decisions.rng, random.Random)


@pytest.mark.parametrize(
    "settings",
    [scaling_settings(24), {**slow_start_settings(20), "me": 3}],
    ids=["scaling", "slow start"],
)
def test_the_program_accepts_the_settings_of_the_benchmarks(settings):
    """A softswitch that refuses its file ends at once, and every family that starts one measures nothing."""
    with pytest.raises(MissingKeyError):
        settings_from_object(settings, complete=True)

    parsed = settings_from_object(complete_settings(settings), complete=True)

    assert parsed == settings_from_object(settings)
