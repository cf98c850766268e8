"""`stairhatch scale`: many softswitches on a virtual clock, held against real processes."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stairhatch.cli.common import (
    EXIT_FOUND_WRONG,
    EXIT_INTERRUPTED,
    EXIT_OK,
    EXIT_UNUSABLE,
    fail,
    failing_with,
)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", default="experiments", type=click.Path(path_type=Path), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="what the seed decides as one JSON object")
@click.option("--quiet", is_flag=True, help="no lines of progress")
def scale(file: Path, out: Path, as_json: bool, quiet: bool) -> None:
    """Play the many softswitches of FILE on a virtual clock and hold them against real processes; keep the
    run as JSON, a table and a chart under --out. Exit code 1: a figure is out of its bounds, or the run
    proves nothing. 130: Ctrl-C; nothing is kept.
    """
    from stairhatch.scale_test import keep
    from stairhatch.scale_test.errors import ScaleTestError
    from stairhatch.scale_test.plan_file import read_plan
    from stairhatch.scale_test.run import carry_out

    def tell(text: str) -> None:
        if not quiet:
            click.echo(text, err=True)

    try:
        with failing_with(EXIT_UNUSABLE, ScaleTestError):
            result = carry_out(read_plan(file), tell)
            kept_in = keep.keep(result, out, f"stairhatch scale {file.name}")
    except KeyboardInterrupt:
        fail(EXIT_INTERRUPTED, "ended by Ctrl-C; nothing is kept")
    click.echo(keep.result_json(result) if as_json else keep.lines(result), nl=False)
    tell(f"kept in {kept_in}")
    sys.exit(EXIT_FOUND_WRONG if result.broken else EXIT_OK)
