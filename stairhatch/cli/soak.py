"""`stairhatch soak`: dense trials of several real softswitches, drawn from seeds."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from stairhatch.cli.common import (
    EXIT_FOUND_WRONG,
    EXIT_INTERRUPTED,
    EXIT_OK,
    EXIT_UNUSABLE,
    fail,
    failing_with,
    seed_range,
)

if TYPE_CHECKING:
    from stairhatch.soak.batch import BatchSummary, TrialSummary

MAX_SHOWN = 5  # violations of a trial that are printed


@click.group()
def soak() -> None:
    """Play dense trials: short days with real softswitches and many faults, every rule checked."""


def _show(trial: TrialSummary) -> None:
    click.echo(trial.line())
    for violation in trial.violations[:MAX_SHOWN]:
        click.echo(f"  {violation}")


def _exit(trials: list[TrialSummary]) -> NoReturn:
    """End the command: a trial that was not run is no good one."""
    is_good = not any(each.error or each.violations for each in trials)
    sys.exit(EXIT_OK if is_good else EXIT_FOUND_WRONG)


@soak.command("trial")
@click.argument("seed", type=int)
@click.option("--keep", type=click.Path(path_type=Path), help="keep schedule, records and logs there")
def soak_trial(seed: int, keep: Path | None) -> None:
    """Play the trial of SEED."""
    from stairhatch.soak.batch import TrialRequest, play
    from stairhatch.soak.errors import TrialError
    from stairhatch.soak.schedule import draw_schedule

    with failing_with(EXIT_UNUSABLE, TrialError):
        draw_schedule(seed)
    trial = play(TrialRequest(seed, keep, keep_good=keep is not None))
    _show(trial)
    _exit([trial])


@soak.command("schedule")
@click.argument("seed", type=int)
def soak_schedule(seed: int) -> None:
    """Print the schedule of SEED as JSON."""
    from stairhatch.soak.errors import TrialError
    from stairhatch.soak.schedule import draw_schedule

    with failing_with(EXIT_UNUSABLE, TrialError):
        click.echo(json.dumps(draw_schedule(seed).to_json_dict(), indent=1))


@soak.command("batch")
@click.argument("seeds")
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, 16), help="trials at a time")
@click.option("--keep", type=click.Path(path_type=Path), help="keep trials that broke a rule there")
def soak_batch(seeds: str, jobs: int, keep: Path | None) -> None:
    """Play the trials of SEEDS, from A to B of A-B, and print what each showed."""
    from stairhatch.soak.batch import play_many
    from stairhatch.soak.errors import TrialError
    from stairhatch.soak.schedule import draw_schedule

    chosen = seed_range(seeds)
    with failing_with(EXIT_UNUSABLE, TrialError):
        draw_schedule(chosen[0])
        draw_schedule(chosen[-1])
    try:
        summary = play_many(chosen, jobs, keep, _show)
    except KeyboardInterrupt:
        fail(EXIT_INTERRUPTED, "broken off; what was started has been ended")
    _show_summary(summary)
    _exit(summary.trials)


def _show_summary(summary: BatchSummary) -> None:
    cases = ", ".join(f"{rule} {count}" for rule, count in sorted(summary.cases.items()))
    faults = ", ".join(f"{name} {count}" for name, count in sorted(summary.activations.items()))
    good = len(summary.trials) - len(summary.broken()) - len(summary.not_run())
    click.echo(f"cases: {cases}")
    click.echo(f"faults that took effect: {faults}")
    click.echo(
        f"{good} of {len(summary.trials)} good, {len(summary.broken())} broke a rule, "
        f"{len(summary.not_run())} not run, {summary.duration_s:.0f} s"
    )
