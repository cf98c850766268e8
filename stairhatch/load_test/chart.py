"""Draws the chart of an experiment's figures. Matplotlib is imported only when a chart is drawn."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple


class Point(NamedTuple):
    """A point of the chart: a side of the experiment at an offered rate, in calls a second."""

    side: str
    rate: float


class Panel(NamedTuple):
    """A panel of the chart, which shows one figure over the offered rate."""

    figure: str  # key of the figure in a run's results
    title: str
    is_logarithmic: bool


PANELS = (
    Panel("in_time_a_second", "calls in time a second", False),
    Panel("worth", "weighted worth in time", False),
    Panel("answered_p99_ms", "p99 until any answer, ms", True),
    Panel("copies", "copies a call", False),
)


def draw_chart(name: str, points: Mapping[Point, Mapping[str, float]], path: Path) -> None:
    """Write an SVG chart with one line per side.

    Equal figures give an identical file, since the hash salt is fixed and the date is left out.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = name
    from matplotlib import pyplot

    chart, axes = pyplot.subplots(2, 2, figsize=(9, 6.5))
    sides = list(dict.fromkeys(point.side for point in points))
    for axis, panel in zip(axes.flat, PANELS, strict=True):
        for side in sides:
            line = sorted(
                (point.rate, figures[panel.figure])
                for point, figures in points.items()
                if point.side == side and panel.figure in figures
            )
            if line:
                axis.plot(*zip(*line, strict=True), marker="o", markersize=3, label=side)
        axis.set_title(panel.title, fontsize=9)
        axis.set_xlabel("calls offered a second", fontsize=8)
        axis.grid(alpha=0.3)
        if panel.is_logarithmic:
            axis.set_yscale("log")
        else:
            axis.set_ylim(bottom=0)
    axes.flat[0].legend(fontsize=7)
    chart.suptitle(name)
    chart.tight_layout()
    chart.savefig(path, metadata={"Date": None})
    pyplot.close(chart)
