"""Draws the chart of a scale run.

matplotlib is imported inside `draw_chart`, because no other module of the scale test needs it.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.figures import CallFigures
from stairhatch.scale_test.run import ScaleResult

if TYPE_CHECKING:
    from matplotlib.axes import Axes

FIGURE_SIZE_INCHES = (9, 3.5)
TITLE_SIZE, LABEL_SIZE, LEGEND_SIZE = 9, 8, 7


def draw_chart(result: ScaleResult, path: Path) -> None:
    """Write an SVG chart of the answers per second and the established fraction of calls at each depth."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = result.plan.name  # fixed salt: equal figures give an identical file
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=FIGURE_SIZE_INCHES)
    _draw_answers(left, result)
    _draw_depths(right, result.figures.calls)
    figure.suptitle(result.plan.name)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_answers(axes: Axes, result: ScaleResult) -> None:
    by_second = dict(sorted(result.figures.results_by_second.items()))
    for kind in SimulatedCallResult:
        counts = [results.get(kind, 0) for results in by_second.values()]
        if any(counts):
            axes.plot(list(by_second), counts, marker="o", markersize=2, label=kind.name.lower())
    for event in result.plan.events:
        axes.axvline(event.at_s, color="grey", linewidth=0.5)
    axes.set_title("answers a second", fontsize=TITLE_SIZE)
    axes.set_xlabel("virtual seconds; events in grey", fontsize=LABEL_SIZE)
    axes.legend(fontsize=LEGEND_SIZE)


def _draw_depths(axes: Axes, calls: CallFigures) -> None:
    fractions = {
        depth: calls.established_by_depth.get(depth, 0) / requested
        for depth, requested in calls.requested_by_depth.items()
    }
    axes.bar(list(fractions), list(fractions.values()))
    axes.set_title("established, as a fraction of the calls of that depth", fontsize=TITLE_SIZE)
    axes.set_ylim(0, 1)
