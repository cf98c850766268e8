"""docs/CAPACITY.md and the slopes under docs/capacity/ say the same, and the fit, the bend and the verdicts
are right on points that are made up. No figure is measured here.
"""

from __future__ import annotations

import json
import random
import re
import shutil
from dataclasses import replace

import pytest

from benchmarks import capacity, scale
from benchmarks.capacity import Point, Row, Slope, SlopeError


def points(*pairs: tuple[float, float], spread: float = 0.0) -> tuple[Point, ...]:
    return tuple(Point(size, (value - spread / 2, value, value + spread / 2)) for size, value in pairs)


def slope(*pairs: tuple[float, float], name: str = "made_up") -> Slope:
    return Slope(
        name, "made up", "servers listed", "ms", points(*pairs), "abc1234", "scale.py", "2026-12-02", "-"
    )


def straight(x: float) -> float:
    return 2.0 + 0.01 * x


def test_a_straight_line_is_found_as_it_is():
    """Guards against figures at a size that come of a wrong line: base, step, nothing left over, no bend."""
    found = capacity.fit(points(*((x, straight(x)) for x in (24, 100, 400, 1900))))
    assert (found.base, found.step) == (pytest.approx(2.0), pytest.approx(0.01))
    assert found.residual == pytest.approx(0.0, abs=1e-9) and found.bend is None


def test_the_residual_is_what_the_line_leaves():
    """Least squares of (0, 0), (1, 1), (2, 5): y = -0.5 + 2.5 x misses by 0.5, -1, 0.5."""
    found = capacity.fit(points((0, 0), (1, 1), (2, 5)))
    assert (found.base, found.step) == (pytest.approx(-0.5), pytest.approx(2.5))
    assert found.residual == pytest.approx((1.5 / 3) ** 0.5)
    assert found.bend is None, "three sizes show no bend"


@pytest.mark.parametrize("knot", [50, 100, 400])
def test_a_bend_is_found_where_it_is(knot):
    """Guards against a limit that a straight line hides: flat up to a size, and growing from there on."""
    made = ((x, 1.0 + 0.02 * max(0, x - knot)) for x in (24, 50, 100, 200, 400, 1900))
    assert capacity.fit(points(*made)).bend == knot


def test_noise_within_its_spread_is_no_bend():
    """Guards against a bend that is only chance: the line misses by no more than the repeats differ."""
    wrong = {24: 1.3, 100: 0.8, 400: 1.2, 1900: 1.0}
    made = [(x, straight(x) * wrong[x]) for x in (24, 100, 400, 1900)]
    assert capacity.fit(points(*made)).bend is not None
    assert capacity.fit(points(*made, spread=8.0)).bend is None


def test_a_figure_of_nothing_is_no_fault_of_the_fit():
    """Guards against a fit that ends in a fault where a saturated process sent nothing at the last size."""
    made = points((24, 69.0), (100, 69.0), (400, 69.0), (1900, 0.0))
    assert capacity.fit(made).bend == 400


def judged(row: Row, made: Slope) -> capacity.Judged:
    return capacity.judge(replace(row, slope=made.name), {made.name: made})


ROW = Row("softswitch", "a figure", "", 1900, 1.0, "ms", 5.0, "a budget")
GROWING = slope((24, 0.24), (100, 1.0), (400, 4.0), (1900, 19.0))


def test_a_verdict_holds_by_its_factor():
    """Guards against a budget held the wrong way round."""
    found = judged(replace(ROW, budget=38.0), GROWING)
    assert (found.verdict, found.breaks, found.beyond) == ("holds, 2.00 times", None, False)


def test_a_verdict_breaks_at_the_size_between_two_points():
    """Guards against a size at which it breaks that is not on the measured line: 5 ms is reached at 500."""
    found = judged(ROW, GROWING)
    assert found.breaks == pytest.approx(500) and "from 500 servers listed on; 3.80 times" in found.verdict


def test_a_factor_counts_in_the_verdict():
    """137 calls a second of 1 ms each are 13.7 in 100 of a core: a budget of 6.85 is reached at 50."""
    found = judged(replace(ROW, factor=13.7, budget=6.85), GROWING)
    assert found.value == pytest.approx(19 * 13.7) and found.breaks == pytest.approx(50)


def test_what_is_above_its_budget_at_the_smallest_size_breaks_below_it():
    """Guards against a first size that passes for the limit: the line is followed down, not past nothing."""
    assert judged(replace(ROW, budget=0.1), GROWING).breaks == pytest.approx(10)
    flat = judged(replace(ROW, budget=0.1), slope((24, 3.0), (100, 3.0), (400, 3.0), (1900, 3.0)))
    assert flat.breaks == 0 and "at any size" in flat.verdict


def test_what_lies_beyond_the_sizes_is_named_so():
    """Guards against a figure that was never measured and looks as if it was."""
    short = slope((24, 0.24), (100, 1.0), (400, 4.0))
    found = judged(ROW, short)
    assert found.beyond and found.value == pytest.approx(19.0) and found.breaks == pytest.approx(500)
    assert "19.0 ms (extrapolated)" in capacity.tables({short.name: short}, [replace(ROW, slope=short.name)])


def test_what_could_not_be_had_is_no_extrapolation():
    """Guards against a line that says 'holds' for a size at which the program was tried in vain."""
    why = "1900: never came within 20 s: a change"
    made = replace(slope((24, 0.1), (100, 0.1), (400, 0.1)), missing=(why,))
    found = judged(ROW, made)
    assert found.value is None and found.verdict.startswith("**breaks** between 400 and 1,900")
    told = capacity.tables({made.name: made}, [replace(ROW, slope=made.name)])
    assert "| not to be had |" in told and "1. softswitch, a figure: after 400 servers listed." in told
    tried_again = replace(made, points=(*made.points, Point(1900, (0.1,))))
    assert judged(ROW, tried_again).verdict == "holds, 50.0 times"


