"""`stairhatch lab`: fault-injection tests of a fleet of softswitches, as processes or on a virtual clock."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

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
    from stairhatch.fault_injection.run_batch import RunResult, RunSummary

MAX_VIOLATIONS = 3  # violations printed for each run
MAX_FAILED_SEEDS = 20  # failed seeds printed by `lab trial`


@click.group()
def lab() -> None:
    """Run a fleet of softswitches with injected faults, and check the rules on leases and calls."""


def _activation_line(runs_by_activation: Mapping[str, int]) -> str:
    """Return the result line with the number of runs in which each fault took effect."""
    counts = ", ".join(f"{name} {runs}" for name, runs in sorted(runs_by_activation.items()))
    return f"runs in which each fault bit: {counts}"


def _show_summary(summary: RunSummary, as_json: bool) -> NoReturn:
    """Print the summary of the runs and end the command, with exit code 1 unless all runs were good."""
    if as_json:
        click.echo(json.dumps(summary.to_json_dict()))
    else:
        for run in summary.failed:
            click.echo(f"seed {run.seed}: BROKEN {'; '.join(run.violations[:MAX_VIOLATIONS])} {run.kept_in}")
        for run in summary.not_carried_out:
            click.echo(f"seed {run.seed}: not carried out: {run.error}")
        calls = ", ".join(f"{count} {name}" for name, count in summary.calls.items())
        click.echo(_activation_line(summary.runs_by_activation))
        click.echo(f"calls: {calls}; claims were held {summary.holds} times")
        good_runs = summary.runs - len(summary.failed) - len(summary.not_carried_out)
        click.echo(
            f"{good_runs} of {summary.runs} runs good, "
            f"{summary.beyond_drift_bound} beyond the drift bound, {summary.duration_s:.0f} s"
        )
    sys.exit(EXIT_FAULT_FOUND if summary.failed or summary.not_carried_out else EXIT_OK)


@lab.command("run")
@click.argument("file", required=False, type=click.Path(path_type=Path))
@click.option("--seeds", default="", help="A-B: draw the schedules from these seeds instead of FILE")
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64), help="runs at a time")
@click.option("--members", default=5, show_default=True, type=click.IntRange(3, 9), help="softswitches")
@click.option("--scale", default=0.2, show_default=True, type=click.FloatRange(0.05, 2), help="of all times")
@click.option("--keep", type=click.Path(path_type=Path), help="write histories and timelines to this folder")
@click.option("--json", "as_json", is_flag=True, help="print the summary as one JSON object")
@click.option("--progress", is_flag=True, help="show the progress on standard error")
def lab_run(
    file: Path | None,
    seeds: str,
    jobs: int,
    members: int,
    scale: float,
    keep: Path | None,
    as_json: bool,
    progress: bool,
) -> None:
    """Start softswitch processes with emulated peers and run the fault schedule in FILE, or schedules drawn
    from seeds. Exit code 1: a rule was broken, or a run could not be carried out.
    """
    from stairhatch.fault_injection import run_batch
    from stairhatch.fault_injection.errors import ScheduleError
    from stairhatch.fault_injection.schedule import read_schedule

    if (file is None) is (not seeds):
        raise click.UsageError("either FILE or --seeds A-B is required, but not both")
    try:
        with failing_with(EXIT_UNUSABLE, ScheduleError):
            if file is not None:
                request = run_batch.RunRequest(read_schedule(file), 1, keep, keep is not None)
                summary = run_batch.RunSummary()
                summary.add(run_batch.carry_out(request))
            else:
                options = run_batch.BatchOptions(members=members, scale=scale, keep_in=keep)
                on_result = _show_progress if progress else _show_nothing
                summary = run_batch.run_many(seed_range(seeds), jobs, options, on_result)
    except KeyboardInterrupt:
        fail(EXIT_INTERRUPTED, "interrupted by Ctrl-C; all started processes have been ended")
    _show_summary(summary, as_json)


def _show_progress(summary: RunSummary, run: RunResult) -> None:
    """Overwrite one line of standard error with the counts of completed and of not good runs."""
    not_good = len(summary.failed) + len(summary.not_carried_out)
    click.echo(f"\r{summary.runs} runs, {not_good} not good, seed {run.seed} last ", nl=False, err=True)


def _show_nothing(summary: RunSummary, run: RunResult) -> None:
    """Do nothing; used instead of `_show_progress` without --progress."""


@lab.command("replay")
@click.argument("seed", type=int)
@click.option("--members", default=5, show_default=True, type=click.IntRange(3, 9), help="softswitches")
@click.option("--scale", default=0.2, show_default=True, type=click.FloatRange(0.05, 2), help="of all times")
@click.option("--keep", default="lab", show_default=True, type=click.Path(path_type=Path))
def lab_replay(seed: int, members: int, scale: float, keep: Path) -> None:
    """Repeat the run of SEED, write all its files, and print which softswitch held which lease when."""
    from stairhatch.fault_injection import run_batch
    from stairhatch.fault_injection.schedule_generator import draw_schedule

    request = run_batch.RunRequest(draw_schedule(seed, members=members, scale=scale), seed, keep, True)
    for event in request.schedule.faults:
        targets = " ".join(each for each in (event.member, event.peer, *event.members) if each)
        click.echo(f"{event.at_s:7.2f} s {event.kind.value} {targets} for {event.duration_s:.2f} s")
    summary = run_batch.RunSummary()
    summary.add(run_batch.carry_out(request))
    folder = keep / f"run-{seed}"
    if (folder / "timeline.txt").exists():
        click.echo((folder / "timeline.txt").read_text(), nl=False)
        click.echo(f"kept in {folder}")
    _show_summary(summary, as_json=False)


@lab.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
def lab_check(folder: Path) -> None:
    """Check the rules again on the files of a run in FOLDER, and print which softswitch held which lease."""
    from stairhatch.fault_injection.errors import RunError
    from stairhatch.fault_injection.run_files import check_kept_run

    with failing_with(EXIT_UNUSABLE, RunError):
        violations, timeline = check_kept_run(folder)
    click.echo(timeline, nl=False)
    for each in violations:
        click.echo(f"BROKEN {each.rule} at {each.at_s:.3f}: {each.explanation}")
    click.echo(f"{len(violations)} broken")
    sys.exit(EXIT_FAULT_FOUND if violations else EXIT_OK)


@lab.command("trial")
@click.option("--seeds", default="0-199", show_default=True, help="A-B: draw the runs from these seeds")
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64), help="processes")
@click.option("--members", default=5, show_default=True, type=click.IntRange(3, 9), help="softswitches")
@click.option("--planted", default="", help="apply this mutation to the decisions; `list`: print all")
@click.option("--faults", is_flag=True, help="apply each mutation and print after how many seeds it is found")
def lab_trial(seeds: str, jobs: int, members: int, planted: str, faults: bool) -> None:
    """Run the fleet's lease decisions on a virtual clock, with faults drawn from seeds. Exit code 1: a rule
    was broken (with --faults: a mutation was not found).
    """
    from stairhatch.fault_injection.mutations import MUTATIONS
    from stairhatch.fault_injection.trial import TrialOptions, run_seeds

    chosen_seeds = seed_range(seeds)
    if planted == "list":
        click.echo("\n".join(MUTATIONS))
        return
    if planted and planted not in MUTATIONS:
        raise click.BadParameter(
            f"no mutation is called {planted!r}: `list` prints all", param_hint="--planted"
        )
    if faults:
        _try_mutations(chosen_seeds, jobs, members)
    summary = run_seeds(chosen_seeds, TrialOptions(members=members, mutation=planted), jobs)
    for run in summary.failed[:MAX_FAILED_SEEDS]:
        click.echo(f"seed {run.seed}: BROKEN {run.violations[0].rule}: {run.violations[0].explanation}")
    click.echo(_activation_line(summary.runs_by_activation))
    click.echo(
        f"{summary.runs - len(summary.failed)} of {summary.runs} runs good, "
        f"{summary.beyond_drift_bound} beyond the drift bound, "
        f"claims were held {summary.holds} times, {summary.duration_s:.1f} s"
    )
    sys.exit(EXIT_FAULT_FOUND if summary.failed else EXIT_OK)


def _try_mutations(seeds: range, jobs: int, members: int) -> NoReturn:
    """Print after how many seeds each mutation breaks a rule; end with exit code 1 if one breaks none."""
    from stairhatch.fault_injection.mutations import MUTATIONS
    from stairhatch.fault_injection.trial import TrialOptions, run_seeds

    undetected = 0
    for name in MUTATIONS:
        options = TrialOptions(members=members, mutation=name)
        summary = run_seeds(seeds, options, jobs, until_violation=True)
        rule = summary.failed[0].violations[0].rule if summary.failed else ""
        click.echo(f"{name:52} {f'{summary.runs:5} seeds, {rule}' if rule else 'NOT FOUND'}")
        undetected += not rule
    click.echo(f"{len(MUTATIONS) - undetected} of {len(MUTATIONS)} planted faults found")
    sys.exit(EXIT_FAULT_FOUND if undetected else EXIT_OK)


@lab.command("explore")
@click.option("--depth", default=8, show_default=True, type=click.IntRange(1, 40), help="events on a path")
@click.option("--crashes", default=0, show_default=True, help="maximum of crashes of voters on a path")
@click.option("--copies", default=0, show_default=True, help="maximum of duplicated messages on a path")
@click.option("--slow", default=0, show_default=True, help="maximum of slow writes on a path")
@click.option("--steps", default=0, show_default=True, help="maximum of clock steps to the next timer")
@click.option("--leaps", default=1, show_default=True, help="maximum of clock steps past the end of a vote")
@click.option("--held", is_flag=True, help="begin with a lease that is held")
@click.option("--seconds", default=60.0, show_default=True, help="stop after this time")
@click.option("--planted", default="", help="apply this mutation to the decisions")
def lab_explore(planted: str, **bounds: Any) -> None:
    """Explore every order of events in a small cluster of voters, up to a depth. Exit code 1: a rule was
    broken, or not all states were visited.
    """
    from stairhatch.fault_injection import state_exploration
    from stairhatch.fault_injection.mutations import MUTATIONS, mutation_applied

    if planted and planted not in MUTATIONS:
        raise click.BadParameter(f"no mutation is called {planted!r}", param_hint="--planted")
    with mutation_applied(planted):
        exploration = state_exploration.explore(
            state_exploration.ExplorationBounds(
                depth=bounds["depth"],
                crashes=bounds["crashes"],
                duplicates=bounds["copies"],
                slow_writes=bounds["slow"],
                clock_steps=bounds["steps"],
                clock_leaps=bounds["leaps"],
                seconds=bounds["seconds"],
                begins_held=bounds["held"],
            )
        )
    if exploration.violation:
        click.echo(f"BROKEN {exploration.violation}, after: {', '.join(exploration.path)}")
    click.echo(
        f"{exploration.states} states, {'all' if exploration.complete else 'not all'} there are; "
        f"in {exploration.states_with_holder} the lease was held, "
        f"{exploration.takeovers} takeovers, {exploration.states_after_crash} states after a crash"
    )
    sys.exit(EXIT_OK if exploration.complete and not exploration.violation else EXIT_FAULT_FOUND)
