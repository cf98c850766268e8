"""How what it costs grows with its sizes: processor time, memory, descriptors, messages, bytes, delay.

Each is measured by one size with all else held. Figures come from runs with the machine to itself.

    .venv/bin/python benchmarks/scale.py --servers 24,100,400,1900 --json  # the decisions, by servers
    .venv/bin/python benchmarks/scale.py program --sizes 24,100,400,1900 --repeat 3 --keep

Without a name it measures `decisions`: processor time a call by servers listed. `--keep` writes each slope
with its points, fit, commit and command to docs/capacity/, and adds to what the same commit measured by the
same command; it does nothing in a tree that is not committed. `--list` shows what can be measured.
"""

from __future__ import annotations

import argparse
import json
import signal
import subprocess
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.scaling.decision_cost import DECISIONS
from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.families import FAMILIES, Family
from benchmarks.scaling.instrumented_program import run_instrumented
from benchmarks.scaling.line_fit import Point, fit_line
from benchmarks.scaling.measurement import Measurement, MeasurementOptions
from benchmarks.scaling.slope_files import ROOT, keep_slope, slope_to_json
from benchmarks.scaling.slopes import Slope

MEASURED_PATHS = ("stairhatch", "benchmarks/scale.py", "benchmarks/scaling")
EXIT_UNCOMMITTED = 2


@dataclass(slots=True)
class Results:
    """What all repeats of a family gave."""

    values: defaultdict[str, defaultdict[int, list[float]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )  # by slope and size
    unavailable: list[str] = field(default_factory=list)  # "SIZE: reason"

    def add(self, size: int, measurement: Measurement) -> None:
        """Add what one run gave, and show it."""
        self.unavailable += [f"{size}: {reason}" for reason in measurement.unavailable]
        for name, value in measurement.figures.items():
            self.values[name][size].append(value)
            print(f"{name} {size}: {value:.4g}", file=sys.stderr, flush=True)

    def points(self, name: str) -> tuple[Point, ...]:
        """Return the points of a slope."""
        return tuple(Point(float(size), tuple(each)) for size, each in sorted(self.values[name].items()))

    def unavailable_of(self, name: str, sizes: tuple[int, ...], repeats: int) -> tuple[str, ...]:
        """Return why a slope lacks repeats, at each size at which it does."""
        short = {str(size) for size in sizes if len(self.values[name][size]) < repeats}
        return tuple(entry for entry in self.unavailable if entry.partition(":")[0] in short)


def run_family(family: Family, sizes: tuple[int, ...], repeats: int, options: MeasurementOptions) -> Results:
    """Measure a family at each size, so many times in turn."""
    results = Results()
    for repeat in range(1, repeats + 1):
        for size in sizes:
            try:
                measurement = family.measure(size, options)
            except UnavailableFigureError as error:
                measurement = Measurement(unavailable=[str(error)])
            results.add(size, measurement)
        print(f"repeat {repeat} of {repeats}", file=sys.stderr, flush=True)
    for entry in results.unavailable:
        print(f"not had: {entry}", file=sys.stderr)
    return results


def measured_commit() -> str:
    """Return the last commit that changed what is measured, "" where not all of it is committed."""
    if _git("status", "--porcelain", "--", *MEASURED_PATHS):
        return ""
    return _git("log", "-1", "--format=%h", "--", *MEASURED_PATHS)


def _git(*arguments: str) -> str:
    command = ["git", "-C", str(ROOT), *arguments]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()


def make_slopes(
    family: Family, results: Results, sizes: tuple[int, ...], repeats: int, commit: str
) -> list[Slope]:
    """Return the slopes of a family as they were measured."""
    command = " ".join(["benchmarks/scale.py", *(word for word in sys.argv[1:] if word != "--json")])
    date = time.strftime("%Y-%m-%d", time.gmtime())
    return [
        Slope(
            name=name,
            title=title.title,
            size_name=family.size_name,
            unit=title.unit,
            points=results.points(name),
            commit=commit,
            command=command,
            date=date,
            conditions=family.conditions,
            unavailable=results.unavailable_of(name, sizes, repeats),
        )
        for name, title in family.slopes.items()
    ]


def describe(slope: Slope) -> str:
    """Return a slope as a line of text."""
    fit = fit_line(slope.points)
    medians = ", ".join(f"{int(point.size)}: {point.median:.4g}" for point in slope.points)
    bend = f", bends at {fit.bend:g}" if fit.bend is not None else ""
    return (
        f"{slope.name} ({slope.title}, {slope.unit}): {medians};"
        f" {fit.intercept:.3g} + {1000 * fit.gradient:.3g} by 1,000, residual {fit.residual:.3g}{bend}"
    )


def show_or_keep(slope: Slope, as_json: bool, keep: bool) -> None:
    """Print a slope, and keep it where that is asked for; too few sizes make no line."""
    if len(slope.points) < 2:
        print(f"{slope.name}: {[list(point.values) for point in slope.points]}, too few sizes for a line")
        return
    if keep:
        keep_slope(slope)
    print(json.dumps(slope_to_json(slope)) if as_json else describe(slope))


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("family", nargs="?", default="decisions", choices=sorted(FAMILIES))
    parser.add_argument("--sizes", "--servers", dest="sizes", help="such as 24,100,400,1900")
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--decisions", default="plain", choices=sorted(DECISIONS), help="what decides, alone")
    parser.add_argument("--seconds", type=float, default=6.0, help="of the voter's window, virtual")
    parser.add_argument("--json", action="store_true", help="every slope as one JSON object a line")
    parser.add_argument("--keep", action="store_true", help="under docs/capacity/")
    parser.add_argument("--list", action="store_true", help="what can be measured")
    parser.add_argument("--inside", action="store_true", help=argparse.SUPPRESS)  # the instrumented program
    return parser.parse_args()


def main() -> int:
    """Measure, print, and keep where asked."""
    arguments = parse_arguments()
    if arguments.inside:
        return run_instrumented()
    if arguments.list:
        for name, family in FAMILIES.items():
            print(f"{name}, by {family.size_name}: {', '.join(family.slopes)}")
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # what was started is ended
    family, commit = FAMILIES[arguments.family], measured_commit()
    if arguments.keep and not commit:
        print("scale: what is measured is not committed: nothing would be kept", file=sys.stderr)
        return EXIT_UNCOMMITTED
    sizes = family.sizes
    if arguments.sizes:
        sizes = tuple(int(text) for text in arguments.sizes.split(","))
    options = MeasurementOptions(decisions=arguments.decisions, window_s=arguments.seconds)
    results = run_family(family, sizes, arguments.repeat, options)
    for slope in make_slopes(family, results, sizes, arguments.repeat, commit):
        show_or_keep(slope, arguments.json, arguments.keep)
    return 0


if __name__ == "__main__":
    sys.exit(main())
