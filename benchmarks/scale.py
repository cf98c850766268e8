"""Measures how the softswitch's costs grow: processor time, memory, descriptors, messages, bytes and delay.

Each figure is measured by one size, with all other conditions constant. Run it while the machine does nothing
else.

    .venv/bin/python benchmarks/scale.py --servers 24,100,400,1900 --json  # family `decisions`
    .venv/bin/python benchmarks/scale.py program --sizes 24,100,400,1900 --repeat 3 --keep

The default family is `decisions`: processor time of the decisions by servers listed. `--keep` writes each
slope with its points, fit, commit and command to docs/capacity/; repeats of the same commit and command are
added to the file. With uncommitted changes it measures nothing. `--list` shows the families.
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
    """The figures of all repeats of a family, and the failures."""

    values: defaultdict[str, defaultdict[int, list[float]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )  # by slope name and size
    unavailable: list[str] = field(default_factory=list)  # "SIZE: reason"

    def add(self, size: int, measurement: Measurement) -> None:
        """Add the figures and failures of one run, and print the figures to stderr."""
        self.unavailable += [f"{size}: {reason}" for reason in measurement.unavailable]
        for name, value in measurement.figures.items():
            self.values[name][size].append(value)
            print(f"{name} {size}: {value:.4g}", file=sys.stderr, flush=True)

    def points(self, name: str) -> tuple[Point, ...]:
        """Return the points of a slope, in ascending order of size."""
        return tuple(Point(float(size), tuple(each)) for size, each in sorted(self.values[name].items()))

    def unavailable_of(self, name: str, sizes: tuple[int, ...], repeats: int) -> tuple[str, ...]:
        """Return the failures, as "SIZE: reason", at the sizes at which a slope has too few repeats."""
        short = {str(size) for size in sizes if len(self.values[name][size]) < repeats}
        return tuple(entry for entry in self.unavailable if entry.partition(":")[0] in short)


def run_family(family: Family, sizes: tuple[int, ...], repeats: int, options: MeasurementOptions) -> Results:
    """Measure a family at all sizes in turn, `repeats` times. Failures are recorded in the results."""
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
        print(f"not measured at size {entry}", file=sys.stderr)
    return results


def measured_commit() -> str:
    """Return the last commit that changed a measured path, "" if one has uncommitted changes."""
    if _git("status", "--porcelain", "--", *MEASURED_PATHS):
        return ""
    return _git("log", "-1", "--format=%h", "--", *MEASURED_PATHS)


def _git(*arguments: str) -> str:
    command = ["git", "-C", str(ROOT), *arguments]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()


def make_slopes(
    family: Family, results: Results, sizes: tuple[int, ...], repeats: int, commit: str
) -> list[Slope]:
    """Return the slopes of a family, with points, commit, command and date."""
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
    """Return one line of text with the medians and the fit of a slope."""
    fit = fit_line(slope.points)
    medians = ", ".join(f"{int(point.size)}: {point.median:.4g}" for point in slope.points)
    bend = f", bends at {fit.bend:g}" if fit.bend is not None else ""
    return (
        f"{slope.name} ({slope.title}, {slope.unit}): {medians};"
        f" {fit.intercept:.3g} + {1000 * fit.gradient:.3g} by 1,000, residual {fit.residual:.3g}{bend}"
    )


def print_and_store(slope: Slope, as_json: bool, keep: bool) -> None:
    """Print a slope, and store it if `keep` is set; a slope with one size has no fit and is only printed."""
    if len(slope.points) < 2:
        print(f"{slope.name}: {[list(point.values) for point in slope.points]}, too few sizes to fit a line")
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
    parser.add_argument(
        "--sizes", "--servers", dest="sizes", help="sizes to measure, such as 24,100,400,1900"
    )
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument(
        "--decisions", default="plain", choices=sorted(DECISIONS), help="decision component to measure"
    )
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="length of the voters' window, in virtual seconds"
    )
    parser.add_argument("--json", action="store_true", help="print each slope as one line of JSON")
    parser.add_argument("--keep", action="store_true", help="store the slopes under docs/capacity/")
    parser.add_argument("--list", action="store_true", help="list the families and their slopes")
    # This option runs the instrumented program; the family `breakdown` starts this file with it.
    parser.add_argument("--inside", action="store_true", help=argparse.SUPPRESS)
    return parser.parse_args()


def main() -> int:
    """Run the command line: measure a family, print its slopes, and store them with `--keep`.

    Returns EXIT_UNCOMMITTED, without a measurement, if `--keep` is used with uncommitted changes.
    """
    arguments = parse_arguments()
    if arguments.inside:
        return run_instrumented()
    if arguments.list:
        for name, family in FAMILIES.items():
            print(f"{name}, by {family.size_name}: {', '.join(family.slopes)}")
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # the exit ends all child processes
    family, commit = FAMILIES[arguments.family], measured_commit()
    if arguments.keep and not commit:
        print("scale: measured files have uncommitted changes: --keep would store nothing", file=sys.stderr)
        return EXIT_UNCOMMITTED
    sizes = family.sizes
    if arguments.sizes:
        sizes = tuple(int(text) for text in arguments.sizes.split(","))
    options = MeasurementOptions(decisions=arguments.decisions, window_s=arguments.seconds)
    results = run_family(family, sizes, arguments.repeat, options)
    for slope in make_slopes(family, results, sizes, arguments.repeat, commit):
        print_and_store(slope, arguments.json, arguments.keep)
    return 0


if __name__ == "__main__":
    sys.exit(main())
