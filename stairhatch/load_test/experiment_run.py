"""Carries an experiment out, run by run. None is dropped: those that prove nothing are kept as void."""

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
    """One run of an experiment and what came of it. The names of its fields are those of kept results."""

    side: str
    rate: float
    repeat: int
    figures: dict[str, Any]
    broken: tuple[str, ...]  # a line for each violation of a rule
    seconds_in_time: tuple[int, ...]  # calls established in time, by the second they were due in

    @property
    def void_reason(self) -> str:
        """Why it proves nothing; "" if it does."""
        return str(self.figures["void"])


# A run that is over, how many are, and of how many.
OnRunEnded = Callable[[ExperimentRun, int, int], None]


def run_experiment(
    experiment: Experiment,
    on_run_ended: OnRunEnded = lambda *_: None,
    run_one: Callable[[LoadSetup], LoadRunResult] = run_load,
) -> list[ExperimentRun]:
    """Carry out every run in order. Raises LoadTestError where one cannot be."""
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
