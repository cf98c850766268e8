"""`stairhatch soak`: run dense trials of several softswitch processes, each determined by a seed."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from stairhatch.cli.common import (
    EXIT_FAULT_FOUND,
    EXIT_INTERRUPTED,
    EXIT_OK,
    EXIT_UNUSABLE,
    fail,
    failing_with,
    seed_range,
)

if TYPE_CHECKING:
    from stairhatch.soak.batch import BatchSummary, TrialSummary

MAX_VIOLATIONS_SHOWN = 5  # violations printed for each trial


@click.group()
def soak() -> None:
    """Run dense trials: short runs of real softswitches with many overlapping faults; check all rules."""


def _show_trial(trial: TrialSummary) -> None:
    click.echo(trial.line())
    for violation in trial.violations[:MAX_VIOLATIONS_SHOWN]:
        click.echo(f"  {violation}")


def _exit(trials: list[TrialSummary]) -> NoReturn:
    """End the command, with exit code 1 if a trial broke a rule or could not be run."""
    is_good = not any(each.error or each.violations for each in trials)
    sys.exit(EXIT_OK if is_good else EXIT_FAULT_FOUND)


@soak.command("trial")
@click.argument("seed", type=int)
@click.option("--keep", type=click.Path(path_type=Path), help="write schedule, record and logs there")
def soak_trial(seed: int, keep: Path | None) -> None:
    """Run the trial of SEED. Exit code 1: it broke a rule or could not be run."""
    from stairhatch.soak.batch import TrialRequest, run_trial
    from stairhatch.soak.errors import TrialError
    from stairhatch.soak.schedule import draw_schedule

    with failing_with(EXIT_UNUSABLE, TrialError):
        draw_schedule(seed)
    trial = run_trial(TrialRequest(seed, keep, keep_good=keep is not None))
    _show_trial(trial)
    _exit([trial])


@soak.command("schedule")
@click.argument("seed", type=int)
def soak_schedule(seed: int) -> None:
    """Print the schedule of the trial of SEED as JSON, without running it."""
    from stairhatch.soak.errors import TrialError
    from stairhatch.soak.schedule import draw_schedule

    with failing_with(EXIT_UNUSABLE, TrialError):
        click.echo(json.dumps(draw_schedule(seed).to_json_dict(), indent=1))


@soak.command("batch")
@click.argument("seeds")
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, 16), help="trials at a time")
@click.option("--keep", type=click.Path(path_type=Path), help="write the files of failed trials there")
def soak_batch(seeds: str, jobs: int, keep: Path | None) -> None:
    """Run the trials of SEEDS, given as A-B, and print the result of each. Exit code 1: a trial broke a rule
    or could not be run.
    """
    from stairhatch.soak.batch import run_trials
    from stairhatch.soak.errors import TrialError
    from stairhatch.soak.schedule import draw_schedule

    chosen_seeds = seed_range(seeds)
    with failing_with(EXIT_UNUSABLE, TrialError):
        draw_schedule(chosen_seeds[0])
        draw_schedule(chosen_seeds[-1])
    try:
        summary = run_trials(chosen_seeds, jobs, keep, _show_trial)
    except KeyboardInterrupt:
        fail(EXIT_INTERRUPTED, "interrupted by Ctrl-C; all started processes have been ended")
    _show_summary(summary)
    _exit(summary.trials)


def _show_summary(summary: BatchSummary) -> None:
    cases = ", ".join(f"{rule} {count}" for rule, count in sorted(summary.cases.items()))
    faults = ", ".join(f"{name} {count}" for name, count in sorted(summary.activations.items()))
    good_trials = len(summary.trials) - len(summary.broken()) - len(summary.not_run())
    click.echo(f"cases: {cases}")
    click.echo(f"faults that took effect: {faults}")
    click.echo(
        f"{good_trials} of {len(summary.trials)} good, {len(summary.broken())} broke a rule, "
        f"{len(summary.not_run())} not run, {summary.duration_s:.0f} s"
    )