def test_what_was_not_measured_says_so():
    """Guards against a row that is left out, or shows a figure that nothing gave."""
    told = capacity.tables({}, [ROW])
    assert "| a figure | not measured | 5.00 ms, a budget | not measured | - |" in told


def test_what_breaks_first_is_told_first():
    """Guards against a list in the page's order: the smallest size comes first."""
    rows = [
        replace(ROW, slope="made_up", what=f"budget {budget}", budget=budget) for budget in (5.0, 1.0, 18.0)
    ]
    told = re.findall(
        r"^\d\. softswitch, (budget \S+): from (\S+)", capacity.tables({"made_up": GROWING}, rows), re.M
    )
    assert told == [("budget 1.0", "100"), ("budget 5.0", "500"), ("budget 18.0", "1,800")]


def test_the_page_says_what_was_measured():
    """Guards against a page and figures that part: its tables are made anew from the kept slopes."""
    slopes = capacity.read_all()
    assert slopes, "no slope is kept"
    assert capacity.between(capacity.PAGE.read_text()) == capacity.tables(
        slopes
    ), "benchmarks/capacity.py --write"


def test_a_changed_figure_is_found(tmp_path):
    """Guards against a figure changed by hand: alone it is not its fit's, with the fit not the page's."""
    shutil.copytree(capacity.KEPT, tmp_path, dirs_exist_ok=True)
    row = next(row for row in capacity.ROWS if row.slope in capacity.read_all())
    path = tmp_path / f"{row.slope}.json"
    raw = json.loads(path.read_text())
    for point in raw["points"]:
        point["values"] = [2 * value for value in point["values"]]
    path.write_text(json.dumps(raw))
    with pytest.raises(SlopeError, match=f"{row.slope}.json: the fit is not that of the points"):
        capacity.read_all(tmp_path)
    found = capacity.fit([Point(point["size"], tuple(point["values"])) for point in raw["points"]])
    raw["fit"] = {"base": found.base, "step": found.step, "residual": found.residual, "bend": found.bend}
    path.write_text(json.dumps(raw))
    assert capacity.tables(capacity.read_all(tmp_path)) != capacity.between(capacity.PAGE.read_text())


@pytest.mark.parametrize(
    ("key", "value", "why"),
    [
        ("commit", "", "commit, command and date"),
        ("points", [], "no figures|StatisticsError|ValueError"),
        ("name", "other", "another name"),
        ("fit", {}, "KeyError"),
    ],
)
def test_a_slope_that_is_not_whole_is_refused_with_its_file(tmp_path, key, value, why):
    """Guards against a file that is cut short, or says nothing of how it came about."""
    path = tmp_path / "made_up.json"
    path.write_text(json.dumps({**capacity.written(GROWING), key: value}))
    with pytest.raises(SlopeError, match=f"made_up.json: .*({why})"):
        capacity.read(path)


def test_what_is_no_slope_is_passed_over_and_a_spoilt_slope_is_not(tmp_path):
    """Guards against a folder that can't be shared, and a slope that is left out because its fit was lost."""
    (tmp_path / "made_up.json").write_text(json.dumps(capacity.written(GROWING)))
    (tmp_path / "days.json").write_text('{"runs": []}')
    assert list(capacity.read_all(tmp_path)) == ["made_up"]
    raw = capacity.written(GROWING)
    del raw["fit"]
    for text in (json.dumps(raw), "{"):
        (tmp_path / "made_up.json").write_text(text)
        with pytest.raises(SlopeError, match="made_up.json"):
            capacity.read_all(tmp_path)


def test_a_page_without_its_marks_is_refused():
    """Guards against a page whose generated part is gone and whose comparison would be of nothing."""
    for page in ("", capacity.END + capacity.BEGIN, capacity.BEGIN + capacity.BEGIN + capacity.END):
        with pytest.raises(SlopeError, match="marks"):
            capacity.between(page)


def test_every_row_has_a_way_to_be_measured():
    """Guards against a row whose slope nothing measures, and two families that write the same file."""
    every = [name for family in scale.FAMILIES.values() for name in family.series]
    assert len(every) == len(set(every))
    assert {row.slope for row in capacity.ROWS if row.slope} <= set(every)
    assert set(capacity.read_all()) <= set(every)


def test_repeats_of_one_commit_add_up_and_others_replace(tmp_path, monkeypatch):
    """Guards against figures of two commits in one slope."""
    monkeypatch.setattr(capacity, "KEPT", tmp_path)
    scale.keep(GROWING)
    scale.keep(GROWING)
    assert len(capacity.read(tmp_path / "made_up.json").points[0].values) == 6
    scale.keep(replace(GROWING, commit="def5678"))
    assert len(capacity.read(tmp_path / "made_up.json").points[0].values) == 3


def test_what_decides_is_the_factorys():
    """Guards against a variant that is named and not measured: its own object hears every event."""
    heard = []

    class Other(scale.Controller):
        def handle(self, now, event):
            heard.append(event)
            return super().handle(now, event)

    alone = scale.Alone(Other, 12)
    alone.run(0.1, 100)
    kinds = [type(event).__name__ for event in heard]
    assert (
        kinds[0] == "EndpointsUpdated" and kinds.count("CallOffered") == kinds.count("CallEstablished") == 10
    )
    assert "LoadReported" in kinds and isinstance(alone.decisions.rng, random.Random)
