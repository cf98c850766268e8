"""The tables of docs/CAPACITY.md, made from the slopes that are kept under docs/capacity/.

    .venv/bin/python benchmarks/capacity.py            # print the tables
    .venv/bin/python benchmarks/capacity.py --write    # put them into docs/CAPACITY.md

A slope is one figure by one size, each size measured several times (`benchmarks/scale.py`). Its fit is the
straight line of least squares through the medians. A page's figure at a size is the median measured there,
else what lies between its neighbours or, beyond the last size, on the line of the last two (named
`extrapolated`).
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.scaling.capacity_tables import capacity_tables
from benchmarks.scaling.errors import SlopeError
from benchmarks.scaling.slope_files import ROOT, read_slopes

PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- begin: benchmarks/capacity.py -->", "<!-- end: benchmarks/capacity.py -->"


def generated_part(page: str) -> str:
    """Return the part of the page that is generated. Raises SlopeError unless its marks stand there once."""
    if page.count(BEGIN) != 1 or page.count(END) != 1 or page.index(BEGIN) > page.index(END):
        raise SlopeError(f"{PAGE.name}: the marks of the generated part must stand there once, in order")
    return page.partition(BEGIN)[2].partition(END)[0].strip("\n") + "\n"


def write_page(tables: str) -> None:
    """Put tables into the page. Raises SlopeError for one without its marks."""
    page = PAGE.read_text()
    generated_part(page)
    head, _, rest = page.partition(BEGIN)
    PAGE.write_text(f"{head}{BEGIN}\n{tables}{END}{rest.partition(END)[2]}")


def main() -> int:
    """Print the tables, or put them into the page."""
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
