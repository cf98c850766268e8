"""The result files of an experiment: every run as JSON, a table of medians and a chart."""

from __future__ import annotations

import json
import statistics
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from stairhatch.load_test.chart import Point, draw_chart
from stairhatch.load_test.errors import RevisionError
from stairhatch.load_test.experiment import RATE_OF_PLAN, Experiment
from stairhatch.load_test.experiment_run import ExperimentRun
from stairhatch.load_test.revisions import run_git

MAX_VIOLATIONS_SHOWN = 20
CHANGED_MARK = "+"
UNKNOWN_COMMIT = "unknown"


class Column(NamedTuple):
    """A column of the table, which shows one figure of the runs."""

    figure: str  # key of the figure in a run's results
    heading: str
    form: str  # format string of a value


COLUMNS = (
    Column("in_time_a_second", "in time a second", "{:.0f}"),
    Column("worth", "worth", "{:.3f}"),
    Column("stood_p50_ms", "p50 ms", "{:.0f}"),
    Column("answered_p99_ms", "answered p99 ms", "{:.0f}"),
    Column("copies", "copies a call", "{:.2f}"),
    Column("refused", "refused", "{:.2f}"),
    Column("cpu_ms_a_call", "cpu ms a call", "{:.2f}"),
    Column("tool_late_ms", "tool late ms", "{:.0f}"),
)

Medians = dict[Point, dict[str, float]]


def current_commit() -> str:
    """Return the abbreviated hash of the current commit, with a "+" if the package has uncommitted changes.

    Return "unknown" if the tree is no git work tree.
    """
    try:
        mark = CHANGED_MARK if run_git("status", "--porcelain", "stairhatch") else ""
        return run_git("rev-parse", "--short", "HEAD") + mark
    except RevisionError:
        return UNKNOWN_COMMIT


def medians(runs: list[ExperimentRun]) -> Medians:
    """Return the median of each numeric figure for each side and rate, over the runs that are not void."""
    return {point: _medians_at(point, runs) for point in dict.fromkeys(map(_point_of, runs))}


def _point_of(run: ExperimentRun) -> Point:
    return Point(run.side, run.rate)


def _medians_at(point: Point, runs: list[ExperimentRun]) -> dict[str, float]:
    valid = [run.figures for run in runs if _point_of(run) == point and not run.void_reason]
    names = [name for name, value in valid[0].items() if isinstance(value, int | float)] if valid else []
    return {name: statistics.median(each.get(name, 0.0) for each in valid) for name in names}


def render_table(experiment: Experiment, runs: list[ExperimentRun], commit: str) -> str:
    """Return a Markdown page with the table of medians, the void runs and the first rule violations."""
    headings = ["offered", "side", *(column.heading for column in COLUMNS)]
    lines = [
        f"# {experiment.name}",
        "",
        f"Commit {commit}; {experiment.repeats} repeats a point, medians; `experiment.json` has every run.",
        "",
        _table_row(headings),
        _table_row(["---"] * len(headings)),
    ]
    by_rate = sorted(medians(runs).items(), key=lambda each: (each[0].rate, each[0].side))
    lines += [_table_row(_cells(point, figures)) for point, figures in by_rate]
    lines += ["", *_remarks(runs)]
    return "\n".join(lines) + "\n"


def _table_row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _cells(point: Point, figures: dict[str, float]) -> list[str]:
    rate = "as told" if point.rate == RATE_OF_PLAN else f"{point.rate:g}"
    shown = [
        column.form.format(figures[column.figure]) if column.figure in figures else "void"
        for column in COLUMNS
    ]
    return [rate, point.side, *shown]


def _remarks(runs: list[ExperimentRun]) -> list[str]:
    void = [run for run in runs if run.void_reason]
    violations = [(run, line) for run in runs for line in run.broken]
    return [
        f"Void runs: {len(void)} of {len(runs)}. Rules broken: {len(violations)}.",
        *(f"- {_name_of(run)}: {run.void_reason}" for run in void),
        *(f"- {_name_of(run)}: {line}" for run, line in violations[:MAX_VIOLATIONS_SHOWN]),
    ]


def _name_of(run: ExperimentRun) -> str:
    return f"{run.side} at {run.rate:g}, repeat {run.repeat}"


def keep_results(experiment: Experiment, runs: list[ExperimentRun], folder: Path, command: str) -> Path:
    """Write JSON, table and chart into a subfolder named after the experiment, and return its path.

    `command` is the command line of the experiment, which is kept with the results.
    """
    results = folder / experiment.name
    results.mkdir(parents=True, exist_ok=True)
    commit = current_commit()
    kept: dict[str, Any] = {
        "commit": commit,
        "command": command,
        "experiment": msgspec.to_builtins(experiment),
        "runs": [msgspec.to_builtins(each) for each in runs],
    }
    (results / "experiment.json").write_text(json.dumps(kept, indent=1, sort_keys=True) + "\n")
    (results / "table.md").write_text(render_table(experiment, runs, commit))
    draw_chart(experiment.name, medians(runs), results / "chart.svg")
    return results
