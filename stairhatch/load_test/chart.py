"""Draws what an experiment found, with matplotlib, which is imported when a chart is drawn and not before.
It must never decide what is shown of which run.
"""

from __future__ import annotations

from pathlib import Path

PANELS = (  # figure, title, in logarithm
    ("in_time_a_second", "calls in time a second", False), ("worth", "weighted worth in time", False),
    ("answered_p99_ms", "p99 until any answer, ms", True), ("copies", "copies a call", False),
)  # fmt: skip


def draw(name: str, points: dict[tuple[str, float], dict[str, float]], path: Path) -> None:
    """Each figure against the calls offered, a line a side. The file is the same for the same figures."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = name
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(9, 6.5))
    sides = list(dict.fromkeys(side for side, _ in points))
    for axis, (what, title, logarithm) in zip(axes.flat, PANELS, strict=True):
        for side in sides:
            line = sorted(
                (rate, told[what]) for (at, rate), told in points.items() if at == side and what in told
            )
            if line:
                axis.plot(*zip(*line, strict=True), marker="o", markersize=3, label=side)
        axis.set_title(title, fontsize=9)
        axis.set_xlabel("calls offered a second", fontsize=8)
        axis.grid(alpha=0.3)
        if logarithm:
            axis.set_yscale("log")
        else:
            axis.set_ylim(bottom=0)
    axes.flat[0].legend(fontsize=7)
    figure.suptitle(name)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
