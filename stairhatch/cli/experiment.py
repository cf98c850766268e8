"""`stairhatch experiment`: run a load test at several rates against several programs, and store the runs."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stairhatch.cli.common import EXIT_FAULT_FOUND, EXIT_OK, EXIT_UNUSABLE, failing_with


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", default="experiments", type=click.Path(path_type=Path), show_default=True)
@click.option(
    "--short",
    type=click.FloatRange(0.01, 1.0),
    help="this fraction of each run's time, and each run only once",
)
def experiment(file: Path, out: Path, short: float | None) -> None:
    """Run the experiment that FILE describes, and write every run as JSON, a table and a chart under --out.
    Exit code 1: a rule was broken, or a run is void.
    """
    from stairhatch.load_test.errors import LoadTestError
    from stairhatch.load_test.experiment import read_experiment, shortened
    from stairhatch.load_test.experiment_results import keep_results
    from stairhatch.load_test.experiment_run import run_experiment
    from stairhatch.load_test.run_summary import render_run_line

    command = f"stairhatch experiment {file.name}" + (f" --short {short}" if short else "")
    with failing_with(EXIT_UNUSABLE, LoadTestError):
        plan = read_experiment(file)
        plan = shortened(plan, short) if short is not None else plan
        runs = run_experiment(plan, lambda run, done, total: click.echo(render_run_line(run, done, total)))
        kept_in = keep_results(plan, runs, out, command)
    click.echo(f"kept in {kept_in}")
    is_wrong = any(each.broken or each.void_reason for each in runs)
    sys.exit(EXIT_FAULT_FOUND if is_wrong else EXIT_OK)
