"""Executes the runs of an experiment. Every run is kept; one without valid measurements is marked as void."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stairhatch.load_test.experiment import Experiment, PlannedRun, planned_runs, setup_for
from stairhatch.load_test.load_run import LoadRunResult, LoadSetup, run_load
from stairhatch.load_test.load_tally import TallyCount
from stairhatch.load_test.revisions import worktrees


@dataclass(frozen=True, slots=True)
class ExperimentRun:
    """Result of one run of an experiment. The field names are the keys of the result file."""

    side: str  # name of the side
    rate: float  # calls a second, or RATE_OF_PLAN
    repeat: int  # from 0
    figures: dict[str, Any]
    broken: tuple[str, ...]  # one line per violation of a call rule
    seconds_in_time: tuple[int, ...]  # calls established in time, by the second of their due time

    @property
    def void_reason(self) -> str:
        """The reason why the measurements are invalid; "" for a valid run."""
        return str(self.figures["void"])


# Arguments: the finished run, the number of finished runs, and the number of planned runs.
OnRunEnded = Callable[[ExperimentRun, int, int], None]


def run_experiment(
    experiment: Experiment,
    on_run_ended: OnRunEnded = lambda *_: None,
    run_one: Callable[[LoadSetup], LoadRunResult] = run_load,
) -> list[ExperimentRun]:
    """Execute all runs in order and return their results. Raises LoadTestError if a run cannot be done."""
    planned, runs = list(planned_runs(experiment)), []
    with worktrees(side.revision for side in experiment.sides) as trees:
        for each in planned:
            runs.append(_run(experiment, each, trees[each.side.revision], run_one))
            on_run_ended(runs[-1], len(runs), len(planned))
    return runs


def _run(
    experiment: Experiment, planned: PlannedRun, tree: Path, run_one: Callable[[LoadSetup], LoadRunResult]
) -> ExperimentRun:
    setup = setup_for(experiment, planned, tree)
    result = run_one(setup)
    by_second = result.tally.by_second
    return ExperimentRun(
        side=planned.side.name,
        rate=planned.rate,
        repeat=planned.repeat,
        figures=result.figures(),
        broken=tuple(each.line() for each in result.violations),
        seconds_in_time=tuple(
            by_second[second][TallyCount.IN_TIME] if second in by_second else 0
            for second in range(int(setup.plan.seconds))
        ),
    )
