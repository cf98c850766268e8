"""Runs many trials, each in its own process, and writes the files of the trials that broke a rule."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from stairhatch.soak.errors import TrialError
from stairhatch.soak.schedule import draw_schedule
from stairhatch.soak.trial import Trial, TrialResult

MAX_TIMELINES = 20  # violations of one trial for which a timeline is written


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Request to run one trial; its files are written to a subfolder of `keep_in`, if that is set."""

    seed: int
    keep_in: Path | None = None
    keep_good: bool = False  # also write the files of a trial that broke no rule


@dataclass
class TrialSummary:
    """Result of one trial, in a form that can be pickled and sent between processes."""

    seed: int
    error: str = ""  # why the trial could not be run; empty if it was run
    violations: list[str] = field(default_factory=list)
    cases: dict[str, int] = field(default_factory=dict)  # how often each rule could have been broken
    activations: dict[str, int] = field(default_factory=dict)  # how often each fault took effect
    ineffective_faults: list[str] = field(default_factory=list)  # scheduled kinds that never took effect
    stalled_s: float = 0.0  # the longest stall of the harness' event loop
    starved_s: float = 0.0  # the longest total time for which one softswitch process waited for a processor
    kept_in: str = ""  # the folder with the trial's files; empty if none were written

    def line(self) -> str:
        """Return one line of text: verdict, delays of the machine, ineffective faults and folder."""
        if self.error:
            return f"seed {self.seed}: NOT RUN: {self.error}"
        verdict = f"BROKEN {len(self.violations)}" if self.violations else "good"
        unused = f", without effect: {' '.join(self.ineffective_faults)}" if self.ineffective_faults else ""
        delays = f"harness late {self.stalled_s:.3f} s, starved {self.starved_s:.2f} s"
        return f"seed {self.seed}: {verdict}, {delays}{unused} {self.kept_in}".rstrip()


@dataclass
class BatchSummary:
    """Results of many trials, with the total counts of cases and faults."""

    trials: list[TrialSummary] = field(default_factory=list)
    cases: Counter[str] = field(default_factory=Counter)
    activations: Counter[str] = field(default_factory=Counter)
    duration_s: float = 0.0

    def add(self, trial: TrialSummary) -> None:
        """Append a trial's result and add its counts to the totals."""
        self.trials.append(trial)
        self.cases.update(trial.cases)
        self.activations.update(trial.activations)

    def broken(self) -> list[TrialSummary]:
        """Return the results of the trials that broke at least one rule."""
        return [each for each in self.trials if each.violations]

    def not_run(self) -> list[TrialSummary]:
        """Return the results of the trials that could not be run."""
        return [each for each in self.trials if each.error]


def run_trial(request: TrialRequest) -> TrialSummary:
    """Run one trial in this process and return its summary.

    A trial that cannot be run returns a summary with `error` set instead of raising.
    """
    folder = Path(tempfile.mkdtemp(prefix="stairhatch-trial-"))
    try:
        result = uvloop.run(Trial(draw_schedule(request.seed), folder).run())
    except (TrialError, OSError, asyncio.CancelledError) as error:
        shutil.rmtree(folder, ignore_errors=True)
        return TrialSummary(request.seed, error=str(error) or type(error).__name__)
    kept_in = ""
    if request.keep_in is not None and (result.violations or request.keep_good):
        kept = request.keep_in / f"trial-{request.seed}"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
        write_files(result, kept)
        kept_in = str(kept)
    shutil.rmtree(folder, ignore_errors=True)
    started_at = result.record.started_at
    return TrialSummary(
        request.seed,
        violations=[each.line(started_at) for each in result.violations],
        cases={str(rule): count for rule, count in result.cases.items()},
        activations=dict(result.record.activations),
        ineffective_faults=result.ineffective_faults(),
        stalled_s=result.record.stalled_s,
        starved_s=result.record.starved_s,
        kept_in=kept_in,
    )


def write_files(result: TrialResult, folder: Path) -> None:
    """Write the trial's schedule, its observations and its violations to files in `folder`.

    The violations' file ends with a timeline for each of the first MAX_TIMELINES violations.
    """
    started_at = result.record.started_at
    (folder / "schedule.json").write_text(json.dumps(result.schedule.to_json_dict(), indent=1))
    lines = [f"{each.call or '-'} {each.line(started_at)}" for each in result.record.observations]
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    text = [timeline(result, each.call) for each in result.violations[:MAX_TIMELINES]]
    broken = [each.line(started_at) for each in result.violations]
    (folder / "broken.txt").write_text("\n".join([*broken, "", *text]))


def timeline(result: TrialResult, call: str) -> str:
    """Return a call's id and, one per line, everything that the emulators observed of that call."""
    timeline_lines = [each.line(result.record.started_at) for each in result.record.of_call(call)]
    return "\n".join([f"{call}:", *(f"  {line}" for line in timeline_lines)])


def run_trials(
    seeds: Iterable[int], jobs: int, keep_in: Path | None, on_result: Callable[[TrialSummary], None]
) -> BatchSummary:
    """Run a trial for each seed, at most `jobs` at a time, and return the summary of all trials.

    `on_result` is called with each trial's result as soon as that trial ends, in no fixed order.
    """
    summary = BatchSummary()
    started_at = time.monotonic()
    requests = [TrialRequest(seed, keep_in) for seed in seeds]
    context = multiprocessing.get_context("spawn")
    with context.Pool(max(1, min(jobs, len(requests)))) as pool:
        for trial in pool.imap_unordered(run_trial, requests, chunksize=1):
            summary.add(trial)
            on_result(trial)
    summary.duration_s = time.monotonic() - started_at
    return summary
