"""Generates the tables of docs/CAPACITY.md from the slope files under docs/capacity/.

    .venv/bin/python benchmarks/capacity.py            # print the tables
    .venv/bin/python benchmarks/capacity.py --write    # write them into docs/CAPACITY.md

A slope has the values of one figure by one size, with several repeats at each size (`benchmarks/scale.py`).
Its fit is the least squares line through the medians. The page shows the median at a measured size, an
interpolation between two measured sizes, or an extrapolation from the nearest two, marked `extrapolated`.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.scaling.capacity_tables import capacity_tables
from benchmarks.scaling.errors import SlopeError
from benchmarks.scaling.slope_files import ROOT, read_slopes

PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN_MARKER, END_MARKER = "<!-- begin: benchmarks/capacity.py -->", "<!-- end: benchmarks/capacity.py -->"


def generated_part(page: str) -> str:
    """Return the generated part of the page, without its markers.

    Raises SlopeError unless the page contains each marker once, in order.
    """
    if (
        page.count(BEGIN_MARKER) != 1
        or page.count(END_MARKER) != 1
        or page.index(BEGIN_MARKER) > page.index(END_MARKER)
    ):
        raise SlopeError(f"{PAGE.name}: the markers of the generated part must occur once each, in order")
    return page.partition(BEGIN_MARKER)[2].partition(END_MARKER)[0].strip("\n") + "\n"


def write_page(tables: str) -> None:
    """Replace the generated part of the page. Raises SlopeError if its markers are not valid."""
    page = PAGE.read_text()
    generated_part(page)
    head, _, rest = page.partition(BEGIN_MARKER)
    PAGE.write_text(f"{head}{BEGIN_MARKER}\n{tables}{END_MARKER}{rest.partition(END_MARKER)[2]}")


def main() -> int:
    """Print the tables, or write them into the page with `--write`. Returns 1 on an error."""
    try:
        tables = capacity_tables(read_slopes())
        if "--write" in sys.argv:
            write_page(tables)
        else:
            print(tables, end="")
    except (SlopeError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
