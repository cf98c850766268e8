"""`stairhatch scale`: simulate many softswitches on a virtual clock and compare them with real processes."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stairhatch.cli.common import (
    EXIT_FAULT_FOUND,
    EXIT_INTERRUPTED,
    EXIT_OK,
    EXIT_UNUSABLE,
    fail,
    failing_with,
)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", default="experiments", type=click.Path(path_type=Path), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="print the reproducible results as one JSON object")
@click.option("--quiet", is_flag=True, help="print no progress")
def scale(file: Path, out: Path, as_json: bool, quiet: bool) -> None:
    """Simulate the softswitches of FILE on a virtual clock and compare them with real processes. The results
    are written as JSON, a table and a chart under --out. Exit code 1: a figure is out of its bounds, or the
    run is void. 130: the run was ended by Ctrl-C, and no results are written.
    """
    from stairhatch.scale_test.errors import ScaleTestError
    from stairhatch.scale_test.plan_file import read_plan
    from stairhatch.scale_test.result_files import keep_result, result_json
    from stairhatch.scale_test.run import run_scale_test
    from stairhatch.scale_test.summary import summarize

    def show_progress(line: str) -> None:
        """Print a line on standard error, unless --quiet is given."""
        if not quiet:
            click.echo(line, err=True)

    try:
        with failing_with(EXIT_UNUSABLE, ScaleTestError):
            result = run_scale_test(read_plan(file), show_progress)
            folder = keep_result(result, out, f"stairhatch scale {file.name}")
    except KeyboardInterrupt:
        fail(EXIT_INTERRUPTED, "ended by Ctrl-C; nothing is kept")
    click.echo(result_json(result) if as_json else summarize(result), nl=False)
    show_progress(f"kept in {folder}")
    sys.exit(EXIT_FAULT_FOUND if result.failures else EXIT_OK)
